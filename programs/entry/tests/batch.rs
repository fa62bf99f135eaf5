//! Tests of the batch dispatcher with a real work state machine and fake backend
//! servers.

mod support;

use std::{
    collections,
    io::Write,
    sync::{
        self, Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread, time,
};

use bw_coord::payload;
use bw_entry::{Handle, settings};
use bw_state::work;
use bw_wire::{
    command::{
        self,
        work::{Command, Content, Line, Outcome, Reply, Result, Suspect},
    },
    fingerprint::Fingerprint,
    intent, name, openai, query, renewal, rpc, sync as wire_sync,
};
use jsonrpsee::{RpcModule, server::ServerBuilder, types::ErrorObjectOwned};
use rstest::rstest;
use support::{
    backend::{self, Answer, Backend},
    caller, control, wait_for,
};
use tokio::runtime;

const JOB: &str = "batch_g1_1";
const FILE: &str = "file-g1-1";
const SLOW: Answer = Answer::Slow(time::Duration::from_millis(100));

/// The state of the fake control replica, which has one work group.
struct State {
    machine: work::Machine,
    payloads: payload::Memory,
    index: u64,
    owners: collections::BTreeMap<name::Name, name::Name>,
    /// Online requests of other entry VMs.
    online: collections::BTreeMap<name::Name, u32>,
    /// Announcements that the entry VM has reported.
    heard: collections::BTreeMap<name::Name, bw_wire::backend::Announcement>,
    /// Number of lease renewals that were applied.
    renewals: usize,
    /// Number of attempts to lease chunks that were applied.
    takes: usize,
    /// Number of calls to record outcomes that were applied.
    records: usize,
    /// Whether calls to record outcomes are rejected as busy.
    rejects_records: bool,
    /// Whether `sync` calls are rejected as busy.
    rejects_syncs: bool,
    revision: u64,
    intent: intent::Intent,
    /// Largest number of outcomes in one call.
    largest_record: usize,
}

impl State {
    /// Lists the reported backend servers, with an age too high to show that they are
    /// alive.
    fn listed(&self) -> Vec<wire_sync::Listed> {
        let heard = (0..).zip(self.heard.values());
        heard
            .map(|(slot, announcement)| wire_sync::Listed {
                slot,
                base: announcement.sequence,
                heard: wire_sync::Heard {
                    announcement: announcement.clone(),
                    age_ms: 29_000,
                },
            })
            .collect()
    }

    fn counts(&self) -> renewal::Counts {
        let slots = (0..).zip(self.heard.keys());
        let counts = slots.filter_map(|(slot, id)| Some((slot, *self.online.get(id)?)));
        renewal::Counts::new(counts.collect())
    }

    fn suspects(&self) -> Vec<Suspect> {
        self.machine.suspects()
    }

    fn query(&self, query: &query::Query) -> Option<query::Answer> {
        let answer = self.machine.query(query, &mut &self.payloads);
        answer.expect("the payloads are stored")
    }

    fn apply(&mut self, command: Command) -> Reply {
        match &command {
            Command::Renew { .. } => self.renewals += 1,
            Command::Take { .. } => self.takes += 1,
            Command::Record { outcomes, .. } => {
                self.records += 1;
                self.largest_record = self.largest_record.max(outcomes.len());
            }
            _ => {}
        }
        self.index += 1;
        let now_ms = unix_ms();
        let stamped = command::Stamped { now_ms, command };
        let reply = self.machine.apply(self.index, stamped);
        self.payloads.apply(self.machine.effects());
        let completed = self.machine.complete(reply, &mut &self.payloads);
        completed.expect("the payloads are stored")
    }
}

/// A fake control replica, the entry program and fake backend servers.
struct Fleet {
    state: Arc<sync::Mutex<State>>,
    entry: Option<Handle>,
    backends: Vec<Backend>,
    _runtime: runtime::Runtime,
}

impl Fleet {
    /// Starts a fleet in which the entry VM owns all backend servers.
    fn start(backends: Vec<Backend>) -> Fleet {
        let owned: Vec<String> = backends.iter().map(|backend| backend.id.clone()).collect();
        let owned: Vec<&str> = owned.iter().map(String::as_str).collect();
        Fleet::start_owning(backends, &owned)
    }

    /// Starts a fleet in which another entry VM owns the backend servers that
    /// are not listed.
    fn start_owning(backends: Vec<Backend>, owned: &[&str]) -> Fleet {
        let owners = backends.iter().map(|backend| {
            let is_owned = owned.contains(&backend.id.as_str());
            let owner = if is_owned { "entry-1" } else { "entry-2" };
            (backend.id.as_str().into(), owner.into())
        });
        let state = Arc::new(sync::Mutex::new(State {
            machine: work::Machine::new(),
            payloads: payload::Memory::new(),
            index: 0,
            owners: owners.collect(),
            online: collections::BTreeMap::new(),
            heard: collections::BTreeMap::new(),
            renewals: 0,
            takes: 0,
            records: 0,
            rejects_records: false,
            rejects_syncs: false,
            revision: 1,
            intent: intent_with_unserved_model(),
            largest_record: 0,
        }));
        let runtime = runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let module = module(&state);
        let address = runtime.block_on(async move {
            let server = ServerBuilder::default().build("127.0.0.1:0").await;
            let server = server.expect("control listens");
            let address = server.local_addr().expect("an address");
            tokio::spawn(server.start(module).stopped());
            address.to_string()
        });
        let mut settings = settings::Settings {
            name: "entry-1".into(),
            failure_domain: "a".into(),
            address: "127.0.0.1:0".to_owned(),
            peer_address: "127.0.0.1:0".to_owned(),
            admin_address: "127.0.0.1:0".to_owned(),
            control: vec![address.as_str().into()],
            groups: 1,
            ..settings::Settings::default()
        };
        settings.timeouts.linger_ms = 0;
        let entry = bw_entry::start(settings).expect("the entry program starts");
        for backend in &backends {
            backend.start_renewals(&entry.address().to_string());
        }
        Fleet {
            state,
            entry: Some(entry),
            backends,
            _runtime: runtime,
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().expect("not poisoned")
    }

    /// Gives the ownership of all backend servers to the entry VM at once. All have
    /// announced themselves to it, so it uses all of them after its next `sync`.
    fn own_all(&self) {
        for owner in self.lock().owners.values_mut() {
            *owner = "entry-1".into();
        }
    }

    /// Creates a job with these lines.
    fn submit(&self, lines: Vec<Line>) {
        let mut state = self.lock();
        let team = name::Name::from("guild");
        let seal = Command::FileSeal {
            file: FILE.into(),
            team: team.clone(),
            filename: "input.jsonl".to_owned(),
            purpose: "batch".to_owned(),
            bytes: 1,
            chunks: 1,
        };
        let create = Command::JobCreate {
            job: JOB.into(),
            team,
            file: FILE.into(),
            endpoint: "/v1/chat/completions".to_owned(),
            window_ms: 24 * 3_600_000,
            metadata: collections::BTreeMap::new(),
        };
        let chunk = Command::FileChunk {
            file: FILE.into(),
            chunk: 0,
            lines,
        };
        assert_eq!(state.apply(chunk), Reply::Ok);
        assert_eq!(state.apply(seal), Reply::Ok);
        let created = state.apply(create);
        assert!(matches!(created, Reply::Job(_)), "{created:?}");
    }

    fn job(&self) -> query::Job {
        let query = query::Query::Job {
            job: JOB.into(),
            team: "guild".into(),
        };
        match self.lock().query(&query) {
            Some(query::Answer::Job(job)) => *job,
            other => panic!("{other:?}"),
        }
    }

    fn backlog(&self) -> query::Backlog {
        match self.lock().query(&query::Query::Backlog) {
            Some(query::Answer::Backlog(backlog)) => backlog,
            other => panic!("{other:?}"),
        }
    }

    fn wait_done(&self) {
        wait_for("the job to complete", || {
            self.job().state == query::JobState::Completed
        });
    }

    fn results(&self) -> Vec<Outcome> {
        let query = query::Query::Results {
            job: JOB.into(),
            team: "guild".into(),
            chunk: 0,
        };
        match self.lock().query(&query) {
            Some(query::Answer::Results(results)) => {
                results.into_iter().map(|result| result.outcome).collect()
            }
            other => panic!("{other:?}"),
        }
    }

    fn address(&self) -> String {
        let entry = self.entry.as_ref().expect("the entry program runs");
        entry.address().to_string()
    }

    /// Restarts a backend server with the next incarnation.
    fn restart(&mut self, index: usize, script: &[Answer]) {
        let address = self.address();
        let old = &self.backends[index];
        old.stop_renewals();
        let backend = Backend::engine(&old.id, script);
        backend.change(|announcement| announcement.incarnation += 1);
        backend.start_renewals(&address);
        self.backends[index] = backend;
    }

    /// Returns the number of requests that all backend servers have received.
    fn requests(&self) -> usize {
        self.backends.iter().map(Backend::count).sum()
    }

    /// Returns the number of requests that were cancelled on all backend servers.
    fn cancelled(&self) -> u64 {
        let cancelled = |backend: &Backend| backend.cancelled.load(Ordering::SeqCst);
        self.backends.iter().map(cancelled).sum()
    }

    fn stop_entry(&mut self) {
        if let Some(entry) = self.entry.take() {
            entry.drain();
            entry.join();
        }
    }
}

fn module(state: &Arc<sync::Mutex<State>>) -> RpcModule<Arc<sync::Mutex<State>>> {
    let mut module = RpcModule::new(Arc::clone(state));
    module
        .register_method(rpc::SYNC, |params, state, _| {
            let request: wire_sync::Request = params.one()?;
            let mut state = state.lock().expect("not poisoned");
            if state.rejects_syncs {
                return Err(ErrorObjectOwned::owned(rpc::BUSY, "busy", None::<()>));
            }
            for heard in request.heard {
                let id = heard.announcement.id.clone();
                state.heard.insert(id, heard.announcement);
            }
            let newer = request.revision < state.revision;
            Ok::<_, ErrorObjectOwned>(wire_sync::Response {
                leader_term: 1,
                clock_ms: 0,
                interval_ms: wire_sync::SHORT_INTERVAL_MS,
                report_all: false,
                lease_ms: wire_sync::CONFIG_LEASE_MS,
                revision: state.revision,
                intent: newer.then(|| Box::new(state.intent.clone())),
                table: 1,
                whole: true,
                backends: state.listed(),
                removed: Vec::new(),
                renewals: renewal::Renewals::default(),
                peers: Some(Vec::new()),
                online: state.counts(),
                owners: Some(state.owners.clone()),
                suspects: state.suspects(),
            })
        })
        .expect("registered");
    module
        .register_method(rpc::PROPOSE, |params, state, _| {
            let propose: rpc::Propose = params.one()?;
            let command::Command::Work(command) = propose.command else {
                panic!("entry VMs propose work only");
            };
            let mut state = state.lock().expect("not poisoned");
            if state.rejects_records && matches!(command, Command::Record { .. }) {
                let busy = ErrorObjectOwned::owned(rpc::BUSY, "busy", None::<()>);
                return Err(busy);
            }
            Ok(command::Reply::Work(state.apply(command)))
        })
        .expect("registered");
    module
        .register_method(rpc::QUERY, |params, state, _| {
            let ask: rpc::Query = params.one()?;
            let state = state.lock().expect("not poisoned");
            let answer = state.query(&ask.query);
            Ok::<_, ErrorObjectOwned>(answer.unwrap_or(query::Answer::NotFound))
        })
        .expect("registered");
    module
}

/// Returns the common test intent plus the model `n`, which no engine has loaded.
fn intent_with_unserved_model() -> intent::Intent {
    let mut intent = control::intent();
    intent.models.insert("n".into(), intent::Model::default());
    intent
}

fn unix_ms() -> u64 {
    let since = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    since.expect("after 1970").as_millis() as u64
}

fn line(number: u32) -> Line {
    let body = serde_json::json!({
        "model": "m",
        "messages": [{ "role": "user", "content": format!("item {number}") }],
    });
    content(number, "/v1/chat/completions", &body.to_string())
}

fn content(number: u32, url: &str, body: &str) -> Line {
    let value: serde_json::Value = serde_json::from_str(body).unwrap_or_default();
    let model = value["model"].as_str().unwrap_or_default();
    Line {
        number,
        custom_id: Some(format!("item-{number}")),
        content: Content::Request {
            url: url.to_owned(),
            model: model.into(),
            body: body.to_owned(),
        },
    }
}

/// Returns the text of a chat completion with status 200.
fn answered_text(outcome: &Outcome) -> String {
    let Result::Answer { status: 200, body } = &outcome.result else {
        panic!("{outcome:?}");
    };
    let body: serde_json::Value = serde_json::from_str(body).expect("JSON");
    assert_eq!(body["object"], "chat.completion");
    let text = &body["choices"][0]["message"]["content"];
    text.as_str().expect("a text").to_owned()
}

/// Guards against items that are lost or run twice, and against outcomes that
/// are recorded one by one instead of in batches.
#[test]
fn every_item_runs_once_and_outcomes_are_grouped() {
    let backends = vec![
        Backend::engine("e1", &[Answer::Whole]),
        Backend::engine("e2", &[Answer::Whole]),
    ];
    // If the entry VM owned one backend server first, it would run all items there.
    let fleet = Fleet::start_owning(backends, &[]);
    fleet.submit((1..=60).map(line).collect());
    fleet.own_all();
    fleet.wait_done();
    let results = fleet.results();
    assert_eq!(results.len(), 60);
    for outcome in &results {
        assert_eq!(answered_text(outcome), backend::whole_text());
    }
    assert_eq!(fleet.requests(), 60);
    assert!(fleet.backends.iter().all(|backend| backend.count() > 0));
    let largest = fleet.lock().largest_record;
    assert!(largest > 1, "at most {largest} outcomes in a record");
}

/// Guards against a job that never completes because one of its lines cannot be run.
#[rstest]
#[case::bad_line(Line { content: Content::Bad { code: "invalid_json".into(), message: "no".into() }, ..line(2) }, "invalid_json")]
#[case::not_json(content(2, "/v1/chat/completions", "{"), "invalid_json")]
#[case::unknown_path(content(2, "/v1/embeddings", "{}"), "invalid_field")]
#[case::unknown_model(
    content(
        2,
        "/v1/chat/completions",
        r#"{"model":"x","messages":[{"role":"user","content":"c"}]}"#
    ),
    "model_not_found"
)]
fn lines_that_cannot_run_fail_alone(#[case] bad: Line, #[case] expected: &str) {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[Answer::Whole])]);
    fleet.submit(vec![line(1), bad, line(3)]);
    fleet.wait_done();
    let results = fleet.results();
    let Result::Failed { code, .. } = &results[1].result else {
        panic!("{results:?}");
    };
    assert_eq!(code, expected);
    assert_eq!(answered_text(&results[0]), backend::whole_text());
    assert_eq!(answered_text(&results[2]), backend::whole_text());
    assert_eq!(fleet.requests(), 2);
}

/// Guards against items that fail permanently because the entry VM has not yet
/// received the configuration that declares their model.
#[test]
fn an_item_of_a_newly_declared_model_does_not_fail() {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[Answer::Whole])]);
    let is_reported = || fleet.lock().heard.contains_key("e1");
    wait_for("the backend server to be reported", is_reported);
    let body = r#"{"model":"new","messages":[{"role":"user","content":"c"}]}"#;
    {
        let mut state = fleet.lock();
        state.rejects_syncs = true;
        state.revision += 1;
        let models = &mut state.intent.models;
        models.insert("new".into(), intent::Model::default());
    }
    let new = content(2, "/v1/chat/completions", body);
    fleet.submit(vec![line(1), new, line(3)]);
    // Shorter than the configuration lease, during which the dispatcher leases chunks.
    std::thread::sleep(time::Duration::from_millis(2_500));
    fleet.lock().rejects_syncs = false;
    let entry = fleet.entry.as_ref().expect("running");
    let shared = entry.shared();
    wait_for("the configuration", || shared.snapshot.load().revision == 2);
    wait_for("the other items", || fleet.job().counts.completed == 2);
    let results = fleet.results();
    let failed: Vec<&Outcome> = results
        .iter()
        .filter(|outcome| matches!(outcome.result, Result::Failed { .. }))
        .collect();
    assert!(failed.is_empty(), "{failed:?}");
}

/// Guards against items that are given up too early or never, or that fail without the
/// right code.
#[rstest]
#[case::refused_then_runs(&[Answer::Refuse, Answer::Refuse, Answer::Refuse, Answer::Refuse, Answer::Refuse, Answer::Refuse, Answer::Whole], 7, None)]
#[case::not_loaded_then_runs(&[Answer::NotLoaded, Answer::Whole], 2, None)]
#[case::unknown_there_then_runs(&[Answer::Status(404), Answer::Whole], 2, None)]
#[case::broken_then_resumed(&[Answer::CutAfter(2), Answer::Whole], 2, None)]
#[case::corrupt_then_runs(&[Answer::Doubled, Answer::Whole], 2, None)]
#[case::always_fails(&[Answer::Status(500)], 5, Some("backend_failed"))]
fn failed_attempts_are_retried_up_to_a_limit(
    #[case] script: &[Answer],
    #[case] requests: usize,
    #[case] code: Option<&str>,
) {
    let fleet = Fleet::start(vec![Backend::engine("e1", script)]);
    fleet.submit(vec![line(1)]);
    fleet.wait_done();
    assert_eq!(fleet.requests(), requests);
    let results = fleet.results();
    match code {
        None => assert_eq!(answered_text(&results[0]), backend::whole_text()),
        Some(expected) => {
            let Result::Failed { code, .. } = &results[0].result else {
                panic!("{results:?}");
            };
            assert_eq!(code, expected);
        }
    }
}

/// Guards against retries of an item that the engine rejects as invalid.
#[test]
fn rejected_items_get_the_response_of_the_engine() {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[Answer::Status(400)])]);
    fleet.submit(vec![line(1)]);
    fleet.wait_done();
    assert_eq!(fleet.requests(), 1);
    let results = fleet.results();
    assert!(
        matches!(results[0].result, Result::Answer { status: 400, .. }),
        "{results:?}"
    );
    let counts = fleet.job().counts;
    let expected = openai::Counts {
        total: 1,
        completed: 0,
        failed: 1,
    };
    assert_eq!(counts, expected);
}

/// Guards against batch work that keeps running when online load rises, and against
/// tokens that are generated again when it resumes.
#[test]
fn online_work_preempts_and_items_resume_with_their_text() {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[SLOW])]);
    fleet.submit((1..=8).map(line).collect());
    wait_for("items to run", || fleet.requests() >= 4);
    fleet.lock().online.insert("e1".into(), 32);
    wait_for("items to be cancelled", || fleet.cancelled() >= 1);
    let running = fleet.requests();
    std::thread::sleep(time::Duration::from_millis(700));
    assert_eq!(
        fleet.requests(),
        running,
        "nothing starts beside full online load"
    );
    fleet.lock().online.clear();
    fleet.wait_done();
    for outcome in &fleet.results() {
        assert_eq!(answered_text(outcome), backend::whole_text());
    }
    let seen = fleet.backends[0].requests.lock().expect("lock");
    let resumed = seen
        .iter()
        .filter(|seen| seen.headers.contains_key("bw-resume-tokens"))
        .count();
    assert!(resumed >= 1, "no item was resumed");
    let batch = seen.iter().all(|seen| {
        seen.headers
            .get("bw-class")
            .is_some_and(|class| class == "batch")
    });
    assert!(batch);
}

/// Guards against items of a cancelled job that keep running until the first outcome is
/// refused.
#[test]
fn cancelled_jobs_stop() {
    let slow = Answer::Slow(time::Duration::from_secs(1));
    let fleet = Fleet::start(vec![Backend::engine("e1", &[slow])]);
    fleet.submit((1..=200).map(line).collect());
    wait_for("items to run", || fleet.requests() >= 5);
    fleet.lock().apply(Command::JobCancel {
        job: JOB.into(),
        team: "guild".into(),
    });
    wait_for("items to be cancelled", || fleet.cancelled() >= 1);
    let renewals = fleet.lock().renewals;
    let requests = fleet.requests();
    std::thread::sleep(time::Duration::from_millis(700));
    assert_eq!(fleet.requests(), requests);
    assert_eq!(fleet.lock().renewals, renewals, "no lease is held any more");
    assert_eq!(fleet.lock().records, 0, "no item ran to its end");
    assert_eq!(fleet.job().state, query::JobState::Cancelled);
}

/// Guards against a shutdown that leaves chunks leased until the leases expire, or that
/// loses outcomes.
#[test]
fn a_shutdown_records_outcomes_and_releases_leases() {
    let backend = Backend::engine(
        "e1",
        &[
            Answer::Whole,
            Answer::Whole,
            Answer::Whole,
            Answer::Whole,
            Answer::Whole,
            Answer::Whole,
            SLOW,
        ],
    );
    // One stream of the capacity is kept free, so two items run at a time: the eighth
    // starts once six have ended.
    backend.change(|announcement| announcement.capacity = 3);
    let mut fleet = Fleet::start(vec![backend]);
    fleet.submit((1..=100).map(line).collect());
    // The outcomes are pending, but not recorded, when the process drains.
    fleet.lock().rejects_records = true;
    wait_for("items to run", || fleet.requests() >= 8);
    let state = Arc::clone(&fleet.state);
    let unblock = std::thread::spawn(move || {
        std::thread::sleep(time::Duration::from_millis(2_500));
        state.lock().expect("not poisoned").rejects_records = false;
    });
    assert_eq!(fleet.backlog().chunks, 0, "the chunk is leased");
    fleet.stop_entry();
    unblock.join().expect("joined");
    let left = fleet.backlog();
    assert_eq!(left.chunks, 1, "the chunk can be taken at once");
    let done = fleet.results().len();
    assert!(done >= 6, "{done} outcomes");
    assert_eq!(left.items, 100 - done as u64);
}

/// Starts an engine that crashes during its first request.
fn crashing(id: &str) -> Backend {
    let backend = Backend::engine(id, &[Answer::Close]);
    backend.refuse_after(1);
    backend
}

/// Returns the request body of [`line`].
fn body_of(number: u32) -> String {
    match line(number).content {
        Content::Request { body, .. } => body,
        Content::Bad { .. } => panic!("a request"),
    }
}

/// Guards against an item that crashes one backend server after the other, and against
/// an item that is given up while its job is in progress.
#[test]
fn items_that_crash_backend_servers_are_delayed_and_complete() {
    let backends = ["e1", "e2", "e3", "e4", "e5", "e6"].map(crashing);
    let mut fleet = Fleet::start(backends.into());
    fleet.submit(vec![line(1)]);
    wait_for("the first crash", || fleet.requests() == 1);
    let first = time::Instant::now();
    wait_for("three strikes", || {
        let suspects = fleet.lock().suspects();
        suspects.iter().any(|suspect| suspect.strikes == 3)
    });
    let suspects = fleet.lock().suspects();
    assert_eq!(suspects.len(), 1);
    let body = serde_json::from_str(&body_of(1)).expect("JSON");
    let fingerprint = Fingerprint::of_request(&body).for_batch_item();
    assert_eq!(suspects[0].fingerprint, fingerprint);
    assert_eq!((suspects[0].strikes, suspects[0].isolated), (3, 1));
    // The backoff before the third, fourth and fifth run is 2, 4 and 8 s.
    while first.elapsed() < time::Duration::from_secs(12) {
        assert!(fleet.requests() <= 4, "{} crashes", fleet.requests());
        thread::sleep(time::Duration::from_millis(50));
    }
    assert!(fleet.results().is_empty(), "{:?}", fleet.results());
    for index in 0..6 {
        fleet.restart(index, &[Answer::Whole]);
    }
    fleet.wait_done();
    assert_eq!(answered_text(&fleet.results()[0]), backend::whole_text());
}

/// Guards against an item that is given up because its connection broke more often than
/// attempts may fail, although no crash of a backend server was found.
#[test]
fn broken_connections_do_not_end_an_item() {
    let mut script = vec![Answer::Close; 8];
    script.push(Answer::Whole);
    let fleet = Fleet::start(vec![Backend::engine("e1", &script)]);
    fleet.submit(vec![line(1)]);
    fleet.wait_done();
    assert_eq!(answered_text(&fleet.results()[0]), backend::whole_text());
}

/// Guards against an item that fails because three backend servers crashed while they
/// ran it, although it did not cause the crashes.
#[test]
fn three_crashes_around_a_harmless_item_do_not_end_it() {
    let mut fleet = Fleet::start(["e1", "e2", "e3"].map(crashing).into());
    fleet.submit(vec![line(1)]);
    wait_for("three crashes", || fleet.requests() == 3);
    for index in 0..3 {
        fleet.restart(index, &[Answer::Whole]);
    }
    fleet.wait_done();
    assert_eq!(answered_text(&fleet.results()[0]), backend::whole_text());
    wait_for("the item to be cleared", || {
        fleet.lock().suspects().is_empty()
    });
}

/// Guards against a harmless item that never runs again after a burst of crashes,
/// because steady online traffic leaves no backend server empty.
#[rstest]
#[case::crashes_outside_a_trial(2)]
#[case::crash_during_a_trial(3)]
fn an_item_runs_after_a_burst_of_crashes_beside_steady_traffic(#[case] crashes: usize) {
    // An online response takes longer than the maximum wait for a reserved backend
    // server to become empty.
    let online = Answer::SlowOnline(time::Duration::from_secs(3));
    let ids = ["e1", "e2", "e3"];
    let mut backends: Vec<Backend> = ids[..crashes].iter().map(|id| crashing(id)).collect();
    backends.push(Backend::engine("e4", &[online]));
    backends.push(Backend::engine("e5", &[online]));
    let fleet = Fleet::start_owning(backends, &ids);
    fleet.submit(vec![line(1)]);
    wait_for("the crashes", || fleet.requests() == crashes);
    let traffic = Traffic::start(&fleet.address());
    wait_for("online requests to run", || {
        fleet.backends[crashes..]
            .iter()
            .all(|backend| backend.count() > 0)
    });
    for id in ["e4", "e5"] {
        fleet.lock().owners.insert(id.into(), "entry-1".into());
    }
    fleet.wait_done();
    traffic.stop();
    assert_eq!(answered_text(&fleet.results()[0]), backend::whole_text());
}

/// Guards against an item that is sent forever to backend servers that refuse
/// connections. More of them are unreachable than may be ejected, and they stay less
/// loaded than the others.
#[test]
fn an_item_gets_past_unreachable_backend_servers_that_cannot_be_ejected() {
    let mut backends: Vec<Backend> = ["e1", "e2", "e3"].map(Backend::unreachable).into();
    backends.push(Backend::engine("e4", &[Answer::Whole]));
    backends.push(Backend::engine("e5", &[Answer::Whole]));
    let fleet = Fleet::start_owning(backends, &[]);
    for id in ["e4", "e5"] {
        fleet.lock().online.insert(id.into(), 4);
    }
    wait_for("all backend servers to be reported", || {
        fleet.lock().heard.len() == 5
    });
    fleet.own_all();
    fleet.submit(vec![line(1)]);
    fleet.wait_done();
    assert_eq!(answered_text(&fleet.results()[0]), backend::whole_text());
}

/// Guards against a caller's request that is refused because backend servers crashed
/// while they ran an item with the same content.
#[test]
fn crashes_around_an_item_do_not_blame_a_request_with_its_content() {
    let mut fleet = Fleet::start(["e1", "e2", "e3"].map(crashing).into());
    fleet.submit(vec![line(1)]);
    wait_for("three crashes", || fleet.requests() == 3);
    // The strike for the last crash is recorded once the item is requeued.
    wait_for("three strikes", || {
        let suspects = fleet.lock().suspects();
        suspects.iter().any(|suspect| suspect.strikes == 3)
    });
    fleet.restart(0, &[Answer::Whole]);
    wait_for("the request to be answered", || {
        let path = "/v1/chat/completions";
        let response = caller::post(&fleet.address(), path, &[], &body_of(1));
        if response.status != 200 {
            assert_ne!(response.refusal().0, "poisonous_request");
        }
        response.status == 200
    });
}

/// Guards against an item that fails because backend servers crashed while they ran a
/// caller's request with the same content, and against such a request that is no longer
/// refused after three crashes.
#[test]
fn crashes_around_a_request_do_not_blame_an_item_with_its_content() {
    let mut fleet = Fleet::start(["e1", "e2", "e3"].map(crashing).into());
    let ask = |fleet: &Fleet| {
        let path = "/v1/chat/completions";
        caller::post(&fleet.address(), path, &[], &body_of(1))
    };
    wait_for("the request to be refused", || {
        ask(&fleet).refusal().0 == "poisonous_request"
    });
    assert_eq!(fleet.requests(), 3);
    for index in 0..3 {
        fleet.restart(index, &[Answer::Whole]);
    }
    fleet.submit(vec![line(1)]);
    fleet.wait_done();
    assert_eq!(answered_text(&fleet.results()[0]), backend::whole_text());
    assert_eq!(ask(&fleet).refusal().0, "poisonous_request");
}

/// Online requests that start one after the other and are never read to their end.
struct Traffic {
    stop: Arc<AtomicBool>,
    thread: thread::JoinHandle<()>,
}

impl Traffic {
    /// Starts one request per second, up to 60.
    fn start(address: &str) -> Traffic {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, address) = (Arc::clone(&stop), address.to_owned());
        let thread = thread::spawn(move || {
            let body = support::chat_body(true).to_string();
            let mut open = Vec::new();
            while !stopped.load(Ordering::SeqCst) && open.len() < 60 {
                let mut stream = caller::connect(&address);
                let head = caller::head("POST", "/v1/chat/completions", &[], body.len());
                let sent = stream.write_all(&[head.as_slice(), body.as_bytes()].concat());
                sent.expect("sent");
                open.push(stream);
                thread::sleep(time::Duration::from_secs(1));
            }
        });
        Traffic { stop, thread }
    }

    fn stop(self) {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.join().expect("joined");
    }
}

/// Guards against chunks that stay leased although this entry VM owns no backend server
/// for their model, while another one may.
#[test]
fn chunks_that_cannot_run_here_are_released() {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[Answer::Whole])]);
    let body = r#"{"model":"n","messages":[{"role":"user","content":"c"}]}"#;
    fleet.submit(vec![line(1), content(2, "/v1/chat/completions", body)]);
    wait_for("the chunk to be leased", || fleet.backlog().chunks == 0);
    wait_for("the chunk to be released", || fleet.backlog().chunks == 1);
    let counts = fleet.job().counts;
    assert_eq!(
        (counts.completed, counts.failed),
        (1, 0),
        "what can run has run"
    );
    // Longer than the interval between two queries of the backlog.
    std::thread::sleep(time::Duration::from_millis(1_500));
    assert_eq!(fleet.lock().takes, 1, "the rest was leased again");
}

/// Guards against chunks that are leased and released repeatedly by an entry VM that
/// owns no backend server for their model.
#[test]
fn chunks_of_other_models_are_not_leased() {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[Answer::Whole])]);
    let body = r#"{"model":"n","messages":[{"role":"user","content":"c"}]}"#;
    let lines = (1..=3).map(|number| content(number, "/v1/chat/completions", body));
    fleet.submit(lines.collect());
    std::thread::sleep(time::Duration::from_millis(2_000));
    assert_eq!(fleet.lock().takes, 0);
    assert_eq!(fleet.backlog().chunks, 1);
}

/// Guards against a job that stays open until it expires because no entry VM leases
/// items of a model that is not declared.
#[test]
fn items_of_undeclared_models_fail() {
    let fleet = Fleet::start(vec![Backend::engine("e1", &[Answer::Whole])]);
    let body = r#"{"model":"x","messages":[{"role":"user","content":"c"}]}"#;
    fleet.submit(vec![content(1, "/v1/chat/completions", body)]);
    fleet.wait_done();
    assert_eq!(fleet.job().counts.failed, 1);
    assert_eq!(fleet.requests(), 0);
}

/// Guards against items that wait for a frozen backend server as long as it stays
/// announced, while another entry VM owns a healthy one.
#[test]
fn chunks_of_a_frozen_backend_server_are_released() {
    let frozen = [Answer::FreezeAfter(2), Answer::Freeze];
    let backends = vec![
        Backend::engine("e1", &frozen),
        Backend::engine("e2", &[Answer::Whole]),
    ];
    let fleet = Fleet::start_owning(backends, &["e1"]);
    fleet.submit((1..=20).map(line).collect());
    wait_for("items to run", || fleet.requests() >= 2);
    assert_eq!(fleet.backlog().chunks, 0, "the chunk is leased");
    wait_for("the chunk to be released", || fleet.backlog().chunks == 1);
    fleet.lock().owners.insert("e2".into(), "entry-1".into());
    fleet.wait_done();
    assert_eq!(fleet.results().len(), 20);
}

/// Guards against batch work on backend servers that another entry VM owns.
#[test]
fn items_run_on_owned_backend_servers_only() {
    let backends = vec![
        Backend::engine("e1", &[SLOW]),
        Backend::engine("e2", &[SLOW]),
    ];
    let fleet = Fleet::start(backends);
    fleet.submit((1..=40).map(line).collect());
    wait_for("both to run items", || {
        fleet.backends.iter().all(|backend| backend.count() > 0)
    });
    fleet.lock().owners.insert("e2".into(), "entry-2".into());
    wait_for("items to be cancelled", || {
        fleet.backends[1].cancelled.load(Ordering::SeqCst) >= 1
    });
    let before = fleet.backends[1].count();
    fleet.wait_done();
    assert_eq!(fleet.backends[1].count(), before);
    assert_eq!(fleet.results().len(), 40);
}
