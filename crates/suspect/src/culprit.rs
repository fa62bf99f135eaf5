//! What the crashes of backend servers are explained by.
//!
//! A crash accuses each content and part of the requests that ran there, and a culprit is
//! in all crashes that it causes. The culprits are a small set of suspects that explains
//! the crashes: those with the most crashes are taken first, and a crash that has an
//! explanation speaks against no other suspect. This keeps the parts that a culprit shares
//! its requests with, such as the first part of all prompts of a route, from being refused
//! with it.
//!
//! A suspect that has all crashes of another one and only a few more is not taken: single
//! answers break off by chance, and the first part of a route is in most of them.
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
    borrow::Cow,
    cmp,
    collections::{BTreeSet, HashMap, HashSet},
};

use super::{Crash, Fingerprint, Request};

/// Strikes from which a suspect can be a culprit. Two are not enough, as single answers
/// break off by chance.
pub const REFUSE_AT: usize = 3;
/// Strikes from which a part that has been answered can be a culprit.
const REFUSE_ANSWERED_AT: usize = 5;

/// A suspect that may be a culprit.
pub(super) struct Suspicion<'a> {
    pub(super) fingerprint: Fingerprint,
    /// Whether runs with this part have shown that it is sound.
    pub(super) answered: bool,
    /// Whether the crashes go on, or no run has shown that the part is sound.
    pub(super) goes_on: bool,
    /// The crashes that speak against it.
    pub(super) crashes: Cow<'a, BTreeSet<Crash>>,
}

impl Suspicion<'_> {
    fn can_be_culprit(&self) -> bool {
        self.goes_on && self.crashes.len() >= refuse_at(self.answered)
    }
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// The suspect whose trial may show that the refusal is wrong.
    pub fingerprint: Fingerprint,
    /// The index of the part of the prompt; `None` for the content.
    pub part: Option<usize>,
    /// Whether the request has other culprits or likely ones, too. A trial of it would
    /// accuse the wrong one.
    pub has_others: bool,
}

/// Suspects with the same crashes, which can't be told apart.
struct Group<'a> {
    members: Vec<Fingerprint>,
    crashes: Cow<'a, BTreeSet<Crash>>,
    answered: bool,
}

impl Group<'_> {
    /// Returns the number of unexplained crashes from which it is a culprit.
    fn refuse_at(&self) -> usize {
        refuse_at(self.answered)
    }
}

/// The suspects for which requests are refused.
#[derive(Clone, Debug, Default)]
pub(super) struct Culprits {
    /// Suspects with the same crashes, by the first of them.
    groups: HashMap<Fingerprint, Vec<Fingerprint>>,
}

impl Culprits {
    /// Finds the culprits among suspects with at least [`REFUSE_AT`] strikes.
    pub(super) fn new(suspicions: Vec<Suspicion<'_>>) -> Culprits {
        let mut search = Search::new(group(suspicions));
        let mut culprits = Vec::new();
        for index in 0..search.groups.len() {
            while let Some(culprit) = search.culprit(index) {
                search
                    .explained
                    .extend(search.groups[culprit].crashes.iter());
                culprits.push(culprit);
            }
        }
        let groups = culprits.into_iter().map(|culprit| {
            let members = std::mem::take(&mut search.groups[culprit].members);
            (members[0], members)
        });
        Culprits {
            groups: groups.collect(),
        }
    }

    /// Returns whether two suspects are one culprit, as they can't be told apart.
    pub(super) fn are_one(&self, one: Fingerprint, other: Fingerprint) -> bool {
        let mut groups = self.groups.values();
        one == other || groups.any(|group| group.contains(&one) && group.contains(&other))
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

/// Groups the suspects that can be culprits by their crashes, those that are taken first
/// at the front.
fn group(mut suspicions: Vec<Suspicion<'_>>) -> Vec<Group<'_>> {
    suspicions.retain(Suspicion::can_be_culprit);
    suspicions.sort_unstable_by(|one, other| {
        let key = |known: &Suspicion<'_>| (known.answered, cmp::Reverse(known.crashes.len()));
        let by_strikes = key(one).cmp(&key(other));
        by_strikes
            .then_with(|| one.crashes.cmp(&other.crashes))
            .then(one.fingerprint.cmp(&other.fingerprint))
    });
    let mut groups: Vec<Group<'_>> = Vec::new();
    for known in suspicions {
        match groups.last_mut() {
            Some(group) if group.answered == known.answered && group.crashes == known.crashes => {
                group.members.push(known.fingerprint);
            }
            _ => groups.push(Group {
                members: vec![known.fingerprint],
                crashes: known.crashes,
                answered: known.answered,
            }),
        }
    }
    groups
}

fn refuse_at(answered: bool) -> usize {
    match answered {
        true => REFUSE_ANSWERED_AT,
        false => REFUSE_AT,
    }
}

/// The search for the culprits.
struct Search<'a> {
    groups: Vec<Group<'a>>,
    /// The groups that a crash accuses, by their index.
    accused: HashMap<Crash, Vec<usize>>,
    explained: HashSet<Crash>,
}

impl<'a> Search<'a> {
    fn new(groups: Vec<Group<'a>>) -> Search<'a> {
        let mut accused: HashMap<Crash, Vec<usize>> = HashMap::new();
        for (index, group) in groups.iter().enumerate() {
            for crash in group.crashes.iter() {
                accused.entry(*crash).or_default().push(index);
            }
        }
        Search {
            groups,
            accused,
            explained: HashSet::new(),
        }
    }

    fn unexplained(&self, group: usize) -> impl Iterator<Item = &Crash> {
        let crashes = self.groups[group].crashes.iter();
        crashes.filter(|crash| !self.explained.contains(crash))
    }

    /// Returns the culprit that a group points to: itself, or one that explains all but a
    /// few of its unexplained crashes and none else.
    fn culprit(&self, group: usize) -> Option<usize> {
        let crashes: BTreeSet<&Crash> = self.unexplained(group).collect();
        if crashes.len() < self.groups[group].refuse_at() {
            return None;
        }
        // A narrower group misses fewer crashes than are looked at here.
        let accused = crashes.iter().take(REFUSE_AT);
        let others = accused.flat_map(|crash| &self.accused[*crash]).copied();
        let narrower = others.filter_map(|other| {
            let mut count = 0;
            for crash in self.unexplained(other) {
                if !crashes.contains(crash) {
                    return None;
                }
                count += 1;
            }
            let other_group = &self.groups[other];
            let fits = other_group.answered == self.groups[group].answered
                && (other_group.refuse_at()..crashes.len()).contains(&count)
                && crashes.len() - count < REFUSE_AT;
            fits.then_some((count, cmp::Reverse(other)))
        });
        let widest = narrower.max();
        Some(widest.map_or(group, |(_, cmp::Reverse(other))| other))
    }
}
