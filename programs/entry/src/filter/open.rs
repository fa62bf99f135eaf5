//! Limits the number of requests that are open, whether they run or wait.

use std::sync;

use bw_wire::refusal;
use tokio::sync as async_sync;

use crate::metrics;

/// Limits the number of open requests.
pub struct Limiter {
    permits: sync::Arc<async_sync::Semaphore>,
}

impl Limiter {
    /// Creates a limiter that allows `limit` open requests at once.
    pub fn new(limit: usize) -> Limiter {
        Limiter {
            permits: sync::Arc::new(async_sync::Semaphore::new(limit)),
        }
    }

    /// Takes a permit without waiting.
    ///
    /// # Errors
    ///
    /// Refuses if all permits are taken.
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

/// A permit for one open request, given back when it is dropped.
pub struct Permit {
    _permit: async_sync::OwnedSemaphorePermit,
}

impl Drop for Permit {
    fn drop(&mut self) {
        metrics::IN_FLIGHT.with_label_values(&["online"]).dec();
    }
}
