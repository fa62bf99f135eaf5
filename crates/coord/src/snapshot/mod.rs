//! Snapshot files.
//!
//! A file holds a header with the length and checksum of the metadata, the
//! metadata ([`SnapshotMeta`]), and the data: the state of the state machine and
//! the list of its payloads.

use crate::{
    GroupId,
    message::SnapshotMeta,
    storage::{self, Disk, Error, TEMPORARY_SUFFIX},
};

const PREFIX: &str = "snapshot-";
/// Size of the header: the length and the checksum of the metadata, 4 bytes each.
pub(crate) const HEADER_BYTES: usize = 8;

/// Bytes of a snapshot that one step writes, so that a large snapshot does not
/// delay the other groups for long.
const WRITE_BYTES: usize = 4 << 20;

/// A complete snapshot on the disk.
#[derive(Clone, Debug)]
pub(crate) struct Stored {
    pub name: String,
    pub meta: SnapshotMeta,
    data_offset: u64,
}

impl Stored {
    /// Reads at most `length` bytes of the data from an offset.
    pub fn read<D: Disk>(
        &self,
        disk: &mut D,
        offset: u64,
        length: usize,
    ) -> Result<Vec<u8>, Error> {
        disk.read(&self.name, self.data_offset + offset, length)
    }

    /// Returns the size of the file in bytes.
    pub fn file_size(&self) -> u64 {
        self.data_offset + self.meta.size
    }

    /// Reads all data and checks its size and checksum.
    pub fn read_all<D: Disk>(&self, disk: &mut D) -> Result<Vec<u8>, Error> {
        let data = self.read(disk, 0, usize::MAX)?;
        let valid = data.len() as u64 == self.meta.size && crc32fast::hash(&data) == self.meta.crc;
        if valid {
            Ok(data)
        } else {
            Err(Error::corrupt(
                &self.name,
                self.data_offset,
                "wrong checksum",
            ))
        }
    }
}

/// A snapshot that is being written.
#[derive(Debug)]
pub(crate) struct Writer {
    stored: Stored,
    bytes: Vec<u8>,
    written: usize,
}

impl Writer {
    pub fn new(group: GroupId, meta: SnapshotMeta, data: &[u8]) -> Writer {
        let metadata = postcard::to_stdvec(&meta).expect("snapshot metadata is encodable");
        let mut bytes = Vec::with_capacity(HEADER_BYTES + metadata.len() + data.len());
        bytes.extend((metadata.len() as u32).to_le_bytes());
        bytes.extend(crc32fast::hash(&metadata).to_le_bytes());
        bytes.extend(metadata);
        let data_offset = bytes.len() as u64;
        bytes.extend(data);
        Writer {
            stored: Stored {
                name: format!("{PREFIX}{:08x}-{:016x}", group.0, meta.index),
                meta,
                data_offset,
            },
            bytes,
            written: 0,
        }
    }

    /// Writes the next chunk and returns the snapshot once it is complete and durable.
    pub fn advance<D: Disk>(&mut self, disk: &mut D) -> Result<Option<Stored>, Error> {
        let temporary = format!("{}{TEMPORARY_SUFFIX}", self.stored.name);
        let end = self.bytes.len().min(self.written + WRITE_BYTES);
        if self.written == 0 {
            // An earlier attempt may have left an incomplete file.
            disk.remove(&temporary)?;
        }
        disk.append(&temporary, &self.bytes[self.written..end])?;
        // Each chunk is synced, so that the last sync does not take long.
        disk.sync(&temporary)?;
        self.written = end;
        if end < self.bytes.len() {
            return Ok(None);
        }
        disk.rename(&temporary, &self.stored.name)?;
        Ok(Some(self.stored.clone()))
    }

    /// Writes all remaining chunks.
    pub fn complete<D: Disk>(mut self, disk: &mut D) -> Result<Stored, Error> {
        loop {
            if let Some(stored) = self.advance(disk)? {
                return Ok(stored);
            }
        }
    }
}

/// Returns the snapshots on a disk, sorted by group and index, and removes
/// incomplete files.
pub(crate) fn list<D: Disk>(disk: &mut D) -> Result<Vec<(GroupId, Stored)>, Error> {
    let mut found = Vec::new();
    for file in disk.list()? {
        if file.name.ends_with(TEMPORARY_SUFFIX) {
            disk.remove(&file.name)?;
        } else if let Some(rest) = file.name.strip_prefix(PREFIX) {
            found.push(open(disk, &file, rest)?);
        }
    }
    Ok(found)
}

fn open<D: Disk>(
    disk: &mut D,
    file: &storage::File,
    rest: &str,
) -> Result<(GroupId, Stored), Error> {
    let wrong = |reason| Error::corrupt(&file.name, 0, reason);
    let group = rest
        .split_once('-')
        .and_then(|(group, _)| u32::from_str_radix(group, 16).ok())
        .ok_or_else(|| wrong("malformed snapshot name"))?;
    let header = disk.read(&file.name, 0, HEADER_BYTES)?;
    let (length, crc) = self::decode_header(&header).ok_or_else(|| wrong("short snapshot"))?;
    let metadata = disk.read(&file.name, HEADER_BYTES as u64, length as usize)?;
    if crc32fast::hash(&metadata) != crc {
        return Err(wrong("wrong checksum of the metadata"));
    }
    let meta = postcard::from_bytes(&metadata).map_err(|_| wrong("malformed metadata"))?;
    let stored = Stored {
        name: file.name.clone(),
        meta,
        data_offset: (HEADER_BYTES + metadata.len()) as u64,
    };
    Ok((GroupId(group), stored))
}

/// Returns the length and the checksum of the metadata.
pub(crate) fn decode_header(bytes: &[u8]) -> Option<(u32, u32)> {
    let (length, rest) = bytes.split_first_chunk()?;
    let (crc, _) = rest.split_first_chunk()?;
    Some((u32::from_le_bytes(*length), u32::from_le_bytes(*crc)))
}
