//! Reads the suspects that the work groups have recorded.
//!
//! The local list of suspects may be outdated: a request on it may have finished
//! on another entry VM since, which clears it. All requests that arrived before
//! the start of a read share its result.

use std::{sync, time};

use bw_client::control;
use bw_wire::{command::work, query};
use tokio::{sync as async_sync, time as async_time};

/// Shortest time between two reads of a group, so that callers that resend
/// poisonous requests cause at most four reads a second.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Suspects that one work group has recorded.
pub type Suspects = sync::Arc<[work::Suspect]>;

/// Result of the last read of each work group.
pub struct Records {
    groups: Vec<async_sync::Mutex<Option<Read>>>,
}

struct Read {
    started: async_time::Instant,
    /// `None` if the group did not answer.
    suspects: Option<Suspects>,
}

impl Records {
    /// Creates the state for work groups 1 to `groups`, without any read yet.
    pub fn new(groups: u32) -> Records {
        Records {
            groups: (0..groups).map(|_| async_sync::Mutex::default()).collect(),
        }
    }

    /// Returns the suspects of a group from a read that started after this call,
    /// or `None` if the group does not exist or did not answer.
    pub async fn suspects(&self, client: &control::Client, group: u32) -> Option<Suspects> {
        let arrived = async_time::Instant::now();
        let index = usize::try_from(group.checked_sub(1)?).ok()?;
        let mut last = self.groups.get(index)?.lock().await;
        if let Some(read) = &*last {
            if read.started > arrived {
                return read.suspects.clone();
            }
            async_time::sleep_until(read.started + INTERVAL).await;
        }
        let started = async_time::Instant::now();
        let suspects = match client.query(group, query::Query::Suspects).await {
            Ok(query::Answer::Suspects(suspects)) => Some(suspects.into()),
            Ok(other) => {
                log::error!("unexpected answer to the query for suspects: {other:?}");
                None
            }
            Err(error) => {
                log::warn!(group = group; "cannot read the recorded suspects: {error}");
                None
            }
        };
        let read = Read { started, suspects };
        last.insert(read).suspects.clone()
    }
}
