//! Content fingerprints of requests.

use std::{fmt, str};

use serde::{Deserialize, Serialize};

/// A 128-bit content hash, as high and low halves.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Fingerprint(pub u64, pub u64);

impl Fingerprint {
    /// Returns the fingerprint of bytes.
    pub fn of_bytes(bytes: &[u8]) -> Fingerprint {
        let hash = xxhash_rust::xxh3::xxh3_128(bytes);
        Fingerprint((hash >> 64) as u64, hash as u64)
    }

    /// Returns the fingerprint of a request to a model.
    ///
    /// Fields that do not change what the engine computes (`stream`,
    /// `stream_options`, `user`, `metadata`) are left out, and the key order of
    /// objects does not matter: `serde_json` maps are sorted.
    pub fn of_request(body: &serde_json::Value) -> Fingerprint {
        let mut canonical = body.clone();
        if let Some(fields) = canonical.as_object_mut() {
            for field in ["stream", "stream_options", "user", "metadata"] {
                fields.remove(field);
            }
        }
        Fingerprint::of_bytes(canonical.to_string().as_bytes())
    }

    /// Returns the fingerprint of a batch item whose request has this one. It differs,
    /// so that the strikes of batch items are counted apart from those of callers'
    /// requests with the same content.
    pub fn for_batch_item(self) -> Fingerprint {
        Fingerprint::of_bytes(format!("item {self}").as_bytes())
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}{:016x}", self.0, self.1)
    }
}

/// The text is not a fingerprint of 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ParseError;

impl str::FromStr for Fingerprint {
    type Err = ParseError;

    fn from_str(text: &str) -> Result<Self, ParseError> {
        if text.len() != 32 {
            return Err(ParseError);
        }
        let value = u128::from_str_radix(text, 16).map_err(|_| ParseError)?;
        Ok(Fingerprint((value >> 64) as u64, value as u64))
    }
}
