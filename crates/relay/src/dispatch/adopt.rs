//! Runs that a former leader left behind.

use std::collections::BTreeMap;

use bw_wire::name::Name;

use super::{Action, Dispatch, Key, Server, Start, State, begin};

/// What a backend server runs, as it stated it to a new leader.
#[derive(Clone, Debug)]
pub struct Survey {
    /// The backend server.
    pub server: Server,
    /// The ids of the requests that it runs.
    pub runs: Vec<Name>,
}

impl Dispatch {
    /// Lets no item start before a Unix time, unless [`Dispatch::adopt`] is called
    /// earlier.
    pub fn hold(&mut self, until_ms: u64) {
        self.held_until_ms = until_ms;
    }

    /// Takes over runs that a former leader left behind, and lets items start.
    ///
    /// A backend server whose caller froze or lost power works on. Without this
    /// the item would run twice, and the run that nobody reads would keep its
    /// slot from online requests for seconds.
    pub fn adopt(&mut self, surveys: &[Survey], now_ms: u64) -> Vec<Action> {
        self.held_until_ms = 0;
        let mut places = BTreeMap::new();
        for (index, survey) in surveys.iter().enumerate() {
            places.extend(survey.runs.iter().map(|id| (id, index)));
        }
        let free = |survey: &Survey| survey.server.slots as i64 - survey.runs.len() as i64;
        let mut free: Vec<i64> = surveys.iter().map(free).collect();
        let mut actions = Vec::new();
        for (id, job) in &mut self.jobs {
            for (index, item) in &mut job.items {
                let place = places.get(&item.id);
                let Some(&from) = place.filter(|_| matches!(item.state, State::Waiting)) else {
                    continue;
                };
                let service = &surveys[from].server.service;
                let others = surveys
                    .iter()
                    .enumerate()
                    .filter(|(other, survey)| *other != from && survey.server.service == *service);
                // Memory moves to another backend server only, so a single one
                // runs the item to its end.
                let Some((to, target)) = others.max_by_key(|(other, _)| free[*other]) else {
                    continue;
                };
                free[to] -= 1;
                free[from] += 1;
                self.starts += 1;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                let place = (&target.server.id, &target.server.address);
                self.runs.entry(place.0.clone()).or_default().all += 1;
                let start = begin(key, &job.host, item, (self.starts, now_ms), place);
                actions.push(Action::Start(Start {
                    orphan: Some(surveys[from].server.address.clone()),
                    ..start
                }));
            }
        }
        actions
    }
}
