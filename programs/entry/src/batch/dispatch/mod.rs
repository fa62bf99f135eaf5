//! The event loop of the dispatcher.

mod lease;
mod outcome;
mod pacing;
mod start;

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
    Builder, isolate, item, leases, metrics, queue,
    remote::{Remote, Response},
};
use crate::context;

/// Interval at which online counts are read and items are started.
const TICK: time::Duration = time::Duration::from_millis(5);
/// Ticks between two updates of the pacer's snapshots and of the leases.
const SLOW_TICKS: u64 = 20;

/// The result of a task of the dispatcher.
enum Completion {
    Ended(Box<item::Ended>),
    Response(Response),
}

/// A running attempt.
struct Running {
    backend: name::Name,
    chunk: work::ChunkRef,
    is_suspect: bool,
    /// Estimated from the size of the request body.
    prompt_tokens: u32,
    /// Tokens generated so far, those of earlier attempts included.
    tokens: sync::Arc<atomic::AtomicU32>,
    cancel: CancellationToken,
}

/// The calls to a work group that are in flight, and when the next ones are due.
#[derive(Default)]
struct Group {
    polling: bool,
    renewing: bool,
    next_poll_ms: u64,
    next_renew_ms: u64,
}

/// Leases chunks and runs their items.
pub(super) struct Dispatcher {
    settings: Builder,
    context: sync::Arc<context::Context>,
    remote: Remote,
    pacer: pacer::Pacer,
    leases: leases::Table,
    queue: queue::Queue,
    /// The running attempts by the number of their stream.
    running: collections::BTreeMap<u64, Running>,
    /// The engines whose batch work belongs to this entry VM.
    owned: collections::BTreeMap<name::Name, backend::Announcement>,
    /// The owned backend servers that may be sent new work.
    usable: collections::BTreeSet<name::Name>,
    /// This entry VM's online requests per backend server, as last passed to the pacer.
    online: collections::BTreeMap<name::Name, u32>,
    /// When the online counts of the other entry VMs arrived that the pacer has.
    fleet_ms: u64,
    groups: collections::BTreeMap<u32, Group>,
    /// The trial on a reserved backend server, at most one at a time.
    isolation: Option<isolate::Isolation>,
    tasks: task::JoinSet<Completion>,
    /// Since when some held chunks have had no usable backend server.
    unservable_since_ms: Option<u64>,
    ticks: u64,
    /// Number of the latest stream.
    streams: u64,
    is_draining: bool,
    /// Whether a call that leases chunks is in flight. Only one group is asked at a
    /// time.
    is_leasing: bool,
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
            leases: leases::Table::default(),
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
            is_leasing: false,
            settings,
            context,
        }
    }

    /// Runs until `stop` resolves, then cancels what runs, records pending outcomes and
    /// releases the leases.
    pub(super) async fn run(mut self, mut stop: async_sync::oneshot::Receiver<()>) {
        let mut messages = self.context.shared.peer_messages.subscribe();
        let mut ticks = async_time::interval(TICK);
        ticks.set_missed_tick_behavior(async_time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = &mut stop => break,
                message = messages.recv() => {
                    // The next `sync` brings the counts of messages that were lost.
                    if let Ok(message) = message {
                        self.handle_peer_message(message);
                    }
                }
                Some(result) = self.tasks.join_next() => self.handle_completion(result),
                _ = ticks.tick() => self.tick(),
            }
        }
        self.shut_down().await;
    }

    fn now_ms(&self) -> u64 {
        self.context.shared.clock.now_ms()
    }

    fn tick(&mut self) {
        let now_ms = self.now_ms();
        self.ticks += 1;
        self.update_online(now_ms);
        if self.ticks % SLOW_TICKS == 1 {
            self.update_pacer(now_ms);
            self.begin_drain();
            self.maintain_leases(now_ms);
            self.release_unservable(now_ms);
            self.update_gauges();
        }
        self.queue.requeue_due(now_ms);
        self.advance_trial(now_ms);
        self.start_items(now_ms);
        self.record(now_ms);
    }

    fn handle_completion(&mut self, result: Result<Completion, task::JoinError>) {
        let now_ms = self.now_ms();
        match result {
            Ok(Completion::Ended(ended)) => self.handle_end(*ended, now_ms),
            Ok(Completion::Response(response)) => self.handle_response(response, now_ms),
            Err(error) => log::error!("task of the batch dispatcher failed: {error}"),
        }
    }

    fn handle_response(&mut self, response: Response, now_ms: u64) {
        match response {
            Response::Backlog { group, backlog } => {
                self.handle_backlog(group, backlog.unwrap_or_default(), now_ms);
            }
            Response::Taken {
                group,
                sent_ms,
                leases,
            } => self.handle_leases(group, sent_ms, leases, now_ms),
            Response::Renewed {
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
                self.leases
                    .extend(&chunks, sent_ms + self.settings.lease_ms);
                for chunk in lost {
                    self.drop_chunk(&chunk, "lost");
                }
            }
            Response::Recorded {
                chunk,
                outcomes,
                reply,
            } => self.handle_record_reply(chunk, outcomes, reply, now_ms),
            Response::Released => {}
        }
    }

    fn update_gauges(&self) {
        let entry = self.context.shared.settings.name.as_str();
        let gauge = |state: &str, items: usize| {
            metrics::STATE
                .with_label_values(&[entry, state])
                .set(i64::try_from(items).unwrap_or(i64::MAX));
        };
        gauge("queued", self.queue.len());
        gauge("running", self.running.len());
    }

    /// Cancels what runs, records pending outcomes and releases all leases. Leases that
    /// are left when the time limit is over expire.
    async fn shut_down(mut self) {
        self.is_draining = true;
        let limit = async_time::Instant::now() + self.settings.stop_limit;
        for running in self.running.values() {
            running.cancel.cancel();
        }
        while !self.running.is_empty() && self.join_until(limit).await {}
        self.settings.record_ms = 0;
        while self.leases.has_outcomes() {
            let now_ms = self.now_ms();
            self.record(now_ms);
            if !self.join_until(limit).await {
                break;
            }
        }
        let mut held = Vec::new();
        for &group in self.groups.keys() {
            held.extend(self.leases.of_group(group));
        }
        self.release(held);
        while !self.tasks.is_empty() && self.join_until(limit).await {}
        self.tasks.shutdown().await;
        if !self.leases.is_empty() {
            log::warn!("cannot release all chunk leases in time; the rest expire");
        }
    }

    /// Waits for the next task to complete and handles its result. Returns whether one
    /// completed before `limit`.
    async fn join_until(&mut self, limit: async_time::Instant) -> bool {
        match async_time::timeout_at(limit, self.tasks.join_next()).await {
            Ok(Some(result)) => {
                self.handle_completion(result);
                true
            }
            Ok(None) | Err(_) => false,
        }
    }
}
