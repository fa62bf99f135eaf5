//! The entries of one group in memory.

use std::collections::VecDeque;

use crate::message::{Entry, SnapshotMeta};

/// The entries after a base entry, and the metadata of the latest snapshot. The
/// base precedes the snapshot if entries are retained for slow replicas.
#[derive(Debug)]
pub(crate) struct Log {
    base_index: u64,
    base_term: u64,
    entries: VecDeque<Entry>,
    snapshot: SnapshotMeta,
    /// Size of the entries after the snapshot, in bytes.
    live_bytes: u64,
    /// Size of the entries after `commit`, in bytes.
    pending_bytes: u64,
    commit: u64,
}

impl Log {
    /// Builds a log from a snapshot and the entries after it.
    pub fn new(snapshot: SnapshotMeta, entries: Vec<Entry>) -> Log {
        let bytes = entries.iter().map(Entry::size).sum();
        Log {
            base_index: snapshot.index,
            base_term: snapshot.term,
            commit: snapshot.index,
            entries: entries.into(),
            snapshot,
            live_bytes: bytes,
            pending_bytes: bytes,
        }
    }

    pub fn snapshot(&self) -> &SnapshotMeta {
        &self.snapshot
    }

    pub fn live_bytes(&self) -> u64 {
        self.live_bytes
    }

    pub fn pending_bytes(&self) -> u64 {
        self.pending_bytes
    }

    pub fn commit(&self) -> u64 {
        self.commit
    }

    pub fn last_index(&self) -> u64 {
        self.base_index + self.entries.len() as u64
    }

    pub fn last_term(&self) -> u64 {
        self.entries
            .back()
            .map_or(self.base_term, |entry| entry.term)
    }

    /// Returns the term of the entry at an index, or `None` if it is neither in memory
    /// nor the base.
    pub fn term_at(&self, index: u64) -> Option<u64> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        self.get(index).map(|entry| entry.term)
    }

    pub fn get(&self, index: u64) -> Option<&Entry> {
        let position = index.checked_sub(self.base_index + 1)?;
        self.entries.get(usize::try_from(position).ok()?)
    }

    /// Returns the first index in memory of the consecutive entries that end at an
    /// index and have the same term.
    pub fn term_start(&self, mut index: u64) -> u64 {
        let term = self.term_at(index);
        while index > self.base_index + 1 && self.term_at(index - 1) == term {
            index -= 1;
        }
        index
    }

    /// Returns the entries from an index on up to a total size, but at least one if
    /// there is any.
    pub fn slice(&self, from: u64, max_bytes: u64) -> Vec<Entry> {
        let mut bytes = 0;
        let mut entries = Vec::new();
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index += 1;
        }
        entries
    }

    /// Returns the entries that no snapshot covers.
    pub fn live(&self) -> impl Iterator<Item = &Entry> {
        let skip = self.snapshot.index.saturating_sub(self.base_index);
        self.entries.iter().skip(skip as usize)
    }

    pub fn push(&mut self, entry: Entry) {
        self.live_bytes += entry.size();
        self.pending_bytes += entry.size();
        self.entries.push_back(entry);
    }

    /// Removes the uncommitted entries from an index on.
    pub fn truncate(&mut self, from: u64) {
        while self.last_index() >= from && self.last_index() > self.commit {
            if let Some(entry) = self.entries.pop_back() {
                self.live_bytes -= entry.size();
                self.pending_bytes -= entry.size();
            }
        }
    }

    /// Advances the commit index, but not past the end of the log. It never moves
    /// backwards.
    pub fn advance_commit(&mut self, commit: u64) {
        while self.commit < commit.min(self.last_index()) {
            self.commit += 1;
            let size = self.get(self.commit).map_or(0, Entry::size);
            self.pending_bytes -= size;
        }
    }

    /// Records a new snapshot of this replica and drops the entries that it covers,
    /// except for the last ones up to a total size.
    pub fn compact(&mut self, snapshot: SnapshotMeta, retained_bytes: u64) {
        let covered = snapshot.index - self.base_index;
        let mut keep_from = covered as usize;
        let mut retained = 0;
        while keep_from > 0 {
            retained += self.entries[keep_from - 1].size();
            if retained > retained_bytes {
                break;
            }
            keep_from -= 1;
        }
        for entry in self.entries.drain(..keep_from) {
            self.base_index = entry.index;
            self.base_term = entry.term;
        }
        self.snapshot = snapshot;
        self.live_bytes = self.live().map(Entry::size).sum();
    }

    /// Replaces the whole log with a snapshot from another replica.
    pub fn reset(&mut self, snapshot: SnapshotMeta) {
        *self = Log::new(snapshot, Vec::new());
    }
}
