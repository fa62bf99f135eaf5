//! A benchmark of the replicated log: three hosts on three directories with real
//! disk syncs, each on its own thread.
//!
//! `cargo run --release --example log_bench -- [GROUPS] [BYTES] [WINDOW] [SECONDS] [DIRECTORY]`
//! keeps WINDOW commands of BYTES bytes outstanding in each of GROUPS groups (closed
//! loop) and prints one JSON line. If the environment variable `RATE` is set, it sends
//! that many commands per second in total instead (open loop).

use std::{collections::BTreeMap, fs, path, str, sync::mpsc, thread, time};

use bw_coord::{GroupId, ReplicaId, host, member, message, node, storage};

const REPLICAS: u64 = 3;
const TICK: time::Duration = time::Duration::from_millis(10);
const WARM_UP: time::Duration = time::Duration::from_secs(4);
/// Clock ticks per second in `/proc/self/stat`, a constant of Linux.
const CPU_TICKS_PER_S: f64 = 100.0;

/// A state machine that folds all commands into a checksum of fixed size.
#[derive(Default)]
struct Digest {
    state: u64,
}

impl host::Machine for Digest {
    fn apply(&mut self, index: u64, command: &[u8]) -> Vec<u8> {
        let first = command.first().copied().map_or(0, u64::from);
        self.state = self.state.rotate_left(5) ^ index ^ first;
        self.state.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.state.to_le_bytes().to_vec()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), host::RestoreError> {
        let bytes = data
            .try_into()
            .map_err(|_| host::RestoreError::new("a digest has 8 bytes"))?;
        self.state = u64::from_le_bytes(bytes);
        Ok(())
    }
}

struct Types;

impl host::Types for Types {
    type Disk = storage::Directory;
    type Machine = Digest;
}

/// An event for a worker thread.
enum Event {
    Message { from: ReplicaId, bytes: Vec<u8> },
    Stop,
}

#[derive(Clone)]
struct Settings {
    groups: u32,
    bytes: usize,
    window: usize,
    seconds: u64,
    /// Commands per second in total, or `None` for a closed loop.
    rate: Option<f64>,
    directory: path::PathBuf,
}

/// The measurements of one worker thread.
#[derive(Default)]
struct Measurements {
    latencies_us: Vec<u64>,
    stats: host::Stats,
    wire_bytes: u64,
    steps: u64,
}

struct Worker {
    settings: Settings,
    host: host::Host<Types>,
    events: mpsc::Receiver<Event>,
    peers: BTreeMap<ReplicaId, mpsc::Sender<Event>>,
    started: time::Instant,
    next_ticket: u64,
    /// When each outstanding command was due, by ticket.
    pending: BTreeMap<u64, (GroupId, time::Instant)>,
    outstanding: BTreeMap<GroupId, usize>,
    /// When the next command is due in an open loop, by group.
    due: BTreeMap<GroupId, time::Instant>,
    measurements: Measurements,
}

impl Worker {
    fn run(mut self) -> Result<Measurements, storage::Error> {
        let mut base = host::Stats::default();
        let mut warm = false;
        loop {
            let mut inputs = Vec::new();
            if !self.collect(&mut inputs) {
                break;
            }
            self.propose(&mut inputs);
            let now_ms = self.started.elapsed().as_millis() as u64;
            let outputs = self.step(inputs, now_ms)?;
            self.record_outputs(outputs);
            if !warm && self.started.elapsed() >= WARM_UP {
                warm = true;
                self.measurements = Measurements::default();
                base = self.host.stats();
            }
        }
        let stats = self.host.stats();
        self.measurements.stats = host::Stats {
            entries: stats.entries - base.entries,
            syncs: stats.syncs - base.syncs,
            log_bytes: stats.log_bytes - base.log_bytes,
            snapshots: stats.snapshots - base.snapshots,
            snapshot_bytes: stats.snapshot_bytes - base.snapshot_bytes,
        };
        Ok(self.measurements)
    }

    /// Waits for events and converts them to inputs. Returns false if the thread is to
    /// stop.
    fn collect(&mut self, inputs: &mut Vec<host::Input>) -> bool {
        let mut wait = TICK;
        if self.settings.rate.is_some() {
            wait = time::Duration::from_millis(1);
        }
        let first = self.events.recv_timeout(wait).ok();
        for event in first.into_iter().chain(self.events.try_iter()) {
            match event {
                Event::Stop => return false,
                Event::Message { from, bytes } => {
                    if let Ok(message) = message::decode(&bytes) {
                        inputs.push(host::Input::Message { from, message });
                    }
                }
            }
        }
        inputs.push(host::Input::Tick);
        true
    }

    fn propose(&mut self, inputs: &mut Vec<host::Input>) {
        let now = time::Instant::now();
        for group in (0..self.settings.groups).map(GroupId) {
            let status = self.host.status(group);
            if status.is_none_or(|status| status.role != node::Role::Leader) {
                self.due.remove(&group);
                continue;
            }
            while let Some(due) = self.next_due(group, now) {
                let ticket = self.next_ticket;
                self.next_ticket += 1;
                self.pending.insert(ticket, (group, due));
                *self.outstanding.entry(group).or_default() += 1;
                inputs.push(host::Input::Propose {
                    group,
                    ticket,
                    command: vec![7; self.settings.bytes],
                });
            }
        }
    }

    /// Returns when the next command of a group was due, or `None` if none is due yet.
    fn next_due(&mut self, group: GroupId, now: time::Instant) -> Option<time::Instant> {
        let Some(rate) = self.settings.rate else {
            let outstanding = self.outstanding.get(&group).copied().unwrap_or(0);
            return (outstanding < self.settings.window).then_some(now);
        };
        let due = self.due.entry(group).or_insert(now);
        if *due > now {
            return None;
        }
        let current = *due;
        *due += time::Duration::from_secs_f64(f64::from(self.settings.groups) / rate);
        Some(current)
    }

    fn step(
        &mut self,
        inputs: Vec<host::Input>,
        now_ms: u64,
    ) -> Result<Vec<host::Output>, storage::Error> {
        let mut rest = Vec::new();
        let id = self.host.replica();
        let peers = &self.peers;
        let mut wire_bytes = 0;
        self.host.step(inputs, now_ms, &mut |output| match output {
            host::Output::Send { to, message } => {
                let bytes = message::encode(&message);
                wire_bytes += bytes.len() as u64;
                if let Some(peer) = peers.get(&to) {
                    // A peer that has stopped receives nothing.
                    let _ = peer.send(Event::Message { from: id, bytes });
                }
            }
            other => rest.push(other),
        })?;
        self.measurements.wire_bytes += wire_bytes;
        self.measurements.steps += 1;
        Ok(rest)
    }

    fn record_outputs(&mut self, outputs: Vec<host::Output>) {
        for output in outputs {
            let host::Output::Proposed { ticket, result } = output else {
                continue;
            };
            let Some((group, due)) = self.pending.remove(&ticket) else {
                continue;
            };
            *self.outstanding.entry(group).or_default() -= 1;
            if result.is_ok() {
                let latency = due.elapsed().as_micros() as u64;
                self.measurements.latencies_us.push(latency);
            }
        }
    }
}

fn open(
    settings: &Settings,
    id: ReplicaId,
    members: &[member::Member],
) -> Result<host::Host<Types>, storage::Error> {
    let disk = storage::Directory::open(settings.directory.join(format!("replica-{id}")))?;
    let mut builder = host::Builder::<Types>::new(id, members.to_vec()).span_failure_domains(true);
    for group in 0..settings.groups {
        builder = builder.group(GroupId(group), Digest::default());
    }
    builder.open(disk)
}

/// Returns the CPU time of the process in seconds.
fn cpu_s() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    // The process name can hold spaces. The first field after it is field 3 of
    // proc(5), so that 11 and 12 are utime and stime.
    let ticks = |at: usize| fields.get(at).and_then(|text| text.parse::<f64>().ok());
    (ticks(11).unwrap_or(0.0) + ticks(12).unwrap_or(0.0)) / CPU_TICKS_PER_S
}

fn argument<T: str::FromStr>(position: usize, default: T) -> T {
    let text = std::env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() -> Result<(), storage::Error> {
    let temporary = std::env::temp_dir().join(format!("bw-coord-bench-{}", std::process::id()));
    let rate = std::env::var("RATE").ok();
    let settings = Settings {
        groups: argument(1, 5),
        bytes: argument(2, 1_024),
        window: argument(3, 64),
        seconds: argument(4, 5),
        rate: rate.and_then(|text| text.parse().ok()),
        directory: argument(5, temporary),
    };
    let members: Vec<member::Member> = (1..=REPLICAS)
        .map(|id| member::Member::voter(ReplicaId(id), "", format!("zone-{id}")))
        .collect();
    let mut senders = BTreeMap::new();
    let mut receivers = Vec::new();
    for member in &members {
        let (sender, receiver) = mpsc::channel();
        senders.insert(member.replica, sender);
        receivers.push((member.replica, receiver));
    }
    let started = time::Instant::now();
    let mut threads = Vec::new();
    for (id, events) in receivers {
        let worker = Worker {
            settings: settings.clone(),
            host: open(&settings, id, &members)?,
            events,
            peers: senders.clone(),
            started,
            next_ticket: 0,
            pending: BTreeMap::new(),
            outstanding: BTreeMap::new(),
            due: BTreeMap::new(),
            measurements: Measurements::default(),
        };
        threads.push(thread::spawn(move || worker.run()));
    }
    thread::sleep(WARM_UP);
    let cpu_before = cpu_s();
    thread::sleep(time::Duration::from_secs(settings.seconds));
    let cpu = cpu_s() - cpu_before;
    for sender in senders.values() {
        // A thread that failed reports its error when it is joined.
        let _ = sender.send(Event::Stop);
    }
    let mut measurements = Vec::new();
    for worker in threads {
        match worker.join() {
            Ok(result) => measurements.push(result?),
            Err(panic) => std::panic::resume_unwind(panic),
        }
    }
    report(&settings, measurements, cpu);
    // Files that cannot be removed are harmless.
    let _ = fs::remove_dir_all(&settings.directory);
    Ok(())
}

fn report(settings: &Settings, measurements: Vec<Measurements>, cpu: f64) {
    let seconds = settings.seconds as f64;
    let total =
        |value: fn(&Measurements) -> u64| measurements.iter().map(value).sum::<u64>() as f64;
    let log_bytes = total(|worker| worker.stats.log_bytes);
    let wire_bytes = total(|worker| worker.wire_bytes);
    let syncs = total(|worker| worker.stats.syncs);
    let steps = total(|worker| worker.steps);
    let snapshots = total(|worker| worker.stats.snapshots);
    let mut latencies: Vec<u64> = measurements
        .into_iter()
        .flat_map(|worker| worker.latencies_us)
        .collect();
    latencies.sort_unstable();
    let entries = latencies.len() as f64;
    let quantile = |share: f64| {
        let at = (entries * share) as usize;
        latencies.get(at).copied().unwrap_or(0)
    };
    println!(
        "{{\"groups\":{},\"bytes\":{},\"window\":{},\"rate\":{},\"seconds\":{},\
         \"entries_per_s\":{:.0},\"syncs_per_s_per_host\":{:.0},\"steps_per_s_per_host\":{:.0},\
         \"log_bytes_per_entry\":{:.0},\"wire_bytes_per_entry\":{:.0},\"snapshots\":{},\
         \"cpu_us_per_entry\":{:.1},\"latency_p50_us\":{},\"latency_p99_us\":{}}}",
        settings.groups,
        settings.bytes,
        settings.window,
        settings.rate.unwrap_or(0.0),
        settings.seconds,
        entries / seconds,
        syncs / seconds / REPLICAS as f64,
        steps / seconds / REPLICAS as f64,
        log_bytes / entries / REPLICAS as f64,
        wire_bytes / entries,
        snapshots,
        cpu * 1e6 / entries,
        quantile(0.5),
        quantile(0.99),
    );
}
