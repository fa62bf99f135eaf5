//! Picks the backend server for an attempt.

use std::time;

use bw_policy::router;
use tokio::time as async_time;

use super::Run;
use crate::routing;

/// Interval at which a suspect looks for a backend server without other work.
const ISOLATION_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);
/// How long a suspect waits for a backend server without other work.
const ISOLATION_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Delay before the second attempt when every backend server in use has failed
/// this request; it doubles with each attempt.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(20);
/// How long a later attempt waits for any backend server.
const RETRY_TIMEOUT: time::Duration = time::Duration::from_secs(2);

impl Run {
    pub(super) fn pick(
        &self,
        sharing: router::Sharing,
    ) -> Result<routing::Slot, router::Unavailable> {
        let target = &self.request.target;
        let request = router::Request {
            target: router::Target::Model {
                model: &target.model,
                adapter: target.adapter.as_deref(),
            },
            prefix: &self.prefix,
            avoid: &self.avoid,
            sharing,
        };
        self.context.shared.table.pick(&request)
    }

    /// Picks a backend server that no attempt has used. If there is none, picks
    /// one that an attempt has used after a delay, or waits until a backend server
    /// is available.
    pub(super) async fn pick_next(
        &self,
        sharing: router::Sharing,
    ) -> Result<routing::Slot, router::Unavailable> {
        let deadline = async_time::Instant::now() + RETRY_TIMEOUT;
        let mut has_waited = false;
        loop {
            let picked = self.pick_dispersed(sharing);
            let is_new = picked.as_ref().is_ok_and(|slot| !self.was_tried(slot));
            if is_new || self.attempts == 0 {
                return picked;
            }
            let is_late = async_time::Instant::now() >= deadline;
            if is_late || (has_waited && picked.is_ok()) {
                return picked;
            }
            drop(picked);
            async_time::sleep(backoff(self.attempts)).await;
            has_waited = true;
        }
    }

    /// Picks a backend server without another suspect if possible. Suspects with
    /// one strike are kept apart, but share a backend server rather than wait or
    /// fail.
    fn pick_dispersed(
        &self,
        sharing: router::Sharing,
    ) -> Result<routing::Slot, router::Unavailable> {
        let picked = self.pick(sharing);
        let is_new = picked.as_ref().is_ok_and(|slot| !self.was_tried(slot));
        if is_new || sharing != router::Sharing::Dispersed {
            return picked;
        }
        let shared = self.pick(router::Sharing::Any);
        if shared.as_ref().is_ok_and(|slot| !self.was_tried(slot)) {
            return shared;
        }
        picked.or(shared)
    }

    /// Returns whether an attempt of this request has used the backend server.
    pub(super) fn was_tried(&self, slot: &routing::Slot) -> bool {
        self.avoid.contains(&slot.choice().id)
    }

    /// Picks a backend server without other work, waiting for one if necessary.
    pub(super) async fn pick_isolated(&self) -> Result<routing::Slot, router::Unavailable> {
        let deadline = async_time::Instant::now() + ISOLATION_TIMEOUT;
        loop {
            let picked = self.pick(router::Sharing::Isolated);
            let is_busy = matches!(
                picked,
                Err(router::Unavailable::NoneFree | router::Unavailable::Reserved)
            );
            if !is_busy || async_time::Instant::now() >= deadline {
                return picked;
            }
            async_time::sleep(ISOLATION_POLL_INTERVAL).await;
        }
    }
}

/// Returns the delay before a further attempt on a backend server that has
/// failed the request.
pub(crate) fn backoff(attempts: u32) -> time::Duration {
    RETRY_DELAY * 2_u32.saturating_pow(attempts.saturating_sub(1).min(5))
}
