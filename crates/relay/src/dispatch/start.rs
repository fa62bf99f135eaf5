//! Items that start where online requests leave slots free.

use super::{Action, Dispatcher, Item, Key, Server, Start, State, estimate::Estimate};
use crate::route;

/// One pass over the waiting items.
#[derive(Clone, Copy)]
struct Pass {
    /// Whether it starts the items that will be late, or those that can be
    /// complete in time.
    late: bool,
    /// Whether items that will be late wait for the second pass.
    late_last: bool,
    estimate: Estimate,
    now_ms: u64,
}

impl Pass {
    /// Returns whether an item of a job that is due then may start in this pass.
    fn admits(&self, item: &Item, due_ms: u64) -> bool {
        let made = item.waiting.progress.last;
        let spare_ms = self.estimate.spare_ms(due_ms, made, self.now_ms);
        matches!(item.state, State::Waiting)
            && self.now_ms >= item.waiting.not_before_ms
            && (self.late_last && spare_ms.is_none()) == self.late
    }
}

impl Dispatcher {
    /// Starts items where slots are free.
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
        let mut rooms: Vec<(u32, &Server)> = Vec::new();
        for server in servers {
            let used = server.online + self.options.reserve + self.running(&server.id);
            let room = server.slots.saturating_sub(used);
            if room > 0 && !self.paused.contains_key(&server.id) {
                rooms.push((room, server));
            }
        }
        let mut left = self.options.starts;
        let mut trials = self.trials.room(servers.len(), now_ms);
        for late in [false, true] {
            let pass = Pass {
                late,
                late_last: self.options.late_last,
                estimate: self.estimate,
                now_ms,
            };
            self.start_trials(pass, &mut rooms, routes, &mut trials, actions);
            self.start_some(pass, &mut rooms, routes, &mut left, actions);
        }
    }

    /// Starts trials of suspects, the ones with the fewest broken trials first.
    fn start_trials(
        &mut self,
        pass: Pass,
        rooms: &mut [(u32, &Server)],
        routes: &route::Table,
        left: &mut usize,
        actions: &mut Vec<Action>,
    ) {
        if *left == 0 {
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
            let Some(job) = self.jobs.get_mut(&key.job).filter(|_| *left > 0) else {
                continue;
            };
            let Some(item) = job.items.get_mut(&key.item) else {
                continue;
            };
            if !pass.admits(item, due_ms) {
                continue;
            }
            let Some(route) = routes.find(&job.route.host, &item.path) else {
                continue;
            };
            let avoid = item.waiting.avoid.as_ref();
            let trials = &self.trials;
            let best = rooms
                .iter_mut()
                .filter(|(room, server)| {
                    *room > 0 && route.allows(&server.service) && trials.may_use(&server.id)
                })
                .max_by_key(|(room, server)| {
                    let other = Some(&server.id) != avoid;
                    (other, !trials.is_unsteady(&server.id, now_ms), *room)
                });
            let Some((room, server)) = best else {
                continue;
            };
            *room -= 1;
            *left -= 1;
            self.trials.began(&key, &server.id, now_ms);
            let host = &job.route.host;
            let start = self.runs.begin(key, host, item, server, now_ms);
            actions.push(Action::Start(Start {
                trial: true,
                ..start
            }));
        }
    }

    /// Starts items that are no suspects.
    fn start_some(
        &mut self,
        pass: Pass,
        rooms: &mut Vec<(u32, &Server)>,
        routes: &route::Table,
        left: &mut usize,
        actions: &mut Vec<Action>,
    ) {
        let suspected = self.options.trials.breaks.max(1);
        for (due_ms, id) in &self.order {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            for (index, item) in &mut job.items {
                if *left == 0 || rooms.is_empty() {
                    return;
                }
                if item.waiting.breaks >= suspected || !pass.admits(item, *due_ms) {
                    continue;
                }
                let Some(route) = routes.find(&job.route.host, &item.path) else {
                    continue;
                };
                let avoid = item.waiting.avoid.clone();
                let best = rooms
                    .iter_mut()
                    .filter(|(room, server)| *room > 0 && route.allows(&server.service))
                    .max_by_key(|(room, server)| (Some(&server.id) != avoid.as_ref(), *room));
                let Some((room, server)) = best else {
                    continue;
                };
                *room -= 1;
                *left -= 1;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                let host = &job.route.host;
                let start = self.runs.begin(key, host, item, server, pass.now_ms);
                actions.push(Action::Start(start));
            }
            rooms.retain(|(room, _)| *room > 0);
        }
    }
}
