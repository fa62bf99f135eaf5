//! Tests of `retry`: retries, resumes, hedges and their budget.

use bw_policy::retry::{self, Call, Decision, Failure, Reason, Retry, Stop};
use bw_wire::{name, refusal, verdict::Verdict};
use rstest::rstest;

fn service() -> name::Name {
    "m".into()
}

/// Returns a retry policy with samples of first-token times, 95 % of which are
/// 50 ms.
fn with_samples() -> Retry {
    let mut retry = retry::Builder::new().build();
    for sample in 0..200 {
        let first_token_ms = if sample % 20 == 0 { 400 } else { 50 };
        retry.observe_first_token(&service(), first_token_ms, sample);
    }
    retry
}

/// Guards against running a request twice that is not safe to repeat, and against
/// giving up on one that did not run.
#[rstest]
#[case(true, Failure::Broken, None, Verdict::MayHaveRun)]
#[case(true, Failure::Stalled, None, Verdict::MayHaveRun)]
#[case(true, Failure::Unreachable, None, Verdict::NotRun)]
#[case(false, Failure::Unreachable, None, Verdict::NotRun)]
#[case(false, Failure::Refused, None, Verdict::NotRun)]
#[case(false, Failure::Broken, Some(Stop::NotRepeatable), Verdict::MayHaveRun)]
#[case(
    false,
    Failure::Stalled,
    Some(Stop::NotRepeatable),
    Verdict::MayHaveRun
)]
#[case(false, Failure::Status, Some(Stop::NotRepeatable), Verdict::MayHaveRun)]
#[case(
    false,
    Failure::Mismatched,
    Some(Stop::NotRepeatable),
    Verdict::MayHaveRun
)]
fn only_safe_requests_are_retried(
    #[case] repeatable: bool,
    #[case] failure: Failure,
    #[case] expected: Option<Stop>,
    #[case] verdict: Verdict,
) {
    let mut retry = retry::Builder::new().build();
    let mut call = Call::new(repeatable, None);
    match retry.failed(&service(), &mut call, failure, 0) {
        Decision::Retry { .. } => assert_eq!(expected, None),
        Decision::GiveUp { stop, refusal } => {
            assert_eq!(expected, Some(stop));
            assert_eq!(refusal.verdict, verdict);
        }
        Decision::Wait => panic!("no other attempt should be running"),
    }
    assert_eq!(call.verdict(), verdict);
}

const FAILURES: [Failure; 6] = [
    Failure::Unreachable,
    Failure::Refused,
    Failure::Status,
    Failure::Broken,
    Failure::Stalled,
    Failure::Mismatched,
];

/// Guards against a refusal whose verdict is that of one of the attempts, and against
/// another attempt of a request that is not repeatable and may have run: over all orders of
/// up to four failed attempts.
#[rstest]
fn verdicts_are_joined_over_all_orders_of_attempts(
    #[values(false, true)] repeatable: bool,
    #[values(1, 2, 3, 4)] attempts: u32,
) {
    for index in 0..6_usize.pow(attempts) {
        let failures = (0..attempts).map(|place| FAILURES[index / 6_usize.pow(place) % 6]);
        let mut retry = retry::Builder::new().max_attempts(attempts).build();
        let mut call = Call::new(repeatable, None);
        let mut may_have_run = false;
        for (number, failure) in (1..).zip(failures) {
            let did_not_run = matches!(failure, Failure::Unreachable | Failure::Refused);
            may_have_run |= !did_not_run;
            let verdict = match may_have_run {
                true => Verdict::MayHaveRun,
                false => Verdict::NotRun,
            };
            match retry.failed(&service(), &mut call, failure, 0) {
                Decision::Retry { .. } => {
                    assert!(number < attempts && (repeatable || !may_have_run));
                    assert_eq!(call.verdict(), verdict);
                }
                Decision::GiveUp { refusal, .. } => {
                    assert_eq!(refusal.verdict, verdict);
                    break;
                }
                Decision::Wait => panic!("no other attempt should be running"),
            }
        }
    }
}

/// Guards against the verdict `NotRun` when only the last attempt did not run.
#[test]
fn verdicts_are_combined_over_attempts() {
    let mut retry = retry::Builder::new().max_attempts(2).build();
    let mut call = Call::new(true, None);
    retry.failed(&service(), &mut call, Failure::Broken, 0);
    let last = retry.failed(&service(), &mut call, Failure::Unreachable, 0);
    let Decision::GiveUp { stop, refusal } = last else {
        panic!("{last:?}");
    };
    assert_eq!(stop, Stop::Attempts);
    assert_eq!(refusal.verdict, Verdict::MayHaveRun);
}

/// Guards against a retry storm: when all requests fail, retries have to stay a
/// small share of them.
#[rstest]
#[case::budget(retry::Builder::new(), 0, 80)]
// The control case: without the budget, every request is retried twice.
#[case::no_budget(retry::Builder::new().max_tokens(1e9).min_retries_per_s(1e9), 2_000, 2_000)]
fn outages_cause_no_retry_storm(
    #[case] builder: retry::Builder,
    #[case] min: u32,
    #[case] max: u32,
) {
    let mut retry = builder.build();
    let mut retries = 0;
    let mut refusals = 0;
    for request in 0..1_000u64 {
        let mut call = Call::new(true, None);
        loop {
            match retry.failed(&service(), &mut call, Failure::Status, request * 10) {
                Decision::Retry { .. } => retries += 1,
                Decision::GiveUp { stop, refusal } => {
                    let is_budget = stop == Stop::Budget;
                    assert_eq!(is_budget, refusal.reason == refusal::Reason::RetryBudget);
                    refusals += u32::from(is_budget);
                    break;
                }
                Decision::Wait => unreachable!("only one attempt runs at a time"),
            }
        }
    }
    assert!((min..=max).contains(&retries), "{retries} retries");
    assert_eq!(refusals == 0, min > 0);
}

/// Guards against response streams that end early because a crash broke more of them at
/// once than the budget allows, and against endless resumes.
#[test]
fn streams_that_progress_resume_without_budget() {
    let mut retry = retry::Builder::new()
        .max_tokens(1.0)
        .min_retries_per_s(0.0)
        .build();
    for _ in 0..100 {
        let mut call = Call::new(true, None);
        call.progress();
        let decision = retry.failed(&service(), &mut call, Failure::Broken, 0);
        assert!(matches!(decision, Decision::Retry { .. }), "{decision:?}");
    }
    let mut call = Call::new(true, None);
    let resumes = (0..100)
        .take_while(|_| {
            call.progress();
            let decision = retry.failed(&service(), &mut call, Failure::Broken, 0);
            matches!(decision, Decision::Retry { .. })
        })
        .count();
    assert_eq!(resumes, 8);
}

/// Guards against retries after the deadline, and against retries that start with
/// the full deadline again.
#[test]
fn retries_carry_the_remaining_deadline() {
    let mut retry = retry::Builder::new().build();
    let mut call = Call::new(true, Some(1_000));
    let retried = retry.failed(&service(), &mut call, Failure::Broken, 400);
    let expected = Decision::Retry {
        reason: Reason::Broken,
        remaining_ms: Some(600),
    };
    assert_eq!(retried, expected);
    let late = retry.failed(&service(), &mut call, Failure::Broken, 1_000);
    assert!(
        matches!(
            late,
            Decision::GiveUp {
                stop: Stop::Deadline,
                ..
            }
        ),
        "{late:?}"
    );
}

/// Guards against hedging a request that is not safe to repeat, a request more
/// than once, or a suspect, which could crash two replicas.
#[rstest]
#[case::repeatable(|call: Call| call, true, None)]
#[case::not_repeatable(|call: Call| call, false, Some(Stop::NotRepeatable))]
#[case::suspect(|call: Call| call.suspect(true), true, Some(Stop::Suspect))]
#[case::has_first_token(|mut call: Call| { call.progress(); call }, true, Some(Stop::Attempts))]
fn hedges_are_limited(
    #[case] change: fn(Call) -> Call,
    #[case] repeatable: bool,
    #[case] expected: Option<Stop>,
) {
    let mut retry = with_samples();
    assert_eq!(retry.hedge_after_ms(&service(), 200), Some(50));
    let mut call = change(Call::new(repeatable, None));
    let hedge = retry.hedge(&service(), &mut call, 200);
    assert_eq!(hedge.err(), expected);
    if expected.is_none() {
        let second = retry.hedge(&service(), &mut call, 200);
        assert_eq!(second, Err(Stop::Attempts));
        let first = retry.failed(&service(), &mut call, Failure::Broken, 250);
        assert_eq!(first, Decision::Wait, "the hedge should still be running");
    }
}

/// Guards against hedges that double the load of a slow service.
#[test]
fn hedges_take_from_the_budget() {
    let mut retry = retry::Builder::new()
        .max_tokens(10.0)
        .min_retries_per_s(0.0)
        .build();
    let hedged = (0..100)
        .filter(|_| {
            let mut call = Call::new(true, None);
            retry.hedge(&service(), &mut call, 0).is_ok()
        })
        .count();
    assert_eq!(hedged, 10);
    for _ in 0..20 {
        retry.succeeded(&service(), 0);
    }
    assert!((1.9..2.1).contains(&retry.tokens(&service(), 0)));
}

/// Guards against hedging without enough samples, and against a delay that follows
/// outdated samples.
#[test]
fn hedge_delay_follows_recent_first_token_times() {
    let mut retry = retry::Builder::new().hedge(0.95, 20).build();
    assert_eq!(retry.hedge_after_ms(&service(), 0), None);
    for sample in 0..3_000 {
        retry.observe_first_token(&service(), 300, sample * 10);
    }
    let delay_ms = retry.hedge_after_ms(&service(), 30_000);
    assert!(delay_ms.is_some_and(|delay_ms| (298..=304).contains(&delay_ms)));
    for sample in 0..3_000 {
        retry.observe_first_token(&service(), 5, 30_000 + sample * 10);
    }
    assert_eq!(retry.hedge_after_ms(&service(), 60_000), Some(20));
}
