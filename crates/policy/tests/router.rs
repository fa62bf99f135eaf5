//! Tests of `router`: the choice among replicas.

mod common;

use std::collections;

use bw_policy::router::{self, Request, Sharing, Target, Unavailable};
use bw_wire::{backend, fingerprint::Fingerprint, name};
use common::{engine, load, random};
use proptest::prelude::*;
use rstest::rstest;

const MODEL: Target<'static> = Target::Model {
    model: "m",
    adapter: None,
};

fn without_slow_start() -> router::Builder {
    router::Builder::new().slow_start_ms(0)
}

/// Returns the settings of a router that ignores recently sent requests.
fn by_load() -> router::Builder {
    without_slow_start().recent_weight(0.0, 1)
}

fn fleet(builder: router::Builder, replicas: usize) -> router::Router {
    let mut router = builder.build();
    for index in 0..replicas {
        router.apply_announcement(&engine(&format!("e{index:02}")), 0, 0);
    }
    router
}

/// Sends requests, all of which stay in flight, and returns the count by replica.
fn send(
    router: &mut router::Router,
    request: &Request<'_>,
    count: usize,
    now_ms: u64,
    random: &mut rand_pcg::Pcg64Mcg,
) -> collections::BTreeMap<name::Name, usize> {
    let mut counts = collections::BTreeMap::new();
    for _ in 0..count {
        let choice = router
            .choose(request, now_ms, random)
            .expect("a replica should be usable");
        router.begin(&choice, request, now_ms);
        *counts.entry(choice.id).or_insert(0) += 1;
    }
    counts
}

fn choice(id: &str) -> router::Choice {
    router::Choice {
        id: id.into(),
        incarnation: 1,
        address: format!("{id}:1").into(),
        cached_blocks: 0,
    }
}

fn blocks(count: u64) -> Vec<Fingerprint> {
    (0..count).map(|block| Fingerprint(1, block)).collect()
}

/// Guards against sending an online request to a replica that still prefills a
/// batch stream of this entry VM while another one prefills none.
#[test]
fn replicas_with_a_recent_batch_stream_are_avoided() {
    let mut router = fleet(without_slow_start(), 2);
    let mut random = random();
    router.batch_sent("e00", 200, 1_000);
    for _ in 0..50 {
        let request = Request::new(MODEL);
        let choice = router.choose(&request, 1_010, &mut random);
        assert_eq!(
            choice.expect("a replica should be usable").id.as_str(),
            "e01"
        );
    }
    // By then, the prefill of the batch stream is done.
    let counts = send(&mut router, &Request::new(MODEL), 20, 2_000, &mut random);
    assert_eq!(counts.len(), 2, "{counts:?}");
}

/// Guards against weighting many short batch prompts like long ones, so that online
/// requests collide on the other replicas.
#[test]
fn short_batch_prompts_count_by_their_tokens() {
    let mut router = fleet(without_slow_start(), 2);
    let mut random = random();
    for _ in 0..8 {
        router.batch_sent("e00", 10, 1_000);
    }
    router.batch_sent("e01", 200, 1_000);
    router.batch_sent("e01", 200, 1_000);
    for _ in 0..50 {
        let choice = router.choose(&Request::new(MODEL), 1_010, &mut random);
        assert_eq!(
            choice.expect("a replica should be usable").id.as_str(),
            "e00"
        );
    }
}

/// Guards against overloading a replica that reports too little load, and against
/// no longer using one that reports too much.
#[rstest]
#[case::claims_idle(Some(load(0, 0)), 0)]
#[case::claims_overload(Some(load(u32::MAX, u32::MAX)), 0)]
#[case::not_a_number(Some(backend::Load { kv_used: f32::NAN, step_ms: f32::NAN, ..load(5, 0) }), 0)]
#[case::stale(Some(load(500, 500)), 60_000)]
#[case::missing(None, 0)]
fn wrong_reports_neither_overload_nor_exclude_a_replica(
    #[case] report: Option<backend::Load>,
    #[case] report_age_ms: u32,
) {
    const NOW_MS: u64 = 100_000;
    let mut router = fleet(without_slow_start(), 4);
    let mut random = random();
    for index in 0..4 {
        router.probe_succeeded(&format!("e{index:02}"), 1, NOW_MS);
    }
    if let Some(report) = report {
        let mut misreporting = engine("e00");
        misreporting.sequence = 2;
        misreporting.load = backend::Load {
            age_ms: report_age_ms,
            ..report
        };
        router.apply_announcement(&misreporting, 0, NOW_MS);
    }
    let counts = send(&mut router, &Request::new(MODEL), 400, NOW_MS, &mut random);
    let misreporting = counts.get("e00").copied().unwrap_or(0);
    assert!(
        (40..=200).contains(&misreporting),
        "the misreporting replica received {misreporting} of 400 requests"
    );
}

/// Guards against a replica that seems idle because its report was measured before
/// the last requests were sent, and against counting requests twice that a report
/// includes.
#[rstest]
#[case::measured_before(100, 20, 18, "e01")]
#[case::measured_after(0, 12, 14, "e00")]
fn reports_are_corrected_by_requests_sent_since(
    #[case] report_age_ms: u32,
    #[case] running: u32,
    #[case] other_online: u32,
    #[case] chosen: &str,
) {
    let mut router = fleet(by_load().tie_margin(0.0), 2);
    for (id, online) in [("e00", 12), ("e01", other_online)] {
        let choice = choice(id);
        for _ in 0..online {
            router.begin(&choice, &Request::new(MODEL), 1_000);
        }
    }
    let mut reporting = engine("e00");
    reporting.sequence = 2;
    reporting.load = backend::Load {
        age_ms: report_age_ms,
        ..load(running, 0)
    };
    router.apply_announcement(&reporting, 0, 1_001);
    let next = router.choose(&Request::new(MODEL), 1_001, &mut random());
    assert_eq!(
        next.expect("a replica should be usable").id.as_str(),
        chosen
    );
}

/// Guards against sending to a replica whose fresh report shows more work than the
/// entry VMs' counts.
#[test]
fn reported_work_beyond_the_counts_is_considered() {
    let mut router = fleet(by_load(), 2);
    let mut busy = engine("e00");
    busy.sequence = 2;
    busy.load = load(20, 0);
    router.apply_announcement(&busy, 0, 1_000);
    let counts = send(&mut router, &Request::new(MODEL), 9, 1_000, &mut random());
    assert_eq!(counts.get("e00"), None);
}

/// Guards against herding: if all entry VMs see the same idle replica, they must not
/// send it all requests until its next report.
#[rstest]
#[case::two_choices(without_slow_start().sample_size(2), 0, 40)]
// The control case: if all replicas are compared, entry VMs herd.
#[case::best_of_all(by_load().sample_size(12), 55, 80)]
fn entry_vms_do_not_herd(#[case] builder: router::Builder, #[case] min: usize, #[case] max: usize) {
    let mut random = random();
    let mut idle = 0;
    for _ in 0..8 {
        let mut router = fleet(builder.clone(), 12);
        for index in 1..12 {
            let mut busy = engine(&format!("e{index:02}"));
            busy.sequence = 2;
            busy.load = load(24, 0);
            router.apply_announcement(&busy, 0, 1_000);
        }
        let counts = send(&mut router, &Request::new(MODEL), 10, 1_000, &mut random);
        idle += counts.get("e00").copied().unwrap_or(0);
    }
    assert!(
        (min..=max).contains(&idle),
        "the idle replica received {idle} of 80 requests"
    );
}

/// Guards against new work for a backend server that may be leaving.
#[rstest]
#[case::fresh(2_999, true)]
#[case::too_old(3_000, false)]
fn replicas_with_an_old_proof_are_not_used(#[case] age_ms: u64, #[case] usable: bool) {
    let router = fleet(without_slow_start(), 1);
    let choice = router.choose(&Request::new(MODEL), age_ms, &mut random());
    match choice {
        Ok(_) => assert!(usable),
        Err(reason) => assert_eq!((usable, reason), (false, Unavailable::ProofTooOld)),
    }
}

/// Guards against an announcement that was delayed or duplicated in transit and is
/// taken for a new proof that the server is not leaving.
#[rstest]
#[case::duplicate(5, false)]
#[case::older(4, false)]
#[case::next(6, true)]
fn duplicate_announcements_are_no_new_proof(#[case] sequence: u64, #[case] usable: bool) {
    let mut router = fleet(without_slow_start(), 1);
    let mut renewal = engine("e00");
    renewal.sequence = 5;
    router.apply_direct_announcement(&renewal, 0);
    renewal.sequence = sequence;
    router.apply_direct_announcement(&renewal, 2_000);
    assert_eq!(router.is_usable("e00", 4_000), usable);
}

/// Guards against a late or repeated announcement or a probe that makes a leaving
/// backend server usable again; only a restart may.
#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut router = fleet(without_slow_start(), 1);
    let mut leaving = engine("e00");
    leaving.sequence = 5;
    leaving.state = backend::State::Leaving;
    router.apply_announcement(&leaving, 0, 100);
    for sequence in [4, 5, 6] {
        let mut renewal = engine("e00");
        renewal.sequence = sequence;
        router.apply_announcement(&renewal, 0, 200);
        router.probe_succeeded("e00", 1, 200);
        assert!(!router.is_usable("e00", 200), "renewal {sequence}");
    }
    let mut restarted = engine("e00");
    restarted.incarnation = 2;
    router.apply_announcement(&restarted, 0, 300);
    assert!(router.is_usable("e00", 300));
}

/// Guards against sending requests to replicas that are drained, ejected, reserved
/// or leaving, and against a wrong reason if there is no other.
#[rstest]
#[case::drained(|router: &mut router::Router| router.set_drained(&["e00".into()].into()), Unavailable::Drained)]
#[case::ejected(|router: &mut router::Router| router.set_health("e00", true, 1.0), Unavailable::Ejected)]
#[case::reserved(|router: &mut router::Router| router.reserve("e00", 50), Unavailable::Reserved)]
#[case::leaving(|router: &mut router::Router| router.mark_leaving("e00", 1), Unavailable::Leaving)]
fn excluded_replicas_receive_no_requests(
    #[case] exclude: fn(&mut router::Router),
    #[case] reason: Unavailable,
) {
    let mut router = fleet(without_slow_start(), 2);
    exclude(&mut router);
    let counts = send(&mut router, &Request::new(MODEL), 50, 1, &mut random());
    assert_eq!(counts.get("e00"), None);
    let mut alone = fleet(without_slow_start(), 1);
    exclude(&mut alone);
    let choice = alone.choose(&Request::new(MODEL), 1, &mut random());
    assert_eq!(choice, Err(reason));
}

/// Guards against sending a chat to a home replica, which the entry VM prefers as it
/// owns the batch work there, although another replica has its whole prefix cached.
#[test]
fn a_whole_cached_prefix_outweighs_a_home_replica() {
    let mut router = fleet(without_slow_start(), 12);
    router.set_home(&["e01".into(), "e02".into()].into());
    let prefix = blocks(8);
    let request = Request {
        prefix: &prefix,
        ..Request::new(MODEL)
    };
    router.begin(&choice("e00"), &request, 1);
    router.end(&choice("e00"), Sharing::Any, 2);
    let mut random = random();
    for _ in 0..50 {
        let choice = router.choose(&request, 2_000, &mut random);
        assert_eq!(
            choice.expect("a replica should be usable").id.as_str(),
            "e00"
        );
    }
}

/// Guards against a cached prefix that outweighs any load, and against full
/// confidence in cached blocks after a gap in the events or a restart.
#[rstest]
#[case::cached(|_: &mut router::Router| {}, 0, true)]
#[case::held_but_busy(|_: &mut router::Router| {}, 24, false)]
#[case::some_load_after_a_gap(|router: &mut router::Router| events(router, 9, &[], &[]), 16, false)]
#[case::some_load(|_: &mut router::Router| {}, 16, true)]
#[case::removed(|router: &mut router::Router| events(router, 0, &[], &blocks(8)), 0, false)]
#[case::restarted(|router: &mut router::Router| {
    let mut restarted = engine("e00");
    restarted.incarnation = 2;
    router.apply_announcement(&restarted, 0, 10);
}, 0, false)]
fn cached_prefixes_are_preferred_within_limits(
    #[case] change: fn(&mut router::Router),
    #[case] holder_load: usize,
    #[case] is_preferred: bool,
) {
    let mut router = fleet(without_slow_start().tie_margin(0.0), 12);
    let prefix = blocks(8);
    let request = Request {
        prefix: &prefix,
        ..Request::new(MODEL)
    };
    let holder = choice("e00");
    router.begin(&holder, &request, 1);
    router.end(&holder, Sharing::Any, 2);
    for _ in 0..holder_load {
        router.begin(&holder, &Request::new(MODEL), 3);
    }
    change(&mut router);
    let mut random = random();
    let chosen = (0..200)
        .filter(|_| {
            let choice = router.choose(&request, 2_000, &mut random);
            choice.expect("a replica should be usable").id.as_str() == "e00"
        })
        .count();
    // Without the bonus, e00 is among the two sampled replicas in a sixth of the cases.
    assert_eq!(chosen > 150, is_preferred, "{chosen} of 200");
}

fn events(
    router: &mut router::Router,
    sequence: u64,
    stored: &[Fingerprint],
    removed: &[Fingerprint],
) {
    let events = backend::CacheEvents {
        id: "e00".into(),
        incarnation: 1,
        sequence,
        stored: stored.to_vec(),
        removed: removed.to_vec(),
    };
    router.apply_cache_events(&events, 10);
}

/// Guards against unbounded memory for the index of cached blocks.
#[test]
fn cached_blocks_are_bounded() {
    let mut router = fleet(without_slow_start().cached_blocks(100), 1);
    let all = blocks(10_000);
    for (index, block) in all.iter().enumerate() {
        events(&mut router, index as u64, &[*block], &[]);
    }
    let cached = all
        .iter()
        .filter(|block| router.cached_prefix("e00", &[**block]) == 1)
        .count();
    assert!((100..=200).contains(&cached), "{cached} blocks");
}

/// Guards against a new replica that receives its full share or more immediately.
#[test]
fn new_replicas_go_through_a_slow_start() {
    let mut router = fleet(router::Builder::new().slow_start_ms(5_000), 4);
    let mut random = random();
    let now_ms = 10_000;
    for index in 0..4 {
        router.probe_succeeded(&format!("e{index:02}"), 1, now_ms);
    }
    router.apply_announcement(&engine("new"), 0, now_ms);
    let counts = send(
        &mut router,
        &Request::new(MODEL),
        100,
        now_ms + 500,
        &mut random,
    );
    let new = counts.get("new").copied().unwrap_or(0);
    assert!((1..=8).contains(&new), "{new} of 100, an even share is 20");
}

/// Guards against a failure domain preference that is ignored or absolute.
#[rstest]
#[case::no_weight(0.0, 80, 120)]
#[case::some_weight(0.1, 130, 199)]
fn own_failure_domain_is_preferred_by_weight(
    #[case] weight: f32,
    #[case] min: usize,
    #[case] max: usize,
) {
    let mut router = by_load().failure_domain("ljub-a".into(), weight).build();
    for (id, domain) in [("near", "ljub-a"), ("far", "ljub-b")] {
        let mut replica = engine(id);
        replica.failure_domain = domain.into();
        router.apply_announcement(&replica, 0, 0);
    }
    let mut random = random();
    let mut own_domain = 0;
    for _ in 0..50 {
        let counts = send(&mut router, &Request::new(MODEL), 4, 0, &mut random);
        own_domain += counts.get("near").copied().unwrap_or(0);
        for (id, count) in counts {
            for _ in 0..count {
                router.end(&choice(&id), Sharing::Any, 0);
            }
        }
    }
    assert!((min..=max).contains(&own_domain), "{own_domain} of 200");
}

/// Guards against prefills that wait for each other on one replica while others run
/// none: requests in quick succession have to be spread.
#[rstest]
#[case::spread(without_slow_start().sample_size(4), 0, 3)]
// The control case: by load alone, they go to the least loaded replica.
#[case::by_load(by_load().sample_size(4), 4, 40)]
fn requests_in_quick_succession_are_spread(
    #[case] builder: router::Builder,
    #[case] min: usize,
    #[case] max: usize,
) {
    let mut router = fleet(builder, 12);
    let mut random = random();
    // Requests in flight on the other replicas make e00 the least loaded one.
    for index in 1..12 {
        for _ in 0..8 {
            router.begin(&choice(&format!("e{index:02}")), &Request::new(MODEL), 0);
        }
    }
    let counts = send(&mut router, &Request::new(MODEL), 24, 1_000, &mut random);
    let idle = counts.get("e00").copied().unwrap_or(0);
    assert!((min..=max).contains(&idle), "{idle} of 24");
}

/// Guards against entry VMs that collide on each other's home replicas (each replica is
/// home to the entry VM that owns its batch work), and against home replicas that are
/// overloaded while others are idle.
#[rstest]
#[case::idle(0, 20, 20)]
#[case::half_full(15, 20, 20)]
#[case::full(32, 0, 0)]
fn home_replicas_are_preferred_below_capacity(
    #[case] online: usize,
    #[case] min: usize,
    #[case] max: usize,
) {
    let mut router = fleet(without_slow_start(), 12);
    router.set_home(&["e03".into(), "e07".into()].into());
    for id in ["e03", "e07"] {
        for _ in 0..online {
            router.begin(&choice(id), &Request::new(MODEL), 0);
        }
    }
    let mut random = random();
    let home = (0..20)
        .filter(|_| {
            let next = router.choose(&Request::new(MODEL), 2_000, &mut random);
            ["e03", "e07"].contains(&next.expect("a replica should be usable").id.as_str())
        })
        .count();
    assert!((min..=max).contains(&home), "{home} of 20");
}

/// Guards against two suspects on one replica, and against an isolated run beside
/// other work.
#[test]
fn suspects_do_not_share_replicas() {
    let mut router = fleet(without_slow_start(), 3);
    let mut random = random();
    let dispersed = Request {
        sharing: Sharing::Dispersed,
        ..Request::new(MODEL)
    };
    let counts = send(&mut router, &dispersed, 3, 0, &mut random);
    assert!(counts.values().all(|&count| count == 1), "{counts:?}");
    let fourth = router.choose(&dispersed, 0, &mut random);
    assert_eq!(fourth, Err(Unavailable::NoneFree));
    let isolated = Request {
        sharing: Sharing::Isolated,
        ..Request::new(MODEL)
    };
    assert_eq!(
        router.choose(&isolated, 0, &mut random),
        Err(Unavailable::NoneFree)
    );
}

proptest! {
    /// Guards against choosing an unusable replica, and against choosing none although
    /// one is usable, over random states.
    #[test]
    fn chosen_replicas_are_always_usable(
        states in proptest::collection::vec((any::<u32>(), any::<u32>(), any::<f32>(), 0u64..6_000, 0u8..5), 1..20),
        fleet_online in proptest::collection::vec(any::<u32>(), 20),
        seed in any::<u64>(),
    ) {
        use rand::SeedableRng;
        let mut router = router::Builder::new().build();
        let mut online = collections::BTreeMap::new();
        for (index, &(running, capacity, kv_used, age_ms, state)) in states.iter().enumerate() {
            let mut replica = engine(&format!("e{index}"));
            replica.capacity = capacity;
            replica.load = backend::Load { kv_used, ..load(running, running) };
            replica.state = match state {
                0 => backend::State::Leaving,
                1 => backend::State::Loading,
                _ => backend::State::Ready,
            };
            online.insert(replica.id.clone(), fleet_online[index]);
            router.apply_announcement(&replica, age_ms, 10_000);
            router.set_health(&replica.id, state == 2, kv_used);
        }
        router.set_fleet_online(&online, 10_000);
        let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
        let usable = (0..states.len()).any(|index| router.is_usable(&format!("e{index}"), 10_000));
        match router.choose(&Request::new(MODEL), 10_000, &mut random) {
            Ok(choice) => prop_assert!(router.is_usable(&choice.id, 10_000)),
            Err(_) => prop_assert!(!usable),
        }
    }
}

/// Guards against so many reservations for isolated runs that too few replicas are
/// left for the online load.
#[rstest]
#[case::one(1, 0)]
#[case::two(2, 1)]
#[case::seven(7, 1)]
#[case::twelve(12, 3)]
fn reservations_are_limited(#[case] replicas: usize, #[case] expected: usize) {
    let mut router = fleet(without_slow_start(), replicas);
    let mut reserved = 0;
    for index in 0..replicas {
        let id = format!("e{index:02}");
        if router.check_reservation(&id, 0) == router::Reservation::Allowed {
            router.reserve(&id, 1_000);
            reserved += 1;
        }
    }
    assert_eq!(reserved, expected);
    let last = format!("e{:02}", replicas - 1);
    let is_last = replicas - reserved == 1;
    let refused = [
        router::Reservation::LimitReached,
        router::Reservation::LastReplica,
    ][usize::from(is_last)];
    assert_eq!(router.check_reservation(&last, 0), refused);
}
