//! Items that start where online requests leave slots free.

use bw_wire::name::Name;

use super::{Action, Dispatch, Item, Key, Server, Start, State};
use crate::route;

impl Dispatch {
    /// Starts items where slots are free.
    pub(super) fn start(
        &mut self,
        servers: &[Server],
        routes: &route::Table,
        now_ms: u64,
        actions: &mut Vec<Action>,
    ) {
        if now_ms < self.held_until_ms {
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
            self.start_trials(late, &mut rooms, routes, now_ms, &mut trials, actions);
            self.start_some(late, &mut rooms, routes, now_ms, &mut left, actions);
        }
    }

    /// Starts trials of suspects that can be complete in time, or of those that
    /// will be late; the ones with the fewest broken trials first.
    fn start_trials(
        &mut self,
        late: bool,
        rooms: &mut [(u32, &Server)],
        routes: &route::Table,
        now_ms: u64,
        left: &mut usize,
        actions: &mut Vec<Action>,
    ) {
        if *left == 0 {
            return;
        }
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
            let remaining_ms = self.estimate.remaining_ms(item.waiting.progress.last);
            let fits = matches!(item.state, State::Waiting)
                && now_ms >= item.waiting.not_before_ms
                && (self.options.late_last && now_ms + remaining_ms > due_ms) == late;
            let Some(route) = routes.find(&job.place.host, &item.path).filter(|_| fits) else {
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
            self.starts += 1;
            self.runs.entry(server.id.clone()).or_default().all += 1;
            self.trials.began(&key, &server.id, now_ms);
            let place = (&server.id, &server.address);
            let start = begin(key, &job.place.host, item, (self.starts, now_ms), place);
            actions.push(Action::Start(Start {
                trial: true,
                ..start
            }));
        }
    }

    /// Starts items that can be complete in time, or those that will be late.
    fn start_some(
        &mut self,
        late: bool,
        rooms: &mut Vec<(u32, &Server)>,
        routes: &route::Table,
        now_ms: u64,
        left: &mut usize,
        actions: &mut Vec<Action>,
    ) {
        let estimate = self.estimate.clone();
        let late_last = self.options.late_last;
        let suspected = self.options.trials.breaks.max(1);
        for (due_ms, id) in &self.order {
            let Some(job) = self.jobs.get_mut(id) else {
                continue;
            };
            for (index, item) in &mut job.items {
                if *left == 0 || rooms.is_empty() {
                    return;
                }
                let remaining_ms = estimate.remaining_ms(item.waiting.progress.last);
                let ready = matches!(item.state, State::Waiting)
                    && now_ms >= item.waiting.not_before_ms
                    && item.waiting.breaks < suspected
                    && (late_last && now_ms + remaining_ms > *due_ms) == late;
                let Some(route) = routes.find(&job.place.host, &item.path).filter(|_| ready) else {
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
                self.starts += 1;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                let place = (&server.id, &server.address);
                self.runs.entry(server.id.clone()).or_default().all += 1;
                let start = begin(key, &job.place.host, item, (self.starts, now_ms), place);
                actions.push(Action::Start(start));
            }
            rooms.retain(|(room, _)| *room > 0);
        }
    }
}

/// Marks an item as running and describes its run.
pub(super) fn begin(
    key: Key,
    host: &Name,
    item: &mut Item,
    (started, since_ms): (u64, u64),
    (server, address): (&Name, &Name),
) -> Start {
    item.state = State::Running {
        server: server.clone(),
        started,
        since_ms,
        stopping: false,
    };
    Start {
        key,
        id: item.id.clone(),
        host: host.clone(),
        path: item.path.clone(),
        headers: item.headers.clone(),
        server: server.clone(),
        address: address.clone(),
        progress: item.waiting.progress.clone(),
        orphan: None,
        trial: false,
    }
}
