//! Backups: the state of a group as one stream of bytes, from which another cluster
//! can start.
//!
//! A backup is a snapshot file followed by the contents of the payloads that
//! the snapshot lists.

use std::{fmt, io};

use crate::{
    GroupId,
    host::{Host, Types, group},
    member,
    message::SnapshotMeta,
    payload,
    snapshot::{self, Stored, Writer},
    storage::{self, Disk, Error},
};

/// Number of bytes of a backup that are read at a time.
const READ_BYTES: usize = 256 << 10;
/// Largest size of the snapshot metadata, which holds the members and a few numbers.
/// A larger size means that the bytes are not a backup.
const MAX_METADATA_BYTES: usize = 1 << 20;

/// The file that is on the disk as long as a restore has not finished.
const UNFINISHED_FILE: &str = "restore-unfinished";

/// A chunk of a group's backup.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Chunk {
    /// The last log index that the backup covers. Only chunks with the same index
    /// belong to the same backup.
    pub index: u64,
    /// The total size of the backup in bytes.
    pub size: u64,
    /// The bytes from the requested offset on; empty at the end of the backup.
    pub data: Vec<u8>,
}

/// The reader of a group's backup that is to be restored.
pub(crate) struct Source(pub(crate) Box<dyn io::Read + Send>);

impl fmt::Debug for Source {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Source")
    }
}

impl<T: Types> Host<T> {
    /// Requests a durable snapshot of what a group has applied so far.
    ///
    /// The following steps write it. It is complete once the snapshot index in
    /// [`Host::status`] has reached the returned index. Returns `None` if the host
    /// does not run the group.
    pub fn request_snapshot(&mut self, group: GroupId) -> Option<u64> {
        self.groups
            .get_mut(&group)
            .map(group::Group::request_snapshot)
    }

    /// Reads a chunk of a group's backup, which is its last durable snapshot with
    /// all payloads, or returns `None` if the host does not run the group. A newer
    /// snapshot has another index; the backup must then be read again from offset 0.
    ///
    /// # Errors
    ///
    /// Fails if the disk fails or stored data is corrupt. The next step then stops the
    /// host.
    pub fn read_backup(
        &mut self,
        group: GroupId,
        offset: u64,
        length: usize,
    ) -> Result<Option<Chunk>, Error> {
        if self.stopped || self.read_error.is_some() {
            return Err(Error::Stopped);
        }
        let Some(group) = self.groups.get_mut(&group) else {
            return Ok(None);
        };
        let chunk = group.read_backup(&mut self.disk, offset, length);
        if let Err(error) = &chunk {
            self.read_error = Some(error.clone());
        }
        chunk.map(Some)
    }
}

/// Returns whether a disk can be filled from backups: it is empty, or an earlier restore
/// stopped before it had finished.
///
/// # Errors
///
/// Fails if the disk cannot be read.
pub fn awaits_restore<D: Disk + ?Sized>(disk: &mut D) -> Result<bool, Error> {
    let files = disk.list()?;
    Ok(files.is_empty() || files.iter().any(is_mark))
}

/// Returns an error if an earlier restore stopped before it had finished.
pub(super) fn check_finished<D: Disk>(disk: &mut D) -> Result<(), Error> {
    match disk.list()?.iter().any(is_mark) {
        true => Err(Error::UnfinishedRestore),
        false => Ok(()),
    }
}

/// Marks a disk as one with an unfinished restore. Removes what an earlier one left.
pub(super) fn begin<D: Disk>(disk: &mut D) -> Result<(), Error> {
    if !awaits_restore(disk)? {
        return Err(Error::NotEmpty);
    }
    for file in disk.list()? {
        if !is_mark(&file) {
            disk.remove(&file.name)?;
        }
    }
    disk.append(UNFINISHED_FILE, b"1")?;
    disk.sync(UNFINISHED_FILE)
}

/// Records that all groups are restored and their log is durable.
pub(super) fn finish<D: Disk>(disk: &mut D) -> Result<(), Error> {
    disk.remove(UNFINISHED_FILE)
}

fn is_mark(file: &storage::File) -> bool {
    file.name == UNFINISHED_FILE
}

/// Stores a backup on an empty disk as the first snapshot of a group. The given
/// members replace those of the backup.
pub(super) fn restore<D: Disk>(
    disk: &mut D,
    group: GroupId,
    members: &member::List,
    segment_bytes: u32,
    source: &mut Source,
) -> Result<Stored, Error> {
    let mut reader = Reader {
        name: format!("backup of group {group}"),
        source,
        offset: 0,
    };
    let meta = reader.metadata()?;
    let mut data = reader.bytes(meta.size)?;
    if crc32fast::hash(&data) != meta.crc {
        return Err(reader.corrupt("wrong checksum"));
    }
    let list = usize::try_from(meta.state_size).ok();
    let list = list.and_then(|state_size| data.get(state_size..));
    let mut payloads = payload::Store::new(group, segment_bytes);
    let receiver = list.and_then(|list| payload::Receiver::new(list, &payloads, None));
    let mut receiver = receiver.ok_or_else(|| reader.corrupt("malformed list"))?;
    while let Some(bytes) = reader.next()? {
        let written = receiver.write(&mut payloads, disk, &bytes)?;
        written.map_err(|_| reader.corrupt("wrong checksum of a payload"))?;
    }
    if !receiver.finish(&mut payloads, disk)? {
        return Err(reader.corrupt("the end is missing"));
    }
    data.truncate(meta.state_size as usize);
    data.extend(payloads.start_snapshot());
    let meta = SnapshotMeta {
        members: members.clone(),
        size: data.len() as u64,
        crc: crc32fast::hash(&data),
        ..meta
    };
    Writer::new(group, meta, &data).complete(disk)
}

/// Reads a backup and tracks the offset for error messages.
struct Reader<'a> {
    name: String,
    source: &'a mut Source,
    offset: u64,
}

impl Reader<'_> {
    fn metadata(&mut self) -> Result<SnapshotMeta, Error> {
        let header = self.bytes(snapshot::HEADER_BYTES as u64)?;
        let numbers = snapshot::decode_header(&header);
        let (length, crc) = numbers.ok_or_else(|| self.corrupt("short header"))?;
        if length as usize > MAX_METADATA_BYTES {
            return Err(self.corrupt("not a backup"));
        }
        let metadata = self.bytes(u64::from(length))?;
        if crc32fast::hash(&metadata) != crc {
            return Err(self.corrupt("wrong checksum of the metadata"));
        }
        postcard::from_bytes(&metadata).map_err(|_| self.corrupt("malformed metadata"))
    }

    /// Reads exactly `length` bytes.
    fn bytes(&mut self, length: u64) -> Result<Vec<u8>, Error> {
        let mut bytes = Vec::new();
        let source = &mut self.source.0;
        let read = io::Read::read_to_end(&mut io::Read::take(source, length), &mut bytes);
        read.map_err(|error| Error::io("read", &self.name, error))?;
        self.offset += bytes.len() as u64;
        match bytes.len() as u64 == length {
            true => Ok(bytes),
            false => Err(self.corrupt("the end is missing")),
        }
    }

    /// Reads the next bytes, or returns `None` at the end.
    fn next(&mut self) -> Result<Option<Vec<u8>>, Error> {
        let mut bytes = vec![0; READ_BYTES];
        let read = self.source.0.read(&mut bytes);
        let length = read.map_err(|error| Error::io("read", &self.name, error))?;
        bytes.truncate(length);
        self.offset += length as u64;
        Ok((length > 0).then_some(bytes))
    }

    fn corrupt(&self, reason: &'static str) -> Error {
        Error::corrupt(&self.name, self.offset, reason)
    }
}
