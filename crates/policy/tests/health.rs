//! Tests of `health`: ejection, probing and restoration of replicas.

use std::collections;

use bw_policy::health::{self, Attempt, Change, Ejection, Health, Outcome, Snapshot, Status};
use bw_wire::name;
use rstest::rstest;

fn id(index: usize) -> name::Name {
    format!("e{index:02}").into()
}

fn snapshot(index: usize, requests: f32) -> Snapshot {
    Snapshot {
        id: id(index),
        incarnation: 1,
        group: "m".into(),
        capacity: 32,
        requests,
    }
}

/// Returns a group of healthy replicas with a first-token time of 100 ms, and
/// the current time.
fn group(replicas: usize, requests: f32) -> (Health, u64) {
    let mut health = health::Builder::new().build();
    for index in 0..replicas {
        health.update(snapshot(index, requests), 0);
    }
    let mut now_ms = 0;
    for _ in 0..20 {
        (0..replicas).for_each(|index| run(&mut health, index, now_ms, 100, Outcome::Done));
        now_ms += 100;
        assert_eq!(health.tick(now_ms), []);
    }
    (health, now_ms)
}

/// Runs one request with a given first-token time.
fn run(health: &mut Health, index: usize, now_ms: u64, first_token_ms: u64, outcome: Outcome) {
    let mut attempt = health.begin(&id(index), now_ms);
    health.progress(&mut attempt, now_ms + first_token_ms);
    health.end(attempt, outcome, now_ms + first_token_ms);
}

fn ejected(changes: &[Change]) -> Vec<(name::Name, Ejection)> {
    changes
        .iter()
        .filter_map(|change| match change {
            Change::Ejected { id, reason } => Some((id.clone(), *reason)),
            Change::Probe { .. } | Change::Restored { .. } => None,
        })
        .collect()
}

/// Ticks every 50 ms and returns all changes. Each of the given attempts receives
/// a token before each tick.
fn tick_for(
    health: &mut Health,
    responsive: &mut [Attempt],
    start_ms: u64,
    duration_ms: u64,
) -> Vec<Change> {
    let mut changes = Vec::new();
    for now_ms in (start_ms..=start_ms + duration_ms).step_by(50) {
        for attempt in responsive.iter_mut() {
            health.progress(attempt, now_ms);
        }
        changes.extend(health.tick(now_ms));
    }
    changes
}

/// Guards against a frozen replica that keeps receiving requests, whether it
/// freezes while decoding or before any first token.
#[rstest]
#[case::while_decoding(true, 550)]
#[case::before_first_token(false, 600)]
fn frozen_replicas_are_ejected(#[case] decoding: bool, #[case] within_ms: u64) {
    let (mut health, now_ms) = group(4, 4.0);
    let mut frozen = health.begin(&id(0), now_ms);
    if decoding {
        health.progress(&mut frozen, now_ms);
    }
    let mut responsive: Vec<Attempt> = (1..4)
        .map(|index| health.begin(&id(index), now_ms))
        .collect();
    let early = tick_for(&mut health, &mut responsive, now_ms, 450);
    assert_eq!(early, []);
    let changes = tick_for(&mut health, &mut responsive, now_ms + 500, within_ms - 500);
    assert_eq!(ejected(&changes), [(id(0), Ejection::Frozen)]);
    assert_eq!(health.status("e00"), Status::Ejected(Ejection::Frozen));
}

/// Guards against ejections without a fault of the replica: when it is idle, its
/// requests are cancelled, or all replicas are equally slow.
#[rstest]
#[case::idle(|_: &mut Health, _: u64| {})]
#[case::cancelled(|health: &mut Health, now_ms: u64| {
    for _ in 0..50 {
        let attempt = health.begin(&id(0), now_ms);
        health.end(attempt, Outcome::Cancelled, now_ms);
    }
})]
#[case::all_slow(|health: &mut Health, now_ms: u64| {
    for _ in 0..100 {
        (0..4).for_each(|index| run(health, index, now_ms, 5_000, Outcome::Done));
    }
})]
fn healthy_replicas_are_not_ejected(#[case] disturb: fn(&mut Health, u64)) {
    let (mut health, now_ms) = group(4, 4.0);
    disturb(&mut health, now_ms);
    let changes = tick_for(&mut health, &mut [], now_ms, 10_000);
    assert_eq!(changes, []);
}

/// Guards against ejecting half the fleet after a pause of this process, during
/// which it read no responses.
#[test]
fn pauses_of_this_process_eject_no_replica() {
    let (mut health, now_ms) = group(4, 4.0);
    let mut attempts: Vec<Attempt> = (0..4)
        .map(|index| health.begin(&id(index), now_ms))
        .collect();
    assert_eq!(tick_for(&mut health, &mut attempts, now_ms, 200), []);
    let resumed_ms = now_ms + 30_000;
    assert_eq!(health.tick(resumed_ms), []);
    assert_eq!(
        tick_for(&mut health, &mut attempts, resumed_ms + 50, 1_000),
        []
    );
}

/// Guards against keeping replicas that fail or are much slower than the others,
/// and against ejecting them for a few failures or a small delay.
#[rstest]
#[case::all_fail(20, 100, Outcome::Failed, Some(Ejection::Failing))]
#[case::few_fail(2, 100, Outcome::Failed, None)]
#[case::slow(30, 600, Outcome::Done, Some(Ejection::Slow))]
#[case::a_little_slow(30, 250, Outcome::Done, None)]
fn failing_and_slow_replicas_are_ejected(
    #[case] requests: usize,
    #[case] first_token_ms: u64,
    #[case] outcome: Outcome,
    #[case] reason: Option<Ejection>,
) {
    let (mut health, now_ms) = group(4, 4.0);
    for _ in 0..requests {
        run(&mut health, 0, now_ms, first_token_ms, outcome);
    }
    let changes = health.tick(now_ms + 100);
    let expected: Vec<_> = reason.map(|reason| (id(0), reason)).into_iter().collect();
    assert_eq!(ejected(&changes), expected);
    let penalty = health.penalty("e00");
    assert_eq!(penalty > 1.5, first_token_ms > 200, "penalty {penalty}");
}

/// Guards against ejecting so many replicas that the rest is overloaded, also
/// after the loss of a third of the replicas.
#[rstest]
#[case::frozen_up_to_half(12, 8.0, Outcome::Cancelled, 6)]
#[case::failing_within_capacity(12, 8.0, Outcome::Failed, 6)]
#[case::failing_under_load(12, 24.0, Outcome::Failed, 2)]
#[case::a_third_lost(8, 24.0, Outcome::Failed, 1)]
#[case::the_only_one(1, 1.0, Outcome::Failed, 0)]
fn ejections_are_bounded(
    #[case] replicas: usize,
    #[case] requests: f32,
    #[case] outcome: Outcome,
    #[case] allowed: usize,
) {
    let (mut health, now_ms) = group(replicas, requests);
    let mut attempts = Vec::new();
    for index in 0..replicas {
        match outcome {
            Outcome::Failed => {
                for _ in 0..40 {
                    let attempt = health.begin(&id(index), now_ms);
                    health.end(attempt, Outcome::Failed, now_ms);
                }
            }
            _ => attempts.push(health.begin(&id(index), now_ms)),
        }
    }
    let changes = tick_for(&mut health, &mut [], now_ms, 900);
    assert_eq!(ejected(&changes).len(), allowed);
}

/// Guards against unresponsive replicas that stay in use because the ejection
/// limit is used up by replicas that were briefly silent and respond again.
#[rstest]
#[case::failing_ones_are_unresponsive(true, 0, &[2, 3], &[0, 1])]
#[case::frozen_ones_stay_unresponsive(false, 0, &[], &[])]
#[case::failing_ones_still_respond(true, 1, &[], &[])]
fn unresponsive_replicas_replace_responsive_ones_in_ejection(
    #[case] is_responsive: bool,
    #[case] answered: usize,
    #[case] failing: &[usize],
    #[case] restored: &[usize],
) {
    let (mut health, now_ms) = group(4, 4.0);
    let mut slow: Vec<Attempt> = (0..2)
        .map(|index| health.begin(&id(index), now_ms))
        .collect();
    for attempt in &mut slow {
        health.progress(attempt, now_ms);
    }
    let changes = tick_for(&mut health, &mut [], now_ms, 550);
    let frozen = [(id(0), Ejection::Frozen), (id(1), Ejection::Frozen)];
    assert_eq!(ejected(&changes), frozen);
    let now_ms = now_ms + 600;
    for index in 2..4 {
        for _ in 0..40 {
            let attempt = health.begin(&id(index), now_ms);
            health.end(attempt, Outcome::Failed, now_ms);
        }
        (0..answered).for_each(|_| run(&mut health, index, now_ms, 1, Outcome::Done));
    }
    if is_responsive {
        for attempt in &mut slow {
            health.progress(attempt, now_ms + 50);
        }
    }
    let changes = tick_for(&mut health, &mut [], now_ms + 50, 2_000);
    let expected: Vec<_> = failing.iter().map(|&index| id(index)).collect();
    let ejected: Vec<_> = ejected(&changes).into_iter().map(|(id, _)| id).collect();
    assert_eq!(ejected, expected);
    for index in 0..2 {
        let is_restored = changes.contains(&Change::Restored { id: id(index) });
        assert_eq!(is_restored, restored.contains(&index), "{changes:?}");
    }
}

/// Guards against a replica that is never restored, and against frequent probes
/// of a replica that stays unhealthy.
#[test]
fn ejected_replicas_are_probed_and_restored() {
    let (mut health, now_ms) = group(4, 4.0);
    for _ in 0..20 {
        run(&mut health, 0, now_ms, 100, Outcome::Failed);
    }
    let start_ms = now_ms + 100;
    assert_eq!(
        ejected(&health.tick(start_ms)),
        [(id(0), Ejection::Failing)]
    );
    let mut probes = Vec::new();
    for now_ms in (start_ms..start_ms + 20_000).step_by(50) {
        if health.tick(now_ms).contains(&Change::Probe { id: id(0) }) {
            probes.push(now_ms - start_ms);
            assert_eq!(health.probe_finished("e00", None, now_ms), None);
        }
    }
    assert_eq!(probes, [1_000, 3_000, 7_000, 15_000]);
    let due_ms = start_ms + 31_000;
    assert_eq!(health.tick(due_ms), [Change::Probe { id: id(0) }]);
    let slow = health.probe_finished("e00", Some(5_000), due_ms);
    assert_eq!(slow, None, "a slow probe should not restore the replica");
    let due_ms = due_ms + 30_000;
    assert_eq!(health.tick(due_ms), [Change::Probe { id: id(0) }]);
    let restored = health.probe_finished("e00", Some(90), due_ms);
    assert_eq!(restored, Some(Change::Restored { id: id(0) }));
    assert_eq!(health.status("e00"), Status::Healthy);
    assert_eq!(tick_for(&mut health, &mut [], due_ms, 5_000), []);
}

/// Guards against ejecting a restarted replica because of requests and snapshots
/// of its previous incarnation.
#[test]
fn restarts_begin_healthy() {
    let (mut health, now_ms) = group(4, 4.0);
    let old: Vec<Attempt> = (0..20).map(|_| health.begin(&id(0), now_ms)).collect();
    for _ in 0..20 {
        run(&mut health, 0, now_ms, 100, Outcome::Failed);
    }
    health.tick(now_ms + 100);
    let restarted = Snapshot {
        incarnation: 2,
        ..snapshot(0, 0.0)
    };
    health.update(restarted, now_ms + 200);
    for attempt in old {
        health.end(attempt, Outcome::Failed, now_ms + 200);
    }
    assert_eq!(health.status("e00"), Status::Healthy);
    health.update(snapshot(0, 0.0), now_ms + 300);
    assert_eq!(
        health.tick(now_ms + 200),
        [],
        "late outcomes and snapshots should be ignored"
    );
    let known = collections::BTreeSet::from([id(1)]);
    health.retain(|id| known.contains(id));
    assert_eq!(health.status("e00"), Status::Healthy);
}
