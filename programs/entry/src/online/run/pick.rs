//! The choice of a backend server for an attempt.

use std::time;

use bw_policy::router;
use tokio::time as async_time;

use super::Run;
use crate::routing;

/// Pause between two looks for a backend server that is free of other work.
const ISOLATION_PAUSE: time::Duration = time::Duration::from_millis(20);
/// How long a suspect waits for a backend server that is free of other work.
const ISOLATION_WAIT: time::Duration = time::Duration::from_secs(10);
/// Pause before the second attempt when every backend server in use has failed
/// this request; it doubles with each attempt.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(20);
/// How long a later attempt waits for any backend server.
const RETRY_WAIT: time::Duration = time::Duration::from_secs(2);

impl Run {
    pub(super) fn pick(&self, fit: router::Sharing) -> Result<routing::Slot, router::Unavailable> {
        let target = &self.request.target;
        let request = router::Request {
            target: router::Target::Model {
                model: &target.model,
                adapter: target.adapter.as_deref(),
            },
            prefix: &self.prefix,
            avoid: &self.avoid,
            sharing: fit,
        };
        self.context.shared.table.pick(&request)
    }

    /// Picks a backend server that has not failed this request. If there is
    /// none, it takes one that has after a pause, or waits for one to appear.
    pub(super) async fn pick_next(
        &self,
        fit: router::Sharing,
    ) -> Result<routing::Slot, router::Unavailable> {
        let give_up = async_time::Instant::now() + RETRY_WAIT;
        let mut paused = false;
        loop {
            let picked = self.pick_spread(fit);
            let is_new = picked.as_ref().is_ok_and(|slot| !self.has_failed(slot));
            if is_new || self.attempts == 0 {
                return picked;
            }
            let is_over = async_time::Instant::now() >= give_up;
            if is_over || (paused && picked.is_ok()) {
                return picked;
            }
            drop(picked);
            async_time::sleep(backoff(self.attempts)).await;
            paused = true;
        }
    }

    /// Picks a backend server without another suspect if possible. Suspects
    /// with one strike are kept apart, but none of them waits or fails for it.
    fn pick_spread(&self, fit: router::Sharing) -> Result<routing::Slot, router::Unavailable> {
        let picked = self.pick(fit);
        let is_apart = picked.as_ref().is_ok_and(|slot| !self.has_failed(slot));
        if is_apart || fit != router::Sharing::Dispersed {
            return picked;
        }
        let together = self.pick(router::Sharing::Any);
        if together.as_ref().is_ok_and(|slot| !self.has_failed(slot)) {
            return together;
        }
        picked.or(together)
    }

    pub(super) fn has_failed(&self, slot: &routing::Slot) -> bool {
        self.avoid.contains(&slot.choice().id)
    }

    pub(super) async fn pick_isolated(&self) -> Result<routing::Slot, router::Unavailable> {
        let give_up = async_time::Instant::now() + ISOLATION_WAIT;
        loop {
            let picked = self.pick(router::Sharing::Isolated);
            let busy = matches!(
                picked,
                Err(router::Unavailable::NoneFree | router::Unavailable::Reserved)
            );
            if !busy || async_time::Instant::now() >= give_up {
                return picked;
            }
            async_time::sleep(ISOLATION_PAUSE).await;
        }
    }
}

/// Returns the pause before a further attempt on a backend server that has
/// failed the request.
pub(crate) fn backoff(attempts: u32) -> time::Duration {
    RETRY_PAUSE * 2_u32.saturating_pow(attempts.saturating_sub(1).min(5))
}
