//! The payloads of one group, stored in segment files.

use std::{
    collections::{BTreeMap, BTreeSet},
    ops,
};

use crate::{
    GroupId,
    payload::{
        Key,
        list::{self, Item, Location},
    },
    storage::{Disk, Error},
};

const PREFIX: &str = "payload-";

/// Upper limit of the size at which a new segment is started, and of the size of a
/// payload, so that offsets fit into 32 bits.
const MAX_SEGMENT_BYTES: u32 = 1 << 30;
/// Payload bytes after which one step of the compaction stops copying.
const COMPACTION_STEP_BYTES: u64 = 1 << 20;
/// Maximum number of index entries that one step of the compaction visits.
const COMPACTION_STEP_KEYS: usize = 4_096;
/// Maximum number of dead segments that one step removes. Each removal syncs the
/// directory.
const REMOVALS_PER_STEP: usize = 4;

/// The payloads of one group: segment files and an in-memory index.
///
/// Writes are not synced until a snapshot refers to them: after a crash, replaying
/// the log writes the payloads again that no snapshot lists. After an error of any
/// method the store, like the disk, must not be used any more.
#[derive(Debug)]
pub struct Store {
    group: GroupId,
    index: BTreeMap<Key, Location>,
    segments: BTreeMap<u32, Segment>,
    /// The segment that new payloads are appended to.
    active: Option<u32>,
    next_segment: u32,
    segment_bytes: u32,
    /// Segments that the durable snapshot refers to.
    durable: BTreeSet<u32>,
    /// Segments that the snapshot in progress refers to.
    pending: BTreeSet<u32>,
    compaction: Option<Compaction>,
}

#[derive(Debug, Default)]
pub(super) struct Segment {
    size: u32,
    live_bytes: u64,
    /// Number of live payloads.
    live: u64,
    synced: bool,
}

/// The state of a compaction, which visits the index in the order of the keys.
#[derive(Debug)]
struct Compaction {
    /// The segments whose live payloads are copied to other segments.
    sources: BTreeSet<u32>,
    /// The last key that was visited.
    last_key: Option<Key>,
}

impl Store {
    /// Builds an empty store for a group. It starts a new segment once the active one
    /// has reached `segment_bytes`. Files of an earlier store are not removed.
    pub fn new(group: GroupId, segment_bytes: u32) -> Store {
        Store {
            group,
            index: BTreeMap::new(),
            segments: BTreeMap::new(),
            active: None,
            next_segment: 0,
            segment_bytes: segment_bytes.min(MAX_SEGMENT_BYTES),
            durable: BTreeSet::new(),
            pending: BTreeSet::new(),
            compaction: None,
        }
    }

    /// Opens the store with the payloads of a list that [`Store::start_snapshot`]
    /// returned, and removes the segments that the list does not refer to.
    ///
    /// Checksums are verified when contents are read, because reading all of them here
    /// would delay the start.
    ///
    /// # Errors
    ///
    /// Fails if the list is malformed, a segment is missing or too short, or
    /// the disk fails.
    pub fn open<D: Disk>(
        group: GroupId,
        segment_bytes: u32,
        list: &[u8],
        disk: &mut D,
    ) -> Result<Store, Error> {
        let mut store = Store::new(group, segment_bytes);
        let name = format!("payload list of group {group}");
        let items = list::decode(list).ok_or_else(|| Error::corrupt(&name, 0, "malformed list"))?;
        for item in items {
            store.add_existing(item);
        }
        let mut sizes = store.segment_sizes(disk)?;
        if let Some(last) = sizes.keys().next_back() {
            store.next_segment = store.next_segment.max(last + 1);
        }
        for (number, segment) in &store.segments {
            let present = sizes.remove(number).unwrap_or(0);
            if present < u64::from(segment.size) {
                let name = store.segment_name(*number);
                return Err(Error::corrupt(&name, present, "the segment is too short"));
            }
        }
        for number in sizes.into_keys() {
            disk.remove(&store.segment_name(number))?;
        }
        store.durable = store.segments.keys().copied().collect();
        Ok(store)
    }

    /// Returns the group whose payloads are stored.
    pub fn group(&self) -> GroupId {
        self.group
    }

    /// Returns the number of live payloads.
    pub fn count(&self) -> usize {
        self.index.len()
    }

    /// Returns the size of the live payloads in bytes.
    pub fn live_bytes(&self) -> u64 {
        let segments = self.segments.values();
        segments.map(|segment| segment.live_bytes).sum()
    }

    /// Returns the size of all segments in bytes.
    pub fn disk_bytes(&self) -> u64 {
        let segments = self.segments.values();
        segments.map(|segment| u64::from(segment.size)).sum()
    }

    /// Stores a payload without syncing it. Storing the same content again has no
    /// effect.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or the key is present with another content.
    ///
    /// # Panics
    ///
    /// Panics if the content is larger than 1 GiB.
    pub fn put<D: Disk>(&mut self, disk: &mut D, key: Key, content: &[u8]) -> Result<(), Error> {
        let crc = crc32fast::hash(content);
        assert!(
            content.len() <= MAX_SEGMENT_BYTES as usize,
            "payloads have at most 1 GiB"
        );
        let length = content.len() as u32;
        match self.index.get(&key) {
            Some(location) if location.length == length && location.crc == crc => return Ok(()),
            Some(location) => {
                let name = self.segment_name(location.segment);
                let offset = u64::from(location.offset);
                return Err(Error::corrupt(&name, offset, "the key has another content"));
            }
            None => {}
        }
        let location = self.append(disk, content, crc)?;
        self.index.insert(key, location);
        Ok(())
    }

    /// Returns the content of a payload, or `None` if the key is absent.
    ///
    /// # Errors
    ///
    /// Fails if the content cannot be read or has a wrong checksum.
    pub fn get<D: Disk>(&self, disk: &mut D, key: Key) -> Result<Option<Vec<u8>>, Error> {
        let location = self.index.get(&key);
        location
            .map(|location| self.read(disk, location))
            .transpose()
    }

    /// Removes a payload. Removing an absent one has no effect.
    pub fn remove(&mut self, key: Key) {
        if let Some(location) = self.index.remove(&key) {
            self.release(&location);
        }
    }

    /// Starts a snapshot: returns the encoded list of live payloads and keeps their
    /// segments at least until [`Store::finish_snapshot`].
    pub fn start_snapshot(&mut self) -> Vec<u8> {
        // Later payloads are appended to another segment, so that those of the list
        // do not change any more and need one sync each.
        self.active = None;
        let live = self.segments.iter().filter(|(_, segment)| segment.live > 0);
        self.pending = live.map(|(number, _)| *number).collect();
        let items = self.index.iter().map(|(key, location)| Item {
            key: *key,
            location: *location,
        });
        list::encode(items)
    }

    /// Syncs one segment of the snapshot in progress, if one is unsynced. Returns true
    /// once there is none.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails.
    pub fn sync<D: Disk>(&mut self, disk: &mut D) -> Result<bool, Error> {
        let unsynced = |number: &&u32| {
            let segment = self.segments.get(number);
            segment.is_some_and(|segment| !segment.synced)
        };
        let Some(number) = self.pending.iter().find(unsynced).copied() else {
            return Ok(true);
        };
        self.sync_segment(disk, number)?;
        Ok(false)
    }

    /// Records that the snapshot that [`Store::start_snapshot`] started is durable, so
    /// that segments which only the previous one refers to can be removed.
    pub fn finish_snapshot(&mut self) {
        self.durable = std::mem::take(&mut self.pending);
    }

    /// Does a bounded amount of background work: removes dead segments and compacts
    /// segments of which less than half is live.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or a payload to be copied is corrupt.
    pub fn maintain<D: Disk>(&mut self, disk: &mut D) -> Result<(), Error> {
        self.remove_dead_segments(disk)?;
        let Some(mut compaction) = self.compaction.take().or_else(|| self.start_compaction())
        else {
            return Ok(());
        };
        if !self.advance_compaction(disk, &mut compaction)? {
            self.compaction = Some(compaction);
        }
        Ok(())
    }

    /// Returns the payload at a location. It may have been removed, as long as a
    /// snapshot still refers to its segment.
    pub(crate) fn read<D: Disk>(
        &self,
        disk: &mut D,
        location: &Location,
    ) -> Result<Vec<u8>, Error> {
        if location.length == 0 {
            return Ok(Vec::new());
        }
        let name = self.segment_name(location.segment);
        let offset = u64::from(location.offset);
        let content = disk.read(&name, offset, location.length as usize)?;
        let valid =
            content.len() == location.length as usize && crc32fast::hash(&content) == location.crc;
        if valid {
            Ok(content)
        } else {
            Err(Error::corrupt(&name, offset, "wrong checksum of a payload"))
        }
    }

    /// Returns an unused segment number.
    pub(super) fn allocate_segment(&mut self) -> u32 {
        let number = self.next_segment;
        self.next_segment += 1;
        number
    }

    pub(super) fn location(&self, key: Key) -> Option<Location> {
        self.index.get(&key).copied()
    }

    pub(super) fn segment_limit(&self) -> u32 {
        self.segment_bytes
    }

    /// Replaces all payloads with others that are in segments of the store or in new,
    /// synced ones. The segments of the durable snapshot are kept until
    /// [`Store::finish_snapshot`], in case the snapshot that refers to the new ones is
    /// never completed.
    pub(super) fn replace(&mut self, items: impl Iterator<Item = Item>) {
        for segment in self.segments.values_mut() {
            segment.live = 0;
            segment.live_bytes = 0;
        }
        self.index.clear();
        self.active = None;
        self.compaction = None;
        for item in items {
            self.add_existing(item);
        }
    }

    pub(super) fn segment_name(&self, number: u32) -> String {
        format!("{PREFIX}{:08x}-{number:08x}", self.group.0)
    }

    /// Adds a payload that is already on the disk to the index.
    fn add_existing(&mut self, item: Item) {
        let location = item.location;
        let segment = self.segments.entry(location.segment).or_insert(Segment {
            synced: true,
            ..Segment::default()
        });
        segment.size = segment
            .size
            .max(location.offset.saturating_add(location.length));
        segment.live_bytes += u64::from(location.length);
        segment.live += 1;
        self.next_segment = self.next_segment.max(location.segment.saturating_add(1));
        self.index.insert(item.key, location);
    }

    /// Returns the sizes of the group's segment files by number.
    fn segment_sizes<D: Disk>(&self, disk: &mut D) -> Result<BTreeMap<u32, u64>, Error> {
        let prefix = format!("{PREFIX}{:08x}-", self.group.0);
        let mut sizes = BTreeMap::new();
        for file in disk.list()? {
            let number = file.name.strip_prefix(&prefix);
            let number = number.and_then(|number| u32::from_str_radix(number, 16).ok());
            if let Some(number) = number {
                sizes.insert(number, file.size);
            }
        }
        Ok(sizes)
    }

    fn append<D: Disk>(
        &mut self,
        disk: &mut D,
        content: &[u8],
        crc: u32,
    ) -> Result<Location, Error> {
        let number = match self.active {
            Some(number) => number,
            None => self.allocate_segment(),
        };
        disk.append(&self.segment_name(number), content)?;
        let length = content.len() as u32;
        let segment = self.segments.entry(number).or_default();
        let location = Location {
            segment: number,
            offset: segment.size,
            length,
            crc,
        };
        segment.size += length;
        segment.live_bytes += u64::from(length);
        segment.live += 1;
        segment.synced = false;
        let full = segment.size >= self.segment_bytes;
        self.active = (!full).then_some(number);
        Ok(location)
    }

    /// Counts a payload that was removed or moved as dead.
    fn release(&mut self, location: &Location) {
        if let Some(segment) = self.segments.get_mut(&location.segment) {
            segment.live -= 1;
            segment.live_bytes -= u64::from(location.length);
        }
    }

    fn sync_segment<D: Disk>(&mut self, disk: &mut D, number: u32) -> Result<(), Error> {
        let name = self.segment_name(number);
        disk.sync(&name)?;
        if self.active != Some(number) {
            disk.close(&name);
        }
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.synced = true;
        }
        Ok(())
    }

    fn remove_dead_segments<D: Disk>(&mut self, disk: &mut D) -> Result<(), Error> {
        let dead = self.segments.iter().filter(|(number, segment)| {
            segment.live == 0
                && self.active != Some(**number)
                && !self.durable.contains(number)
                && !self.pending.contains(number)
        });
        let dead: Vec<u32> = dead
            .map(|(number, _)| *number)
            .take(REMOVALS_PER_STEP)
            .collect();
        for number in dead {
            disk.remove(&self.segment_name(number))?;
            self.segments.remove(&number);
        }
        Ok(())
    }

    /// Starts a compaction if less than half of a segment is live.
    fn start_compaction(&self) -> Option<Compaction> {
        let sparse = self.segments.iter().filter(|(number, segment)| {
            self.active != Some(**number)
                && segment.live > 0
                && segment.live_bytes * 2 < u64::from(segment.size)
        });
        let sources: BTreeSet<u32> = sparse.map(|(number, _)| *number).collect();
        (!sources.is_empty()).then_some(Compaction {
            sources,
            last_key: None,
        })
    }

    /// Copies some payloads out of the source segments. Returns whether the whole index
    /// has been visited.
    fn advance_compaction<D: Disk>(
        &mut self,
        disk: &mut D,
        compaction: &mut Compaction,
    ) -> Result<bool, Error> {
        let start = match compaction.last_key {
            Some(key) => ops::Bound::Excluded(key),
            None => ops::Bound::Unbounded,
        };
        let visited = self.index.range((start, ops::Bound::Unbounded));
        let visited = visited.take(COMPACTION_STEP_KEYS);
        let visited: Vec<(Key, Location)> =
            visited.map(|(key, location)| (*key, *location)).collect();
        let mut copied = 0;
        for (key, location) in &visited {
            compaction.last_key = Some(*key);
            if !compaction.sources.contains(&location.segment) {
                continue;
            }
            let content = self.read(disk, location)?;
            let moved = self.append(disk, &content, location.crc)?;
            self.index.insert(*key, moved);
            self.release(location);
            copied += u64::from(location.length);
            if copied >= COMPACTION_STEP_BYTES {
                return Ok(false);
            }
        }
        Ok(visited.len() < COMPACTION_STEP_KEYS)
    }
}
