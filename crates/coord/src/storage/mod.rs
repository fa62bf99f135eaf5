//! Durable storage of a replica.

mod background;
mod directory;
mod error;
mod flush;
mod memory;

pub use background::Background;
pub use directory::Directory;
pub use error::Error;
pub use flush::{Flush, Flusher};
pub use memory::{Loss, Memory};

/// Suffix of incomplete files, which are removed at the next start.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";

/// A file on a disk.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct File {
    /// The file name without a directory.
    pub name: String,
    /// The size in bytes.
    pub size: u64,
}

/// The file system as the library uses it: a flat set of files that only grow.
///
/// After an error nothing that was written since the last successful sync can
/// be trusted, so the host stops using the disk.
pub trait Disk {
    /// Appends to a file, which is created if it is absent. The data may be lost
    /// in a crash until [`Disk::sync`] returns.
    ///
    /// # Errors
    ///
    /// Fails if the disk is full or the write fails.
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), Error>;

    /// Makes the content and the existence of a file durable.
    ///
    /// # Errors
    ///
    /// Fails if durability cannot be guaranteed.
    fn sync(&mut self, name: &str) -> Result<(), Error>;

    /// Starts a sync of a file and returns whether it has finished. If it has not,
    /// nothing is appended to the file and no other sync is started until
    /// [`Disk::poll_sync`] returns true or [`Disk::wait_sync`] returns.
    ///
    /// A disk whose syncs may take long should return before the sync has finished,
    /// so that the replica can send and answer heartbeats meanwhile.
    ///
    /// # Errors
    ///
    /// Fails if durability cannot be guaranteed.
    fn start_sync(&mut self, name: &str) -> Result<bool, Error> {
        self.sync(name).map(|()| true)
    }

    /// Returns whether the started sync has finished.
    ///
    /// # Errors
    ///
    /// Fails if durability cannot be guaranteed.
    fn poll_sync(&mut self) -> Result<bool, Error> {
        Ok(true)
    }

    /// Waits until the started sync has finished.
    ///
    /// # Errors
    ///
    /// Fails if durability cannot be guaranteed.
    fn wait_sync(&mut self) -> Result<(), Error> {
        Ok(())
    }

    /// Called for a synced file to which nothing will be appended for long, so that
    /// the disk can release what it holds for writing, such as a file handle.
    fn close(&mut self, _name: &str) {}

    /// Reads at most `length` bytes from an offset. The result is shorter only
    /// at the end of the file.
    ///
    /// # Errors
    ///
    /// Fails if the file is absent or the read fails.
    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, Error>;

    /// Removes a file, durably on success. Removing an absent file succeeds.
    ///
    /// # Errors
    ///
    /// Fails if the removal fails.
    fn remove(&mut self, name: &str) -> Result<(), Error>;

    /// Renames a synced file atomically and durably, replacing any file of the
    /// new name.
    ///
    /// # Errors
    ///
    /// Fails if the file is absent or the renaming fails.
    fn rename(&mut self, from: &str, to: &str) -> Result<(), Error>;

    /// Lists all files, sorted by name.
    ///
    /// # Errors
    ///
    /// Fails if the file system cannot be read.
    fn list(&mut self) -> Result<Vec<File>, Error>;
}
