//! Runs of items: what they start with, produce and end with.

use bw_wire::name::Name;

use super::Key;
use crate::ledger;

/// What an item has produced so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The number of the last event that is stored in the ledger.
    pub saved: u64,
    /// The number of the last event, 0 before the first.
    pub last: u64,
    /// The data of the events that are not stored yet, in order.
    pub data: Vec<String>,
    /// The bytes of all events that this leader has seen.
    pub bytes: usize,
}

impl Progress {
    /// Adds the next event.
    pub fn push(&mut self, data: String) {
        self.last += 1;
        self.bytes += data.len();
        self.data.push(data);
    }

    /// Returns the bytes of the output that is not stored yet.
    pub fn unsaved_bytes(&self) -> usize {
        self.data.iter().map(String::len).sum()
    }

    /// Returns the output that is not stored yet.
    pub fn unsaved(&self) -> ledger::Output {
        ledger::Output {
            after: self.saved,
            data: self.data.clone(),
        }
    }

    /// Notes that everything so far is stored.
    pub fn save(&mut self) {
        self.saved = self.last;
        self.data.clear();
    }
}

/// An item to run now.
#[derive(Clone, Debug)]
pub struct Start {
    /// The item.
    pub key: Key,
    /// The id of the item, its request id.
    pub id: Name,
    /// The host of its route.
    pub host: Name,
    /// Its path with the query.
    pub path: Name,
    /// Its headers.
    pub headers: Vec<(Name, Name)>,
    /// The backend server.
    pub server: Name,
    /// Its address.
    pub address: Name,
    /// What earlier runs produced.
    pub progress: Progress,
    /// The address of a backend server where the item still runs for a former
    /// leader. That run is stopped first and its memory moved to `server`.
    pub orphan: Option<Name>,
    /// Whether [`super::Dispatcher::progressed`] must be called at the first new event.
    pub trial: bool,
}

/// How a run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole output is there.
    Completed(Progress),
    /// The run broke off or was stopped. What it produced counts.
    Broken(Progress),
    /// The backend server says that the run failed.
    Failed(Progress),
    /// The backend server says that the item can never be done.
    Impossible,
    /// The backend server refused it or could not be reached.
    NotRun(Progress),
    /// Online requests wait at the backend server although the leader believed
    /// that a slot was free there, as long as runs of a leader before still
    /// hold slots. The run gave its own back.
    Crowded(Progress),
}

impl Outcome {
    /// Returns the last event, if the run got any.
    pub(super) fn last_event(&self) -> Option<u64> {
        match self {
            Outcome::Completed(progress)
            | Outcome::Broken(progress)
            | Outcome::Failed(progress)
            | Outcome::NotRun(progress)
            | Outcome::Crowded(progress) => Some(progress.last),
            Outcome::Impossible => None,
        }
    }
}
