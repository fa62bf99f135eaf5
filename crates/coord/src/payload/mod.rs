//! Large values that are stored outside of the state machine and its snapshots.
//!
//! A state machine keeps only the keys of its payloads. Their contents are stored in
//! segment files `payload-GROUP-NUMBER` and are read only when they are needed.

mod list;
mod memory;
mod receiver;
mod sender;
mod store;

use crate::storage;

pub use memory::Memory;
pub use store::Store;

pub(crate) use receiver::Receiver;
pub(crate) use sender::Sender;

/// Identifies a payload within its group. The state machine assigns the numbers and
/// never uses one twice, so that a key always maps to the same content.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Key(pub u64);

/// A change that a command makes to the payloads of its group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Effect {
    /// Stores a payload under a new key.
    Put {
        /// The key, which must never be used for another content.
        key: Key,
        /// The content, at most 1 GiB.
        content: Vec<u8>,
    },
    /// Removes a payload if it is present.
    Remove {
        /// The key of the payload; it may be absent.
        key: Key,
    },
}

/// Read access to the payloads of a group.
pub trait Source {
    /// Returns the content of a payload.
    ///
    /// # Errors
    ///
    /// Fails if the payload is missing, corrupt or cannot be read. The replica
    /// then stops.
    fn get(&mut self, key: Key) -> Result<Vec<u8>, storage::Error>;
}

/// Read access to a store through its disk.
pub(crate) struct Reader<'a, D> {
    pub store: &'a Store,
    pub disk: &'a mut D,
}

impl<D: storage::Disk> Source for Reader<'_, D> {
    fn get(&mut self, key: Key) -> Result<Vec<u8>, storage::Error> {
        match self.store.get(self.disk, key)? {
            Some(content) => Ok(content),
            None => Err(storage::Error::corrupt(
                &format!("payload {} of group {}", key.0, self.store.group()),
                0,
                "the payload is missing",
            )),
        }
    }
}
