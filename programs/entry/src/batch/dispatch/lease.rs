//! Acquiring, renewing and releasing chunk leases.

use std::{collections, sync};

use bw_wire::{backend, command::work, intent, name, query};

use super::{Completion, Dispatcher, Remote, Response};
use crate::{
    batch::{leases, metrics, queue},
    context,
    filter::parse,
    snapshot,
};

/// Maximum number of chunks that one call leases.
const MAX_CHUNKS: u32 = 8;
/// Minimum number of items to keep queued, so that no stream waits for a lease.
const MIN_ITEMS: usize = 64;
/// How long chunks are held without a usable backend server for them, in milliseconds.
/// Shorter gaps, such as a late renewal, should not lose the generated text of their
/// items.
const MAX_UNSERVABLE_MS: u64 = 2_000;

impl Dispatcher {
    /// Releases the idle chunks once the process drains. No new items are leased or
    /// started from then on.
    pub(super) fn begin_drain(&mut self) {
        if self.is_draining || !self.context.shared.drain.is_draining() {
            return;
        }
        self.is_draining = true;
        let mut idle = Vec::new();
        for &group in self.groups.keys() {
            let held = self.leases.of_group(group);
            idle.extend(held.into_iter().filter(|chunk| self.is_idle(chunk)));
        }
        self.release(idle);
    }

    /// Returns whether no item of a chunk runs or waits for an isolated run, and no
    /// outcome of it is pending or being recorded.
    fn is_idle(&self, chunk: &work::ChunkRef) -> bool {
        let is_running = self.running.values().any(|run| run.chunk == *chunk);
        let isolation = self.isolation.as_ref();
        let is_waiting =
            isolation.is_some_and(|isolation| isolation.waiting_chunk() == Some(chunk));
        !is_running && !is_waiting && !self.leases.has_outcomes_of(chunk)
    }

    /// Renews leases, polls for chunks to lease and drops expired leases.
    pub(super) fn maintain_leases(&mut self, now_ms: u64) {
        for chunk in self.leases.expired(now_ms) {
            self.drop_chunk(&chunk, "expired");
        }
        let needs_items = self.wants_items(now_ms);
        for (&group, state) in &mut self.groups {
            let chunks = self.leases.of_group(group);
            if !state.renewing && !chunks.is_empty() && state.next_renew_ms <= now_ms {
                state.renewing = true;
                state.next_renew_ms = now_ms + self.settings.renew_ms;
                let call = self.remote.clone().renew(group, chunks, now_ms);
                self.tasks.spawn(async { Completion::Response(call.await) });
            }
            if needs_items && !state.polling && state.next_poll_ms <= now_ms {
                state.polling = true;
                let call = self.remote.clone().backlog(group);
                self.tasks.spawn(async { Completion::Response(call.await) });
            }
        }
    }

    /// Returns whether more items should be leased.
    fn wants_items(&mut self, now_ms: u64) -> bool {
        self.items_to_lease(now_ms) > 0
    }

    /// Returns how many more items should be leased. More than the streams need would
    /// leave other entry VMs without work.
    fn items_to_lease(&mut self, now_ms: u64) -> usize {
        if self.is_draining || !self.context.shared.lease.is_valid(now_ms) {
            return 0;
        }
        let mut streams = 0;
        for id in self.owned.keys() {
            streams += self.pacer.target(id, now_ms) as usize;
        }
        if streams == 0 {
            return 0;
        }
        // Twice the streams, so that the next items are queued when the first ones end.
        let wanted = (2 * streams).max(MIN_ITEMS);
        wanted.saturating_sub(self.queue.len())
    }

    /// Leases chunks from a work group if it has work that this entry VM can run.
    pub(super) fn handle_backlog(&mut self, group: u32, backlog: query::Backlog, now_ms: u64) {
        let wanted_items = self.items_to_lease(now_ms);
        let models = self.models_to_lease(&backlog);
        let Some(state) = self.groups.get_mut(&group) else {
            return;
        };
        // A lease with an empty list would return chunks of any model.
        let waiting = if models.is_empty() { 0 } else { backlog.chunks };
        if waiting == 0 || wanted_items == 0 || self.is_leasing {
            state.polling = false;
            let retries_now = waiting > 0 && self.is_leasing;
            let pause_ms = if retries_now {
                0
            } else {
                self.settings.poll_ms
            };
            state.next_poll_ms = now_ms + pause_ms;
            return;
        }
        self.is_leasing = true;
        let chunks = u32::try_from(wanted_items.div_ceil(work::CHUNK_ITEMS)).unwrap_or(MAX_CHUNKS);
        let want = waiting.min(chunks).min(MAX_CHUNKS);
        let remote = self.remote.clone();
        let call = remote.clone().take(group, want, models, now_ms);
        let context = sync::Arc::clone(&self.context);
        self.tasks.spawn(async move {
            let response = call.await;
            Completion::Response(release_undeclared(&context.shared, remote, response).await)
        });
    }

    /// Returns the model names in a backlog that an owned backend server can run now,
    /// and those that are not declared: items of the latter fail as soon as they are
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
            // The list is truncated and may lack models that the servers run.
            for loaded in servers.iter().flat_map(|server| &server.loaded) {
                names.insert(loaded.model.clone());
                names.extend(loaded.adapters.iter().cloned());
            }
        }
        names.into_iter().collect()
    }

    /// Adds newly leased chunks and queues their items.
    pub(super) fn handle_leases(
        &mut self,
        group: u32,
        sent_ms: u64,
        leases: Vec<work::Lease>,
        now_ms: u64,
    ) {
        self.is_leasing = false;
        if let Some(state) = self.groups.get_mut(&group) {
            state.polling = false;
            if leases.is_empty() {
                state.next_poll_ms = now_ms + self.settings.poll_ms;
            }
        }
        let snapshot = self.context.shared.snapshot.load();
        for lease in leases {
            self.add_lease(&lease, group, sent_ms, &snapshot, now_ms);
        }
    }

    fn add_lease(
        &mut self,
        lease: &work::Lease,
        group: u32,
        sent_ms: u64,
        snapshot: &snapshot::Snapshot,
        now_ms: u64,
    ) {
        // A new lease of a held chunk replaces the old one.
        let held = self.leases.of_group(group);
        for old in held
            .iter()
            .filter(|old| leases::key(old) == leases::key(&lease.chunk))
        {
            self.drop_chunk(old, "leased_again");
        }
        let expires_ms = sent_ms + self.settings.lease_ms;
        self.leases
            .insert(leases::Chunk::new(lease, group, expires_ms));
        for line in &lease.lines {
            match queue::read(lease, line, &snapshot.intent) {
                Ok(item) => self.queue.push(item),
                Err(result) => {
                    let outcome = work::Outcome {
                        number: line.number,
                        result,
                    };
                    metrics::ITEMS.with_label_values(&["invalid"]).inc();
                    self.leases.add_outcome(&lease.chunk, outcome, now_ms);
                }
            }
        }
    }

    /// Releases chunks for whose model this entry VM owns no usable backend server. A
    /// frozen one stays announced for a minute, during which another entry VM can run
    /// the items.
    pub(super) fn release_unservable(&mut self, now_ms: u64) {
        let servers = self.usable_servers();
        let mut chunks = self.queue.unservable(&servers);
        chunks.retain(|chunk| self.is_idle(chunk));
        if chunks.is_empty() {
            self.unservable_since_ms = None;
            return;
        }
        let since_ms = *self.unservable_since_ms.get_or_insert(now_ms);
        if now_ms.saturating_sub(since_ms) < MAX_UNSERVABLE_MS {
            return;
        }
        self.unservable_since_ms = None;
        self.release(chunks);
    }

    fn usable_servers(&self) -> Vec<backend::Announcement> {
        let servers = self.usable.iter().filter_map(|id| self.owned.get(id));
        servers.cloned().collect()
    }

    /// Cancels the work on a chunk whose lease is no longer held, and counts it under
    /// `reason`.
    pub(super) fn drop_chunk(&mut self, chunk: &work::ChunkRef, reason: &str) {
        if self.leases.remove(chunk).is_none() {
            return;
        }
        metrics::DROPPED.with_label_values(&[reason]).inc();
        self.queue.remove(chunk);
        for running in self.running.values().filter(|run| run.chunk == *chunk) {
            running.cancel.cancel();
        }
    }

    /// Releases leases, so that other entry VMs can take them at once.
    pub(super) fn release(&mut self, chunks: Vec<work::ChunkRef>) {
        let mut groups: collections::BTreeMap<u32, Vec<work::ChunkRef>> =
            collections::BTreeMap::new();
        for chunk in chunks {
            self.queue.remove(&chunk);
            if let Some(held) = self.leases.remove(&chunk) {
                groups.entry(held.group).or_default().push(chunk);
            }
        }
        for (group, chunks) in groups {
            metrics::DROPPED
                .with_label_values(&["released"])
                .inc_by(chunks.len() as u64);
            let call = self.remote.clone().release(group, chunks);
            self.tasks.spawn(async { Completion::Response(call.await) });
        }
    }
}

/// Waits for the latest configuration if leased chunks name a model that is not
/// declared here, because items of undeclared models fail permanently. Releases these
/// chunks if the configuration cannot be confirmed.
async fn release_undeclared(
    shared: &context::Shared,
    remote: Remote,
    response: Response,
) -> Response {
    let Response::Taken {
        group,
        sent_ms,
        leases,
    } = response
    else {
        return response;
    };
    let is_known = |lease: &work::Lease| {
        let intent = &shared.snapshot.load().intent;
        lease.lines.iter().all(|line| is_declared(line, intent))
    };
    let is_confirmed = leases.iter().all(is_known) || shared.confirmation.wait().await;
    let (kept, unconfirmed): (Vec<_>, Vec<_>) = leases
        .into_iter()
        .partition(|lease| is_confirmed || is_known(lease));
    if !unconfirmed.is_empty() {
        let chunks = unconfirmed.into_iter().map(|lease| lease.chunk).collect();
        remote.release(group, chunks).await;
    }
    Response::Taken {
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
