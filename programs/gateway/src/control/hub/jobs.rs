//! Calls on batch jobs.

use std::{rc::Rc, time};

use bw_relay::{ledger, message};
use bw_wire::name::Name;
use tokio::sync::oneshot;

use super::{Hub, refusal};
use crate::{clock, control::replica};

/// Interval between sweeps of closed jobs, in milliseconds.
const SWEEP_MS: u64 = 10_000;

impl Hub {
    pub(super) async fn submit(&self, job: ledger::NewJob) -> message::Reply {
        let (id, route, tokens) = (job.id.clone(), job.route.clone(), job.tokens());
        let command = ledger::Command::submit(job, self.unix_ms());
        match self.propose(command).await {
            Ok(ledger::Applied::Full { waiting, limit }) => {
                let excess = waiting.saturating_add(tokens).saturating_sub(limit);
                let now_ms = clock::monotonic_ms();
                let mut throughput = self.throughput.borrow_mut();
                let retry_after_ms = throughput.retry_after_ms(&route, excess, tokens, now_ms);
                log::info!(
                    job = &*id, tokens = tokens, waiting = waiting, limit = limit,
                    retry_after_ms = retry_after_ms, verdict = "not_run";
                    "job does not fit on its route"
                );
                message::Reply::Full { retry_after_ms }
            }
            Ok(_) => message::Reply::Done,
            Err(error) => refusal(Some(error)),
        }
    }

    pub(super) async fn results(
        self: &Rc<Hub>,
        job: Name,
        after: u32,
        wait_ms: u64,
    ) -> message::Reply {
        let until = tokio::time::Instant::now() + time::Duration::from_millis(wait_ms);
        loop {
            let waiter = Rc::clone(
                self.result_waiters
                    .borrow_mut()
                    .entry(job.clone())
                    .or_default(),
            );
            let changed = waiter.notified();
            let read = replica::Read::Page {
                job: job.clone(),
                after,
            };
            let page = match self.read(read).await {
                Ok(replica::Answer::Page(page)) => page,
                other => return refusal(other.err()),
            };
            let waits = page
                .as_ref()
                .is_some_and(|page| page.results.is_empty() && after < page.total);
            if !waits || tokio::time::timeout_at(until, changed).await.is_err() {
                return message::Reply::Page(page);
            }
        }
    }

    /// Wakes the calls that wait for results of a job.
    pub(crate) fn job_changed(&self, job: &str) {
        if let Some(changed) = self.result_waiters.borrow_mut().remove(job) {
            changed.notify_waiters();
        }
    }

    pub(super) async fn body(&self, job: Name, item: Name) -> message::Reply {
        match self.read(replica::Read::Body { job, item }).await {
            Ok(replica::Answer::Body(body)) => message::Reply::Body(body),
            other => refusal(other.err()),
        }
    }

    pub(super) async fn end(&self, job: Name) -> message::Reply {
        let result = self.propose(ledger::Command::End { job }).await;
        match result {
            Ok(ledger::Applied::Done) => message::Reply::Done,
            Ok(_) => message::Reply::Unknown,
            Err(error) => refusal(Some(error)),
        }
    }

    /// Stops the runs of a job that was ended.
    pub(super) fn stop_job(&self, job: &Name) {
        let running = self.dispatch.borrow_mut().remove(job);
        log::info!(job = &**job, running = running.len(); "job ended by its caller");
        for key in running {
            self.runs.borrow().stop(&key);
        }
        self.job_changed(job);
    }

    pub(super) fn sweep(self: &Rc<Hub>) {
        let now_ms = clock::monotonic_ms();
        if now_ms < self.swept_ms.get() + SWEEP_MS {
            return;
        }
        self.swept_ms.set(now_ms);
        // An entry that no waiting call shares with the map is not needed any more.
        self.result_waiters
            .borrow_mut()
            .retain(|_, changed| Rc::strong_count(changed) > 1);
        self.pool.sweep();
        let (reply, _) = oneshot::channel();
        let command = ledger::Command::sweep(self.unix_ms(), self.settings().retention_ms);
        self.send_call(replica::Call::Propose { command, reply });
    }
}
