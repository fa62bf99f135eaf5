//! CONFIG, LOST: after two of three control machines were replaced, one after the other, no
//! control program leads any more, and what was acknowledged can't be read.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Outcome, engine,
    fleet::{self, Fleet, Record},
    jobs,
};

const JOB: &str = "7c41e09b52d6a3f8";
const SERVICE: &str = "plan-desk";
const ITEMS: usize = 6;
const EVENTS: u64 = 50;
const EVENT_MS: u64 = 20;
/// Time until the empty machine comes, as `replace_core` names it, in milliseconds.
const REPLACE_MS: u64 = 1_000;
/// Time from one replacement to the next, in milliseconds. `CatchUpS` of the pages' example
/// is 4.8 s.
const BETWEEN_MS: u64 = 15_000;
/// Time from the last replacement until the end of the day, in milliseconds. `RecoveryS` of
/// the pages' example is 12 s.
const END_MS: u64 = 40_000;
/// Time in which the operator and the client read at the end of the day, in milliseconds.
/// `ContactMs` of the pages' example is 3 s.
const READ_MS: u64 = 6_000;

pub fn play(record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let mut fleet = Fleet::start(record.clone(), 3, 2).map_err(text)?;
    let mut replicas = Vec::new();
    for number in 0..3 {
        let options = engine::Options {
            id: format!("i-plan{number}"),
            service: SERVICE.to_owned(),
            zone: ["zone-a", "zone-b", "zone-c"][usize::from(number)].to_owned(),
            address: fleet.replica_address(21 + number),
            slots: 8,
            event_ms: EVENT_MS,
            framed: true,
            lost_end: Arc::default(),
        };
        let replica = engine::Replica::start(options, record, fleet.operators());
        replicas.push(replica.map_err(text)?);
    }
    fleet.publish(1, &jobs::config(1, SERVICE, &[SERVICE]))?;
    fleet.await_ready()?;
    thread::sleep(Duration::from_secs(5));
    jobs::submit(&fleet, JOB, ITEMS, EVENTS)?;
    thread::sleep(Duration::from_secs(5));
    let listed = jobs::results(&fleet, 0, JOB).map_or(0, |results| results.len());
    if listed < ITEMS {
        return Err(format!("{listed} of {ITEMS} items are listed"));
    }
    if fleet::has_trouble() {
        replace(&mut fleet, 2).map_err(text)?;
        jobs::sleep_until(&fleet, record.now_ms() + BETWEEN_MS);
    }
    // The acknowledgement shows that the group is well.
    let document = jobs::config(2, SERVICE, &[SERVICE]);
    fleet.publish(2, &document)?;
    if fleet::has_trouble() {
        replace(&mut fleet, 1).map_err(text)?;
    }
    jobs::sleep_until(&fleet, record.now_ms() + END_MS);
    let until_ms = record.now_ms() + READ_MS;
    let (mut has_config, mut has_results) = (false, false);
    while record.now_ms() < until_ms && !(has_config && has_results) {
        for from in fleet.operators() {
            has_config |= fleet.read_config(from).as_ref() == Some(&document);
        }
        for entry in 0..2 {
            let results = jobs::results(&fleet, entry, JOB);
            has_results |= results.is_some_and(|results| results.len() == ITEMS);
        }
        thread::sleep(Duration::from_millis(500));
    }
    record.note(&format!(
        "at the end of the day config 2 is read: {has_config}, the results are read: {has_results}"
    ));
    Ok(has_config && has_results)
}

/// Removes a control machine for good; an empty one comes at another address.
fn replace(fleet: &mut Fleet, index: usize) -> std::io::Result<()> {
    fleet.kill_control(index);
    fleet.record.note("that machine is gone for good");
    thread::sleep(Duration::from_millis(REPLACE_MS));
    fleet.add_control()
}
