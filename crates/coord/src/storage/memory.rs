//! An in-memory disk with fault injection.

use std::{collections::BTreeMap, io, sync};

use crate::storage::{Disk, Error, File};

/// Smallest unit in which disks write.
const SECTOR_BYTES: usize = 512;

/// Which unsynced data a crash loses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// All unsynced data.
    All,
    /// None of it, as when only the process dies.
    Nothing,
    /// Everything after a number of unsynced bytes of each file: a torn write.
    Torn {
        /// Unsynced bytes kept per file.
        keep: usize,
    },
    /// Each file keeps its size, but holds zeros from the first sector boundary after a
    /// number of unsynced bytes: the file metadata reached the disk before the data.
    Zeroed {
        /// Unsynced bytes kept per file before the zeros.
        keep: usize,
    },
}

/// An in-memory disk that can lose, tear and corrupt data, run full and fail.
///
/// Clones share the same content, so that a test can keep a handle to the disk of a
/// running host.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    content: sync::Arc<sync::Mutex<Content>>,
}

#[derive(Debug, Default)]
struct Content {
    files: BTreeMap<String, Stored>,
    capacity: Option<u64>,
    failing_syncs: u64,
    syncs: u64,
    /// Number of appends, syncs, renames and removals so far.
    changes: u64,
    /// The number of changes after which all further ones fail.
    last_change: Option<u64>,
    /// Whether started syncs are kept from finishing.
    held: bool,
    /// Whether the started sync may finish although syncs are held.
    finishing: bool,
    /// The file whose sync has started and not finished.
    started: Option<String>,
}

#[derive(Debug, Default)]
struct Stored {
    data: Vec<u8>,
    synced: usize,
}

impl Memory {
    /// Returns an empty disk without a size limit.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Drops unsynced data, as a crash of the machine does. The rest counts as synced.
    pub fn crash(&self, loss: Loss) {
        let mut content = self.lock();
        content.started = None;
        content.last_change = None;
        for file in content.files.values_mut() {
            file.lose(loss);
        }
        // A file that was never synced does not exist after the crash.
        content
            .files
            .retain(|_, file| file.synced > 0 || !file.data.is_empty());
        for file in content.files.values_mut() {
            file.synced = file.data.len();
        }
    }

    /// Removes all files, as if the disk was lost and replaced.
    pub fn wipe(&self) {
        self.lock().files.clear();
    }

    /// Limits the total size of all files in bytes, or removes the limit.
    pub fn set_capacity(&self, bytes: Option<u64>) {
        self.lock().capacity = bytes;
    }

    /// Makes the next `count` syncs fail.
    pub fn fail_syncs(&self, count: u64) {
        self.lock().failing_syncs = count;
    }

    /// Makes all appends, syncs, renames and removals after the next `changes` ones fail
    /// until [`Memory::crash`], as if the process died there. If the first one that
    /// fails is an append, half of its data is written.
    pub fn stop_after(&self, changes: u64) {
        let mut content = self.lock();
        content.last_change = Some(content.changes + changes);
    }

    /// Keeps started syncs from finishing, or stops doing so.
    pub fn hold_syncs(&self, held: bool) {
        self.lock().held = held;
    }

    /// Lets the started sync finish, while later ones are still held.
    pub fn finish_sync(&self) {
        self.lock().finishing = true;
    }

    /// Returns whether a sync has started and not finished.
    pub fn is_syncing(&self) -> bool {
        self.lock().started.is_some()
    }

    /// Inverts a byte of a file. Returns false if there is no such byte.
    pub fn corrupt(&self, name: &str, offset: usize) -> bool {
        let mut content = self.lock();
        let byte = content
            .files
            .get_mut(name)
            .and_then(|file| file.data.get_mut(offset));
        match byte {
            Some(byte) => {
                *byte = !*byte;
                true
            }
            None => false,
        }
    }

    /// Returns the number of syncs so far, including failed ones.
    pub fn syncs(&self) -> u64 {
        self.lock().syncs
    }

    /// Returns the total size of all files in bytes.
    pub fn used(&self) -> u64 {
        self.lock().used()
    }

    fn lock(&self) -> sync::MutexGuard<'_, Content> {
        self.content
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Content {
    fn used(&self) -> u64 {
        self.files.values().map(|file| file.data.len() as u64).sum()
    }

    /// Counts a change, which fails if the disk has stopped.
    fn change(&mut self, operation: &'static str, name: &str) -> Result<(), Error> {
        self.changes += 1;
        if self.last_change.is_some_and(|last| self.changes > last) {
            return Err(Error::io(operation, name, io::Error::other("stopped")));
        }
        Ok(())
    }
}

impl Stored {
    fn lose(&mut self, loss: Loss) {
        let size = self.data.len();
        match loss {
            Loss::All => self.data.truncate(self.synced),
            Loss::Nothing => {}
            Loss::Torn { keep } => self.data.truncate(self.synced.saturating_add(keep)),
            Loss::Zeroed { keep } => {
                let kept = self.synced.saturating_add(keep);
                self.data.truncate(kept.next_multiple_of(SECTOR_BYTES));
                self.data.resize(size, 0);
            }
        }
    }
}

fn missing(operation: &'static str, name: &str) -> Error {
    Error::io(operation, name, io::ErrorKind::NotFound.into())
}

impl Disk for Memory {
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), Error> {
        let mut content = self.lock();
        let stopped = content.change("append to", name);
        if let Err(error) = stopped {
            if content.last_change == Some(content.changes - 1) {
                let file = content.files.entry(name.to_owned()).or_default();
                file.data.extend_from_slice(&data[..data.len() / 2]);
            }
            return Err(error);
        }
        let room = content.capacity.map(|capacity| {
            let room = capacity.saturating_sub(content.used());
            usize::try_from(room).unwrap_or(usize::MAX)
        });
        // A full disk takes what fits.
        let taken = &data[..data.len().min(room.unwrap_or(data.len()))];
        let file = content.files.entry(name.to_owned()).or_default();
        file.data.extend_from_slice(taken);
        match taken.len() == data.len() {
            true => Ok(()),
            false => Err(Error::Full {
                file: name.to_owned(),
            }),
        }
    }

    fn sync(&mut self, name: &str) -> Result<(), Error> {
        let mut content = self.lock();
        content.change("sync", name)?;
        content.syncs += 1;
        if content.failing_syncs > 0 {
            content.failing_syncs -= 1;
            return Err(Error::io("sync", name, io::Error::other("injected fault")));
        }
        let Some(file) = content.files.get_mut(name) else {
            return Err(missing("sync", name));
        };
        file.synced = file.data.len();
        Ok(())
    }

    fn start_sync(&mut self, name: &str) -> Result<bool, Error> {
        let mut content = self.lock();
        content.started = Some(name.to_owned());
        content.finishing = false;
        drop(content);
        self.poll_sync()
    }

    fn poll_sync(&mut self) -> Result<bool, Error> {
        let finished = {
            let content = self.lock();
            !content.held || content.finishing
        };
        match finished {
            true => self.wait_sync().map(|()| true),
            false => Ok(false),
        }
    }

    fn wait_sync(&mut self) -> Result<(), Error> {
        let started = self.lock().started.take();
        started.map_or(Ok(()), |name| self.sync(&name))
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, Error> {
        let content = self.lock();
        let Some(file) = content.files.get(name) else {
            return Err(missing("read", name));
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let rest = file.data.get(start..).unwrap_or_default();
        Ok(rest[..length.min(rest.len())].to_vec())
    }

    fn remove(&mut self, name: &str) -> Result<(), Error> {
        let mut content = self.lock();
        content.change("remove", name)?;
        content.files.remove(name);
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error> {
        let mut content = self.lock();
        content.change("rename", from)?;
        let Some(file) = content.files.remove(from) else {
            return Err(missing("rename", from));
        };
        content.files.insert(to.to_owned(), file);
        Ok(())
    }

    fn list(&mut self) -> Result<Vec<File>, Error> {
        let content = self.lock();
        let files = content.files.iter().map(|(name, file)| File {
            name: name.clone(),
            size: file.data.len() as u64,
        });
        Ok(files.collect())
    }
}
