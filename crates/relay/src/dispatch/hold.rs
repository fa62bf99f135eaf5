//! Items that are held back because a part of their prompts is refused.
//!
//! All items with a part share one hold. When a trial may be due, one of them starts and
//! asks for it; the others wait. The hold ends as soon as the part is not refused any
//! more, whichever run or process has cleared it.

use std::collections::{BTreeMap, BTreeSet};

use super::Key;
use crate::suspect;

/// Why some items are held back, and until when.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Hold {
    /// The part that is refused.
    pub part: suspect::Fingerprint,
    /// Unix time since which the items are held back.
    pub since_ms: u64,
    /// Unix time at which one of the items may ask for a trial.
    pub until_ms: u64,
    /// All parts of the item that was refused last.
    request: suspect::Request,
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
    pub part: suspect::Fingerprint,
    /// Time after which an item with this part may ask for a trial, in milliseconds.
    pub retry_after_ms: u64,
}

/// The holds by the refused part.
#[derive(Clone, Debug, Default)]
pub(super) struct Holds(BTreeMap<suspect::Fingerprint, Hold>);

impl Holds {
    /// Ends the holds of parts that are not refused any more, and returns them.
    pub(super) fn release(
        &mut self,
        mut is_refused: impl FnMut(&suspect::Request) -> bool,
    ) -> Vec<Hold> {
        let released = self.0.extract_if(.., |_, hold| !is_refused(&hold.request));
        released.map(|(_, hold)| hold).collect()
    }

    /// Holds all items with a part back, as one of them was refused.
    pub(super) fn hold(&mut self, refusal: Refusal, now_ms: u64) {
        let until_ms = now_ms.saturating_add(refusal.retry_after_ms);
        let hold = self.0.entry(refusal.part).or_insert_with(|| Hold {
            part: refusal.part,
            since_ms: now_ms,
            until_ms,
            request: suspect::Request::default(),
            asker: None,
            trials: BTreeSet::new(),
        });
        hold.request = refusal.request;
        hold.until_ms = until_ms;
    }

    /// Returns the hold of items with these parts, if there is one.
    pub(super) fn get(&self, request: &suspect::Request) -> Option<&Hold> {
        if self.0.is_empty() {
            return None;
        }
        request.parts().iter().find_map(|part| self.0.get(part))
    }

    /// Returns whether an item may start: it is not held back, or may ask for a trial.
    pub(super) fn admits(&self, request: &suspect::Request, now_ms: u64) -> bool {
        let hold = self.get(request);
        hold.is_none_or(|hold| hold.asker.is_none() && now_ms >= hold.until_ms)
    }

    /// Notes that an item starts. It asks for a trial if it is held back.
    pub(super) fn started(&mut self, request: &suspect::Request, key: &Key) {
        let part = self.get(request).map(|hold| hold.part);
        if let Some(hold) = part.and_then(|part| self.0.get_mut(&part)) {
            hold.asker = Some(key.clone());
        }
    }

    /// Notes that an item runs, so that the next one may ask for a trial.
    pub(super) fn admitted(&mut self, key: &Key) {
        for hold in self.0.values_mut() {
            if hold.asker.as_ref() == Some(key) {
                hold.asker = None;
            }
        }
    }

    /// Notes that an item runs as a trial. The next one may ask at once.
    pub(super) fn trial_began(&mut self, key: &Key, refusal: Refusal, now_ms: u64) {
        let part = refusal.part;
        self.hold(refusal, now_ms);
        self.admitted(key);
        if let Some(hold) = self.0.get_mut(&part) {
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
        }
        self.admitted(key);
    }

    /// Returns whether an item runs to find out whether its parts are deadly.
    pub(super) fn is_trial(&self, key: &Key) -> bool {
        let mut holds = self.0.values();
        holds.any(|hold| hold.trials.contains(key))
    }
}
