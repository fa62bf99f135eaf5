//! Receiving the payloads of a snapshot from another replica or a backup.

use std::collections::BTreeMap;

use crate::{
    payload::{
        Key, Store,
        list::{self, Item, Location},
    },
    storage::{Disk, Error},
};

/// Stores the contents of payloads as they arrive and verifies their checksums.
///
/// They are written to segments of the usual size, each of which is synced once it
/// is full, so that neither the memory use nor the last sync grows with the stream.
/// Payloads that this replica already has, from its own log or from a snapshot that
/// was replaced while it was being sent, are skipped: otherwise a transfer that
/// takes longer than the interval between the sender's snapshots would never end.
#[derive(Debug)]
pub(crate) struct Receiver {
    /// The payloads in the order of the stream. The location of a missing one is the
    /// sender's.
    items: Vec<Item>,
    /// Whether and where each payload is present on this replica.
    states: Vec<State>,
    /// The position in `items` of the payload that is being received.
    next: usize,
    /// The offset at which that payload starts in the stream.
    start: u64,
    /// Number of its bytes that have been received.
    partial: u32,
    hasher: crc32fast::Hasher,
    /// The segment that is being written, and its size in bytes.
    segment: Option<u32>,
    size: u32,
    /// All segments written so far.
    segments: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// It has yet to be received.
    Missing,
    /// The store has it. As compaction may move it, its location is looked up at the
    /// end.
    Stored,
    /// It has been received into a segment of the receiver.
    Received,
}

/// The received contents do not match the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Mismatch;

impl Receiver {
    /// Builds a receiver from the sender's encoded list, or returns `None` if it is
    /// malformed. Payloads that an earlier receiver stored are reused.
    pub fn new(list: &[u8], store: &Store, earlier: Option<Receiver>) -> Option<Receiver> {
        let mut items = list::decode(list)?;
        let mut receiver = Receiver {
            items: Vec::new(),
            states: Vec::with_capacity(items.len()),
            next: 0,
            start: 0,
            partial: 0,
            hasher: crc32fast::Hasher::new(),
            segment: None,
            size: 0,
            segments: Vec::new(),
        };
        let mut received = BTreeMap::new();
        if let Some(earlier) = earlier {
            received = earlier.received().collect();
            receiver.segment = earlier.segment;
            receiver.size = earlier.size;
            receiver.segments = earlier.segments;
        }
        for item in &mut items {
            let state = match received.get(&item.key) {
                Some(location) if has_same_content(location, &item.location) => {
                    item.location = *location;
                    State::Received
                }
                _ if find(store, item).is_some() => State::Stored,
                _ => State::Missing,
            };
            receiver.states.push(state);
        }
        receiver.items = items;
        receiver.skip();
        Some(receiver)
    }

    /// Returns the offset in the stream of the next missing byte.
    pub fn offset(&self) -> u64 {
        self.start + u64::from(self.partial)
    }

    /// Stores the bytes that follow [`Receiver::offset`].
    ///
    /// # Errors
    ///
    /// The outer result fails if the disk fails, the inner one if a payload has
    /// a wrong checksum or bytes follow the last one.
    pub fn write<D: Disk>(
        &mut self,
        store: &mut Store,
        disk: &mut D,
        mut bytes: &[u8],
    ) -> Result<Result<(), Mismatch>, Error> {
        while !bytes.is_empty() {
            let Some(length) = self.items.get(self.next).map(|item| item.location.length) else {
                return Ok(Err(Mismatch));
            };
            let missing = (length - self.partial) as usize;
            let (part, rest) = bytes.split_at(missing.min(bytes.len()));
            bytes = rest;
            self.append(store, disk, part)?;
            if self.partial == length && !self.complete(store, disk)? {
                return Ok(Err(Mismatch));
            }
            let before = self.offset();
            self.skip();
            let skipped = (self.offset() - before) as usize;
            bytes = bytes.get(skipped..).unwrap_or_default();
        }
        Ok(Ok(()))
    }

    /// Makes the payloads durable and replaces those of the store with them. If some
    /// are missing, discards the received ones, leaves the store as it is and returns
    /// false.
    pub fn finish<D: Disk>(mut self, store: &mut Store, disk: &mut D) -> Result<bool, Error> {
        let mut complete = true;
        for (item, state) in self.items.iter_mut().zip(&self.states) {
            match state {
                State::Missing => complete = false,
                State::Received => {}
                State::Stored => match find(store, item) {
                    Some(location) => item.location = location,
                    None => complete = false,
                },
            }
        }
        if !complete {
            self.discard(store, disk)?;
            return Ok(false);
        }
        self.sync(store, disk)?;
        store.replace(self.items.into_iter());
        Ok(true)
    }

    /// Removes the received payloads from the disk.
    pub fn discard<D: Disk>(self, store: &Store, disk: &mut D) -> Result<(), Error> {
        for number in self.segments {
            disk.remove(&store.segment_name(number))?;
        }
        Ok(())
    }

    fn received(&self) -> impl Iterator<Item = (Key, Location)> {
        let items = self.items.iter().zip(&self.states);
        let received = items.filter(|(_, state)| **state == State::Received);
        received.map(|(item, _)| (item.key, item.location))
    }

    /// Appends bytes of the next payload.
    fn append<D: Disk>(
        &mut self,
        store: &mut Store,
        disk: &mut D,
        part: &[u8],
    ) -> Result<(), Error> {
        let number = match self.segment {
            Some(number) => number,
            None => {
                let number = store.allocate_segment();
                self.segments.push(number);
                self.size = 0;
                *self.segment.insert(number)
            }
        };
        if self.partial == 0
            && let Some(item) = self.items.get_mut(self.next)
        {
            item.location.segment = number;
            item.location.offset = self.size;
        }
        disk.append(&store.segment_name(number), part)?;
        self.hasher.update(part);
        self.partial += part.len() as u32;
        self.size += part.len() as u32;
        Ok(())
    }

    /// Verifies the checksum of the next payload, all bytes of which have been
    /// received. Returns false if it is wrong.
    fn complete<D: Disk>(&mut self, store: &Store, disk: &mut D) -> Result<bool, Error> {
        let crc = std::mem::take(&mut self.hasher).finalize();
        let item = self.items.get(self.next);
        if item.is_none_or(|item| item.location.crc != crc) {
            return Ok(false);
        }
        if let Some(state) = self.states.get_mut(self.next) {
            *state = State::Received;
        }
        if self.size >= store.segment_limit() {
            self.sync(store, disk)?;
        }
        Ok(true)
    }

    /// Moves to the next payload that is missing and not empty.
    fn skip(&mut self) {
        while let (Some(item), Some(state)) = (
            self.items.get_mut(self.next),
            self.states.get_mut(self.next),
        ) {
            if item.location.length == 0 {
                // Any location is valid, because nothing is read from it.
                item.location.segment = self.segment.unwrap_or(0);
                item.location.offset = 0;
                *state = State::Received;
            }
            if *state == State::Missing {
                return;
            }
            self.start += u64::from(item.location.length);
            self.partial = 0;
            self.next += 1;
        }
    }

    fn sync<D: Disk>(&mut self, store: &Store, disk: &mut D) -> Result<(), Error> {
        if let Some(number) = self.segment.take() {
            let name = store.segment_name(number);
            disk.sync(&name)?;
            disk.close(&name);
        }
        Ok(())
    }
}

fn find(store: &Store, item: &Item) -> Option<Location> {
    let location = store.location(item.key)?;
    has_same_content(&location, &item.location).then_some(location)
}

fn has_same_content(left: &Location, right: &Location) -> bool {
    left.length == right.length && left.crc == right.crc
}
