//! Measures durable batch state: items accepted and completed per second.
//!
//! Starts three `bw-control` processes on loopback with disk sync, drives them
//! through the control port and prints one JSON line per phase. Run with
//!
//! ```text
//! cargo build --release -p bw-control
//! cargo run --release -p bw-control --example batch_bench -- --seconds 10
//! ```
//!
//! The accept phase uploads files of four chunks, seals them and creates a job
//! for each. The complete phase leases chunks and records an outcome for every
//! item. The last phase does both at once. CPU time is that of the three replicas
//! without the load generator.

use std::{env, fs, net, path, process, sync, time};

use hdrhistogram::Histogram;
use tokio::task;

use bw_client::control;
use bw_wire::{command::work, id, name::Name, query};

/// Measures durable batch state.
#[derive(argh::FromArgs)]
struct Arguments {
    /// seconds per phase
    #[argh(option, default = "5")]
    seconds: u64,
    /// work groups
    #[argh(option, default = "4")]
    groups: u32,
    /// concurrent uploaders, and as many workers
    #[argh(option, default = "8")]
    callers: u32,
    /// items per chunk
    #[argh(option, default = "256")]
    items: u32,
    /// bytes of a request body and of a result body
    #[argh(option, default = "300")]
    bytes: usize,
    /// items per second of each kind in the last phase; 0 is as fast as possible
    #[argh(option, default = "0")]
    rate: u64,
    /// data folder, on the disk that is to be measured
    #[argh(option, default = "env::temp_dir()")]
    folder: path::PathBuf,
}

const CHUNKS: u32 = 4;
const URL: &str = "/v1/completions";
const LEASE_MS: u64 = 60_000;
/// Clock ticks per second in `/proc`, which are the same on all current Linux machines.
const TICKS_PER_S: f64 = 100.0;

/// Counts and latencies of all callers of one kind.
struct Tally {
    items: u64,
    commands: u64,
    latency_us: Histogram<u64>,
}

impl Tally {
    fn new() -> Tally {
        Tally {
            items: 0,
            commands: 0,
            latency_us: Histogram::new(3).expect("histogram"),
        }
    }

    fn add(&mut self, other: &Tally) {
        self.items += other.items;
        self.commands += other.commands;
        self.latency_us.add(&other.latency_us).expect("same bounds");
    }
}

/// One concurrent caller of the benchmark, with its own connection.
struct Caller {
    client: control::Client,
    number: u32,
    arguments: sync::Arc<Arguments>,
    end: time::Instant,
    start: time::Instant,
    rate: u64,
    tally: Tally,
}

impl Caller {
    async fn command(&mut self, group: u32, command: work::Command) -> work::Reply {
        let start = time::Instant::now();
        let reply = self.client.work(group, command).await.expect("an answer");
        let spent = start.elapsed().as_micros() as u64;
        self.tally
            .latency_us
            .record(spent.max(1))
            .expect("in bounds");
        self.tally.commands += 1;
        reply
    }

    /// Waits until the next items are due at this caller's share of the rate.
    async fn pace(&self) {
        if self.rate == 0 {
            return;
        }
        let share = self.rate as f64 / f64::from(self.arguments.callers);
        let due = time::Duration::from_secs_f64(self.tally.items as f64 / share);
        tokio::time::sleep_until((self.start + due).into()).await;
    }

    async fn accept(mut self) -> Tally {
        let mut round = 0;
        while time::Instant::now() < self.end {
            self.pace().await;
            round += 1;
            let group = 1 + (self.number + round) % self.arguments.groups;
            let start = self.start.elapsed().as_nanos();
            let unique = format!("{}x{round}x{start}", self.number);
            self.accept_file(group, &unique).await;
            self.tally.items += u64::from(CHUNKS * self.arguments.items);
        }
        self.tally
    }

    async fn accept_file(&mut self, group: u32, unique: &str) {
        let file = id::compose(id::Kind::File, group, unique);
        let team: Name = format!("team-{}", self.number).into();
        for chunk in 0..CHUNKS {
            let lines = (0..self.arguments.items).map(|item| self.line(chunk, item));
            let lines = lines.collect();
            let file = file.clone();
            let command = work::Command::FileChunk { file, chunk, lines };
            assert_eq!(self.command(group, command).await, work::Reply::Ok);
        }
        let seal = work::Command::FileSeal {
            file: file.clone(),
            team: team.clone(),
            filename: "in.jsonl".to_owned(),
            purpose: "batch".to_owned(),
            bytes: 1,
            chunks: CHUNKS,
        };
        assert_eq!(self.command(group, seal).await, work::Reply::Ok);
        let create = work::Command::JobCreate {
            job: id::compose(id::Kind::Job, group, unique),
            team,
            file,
            endpoint: URL.to_owned(),
            window_ms: 86_400_000,
            metadata: Default::default(),
        };
        let reply = self.command(group, create).await;
        assert!(matches!(reply, work::Reply::Job(_)), "{reply:?}");
    }

    fn line(&self, chunk: u32, item: u32) -> work::Line {
        let number = chunk * self.arguments.items + item + 1;
        work::Line {
            number,
            custom_id: Some(format!("item-{number}")),
            content: work::Content::Request {
                url: URL.to_owned(),
                model: "m".into(),
                body: "x".repeat(self.arguments.bytes),
            },
        }
    }

    async fn complete(mut self) -> Tally {
        let mut round = 0;
        let holder: Name = format!("worker-{}", self.number).into();
        while time::Instant::now() < self.end {
            self.pace().await;
            round += 1;
            let group = 1 + (self.number + round) % self.arguments.groups;
            let take = work::Command::Take {
                holder: holder.clone(),
                want: CHUNKS,
                lease_ms: LEASE_MS,
                models: Vec::new(),
            };
            let work::Reply::Taken { leases } = self.command(group, take).await else {
                panic!("unexpected reply");
            };
            if leases.is_empty() {
                tokio::time::sleep(time::Duration::from_millis(5)).await;
            }
            for lease in leases {
                self.record(group, lease).await;
            }
        }
        self.tally
    }

    async fn record(&mut self, group: u32, lease: work::Lease) {
        let outcomes = lease.lines.iter().map(|line| work::Outcome {
            number: line.number,
            result: work::Result::Answer {
                status: 200,
                body: "y".repeat(self.arguments.bytes),
            },
        });
        let record = work::Command::Record {
            chunk: lease.chunk,
            outcomes: outcomes.collect(),
        };
        match self.command(group, record).await {
            work::Reply::Recorded { stored, .. } => self.tally.items += u64::from(stored),
            other => panic!("unexpected reply {other:?}"),
        }
    }
}

/// The control processes under test.
struct Fleet {
    children: Vec<process::Child>,
    addresses: Vec<Name>,
    admins: Vec<String>,
}

/// Totals of all replicas.
#[derive(Clone, Copy, Default)]
struct Totals {
    syncs: f64,
    log_bytes: f64,
    snapshots: f64,
    /// Sum of the terms of all groups; grows with each election.
    terms: f64,
    cpu_s: f64,
    memory_mb: f64,
}

impl Fleet {
    fn start(arguments: &Arguments, folder: &path::Path) -> Fleet {
        let program = env::current_exe().expect("own path");
        let program = program
            .parent()
            .and_then(path::Path::parent)
            .expect("target folder");
        let program = program.join("bw-control");
        assert!(
            program.exists(),
            "build bw-control with the same profile first"
        );
        let addresses: Vec<Name> = (0..3).map(|_| free_address().into()).collect();
        let admins: Vec<String> = (0..3).map(|_| free_address()).collect();
        let mut fleet = Fleet {
            children: Vec::new(),
            addresses,
            admins,
        };
        for id in 1..=3 {
            let settings = folder.join(format!("control-{id}.yaml"));
            fs::write(&settings, fleet.settings(id, arguments, folder)).expect("settings");
            let log = fs::File::create(settings.with_extension("log")).expect("log");
            let child = process::Command::new(&program)
                .arg("--config")
                .arg(&settings)
                .stderr(log)
                .spawn();
            fleet.children.push(child.expect("process"));
        }
        fleet
    }

    fn settings(&self, id: usize, arguments: &Arguments, folder: &path::Path) -> String {
        let mut text = format!(
            "replica: {id}\nname: control-{id}\nlisten: {}\nadmin: {}\ndata: {}\n\
             failure_domain: zone-{id}\nwork_groups: {}\nmembers:\n",
            self.addresses[id - 1],
            self.admins[id - 1],
            folder.join(format!("data-{id}")).display(),
            arguments.groups,
        );
        for (position, address) in self.addresses.iter().enumerate() {
            let member = position + 1;
            text += &format!(
                "- {{replica: {member}, address: \"{address}\", failure_domain: zone-{member}, voter: true}}\n"
            );
        }
        text
    }

    fn client(&self) -> control::Client {
        control::Builder::new(self.addresses.clone())
            .call_timeout(time::Duration::from_secs(20))
            .total_timeout(time::Duration::from_secs(60))
            .build()
    }

    fn totals(&self) -> Totals {
        // The gauges are refreshed four times a second.
        std::thread::sleep(time::Duration::from_millis(300));
        let mut totals = Totals::default();
        for (child, admin) in self.children.iter().zip(&self.admins) {
            let metrics = fetch(admin);
            totals.syncs += metric(&metrics, "bw_control_disk{total=\"syncs\"}");
            totals.log_bytes += metric(&metrics, "bw_control_disk{total=\"log_bytes\"}");
            totals.snapshots += metric(&metrics, "bw_control_disk{total=\"snapshots\"}");
            let lines = metrics
                .lines()
                .filter(|line| line.starts_with("bw_control_term{"));
            let terms = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
            totals.terms = totals.terms.max(terms.sum());
            let (cpu_s, memory_mb) = usage(child.id());
            totals.cpu_s += cpu_s;
            totals.memory_mb += memory_mb;
        }
        totals
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for child in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

#[tokio::main]
async fn main() {
    let arguments: sync::Arc<Arguments> = sync::Arc::new(argh::from_env());
    let folder = tempfile::tempdir_in(&arguments.folder).expect("folder");
    let fleet = Fleet::start(&arguments, folder.path());
    wait_for_leaders(&fleet, arguments.groups).await;
    phase("accept", &fleet, &arguments, true, false, 0).await;
    phase("complete", &fleet, &arguments, false, true, 0).await;
    phase("both", &fleet, &arguments, true, true, arguments.rate).await;
}

async fn wait_for_leaders(fleet: &Fleet, groups: u32) {
    let client = fleet.client();
    for group in 1..=groups {
        client
            .query(group, query::Query::Backlog)
            .await
            .expect("a leader");
    }
}

async fn phase(
    name: &str,
    fleet: &Fleet,
    arguments: &sync::Arc<Arguments>,
    accept: bool,
    complete: bool,
    rate: u64,
) {
    let before = fleet.totals();
    let start = time::Instant::now();
    let end = start + time::Duration::from_secs(arguments.seconds);
    let mut accepting = task::JoinSet::new();
    let mut completing = task::JoinSet::new();
    for number in 0..arguments.callers {
        let caller = || Caller {
            client: fleet.client(),
            number,
            arguments: sync::Arc::clone(arguments),
            end,
            start,
            rate,
            tally: Tally::new(),
        };
        if accept {
            accepting.spawn(caller().accept());
        }
        if complete {
            completing.spawn(caller().complete());
        }
    }
    let accepted = sum(accepting).await;
    let completed = sum(completing).await;
    let seconds = start.elapsed().as_secs_f64();
    report(name, fleet, before, &accepted, &completed, seconds);
}

async fn sum(mut tasks: task::JoinSet<Tally>) -> Tally {
    let mut total = Tally::new();
    while let Some(tally) = tasks.join_next().await {
        total.add(&tally.expect("caller"));
    }
    total
}

fn report(
    name: &str,
    fleet: &Fleet,
    before: Totals,
    accepted: &Tally,
    completed: &Tally,
    seconds: f64,
) {
    let after = fleet.totals();
    let items = (accepted.items + completed.items).max(1) as f64;
    let line = serde_json::json!({
        "phase": name,
        "seconds": round(seconds),
        "accepted_per_s": (accepted.items as f64 / seconds).round(),
        "completed_per_s": (completed.items as f64 / seconds).round(),
        "commands_per_s": ((accepted.commands + completed.commands) as f64 / seconds).round(),
        "accept_p50_ms": accepted.latency_us.value_at_quantile(0.5) as f64 / 1e3,
        "accept_p99_ms": accepted.latency_us.value_at_quantile(0.99) as f64 / 1e3,
        "complete_p50_ms": completed.latency_us.value_at_quantile(0.5) as f64 / 1e3,
        "complete_p99_ms": completed.latency_us.value_at_quantile(0.99) as f64 / 1e3,
        "syncs_per_s_and_replica": ((after.syncs - before.syncs) / seconds / 3.0).round(),
        "log_bytes_per_item_and_replica": ((after.log_bytes - before.log_bytes) / items / 3.0).round(),
        "cpu_us_per_item_all_replicas": round((after.cpu_s - before.cpu_s) * 1e6 / items),
        "elections": after.terms - before.terms,
        "snapshots": after.snapshots - before.snapshots,
        "memory_mb_all_replicas": after.memory_mb.round(),
    });
    println!("{line}");
}

fn round(value: f64) -> f64 {
    (value * 100.0).round() / 100.0
}

fn free_address() -> String {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("address").to_string()
}

fn fetch(admin: &str) -> String {
    use std::io::{Read, Write};
    let mut stream = net::TcpStream::connect(admin).expect("admin port");
    let request = "GET /metrics HTTP/1.1\r\nhost: bench\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("request");
    let mut text = String::new();
    stream.read_to_string(&mut text).expect("answer");
    text
}

fn metric(text: &str, name: &str) -> f64 {
    let line = text.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

/// Returns the CPU seconds and the resident megabytes of a process.
fn usage(id: u32) -> (f64, f64) {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).expect("process");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0)
    };
    let cpu_s = (ticks(11) + ticks(12)) / TICKS_PER_S;
    let status = fs::read_to_string(format!("/proc/{id}/status")).expect("process");
    let resident = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = resident.and_then(|line| line.split_whitespace().nth(1)?.parse::<f64>().ok());
    (cpu_s, kilobytes.unwrap_or(0.0) / 1024.0)
}
