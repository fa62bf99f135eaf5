//! The dispatcher's loop.

mod lease;
mod observe;
mod outcome;
mod place;

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use bw_policy::pacer;
use bw_wire::{backend, command::work, name};
use tokio::{sync as async_sync, task, time as async_time};
use tokio_util::sync::CancellationToken;

use super::{
    Builder, book, isolate, item, metrics, queue,
    remote::{Answered, Remote},
};
use crate::context;

/// Interval at which online counts are looked at and items are started.
const TICK: time::Duration = time::Duration::from_millis(5);
/// Ticks between two updates of the pacer's facts and of the leases.
const SLOW_TICKS: u64 = 20;

/// A finished task of the dispatcher.
enum Done {
    Ended(Box<item::Ended>),
    Answered(Answered),
}

/// A running attempt.
struct Running {
    backend: name::Name,
    chunk: work::ChunkRef,
    is_suspect: bool,
    prompt_tokens: u32,
    tokens: sync::Arc<atomic::AtomicU32>,
    cancel: CancellationToken,
}

/// What is under way with a work group.
#[derive(Default)]
struct Group {
    polling: bool,
    renewing: bool,
    next_poll_ms: u64,
    next_renew_ms: u64,
}

/// The state of the dispatcher.
pub(super) struct Dispatcher {
    settings: Builder,
    context: sync::Arc<context::Context>,
    remote: Remote,
    pacer: pacer::Pacer,
    book: book::Book,
    queue: queue::Queue,
    running: collections::BTreeMap<u64, Running>,
    owned: collections::BTreeMap<name::Name, backend::Announcement>,
    /// The owned backend servers that may get new work.
    usable: collections::BTreeSet<name::Name>,
    online: collections::BTreeMap<name::Name, u32>,
    fleet_ms: u64,
    groups: collections::BTreeMap<u32, Group>,
    isolation: Option<isolate::Isolation>,
    tasks: task::JoinSet<Done>,
    unservable_since_ms: Option<u64>,
    ticks: u64,
    streams: u64,
    is_draining: bool,
    /// Whether chunks are being leased; the groups take turns.
    is_taking: bool,
}

impl Dispatcher {
    pub(super) fn new(settings: Builder, context: sync::Arc<context::Context>) -> Dispatcher {
        let groups = 1..=context.shared.settings.groups;
        Dispatcher {
            remote: Remote {
                client: context.control.clone(),
                holder: context.shared.holder().into(),
                lease_ms: settings.lease_ms,
            },
            pacer: settings.pacer.clone().build(),
            book: book::Book::default(),
            queue: queue::Queue::default(),
            running: collections::BTreeMap::new(),
            owned: collections::BTreeMap::new(),
            usable: collections::BTreeSet::new(),
            online: collections::BTreeMap::new(),
            fleet_ms: 0,
            groups: groups.map(|group| (group, Group::default())).collect(),
            isolation: None,
            tasks: task::JoinSet::new(),
            unservable_since_ms: None,
            ticks: 0,
            streams: 0,
            is_draining: false,
            is_taking: false,
            settings,
            context,
        }
    }

    /// Runs until `stop` resolves, then cancels what runs, records what is done
    /// and gives the leases back.
    pub(super) async fn run(mut self, mut stop: async_sync::oneshot::Receiver<()>) {
        let mut messages = self.context.shared.peer_messages.subscribe();
        let mut ticks = async_time::interval(TICK);
        ticks.set_missed_tick_behavior(async_time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                message = messages.recv() => {
                    // Lost messages are made up for by the next `sync`.
                    if let Ok(message) = message {
                        self.heard(message);
                    }
                }
                Some(done) = self.tasks.join_next() => self.done(done),
                _ = ticks.tick() => self.tick(),
            }
        }
        self.stop().await;
    }

    fn now_ms(&self) -> u64 {
        self.context.shared.clock.now_ms()
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.ticks += 1;
        self.watch_online(now_ms);
        if self.ticks % SLOW_TICKS == 1 {
            self.observe(now_ms);
            self.drain();
            self.keep_leases(now_ms);
            self.give_back_unservable(now_ms);
            self.report();
        }
        self.queue.wake(now_ms);
        self.advance_isolation(now_ms);
        self.fill(now_ms);
        self.record(now_ms);
    }

    fn done(&mut self, done: Result<Done, task::JoinError>) {
        let now_ms = self.now_ms();
        match done {
            Ok(Done::Ended(ended)) => self.ended(*ended, now_ms),
            Ok(Done::Answered(answered)) => self.answered(answered, now_ms),
            Err(error) => log::error!("task of the batch dispatcher failed: {error}"),
        }
    }

    fn answered(&mut self, answered: Answered, now_ms: u64) {
        match answered {
            Answered::Backlog { group, backlog } => {
                self.polled(group, backlog.unwrap_or_default(), now_ms);
            }
            Answered::Taken {
                group,
                sent_ms,
                leases,
            } => self.taken(group, sent_ms, leases, now_ms),
            Answered::Renewed {
                group,
                sent_ms,
                chunks,
                lost,
            } => {
                if let Some(state) = self.groups.get_mut(&group) {
                    state.renewing = false;
                }
                let Some(lost) = lost else {
                    return;
                };
                self.book.extend(&chunks, sent_ms + self.settings.lease_ms);
                for chunk in lost {
                    self.drop_chunk(&chunk, "lost");
                }
            }
            Answered::Recorded {
                chunk,
                outcomes,
                reply,
            } => self.recorded(chunk, outcomes, reply, now_ms),
            Answered::Released => {}
        }
    }

    fn report(&self) {
        let entry = self.context.shared.settings.name.as_str();
        let gauge = |state: &str, items: usize| {
            metrics::STATE
                .with_label_values(&[entry, state])
                .set(i64::try_from(items).unwrap_or(i64::MAX));
        };
        gauge("queued", self.queue.len());
        gauge("running", self.running.len());
    }

    async fn stop(mut self) {
        self.is_draining = true;
        let limit = async_time::Instant::now() + self.settings.stop_limit;
        for running in self.running.values() {
            running.cancel.cancel();
        }
        while !self.running.is_empty() && self.join_until(limit).await {}
        self.settings.record_ms = 0;
        while self.book.has_outcomes() {
            let now_ms = self.now_ms();
            self.record(now_ms);
            if !self.join_until(limit).await {
                break;
            }
        }
        let mut held = Vec::new();
        for &group in self.groups.keys() {
            held.extend(self.book.of_group(group));
        }
        self.release(held);
        while !self.tasks.is_empty() && self.join_until(limit).await {}
        self.tasks.shutdown().await;
        if !self.book.is_empty() {
            log::warn!("some chunk leases were not given back; they expire");
        }
    }

    /// Waits for the next task. Returns whether there was one in time.
    async fn join_until(&mut self, limit: async_time::Instant) -> bool {
        match async_time::timeout_at(limit, self.tasks.join_next()).await {
            Ok(Some(done)) => {
                self.done(done);
                true
            }
            Ok(None) | Err(_) => false,
        }
    }
}
