//! Tests of `admission`: team limits, fair queues and deadlines.

use std::collections;

use bw_policy::admission::{self, Admission, Admitted, Cause, Event, Request, Ticket};
use bw_wire::{intent, name, refusal, verdict};
use proptest::prelude::*;
use rstest::rstest;

const SERVICE: &str = "m";

fn request(team: &str) -> Request {
    Request {
        team: team.into(),
        service: SERVICE.into(),
        deadline_ms: None,
    }
}

fn with_team_limits(requests_per_s: u32, burst: u32, concurrent: u32, entry_vms: u32) -> Admission {
    let mut admission = admission::Builder::new().build();
    let intent = intent::Intent {
        default_limits: intent::Limits {
            requests_per_s,
            burst,
            concurrent,
            batch_weight: 1,
        },
        ..intent::Intent::default()
    };
    admission.configure(&intent, entry_vms);
    admission
}

/// Admits a request without a deadline, or fails with the cause of the refusal.
fn admit(admission: &mut Admission, team: &str, now_ms: u64) -> Result<Admitted, Cause> {
    admission
        .admit(&request(team), now_ms, &mut Vec::new())
        .map_err(|(cause, _)| cause)
}

fn finish(admission: &mut Admission, team: &str, now_ms: u64) -> Vec<Event> {
    let mut events = Vec::new();
    admission.finish(&team.into(), &SERVICE.into(), now_ms, &mut events);
    events
}

/// Guards against a team that exceeds its fleet-wide rate because each entry
/// VM allows the whole rate instead of its share.
#[rstest]
#[case::one_entry_vm(100, 10, 1, 10, 100)]
#[case::eight_entry_vms(800, 80, 8, 10, 100)]
#[case::share_below_one(4, 4, 8, 1, 0)]
fn rates_are_shared_by_entry_vms(
    #[case] rate: u32,
    #[case] burst: u32,
    #[case] entry_vms: u32,
    #[case] immediately: usize,
    #[case] in_next_second: usize,
) {
    let mut admission = with_team_limits(rate, burst, u32::MAX, entry_vms);
    let granted = |admission: &mut Admission, times: &mut dyn Iterator<Item = u64>| {
        times
            .filter(|&now_ms| admit(admission, "a", now_ms).is_ok())
            .count()
    };
    assert_eq!(
        granted(&mut admission, &mut std::iter::repeat_n(10_000, 500)),
        immediately
    );
    assert_eq!(
        granted(&mut admission, &mut (10_001..=11_000)),
        in_next_second
    );
}

/// Guards against a rate refusal without a retry delay, or with one after which
/// the request is refused again.
#[test]
fn rate_refusals_carry_a_sufficient_retry_delay() {
    let mut admission = with_team_limits(1, 3, u32::MAX, 1);
    let mut events = Vec::new();
    for _ in 0..3 {
        assert_eq!(admit(&mut admission, "a", 0), Ok(Admitted::Run));
    }
    let (cause, refusal) = admission
        .admit(&request("a"), 0, &mut events)
        .expect_err("the burst should be used up");
    assert_eq!(
        (cause, refusal.verdict),
        (Cause::Rate, verdict::Verdict::NotRun)
    );
    let after_ms = u64::from(
        refusal
            .retry_after_s
            .expect("refusal should have a retry delay"),
    ) * 1_000;
    assert_eq!(admit(&mut admission, "a", after_ms), Ok(Admitted::Run));
}

/// Guards against a team that uses all capacity of an entry VM, and against
/// concurrency slots that finished requests do not free.
#[test]
fn finished_requests_free_their_concurrency_slot() {
    let mut admission = with_team_limits(1_000, 1_000, 2, 1);
    assert_eq!(admit(&mut admission, "a", 0), Ok(Admitted::Run));
    assert_eq!(admit(&mut admission, "a", 0), Ok(Admitted::Run));
    assert_eq!(admit(&mut admission, "a", 0), Err(Cause::Concurrency));
    assert_eq!(admit(&mut admission, "b", 0), Ok(Admitted::Run));
    finish(&mut admission, "a", 1);
    assert_eq!(admit(&mut admission, "a", 1), Ok(Admitted::Run));
}

/// Guards against memory use that grows with every team ever seen.
#[test]
fn memory_is_bounded_for_32_000_teams() {
    let mut admission = admission::Builder::new()
        .max_teams(40_000)
        .concurrency_limit(u32::MAX)
        .build();
    let mut events = Vec::new();
    for round in 0..4u64 {
        let now_ms = round * 5_000;
        for team in 0..32_000 {
            // New teams in each round: 128,000 in all.
            let team = format!("team-{}", round * 32_000 + team);
            assert_eq!(admit(&mut admission, &team, now_ms), Ok(Admitted::Run));
            finish(&mut admission, &team, now_ms);
        }
        admission.tick(now_ms + 4_000, &mut events);
        assert_eq!(admission.teams(), 0, "idle teams should be dropped");
    }
    for team in 0..40_000 {
        assert!(admit(&mut admission, &format!("busy-{team}"), 30_000).is_ok());
    }
    assert_eq!(
        admit(&mut admission, "one-more", 30_000),
        Err(Cause::TeamTable)
    );
    assert_eq!(admission.teams(), 40_000);
}

fn with_limits(concurrency: u32, queue: u32) -> Admission {
    admission::Builder::new()
        .concurrency_limit(concurrency)
        .queue_limit(queue)
        .build()
}

/// Guards against a team that fills the queue and so keeps out the others.
#[test]
fn queues_are_fair_among_teams() {
    let mut admission = with_limits(1, 10);
    let mut events = Vec::new();
    assert_eq!(admit(&mut admission, "greedy", 0), Ok(Admitted::Run));
    for _ in 0..10 {
        assert!(matches!(
            admit(&mut admission, "greedy", 0),
            Ok(Admitted::Queued(_))
        ));
    }
    assert_eq!(admit(&mut admission, "greedy", 0), Err(Cause::Queue));
    let modest = admission.admit(&request("modest"), 0, &mut events);
    let Ok(Admitted::Queued(modest)) = modest else {
        panic!("{modest:?}");
    };
    let [Event::Refused(displaced, refusal)] = events.as_slice() else {
        panic!("{events:?}");
    };
    assert_eq!(
        *displaced,
        Ticket(10),
        "the greedy team's newest request should be displaced"
    );
    assert_eq!(refusal.reason, refusal::Reason::QueueFull);
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    assert_eq!(admission.queued(SERVICE), 10);
    let first = finish(&mut admission, "greedy", 10);
    let second = finish(&mut admission, "greedy", 20);
    assert_eq!(first, [Event::Run(Ticket(1))]);
    assert_eq!(
        second,
        [Event::Run(modest)],
        "teams should be served round robin"
    );
}

/// Guards against requests that are queued although they will miss their
/// deadline, and so are refused only when it has passed.
#[rstest]
#[case::enough_time(Some(10_000), true)]
#[case::no_deadline(None, true)]
#[case::too_late(Some(1_150), false)]
#[case::passed(Some(900), false)]
fn unreachable_deadlines_are_refused_on_arrival(
    #[case] deadline_ms: Option<u64>,
    #[case] admitted: bool,
) {
    let mut admission = with_limits(1, 100);
    let mut events = Vec::new();
    assert!(admit(&mut admission, "a", 0).is_ok());
    for _ in 0..20 {
        assert!(admit(&mut admission, "a", 0).is_ok());
    }
    // One request finishes every 100 ms; 10 still wait.
    for finished in 1..=10 {
        admission.finish(&"a".into(), &SERVICE.into(), finished * 100, &mut events);
    }
    let request = Request {
        deadline_ms,
        ..request("a")
    };
    let answer = admission.admit(&request, 1_000, &mut events);
    match answer {
        Ok(_) => assert!(admitted),
        Err((cause, refusal)) => {
            assert_eq!((admitted, cause), (false, Cause::Deadline));
            assert!(refusal.retry_after_s.is_some());
        }
    }
}

/// Guards against a waiting request that is kept until its deadline although
/// the first-token estimate shows earlier that it will miss it.
#[test]
fn waiting_requests_are_refused_once_their_deadline_is_unreachable() {
    let mut admission = with_limits(1, 100);
    let mut events = Vec::new();
    assert!(admit(&mut admission, "a", 0).is_ok());
    let request = Request {
        deadline_ms: Some(1_000),
        ..request("b")
    };
    let queued = admission.admit(&request, 0, &mut events);
    assert_eq!(queued, Ok(Admitted::Queued(Ticket(1))));
    admission.observe_first_token(&SERVICE.into(), 300, 650);
    admission.tick(690, &mut events);
    assert_eq!(events, []);
    admission.tick(710, &mut events);
    assert!(
        matches!(events[..], [Event::Refused(Ticket(1), _)]),
        "{events:?}"
    );
    assert_eq!(admission.queued(SERVICE), 0);
}

/// Guards against refusing every request after a slow phase: refused requests
/// yield no samples, so that only the decay corrects a high estimate.
#[test]
fn latency_estimates_decay_without_samples() {
    let mut admission = with_limits(10, 10);
    let request = Request {
        deadline_ms: Some(14_000),
        ..request("a")
    };
    admission.observe_first_token(&SERVICE.into(), 60_000, 1_000);
    let mut events = Vec::new();
    assert!(admission.admit(&request, 1_000, &mut events).is_err());
    assert!(admission.admit(&request, 10_000, &mut events).is_ok());
}

/// Guards against queue and concurrency slots that leak when a caller cancels a
/// waiting request.
#[test]
fn cancelled_requests_free_their_queue_slot() {
    let mut admission = with_limits(1, 1);
    let mut intent = intent::Intent::default();
    intent.default_limits.concurrent = 1;
    admission.configure(&intent, 1);
    assert!(admit(&mut admission, "a", 0).is_ok());
    assert_eq!(
        admit(&mut admission, "b", 0),
        Ok(Admitted::Queued(Ticket(1)))
    );
    assert_eq!(admit(&mut admission, "c", 0), Err(Cause::Queue));
    assert!(admission.cancel(&"b".into(), &SERVICE.into(), Ticket(1)));
    assert!(!admission.cancel(&"b".into(), &SERVICE.into(), Ticket(1)));
    assert_eq!(
        admit(&mut admission, "b", 0),
        Ok(Admitted::Queued(Ticket(2)))
    );
}

#[derive(Clone, Debug)]
enum Step {
    Admit(u8, Option<u16>),
    Finish,
    Cancel,
    Resize(u8),
    Tick,
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0u8..5, proptest::option::of(any::<u16>()))
            .prop_map(|(team, wait)| Step::Admit(team, wait)),
        Just(Step::Finish),
        Just(Step::Cancel),
        (0u8..6).prop_map(Step::Resize),
        Just(Step::Tick),
    ]
}

proptest! {
    /// Guards against slots and requests that are lost or counted twice: every
    /// queued request must start, be refused or be cancelled exactly once.
    #[test]
    fn every_request_ends_once(steps in proptest::collection::vec(step(), 1..200)) {
        let mut admission = with_limits(3, 4);
        let service = name::Name::from(SERVICE);
        let mut running: Vec<name::Name> = Vec::new();
        let mut waiting: collections::BTreeMap<Ticket, name::Name> = collections::BTreeMap::new();
        for (now_ms, step) in (0u64..).step_by(50).zip(steps) {
            let mut events = Vec::new();
            match step {
                Step::Admit(team, wait) => {
                    let team = name::Name::from(format!("team-{team}"));
                    let request = Request {
                        team: team.clone(),
                        service: service.clone(),
                        deadline_ms: wait.map(|wait| now_ms + u64::from(wait)),
                    };
                    match admission.admit(&request, now_ms, &mut events) {
                        Ok(Admitted::Run) => running.push(team),
                        Ok(Admitted::Queued(ticket)) => {
                            prop_assert!(waiting.insert(ticket, team).is_none());
                        }
                        Err(_) => {}
                    }
                }
                Step::Finish => {
                    if let Some(team) = running.pop() {
                        admission.finish(&team, &service, now_ms, &mut events);
                    }
                }
                Step::Cancel => {
                    if let Some((ticket, team)) = waiting.pop_first() {
                        prop_assert!(admission.cancel(&team, &service, ticket));
                    }
                }
                Step::Resize(limit) => {
                    admission.set_concurrency_limit(&service, u32::from(limit), now_ms, &mut events);
                }
                Step::Tick => admission.tick(now_ms, &mut events),
            }
            for event in events {
                let (Event::Run(ticket) | Event::Refused(ticket, _)) = &event;
                let team = waiting.remove(ticket);
                prop_assert!(team.is_some(), "{event:?} for a request that does not wait");
                if let Event::Run(_) = event {
                    running.extend(team);
                }
            }
            prop_assert_eq!(admission.running(SERVICE) as usize, running.len());
            prop_assert_eq!(admission.queued(SERVICE) as usize, waiting.len());
            prop_assert!(waiting.len() <= 4);
        }
    }
}
