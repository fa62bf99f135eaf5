//! Dispatches batch items to the backend servers that this entry VM owns.
//!
//! One task leases chunks from the work groups, starts items where the pacer
//! has room, cancels them at once when online work rises, and records outcomes
//! in groups. A cancelled item keeps its text and resumes later. The task never
//! holds a lock while it waits, and online requests never wait for it.

mod book;
mod crash;
mod dispatch;
mod isolate;
mod item;
mod metrics;
mod queue;
mod remote;

use std::{sync, time};

use bw_policy::pacer;
use tokio::sync as async_sync;

use crate::context;

/// Settings of the dispatcher.
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) lease_ms: u64,
    pub(crate) renew_ms: u64,
    pub(crate) poll_ms: u64,
    pub(crate) record_ms: u64,
    pub(crate) record_items: usize,
    pub(crate) max_attempts: u32,
    pub(crate) urgent_ms: u64,
    pub(crate) stop_limit: time::Duration,
    pub(crate) pacer: pacer::Builder,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            lease_ms: 15_000,
            renew_ms: 500,
            poll_ms: 500,
            record_ms: 100,
            record_items: 64,
            max_attempts: 5,
            urgent_ms: 600_000,
            stop_limit: time::Duration::from_secs(5),
            pacer: pacer::Builder::new(),
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets the duration of chunk leases and the interval at which they are
    /// renewed. The reply to a renewal shows cancelled jobs, so that the
    /// interval bounds how long their items still run.
    pub fn lease(mut self, lease_ms: u64, renew_ms: u64) -> Builder {
        self.lease_ms = lease_ms;
        self.renew_ms = renew_ms.max(1);
        self
    }

    /// Sets how long outcomes are collected before they are recorded, and how
    /// many of a chunk are recorded at once without that wait.
    pub fn record(mut self, wait_ms: u64, items: usize) -> Builder {
        self.record_ms = wait_ms;
        self.record_items = items.max(1);
        self
    }

    /// Sets after how many failed attempts without progress an item is given up.
    pub fn max_attempts(mut self, attempts: u32) -> Builder {
        self.max_attempts = attempts.max(1);
        self
    }

    /// Sets how long before their due time jobs count as urgent.
    pub fn urgent_ms(mut self, duration_ms: u64) -> Builder {
        self.urgent_ms = duration_ms;
        self
    }

    /// Sets the pacing.
    pub fn pacer(mut self, pacer: pacer::Builder) -> Builder {
        self.pacer = pacer;
        self
    }

    /// Starts the dispatcher on the current runtime. It gives its leases back
    /// when the process drains.
    pub fn spawn(self, context: &sync::Arc<context::Context>) {
        let (stop, stopped) = async_sync::oneshot::channel();
        let dispatcher = dispatch::Dispatcher::new(self, sync::Arc::clone(context));
        let task = tokio::spawn(dispatcher.run(stopped));
        context.shared.drain.add_hook(move || async move {
            // The task ends only after this message, or because it panicked.
            let _ = stop.send(());
            if let Err(error) = task.await {
                log::error!("batch dispatcher failed: {error}");
            }
        });
    }
}
