//! CONFIG: an item that runs for a leader which is lost is sent to a replica of the service
//! that the route has left.

use std::{sync::Arc, thread, time::Duration};

use crate::{
    Outcome, engine,
    fleet::{self, Fleet, Record},
    jobs,
};

const SERVICES: [&str; 2] = ["old-desk", "new-desk"];
const JOB: &str = "7c41e09b52d6a3f8";
/// `ConfigApplyMs` and `MaxStretchMs` of the pages' example, in milliseconds.
const CONFIG_APPLY_MS: u64 = 2_000;
const MAX_STRETCH_MS: u64 = 5_000;
const ITEMS: usize = 6;
/// Events of an item, one every `EVENT_MS`, so that it runs for 15 s.
const EVENTS: u64 = 250;
const EVENT_MS: u64 = 60;

pub fn play(record: &Record) -> Outcome {
    let text = |error: std::io::Error| error.to_string();
    let mut fleet = Fleet::start(record.clone(), 5, 2).map_err(text)?;
    let mut replicas = Vec::new();
    for (host, (id, service)) in (21..).zip([
        ("i-old1", "old-desk"),
        ("i-old2", "old-desk"),
        ("i-new1", "new-desk"),
        ("i-new2", "new-desk"),
    ]) {
        let options = engine::Options {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: format!("zone-{}", if host % 2 == 0 { "a" } else { "b" }),
            address: fleet.replica_address(host),
            slots: 8,
            event_ms: EVENT_MS,
            framed: true,
            lost_end: Arc::default(),
        };
        let replica = engine::Replica::start(options, record, fleet.operators());
        replicas.push(replica.map_err(text)?);
    }
    fleet.publish(1, &jobs::config(1, "old-desk", &SERVICES))?;
    fleet.await_ready()?;
    // All five control programs are members of the group by then.
    thread::sleep(Duration::from_secs(5));
    jobs::submit(&fleet, JOB, ITEMS, EVENTS)?;
    await_runs(&replicas)?;
    let acknowledged_ms = fleet.publish(2, &jobs::config(2, "new-desk", &SERVICES))?;
    let bound_ms = acknowledged_ms + CONFIG_APPLY_MS + MAX_STRETCH_MS;
    jobs::sleep_until(&fleet, bound_ms + 200);
    if fleet::has_trouble() {
        let leader = fleet.leader().ok_or("no control program leads")?;
        fleet.kill_control(leader);
        thread::sleep(Duration::from_secs(1));
        fleet.restart_control(leader).map_err(text)?;
    }
    jobs::sleep_until(&fleet, bound_ms + 12_000);
    let results = jobs::results(&fleet, 0, JOB).unwrap_or_default();
    record.note(&format!("{} of {ITEMS} items are listed", results.len()));
    let broken = replicas[..2].iter().flat_map(|replica| replica.begun());
    let broken = broken.filter(|run| run.at_ms > bound_ms && !run.from_memory);
    let broken: Vec<_> = broken.collect();
    for run in &broken {
        record.note(&format!(
            "item {} reached a replica of the old service {} ms after the ack of config 2",
            run.request,
            run.at_ms - acknowledged_ms
        ));
    }
    Ok(broken.is_empty())
}

/// Waits until all items run.
fn await_runs(replicas: &[engine::Replica]) -> Result<(), String> {
    for _ in 0..100 {
        let begun: usize = replicas.iter().map(|replica| replica.begun().len()).sum();
        if begun >= ITEMS {
            return Ok(());
        }
        thread::sleep(Duration::from_millis(50));
    }
    Err("the items did not begin to run".to_owned())
}
