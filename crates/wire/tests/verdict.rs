//! The join of verdicts, over all orders of up to four sends and all their ends.

use bw_wire::{
    refusal,
    verdict::{Tally, Verdict},
};

/// Most sends of one request that the properties are checked for.
const SENDS_MAX: usize = 4;
const ENDS: [Verdict; 3] = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Run];

/// Returns all sequences of ends of up to `SENDS_MAX` sends, in all orders.
fn sequences() -> Vec<Vec<Verdict>> {
    let mut all = vec![Vec::new()];
    let mut longest = all.clone();
    for _ in 0..SENDS_MAX {
        longest = longest
            .iter()
            .flat_map(|ends| ENDS.map(|end| [ends.as_slice(), &[end]].concat()))
            .collect();
        all.extend(longest.iter().cloned());
    }
    all
}

fn tally(ends: &[Verdict]) -> Tally {
    let mut tally = Tally::default();
    for end in ends {
        tally.add(*end);
    }
    tally
}

/// Returns what the caller has to be told, stated without the join.
fn expected(ends: &[Verdict]) -> Verdict {
    let ran = ends.contains(&Verdict::Run);
    let all_not_run = ends.iter().all(|end| *end == Verdict::NotRun);
    match (ran, all_not_run) {
        (true, _) => Verdict::Run,
        (false, true) => Verdict::NotRun,
        (false, false) => Verdict::MayHaveRun,
    }
}

/// Guards against a request that has run and counts as not run, as a later send of it was
/// refused.
#[test]
fn no_later_send_takes_back_a_run() {
    let sequences = sequences();
    assert_eq!(sequences.len(), 1 + 3 + 9 + 27 + 81);
    for ends in sequences {
        let tally = tally(&ends);
        assert_eq!(tally.verdict(), expected(&ends), "{ends:?}");
        let runs = ends.iter().filter(|end| **end != Verdict::NotRun);
        assert_eq!(tally.runs() as usize, runs.count(), "{ends:?}");
        assert_eq!(
            tally.verdict().may_have_run(),
            tally.runs() > 0,
            "{ends:?}: the verdict and the number of runs agree"
        );
    }
}

/// Guards against a verdict that depends on the order of the sends, or on which of them
/// are joined first.
#[test]
fn the_order_and_the_grouping_of_sends_do_not_matter() {
    for ends in sequences() {
        let whole = tally(&ends).verdict();
        let reversed: Vec<Verdict> = ends.iter().rev().copied().collect();
        assert_eq!(tally(&reversed).verdict(), whole, "{ends:?}");
        for at in 0..=ends.len() {
            let (first, last) = ends.split_at(at);
            let (first_joined, last_joined) = (tally(first).verdict(), tally(last).verdict());
            assert_eq!(first_joined.join(last_joined), whole, "{ends:?} at {at}");
            assert_eq!(last_joined.join(first_joined), whole, "{ends:?} at {at}");
            assert_eq!(whole.join(first_joined), whole, "{ends:?} at {at}");
        }
    }
}

/// Guards against a refusal that promises that a request has not run, as it was built from
/// the last send alone.
#[test]
fn a_refusal_joins_the_verdicts_of_all_sends() {
    for ends in sequences() {
        let new = refusal::Refusal::not_run(refusal::Reason::NoBackend, "no backend server");
        let joined = ends.iter().fold(new, |refusal, end| refusal.join(*end));
        assert_eq!(joined.verdict, expected(&ends), "{ends:?}");
    }
}
