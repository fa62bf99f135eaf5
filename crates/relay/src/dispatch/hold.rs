//! Items that are held back because a part of their prompts is refused.
//!
//! All items with the same parts share one hold. When a trial may be due, one of them
//! starts and asks for it; the others wait. The hold ends as soon as the parts are not
//! refused any more, whichever run or process has cleared them.

use std::collections::{BTreeMap, BTreeSet};

use super::{Key, Waiting};
use crate::suspect;

/// Why some items are held back, and until when.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// The part that is refused.
    pub fingerprint: suspect::Fingerprint,
    /// Unix time since which the items are held back.
    pub since_ms: u64,
    /// Unix time at which one of the items may ask for a trial.
    pub until_ms: u64,
    /// The item that has started to ask for a trial.
    asker: Option<Key>,
    /// The items that run as trials.
    trials: BTreeSet<Key>,
}

/// The refusal of an item by one part of its prompt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// All parts that the item is judged by.
    pub request: suspect::Request,
    /// The part that is refused.
    pub fingerprint: suspect::Fingerprint,
    /// Time after which an item with these parts may ask for a trial, in milliseconds.
    pub retry_after_ms: u64,
}

/// The holds by the parts of the items.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds(BTreeMap<suspect::Request, Hold>);

impl Holds {
    /// Ends the holds of parts that are not refused any more, and returns them.
    pub(super) fn release(
        &mut self,
        mut is_refused: impl FnMut(&suspect::Request) -> bool,
    ) -> Vec<Hold> {
        let released = self.0.extract_if(.., |request, _| !is_refused(request));
        released.map(|(_, hold)| hold).collect()
    }

    /// Holds an item back that was refused.
    pub(super) fn hold(&mut self, waiting: &mut Waiting, refusal: Refusal, now_ms: u64) {
        let until_ms = now_ms.saturating_add(refusal.retry_after_ms);
        let hold = self.0.entry(refusal.request.clone()).or_insert(Hold {
            fingerprint: refusal.fingerprint,
            since_ms: now_ms,
            until_ms,
            asker: None,
            trials: BTreeSet::new(),
        });
        hold.fingerprint = refusal.fingerprint;
        hold.until_ms = until_ms;
        waiting.held = Some(refusal.request);
    }

    /// Returns the hold of an item, if there is one.
    pub(super) fn get(&self, waiting: &Waiting) -> Option<&Hold> {
        self.0.get(waiting.held.as_ref()?)
    }

    /// Returns whether an item may start: it is not held back, or may ask for a trial.
    pub(super) fn admits(&self, waiting: &Waiting, now_ms: u64) -> bool {
        let hold = self.get(waiting);
        hold.is_none_or(|hold| hold.asker.is_none() && now_ms >= hold.until_ms)
    }

    /// Notes that an item starts. It asks for a trial if it is held back.
    pub(super) fn started(&mut self, waiting: &Waiting, key: &Key) {
        let held = waiting.held.as_ref();
        if let Some(hold) = held.and_then(|request| self.0.get_mut(request)) {
            hold.asker = Some(key.clone());
        }
    }

    /// Notes that an item runs as a trial, so that the next one may ask for one.
    pub(super) fn trial_began(&mut self, key: &Key, now_ms: u64) {
        let holds = self.0.values_mut();
        for hold in holds.filter(|hold| hold.asker.as_ref() == Some(key)) {
            hold.asker = None;
            hold.until_ms = now_ms;
            hold.trials.insert(key.clone());
        }
    }

    /// Notes that the trial of an item goes on, and lets the next ones begin beside it.
    pub(super) fn trial_lived(&mut self, key: &Key, now_ms: u64) {
        let holds = self.0.values_mut();
        for hold in holds.filter(|hold| hold.trials.contains(key)) {
            hold.until_ms = now_ms;
        }
    }

    /// Notes that the run of an item has ended, so that another one may ask for a trial.
    pub(super) fn ended(&mut self, key: &Key, now_ms: u64) {
        for hold in self.0.values_mut() {
            if hold.trials.remove(key) {
                hold.until_ms = now_ms;
            }
            if hold.asker.as_ref() == Some(key) {
                hold.asker = None;
            }
        }
    }

    /// Returns whether an item runs to find out whether its parts are deadly.
    pub(super) fn is_trial(&self, key: &Key) -> bool {
        let mut holds = self.0.values();
        holds.any(|hold| hold.trials.contains(key))
    }
}
