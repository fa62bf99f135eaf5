//! Limits the requests that run or wait at once.

use std::sync;

use bw_wire::refusal;
use tokio::sync as async_sync;

use crate::metrics;

/// Counts the open requests.
pub struct Open {
    places: sync::Arc<async_sync::Semaphore>,
}

impl Open {
    /// Allows a number of open requests.
    pub fn new(limit: usize) -> Open {
        Open {
            places: sync::Arc::new(async_sync::Semaphore::new(limit)),
        }
    }

    /// Takes a place.
    ///
    /// # Errors
    ///
    /// Refuses when all places are taken.
    pub fn enter(&self) -> Result<Guard, refusal::Refusal> {
        let place = sync::Arc::clone(&self.places).try_acquire_owned();
        let place = place.map_err(|_| {
            let message = "too many requests are open on this entry VM";
            refusal::Refusal::not_run(refusal::Reason::Overloaded, message)
        })?;
        metrics::IN_FLIGHT.with_label_values(&["online"]).inc();
        Ok(Guard { _place: place })
    }
}

/// A place among the open requests, until it is dropped.
pub struct Guard {
    _place: async_sync::OwnedSemaphorePermit,
}

impl Drop for Guard {
    fn drop(&mut self) {
        metrics::IN_FLIGHT.with_label_values(&["online"]).dec();
    }
}
