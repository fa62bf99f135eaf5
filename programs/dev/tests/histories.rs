//! Histories of concurrent clients against real control replicas, whose leaders
//! are killed and frozen, are checked for linearizability.
//!
//! An operation whose outcome is unknown may have happened or not, and the
//! specifications work on the set of all states that are possible. An operation
//! that failed with the verdict `not_run` is left out: had it happened, later
//! answers would fit no state.

mod fleet;

use std::{
    collections, fmt, hash,
    sync::{self, atomic},
    time,
};

use bw_client::control;
use bw_wire::{command::config, command::work, intent, name::Name, query, verdict};
use futures_util::future;
use nix::sys::signal;
use rand::{Rng, SeedableRng};
use todc_utils::{Action, History, Specification, WGLChecker};

use fleet::Fleet;

/// Seed of the choice of operations.
const SEED: u64 = 20_261_204;
const CLIENTS: usize = 4;
/// Fewest operations of one client in a round; it goes on while the fault lasts.
const OPERATIONS_MIN: usize = 60;
/// Most operations of one client in a round.
const OPERATIONS_MAX: usize = 150;
/// Jobs of a round; each has a history of its own.
const JOBS: u64 = 6;
const TEAM: &str = "weavers";
/// Time limit of a call to one replica. Short, so that clients go on while a
/// leader is frozen.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(400);
/// Time limit of an operation. Elections take longer, so that some outcomes
/// stay unknown.
const TOTAL_TIMEOUT: time::Duration = time::Duration::from_millis(900);

/// Time limit of a call that is given up and sent again, mostly before the
/// answer to its first sending could come.
const IMPATIENT_TIMEOUT: time::Duration = time::Duration::from_millis(3);
/// One in so many operations is sent a second time.
const RESEND_DIVISOR: u32 = 4;

/// The clients of one caller.
#[derive(Clone)]
struct Clients {
    patient: control::Client,
    impatient: control::Client,
}

impl Clients {
    /// Builds clients that look for leaders from another replica on than those
    /// of other callers.
    fn new(fleet: &Fleet, number: usize) -> Clients {
        let mut addresses: Vec<Name> = (0..fleet.controls.len())
            .map(|index| fleet.control_address(index).into())
            .collect();
        let first = number % addresses.len();
        addresses.rotate_left(first);
        Clients {
            patient: control::Builder::new(addresses.clone())
                .call_timeout(CALL_TIMEOUT)
                .total_timeout(TOTAL_TIMEOUT)
                .build(),
            impatient: control::Builder::new(addresses)
                .call_timeout(IMPATIENT_TIMEOUT)
                .total_timeout(IMPATIENT_TIMEOUT)
                .build(),
        }
    }
}

/// An operation with its answer, if one came.
#[derive(Clone, Debug)]
struct Operation<C, A> {
    call: C,
    answer: Option<A>,
}

type Event<C, A> = (usize, Action<Operation<C, A>>);

/// A history under construction.
#[derive(Debug)]
struct Recorder<C, A> {
    events: Vec<Event<C, A>>,
    /// Operations without an answer so far.
    open: collections::BTreeMap<usize, C>,
    next: usize,
}

impl<C: Clone, A> Recorder<C, A> {
    fn new() -> Recorder<C, A> {
        Recorder {
            events: Vec::new(),
            open: collections::BTreeMap::new(),
            next: 0,
        }
    }

    fn call(&mut self, call: &C) -> usize {
        let number = self.next;
        self.next += 1;
        let (call, answer) = (call.clone(), None);
        self.open.insert(number, call.clone());
        let operation = Operation { call, answer };
        self.events.push((number, Action::Call(operation)));
        number
    }

    fn end(&mut self, number: usize, outcome: Result<A, verdict::Verdict>) {
        match outcome {
            Ok(answer) => {
                let call = self.open.remove(&number).expect("open operation");
                let answer = Some(answer);
                let operation = Operation { call, answer };
                self.events.push((number, Action::Response(operation)));
            }
            Err(verdict::Verdict::NotRun) => {
                self.open.remove(&number);
                self.events.retain(|(other, _)| *other != number);
            }
            // It stays open and may take effect at any later time.
            Err(verdict::Verdict::MayHaveRun | verdict::Verdict::Run) => {}
        }
    }

    /// Returns the events; operations of unknown outcome end after all others.
    fn finish(mut self) -> Vec<Event<C, A>> {
        for (number, call) in std::mem::take(&mut self.open) {
            let answer = None;
            let operation = Operation { call, answer };
            self.events.push((number, Action::Response(operation)));
        }
        self.events
    }
}

/// Runs an operation, some of them twice as one, and records it.
async fn record<C: Clone, A: Clone>(
    recorder: &sync::Mutex<Recorder<C, A>>,
    clients: &Clients,
    resend: bool,
    call: &C,
    run: impl AsyncFn(&control::Client) -> Result<A, control::Error>,
) -> Option<A> {
    let number = recorder.lock().expect("recorder").call(call);
    let mut verdict = verdict::Verdict::NotRun;
    let tries = match resend {
        true => &[&clients.impatient, &clients.patient][..],
        false => &[&clients.patient],
    };
    for client in tries {
        match run(client).await {
            Ok(answer) => {
                let outcome = Ok(answer.clone());
                recorder.lock().expect("recorder").end(number, outcome);
                return Some(answer);
            }
            Err(error) if error.verdict == verdict::Verdict::NotRun => {}
            Err(error) => verdict = error.verdict,
        }
    }
    recorder.lock().expect("recorder").end(number, Err(verdict));
    None
}

fn assert_linearizable<S, C, A>(recorder: Recorder<C, A>)
where
    S: Specification<Operation = Operation<C, A>>,
    S::State: Clone + Eq + fmt::Debug + hash::Hash,
    C: Clone + fmt::Debug,
    A: Clone + fmt::Debug,
{
    let events = recorder.finish();
    if events.is_empty() {
        return;
    }
    let text: Vec<String> = events.iter().map(|event| format!("{event:?}")).collect();
    let history = History::from_actions(events);
    let fits = WGLChecker::<S>::is_linearizable(history);
    assert!(fits, "seed {SEED}: not linearizable:\n{}", text.join("\n"));
}

// Jobs.

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobCall {
    Accept,
    Cancel,
    Read,
}

/// What an operation says about the job. The reply to a repeated accept shows
/// the job's state at the repeat, which is not part of the outcome.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum JobAnswer {
    Accepted,
    State(Option<query::JobState>),
}

#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
enum JobState {
    Absent,
    Open,
    Cancelled,
}

impl JobState {
    fn answer(self) -> JobAnswer {
        JobAnswer::State(match self {
            JobState::Absent => None,
            JobState::Open => Some(query::JobState::InProgress),
            JobState::Cancelled => Some(query::JobState::Cancelled),
        })
    }

    /// Returns the state after a call and the answer to it.
    fn after(self, call: JobCall) -> (JobState, JobAnswer) {
        match (call, self) {
            (JobCall::Accept, JobState::Absent) => (JobState::Open, JobAnswer::Accepted),
            (JobCall::Accept, state) => (state, JobAnswer::Accepted),
            (JobCall::Cancel, JobState::Open) => {
                (JobState::Cancelled, JobState::Cancelled.answer())
            }
            (JobCall::Cancel | JobCall::Read, state) => (state, state.answer()),
        }
    }
}

struct JobSpec;

impl Specification for JobSpec {
    type State = collections::BTreeSet<JobState>;
    type Operation = Operation<JobCall, JobAnswer>;

    fn init() -> Self::State {
        collections::BTreeSet::from([JobState::Absent])
    }

    fn apply(operation: &Self::Operation, states: &Self::State) -> (bool, Self::State) {
        let mut next = collections::BTreeSet::new();
        for state in states {
            let (after, expected) = state.after(operation.call);
            match operation.answer {
                Some(answer) if answer != expected => {}
                Some(_) => drop(next.insert(after)),
                None => next.extend([*state, after]),
            }
        }
        (!next.is_empty(), next)
    }
}

/// A job that clients race for.
struct Job {
    id: Name,
    group: u32,
    file: Name,
    history: sync::Mutex<Recorder<JobCall, JobAnswer>>,
}

impl Job {
    /// Stores a file of one item and names a job for it.
    async fn new(fleet: &Fleet, number: u64) -> Job {
        let group = u32::try_from(number % 2 + 1).expect("group");
        let job = Job {
            id: format!("batch_g{group}_{number}").as_str().into(),
            group,
            file: format!("file-g{group}-{number}").as_str().into(),
            history: sync::Mutex::new(Recorder::new()),
        };
        let content = work::Content::Request {
            url: "/u".to_owned(),
            model: "m".into(),
            body: String::new(),
        };
        let line = work::Line {
            number: 1,
            custom_id: None,
            content,
        };
        let chunk = work::Command::FileChunk {
            file: job.file.clone(),
            chunk: 0,
            lines: vec![line],
        };
        let seal = work::Command::FileSeal {
            file: job.file.clone(),
            team: TEAM.into(),
            filename: String::new(),
            purpose: String::new(),
            bytes: 0,
            chunks: 1,
        };
        for command in [chunk, seal] {
            let reply = fleet.client().work(group, command).await;
            reply.expect("file is stored");
        }
        job
    }

    async fn operate(&self, clients: &Clients, resend: bool, call: JobCall) {
        let run = async |client: &control::Client| self.run(client, call).await;
        record(&self.history, clients, resend, &call, run).await;
    }

    async fn run(
        &self,
        client: &control::Client,
        call: JobCall,
    ) -> Result<JobAnswer, control::Error> {
        let (job, team) = (self.id.clone(), Name::from(TEAM));
        let command = match call {
            JobCall::Read => {
                let query = query::Query::Job { job, team };
                return Ok(match client.query(self.group, query).await? {
                    query::Answer::Job(job) => JobAnswer::State(Some(job.state)),
                    query::Answer::NotFound => JobAnswer::State(None),
                    other => panic!("unexpected answer {other:?}"),
                });
            }
            JobCall::Cancel => work::Command::JobCancel { job, team },
            JobCall::Accept => work::Command::JobCreate {
                job,
                team,
                file: self.file.clone(),
                endpoint: "/u".to_owned(),
                window_ms: 1_000_000,
                metadata: collections::BTreeMap::new(),
            },
        };
        Ok(match client.work(self.group, command).await? {
            work::Reply::Job(_) if call == JobCall::Accept => JobAnswer::Accepted,
            work::Reply::Job(job) => JobAnswer::State(Some(job.state)),
            work::Reply::NotFound => JobAnswer::State(None),
            other => panic!("unexpected reply {other:?}"),
        })
    }
}

// Configuration.

#[derive(Clone, Debug)]
enum ConfigCall {
    Plan { base: u64 },
    Confirm { base: u64, burst: u32 },
    Read,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum ConfigAnswer {
    Planned(Name),
    Applied(u64),
    Conflict(u64),
    /// A revision with the value that tells its plan.
    Revision(u64, u32),
}

/// The revision and the value of the plan that made it.
type ConfigState = (u64, u32);

struct ConfigSpec;

impl ConfigSpec {
    /// Returns the state after a call with an answer, if they fit.
    fn after(call: &ConfigCall, answer: &ConfigAnswer, state: ConfigState) -> Option<ConfigState> {
        let (revision, _) = state;
        match (call, answer) {
            (ConfigCall::Read, ConfigAnswer::Revision(read, burst)) => {
                ((*read, *burst) == state).then_some(state)
            }
            (ConfigCall::Plan { base }, ConfigAnswer::Planned(_)) => {
                (*base == revision).then_some(state)
            }
            (ConfigCall::Confirm { base, burst }, ConfigAnswer::Applied(applied)) => {
                let next = (revision + 1, *burst);
                (*base == revision && *applied == next.0).then_some(next)
            }
            (
                ConfigCall::Plan { base } | ConfigCall::Confirm { base, .. },
                ConfigAnswer::Conflict(current),
            ) => (*base != revision && *current == revision).then_some(state),
            _ => None,
        }
    }
}

impl Specification for ConfigSpec {
    type State = collections::BTreeSet<ConfigState>;
    type Operation = Operation<ConfigCall, ConfigAnswer>;

    fn init() -> Self::State {
        collections::BTreeSet::from([(0, default_burst(&intent::Intent::default()))])
    }

    fn apply(operation: &Self::Operation, states: &Self::State) -> (bool, Self::State) {
        let mut next = collections::BTreeSet::new();
        for state in states {
            match (&operation.answer, &operation.call) {
                (Some(answer), call) => next.extend(ConfigSpec::after(call, answer, *state)),
                (None, ConfigCall::Confirm { base, burst }) if *base == state.0 => {
                    next.extend([*state, (state.0 + 1, *burst)]);
                }
                (None, _) => drop(next.insert(*state)),
            }
        }
        (!next.is_empty(), next)
    }
}

fn default_burst(intent: &intent::Intent) -> u32 {
    intent.default_limits.burst
}

type ConfigHistory = sync::Arc<sync::Mutex<Recorder<ConfigCall, ConfigAnswer>>>;

/// An operator, who plans on the revision that it read last.
struct Operator {
    clients: Clients,
    history: ConfigHistory,
    name: Name,
    base: u64,
    /// Grows with each plan; unique over all operators.
    burst: u32,
}

impl Operator {
    async fn read(&mut self, resend: bool) {
        let run =
            async |client: &control::Client| match client.query(0, query::Query::Config).await? {
                query::Answer::Config { revision, intent } => {
                    Ok(ConfigAnswer::Revision(revision, default_burst(&intent)))
                }
                other => panic!("unexpected answer {other:?}"),
            };
        let call = ConfigCall::Read;
        let answer = record(&self.history, &self.clients, resend, &call, run).await;
        self.learn(answer);
    }

    async fn change(&mut self, resend: bool) {
        self.burst += u32::try_from(CLIENTS).expect("small number");
        let (base, burst) = (self.base, self.burst);
        let mut intent = intent::Intent::default();
        intent.default_limits.burst = burst;
        let plan = config::Command::Plan {
            request: format!("plan/{burst}").as_str().into(),
            operator: self.name.clone(),
            base,
            intent: Box::new(intent),
        };
        let call = ConfigCall::Plan { base };
        let run = async |client: &control::Client| run_config(client, plan.clone()).await;
        let answer = record(&self.history, &self.clients, resend, &call, run).await;
        let Some(ConfigAnswer::Planned(plan)) = answer else {
            self.learn(answer);
            return;
        };
        let confirm = config::Command::Confirm {
            request: format!("confirm/{burst}").as_str().into(),
            operator: self.name.clone(),
            plan,
        };
        let call = ConfigCall::Confirm { base, burst };
        let run = async |client: &control::Client| run_config(client, confirm.clone()).await;
        let answer = record(&self.history, &self.clients, resend, &call, run).await;
        self.learn(answer);
    }

    fn learn(&mut self, answer: Option<ConfigAnswer>) {
        match answer {
            Some(ConfigAnswer::Applied(revision) | ConfigAnswer::Conflict(revision)) => {
                self.base = revision;
            }
            Some(ConfigAnswer::Revision(revision, _)) => self.base = revision,
            _ => {}
        }
    }
}

async fn run_config(
    client: &control::Client,
    command: config::Command,
) -> Result<ConfigAnswer, control::Error> {
    Ok(match client.config(command).await? {
        config::Reply::Planned { plan, .. } => ConfigAnswer::Planned(plan),
        config::Reply::Applied { revision } => ConfigAnswer::Applied(revision),
        config::Reply::Conflict { current, .. } => ConfigAnswer::Conflict(current),
        other => panic!("unexpected reply {other:?}"),
    })
}

/// What happens to the leaders while the clients work.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The leader of a group is killed and started again.
    Kill(u32),
    /// The leader of a group is frozen until another one leads.
    Freeze(u32),
    /// As `Freeze`; then the next leader is killed while the first one is
    /// continued.
    FreezeAndKill(u32),
}

async fn strike(fleet: &mut Fleet, fault: Fault) {
    match fault {
        Fault::Kill(group) => {
            let leader = fleet.leader(group).await;
            fleet.controls[leader].take().expect("leader").kill();
            fleet.leader(group).await;
            fleet.start_control(leader);
        }
        Fault::Freeze(group) => {
            let leader = fleet.leader(group).await;
            send_signal(fleet, leader, signal::Signal::SIGSTOP);
            fleet.leader_except(group, Some(leader)).await;
            send_signal(fleet, leader, signal::Signal::SIGCONT);
        }
        Fault::FreezeAndKill(group) => {
            let frozen = fleet.leader(group).await;
            send_signal(fleet, frozen, signal::Signal::SIGSTOP);
            let next = fleet.leader_except(group, Some(frozen)).await;
            fleet.controls[next].take().expect("leader").kill();
            send_signal(fleet, frozen, signal::Signal::SIGCONT);
            fleet.leader(group).await;
            fleet.start_control(next);
        }
    }
    for group in 0..=2 {
        fleet.leader(group).await;
    }
}

fn send_signal(fleet: &Fleet, control: usize, signal: signal::Signal) {
    let process = fleet.controls[control].as_ref().expect("replica");
    process.signal(signal);
}

/// Guards against callers and operators who see results of one race in
/// different orders, or a stale state, while leaders are killed and frozen.
#[tokio::test(flavor = "multi_thread")]
async fn histories_are_linearizable_while_leaders_are_lost() {
    let mut fleet = fleet::Builder {
        entries: 0,
        engines: 0,
        ..fleet::Builder::default()
    }
    .start_undeclared()
    .await;
    let config: ConfigHistory = sync::Arc::new(sync::Mutex::new(Recorder::new()));
    let mut operators: Vec<Operator> = (0..CLIENTS)
        .map(|number| Operator {
            clients: Clients::new(&fleet, number),
            history: sync::Arc::clone(&config),
            name: format!("operator-{number}").as_str().into(),
            base: 0,
            burst: u32::try_from(number + 10_000).expect("small number"),
        })
        .collect();
    let faults = [Fault::Freeze(0), Fault::Kill(1), Fault::FreezeAndKill(0)];
    let mut unknown = 0;
    for (round, fault) in (0..).zip(faults) {
        let mut jobs = Vec::new();
        for number in 0..JOBS {
            jobs.push(Job::new(&fleet, round * JOBS + number).await);
        }
        let done = atomic::AtomicBool::new(false);
        let clients = operators.iter_mut().enumerate().map(|(number, operator)| {
            let seed = SEED + round * 100 + number as u64;
            work(operator, &jobs, &done, seed)
        });
        let clients = future::join_all(clients);
        let faults = async {
            strike(&mut fleet, fault).await;
            done.store(true, atomic::Ordering::Relaxed);
        };
        tokio::join!(clients, faults);
        for job in jobs {
            let history = job.history.into_inner().expect("recorder");
            unknown += history.open.len();
            assert_linearizable::<JobSpec, _, _>(history);
        }
    }
    drop(operators);
    let config = sync::Arc::into_inner(config).expect("operators are gone");
    let config = config.into_inner().expect("recorder");
    unknown += config.open.len();
    println!(
        "{} configuration operations, {unknown} unknown outcomes",
        config.next
    );
    assert_linearizable::<ConfigSpec, _, _>(config);
}

/// Runs operations until the fault is over and enough are done.
async fn work(operator: &mut Operator, jobs: &[Job], done: &atomic::AtomicBool, seed: u64) {
    let mut random = rand_pcg::Pcg32::seed_from_u64(seed);
    for count in 0..OPERATIONS_MAX {
        if count >= OPERATIONS_MIN && done.load(atomic::Ordering::Relaxed) {
            break;
        }
        let job = &jobs[random.random_range(0..jobs.len())];
        let resend = random.random_ratio(1, RESEND_DIVISOR);
        let job_call = match random.random_range(0..20) {
            0..4 => {
                operator.change(resend).await;
                None
            }
            4..8 => {
                operator.read(resend).await;
                None
            }
            8..10 => Some(JobCall::Accept),
            10 => Some(JobCall::Cancel),
            _ => Some(JobCall::Read),
        };
        if let Some(call) = job_call {
            job.operate(&operator.clients, resend, call).await;
        }
        let pause = time::Duration::from_millis(random.random_range(5..50));
        tokio::time::sleep(pause).await;
    }
}
