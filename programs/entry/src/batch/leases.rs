//! The leased chunks and their outcomes that are not recorded yet.

use std::collections;

use bw_wire::{command::work, name};

/// Identifies a chunk by job and number, regardless of the lease's fencing number.
pub(super) type Key = (name::Name, u32);

pub(super) fn key(chunk: &work::ChunkRef) -> Key {
    (chunk.job.clone(), chunk.chunk)
}

/// A leased chunk.
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) reference: work::ChunkRef,
    pub(super) group: u32,
    /// When the lease expires, on the process clock.
    pub(super) expires_ms: u64,
    /// Numbers of the items without a recorded outcome.
    unrecorded: collections::BTreeSet<u32>,
    /// Outcomes that wait to be recorded.
    pending: Vec<work::Outcome>,
    /// When the first pending outcome was added, on the process clock.
    pending_since_ms: u64,
    /// Whether a call that records outcomes is in flight.
    recording: bool,
}

impl Chunk {
    pub(super) fn new(lease: &work::Lease, group: u32, expires_ms: u64) -> Chunk {
        Chunk {
            reference: lease.chunk.clone(),
            group,
            expires_ms,
            unrecorded: lease.lines.iter().map(|line| line.number).collect(),
            pending: Vec::new(),
            pending_since_ms: 0,
            recording: false,
        }
    }

    /// Returns whether the pending outcomes are all that is left of the chunk.
    fn is_complete(&self) -> bool {
        self.pending.len() >= self.unrecorded.len()
    }
}

/// The chunks that this entry VM has leased.
#[derive(Debug, Default)]
pub(super) struct Table {
    chunks: collections::BTreeMap<Key, Chunk>,
}

impl Table {
    pub(super) fn insert(&mut self, chunk: Chunk) {
        self.chunks.insert(key(&chunk.reference), chunk);
    }

    /// Returns whether a lease, with this fencing number, is still held.
    pub(super) fn holds(&self, chunk: &work::ChunkRef) -> bool {
        self.chunks
            .get(&key(chunk))
            .is_some_and(|held| held.reference == *chunk)
    }

    /// Removes a chunk. Returns `None` if this lease is not held.
    pub(super) fn remove(&mut self, chunk: &work::ChunkRef) -> Option<Chunk> {
        if !self.holds(chunk) {
            return None;
        }
        self.chunks.remove(&key(chunk))
    }

    /// Adds the outcome of an item. Returns false, and ignores the outcome, if the
    /// lease is no longer held.
    pub(super) fn add_outcome(
        &mut self,
        chunk: &work::ChunkRef,
        outcome: work::Outcome,
        now_ms: u64,
    ) -> bool {
        let held = self.chunks.get_mut(&key(chunk));
        let Some(held) = held.filter(|held| held.reference == *chunk) else {
            return false;
        };
        if held.pending.is_empty() {
            held.pending_since_ms = now_ms;
        }
        held.pending.push(outcome);
        true
    }

    /// Takes the outcomes to record now, with their chunk and its work group: those
    /// of chunks that are complete, or whose pending outcomes have reached the
    /// maximum age or number. At most one call per chunk is in flight.
    pub(super) fn take_due(
        &mut self,
        max_age_ms: u64,
        max_outcomes: usize,
        now_ms: u64,
    ) -> Vec<(work::ChunkRef, u32, Vec<work::Outcome>)> {
        let mut due = Vec::new();
        for held in self.chunks.values_mut() {
            if held.recording || held.pending.is_empty() {
                continue;
            }
            let age_ms = now_ms.saturating_sub(held.pending_since_ms);
            if age_ms >= max_age_ms || held.pending.len() >= max_outcomes || held.is_complete() {
                held.recording = true;
                let outcomes = std::mem::take(&mut held.pending);
                due.push((held.reference.clone(), held.group, outcomes));
            }
        }
        due
    }

    /// Marks outcomes as recorded. Returns whether that completes the chunk, which is
    /// then removed.
    pub(super) fn mark_recorded(
        &mut self,
        chunk: &work::ChunkRef,
        outcomes: &[work::Outcome],
    ) -> bool {
        let held = self.chunks.get_mut(&key(chunk));
        let Some(held) = held.filter(|held| held.reference == *chunk) else {
            return false;
        };
        held.recording = false;
        for outcome in outcomes {
            held.unrecorded.remove(&outcome.number);
        }
        let is_done = held.unrecorded.is_empty();
        if is_done {
            self.chunks.remove(&key(chunk));
        }
        is_done
    }

    /// Puts back outcomes after a call without an answer, so that they are recorded
    /// again. That is idempotent if they were stored.
    pub(super) fn restore_outcomes(
        &mut self,
        chunk: &work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        now_ms: u64,
    ) {
        let held = self.chunks.get_mut(&key(chunk));
        if let Some(held) = held.filter(|held| held.reference == *chunk) {
            held.recording = false;
            held.pending_since_ms = now_ms;
            held.pending.extend(outcomes);
        }
    }

    /// Extends leases. An earlier time than the current one has no effect.
    pub(super) fn extend(&mut self, chunks: &[work::ChunkRef], expires_ms: u64) {
        for chunk in chunks {
            if let Some(held) = self.chunks.get_mut(&key(chunk)) {
                held.expires_ms = held.expires_ms.max(expires_ms);
            }
        }
    }

    /// Returns the leased chunks of a work group.
    pub(super) fn of_group(&self, group: u32) -> Vec<work::ChunkRef> {
        self.filter(|chunk| chunk.group == group)
    }

    /// Returns the chunks whose lease has expired.
    pub(super) fn expired(&self, now_ms: u64) -> Vec<work::ChunkRef> {
        self.filter(|chunk| chunk.expires_ms <= now_ms)
    }

    /// Returns whether outcomes of a chunk are pending or being recorded.
    pub(super) fn has_outcomes_of(&self, chunk: &work::ChunkRef) -> bool {
        let held = self.chunks.get(&key(chunk));
        held.is_some_and(|held| held.recording || !held.pending.is_empty())
    }

    /// Returns whether any outcomes are pending or being recorded.
    pub(super) fn has_outcomes(&self) -> bool {
        self.chunks
            .values()
            .any(|chunk| chunk.recording || !chunk.pending.is_empty())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    fn filter(&self, matches: impl Fn(&Chunk) -> bool) -> Vec<work::ChunkRef> {
        self.chunks
            .values()
            .filter(|chunk| matches(chunk))
            .map(|chunk| chunk.reference.clone())
            .collect()
    }
}
