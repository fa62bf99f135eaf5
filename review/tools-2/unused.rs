//! RECOVER: a replica that was silent when all control programs were restarted gets no
//! request for good, although its heartbeats are acknowledged.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    Outcome, engine,
    fleet::{self, Fleet, Record},
    http, jobs,
};

const PREFIX: &str = "/lohu930/";
const SERVICES: [&str; 2] = ["quote-desk", "other-desk"];
/// The replica of the first service is one of five: 0.2 of them is cut off, as `srv_cut`
/// names it.
const REPLICAS: u8 = 5;
const CUT_MS: u64 = 5_000;
/// How late the first heartbeat after the cut arrives: "a heartbeat may arrive seconds late".
const LATE_MS: u64 = 3_000;
/// Time from the cut to the final fault.
const FAULT_MS: u64 = 6_600;
const DOWN_MS: u64 = 700;
/// `RecoveryS` of the pages' example, in milliseconds.
const RECOVERY_MS: u64 = 12_000;
/// Interval between two requests of the quiet hour.
const REQUEST_MS: u64 = 2_500;
/// Time in which requests are counted before the cut, and after `RecoveryS`, in
/// milliseconds.
const BEFORE_MS: u64 = 10_000;
const AFTER_MS: u64 = 30_000;
const DEADLINE_MS: u64 = 5_000;

pub fn play(record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let mut fleet = Fleet::start(record.clone(), 5, 2).map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let options = engine::Options {
            id: format!("i-{number}"),
            service: SERVICES[usize::from(number > 0)].to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3].to_owned(),
            address: fleet.replica_address(21 + number),
            slots: 8,
            event_ms: 20,
            framed: true,
            lost_end: Arc::default(),
        };
        let replica = engine::Replica::start(options, record, fleet.operators());
        replicas.push(replica.map_err(text)?);
    }
    let replica = &replicas[0];
    let route = format!(
        "{{\"Name\":\"r-quote\",\"Host\":\"{}\",\"PathPrefix\":\"{PREFIX}\",\"Kind\":\"streaming\",\
         \"TimeoutMs\":5000,\"TargetLatencyMs\":300,\"Priority\":0,\"Service\":\"{}\",\
         \"MaxAttempts\":2,\"Sticky\":true,\"Resumable\":true,\"TargetGapMs\":300}}",
        jobs::HOST,
        SERVICES[0]
    );
    fleet.publish(1, &jobs::document(1, &route, &SERVICES))?;
    fleet.await_ready()?;
    // All five control programs are members of the group by then.
    thread::sleep(Duration::from_secs(5));
    let stop = Arc::new(AtomicBool::new(false));
    let client = {
        let (stop, record) = (Arc::clone(&stop), record.clone());
        let entries = [fleet.callers(0), fleet.callers(1)];
        thread::spawn(move || send_requests(&record, entries, &stop))
    };
    jobs::sleep_until(&fleet, record.now_ms() + BEFORE_MS);
    let mut fault_ms = record.now_ms();
    if fleet::has_trouble() {
        let acknowledged = replica.acknowledged();
        while replica.acknowledged() == acknowledged {
            thread::sleep(Duration::from_millis(5));
        }
        replica.set_cut(true);
        let cut_ms = record.now_ms();
        jobs::sleep_until(&fleet, cut_ms + CUT_MS);
        record.note("the cut heals; the next heartbeat is late");
        jobs::sleep_until(&fleet, cut_ms + FAULT_MS);
        fault_ms = record.now_ms();
        for index in 0..fleet.controls() {
            fleet.kill_control(index);
        }
        fleet.lose_disk(4).map_err(text)?;
        thread::sleep(Duration::from_millis(DOWN_MS));
        for index in 0..fleet.controls() {
            fleet.restart_control(index).map_err(text)?;
        }
        jobs::sleep_until(&fleet, cut_ms + CUT_MS + LATE_MS);
        replica.set_cut(false);
    }
    let acknowledged = replica.acknowledged();
    let recovered_ms = record.now_ms() + RECOVERY_MS;
    jobs::sleep_until(&fleet, recovered_ms + AFTER_MS);
    stop.store(true, Ordering::Relaxed);
    let sent = client.join().map_err(|_| "the client failed")?;
    let before = share(sent.iter().filter(|sent| sent.at_ms < fault_ms));
    let after = share(sent.iter().filter(|sent| sent.at_ms > recovered_ms));
    let acknowledged = replica.acknowledged() - acknowledged;
    record.note(&format!(
        "served {} of {} before the fault, and {} of {} later than RecoveryS after the machines \
         are back; meanwhile {acknowledged} heartbeats of the replica were acknowledged",
        before.0, before.1, after.0, after.1
    ));
    if before.0 * 4 < before.1 || after.1 == 0 || acknowledged == 0 {
        return Err("the replica did not serve, or could not register".to_owned());
    }
    Ok(after.0 * 4 >= after.1)
}

/// A request of a client, with all its attempts.
struct Sent {
    at_ms: u64,
    served: bool,
}

/// Returns how many of some requests were served, and their number.
fn share<'a>(sent: impl Iterator<Item = &'a Sent>) -> (usize, usize) {
    sent.fold((0, 0), |(served, all), sent| {
        (served + usize::from(sent.served), all + 1)
    })
}

/// Sends requests one after another until `stop` is set, by turns at both entry programs.
fn send_requests(record: &Record, entries: [SocketAddr; 2], stop: &AtomicBool) -> Vec<Sent> {
    let mut all = Vec::new();
    while !stop.load(Ordering::Relaxed) {
        let at_ms = record.now_ms();
        let number = all.len();
        let mut served = false;
        for attempt in 0..2 {
            let id = format!("quote-{number}-{attempt}");
            let left_ms = DEADLINE_MS.saturating_sub(record.now_ms() - at_ms);
            let deadline = left_ms.to_string();
            let headers = [
                ("Host", jobs::HOST),
                ("Bilberrywind-Request-Id", id.as_str()),
                ("Bilberrywind-Model", "m"),
                ("Bilberrywind-Token-Count", "340,30"),
                ("Bilberrywind-Prompt-Prefix", "5c1e07a2:200,91bd3f06:140"),
                ("Bilberrywind-Deadline-Ms", deadline.as_str()),
            ];
            let to = entries[(number + attempt) % entries.len()];
            let path = format!("{PREFIX}{number}");
            let timeout = Duration::from_millis(left_ms);
            let answer = http::call(to, "POST", &path, &headers, b"events=3", timeout);
            let status = answer.as_ref().map_or(0, |answer| answer.status());
            let retry_after = answer
                .as_ref()
                .map_or("", |answer| answer.header("Retry-After"));
            record.note(&format!(
                "client sends {id} to {to}: {status}, Retry-After \"{retry_after}\""
            ));
            served = status == 200 && answer.as_ref().is_ok_and(|answer| answer.complete);
            if served {
                break;
            }
            let seconds = retry_after.parse::<f64>().unwrap_or(0.1);
            thread::sleep(Duration::from_secs_f64(seconds.clamp(0.0, 1.5)));
        }
        all.push(Sent { at_ms, served });
        let left_ms = (at_ms + REQUEST_MS).saturating_sub(record.now_ms());
        thread::sleep(Duration::from_millis(left_ms));
    }
    all
}
