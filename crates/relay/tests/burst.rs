//! Items after a burst of crashes that no item caused, on the decision core of the leader
//! in simulated time: the dispatch, the evidence and the trials.

mod support;

use std::collections::BTreeMap;

use bw_relay::{
    dispatch::{Action, Dispatcher, Key, Options, Outcome, Refusal, Server, Start, wait},
    ledger::{Command, Ledger, NewItem, NewJob},
    route,
    suspect::{
        self, Fingerprint, Incarnation, Request, SURVIVAL_MS, Suspects, part,
        trial::{self, End, Verdict},
    },
};
use bw_wire::name::Name;
use rstest::rstest;
use support::work;

const SERVERS: usize = 12;
const SLOTS: u32 = 8;
/// Time between two steps of the dispatch, in milliseconds.
const STEP_MS: u64 = 20;
/// Time from the start of a run to its first event, in milliseconds.
const FIRST_EVENT_MS: u64 = 80;
/// Time between two events, in milliseconds.
const EVENT_MS: u64 = 50;
/// Events of a complete item, which runs for five seconds.
const EVENTS: u64 = 100;
/// Time after which a backend server that crashed has restarted, in milliseconds.
const DOWN_MS: u64 = 900;
/// Time after the last crash from which the fleet is calm, in milliseconds.
const CALM_MS: u64 = 2_000;
/// Longest time for which an item may wait for its next run in a calm fleet with room, in
/// milliseconds.
const WAIT_MAX_MS: u64 = 2_000;
/// When the first crash happens, in milliseconds.
const BURST_FROM_MS: u64 = 1_000;
/// Time after the last crash at which all items are complete, in milliseconds.
const COMPLETE_MS: u64 = 30_000;
/// Length of the part of a second in which online requests take all slots in a peak, in
/// milliseconds.
const PEAK_MS: u64 = 700;

/// Which backend servers crash, and when.
#[derive(Clone, Copy, Debug)]
enum Burst {
    /// One server a second for 20 s.
    InTurn,
    /// A sixth of the servers at once, once a second for 18 s.
    Pairs,
    /// A third of the servers at once, three times.
    FailureDomain,
}

impl Burst {
    /// Returns the times of the crashes, each with the number of servers.
    fn crashes(self) -> Vec<(u64, usize)> {
        let at = |second: u64| BURST_FROM_MS + second * 1_000;
        match self {
            Burst::InTurn => (0..20).map(|second| (at(second), 1)).collect(),
            Burst::Pairs => (0..18).map(|second| (at(second), SERVERS / 6)).collect(),
            Burst::FailureDomain => [0, 3, 6].map(|second| (at(second), SERVERS / 3)).to_vec(),
        }
    }
}

/// The load beside the crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Load {
    /// Three jobs, each with a part of its own.
    Quiet,
    /// The same, and online requests preempt all runs once a second until the burst ends.
    Peaks,
    /// Four jobs at a time, all with the same part, which nearly fill the backend servers.
    Flood,
}

/// A xorshift random number generator.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % bound as u64) as usize
    }
}

/// A run of an item.
#[derive(Clone, Debug)]
struct Run {
    start: Start,
    server: usize,
    sent_ms: u64,
    /// The part that the run is a trial of, with the ticket.
    trial: Option<(Fingerprint, u64)>,
}

impl Run {
    /// Returns the number of the last event at a time.
    fn last(&self, now_ms: u64) -> u64 {
        let before = self.start.progress.last;
        let Some(since_ms) = now_ms.checked_sub(self.sent_ms + FIRST_EVENT_MS) else {
            return before;
        };
        (before + 1 + since_ms / EVENT_MS).min(EVENTS)
    }

    /// Returns the run as the evidence knows it.
    fn evidence(&self, now_ms: u64) -> suspect::Run {
        let events = self.last(now_ms) - self.start.progress.last;
        suspect::Run {
            sent_ms: self.sent_ms,
            written_ms: events.saturating_sub(1) * EVENT_MS,
        }
    }
}

/// The leader and the backend servers.
struct Fleet {
    now_ms: u64,
    dispatch: Dispatcher,
    ledger: Ledger,
    routes: route::Table,
    suspects: Suspects,
    trials: trial::Trials,
    /// Until when no trial of a part is asked for.
    waits: BTreeMap<Fingerprint, u64>,
    tickets: u64,
    /// When each server is up again, and the number of its starts.
    servers: Vec<(u64, u64)>,
    last_crash_ms: u64,
    /// Since when there has been room for all items.
    room_since_ms: u64,
    online: u32,
    runs: Vec<Run>,
    /// The open items, each with the time since which it waits.
    waiting: BTreeMap<String, u64>,
    /// The longest wait in a calm fleet with room, in milliseconds, and its reason.
    longest: (u64, Option<wait::Reason>),
}

impl Fleet {
    fn new() -> Fleet {
        Fleet {
            now_ms: 0,
            dispatch: Dispatcher::new(Options::default()),
            ledger: Ledger::default(),
            routes: work::routes(300_000),
            suspects: Suspects::default(),
            trials: trial::Trials::default(),
            waits: BTreeMap::new(),
            tickets: 0,
            servers: vec![(0, 0); SERVERS],
            last_crash_ms: 0,
            room_since_ms: 0,
            online: 0,
            runs: Vec::new(),
            waiting: BTreeMap::new(),
            longest: (0, None),
        }
    }

    /// Submits a job of eight items whose prompts begin with the same part.
    fn submit(&mut self, job: &str, part: &str) {
        let items = (0..8).map(|index| NewItem {
            id: format!("{job}-{index}").as_str().into(),
            path: "/p/x".into(),
            headers: vec![("part".into(), part.into())],
            body: Vec::new(),
            tokens: 10,
        });
        self.ledger.execute(Command::Submit(Box::new(NewJob {
            id: job.into(),
            route: route::Key {
                host: "a.example".into(),
                prefix: "/p/".into(),
            },
            submitted_ms: self.now_ms,
            complete_ms: 18_000,
            give_up_ms: 300_000,
            attempts: 3,
            items: items.collect(),
        })));
        self.dispatch
            .add(&job.into(), &self.ledger.jobs()[job], judge);
        for index in 0..8 {
            self.waiting.insert(format!("{job}-{index}"), self.now_ms);
        }
    }

    fn crash(&mut self, server: usize) {
        let (up_ms, starts) = self.servers[server];
        if self.now_ms < up_ms {
            return;
        }
        self.servers[server] = (self.now_ms + DOWN_MS, starts + 1);
        self.last_crash_ms = self.now_ms;
        // Callers' requests are at all backend servers.
        let run = suspect::Run::sent(self.now_ms);
        let incarnation = Incarnation::new(&name(server), starts);
        self.suspects
            .request_crashed(&online(), incarnation, run, self.now_ms);
        let runs = std::mem::take(&mut self.runs).into_iter();
        let (broken, kept) = runs.partition::<Vec<Run>, _>(|run| run.server == server);
        self.runs = kept;
        for run in broken {
            self.note_crash(&run, incarnation);
            self.end(&run, Outcome::Broken(work::progress(run.last(self.now_ms))));
        }
    }

    fn note_crash(&mut self, run: &Run, incarnation: Incarnation) {
        let request = judge(&run.start.headers);
        let changed = self.suspects.request_crashed(
            &request,
            incarnation,
            run.evidence(self.now_ms),
            self.now_ms,
        );
        self.record(changed);
    }

    fn record(&mut self, changed: Vec<suspect::Evidence>) {
        let now_ms = self.now_ms;
        for evidence in changed {
            self.waits.remove(&evidence.fingerprint);
            self.trials
                .execute(trial::Command::Record { evidence, now_ms });
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        let servers = self.ready_servers();
        let suspects = &mut self.suspects;
        self.dispatch
            .release_holds(|request| suspects.refusal(request).is_some());
        for action in self.dispatch.plan(&servers, &self.routes, self.now_ms) {
            match action {
                Action::Start(start) => self.start(start),
                Action::Preempt(key) => self.preempt(&key),
                Action::GiveUp(key, reason) => panic!("{key:?} was given up: {reason:?}"),
            }
        }
        for run in self.runs.clone() {
            self.advance(&run);
        }
        // Callers' requests are answered all the time.
        self.suspects
            .request_answered(&online(), true, self.now_ms, self.now_ms);
        self.measure();
    }

    fn ready_servers(&self) -> Vec<Server> {
        let up = (0..SERVERS).filter(|server| self.servers[*server].0 <= self.now_ms);
        let servers = up.map(|server| Server {
            id: name(server).as_str().into(),
            address: "10.0.0.1:80".into(),
            service: "desk".into(),
            slots: SLOTS,
            online: self.online,
        });
        servers.collect()
    }

    fn start(&mut self, start: Start) {
        let server = (0..SERVERS).find(|index| name(*index) == *start.server);
        let mut run = Run {
            server: server.expect("a known server"),
            sent_ms: self.now_ms,
            trial: None,
            start,
        };
        match self.admit(&run) {
            Ok(trial) => {
                run.trial = trial;
                match trial {
                    Some((part, _)) => {
                        let refusal = Refusal {
                            request: judge(&run.start.headers),
                            part,
                            retry_after_ms: 0,
                        };
                        self.dispatch
                            .trial_began(&run.start.key, refusal, self.now_ms);
                    }
                    None => self.dispatch.admitted(&run.start.key),
                }
                self.waiting.remove(&*run.start.id);
                self.runs.push(run);
            }
            Err((fingerprint, retry_after_ms)) => {
                let outcome = Outcome::Refused {
                    progress: run.start.progress.clone(),
                    refusal: Refusal {
                        request: judge(&run.start.headers),
                        part: fingerprint,
                        retry_after_ms,
                    },
                };
                self.dispatch.ended(&run.start.key, outcome, self.now_ms);
            }
        }
    }

    /// Decides whether an item may run, and for which part it is a trial; else returns the
    /// part and how long it must not.
    fn admit(&mut self, run: &Run) -> Result<Option<(Fingerprint, u64)>, (Fingerprint, u64)> {
        let Some(refusal) = self.suspects.refusal(&judge(&run.start.headers)) else {
            return Ok(None);
        };
        let (part, now_ms) = (refusal.fingerprint, self.now_ms);
        let until_ms = self.waits.get(&part).copied().unwrap_or(0);
        if now_ms < until_ms {
            return Err((part, until_ms - now_ms));
        }
        self.tickets += 1;
        let incarnation = Incarnation::new(&run.start.server, self.servers[run.server].1);
        let verdict = self.trials.execute(trial::Command::BeginPart(part::Begin {
            fingerprint: part,
            ticket: self.tickets,
            backend: Some(incarnation),
            is_suspected: run.start.trial,
            calm_in_ms: self.suspects.calm_in_ms(part, now_ms),
            was_disturbed: self.suspects.was_disturbed(part),
            oldest_start_ms: 0,
            now_ms,
        }));
        let wait_ms = match verdict {
            Some(Verdict::Granted) => return Ok(Some((part, self.tickets))),
            Some(Verdict::Wait { retry_after_ms }) => retry_after_ms,
            Some(Verdict::Exhausted) | None => trial::EXHAUSTED_ASK_MS,
        };
        self.waits.insert(part, now_ms + wait_ms);
        Err((part, wait_ms))
    }

    /// Advances a run to the current time.
    fn advance(&mut self, run: &Run) {
        let evidence = run.evidence(self.now_ms);
        if evidence.written_ms > 0 && evidence.written_ms.is_multiple_of(SURVIVAL_MS) {
            let request = judge(&run.start.headers);
            let changed = self.suspects.request_lived(&request, evidence, self.now_ms);
            self.record(changed);
            if let Some((fingerprint, ticket)) = run.trial
                && self.suspects.refusal(&request).is_some()
            {
                self.end_trial(fingerprint, ticket, End::Streaming);
                self.dispatch.trial_lived(&run.start.key, self.now_ms);
            }
        }
        if run.last(self.now_ms) < EVENTS {
            return;
        }
        self.runs.retain(|known| known.start.key != run.start.key);
        let changed = self.suspects.request_answered(
            &judge(&run.start.headers),
            true,
            run.sent_ms,
            self.now_ms,
        );
        self.record(changed);
        self.end(run, Outcome::Completed(work::progress(EVENTS)));
    }

    fn preempt(&mut self, key: &Key) {
        let index = self.runs.iter().position(|run| run.start.key == *key);
        let run = self.runs.remove(index.expect("a current run"));
        if let Some((fingerprint, ticket)) = run.trial {
            self.end_trial(fingerprint, ticket, End::Preempted);
        }
        self.end(&run, Outcome::Broken(work::progress(run.last(self.now_ms))));
    }

    fn end_trial(&mut self, fingerprint: Fingerprint, ticket: u64, end: End) {
        let now_ms = self.now_ms;
        self.trials.execute(trial::Command::End {
            fingerprint,
            ticket,
            end,
            now_ms,
        });
        self.waits.remove(&fingerprint);
    }

    fn end(&mut self, run: &Run, outcome: Outcome) {
        let key = &run.start.key;
        match self.dispatch.ended(key, outcome, self.now_ms) {
            Some(_) => {
                self.dispatch.recorded(key);
            }
            None => {
                self.waiting.insert(run.start.id.to_string(), self.now_ms);
            }
        }
    }

    /// Returns the items that wait, and why.
    fn queue(&self) -> Vec<wait::Wait> {
        let servers = self.ready_servers();
        let queue = self
            .dispatch
            .queue(&servers, &self.routes, usize::MAX, self.now_ms);
        queue.longest
    }

    /// Updates the longest wait. Only the time counts for which the fleet has been calm
    /// with room for all items.
    fn measure(&mut self) {
        let has_room = self.runs.len() + self.waiting.len() <= SERVERS * SLOTS as usize;
        if self.last_crash_ms == 0 || self.online > 0 || !has_room {
            self.room_since_ms = self.now_ms;
        }
        let from_ms = self.room_since_ms.max(self.last_crash_ms + CALM_MS);
        let Some(since_ms) = self.waiting.values().min().copied() else {
            return;
        };
        let waited_ms = self.now_ms.saturating_sub(since_ms.max(from_ms));
        if waited_ms > self.longest.0 {
            let mut waits = self.queue().into_iter();
            let wait = waits.find(|wait| self.waiting.get(&*wait.id) == Some(&since_ms));
            self.longest = (waited_ms, wait.map(|wait| wait.reason));
        }
    }
}

fn name(server: usize) -> String {
    format!("s{server}")
}

/// Returns what callers' requests can be suspected for.
fn online() -> Request {
    Request::of_parts(&["online", "own"])
}

/// Returns what an item with these headers can be suspected for.
fn judge(headers: &[(Name, Name)]) -> Request {
    Request::of_parts(&[&headers[0].1, "own"])
}

/// Plays a burst until all items are complete. Returns the longest wait in the calm fleet.
fn play(burst: Burst, load: Load, seed: u64) -> (u64, Option<wait::Reason>) {
    let mut random = Random(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
    let mut fleet = Fleet::new();
    let crashes = burst.crashes();
    let last_ms = crashes.last().expect("a crash").0;
    let jobs = if load == Load::Flood { 4 } else { 3 };
    let mut number = 0;
    while fleet.now_ms < last_ms + COMPLETE_MS {
        if fleet.now_ms.is_multiple_of(2_000) && fleet.now_ms < last_ms {
            for job in 0..jobs {
                let part = match load {
                    Load::Flood => "shared".to_owned(),
                    Load::Quiet | Load::Peaks => format!("part-{job}"),
                };
                fleet.submit(&format!("job-{number}"), &part);
                number += 1;
            }
        }
        let is_peak = load == Load::Peaks && fleet.now_ms % 1_000 < PEAK_MS;
        fleet.online = match is_peak && fleet.now_ms < last_ms {
            true => SLOTS,
            false => 0,
        };
        fleet.step();
        let now_ms = fleet.now_ms;
        for (_, count) in crashes.iter().filter(|(at_ms, _)| *at_ms == now_ms) {
            let first = random.below(SERVERS);
            for server in first..first + count {
                fleet.crash(server % SERVERS);
            }
        }
    }
    assert!(
        fleet.waiting.is_empty() && fleet.runs.is_empty(),
        "not complete: {:?}",
        fleet.queue()
    );
    fleet.longest
}

/// Guards against items that nothing is wrong with and that never run again, as backend
/// servers crashed under other items with the same part (incident LOST).
#[rstest]
fn accepted_items_lie_still_after_a_burst_of_crashes(
    #[values(Burst::InTurn, Burst::Pairs, Burst::FailureDomain)] burst: Burst,
    #[values(Load::Quiet, Load::Peaks, Load::Flood)] load: Load,
) {
    let waits: Vec<_> = (1..=20).map(|seed| play(burst, load, seed)).collect();
    println!("longest waits in milliseconds: {waits:?}");
    let late = waits.iter().filter(|(wait_ms, _)| *wait_ms > WAIT_MAX_MS);
    assert_eq!(late.count(), 0, "{waits:?}");
}
