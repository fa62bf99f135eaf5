//! Which replicas likely hold which blocks of prompt prefixes, in bounded memory.

use std::{collections, mem};

use bw_wire::fingerprint;

/// Replicas remembered for one block. More would not be compared anyway.
const HOLDERS: usize = 4;

/// How far a match is believed if events were lost since. At half the load of a
/// replica, a doubtful prefix is then worth less than an idle replica.
const DOUBTFUL: f32 = 0.25;

/// A replica at one incarnation, with the number of gaps seen in its events.
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

type Entries = [Option<Entry>; HOLDERS];

/// Two generations of blocks: a full young generation replaces the old one, and
/// blocks that are used move to the young one. Blocks out of use are so
/// forgotten without a list in order of use.
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
            .or_insert_with(|| moved.unwrap_or([None; HOLDERS]));
        let place = entries
            .iter()
            .position(|entry| entry.is_some_and(|entry| entry.holder.is_same_replica(holder)))
            .or_else(|| entries.iter().position(Option::is_none))
            .unwrap_or_else(|| oldest(entries));
        entries[place] = Some(Entry {
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

    /// Returns the holders of the longest leading part of a prefix.
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

    /// Returns how many leading blocks the holder likely has.
    ///
    /// Blocks of an engine are added and removed along a prefix, so that the
    /// held ones are a leading part and binary search finds its end.
    pub(super) fn match_length(
        &self,
        prefix: &[fingerprint::Fingerprint],
        holder: Holder,
    ) -> usize {
        prefix.partition_point(|block| self.entry(block, holder).is_some())
    }

    /// Returns how far the match is to be believed: 1, or less if events were
    /// lost since the last matching block was seen.
    pub(super) fn confidence(&self, block: &fingerprint::Fingerprint, holder: Holder) -> f32 {
        match self.entry(block, holder) {
            Some(entry) if entry.holder.gap == holder.gap => 1.0,
            Some(_) => DOUBTFUL,
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
        .map_or(0, |(place, _)| place)
}
