//! Adoption of runs that a former leader left behind.

use std::collections::BTreeMap;

use bw_wire::name::Name;

use super::{Action, Dispatcher, Key, Server, Start, State};
use crate::route;

/// The runs that a backend server reported to a new leader.
#[derive(Clone, Debug)]
pub struct Survey {
    /// The backend server that reported.
    pub server: Server,
    /// The ids of the requests that it runs.
    pub runs: Vec<Name>,
}

/// What to do with the runs that a former leader left behind.
#[derive(Clone, Debug, Default)]
pub struct Adoption {
    /// Starts of items that continue at a backend server with a free slot.
    pub starts: Vec<Action>,
    /// Runs to be stopped one after the other, as there is no free slot for them.
    pub evictions: Vec<Eviction>,
    /// Addresses of the surveyed backend servers, the one with the most free slots first.
    pub targets: Vec<Name>,
}

/// A run that is to be stopped. Its item does not start again before [`EVICTION_MS`] have
/// passed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Eviction {
    /// The id of the item, which is its request id.
    pub id: Name,
    /// The address of the backend server that runs it.
    pub from: Name,
}

/// Time within which evictions are carried out, in milliseconds; their items wait as
/// long. An eviction takes a few milliseconds, and later the slots that become free have
/// gone to online requests.
pub const EVICTION_MS: u64 = 1_000;

impl Dispatcher {
    /// Defers the start of all items to a Unix time, or to the next call of
    /// [`Dispatcher::adopt`] if that is earlier.
    pub fn defer_starts(&mut self, until_ms: u64) {
        self.no_starts_before_ms = until_ms;
    }

    /// Adopts the runs that a former leader left behind, and allows items to start.
    ///
    /// A backend server continues a run whose caller froze or lost power. Without an
    /// adoption the item would run twice, and the run whose output nobody reads would
    /// deny its slot to online requests for seconds.
    ///
    /// A run at a service that the route of its job does not allow any more is stopped, and
    /// its item starts anew elsewhere.
    pub fn adopt(&mut self, surveys: &[Survey], routes: &route::Table, now_ms: u64) -> Adoption {
        self.no_starts_before_ms = 0;
        let mut run_locations = BTreeMap::new();
        for (index, survey) in surveys.iter().enumerate() {
            run_locations.extend(survey.runs.iter().map(|id| (id, index)));
        }
        let free = |survey: &Survey| survey.server.slots as i64 - survey.runs.len() as i64;
        let mut free: Vec<i64> = surveys.iter().map(free).collect();
        let open = self.jobs.values().flat_map(|job| job.items.values());
        let orphans = open
            .filter(|item| run_locations.contains_key(&item.id))
            .count() as i64;
        // If there are fewer free slots than such runs, none of the runs moves: each
        // eviction needs a free slot, and online requests need the others.
        let scarce = orphans > free.iter().map(|free| (*free).max(0)).sum();
        let mut adoption = Adoption::default();
        for (id, job) in &mut self.jobs {
            let route = routes.get(&job.route);
            for (index, item) in &mut job.items {
                let location = run_locations.get(&item.id);
                let Some(&from) = location.filter(|_| matches!(item.state, State::Waiting)) else {
                    continue;
                };
                let service = &surveys[from].server.service;
                let allowed = route.is_some_and(|route| route.allows(service));
                let others = surveys
                    .iter()
                    .enumerate()
                    .filter(|(other, survey)| *other != from && survey.server.service == *service);
                // The memory of a run can be moved to another backend server only. If
                // there is none, the run continues to its end.
                let target = others.max_by_key(|(other, _)| free[*other]);
                if allowed && target.is_none() {
                    continue;
                }
                let target = target.filter(|(to, _)| allowed && !scarce && free[*to] > 0);
                let Some((to, target)) = target else {
                    item.waiting.not_before_ms = now_ms + EVICTION_MS;
                    adoption.evictions.push(Eviction {
                        id: item.id.clone(),
                        from: surveys[from].server.address.clone(),
                    });
                    continue;
                };
                // The slot that the run leaves does not count as free, as all moves begin
                // at the same time.
                free[to] -= 1;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                let host = &job.route.host;
                let start = self.runs.begin(key, host, item, &target.server, now_ms);
                adoption.starts.push(Action::Start(Start {
                    orphan: Some(surveys[from].server.address.clone()),
                    ..start
                }));
            }
        }
        let mut targets: Vec<usize> = (0..surveys.len()).collect();
        targets.sort_by_key(|index| std::cmp::Reverse(free[*index]));
        let addresses = targets.iter().map(|index| &surveys[*index].server.address);
        adoption.targets = addresses.cloned().collect();
        adoption
    }
}
