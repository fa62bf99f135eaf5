//! Effects of the end of a run, or of its first event, on its item.

use std::cmp;

use bw_wire::name::Name;

use super::{Dispatcher, Key, Outcome, State};
use crate::{ledger, route};

impl Dispatcher {
    /// Records that online requests failed at a backend server. If other backend servers
    /// crash too, the crash of its own one is no evidence against an item.
    pub fn requests_failed(&mut self, server: &Name, count: u32, now_ms: u64) {
        self.trials.requests_failed(server, count, now_ms);
    }

    /// Records the first new event of a run, which ends a trial.
    pub fn progressed(&mut self, key: &Key) {
        let job = self.jobs.get_mut(&key.job);
        if let Some(item) = job.and_then(|job| job.items.get_mut(&key.item)) {
            item.waiting.breaks = 0;
            self.trials.passed(key);
        }
    }

    /// Records the end of a run. If the item has ended, returns how and the rest of its
    /// output, to be recorded in the ledger.
    pub fn ended(
        &mut self,
        key: &Key,
        outcome: Outcome,
        now_ms: u64,
    ) -> Option<(ledger::End, ledger::Output)> {
        let options = self.options;
        let attempts = self.jobs.get(&key.job)?.attempts;
        let item = self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)?;
        let State::Running {
            server,
            since_ms,
            stopping,
            ..
        } = &item.state
        else {
            return None;
        };
        let (server, stopping) = (server.clone(), *stopping);
        if let Some(last) = outcome.last_event() {
            let events = last.saturating_sub(item.waiting.progress.last);
            self.estimate.ran(events, now_ms.saturating_sub(*since_ms));
        }
        item.state = State::Waiting;
        if outcome.has_run() {
            item.waiting.since_ms = now_ms;
        }
        self.runs.end(&server, stopping);
        self.holds.ended(key, now_ms);
        self.update_suspicion(key, &outcome, (&server, stopping), now_ms);
        let item = self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)?;
        let waiting = &mut item.waiting;
        waiting.avoid = None;
        match outcome {
            Outcome::Completed(progress) => {
                self.estimate.completed(progress.last);
                item.state = State::Recording;
                return Some((ledger::End::Completed, progress.unsaved()));
            }
            Outcome::Impossible => {
                item.state = State::Recording;
                return Some((ledger::End::GivenUp, ledger::Output::default()));
            }
            Outcome::Failed(progress) => {
                waiting.failures += 1;
                waiting.progress = progress;
                waiting.avoid = Some(server.clone());
                // A backend server that fails all runs would fail the next item as fast.
                self.paused.insert(server, now_ms + options.failed_ms);
                if waiting.failures >= attempts {
                    item.state = State::Recording;
                    return Some((ledger::End::GivenUp, ledger::Output::default()));
                }
            }
            Outcome::Crowded(progress) => {
                waiting.progress = progress;
                let until = now_ms + options.crowded_ms;
                self.paused.insert(server, until);
                return None;
            }
            Outcome::Broken(progress) => {
                waiting.progress = progress;
                if stopping {
                    return None;
                }
                waiting.avoid = Some(server.clone());
                self.paused.insert(server, now_ms + options.pause_ms);
            }
            Outcome::Refused { progress, refusal } => {
                waiting.progress = progress;
                self.holds.hold(refusal, now_ms);
                return None;
            }
            // A run that did not begin counts neither as failed nor as broken.
            Outcome::NotRun(progress) => {
                waiting.progress = progress;
                waiting.avoid = Some(server.clone());
                waiting.not_before_ms = now_ms + options.pause_ms;
                self.paused.insert(server, now_ms + options.pause_ms);
                return None;
            }
        }
        let item = self.jobs.get_mut(&key.job)?.items.get_mut(&key.item)?;
        let waiting = &item.waiting;
        let pause_ms = options.pause_ms << (waiting.breaks + 2 * waiting.failures).min(5);
        item.waiting.not_before_ms = now_ms + pause_ms.min(options.pause_max_ms);
        None
    }

    /// Updates the suspicion against an item by the end of its run: adds or clears a
    /// suspect, or records the result of its trial.
    fn update_suspicion(
        &mut self,
        key: &Key,
        outcome: &Outcome,
        (server, stopping): (&Name, bool),
        now_ms: u64,
    ) {
        let job = self.jobs.get_mut(&key.job);
        let Some(item) = job.and_then(|job| job.items.get_mut(&key.item)) else {
            return;
        };
        let last = outcome.last_event().unwrap_or(0);
        let advanced = last > item.waiting.progress.last;
        let broken = matches!(outcome, Outcome::Broken(_)) && !stopping;
        if broken {
            self.trials.run_broke(server, now_ms);
        }
        match outcome {
            Outcome::Completed(_) | Outcome::Failed(_) | Outcome::Impossible => {}
            _ if advanced => {}
            Outcome::Broken(_) if !stopping => {
                item.waiting.breaks += 1;
                let breaks = item.waiting.breaks;
                match breaks.cmp(&self.options.trials.breaks.max(1)) {
                    cmp::Ordering::Less => {}
                    cmp::Ordering::Equal => {
                        self.trials
                            .add_suspect(key, &item.id, server, breaks, now_ms);
                    }
                    cmp::Ordering::Greater => self.trials.trial_broke(key, now_ms),
                }
                return;
            }
            Outcome::Broken(_)
            | Outcome::NotRun(_)
            | Outcome::Refused { .. }
            | Outcome::Crowded(_) => {
                self.trials.trial_unfinished(key);
                return;
            }
        }
        item.waiting.breaks = 0;
        self.trials.passed(key);
    }

    /// Records that the end of an item is durable. Returns the item's route and tokens,
    /// which count as ended for the quota; `None` if its job was removed.
    pub fn recorded(&mut self, key: &Key) -> Option<(route::Key, u64)> {
        let job = self.jobs.get_mut(&key.job)?;
        let item = job.items.remove(&key.item)?;
        self.trials.remove(key);
        let route = job.route.clone();
        if job.items.is_empty() {
            self.remove(&key.job);
        }
        Some((route, item.tokens))
    }
}
