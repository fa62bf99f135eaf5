//! Confirms that the configuration known here is the newest one.
//!
//! A refusal that tells a caller that its request is wrong is a claim about the
//! newest accepted configuration. The configuration lease does not support it:
//! under a valid lease the entry VM may still be some seconds behind. Such a
//! refusal waits for an exchange with the control leader that began after the
//! request had arrived. All requests that arrived before it share it.

use std::{
    sync::atomic::{AtomicU64, AtomicUsize, Ordering},
    time,
};

use tokio::{sync as async_sync, time as async_time};

use crate::metrics;

/// Longest wait of a request. It covers an exchange whose first call meets a
/// hung replica (1 s) and most elections (1 to 2 s).
const WAIT: time::Duration = time::Duration::from_millis(2_000);

/// The exchanges with the control leader, and the requests that wait for one.
#[derive(Debug)]
pub struct Confirmation {
    /// The number of exchanges that have begun.
    begun: AtomicU64,
    /// The last exchange after which the newest configuration was known here.
    confirmed: async_sync::watch::Sender<u64>,
    /// Requests that wait.
    waiting: AtomicUsize,
    requested: async_sync::Notify,
}

impl Default for Confirmation {
    fn default() -> Self {
        Confirmation {
            begun: AtomicU64::new(0),
            confirmed: async_sync::watch::Sender::new(0),
            waiting: AtomicUsize::new(0),
            requested: async_sync::Notify::new(),
        }
    }
}

impl Confirmation {
    /// Numbers an exchange that is about to be sent.
    pub fn begin(&self) -> u64 {
        self.begun.fetch_add(1, Ordering::SeqCst) + 1
    }

    /// Notes that the configuration of the leader's answer to an exchange is
    /// published here.
    pub fn confirm(&self, exchange: u64) {
        self.confirmed.send_if_modified(|confirmed| {
            let is_later = *confirmed < exchange;
            *confirmed = (*confirmed).max(exchange);
            is_later
        });
    }

    /// Returns whether a request waits for an exchange.
    pub fn has_waiters(&self) -> bool {
        self.waiting.load(Ordering::SeqCst) > 0
    }

    /// Waits until a request starts to wait for an exchange.
    pub async fn requested(&self) {
        self.requested.notified().await;
    }

    /// Waits until an exchange that begins from now on is confirmed. Returns
    /// whether one was within the time limit.
    pub async fn wait(&self) -> bool {
        let next = self.begun.load(Ordering::SeqCst) + 1;
        let _waiting = Waiting::new(&self.waiting);
        self.requested.notify_one();
        let mut confirmed = self.confirmed.subscribe();
        let confirmed = confirmed.wait_for(|confirmed| *confirmed >= next);
        let is_confirmed = matches!(async_time::timeout(WAIT, confirmed).await, Ok(Ok(_)));
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
