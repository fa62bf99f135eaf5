//! Tests of `pacer`: batch streams beside online load, and the item queue.

mod common;

use std::collections;

use bw_policy::{
    health,
    pacer::{self, Item, Online, Pacer, Queue, Snapshot, Stream},
};
use bw_wire::{backend, name};
use common::{CAPACITY, load};
use proptest::prelude::*;
use rstest::rstest;

const ID: &str = "e00";
const NO_STREAMS: [u64; 0] = [];

fn snapshot(id: &str, load: backend::Load) -> Snapshot {
    Snapshot {
        id: id.into(),
        incarnation: 1,
        capacity: CAPACITY,
        usable: true,
        load,
        load_age_ms: 0,
    }
}

fn stream(id: u64) -> Stream {
    Stream {
        id,
        tokens: 100,
        preempted: 0,
        urgent: false,
    }
}

fn pacer() -> Pacer {
    let mut pacer = pacer::Builder::new().build();
    pacer.update(&snapshot(ID, load(0, 0)), 0);
    pacer.set_backlog(1_000_000, 0);
    pacer
}

/// Starts the granted batch streams every 10 ms until `end_ms`.
fn fill(pacer: &mut Pacer, start_ms: u64, end_ms: u64) {
    let mut next = start_ms * 1_000;
    for now_ms in (start_ms..=end_ms).step_by(10) {
        // Unchanged counts are reported repeatedly, as by `sync` answers.
        pacer.set_fleet_online(&collections::BTreeMap::new(), now_ms);
        for grant in pacer.grants(now_ms) {
            for _ in 0..grant.streams {
                pacer.started(&grant.id, stream(next), now_ms);
                next += 1;
            }
        }
    }
}

fn online(entry: &str, sequence: u64, count: u32) -> Online {
    Online {
        entry: entry.into(),
        incarnation: 1,
        sequence,
        backend: ID.into(),
        online: count,
    }
}

/// Guards against idle capacity that is not filled, and against filling it with
/// many prefills at once.
#[rstest]
#[case::all_idle(0)]
#[case::half_online(16)]
fn idle_capacity_is_filled_within_two_seconds(#[case] online: u32) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, online, 0);
    fill(&mut pacer, 0, 100);
    assert!(pacer.running(ID) <= 4, "{} after 100 ms", pacer.running(ID));
    fill(&mut pacer, 110, 2_000);
    let idle = CAPACITY - online;
    let running = pacer.running(ID);
    assert!(running < idle, "headroom should be kept free");
    assert!(running as f32 >= 0.9 * idle as f32, "{running} of {idle}");
}

/// Guards against capacity that is not filled again after a burst of online
/// requests.
#[test]
fn idle_capacity_is_filled_again_after_a_burst() {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 3_000);
    for stream in pacer.set_own_online(ID, CAPACITY, 3_010) {
        pacer.stopped(ID, stream, 3_020);
    }
    fill(&mut pacer, 3_030, 6_000);
    assert_eq!(pacer.running(ID), 0);
    pacer.set_own_online(ID, 0, 6_010);
    fill(&mut pacer, 6_010, 8_010);
    let running = pacer.running(ID);
    assert!(running as f32 >= 0.9 * CAPACITY as f32, "{running}");
}

/// Guards against online arrivals that find the server full of batch streams,
/// whether this entry VM sent them, a peer reported them, or only a `sync` answer
/// shows them.
#[rstest]
#[case::own(|pacer: &mut Pacer| pacer.set_own_online(ID, 20, 5_000))]
#[case::peers(|pacer: &mut Pacer| {
    let mut surplus = pacer.set_peer_online(&online("entry-2", 1, 10), 5_000);
    surplus.extend(pacer.set_peer_online(&online("entry-3", 1, 10), 5_000));
    surplus
})]
#[case::lost_messages(|pacer: &mut Pacer| pacer.set_fleet_online(&[(name::Name::from(ID), 20)].into(), 5_000))]
fn online_bursts_preempt_streams_immediately(#[case] burst: fn(&mut Pacer) -> Vec<u64>) {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 4_990);
    let before = pacer.running(ID);
    let cancelled = burst(&mut pacer);
    assert!(20 + before - cancelled.len() as u32 <= CAPACITY);
    let again = pacer.surplus(5_001);
    assert_eq!(again, NO_STREAMS, "a stream should be cancelled only once");
    for stream in cancelled {
        pacer.stopped(ID, stream, 5_010);
    }
    assert_eq!(
        pacer.grants(5_010),
        [],
        "no stream should start under high online load"
    );
}

/// Guards against a reordered or repeated message that overwrites a newer one,
/// and against counts of entry VMs that no longer exist.
#[test]
fn peer_counts_follow_the_latest_message() {
    let mut pacer = pacer();
    pacer.set_peer_online(&online("entry-2", 7, 20), 0);
    pacer.set_peer_online(&online("entry-2", 6, 0), 0);
    pacer.set_peer_online(&online("entry-2", 7, 0), 0);
    assert!(pacer.target(ID, 1_000) <= 12);
    pacer.set_peer_online(
        &Online {
            incarnation: 2,
            ..online("entry-2", 1, 4)
        },
        1_000,
    );
    assert!((24..28).contains(&pacer.target(ID, 2_000)));
    pacer.retain_peers(&collections::BTreeSet::new(), 2_000);
    assert!(pacer.target(ID, 3_000) > 28);
}

/// Guards against an outdated `sync` answer that keeps capacity reserved, and
/// against ignoring an answer that shows that messages were lost.
#[test]
fn sync_answers_only_compensate_for_lost_messages() {
    let mut pacer = pacer();
    pacer.set_peer_online(&online("entry-2", 1, 20), 1_000);
    pacer.set_peer_online(&online("entry-2", 2, 0), 1_400);
    pacer.set_fleet_online(&[(ID.into(), 20)].into(), 1_500);
    assert!(
        pacer.target(ID, 2_000) > 28,
        "an answer older than the message should be ignored"
    );
    pacer.set_fleet_online(&[(ID.into(), 20)].into(), 4_000);
    assert!(
        pacer.target(ID, 4_000) <= 12,
        "the answer should replace lost messages"
    );
    pacer.set_fleet_online(&collections::BTreeMap::new(), 4_500);
    assert!(pacer.target(ID, 5_000) > 28);
}

/// Guards against starting batch streams during a short drop of online load, which
/// the next rise would cancel.
#[test]
fn short_drops_of_online_load_are_not_filled() {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 20, 0);
    fill(&mut pacer, 0, 3_000);
    let before = pacer.running(ID);
    pacer.set_own_online(ID, 15, 3_010);
    fill(&mut pacer, 3_010, 3_100);
    assert_eq!(pacer.running(ID), before);
    fill(&mut pacer, 3_110, 5_000);
    assert!(pacer.running(ID) > before);
}

/// Guards against batch work that keeps an engine's queue or KV cache full, and
/// against stale or invalid reports that stop batch work.
#[rstest]
#[case::memory_short(backend::Load { kv_used: 0.95, ..load(28, 0) }, 0, 0)]
#[case::memory_full(backend::Load { kv_used: 0.99, ..load(28, 0) }, 0, 3)]
#[case::requests_wait(load(32, 6), 0, 5)]
#[case::stale(backend::Load { kv_used: 0.99, ..load(32, 30) }, 10_000, 0)]
#[case::not_a_number(backend::Load { kv_used: f32::NAN, ..load(28, 0) }, 0, 0)]
fn load_reports_reduce_batch_work(
    #[case] report: backend::Load,
    #[case] load_age_ms: u64,
    #[case] min_cancelled: usize,
) {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 5_000);
    let snapshot = Snapshot {
        load_age_ms,
        ..snapshot(ID, report)
    };
    pacer.update(&snapshot, 10_000);
    let cancelled = pacer.surplus(10_000).len();
    let expected = min_cancelled..=min_cancelled + 2 * min_cancelled.min(1);
    assert!(expected.contains(&cancelled), "{cancelled} cancelled");
}

/// Guards against a wrong report of waiting requests that keeps an idle server
/// idle.
#[test]
fn waiting_requests_of_an_idle_server_are_ignored() {
    let mut pacer = pacer();
    pacer.update(&snapshot(ID, load(0, 500)), 0);
    assert!(pacer.target(ID, 0) > 28);
}

/// Guards against preempting the same batch stream repeatedly, and against
/// preempting streams that are urgent or have many tokens to prefill again.
#[test]
fn the_cheapest_streams_are_preempted_first() {
    let mut pacer = pacer();
    let streams = [
        Stream {
            tokens: 5,
            preempted: 3,
            ..stream(1)
        },
        Stream {
            tokens: 10,
            urgent: true,
            ..stream(2)
        },
        Stream {
            tokens: 900,
            ..stream(3)
        },
        Stream {
            tokens: 20,
            ..stream(4)
        },
        Stream {
            tokens: 1,
            preempted: 1,
            ..stream(5)
        },
    ];
    for stream in streams {
        pacer.started(ID, stream, 0);
    }
    pacer.progressed(ID, 4, 400);
    let order: Vec<u64> = (0..=6)
        .flat_map(|more| pacer.set_own_online(ID, 26 + more, 1_000))
        .collect();
    assert_eq!(order, [4, 3, 5, 2, 1]);
}

/// Guards against an online request whose prefill waits for that of a batch stream that
/// has just started, and against a batch stream that is cancelled by every arrival and
/// never completes.
#[rstest]
#[case::just_started(20, 0, 5, true)]
#[case::prefill_is_done(40, 0, 5, false)]
#[case::preempted_often(20, 3, 5, false)]
#[case::no_arrival(20, 0, 0, false)]
fn new_streams_are_cancelled_by_online_arrivals(
    #[case] age_ms: u64,
    #[case] preempted: u32,
    #[case] online: u32,
    #[case] is_cancelled: bool,
) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 1, 0);
    let stream = Stream {
        preempted,
        ..stream(1)
    };
    pacer.started(ID, stream, 1_000);
    let cancelled = pacer.set_own_online(ID, online, 1_000 + age_ms);
    assert_eq!(cancelled.len(), usize::from(is_cancelled));
}

/// Guards against starting batch streams while an online arrival waits for its
/// first token.
#[rstest]
#[case::within_the_pause(1_090, 0)]
#[case::after_the_pause(1_110, 1)]
fn no_stream_starts_just_after_an_arrival(#[case] now_ms: u64, #[case] streams: u32) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 1, 1_000);
    let grants = pacer.grants(now_ms);
    let started: u32 = grants.iter().map(|grant| grant.streams).sum();
    assert_eq!(started.min(1), streams);
}

/// Guards against frequent online arrivals that keep any batch stream from
/// starting.
#[test]
fn frequent_arrivals_do_not_stop_batch_work() {
    let mut pacer = pacer();
    let mut next = 0;
    let mut ends = collections::VecDeque::new();
    let mut used = 0;
    for now_ms in (0..6_000).step_by(5) {
        // A request arrives every 50 ms and runs for 25 ms; batch streams run
        // for 3 s.
        for stream in pacer.set_own_online(ID, u32::from(now_ms % 50 < 25), now_ms) {
            pacer.stopped(ID, stream, now_ms);
            ends.retain(|&(_, other)| other != stream);
        }
        while ends.front().is_some_and(|&(end_ms, _)| end_ms <= now_ms) {
            let (_, stream) = ends.pop_front().expect("stream should exist");
            pacer.stopped(ID, stream, now_ms);
        }
        for grant in pacer.grants(now_ms) {
            for _ in 0..grant.streams {
                next += 1;
                pacer.started(ID, stream(next), now_ms);
                ends.push_back((now_ms + 3_000, next));
            }
        }
        used += if now_ms >= 3_000 {
            pacer.running(ID)
        } else {
            0
        };
    }
    let average = used / 600;
    assert!(average >= 20, "{average} of {CAPACITY} slots");
}

/// Guards against starting batch streams within the first second of a burst, in
/// which batch work has to yield, and against single long intervals that make
/// arrivals count as rare again too early.
#[rstest]
#[case::start_of_a_burst(4_100, 4_950, 60, 0)]
#[case::sustained(6_000, 7_000, 60, 8)]
#[case::sustained_with_long_intervals(6_000, 7_000, 110, 8)]
fn only_sustained_frequent_arrivals_shorten_the_pause(
    #[case] start_ms: u64,
    #[case] end_ms: u64,
    #[case] long_interval_ms: u64,
    #[case] min: u32,
) {
    let mut pacer = pacer();
    let mut started = 0;
    // Requests arrive every 240 ms, and from 4 s on every 60 ms, except that every
    // twentieth interval is the long one.
    let mut arrivals = 0;
    let mut next_ms = 0;
    for now_ms in 0..end_ms {
        pacer.set_own_online(ID, 0, now_ms);
        if now_ms == next_ms {
            arrivals += 1;
            next_ms += match arrivals % 20 {
                _ if now_ms < 4_000 => 240,
                0 => long_interval_ms,
                _ => 60,
            };
            pacer.set_own_online(ID, 1, now_ms);
        }
        let streams: u32 = pacer.grants(now_ms).iter().map(|grant| grant.streams).sum();
        started += if now_ms >= start_ms { streams } else { 0 };
    }
    assert!(started >= min, "{started} streams");
    assert!(min > 0 || started == 0, "{started} streams");
}

/// Returns a pacer of three servers.
fn three_servers() -> Pacer {
    let mut pacer = pacer::Builder::new().build();
    for id in ["e00", "e01", "e02"] {
        pacer.update(&snapshot(id, load(0, 0)), 0);
    }
    pacer.set_backlog(1_000_000, 0);
    pacer.grants(0);
    pacer
}

/// Guards against starting batch streams on all owned servers at once, so that
/// every online arrival has to wait for the prefill of a stream.
#[test]
fn owned_servers_take_turns() {
    let mut pacer = three_servers();
    let mut turns = Vec::new();
    let mut next = 0;
    for now_ms in 200..800 {
        let grants = pacer.grants(now_ms);
        assert!(grants.len() <= 1, "{grants:?}");
        for grant in grants {
            for _ in 0..grant.streams {
                next += 1;
                pacer.started(&grant.id, stream(next), now_ms);
            }
            turns.push((now_ms, grant.id));
        }
    }
    let is_apart = turns.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 40);
    assert!(is_apart, "{turns:?}");
    let used: collections::BTreeSet<&str> = turns.iter().map(|(_, id)| id.as_str()).collect();
    assert_eq!(used.len(), 3, "{turns:?}");
}

/// Guards against one server getting all batch streams and another none. If streams
/// end before the next turn, both servers are idle at each turn.
#[test]
fn equally_idle_servers_take_turns() {
    let mut pacer = pacer::Builder::new().build();
    for id in ["e00", "e01"] {
        pacer.update(&snapshot(id, load(0, 0)), 0);
    }
    pacer.set_backlog(1_000_000, 0);
    let mut turns = Vec::new();
    // The interval is long enough for both servers to accrue budget for a batch
    // stream.
    for now_ms in (0..1_000).step_by(60) {
        for grant in pacer.grants(now_ms) {
            pacer.started(&grant.id, stream(now_ms), now_ms);
            pacer.stopped(&grant.id, now_ms, now_ms);
            turns.push(grant.id);
        }
    }
    assert!(turns.len() > 10, "{turns:?}");
    let alternates = turns.windows(2).all(|pair| pair[0] != pair[1]);
    assert!(alternates, "{turns:?}");
}

/// Guards against sending a batch stream repeatedly to servers that cannot be
/// connected to, because these stay less utilized than the others.
#[rstest]
#[case::one(&["e00"])]
#[case::two(&["e00", "e01"])]
fn unreachable_servers_do_not_keep_streams_from_others(#[case] unreachable: &[&str]) {
    let mut pacer = three_servers();
    pacer.set_own_online("e02", 4, 0);
    let mut reached = Vec::new();
    for now_ms in (1_000..3_000).step_by(200) {
        for grant in pacer.grants(now_ms).into_iter().take(1) {
            pacer.started(&grant.id, stream(now_ms), now_ms);
            if unreachable.contains(&grant.id.as_str()) {
                pacer.mark_unreachable(&grant.id, 1, now_ms);
            } else {
                reached.push(now_ms);
            }
            pacer.stopped(&grant.id, now_ms, now_ms);
        }
    }
    assert!(reached.len() >= 4, "{reached:?}");
    assert!(reached[0] <= 1_800, "{reached:?}");
}

/// Guards against a server that gets no batch streams after its backoff or after a
/// restart.
#[rstest]
#[case::backoff_is_over(1, 10_000)]
#[case::restarted(2, 100)]
fn unreachable_servers_are_used_again_after_recovery(
    #[case] incarnation: u64,
    #[case] within_ms: u64,
) {
    let mut pacer = pacer();
    let mut now_ms = 1_000;
    for _ in 0..20 {
        pacer.mark_unreachable(ID, 1, now_ms);
        now_ms += 200;
    }
    assert_eq!(pacer.grants(now_ms), []);
    let snapshot = Snapshot {
        incarnation,
        ..snapshot(ID, load(0, 0))
    };
    pacer.update(&snapshot, now_ms);
    assert!(!pacer.grants(now_ms + within_ms).is_empty());
}

/// Guards against a backoff that prevents the ejection of an unreachable server:
/// a single item has to fail there often enough.
#[test]
fn backoff_allows_enough_failures_to_eject_a_server() {
    let mut pacer = pacer();
    let mut health = health::Builder::new().build();
    for id in [ID, "e01"] {
        let snapshot = health::Snapshot {
            id: id.into(),
            incarnation: 1,
            group: "m".into(),
            capacity: CAPACITY,
            requests: 0.0,
        };
        health.update(snapshot, 0);
    }
    let (mut now_ms, mut due_ms) = (1_000, 1_000);
    while health.status(ID) == health::Status::Healthy {
        assert!(now_ms < 7_000, "the server should be ejected");
        if now_ms >= due_ms && !pacer.grants(now_ms).is_empty() {
            let attempt = health.begin(&ID.into(), now_ms);
            pacer.started(ID, stream(now_ms), now_ms);
            pacer.stopped(ID, now_ms, now_ms);
            health.end(attempt, health::Outcome::Failed, now_ms);
            pacer.mark_unreachable(ID, 1, now_ms);
            due_ms = now_ms + 200;
        }
        now_ms += 50;
        health.tick(now_ms);
    }
}

/// Guards against a batch stream that starts on the last server that runs no prefill.
#[rstest]
#[case::one_arrival(&["e00"], 1)]
#[case::two_arrivals(&["e00", "e01"], 0)]
fn streams_leave_a_server_without_prefills_to_arrivals(
    #[case] arrivals: &[&str],
    #[case] grants: usize,
) {
    let mut pacer = three_servers();
    for id in arrivals {
        pacer.set_own_online(id, 1, 1_000);
    }
    assert_eq!(pacer.grants(1_010).len(), grants);
}

/// Guards against a server that takes the turns of others although no item waits
/// for its model.
#[test]
fn servers_with_unused_grants_yield_their_turns() {
    let mut pacer = three_servers();
    let mut next = 0;
    for now_ms in (100..4_000).step_by(10) {
        for grant in pacer.grants(now_ms) {
            let streams = if grant.id.as_str() == "e02" {
                grant.streams
            } else {
                0
            };
            for _ in 0..streams {
                next += 1;
                pacer.started(&grant.id, stream(next), now_ms);
            }
        }
    }
    assert!(
        pacer.running("e02") >= CAPACITY - 2,
        "{}",
        pacer.running("e02")
    );
}

/// Guards against batch streams with short prompts that leave a server idle because
/// they start at the low rate of those with long prompts, and against a higher rate
/// for those with long prompts.
#[rstest]
#[case::short_prompts(20, 24, 31)]
#[case::long_prompts(200, 4, 7)]
#[case::resumed(2_000, 4, 7)]
fn streams_with_short_prompts_start_faster(
    #[case] tokens: u32,
    #[case] min: u32,
    #[case] max: u32,
) {
    let mut pacer = pacer();
    let mut next = 0;
    let mut used = 0;
    let mut ends = collections::VecDeque::new();
    for now_ms in (0..6_000).step_by(10) {
        // Each item runs for 300 ms.
        while ends.front().is_some_and(|&(end_ms, _)| end_ms <= now_ms) {
            let (_, stream) = ends.pop_front().expect("stream should exist");
            pacer.stopped(ID, stream, now_ms);
        }
        for grant in pacer.grants(now_ms) {
            for _ in 0..grant.streams {
                next += 1;
                let short = Stream {
                    tokens,
                    ..stream(next)
                };
                pacer.started(ID, short, now_ms);
                ends.push_back((now_ms + 300, next));
            }
        }
        used += if now_ms >= 3_000 {
            pacer.running(ID)
        } else {
            0
        };
    }
    let average = used / 300;
    assert!(
        (min..=max).contains(&average),
        "{average} of {CAPACITY} slots"
    );
}

/// Guards against a backlog that never runs under sustained online load, and
/// against a starvation grant that makes online requests wait.
#[rstest]
#[case::after_the_starvation_limit(load(32, 0), 31_000, 1)]
#[case::before_the_starvation_limit(load(32, 0), 29_000, 0)]
#[case::not_while_requests_wait_in_the_engine(load(32, 1), 31_000, 0)]
fn starved_backlogs_run_one_stream(
    #[case] report: backend::Load,
    #[case] now_ms: u64,
    #[case] expected: u32,
) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 40, 0);
    pacer.update(&snapshot(ID, report), now_ms);
    let streams: u32 = pacer.grants(now_ms).iter().map(|grant| grant.streams).sum();
    assert_eq!(streams, expected);
    if expected > 0 {
        pacer.started(ID, stream(1), now_ms);
        assert_eq!(pacer.set_own_online(ID, 41, now_ms + 10), NO_STREAMS);
        assert_eq!(pacer.grants(now_ms + 20), [], "only one stream should run");
        pacer.stopped(ID, 1, now_ms + 100);
        assert_eq!(
            pacer.grants(now_ms + 200),
            [],
            "the next stream should not start immediately"
        );
    }
}

/// Guards against batch streams that continue on a server that another entry VM
/// owns now, or that accepts no new work.
#[test]
fn servers_that_are_no_longer_owned_are_emptied() {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 500);
    let running = pacer.running(ID) as usize;
    assert!(running > 0);
    pacer.update(
        &Snapshot {
            usable: false,
            ..snapshot(ID, load(0, 0))
        },
        600,
    );
    assert_eq!(pacer.grants(600), []);
    assert_eq!(pacer.retain(&collections::BTreeSet::new()).len(), running);
    assert_eq!(pacer.running(ID), 0);
}

fn item(team: &str, weight: u32, due_ms: u64, work: u32) -> Item<u32> {
    Item {
        team: team.into(),
        weight,
        due_ms,
        preempted: 0,
        work,
    }
}

/// Guards against a team with a huge job that starves the others, and against a
/// team that gains by emptying its queue and coming back.
#[rstest]
#[case::even(1, 1, 50)]
#[case::weighted(3, 1, 75)]
#[case::short_queue(1, 1, 50)]
fn items_are_shared_by_weight(#[case] a: u32, #[case] b: u32, #[case] expected: i32) {
    let mut queue = Queue::new();
    for work in 0..1_000 {
        queue.push(item("a", a, 1_000, work));
    }
    queue.push(item("b", b, 1_000, 0));
    let mut popped = 0;
    for _ in 0..100 {
        let next = queue.pop(0).expect("queue should not be empty");
        popped += i32::from(next.team.as_str() == "a");
        if next.team.as_str() == "b" {
            queue.push(item("b", b, 1_000, 0));
        }
    }
    assert!((popped - expected).abs() <= 2, "a got {popped} of 100");
}

/// Guards against jobs that miss their due time because of other jobs, and
/// against urgent jobs that starve the rest.
#[test]
fn every_second_item_is_an_urgent_one() {
    let mut queue = Queue::new();
    for work in 0..100 {
        queue.push(item("big", 1, 1_000_000, work));
        queue.push(item("late", 1, 500, work));
        queue.push(item("other", 1, 1_000_000, work));
    }
    let mut counts = collections::BTreeMap::new();
    for _ in 0..60 {
        let next = queue.pop(1_000).expect("queue should not be empty");
        *counts.entry(next.team).or_insert(0) += 1;
    }
    assert!(counts["late"] >= 30, "{counts:?}");
    assert!(counts["big"] >= 10 && counts["other"] >= 10, "{counts:?}");
}

/// Guards against preempted items, which hold text and leases, that wait behind
/// new ones, and against items of cancelled jobs that stay queued.
#[test]
fn preempted_items_come_first_and_cancelled_ones_are_removed() {
    let mut queue = Queue::new();
    queue.push(item("a", 1, 10, 1));
    queue.push(Item {
        preempted: 1,
        ..item("a", 1, 20, 2)
    });
    queue.push(item("a", 1, 5, 3));
    let removed = queue.take_if(|item| item.work == 3);
    assert_eq!(removed.len(), 1);
    let order: Vec<u32> = std::iter::from_fn(|| queue.pop(0))
        .map(|item| item.work)
        .collect();
    assert_eq!(order, [2, 1]);
    assert!(queue.is_empty());
}

proptest! {
    /// Guards against overload by batch streams: under random online load, the
    /// running streams and the online requests fit into the capacity.
    #[test]
    fn streams_and_online_requests_fit_the_capacity(
        changes in proptest::collection::vec((0u32..48, 0u32..48, 1u64..400), 1..60),
    ) {
        let mut pacer = pacer();
        let mut now_ms = 0;
        let mut next = 0;
        let mut running: collections::BTreeSet<u64> = collections::BTreeSet::new();
        for (sequence, (own, peer, pause_ms)) in (1..).zip(changes) {
            now_ms += pause_ms;
            let mut cancelled = pacer.set_own_online(ID, own, now_ms);
            cancelled.extend(pacer.set_peer_online(&online("entry-2", sequence, peer), now_ms));
            for stream in cancelled {
                prop_assert!(running.remove(&stream), "{stream} does not run");
                pacer.stopped(ID, stream, now_ms);
            }
            let free = CAPACITY.saturating_sub(own + peer);
            prop_assert!(running.len() as u32 <= free);
            for grant in pacer.grants(now_ms) {
                for _ in 0..grant.streams {
                    pacer.started(ID, stream(next), now_ms);
                    running.insert(next);
                    next += 1;
                }
            }
            prop_assert!(running.len() as u32 <= free);
        }
    }
}
