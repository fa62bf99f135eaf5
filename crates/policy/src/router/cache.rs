//! Bounded index of the replicas that likely have prompt-prefix blocks cached.

use std::{collections, mem};

use bw_wire::fingerprint;

/// Maximum number of replicas kept per block. More would not be compared anyway.
const MAX_HOLDERS: usize = 4;

/// Confidence in a cached block if events were lost since it was reported. With it,
/// such a prefix on a replica at half load is worth less than an idle replica.
const STALE_CONFIDENCE: f32 = 0.25;

/// An incarnation of a replica, with the number of gaps seen in its cache events.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct Holder {
    pub(super) slot: u32,
    pub(super) epoch: u16,
    pub(super) gap: u8,
}

impl Holder {
    fn is_same_replica(self, other: Holder) -> bool {
        self.slot == other.slot && self.epoch == other.epoch
    }
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    holder: Holder,
    at_ms: u64,
}

type Entries = [Option<Entry>; MAX_HOLDERS];

/// Two generations of blocks, which approximate LRU eviction without an ordered
/// list: a full young generation replaces the old one, and blocks that are inserted
/// again move to the young one.
#[derive(Debug)]
pub(super) struct Cache {
    limit: usize,
    young: collections::HashMap<fingerprint::Fingerprint, Entries>,
    old: collections::HashMap<fingerprint::Fingerprint, Entries>,
}

impl Cache {
    pub(super) fn new(limit: usize) -> Cache {
        Cache {
            limit,
            young: collections::HashMap::new(),
            old: collections::HashMap::new(),
        }
    }

    pub(super) fn insert(&mut self, block: fingerprint::Fingerprint, holder: Holder, now_ms: u64) {
        if self.young.len() >= self.limit && !self.young.contains_key(&block) {
            self.old = mem::take(&mut self.young);
        }
        let moved = self.old.remove(&block);
        let entries = self
            .young
            .entry(block)
            .or_insert_with(|| moved.unwrap_or([None; MAX_HOLDERS]));
        let index = entries
            .iter()
            .position(|entry| entry.is_some_and(|entry| entry.holder.is_same_replica(holder)))
            .or_else(|| entries.iter().position(Option::is_none))
            .unwrap_or_else(|| oldest(entries));
        entries[index] = Some(Entry {
            holder,
            at_ms: now_ms,
        });
    }

    pub(super) fn remove(&mut self, block: fingerprint::Fingerprint, holder: Holder) {
        for map in [&mut self.young, &mut self.old] {
            let Some(entries) = map.get_mut(&block) else {
                continue;
            };
            for entry in entries.iter_mut() {
                if entry.is_some_and(|entry| entry.holder.is_same_replica(holder)) {
                    *entry = None;
                }
            }
        }
    }

    /// Returns the slots of the replicas that hold the last known block of a prefix.
    pub(super) fn holders(&self, prefix: &[fingerprint::Fingerprint]) -> Vec<u32> {
        let known = prefix.partition_point(|block| self.entries(block).is_some());
        let Some(last) = known.checked_sub(1) else {
            return Vec::new();
        };
        self.entries(&prefix[last])
            .into_iter()
            .flatten()
            .flatten()
            .map(|entry| entry.holder.slot)
            .collect()
    }

    /// Returns how many leading blocks of a prefix the holder likely has.
    ///
    /// Engines add and remove blocks along a prefix, so that the cached blocks are a
    /// leading part of it and binary search finds its end.
    pub(super) fn match_length(
        &self,
        prefix: &[fingerprint::Fingerprint],
        holder: Holder,
    ) -> usize {
        prefix.partition_point(|block| self.entry(block, holder).is_some())
    }

    /// Returns the confidence from 0 to 1 that the holder has a block: 1 unless
    /// events were lost since the block was reported.
    pub(super) fn confidence(&self, block: &fingerprint::Fingerprint, holder: Holder) -> f32 {
        match self.entry(block, holder) {
            Some(entry) if entry.holder.gap == holder.gap => 1.0,
            Some(_) => STALE_CONFIDENCE,
            None => 0.0,
        }
    }

    fn entries(&self, block: &fingerprint::Fingerprint) -> Option<&Entries> {
        self.young.get(block).or_else(|| self.old.get(block))
    }

    fn entry(&self, block: &fingerprint::Fingerprint, holder: Holder) -> Option<Entry> {
        self.entries(block)?
            .iter()
            .flatten()
            .find(|entry| entry.holder.is_same_replica(holder))
            .copied()
    }
}

fn oldest(entries: &Entries) -> usize {
    entries
        .iter()
        .enumerate()
        .min_by_key(|(_, entry)| entry.map_or(0, |entry| entry.at_ms))
        .map_or(0, |(index, _)| index)
}
