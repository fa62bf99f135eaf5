//! A simulated fleet of backend servers that crash.

#![allow(dead_code, reason = "each test file uses a part of the support")]

pub mod work;

use std::collections::BTreeSet;

use bw_relay::{
    dispatch::{Action, Dispatcher, Key, Options, Outcome, Server, Start},
    ledger::{Command, Ledger, NewItem, NewJob},
    route,
};

/// Time between two calls of [`Dispatcher::plan`], in milliseconds.
const STEP_MS: u64 = 20;
/// Requests that a backend server runs concurrently.
const SLOTS: u32 = 8;
/// Time after which a backend server that crashed has restarted, in milliseconds.
pub const RESTART_MS: u64 = 3_000;
/// Time from the start of a run to its first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 300;
/// Time from the start of a run to the crash that its item causes, in milliseconds.
const CRASH_MS: u64 = 40;
/// Delay after which failed online requests are reported to the leader, in milliseconds.
const REPORT_MS: u64 = 40;
/// Events of a complete output.
const EVENTS: u64 = 100;
/// Time after which an item may be given up, in milliseconds.
const GIVE_UP_MS: u64 = 300_000;
/// Time between two events, in milliseconds.
const EVENT_MS: u64 = 20;

/// A run of an item.
#[derive(Clone, Debug)]
pub struct Run {
    pub key: Key,
    server: usize,
    began_ms: u64,
    /// The number of the last event before the run.
    before: u64,
    trial: bool,
}

impl Run {
    /// Returns the number of the last event.
    fn last(&self, now_ms: u64) -> u64 {
        let Some(since_ms) = now_ms.checked_sub(self.began_ms + FIRST_EVENT_MS) else {
            return self.before;
        };
        (self.before + 1 + since_ms / EVENT_MS).min(EVENTS)
    }
}

/// A start of an item.
#[derive(Clone, Debug)]
struct Started {
    at_ms: u64,
    key: Key,
}

/// A dispatcher and the backend servers that it uses.
pub struct Fleet {
    dispatch: Dispatcher,
    ledger: Ledger,
    routes: route::Table,
    pub now_ms: u64,
    /// When each backend server has restarted after its last crash.
    up_again_ms: Vec<u64>,
    /// Online requests, which are spread evenly over the backend servers that are up.
    pub online: u32,
    /// Jobs whose items crash every backend server that begins to run them.
    crashing: BTreeSet<String>,
    /// Whether the next trial produces no event and does not end.
    pub hang_next_trial: bool,
    hanging: Option<Key>,
    pub runs: Vec<Run>,
    started: Vec<Started>,
    completed: Vec<Key>,
    /// Failed online requests that are not reported yet: when they will be, the index of
    /// the backend server and their number.
    failed_requests: Vec<(u64, usize, u32)>,
    /// The times at which items caused crashes.
    pub caused_crashes_ms: Vec<u64>,
}

impl Fleet {
    pub fn new(servers: usize, online: u32) -> Fleet {
        Fleet {
            dispatch: Dispatcher::new(Options::default()),
            ledger: Ledger::default(),
            routes: work::routes(GIVE_UP_MS),
            now_ms: 0,
            up_again_ms: vec![0; servers],
            online,
            crashing: BTreeSet::new(),
            hang_next_trial: false,
            hanging: None,
            runs: Vec::new(),
            started: Vec::new(),
            completed: Vec::new(),
            failed_requests: Vec::new(),
            caused_crashes_ms: Vec::new(),
        }
    }

    /// Submits a job of harmless items.
    pub fn submit(&mut self, id: &str, items: usize) {
        let items = (0..items).map(|index| NewItem {
            id: format!("{id}-{index}").as_str().into(),
            path: "/p/x".into(),
            headers: Vec::new(),
            body: Vec::new(),
            tokens: 10,
        });
        self.ledger.execute(Command::Submit(Box::new(NewJob {
            id: id.into(),
            route: route::Key {
                host: "a.example".into(),
                prefix: "/p/".into(),
            },
            submitted_ms: self.now_ms,
            complete_ms: 18_000,
            give_up_ms: GIVE_UP_MS,
            attempts: 3,
            items: items.collect(),
        })));
        self.dispatch
            .add(&id.into(), &self.ledger.jobs()[id], work::unjudged);
    }

    /// Submits a job whose items crash every backend server.
    pub fn submit_crashing(&mut self, id: &str, items: usize) {
        self.crashing.insert(id.to_owned());
        self.submit(id, items);
    }

    pub fn is_up(&self, server: usize) -> bool {
        self.now_ms >= self.up_again_ms[server]
    }

    pub fn servers_down(&self) -> usize {
        let servers = 0..self.up_again_ms.len();
        servers.filter(|server| !self.is_up(*server)).count()
    }

    /// Returns the backend servers with runs of a job that have produced no event yet.
    pub fn servers_without_event(&self, job: &str) -> Vec<usize> {
        let runs = self
            .runs
            .iter()
            .filter(|run| &*run.key.job == job && run.last(self.now_ms) == run.before);
        runs.map(|run| run.server).collect()
    }

    /// Returns the times at which items of a job started, in order.
    pub fn start_times(&self, job: &str) -> Vec<u64> {
        let started = self
            .started
            .iter()
            .filter(|started| &*started.key.job == job);
        started.map(|started| started.at_ms).collect()
    }

    pub fn completed_items(&self, job: &str) -> usize {
        let completed = self.completed.iter();
        completed.filter(|key| &*key.job == job).count()
    }

    /// Crashes a backend server, which breaks off all that it runs.
    pub fn crash(&mut self, server: usize) {
        let reported_ms = self.now_ms + REPORT_MS;
        let online = self.online_per_server().min(SLOTS);
        self.failed_requests.push((reported_ms, server, online));
        self.up_again_ms[server] = self.now_ms + RESTART_MS;
        let (broken, kept) = std::mem::take(&mut self.runs)
            .into_iter()
            .partition::<Vec<Run>, _>(|run| run.server == server);
        self.runs = kept;
        for run in broken {
            let outcome = Outcome::Broken(work::progress(run.last(self.now_ms)));
            self.end(&run.key, outcome);
        }
    }

    /// Advances the simulation to a time.
    pub fn run_until(&mut self, until_ms: u64) {
        while self.now_ms < until_ms {
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now_ms += STEP_MS;
        self.report();
        let servers = self.servers();
        for action in self.dispatch.plan(&servers, &self.routes, self.now_ms) {
            match action {
                Action::Start(start) => self.start(start),
                Action::Preempt(key) => self.stop(&key),
                Action::GiveUp(key, reason) => panic!("{key:?} was given up: {reason:?}"),
            }
        }
        for run in self.runs.clone() {
            self.advance(&run);
        }
    }

    /// Returns the online requests at each backend server that is up.
    fn online_per_server(&self) -> u32 {
        let up = self.up_again_ms.len() - self.servers_down();
        self.online.div_ceil(up.max(1) as u32)
    }

    /// Reports failed online requests to the dispatcher, as entry VMs do.
    fn report(&mut self) {
        let now_ms = self.now_ms;
        let reported = self
            .failed_requests
            .extract_if(.., |(at_ms, _, _)| *at_ms <= now_ms);
        for (_, server, count) in reported {
            let server = name(server).as_str().into();
            self.dispatch.requests_failed(&server, count, now_ms);
        }
    }

    fn servers(&self) -> Vec<Server> {
        let online = self.online_per_server();
        // A backend server that is down fails online requests and is ejected.
        let listed = (0..self.up_again_ms.len()).filter(|index| self.is_up(*index));
        let servers = listed.map(|index| Server {
            id: name(index).as_str().into(),
            address: "10.0.0.1:80".into(),
            service: "desk".into(),
            slots: SLOTS,
            online,
        });
        servers.collect()
    }

    fn start(&mut self, start: Start) {
        let servers = 0..self.up_again_ms.len();
        let mut servers = servers.filter(|index| name(*index) == *start.server);
        let server = servers.next().expect("a known backend server");
        if start.trial && std::mem::take(&mut self.hang_next_trial) {
            self.hanging = Some(start.key.clone());
        }
        self.started.push(Started {
            at_ms: self.now_ms,
            key: start.key.clone(),
        });
        self.runs.push(Run {
            key: start.key,
            server,
            began_ms: self.now_ms,
            before: start.progress.last,
            trial: start.trial,
        });
    }

    fn stop(&mut self, key: &Key) {
        let index = self.runs.iter().position(|run| run.key == *key);
        let run = self.runs.remove(index.expect("a current run"));
        let progress = work::progress(run.last(self.now_ms));
        self.end(key, Outcome::Broken(progress));
    }

    /// Advances a run to the current time.
    fn advance(&mut self, run: &Run) {
        if !self.runs.iter().any(|known| known.key == run.key) {
            return;
        }
        if self.crashing.contains(&*run.key.job) {
            if self.now_ms >= run.began_ms + CRASH_MS {
                self.caused_crashes_ms.push(self.now_ms);
                self.crash(run.server);
            }
            return;
        }
        if self.hanging.as_ref() == Some(&run.key) {
            return;
        }
        let last = run.last(self.now_ms);
        if run.trial && last > run.before {
            self.dispatch.progressed(&run.key);
        }
        if last == EVENTS {
            self.runs.retain(|known| known.key != run.key);
            self.end(&run.key, Outcome::Completed(work::progress(last)));
        }
    }

    fn end(&mut self, key: &Key, outcome: Outcome) {
        let ended = self.dispatch.ended(key, outcome, self.now_ms);
        if ended.is_some() {
            self.dispatch.recorded(key);
            self.completed.push(key.clone());
        }
    }
}

fn name(server: usize) -> String {
    format!("s{server}")
}
