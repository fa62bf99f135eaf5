//! The dispatcher's loop.

use std::{
    collections,
    sync::{self, atomic},
    time,
};

use bw_policy::{pacer, router};
use bw_wire::{backend, command::work, name, peer, refusal};
use tokio::{sync as async_sync, task, time as async_time};
use tokio_util::sync::CancellationToken;

use super::{
    Builder, book, isolate, item, metrics,
    queue::{self, Item},
    remote::{Answered, Remote},
};
use crate::{clock, context, filter, online, snapshot, upstream::Cause};

/// Interval at which online counts are looked at and items are started.
const TICK: time::Duration = time::Duration::from_millis(5);
/// Ticks between two updates of the pacer's facts and of the leases.
const SLOW_TICKS: u64 = 20;
/// Most chunks that one call leases.
const TAKE_CHUNKS: u32 = 8;
/// Items that are leased at least, so that a place never waits for a lease.
const MIN_ITEMS: usize = 64;
/// Pause before an item runs again that failed, at first and at most.
const RETRY_MS: (u64, u64) = (100, 5_000);
/// Pause before an item runs again that a backend server did not take.
const REFUSED_MS: u64 = 200;
/// Pause before a suspect looks for a place again.
const SUSPECT_MS: u64 = 500;
/// Failed attempts after which an item is given up even if each made progress.
const MAX_FAILURES: u32 = 20;
/// How long chunks without a backend server for them are held.
const UNSERVABLE_MS: u64 = 2_000;
/// Pause after chunks were given back for want of a backend server.
const UNSERVABLE_PAUSE_MS: u64 = 5_000;

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

    fn heard(&mut self, message: peer::Message) {
        let peer::Message::Online {
            entry,
            incarnation,
            sequence,
            backend,
            online,
        } = message
        else {
            return;
        };
        let now_ms = self.now_ms();
        let online = pacer::Online {
            entry,
            incarnation,
            sequence,
            backend,
            online,
        };
        let surplus = self.pacer.peer_online(&online, now_ms);
        self.preempt(&surplus);
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

    /// Passes own and other online counts on to the pacer.
    fn watch_online(&mut self, now_ms: u64) {
        if self.owned.is_empty() {
            return;
        }
        let online = self.context.shared.table.online();
        let mut surplus = Vec::new();
        for id in self.owned.keys() {
            let count = online.get(id).copied().unwrap_or(0);
            if self.online.get(id).copied().unwrap_or(0) != count {
                surplus.extend(self.pacer.own_online(id, count, now_ms));
            }
        }
        self.online = online;
        let owned = &self.owned;
        let (fleet_ms, fleet) = self.context.shared.table.with(|state, _| {
            let fleet: collections::BTreeMap<name::Name, u32> = owned
                .keys()
                .map(|id| (id.clone(), state.router.fleet_on(id).0))
                .collect();
            let any = owned.keys().next();
            (any.map_or(0, |id| state.router.fleet_on(id).1), fleet)
        });
        if fleet_ms != self.fleet_ms {
            self.fleet_ms = fleet_ms;
            surplus.extend(self.pacer.fleet_online(&fleet, now_ms));
        }
        self.preempt(&surplus);
    }

    /// Takes the owned backend servers and what is known of them.
    fn observe(&mut self, now_ms: u64) {
        let shared = &self.context.shared;
        let snapshot = shared.snapshot.load();
        let own = &shared.settings.name;
        let ids: collections::BTreeSet<name::Name> = snapshot
            .owners
            .iter()
            .filter(|(_, owner)| *owner == own)
            .map(|(id, _)| id.clone())
            .collect();
        let live = snapshot.peers.iter().map(|peer| peer.entry.clone());
        self.pacer.retain_peers(&live.collect(), now_ms);
        let mut facts = Vec::new();
        self.owned = shared.table.with(|state, now_ms| {
            let router = &mut state.router;
            router.home(&ids);
            let mut owned = collections::BTreeMap::new();
            for id in &ids {
                let Some(announcement) = router.announcement(id) else {
                    continue;
                };
                if announcement.kind == backend::Kind::Engine {
                    facts.push(facts_of(router, announcement, now_ms));
                    owned.insert(id.clone(), announcement.clone());
                }
            }
            owned
        });
        for facts in &facts {
            self.pacer.update(facts, now_ms);
        }
        let kept = self.owned.keys().cloned().collect();
        let orphans = self.pacer.retain(&kept);
        self.preempt(&orphans);
        let tokens: Vec<(name::Name, u64, u32)> = self
            .running
            .iter()
            .map(|(&stream, running)| {
                let generated = running.tokens.load(atomic::Ordering::Relaxed);
                let tokens = running.prompt_tokens + generated;
                (running.backend.clone(), stream, tokens)
            })
            .collect();
        for (backend, stream, tokens) in tokens {
            self.pacer.progressed(&backend, stream, tokens);
        }
        let surplus = self.pacer.surplus(now_ms);
        self.preempt(&surplus);
    }

    /// Cancels streams. Their items come back with their text.
    fn preempt(&mut self, streams: &[u64]) {
        for stream in streams {
            if let Some(running) = self.running.get(stream) {
                running.cancel.cancel();
            }
        }
    }

    /// Gives chunks back of which nothing runs, once the process drains.
    fn drain(&mut self) {
        if self.is_draining || !self.context.shared.drain.is_draining() {
            return;
        }
        self.is_draining = true;
        let mut idle = Vec::new();
        for &group in self.groups.keys() {
            let held = self.book.of_group(group);
            idle.extend(held.into_iter().filter(|chunk| self.is_idle(chunk)));
        }
        self.release(idle);
    }

    /// Returns whether nothing of a chunk runs or waits to be recorded.
    fn is_idle(&self, chunk: &work::ChunkRef) -> bool {
        let runs = self.running.values().any(|run| run.chunk == *chunk);
        !runs && !self.book.has_outcomes_of(chunk)
    }

    /// Renews and takes leases, and drops those that have run out.
    fn keep_leases(&mut self, now_ms: u64) {
        for chunk in self.book.expired(now_ms) {
            self.drop_chunk(&chunk, "expired");
        }
        let takes = self.wants_items(now_ms);
        for (&group, state) in &mut self.groups {
            let chunks = self.book.of_group(group);
            if !state.renewing && !chunks.is_empty() && state.next_renew_ms <= now_ms {
                state.renewing = true;
                state.next_renew_ms = now_ms + self.settings.renew_ms;
                let call = self.remote.clone().renew(group, chunks, now_ms);
                self.tasks.spawn(async { Done::Answered(call.await) });
            }
            if takes && !state.polling && state.next_poll_ms <= now_ms {
                state.polling = true;
                let call = self.remote.clone().backlog(group);
                self.tasks.spawn(async { Done::Answered(call.await) });
            }
        }
    }

    /// Returns whether more items should be leased.
    fn wants_items(&mut self, now_ms: u64) -> bool {
        self.missing_items(now_ms) > 0
    }

    /// Returns how many more items should be leased. Taking more than the
    /// places need would leave other entry VMs without work.
    fn missing_items(&mut self, now_ms: u64) -> usize {
        if self.is_draining || !self.context.shared.lease.is_valid(now_ms) {
            return 0;
        }
        let mut places = 0;
        for id in self.owned.keys() {
            places += self.pacer.target(id, now_ms) as usize;
        }
        // Twice the places: the next items are at hand when the first ones end.
        if places == 0 {
            return 0;
        }
        let wanted = (2 * places).max(MIN_ITEMS);
        wanted.saturating_sub(self.queue.len())
    }

    /// Gives chunks back for whose model this entry VM owns no backend server.
    fn give_back_unservable(&mut self, now_ms: u64) {
        let servers: Vec<backend::Announcement> = self.owned.values().cloned().collect();
        let mut chunks = self.queue.unservable(&servers);
        chunks.retain(|chunk| self.is_idle(chunk));
        if chunks.is_empty() {
            self.unservable_since_ms = None;
            return;
        }
        let since_ms = *self.unservable_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) < UNSERVABLE_MS {
            return;
        }
        self.unservable_since_ms = None;
        for group in self.groups.values_mut() {
            group.next_poll_ms = now_ms + UNSERVABLE_PAUSE_MS;
        }
        self.release(chunks);
    }

    /// Starts items where the pacer has room.
    fn fill(&mut self, now_ms: u64) {
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
                let place = place_of(announcement);
                let isolation = isolate::Isolation::new(&self.context, place, item, now_ms);
                self.isolation = Some(isolation);
            }
            Ok(router::Fit::Isolated) => {
                self.put_back(item, "isolated_run_in_progress", now_ms + SUSPECT_MS);
            }
            Err(refusal) if refusal.reason == refusal::Reason::PoisonousRequest => {
                self.conclude(&item, queue::failed(&refusal), "poisonous", now_ms);
            }
            Err(_) => self.put_back(item, "isolated_run_in_progress", now_ms + SUSPECT_MS),
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
    fn advance_isolation(&mut self, now_ms: u64) {
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

    fn record(&mut self, now_ms: u64) {
        let settings = &self.settings;
        let due = self
            .book
            .due(settings.record_ms, settings.record_items, now_ms);
        for (chunk, group, outcomes) in due {
            let call = self.remote.clone().record(group, chunk, outcomes);
            self.tasks.spawn(async { Done::Answered(call.await) });
        }
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
            Answered::Backlog { group, chunks } => self.polled(group, chunks, now_ms),
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

    fn polled(&mut self, group: u32, chunks: Option<u32>, now_ms: u64) {
        let missing = self.missing_items(now_ms);
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        let waiting = chunks.unwrap_or(0);
        if waiting == 0 || missing == 0 || self.is_taking {
            state.polling = false;
            let is_later = waiting > 0 && self.is_taking;
            let pause_ms = if is_later { 0 } else { self.settings.poll_ms };
            state.next_poll_ms = now_ms + pause_ms;
            return;
        }
        self.is_taking = true;
        let chunks = u32::try_from(missing.div_ceil(work::CHUNK_ITEMS)).unwrap_or(TAKE_CHUNKS);
        let want = waiting.min(chunks).min(TAKE_CHUNKS);
        let call = self.remote.clone().take(group, want, now_ms);
        self.tasks.spawn(async { Done::Answered(call.await) });
    }

    fn taken(&mut self, group: u32, sent_ms: u64, leases: Vec<work::Lease>, now_ms: u64) {
        self.is_taking = false;
        if let Some(state) = self.groups.get_mut(&group) {
            state.polling = false;
            if leases.is_empty() {
                state.next_poll_ms = now_ms + self.settings.poll_ms;
            }
        }
        let snapshot = self.context.shared.snapshot.load();
        for lease in leases {
            self.lease(&lease, group, sent_ms, &snapshot, now_ms);
        }
    }

    fn lease(
        &mut self,
        lease: &work::Lease,
        group: u32,
        sent_ms: u64,
        snapshot: &snapshot::Snapshot,
        now_ms: u64,
    ) {
        // A new lease of a chunk that is held replaces the old one.
        let held = self.book.of_group(group);
        for old in held
            .iter()
            .filter(|old| book::key(old) == book::key(&lease.chunk))
        {
            self.drop_chunk(old, "leased_again");
        }
        let until_ms = sent_ms + self.settings.lease_ms;
        self.book.insert(book::Chunk::new(lease, group, until_ms));
        for line in &lease.lines {
            match queue::read(lease, line, &snapshot.intent) {
                Ok(item) => self.queue.push(item),
                Err(result) => {
                    let outcome = work::Outcome {
                        number: line.number,
                        result,
                    };
                    metrics::ITEMS.with_label_values(&["invalid"]).inc();
                    self.book.outcome(&lease.chunk, outcome, now_ms);
                }
            }
        }
    }

    fn recorded(
        &mut self,
        chunk: work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        reply: Option<work::Reply>,
        now_ms: u64,
    ) {
        match reply {
            Some(work::Reply::Recorded { .. }) => {
                self.book.recorded(&chunk, &outcomes);
            }
            Some(work::Reply::RecordRefused(reason)) => {
                log::info!(job = chunk.job.as_str(), chunk = chunk.chunk; "outcomes refused: {reason:?}");
                self.drop_chunk(&chunk, "refused");
            }
            Some(other) => {
                log::error!(job = chunk.job.as_str(); "unexpected reply to outcomes: {other:?}");
                self.drop_chunk(&chunk, "refused");
            }
            None => self.book.not_recorded(&chunk, outcomes, now_ms),
        }
    }

    fn ended(&mut self, ended: item::Ended, now_ms: u64) {
        self.running.remove(&ended.stream);
        let item::Ended {
            stream,
            place,
            mut item,
            isolated,
            progressed,
            end,
        } = ended;
        self.pacer.stopped(&place.backend, stream, now_ms);
        if isolated {
            self.isolation = None;
        }
        if !self.book.holds(&item.work.chunk) {
            return;
        }
        match end {
            item::End::Done(end) => {
                let result = answer(&item, stream, &end);
                self.conclude(&item, result, "done", now_ms);
            }
            item::End::Cancelled => {
                item.preempted += 1;
                metrics::REQUEUED.with_label_values(&["preempted"]).inc();
                self.queue.push(item);
            }
            item::End::Failed(error) => self.failed(item, &error, progressed, now_ms),
        }
    }

    fn failed(
        &mut self,
        mut item: Item,
        error: &crate::upstream::Error,
        progressed: bool,
        now_ms: u64,
    ) {
        let work = &mut item.work;
        log::info!(
            job = work.chunk.job.as_str(),
            line = work.number,
            verdict = <&str>::from(error.verdict);
            "attempt of an item failed: {error}"
        );
        let cause: &str = error.cause.into();
        match error.cause {
            Cause::Rejected => {
                let result = rejected(error);
                return self.conclude(&item, result, "rejected", now_ms);
            }
            // The backend server is leaving or full: no attempt was made.
            Cause::Unreachable | Cause::Refused => {
                return self.put_back(item, cause, now_ms + REFUSED_MS);
            }
            // The text is not what was generated; the item starts over.
            Cause::Corrupt => {
                work.text.clear();
                work.tokens = 0;
            }
            _ => {}
        }
        work.attempts = if progressed { 1 } else { work.attempts + 1 };
        work.failures += 1;
        if work.attempts >= self.settings.max_attempts || work.failures >= MAX_FAILURES {
            let mut refusal = error.refusal();
            refusal.message = format!("{} attempts failed: {}", work.failures, refusal.message);
            return self.conclude(&item, queue::failed(&refusal), "given_up", now_ms);
        }
        let pause_ms = (RETRY_MS.0 << work.failures.min(10)).min(RETRY_MS.1);
        self.put_back(item, cause, now_ms + pause_ms);
    }

    /// Notes the outcome of an item.
    fn conclude(&mut self, item: &Item, result: work::Result, label: &str, now_ms: u64) {
        metrics::ITEMS.with_label_values(&[label]).inc();
        let outcome = work::Outcome {
            number: item.work.number,
            result,
        };
        self.book.outcome(&item.work.chunk, outcome, now_ms);
    }

    fn put_back(&mut self, item: Item, reason: &str, until_ms: u64) {
        metrics::REQUEUED.with_label_values(&[reason]).inc();
        self.queue.delay(item, until_ms);
    }

    /// Stops the work on a chunk whose lease is gone.
    fn drop_chunk(&mut self, chunk: &work::ChunkRef, reason: &str) {
        if self.book.remove(chunk).is_none() {
            return;
        }
        metrics::DROPPED.with_label_values(&[reason]).inc();
        self.queue.remove(chunk);
        for running in self.running.values().filter(|run| run.chunk == *chunk) {
            running.cancel.cancel();
        }
    }

    /// Gives leases back, so that others can take them at once.
    fn release(&mut self, chunks: Vec<work::ChunkRef>) {
        let mut groups: collections::BTreeMap<u32, Vec<work::ChunkRef>> =
            collections::BTreeMap::new();
        for chunk in chunks {
            self.queue.remove(&chunk);
            if let Some(held) = self.book.remove(&chunk) {
                groups.entry(held.group).or_default().push(chunk);
            }
        }
        for (group, chunks) in groups {
            metrics::DROPPED
                .with_label_values(&["released"])
                .inc_by(chunks.len() as u64);
            let call = self.remote.clone().release(group, chunks);
            self.tasks.spawn(async { Done::Answered(call.await) });
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

fn facts_of(
    router: &router::Router,
    announcement: &backend::Announcement,
    now_ms: u64,
) -> pacer::Facts {
    let id = &announcement.id;
    let heard_ms = router.heard_ms(id).unwrap_or(0);
    pacer::Facts {
        id: id.clone(),
        incarnation: announcement.incarnation,
        capacity: announcement.capacity,
        usable: router.is_usable(id, now_ms),
        load: announcement.load,
        load_age_ms: now_ms.saturating_sub(heard_ms),
    }
}

fn place_of(announcement: &backend::Announcement) -> item::Place {
    item::Place {
        backend: announcement.id.clone(),
        incarnation: announcement.incarnation,
        address: announcement.address.clone(),
    }
}

/// Returns the outcome of a complete answer.
fn answer(item: &Item, stream: u64, end: &crate::upstream::End) -> work::Result {
    let work = &item.work;
    let usage = end.usage.unwrap_or(crate::upstream::Usage {
        prompt_tokens: 0,
        completion_tokens: work.tokens,
        total_tokens: work.tokens,
    });
    let named = work.target.adapter.as_ref().unwrap_or(&work.target.model);
    let id = item::request_id(item, stream);
    let render = online::Render::new(work.api, &id, named, false);
    let body = render.whole(&work.text, &end.finish, usage);
    work::Result::Answer {
        status: 200,
        body: String::from_utf8_lossy(&body).into_owned(),
    }
}

/// Returns the outcome of an item that the backend server rejects.
fn rejected(error: &crate::upstream::Error) -> work::Result {
    match &error.rejection {
        Some(rejection) => work::Result::Answer {
            status: rejection.status,
            body: String::from_utf8_lossy(&rejection.body).into_owned(),
        },
        None => queue::failed(&error.refusal()),
    }
}
