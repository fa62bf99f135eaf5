//! Tests of the choice among replicas.

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

fn settled() -> router::Builder {
    router::Builder::new().slow_start_ms(0)
}

/// Returns a router that goes by load alone.
fn by_load() -> router::Builder {
    settled().recent_weight(0.0, 1)
}

fn fleet(builder: router::Builder, replicas: usize) -> router::Router {
    let mut router = builder.build();
    for index in 0..replicas {
        router.apply_announcement(&engine(&format!("e{index:02}")), 0, 0);
    }
    router
}

/// Sends requests without ending any and returns how many each replica got.
fn send(
    router: &mut router::Router,
    request: &Request<'_>,
    count: usize,
    now_ms: u64,
    random: &mut rand_pcg::Pcg64Mcg,
) -> collections::BTreeMap<name::Name, usize> {
    let mut shares = collections::BTreeMap::new();
    for _ in 0..count {
        let choice = router.choose(request, now_ms, random).expect("a replica");
        router.begin(&choice, request, now_ms);
        *shares.entry(choice.id).or_insert(0) += 1;
    }
    shares
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

/// Guards against an online request that waits for the prompt of a batch stream
/// that this entry VM just sent, while another replica computes none.
#[test]
fn a_batch_stream_sent_just_now_is_avoided() {
    let mut router = fleet(settled(), 2);
    let mut random = random();
    router.batch_sent("e00", 200, 1_000);
    for _ in 0..50 {
        let request = Request::new(MODEL);
        let choice = router.choose(&request, 1_010, &mut random);
        assert_eq!(choice.expect("a replica").id.as_str(), "e01");
    }
    // The prompt is computed by then.
    let shares = send(&mut router, &Request::new(MODEL), 20, 2_000, &mut random);
    assert_eq!(shares.len(), 2, "{shares:?}");
}

/// Guards against many short batch prompts that count like long ones, so that
/// online requests collide on the other replicas.
#[test]
fn short_batch_prompts_count_by_their_tokens() {
    let mut router = fleet(settled(), 2);
    let mut random = random();
    for _ in 0..8 {
        router.batch_sent("e00", 10, 1_000);
    }
    router.batch_sent("e01", 200, 1_000);
    router.batch_sent("e01", 200, 1_000);
    for _ in 0..50 {
        let choice = router.choose(&Request::new(MODEL), 1_010, &mut random);
        assert_eq!(choice.expect("a replica").id.as_str(), "e00");
    }
}

/// Guards against a replica that is drowned because its report claims too
/// little, or never used again because it claims too much.
#[rstest]
#[case::claims_idle(Some(load(0, 0)), 0)]
#[case::claims_overload(Some(load(u32::MAX, u32::MAX)), 0)]
#[case::not_a_number(Some(backend::Load { kv_used: f32::NAN, step_ms: f32::NAN, ..load(5, 0) }), 0)]
#[case::stale(Some(load(500, 500)), 60_000)]
#[case::missing(None, 0)]
fn wrong_reports_neither_drown_nor_exclude(
    #[case] report: Option<backend::Load>,
    #[case] report_age_ms: u32,
) {
    const NOW_MS: u64 = 100_000;
    let mut router = fleet(settled(), 4);
    let mut random = random();
    for index in 0..4 {
        router.probe_succeeded(&format!("e{index:02}"), 1, NOW_MS);
    }
    if let Some(report) = report {
        let mut liar = engine("e00");
        liar.sequence = 2;
        liar.load = backend::Load {
            age_ms: report_age_ms,
            ..report
        };
        router.apply_announcement(&liar, 0, NOW_MS);
    }
    let shares = send(&mut router, &Request::new(MODEL), 400, NOW_MS, &mut random);
    let liar = shares.get("e00").copied().unwrap_or(0);
    assert!(
        (40..=200).contains(&liar),
        "of 400 requests the liar got {liar}"
    );
}

/// Guards against a replica that looks idle because its report was measured
/// before the last requests were sent, and against counting those twice that a
/// report already shows.
#[rstest]
#[case::measured_before(100, 20, 18, "e01")]
#[case::measured_after(0, 12, 14, "e00")]
fn reports_are_corrected_by_what_was_sent_since(
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
    assert_eq!(next.expect("a replica").id.as_str(), chosen);
}

/// Guards against sending to a replica whose fresh report shows work that no
/// count explains.
#[test]
fn unexplained_work_counts() {
    let mut router = fleet(by_load(), 2);
    let mut busy = engine("e00");
    busy.sequence = 2;
    busy.load = load(20, 0);
    router.apply_announcement(&busy, 0, 1_000);
    let shares = send(&mut router, &Request::new(MODEL), 9, 1_000, &mut random());
    assert_eq!(shares.get("e00"), None);
}

/// Guards against herding: entry VMs that all see one idle replica send it
/// everything until the next report.
#[rstest]
#[case::two_choices(settled().sample_size(2), 0, 40)]
// Shows what the rule is for: with all replicas compared, the herd forms.
#[case::best_of_all(by_load().sample_size(12), 55, 80)]
fn entry_vms_do_not_herd(
    #[case] builder: router::Builder,
    #[case] least: usize,
    #[case] most: usize,
) {
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
        let shares = send(&mut router, &Request::new(MODEL), 10, 1_000, &mut random);
        idle += shares.get("e00").copied().unwrap_or(0);
    }
    assert!((least..=most).contains(&idle), "of 80 requests {idle}");
}

/// Guards against work for a backend server that may be leaving.
#[rstest]
#[case::fresh(2_999, true)]
#[case::too_old(3_000, false)]
fn old_proofs_end_the_use(#[case] age_ms: u64, #[case] usable: bool) {
    let router = fleet(settled(), 1);
    let choice = router.choose(&Request::new(MODEL), age_ms, &mut random());
    match choice {
        Ok(_) => assert!(usable),
        Err(reason) => assert_eq!((usable, reason), (false, Unavailable::ProofTooOld)),
    }
}

/// Guards against a renewal that was delayed or doubled on the way and passes for
/// a new proof of not leaving.
#[rstest]
#[case::copy(5, false)]
#[case::older(4, false)]
#[case::next(6, true)]
fn copies_are_no_new_proof(#[case] sequence: u64, #[case] usable: bool) {
    let mut router = fleet(settled(), 1);
    let mut renewal = engine("e00");
    renewal.sequence = 5;
    router.apply_direct_announcement(&renewal, 0);
    renewal.sequence = sequence;
    router.apply_direct_announcement(&renewal, 2_000);
    assert_eq!(router.is_usable("e00", 4_000), usable);
}

/// Guards against a late or repeated renewal that brings a leaving backend
/// server back; only a restart does.
#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut router = fleet(settled(), 1);
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

#[rstest]
#[case::drained(|router: &mut router::Router| router.set_drained(&["e00".into()].into()), Unavailable::Drained)]
#[case::ejected(|router: &mut router::Router| router.set_health("e00", true, 1.0), Unavailable::Ejected)]
#[case::reserved(|router: &mut router::Router| router.reserve("e00", 50), Unavailable::Reserved)]
#[case::leaving(|router: &mut router::Router| router.mark_leaving("e00", 1), Unavailable::Leaving)]
fn excluded_replicas_get_nothing(
    #[case] exclude: fn(&mut router::Router),
    #[case] reason: Unavailable,
) {
    let mut router = fleet(settled(), 2);
    exclude(&mut router);
    let shares = send(&mut router, &Request::new(MODEL), 50, 1, &mut random());
    assert_eq!(shares.get("e00"), None);
    let mut alone = fleet(settled(), 1);
    exclude(&mut alone);
    let choice = alone.choose(&Request::new(MODEL), 1, &mut random());
    assert_eq!(choice, Err(reason));
}

/// Guards against home replicas that draw chats away from the replica that has
/// their prefix cached.
#[test]
fn a_whole_cached_prefix_outweighs_home() {
    let mut router = fleet(settled(), 12);
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
        assert_eq!(choice.expect("a replica").id.as_str(), "e00");
    }
}

/// Guards against a cached prefix that outweighs any load, and against trust
/// in what events with gaps or a restart have made doubtful.
#[rstest]
#[case::held(|_: &mut router::Router| {}, 0, true)]
#[case::held_but_busy(|_: &mut router::Router| {}, 24, false)]
#[case::gap_and_some_load(|router: &mut router::Router| events(router, 9, &[], &[]), 16, false)]
#[case::some_load(|_: &mut router::Router| {}, 16, true)]
#[case::removed(|router: &mut router::Router| events(router, 0, &[], &blocks(8)), 0, false)]
#[case::restarted(|router: &mut router::Router| {
    let mut restarted = engine("e00");
    restarted.incarnation = 2;
    router.apply_announcement(&restarted, 0, 10);
}, 0, false)]
fn cached_prefixes_attract_within_bounds(
    #[case] change: fn(&mut router::Router),
    #[case] holder_load: usize,
    #[case] holder_wins: bool,
) {
    let mut router = fleet(settled().tie_margin(0.0), 12);
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
    let wins = (0..200)
        .filter(|_| {
            let choice = router.choose(&request, 2_000, &mut random);
            choice.expect("a replica").id.as_str() == "e00"
        })
        .count();
    // Without affinity, e00 is among the two drawn in a sixth of the cases.
    assert_eq!(wins > 150, holder_wins, "{wins} of 200");
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

/// Guards against unbounded memory for cached blocks.
#[test]
fn cached_blocks_are_bounded() {
    let mut router = fleet(settled().cached_blocks(100), 1);
    let all = blocks(10_000);
    for (index, block) in all.iter().enumerate() {
        events(&mut router, index as u64, &[*block], &[]);
    }
    let held = all
        .iter()
        .filter(|block| router.cached_prefix("e00", &[**block]) == 1)
        .count();
    assert!((100..=200).contains(&held), "{held} blocks");
}

/// Guards against a cold replica that gets its whole share, or more, at once.
#[test]
fn new_replicas_start_slowly() {
    let mut router = fleet(router::Builder::new().slow_start_ms(5_000), 4);
    let mut random = random();
    let now_ms = 10_000;
    for index in 0..4 {
        router.probe_succeeded(&format!("e{index:02}"), 1, now_ms);
    }
    router.apply_announcement(&engine("new"), 0, now_ms);
    let shares = send(
        &mut router,
        &Request::new(MODEL),
        100,
        now_ms + 500,
        &mut random,
    );
    let new = shares.get("new").copied().unwrap_or(0);
    assert!((1..=8).contains(&new), "{new} of 100, an even share is 20");
}

/// Guards against a failure domain preference that is ignored or absolute.
#[rstest]
#[case::no_weight(0.0, 80, 120)]
#[case::some_weight(0.1, 130, 199)]
fn own_failure_domain_is_preferred_by_weight(
    #[case] weight: f32,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut router = by_load().failure_domain("ljub-a".into(), weight).build();
    for (id, domain) in [("near", "ljub-a"), ("far", "ljub-b")] {
        let mut replica = engine(id);
        replica.failure_domain = domain.into();
        router.apply_announcement(&replica, 0, 0);
    }
    let mut random = random();
    let mut near = 0;
    for _ in 0..50 {
        let shares = send(&mut router, &Request::new(MODEL), 4, 0, &mut random);
        near += shares.get("near").copied().unwrap_or(0);
        for (id, count) in shares {
            for _ in 0..count {
                router.end(&choice(&id), Sharing::Any, 0);
            }
        }
    }
    assert!((least..=most).contains(&near), "{near} of 200");
}

/// Guards against prompts that wait for each other on one replica while others
/// compute none: requests that follow each other closely are spread.
#[rstest]
#[case::spread(settled().sample_size(4), 0, 3)]
// Shows what the rule is for.
#[case::by_load(by_load().sample_size(4), 4, 40)]
fn requests_in_a_row_are_spread(
    #[case] builder: router::Builder,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut router = fleet(builder, 12);
    let mut random = random();
    // Streams on all but one replica make the last one the least loaded.
    for index in 1..12 {
        for _ in 0..8 {
            router.begin(&choice(&format!("e{index:02}")), &Request::new(MODEL), 0);
        }
    }
    let shares = send(&mut router, &Request::new(MODEL), 24, 1_000, &mut random);
    let idle = shares.get("e00").copied().unwrap_or(0);
    assert!((least..=most).contains(&idle), "{idle} of 24");
}

/// Guards against entry VMs that collide on each other's replicas, and against
/// home replicas that are overloaded while others idle.
#[rstest]
#[case::idle(0, 20, 20)]
#[case::half_full(15, 20, 20)]
#[case::full(32, 0, 0)]
fn home_replicas_come_first_while_they_have_room(
    #[case] online: usize,
    #[case] least: usize,
    #[case] most: usize,
) {
    let mut router = fleet(settled(), 12);
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
            ["e03", "e07"].contains(&next.expect("a replica").id.as_str())
        })
        .count();
    assert!((least..=most).contains(&home), "{home} of 20");
}

/// Guards against two suspects on one replica, and against an isolated run
/// beside other work.
#[test]
fn suspects_are_kept_apart() {
    let mut router = fleet(settled(), 3);
    let mut random = random();
    let dispersed = Request {
        sharing: Sharing::Dispersed,
        ..Request::new(MODEL)
    };
    let shares = send(&mut router, &dispersed, 3, 0, &mut random);
    assert!(shares.values().all(|&count| count == 1), "{shares:?}");
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
    /// Guards against a choice that the rules exclude, whatever the state.
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

/// Guards against isolated runs that leave the online load too few replicas.
#[rstest]
#[case::one(1, 0)]
#[case::two(2, 1)]
#[case::seven(7, 1)]
#[case::twelve(12, 3)]
fn few_replicas_are_reserved_at_a_time(#[case] replicas: usize, #[case] expected: usize) {
    let mut router = fleet(settled(), replicas);
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
    let sole = replicas - reserved == 1;
    let refused = [
        router::Reservation::LimitReached,
        router::Reservation::LastReplica,
    ][usize::from(sole)];
    assert_eq!(router.check_reservation(&last, 0), refused);
}
