//! Requests that may crash the backend servers that run them.
//!
//! A request whose backend server breaks the connection gets a strike under the
//! fingerprint of its content, as callers send it again under other ids and
//! through other entry VMs. One that ends whole is cleared, so that a request
//! that merely was on a backend server that crashed is not blamed for long.

use std::collections::{HashMap, VecDeque};

/// Strikes from which a request is refused. The third crash proves more than
/// two: single answers break by chance.
const REFUSE_AT: u32 = 3;
/// Suspects that are remembered; the oldest are forgotten first.
const SUSPECTS_MAX: usize = 10_000;

/// Names the content of a request.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Serialize, serde::Deserialize,
)]
pub struct Fingerprint(pub u64);

impl Fingerprint {
    /// Hashes what makes two requests the same: host, path with query and body.
    pub fn new(host: &str, target: &str, body: &[u8]) -> Fingerprint {
        let mut hasher = xxhash_rust::xxh3::Xxh3::new();
        for part in [host.as_bytes(), target.as_bytes(), body] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Fingerprint(hasher.digest())
    }
}

/// The strikes of a suspect; 0 clears it.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Strike {
    /// The content.
    pub fingerprint: Fingerprint,
    /// The number of crashes.
    pub count: u32,
}

/// The suspects that one process knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    strikes: HashMap<Fingerprint, u32>,
    order: VecDeque<Fingerprint>,
}

impl Suspects {
    /// Returns whether a request must not run again.
    pub fn is_refused(&self, fingerprint: Fingerprint) -> bool {
        self.strikes
            .get(&fingerprint)
            .is_some_and(|count| *count >= REFUSE_AT)
    }

    /// Notes that a backend server broke the connection of a request. Returns
    /// the news for the other processes.
    pub fn crashed(&mut self, fingerprint: Fingerprint) -> Strike {
        let count = self.strikes.get(&fingerprint).copied().unwrap_or(0) + 1;
        let strike = Strike { fingerprint, count };
        self.merge(strike);
        strike
    }

    /// Notes that a request ended whole. Returns the news for the other
    /// processes if it was a suspect.
    pub fn finished(&mut self, fingerprint: Fingerprint) -> Option<Strike> {
        self.strikes.remove(&fingerprint)?;
        let count = 0;
        Some(Strike { fingerprint, count })
    }

    /// Takes news of another process. Returns whether they changed anything.
    pub fn merge(&mut self, strike: Strike) -> bool {
        let Strike { fingerprint, count } = strike;
        if count == 0 {
            return self.strikes.remove(&fingerprint).is_some();
        }
        let known = self.strikes.insert(fingerprint, count);
        if known.is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > SUSPECTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.strikes.remove(&oldest);
            }
        }
        known != Some(count)
    }

    /// Returns all suspects, for a process that connects.
    pub fn all(&self) -> Vec<Strike> {
        let strikes = self.strikes.iter();
        strikes
            .map(|(fingerprint, count)| Strike {
                fingerprint: *fingerprint,
                count: *count,
            })
            .collect()
    }
}
