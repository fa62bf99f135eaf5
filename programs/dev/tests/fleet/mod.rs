//! A fleet of real processes on loopback for tests.
//!
//! Each fleet has a loopback address of its own, so that tests can run side by
//! side with fixed ports.

#![allow(dead_code, reason = "each test file uses a part of the harness")]

pub mod http;
pub mod process;
pub mod relay;
pub mod settings;

use std::{
    collections, fs, path,
    sync::atomic::{self, AtomicU8},
    time,
};

use bw_client::control;
use bw_wire::{command::config, intent, query, rpc};
use serde_json::{Value, json};

use process::Process;
use relay::{Direction, Relay};

/// The model that the engines of a fleet serve.
pub const MODEL: &str = "desk";
/// How long a fleet may take to become ready, or a state to be reached.
pub const LIMIT: time::Duration = time::Duration::from_secs(40);
const POLL: time::Duration = time::Duration::from_millis(50);

static NEXT_FLEET: AtomicU8 = AtomicU8::new(1);

/// How many processes of each kind a fleet has.
#[derive(Clone, Debug)]
pub struct Builder {
    pub controls: usize,
    pub entries: usize,
    pub engines: usize,
    pub services: usize,
    /// Extra settings of every control replica, merged at the top level.
    pub control: Value,
    /// Extra settings of every engine, merged at the top level.
    pub engine: Value,
    /// Extra settings of every entry VM, merged at the top level.
    pub entry: Value,
    /// Engines serve no model until they are ordered to load one.
    pub empty_engines: bool,
    /// Whether the engines' deployment is declared to check fencing numbers.
    pub checks_fencing: bool,
    /// Connections between control replicas go through relays.
    pub relay_controls: bool,
    /// Connections of entry VMs to control and to each other go through relays.
    /// Redirects of control replicas are not relayed, so this is for one replica.
    pub relay_entries: bool,
    /// The entry VM that backend servers announce themselves to; absent means
    /// all in turn.
    pub announce_to: Option<usize>,
    /// A control replica and the largest file that it may write, in blocks of
    /// 512 bytes.
    pub file_limit: Option<(usize, u32)>,
}

/// A process as the end of a relayed link.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum End {
    Control(usize),
    Entry(usize),
    /// Any other entry VM.
    Peers,
}

impl Default for Builder {
    fn default() -> Self {
        Builder {
            controls: 3,
            entries: 2,
            engines: 2,
            services: 0,
            control: json!({}),
            engine: json!({}),
            entry: json!({}),
            empty_engines: false,
            checks_fencing: true,
            relay_controls: false,
            relay_entries: false,
            announce_to: None,
            file_limit: None,
        }
    }
}

/// A running fleet.
pub struct Fleet {
    pub spec: Builder,
    pub http: http::Client,
    folder: tempfile::TempDir,
    ip: String,
    pub controls: Vec<Option<Process>>,
    pub entries: Vec<Option<Process>>,
    pub engines: Vec<Option<Process>>,
    pub services: Vec<Option<Process>>,
    relays: collections::BTreeMap<(End, End), Relay>,
}

impl Builder {
    /// Starts the fleet and declares its model and service.
    pub async fn start(self) -> Fleet {
        let mut fleet = self.start_undeclared().await;
        fleet.declare().await;
        fleet
    }

    /// Starts the processes and waits until the control replicas answer.
    pub async fn start_undeclared(self) -> Fleet {
        let number = NEXT_FLEET.fetch_add(1, atomic::Ordering::Relaxed);
        let pid = std::process::id();
        let ip = format!("127.{}.{}.{number}", 64 + (pid >> 8) % 128, pid % 256);
        let mut fleet = Fleet {
            http: http::Client::new(),
            folder: tempfile::tempdir().expect("temporary folder"),
            ip,
            controls: Vec::new(),
            entries: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            relays: collections::BTreeMap::new(),
            spec: self,
        };
        fleet.controls.resize_with(fleet.spec.controls, || None);
        fleet.entries.resize_with(fleet.spec.entries, || None);
        fleet.engines.resize_with(fleet.spec.engines, || None);
        fleet.services.resize_with(fleet.spec.services, || None);
        fleet.start_relays().await;
        for index in 0..fleet.spec.controls {
            fleet.start_control(index);
        }
        for index in 0..fleet.spec.entries {
            fleet.start_entry(index);
        }
        for index in 0..fleet.spec.engines {
            fleet.start_engine(index);
        }
        for index in 0..fleet.spec.services {
            fleet.start_service(index);
        }
        fleet
    }
}

impl Fleet {
    pub fn control_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 7_001 + index)
    }

    pub fn entry_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 8_001 + index)
    }

    pub fn control_admin_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 7_501 + index)
    }

    pub fn peer_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 8_201 + index)
    }

    pub fn entry_admin_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 8_401 + index)
    }

    pub fn engine_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 9_001 + index)
    }

    pub fn service_address(&self, index: usize) -> String {
        format!("{}:{}", self.ip, 9_501 + index)
    }

    async fn start_relays(&mut self) {
        let mut links = Vec::new();
        let controls = 0..self.spec.controls;
        if self.spec.relay_controls {
            for from in controls.clone() {
                let others = controls.clone().filter(|to| *to != from);
                links.extend(others.map(|to| (End::Control(from), End::Control(to))));
            }
        }
        if self.spec.relay_entries {
            for entry in 0..self.spec.entries {
                links.extend(
                    controls
                        .clone()
                        .map(|to| (End::Entry(entry), End::Control(to))),
                );
                links.push((End::Peers, End::Entry(entry)));
            }
        }
        for (from, to) in links {
            let target = self.direct_address(to);
            let relay = Relay::start(&self.ip, target).await;
            self.relays.insert((from, to), relay);
        }
    }

    fn direct_address(&self, to: End) -> String {
        match to {
            End::Control(index) => self.control_address(index),
            End::Entry(index) => self.peer_address(index),
            End::Peers => unreachable!("connections go to one process"),
        }
    }

    /// Returns the address by which a process connects to another one.
    pub fn route(&self, from: End, to: End) -> String {
        match self.relays.get(&(from, to)) {
            Some(relay) => relay.address(),
            None => self.direct_address(to),
        }
    }

    /// Blocks what a process sends over its relayed links.
    pub fn block_sends(&self, of: End) {
        self.each_link(of, Direction::Requests, Direction::Answers, Relay::block);
    }

    /// Blocks what is sent to a process over its relayed links.
    pub fn block_receives(&self, of: End) {
        self.each_link(of, Direction::Answers, Direction::Requests, Relay::block);
    }

    /// Unblocks all relayed links.
    pub fn unblock(&self) {
        for relay in self.relays.values() {
            relay.unblock(Direction::Requests);
            relay.unblock(Direction::Answers);
        }
    }

    /// Applies a change to one direction of the links that a process opens, and
    /// to another one of the links that are opened to it.
    fn each_link(
        &self,
        of: End,
        opened: Direction,
        accepted: Direction,
        change: fn(&Relay, Direction),
    ) {
        let mut links = 0;
        for ((from, to), relay) in &self.relays {
            if *from == of {
                change(relay, opened);
                links += 1;
            } else if *to == of {
                change(relay, accepted);
                links += 1;
            }
        }
        assert!(links > 0, "{of:?} has no relayed links");
    }

    pub fn path(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(name)
    }

    pub fn start_control(&mut self, index: usize) {
        let settings = settings::control(self, index);
        let file = self.write_settings(&format!("control-{index}"), &settings);
        let process = match self.spec.file_limit {
            Some((limited, blocks)) if limited == index => {
                Process::start_limited("bw-control", &file, blocks)
            }
            _ => Process::start("bw-control", &file),
        };
        self.controls[index] = Some(process);
    }

    /// Starts a replica with an empty data folder under a new id in place of a lost one.
    pub fn start_replacement(&mut self, index: usize, replica: u64) {
        let settings = settings::replacement(self, index, replica);
        let name = format!("control-{index}-{replica}");
        self.controls[index] = Some(self.spawn("bw-control", &name, &settings));
    }

    pub fn start_entry(&mut self, index: usize) {
        let settings = settings::entry(self, index);
        self.entries[index] = Some(self.spawn("bw-entry", &format!("entry-{index}"), &settings));
    }

    pub fn start_engine(&mut self, index: usize) {
        let settings = settings::engine(self, index);
        self.engines[index] = Some(self.spawn("bw-engine", &format!("engine-{index}"), &settings));
    }

    pub fn start_service(&mut self, index: usize) {
        let settings = settings::service(self, index);
        self.services[index] =
            Some(self.spawn("bw-engine", &format!("service-{index}"), &settings));
    }

    fn spawn(&self, program: &str, name: &str, settings: &Value) -> Process {
        Process::start(program, &self.write_settings(name, settings))
    }

    fn write_settings(&self, name: &str, settings: &Value) -> path::PathBuf {
        let file = self.path(&format!("{name}.yaml"));
        // JSON is YAML too.
        fs::write(&file, settings.to_string()).expect("settings file");
        file
    }

    /// Returns a client of one control replica that gives up soon.
    pub fn client_of(&self, index: usize) -> control::Client {
        control::Builder::new(vec![self.control_address(index).into()])
            .call_timeout(time::Duration::from_millis(200))
            .total_timeout(time::Duration::from_millis(200))
            .build()
    }

    /// Returns a client of the control replicas.
    pub fn client(&self) -> control::Client {
        let addresses = (0..self.controls.len())
            .map(|index| self.control_address(index).into())
            .collect();
        control::Builder::new(addresses)
            .total_timeout(time::Duration::from_secs(20))
            .build()
    }

    /// Declares the model and the service, and waits until they can be called.
    pub async fn declare(&mut self) {
        let mut intent = intent::Intent::default();
        let replicas = u32::try_from(self.spec.engines).expect("small number");
        let model = intent::Model {
            deployment: "engines".into(),
            replicas,
            min_ready: 1,
            ..intent::Model::default()
        };
        intent.models.insert(MODEL.into(), model);
        intent.deployments.insert(
            "engines".into(),
            intent::Deployment {
                checks_fencing: self.spec.checks_fencing,
            },
        );
        intent
            .services
            .insert("invoices".into(), intent::Service::default());
        self.apply("setup", intent).await.expect("first revision");
        self.ready().await;
    }

    /// Plans and confirms an intent on the current revision.
    pub async fn apply(&self, operator: &str, intent: intent::Intent) -> Result<u64, String> {
        let client = self.client();
        let (base, _) = self.intent().await;
        let command = config::Command::Plan {
            request: ulid::Ulid::new().to_string().into(),
            operator: operator.into(),
            base,
            intent: Box::new(intent),
        };
        let plan = match client
            .config(command)
            .await
            .map_err(|error| error.to_string())?
        {
            config::Reply::Planned { plan, .. } => plan,
            other => return Err(format!("{other:?}")),
        };
        let command = config::Command::Confirm {
            request: ulid::Ulid::new().to_string().into(),
            operator: operator.into(),
            plan,
        };
        match client
            .config(command)
            .await
            .map_err(|error| error.to_string())?
        {
            config::Reply::Applied { revision } => Ok(revision),
            other => Err(format!("{other:?}")),
        }
    }

    /// Returns the configuration in force at the control replicas.
    pub async fn intent(&self) -> (u64, intent::Intent) {
        match self.client().query(0, query::Query::Config).await {
            Ok(query::Answer::Config { revision, intent }) => (revision, *intent),
            other => panic!("no configuration: {other:?}\n{}", self.logs()),
        }
    }

    /// Waits until every entry VM answers a chat request.
    pub async fn ready(&self) {
        for index in 0..self.entries.len() {
            if self.entries[index].is_none() {
                continue;
            }
            let address = self.entry_address(index);
            self.until("an entry VM answers", || async {
                let answer = self.chat(&address, "ready?", 2).send().await;
                answer.is_ok_and(|answer| answer.status == 200)
            })
            .await;
        }
    }

    /// Starts a chat request.
    pub fn chat(&self, address: &str, text: &str, tokens: u32) -> http::Call {
        self.http
            .post(address, "/v1/chat/completions")
            .json(&json!({
                "model": MODEL,
                "max_tokens": tokens,
                "messages": [{ "role": "user", "content": text }],
            }))
    }

    /// Starts a streamed chat request.
    pub fn stream(&self, address: &str, text: &str, tokens: u32) -> http::Call {
        self.http
            .post(address, "/v1/chat/completions")
            .json(&json!({
                "model": MODEL,
                "max_tokens": tokens,
                "stream": true,
                "messages": [{ "role": "user", "content": text }],
            }))
    }

    /// Returns the text that an engine gives for a prompt.
    pub async fn expected(&self, text: &str, tokens: u32) -> String {
        for index in 0..self.engines.len() {
            let answer = self
                .chat(&self.engine_address(index), text, tokens)
                .send()
                .await;
            if let Ok(answer) = answer
                && answer.status == 200
            {
                return content(&answer.json());
            }
        }
        panic!("no engine answers\n{}", self.logs());
    }

    /// Uploads a file and creates a job for it.
    pub async fn submit(&self, address: &str, lines: &str, key: Option<&str>) -> Value {
        let file = self.upload(address, lines).await;
        let answer = self
            .create(address, &file, key)
            .send()
            .await
            .expect("job answer");
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer.json()
    }

    /// Uploads a batch file and returns its id.
    pub async fn upload(&self, address: &str, lines: &str) -> String {
        upload(&self.http, address, lines).await
    }

    /// Starts a request that creates a job.
    pub fn create(&self, address: &str, file: &str, key: Option<&str>) -> http::Call {
        let call = self.http.post(address, "/v1/batches").json(&json!({
            "input_file_id": file,
            "endpoint": "/v1/chat/completions",
            "completion_window": "24h",
        }));
        match key {
            Some(key) => call.header("idempotency-key", key),
            None => call,
        }
    }

    /// Reads a job.
    pub async fn job(&self, address: &str, job: &str) -> Result<Value, String> {
        let path = format!("/v1/batches/{job}");
        let answer = self.http.get(address, &path).send().await?;
        if answer.status == 200 {
            Ok(answer.json())
        } else {
            Err(answer.text())
        }
    }

    /// Waits until a job has ended and returns it.
    pub async fn ended(&self, address: &str, job: &str) -> Value {
        let start = time::Instant::now();
        loop {
            let state = self.job(address, job).await;
            if let Ok(job) = &state
                && job["status"] != "in_progress"
            {
                return job.clone();
            }
            assert!(
                start.elapsed() < 3 * LIMIT,
                "job {job} does not end: {state:?}\n{}",
                self.logs()
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// Reads a file as JSON lines.
    pub async fn lines(&self, address: &str, file: &str) -> Vec<Value> {
        let path = format!("/v1/files/{file}/content");
        let answer = self.http.get(address, &path).send().await.expect("file");
        assert_eq!(answer.status, 200, "{}", answer.text());
        answer
            .text()
            .lines()
            .map(|line| serde_json::from_str(line).expect("JSON line"))
            .collect()
    }

    /// Waits until a condition holds.
    pub async fn until<F, C>(&self, what: &str, condition: F)
    where
        F: Fn() -> C,
        C: Future<Output = bool>,
    {
        let start = time::Instant::now();
        while !condition().await {
            assert!(
                start.elapsed() < LIMIT,
                "never reached: {what}\n{}",
                self.logs()
            );
            tokio::time::sleep(POLL).await;
        }
    }

    /// Returns the index of the control replica that leads a group.
    pub async fn leader(&self, group: u32) -> usize {
        self.leader_except(group, None).await
    }

    /// Returns the index of another control replica than one that leads a group.
    pub async fn leader_except(&self, group: u32, except: Option<usize>) -> usize {
        let start = time::Instant::now();
        loop {
            if let Some(leader) = self.find_leader(group, except).await {
                return leader;
            }
            assert!(start.elapsed() < LIMIT, "no leader\n{}", self.logs());
            tokio::time::sleep(POLL).await;
        }
    }

    async fn find_leader(&self, group: u32, except: Option<usize>) -> Option<usize> {
        let client = self.client();
        for index in 0..self.controls.len() {
            if self.controls[index].is_none() || Some(index) == except {
                continue;
            }
            let Ok(status) = client.status(&self.control_address(index).into()).await else {
                continue;
            };
            let leads = |state: &rpc::GroupStatus| state.group == group && state.role == "leader";
            if status.groups.iter().any(leads) {
                return Some(index);
            }
        }
        None
    }

    /// Returns the state of a group at a control replica, if it answers.
    pub async fn group(&self, control: usize, group: u32) -> Option<rpc::GroupStatus> {
        let address = self.control_address(control).into();
        let status = self.client().status(&address).await.ok()?;
        status.groups.into_iter().find(|state| state.group == group)
    }

    /// Waits until all control replicas follow one leader and have applied the
    /// same commands.
    pub async fn settled(&self) {
        self.until("all control replicas agree", || async {
            for group in 0..=2 {
                let mut states = Vec::new();
                for index in 0..self.controls.len() {
                    let state = self.group(index, group).await;
                    states.push(state.map(|state| (state.leader, state.term, state.applied)));
                }
                let agree = states.iter().all(|state| *state == states[0]);
                if !agree || !matches!(states[0], Some((Some(_), _, _))) {
                    return false;
                }
            }
            true
        })
        .await;
    }

    /// Returns the orders that an engine received, oldest first.
    pub async fn orders(&self, engine: usize) -> Vec<Value> {
        let address = self.engine_address(engine);
        let answer = self.http.get(&address, "/debug/orders").send().await;
        let orders = answer.expect("engine answers").json();
        orders.as_array().expect("list of orders").clone()
    }

    /// Returns how many requests for work an engine received, refused ones included.
    pub async fn received(&self, engine: usize) -> u64 {
        let address = self.engine_address(engine);
        let answer = self.http.get(&address, "/debug/executions").send().await;
        let executions = answer.expect("engine answers").json();
        executions["received"].as_u64().expect("number")
    }

    /// Returns the ends of all logs, for failure messages.
    pub fn logs(&self) -> String {
        let mut text = String::new();
        let all = [&self.controls, &self.entries, &self.engines, &self.services];
        for process in all.into_iter().flatten().flatten() {
            let log = process.log();
            let skip = log.lines().count().saturating_sub(40);
            text.push_str("----\n");
            for line in log.lines().skip(skip) {
                text.push_str(line);
                text.push('\n');
            }
        }
        text
    }
}

/// Returns the text of a chat answer.
pub fn content(answer: &Value) -> String {
    answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or_default()
        .to_owned()
}

/// Returns batch lines with the custom ids `item-0`, `item-1` and so on.
pub fn batch_lines(count: usize, tokens: u32) -> String {
    (0..count)
        .map(|number| {
            let line = json!({
                "custom_id": format!("item-{number}"),
                "method": "POST",
                "url": "/v1/chat/completions",
                "body": {
                    "model": MODEL,
                    "max_tokens": tokens,
                    "messages": [{ "role": "user", "content": format!("plan {number}") }],
                },
            });
            format!("{line}\n")
        })
        .collect()
}

/// Uploads a batch file and returns its id.
pub async fn upload(client: &http::Client, address: &str, lines: &str) -> String {
    let answer = try_upload(client, address, lines).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    answer.json()["id"].as_str().expect("file id").to_owned()
}

/// Uploads a batch file.
pub async fn try_upload(client: &http::Client, address: &str, lines: &str) -> http::Answer {
    let boundary = "test-boundary-7f3a";
    let body = format!(
        "--{boundary}\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\nbatch\r\n\
         --{boundary}\r\nContent-Disposition: form-data; name=\"file\"; filename=\"a.jsonl\"\r\n\
         Content-Type: application/jsonl\r\n\r\n{lines}\r\n--{boundary}--\r\n"
    );
    let content_type = format!("multipart/form-data; boundary={boundary}");
    client
        .post(address, "/v1/files")
        .bytes(&content_type, body)
        .send()
        .await
        .expect("upload answer")
}
