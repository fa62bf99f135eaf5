//! Compact renewals and counts by slot: postcard in base64, which takes less
//! than two thirds of the bytes of JSON arrays.

use base64::{Engine, engine::general_purpose::STANDARD_NO_PAD};
use serde::{Deserialize, Serialize, de::DeserializeOwned};

use crate::backend;

/// Unit of the ages of renewals, in milliseconds.
const AGE_UNIT_MS: u64 = 100;
/// Steps of the share of KV memory in use.
const KV_STEPS: f32 = 255.0;
/// Steps of a millisecond of a decode step's duration.
const STEP_UNITS: f32 = 10.0;

/// A renewal of a backend server whose profile is known.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Renewal {
    /// The slot in the table.
    pub slot: u32,
    /// The sequence number, counted from that of the listed announcement.
    pub sequence: u64,
    /// The age in units of 100 ms, rounded up.
    age: u64,
    /// The load, if it changed enough to matter.
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
    /// When it was heard, as [`crate::sync::Dated::at_ms`].
    pub at_ms: i64,
    /// The load, if it differs enough from that in the table to matter.
    load: Option<Load>,
}

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
struct Load {
    running: u32,
    waiting: u32,
    kv_used: u8,
    step: u32,
    age: u32,
}

/// Encoded renewals.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Renewals(String);

/// Encoded reports.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Reports(String);

/// Encoded counts by slot.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Counts(String);

/// The text is not an encoding of renewals or counts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Malformed;

impl Renewal {
    /// Creates a renewal. Its age is rounded up, so that it is never younger
    /// than the proof of not leaving is.
    pub fn new(slot: u32, sequence: u64, age_ms: u64, load: Option<backend::Load>) -> Renewal {
        Renewal {
            slot,
            sequence,
            age: age_ms.div_ceil(AGE_UNIT_MS),
            load: load.map(Load::encode),
        }
    }

    /// Returns the age, in milliseconds.
    pub fn age_ms(&self) -> u64 {
        self.age.saturating_mul(AGE_UNIT_MS)
    }

    /// Returns the load, if it changed.
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

    /// Returns the load, if it differs.
    pub fn load(&self) -> Option<backend::Load> {
        self.load.map(Load::decode)
    }
}

impl Load {
    fn encode(load: backend::Load) -> Load {
        Load {
            running: load.running,
            waiting: load.waiting,
            kv_used: (load.kv_used * KV_STEPS).round() as u8,
            step: (load.step_ms * STEP_UNITS).round() as u32,
            age: load.age_ms.div_ceil(AGE_UNIT_MS as u32),
        }
    }

    fn decode(self) -> backend::Load {
        backend::Load {
            running: self.running,
            waiting: self.waiting,
            kv_used: f32::from(self.kv_used) / KV_STEPS,
            step_ms: self.step as f32 / STEP_UNITS,
            age_ms: self.age.saturating_mul(AGE_UNIT_MS as u32),
        }
    }
}

impl Renewals {
    /// Encodes renewals in ascending order of slots.
    pub fn new(mut renewals: Vec<Renewal>) -> Renewals {
        renewals.sort_by_key(|renewal| renewal.slot);
        shorten(&mut renewals, |renewal| &mut renewal.slot);
        Renewals(encode(&renewals))
    }

    /// Decodes the renewals.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed.
    pub fn unpack(&self) -> Result<Vec<Renewal>, Malformed> {
        let mut renewals: Vec<Renewal> = decode(&self.0)?;
        lengthen(&mut renewals, |renewal| &mut renewal.slot)?;
        Ok(renewals)
    }
}

impl Reports {
    /// Encodes reports in ascending order of slots.
    pub fn new(mut reports: Vec<Report>) -> Reports {
        reports.sort_by_key(|report| report.slot);
        shorten(&mut reports, |report| &mut report.slot);
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
        lengthen(&mut reports, |report| &mut report.slot)?;
        Ok(reports)
    }
}

impl Counts {
    /// Encodes counts by slot, without zeros.
    pub fn new(mut counts: Vec<(u32, u32)>) -> Counts {
        counts.retain(|(_, count)| *count > 0);
        counts.sort_unstable();
        shorten(&mut counts, |(slot, _)| slot);
        Counts(encode(&counts))
    }

    /// Decodes the counts.
    ///
    /// # Errors
    ///
    /// Fails when the text is malformed.
    pub fn unpack(&self) -> Result<Vec<(u32, u32)>, Malformed> {
        let mut counts: Vec<(u32, u32)> = decode(&self.0)?;
        lengthen(&mut counts, |(slot, _)| slot)?;
        Ok(counts)
    }
}

/// Replaces the slot of each value by its distance to the one before.
fn shorten<T>(values: &mut [T], slot: fn(&mut T) -> &mut u32) {
    let mut last = 0;
    for value in values {
        let slot = slot(value);
        let distance = *slot - last;
        last = std::mem::replace(slot, distance);
    }
}

/// Undoes [`shorten`].
fn lengthen<T>(values: &mut [T], slot: fn(&mut T) -> &mut u32) -> Result<(), Malformed> {
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
