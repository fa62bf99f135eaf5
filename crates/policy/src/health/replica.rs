//! The record of one replica.

use bw_wire::name;

use super::{Builder, Change, Ejection, Outcome, Snapshot};

/// Weight of a new first-token time in the average.
const SMOOTHING: f32 = 0.1;
/// Time after which an outcome counts half.
const OUTCOME_HALF_LIFE_MS: f32 = 10_000.0;
/// Time after which a probe without result counts as failed.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// A request on a replica. It is handed back to [`super::Health::end`].
#[derive(Clone, Debug)]
pub struct Attempt {
    pub(super) id: name::Name,
    pub(super) incarnation: Option<u64>,
    begun_ms: u64,
    has_first: bool,
}

impl Attempt {
    pub(super) fn new(id: name::Name, incarnation: Option<u64>, now_ms: u64) -> Attempt {
        Attempt {
            id,
            incarnation,
            begun_ms: now_ms,
            has_first: false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Ejected {
    why: Ejection,
    at_ms: u64,
    probe_ms: u64,
    pause_ms: u64,
    probing: bool,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) facts: Snapshot,
    outstanding: u32,
    decoding: u32,
    quiet_since_ms: u64,
    /// When the last sign of life was seen.
    alive_ms: Option<u64>,
    /// Failures since the last sign of life.
    unanswered: u32,
    first_ms: f32,
    samples: f32,
    done: f32,
    failed: f32,
    outcomes_at_ms: u64,
    ejected: Option<Ejected>,
    last_pause_ms: u64,
}

impl Replica {
    pub(super) fn new(facts: Snapshot, now_ms: u64) -> Replica {
        Replica {
            facts,
            outstanding: 0,
            decoding: 0,
            quiet_since_ms: now_ms,
            alive_ms: None,
            unanswered: 0,
            first_ms: 0.0,
            samples: 0.0,
            done: 0.0,
            failed: 0.0,
            outcomes_at_ms: now_ms,
            ejected: None,
            last_pause_ms: 0,
        }
    }

    pub(super) fn begin(&mut self, now_ms: u64) {
        if self.outstanding == 0 {
            self.quiet_since_ms = now_ms;
        }
        self.outstanding += 1;
    }

    pub(super) fn progress(&mut self, flight: &mut Attempt, now_ms: u64) {
        self.note_alive(now_ms);
        if !flight.has_first {
            flight.has_first = true;
            self.decoding += 1;
            self.add_first(now_ms.saturating_sub(flight.begun_ms));
        }
        // Signs of life of a frozen replica bring its probe forward.
        if let Some(ejected) = &mut self.ejected
            && ejected.why == Ejection::Frozen
        {
            ejected.probe_ms = ejected.probe_ms.min(now_ms);
        }
    }

    pub(super) fn end(&mut self, flight: &Attempt, outcome: Outcome, now_ms: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if flight.has_first {
            self.decoding = self.decoding.saturating_sub(1);
        }
        self.fade_outcomes(now_ms);
        match outcome {
            Outcome::Done => {
                self.done += 1.0;
                self.note_alive(now_ms);
            }
            Outcome::Failed => {
                self.failed += 1.0;
                self.unanswered = self.unanswered.saturating_add(1);
            }
            Outcome::Cancelled => {}
        }
    }

    pub(super) fn excuse(&mut self, now_ms: u64) {
        self.quiet_since_ms = self.quiet_since_ms.max(now_ms);
    }

    pub(super) fn ejection(&self) -> Option<Ejection> {
        self.ejected.map(|ejected| ejected.why)
    }

    /// Returns when the last sign of life was seen.
    pub(super) fn alive_ms(&self) -> Option<u64> {
        self.alive_ms
    }

    /// Returns whether the replica is ejected and has shown signs of life since.
    pub(super) fn lives_ejected(&self) -> bool {
        self.ejected
            .is_some_and(|ejected| self.alive_ms > Some(ejected.at_ms))
    }

    /// Returns whether nothing but failures came from the replica lately, as many
    /// as it takes to be ejected.
    pub(super) fn answers_nothing(&self, settings: &Builder) -> bool {
        self.unanswered as f32 >= settings.min_failures
    }

    /// Returns the average first-token time, once there are enough samples.
    pub(super) fn first_ms(&self, settings: &Builder) -> Option<f32> {
        (self.samples >= settings.min_samples).then_some(self.first_ms)
    }

    /// Returns why the replica should be ejected, if it should.
    pub(super) fn judge(
        &self,
        settings: &Builder,
        median: Option<f32>,
        now_ms: u64,
    ) -> Option<Ejection> {
        if self.ejected.is_some() {
            return None;
        }
        if self.is_frozen(settings, median, now_ms) {
            return Some(Ejection::Frozen);
        }
        if self.is_failing(settings, now_ms) {
            return Some(Ejection::Failing);
        }
        let first_ms = self.first_ms(settings)?;
        is_slow(settings, first_ms, median?).then_some(Ejection::Slow)
    }

    pub(super) fn eject(&mut self, settings: &Builder, why: Ejection, now_ms: u64) {
        let pause_ms = if self.last_pause_ms == 0 {
            settings.probe_after_ms
        } else {
            (self.last_pause_ms * 2).min(settings.probe_max_ms)
        };
        self.last_pause_ms = pause_ms;
        self.ejected = Some(Ejected {
            why,
            at_ms: now_ms,
            probe_ms: now_ms + pause_ms,
            pause_ms,
            probing: false,
        });
    }

    /// Returns whether a probe is due, and notes that it was asked for.
    pub(super) fn wants_probe(&mut self, now_ms: u64) -> bool {
        let Some(ejected) = &mut self.ejected else {
            self.forgive(now_ms);
            return false;
        };
        if now_ms < ejected.probe_ms {
            return false;
        }
        ejected.probing = true;
        ejected.probe_ms = now_ms + PROBE_TIMEOUT_MS;
        true
    }

    pub(super) fn probed(
        &mut self,
        settings: &Builder,
        first_ms: Option<u64>,
        median: Option<f32>,
        now_ms: u64,
    ) -> Option<Change> {
        let ejected = self.ejected.as_mut().filter(|ejected| ejected.probing)?;
        let is_good = first_ms.is_some_and(|first_ms| {
            median.is_none_or(|median| !is_slow(settings, first_ms as f32, median))
        });
        if !is_good {
            ejected.probing = false;
            ejected.pause_ms = (ejected.pause_ms * 2).min(settings.probe_max_ms);
            ejected.probe_ms = now_ms + ejected.pause_ms;
            self.last_pause_ms = ejected.pause_ms;
            return None;
        }
        self.restore(now_ms);
        Some(Change::Restored {
            id: self.facts.id.clone(),
        })
    }

    /// Starts the record again: old samples would eject the replica at once.
    pub(super) fn restore(&mut self, now_ms: u64) {
        self.ejected = None;
        self.unanswered = 0;
        self.samples = 0.0;
        self.done = 0.0;
        self.failed = 0.0;
        self.outcomes_at_ms = now_ms;
        self.quiet_since_ms = now_ms;
    }

    fn note_alive(&mut self, now_ms: u64) {
        self.quiet_since_ms = now_ms;
        self.alive_ms = Some(now_ms);
        self.unanswered = 0;
    }

    /// Lets the next ejection start with the shortest pause after a minute of
    /// health.
    fn forgive(&mut self, now_ms: u64) {
        const FORGIVE_MS: u64 = 60_000;
        if self.last_pause_ms > 0 && now_ms.saturating_sub(self.outcomes_at_ms) > FORGIVE_MS {
            self.last_pause_ms = 0;
        }
    }

    /// Returns whether the replica is silent for longer than its work explains.
    /// A decoding stream yields tokens steadily; before the first token, the
    /// group's first-token time is the measure.
    fn is_frozen(&self, settings: &Builder, median: Option<f32>, now_ms: u64) -> bool {
        if self.outstanding == 0 {
            return false;
        }
        let first_ms = median.map_or(0.0, |median| median * settings.stall_factor) as u64;
        let allowed_ms = match (self.decoding, median) {
            (0, None) => return false,
            (0, Some(_)) => settings.stall_ms.max(first_ms),
            _ => settings.stall_ms,
        };
        now_ms.saturating_sub(self.quiet_since_ms) > allowed_ms
    }

    fn is_failing(&self, settings: &Builder, now_ms: u64) -> bool {
        let weight = fade(self.outcomes_at_ms, now_ms);
        let failed = self.failed * weight;
        let total = failed + self.done * weight;
        failed >= settings.min_failures && failed >= total * settings.error_share
    }

    fn add_first(&mut self, first_ms: u64) {
        let sample = first_ms as f32;
        self.first_ms = if self.samples == 0.0 {
            sample
        } else {
            self.first_ms + SMOOTHING.max(1.0 / (self.samples + 1.0)) * (sample - self.first_ms)
        };
        self.samples += 1.0;
    }

    fn fade_outcomes(&mut self, now_ms: u64) {
        let weight = fade(self.outcomes_at_ms, now_ms);
        self.done *= weight;
        self.failed *= weight;
        self.outcomes_at_ms = now_ms;
    }
}

fn is_slow(settings: &Builder, first_ms: f32, median: f32) -> bool {
    first_ms > median * settings.slow_factor && first_ms > median + settings.slow_min_ms
}

fn fade(at_ms: u64, now_ms: u64) -> f32 {
    (-(now_ms.saturating_sub(at_ms) as f32) / OUTCOME_HALF_LIFE_MS).exp2()
}
