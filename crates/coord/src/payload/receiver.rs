//! Payloads that arrive with the snapshot of another replica.

use crate::{
    payload::{
        Store,
        list::{self, Item, Place},
    },
    storage::{Disk, Error},
};

/// Stores and checks the contents of payloads as they arrive.
///
/// They go into segments of the usual size, each of which is synced once it is
/// full, so that neither the memory nor the last sync grows with the stream.
#[derive(Debug)]
pub(crate) struct Receiver {
    /// The payloads in the order of the stream, with their places here as far
    /// as they have arrived.
    items: Vec<Item>,
    /// The number of payloads that arrived completely.
    complete: usize,
    /// Bytes of the next payload that have arrived.
    partial: u32,
    hasher: crc32fast::Hasher,
    segment: Option<u32>,
    size: u32,
    segments: Vec<u32>,
}

/// Contents that do not match the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Mismatch;

impl Receiver {
    /// Starts with the encoded list of the sender, or returns `None` if it is
    /// malformed.
    pub fn new(list: &[u8]) -> Option<Receiver> {
        Some(Receiver {
            items: list::decode(list)?,
            complete: 0,
            partial: 0,
            hasher: crc32fast::Hasher::new(),
            segment: None,
            size: 0,
            segments: Vec::new(),
        })
    }

    /// Stores the next bytes of the contents.
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
        self.skip_empty();
        while !bytes.is_empty() {
            let Some(item) = self.items.get_mut(self.complete) else {
                return Ok(Err(Mismatch));
            };
            let number = match self.segment {
                Some(number) => number,
                None => {
                    let number = store.reserve();
                    self.segments.push(number);
                    self.size = 0;
                    *self.segment.insert(number)
                }
            };
            if self.partial == 0 {
                item.place = Place {
                    segment: number,
                    offset: self.size,
                    ..item.place
                };
            }
            let missing = (item.place.length - self.partial) as usize;
            let (part, rest) = bytes.split_at(missing.min(bytes.len()));
            bytes = rest;
            disk.append(&store.name(number), part)?;
            self.hasher.update(part);
            self.partial += part.len() as u32;
            self.size += part.len() as u32;
            if self.partial < item.place.length {
                continue;
            }
            if std::mem::take(&mut self.hasher).finalize() != item.place.crc {
                return Ok(Err(Mismatch));
            }
            self.complete += 1;
            self.partial = 0;
            if self.size >= store.segment_limit() {
                self.sync(store, disk)?;
            }
            self.skip_empty();
        }
        Ok(Ok(()))
    }

    /// Completes the payloads without content, of which no bytes arrive.
    fn skip_empty(&mut self) {
        while let Some(item) = self.items.get_mut(self.complete)
            && item.place.length == 0
        {
            // Any place does, as nothing is read there.
            item.place.segment = self.segment.unwrap_or(0);
            item.place.offset = 0;
            self.complete += 1;
        }
    }

    /// Makes the payloads durable and puts them in place of those of the store.
    /// Returns false, without effect on the store, if some have not arrived.
    pub fn finish<D: Disk>(mut self, store: &mut Store, disk: &mut D) -> Result<bool, Error> {
        self.skip_empty();
        if self.complete < self.items.len() {
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
            disk.remove(&store.name(number))?;
        }
        Ok(())
    }

    fn sync<D: Disk>(&mut self, store: &Store, disk: &mut D) -> Result<(), Error> {
        if let Some(number) = self.segment.take() {
            let name = store.name(number);
            disk.sync(&name)?;
            disk.close(&name);
        }
        Ok(())
    }
}
