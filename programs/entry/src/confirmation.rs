//! Confirms that the local configuration is the newest one.
//!
//! A refusal that tells a caller that its request is invalid must hold for the
//! newest accepted configuration. A valid configuration lease is not enough: the
//! entry VM may still be some seconds behind. Such a refusal therefore waits for
//! an exchange with the control leader that started after the request arrived.
//! All requests that arrived before the start of an exchange share it.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time,
};

use tokio::{sync as async_sync, time as async_time};

use crate::metrics;

/// Time limit for the wait of a request. It covers an exchange whose first call
/// times out at a hung replica (1 s), and most elections (1 to 2 s).
const TIMEOUT: time::Duration = time::Duration::from_millis(2_000);

/// Tracks exchanges with the control leader and the requests that wait for one.
#[derive(Debug)]
pub struct Confirmation {
    /// Number of the last exchange that was started.
    started: AtomicU64,
    /// Number of the last exchange whose configuration is published here.
    confirmed: async_sync::watch::Sender<u64>,
    /// Number of waiting requests.
    waiting: AtomicUsize,
    requested: async_sync::Notify,
}

impl Default for Confirmation {
    fn default() -> Self {
        Confirmation {
            started: AtomicU64::new(0),
            confirmed: async_sync::watch::Sender::new(0),
            waiting: AtomicUsize::new(0),
            requested: async_sync::Notify::new(),
        }
    }
}

impl Confirmation {
    /// Returns the number of an exchange that is about to be sent, counted from 1.
    pub fn begin(&self) -> u64 {
        self.started.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Records that the configuration in the leader's response to an exchange is
    /// published here, and wakes the requests that wait for it.
    pub fn confirm(&self, exchange: u64) {
        self.confirmed.send_if_modified(|confirmed| {
            let is_later = *confirmed < exchange;
            *confirmed = (*confirmed).max(exchange);
            is_later
        });
    }

    /// Returns whether requests wait for an exchange.
    pub fn has_waiters(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }

    /// Waits until a request starts to wait for an exchange.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Waits for the confirmation of an exchange that starts after this call.
    /// Returns false if there was none within 2 s.
    pub async fn wait(&self) -> bool {
        let next = self.started.load(Ordering::SeqCst) + 1;
        let _waiting = Waiting::new(&self.waiting);
        self.requested.notify_one();
        let mut confirmed = self.confirmed.subscribe();
        let confirmed = confirmed.wait_for(|confirmed| *confirmed >= next);
        let is_confirmed = matches!(async_time::timeout(TIMEOUT, confirmed).await, Ok(Ok(_)));
        let outcome = if is_confirmed { "confirmed" } else { "timeout" };
        metrics::CONFIRMATIONS.with_label_values(&[outcome]).inc();
        is_confirmed
    }
}

/// Counts a waiting request until it is dropped.
struct Waiting<'a> {
    count: &'a AtomicUsize,
}

impl Waiting<'_> {
    fn new(count: &AtomicUsize) -> Waiting<'_> {
        count.fetch_add(1, Ordering::SeqCst);
        Waiting { count }
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.count.fetch_sub(1, Ordering::SeqCst);
    }
}
