//! Reading the payloads of a snapshot that is sent to another replica.

use crate::{
    payload::{Store, list},
    storage::{Disk, Error},
};

/// The contents of the listed payloads as one stream of bytes.
///
/// The segments that the durable snapshot refers to are kept, so that payloads which
/// have been removed since can still be read.
#[derive(Debug)]
pub(crate) struct Sender {
    locations: Vec<list::Location>,
    /// The offset at which each payload ends in the stream.
    ends: Vec<u64>,
}

impl Sender {
    /// Builds a stream from an encoded list, or returns `None` if it is
    /// malformed.
    pub fn new(list: &[u8]) -> Option<Sender> {
        let items = list::decode(list)?;
        let locations: Vec<list::Location> = items.into_iter().map(|item| item.location).collect();
        let ends = locations.iter().scan(0, |end, location| {
            *end += u64::from(location.length);
            Some(*end)
        });
        Some(Sender {
            ends: ends.collect(),
            locations,
        })
    }

    /// Reads at most `length` bytes from an offset. Whole payloads are read and their
    /// checksums verified, so that a corrupt one stops this replica and not the
    /// receiver.
    pub fn read<D: Disk>(
        &self,
        store: &Store,
        disk: &mut D,
        offset: u64,
        length: usize,
    ) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let first = self.ends.partition_point(|end| *end <= offset);
        let rest = self.locations.iter().zip(&self.ends).skip(first);
        for (location, end) in rest {
            if bytes.len() >= length {
                break;
            }
            let content = store.read(disk, location)?;
            let start = end - u64::from(location.length);
            let skipped = offset.saturating_sub(start) as usize;
            let part = content.get(skipped..).unwrap_or_default();
            let wanted = part.len().min(length - bytes.len());
            bytes.extend_from_slice(&part[..wanted]);
        }
        Ok(bytes)
    }
}
