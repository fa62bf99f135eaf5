//! Measures what an item, a replica report, a watcher and a team cost, each at
//! three sizes, and prints one JSON line a measurement for `docs/CAPACITY.md`.
//!
//! Run it with `cargo run --release -p bw-dev --example slopes`. Open streams
//! are measured by `bw-load streams`, as they need a running entry program.
//! CPU time is that of this thread; memory is the growth of the resident set,
//! and everything that was built is kept until the end of its measurement.

use std::{collections, env, fs, hint, mem, process, time::Instant};

use bw_control::registry;
use bw_coord::{GroupId, payload, storage};
use bw_entry::controller::listing;
use bw_policy::admission;
use bw_state::work;
use bw_wire::{backend, command, intent, name, renewal, sync};
use nix::time;
use serde_json::json;

const ITEM_SIZES: [u32; 3] = [25_600, 102_400, 409_600];
const BACKEND_SIZES: [u32; 3] = [24, 240, 870];
const ENTRY_SIZES: [u32; 3] = [8, 64, 370];
const TEAM_SIZES: [u32; 3] = [1_000, 8_000, 32_000];
const REVISION_SIZES: [u32; 3] = [100, 400, 1_600];
const ITEMS_PER_CHUNK: u32 = 256;
/// Size of a payload segment, as in the control program.
const SEGMENT_BYTES: u32 = 16 << 20;
/// Text of one item's body, which makes a line of about 300 bytes.
const BODY_BYTES: usize = 220;
/// Repeats of an exchange, so that the clock's resolution does not matter.
const EXCHANGES: u32 = 20;

fn main() {
    // Teams come first: their memory must not come out of what others freed.
    for size in TEAM_SIZES {
        println!("{}", teams(size));
    }
    for size in REVISION_SIZES {
        println!("{}", revisions(size));
    }
    for size in ITEM_SIZES {
        println!("{}", items(size));
    }
    for size in BACKEND_SIZES {
        println!("{}", reports(size));
    }
    for size in ENTRY_SIZES {
        println!("{}", watchers(size));
    }
    println!("{}", exchange("two-year size", 370, 370, 870));
}

/// Takes items through the work machine: upload, job, lease, outcome.
fn items(count: u32) -> serde_json::Value {
    let before = Usage::now();
    let mut machine = work::Machine::new();
    let path = env::temp_dir().join(format!("slopes-{}-{count}", process::id()));
    let mut log = Log {
        index: 0,
        bytes: 0,
        payloads: Payloads {
            store: payload::Store::new(GroupId(1), SEGMENT_BYTES),
            disk: storage::Directory::open(&path).expect("a directory"),
        },
    };
    let chunks = count / ITEMS_PER_CHUNK;
    for chunk in 0..chunks {
        log.apply(&mut machine, file_chunk(chunk));
    }
    log.apply(&mut machine, seal(chunks));
    log.apply(&mut machine, create());
    let mut left = chunks;
    while left > 0 {
        let reply = log.apply(&mut machine, take(left.min(16)));
        let command::work::Reply::Taken { leases } = reply else {
            panic!("no lease: {reply:?}");
        };
        for lease in leases {
            left -= 1;
            log.apply(&mut machine, record(&lease));
        }
    }
    let used = before.until_now();
    let payloads = &mut log.payloads;
    let started = Instant::now();
    let mut snapshot = machine.snapshot();
    snapshot.extend(payloads.store.start_snapshot());
    let encode_ms = started.elapsed().as_secs_f64() * 1e3;
    let mut syncs = 0;
    while !payloads.store.sync(&mut payloads.disk).expect("a sync") {
        syncs += 1;
    }
    let sync_ms = started.elapsed().as_secs_f64() * 1e3 - encode_ms;
    let disk_bytes = payloads.store.disk_bytes();
    let log_bytes = log.bytes;
    fs::remove_dir_all(&path).expect("the directory is removed");
    // Kept, so that later measurements do not find its memory free.
    mem::forget((machine, log));
    json!({
        "measure": "item",
        "size": count,
        "cpu_us_each": used.cpu_us / f64::from(count),
        "memory_bytes_each": used.memory_bytes / f64::from(count),
        "log_bytes_each": log_bytes as f64 / f64::from(count),
        "disk_bytes_each": disk_bytes as f64 / f64::from(count),
        "snapshot_bytes_each": snapshot.len() as f64 / f64::from(count),
        "snapshot_encode_ms": encode_ms,
        "snapshot_segments": syncs,
        "snapshot_sync_ms": sync_ms,
    })
}

struct Log {
    index: u64,
    bytes: usize,
    payloads: Payloads,
}

/// Payloads in a directory, as a control program keeps them.
struct Payloads {
    store: payload::Store,
    disk: storage::Directory,
}

impl payload::Source for Payloads {
    fn get(&mut self, key: payload::Key) -> Result<Vec<u8>, storage::Error> {
        let content = self.store.get(&mut self.disk, key)?;
        Ok(content.expect("the payload is stored"))
    }
}

impl Payloads {
    fn carry_out(&mut self, effect: payload::Effect) {
        match effect {
            payload::Effect::Put { key, content } => {
                let stored = self.store.put(&mut self.disk, key, &content);
                stored.expect("the disk has room");
            }
            payload::Effect::Remove { key } => self.store.remove(key),
        }
    }
}

impl Log {
    fn apply(
        &mut self,
        machine: &mut work::Machine,
        command: command::work::Command,
    ) -> command::work::Reply {
        self.index += 1;
        let stamped = command::Stamped {
            now_ms: 1_000 + self.index,
            command,
        };
        let encoded = postcard::to_stdvec(&stamped).expect("command is encoded");
        self.bytes += encoded.len();
        let stamped = postcard::from_bytes(&encoded).expect("command is decoded");
        let reply = machine.apply(self.index, stamped);
        for effect in machine.effects() {
            self.payloads.carry_out(effect);
        }
        let completed = machine.complete(reply, &mut self.payloads);
        completed.expect("the payloads are stored")
    }
}

fn file_chunk(chunk: u32) -> command::work::Command {
    let first = chunk * ITEMS_PER_CHUNK;
    let lines = (first..first + ITEMS_PER_CHUNK)
        .map(|number| command::work::Line {
            number: number + 1,
            custom_id: Some(format!("item-{number:08}")),
            content: command::work::Content::Request {
                url: "/v1/chat/completions".to_owned(),
                model: "m".into(),
                body: "x".repeat(BODY_BYTES),
            },
        })
        .collect();
    command::work::Command::FileChunk {
        file: "file-g1-a".into(),
        chunk,
        lines,
    }
}

fn seal(chunks: u32) -> command::work::Command {
    command::work::Command::FileSeal {
        file: "file-g1-a".into(),
        team: "team".into(),
        filename: "a.jsonl".to_owned(),
        purpose: "batch".to_owned(),
        bytes: 1,
        chunks,
    }
}

fn create() -> command::work::Command {
    command::work::Command::JobCreate {
        job: "batch_g1_a".into(),
        team: "team".into(),
        file: "file-g1-a".into(),
        endpoint: "/v1/chat/completions".to_owned(),
        window_ms: 24 * 3_600_000,
        metadata: collections::BTreeMap::new(),
    }
}

fn take(want: u32) -> command::work::Command {
    command::work::Command::Take {
        holder: "entry-1/1".into(),
        want,
        lease_ms: 3_600_000,
        models: Vec::new(),
    }
}

fn record(lease: &command::work::Lease) -> command::work::Command {
    let outcomes = lease
        .lines
        .iter()
        .map(|line| command::work::Outcome {
            number: line.number,
            result: command::work::Result::Answer {
                status: 200,
                body: "y".repeat(BODY_BYTES),
            },
        })
        .collect();
    command::work::Command::Record {
        chunk: lease.chunk.clone(),
        outcomes,
    }
}

/// Encodes configuration changes as the log and a snapshot delta carry them.
fn revisions(count: u32) -> serde_json::Value {
    let before = Usage::now();
    let mut machine = bw_state::config::Machine::new();
    let mut bytes = 0;
    for number in 0..count {
        let plan = command::config::Command::Plan {
            request: format!("plan-{number}").into(),
            operator: "operator".into(),
            base: u64::from(number),
            intent: Box::new(intent_of(number)),
        };
        let index = u64::from(number) * 2;
        let (reply, size) = change(&mut machine, index + 1, plan);
        let command::config::Reply::Planned { plan, .. } = reply else {
            panic!("no plan: {reply:?}");
        };
        let confirm = command::config::Command::Confirm {
            request: format!("confirm-{number}").into(),
            operator: "operator".into(),
            plan,
        };
        bytes += size + change(&mut machine, index + 2, confirm).1;
    }
    let used = before.until_now();
    mem::forget(machine);
    json!({
        "measure": "revision",
        "size": count,
        "cpu_us_each": used.cpu_us / f64::from(count),
        "log_bytes_each": bytes as f64 / f64::from(count),
        "memory_bytes_each": used.memory_bytes / f64::from(count),
    })
}

fn change(
    machine: &mut bw_state::config::Machine,
    index: u64,
    command: command::config::Command,
) -> (command::config::Reply, usize) {
    let stamped = command::Stamped {
        now_ms: index * 1_000,
        command,
    };
    let size = postcard::to_stdvec(&stamped)
        .expect("command is encoded")
        .len();
    (machine.apply(index, stamped), size)
}

fn intent_of(number: u32) -> intent::Intent {
    let mut intent = intent::Intent::default();
    intent
        .deployments
        .insert("engines".into(), intent::Deployment::default());
    for model in 0..9 {
        let model_intent = intent::Model {
            version: format!("{number}").into(),
            deployment: "engines".into(),
            ..intent::Model::default()
        };
        intent
            .models
            .insert(format!("model-{model}").into(), model_intent);
    }
    intent
}

/// Exchanges the reports of many backend servers with one entry VM.
fn reports(count: u32) -> serde_json::Value {
    exchange("replica report", count, 8, count)
}

/// Exchanges with many entry VMs before 24 backend servers for each eight.
fn watchers(count: u32) -> serde_json::Value {
    exchange("watcher", count, count, 24)
}

fn exchange(measure: &str, size: u32, entries: u32, backends: u32) -> serde_json::Value {
    let mut registry = registry::Registry::default();
    registry.reset(0, 1);
    let intent = intent_of(1);
    let current = registry::Configuration {
        revision: 1,
        intent: &intent,
    };
    let mut bytes_up = 0;
    let mut bytes_down = 0;
    let memory = Usage::now();
    let mut now_ms = 1;
    for entry in 0..entries {
        let request = report(entry, backends, backends, (1, 0));
        hint::black_box(registry.sync(now_ms, request, current).expect("answer"));
    }
    let memory = memory.until_now();
    let mut entry_us = 0.0;
    let before = Usage::now();
    let mut listings: Vec<_> = (0..entries).map(|_| listing::Listing::default()).collect();
    let mut tables = vec![0; entries as usize];
    let interval_ms = match entries as usize <= sync::SHORT_INTERVAL_MAX_ENTRIES {
        true => sync::SHORT_INTERVAL_MS,
        false => sync::LONG_INTERVAL_MS,
    };
    // Backend servers renew once a second.
    let parts = (backend::RENEW_INTERVAL_MS / interval_ms) as u32;
    let heard_each = backends.div_ceil(entries * parts);
    for exchange in 0..=EXCHANGES {
        // The first exchange carries whole tables and is not counted.
        if exchange == 1 {
            (bytes_up, bytes_down) = (0, 0);
        }
        let part = exchange % parts;
        let sequence = u64::from(exchange) + 2;
        now_ms += interval_ms;
        for entry in 0..entries {
            // The balancer spreads renewals, one a second, over the entry VMs.
            let heard = heard_each;
            let table = tables[entry as usize];
            let mut request = report(entry, heard, backends, (sequence, table));
            for (number, heard) in request.heard.iter_mut().enumerate() {
                let spread =
                    (entry * heard_each + number as u32 + part * backends / parts) % backends;
                heard.announcement.id = format!("engine-{spread}").into();
            }
            let listing = &mut listings[entry as usize];
            let paused_us = thread_us();
            let report = listing.encode(
                mem::take(&mut request.heard),
                mem::take(&mut request.online_unlisted),
            );
            request.clock_ms = Some(now_ms - interval_ms);
            request.heard = report.heard;
            request.renewals = report.renewals;
            request.online = report.online;
            request.online_unlisted = report.online_unlisted;
            entry_us += thread_us() - paused_us;
            let up = serde_json::to_vec(&request).expect("encoded");
            bytes_up += up.len();
            let request = serde_json::from_slice(&up).expect("decoded");
            let answer = registry.sync(now_ms, request, current).expect("answer");
            tables[entry as usize] = answer.table;
            let down = serde_json::to_vec(&answer).expect("encoded");
            bytes_down += down.len();
            hint::black_box(down);
            let paused_us = thread_us();
            hint::black_box(listing.apply(&answer).expect("a fitting answer"));
            entry_us += thread_us() - paused_us;
        }
    }
    // What the entry VMs do is not the leader's time.
    let mut used = before.until_now();
    used.cpu_us -= entry_us;
    let exchanges = f64::from(EXCHANGES * entries);
    json!({
        "measure": measure,
        "size": size,
        "entries": entries,
        "backends": backends,
        "interval_ms": interval_ms,
        "cpu_us_exchange": used.cpu_us / exchanges,
        "bytes_up_exchange": bytes_up as f64 / exchanges,
        "bytes_down_exchange": bytes_down as f64 / exchanges,
        "memory_bytes_leader": memory.memory_bytes,
    })
}

fn report(entry: u32, heard: u32, backends: u32, (sequence, table): (u64, u64)) -> sync::Request {
    let online = (0..backends)
        .map(|backend| (format!("engine-{backend}").into(), backend % 16))
        .collect();
    sync::Request {
        entry: format!("entry-{entry}").into(),
        incarnation: 1,
        failure_domain: "ljub-a".into(),
        peer_address: "127.0.0.1:8090".into(),
        revision: 1,
        leader_term: 1,
        table,
        clock_ms: None,
        heard: (0..heard)
            .map(|number| announcement(number, sequence))
            .collect(),
        renewals: renewal::Reports::default(),
        online: renewal::Counts::default(),
        online_unlisted: online,
        draining: false,
    }
}

fn announcement(number: u32, sequence: u64) -> sync::Dated {
    let announcement = backend::Announcement {
        id: format!("engine-{number}").into(),
        incarnation: 1,
        sequence,
        address: "127.0.0.1:9001".into(),
        kind: backend::Kind::Engine,
        service: "engines".into(),
        failure_domain: "ljub-a".into(),
        state: backend::State::Ready,
        loaded: vec![backend::Loaded {
            model: "batting-desk".into(),
            version: "1".into(),
            adapters: Vec::new(),
        }],
        capacity: 32,
        fence: 0,
        // Each renewal has another load, which is the worst case.
        load: backend::Load {
            running: 8 + 8 * (sequence % 2) as u32,
            waiting: (sequence % 3) as u32,
            kv_used: 0.3 + 0.1 * (sequence % 4) as f32,
            step_ms: 20.0 + 5.0 * (sequence % 2) as f32,
            age_ms: 40,
        },
    };
    sync::Dated {
        announcement,
        at_ms: -200,
    }
}

/// Admits requests of many teams on one entry VM.
fn teams(count: u32) -> serde_json::Value {
    let service: name::Name = "batting-desk".into();
    let names: Vec<name::Name> = (0..count)
        .map(|team| format!("team-{team}").into())
        .collect();
    let before = Usage::now();
    let mut admission = admission::Builder::new().build();
    admission.configure(&intent::Intent::default(), 8);
    let mut events = Vec::new();
    for (number, team) in names.iter().enumerate() {
        let request = admission::Request {
            team: team.clone(),
            service: service.clone(),
            deadline_ms: None,
        };
        let admitted = admission.admit(&request, number as u64 / 100, &mut events);
        hint::black_box(admitted.is_ok());
        admission.finish(team, &service, number as u64 / 100, &mut events);
        events.clear();
    }
    let used = before.until_now();
    let kept = admission.teams();
    mem::forget(admission);
    json!({
        "measure": "team",
        "size": count,
        "kept": kept,
        "cpu_us_each": used.cpu_us / f64::from(count),
        "memory_bytes_each": used.memory_bytes / f64::from(count),
    })
}

/// CPU time of this thread and resident memory of this process.
struct Usage {
    cpu_us: f64,
    memory_bytes: f64,
}

impl Usage {
    fn now() -> Usage {
        Usage {
            cpu_us: thread_us(),
            memory_bytes: resident_bytes(),
        }
    }

    fn until_now(&self) -> Usage {
        let now = Usage::now();
        Usage {
            cpu_us: now.cpu_us - self.cpu_us,
            memory_bytes: now.memory_bytes - self.memory_bytes,
        }
    }
}

fn thread_us() -> f64 {
    let clock = time::ClockId::CLOCK_THREAD_CPUTIME_ID;
    let used = time::clock_gettime(clock).expect("thread clock");
    used.tv_sec() as f64 * 1e6 + used.tv_nsec() as f64 / 1e3
}

fn resident_bytes() -> f64 {
    let text = fs::read_to_string("/proc/self/smaps_rollup").expect("memory of this process");
    let line = text
        .lines()
        .find(|line| line.starts_with("Rss:"))
        .expect("Rss line");
    let kilobytes: f64 = line
        .split_whitespace()
        .nth(1)
        .and_then(|number| number.parse().ok())
        .expect("number of kilobytes");
    kilobytes * 1_024.0
}
