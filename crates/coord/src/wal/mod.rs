//! The write-ahead log that all groups of a host share.
//!
//! The log is a series of segment files. Each step of the host appends one
//! frame with the records of all groups and syncs once. A frame is written only
//! after the previous frame was synced, so everything before a valid frame had
//! been synced: damage there is corruption, whereas damage after the last valid
//! frame may be a torn write.

mod frame;
mod replay;

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::{GroupId, ReplicaId, message, storage};

pub(crate) use replay::Replay;

const SEGMENT_PREFIX: &str = "wal-";

/// By how many segments the log may exceed its allowed size before entries of idle
/// groups are written again, so that the oldest segment can be removed.
const RELOCATION_SEGMENTS: u64 = 2;

/// A record of the write-ahead log, which belongs to one group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum Record {
    /// The current term and the vote in it.
    Vote { term: u64, vote: Option<ReplicaId> },
    /// An entry. If it differs from the present entry at its index, it replaces that
    /// one and all later entries.
    Entry(message::Entry),
    /// A snapshot with this index and term replaced the whole log of the group.
    Reset { index: u64, term: u64 },
}

#[derive(Debug)]
struct Segment {
    number: u64,
    size: u64,
    /// The highest index of each group in this segment, unless its live entries were
    /// written again in a later segment.
    last_indexes: BTreeMap<GroupId, u64>,
}

impl Segment {
    fn new(number: u64) -> Segment {
        Segment {
            number,
            size: 0,
            last_indexes: BTreeMap::new(),
        }
    }

    fn name(&self) -> String {
        format!("{SEGMENT_PREFIX}{:016x}", self.number)
    }

    fn record_index(&mut self, group: GroupId, index: u64) {
        let last = self.last_indexes.entry(group).or_default();
        *last = index.max(*last);
    }
}

/// The write-ahead log, open for appending.
#[derive(Debug)]
pub(crate) struct Wal {
    replica: ReplicaId,
    segment_bytes: u64,
    /// The sequence number of the next frame.
    sequence: u64,
    segments: VecDeque<Segment>,
    /// The frame that is being built or synced.
    frame: frame::Builder,
    /// The size of the frame in bytes while it is being synced.
    syncing: Option<u64>,
    /// The highest index of each group in the frame.
    frame_last_indexes: BTreeMap<GroupId, u64>,
    /// The groups whose live entries are all in the frame.
    relocated: Vec<GroupId>,
}

impl Wal {
    /// Opens the log and replays its records.
    pub fn open<D: storage::Disk>(
        disk: &mut D,
        replica: ReplicaId,
        segment_bytes: u64,
    ) -> Result<(Wal, BTreeMap<GroupId, Replay>), storage::Error> {
        let recovered = replay::run(disk, replica)?;
        let wal = Wal {
            replica,
            segment_bytes,
            sequence: recovered.sequence,
            segments: recovered.segments,
            frame: frame::Builder::new(replica),
            syncing: None,
            frame_last_indexes: BTreeMap::new(),
            relocated: Vec::new(),
        };
        Ok((wal, recovered.groups))
    }

    /// Adds a record to the frame.
    pub fn push(&mut self, group: GroupId, record: &Record) {
        if let Record::Entry(entry) = record {
            let last = self.frame_last_indexes.entry(group).or_default();
            *last = entry.index.max(*last);
        }
        self.frame.push(group, record);
    }

    /// Adds the records that replace the whole log of a group by a stored snapshot and
    /// the entries after it.
    pub fn push_reset(
        &mut self,
        group: GroupId,
        snapshot: &message::SnapshotMeta,
        tail: &[message::Entry],
    ) {
        let (index, term) = (snapshot.index, snapshot.term);
        self.push(group, &Record::Reset { index, term });
        for entry in tail {
            self.push(group, &Record::Entry(entry.clone()));
        }
    }

    /// Returns whether the frame holds records to be written.
    pub fn has_pending(&self) -> bool {
        !self.frame.is_empty()
    }

    /// Returns whether the next frame starts a new segment. It must then hold the
    /// vote of every group, because older segments will be removed.
    pub fn opens_segment(&self) -> bool {
        self.segments
            .back()
            .is_none_or(|segment| segment.size >= self.segment_bytes)
    }

    /// Writes the frame and waits until it is synced.
    pub fn commit<D: storage::Disk>(&mut self, disk: &mut D) -> Result<(), storage::Error> {
        if !self.start_commit(disk)? {
            disk.wait_sync()?;
        }
        self.finish_commit();
        Ok(())
    }

    /// Returns whether the frame is being synced. No record may be added meanwhile.
    pub fn is_syncing(&self) -> bool {
        self.syncing.is_some()
    }

    /// Writes the frame and starts its sync. Returns whether the sync has finished.
    pub fn start_commit<D: storage::Disk>(&mut self, disk: &mut D) -> Result<bool, storage::Error> {
        if self.opens_segment() {
            let number = self.segments.back().map_or(1, |last| last.number + 1);
            self.segments.push_back(Segment::new(number));
        }
        let bytes = self.frame.finish(self.sequence);
        self.syncing = Some(bytes.len() as u64);
        let last = self.segments.len() - 1;
        let name = self.segments[last].name();
        disk.append(&name, bytes)?;
        disk.start_sync(&name)
    }

    /// Records that the frame is synced and starts the next one. Returns the size of
    /// the synced frame in bytes.
    pub fn finish_commit(&mut self) -> u64 {
        let size = self.syncing.take().unwrap_or(0);
        let last = self.segments.len() - 1;
        self.sequence += 1;
        self.frame = frame::Builder::reuse(self.replica, std::mem::take(&mut self.frame));
        for group in self.relocated.drain(..) {
            for segment in &mut self.segments {
                segment.last_indexes.remove(&group);
            }
        }
        let segment = &mut self.segments[last];
        segment.size += size;
        for (group, index) in std::mem::take(&mut self.frame_last_indexes) {
            segment.record_index(group, index);
        }
        size
    }

    /// Removes the oldest segment if snapshots cover all its entries. Only one is
    /// removed per call, because deleting a large file takes a while.
    pub fn remove_covered<D: storage::Disk>(
        &mut self,
        disk: &mut D,
        snapshot_index: impl Fn(GroupId) -> u64,
    ) -> Result<(), storage::Error> {
        if self.segments.len() < 2 {
            return Ok(());
        }
        let oldest = &self.segments[0];
        let covered = oldest
            .last_indexes
            .iter()
            .all(|(group, index)| *index <= snapshot_index(*group));
        if covered {
            disk.remove(&oldest.name())?;
            self.segments.pop_front();
        }
        Ok(())
    }

    /// Returns the groups whose live entries keep the oldest segment from being
    /// removed, if the log exceeds the allowed size by more than
    /// [`RELOCATION_SEGMENTS`] segments.
    pub fn groups_to_relocate(
        &self,
        allowed_bytes: u64,
        snapshot_index: impl Fn(GroupId) -> u64,
    ) -> Vec<GroupId> {
        let size: u64 = self.segments.iter().map(|segment| segment.size).sum();
        let spare = RELOCATION_SEGMENTS * self.segment_bytes;
        if self.segments.len() < 2 || size <= allowed_bytes + spare {
            return Vec::new();
        }
        let oldest = self.segments[0].last_indexes.iter();
        oldest
            .filter(|(group, index)| **index > snapshot_index(**group))
            .map(|(group, _)| *group)
            .collect()
    }

    /// Records that the frame holds all live entries of a group.
    pub fn mark_relocated(&mut self, group: GroupId) {
        self.relocated.push(group);
    }
}
