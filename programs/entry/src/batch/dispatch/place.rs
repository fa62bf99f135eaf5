//! Starting items on backend servers.

use std::sync::{self, atomic};

use bw_policy::{pacer, router};
use bw_wire::{backend, refusal};
use tokio_util::sync::CancellationToken;

use super::{Dispatcher, Done, Running};
use crate::{
    batch::{
        isolate, item,
        queue::{self, Item},
    },
    clock, filter,
    reservation::Reservation,
};

/// Pause before a suspect looks for a place again.
const SUSPECT_MS: u64 = 500;

impl Dispatcher {
    /// Starts items where the pacer has room.
    pub(super) fn fill(&mut self, now_ms: u64) {
        self.pacer.backlog(self.queue.ready(), now_ms);
        let is_open = !self.is_draining && self.context.shared.lease.is_valid(now_ms);
        if !is_open || self.queue.ready() == 0 {
            return;
        }
        let urgent_before_ms = clock::unix_ms() + self.settings.urgent_ms;
        for room in self.pacer.room(now_ms) {
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
        match filter::suspect::check(&self.context.shared, fingerprint) {
            Ok(router::Fit::Any) => self.start(item, place_of(announcement), false, now_ms),
            Ok(router::Fit::Dispersed) => {
                let id = &announcement.id;
                let is_shared = self
                    .running
                    .values()
                    .any(|run| run.is_suspect && run.backend == *id);
                if is_shared {
                    self.put_back(item, "suspect_beside_suspect", now_ms + SUSPECT_MS);
                } else {
                    self.start(item, place_of(announcement), false, now_ms);
                }
            }
            Ok(router::Fit::Isolated) if self.isolation.is_none() => {
                self.isolate(item, place_of(announcement), now_ms);
            }
            Ok(router::Fit::Isolated) => {
                self.put_back(item, "isolated_run_in_progress", now_ms + SUSPECT_MS);
            }
            Err(refusal) => self.refused(item, &refusal, now_ms),
        }
    }

    /// Reserves a backend server for an item, which starts once it is empty.
    fn isolate(&mut self, item: Item, place: item::Place, now_ms: u64) {
        let backend = place.backend.clone();
        match Reservation::new(&self.context, backend, item.work.fingerprint) {
            Ok(reservation) => {
                let isolation =
                    isolate::Isolation::new(&self.context, reservation, place, item, now_ms);
                self.isolation = Some(isolation);
            }
            Err(refusal) => self.refused(item, &refusal, now_ms),
        }
    }

    /// Gives a poisonous item up. Others wait for the isolated run of the same
    /// request, or for a free place for their own.
    fn refused(&mut self, item: Item, refusal: &refusal::Refusal, now_ms: u64) {
        if refusal.reason == refusal::Reason::PoisonousRequest {
            self.conclude(&item, queue::failed(refusal), "poisonous", now_ms);
        } else {
            self.put_back(item, "isolated_run_in_progress", now_ms + SUSPECT_MS);
        }
    }

    fn start(&mut self, item: Item, place: item::Place, isolated: bool, now_ms: u64) {
        self.streams += 1;
        let stream = self.streams;
        let suspects = |suspects: &mut bw_policy::suspect::Suspects, _| {
            suspects.get(item.work.fingerprint).is_some()
        };
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
        if !isolated {
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
            isolated,
            cancel: running.cancel.clone(),
            tokens: sync::Arc::clone(&running.tokens),
        };
        self.running.insert(stream, running);
        self.tasks
            .spawn(async { Done::Ended(Box::new(attempt.run().await)) });
    }

    /// Starts the isolated run when its backend server is empty.
    pub(super) fn advance_isolation(&mut self, now_ms: u64) {
        let Some(isolation) = &mut self.isolation else {
            return;
        };
        let backend = isolation.backend().clone();
        let streams = self
            .running
            .values()
            .filter(|run| run.backend == backend)
            .count();
        let place = isolation.place.clone();
        if let Some(item) = isolation.ready(streams as u32, now_ms) {
            self.start(item, place, true, now_ms);
        } else if let Some(item) = isolation.overdue(now_ms) {
            self.isolation = None;
            self.put_back(item, "no_empty_backend", now_ms + 10 * SUSPECT_MS);
        }
    }
}

fn place_of(announcement: &backend::Announcement) -> item::Place {
    item::Place {
        backend: announcement.id.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address.clone(),
    }
}
