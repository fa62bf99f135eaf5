//! Rates and requests in flight by team.

use std::collections;

use bw_wire::{intent, name};

use super::Cause;

/// Pause between two searches for idle teams: one search visits all teams.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Time after which a refused concurrent request may find a place.
const CONCURRENCY_RETRY_MS: u64 = 1_000;
/// Time after which a team without any allowed rate may ask again.
const BLOCKED_RETRY_MS: u64 = 60_000;

/// The token bucket of a team as its theoretical arrival time: the time at
/// which the bucket is full again. An idle team with a full bucket needs no entry.
#[derive(Clone, Copy, Debug, Default)]
struct Team {
    full_at_us: u64,
    in_flight: u32,
}

#[derive(Debug)]
pub(super) struct Teams {
    max: usize,
    entries: u32,
    default_limits: intent::Limits,
    limits: collections::BTreeMap<name::Name, intent::Limits>,
    teams: collections::HashMap<name::Name, Team>,
    swept_ms: u64,
}

impl Teams {
    pub(super) fn new(max: usize) -> Teams {
        Teams {
            max,
            entries: 1,
            default_limits: intent::Limits::default(),
            limits: collections::BTreeMap::new(),
            teams: collections::HashMap::new(),
            swept_ms: 0,
        }
    }

    pub(super) fn configure(&mut self, intent: &intent::Intent, entries: u32) {
        self.entries = entries.max(1);
        self.default_limits.clone_from(&intent.default_limits);
        self.limits.clone_from(&intent.teams);
    }

    pub(super) fn len(&self) -> usize {
        self.teams.len()
    }

    /// Counts a request, or returns why not and when to come back.
    pub(super) fn take(&mut self, team: &name::Name, now_ms: u64) -> Result<(), (Cause, u64)> {
        if !self.teams.contains_key(team) {
            self.make_room(now_ms)?;
        }
        let limits = self.limits.get(team).unwrap_or(&self.default_limits);
        let state = self.teams.entry(team.clone()).or_default();
        if state.in_flight >= limits.concurrent {
            return Err((Cause::Concurrency, CONCURRENCY_RETRY_MS));
        }
        let share = self.entries;
        take_token(state, limits, share, now_ms)?;
        state.in_flight += 1;
        Ok(())
    }

    pub(super) fn give_back(&mut self, team: &name::Name) {
        if let Some(state) = self.teams.get_mut(team) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Forgets teams whose entry says no more than its absence would.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) < SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_ms = now_ms;
        let now_us = now_ms.saturating_mul(1_000);
        self.teams
            .retain(|_, team| team.in_flight > 0 || team.full_at_us > now_us);
    }

    fn make_room(&mut self, now_ms: u64) -> Result<(), (Cause, u64)> {
        if self.teams.len() >= self.max {
            self.sweep(now_ms);
        }
        if self.teams.len() >= self.max {
            return Err((Cause::TeamTable, SWEEP_INTERVAL_MS));
        }
        Ok(())
    }
}

/// Takes one token of the entry VM's share of the team's fleet-wide rate.
fn take_token(
    team: &mut Team,
    limits: &intent::Limits,
    entries: u32,
    now_ms: u64,
) -> Result<(), (Cause, u64)> {
    if limits.requests_per_s == 0 {
        return Err((Cause::Rate, BLOCKED_RETRY_MS));
    }
    let now_us = now_ms.saturating_mul(1_000);
    let interval_us = 1_000_000 * u64::from(entries) / u64::from(limits.requests_per_s);
    let burst = u64::from((limits.burst / entries).max(1));
    let full_at_us = team.full_at_us.max(now_us) + interval_us;
    let allowed_us = now_us + burst * interval_us;
    if full_at_us > allowed_us {
        return Err((Cause::Rate, (full_at_us - allowed_us).div_ceil(1_000)));
    }
    team.full_at_us = full_at_us;
    Ok(())
}
