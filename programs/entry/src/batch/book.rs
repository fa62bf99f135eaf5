//! The leased chunks and the outcomes that wait to be recorded.

use std::collections;

use bw_wire::{command::work, name};

/// Names a chunk without its fencing number.
pub(super) type Key = (name::Name, u32);

/// Returns the key of a chunk.
pub(super) fn key(chunk: &work::ChunkRef) -> Key {
    (chunk.job.clone(), chunk.chunk)
}

/// A leased chunk.
#[derive(Debug)]
pub(super) struct Chunk {
    pub(super) reference: work::ChunkRef,
    pub(super) group: u32,
    /// When the lease ends, on the process clock.
    pub(super) until_ms: u64,
    /// Items without a recorded outcome.
    open: collections::BTreeSet<u32>,
    pending: Vec<work::Outcome>,
    pending_since_ms: u64,
    recording: bool,
}

impl Chunk {
    pub(super) fn new(lease: &work::Lease, group: u32, until_ms: u64) -> Chunk {
        Chunk {
            reference: lease.chunk.clone(),
            group,
            until_ms,
            open: lease.lines.iter().map(|line| line.number).collect(),
            pending: Vec::new(),
            pending_since_ms: 0,
            recording: false,
        }
    }

    /// Returns whether all outcomes of the chunk are at hand.
    fn is_complete(&self) -> bool {
        self.pending.len() >= self.open.len()
    }
}

/// All leased chunks.
#[derive(Debug, Default)]
pub(super) struct Book {
    chunks: collections::BTreeMap<Key, Chunk>,
}

impl Book {
    pub(super) fn insert(&mut self, chunk: Chunk) {
        self.chunks.insert(key(&chunk.reference), chunk);
    }

    /// Returns whether a lease is still held.
    pub(super) fn holds(&self, chunk: &work::ChunkRef) -> bool {
        self.chunks
            .get(&key(chunk))
            .is_some_and(|held| held.reference == *chunk)
    }

    pub(super) fn remove(&mut self, chunk: &work::ChunkRef) -> Option<Chunk> {
        if !self.holds(chunk) {
            return None;
        }
        self.chunks.remove(&key(chunk))
    }

    /// Adds the outcome of an item of a held chunk. Returns whether it is held.
    pub(super) fn outcome(
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

    /// Takes the outcomes that are to be recorded now. At most one record of a
    /// chunk is under way.
    pub(super) fn due(
        &mut self,
        wait_ms: u64,
        items: usize,
        now_ms: u64,
    ) -> Vec<(work::ChunkRef, u32, Vec<work::Outcome>)> {
        let mut due = Vec::new();
        for held in self.chunks.values_mut() {
            if held.recording || held.pending.is_empty() {
                continue;
            }
            let age_ms = now_ms.saturating_sub(held.pending_since_ms);
            if age_ms >= wait_ms || held.pending.len() >= items || held.is_complete() {
                held.recording = true;
                let outcomes = std::mem::take(&mut held.pending);
                due.push((held.reference.clone(), held.group, outcomes));
            }
        }
        due
    }

    /// Notes that outcomes are stored. Returns whether the chunk is done.
    pub(super) fn recorded(&mut self, chunk: &work::ChunkRef, outcomes: &[work::Outcome]) -> bool {
        let held = self.chunks.get_mut(&key(chunk));
        let Some(held) = held.filter(|held| held.reference == *chunk) else {
            return false;
        };
        held.recording = false;
        for outcome in outcomes {
            held.open.remove(&outcome.number);
        }
        let is_done = held.open.is_empty();
        if is_done {
            self.chunks.remove(&key(chunk));
        }
        is_done
    }

    /// Puts outcomes back whose record was not answered. Recording them again
    /// changes nothing if they are stored already.
    pub(super) fn not_recorded(
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

    /// Extends leases.
    pub(super) fn extend(&mut self, chunks: &[work::ChunkRef], until_ms: u64) {
        for chunk in chunks {
            if let Some(held) = self.chunks.get_mut(&key(chunk)) {
                held.until_ms = held.until_ms.max(until_ms);
            }
        }
    }

    /// Returns the leases of a group.
    pub(super) fn of_group(&self, group: u32) -> Vec<work::ChunkRef> {
        self.select(|chunk| chunk.group == group)
    }

    /// Returns the leases that have run out.
    pub(super) fn expired(&self, now_ms: u64) -> Vec<work::ChunkRef> {
        self.select(|chunk| chunk.until_ms <= now_ms)
    }

    /// Returns whether outcomes of a chunk wait or are being recorded.
    pub(super) fn has_outcomes_of(&self, chunk: &work::ChunkRef) -> bool {
        let held = self.chunks.get(&key(chunk));
        held.is_some_and(|held| held.recording || !held.pending.is_empty())
    }

    /// Returns whether outcomes wait or are being recorded.
    pub(super) fn has_outcomes(&self) -> bool {
        self.chunks
            .values()
            .any(|chunk| chunk.recording || !chunk.pending.is_empty())
    }

    pub(super) fn is_empty(&self) -> bool {
        self.chunks.is_empty()
    }

    fn select(&self, selects: impl Fn(&Chunk) -> bool) -> Vec<work::ChunkRef> {
        self.chunks
            .values()
            .filter(|chunk| selects(chunk))
            .map(|chunk| chunk.reference.clone())
            .collect()
    }
}
