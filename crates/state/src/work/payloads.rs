//! Payloads: input lines and outcomes, which are stored outside of the state.

use serde::{Deserialize, Serialize, de};

use bw_coord::{payload, storage};

/// Assigns payload keys and collects the payload changes of the current command.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Payloads {
    next_key: u64,
    #[serde(skip)]
    effects: Vec<payload::Effect>,
}

impl Payloads {
    /// Stores a value and returns its key.
    pub(super) fn put<T: Serialize>(&mut self, value: &T) -> u64 {
        self.put_encoded(encode(value))
    }

    /// Stores an encoded value and returns its key.
    pub(super) fn put_encoded(&mut self, content: Vec<u8>) -> u64 {
        let key = self.next_key;
        self.next_key += 1;
        self.effects.push(payload::Effect::Put {
            key: payload::Key(key),
            content,
        });
        key
    }

    pub(super) fn remove(&mut self, key: u64) {
        let key = payload::Key(key);
        self.effects.push(payload::Effect::Remove { key });
    }

    pub(super) fn take_effects(&mut self) -> Vec<payload::Effect> {
        std::mem::take(&mut self.effects)
    }
}

/// Encodes a value.
///
/// # Panics
///
/// Panics if the value cannot be encoded, which its type rules out.
pub(super) fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_allocvec(value).expect("payloads have no unencodable fields")
}

/// Reads and decodes the value of a key.
pub(super) fn get<T: de::DeserializeOwned>(
    source: &mut dyn payload::Source,
    key: u64,
) -> Result<T, storage::Error> {
    let content = source.get(payload::Key(key))?;
    postcard::from_bytes(&content).map_err(|_| storage::Error::Corrupt {
        file: format!("payload {key}"),
        offset: 0,
        reason: "the payload cannot be decoded",
    })
}
