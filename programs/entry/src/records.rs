//! Reads the suspects that the work groups have recorded.
//!
//! The suspects that are known here may be old: a request that is one here may
//! have finished elsewhere since. All requests that arrived before a read of a
//! group began share it.

use std::{sync, time};

use bw_client::control;
use bw_wire::{command::work, query};
use tokio::{sync as async_sync, time as async_time};

/// Shortest time between two reads of a group. Callers that send poisonous
/// requests again and again thus cause four reads a second at most.
const INTERVAL: time::Duration = time::Duration::from_millis(250);

/// The suspects of one group.
pub type Suspects = sync::Arc<[work::Suspect]>;

/// The last read of each work group.
pub struct Records {
    groups: Vec<async_sync::Mutex<Option<Read>>>,
}

struct Read {
    begun: async_time::Instant,
    /// Absent if the group did not answer.
    suspects: Option<Suspects>,
}

impl Records {
    /// Starts without reads of a number of work groups.
    pub fn new(groups: u32) -> Records {
        Records {
            groups: (0..groups).map(|_| async_sync::Mutex::default()).collect(),
        }
    }

    /// Returns the suspects of a group, as of a time after this call, or `None`
    /// if the group did not answer.
    pub async fn suspects(&self, client: &control::Client, group: u32) -> Option<Suspects> {
        let arrived = async_time::Instant::now();
        let position = usize::try_from(group.checked_sub(1)?).ok()?;
        let mut last = self.groups.get(position)?.lock().await;
        if let Some(read) = &*last {
            if read.begun > arrived {
                return read.suspects.clone();
            }
            async_time::sleep_until(read.begun + INTERVAL).await;
        }
        let begun = async_time::Instant::now();
        let suspects = match client.query(group, query::Query::Suspects).await {
            Ok(query::Answer::Suspects(suspects)) => Some(suspects.into()),
            Ok(other) => {
                log::error!("not a list of suspects: {other:?}");
                None
            }
            Err(error) => {
                log::warn!(group = group; "suspects not read: {error}");
                None
            }
        };
        let read = Read { begun, suspects };
        last.insert(read).suspects.clone()
    }
}
