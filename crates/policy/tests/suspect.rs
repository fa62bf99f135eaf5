//! Tests of `suspect`: strikes, isolation and trials after crashes.

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
    let run = Run {
        fingerprint: POISON,
        isolated,
    };
    suspects.crashed(&"e00".into(), crash, &[run], crash).len()
}

/// Guards against a suspect that keeps running beside other suspects or, after two
/// crashes, beside any other request, and against one that runs again after a crash in
/// an isolated run.
#[rstest]
#[case::no_strike(&[], "normal")]
#[case::one(&[false], "dispersed")]
#[case::two(&[false, false], "isolated")]
#[case::three(&[false, false, true], "refused")]
#[case::three_beside_others(&[false, false, false], "refused")]
#[case::crash_in_isolation(&[true], "refused")]
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

/// Guards against counting one crash several times because each request
/// whose connection broke reports it.
#[test]
fn each_crash_counts_once() {
    let mut suspects = suspect::Builder::new().build();
    assert_eq!(crash(&mut suspects, 1, false), 1);
    assert_eq!(crash(&mut suspects, 1, false), 0);
    assert_eq!(suspects.treatment(POISON), Treatment::Dispersed);
}

/// Guards against strikes for network failures, orderly shutdowns and restarts under
/// which no run ended.
#[rstest]
#[case::connection_only(Evidence { broken: true, ..Evidence::default() }, false)]
#[case::then_refused(Evidence { broken: true, refused: true, ..Evidence::default() }, true)]
#[case::restarted(Evidence { broken: true, restarted: true, ..Evidence::default() }, true)]
#[case::orderly_shutdown(Evidence { broken: true, refused: true, leaving: true, ..Evidence::default() }, false)]
#[case::silence_only(Evidence { silent: true, ..Evidence::default() }, false)]
#[case::silent_then_refused(Evidence { silent: true, refused: true, ..Evidence::default() }, true)]
#[case::silent_then_restarted(Evidence { silent: true, restarted: true, ..Evidence::default() }, true)]
#[case::silent_and_leaving(Evidence { silent: true, refused: true, leaving: true, ..Evidence::default() }, false)]
#[case::restarted_without_streams(Evidence { restarted: true, ..Evidence::default() }, false)]
fn only_crashes_are_counted(#[case] evidence: Evidence, #[case] expected: bool) {
    assert_eq!(evidence.is_crash(), expected);
}

/// Guards against an older `sync` answer that restores a cleared suspect or
/// removes a new one.
#[test]
fn recent_updates_take_precedence_over_older_answers() {
    let mut suspects = suspect::Builder::new().sync_grace_ms(1_000).build();
    crash(&mut suspects, 1, false);
    suspects.sync(&[], 500);
    assert_eq!(suspects.treatment(POISON), Treatment::Dispersed);
    let listed = suspects.get(POISON).expect("request should be a suspect");
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

/// Guards against losing strikes that other entry VMs counted.
#[test]
fn strikes_from_peers_are_merged() {
    let mut suspects = suspect::Builder::new().build();
    crash(&mut suspects, 1, false);
    let reported = work::Suspect {
        fingerprint: POISON,
        strikes: 2,
        isolated: 0,
        until_ms: 9,
    };
    suspects.merge(&reported, 10);
    suspects.merge(
        &work::Suspect {
            strikes: 1,
            ..reported
        },
        11,
    );
    assert_eq!(suspects.get(POISON), Some(reported));
}

/// Guards against many poisonous requests whose isolated runs take the whole fleet
/// out of use, and against unbounded memory.
#[test]
fn isolated_runs_and_memory_are_bounded() {
    let mut suspects = suspect::Builder::new().max_suspects(100).build();
    let runs: Vec<Run> = (0..1_000)
        .map(|number| Run {
            fingerprint: Fingerprint(1, number),
            isolated: false,
        })
        .collect();
    suspects.crashed(&"e00".into(), 1, &runs, 0);
    assert_eq!(suspects.len(), 100);
    suspects.crashed(&"e00".into(), 2, &runs[900..], 0);
    let (first, second) = (Fingerprint(1, 950), Fingerprint(1, 960));
    assert_eq!(suspects.treatment(first), Treatment::Isolated);
    suspects.begin_isolated(first);
    let Treatment::Refused(refusal) = suspects.treatment(second) else {
        panic!("a second isolated run should be refused");
    };
    assert_eq!(refusal.verdict, verdict::Verdict::NotRun);
    suspects.abandoned(first);
    assert_eq!(suspects.treatment(second), Treatment::Isolated);
}

/// Records a separate crash of a backend server while it ran a request.
fn crash_at(suspects: &mut Suspects, fingerprint: Fingerprint, isolated: bool, now_ms: u64) {
    let run = Run {
        fingerprint,
        isolated,
    };
    suspects.crashed(&"e00".into(), now_ms, &[run], now_ms);
}

/// Guards against keeping strikes that another entry VM cleared, and against an
/// older record that overwrites a crash seen by this entry VM.
#[test]
fn a_record_replaces_a_suspect_unless_it_was_updated_recently() {
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

/// Guards against many crashes that end an item or block it forever, and against
/// an item that still waits after the quiet period.
#[rstest]
#[case::beside_others(false, 5_000)]
#[case::in_trials(true, 120_000)]
fn crashes_never_end_an_item(#[case] trials: bool, #[case] wait_ms: u64) {
    let item = POISON.for_batch_item();
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

/// Guards against running an item that crashes every backend server repeatedly
/// without an increasing backoff, or beside other work.
#[test]
fn crashes_caused_by_an_item_become_rare() {
    let item = POISON.for_batch_item();
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

/// Guards against counting the crashes of a caller's request against a batch item
/// with the same content, or the reverse.
#[test]
fn items_and_requests_with_the_same_content_count_separately() {
    let (request, item) = (POISON, POISON.for_batch_item());
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

/// Guards against concurrent trials of the same content.
#[test]
fn an_item_has_one_trial_at_a_time() {
    let item = POISON.for_batch_item();
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

/// Guards against a backoff that every `sync` answer restarts, and against strikes
/// from other entry VMs that start none.
#[test]
fn only_new_strikes_restart_the_backoff() {
    let item = POISON.for_batch_item();
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

/// Guards against innocent items that do not finish soon after a burst of crashes
/// because online traffic leaves no backend server empty. Uses 20 seeds.
#[test]
fn innocent_items_finish_soon_after_a_burst_of_crashes() {
    for seed in 0..20 {
        let unfinished = unfinished_items_after_a_burst(seed);
        assert_eq!(unfinished, 0, "seed {seed}: unfinished items");
    }
}

/// Runs 60 items of 2 s on 12 backend servers, one of which crashes every 500 ms
/// for 10 s. An isolated run waits for 10 s, because no backend server is ever
/// empty. Returns the number of items that are unfinished 50 s after the last crash.
fn unfinished_items_after_a_burst(seed: u64) -> usize {
    use rand::{Rng, SeedableRng};
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut suspects = suspect::Builder::new().build();
    let mut pending: Vec<Fingerprint> = (0..60).map(|number| Fingerprint(1, number)).collect();
    // Running items with their backend server, end time and kind of run.
    let mut running: collections::BTreeMap<Fingerprint, (usize, u64, Run)> =
        collections::BTreeMap::new();
    let mut isolated_until_ms = 0;
    for now_ms in (10_000..70_000).step_by(100) {
        if now_ms < 20_000 && now_ms % 500 == 0 {
            let server = random.random_range(0..12);
            let affected = running.values().filter(|run| run.0 == server);
            let runs: Vec<Run> = affected.map(|run| run.2).collect();
            running.retain(|_, run| run.0 != server);
            let id = format!("e{server:02}").as_str().into();
            suspects.crashed(&id, now_ms, &runs, now_ms);
        }
        let ended = running.extract_if(.., |_, run| run.1 <= now_ms);
        for (item, _) in ended {
            suspects.finished(item, now_ms);
            pending.retain(|&other| other != item);
        }
        for &fingerprint in &pending {
            if running.contains_key(&fingerprint) {
                continue;
            }
            let server = random.random_range(0..12);
            let mut neighbors = running.values().filter(|run| run.0 == server);
            let is_shared = neighbors.any(|run| suspects.get(run.2.fingerprint).is_some());
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
            let run = Run {
                fingerprint,
                isolated,
            };
            running.insert(fingerprint, (server, now_ms + run_ms, run));
        }
    }
    pending.len()
}

/// Guards against refusing innocent requests: one poisonous request is sent
/// repeatedly among 400 others to 12 replicas. Uses 40 seeds.
#[test]
fn innocent_requests_are_not_refused() {
    for seed in 0..40 {
        let outcome = run_with_poisonous_request(seed);
        assert!(
            outcome.crashes <= 3,
            "seed {seed}: {} crashes",
            outcome.crashes
        );
        assert_eq!(outcome.refused, 0, "seed {seed}: innocent requests refused");
        assert!(
            outcome.max_breaks <= 1,
            "seed {seed}: {} breaks",
            outcome.max_breaks
        );
        assert!(outcome.poison_refused, "seed {seed}");
    }
}

#[derive(Debug, Default)]
struct Outcome {
    crashes: u64,
    refused: u32,
    max_breaks: u32,
    poison_refused: bool,
}

/// Runs rounds in which every pending request is placed on a replica. A replica
/// that runs the poisonous request crashes; its other requests break and are
/// retried in the next round.
fn run_with_poisonous_request(seed: u64) -> Outcome {
    use rand::SeedableRng;
    let mut random = rand_pcg::Pcg64Mcg::seed_from_u64(seed);
    let mut suspects = suspect::Builder::new().build();
    let mut outcome = Outcome::default();
    let mut breaks: collections::BTreeMap<Fingerprint, u32> = collections::BTreeMap::new();
    let mut pending: Vec<Fingerprint> = Vec::new();
    let mut next = 0;
    for round in 1..=20u64 {
        // Each round adds the poisonous request and 20 new ones.
        pending.push(POISON);
        pending.extend((0..20).map(|_| {
            next += 1;
            Fingerprint(1, next)
        }));
        let mut router = router::Builder::new().slow_start_ms(0).build();
        for index in 0..12 {
            let mut replica = common::engine(&format!("e{index:02}"));
            replica.incarnation = round;
            router.apply_announcement(&replica, 0, 0);
        }
        // Isolated runs are placed first, because they need an empty replica.
        pending.sort_by_key(|&request| {
            let sharing = suspects.treatment(request).sharing();
            sharing.map_or(0, |sharing| 2 - sharing as u8)
        });
        let mut runs_by_replica: collections::BTreeMap<name::Name, Vec<Run>> =
            collections::BTreeMap::new();
        let mut waiting = Vec::new();
        for request in pending.drain(..) {
            let treatment = suspects.treatment(request);
            let Some(sharing) = treatment.sharing() else {
                outcome.poison_refused |= request == POISON;
                outcome.refused += u32::from(request != POISON);
                continue;
            };
            let target = Target::Model {
                model: "m",
                adapter: None,
            };
            let wanted = Request {
                sharing,
                ..Request::new(target)
            };
            let Ok(choice) = router.choose(&wanted, 0, &mut random) else {
                waiting.push(request);
                continue;
            };
            router.begin(&choice, &wanted, 0);
            let isolated = sharing == router::Sharing::Isolated;
            if isolated {
                suspects.begin_isolated(request);
                router.reserve(&choice.id, 1);
            }
            runs_by_replica.entry(choice.id).or_default().push(Run {
                fingerprint: request,
                isolated,
            });
        }
        pending = waiting;
        for (id, runs) in runs_by_replica {
            let crashes = runs.iter().any(|run| run.fingerprint == POISON);
            if !crashes {
                for run in runs {
                    suspects.finished(run.fingerprint, round);
                }
                continue;
            }
            outcome.crashes += 1;
            suspects.crashed(&id, round, &runs, round);
            for run in runs.iter().filter(|run| run.fingerprint != POISON) {
                pending.push(run.fingerprint);
                *breaks.entry(run.fingerprint).or_insert(0) += 1;
            }
        }
    }
    outcome.max_breaks = breaks.values().copied().max().unwrap_or(0);
    outcome
}

/// Guards against a trial that gives up while suspects are still ending on its
/// reserved backend server and so has to wait again elsewhere, and against one that
/// runs beside a suspect or waits for longer than the reservation lasts.
#[rstest]
#[case::entry_vms_have_not_settled(0, 0, 0, 999, Decision::Wait)]
#[case::empty(0, 0, 0, 1_000, Decision::Empty)]
#[case::online_requests_run(0, 2, 0, 9_999, Decision::Wait)]
#[case::online_requests_run_long(0, 2, 0, 10_000, Decision::WaitOver)]
#[case::streams_run_long(1, 2, 0, 10_000, Decision::GiveUp)]
#[case::a_suspect_runs_long(0, 2, 1, 18_000, Decision::Wait)]
#[case::the_suspect_has_ended(0, 1, 0, 18_050, Decision::WaitOver)]
#[case::a_suspect_runs_too_long(0, 2, 1, 20_000, Decision::GiveUp)]
fn trials_wait_for_their_reserved_backend_server(
    #[case] streams: u32,
    #[case] online: u32,
    #[case] suspects: u32,
    #[case] age_ms: u64,
    #[case] expected: Decision,
) {
    let remaining = Remaining {
        streams,
        online,
        suspects,
    };
    assert_eq!(Decision::of(remaining, age_ms), expected);
}
