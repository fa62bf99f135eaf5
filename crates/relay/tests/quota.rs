//! The quota of a route, compared with a model that adds up the tokens of all items.

use std::collections::BTreeMap;

use bw_coord::host::Machine;
use bw_relay::{
    ledger::{Applied, Command, End, Ledger, NewItem, NewJob, Output, Published},
    quota, route,
};
use proptest::prelude::*;

fn key(index: usize) -> route::Key {
    route::Key {
        host: "a.example".into(),
        prefix: format!("/{index}/").as_str().into(),
    }
}

fn job(id: usize, route: route::Key, tokens: &[u64]) -> Command {
    let items = tokens.iter().enumerate().map(|(index, tokens)| NewItem {
        id: format!("{id}-{index}").as_str().into(),
        path: "/p/x".into(),
        headers: Vec::new(),
        body: Vec::new(),
        tokens: *tokens,
    });
    Command::Submit(Box::new(NewJob {
        id: id.to_string().as_str().into(),
        route,
        submitted_ms: 1_000,
        complete_ms: 18_000,
        give_up_ms: 60_000,
        attempts: 3,
        items: items.collect(),
    }))
}

fn publish(version: u64, limits: &[u64]) -> Command {
    let routes = limits.iter().enumerate().map(|(index, limit)| {
        let key = key(index);
        route::Route {
            name: format!("r{index}").as_str().into(),
            host: key.host,
            prefix: key.prefix,
            kind: route::Kind::Batch,
            timeout_ms: 1_000,
            target_ms: 500,
            gap_ms: 0,
            shares: Vec::new(),
            attempts: 3,
            priority: 2,
            complete_ms: 18_000,
            give_up_ms: 60_000,
            waiting_tokens: *limit,
        }
    });
    Command::Publish(Box::new(Published {
        config: route::Config {
            version,
            routes: routes.collect(),
            services: Vec::new(),
            limits: route::Limits {
                header_bytes: 1,
                body_bytes: 1,
                header_ms: 1,
                idle_ms: 1,
            },
        },
        document: Vec::new(),
    }))
}

/// One step of a test case. Jobs and routes are named by their index.
#[derive(Clone, Debug)]
enum Step {
    Limits([u64; 2]),
    Submit {
        job: usize,
        route: usize,
        tokens: Vec<u64>,
    },
    Record {
        job: usize,
        item: usize,
        completed: bool,
    },
    End(usize),
    Sweep,
    /// Restores the state from a snapshot, as a replica does that lost its disk.
    Restore,
}

fn step() -> impl Strategy<Value = Step> {
    let limit = || prop_oneof![Just(0), 1..60u64];
    prop_oneof![
        1 => (limit(), limit()).prop_map(|(first, second)| Step::Limits([first, second])),
        4 => (0..8usize, 0..2usize, prop::collection::vec(0..20u64, 1..4))
            .prop_map(|(job, route, tokens)| Step::Submit { job, route, tokens }),
        4 => (0..8usize, 0..4usize, any::<bool>())
            .prop_map(|(job, item, completed)| Step::Record { job, item, completed }),
        1 => (0..8usize).prop_map(Step::End),
        1 => Just(Step::Sweep),
        1 => Just(Step::Restore),
    ]
}

/// An accepted job of the model: its route and the tokens of its waiting items.
#[derive(Debug)]
struct Accepted {
    route: usize,
    waiting: BTreeMap<usize, u64>,
    ended: bool,
}

#[derive(Debug, Default)]
struct Model {
    limits: [u64; 2],
    jobs: BTreeMap<usize, Accepted>,
}

impl Model {
    fn waiting(&self, route: usize) -> u64 {
        let jobs = self.jobs.values();
        let jobs = jobs.filter(|job| job.route == route && !job.ended);
        jobs.flat_map(|job| job.waiting.values()).sum()
    }

    /// Returns whether the job is accepted now or was accepted before.
    fn submit(&mut self, job: usize, route: usize, tokens: &[u64]) -> bool {
        if self.jobs.contains_key(&job) {
            return true;
        }
        let limit = self.limits[route];
        let all: u64 = tokens.iter().sum();
        if limit > 0 && self.waiting(route) + all > limit {
            return false;
        }
        let waiting = tokens.iter().copied().enumerate().collect();
        let ended = false;
        self.jobs.insert(
            job,
            Accepted {
                route,
                waiting,
                ended,
            },
        );
        true
    }

    fn record(&mut self, job: usize, item: usize) {
        if let Some(job) = self.jobs.get_mut(&job).filter(|job| !job.ended) {
            job.waiting.remove(&item);
        }
    }

    fn sweep(&mut self) {
        self.jobs
            .retain(|_, job| !job.ended && !job.waiting.is_empty());
    }
}

proptest! {
    /// Guards against rejecting a job that fits, accepting one that does not, rejecting
    /// a repeated submission, and a sum of tokens that becomes wrong with listed items,
    /// ended jobs, changed limits or snapshots.
    #[test]
    fn jobs_are_accepted_exactly_if_they_fit(steps in prop::collection::vec(step(), 1..120)) {
        let mut ledger = Ledger::default();
        let mut model = Model::default();
        let mut version = 0;
        for step in steps {
            match step {
                Step::Limits(limits) => {
                    version += 1;
                    ledger.execute(publish(version, &limits));
                    model.limits = limits;
                }
                Step::Submit { job: id, route, tokens } => {
                    let applied = ledger.execute(job(id, key(route), &tokens));
                    let accepted = model.submit(id, route, &tokens);
                    prop_assert_eq!(applied == Applied::Done, accepted, "{:?}", applied);
                }
                Step::Record { job, item, completed } => {
                    ledger.execute(Command::Record {
                        job: job.to_string().as_str().into(),
                        item: item as u32,
                        end: if completed { End::Completed } else { End::GivenUp },
                        output: Output::default(),
                    });
                    model.record(job, item);
                }
                Step::End(job) => {
                    ledger.execute(Command::End { job: job.to_string().as_str().into() });
                    if let Some(job) = model.jobs.get_mut(&job) {
                        job.ended = true;
                    }
                }
                Step::Sweep => {
                    ledger.execute(Command::Sweep { before_ms: 2_000 });
                    model.sweep();
                }
                Step::Restore => {
                    let snapshot = ledger.snapshot();
                    ledger = Ledger::default();
                    ledger.restore(&snapshot).expect("a snapshot of its own");
                }
            }
            let _ = ledger.effects();
            for route in 0..2 {
                prop_assert_eq!(ledger.waiting_tokens(&key(route)), model.waiting(route));
            }
        }
    }
}

/// Guards against a retry time that ends before the job can fit, or long after.
#[test]
fn callers_retry_once_enough_items_have_ended() {
    let mut throughput = quota::Throughput::new(quota::Options::default());
    for at in 0..50 {
        // 1,000 tokens every 100 ms.
        throughput.ended(&key(0), 1_000, at * 100);
    }
    assert_eq!(
        throughput.retry_after_ms(&key(0), 15_000, 5_000, 5_000),
        1_500
    );
    // The next job would fit as soon, but is accepted after the first one.
    assert_eq!(
        throughput.retry_after_ms(&key(0), 15_000, 5_000, 5_000),
        2_000
    );
    assert_eq!(
        throughput.retry_after_ms(&key(0), 15_000, 1_000, 5_000),
        2_100
    );
}

/// Guards against a retry time that is derived from an unknown or outdated rate.
#[test]
fn the_longest_retry_time_results_while_no_item_ends() {
    let options = quota::Options::default();
    let mut throughput = quota::Throughput::new(options);
    let wait_ms = throughput.retry_after_ms(&key(0), 10, 10, 1_000);
    assert_eq!(wait_ms, options.retry_max_ms);
    throughput.ended(&key(0), 1_000, 1_000);
    // Items that ended before the window do not count for the rate.
    let later_ms = 1_000 + 2 * options.window_ms;
    let wait_ms = throughput.retry_after_ms(&key(0), 10, 10, later_ms);
    assert_eq!(wait_ms, options.retry_max_ms);
}
