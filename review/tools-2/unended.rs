//! LOST: an item whose answer is reset after its last event is never listed, if answers end
//! with their connection.

use std::{
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::{
    Outcome, engine,
    fleet::{self, Fleet, Record},
    jobs,
};

const JOB: &str = "7c41e09b52d6a3f8";
const SERVICE: &str = "plan-desk";
const ITEMS: usize = 20;
/// The item of which one answer is reset: one of 20 answers.
const LOST_ITEM: usize = 7;
const REPLICAS: u8 = 4;
const EVENTS: u64 = 250;
const EVENT_MS: u64 = 10;
/// Time from the 202 to the end of the traffic, in milliseconds.
const TRAFFIC_MS: u64 = 8_000;
/// `FinishS` of the pages' example, in milliseconds.
const FINISH_MS: u64 = 18_000;
/// Time before the end of `FinishS` in which no replica may have had the item.
const IDLE_MS: u64 = 5_000;

pub fn play(record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let mut fleet = Fleet::start(record.clone(), 5, 2).map_err(text)?;
    let item = jobs::item_id(LOST_ITEM);
    let lost_end = fleet::has_trouble().then(|| item.clone());
    let lost_end = Arc::new(Mutex::new(lost_end));
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let options = engine::Options {
            id: format!("i-plan{number}"),
            service: SERVICE.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][usize::from(number) % 3].to_owned(),
            address: fleet.replica_address(21 + number),
            slots: 8,
            event_ms: EVENT_MS,
            framed: false,
            lost_end: Arc::clone(&lost_end),
        };
        let replica = engine::Replica::start(options, record, fleet.operators());
        replicas.push(replica.map_err(text)?);
    }
    fleet.publish(1, &jobs::config(1, SERVICE, &[SERVICE]))?;
    fleet.await_ready()?;
    // All five control programs are members of the group by then.
    thread::sleep(Duration::from_secs(5));
    let accepted_ms = jobs::submit(&fleet, JOB, ITEMS, EVENTS)?;
    let finish_ms = accepted_ms + TRAFFIC_MS + FINISH_MS;
    let mut listed = Vec::new();
    for at_ms in (accepted_ms..finish_ms).step_by(500) {
        jobs::sleep_until(&fleet, at_ms);
        if let Some(results) = jobs::results(&fleet, (at_ms / 500 % 2) as u8, JOB)
            && results.len() > listed.len()
        {
            listed = results;
            record.note(&format!("{} of {ITEMS} items are listed", listed.len()));
        }
    }
    jobs::sleep_until(&fleet, finish_ms);
    let results = jobs::results(&fleet, 0, JOB).ok_or("the results can't be read")?;
    let is_listed = results.iter().any(|(id, _)| *id == item);
    let begun = replicas.iter().flat_map(|replica| replica.begun());
    let runs: Vec<u64> = begun
        .filter(|run| run.request == item)
        .map(|run| run.at_ms)
        .collect();
    let is_idle = runs.iter().all(|at_ms| at_ms + IDLE_MS < finish_ms);
    record.note(&format!(
        "FinishS is over: {} of {ITEMS} items are listed, item {item} is listed: {is_listed}; \
         it reached replicas at {runs:?} ms",
        results.len()
    ));
    Ok(is_listed || !is_idle)
}
