//! Payloads that arrive with the snapshot of another replica.

use std::collections::BTreeMap;

use crate::{
    payload::{
        Key, Store,
        list::{self, Item, Location},
    },
    storage::{Disk, Error},
};

/// Stores and checks the contents of payloads as they arrive.
///
/// They go into segments of the usual size, each of which is synced once it is
/// full, so that neither the memory nor the last sync grows with the stream.
/// Payloads that this replica has already, from its own log or from a snapshot
/// that was replaced while it was being sent, are skipped: otherwise a transfer
/// that takes longer than the sender's next snapshot would never end.
#[derive(Debug)]
pub(crate) struct Receiver {
    /// The payloads in the order of the stream, with the sender's places until
    /// they are here.
    items: Vec<Item>,
    /// Where each payload that is here can be found.
    states: Vec<State>,
    /// The payload whose bytes come next.
    next: usize,
    /// Where that payload starts in the stream.
    start: u64,
    /// Bytes of it that have arrived.
    partial: u32,
    hasher: crc32fast::Hasher,
    segment: Option<u32>,
    size: u32,
    segments: Vec<u32>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// It has to arrive.
    Missing,
    /// The store has it. The store may move it, so that its place is looked up
    /// at the end.
    Stored,
    /// It is in a segment of the receiver.
    Received,
}

/// Contents that do not match the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Mismatch;

impl Receiver {
    /// Starts with the encoded list of the sender, or returns `None` if it is
    /// malformed. What an earlier receiver stored is taken over.
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

    /// Returns the position in the stream of the next byte that is missing.
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

    /// Makes the payloads durable and puts them in place of those of the store.
    /// Returns false, without effect on the store, if some are missing.
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

    /// Removes what has arrived.
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

    /// Checks the next payload, of which all bytes have arrived.
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

    /// Moves to the next payload that is missing and has content.
    fn skip(&mut self) {
        while let (Some(item), Some(state)) = (
            self.items.get_mut(self.next),
            self.states.get_mut(self.next),
        ) {
            if item.location.length == 0 {
                // Any place does, as nothing is read there.
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
