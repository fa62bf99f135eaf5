//! An in-memory payload store for tests of state machines.

use std::collections::BTreeMap;

use crate::{
    payload::{Effect, Key, Source},
    storage::Error,
};

/// An in-memory payload store, which replaces the host in tests that run a state
/// machine on its own.
#[derive(Clone, Debug, Default)]
pub struct Memory {
    contents: BTreeMap<Key, Vec<u8>>,
}

impl Memory {
    /// Returns an empty store.
    pub fn new() -> Memory {
        Memory::default()
    }

    /// Applies the effects of a command in order.
    pub fn apply(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Put { key, content } => drop(self.contents.insert(key, content)),
                Effect::Remove { key } => drop(self.contents.remove(&key)),
            }
        }
    }

    /// Returns the number of stored payloads.
    pub fn count(&self) -> usize {
        self.contents.len()
    }

    /// Returns the size of all payloads in bytes.
    pub fn bytes(&self) -> u64 {
        let contents = self.contents.values();
        contents.map(|content| content.len() as u64).sum()
    }
}

impl Source for &Memory {
    fn get(&mut self, key: Key) -> Result<Vec<u8>, Error> {
        let content = self.contents.get(&key).cloned();
        content.ok_or_else(|| {
            Error::corrupt(&format!("payload {}", key.0), 0, "the payload is missing")
        })
    }
}
