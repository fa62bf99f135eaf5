//! The cases of the review, one a subcommand: `cases NAME RECORD`.

mod rig;

use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    path::Path,
    process,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use rig::{
    BROKEN, COULD_NOT_RUN, Exchange, Fleet, HELD, Job, LIMITS, Message, Record, Server, call,
    service, trouble,
};

const HOST: &str = "plans.example";

fn main() {
    let mut args = std::env::args().skip(1);
    let (Some(name), Some(record)) = (args.next(), args.next()) else {
        process::exit(COULD_NOT_RUN);
    };
    let record = Record::create(Path::new(&record));
    record.line(format!("case {name}, trouble: {}", trouble()));
    let code = match name.as_str() {
        "foreign-service" => foreign_heartbeat(&record, Foreign::Service),
        "foreign-born" => foreign_heartbeat(&record, Foreign::Born),
        "own-503" => own_503(&record),
        "item-route" => item_route(&record),
        "item-gone" => item_gone(&record),
        "cold-prompt" => cold_prompt(&record),
        "forgotten" => forgotten(&record),
        "reserved-prefix" => reserved_prefix(&record),
        _ => COULD_NOT_RUN,
    };
    record.line(format!("exit {code}"));
    process::exit(code);
}

/// Submits a job as a client does: again, at the next node, until a 202.
fn submit(
    fleet: &Fleet,
    record: &Record,
    path: &str,
    job: &Job,
    body: &str,
    tries: usize,
) -> Option<Instant> {
    for attempt in 0..tries {
        let to = fleet.callers(attempt % fleet.entries.len());
        let headers = [
            ("Host", HOST),
            ("Content-Type", "application/json"),
            ("Bilberrywind-Request-Id", job.id.as_str()),
            ("Bilberrywind-Deadline-Ms", "4000"),
        ];
        let answer = call(
            to,
            "POST",
            path,
            &headers,
            body.as_bytes(),
            Duration::from_secs(4),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!(
            "client: job {} of {} items to edge-{}: {status}",
            job.id,
            job.items.len(),
            attempt % fleet.entries.len()
        ));
        if status == 202 {
            return Some(Instant::now());
        }
        thread::sleep(Duration::from_millis(300));
    }
    None
}

/// A result as a client reads it.
#[derive(Clone, Debug)]
struct Listed {
    id: String,
    state: String,
}

/// Reads all results of a job from one node; `None` without a clear answer.
fn results(fleet: &Fleet, entry: usize, job: &Job) -> Option<Vec<Listed>> {
    let mut all: Vec<Listed> = Vec::new();
    loop {
        let path = format!("/lots/{}?After={}", job.id, all.len());
        let answer = call(
            fleet.callers(entry),
            "GET",
            &path,
            &[("Host", HOST)],
            b"",
            Duration::from_secs(3),
        )
        .ok()?;
        if answer.status() != 200 {
            return None;
        }
        let page = parse_results(&answer.text());
        if page.is_empty() {
            return Some(all);
        }
        all.extend(page);
    }
}

/// Takes ids and states from a page. The outputs of these cases hold no quotes.
fn parse_results(text: &str) -> Vec<Listed> {
    let mut found = Vec::new();
    let mut rest = text;
    while let Some(start) = rest.find("\"Id\":\"") {
        rest = &rest[start + 6..];
        let Some(end) = rest.find('"') else { break };
        let id = rest[..end].to_owned();
        let Some(start) = rest.find("\"State\":\"") else {
            break;
        };
        rest = &rest[start + 9..];
        let Some(end) = rest.find('"') else { break };
        found.push(Listed {
            id,
            state: rest[..end].to_owned(),
        });
        rest = &rest[end..];
    }
    found
}

fn count(listed: &[Listed], state: &str) -> usize {
    listed.iter().filter(|result| result.state == state).count()
}

/// Reads a job until all items are listed or the time is up, and returns the last answer.
fn await_results(fleet: &Fleet, job: &Job, until: Instant) -> Vec<Listed> {
    let mut last = Vec::new();
    let mut entry = 0;
    loop {
        entry = (entry + 1) % fleet.entries.len();
        if let Some(listed) = results(fleet, entry, job) {
            last = listed;
        }
        if last.len() == job.items.len() || Instant::now() >= until {
            return last;
        }
        thread::sleep(Duration::from_millis(400));
    }
}

/// What stand-in servers have seen, by request id.
#[derive(Clone, Default)]
struct Seen(Arc<Mutex<Vec<(Instant, String, String)>>>);

impl Seen {
    fn note(&self, record: &Record, server: &str, id: &str, what: &str) {
        record.line(format!("server {server}: request {id} {what}"));
        self.0
            .lock()
            .unwrap()
            .push((Instant::now(), server.to_owned(), id.to_owned()));
    }

    fn runs(&self, id: &str) -> usize {
        self.0
            .lock()
            .unwrap()
            .iter()
            .filter(|(_, _, known)| known == id)
            .count()
    }

    fn at(&self, prefix: &str, ids: &BTreeSet<&str>) -> usize {
        let seen = self.0.lock().unwrap();
        seen.iter()
            .filter(|(_, server, id)| server.starts_with(prefix) && ids.contains(id.as_str()))
            .count()
    }

    fn since(&self, from: Instant, ids: &BTreeSet<&str>) -> usize {
        let seen = self.0.lock().unwrap();
        seen.iter()
            .filter(|(at, _, id)| *at >= from && ids.contains(id.as_str()))
            .count()
    }
}

/// Streams events as a model engine does: those after `Last-Event-Id`, until the sender
/// closes the connection.
fn stream_events(exchange: &Exchange<'_>, total: u64, gap: Duration) -> io::Result<()> {
    let after: u64 = exchange
        .request
        .header("last-event-id")
        .parse()
        .unwrap_or(0);
    exchange.begin_events()?;
    for number in after + 1..=total {
        if exchange.is_closed() {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        exchange.chunk(format!("id: {number}\ndata: token-{number}\n\n").as_bytes())?;
        thread::sleep(gap);
    }
    exchange.end_events()
}

fn batch_route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"{prefix}","Kind":"batch","TimeoutMs":15000,"TargetLatencyMs":500,"TargetCompletionMs":18000,"MaxQueueS":60,"Priority":2,"Service":"{service}","MaxAttempts":3}}"#
    )
}

fn plain_route(name: &str, prefix: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"{prefix}","Kind":"{kind}","TimeoutMs":5000,"TargetLatencyMs":300,"Priority":0,"Service":"{service}","MaxAttempts":2}}"#
    )
}

fn stream_route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        r#"{{"Name":"{name}","Host":"{HOST}","PathPrefix":"{prefix}","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":300,"TargetGapMs":400,"Priority":0,"Service":"{service}","MaxAttempts":2,"Resumable":true}}"#
    )
}

fn config(version: u64, routes: &[String], services: &[&str]) -> String {
    let services: Vec<String> = services.iter().map(|name| service(name)).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{}],"Services":[{}],{LIMITS}}}"#,
        routes.join(","),
        services.join(",")
    )
}

/// How the heartbeat of another writer differs from that of a server.
#[derive(Clone, Copy, PartialEq)]
enum Foreign {
    /// Under the id of a server it names a service that no configuration names.
    Service,
    /// Under an id of its own it names the address of a server, and the field `born` is
    /// missing.
    Born,
}

/// Another writer sends one heartbeat for each of three servers, which go on.
fn foreign_heartbeat(record: &Record, foreign: Foreign) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let routes = [
        batch_route("plans", "/plans/", "desk"),
        stream_route("checks", "/checks/", "desk"),
    ];
    if !fleet.start(&config(1, &routes, &["desk"])) {
        return COULD_NOT_RUN;
    }
    let seen = Seen::default();
    let servers: Vec<Server> = (0..3)
        .map(|index| {
            let (seen, record) = (seen.clone(), record.clone());
            let name = format!("desk-{index}");
            let handler = move |exchange: &Exchange<'_>| {
                seen.note(&record, &name, exchange.id(), "runs");
                stream_events(exchange, 20, Duration::from_millis(10))
            };
            Server::start(&fleet, index, "desk", 8, Arc::new(handler))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let first = Job::new(10, |index| format!("/plans/1/{index}"));
    if submit(
        &fleet,
        record,
        "/plans/1",
        &first,
        &first.body("", b"plan", 500),
        10,
    )
    .is_none()
    {
        return COULD_NOT_RUN;
    }
    let listed = await_results(&fleet, &first, Instant::now() + Duration::from_secs(10));
    record.line(format!(
        "client: first job: {} of 10 completed",
        count(&listed, "completed")
    ));
    if count(&listed, "completed") != 10 {
        return COULD_NOT_RUN;
    }
    if trouble() {
        for server in &servers {
            let (id, body) = match foreign {
                Foreign::Service => {
                    let born = Some(rig::unix_ms());
                    let body = rig::heartbeat(
                        "desk-staging",
                        server.address,
                        &server.zone,
                        8,
                        "ready",
                        1,
                        born,
                    );
                    (server.id.clone(), body)
                }
                Foreign::Born => {
                    let body =
                        rig::heartbeat("desk", server.address, &server.zone, 8, "ready", 1, None);
                    (rig::new_id("host-"), body)
                }
            };
            let path = format!("/instances/{id}");
            let headers = [("Content-Type", "application/json")];
            let answer = call(
                fleet.operators(0),
                "PUT",
                &path,
                &headers,
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("other writer: PUT {path} {body}: {status}"));
        }
    }
    thread::sleep(Duration::from_millis(3 * rig::HEARTBEAT_MS));
    let second = Job::new(10, |index| format!("/plans/2/{index}"));
    let ids: BTreeSet<&str> = second.items.iter().map(|(id, _)| id.as_str()).collect();
    let Some(accepted) = submit(
        &fleet,
        record,
        "/plans/2",
        &second,
        &second.body("", b"plan", 500),
        10,
    ) else {
        return COULD_NOT_RUN;
    };
    // The traffic ends now; the job has `FinishS` more, and the reads take a moment.
    let end = accepted + Duration::from_secs(18 + 2);
    let (mut refused, mut asked) = (0, 0);
    let mut next = Instant::now();
    while Instant::now() < end {
        if Instant::now() >= next {
            next += Duration::from_millis(1_000);
            asked += 1;
            let id = rig::new_id("c");
            let headers = [
                ("Host", HOST),
                ("Bilberrywind-Request-Id", id.as_str()),
                ("Bilberrywind-Deadline-Ms", "5000"),
            ];
            let answer = call(
                fleet.callers(asked % 2),
                "POST",
                "/checks/1",
                &headers,
                b"check",
                Duration::from_secs(5),
            );
            let status = answer.map_or(0, |answer| answer.status());
            record.line(format!("client: check {id}: {status}"));
            refused += usize::from(status != 200);
        }
        thread::sleep(Duration::from_millis(50));
    }
    let listed = await_results(&fleet, &second, Instant::now());
    let reached = seen.since(end - Duration::from_secs(5), &ids);
    let heard: Vec<u16> = servers
        .iter()
        .map(|server| server.announce(fleet.operators(1)))
        .collect();
    record.line(format!(
        "after FinishS: {} of 10 items of the second job listed, {reached} runs of them at servers in the last 5 s; checks without an answer of a server: {refused} of {asked}; the servers' own heartbeats are answered {heard:?}",
        listed.len()
    ));
    match listed.len() < 10 && reached == 0 {
        true => BROKEN,
        false => HELD,
    }
}

/// A server that has run a request which may not be repeated answers 503 without the header
/// that says it has not run.
fn own_503(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let routes = [plain_route(
        "invoices",
        "/invoices/",
        "non_idempotent",
        "billing",
    )];
    if !fleet.start(&config(1, &routes, &["billing"])) {
        return COULD_NOT_RUN;
    }
    let seen = Seen::default();
    let fails = Arc::new(AtomicBool::new(false));
    let _servers: Vec<Server> = (0..8)
        .map(|index| {
            let (seen, record, fails) = (seen.clone(), record.clone(), Arc::clone(&fails));
            let name = format!("billing-{index}");
            let number = AtomicU32::new(0);
            let handler = move |exchange: &Exchange<'_>| {
                let id = exchange.id().to_owned();
                let stamp = format!("stamp-{id}");
                let headers = [
                    ("Bilberrywind-Request-Id", id.as_str()),
                    ("Bilberrywind-Response-Stamp", stamp.as_str()),
                ];
                // One of the eight servers fails two in five of its requests after it has run them.
                let number = number.fetch_add(1, Ordering::Relaxed);
                let fails = index == 0 && fails.load(Ordering::Relaxed) && number % 5 < 2;
                seen.note(
                    &record,
                    &name,
                    &id,
                    if fails {
                        "runs, and fails with 503"
                    } else {
                        "runs"
                    },
                );
                thread::sleep(Duration::from_millis(20));
                match fails {
                    true => exchange.answer(
                        "503 Service Unavailable",
                        &headers,
                        b"the ledger did not confirm in time",
                    ),
                    false => exchange.answer("200 OK", &headers, b"invoice sent"),
                }
            };
            Server::start(&fleet, index, "billing", 8, Arc::new(handler))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    fails.store(trouble(), Ordering::Relaxed);
    // Many clients at a time, so that all servers get requests.
    let clients: Vec<_> = (0..24)
        .map(|client| {
            let (seen, record) = (seen.clone(), record.clone());
            let callers = [fleet.callers(0), fleet.callers(1)];
            thread::spawn(move || {
                let (mut promises_broken, mut doubled) = (0, 0);
                for order in 0..25 {
                    // A client repeats such a request only after a promise that it has not run.
                    let mut runs = 0;
                    for attempt in 0..2 {
                        let id = rig::new_id("o");
                        let headers = [
                            ("Host", HOST),
                            ("Bilberrywind-Request-Id", id.as_str()),
                            ("Bilberrywind-Deadline-Ms", "5000"),
                        ];
                        let to = callers[(client + attempt) % 2];
                        let answer = call(
                            to,
                            "POST",
                            "/invoices/1",
                            &headers,
                            b"invoice",
                            Duration::from_secs(5),
                        );
                        let answer = answer.unwrap_or_else(|_| Message::default());
                        let status = answer.status();
                        record.line(format!(
                            "client {client}: invoice {order}, attempt {id}: {status}, stamp {:?}",
                            answer.header("bilberrywind-response-stamp")
                        ));
                        let has_run = seen.runs(&id);
                        runs += has_run;
                        let is_promise = matches!(status, 408 | 421 | 429 | 503);
                        if is_promise && has_run > 0 {
                            record.line(format!(
                                "  {id} was answered {status} and has run {has_run} time(s)"
                            ));
                            promises_broken += 1;
                        }
                        if !is_promise {
                            break;
                        }
                    }
                    if runs > 1 {
                        record.line(format!(
                            "  client {client}: invoice {order} has run {runs} times"
                        ));
                        doubled += 1;
                    }
                }
                (promises_broken, doubled)
            })
        })
        .collect();
    let (mut promises_broken, mut doubled) = (0, 0);
    for client in clients {
        let Ok((promises, twice)) = client.join() else {
            return COULD_NOT_RUN;
        };
        promises_broken += promises;
        doubled += twice;
    }
    record.line(format!(
        "refused although they had run: {promises_broken}; invoices that ran twice: {doubled}"
    ));
    if promises_broken > 0 { BROKEN } else { HELD }
}

/// The configuration gets a route whose prefix begins the paths of items of an accepted job.
fn item_route(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let routes = vec![batch_route("plans", "/plans/", "desk")];
    if !fleet.start(&config(1, &routes, &["desk", "billing"])) {
        return COULD_NOT_RUN;
    }
    let seen = Seen::default();
    let mut servers = Vec::new();
    for index in 0..2 {
        let (seen, record) = (seen.clone(), record.clone());
        let name = format!("desk-{index}");
        let handler = move |exchange: &Exchange<'_>| {
            seen.note(&record, &name, exchange.id(), "runs");
            stream_events(exchange, 20, Duration::from_millis(100))
        };
        servers.push(Server::start(&fleet, index, "desk", 2, Arc::new(handler)));
    }
    for index in 0..2 {
        let (seen, record) = (seen.clone(), record.clone());
        let name = format!("billing-{index}");
        let handler = move |exchange: &Exchange<'_>| {
            let id = exchange.id().to_owned();
            seen.note(&record, &name, &id, "runs");
            let stamp = format!("stamp-{id}");
            let headers = [
                ("Bilberrywind-Request-Id", id.as_str()),
                ("Bilberrywind-Response-Stamp", stamp.as_str()),
                ("Content-Type", "application/json"),
            ];
            exchange.answer("200 OK", &headers, b"{\"sent\":true}")
        };
        servers.push(Server::start(
            &fleet,
            2 + index,
            "billing",
            8,
            Arc::new(handler),
        ));
    }
    thread::sleep(Duration::from_millis(2_000));
    let job = Job::new(20, |index| format!("/plans/3/{index}"));
    let ids: BTreeSet<&str> = job.items.iter().map(|(id, _)| id.as_str()).collect();
    let Some(accepted) = submit(
        &fleet,
        record,
        "/plans/3",
        &job,
        &job.body("", b"plan", 500),
        10,
    ) else {
        return COULD_NOT_RUN;
    };
    thread::sleep(Duration::from_millis(1_000));
    let mut routes = routes;
    let prefix = if trouble() { "/plans/3/" } else { "/invoices/" };
    routes.push(plain_route("invoices", prefix, "non_idempotent", "billing"));
    if !fleet.publish(&config(2, &routes, &["desk", "billing"])) {
        return COULD_NOT_RUN;
    }
    let listed = await_results(&fleet, &job, accepted + Duration::from_secs(20));
    let at_billing = seen.at("billing", &ids);
    let mut by_item: BTreeMap<String, usize> = BTreeMap::new();
    for (_, server, id) in seen.0.lock().unwrap().iter() {
        if server.starts_with("billing") {
            *by_item.entry(id.clone()).or_default() += 1;
        }
    }
    let most = by_item.values().max().copied().unwrap_or(0);
    record.line(format!(
        "client: {} of 20 items completed; items of the job at service billing: {} runs of {} items, one of them {most} times",
        count(&listed, "completed"), at_billing, by_item.len()
    ));
    if at_billing > 0 { BROKEN } else { HELD }
}

/// The configuration loses a route of online requests, under whose prefix the paths of the
/// items of an accepted job are. The batch route of the job stays.
fn item_gone(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let batch = batch_route("plans", "/plans/", "desk");
    let checks = stream_route("checks", "/checks/", "desk");
    if !fleet.start(&config(1, &[batch.clone(), checks.clone()], &["desk"])) {
        return COULD_NOT_RUN;
    }
    let seen = Seen::default();
    let _servers: Vec<Server> = (0..2)
        .map(|index| {
            let (seen, record) = (seen.clone(), record.clone());
            let name = format!("desk-{index}");
            let handler = move |exchange: &Exchange<'_>| {
                seen.note(&record, &name, exchange.id(), "runs");
                stream_events(exchange, 20, Duration::from_millis(100))
            };
            Server::start(&fleet, index, "desk", 2, Arc::new(handler))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let job = Job::new(20, |index| format!("/checks/{index}"));
    let Some(accepted) = submit(
        &fleet,
        record,
        "/plans/3",
        &job,
        &job.body("", b"plan", 500),
        10,
    ) else {
        return COULD_NOT_RUN;
    };
    thread::sleep(Duration::from_millis(1_000));
    let routes = match trouble() {
        true => vec![batch],
        false => vec![batch, checks],
    };
    if !fleet.publish(&config(2, &routes, &["desk"])) {
        return COULD_NOT_RUN;
    }
    let listed = await_results(&fleet, &job, accepted + Duration::from_secs(20));
    let age_ms = accepted.elapsed().as_millis();
    let dead: Vec<&Listed> = listed
        .iter()
        .filter(|result| result.state == "dead_letter")
        .collect();
    for result in &dead {
        record.line(format!(
            "client: item {} is dead_letter; it has run {} time(s)",
            result.id,
            seen.runs(&result.id)
        ));
    }
    record.line(format!(
        "client: {age_ms} ms after the 202: {} of 20 items completed, {} dead_letter; no server answered 422 or 500, and MaxQueueS is 60",
        count(&listed, "completed"), dead.len()
    ));
    if dead.is_empty() { HELD } else { BROKEN }
}

/// Prompt tokens that an engine of the first site reads in a millisecond.
const TOKENS_PER_MS: u64 = 55;

/// The parts of prompts that an engine keeps, each read whole.
type Kept = Arc<Mutex<BTreeSet<String>>>;

/// Runs a request as a model engine does: reads the parts of the prompt that it does not
/// keep, answers with the first token, and keeps what it has read.
fn run_engine(exchange: &Exchange<'_>, kept: &Kept, note: &dyn Fn(&str)) -> io::Result<()> {
    let parts: Vec<(String, u64)> = exchange
        .request
        .header("bilberrywind-prompt-prefix")
        .split(',')
        .filter_map(|part| {
            let (id, tokens) = part.split_once(':')?;
            Some((id.to_owned(), tokens.parse().ok()?))
        })
        .collect();
    for (id, tokens) in parts {
        if kept.lock().unwrap().contains(&id) {
            continue;
        }
        let until = Instant::now() + Duration::from_millis(tokens / TOKENS_PER_MS);
        while Instant::now() < until {
            if exchange.is_closed() {
                note(&format!(
                    "was given up by its sender while part {id} was read"
                ));
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
            thread::sleep(Duration::from_millis(2));
        }
        kept.lock().unwrap().insert(id);
    }
    note("runs");
    stream_events(exchange, 20, Duration::from_millis(10))
}

fn start_engines(
    fleet: &Fleet,
    record: &Record,
    seen: &Seen,
    from: usize,
    count: usize,
) -> Vec<Server> {
    (from..from + count)
        .map(|index| {
            let (seen, record, kept) = (seen.clone(), record.clone(), Kept::default());
            let name = format!("desk-{index}");
            let handler = move |exchange: &Exchange<'_>| {
                let id = exchange.id().to_owned();
                let note = |what: &str| seen.note(&record, &name, &id, what);
                note("arrives");
                run_engine(exchange, &kept, &note)
            };
            Server::start(fleet, index, "desk", 8, Arc::new(handler))
        })
        .collect()
}

/// The servers of a service are replaced one after the other, in releases of two in five,
/// and the new ones keep no prompt yet. The catalogue that the items share takes longer than
/// half a second to read.
fn cold_prompt(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let routes = [
        batch_route("plans", "/plans/", "desk"),
        stream_route("checks", "/checks/", "desk"),
    ];
    if !fleet.start(&config(1, &routes, &["desk"])) {
        return COULD_NOT_RUN;
    }
    let seen = Seen::default();
    let old = start_engines(&fleet, record, &seen, 0, 5);
    thread::sleep(Duration::from_millis(2_000));
    let prefix = "5c1e07a2:40000,91bd3f06:250";
    // Checks with the catalogue, until the servers keep it.
    for round in 0..3 {
        let checks: Vec<_> = (0..30)
            .map(|check| {
                let to = fleet.callers(check % 2);
                thread::spawn(move || {
                    let id = rig::new_id("c");
                    let headers = [
                        ("Host", HOST),
                        ("Bilberrywind-Request-Id", id.as_str()),
                        ("Bilberrywind-Deadline-Ms", "5000"),
                        ("Bilberrywind-Prompt-Prefix", prefix),
                    ];
                    call(
                        to,
                        "POST",
                        "/checks/1",
                        &headers,
                        b"check",
                        Duration::from_secs(5),
                    )
                    .map_or(0, |answer| answer.status())
                })
            })
            .collect();
        let answers: Vec<u16> = checks
            .into_iter()
            .map(|check| check.join().unwrap_or(0))
            .collect();
        record.line(format!("client: checks of round {round}: {answers:?}"));
    }
    if trouble() {
        for (index, server) in old.iter().enumerate() {
            if index % 2 == 0 {
                record.line("platform: a release begins");
            }
            start_engines(&fleet, record, &seen, 5 + index, 1);
            thread::sleep(Duration::from_millis(500));
            let acknowledged = server.drain(&fleet);
            record.line(format!(
                "platform: server {} is replaced, draining acknowledged: {acknowledged}",
                server.id
            ));
            thread::sleep(Duration::from_millis(2_500));
            let path = format!("/instances/{}", server.id);
            let _ = call(
                fleet.operators(0),
                "DELETE",
                &path,
                &[],
                b"",
                Duration::from_secs(1),
            );
            server.stop();
        }
    }
    // All is calm for longer than `ContactMs`.
    thread::sleep(Duration::from_millis(3_500));
    let job = Job::new(3, |index| format!("/plans/2/{index}"));
    let headers = format!(r#""Bilberrywind-Prompt-Prefix":"{prefix}""#);
    let Some(accepted) = submit(
        &fleet,
        record,
        "/plans/2",
        &job,
        &job.body(&headers, b"plan", 40_500),
        10,
    ) else {
        return COULD_NOT_RUN;
    };
    let listed = await_results(&fleet, &job, accepted + Duration::from_secs(20));
    record.line(format!(
        "client: after FinishS {} of 3 items completed, {} listed",
        count(&listed, "completed"),
        listed.len()
    ));
    if listed.len() < 3 { BROKEN } else { HELD }
}

/// The configuration gets a route whose prefix is that of the calls on batch jobs, on a host
/// that has no batch jobs.
fn reserved_prefix(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let shop = |prefix: &str| {
        format!(
            r#"{{"Name":"shop","Host":"shop.example","PathPrefix":"{prefix}","Kind":"idempotent","TimeoutMs":5000,"TargetLatencyMs":300,"Priority":0,"Service":"shop","MaxAttempts":2}}"#
        )
    };
    let mut routes = vec![batch_route("plans", "/plans/", "desk")];
    if !fleet.start(&config(1, &routes, &["desk", "shop"])) {
        return COULD_NOT_RUN;
    }
    let seen = Seen::default();
    let _servers: Vec<Server> = (0..2)
        .map(|index| {
            let (seen, record) = (seen.clone(), record.clone());
            let name = format!("shop-{index}");
            let handler = move |exchange: &Exchange<'_>| {
                let id = exchange.id().to_owned();
                seen.note(&record, &name, &id, "runs");
                let stamp = format!("stamp-{id}");
                let headers = [
                    ("Bilberrywind-Request-Id", id.as_str()),
                    ("Bilberrywind-Response-Stamp", stamp.as_str()),
                ];
                exchange.answer("200 OK", &headers, b"42 rolls")
            };
            Server::start(&fleet, index, "shop", 8, Arc::new(handler))
        })
        .collect();
    thread::sleep(Duration::from_millis(2_000));
    let prefix = if trouble() { "/items/" } else { "/goods/" };
    routes.push(shop(prefix));
    if !fleet.publish(&config(2, &routes, &["desk", "shop"])) {
        return COULD_NOT_RUN;
    }
    thread::sleep(Duration::from_millis(2_500));
    let mut denied = 0;
    for number in 0..100 {
        let id = rig::new_id("s");
        let path = format!("{prefix}{number}?Id=7");
        let headers = [
            ("Host", "shop.example"),
            ("Bilberrywind-Request-Id", id.as_str()),
            ("Bilberrywind-Deadline-Ms", "5000"),
        ];
        let answer = call(
            fleet.callers(number % 2),
            "GET",
            &path,
            &headers,
            b"",
            Duration::from_secs(5),
        );
        let status = answer.map_or(0, |answer| answer.status());
        record.line(format!(
            "client: GET {path} {id}: {status}, runs: {}",
            seen.runs(&id)
        ));
        denied += usize::from(status == 404 && seen.runs(&id) == 0);
    }
    record.line(format!("answered 404 by the system: {denied} of 100"));
    if denied > 5 { BROKEN } else { HELD }
}

/// Returns the control process that leads, by the address that it names for heartbeats.
fn leader(fleet: &Fleet) -> Option<usize> {
    let address = "127.0.0.1:9".parse().ok()?;
    let body = rig::heartbeat(
        "probe",
        address,
        "ljub-a",
        8,
        "ready",
        1,
        Some(rig::unix_ms()),
    );
    let until = Instant::now() + Duration::from_secs(10);
    while Instant::now() < until {
        for to in fleet.all_operators() {
            let path = "/instances/i-probe";
            let answer = call(
                to,
                "PUT",
                path,
                &[],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            let Ok(answer) = answer else { continue };
            let named = answer.text();
            let named = (0..fleet.controls.len())
                .find(|index| named.contains(&format!("\"{}\"", fleet.operators(*index))));
            if answer.status() == 200 && named.is_some() {
                return named;
            }
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Returns the index of the last snapshot that a control process has stored.
fn last_snapshot(fleet: &Fleet, control: usize) -> u64 {
    let files = std::fs::read_dir(fleet.log_folder(control));
    let names = files.into_iter().flatten().flatten();
    let names = names.filter_map(|file| file.file_name().into_string().ok());
    let indexes = names.filter_map(|name| {
        let (_, index) = name.strip_prefix("snapshot-")?.split_once('-')?;
        u64::from_str_radix(index, 16).ok()
    });
    indexes.max().unwrap_or(0)
}

/// Returns the version that a node reads, `None` without a clear answer.
fn read_version(to: std::net::SocketAddr) -> Option<u64> {
    let answer = call(to, "GET", "/config", &[], b"", Duration::from_secs(1)).ok()?;
    let text = answer.text();
    let version = text.split_once("\"Version\":")?.1;
    let digits: String = version.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok().filter(|_| answer.status() == 200)
}

/// A control process is killed while it stores a snapshot, and later forgets what it has
/// acknowledged since. The kill has to come within some hundred microseconds, so that it is
/// tried again if nothing is lost.
fn forgotten(record: &Record) -> i32 {
    let tries = if trouble() { 3 } else { 1 };
    let mut code = COULD_NOT_RUN;
    for number in 0..tries {
        record.line(format!("try {number}"));
        match forgotten_once(record) {
            BROKEN => return BROKEN,
            HELD => code = HELD,
            _ => {}
        }
    }
    code
}

fn forgotten_once(record: &Record) -> i32 {
    let mut fleet = Fleet::new(record, 3, 2);
    let routes = [batch_route("plans", "/plans/", "desk")];
    if !fleet.start(&config(1, &routes, &["desk"])) {
        return COULD_NOT_RUN;
    }
    let Some(old) = leader(&fleet) else {
        return COULD_NOT_RUN;
    };
    record.line(format!("core-{old} leads"));
    // Jobs come while the core is killed. The leader goes last, and nobody has its last entries.
    let go = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..120)
        .map(|client| {
            let (go, to) = (Arc::clone(&go), fleet.callers(client % 2));
            thread::spawn(move || {
                let job = Job::new(1, |_| format!("/plans/0/{client}"));
                let body = job.body("", b"plan", 500);
                while !go.load(Ordering::Relaxed) {
                    thread::sleep(Duration::from_millis(1));
                }
                let headers = [
                    ("Host", HOST),
                    ("Bilberrywind-Request-Id", job.id.as_str()),
                    ("Bilberrywind-Deadline-Ms", "800"),
                ];
                let limit = Duration::from_millis(800);
                let answer = call(to, "POST", "/plans/0", &headers, body.as_bytes(), limit);
                answer.map_or(0, |answer| answer.status())
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    for index in (0..3).filter(|index| *index != old) {
        fleet.controls[index].kill();
    }
    go.store(true, Ordering::Relaxed);
    thread::sleep(Duration::from_millis(220));
    fleet.controls[old].kill();
    record.line("platform: all control processes are killed, the leader last");
    let answers: Vec<u16> = clients
        .into_iter()
        .map(|client| client.join().unwrap_or(0))
        .collect();
    record.line(format!("client: 120 jobs are answered {answers:?}"));
    for index in (0..3).filter(|index| *index != old) {
        fleet.controls[index].start();
    }
    record.line("platform: the other two are back");
    let Some(new) = leader(&fleet) else {
        return COULD_NOT_RUN;
    };
    record.line(format!("core-{new} leads"));
    for number in 0..3 {
        let job = Job::new(200, |index| format!("/plans/{number}/{index}"));
        let body = job.body("", &[b'x'; 14_000], 500);
        if submit(&fleet, record, "/plans/1", &job, &body, 10).is_none() {
            return COULD_NOT_RUN;
        }
    }
    let until = Instant::now() + Duration::from_secs(10);
    while last_snapshot(&fleet, new) == 0 {
        if Instant::now() > until {
            record.line("no snapshot");
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_millis(20));
    }
    thread::sleep(Duration::from_millis(500));
    let snapshot = last_snapshot(&fleet, new);
    record.line(format!("core-{new} has a snapshot of entry {snapshot}"));
    let stored = fleet
        .log_folder(old)
        .join(format!("snapshot-00000000-{snapshot:016x}"));
    fleet.controls[old].start();
    let until = Instant::now() + Duration::from_secs(10);
    while !stored.exists() {
        if Instant::now() > until {
            record.line("the snapshot is not sent");
            return COULD_NOT_RUN;
        }
    }
    if trouble() {
        fleet.controls[old].kill();
        record.line(format!(
            "platform: core-{old} is killed as it stores the snapshot"
        ));
        thread::sleep(Duration::from_millis(300));
        fleet.controls[old].start();
    }
    record.line(format!("platform: core-{old} is back"));
    if !fleet.publish(&config(2, &routes, &["desk"])) {
        return COULD_NOT_RUN;
    }
    let until = Instant::now() + Duration::from_secs(10);
    while !fleet.has_applied(old, 2) {
        if Instant::now() > until {
            record.line("the process that was back does not catch up");
            return COULD_NOT_RUN;
        }
        thread::sleep(Duration::from_millis(50));
    }
    // It has caught up for longer than `CatchUpS`.
    thread::sleep(Duration::from_millis(5_000));
    let Some(leads) = leader(&fleet).filter(|leads| *leads != old) else {
        record.line("the process that was back leads");
        return COULD_NOT_RUN;
    };
    let third = 3 - old - leads;
    fleet.controls[third].kill();
    record.line(format!("platform: core-{third} is killed"));
    thread::sleep(Duration::from_millis(500));
    if !fleet.publish(&config(3, &routes, &["desk"])) {
        return COULD_NOT_RUN;
    }
    let acknowledged = Instant::now();
    fleet.controls[old].kill();
    fleet.controls[leads].kill();
    record.line(format!(
        "platform: the others, core-{old} and core-{leads}, are killed"
    ));
    thread::sleep(Duration::from_millis(700));
    fleet.controls[old].start();
    fleet.controls[third].start();
    record.line(format!("platform: core-{old} and core-{third} are back"));
    thread::sleep(Duration::from_millis(2_500).saturating_sub(acknowledged.elapsed()));
    let mut older = 0;
    for _ in 0..4 {
        for index in [old, third] {
            let version = read_version(fleet.operators(index));
            record.line(format!("operator: core-{index} reads version {version:?}"));
            older += usize::from(version.is_some_and(|version| version < 3));
        }
        thread::sleep(Duration::from_millis(250));
    }
    fleet.controls[leads].start();
    record.line(format!("platform: core-{leads} is back"));
    if older == 0 && trouble() {
        return HELD;
    }
    // `RecoveryS` and more.
    thread::sleep(Duration::from_millis(13_000));
    let mut last = Vec::new();
    for index in 0..3 {
        let version = read_version(fleet.operators(index));
        record.line(format!(
            "operator: at the end core-{index} reads version {version:?}"
        ));
        last.push(version);
    }
    record.line(format!("version 3 was acknowledged; older versions were read {older} times, and at the end {last:?}"));
    let lost = last.iter().flatten().any(|version| *version < 3);
    if older > 0 || lost { BROKEN } else { HELD }
}
