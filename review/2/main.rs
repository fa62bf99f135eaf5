//! Case 2: a request under which each replica goes dark is sent to replicas without end.

#[path = "../tools/common.rs"]
mod common;

use std::{
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use common::*;

const REPLICAS: u8 = 12;
const SLOTS: u32 = 8;
/// How long a replica is down after the request, as in the site file (srv_crash, dark).
const DARK_MS: u64 = 4_500;
const CONTACT_MS: u64 = 3_000;
const DEADLINE_MS: u64 = 5_000;
/// How often the same request comes again, and how many times.
const AGAIN_MS: u64 = 5_000;
const TIMES: u32 = 13;
const DEADLY: &[u8] = b"the request that each replica goes dark under";

fn config() -> String {
    r#"{"Version":1,"Routes":[{"Name":"r-resin","Host":"resin.example","PathPrefix":"/resin/","Kind":"streaming","TimeoutMs":5000,"TargetLatencyMs":300,"Priority":0,"Service":"bench-assistant","MaxAttempts":2,"Sticky":true,"Resumable":true,"TargetGapMs":300}],"Services":[{"Name":"bench-assistant","HealthPath":"/health","MaxConns":360,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}"#.to_owned()
}

fn main() {
    let folder = std::env::args().nth(1).expect("the folder of the case");
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::new(&folder);
    let code = run(&record, trouble);
    record.line(format!("exit status {code}"));
    std::process::exit(code);
}

/// A run of the request: when it began, and the id of the client's attempt.
type Runs = Arc<Mutex<Vec<(Instant, String)>>>;

fn run(record: &Record, trouble: bool) -> i32 {
    let fleet = Fleet::start(5, 2, 3);
    let runs = Runs::default();
    let seen = Arc::clone(&runs);
    let handler: Handler = Arc::new(move |replica, received, stream| {
        if received.body == DEADLY {
            seen.lock().expect("runs").push((Instant::now(), received.id().to_owned()));
            replica.record.line(format!("replica {} begins to run request {}", replica.id(), received.id()));
            if trouble {
                // A request begins to run with its first token.
                replica.stream_part(stream, received, 1, &|number| format!("event {number}"));
                replica.record.line(format!("replica {} goes dark for {DARK_MS} ms", replica.id()));
                replica.go_dark(DARK_MS);
                sleep_ms(DARK_MS);
                return false;
            }
        }
        replica.stream_events(stream, received, 30, 10, &|number| format!("event {number}")).1
    });
    let replicas: Vec<_> = (60..60 + REPLICAS)
        .map(|host| Replica::start(&fleet, host, "bench-assistant", SLOTS, record, Arc::clone(&handler)))
        .collect();
    let accepted = fleet.order("PUT", "/config", &config());
    record.line(format!("the operator sends the config, answer {:?}", accepted.as_ref().map(|response| response.status)));
    if accepted.is_none_or(|response| response.status != 200) || !fleet.await_ready() {
        return 2;
    }
    let fronts: Vec<_> = fleet.entries.iter().map(Process::front).collect();
    let until = Instant::now() + Duration::from_secs(10);
    while !fronts.iter().all(|front| send(*front, "probe", b"sound").is_some_and(|response| response.status == 200 && response.complete)) {
        if Instant::now() > until {
            record.line("no request is served");
            return 2;
        }
        sleep_ms(100);
    }
    // ContactMs after the start, all machines are in touch.
    sleep_ms(2 * CONTACT_MS);
    let mut attempts = Vec::new();
    for number in 0..TIMES {
        let front = fronts[number as usize % fronts.len()];
        let id = format!("again-{number:02}");
        record.line(format!("client sends request {id}"));
        let (record, sent) = (record.clone(), Instant::now());
        let attempt = id.clone();
        attempts.push((id, sent));
        thread::spawn(move || {
            let response = send(front, &attempt, DEADLY);
            let status = response.as_ref().map(|response| (response.status, response.complete));
            record.line(format!("request {attempt} ends: status and whether complete {status:?}"));
        });
        sleep_ms(AGAIN_MS);
    }
    sleep_ms(DEADLINE_MS);
    drop(replicas);
    let runs = runs.lock().expect("runs").clone();
    record.line(format!("the request has run {} times", runs.len()));
    if !trouble {
        return i32::from(runs.len() < TIMES as usize) * 2;
    }
    let Some((third, _)) = runs.get(2) else {
        record.line("it has crashed less than three replicas");
        return 0;
    };
    let limit = *third + Duration::from_millis(CONTACT_MS);
    let retries = attempts.iter().filter(|(id, sent)| *sent > limit && runs.iter().any(|(_, run)| run == id)).count();
    let crashed = runs.iter().filter(|(at, _)| *at > limit).count();
    record.line(format!(
        "BUDGET: {retries} retries reached replicas later than ContactMs after the third crash (3 are allowed), and took {crashed} more replicas down"
    ));
    i32::from(retries > 3)
}

fn send(front: std::net::SocketAddr, id: &str, body: &[u8]) -> Option<Response> {
    let deadline = DEADLINE_MS.to_string();
    let last = match body == DEADLY {
        true => "5d1f33e0:250".to_owned(),
        false => format!("{:08x}:250", unix_ms() & 0xffff_ffff),
    };
    let prefix = format!("5c1e07a2:100,91bd3f06:100,{last}");
    let headers = [
        ("Host", "resin.example"),
        ("Bilberrywind-Request-Id", id),
        ("Bilberrywind-Model", "m"),
        ("Bilberrywind-Token-Count", "450,270"),
        ("Bilberrywind-Prompt-Prefix", prefix.as_str()),
        ("Bilberrywind-Deadline-Ms", deadline.as_str()),
    ];
    call(front, "POST", "/resin/7f", &headers, body, DEADLINE_MS)
}
