//! Tests of the pacing of batch streams.

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

fn facts(id: &str, load: backend::Load) -> Snapshot {
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
    pacer.update(&facts(ID, load(0, 0)), 0);
    pacer.set_backlog(1_000_000, 0);
    pacer
}

/// Starts what there is room for, every 10 ms until `end_ms`.
fn fill(pacer: &mut Pacer, start_ms: u64, end_ms: u64) {
    let mut next = start_ms * 1_000;
    for now_ms in (start_ms..=end_ms).step_by(10) {
        // Counts that do not change are told again and again.
        pacer.set_fleet_online(&collections::BTreeMap::new(), now_ms);
        for room in pacer.grants(now_ms) {
            for _ in 0..room.streams {
                pacer.started(&room.id, stream(next), now_ms);
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

/// Guards against idle capacity that stays idle, and against filling it with a
/// burst of prefills at once.
#[rstest]
#[case::all_idle(0)]
#[case::half_online(16)]
fn idle_capacity_is_filled_within_two_seconds(#[case] busy: u32) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, busy, 0);
    fill(&mut pacer, 0, 100);
    assert!(pacer.running(ID) <= 4, "{} after 100 ms", pacer.running(ID));
    fill(&mut pacer, 110, 2_000);
    let idle = CAPACITY - busy;
    let running = pacer.running(ID);
    assert!(running < idle, "a place is kept free");
    assert!(running as f32 >= 0.9 * idle as f32, "{running} of {idle}");
}

/// Guards against capacity that stays idle after a burst of online work.
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

/// Guards against online arrivals that find no place: own ones, peers' ones,
/// and those that only the answer to `sync` shows.
#[rstest]
#[case::own(|pacer: &mut Pacer| pacer.set_own_online(ID, 20, 5_000))]
#[case::peers(|pacer: &mut Pacer| {
    let mut surplus = pacer.set_peer_online(&online("entry-2", 1, 10), 5_000);
    surplus.extend(pacer.set_peer_online(&online("entry-3", 1, 10), 5_000));
    surplus
})]
#[case::lost_messages(|pacer: &mut Pacer| pacer.set_fleet_online(&[(name::Name::from(ID), 20)].into(), 5_000))]
fn a_burst_of_online_preempts_at_once(#[case] burst: fn(&mut Pacer) -> Vec<u64>) {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 4_990);
    let before = pacer.running(ID);
    let cancelled = burst(&mut pacer);
    assert!(20 + before - cancelled.len() as u32 <= CAPACITY);
    let again = pacer.surplus(5_001);
    assert_eq!(again, NO_STREAMS, "a cancelled stream is named once");
    for stream in cancelled {
        pacer.stopped(ID, stream, 5_010);
    }
    assert_eq!(
        pacer.grants(5_010),
        [],
        "nothing starts while online is high"
    );
}

/// Guards against a late or repeated message that undoes a newer one, and
/// against counts of entry VMs that are gone.
#[test]
fn peers_counts_follow_the_latest_message() {
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

/// Guards against a `sync` answer from before the latest messages that holds
/// capacity back, and against one that is ignored though messages were lost.
#[test]
fn sync_answers_only_make_up_for_lost_messages() {
    let mut pacer = pacer();
    pacer.set_peer_online(&online("entry-2", 1, 20), 1_000);
    pacer.set_peer_online(&online("entry-2", 2, 0), 1_400);
    pacer.set_fleet_online(&[(ID.into(), 20)].into(), 1_500);
    assert!(
        pacer.target(ID, 2_000) > 28,
        "the answer is older than the message"
    );
    pacer.set_fleet_online(&[(ID.into(), 20)].into(), 4_000);
    assert!(pacer.target(ID, 4_000) <= 12, "messages were lost");
    pacer.set_fleet_online(&collections::BTreeMap::new(), 4_500);
    assert!(pacer.target(ID, 5_000) > 28);
}

/// Guards against a short dip of online work that starts streams which the
/// next rise cancels.
#[test]
fn short_dips_are_not_filled() {
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

/// Guards against batch work that keeps an engine's queue or memory full, and
/// against reports that stop batch work for no reason.
#[rstest]
#[case::memory_short(backend::Load { kv_used: 0.95, ..load(28, 0) }, 0, 0)]
#[case::memory_full(backend::Load { kv_used: 0.99, ..load(28, 0) }, 0, 3)]
#[case::requests_wait(load(32, 6), 0, 5)]
#[case::stale(backend::Load { kv_used: 0.99, ..load(32, 30) }, 10_000, 0)]
#[case::not_a_number(backend::Load { kv_used: f32::NAN, ..load(28, 0) }, 0, 0)]
fn load_reports_cut_batch_work(
    #[case] report: backend::Load,
    #[case] load_age_ms: u64,
    #[case] least_cancelled: usize,
) {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 5_000);
    let facts = Snapshot {
        load_age_ms,
        ..facts(ID, report)
    };
    pacer.update(&facts, 10_000);
    let cancelled = pacer.surplus(10_000).len();
    let expected = least_cancelled..=least_cancelled + 2 * least_cancelled.min(1);
    assert!(expected.contains(&cancelled), "{cancelled} cancelled");
}

/// Guards against a false report of waiting requests on an idle server.
#[test]
fn waiting_is_not_believed_of_an_idle_server() {
    let mut pacer = pacer();
    pacer.update(&facts(ID, load(0, 500)), 0);
    assert!(pacer.target(ID, 0) > 28);
}

/// Guards against streams that are cancelled again and again, and against
/// cancelling what costs most to run again or is due soon.
#[test]
fn the_cheapest_streams_are_preempted() {
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

/// Guards against an online prompt that waits for the prompt of a stream which
/// has just started, and against a stream that gives way for ever.
#[rstest]
#[case::just_started(20, 0, 5, true)]
#[case::prompt_is_computed(40, 0, 5, false)]
#[case::gave_way_often(20, 3, 5, false)]
#[case::no_arrival(20, 0, 0, false)]
fn streams_that_just_started_give_way_to_arrivals(
    #[case] age_ms: u64,
    #[case] preempted: u32,
    #[case] online: u32,
    #[case] gives_way: bool,
) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 1, 0);
    let stream = Stream {
        preempted,
        ..stream(1)
    };
    pacer.started(ID, stream, 1_000);
    let cancelled = pacer.set_own_online(ID, online, 1_000 + age_ms);
    assert_eq!(cancelled.len(), usize::from(gives_way));
}

/// Guards against streams that start while an arrival waits for its first
/// token.
#[rstest]
#[case::within_quiet_time(1_090, 0)]
#[case::after_it(1_110, 1)]
fn nothing_starts_just_after_an_arrival(#[case] now_ms: u64, #[case] streams: u32) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 1, 1_000);
    let rooms = pacer.grants(now_ms);
    let started: u32 = rooms.iter().map(|room| room.streams).sum();
    assert_eq!(started.min(1), streams);
}

/// Guards against frequent online arrivals after which no stream ever starts.
#[test]
fn frequent_arrivals_do_not_stop_batch_work() {
    let mut pacer = pacer();
    let mut next = 0;
    let mut ends = collections::VecDeque::new();
    let mut used = 0;
    for now_ms in (0..6_000).step_by(5) {
        // An arrival each 50 ms, in flight for 25 ms; streams last 3 s.
        for stream in pacer.set_own_online(ID, u32::from(now_ms % 50 < 25), now_ms) {
            pacer.stopped(ID, stream, now_ms);
            ends.retain(|&(_, other)| other != stream);
        }
        while ends.front().is_some_and(|&(end_ms, _)| end_ms <= now_ms) {
            let (_, stream) = ends.pop_front().expect("a stream");
            pacer.stopped(ID, stream, now_ms);
        }
        for room in pacer.grants(now_ms) {
            for _ in 0..room.streams {
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
    assert!(average >= 20, "{average} of {CAPACITY} places");
}

/// Guards against streams that start within the first second of a burst, when
/// batch work is to give way, and against arrivals in between that end the
/// state of frequent arrivals too early.
#[rstest]
#[case::start_of_a_burst(4_100, 4_950, 60, 0)]
#[case::lasting(6_000, 7_000, 60, 8)]
#[case::lasting_with_pauses(6_000, 7_000, 110, 8)]
fn only_lasting_frequent_arrivals_shorten_the_quiet_time(
    #[case] start_ms: u64,
    #[case] end_ms: u64,
    #[case] long_gap_ms: u64,
    #[case] least: u32,
) {
    let mut pacer = pacer();
    let mut started = 0;
    // Arrivals each 240 ms, and from 4 s on each 60 ms but for one in twenty.
    let mut arrivals = 0;
    let mut next_ms = 0;
    for now_ms in 0..end_ms {
        pacer.set_own_online(ID, 0, now_ms);
        if now_ms == next_ms {
            arrivals += 1;
            next_ms += match arrivals % 20 {
                _ if now_ms < 4_000 => 240,
                0 => long_gap_ms,
                _ => 60,
            };
            pacer.set_own_online(ID, 1, now_ms);
        }
        let streams: u32 = pacer.grants(now_ms).iter().map(|room| room.streams).sum();
        started += if now_ms >= start_ms { streams } else { 0 };
    }
    assert!(started >= least, "{started} streams");
    assert!(least > 0 || started == 0, "{started} streams");
}

/// Returns a pacer of three servers.
fn three_servers() -> Pacer {
    let mut pacer = pacer::Builder::new().build();
    for id in ["e00", "e01", "e02"] {
        pacer.update(&facts(id, load(0, 0)), 0);
    }
    pacer.set_backlog(1_000_000, 0);
    pacer.grants(0);
    pacer
}

/// Guards against streams that start on all owned servers at once, so that no
/// online arrival finds one without a prompt ahead of its own.
#[test]
fn owned_servers_take_turns() {
    let mut pacer = three_servers();
    let mut turns = Vec::new();
    let mut next = 0;
    for now_ms in 200..800 {
        let rooms = pacer.grants(now_ms);
        assert!(rooms.len() <= 1, "{rooms:?}");
        for room in rooms {
            for _ in 0..room.streams {
                next += 1;
                pacer.started(&room.id, stream(next), now_ms);
            }
            turns.push((now_ms, room.id));
        }
    }
    let is_apart = turns.windows(2).all(|pair| pair[1].0 - pair[0].0 >= 40);
    assert!(is_apart, "{turns:?}");
    let used: collections::BTreeSet<&str> = turns.iter().map(|(_, id)| id.as_str()).collect();
    assert_eq!(used.len(), 3, "{turns:?}");
}

/// Guards against an owned server that gets no stream while another gets them
/// all: where streams end before the next turn, both are idle at each turn.
#[test]
fn equally_idle_servers_take_turns() {
    let mut pacer = pacer::Builder::new().build();
    for id in ["e00", "e01"] {
        pacer.update(&facts(id, load(0, 0)), 0);
    }
    pacer.set_backlog(1_000_000, 0);
    let mut turns = Vec::new();
    // By each of these times, both servers have earned a stream.
    for now_ms in (0..1_000).step_by(60) {
        for room in pacer.grants(now_ms) {
            pacer.started(&room.id, stream(now_ms), now_ms);
            pacer.stopped(&room.id, now_ms, now_ms);
            turns.push(room.id);
        }
    }
    assert!(turns.len() > 10, "{turns:?}");
    let alternates = turns.windows(2).all(|pair| pair[0] != pair[1]);
    assert!(alternates, "{turns:?}");
}

/// Guards against a stream that is sent again and again to servers that cannot
/// be connected to, because these stay idler than the others.
#[rstest]
#[case::one(&["e00"])]
#[case::two(&["e00", "e01"])]
fn a_stream_gets_past_unreachable_servers(#[case] unreachable: &[&str]) {
    let mut pacer = three_servers();
    pacer.set_own_online("e02", 4, 0);
    let mut reached = Vec::new();
    for now_ms in (1_000..3_000).step_by(200) {
        for room in pacer.grants(now_ms).into_iter().take(1) {
            pacer.started(&room.id, stream(now_ms), now_ms);
            if unreachable.contains(&room.id.as_str()) {
                pacer.mark_unreachable(&room.id, 1, now_ms);
            } else {
                reached.push(now_ms);
            }
            pacer.stopped(&room.id, now_ms, now_ms);
        }
    }
    assert!(reached.len() >= 4, "{reached:?}");
    assert!(reached[0] <= 1_800, "{reached:?}");
}

/// Guards against a server that gets no streams although it can be connected to
/// again, or although it was started again.
#[rstest]
#[case::pause_is_over(1, 10_000)]
#[case::started_again(2, 100)]
fn servers_that_were_unreachable_are_used_again(#[case] incarnation: u64, #[case] within_ms: u64) {
    let mut pacer = pacer();
    let mut now_ms = 1_000;
    for _ in 0..20 {
        pacer.mark_unreachable(ID, 1, now_ms);
        now_ms += 200;
    }
    assert_eq!(pacer.grants(now_ms), []);
    let facts = Snapshot {
        incarnation,
        ..facts(ID, load(0, 0))
    };
    pacer.update(&facts, now_ms);
    assert!(!pacer.grants(now_ms + within_ms).is_empty());
}

/// Guards against pauses that keep an unreachable server in use: one item alone
/// has to fail there often enough for its ejection.
#[test]
fn pauses_leave_the_failures_that_eject_a_server() {
    let mut pacer = pacer();
    let mut health = health::Builder::new().build();
    for id in [ID, "e01"] {
        let facts = health::Snapshot {
            id: id.into(),
            incarnation: 1,
            group: "m".into(),
            capacity: CAPACITY,
            requests: 0.0,
        };
        health.update(facts, 0);
    }
    let (mut now_ms, mut due_ms) = (1_000, 1_000);
    while health.status(ID) == health::Status::Healthy {
        assert!(now_ms < 7_000, "not ejected");
        if now_ms >= due_ms && !pacer.grants(now_ms).is_empty() {
            let flight = health.begin(&ID.into(), now_ms);
            pacer.started(ID, stream(now_ms), now_ms);
            pacer.stopped(ID, now_ms, now_ms);
            health.end(flight, health::Outcome::Failed, now_ms);
            pacer.mark_unreachable(ID, 1, now_ms);
            due_ms = now_ms + 200;
        }
        now_ms += 50;
        health.tick(now_ms);
    }
}

/// Guards against a stream that starts on the last server without a prompt.
#[rstest]
#[case::one_arrival(&["e00"], 1)]
#[case::two_arrivals(&["e00", "e01"], 0)]
fn streams_leave_servers_to_arrivals(#[case] arrivals: &[&str], #[case] rooms: usize) {
    let mut pacer = three_servers();
    for id in arrivals {
        pacer.set_own_online(id, 1, 1_000);
    }
    assert_eq!(pacer.grants(1_010).len(), rooms);
}

/// Guards against a server without work for its model that takes the turns of
/// the others.
#[test]
fn unused_turns_pass_on() {
    let mut pacer = three_servers();
    let mut next = 0;
    for now_ms in (100..4_000).step_by(10) {
        for room in pacer.grants(now_ms) {
            let streams = if room.id.as_str() == "e02" {
                room.streams
            } else {
                0
            };
            for _ in 0..streams {
                next += 1;
                pacer.started(&room.id, stream(next), now_ms);
            }
        }
    }
    assert!(
        pacer.running("e02") >= CAPACITY - 2,
        "{}",
        pacer.running("e02")
    );
}

/// Guards against short items that leave a server idle because each start waits
/// as long as that of a long prompt, and against long prompts that start faster.
#[rstest]
#[case::short_prompts(20, 24, 31)]
#[case::long_prompts(200, 4, 7)]
#[case::resumed(2_000, 4, 7)]
fn short_items_fill_a_server(#[case] tokens: u32, #[case] least: u32, #[case] most: u32) {
    let mut pacer = pacer();
    let mut next = 0;
    let mut used = 0;
    let mut ends = collections::VecDeque::new();
    for now_ms in (0..6_000).step_by(10) {
        // An item lasts 300 ms.
        while ends.front().is_some_and(|&(end_ms, _)| end_ms <= now_ms) {
            let (_, stream) = ends.pop_front().expect("a stream");
            pacer.stopped(ID, stream, now_ms);
        }
        for room in pacer.grants(now_ms) {
            for _ in 0..room.streams {
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
        (least..=most).contains(&average),
        "{average} of {CAPACITY} places"
    );
}

/// Guards against batch work that never runs again under lasting online load,
/// and against a floor that makes online requests wait.
#[rstest]
#[case::after_long_wait(load(32, 0), 31_000, 1)]
#[case::not_before(load(32, 0), 29_000, 0)]
#[case::never_while_requests_wait(load(32, 1), 31_000, 0)]
fn batch_work_does_not_starve_for_ever(
    #[case] report: backend::Load,
    #[case] now_ms: u64,
    #[case] expected: u32,
) {
    let mut pacer = pacer();
    pacer.set_own_online(ID, 40, 0);
    pacer.update(&facts(ID, report), now_ms);
    let streams: u32 = pacer.grants(now_ms).iter().map(|room| room.streams).sum();
    assert_eq!(streams, expected);
    if expected > 0 {
        pacer.started(ID, stream(1), now_ms);
        assert_eq!(pacer.set_own_online(ID, 41, now_ms + 10), NO_STREAMS);
        assert_eq!(pacer.grants(now_ms + 20), [], "one at a time");
        pacer.stopped(ID, 1, now_ms + 100);
        assert_eq!(pacer.grants(now_ms + 200), [], "and not at once again");
    }
}

/// Guards against streams on a server whose batch work belongs to another
/// entry VM now, or that takes no new work.
#[test]
fn lost_servers_are_emptied() {
    let mut pacer = pacer();
    fill(&mut pacer, 0, 500);
    let running = pacer.running(ID) as usize;
    assert!(running > 0);
    pacer.update(
        &Snapshot {
            usable: false,
            ..facts(ID, load(0, 0))
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

/// Guards against a team with a huge job that shuts out the others, and
/// against a team that gains by leaving and joining.
#[rstest]
#[case::even(1, 1, 50)]
#[case::weighted(3, 1, 75)]
#[case::short_queue(1, 1, 50)]
fn places_are_shared_by_weight(#[case] a: u32, #[case] b: u32, #[case] expected: i32) {
    let mut share = Queue::new();
    for work in 0..1_000 {
        share.push(item("a", a, 1_000, work));
    }
    share.push(item("b", b, 1_000, 0));
    let mut taken = 0;
    for _ in 0..100 {
        let next = share.pop(0).expect("an item");
        taken += i32::from(next.team.as_str() == "a");
        if next.team.as_str() == "b" {
            share.push(item("b", b, 1_000, 0));
        }
    }
    assert!((taken - expected).abs() <= 2, "a got {taken} of 100");
}

/// Guards against jobs that miss their due time behind others, and against
/// urgent jobs that starve the rest.
#[test]
fn urgent_items_get_every_second_place() {
    let mut share = Queue::new();
    for work in 0..100 {
        share.push(item("big", 1, 1_000_000, work));
        share.push(item("late", 1, 500, work));
        share.push(item("other", 1, 1_000_000, work));
    }
    let mut counts = collections::BTreeMap::new();
    for _ in 0..60 {
        let next = share.pop(1_000).expect("an item");
        *counts.entry(next.team).or_insert(0) += 1;
    }
    assert!(counts["late"] >= 30, "{counts:?}");
    assert!(counts["big"] >= 10 && counts["other"] >= 10, "{counts:?}");
}

/// Guards against preempted items, which hold text and leases, that wait
/// behind new ones, and against a cancelled job that stays queued.
#[test]
fn preempted_items_resume_first_and_cancelled_ones_leave() {
    let mut share = Queue::new();
    share.push(item("a", 1, 10, 1));
    share.push(Item {
        preempted: 1,
        ..item("a", 1, 20, 2)
    });
    share.push(item("a", 1, 5, 3));
    let removed = share.take_if(|item| item.work == 3);
    assert_eq!(removed.len(), 1);
    let order: Vec<u32> = std::iter::from_fn(|| share.pop(0))
        .map(|item| item.work)
        .collect();
    assert_eq!(order, [2, 1]);
    assert!(share.is_empty());
}

proptest! {
    /// Guards against more work than the server holds, whatever happens: the
    /// streams that stay and the online requests fit into the capacity.
    #[test]
    fn streams_and_online_fit_the_capacity(
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
            for room in pacer.grants(now_ms) {
                for _ in 0..room.streams {
                    pacer.started(ID, stream(next), now_ms);
                    running.insert(next);
                    next += 1;
                }
            }
            prop_assert!(running.len() as u32 <= free);
        }
    }
}
