//! What the crashes of backend servers are explained by.
//!
//! A crash accuses each content and part of the requests that ran there, and a culprit is
//! in all crashes that it causes. The culprits are a small set of suspects that explains
//! the crashes: those with the most crashes are taken first, and a crash that has an
//! explanation speaks against no other suspect. This keeps the parts that a culprit shares
//! its requests with, such as the first part of all prompts of a route, from being refused
//! with it.
//!
//! Suspects with exactly the same crashes can't be told apart. They are one culprit, and
//! only requests with all of them are refused, so that a sound one is still answered and
//! cleared with other requests.
//!
//! A part whose requests were answered before its crashes is probably sound, and its sound
//! answers may take longer than the next crash. It is refused only for crashes that go on:
//! one in a run that was sent long after the first, when sound requests would have been
//! answered.

use std::{
    cmp,
    collections::{BTreeSet, HashMap},
};

use super::{Crash, Evidence, Fingerprint, Request};

/// Strikes from which a suspect can be a culprit. Two are not enough, as single answers
/// break off by chance.
pub const REFUSE_AT: usize = 3;
/// Strikes from which a part that has been answered can be a culprit.
const REFUSE_ANSWERED_AT: usize = 5;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The suspect whose trial may show that the refusal is wrong.
    pub fingerprint: Fingerprint,
    /// The index of the part of the prompt; `None` for the content.
    pub part: Option<usize>,
    /// Whether the request has other culprits, too. A trial of it would show nothing.
    pub has_others: bool,
}

/// The suspects for which requests are refused.
#[derive(Clone, Debug, Default)]
pub(super) struct Culprits {
    /// Suspects with the same crashes, by the first of them.
    groups: HashMap<Fingerprint, Vec<Fingerprint>>,
}

impl Culprits {
    /// Finds the culprits among suspects with at least [`REFUSE_AT`] strikes.
    pub(super) fn new<'a>(suspects: impl Iterator<Item = &'a Evidence>) -> Culprits {
        let mut suspects: Vec<&Evidence> = suspects.filter(|known| can_be(known)).collect();
        suspects.sort_unstable_by_key(|&known| {
            let strikes = cmp::Reverse(known.strikes());
            (known.answered, strikes, &known.crashes, known.fingerprint)
        });
        let is_same = |one: &&Evidence, other: &&Evidence| {
            one.answered == other.answered && one.crashes == other.crashes
        };
        let mut explained: BTreeSet<Crash> = BTreeSet::new();
        let mut groups = HashMap::new();
        for group in suspects.chunk_by(is_same) {
            let first = group[0];
            let unexplained = first.crashes.difference(&explained).count();
            if unexplained >= refuse_at(first) {
                explained.extend(&first.crashes);
                let members = group.iter().map(|known| known.fingerprint);
                groups.insert(first.fingerprint, members.collect());
            }
        }
        Culprits { groups }
    }

    /// Returns why a request is refused. Of a culprit of several suspects, the one that
    /// the fewest other requests have stands for all: the content, or the last part.
    pub(super) fn refusal(&self, request: &Request) -> Option<Refusal> {
        if self.groups.is_empty() {
            return None;
        }
        let has = |member: &Fingerprint| request.subjects().any(|subject| subject == *member);
        let groups = request.subjects().filter_map(|subject| {
            let group = self.groups.get(&subject)?;
            group.iter().all(has).then_some(group)
        });
        let mut groups = groups.collect::<Vec<_>>().into_iter();
        let group = groups.next()?;
        let fingerprint = request
            .subjects()
            .rfind(|subject| group.contains(subject))?;
        Some(Refusal {
            fingerprint,
            part: request.parts().iter().position(|part| *part == fingerprint),
            has_others: groups.next().is_some(),
        })
    }
}

fn can_be(known: &Evidence) -> bool {
    let goes_on = !known.answered || !known.later.is_empty();
    goes_on && known.strikes() >= refuse_at(known)
}

fn refuse_at(known: &Evidence) -> usize {
    match known.answered {
        true => REFUSE_ANSWERED_AT,
        false => REFUSE_AT,
    }
}
