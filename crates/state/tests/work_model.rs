//! Compares the work machine with a simple model, under random commands, late and
//! repeated records, and restarts from snapshots.

use std::collections;

use proptest::{
    prelude::*,
    strategy::BoxedStrategy,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use bw_coord::payload;
use bw_state::work::Machine;
use bw_wire::{command, command::work, fingerprint, query};

const JOBS: usize = 3;
const CHUNKS: u32 = 2;
const ITEMS: u32 = 3;
const LEASE_MS: u64 = 100;
const WINDOW_MS: u64 = 2_000;
const ATTEMPT_MS: u64 = 150;

/// One step. Leases and attempts are numbered in the order in which they were
/// granted, so that steps also use old ones.
#[derive(Clone, Debug)]
enum Step {
    Wait {
        ms: u64,
    },
    JumpBack,
    Create {
        job: usize,
    },
    Cancel {
        job: usize,
    },
    Take {
        holder: usize,
    },
    Renew {
        holder: usize,
        lease: usize,
    },
    Release {
        holder: usize,
        lease: usize,
    },
    Record {
        lease: usize,
        items: Vec<u32>,
    },
    Begin {
        key: usize,
        holder: usize,
        gone: bool,
    },
    End {
        key: usize,
        attempt: usize,
        done: bool,
    },
    Restart,
}

/// A lease as the model sees it.
#[derive(Clone, Debug)]
struct Lease {
    job: usize,
    chunk: u32,
    holder: usize,
}

#[derive(Clone, Debug, Default)]
struct Job {
    created: bool,
    due_ms: u64,
    state: Option<query::JobState>,
    /// The step that gave each item its first outcome.
    outcomes: collections::BTreeMap<u32, usize>,
    /// The number of the current lease of each chunk and its end, none if released.
    current: collections::BTreeMap<u32, (usize, Option<u64>)>,
}

#[derive(Clone, Debug, Default)]
struct Attempt {
    holder: usize,
    until_ms: u64,
    /// `Some(true)` if it is done and `Some(false)` if it did not run; none while it
    /// runs or if its outcome is `unknown`.
    done: Option<bool>,
    unknown: bool,
}

#[derive(Clone, Debug, Default)]
struct Model {
    now_ms: u64,
    steps: usize,
    jobs: [Job; JOBS],
    leases: Vec<Lease>,
    /// Attempts by key, the last one being current.
    attempts: [Vec<Attempt>; 2],
}

impl Model {
    fn advance(&mut self) {
        for job in &mut self.jobs {
            if job.created && job.state.is_none() && job.due_ms <= self.now_ms {
                job.state = Some(query::JobState::Expired);
            }
        }
    }

    fn create(&mut self, number: usize) {
        let job = &mut self.jobs[number];
        if !job.created {
            job.created = true;
            job.due_ms = self.now_ms + WINDOW_MS;
        }
    }

    /// Returns the chunk that is leased next: the jobs have one team and the
    /// same window, so the earliest created goes first.
    fn next_chunk(&self) -> Option<(usize, u32)> {
        let open = self.jobs.iter().enumerate();
        let open = open.filter(|(_, job)| job.created && job.state.is_none());
        let mut found = Vec::new();
        for (number, job) in open {
            let chunks = 0..CHUNKS;
            let free = chunks.filter(|chunk| {
                let held = job.current.get(chunk).and_then(|(_, until_ms)| *until_ms);
                job.open(*chunk) && held.is_none_or(|until_ms| until_ms <= self.now_ms)
            });
            found.extend(free.map(|chunk| (job.due_ms, number, chunk)));
        }
        found
            .into_iter()
            .min()
            .map(|(_, number, chunk)| (number, chunk))
    }

    fn take(&mut self, holder: usize) {
        if let Some((number, chunk)) = self.next_chunk() {
            let until_ms = self.now_ms + LEASE_MS;
            let current = (self.leases.len(), Some(until_ms));
            self.jobs[number].current.insert(chunk, current);
            self.leases.push(Lease {
                job: number,
                chunk,
                holder,
            });
        }
    }

    /// Returns whether a holder still has a lease. A lease that has ended counts until
    /// another holder leases the chunk.
    fn holds(&self, holder: usize, number: usize) -> bool {
        let Some(lease) = self.leases.get(number) else {
            return false;
        };
        let job = &self.jobs[lease.job];
        let current = job.current.get(&lease.chunk);
        lease.holder == holder
            && job.state.is_none()
            && job.open(lease.chunk)
            && current.is_some_and(|(current, until_ms)| *current == number && until_ms.is_some())
    }

    fn set_end(&mut self, number: usize, until_ms: Option<u64>) {
        let lease = &self.leases[number];
        let current = self.jobs[lease.job].current.get_mut(&lease.chunk);
        current.expect("leased chunk").1 = until_ms;
    }

    fn record(&mut self, number: usize, items: &[u32]) {
        let Some(lease) = self.leases.get(number) else {
            return;
        };
        let step = self.steps;
        let job = &mut self.jobs[lease.job];
        let current = job.current.get(&lease.chunk).map(|(current, _)| *current);
        if job.state.is_some() || current != Some(number) {
            return;
        }
        for item in items {
            job.outcomes
                .entry(lease.chunk * ITEMS + item)
                .or_insert(step);
        }
        if job.outcomes.len() as u32 == CHUNKS * ITEMS {
            job.state = Some(query::JobState::Completed);
        }
    }

    fn begin(&mut self, key: usize, holder: usize, gone: bool) {
        let now_ms = self.now_ms;
        let fresh = Attempt {
            holder,
            until_ms: now_ms + ATTEMPT_MS,
            ..Attempt::default()
        };
        match self.attempts[key].last_mut() {
            None => self.attempts[key].push(fresh),
            Some(last) if last.done == Some(false) => self.attempts[key].push(fresh),
            Some(last) if last.done.is_none() && !last.unknown => {
                let other = last.holder != holder;
                last.unknown = now_ms >= last.until_ms || (other && gone);
            }
            Some(_) => {}
        }
    }

    fn end(&mut self, key: usize, attempt: usize, done: bool) {
        let last = self.attempts[key].len();
        if attempt + 1 != last {
            return;
        }
        let current = &mut self.attempts[key][attempt];
        if current.done.is_none() && !current.unknown {
            current.done = Some(done);
        }
    }
}

impl Job {
    fn open(&self, chunk: u32) -> bool {
        let done = (0..ITEMS).filter(|item| self.outcomes.contains_key(&(chunk * ITEMS + item)));
        done.count() < ITEMS as usize
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let model = Model {
            now_ms: 10_000,
            ..Model::default()
        };
        Just(model).boxed()
    }

    fn transitions(model: &Model) -> BoxedStrategy<Step> {
        let leases = model.leases.len() + 1;
        let attempts = model.attempts.iter().map(Vec::len).max().unwrap_or(0) + 1;
        prop_oneof![
            2 => (1..120_u64).prop_map(|ms| Step::Wait { ms }),
            1 => Just(Step::JumpBack),
            2 => (0..JOBS).prop_map(|job| Step::Create { job }),
            1 => (0..JOBS).prop_map(|job| Step::Cancel { job }),
            5 => (0..2_usize).prop_map(|holder| Step::Take { holder }),
            1 => (0..2_usize, 0..leases).prop_map(|(holder, lease)| Step::Renew { holder, lease }),
            1 => (0..2_usize, 0..leases)
                .prop_map(|(holder, lease)| Step::Release { holder, lease }),
            8 => (0..leases, prop::collection::vec(0..ITEMS, 1..4))
                .prop_map(|(lease, items)| Step::Record { lease, items }),
            2 => (0..2_usize, 0..3_usize, any::<bool>())
                .prop_map(|(key, holder, gone)| Step::Begin { key, holder, gone }),
            2 => (0..2_usize, 0..attempts, any::<bool>())
                .prop_map(|(key, attempt, done)| Step::End { key, attempt, done }),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        model.steps += 1;
        match step {
            Step::Wait { ms } => model.now_ms += ms,
            Step::JumpBack | Step::Restart => {}
            _ => model.advance(),
        }
        match step {
            Step::Create { job } => model.create(*job),
            Step::Cancel { job } => {
                let job = &mut model.jobs[*job];
                if job.created && job.state.is_none() {
                    job.state = Some(query::JobState::Cancelled);
                }
            }
            Step::Take { holder } => model.take(*holder),
            Step::Renew { holder, lease } if model.holds(*holder, *lease) => {
                model.set_end(*lease, Some(model.now_ms + LEASE_MS));
            }
            Step::Release { holder, lease } if model.holds(*holder, *lease) => {
                model.set_end(*lease, None);
            }
            Step::Record { lease, items } => model.record(*lease, items),
            Step::Begin { key, holder, gone } => model.begin(*key, *holder, *gone),
            Step::End { key, attempt, done } => model.end(*key, *attempt, *done),
            _ => {}
        }
        model
    }
}

/// The machine, its payloads, and the leases and attempts that callers received.
struct System {
    machine: Machine,
    payloads: payload::Memory,
    index: u64,
    leases: Vec<work::ChunkRef>,
    attempts: [Vec<u64>; 2],
}

impl System {
    fn run(&mut self, now_ms: u64, command: work::Command) -> work::Reply {
        self.index += 1;
        let before = self.machine.now_ms();
        let stamped = command::Stamped { now_ms, command };
        let reply = self.machine.apply(self.index, stamped);
        self.payloads.apply(self.machine.effects());
        let reply = self.machine.complete(reply, &mut &self.payloads);
        let reply = reply.expect("the payloads are stored");
        assert!(self.machine.now_ms() >= before);
        reply
    }

    fn query(&self, query: &query::Query) -> Option<query::Answer> {
        let answer = self.machine.query(query, &mut &self.payloads);
        answer.expect("the payloads are stored")
    }

    fn prepare(&mut self, now_ms: u64) {
        for chunk in 0..CHUNKS {
            let lines = (0..ITEMS).map(|item| work::Line {
                number: chunk * ITEMS + item + 1,
                custom_id: None,
                content: work::Content::Request {
                    url: "/u".to_owned(),
                    model: "m".into(),
                    body: String::new(),
                },
            });
            let command = work::Command::FileChunk {
                file: "f".into(),
                chunk,
                lines: lines.collect(),
            };
            self.run(now_ms, command);
        }
        let seal = work::Command::FileSeal {
            file: "f".into(),
            team: "t".into(),
            filename: String::new(),
            purpose: String::new(),
            bytes: 0,
            chunks: CHUNKS,
        };
        assert_eq!(self.run(now_ms, seal), work::Reply::Ok);
    }

    fn take(&mut self, now_ms: u64, holder: usize) {
        let command = work::Command::Take {
            holder: format!("h{holder}").into(),
            want: 1,
            lease_ms: LEASE_MS,
            models: Vec::new(),
        };
        match self.run(now_ms, command) {
            work::Reply::Taken { leases } => {
                self.leases
                    .extend(leases.into_iter().map(|lease| lease.chunk));
            }
            other => panic!("unexpected reply {other:?}"),
        }
    }

    fn begin(&mut self, now_ms: u64, key: usize, holder: usize, holder_gone: bool) {
        let command = work::Command::AttemptBegin {
            team: "t".into(),
            key: format!("k{key}").into(),
            body: fingerprint::Fingerprint(0, 0),
            holder: format!("h{holder}").into(),
            timeout_ms: ATTEMPT_MS,
            holder_gone,
        };
        if let work::Reply::Begin { attempt } = self.run(now_ms, command)
            && self.attempts[key].last() != Some(&attempt)
        {
            self.attempts[key].push(attempt);
        }
    }
}

struct Check;

impl StateMachineTest for Check {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test(model: &Model) -> System {
        let mut system = System {
            machine: Machine::new(),
            payloads: payload::Memory::new(),
            index: 0,
            leases: Vec::new(),
            attempts: [Vec::new(), Vec::new()],
        };
        system.prepare(model.now_ms);
        system
    }

    fn apply(mut system: System, model: &Model, step: Step) -> System {
        let now_ms = model.now_ms;
        let chunk = |number: usize, leases: &[work::ChunkRef]| leases.get(number).cloned();
        match step {
            Step::Wait { .. } => {}
            Step::JumpBack => {
                // A command with an earlier time changes nothing.
                system.run(now_ms / 2, work::Command::Expire);
            }
            Step::Create { job } => {
                let create = work::Command::JobCreate {
                    job: format!("j{job}").into(),
                    team: "t".into(),
                    file: "f".into(),
                    endpoint: "/u".to_owned(),
                    window_ms: WINDOW_MS,
                    metadata: collections::BTreeMap::new(),
                };
                system.run(now_ms, create);
            }
            Step::Cancel { job } => {
                let cancel = work::Command::JobCancel {
                    job: format!("j{job}").into(),
                    team: "t".into(),
                };
                system.run(now_ms, cancel);
            }
            Step::Take { holder } => system.take(now_ms, holder),
            Step::Renew { holder, lease } => {
                let chunks: Vec<_> = chunk(lease, &system.leases).into_iter().collect();
                let count = chunks.len();
                let renew = work::Command::Renew {
                    holder: format!("h{holder}").into(),
                    chunks,
                    lease_ms: LEASE_MS,
                };
                let work::Reply::Renewed { lost } = system.run(now_ms, renew) else {
                    panic!("unexpected reply");
                };
                assert_eq!(lost.len() < count, model.holds(holder, lease));
            }
            Step::Release { holder, lease } => {
                let release = work::Command::Release {
                    holder: format!("h{holder}").into(),
                    chunks: chunk(lease, &system.leases).into_iter().collect(),
                };
                system.run(now_ms, release);
            }
            Step::Record { lease, items } => {
                if let Some(chunk) = chunk(lease, &system.leases) {
                    let first = chunk.chunk * ITEMS + 1;
                    let outcomes = items.iter().map(|item| work::Outcome {
                        number: first + item,
                        result: work::Result::Answer {
                            status: 200,
                            body: model.steps.to_string(),
                        },
                    });
                    let outcomes = outcomes.collect();
                    system.run(now_ms, work::Command::Record { chunk, outcomes });
                }
            }
            Step::Begin { key, holder, gone } => system.begin(now_ms, key, holder, gone),
            Step::End { key, attempt, done } => {
                if let Some(attempt) = system.attempts[key].get(attempt).copied() {
                    let outcome = match done {
                        true => work::AttemptOutcome::Done {
                            status: 200,
                            content_type: String::new(),
                            body: String::new(),
                            binary: false,
                        },
                        false => work::AttemptOutcome::NotRun,
                    };
                    let end = work::Command::AttemptEnd {
                        team: "t".into(),
                        key: format!("k{key}").into(),
                        attempt,
                        outcome,
                    };
                    system.run(now_ms, end);
                }
            }
            Step::Restart => {
                let snapshot = system.machine.snapshot();
                system.machine = Machine::new();
                system.machine.restore(&snapshot).expect("own snapshot");
                assert_eq!(system.machine.snapshot(), snapshot);
            }
        }
        system
    }

    fn check_invariants(system: &System, model: &Model) {
        assert_eq!(system.leases.len(), model.leases.len());
        for (number, (chunk, lease)) in system.leases.iter().zip(&model.leases).enumerate() {
            assert_eq!(chunk.chunk, lease.chunk, "lease {number}");
            assert_eq!(
                chunk.job.as_str(),
                format!("j{}", lease.job),
                "lease {number}"
            );
        }
        assert!(
            system
                .leases
                .is_sorted_by(|before, after| before.fence < after.fence)
        );
        for key in 0..2 {
            assert_eq!(system.attempts[key].len(), model.attempts[key].len());
        }
        for (number, job) in model.jobs.iter().enumerate() {
            check_job(system, number, job);
        }
    }
}

fn check_job(system: &System, number: usize, job: &Job) {
    let id: bw_wire::name::Name = format!("j{number}").into();
    let query = query::Query::Job {
        job: id.clone(),
        team: "t".into(),
    };
    let answer = system.query(&query);
    let Some(query::Answer::Job(found)) = answer else {
        assert!(!job.created);
        return;
    };
    assert_eq!(
        found.state,
        job.state.unwrap_or(query::JobState::InProgress)
    );
    assert_eq!(found.counts.completed, job.outcomes.len() as u64);
    let mut outcomes = collections::BTreeMap::new();
    for chunk in 0..CHUNKS {
        let query = query::Query::Results {
            job: id.clone(),
            team: "t".into(),
            chunk,
        };
        let Some(query::Answer::Results(items)) = system.query(&query) else {
            panic!("no results");
        };
        for item in items {
            let work::Result::Answer { body, .. } = item.outcome.result else {
                panic!("unexpected outcome");
            };
            let step: usize = body.parse().expect("a step");
            outcomes.insert(item.outcome.number - 1, step);
        }
    }
    assert_eq!(outcomes, job.outcomes);
}

prop_state_machine! {
    #![proptest_config(Config { cases: 256, rng_seed: RngSeed::Fixed(20261204), ..Config::default() })]

    /// Guards against outcomes that are stored twice or change, leases with two
    /// holders, races of cancel and completion with two outcomes, and a second attempt
    /// after one that may have run.
    #[test]
    fn the_work_machine_follows_the_model(sequential 1..80 => Check);
}
