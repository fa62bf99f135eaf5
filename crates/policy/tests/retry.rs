//! Tests of retries and hedges.

use bw_policy::retry::{self, Call, Decision, Failure, Reason, Retry, Stop};
use bw_wire::{name, refusal, verdict::Verdict};
use rstest::rstest;

fn service() -> name::Name {
    "m".into()
}

/// Returns a policy whose first-token times are known: 95 of 100 take 50 ms.
fn measured() -> Retry {
    let mut retry = retry::Builder::new().build();
    for sample in 0..200 {
        let first_ms = if sample % 20 == 0 { 400 } else { 50 };
        retry.observe_first_token(&service(), first_ms, sample);
    }
    retry
}

/// Guards against a request that runs twice although it must not, and against
/// one that is given up although it provably did not run.
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
fn only_safe_requests_are_sent_again(
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
        Decision::Wait => panic!("no other attempt runs"),
    }
    assert_eq!(call.verdict(), verdict);
}

/// Guards against a "not run" that only the last attempt deserves.
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

/// Guards against a retry storm: when everything fails, retries stay a small
/// share of the requests.
#[rstest]
#[case::budget(retry::Builder::new(), 0, 80)]
// Shows what the budget is for.
#[case::no_budget(retry::Builder::new().max_tokens(1e9).min_retries_per_s(1e9), 2_000, 2_000)]
fn outages_do_not_become_storms(
    #[case] builder: retry::Builder,
    #[case] least: u32,
    #[case] most: u32,
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
                Decision::Wait => unreachable!("one attempt at a time"),
            }
        }
    }
    assert!((least..=most).contains(&retries), "{retries} retries");
    assert_eq!(refusals == 0, least > 0);
}

/// Guards against streams that are cut short because a crash broke more of
/// them at once than the budget holds, and against endless resumes.
#[test]
fn streams_that_progress_pay_for_their_resume() {
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

/// Guards against retries whose result nobody waits for, and against attempts
/// that get the whole deadline again.
#[test]
fn deadlines_are_passed_on() {
    let mut retry = retry::Builder::new().build();
    let mut call = Call::new(true, Some(1_000));
    let again = retry.failed(&service(), &mut call, Failure::Broken, 400);
    let expected = Decision::Retry {
        reason: Reason::Broken,
        remaining_ms: Some(600),
    };
    assert_eq!(again, expected);
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

/// Guards against hedges that run a request twice which must run once, that
/// multiply, or that a suspect uses to crash two replicas.
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
    let mut retry = measured();
    assert_eq!(retry.hedge_after_ms(&service(), 200), Some(50));
    let mut call = change(Call::new(repeatable, None));
    let hedge = retry.hedge(&service(), &mut call, 200);
    assert_eq!(hedge.err(), expected);
    if expected.is_none() {
        let second = retry.hedge(&service(), &mut call, 200);
        assert_eq!(second, Err(Stop::Attempts));
        let first = retry.failed(&service(), &mut call, Failure::Broken, 250);
        assert_eq!(first, Decision::Wait, "the hedge still runs");
    }
}

/// Guards against hedges that double the load of a slow service.
#[test]
fn hedges_spend_the_budget() {
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

/// Guards against hedges by guesswork and against a quantile of the distant past.
#[test]
fn hedge_delay_follows_recent_times() {
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
