//! Which batch items run where, decided by the leader.
//!
//! Online requests come first: items run only in slots that online requests
//! leave free, and give them back when online load rises. What an item has
//! produced is kept, so that it goes on elsewhere.
//!
//! Items run in the order in which their jobs are due. One that cannot be
//! complete in time any more runs after all that can: under overload it would
//! make the next one late too, and so on.

mod adopt;
mod estimate;
pub mod trial;

use std::{
    cmp,
    collections::{BTreeMap, BTreeSet},
};

use bw_wire::name::Name;
use serde::Deserialize;

use crate::{ledger, route};

pub use adopt::{Adoption, EVICTION_MS, Eviction, Survey};
use estimate::Estimate;

/// Limits of the dispatch.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Slots of each backend server that items leave free when they start. None
    /// are needed while entry VMs tell the leader at once of requests that need
    /// a slot: a run then gives way within a few milliseconds.
    pub reserve: u32,
    /// Items that may be started in one step, so that a leader with a long
    /// queue does not start all at the load that it saw a moment ago.
    pub starts: usize,
    /// Pause before an item whose run failed runs again, in milliseconds.
    pub pause_ms: u64,
    /// Longest such pause in milliseconds.
    pub pause_max_ms: u64,
    /// How items are tried under which backend servers crashed.
    pub trials: trial::Options,
    /// How long no item starts at a backend server that failed one, in
    /// milliseconds; the leader learns within this time whether it fails others.
    pub failed_ms: u64,
    /// How long no item starts at a backend server that turned out to be full,
    /// in milliseconds: about half the time of an online request.
    pub crowded_ms: u64,
    /// How long no item starts at a backend server that took one back, in
    /// milliseconds: a quarter of the time of an online request. Online load rises
    /// there, and the next slot that becomes free would be taken back as well; each
    /// start costs the reading of what the item has so far.
    pub evicted_ms: u64,
    /// Whether items that will be late run after all others.
    pub late_last: bool,
    /// Whether a new leader looks for the runs of a former one.
    pub adopt: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            reserve: 0,
            starts: 16,
            pause_ms: 200,
            pause_max_ms: 2_000,
            trials: trial::Options::default(),
            failed_ms: 1_000,
            crowded_ms: 400,
            evicted_ms: 200,
            late_last: true,
            adopt: true,
        }
    }
}

/// Names an item.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Key {
    /// The job.
    pub job: Name,
    /// The item's index.
    pub item: u32,
}

/// What an item has produced so far.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// The number of the last event that is stored in the ledger.
    pub saved: u64,
    /// The number of the last event, 0 before the first.
    pub last: u64,
    /// The data of the events that are not stored yet, in order.
    pub data: Vec<String>,
    /// The bytes of all events that this leader has seen.
    pub bytes: usize,
}

impl Progress {
    /// Adds the next event.
    pub fn push(&mut self, data: String) {
        self.last += 1;
        self.bytes += data.len();
        self.data.push(data);
    }

    /// Returns the bytes of the output that is not stored yet.
    pub fn unsaved_bytes(&self) -> usize {
        self.data.iter().map(String::len).sum()
    }

    /// Returns the output that is not stored yet.
    pub fn unsaved(&self) -> ledger::Output {
        ledger::Output {
            after: self.saved,
            data: self.data.clone(),
        }
    }

    /// Notes that everything so far is stored.
    pub fn save(&mut self) {
        self.saved = self.last;
        self.data.clear();
    }
}

/// A backend server as the leader sees it.
#[derive(Clone, Debug)]
pub struct Server {
    /// The id.
    pub id: Name,
    /// The address.
    pub address: Name,
    /// The service.
    pub service: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Online requests in flight there.
    pub online: u32,
}

/// An item to run now.
#[derive(Clone, Debug)]
pub struct Start {
    /// The item.
    pub key: Key,
    /// The id of the item, its request id.
    pub id: Name,
    /// The host of its route.
    pub host: Name,
    /// Its path with the query.
    pub path: Name,
    /// Its headers.
    pub headers: Vec<(Name, Name)>,
    /// The backend server.
    pub server: Name,
    /// Its address.
    pub address: Name,
    /// What earlier runs produced.
    pub progress: Progress,
    /// The address of a backend server where the item still runs for a former
    /// leader. That run is stopped first and its memory moved to `server`.
    pub orphan: Option<Name>,
    /// Whether [`Dispatch::progressed`] must be called at the first new event.
    pub trial: bool,
}

/// What to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Run an item.
    Start(Start),
    /// Stop a run to make room for online requests; its progress is kept.
    Preempt(Key),
    /// List an item as given up.
    GiveUp(Key, Reason),
}

/// Why an item is given up.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It waited too long.
    Expired,
    /// Its route is gone.
    RouteGone,
}

/// How a run ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The whole output is there.
    Completed(Progress),
    /// The run broke off or was stopped. What it produced counts.
    Broken(Progress),
    /// The backend server says that the run failed.
    Failed(Progress),
    /// The backend server says that the item can never be done.
    Impossible,
    /// The backend server refused it or could not be reached.
    NotRun(Progress),
    /// Online requests wait at the backend server although the leader believed
    /// that a slot was free there, as long as runs of a leader before still
    /// hold slots. The run gave its own back.
    Crowded(Progress),
}

impl Outcome {
    /// Returns the last event, if the run got any.
    fn last_event(&self) -> Option<u64> {
        match self {
            Outcome::Completed(progress)
            | Outcome::Broken(progress)
            | Outcome::Failed(progress)
            | Outcome::NotRun(progress)
            | Outcome::Crowded(progress) => Some(progress.last),
            Outcome::Impossible => None,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiting {
    failures: u32,
    /// Runs in a row that broke off without an event.
    breaks: u32,
    not_before_ms: u64,
    avoid: Option<Name>,
    progress: Progress,
}

#[derive(Clone, Debug)]
enum State {
    Waiting,
    Running {
        server: Name,
        /// Numbers the starts.
        started: u64,
        /// Unix time of the start.
        since_ms: u64,
        stopping: bool,
    },
    Recording,
}

#[derive(Clone, Debug)]
struct Item {
    id: Name,
    path: Name,
    headers: Vec<(Name, Name)>,
    tokens: u64,
    state: State,
    waiting: Waiting,
}

#[derive(Clone, Debug)]
struct Job {
    place: route::Place,
    due_ms: u64,
    expires_ms: u64,
    attempts: u32,
    items: BTreeMap<u32, Item>,
}

/// The number of runs at one backend server.
#[derive(Clone, Copy, Debug, Default)]
struct Runs {
    all: u32,
    /// Those that are being stopped.
    stopping: u32,
}

/// The items of all open jobs.
#[derive(Clone, Debug)]
pub struct Dispatch {
    options: Options,
    jobs: BTreeMap<Name, Job>,
    /// Open jobs by due time.
    order: BTreeSet<(u64, Name)>,
    starts: u64,
    estimate: Estimate,
    /// Runs by backend server.
    runs: BTreeMap<Name, Runs>,
    /// Backend servers that failed and when they may be used again.
    paused: BTreeMap<Name, u64>,
    trials: trial::Trials,
    /// Until then no item starts: a new leader knows neither the online requests
    /// nor the runs that a former leader left behind.
    held_until_ms: u64,
}

impl Dispatch {
    /// Starts without jobs.
    pub fn new(options: Options) -> Dispatch {
        Dispatch {
            options,
            jobs: BTreeMap::new(),
            order: BTreeSet::new(),
            starts: 0,
            estimate: Estimate::default(),
            runs: BTreeMap::new(),
            paused: BTreeMap::new(),
            trials: trial::Trials::new(options.trials),
            held_until_ms: 0,
        }
    }

    /// Adds the unlisted items of an open job; a known job stays as it is.
    pub fn add(&mut self, id: &Name, job: &ledger::Job) {
        if self.jobs.contains_key(id) || !job.is_open() {
            return;
        }
        let unlisted = job
            .items
            .iter()
            .enumerate()
            .filter(|(_, item)| !item.listed);
        let items = unlisted.map(|(index, item)| (index as u32, new_item(item)));
        let due_ms = job.submitted_ms.saturating_add(job.complete_ms);
        let known = Job {
            place: job.place.clone(),
            due_ms,
            expires_ms: job.submitted_ms.saturating_add(job.give_up_ms),
            attempts: job.attempts.max(1),
            items: items.collect(),
        };
        self.order.insert((due_ms, id.clone()));
        self.jobs.insert(id.clone(), known);
    }

    /// Removes a job that was ended; returns its running items.
    pub fn remove(&mut self, id: &Name) -> Vec<Key> {
        let Some(job) = self.jobs.remove(id) else {
            return Vec::new();
        };
        self.order.remove(&(job.due_ms, id.clone()));
        let mut keys = Vec::new();
        for (item, known) in job.items {
            let job = id.clone();
            let key = Key { job, item };
            self.trials.forget(&key);
            let State::Running {
                server, stopping, ..
            } = known.state
            else {
                continue;
            };
            self.run_ended(&server, stopping);
            keys.push(key);
        }
        keys
    }

    /// Returns the number of runs at a backend server.
    pub fn running(&self, server: &str) -> u32 {
        self.runs.get(server).map_or(0, |runs| runs.all)
    }

    /// Returns the number of runs at a backend server that are not being stopped.
    fn staying(&self, server: &str) -> u32 {
        let runs = self.runs.get(server);
        runs.map_or(0, |runs| runs.all - runs.stopping)
    }

    /// Counts a run that has ended.
    fn run_ended(&mut self, server: &str, stopping: bool) {
        let Some(runs) = self.runs.get_mut(server) else {
            return;
        };
        runs.all = runs.all.saturating_sub(1);
        if stopping {
            runs.stopping = runs.stopping.saturating_sub(1);
        }
        if runs.all == 0 {
            self.runs.remove(server);
        }
    }

    /// Returns the number of items that are not listed.
    pub fn open_items(&self) -> usize {
        self.jobs.values().map(|job| job.items.len()).sum()
    }

    /// Decides what to do now. `now_ms` is Unix time, as due times are.
    pub fn plan(&mut self, servers: &[Server], routes: &route::Table, now_ms: u64) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(routes, now_ms, &mut actions);
        self.preempt(servers, now_ms, &mut actions);
        self.start(servers, routes, now_ms, &mut actions);
        actions
    }

    /// Returns the number of items that are tried before they run as others do.
    pub fn suspects(&self) -> usize {
        self.trials.suspects()
    }

    /// Returns what changed for suspects since the last call.
    pub fn take_notes(&mut self) -> Vec<trial::Note> {
        self.trials.take_notes()
    }

    /// Notes that online requests failed at a backend server: if others crash too,
    /// an item is not to blame for the crash of its own.
    pub fn requests_failed(&mut self, server: &Name, count: u32, now_ms: u64) {
        self.trials.requests_failed(server, count, now_ms);
    }

    /// Notes the first new event of a run, which ends a trial.
    pub fn progressed(&mut self, key: &Key) {
        let job = self.jobs.get_mut(&key.job);
        if let Some(item) = job.and_then(|job| job.items.get_mut(&key.item)) {
            item.waiting.breaks = 0;
            self.trials.passed(key);
        }
    }

    /// Takes the end of a run. Returns the output to record if the item is done.
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
        self.run_ended(&server, stopping);
        self.judge(key, &outcome, (&server, stopping), now_ms);
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
                // One that fails all that it runs fails the next item as fast.
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
            // What has not run says nothing of the item.
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

    /// Judges from the end of a run whether its item may crash backend servers.
    fn judge(
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
            self.trials.broke(server, now_ms);
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
                        self.trials.add(key, &item.id, server, breaks, now_ms);
                    }
                    cmp::Ordering::Greater => self.trials.failed(key, now_ms),
                }
                return;
            }
            Outcome::Broken(_) | Outcome::NotRun(_) | Outcome::Crowded(_) => {
                self.trials.stopped(key);
                return;
            }
        }
        item.waiting.breaks = 0;
        self.trials.passed(key);
    }

    /// Notes that the end of an item is durable. Returns the item's route and
    /// tokens, which no longer wait, unless its job was removed.
    pub fn recorded(&mut self, key: &Key) -> Option<(route::Place, u64)> {
        let job = self.jobs.get_mut(&key.job)?;
        let item = job.items.remove(&key.item)?;
        self.trials.forget(key);
        let place = job.place.clone();
        if job.items.is_empty() {
            self.remove(&key.job);
        }
        Some((place, item.tokens))
    }

    fn expire(&mut self, routes: &route::Table, now_ms: u64, actions: &mut Vec<Action>) {
        for (id, job) in &mut self.jobs {
            let expired = now_ms >= job.expires_ms;
            for (index, item) in &mut job.items {
                if !matches!(item.state, State::Waiting) {
                    continue;
                }
                let reason = match routes.find(&job.place.host, &item.path) {
                    None => Reason::RouteGone,
                    Some(_) if expired => Reason::Expired,
                    Some(_) => continue,
                };
                item.state = State::Recording;
                let key = Key {
                    job: id.clone(),
                    item: *index,
                };
                actions.push(Action::GiveUp(key, reason));
            }
        }
    }

    /// Takes items back where online requests and items exceed the slots.
    fn preempt(&mut self, servers: &[Server], now_ms: u64, actions: &mut Vec<Action>) {
        for server in servers {
            // Runs that are being stopped have given their slots back already.
            let batch = self.staying(&server.id);
            let mut excess = (server.online + batch)
                .saturating_sub(server.slots)
                .min(batch);
            while excess > 0 {
                let Some(key) = self.least_urgent_run(&server.id, now_ms) else {
                    break;
                };
                self.mark_stopping(&key);
                let until_ms = now_ms + self.options.evicted_ms;
                self.paused.insert(server.id.clone(), until_ms);
                actions.push(Action::Preempt(key));
                excess -= 1;
            }
        }
    }

    /// Returns the run at a backend server that can wait best: one that will be
    /// late anyhow, then the one with the most time to spare, then the newest,
    /// which has the least to read again.
    fn least_urgent_run(&self, id: &Name, now_ms: u64) -> Option<Key> {
        let mut chosen: Option<((bool, u64, u64), Key)> = None;
        for (job, known) in &self.jobs {
            for (index, item) in &known.items {
                let State::Running {
                    server,
                    started,
                    since_ms,
                    stopping: false,
                } = &item.state
                else {
                    continue;
                };
                if server != id {
                    continue;
                }
                let ran_ms = now_ms.saturating_sub(*since_ms);
                let made = item.waiting.progress.last + self.estimate.events_in(ran_ms);
                let spare_ms = self.spare_ms(known.due_ms, made, now_ms);
                let rank = (
                    spare_ms.is_none(),
                    spare_ms.unwrap_or(known.due_ms),
                    *started,
                );
                if chosen.as_ref().is_none_or(|(best, _)| rank > *best) {
                    let key = Key {
                        job: job.clone(),
                        item: *index,
                    };
                    chosen = Some((rank, key));
                }
            }
        }
        chosen.map(|(_, key)| key)
    }

    /// Returns the time that an item can still wait and be complete when its job
    /// is due; `None` if it will be late.
    fn spare_ms(&self, due_ms: u64, made: u64, now_ms: u64) -> Option<u64> {
        due_ms.checked_sub(now_ms + self.estimate.remaining_ms(made))
    }

    fn mark_stopping(&mut self, key: &Key) {
        let job = self.jobs.get_mut(&key.job);
        let item = job.and_then(|job| job.items.get_mut(&key.item));
        if let Some(State::Running {
            server, stopping, ..
        }) = item.map(|item| &mut item.state)
        {
            *stopping = true;
            self.runs.entry(server.clone()).or_default().stopping += 1;
        }
    }

    fn start(
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
fn begin(
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

fn new_item(item: &ledger::Item) -> Item {
    Item {
        id: item.id.clone(),
        path: item.path.clone(),
        headers: item.headers.clone(),
        tokens: item.tokens,
        state: State::Waiting,
        waiting: Waiting {
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
