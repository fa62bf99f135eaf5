//! Dispatches batch items to the backend servers that this entry VM owns.
//!
//! One task leases chunks from the work groups, starts items where the pacer
//! grants streams, cancels them as soon as online load rises, and records outcomes
//! in batches. A cancelled item keeps its generated text and resumes from it later.
//! The task never holds a lock across an await, and online requests never wait for
//! it.

mod crash;
mod dispatch;
mod isolate;
mod item;
mod leases;
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
    /// renewed. The reply to a renewal reports the leases that a cancelled job has
    /// lost, so the interval limits how long the job's items keep running.
    pub fn lease(mut self, lease_ms: u64, renew_ms: u64) -> Builder {
        self.lease_ms = lease_ms;
        self.renew_ms = renew_ms.max(1);
        self
    }

    /// Sets how long the outcomes of a chunk are collected before they are recorded,
    /// and the number of outcomes from which on they are recorded without that wait.
    pub fn record(mut self, wait_ms: u64, items: usize) -> Builder {
        self.record_ms = wait_ms;
        self.record_items = items.max(1);
        self
    }

    /// Sets the number of consecutive failed attempts without progress after which an
    /// item is given up. Broken connections do not count.
    pub fn max_attempts(mut self, attempts: u32) -> Builder {
        self.max_attempts = attempts.max(1);
        self
    }

    /// Sets how long before their deadline jobs count as urgent, in milliseconds.
    pub fn urgent_ms(mut self, duration_ms: u64) -> Builder {
        self.urgent_ms = duration_ms;
        self
    }

    /// Sets the pacer, which decides how many streams run beside online work.
    pub fn pacer(mut self, pacer: pacer::Builder) -> Builder {
        self.pacer = pacer;
        self
    }

    /// Starts the dispatcher on the current runtime. It releases its leases when the
    /// process drains.
    pub fn spawn(self, context: &sync::Arc<context::Context>) {
        let (stop, stopped) = async_sync::oneshot::channel();
        let dispatcher = dispatch::Dispatcher::new(self, sync::Arc::clone(context));
        let task = tokio::spawn(dispatcher.run(stopped));
        context.shared.drain.add_hook(move || async move {
            // Sending fails only if the task has panicked, which the join reports.
            let _ = stop.send(());
            if let Err(error) = task.await {
                log::error!("batch dispatcher failed: {error}");
            }
        });
    }
}
