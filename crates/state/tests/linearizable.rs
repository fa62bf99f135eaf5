//! Checks concurrent histories of callers, with lost requests, lost answers, retries
//! and restarts, for linearizability.
//!
//! A caller retries a command until it is answered or gives up. An operation without
//! an answer may or may not have taken effect; the specifications therefore work on
//! the set of all possible states.

use std::collections;

use proptest::{
    prelude::*,
    test_runner::{Config, RngSeed},
};
use todc_utils::{Action, History, Specification, WGLChecker};

use bw_coord::payload;
use bw_state::{config, work};
use bw_wire::{command, command::work as wire_work, intent, name::Name, query};

const CALLERS: usize = 4;
/// Most operations without an answer. The checker tries each at every position of the
/// history.
const UNKNOWN_MAX: usize = 4;

/// An operation with its answer, if one came.
#[derive(Clone, Debug)]
struct Operation<C, A> {
    call: C,
    answer: Option<A>,
}

/// Commands and answers of one machine under test.
trait Service: Default {
    type Call: Clone;
    type Answer: Clone;
    /// Chooses a call from a random number.
    fn choose(&mut self, caller: usize, choice: u8) -> Self::Call;
    /// Applies a call. The same call may be applied again later.
    fn apply(&mut self, call: &Self::Call) -> Self::Answer;
    /// Records an answer that a caller received.
    fn learn(&mut self, caller: usize, answer: &Self::Answer);
    fn restart(&mut self);
    /// Returns whether a call is idempotent. A retried `Take` leases once more, so
    /// that a caller that lost its answer counts the call as unknown.
    fn is_idempotent(call: &Self::Call) -> bool;
}

enum Caller<S: Service> {
    Idle,
    Sent(usize, S::Call),
    Applied(usize, S::Call, S::Answer),
}

/// A step of a schedule: the caller that acts, or `CALLERS` for the service, and a
/// random number that chooses the action.
type Step = (usize, u8);

type Entry<S> = Operation<<S as Service>::Call, <S as Service>::Answer>;

/// Runs a schedule and returns the history.
fn run<S: Service>(schedule: &[Step]) -> Vec<(usize, Action<Entry<S>>)> {
    let mut service = S::default();
    let mut callers: Vec<Caller<S>> = (0..CALLERS).map(|_| Caller::Idle).collect();
    let mut actions = Vec::new();
    let mut unknown: Vec<(usize, S::Call)> = Vec::new();
    // Calls of callers that gave up may still arrive.
    let mut delayed: Vec<S::Call> = Vec::new();
    let mut count = 0;
    for (caller_index, choice) in schedule {
        if *caller_index == CALLERS {
            match delayed.pop() {
                Some(call) if choice % 2 == 0 => drop(service.apply(&call)),
                _ => service.restart(),
            }
            continue;
        }
        let may_give_up = unknown.len() < UNKNOWN_MAX;
        let gives_up = may_give_up && choice % 16 == 3;
        let caller = &mut callers[*caller_index];
        *caller = match std::mem::replace(caller, Caller::Idle) {
            Caller::Idle => {
                let call = service.choose(*caller_index, *choice);
                let entry = Operation {
                    call: call.clone(),
                    answer: None,
                };
                actions.push((count, Action::Call(entry)));
                count += 1;
                Caller::Sent(count - 1, call)
            }
            Caller::Sent(number, call) if gives_up => {
                unknown.push((number, call.clone()));
                delayed.push(call);
                Caller::Idle
            }
            Caller::Sent(number, call) => {
                let answer = service.apply(&call);
                Caller::Applied(number, call, answer)
            }
            Caller::Applied(number, call, _) if gives_up => {
                unknown.push((number, call));
                Caller::Idle
            }
            // The answer is lost and the caller retries the call.
            Caller::Applied(number, call, _) if choice % 4 == 0 && S::is_idempotent(&call) => {
                Caller::Sent(number, call)
            }
            Caller::Applied(number, call, _) if choice % 4 == 0 && may_give_up => {
                unknown.push((number, call));
                Caller::Idle
            }
            Caller::Applied(number, call, answer) => {
                service.learn(*caller_index, &answer);
                let entry = Operation {
                    call,
                    answer: Some(answer),
                };
                actions.push((number, Action::Response(entry)));
                Caller::Idle
            }
        };
    }
    for caller in callers {
        match caller {
            Caller::Idle => {}
            Caller::Sent(number, call) | Caller::Applied(number, call, _) => {
                unknown.push((number, call));
            }
        }
    }
    for (number, call) in unknown {
        actions.push((number, Action::Response(Operation { call, answer: None })));
    }
    actions
}

fn schedules() -> impl Strategy<Value = Vec<Step>> {
    prop::collection::vec((0..=CALLERS, any::<u8>()), 1..120)
}

// The work machine: one job with one item.

#[derive(Clone, Debug)]
enum WorkCall {
    Accept,
    Cancel,
    Take,
    Complete { fence: u64 },
    Read,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum WorkAnswer {
    /// The job exists. A retry returns the state of the job at that time, which is
    /// not part of the outcome of accepting it.
    Accepted,
    Job(Option<query::JobState>),
    Lease(Option<u64>),
    Completed,
    Refused(wire_work::RecordRefusal),
}

struct WorkService {
    machine: work::Machine,
    payloads: payload::Memory,
    index: u64,
    /// The last fencing token that each caller was given.
    fences: [u64; CALLERS],
}

impl WorkService {
    fn command(&mut self, command: wire_work::Command) -> wire_work::Reply {
        self.index += 1;
        let stamped = command::Stamped {
            now_ms: 1_000 + self.index,
            command,
        };
        let reply = self.machine.apply(self.index, stamped);
        self.payloads.apply(self.machine.effects());
        let completed = self.machine.complete(reply, &mut &self.payloads);
        completed.expect("the payloads are stored")
    }

    fn state(&self) -> Option<query::JobState> {
        let job = query::Query::Job {
            job: "j".into(),
            team: "t".into(),
        };
        let answer = self.machine.query(&job, &mut &self.payloads);
        match answer.expect("the payloads are stored") {
            Some(query::Answer::Job(job)) => Some(job.state),
            _ => None,
        }
    }
}

impl Default for WorkService {
    fn default() -> Self {
        let mut service = WorkService {
            machine: work::Machine::new(),
            payloads: payload::Memory::new(),
            index: 0,
            fences: [0; CALLERS],
        };
        let line = wire_work::Line {
            number: 1,
            custom_id: None,
            content: wire_work::Content::Request {
                url: "/u".to_owned(),
                model: "m".into(),
                body: String::new(),
            },
        };
        service.command(wire_work::Command::FileChunk {
            file: "f".into(),
            chunk: 0,
            lines: vec![line],
        });
        service.command(wire_work::Command::FileSeal {
            file: "f".into(),
            team: "t".into(),
            filename: String::new(),
            purpose: String::new(),
            bytes: 0,
            chunks: 1,
        });
        service
    }
}

impl Service for WorkService {
    type Call = WorkCall;
    type Answer = WorkAnswer;

    fn choose(&mut self, caller: usize, choice: u8) -> WorkCall {
        match choice % 8 {
            0 | 1 => WorkCall::Accept,
            2 => WorkCall::Cancel,
            3 | 4 => WorkCall::Take,
            5 | 6 => WorkCall::Complete {
                fence: self.fences[caller],
            },
            _ => WorkCall::Read,
        }
    }

    fn apply(&mut self, call: &WorkCall) -> WorkAnswer {
        let reply = match call {
            WorkCall::Read => return WorkAnswer::Job(self.state()),
            WorkCall::Accept => self.command(wire_work::Command::JobCreate {
                job: "j".into(),
                team: "t".into(),
                file: "f".into(),
                endpoint: "/u".to_owned(),
                window_ms: 1_000_000,
                metadata: collections::BTreeMap::new(),
            }),
            WorkCall::Cancel => self.command(wire_work::Command::JobCancel {
                job: "j".into(),
                team: "t".into(),
            }),
            // The lease ends at once, so that callers can take over from each other.
            WorkCall::Take => self.command(wire_work::Command::Take {
                holder: "h".into(),
                want: 1,
                lease_ms: 0,
                models: Vec::new(),
            }),
            WorkCall::Complete { fence } => self.command(wire_work::Command::Record {
                chunk: wire_work::ChunkRef {
                    job: "j".into(),
                    chunk: 0,
                    fence: *fence,
                },
                outcomes: vec![wire_work::Outcome {
                    number: 1,
                    result: wire_work::Result::Answer {
                        status: 200,
                        body: String::new(),
                    },
                }],
            }),
        };
        match reply {
            wire_work::Reply::Job(_) if matches!(call, WorkCall::Accept) => WorkAnswer::Accepted,
            wire_work::Reply::Job(job) => WorkAnswer::Job(Some(job.state)),
            wire_work::Reply::NotFound => WorkAnswer::Job(None),
            wire_work::Reply::Taken { leases } => {
                WorkAnswer::Lease(leases.first().map(|lease| lease.chunk.fence))
            }
            wire_work::Reply::Recorded { job_done: true, .. } => WorkAnswer::Completed,
            wire_work::Reply::RecordRefused(refusal) => WorkAnswer::Refused(refusal),
            other => panic!("unexpected reply {other:?}"),
        }
    }

    fn is_idempotent(call: &WorkCall) -> bool {
        !matches!(call, WorkCall::Take)
    }

    fn learn(&mut self, caller: usize, answer: &WorkAnswer) {
        if let WorkAnswer::Lease(Some(fence)) = answer {
            self.fences[caller] = *fence;
        }
    }

    fn restart(&mut self) {
        let snapshot = self.machine.snapshot();
        self.machine = work::Machine::new();
        self.machine.restore(&snapshot).expect("own snapshot");
    }
}

#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct WorkState {
    /// Absent, in progress, cancelled or completed.
    job: Option<&'static str>,
    /// The current fencing token; none if its holder never received it.
    fence: Option<u64>,
    /// The highest fencing token that a caller received.
    highest: u64,
}

struct WorkSpec;

impl WorkState {
    /// Returns the state after a call, or none if the answer contradicts it.
    fn after(&self, call: &WorkCall, answer: &WorkAnswer) -> Option<WorkState> {
        let mut next = self.clone();
        let open = self.job == Some("in_progress");
        let expected = match call {
            WorkCall::Read => WorkAnswer::Job(self.answer()),
            WorkCall::Accept => {
                next.job = self.job.or(Some("in_progress"));
                WorkAnswer::Accepted
            }
            WorkCall::Cancel => {
                next.job = if open { Some("cancelled") } else { self.job };
                WorkAnswer::Job(next.answer())
            }
            WorkCall::Take => match answer {
                WorkAnswer::Lease(Some(fence)) if open && *fence > self.highest => {
                    next.fence = Some(*fence);
                    next.highest = *fence;
                    answer.clone()
                }
                WorkAnswer::Lease(None) if !open => answer.clone(),
                _ => return None,
            },
            WorkCall::Complete { fence } => match self.job {
                None => WorkAnswer::Refused(wire_work::RecordRefusal::Unknown),
                Some("cancelled") => WorkAnswer::Refused(wire_work::RecordRefusal::Cancelled),
                _ if self.fence != Some(*fence) => {
                    WorkAnswer::Refused(wire_work::RecordRefusal::Fenced)
                }
                _ => {
                    next.job = Some("completed");
                    WorkAnswer::Completed
                }
            },
        };
        (expected == *answer).then_some(next)
    }

    /// Returns the state after a call that took effect and whose answer is unknown.
    fn after_unknown(&self, call: &WorkCall) -> WorkState {
        let open = self.job == Some("in_progress");
        let mut next = self.clone();
        match call {
            WorkCall::Accept => next.job = self.job.or(Some("in_progress")),
            WorkCall::Cancel if open => next.job = Some("cancelled"),
            WorkCall::Take if open => next.fence = None,
            WorkCall::Complete { fence } if open && self.fence == Some(*fence) => {
                next.job = Some("completed");
            }
            _ => {}
        }
        next
    }

    fn answer(&self) -> Option<query::JobState> {
        self.job.map(|state| match state {
            "in_progress" => query::JobState::InProgress,
            "cancelled" => query::JobState::Cancelled,
            _ => query::JobState::Completed,
        })
    }
}

impl Specification for WorkSpec {
    type State = collections::BTreeSet<WorkState>;
    type Operation = Entry<WorkService>;

    fn init() -> Self::State {
        let state = WorkState {
            job: None,
            fence: None,
            highest: 0,
        };
        collections::BTreeSet::from([state])
    }

    fn apply(operation: &Self::Operation, states: &Self::State) -> (bool, Self::State) {
        let next: Self::State = match &operation.answer {
            Some(answer) => states
                .iter()
                .filter_map(|state| state.after(&operation.call, answer))
                .collect(),
            None => states
                .iter()
                .flat_map(|state| [state.clone(), state.after_unknown(&operation.call)])
                .collect(),
        };
        (!next.is_empty(), next)
    }
}

// The configuration machine: confirms of plans and reads of the revision.

#[derive(Clone, Debug)]
enum ConfigCall {
    Confirm {
        request: Name,
        plan: Name,
        base: u64,
    },
    Read,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ConfigAnswer {
    Applied(u64),
    Conflict(u64),
    Revision(u64),
}

#[derive(Default)]
struct ConfigService {
    machine: config::Machine,
    index: u64,
}

impl ConfigService {
    fn command(&mut self, command: command::config::Command) -> command::config::Reply {
        self.index += 1;
        let stamped = command::Stamped {
            now_ms: 1_000 + self.index,
            command,
        };
        self.machine.apply(self.index, stamped)
    }
}

impl Service for ConfigService {
    type Call = ConfigCall;
    type Answer = ConfigAnswer;

    fn choose(&mut self, caller: usize, choice: u8) -> ConfigCall {
        if choice.is_multiple_of(3) {
            return ConfigCall::Read;
        }
        // Several operators plan against the same base. Planning itself is not part
        // of the history.
        let base = self.machine.revision();
        let reply = self.command(command::config::Command::Plan {
            request: format!("p{}", self.index).into(),
            operator: format!("o{caller}").into(),
            base,
            intent: Box::new(intent::Intent::default()),
        });
        let command::config::Reply::Planned { plan, .. } = reply else {
            panic!("not planned");
        };
        ConfigCall::Confirm {
            request: format!("c{}", self.index).into(),
            plan,
            base,
        }
    }

    fn apply(&mut self, call: &ConfigCall) -> ConfigAnswer {
        let ConfigCall::Confirm { request, plan, .. } = call else {
            return ConfigAnswer::Revision(self.machine.revision());
        };
        let reply = self.command(command::config::Command::Confirm {
            request: request.clone(),
            operator: "o".into(),
            plan: plan.clone(),
        });
        match reply {
            command::config::Reply::Applied { revision } => ConfigAnswer::Applied(revision),
            command::config::Reply::Conflict { current, .. } => ConfigAnswer::Conflict(current),
            other => panic!("unexpected reply {other:?}"),
        }
    }

    fn is_idempotent(_: &ConfigCall) -> bool {
        true
    }

    fn learn(&mut self, _: usize, _: &ConfigAnswer) {}

    fn restart(&mut self) {
        let snapshot = self.machine.snapshot();
        self.machine = config::Machine::new();
        self.machine.restore(&snapshot).expect("own snapshot");
    }
}

struct ConfigSpec;

impl Specification for ConfigSpec {
    type State = collections::BTreeSet<u64>;
    type Operation = Entry<ConfigService>;

    fn init() -> Self::State {
        collections::BTreeSet::from([0])
    }

    fn apply(operation: &Self::Operation, states: &Self::State) -> (bool, Self::State) {
        let next: Self::State = states
            .iter()
            .flat_map(|state| match (&operation.call, &operation.answer) {
                (ConfigCall::Read, Some(ConfigAnswer::Revision(read))) if read == state => {
                    vec![*state]
                }
                (ConfigCall::Read, None) => vec![*state],
                (ConfigCall::Confirm { base, .. }, Some(ConfigAnswer::Applied(revision)))
                    if base == state && *revision == state + 1 =>
                {
                    vec![*revision]
                }
                (ConfigCall::Confirm { base, .. }, Some(ConfigAnswer::Conflict(current)))
                    if base != state && current == state =>
                {
                    vec![*state]
                }
                (ConfigCall::Confirm { base, .. }, None) if base == state => {
                    vec![*state, state + 1]
                }
                (ConfigCall::Confirm { .. }, None) => vec![*state],
                _ => Vec::new(),
            })
            .collect();
        (!next.is_empty(), next)
    }
}

proptest! {
    #![proptest_config(Config { cases: 512, rng_seed: RngSeed::Fixed(20261204), ..Config::default() })]

    /// Guards against callers that see different outcomes of a race between accept,
    /// cancel and complete.
    #[test]
    fn histories_of_a_job_are_linearizable(schedule in schedules()) {
        let actions = run::<WorkService>(&schedule);
        if !actions.is_empty() {
            let text = format!("{actions:#?}");
            let history = History::from_actions(actions);
            prop_assert!(WGLChecker::<WorkSpec>::is_linearizable(history), "{text}");
        }
    }

    /// Guards against a confirm that applies twice or conflicts with itself.
    #[test]
    fn histories_of_the_configuration_are_linearizable(schedule in schedules()) {
        let actions = run::<ConfigService>(&schedule);
        if !actions.is_empty() {
            let text = format!("{actions:#?}");
            let history = History::from_actions(actions);
            prop_assert!(WGLChecker::<ConfigSpec>::is_linearizable(history), "{text}");
        }
    }
}
