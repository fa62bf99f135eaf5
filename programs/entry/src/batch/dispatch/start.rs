//! Starting items on backend servers.

use std::sync::{self, atomic};

use bw_policy::{
    pacer, router,
    suspect::{
        self,
        item::{Decision, Plan},
    },
};
use bw_wire::{backend, name};
use tokio_util::sync::CancellationToken;

use super::{Completion, Dispatcher, Running};
use crate::{
    batch::{isolate, item, metrics, queue::Item},
    clock,
    reservation::Reservation,
};

/// Delay before a suspect tries again to be placed, in milliseconds.
const SUSPECT_RETRY_MS: u64 = 500;

impl Dispatcher {
    /// Starts queued items on the streams that the pacer grants.
    pub(super) fn start_items(&mut self, now_ms: u64) {
        self.pacer.set_backlog(self.queue.ready(), now_ms);
        let may_start = !self.is_draining && self.context.shared.lease.is_valid(now_ms);
        if !may_start || self.queue.ready() == 0 {
            return;
        }
        let urgent_before_ms = clock::unix_ms() + self.settings.urgent_ms;
        for grant in self.pacer.grants(now_ms) {
            let Some(announcement) = self.owned.get(&grant.id).cloned() else {
                continue;
            };
            for _ in 0..grant.streams {
                let Some(item) = self.queue.pop(&announcement, urgent_before_ms) else {
                    break;
                };
                self.start_planned(item, &announcement, now_ms);
            }
        }
    }

    /// Starts an item on a backend server as the rules for suspects demand: like any
    /// other, apart from other suspects, in isolation or later.
    fn start_planned(&mut self, item: Item, announcement: &backend::Announcement, now_ms: u64) {
        let fingerprint = item.work.fingerprint;
        let shared = &self.context.shared;
        let plan = shared.with_suspects(|suspects, now_ms| suspects.plan(fingerprint, now_ms));
        match plan {
            Plan::Normal => self.start(
                item,
                server_of(announcement),
                item::Placement::Normal,
                now_ms,
            ),
            Plan::Dispersed { trial: false } => {
                self.start_dispersed(item, announcement, item::Placement::Normal, now_ms);
            }
            Plan::Dispersed { trial: true } => {
                self.start_dispersed(item, announcement, item::Placement::Dispersed, now_ms);
            }
            Plan::Isolated => self.reserve(item, announcement, now_ms),
            Plan::Wait { until_ms, reason } => {
                if reason == suspect::item::Reason::CrashPause {
                    log_backoff(&item, until_ms.saturating_sub(now_ms));
                }
                self.requeue(item, reason.into(), until_ms);
            }
        }
    }

    /// Starts an item unless another suspect runs on the backend server, in which case
    /// the item is delayed.
    fn start_dispersed(
        &mut self,
        item: Item,
        announcement: &backend::Announcement,
        placement: item::Placement,
        now_ms: u64,
    ) {
        let id = &announcement.id;
        let table = &self.context.shared.table;
        let online_suspects = table.with(|state, _| state.router.suspects_on(id));
        let mut running = self.running.values();
        let has_suspect = running.any(|run| run.is_suspect && run.backend == *id);
        if has_suspect || online_suspects > 0 {
            return self.requeue(item, "suspect_beside_suspect", now_ms + SUSPECT_RETRY_MS);
        }
        if placement.is_trial() {
            let fingerprint = item.work.fingerprint;
            self.context
                .shared
                .with_suspects(|suspects, _| suspects.begin_trial(fingerprint));
            log_trial(&item, id, "dispersed");
        }
        self.start(item, server_of(announcement), placement, now_ms);
    }

    /// Reserves a backend server for the trial of an item, which starts once the server
    /// is empty. The last replica of a model is not reserved; the trial is dispersed
    /// instead.
    fn reserve(&mut self, item: Item, announcement: &backend::Announcement, now_ms: u64) {
        if self.isolation.is_some() {
            return self.requeue(item, "isolated_run_in_progress", now_ms + SUSPECT_RETRY_MS);
        }
        let backend = announcement.id.clone();
        let table = &self.context.shared.table;
        match table.with(|state, now_ms| state.router.check_reservation(&backend, now_ms)) {
            router::Reservation::Allowed => {
                log::info!(
                    job = item.work.chunk.job.as_str(),
                    line = item.work.number,
                    backend = backend.as_str();
                    "backend server reserved for the trial of a batch item after crashes of others that ran it"
                );
                let fingerprint = item.work.fingerprint;
                let reservation = Reservation::for_trial(&self.context, backend, fingerprint);
                let server = server_of(announcement);
                let isolation =
                    isolate::Isolation::new(&self.context, reservation, server, item, now_ms);
                self.isolation = Some(isolation);
            }
            router::Reservation::LimitReached => {
                self.requeue(item, "isolated_run_in_progress", now_ms + SUSPECT_RETRY_MS);
            }
            router::Reservation::LastReplica => {
                self.start_dispersed(item, announcement, item::Placement::Dispersed, now_ms);
            }
        }
    }

    fn start(&mut self, item: Item, server: item::Server, placement: item::Placement, now_ms: u64) {
        self.streams += 1;
        let stream = self.streams;
        let is_suspect =
            |suspects: &mut suspect::Suspects, _| suspects.get(item.work.fingerprint).is_some();
        // Estimates a token as four bytes of the prompt.
        let prompt_tokens = u32::try_from(item.work.body.len() / 4).unwrap_or(u32::MAX / 2);
        let running = Running {
            backend: server.backend.clone(),
            chunk: item.work.chunk.clone(),
            is_suspect: self.context.shared.with_suspects(is_suspect),
            prompt_tokens,
            tokens: sync::Arc::new(atomic::AtomicU32::new(
                u32::try_from(item.work.tokens).unwrap_or(u32::MAX / 2),
            )),
            cancel: CancellationToken::new(),
        };
        if placement != item::Placement::Reserved {
            let urgent_before_ms = clock::unix_ms() + self.settings.urgent_ms;
            let pacer_stream = pacer::Stream {
                id: stream,
                tokens: prompt_tokens.saturating_add(item.work.tokens as u32),
                preempted: item.preempted,
                urgent: item.due_ms < urgent_before_ms,
            };
            let tokens = pacer_stream.tokens;
            self.pacer.started(&server.backend, pacer_stream, now_ms);
            self.context.shared.table.with(|state, now_ms| {
                state.router.batch_sent(&server.backend, tokens, now_ms);
            });
        }
        let attempt = item::Attempt {
            context: sync::Arc::clone(&self.context),
            stream,
            server,
            item,
            placement,
            cancel: running.cancel.clone(),
            tokens: sync::Arc::clone(&running.tokens),
        };
        self.running.insert(stream, running);
        self.tasks
            .spawn(async { Completion::Ended(Box::new(attempt.run().await)) });
    }

    /// Starts the trial that waits for its reserved backend server, once the server is
    /// empty or the maximum wait is over, or gives it up.
    pub(super) fn advance_trial(&mut self, now_ms: u64) {
        let Some(isolation) = &mut self.isolation else {
            return;
        };
        let Some(chunk) = isolation.waiting_chunk() else {
            return;
        };
        if !self.leases.holds(chunk) {
            self.isolation = None;
            return;
        }
        let backend = isolation.backend().clone();
        let streams = self
            .running
            .values()
            .filter(|run| run.backend == backend)
            .count();
        let server = isolation.server.clone();
        let decision = isolation.decide(streams as u32, now_ms);
        if decision == Decision::Wait {
            return;
        }
        let Some(item) = isolation.take_item() else {
            return;
        };
        if decision == Decision::GiveUp {
            self.isolation = None;
            return self.requeue(item, "no_empty_backend", now_ms + SUSPECT_RETRY_MS);
        }
        log_trial(&item, &backend, decision.into());
        self.start(item, server, item::Placement::Reserved, now_ms);
    }
}

/// Logs the backoff of a suspect item.
fn log_backoff(item: &Item, pause_ms: u64) {
    log::info!(
        job = item.work.chunk.job.as_str(),
        line = item.work.number,
        pause_ms = pause_ms;
        "batch item delayed after crashes of backend servers that ran it"
    );
}

/// Counts and logs the start of a trial.
fn log_trial(item: &Item, backend: &name::Name, placement: &str) {
    metrics::TRIALS.with_label_values(&[placement]).inc();
    log::info!(
        job = item.work.chunk.job.as_str(),
        line = item.work.number,
        backend = backend.as_str(),
        placement = placement;
        "trial of a batch item started after crashes of backend servers that ran it"
    );
}

fn server_of(announcement: &backend::Announcement) -> item::Server {
    item::Server {
        backend: announcement.id.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address.clone(),
    }
}
