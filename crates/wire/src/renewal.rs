//! Compact encodings of renewals and counts by slot: postcard in base64, which takes
//! less than two thirds of the bytes of JSON arrays.
//!
//! A slot is the number of a backend server in the leader's table.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::backend;

/// Unit of the ages of renewals, in milliseconds.
const AGE_UNIT_MS: u64 = 100;
/// Number of steps to which the share of KV memory in use is rounded.
const KV_USED_STEPS: f32 = 255.0;
/// Units in a millisecond of a decode step's duration.
const STEP_UNITS_PER_MS: f32 = 10.0;

/// A renewal that the leader passes on, of a backend server whose profile has not
/// changed (see [`backend::Announcement::same_profile`]).
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The slot in the table.
    pub slot: u32,
    /// The sequence number, relative to [`crate::sync::Listed::base`].
    pub sequence: u64,
    /// The age in units of 100 ms, rounded up.
    age: u64,
    /// The load, if it changed significantly (see [`backend::Load::differs_significantly`]).
    load: Option<Load>,
}

/// A renewal that an entry VM reports, of a backend server whose profile is the
/// one in the table.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The slot in the table.
    pub slot: u32,
    /// The sequence number.
    pub sequence: u64,
    /// When it was received, as [`crate::sync::Dated::at_ms`].
    pub at_ms: i64,
    /// The load, if it differs significantly from that in the table.
    load: Option<Load>,
}

/// A [`backend::Load`] in rounded units.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    /// In steps of 1/255.
    kv_used: u8,
    /// In units of 0.1 ms.
    step: u32,
    /// In units of 100 ms, rounded up.
    age: u32,
}

/// A list of [`Renewal`] values in encoded form.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Renewals(String);

/// A list of [`Report`] values in encoded form.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reports(String);

/// Pairs of slot and count in encoded form.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts(String);

/// The text is not a valid encoding of renewals, reports or counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl Renewal {
    /// Creates a renewal. Its age is rounded up, so that the proof that the backend
    /// server is not leaving never appears newer than it is.
    pub fn new(slot: u32, sequence: u64, age_ms: u64, load: Option<backend::Load>) -> Renewal {
        Renewal {
            slot,
            sequence,
            age: age_ms.div_ceil(AGE_UNIT_MS),
            load: load.map(Load::encode),
        }
    }

    /// Returns the age, in milliseconds, rounded up to a multiple of 100.
    pub fn age_ms(&self) -> u64 {
        self.age.saturating_mul(AGE_UNIT_MS)
    }

    /// Returns the load, if it changed significantly.
    pub fn load(&self) -> Option<backend::Load> {
        self.load.map(Load::decode)
    }
}

impl Report {
    /// Creates a report.
    pub fn new(slot: u32, sequence: u64, at_ms: i64, load: Option<backend::Load>) -> Report {
        Report {
            slot,
            sequence,
            at_ms,
            load: load.map(Load::encode),
        }
    }

    /// Returns the load, if it differs significantly from that in the table.
    pub fn load(&self) -> Option<backend::Load> {
        self.load.map(Load::decode)
    }
}

impl Load {
    fn encode(load: backend::Load) -> Load {
        Load {
            running: load.running,
            waiting: load.waiting,
            kv_used: (load.kv_used * KV_USED_STEPS).round() as u8,
            step: (load.step_ms * STEP_UNITS_PER_MS).round() as u32,
            age: load.age_ms.div_ceil(AGE_UNIT_MS as u32),
        }
    }

    fn decode(self) -> backend::Load {
        backend::Load {
            running: self.running,
            waiting: self.waiting,
            kv_used: f32::from(self.kv_used) / KV_USED_STEPS,
            step_ms: self.step as f32 / STEP_UNITS_PER_MS,
            age_ms: self.age.saturating_mul(AGE_UNIT_MS as u32),
        }
    }
}

impl Renewals {
    /// Sorts renewals by slot and encodes them.
    pub fn new(mut renewals: Vec<Renewal>) -> Renewals {
        renewals.sort_by_key(|renewal| renewal.slot);
        delta_encode(&mut renewals, |renewal| &mut renewal.slot);
        Renewals(encode(&renewals))
    }

    /// Decodes the renewals.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed.
    pub fn unpack(&self) -> Result<Vec<Renewal>, Malformed> {
        let mut renewals: Vec<Renewal> = decode(&self.0)?;
        delta_decode(&mut renewals, |renewal| &mut renewal.slot)?;
        Ok(renewals)
    }
}

impl Reports {
    /// Sorts reports by slot and encodes them.
    pub fn new(mut reports: Vec<Report>) -> Reports {
        reports.sort_by_key(|report| report.slot);
        delta_encode(&mut reports, |report| &mut report.slot);
        Reports(encode(&reports))
    }

    /// Returns whether there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Decodes the reports.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed.
    pub fn unpack(&self) -> Result<Vec<Report>, Malformed> {
        let mut reports: Vec<Report> = decode(&self.0)?;
        delta_decode(&mut reports, |report| &mut report.slot)?;
        Ok(reports)
    }
}

impl Counts {
    /// Sorts counts by slot and encodes them, without zeros.
    pub fn new(mut counts: Vec<(u32, u32)>) -> Counts {
        counts.retain(|(_, count)| *count > 0);
        counts.sort_unstable();
        delta_encode(&mut counts, |(slot, _)| slot);
        Counts(encode(&counts))
    }

    /// Decodes the counts.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed.
    pub fn unpack(&self) -> Result<Vec<(u32, u32)>, Malformed> {
        let mut counts: Vec<(u32, u32)> = decode(&self.0)?;
        delta_decode(&mut counts, |(slot, _)| slot)?;
        Ok(counts)
    }
}

/// Replaces each slot by its difference from the slot before. Values must be sorted by
/// slot.
fn delta_encode<T>(values: &mut [T], slot: fn(&mut T) -> &mut u32) {
    let mut last = 0;
    for value in values {
        let slot = slot(value);
        let difference = *slot - last;
        last = std::mem::replace(slot, difference);
    }
}

/// Reverses [`delta_encode`].
fn delta_decode<T>(values: &mut [T], slot: fn(&mut T) -> &mut u32) -> Result<(), Malformed> {
    let mut last: u32 = 0;
    for value in values {
        let slot = slot(value);
        last = last.checked_add(*slot).ok_or(Malformed)?;
        *slot = last;
    }
    Ok(())
}

fn encode<T: Serialize>(values: &[T]) -> String {
    if values.is_empty() {
        return String::new();
    }
    // Encoding plain numbers into memory cannot fail.
    let bytes = postcard::to_stdvec(values).unwrap_or_default();
    STANDARD_NO_PAD.encode(bytes)
}

fn decode<T: DeserializeOwned>(text: &str) -> Result<Vec<T>, Malformed> {
    if text.is_empty() {
        return Ok(Vec::new());
    }
    let bytes = STANDARD_NO_PAD.decode(text).map_err(|_| Malformed)?;
    postcard::from_bytes(&bytes).map_err(|_| Malformed)
}
