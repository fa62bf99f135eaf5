//! Health statistics and ejection state of one replica.

use bw_wire::name;

use super::{Builder, Change, Ejection, Outcome, Snapshot};

/// Weight of a new first-token time in the exponential moving average.
const SMOOTHING: f32 = 0.1;
/// Half-life of recorded outcomes.
const OUTCOME_HALF_LIFE_MS: f32 = 10_000.0;
/// Time after which a probe without a result is repeated.
const PROBE_TIMEOUT_MS: u64 = 10_000;

/// A request in flight on a replica; passed to [`super::Health::end`] at its end.
#[derive(Clone, Debug)]
pub struct Attempt {
    pub(super) id: name::Name,
    pub(super) incarnation: Option<u64>,
    started_ms: u64,
    has_first_token: bool,
}

impl Attempt {
    pub(super) fn new(id: name::Name, incarnation: Option<u64>, now_ms: u64) -> Attempt {
        Attempt {
            id,
            incarnation,
            started_ms: now_ms,
            has_first_token: false,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Ejected {
    reason: Ejection,
    at_ms: u64,
    next_probe_ms: u64,
    probe_delay_ms: u64,
    probing: bool,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) snapshot: Snapshot,
    /// Number of requests in flight, and of those with a first token.
    outstanding: u32,
    decoding: u32,
    /// Start of the silence that counts towards a freeze.
    silent_since_ms: u64,
    /// When the last token, response byte or complete answer arrived.
    last_response_ms: Option<u64>,
    /// Number of failures since then.
    failures_since_response: u32,
    /// Moving average of the first-token time, and its number of samples.
    first_token_ms: f32,
    samples: f32,
    /// Decayed numbers of outcomes, as of `outcomes_at_ms`.
    succeeded: f32,
    failed: f32,
    outcomes_at_ms: u64,
    ejected: Option<Ejected>,
    /// Probe delay of the last ejection; 0 if the backoff was reset.
    last_probe_delay_ms: u64,
}

impl Replica {
    pub(super) fn new(snapshot: Snapshot, now_ms: u64) -> Replica {
        Replica {
            snapshot,
            outstanding: 0,
            decoding: 0,
            silent_since_ms: now_ms,
            last_response_ms: None,
            failures_since_response: 0,
            first_token_ms: 0.0,
            samples: 0.0,
            succeeded: 0.0,
            failed: 0.0,
            outcomes_at_ms: now_ms,
            ejected: None,
            last_probe_delay_ms: 0,
        }
    }

    pub(super) fn begin(&mut self, now_ms: u64) {
        if self.outstanding == 0 {
            self.silent_since_ms = now_ms;
        }
        self.outstanding += 1;
    }

    pub(super) fn progress(&mut self, attempt: &mut Attempt, now_ms: u64) {
        self.record_response(now_ms);
        if !attempt.has_first_token {
            attempt.has_first_token = true;
            self.decoding += 1;
            self.add_first_token(now_ms.saturating_sub(attempt.started_ms));
        }
        // A frozen replica that responds again is probed without further delay.
        if let Some(ejected) = &mut self.ejected
            && ejected.reason == Ejection::Frozen
        {
            ejected.next_probe_ms = ejected.next_probe_ms.min(now_ms);
        }
    }

    pub(super) fn end(&mut self, attempt: &Attempt, outcome: Outcome, now_ms: u64) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if attempt.has_first_token {
            self.decoding = self.decoding.saturating_sub(1);
        }
        self.decay_outcomes(now_ms);
        match outcome {
            Outcome::Done => {
                self.succeeded += 1.0;
                self.record_response(now_ms);
            }
            Outcome::Failed => {
                self.failed += 1.0;
                self.failures_since_response = self.failures_since_response.saturating_add(1);
            }
            Outcome::Cancelled => {}
        }
    }

    pub(super) fn restart_silence(&mut self, now_ms: u64) {
        self.silent_since_ms = self.silent_since_ms.max(now_ms);
    }

    pub(super) fn ejection(&self) -> Option<Ejection> {
        self.ejected.map(|ejected| ejected.reason)
    }

    /// Returns when the replica last responded; `None` if it never did.
    pub(super) fn last_response_ms(&self) -> Option<u64> {
        self.last_response_ms
    }

    /// Returns whether the replica is ejected and has responded since.
    pub(super) fn responded_since_ejection(&self) -> bool {
        self.ejected
            .is_some_and(|ejected| self.last_response_ms > Some(ejected.at_ms))
    }

    /// Returns whether the replica failed, since its last response, as often as
    /// it takes to eject it.
    pub(super) fn is_unresponsive(&self, settings: &Builder) -> bool {
        self.failures_since_response as f32 >= settings.min_failures
    }

    /// Returns the average first-token time, once there are enough samples.
    pub(super) fn first_token_ms(&self, settings: &Builder) -> Option<f32> {
        (self.samples >= settings.min_samples).then_some(self.first_token_ms)
    }

    /// Returns why the replica should be ejected; `None` if it is healthy or
    /// already ejected.
    pub(super) fn ejection_reason(
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
        let first_token_ms = self.first_token_ms(settings)?;
        is_slow(settings, first_token_ms, median?).then_some(Ejection::Slow)
    }

    pub(super) fn eject(&mut self, settings: &Builder, reason: Ejection, now_ms: u64) {
        let probe_delay_ms = if self.last_probe_delay_ms == 0 {
            settings.probe_after_ms
        } else {
            (self.last_probe_delay_ms * 2).min(settings.probe_max_ms)
        };
        self.last_probe_delay_ms = probe_delay_ms;
        self.ejected = Some(Ejected {
            reason,
            at_ms: now_ms,
            next_probe_ms: now_ms + probe_delay_ms,
            probe_delay_ms,
            probing: false,
        });
    }

    /// Returns whether a probe is due and, if so, marks it as started.
    pub(super) fn start_due_probe(&mut self, now_ms: u64) -> bool {
        let Some(ejected) = &mut self.ejected else {
            self.reset_probe_delay(now_ms);
            return false;
        };
        if now_ms < ejected.next_probe_ms {
            return false;
        }
        ejected.probing = true;
        ejected.next_probe_ms = now_ms + PROBE_TIMEOUT_MS;
        true
    }

    pub(super) fn probed(
        &mut self,
        settings: &Builder,
        first_token_ms: Option<u64>,
        median: Option<f32>,
        now_ms: u64,
    ) -> Option<Change> {
        let ejected = self.ejected.as_mut().filter(|ejected| ejected.probing)?;
        let is_good = first_token_ms.is_some_and(|first_token_ms| {
            median.is_none_or(|median| !is_slow(settings, first_token_ms as f32, median))
        });
        if !is_good {
            ejected.probing = false;
            ejected.probe_delay_ms = (ejected.probe_delay_ms * 2).min(settings.probe_max_ms);
            ejected.next_probe_ms = now_ms + ejected.probe_delay_ms;
            self.last_probe_delay_ms = ejected.probe_delay_ms;
            return None;
        }
        self.restore(now_ms);
        Some(Change::Restored {
            id: self.snapshot.id.clone(),
        })
    }

    /// Restores the replica and clears its statistics, because the old samples
    /// would eject it again at once.
    pub(super) fn restore(&mut self, now_ms: u64) {
        self.ejected = None;
        self.failures_since_response = 0;
        self.samples = 0.0;
        self.succeeded = 0.0;
        self.failed = 0.0;
        self.outcomes_at_ms = now_ms;
        self.silent_since_ms = now_ms;
    }

    fn record_response(&mut self, now_ms: u64) {
        self.silent_since_ms = now_ms;
        self.last_response_ms = Some(now_ms);
        self.failures_since_response = 0;
    }

    /// Resets the probe backoff once no request has ended for a minute, so that
    /// the next ejection starts with the shortest delay.
    fn reset_probe_delay(&mut self, now_ms: u64) {
        const HEALTHY_RESET_MS: u64 = 60_000;
        if self.last_probe_delay_ms > 0
            && now_ms.saturating_sub(self.outcomes_at_ms) > HEALTHY_RESET_MS
        {
            self.last_probe_delay_ms = 0;
        }
    }

    /// Returns whether the replica has been silent for longer than its requests
    /// explain. Decoding streams yield tokens steadily; before any first token,
    /// the limit depends on the group's median first-token time.
    fn is_frozen(&self, settings: &Builder, median: Option<f32>, now_ms: u64) -> bool {
        if self.outstanding == 0 {
            return false;
        }
        let first_token_ms = median.map_or(0.0, |median| median * settings.stall_factor) as u64;
        let allowed_ms = match (self.decoding, median) {
            (0, None) => return false,
            (0, Some(_)) => settings.stall_ms.max(first_token_ms),
            _ => settings.stall_ms,
        };
        now_ms.saturating_sub(self.silent_since_ms) > allowed_ms
    }

    fn is_failing(&self, settings: &Builder, now_ms: u64) -> bool {
        let weight = decay(self.outcomes_at_ms, now_ms);
        let failed = self.failed * weight;
        let total = failed + self.succeeded * weight;
        failed >= settings.min_failures && failed >= total * settings.error_share
    }

    fn add_first_token(&mut self, first_token_ms: u64) {
        let sample = first_token_ms as f32;
        self.first_token_ms = if self.samples == 0.0 {
            sample
        } else {
            self.first_token_ms
                + SMOOTHING.max(1.0 / (self.samples + 1.0)) * (sample - self.first_token_ms)
        };
        self.samples += 1.0;
    }

    fn decay_outcomes(&mut self, now_ms: u64) {
        let weight = decay(self.outcomes_at_ms, now_ms);
        self.succeeded *= weight;
        self.failed *= weight;
        self.outcomes_at_ms = now_ms;
    }
}

fn is_slow(settings: &Builder, first_token_ms: f32, median: f32) -> bool {
    first_token_ms > median * settings.slow_factor && first_token_ms > median + settings.slow_min_ms
}

fn decay(at_ms: u64, now_ms: u64) -> f32 {
    (-(now_ms.saturating_sub(at_ms) as f32) / OUTCOME_HALF_LIFE_MS).exp2()
}
