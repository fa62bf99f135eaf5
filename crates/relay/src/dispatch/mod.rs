//! Scheduling of batch items on backend servers, by the leader.
//!
//! Online requests have priority: items run only in slots that online requests leave
//! free, and are preempted when the online load rises. The output of a preempted item
//! is kept, so that another run resumes after it.
//!
//! Items run earliest due time first. An item that can no longer be complete in time
//! runs after all those that can: under overload it would make the next item late, that
//! one the next, and so on.

mod adopt;
mod end;
mod estimate;
mod hold;
mod options;
mod preempt;
mod run;
mod runs;
mod start;
pub mod trial;
pub mod wait;

use std::collections::{BTreeMap, BTreeSet};

use bw_wire::name::Name;

use crate::{ledger, route, suspect, unix_time};

pub use adopt::{Adoption, EVICTION_MS, Eviction, Survey};
use estimate::Estimate;
pub use hold::{Hold, Refusal};
pub use options::Options;
pub use run::{Outcome, Progress, Start};
use runs::Runs;

/// Identifies an item by its job and its place in the job.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The id of the job.
    pub job: Name,
    /// The index of the item in the job.
    pub item: u32,
}

/// A backend server as the leader knows it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id under which it announces itself.
    pub id: Name,
    /// The IP address and port.
    pub address: Name,
    /// The service that it runs.
    pub service: Name,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Online requests in flight there.
    pub online: u32,
}

/// An action that the caller must carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Start a run of an item.
    Start(Start),
    /// Stop the run of an item to free its slot for online requests. Its progress is
    /// kept.
    Preempt(Key),
    /// Record an item as given up.
    GiveUp(Key, Reason),
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It did not end within the time after which its route gives items up.
    Expired,
    /// Its route was removed from the configuration.
    RouteGone,
}

/// What earlier runs of an item left for the next one.
#[derive(Clone, Debug)]
struct Waiting {
    /// Unix time of the end of the last run, or of the acceptance of the job.
    since_ms: u64,
    /// Runs that failed according to the backend server.
    failures: u32,
    /// Runs in a row that broke off without an event.
    breaks: u32,
    /// Unix time before which the item does not start.
    not_before_ms: u64,
    /// The backend server of the last run, if another one is to be preferred.
    avoid: Option<Name>,
    progress: Progress,
}

#[derive(Clone, Debug)]
enum State {
    Waiting,
    Running {
        server: Name,
        /// The number of the run, in the order of the starts.
        number: u64,
        /// Unix time of the start.
        since_ms: u64,
        /// Whether the run was preempted but has not ended yet.
        stopping: bool,
    },
    /// The item has ended, but this is not durable yet.
    Recording,
}

#[derive(Clone, Debug)]
struct Item {
    id: Name,
    /// What the backend server is asked for. It says nothing about the route.
    path: Name,
    headers: Vec<(Name, Name)>,
    tokens: u64,
    /// The parts of its prompt that it is judged by.
    request: suspect::Request,
    state: State,
    waiting: Waiting,
}

#[derive(Clone, Debug)]
struct Job {
    /// The route of the submission, which all items belong to.
    route: route::Key,
    /// Unix time at which the results are due.
    due_ms: u64,
    /// Unix time from which waiting items are given up.
    expires_ms: u64,
    attempts: u32,
    /// The items that are not listed, by index.
    items: BTreeMap<u32, Item>,
}

/// Decides which items of the open jobs run, and where.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    options: Options,
    jobs: BTreeMap<Name, Job>,
    /// Open jobs by due time.
    order: BTreeSet<(u64, Name)>,
    estimate: Estimate,
    runs: Runs,
    /// Backend servers at which no item starts now, with the Unix time at which that
    /// ends.
    paused: BTreeMap<Name, u64>,
    trials: trial::Trials,
    holds: hold::Holds,
    /// Unix time before which no item starts: a new leader knows neither the online
    /// requests nor the runs that a former leader left behind.
    no_starts_before_ms: u64,
}

impl Dispatcher {
    /// Creates a dispatcher without jobs.
    pub fn new(options: Options) -> Dispatcher {
        Dispatcher {
            options,
            jobs: BTreeMap::new(),
            order: BTreeSet::new(),
            estimate: Estimate::default(),
            runs: Runs::default(),
            paused: BTreeMap::new(),
            trials: trial::Trials::new(options.trials),
            holds: hold::Holds::default(),
            no_starts_before_ms: 0,
        }
    }

    /// Adds the unlisted items of an open job that was submitted to this leader. A known
    /// job does not change. `judge` returns what an item is judged by, from its headers.
    pub fn add(
        &mut self,
        id: &Name,
        job: &ledger::Job,
        judge: impl Fn(&[(Name, Name)]) -> suspect::Request,
    ) {
        self.insert(id, job, 0, judge);
    }

    /// Adds an open job like [`Dispatcher::add`] that was submitted to a former leader.
    /// The clock of that leader may have been behind, so the items are given up later by
    /// the largest clock skew.
    pub fn inherit(
        &mut self,
        id: &Name,
        job: &ledger::Job,
        judge: impl Fn(&[(Name, Name)]) -> suspect::Request,
    ) {
        self.insert(id, job, unix_time::MAX_SKEW_MS, judge);
    }

    fn insert(
        &mut self,
        id: &Name,
        job: &ledger::Job,
        skew_ms: u64,
        judge: impl Fn(&[(Name, Name)]) -> suspect::Request,
    ) {
        if self.jobs.contains_key(id) || !job.is_open() {
            return;
        }
        let unlisted = job
            .items
            .iter()
            .enumerate()
            .filter(|(_, item)| !item.listed);
        let since_ms = job.submitted_ms;
        let items = unlisted.map(|(index, item)| {
            let request = judge(&item.headers);
            (index as u32, new_item(item, request, since_ms))
        });
        let due_ms = job.submitted_ms.saturating_add(job.complete_ms);
        let known = Job {
            route: job.route.clone(),
            due_ms,
            expires_ms: job
                .submitted_ms
                .saturating_add(job.give_up_ms)
                .saturating_add(skew_ms),
            attempts: job.attempts.max(1),
            items: items.collect(),
        };
        self.order.insert((due_ms, id.clone()));
        self.jobs.insert(id.clone(), known);
    }

    /// Removes a job and returns those of its items that run.
    pub fn remove(&mut self, id: &Name) -> Vec<Key> {
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.order.remove(&(job.due_ms, id.clone()));
        let mut keys = Vec::new();
        for (item, known) in job.items {
            let job = id.clone();
            let key = Key { job, item };
            self.trials.remove(&key);
            self.holds.ended(&key, 0);
            let State::Running {
                server, stopping, ..
            } = known.state
            else {
                continue;
            };
            self.runs.end(&server, stopping);
            keys.push(key);
        }
        keys
    }

    /// Returns the number of runs at a backend server, including those that are being
    /// stopped.
    pub fn running(&self, server: &str) -> u32 {
        self.runs.at(server).all
    }

    /// Returns the number of items that are not listed.
    pub fn open_items(&self) -> usize {
        self.jobs.values().map(|job| job.items.len()).sum()
    }

    /// Returns the actions that are due now. `now_ms` is Unix time, as due times are.
    pub fn plan(&mut self, servers: &[Server], routes: &route::Table, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(routes, now_ms, &mut actions);
        self.preempt(servers, now_ms, &mut actions);
        self.start(servers, routes, now_ms, &mut actions);
        actions
    }

    /// Ends the holds of items whose parts are not refused any more, and returns them.
    pub fn release_holds(
        &mut self,
        is_refused: impl FnMut(&suspect::Request) -> bool,
    ) -> Vec<Hold> {
        self.holds.release(is_refused)
    }

    /// Records that an item that started runs, as no part of its prompt is refused.
    pub fn admitted(&mut self, key: &Key) {
        self.holds.admitted(key);
    }

    /// Records that an item runs as a trial of a part of its prompt that is refused.
    pub fn trial_began(&mut self, key: &Key, refusal: Refusal, now_ms: u64) {
        self.holds.trial_began(key, refusal, now_ms);
    }

    /// Returns whether an item is itself suspected of crashing backend servers.
    pub fn is_suspect(&self, key: &Key) -> bool {
        let job = self.jobs.get(&key.job);
        let item = job.and_then(|job| job.items.get(&key.item));
        item.is_some_and(|item| self.has_suspect_breaks(item.waiting.breaks))
    }

    /// Returns whether an item with this number of broken runs in a row is suspected.
    fn has_suspect_breaks(&self, breaks: u32) -> bool {
        breaks >= self.options.trials.breaks.max(1)
    }

    /// Records that a run that is the trial of a part has outlived the time in which a
    /// deadly part crashes its backend server, while the part is still refused.
    pub fn trial_lived(&mut self, key: &Key, now_ms: u64) {
        self.holds.trial_lived(key, now_ms);
    }

    /// Returns the number of suspects: items that may crash backend servers and run as
    /// trials only.
    pub fn suspects(&self) -> usize {
        self.trials.suspects()
    }

    /// Removes and returns the changes of suspects since the last call, for logs.
    pub fn take_notes(&mut self) -> Vec<trial::Note> {
        self.trials.take_notes()
    }

    fn expire(&mut self, routes: &route::Table, now_ms: u64, actions: &mut Vec<Action>) {
        for (id, job) in &mut self.jobs {
            let reason = match routes.get(&job.route) {
                None => Reason::RouteGone,
                Some(_) if now_ms >= job.expires_ms => Reason::Expired,
                Some(_) => continue,
            };
            for (index, item) in &mut job.items {
                if !matches!(item.state, State::Waiting) {
                    continue;
                }
                item.state = State::Recording;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                actions.push(Action::GiveUp(key, reason));
            }
        }
    }
}

fn new_item(item: &ledger::Item, request: suspect::Request, since_ms: u64) -> Item {
    Item {
        id: item.id.clone(),
        path: item.path.clone(),
        headers: item.headers.clone(),
        tokens: item.tokens,
        request,
        state: State::Waiting,
        waiting: Waiting {
            since_ms,
            failures: item.failures,
            breaks: 0,
            not_before_ms: 0,
            avoid: None,
            progress: Progress {
                saved: item.saved,
                last: item.saved,
                ..Progress::default()
            },
        },
    }
}
