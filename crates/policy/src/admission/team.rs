//! Rate and concurrency limits per team.

use std::collections;

use bw_wire::{intent, name};

use super::Cause;

/// Interval between two sweeps for idle teams; each sweep visits all teams.
const SWEEP_INTERVAL_MS: u64 = 1_000;
/// Suggested retry delay for a team that is at its concurrency limit.
const CONCURRENCY_RETRY_MS: u64 = 1_000;
/// Suggested retry delay for a team whose rate limit is 0.
const BLOCKED_RETRY_MS: u64 = 60_000;

/// The rate and concurrency state of a team. Its token bucket is kept as the
/// theoretical arrival time of GCRA: the time at which the bucket is full again.
/// An idle team with a full bucket needs no entry.
#[derive(Clone, Copy, Debug, Default)]
struct Team {
    full_at_us: u64,
    in_flight: u32,
}

#[derive(Debug)]
pub(super) struct Teams {
    max: usize,
    entry_vms: u32,
    default_limits: intent::Limits,
    limits: collections::BTreeMap<name::Name, intent::Limits>,
    teams: collections::HashMap<name::Name, Team>,
    swept_ms: u64,
}

impl Teams {
    pub(super) fn new(max: usize) -> Teams {
        Teams {
            max,
            entry_vms: 1,
            default_limits: intent::Limits::default(),
            limits: collections::BTreeMap::new(),
            teams: collections::HashMap::new(),
            swept_ms: 0,
        }
    }

    pub(super) fn configure(&mut self, intent: &intent::Intent, entry_vms: u32) {
        self.entry_vms = entry_vms.max(1);
        self.default_limits.clone_from(&intent.default_limits);
        self.limits.clone_from(&intent.teams);
    }

    pub(super) fn len(&self) -> usize {
        self.teams.len()
    }

    /// Counts a request against the limits of its team. Otherwise fails with the
    /// cause and the time in milliseconds after which to retry.
    pub(super) fn acquire(&mut self, team: &name::Name, now_ms: u64) -> Result<(), (Cause, u64)> {
        if !self.teams.contains_key(team) {
            self.ensure_space(now_ms)?;
        }
        let limits = self.limits.get(team).unwrap_or(&self.default_limits);
        let state = self.teams.entry(team.clone()).or_default();
        if state.in_flight >= limits.concurrent {
            return Err((Cause::Concurrency, CONCURRENCY_RETRY_MS));
        }
        let entry_vms = self.entry_vms;
        take_token(state, limits, entry_vms, now_ms)?;
        state.in_flight += 1;
        Ok(())
    }

    pub(super) fn release(&mut self, team: &name::Name) {
        if let Some(state) = self.teams.get_mut(team) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Removes idle teams with a full bucket, which a new entry would equal.
    pub(super) fn sweep(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.swept_ms) < SWEEP_INTERVAL_MS {
            return;
        }
        self.swept_ms = now_ms;
        let now_us = now_ms.saturating_mul(1_000);
        self.teams
            .retain(|_, team| team.in_flight > 0 || team.full_at_us > now_us);
    }

    fn ensure_space(&mut self, now_ms: u64) -> Result<(), (Cause, u64)> {
        if self.teams.len() >= self.max {
            self.sweep(now_ms);
        }
        if self.teams.len() >= self.max {
            return Err((Cause::TeamTable, SWEEP_INTERVAL_MS));
        }
        Ok(())
    }
}

/// Takes one token from the entry VM's share of the team's fleet-wide rate.
fn take_token(
    team: &mut Team,
    limits: &intent::Limits,
    entry_vms: u32,
    now_ms: u64,
) -> Result<(), (Cause, u64)> {
    if limits.requests_per_s == 0 {
        return Err((Cause::Rate, BLOCKED_RETRY_MS));
    }
    let now_us = now_ms.saturating_mul(1_000);
    let interval_us = 1_000_000 * u64::from(entry_vms) / u64::from(limits.requests_per_s);
    let burst = u64::from((limits.burst / entry_vms).max(1));
    let full_at_us = team.full_at_us.max(now_us) + interval_us;
    let allowed_us = now_us + burst * interval_us;
    if full_at_us > allowed_us {
        return Err((Cause::Rate, (full_at_us - allowed_us).div_ceil(1_000)));
    }
    team.full_at_us = full_at_us;
    Ok(())
}
