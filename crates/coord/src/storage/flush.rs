//! File syncs that can run on another thread.

use std::fmt;

use crate::storage::{Disk, Error};

type Sync = Box<dyn FnOnce() -> Result<(), Error> + Send>;

/// A sync of a file that can run on another thread.
pub struct Flush(Sync);

impl Flush {
    /// Wraps a closure that performs the sync.
    pub fn new(sync: impl FnOnce() -> Result<(), Error> + Send + 'static) -> Flush {
        Flush(Box::new(sync))
    }

    /// Makes the content and the existence of the file durable.
    ///
    /// # Errors
    ///
    /// Fails if durability cannot be guaranteed.
    pub fn run(self) -> Result<(), Error> {
        (self.0)()
    }
}

impl fmt::Debug for Flush {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("Flush")
    }
}

/// A disk that can hand out a sync as a [`Flush`], to be run on another thread.
pub trait Flusher: Disk + Send {
    /// Prepares a sync that covers everything appended to a file so far. If the
    /// sync fails, the disk is not used any more.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be opened.
    fn prepare_sync(&mut self, name: &str) -> Result<Flush, Error>;
}
