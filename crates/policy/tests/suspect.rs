//! Tests of the rules for requests that crash backend servers.

mod common;

use std::collections;

use bw_policy::{
    router::{self, Request, Target},
    suspect::{
        self, Evidence, Run, Suspects, Treatment,
        item::{Decision, Plan, Remaining},
    },
};
use bw_wire::{command::work, fingerprint::Fingerprint, name, refusal, verdict};
use rstest::rstest;

const POISON: Fingerprint = Fingerprint(0, 0);

fn crash(suspects: &mut Suspects, crash: u64, isolated: bool) -> usize {
    let flight = Run {
        fingerprint: POISON,
        isolated,
    };
    suspects
        .crashed(&"e00".into(), crash, &[flight], crash)
        .len()
}

/// Guards against a suspect that keeps running with others, and against one
/// that runs isolated more than once.
#[rstest]
#[case::no_strike(&[], "normal")]
#[case::one(&[false], "dispersed")]
#[case::two(&[false, false], "isolated")]
#[case::three(&[false, false, true], "refused")]
#[case::three_in_company(&[false, false, false], "refused")]
#[case::isolated_early(&[true], "refused")]
fn strikes_decide_the_treatment(#[case] crashes: &[bool], #[case] expected: &str) {
    let mut suspects = suspect::Builder::new().build();
    for (number, &isolated) in (1..).zip(crashes) {
        assert_eq!(crash(&mut suspects, number, isolated), 1);
    }
    let treatment = match suspects.treatment(POISON) {
        Treatment::Normal => "normal",
        Treatment::Dispersed => "dispersed",
        Treatment::Isolated => "isolated",
        Treatment::Refused(refusal) => {
            assert_eq!(refusal.reason, refusal::Reason::PoisonousRequest);
            assert_eq!(refusal.verdict, verdict::Verdict::MayHaveRun);
            assert_eq!(refusal.retry_after_s, None);
            "refused"
        }
    };
    assert_eq!(treatment, expected);
}

/// Guards against one crash that counts several times, because each of the
/// streams to the backend server reports it.
#[test]
fn each_crash_counts_once() {
    let mut suspects = suspect::Builder::new().build();
    assert_eq!(crash(&mut suspects, 1, false), 1);
    assert_eq!(crash(&mut suspects, 1, false), 0);
    assert_eq!(suspects.treatment(POISON), Treatment::Dispersed);
}

/// Guards against strikes for what is no crash.
#[rstest]
#[case::connection_only(Evidence { broken: true, ..Evidence::default() }, false)]
#[case::then_refused(Evidence { broken: true, refused: true, ..Evidence::default() }, true)]
#[case::restarted(Evidence { broken: true, restarted: true, ..Evidence::default() }, true)]
#[case::orderly_leave(Evidence { broken: true, refused: true, leaving: true, ..Evidence::default() }, false)]
#[case::restarted_idle(Evidence { restarted: true, ..Evidence::default() }, false)]
fn only_crashes_are_counted(#[case] evidence: Evidence, #[case] expected: bool) {
    assert_eq!(evidence.is_crash(), expected);
}

/// Guards against a cleared suspect that an older `sync` answer brings back,
/// and against a new one that such an answer drops.
#[test]
fn news_outweighs_older_answers() {
    let mut suspects = suspect::Builder::new().sync_grace_ms(1_000).build();
    crash(&mut suspects, 1, false);
    suspects.sync(&[], 500);
    assert_eq!(suspects.treatment(POISON), Treatment::Dispersed);
    let listed = suspects.get(POISON).expect("listed");
    let cleared = suspects.finished(POISON, 600);
    assert_eq!(
        cleared,
        Some(work::Command::Clear {
            fingerprint: POISON
        })
    );
    assert_eq!(suspects.finished(POISON, 600), None);
    suspects.sync(&[listed], 700);
    assert_eq!(suspects.treatment(POISON), Treatment::Normal);
    suspects.sync(&[listed], 2_000);
    assert_eq!(suspects.treatment(POISON), Treatment::Dispersed);
    suspects.sync(&[], 4_000);
    assert_eq!(suspects.treatment(POISON), Treatment::Normal);
}

/// Guards against strikes that are lost between entry VMs.
#[test]
fn peers_strikes_are_merged() {
    let mut suspects = suspect::Builder::new().build();
    crash(&mut suspects, 1, false);
    let told = work::Suspect {
        fingerprint: POISON,
        strikes: 2,
        isolated: 0,
        until_ms: 9,
    };
    suspects.merge(&told, 10);
    suspects.merge(&work::Suspect { strikes: 1, ..told }, 11);
    assert_eq!(suspects.get(POISON), Some(told));
}

/// Guards against many poisonous requests that take the whole fleet out of use
/// with isolated runs, and against unbounded memory.
#[test]
fn isolated_runs_and_memory_are_bounded() {
    let mut suspects = suspect::Builder::new().max_suspects(100).build();
    let flights: Vec<Run> = (0..1_000)
        .map(|number| Run {
            fingerprint: Fingerprint(1, number),
            isolated: false,
        })
        .collect();
    suspects.crashed(&"e00".into(), 1, &flights, 0);
    assert_eq!(suspects.len(), 100);
    suspects.crashed(&"e00".into(), 2, &flights[900..], 0);
    let (first, second) = (Fingerprint(1, 950), Fingerprint(1, 960));
    assert_eq!(suspects.treatment(first), Treatment::Isolated);
    suspects.begin_isolated(first);
    let Treatment::Refused(refusal) = suspects.treatment(second) else {
        panic!("a second isolated run");
    };
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    suspects.abandoned(first);
    assert_eq!(suspects.treatment(second), Treatment::Isolated);
}

/// Crashes a backend server of its own under a fingerprint.
fn crash_at(suspects: &mut Suspects, fingerprint: Fingerprint, isolated: bool, now_ms: u64) {
    let flight = Run {
        fingerprint,
        isolated,
    };
    suspects.crashed(&"e00".into(), now_ms, &[flight], now_ms);
}

/// Guards against strikes that stay known here for good after a clearing
/// elsewhere, and against an older record that hides a crash seen here.
#[test]
fn a_record_replaces_what_is_known_unless_that_is_younger() {
    let mut suspects = suspect::Builder::new().sync_grace_ms(1_000).build();
    for number in 1..=3 {
        crash_at(&mut suspects, POISON, false, number);
    }
    suspects.replace(POISON, None, 1_003);
    assert!(matches!(suspects.treatment(POISON), Treatment::Refused(_)));
    let recorded = work::Suspect {
        fingerprint: POISON,
        strikes: 1,
        isolated: 0,
        until_ms: 60_000,
    };
    assert!(!suspect::is_poisonous(&recorded));
    suspects.replace(POISON, Some(&recorded), 1_004);
    assert_eq!(suspects.treatment(POISON), Treatment::Dispersed);
    assert_eq!(suspects.get(POISON), Some(recorded));
    suspects.replace(POISON, None, 1_004);
    assert_eq!(suspects.treatment(POISON), Treatment::Normal);
}

/// Guards against an item that many crashes end or hold up for good, and
/// against one that waits though the fleet has been calm for a short time.
#[rstest]
#[case::in_company(false, 5_000)]
#[case::in_trials(true, 120_000)]
fn crashes_never_end_an_item(#[case] trials: bool, #[case] wait_ms: u64) {
    let item = POISON.of_item();
    for crashes in 1..=40 {
        let mut suspects = suspect::Builder::new().build();
        let last_ms = crashes * 1_000;
        for number in 1..=crashes {
            crash_at(&mut suspects, item, trials, number * 1_000);
        }
        let plan = suspects.plan(item, last_ms + wait_ms);
        assert!(!matches!(plan, Plan::Wait { .. }), "{crashes}: {plan:?}");
    }
}

/// Guards against an item that crashes each backend server and is run again and
/// again without a growing pause, or beside other work.
#[test]
fn crashes_under_an_item_at_fault_become_rare() {
    let item = POISON.of_item();
    let mut suspects = suspect::Builder::new().build();
    let mut crashes = Vec::new();
    let mut now_ms = 10_000;
    while now_ms < 7_200_000 {
        match suspects.plan(item, now_ms) {
            Plan::Wait { until_ms, .. } => {
                assert!(until_ms > now_ms && until_ms <= now_ms + 120_000);
                now_ms = until_ms;
            }
            plan => {
                match crashes.len() {
                    0 => assert_eq!(plan, Plan::Normal),
                    1 => assert_eq!(plan, Plan::Dispersed { trial: false }),
                    _ => assert_eq!(plan, Plan::Isolated),
                }
                crash_at(&mut suspects, item, plan == Plan::Isolated, now_ms);
                crashes.push(now_ms);
                now_ms += 1;
            }
        }
    }
    let first_minute = crashes.iter().filter(|&&at_ms| at_ms < 70_000).count();
    assert!(first_minute <= 6, "{first_minute} crashes in a minute");
    let late = crashes.iter().filter(|&&at_ms| at_ms >= 3_600_000).count();
    assert!(late <= 30, "{late} crashes in the second hour");
}

/// Guards against a burst that hits a caller's request and an item with the
/// same content, and counts the crashes of one against the other.
#[test]
fn items_and_requests_do_not_blame_one_another() {
    let (request, item) = (POISON, POISON.of_item());
    assert_ne!(request, item);
    let mut suspects = suspect::Builder::new().build();
    for number in 1..=2 {
        crash_at(&mut suspects, item, true, number);
    }
    assert_eq!(suspects.treatment(request), Treatment::Normal);
    crash_at(&mut suspects, request, false, 3);
    crash_at(&mut suspects, request, false, 4);
    suspects.begin_trial(item);
    assert_eq!(suspects.treatment(request), Treatment::Isolated);
    suspects.begin_isolated(request);
    suspects.finished(item, 5);
    assert_eq!(suspects.plan(item, 5), Plan::Normal);
    crash_at(&mut suspects, request, true, 6);
    assert!(matches!(suspects.treatment(request), Treatment::Refused(_)));
    assert_eq!(suspects.plan(item, 6), Plan::Normal);
}

/// Guards against two trials of one content at a time.
#[test]
fn an_item_has_one_trial_at_a_time() {
    let item = POISON.of_item();
    let mut suspects = suspect::Builder::new().build();
    crash_at(&mut suspects, item, false, 1);
    crash_at(&mut suspects, item, false, 2);
    let plan = Plan::Dispersed { trial: true };
    assert_eq!(suspects.plan(item, 10_000), plan);
    suspects.begin_trial(item);
    assert!(matches!(suspects.plan(item, 10_000), Plan::Wait { .. }));
    suspects.abandoned(item);
    assert_eq!(suspects.plan(item, 10_000), plan);
}

/// Guards against a `sync` answer that begins a pause again each time, and
/// against strikes of other entry VMs that cause no pause.
#[test]
fn pauses_follow_new_strikes_only() {
    let item = POISON.of_item();
    let mut suspects = suspect::Builder::new().build();
    let listed = work::Suspect {
        fingerprint: item,
        strikes: 3,
        isolated: 1,
        until_ms: 0,
    };
    suspects.sync(&[listed], 10_000);
    assert!(matches!(suspects.plan(item, 13_999), Plan::Wait { .. }));
    for now_ms in (11_000..30_000).step_by(1_000) {
        suspects.sync(&[listed], now_ms);
    }
    assert_eq!(suspects.plan(item, 14_000), Plan::Isolated);
    suspects.sync(
        &[work::Suspect {
            strikes: 4,
            ..listed
        }],
        30_000,
    );
    assert!(matches!(suspects.plan(item, 30_001), Plan::Wait { .. }));
}

/// Guards against sound items that are not run again soon after a burst of
/// crashes, though online traffic leaves no backend server empty, over 20 seeds.
#[test]
fn a_burst_of_crashes_holds_up_no_sound_item_once_all_is_calm() {
    for seed in 0..20 {
        let left = items_left_after_a_burst(seed);
        assert_eq!(left, 0, "seed {seed}: items without an outcome");
    }
}

/// Runs 60 items of 2 s on 12 backend servers, one of which crashes each 500 ms
/// for 10 s. An isolated run waits 10 s, as no backend server is ever empty.
/// Returns the items that are not done 50 s after the last crash.
fn items_left_after_a_burst(seed: u64) -> usize {
    use rand::{Rng, SeedableRng};
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut suspects = suspect::Builder::new().build();
    let mut open: Vec<Fingerprint> = (0..60).map(|number| Fingerprint(1, number)).collect();
    // Running items: the backend server, when they end and whether in a trial.
    let mut running: collections::BTreeMap<Fingerprint, (usize, u64, Run)> =
        collections::BTreeMap::new();
    let mut isolated_until_ms = 0;
    for now_ms in (10_000..70_000).step_by(100) {
        if now_ms < 20_000 && now_ms % 500 == 0 {
            let server = random.random_range(0..12);
            let hit = running.values().filter(|run| run.0 == server);
            let flights: Vec<Run> = hit.map(|run| run.2).collect();
            running.retain(|_, run| run.0 != server);
            let id = format!("e{server:02}").as_str().into();
            suspects.crashed(&id, now_ms, &flights, now_ms);
        }
        let ended = running.extract_if(.., |_, run| run.1 <= now_ms);
        for (item, _) in ended {
            suspects.finished(item, now_ms);
            open.retain(|&other| other != item);
        }
        for &fingerprint in &open {
            if running.contains_key(&fingerprint) {
                continue;
            }
            let server = random.random_range(0..12);
            let mut beside = running.values().filter(|run| run.0 == server);
            let is_shared = beside.any(|run| suspects.get(run.2.fingerprint).is_some());
            let (run_ms, isolated) = match suspects.plan(fingerprint, now_ms) {
                Plan::Normal => (2_000, false),
                Plan::Dispersed { trial } if !is_shared => (2_000, trial),
                Plan::Isolated if isolated_until_ms <= now_ms => {
                    isolated_until_ms = now_ms + 12_000;
                    (12_000, true)
                }
                Plan::Dispersed { .. } | Plan::Isolated | Plan::Wait { .. } => continue,
            };
            if isolated {
                suspects.begin_trial(fingerprint);
            }
            let flight = Run {
                fingerprint,
                isolated,
            };
            running.insert(fingerprint, (server, now_ms + run_ms, flight));
        }
    }
    open.len()
}

/// Guards against bystanders that are blamed: one poisonous request is sent
/// again and again among 400 others on 12 replicas, over 40 seeds.
#[test]
fn bystanders_are_not_blamed() {
    for seed in 0..40 {
        let outcome = poisoned_fleet(seed);
        assert!(
            outcome.crashes <= 3,
            "seed {seed}: {} crashes",
            outcome.crashes
        );
        assert_eq!(outcome.refused, 0, "seed {seed}: bystanders refused");
        assert!(
            outcome.most_breaks <= 1,
            "seed {seed}: {} breaks",
            outcome.most_breaks
        );
        assert!(outcome.poison_refused, "seed {seed}");
    }
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: u64,
    refused: u32,
    most_breaks: u32,
    poison_refused: bool,
}

/// Runs rounds in which every request runs on some replica. A replica that
/// runs the poisonous request crashes; its other requests break and run again
/// in the next round.
fn poisoned_fleet(seed: u64) -> Outcome {
    use rand::SeedableRng;
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut suspects = suspect::Builder::new().build();
    let mut outcome = Outcome::default();
    let mut breaks: collections::BTreeMap<Fingerprint, u32> = collections::BTreeMap::new();
    let mut open: Vec<Fingerprint> = Vec::new();
    let mut next = 0;
    for round in 1..=20u64 {
        // Each round brings the poisonous request and 20 new ones.
        open.push(POISON);
        open.extend((0..20).map(|_| {
            next += 1;
            Fingerprint(1, next)
        }));
        let mut router = router::Builder::new().slow_start_ms(0).build();
        for index in 0..12 {
            let mut replica = common::engine(&format!("e{index:02}"));
            replica.incarnation = round;
            router.apply_announcement(&replica, 0, 0);
        }
        // Isolated runs come first: they need an empty replica.
        open.sort_by_key(|&request| {
            let fit = suspects.treatment(request).sharing();
            fit.map_or(0, |fit| 2 - fit as u8)
        });
        let mut placed: collections::BTreeMap<name::Name, Vec<Run>> = collections::BTreeMap::new();
        let mut waiting = Vec::new();
        for request in open.drain(..) {
            let treatment = suspects.treatment(request);
            let Some(fit) = treatment.sharing() else {
                outcome.poison_refused |= request == POISON;
                outcome.refused += u32::from(request != POISON);
                continue;
            };
            let target = Target::Model {
                model: "m",
                adapter: None,
            };
            let wanted = Request {
                sharing: fit,
                ..Request::new(target)
            };
            let Ok(choice) = router.choose(&wanted, 0, &mut random) else {
                waiting.push(request);
                continue;
            };
            router.begin(&choice, &wanted, 0);
            let isolated = fit == router::Sharing::Isolated;
            if isolated {
                suspects.begin_isolated(request);
                router.reserve(&choice.id, 1);
            }
            placed.entry(choice.id).or_default().push(Run {
                fingerprint: request,
                isolated,
            });
        }
        open = waiting;
        for (id, flights) in placed {
            let crashes = flights.iter().any(|flight| flight.fingerprint == POISON);
            if !crashes {
                for flight in flights {
                    suspects.finished(flight.fingerprint, round);
                }
                continue;
            }
            outcome.crashes += 1;
            suspects.crashed(&id, round, &flights, round);
            for flight in flights.iter().filter(|flight| flight.fingerprint != POISON) {
                open.push(flight.fingerprint);
                *breaks.entry(flight.fingerprint).or_insert(0) += 1;
            }
        }
    }
    outcome.most_breaks = breaks.values().copied().max().unwrap_or(0);
    outcome
}

/// Guards against a trial that is given up while suspects end on its reserved
/// backend server, so that it starts to wait again elsewhere, and against one
/// that runs beside a suspect or waits for longer than the reservation holds.
#[rstest]
#[case::not_settled(0, 0, 0, 999, Decision::Wait)]
#[case::empty(0, 0, 0, 1_000, Decision::Empty)]
#[case::others_run(0, 2, 0, 9_999, Decision::Wait)]
#[case::others_run_long(0, 2, 0, 10_000, Decision::WaitOver)]
#[case::streams_run_long(1, 2, 0, 10_000, Decision::GiveUp)]
#[case::a_suspect_runs_long(0, 2, 1, 18_000, Decision::Wait)]
#[case::the_suspect_has_ended(0, 1, 0, 18_050, Decision::WaitOver)]
#[case::a_suspect_runs_too_long(0, 2, 1, 20_000, Decision::GiveUp)]
fn trials_wait_for_their_backend_server(
    #[case] streams: u32,
    #[case] online: u32,
    #[case] suspects: u32,
    #[case] age_ms: u64,
    #[case] expected: Decision,
) {
    let rest = Remaining {
        streams,
        online,
        suspects,
    };
    assert_eq!(Decision::of(rest, age_ms), expected);
}
