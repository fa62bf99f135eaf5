//! Requests that may crash the backend servers that run them.
//!
//! A request whose backend server breaks the connection gets a strike under the
//! fingerprint of its content, as callers send it again under other ids and
//! through other entry VMs. One that ends whole is cleared, so that a request
//! that merely was on a backend server that crashed is not blamed for long.
//!
//! A burst of crashes strikes sound requests too, and one that is refused cannot
//! clear itself. So a refused request is tried again from time to time, after
//! pauses that grow, which bounds the crashes of one that does cause them.

use std::collections::{HashMap, VecDeque};

/// Strikes from which a request is refused. The third crash proves more than
/// two: single answers break by chance.
const REFUSE_AT: u32 = 3;
/// Time after the last strike in which a suspect is refused, in milliseconds. It
/// doubles with each failed trial. Bursts of crashes end within seconds, and a
/// backend server is back before the next trial.
const PAUSE_MS: u64 = 10_000;
/// Most doublings of the pause, which is an hour and a half at most.
const DOUBLINGS_MAX: u32 = 9;
/// Time in which a process lets no second request with the same content try, in
/// milliseconds. Most requests end sooner, and a crash shows at once.
const TRIAL_MS: u64 = 10_000;
/// Suspects that are remembered; the oldest are forgotten first.
const SUSPECTS_MAX: usize = 10_000;
/// Most suspects in the outbox, which bounds its memory.
const OUTBOX_MAX: usize = 1_000;

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

/// Whether a request may run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// It may.
    Admitted,
    /// It may, to find out whether it still crashes backend servers.
    Trial,
    /// It must not run now.
    Refused {
        /// When it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// What is known of a suspect.
#[derive(Clone, Copy, Debug)]
struct Record {
    count: u32,
    /// When the last strike became known here, in milliseconds.
    struck_ms: u64,
    /// Until when a trial is under way here, in milliseconds.
    trial_until_ms: u64,
}

impl Record {
    /// Returns when the request may be tried again; `None` if it is not refused.
    fn refused_until_ms(&self) -> Option<u64> {
        let trials = self.count.checked_sub(REFUSE_AT)?;
        Some(self.struck_ms + (PAUSE_MS << trials.min(DOUBLINGS_MAX)))
    }
}

/// The suspects that one process knows.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<Fingerprint, Record>,
    order: VecDeque<Fingerprint>,
}

impl Suspects {
    /// Decides whether a request may run. `now_ms` is steady time.
    pub fn admit(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Admission {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return Admission::Admitted;
        };
        let Some(refused_until_ms) = record.refused_until_ms() else {
            return Admission::Admitted;
        };
        let until_ms = refused_until_ms.max(record.trial_until_ms);
        if now_ms < until_ms {
            let retry_after_ms = until_ms - now_ms;
            return Admission::Refused { retry_after_ms };
        }
        record.trial_until_ms = now_ms + TRIAL_MS;
        Admission::Trial
    }

    /// Returns whether a request that was admitted must not run again.
    pub fn is_refused(&self, fingerprint: Fingerprint, now_ms: u64) -> bool {
        let record = self.records.get(&fingerprint);
        record.is_some_and(|record| {
            record.refused_until_ms().is_some() && now_ms >= record.trial_until_ms
        })
    }

    /// Notes that a backend server broke the connection of a request. Returns
    /// the news for the other processes.
    pub fn crashed(&mut self, fingerprint: Fingerprint, now_ms: u64) -> Strike {
        let count = self
            .records
            .get(&fingerprint)
            .map_or(0, |known| known.count)
            + 1;
        let strike = Strike { fingerprint, count };
        self.merge(strike, now_ms);
        strike
    }

    /// Notes that a request ended whole. Returns the news for the other
    /// processes if it was a suspect.
    pub fn finished(&mut self, fingerprint: Fingerprint) -> Option<Strike> {
        self.records.remove(&fingerprint)?;
        let count = 0;
        Some(Strike { fingerprint, count })
    }

    /// Takes news of another process. Returns whether they changed anything: news
    /// with fewer strikes than are known were overtaken by newer ones.
    pub fn merge(&mut self, strike: Strike, now_ms: u64) -> bool {
        let Strike { fingerprint, count } = strike;
        if count == 0 {
            return self.records.remove(&fingerprint).is_some();
        }
        let known = self.records.get(&fingerprint).map(|known| known.count);
        if known >= Some(count) {
            return false;
        }
        let record = Record {
            count,
            struck_ms: now_ms,
            trial_until_ms: 0,
        };
        if self.records.insert(fingerprint, record).is_none() {
            self.order.push_back(fingerprint);
        }
        while self.order.len() > SUSPECTS_MAX {
            if let Some(oldest) = self.order.pop_front() {
                self.records.remove(&oldest);
            }
        }
        true
    }

    /// Returns all suspects, for a process that connects.
    pub fn all(&self) -> Vec<Strike> {
        let records = self.records.iter();
        records
            .map(|(fingerprint, record)| Strike {
                fingerprint: *fingerprint,
                count: record.count,
            })
            .collect()
    }
}

/// Strikes of one process that were not sent to a leader yet.
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    news: HashMap<Fingerprint, Vec<Strike>>,
}

impl Outbox {
    /// Adds news. They replace earlier ones of the same suspect, except that it was
    /// cleared: strikes that follow count from there.
    pub fn add(&mut self, strike: Strike) {
        let known = self.news.contains_key(&strike.fingerprint);
        if !known && self.news.len() >= OUTBOX_MAX {
            return;
        }
        let news = self.news.entry(strike.fingerprint).or_default();
        news.retain(|earlier| earlier.count == 0 && strike.count > 0);
        news.push(strike);
    }

    /// Takes all news, those of one suspect in their order.
    pub fn take(&mut self) -> Vec<Strike> {
        std::mem::take(&mut self.news)
            .into_values()
            .flatten()
            .collect()
    }
}
