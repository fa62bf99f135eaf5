//! Taking, keeping and giving back chunk leases.

use std::{collections, sync};

use bw_wire::{backend, command::work, intent, name, query};

use super::{Answered, Dispatcher, Done, Remote};
use crate::{
    batch::{book, metrics, queue},
    context,
    filter::parse,
    snapshot,
};

/// Most chunks that one call leases.
const TAKE_CHUNKS: u32 = 8;
/// Items that are leased at least, so that a place never waits for a lease.
const MIN_ITEMS: usize = 64;
/// How long chunks without a usable backend server for them are held. Shorter
/// pauses, such as a late renewal, should not cost the text of their items.
const UNSERVABLE_MS: u64 = 2_000;

impl Dispatcher {
    /// Gives chunks back of which nothing runs, once the process drains.
    pub(super) fn drain(&mut self) {
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

    /// Returns whether nothing of a chunk runs, waits for an isolated run or
    /// waits to be recorded.
    fn is_idle(&self, chunk: &work::ChunkRef) -> bool {
        let runs = self.running.values().any(|run| run.chunk == *chunk);
        let isolated = self.isolation.as_ref();
        let waits = isolated.is_some_and(|isolation| isolation.waiting() == Some(chunk));
        !runs && !waits && !self.book.has_outcomes_of(chunk)
    }

    /// Renews and takes leases, and drops those that have run out.
    pub(super) fn keep_leases(&mut self, now_ms: u64) {
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

    pub(super) fn polled(&mut self, group: u32, backlog: query::Backlog, now_ms: u64) {
        let missing = self.missing_items(now_ms);
        let models = self.models_to_lease(&backlog);
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        // An empty list would lease chunks of any model.
        let waiting = if models.is_empty() { 0 } else { backlog.chunks };
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
        let remote = self.remote.clone();
        let call = remote.clone().take(group, want, models, now_ms);
        let context = sync::Arc::clone(&self.context);
        self.tasks.spawn(async move {
            let taken = call.await;
            Done::Answered(confirm(&context.shared, remote, taken).await)
        });
    }

    /// Returns the names in a backlog that an owned backend server can run now,
    /// and those that are not declared: their items fail as soon as they are
    /// leased, and would otherwise keep their job open.
    fn models_to_lease(&self, backlog: &query::Backlog) -> Vec<name::Name> {
        let snapshot = self.context.shared.snapshot.load();
        let servers = self.usable_servers();
        let mut names = collections::BTreeSet::new();
        for named in &backlog.models {
            let is_leased = match parse::target(&snapshot.intent, named) {
                Ok(target) => servers.iter().any(|server| queue::serves(server, &target)),
                Err(_) => true,
            };
            if is_leased {
                names.insert(named.clone());
            }
        }
        if backlog.models.len() >= query::BACKLOG_MODELS {
            // The list is cut off; what the servers run may be missing in it.
            for loaded in servers.iter().flat_map(|server| &server.loaded) {
                names.insert(loaded.model.clone());
                names.extend(loaded.adapters.iter().cloned());
            }
        }
        names.into_iter().collect()
    }

    pub(super) fn taken(
        &mut self,
        group: u32,
        sent_ms: u64,
        leases: Vec<work::Lease>,
        now_ms: u64,
    ) {
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

    /// Gives chunks back for whose model this entry VM owns no usable backend
    /// server. A frozen one stays announced for a minute, during which another
    /// entry VM can run the items.
    pub(super) fn give_back_unservable(&mut self, now_ms: u64) {
        let servers = self.usable_servers();
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
        self.release(chunks);
    }

    fn usable_servers(&self) -> Vec<backend::Announcement> {
        let servers = self.usable.iter().filter_map(|id| self.owned.get(id));
        servers.cloned().collect()
    }

    /// Stops the work on a chunk whose lease is gone.
    pub(super) fn drop_chunk(&mut self, chunk: &work::ChunkRef, reason: &str) {
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
    pub(super) fn release(&mut self, chunks: Vec<work::ChunkRef>) {
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
}

/// Waits for the newest configuration if leased chunks name a model that is not
/// declared here, because such items fail for good. Without it those chunks are
/// given back.
async fn confirm(shared: &context::Shared, remote: Remote, answered: Answered) -> Answered {
    let Answered::Taken {
        group,
        sent_ms,
        leases,
    } = answered
    else {
        return answered;
    };
    let is_known = |lease: &work::Lease| {
        let intent = &shared.snapshot.load().intent;
        lease.lines.iter().all(|line| is_declared(line, intent))
    };
    let is_final = leases.iter().all(is_known) || shared.confirmation.wait().await;
    let (kept, unclear): (Vec<_>, Vec<_>) = leases
        .into_iter()
        .partition(|lease| is_final || is_known(lease));
    if !unclear.is_empty() {
        let chunks = unclear.into_iter().map(|lease| lease.chunk).collect();
        remote.release(group, chunks).await;
    }
    Answered::Taken {
        group,
        sent_ms,
        leases: kept,
    }
}

/// Returns whether the model of a line is declared, if it names one.
fn is_declared(line: &work::Line, intent: &intent::Intent) -> bool {
    match &line.content {
        work::Content::Request { model, .. } => {
            model.is_empty() || parse::target(intent, model).is_ok()
        }
        work::Content::Bad { .. } => true,
    }
}
