//! Runs of items: their start, progress and outcome.

use bw_wire::name::Name;

use super::{Key, Refusal};
use crate::ledger;

/// Size of an event beside its data, in bytes: the line feed after it in the output, and its
/// share of the record that saves it. Without it, events without data would be unlimited.
const EVENT_OVERHEAD_BYTES: usize = 8;

/// The output of an item so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The number of the last event that is stored in the ledger; 0 before the first.
    pub saved: u64,
    /// The number of the last event; 0 before the first.
    pub last: u64,
    /// The data of the events that are not stored yet, in order.
    pub data: Vec<String>,
    /// The size of all events that this leader received, in bytes: their data and
    /// `EVENT_OVERHEAD_BYTES` for each.
    pub bytes: usize,
}

impl Progress {
    /// Appends the data of the next event.
    pub fn push(&mut self, data: String) {
        self.last += 1;
        self.bytes += data.len() + EVENT_OVERHEAD_BYTES;
        self.data.push(data);
    }

    /// Returns the size of the events that are not stored yet, in bytes.
    pub fn unsaved_bytes(&self) -> usize {
        let sizes = self.data.iter();
        sizes.map(|data| data.len() + EVENT_OVERHEAD_BYTES).sum()
    }

    /// Returns the output that is not stored yet.
    pub fn unsaved(&self) -> ledger::Output {
        ledger::Output {
            after: self.saved,
            data: self.data.clone(),
        }
    }

    /// Records that the whole output so far is stored.
    pub fn save(&mut self) {
        self.saved = self.last;
        self.data.clear();
    }
}

/// The start of a run.
#[derive(Clone, Debug)]
pub struct Start {
    /// The job of the item and its index in the job.
    pub key: Key,
    /// The id of the item, which is its request id.
    pub id: Name,
    /// The host of its route.
    pub host: Name,
    /// The path of its request, with the query.
    pub path: Name,
    /// The headers of its request.
    pub headers: Vec<(Name, Name)>,
    /// The id of the backend server.
    pub server: Name,
    /// The IP address and port of the backend server.
    pub address: Name,
    /// The output of earlier runs.
    pub progress: Progress,
    /// The address of a backend server where the item still runs for a former leader.
    /// That run must be stopped first and its memory be moved to `server`.
    pub orphan: Option<Name>,
    /// Whether the run is a trial: [`super::Dispatcher::progressed`] must be called at its
    /// first new event.
    pub trial: bool,
}

/// How a run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The output is complete.
    Completed(Progress),
    /// The run is broken: its connection broke, fell silent or carried an invalid response
    /// before the output was complete. Also the outcome of a run that the leader stopped.
    /// The output is kept.
    Broken(Progress),
    /// The run failed: the backend server itself responded so (status 500). The output is
    /// kept.
    Failed(Progress),
    /// The item can never succeed according to the backend server.
    Impossible,
    /// The run did not begin, as the backend server refused it or could not be reached.
    NotRun(Progress),
    /// The run did not begin, as a part of the item's prompt crashes backend servers.
    Refused {
        /// The output of earlier runs.
        progress: Progress,
        /// The parts that the item was refused for.
        refusal: Refusal,
    },
    /// The run gave its slot back, as online requests are queued at the backend server.
    /// The leader took the slot for free because it does not count slots that runs of a
    /// former leader still occupy.
    Crowded(Progress),
}

impl Outcome {
    /// Returns whether a backend server may have begun to run the item.
    pub(super) fn has_run(&self) -> bool {
        !matches!(
            self,
            Outcome::NotRun(_) | Outcome::Refused { .. } | Outcome::Crowded(_)
        )
    }

    /// Returns the number of the item's last event after the run; `None` if the item is
    /// impossible.
    pub(super) fn last_event(&self) -> Option<u64> {
        match self {
            Outcome::Completed(progress)
            | Outcome::Broken(progress)
            | Outcome::Failed(progress)
            | Outcome::NotRun(progress)
            | Outcome::Refused { progress, .. }
            | Outcome::Crowded(progress) => Some(progress.last),
            Outcome::Impossible => None,
        }
    }
}
