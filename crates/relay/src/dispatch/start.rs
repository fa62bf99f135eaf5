//! Starts of items in slots that online requests leave free.

use super::{Action, Dispatcher, Item, Key, Server, Start, State, estimate::Estimate};
use crate::route;

/// One of the two passes over the waiting items.
#[derive(Clone, Copy)]
struct Pass {
    /// Whether this is the second pass, which starts the items that will be late.
    late: bool,
    /// Whether items that will be late wait for the second pass. Otherwise all items
    /// start in the first one.
    late_last: bool,
    estimate: Estimate,
    now_ms: u64,
}

impl Pass {
    /// Returns whether an item whose job is due at `due_ms` may start in this pass.
    fn admits(&self, item: &Item, due_ms: u64) -> bool {
        let produced = item.waiting.progress.last;
        let slack_ms = self.estimate.slack_ms(due_ms, produced, self.now_ms);
        matches!(item.state, State::Waiting)
            && self.now_ms >= item.waiting.not_before_ms
            && (self.late_last && slack_ms.is_none()) == self.late
    }
}

impl Dispatcher {
    /// Starts waiting items where slots are free.
    pub(super) fn start(
        &mut self,
        servers: &[Server],
        routes: &route::Table,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if now_ms < self.no_starts_before_ms {
            return;
        }
        self.paused.retain(|_, until| *until > now_ms);
        // Backend servers where items may start, with the number of free slots.
        let mut candidates: Vec<(u32, &Server)> = Vec::new();
        for server in servers {
            let free = self.free_slots(server);
            if free > 0 && !self.paused.contains_key(&server.id) {
                candidates.push((free, server));
            }
        }
        let mut remaining = self.options.starts;
        let mut trials = self.trials.remaining(servers.len(), now_ms);
        for late in [false, true] {
            let pass = Pass {
                late,
                late_last: self.options.late_last,
                estimate: self.estimate,
                now_ms,
            };
            self.start_trials(pass, false, &mut candidates, routes, &mut trials, actions);
            self.start_regular(pass, &mut candidates, routes, &mut remaining, actions);
            // The crash of an item that is itself suspected says little about its parts, so
            // other items go before it as trials of these.
            self.start_trials(pass, true, &mut candidates, routes, &mut trials, actions);
        }
    }

    /// Starts trials of suspects, those with the fewest broken trials first: those with a
    /// part that is refused, or the others.
    fn start_trials(
        &mut self,
        pass: Pass,
        held: bool,
        candidates: &mut [(u32, &Server)],
        routes: &route::Table,
        remaining: &mut usize,
        actions: &mut Vec<Action>,
    ) {
        if *remaining == 0 {
            return;
        }
        let now_ms = pass.now_ms;
        let mut ready = Vec::new();
        for (broken, key) in self.trials.ready(now_ms) {
            if let Some(job) = self.jobs.get(&key.job) {
                ready.push((broken, job.due_ms, key));
            }
        }
        ready.sort();
        for (_, due_ms, key) in ready {
            let Some(job) = self.jobs.get_mut(&key.job).filter(|_| *remaining > 0) else {
                continue;
            };
            let Some(item) = job.items.get_mut(&key.item) else {
                continue;
            };
            if !pass.admits(item, due_ms)
                || self.holds.get(&item.request).is_some() != held
                || !self.holds.admits(&item.request, now_ms)
            {
                continue;
            }
            let Some(route) = routes.get(&job.route) else {
                continue;
            };
            let avoid = item.waiting.avoid.as_ref();
            let trials = &self.trials;
            let chosen = candidates
                .iter_mut()
                .filter(|(free, server)| {
                    *free > 0 && route.allows(&server.service) && trials.can_use(&server.id)
                })
                .max_by_key(|(free, server)| {
                    let is_other = Some(&server.id) != avoid;
                    (is_other, !trials.is_unstable(&server.id, now_ms), *free)
                });
            let Some((free, server)) = chosen else {
                continue;
            };
            *free -= 1;
            *remaining -= 1;
            self.trials.trial_began(&key, &server.id, now_ms);
            self.holds.started(&item.request, &key);
            let host = &job.route.host;
            let start = self.runs.begin(key, host, item, server, now_ms);
            actions.push(Action::Start(Start {
                trial: true,
                ..start
            }));
        }
    }

    /// Starts items that are not suspects.
    fn start_regular(
        &mut self,
        pass: Pass,
        candidates: &mut Vec<(u32, &Server)>,
        routes: &route::Table,
        remaining: &mut usize,
        actions: &mut Vec<Action>,
    ) {
        let suspect_breaks = self.options.trials.breaks.max(1);
        for (due_ms, id) in &self.order {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            let Some(route) = routes.get(&job.route) else {
                continue;
            };
            for (index, item) in &mut job.items {
                if *remaining == 0 || candidates.is_empty() {
                    return;
                }
                if item.waiting.breaks >= suspect_breaks
                    || !pass.admits(item, *due_ms)
                    || !self.holds.admits(&item.request, pass.now_ms)
                {
                    continue;
                }
                let avoid = item.waiting.avoid.clone();
                // A crash for another reason would end the trial of a part.
                let asks = self.holds.get(&item.request).is_some();
                let trials = &self.trials;
                let chosen = candidates
                    .iter_mut()
                    .filter(|(free, server)| *free > 0 && route.allows(&server.service))
                    .max_by_key(|(free, server)| {
                        let is_other = Some(&server.id) != avoid.as_ref();
                        let is_stable = asks && !trials.is_unstable(&server.id, pass.now_ms);
                        (is_other, is_stable, *free)
                    });
                let Some((free, server)) = chosen else {
                    continue;
                };
                *free -= 1;
                *remaining -= 1;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                self.holds.started(&item.request, &key);
                let host = &job.route.host;
                let start = self.runs.begin(key, host, item, server, pass.now_ms);
                actions.push(Action::Start(start));
            }
            candidates.retain(|(free, _)| *free > 0);
        }
    }
}
