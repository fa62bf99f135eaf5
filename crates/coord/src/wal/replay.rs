//! Recovery of the write-ahead log.

use std::collections::{BTreeMap, VecDeque};

use crate::{
    GroupId, ReplicaId, message,
    storage::{self, Error},
    wal::{
        Record, SEGMENT_PREFIX, Segment,
        frame::{self, Damage},
    },
};

/// The state of one group that the log holds.
#[derive(Debug, Default)]
pub(crate) struct Replay {
    pub term: u64,
    pub vote: Option<ReplicaId>,
    /// Entries by index. Those of removed segments are missing at the beginning.
    pub entries: BTreeMap<u64, message::Entry>,
}

/// The part of a group's log that follows its snapshot.
#[derive(Debug)]
pub(crate) struct Tail {
    pub entries: Vec<message::Entry>,
    /// Whether the log also holds entries that the snapshot has replaced, because the
    /// [`Record::Reset`] that drops them was not logged before a crash.
    pub reset_missing: bool,
}

impl Replay {
    /// Returns the state of a group that is restored from a backup.
    pub fn new(term: u64) -> Replay {
        Replay {
            term,
            ..Replay::default()
        }
    }

    /// Returns the record of the term and vote.
    pub fn vote_record(&self) -> Record {
        Record::Vote {
            term: self.term,
            vote: self.vote,
        }
    }

    fn add(&mut self, record: Record) {
        match record {
            Record::Vote { term, vote } => {
                self.term = term;
                self.vote = vote;
            }
            Record::Entry(entry) => self.add_entry(entry),
            Record::Reset { .. } => self.entries.clear(),
        }
    }

    fn add_entry(&mut self, entry: message::Entry) {
        let present = self.entries.get(&entry.index);
        if present.is_some_and(|present| present.term == entry.term) {
            return;
        }
        self.entries.split_off(&entry.index);
        self.entries.insert(entry.index, entry);
    }

    /// Returns the entries after a snapshot, or `None` if some are missing.
    ///
    /// A crash after a snapshot from another replica was stored and before its
    /// [`Record::Reset`] was logged leaves entries that the snapshot replaces. Terms
    /// never decrease along a log, so entries of an earlier term than the snapshot's do
    /// not follow it. All others are kept: this replica may have appended and
    /// acknowledged them after it was opened with the snapshot. One that it did not
    /// append then is uncommitted, and the leader replaces it.
    pub fn after(mut self, index: u64, term: u64) -> Option<Tail> {
        let replaced = |entry: &message::Entry| entry.term != term;
        let mut reset_missing = self.entries.get(&index).is_some_and(replaced);
        let mut later = self.entries.split_off(&(index + 1));
        let first_term = later.first_key_value().map(|(_, entry)| entry.term);
        if first_term.is_some_and(|first| first < term) {
            reset_missing = true;
            later.clear();
        }
        let contiguous = later
            .keys()
            .zip(index + 1..)
            .all(|(key, next)| *key == next);
        contiguous.then(|| Tail {
            entries: later.into_values().collect(),
            reset_missing,
        })
    }
}

pub(super) struct Recovered {
    pub segments: VecDeque<Segment>,
    pub groups: BTreeMap<GroupId, Replay>,
    pub sequence: u64,
}

/// Reads all segments and removes a torn frame at the end of the last one.
pub(super) fn run<D: storage::Disk>(disk: &mut D, replica: ReplicaId) -> Result<Recovered, Error> {
    let mut recovered = Recovered {
        segments: VecDeque::new(),
        groups: BTreeMap::new(),
        sequence: 0,
    };
    let files: Vec<storage::File> = disk
        .list()?
        .into_iter()
        .filter(|file| file.name.starts_with(SEGMENT_PREFIX))
        .collect();
    for (position, file) in files.iter().enumerate() {
        let data = disk.read(&file.name, 0, usize::MAX)?;
        let number = u64::from_str_radix(&file.name[SEGMENT_PREFIX.len()..], 16)
            .map_err(|_| Error::corrupt(&file.name, 0, "malformed segment name"))?;
        let valid = recovered.read_segment(number, &file.name, &data, replica)?;
        if valid < data.len() {
            let last = position + 1 == files.len();
            check_torn(&file.name, &data, valid, last)?;
            truncate(disk, &file.name, &data[..valid])?;
        }
    }
    recovered.segments.retain(|segment| segment.size > 0);
    if let Some(last) = recovered.segments.back() {
        // The process that wrote the last frame may have died before it synced it.
        disk.sync(&last.name())?;
    }
    Ok(recovered)
}

impl Recovered {
    /// Reads a segment up to its end or the first damage and returns that offset.
    fn read_segment(
        &mut self,
        number: u64,
        name: &str,
        data: &[u8],
        replica: ReplicaId,
    ) -> Result<usize, Error> {
        let mut segment = Segment::new(number);
        let mut offset = 0;
        while offset < data.len() {
            let Ok(frame) = frame::at(data, offset) else {
                break;
            };
            if self.sequence != 0 && frame.sequence != self.sequence {
                return Err(Error::corrupt(name, offset as u64, "a frame is missing"));
            }
            self.sequence = frame.sequence + 1;
            self.read_records(frame.payload, &mut segment, replica)
                .map_err(|error| error.unwrap_or_else(|| malformed(name, offset)))?;
            offset = frame.end;
        }
        segment.size = offset as u64;
        self.segments.push_back(segment);
        Ok(offset)
    }

    /// Reads the records of a frame. The error is `None` if they are malformed.
    fn read_records(
        &mut self,
        payload: &[u8],
        segment: &mut Segment,
        replica: ReplicaId,
    ) -> Result<(), Option<Error>> {
        let (stored, mut rest) =
            postcard::take_from_bytes::<ReplicaId>(payload).map_err(|_| None)?;
        if stored != replica {
            return Err(Some(Error::ForeignReplica {
                stored,
                expected: replica,
            }));
        }
        while !rest.is_empty() {
            let ((group, record), after) =
                postcard::take_from_bytes::<(GroupId, Record)>(rest).map_err(|_| None)?;
            if let Record::Entry(entry) = &record {
                segment.record_index(group, entry.index);
            }
            self.groups.entry(group).or_default().add(record);
            rest = after;
        }
        Ok(())
    }
}

fn malformed(name: &str, offset: usize) -> Error {
    Error::corrupt(name, offset as u64, "malformed record")
}

/// Returns an error unless the damage at an offset is a torn write.
fn check_torn(name: &str, data: &[u8], offset: usize, last: bool) -> Result<(), Error> {
    let torn = frame::at(data, offset).is_err_and(|damage| damage == Damage::Torn);
    if last && torn && !frame::valid_frame_follows(data, offset) {
        log::warn!("{name}: dropped a torn frame at byte {offset}");
        return Ok(());
    }
    Err(Error::corrupt(name, offset as u64, "wrong checksum"))
}

/// Replaces a segment with its valid part, or removes it if nothing is valid.
fn truncate<D: storage::Disk>(disk: &mut D, name: &str, valid: &[u8]) -> Result<(), Error> {
    if valid.is_empty() {
        return disk.remove(name);
    }
    let temporary = format!("{name}{}", storage::TEMPORARY_SUFFIX);
    disk.remove(&temporary)?;
    disk.append(&temporary, valid)?;
    disk.sync(&temporary)?;
    disk.rename(&temporary, name)
}
