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

use super::{Dispatcher, Done, Running};
use crate::{
    batch::{isolate, item, metrics, queue::Item},
    clock,
    reservation::Reservation,
};

/// Pause before a suspect looks for a place again, in milliseconds.
const SUSPECT_MS: u64 = 500;

impl Dispatcher {
    /// Starts items where the pacer has room.
    pub(super) fn fill(&mut self, now_ms: u64) {
        self.pacer.set_backlog(self.queue.ready(), now_ms);
        let is_open = !self.is_draining && self.context.shared.lease.is_valid(now_ms);
        if !is_open || self.queue.ready() == 0 {
            return;
        }
        let urgent_before_ms = clock::unix_ms() + self.settings.urgent_ms;
        for room in self.pacer.grants(now_ms) {
            let Some(announcement) = self.owned.get(&room.id).cloned() else {
                continue;
            };
            for _ in 0..room.streams {
                let Some(item) = self.queue.pop(&announcement, urgent_before_ms) else {
                    break;
                };
                self.place(item, &announcement, now_ms);
            }
        }
    }

    /// Starts an item on a backend server, unless the rules for suspects say
    /// otherwise.
    fn place(&mut self, item: Item, announcement: &backend::Announcement, now_ms: u64) {
        let fingerprint = item.work.fingerprint;
        let shared = &self.context.shared;
        let plan = shared.with_suspects(|suspects, now_ms| suspects.plan(fingerprint, now_ms));
        match plan {
            Plan::Normal => self.start(item, place_of(announcement), item::Run::Normal, now_ms),
            Plan::Dispersed { trial: false } => {
                self.disperse(item, announcement, item::Run::Normal, now_ms);
            }
            Plan::Dispersed { trial: true } => {
                self.disperse(item, announcement, item::Run::Dispersed, now_ms);
            }
            Plan::Isolated => self.isolate(item, announcement, now_ms),
            Plan::Wait { until_ms, reason } => {
                if reason == suspect::item::Reason::CrashPause {
                    log_pause(&item, until_ms.saturating_sub(now_ms));
                }
                self.put_back(item, reason.into(), until_ms);
            }
        }
    }

    /// Starts an item unless another suspect runs on the backend server.
    fn disperse(
        &mut self,
        item: Item,
        announcement: &backend::Announcement,
        run: item::Run,
        now_ms: u64,
    ) {
        let id = &announcement.id;
        let table = &self.context.shared.table;
        let online = table.with(|state, _| state.router.suspects_on(id));
        let mut running = self.running.values();
        let is_shared = running.any(|run| run.is_suspect && run.backend == *id);
        if is_shared || online > 0 {
            return self.put_back(item, "suspect_beside_suspect", now_ms + SUSPECT_MS);
        }
        if run.is_trial() {
            let fingerprint = item.work.fingerprint;
            self.context
                .shared
                .with_suspects(|suspects, _| suspects.begin_trial(fingerprint));
            log_trial(&item, id, "dispersed");
        }
        self.start(item, place_of(announcement), run, now_ms);
    }

    /// Reserves a backend server for an item, which starts once it is empty.
    /// The only one of a model is not reserved.
    fn isolate(&mut self, item: Item, announcement: &backend::Announcement, now_ms: u64) {
        if self.isolation.is_some() {
            return self.put_back(item, "isolated_run_in_progress", now_ms + SUSPECT_MS);
        }
        let backend = announcement.id.clone();
        let table = &self.context.shared.table;
        match table.with(|state, now_ms| state.router.check_reservation(&backend, now_ms)) {
            router::Reservation::Allowed => {
                log::info!(
                    job = item.work.chunk.job.as_str(),
                    line = item.work.number,
                    backend = backend.as_str();
                    "backend server reserved for an item under which others crashed"
                );
                let fingerprint = item.work.fingerprint;
                let reservation = Reservation::for_trial(&self.context, backend, fingerprint);
                let place = place_of(announcement);
                let isolation =
                    isolate::Isolation::new(&self.context, reservation, place, item, now_ms);
                self.isolation = Some(isolation);
            }
            router::Reservation::LimitReached => {
                self.put_back(item, "isolated_run_in_progress", now_ms + SUSPECT_MS);
            }
            router::Reservation::LastReplica => {
                self.disperse(item, announcement, item::Run::Dispersed, now_ms);
            }
        }
    }

    fn start(&mut self, item: Item, place: item::Place, run: item::Run, now_ms: u64) {
        self.streams += 1;
        let stream = self.streams;
        let suspects =
            |suspects: &mut suspect::Suspects, _| suspects.get(item.work.fingerprint).is_some();
        // A byte of prompt is about a quarter of a token.
        let prompt_tokens = u32::try_from(item.work.body.len() / 4).unwrap_or(u32::MAX / 2);
        let running = Running {
            backend: place.backend.clone(),
            chunk: item.work.chunk.clone(),
            is_suspect: self.context.shared.with_suspects(suspects),
            prompt_tokens,
            tokens: sync::Arc::new(atomic::AtomicU32::new(
                u32::try_from(item.work.tokens).unwrap_or(u32::MAX / 2),
            )),
            cancel: CancellationToken::new(),
        };
        if run != item::Run::Reserved {
            let urgent_before_ms = clock::unix_ms() + self.settings.urgent_ms;
            let paced = pacer::Stream {
                id: stream,
                tokens: prompt_tokens.saturating_add(item.work.tokens as u32),
                preempted: item.preempted,
                urgent: item.due_ms < urgent_before_ms,
            };
            let tokens = paced.tokens;
            self.pacer.started(&place.backend, paced, now_ms);
            self.context.shared.table.with(|state, now_ms| {
                state.router.batch_sent(&place.backend, tokens, now_ms);
            });
        }
        let attempt = item::Attempt {
            context: sync::Arc::clone(&self.context),
            stream,
            place,
            item,
            run,
            cancel: running.cancel.clone(),
            tokens: sync::Arc::clone(&running.tokens),
        };
        self.running.insert(stream, running);
        self.tasks
            .spawn(async { Done::Ended(Box::new(attempt.run().await)) });
    }

    /// Starts the isolated run when its backend server is empty, or when it has
    /// waited long enough for that.
    pub(super) fn advance_isolation(&mut self, now_ms: u64) {
        let Some(isolation) = &mut self.isolation else {
            return;
        };
        let Some(chunk) = isolation.waiting() else {
            return;
        };
        if !self.book.holds(chunk) {
            self.isolation = None;
            return;
        }
        let backend = isolation.backend().clone();
        let streams = self
            .running
            .values()
            .filter(|run| run.backend == backend)
            .count();
        let place = isolation.place.clone();
        let step = isolation.step(streams as u32, now_ms);
        if step == Decision::Wait {
            return;
        }
        let Some(item) = isolation.take() else {
            return;
        };
        if step == Decision::GiveUp {
            self.isolation = None;
            return self.put_back(item, "no_empty_backend", now_ms + SUSPECT_MS);
        }
        log_trial(&item, &backend, step.into());
        self.start(item, place, item::Run::Reserved, now_ms);
    }
}

/// Notes that an item pauses.
fn log_pause(item: &Item, pause_ms: u64) {
    log::info!(
        job = item.work.chunk.job.as_str(),
        line = item.work.number,
        pause_ms = pause_ms;
        "item under which backend servers crashed pauses"
    );
}

/// Notes that the trial of an item begins.
fn log_trial(item: &Item, backend: &name::Name, placement: &str) {
    metrics::TRIALS.with_label_values(&[placement]).inc();
    log::info!(
        job = item.work.chunk.job.as_str(),
        line = item.work.number,
        backend = backend.as_str(),
        placement = placement;
        "trial of an item under which backend servers crashed"
    );
}

fn place_of(announcement: &backend::Announcement) -> item::Place {
    item::Place {
        backend: announcement.id.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address.clone(),
    }
}
