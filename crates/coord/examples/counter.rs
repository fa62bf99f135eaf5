//! A replicated counter: three replicas in one process, each on a directory.
//!
//! `cargo run --example counter -- DIRECTORY` increments the counter a hundred
//! times and prints its value. A second run continues from the stored value.

use std::{collections::VecDeque, path, thread, time};

use bw_coord::{GroupId, ReplicaId, host, member, message, node, storage};

const COUNTER: GroupId = GroupId(0);
const REPLICAS: u64 = 3;
const INCREMENTS: u64 = 100;
const TICK: time::Duration = time::Duration::from_millis(10);

#[derive(Default)]
struct Counter {
    value: u64,
}

impl host::Machine for Counter {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        self.value += command.iter().map(|step| u64::from(*step)).sum::<u64>();
        self.value.to_le_bytes().to_vec()
    }

    fn snapshot(&self) -> Vec<u8> {
        self.value.to_le_bytes().to_vec()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), host::RestoreError> {
        let bytes = data
            .try_into()
            .map_err(|_| host::RestoreError::new("a counter has 8 bytes"))?;
        self.value = u64::from_le_bytes(bytes);
        Ok(())
    }
}

struct Types;

impl host::Types for Types {
    type Disk = storage::Directory;
    type Machine = Counter;
}

/// An encoded message that has not been delivered yet.
struct Packet {
    from: ReplicaId,
    to: ReplicaId,
    bytes: Vec<u8>,
}

/// All replicas and the undelivered messages between them.
struct Cluster {
    hosts: Vec<host::Host<Types>>,
    packets: VecDeque<Packet>,
    started: time::Instant,
    answered: u64,
}

impl Cluster {
    fn open(directory: &path::Path) -> Result<Cluster, storage::Error> {
        let members: Vec<member::Member> = (1..=REPLICAS)
            .map(|id| member::Member::voter(ReplicaId(id), "", format!("zone-{id}")))
            .collect();
        let hosts = (1..=REPLICAS).map(|id| {
            let disk = storage::Directory::open(directory.join(format!("replica-{id}")))?;
            host::Builder::<Types>::new(ReplicaId(id), members.clone())
                .group(COUNTER, Counter::default())
                .span_failure_domains(true)
                .open(disk)
        });
        Ok(Cluster {
            hosts: hosts.collect::<Result<_, _>>()?,
            packets: VecDeque::new(),
            started: time::Instant::now(),
            answered: 0,
        })
    }

    /// Delivers the undelivered messages and one more input to each replica.
    fn step(&mut self, mut input: impl FnMut(usize) -> host::Input) -> Result<(), storage::Error> {
        let packets = std::mem::take(&mut self.packets);
        for (position, host) in self.hosts.iter_mut().enumerate() {
            let id = host.replica();
            let mut inputs = vec![input(position)];
            for packet in packets.iter().filter(|packet| packet.to == id) {
                if let Ok(message) = message::decode(&packet.bytes) {
                    let from = packet.from;
                    inputs.push(host::Input::Message { from, message });
                }
            }
            let now_ms = self.started.elapsed().as_millis() as u64;
            host.step(inputs, now_ms, &mut |output| match output {
                host::Output::Send { to, message } => self.packets.push_back(Packet {
                    from: id,
                    to,
                    bytes: message::encode(&message),
                }),
                host::Output::Proposed { result, .. } => {
                    self.answered += u64::from(result.is_ok());
                }
                host::Output::ReadReady { .. } | host::Output::Role { .. } => {}
            })?;
        }
        Ok(())
    }

    fn leader(&self) -> Option<usize> {
        self.hosts.iter().position(|host| {
            let status = host.status(COUNTER);
            status.is_some_and(|status| status.role == node::Role::Leader)
        })
    }
}

fn main() -> Result<(), storage::Error> {
    let temporary = std::env::temp_dir().join("bw-coord-counter");
    let directory = std::env::args_os()
        .nth(1)
        .map_or(temporary, path::PathBuf::from);
    let mut cluster = Cluster::open(&directory)?;
    while cluster.leader().is_none() {
        cluster.step(|_| host::Input::Tick)?;
        thread::sleep(TICK);
    }
    let leader = cluster.leader().unwrap_or_default();
    for ticket in 0..INCREMENTS {
        cluster.step(|position| match position == leader {
            true => host::Input::Propose {
                group: COUNTER,
                ticket,
                command: vec![1],
            },
            false => host::Input::Tick,
        })?;
    }
    while cluster.answered < INCREMENTS {
        cluster.step(|_| host::Input::Tick)?;
    }
    let value = cluster.hosts[leader]
        .machine(COUNTER)
        .map(|counter| counter.value);
    println!(
        "replica {} leads, the counter in {} is {}",
        cluster.hosts[leader].replica(),
        directory.display(),
        value.unwrap_or_default()
    );
    Ok(())
}
