//! LOST: after a burst of crashes the items of a job are held back for good, if answers end
//! with their connection and items are short.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Outcome, engine,
    fleet::{self, Fleet, Record},
    jobs,
};

const JOB: &str = "7c41e09b52d6a3f8";
const SERVICE: &str = "plan-desk";
const ITEMS: usize = 200;
const REPLICAS: u8 = 20;
/// Replicas that crash: 15 in 100, as `srv_crash` names it.
const CRASHED: usize = 3;
const SLOTS: usize = 4;
const EVENTS: u64 = 100;
const EVENT_MS: u64 = 3;
/// Time for which the crashed replicas are down, in milliseconds.
const DOWN_MS: u64 = 2_000;
/// Time from the 202 to the end of the traffic, in milliseconds.
const TRAFFIC_MS: u64 = 10_000;
/// `FinishS` of the pages' example, in milliseconds.
const FINISH_MS: u64 = 18_000;
/// Time before the end of `FinishS` in which no replica may have had an unlisted item.
const IDLE_MS: u64 = 5_000;

pub fn play(record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let mut fleet = Fleet::start(record.clone(), 5, 2).map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let options = engine::Options {
            id: format!("i-plan{number}"),
            service: SERVICE.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3].to_owned(),
            address: fleet.replica_address(18 + number),
            slots: SLOTS,
            event_ms: EVENT_MS,
            framed: false,
            lost_end: Arc::default(),
        };
        let replica = engine::Replica::start(options, record, fleet.operators());
        replicas.push(replica.map_err(text)?);
    }
    fleet.publish(1, &jobs::config(1, SERVICE, &[SERVICE]))?;
    fleet.await_ready()?;
    // All five control programs are members of the group by then.
    thread::sleep(Duration::from_secs(5));
    let accepted_ms = jobs::submit(&fleet, JOB, ITEMS, EVENTS)?;
    if fleet::has_trouble() {
        crash_busy(&replicas)?;
    }
    let finish_ms = accepted_ms + TRAFFIC_MS + FINISH_MS;
    let mut listed = 0;
    for at_ms in (accepted_ms..finish_ms).step_by(500) {
        jobs::sleep_until(&fleet, at_ms);
        let results = jobs::results(&fleet, (at_ms / 500 % 2) as u8, JOB);
        let count = results.map_or(0, |results| results.len());
        if count > listed {
            listed = count;
            record.note(&format!("{listed} of {ITEMS} items are listed"));
        }
    }
    jobs::sleep_until(&fleet, finish_ms);
    let results = jobs::results(&fleet, 0, JOB).ok_or("the results can't be read")?;
    let begun = replicas.iter().flat_map(|replica| replica.begun());
    let last_ms = begun.map(|run| run.at_ms).max().unwrap_or(0);
    record.note(&format!(
        "FinishS is over: {} of {ITEMS} items are listed; the last run of an item began {} ms ago",
        results.len(),
        record.now_ms() - last_ms
    ));
    let is_idle = last_ms + IDLE_MS + EVENTS * EVENT_MS * 2 < finish_ms;
    Ok(results.len() == ITEMS || !is_idle)
}

/// Crashes some replicas at once while they run items, and starts them again.
fn crash_busy(replicas: &[engine::Replica]) -> Result<(), String> {
    let busy = |replica: &&engine::Replica| replica.running() > 0;
    for _ in 0..1_000 {
        let chosen: Vec<_> = replicas.iter().filter(busy).take(CRASHED).collect();
        if chosen.len() < CRASHED || !replicas.iter().all(|replica| busy(&replica)) {
            thread::sleep(Duration::from_millis(5));
            continue;
        }
        for replica in &chosen {
            replica.crash();
        }
        thread::sleep(Duration::from_millis(DOWN_MS));
        for replica in &chosen {
            replica.restart();
        }
        return Ok(());
    }
    Err("the replicas did not run items".to_owned())
}
