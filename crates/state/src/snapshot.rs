//! Versioned snapshots: a version byte, then the state encoded with postcard.

use std::fmt;

use serde::{Serialize, de};

/// The version that this build writes and reads.
const VERSION: u8 = 2;

/// The reason why a snapshot cannot be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Error(String);

impl fmt::Display for Error {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for Error {}

/// Encodes a state.
///
/// # Panics
///
/// Panics if the state cannot be encoded, which its type rules out.
pub(crate) fn encode<S: Serialize>(state: &S) -> Vec<u8> {
    postcard::to_extend(state, vec![VERSION]).expect("machine states have no unencodable fields")
}

/// Decodes a state. Fails if its format has another version or the data is malformed.
pub(crate) fn decode<S: de::DeserializeOwned>(data: &[u8]) -> Result<S, Error> {
    match data.split_first() {
        Some((&VERSION, rest)) => {
            postcard::from_bytes(rest).map_err(|error| Error(error.to_string()))
        }
        Some((version, _)) => Err(Error(format!("unknown snapshot version {version}"))),
        None => Err(Error("empty snapshot".to_owned())),
    }
}
