//! Limits the requests that run or wait at once.

use std::sync;

use bw_wire::refusal;
use tokio::sync as async_sync;

use crate::metrics;

/// Counts the open requests.
pub struct Limiter {
    permits: sync::Arc<async_sync::Semaphore>,
}

impl Limiter {
    /// Allows a number of open requests.
    pub fn new(limit: usize) -> Limiter {
        Limiter {
            permits: sync::Arc::new(async_sync::Semaphore::new(limit)),
        }
    }

    /// Takes a place.
    ///
    /// # Errors
    ///
    /// Refuses when all permits are taken.
    pub fn acquire(&self) -> Result<Permit, refusal::Refusal> {
        let permit = sync::Arc::clone(&self.permits).try_acquire_owned();
        let permit = permit.map_err(|_| {
            let message = "too many requests are open on this entry VM";
            refusal::Refusal::not_run(refusal::Reason::Overloaded, message)
        })?;
        metrics::IN_FLIGHT.with_label_values(&["online"]).inc();
        Ok(Permit { _permit: permit })
    }
}

/// A place among the open requests, until it is dropped.
pub struct Permit {
    _permit: async_sync::OwnedSemaphorePermit,
}

impl Drop for Permit {
    fn drop(&mut self) {
        metrics::IN_FLIGHT.with_label_values(&["online"]).dec();
    }
}
