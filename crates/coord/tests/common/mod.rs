//! A simulated cluster of hosts with in-memory disks and a seeded network and
//! clocks, which checks the guarantees of the log after every step.

#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};

use bw_coord::{
    GroupId, ReplicaId, host, member, message, node, payload,
    storage::{self, Memory},
};
use rand::{Rng, SeedableRng};

pub const ELECTION_TIMEOUT_MS: u64 = 200;
const TICK_MS: u64 = 10;
pub const FIRST: GroupId = GroupId(0);
pub const SECOND: GroupId = GroupId(1);
pub const GROUPS: [GroupId; 2] = [FIRST, SECOND];
const PAYLOAD_SEGMENT_BYTES: u32 = 1 << 10;
const DOMAINS: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

/// Options of the payloads of a [`Journal`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Payloads {
    /// Number of the latest commands whose payloads are kept. Older payloads are
    /// removed.
    pub live: usize,
    /// Factor by which the contents are made longer.
    pub factor: usize,
}

impl Default for Payloads {
    fn default() -> Payloads {
        Payloads {
            live: 24,
            factor: 1,
        }
    }
}

/// A state machine that records the ids of all commands in the order in which they
/// were applied, and keeps a payload for each of the latest ones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Journal {
    pub commands: Vec<u64>,
    padding: usize,
    payloads: Payloads,
    effects: Vec<payload::Effect>,
}

impl Journal {
    /// Returns an empty journal whose snapshots are padded, so that they are sent in
    /// several chunks.
    pub fn padded(padding: usize, payloads: Payloads) -> Journal {
        Journal {
            commands: Vec::new(),
            padding,
            payloads,
            effects: Vec::new(),
        }
    }

    /// Returns the keys of the live payloads and the ids of their commands.
    pub fn payloads(&self) -> impl ExactSizeIterator<Item = (payload::Key, u64)> {
        let first = self.commands.len().saturating_sub(self.payloads.live);
        let commands = self.commands.iter().enumerate().skip(first);
        commands.map(|(position, id)| (payload::Key(position as u64), *id))
    }

    /// Checks the contents of all live payloads or only of the newest and the oldest.
    pub fn check_payloads(
        &self,
        all: bool,
        source: &mut dyn payload::Source,
    ) -> Result<(), storage::Error> {
        let payloads = self.payloads();
        let last = payloads.len().saturating_sub(1);
        for (position, (key, id)) in payloads.enumerate() {
            if all || position == 0 || position == last {
                let content = content(id, self.payloads.factor);
                assert_eq!(source.get(key)?, content, "payload {key:?}");
            }
        }
        Ok(())
    }
}

/// Inverts the first occurrence of a pattern and returns whether there is one.
fn invert(bytes: &mut [u8], pattern: &[u8]) -> bool {
    let mut windows = bytes.windows(pattern.len());
    let Some(start) = windows.position(|window| window == pattern) else {
        return false;
    };
    let found = &mut bytes[start..start + pattern.len()];
    found.iter_mut().for_each(|byte| *byte = !*byte);
    true
}

/// Returns the payload content of a command. Some contents are empty.
pub fn content(id: u64, factor: usize) -> Vec<u8> {
    let repeated = std::iter::repeat_n(id.to_le_bytes(), (id % 20) as usize * factor);
    repeated.flatten().collect()
}

impl host::Machine for Journal {
    fn apply(&mut self, _index: u64, command: &[u8]) -> Vec<u8> {
        let id = command[..8].try_into().expect("commands hold an id");
        let id = u64::from_le_bytes(id);
        let key = self.commands.len() as u64;
        self.commands.push(id);
        self.effects.push(payload::Effect::Put {
            key: payload::Key(key),
            content: content(id, self.payloads.factor),
        });
        if let Some(old) = key.checked_sub(self.payloads.live as u64) {
            let key = payload::Key(old);
            self.effects.push(payload::Effect::Remove { key });
        }
        (self.commands.len() as u64).to_le_bytes().to_vec()
    }

    fn effects(&mut self) -> Vec<payload::Effect> {
        std::mem::take(&mut self.effects)
    }

    fn complete(
        &self,
        result: Vec<u8>,
        payloads: &mut dyn payload::Source,
    ) -> Result<Vec<u8>, storage::Error> {
        self.check_payloads(false, payloads)?;
        Ok(result)
    }

    fn snapshot(&self) -> Vec<u8> {
        let ids = self.commands.iter().flat_map(|id| id.to_le_bytes());
        ids.chain(std::iter::repeat_n(0xff, self.padding)).collect()
    }

    fn restore(&mut self, data: &[u8]) -> Result<(), host::RestoreError> {
        let (ids, _) = data.split_at(data.len() - self.padding);
        self.commands = ids
            .chunks_exact(8)
            .map(|id| u64::from_le_bytes(id.try_into().expect("chunks of 8")))
            .collect();
        Ok(())
    }
}

pub struct Types;

impl host::Types for Types {
    type Disk = Memory;
    type Machine = Journal;
}

pub type Host = host::Host<Types>;

#[derive(Clone, Debug)]
pub struct Options {
    pub replicas: u64,
    pub seed: u64,
    pub span_domains: bool,
    pub lease_reads: bool,
    /// Maximum deviation of the clocks' rates from real time, as a share. Their start
    /// times are random. Leases are checked only if lease reads are enabled.
    pub drift: f64,
    pub snapshot_log_bytes: u64,
    pub retained_bytes: u64,
    pub segment_bytes: u64,
    pub padding: usize,
    pub payloads: Payloads,
    /// Index into [`DOMAINS`] for each initial member.
    pub domains: Vec<usize>,
    pub automatic_promotion: bool,
}

impl Options {
    pub fn new(replicas: u64, seed: u64) -> Options {
        Options {
            replicas,
            seed,
            span_domains: true,
            lease_reads: true,
            drift: 0.03,
            snapshot_log_bytes: 4 << 10,
            retained_bytes: 512,
            segment_bytes: 4 << 10,
            padding: 0,
            payloads: Payloads::default(),
            domains: (0..replicas as usize).collect(),
            automatic_promotion: true,
        }
    }
}

/// A replica with its disk, running or stopped.
pub struct Replica {
    pub disk: Memory,
    pub host: Option<Host>,
    pub error: Option<storage::Error>,
    members: Vec<member::Member>,
    clock_offset: f64,
    clock_rate: f64,
    inbox: Vec<host::Input>,
    next_tick: u64,
    /// The last durable index by group, as of the last finished step.
    synced: BTreeMap<GroupId, u64>,
    /// When the last reported lease expires, in global time, by group.
    lease_end: BTreeMap<GroupId, f64>,
    /// Until when a requested leadership transfer may happen, by group.
    transfer_end: BTreeMap<GroupId, u64>,
    /// Commit indexes at all previous ticks, by group.
    commits: BTreeMap<GroupId, Vec<u64>>,
}

impl Replica {
    /// Converts global time to the time of the replica's clock.
    pub fn clock(&self, now: u64) -> u64 {
        (self.clock_offset + now as f64 * self.clock_rate) as u64
    }
}

struct Packet {
    due: u64,
    from: u64,
    to: u64,
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    Write {
        id: u64,
    },
    Read {
        /// The smallest number of applied commands that is not stale.
        must_see: usize,
    },
    Change,
}

/// Fault probabilities and the maximum delay of the network.
#[derive(Clone, Copy, Debug, Default)]
pub struct Network {
    pub loss: f64,
    pub duplication: f64,
    pub max_delay_ms: u64,
}

pub struct Cluster {
    pub replicas: BTreeMap<u64, Replica>,
    pub now: u64,
    pub network: Network,
    pub options: Options,
    /// Byte patterns to corrupt: the first one that is found in a message is inverted,
    /// and the list is cleared.
    pub corrupt_patterns: Vec<Vec<u8>>,
    /// Replicas whose payloads are not checked, because a test has corrupted them.
    pub unchecked: BTreeSet<u64>,
    /// Pairs of sender and receiver between which messages are dropped.
    pub blocked: BTreeSet<(u64, u64)>,
    rng: rand_pcg::Pcg32,
    packets: Vec<Packet>,
    next_ticket: u64,
    calls: BTreeMap<u64, (GroupId, Call)>,
    pub answers: BTreeMap<u64, Result<Vec<u8>, host::Refusal>>,
    /// The longest sequence of commands that any replica has applied, by group.
    pub sequence: BTreeMap<GroupId, Vec<u64>>,
    pub acked: BTreeMap<GroupId, BTreeSet<u64>>,
    refused: BTreeSet<u64>,
    leaders: BTreeMap<(GroupId, u64), u64>,
    /// The largest number of applied commands that a finished call has observed, by
    /// group. A later read must observe at least as many.
    seen: BTreeMap<GroupId, usize>,
    voters: BTreeMap<GroupId, BTreeSet<u64>>,
}

impl Cluster {
    pub fn new(options: Options) -> Cluster {
        let members: Vec<member::Member> = (1..=options.replicas)
            .map(|id| {
                let domain = options.domains[id as usize - 1] % DOMAINS.len();
                member::Member::voter(ReplicaId(id), format!("host-{id}"), DOMAINS[domain])
            })
            .collect();
        let mut cluster = Cluster {
            replicas: BTreeMap::new(),
            now: 1_000,
            network: Network {
                max_delay_ms: 5,
                ..Network::default()
            },
            corrupt_patterns: Vec::new(),
            unchecked: BTreeSet::new(),
            blocked: BTreeSet::new(),
            rng: rand_pcg::Pcg32::seed_from_u64(options.seed),
            packets: Vec::new(),
            next_ticket: 1,
            calls: BTreeMap::new(),
            answers: BTreeMap::new(),
            sequence: BTreeMap::new(),
            acked: BTreeMap::new(),
            refused: BTreeSet::new(),
            leaders: BTreeMap::new(),
            seen: BTreeMap::new(),
            voters: BTreeMap::new(),
            options,
        };
        for group in GROUPS {
            let ids = (1..=cluster.options.replicas).collect();
            cluster.voters.insert(group, ids);
        }
        for id in 1..=cluster.options.replicas {
            cluster.create(id, members.clone());
        }
        cluster
    }

    /// Adds a replica with an empty disk and starts it.
    pub fn create(&mut self, id: u64, members: Vec<member::Member>) {
        self.replicas.insert(
            id,
            Replica {
                disk: Memory::new(),
                host: None,
                error: None,
                members,
                clock_offset: 0.0,
                clock_rate: 1.0,
                inbox: Vec::new(),
                next_tick: self.now,
                synced: BTreeMap::new(),
                lease_end: BTreeMap::new(),
                transfer_end: BTreeMap::new(),
                commits: BTreeMap::new(),
            },
        );
        self.start(id).expect("an empty disk opens");
    }

    pub fn start(&mut self, id: u64) -> Result<(), storage::Error> {
        let drift = self.options.drift;
        let replica = self.replicas.get_mut(&id).expect("known replica");
        replica.clock_offset = self.rng.random_range(0.0..1e6);
        replica.clock_rate = 1.0 + self.rng.random_range(-1.0..=1.0) * drift;
        let mut builder = host::Builder::<Types>::new(ReplicaId(id), replica.members.clone())
            .election_timeout_ms(ELECTION_TIMEOUT_MS)
            .span_failure_domains(self.options.span_domains)
            .lease_reads(self.options.lease_reads)
            .automatic_promotion(self.options.automatic_promotion)
            .snapshot_log_bytes(self.options.snapshot_log_bytes)
            .retained_bytes(self.options.retained_bytes)
            .segment_bytes(self.options.segment_bytes)
            .payload_segment_bytes(PAYLOAD_SEGMENT_BYTES)
            .chunk_bytes(256)
            .append_bytes(512)
            .inflight_bytes(2_048)
            .seed(self.rng.random());
        for group in GROUPS {
            builder = builder.group(
                group,
                Journal::padded(self.options.padding, self.options.payloads),
            );
        }
        replica.inbox.clear();
        replica.error = None;
        replica.host = Some(builder.open(replica.disk.clone())?);
        replica.next_tick = self.now;
        Ok(())
    }

    /// Changes the rate of a clock, which continues from its current time.
    pub fn set_clock_rate(&mut self, id: u64, rate: f64) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        replica.clock_offset += self.now as f64 * (replica.clock_rate - rate);
        replica.clock_rate = rate;
    }

    /// Stops a process and loses unsynced data of its disk as given.
    pub fn crash(&mut self, id: u64, loss: storage::Loss) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        replica.host = None;
        replica.inbox.clear();
        replica.disk.crash(loss);
    }

    /// Stops a process and erases its disk.
    pub fn lose_disk(&mut self, id: u64) {
        self.crash(id, storage::Loss::All);
        self.replicas[&id].disk.wipe();
    }

    /// Blocks or unblocks all messages between a replica and the others.
    pub fn isolate(&mut self, id: u64, isolated: bool) {
        let others: Vec<u64> = self.replicas.keys().copied().filter(|o| *o != id).collect();
        for other in others {
            for pair in [(id, other), (other, id)] {
                if isolated {
                    self.blocked.insert(pair);
                } else {
                    self.blocked.remove(&pair);
                }
            }
        }
    }

    pub fn status(&self, id: u64, group: GroupId) -> Option<host::Status> {
        self.replicas.get(&id)?.host.as_ref()?.status(group)
    }

    pub fn commands(&self, id: u64, group: GroupId) -> &[u64] {
        let host = self.replicas[&id].host.as_ref().expect("running");
        &host.machine(group).expect("known group").commands
    }

    /// Returns the running leader of the highest term.
    pub fn leader(&self, group: GroupId) -> Option<u64> {
        self.replicas
            .keys()
            .filter_map(|id| Some((self.status(*id, group)?, *id)))
            .filter(|(status, _)| status.role == node::Role::Leader)
            .max_by_key(|(status, _)| status.term)
            .map(|(_, id)| id)
    }

    /// Runs until there is a leader with a lease and returns it.
    pub fn await_leader(&mut self, group: GroupId) -> u64 {
        for _ in 0..2_000 {
            self.run(TICK_MS);
            if let Some(id) = self.leader(group)
                && self.status(id, group).expect("running").lease_remaining_ms > 0
            {
                return id;
            }
        }
        panic!("no leader at {} ms", self.now);
    }

    pub fn write(&mut self, id: u64, group: GroupId, size: usize) -> u64 {
        let ticket = self.ticket(group, Call::Write { id: 0 });
        self.calls
            .insert(ticket, (group, Call::Write { id: ticket }));
        let mut command = ticket.to_le_bytes().to_vec();
        command.resize(size.max(8), 0xee);
        self.input(
            id,
            host::Input::Propose {
                group,
                ticket,
                command,
            },
        );
        ticket
    }

    pub fn read(&mut self, id: u64, group: GroupId) -> u64 {
        let must_see = self.seen.get(&group).copied().unwrap_or(0);
        let ticket = self.ticket(group, Call::Read { must_see });
        self.input(id, host::Input::Read { group, ticket });
        ticket
    }

    pub fn change(&mut self, id: u64, group: GroupId, change: member::Change) -> u64 {
        let ticket = self.ticket(group, Call::Change);
        self.input(
            id,
            host::Input::ChangeMembers {
                group,
                ticket,
                change,
            },
        );
        ticket
    }

    pub fn transfer(&mut self, id: u64, group: GroupId) {
        if let Some(replica) = self.replicas.get_mut(&id) {
            // The host aborts the transfer after one election timeout of its clock.
            let end = self.now + 2 * ELECTION_TIMEOUT_MS;
            replica.transfer_end.insert(group, end);
        }
        self.input(id, host::Input::Transfer { group });
    }

    /// Writes to the leader until a write is acknowledged; returns its id.
    pub fn write_acked(&mut self, group: GroupId, size: usize) -> u64 {
        for _ in 0..200 {
            let leader = self.await_leader(group);
            let ticket = self.write(leader, group, size);
            self.run(50);
            if matches!(self.answers.get(&ticket), Some(Ok(_))) {
                return ticket;
            }
        }
        panic!("no write acknowledged at {} ms", self.now);
    }

    /// Changes the members of all groups and retries until the change succeeds.
    pub fn change_all(&mut self, change: &member::Change) {
        for group in GROUPS {
            let mut done = false;
            for _ in 0..200 {
                let leader = self.await_leader(group);
                let ticket = self.change(leader, group, change.clone());
                self.run(100);
                done = matches!(self.answers.get(&ticket), Some(Ok(_)));
                if done {
                    break;
                }
            }
            assert!(done, "change {change:?} of {group} not done");
        }
    }

    /// Runs until a replica is a voter of all groups.
    pub fn await_voter(&mut self, id: u64) {
        for _ in 0..500 {
            self.run(20);
            if GROUPS.iter().all(|group| self.is_voter(*group, id)) {
                return;
            }
        }
        panic!("replica {id} is not a voter at {} ms", self.now);
    }

    /// Returns the members as the leader of a group sees them.
    pub fn peers(&self, group: GroupId) -> Vec<member::plan::Peer> {
        let leader = self.leader(group).and_then(|id| self.replicas.get(&id));
        let host = leader.and_then(|replica| replica.host.as_ref());
        host.and_then(|host| host.peers(group)).unwrap_or_default()
    }

    pub fn is_voter(&self, group: GroupId, id: u64) -> bool {
        let Some(status) = self.leader(group).and_then(|l| self.status(l, group)) else {
            return false;
        };
        let mut voters = status.members.iter().filter(|member| member.voter);
        voters.any(|member| member.replica.0 == id)
    }

    pub fn learner(&self, id: u64, domain: usize) -> member::Change {
        let domain = DOMAINS[domain % DOMAINS.len()];
        member::Change::Add(member::Member::learner(ReplicaId(id), "", domain))
    }

    fn ticket(&mut self, group: GroupId, call: Call) -> u64 {
        let ticket = self.next_ticket;
        self.next_ticket += 1;
        self.calls.insert(ticket, (group, call));
        ticket
    }

    fn input(&mut self, id: u64, input: host::Input) {
        if let Some(replica) = self.replicas.get_mut(&id)
            && replica.host.is_some()
        {
            replica.inbox.push(input);
        }
    }

    /// Advances the time, delivers messages and steps the hosts.
    pub fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now += 1;
            self.deliver();
            let ids: Vec<u64> = self.replicas.keys().copied().collect();
            for id in ids {
                self.step_if_due(id);
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for mut packet in self.packets.extract_if(.., |packet| packet.due <= now) {
            let mut patterns = self.corrupt_patterns.iter();
            if patterns.any(|pattern| invert(&mut packet.bytes, pattern)) {
                self.corrupt_patterns.clear();
            }
            let message = message::decode(&packet.bytes).expect("intact message");
            let input = host::Input::Message {
                from: ReplicaId(packet.from),
                message,
            };
            if let Some(replica) = self.replicas.get_mut(&packet.to)
                && replica.host.is_some()
                && !self.blocked.contains(&(packet.from, packet.to))
            {
                replica.inbox.push(input);
            }
        }
    }

    fn step_if_due(&mut self, id: u64) {
        let now = self.now;
        let replica = self.replicas.get_mut(&id).expect("known replica");
        let local = replica.clock(now);
        let Some(host) = &mut replica.host else {
            return;
        };
        let mut inputs = std::mem::take(&mut replica.inbox);
        let tick = now >= replica.next_tick;
        if tick {
            replica.next_tick = now + TICK_MS;
            inputs.push(host::Input::Tick);
        }
        if inputs.is_empty() {
            return;
        }
        let mut outputs = Vec::new();
        let result = host.step(inputs, local, &mut |output| outputs.push(output));
        let failed = result.err();
        self.check_replica(id, tick, failed.is_some());
        if failed.is_some() {
            let replica = self.replicas.get_mut(&id).expect("known replica");
            replica.error = failed;
            replica.host = None;
        }
        for output in outputs {
            self.handle(id, output);
        }
    }

    fn handle(&mut self, id: u64, output: host::Output) {
        match output {
            host::Output::Send { to, message } => self.send(id, to.0, &message),
            host::Output::Proposed { ticket, result } => self.answer(id, ticket, result),
            host::Output::ReadReady { ticket, result } => {
                self.answer(id, ticket, result.map(|()| Vec::new()));
            }
            host::Output::Role {
                group, role, term, ..
            } => self.record_role(id, group, role, term),
        }
    }

    fn send(&mut self, from: u64, to: u64, message: &message::Envelope) {
        let copies = 1 + usize::from(self.rng.random_bool(self.network.duplication));
        for _ in 0..copies {
            if !self.rng.random_bool(self.network.loss) {
                let delay = self.rng.random_range(1..=self.network.max_delay_ms);
                self.packets.push(Packet {
                    due: self.now + delay,
                    from,
                    to,
                    bytes: message::encode(message),
                });
            }
        }
    }

    fn answer(&mut self, id: u64, ticket: u64, result: Result<Vec<u8>, host::Refusal>) {
        let (group, call) = self.calls.remove(&ticket).expect("answered once");
        match (&call, &result) {
            (Call::Write { id: command }, Ok(position)) => {
                let position = u64::from_le_bytes(position[..].try_into().expect("a position"));
                let applied = self.sequence[&group][position as usize - 1];
                assert_eq!(applied, *command, "result of another command");
                self.acked.entry(group).or_default().insert(*command);
                let seen = self.seen.entry(group).or_default();
                *seen = (*seen).max(position as usize);
            }
            (Call::Write { .. }, Err(host::Refusal::Lost)) => {}
            (Call::Write { id: command }, Err(_)) => {
                self.refused.insert(*command);
            }
            (Call::Read { must_see }, Ok(_)) => {
                if self.replicas[&id].host.is_some() {
                    let length = self.commands(id, group).len();
                    assert!(
                        length >= *must_see,
                        "stale read at {id}: {length} commands instead of {must_see}"
                    );
                    let seen = self.seen.entry(group).or_default();
                    *seen = (*seen).max(length);
                }
            }
            (Call::Read { .. } | Call::Change, _) => {}
        }
        self.answers.insert(ticket, result);
    }

    fn record_role(&mut self, id: u64, group: GroupId, role: node::Role, term: u64) {
        if role == node::Role::Leader {
            let leader = *self.leaders.entry((group, term)).or_insert(id);
            assert_eq!(leader, id, "two leaders of {group} in term {term}");
            return;
        }
        let member = self.status(id, group).is_none_or(|status| {
            let mut members = status.members.iter();
            members.any(|member| member.replica.0 == id)
        });
        let replica = self.replicas.get_mut(&id).expect("known replica");
        let transferred = replica
            .transfer_end
            .get(&group)
            .is_some_and(|end| self.now <= *end);
        if transferred || !member {
            // A leader that transfers its leadership or was removed gives up its lease.
            replica.lease_end.remove(&group);
        }
    }

    /// Checks the state of a replica after a step.
    fn check_replica(&mut self, id: u64, tick: bool, failed: bool) {
        for group in GROUPS {
            let Some(status) = self.status(id, group) else {
                continue;
            };
            self.check_sequence(id, group);
            if !self.unchecked.contains(&id) {
                self.check_payloads(id, group, false);
            }
            self.check_voters(id, group, &status);
            self.check_lease(id, group, &status);
            if failed {
                continue;
            }
            let replica = self.replicas.get_mut(&id).expect("known replica");
            if !replica.disk.is_syncing() {
                replica.synced.insert(group, status.last_index);
            }
            if tick {
                replica
                    .commits
                    .entry(group)
                    .or_default()
                    .push(status.commit);
            }
        }
    }

    fn check_sequence(&mut self, id: u64, group: GroupId) {
        let host = self.replicas[&id].host.as_ref().expect("running");
        let applied = &host.machine(group).expect("known group").commands;
        let sequence = self.sequence.entry(group).or_default();
        let common = applied.len().min(sequence.len());
        // Only the end is compared: an earlier difference would have been found in an
        // earlier step.
        let from = common.saturating_sub(64);
        assert_eq!(
            applied[from..common],
            sequence[from..common],
            "replica {id} of {group} applied other commands"
        );
        if applied.len() > common {
            let new = &applied[common..];
            assert!(
                new.iter().all(|command| !self.refused.contains(command)),
                "a refused command was applied"
            );
            sequence.extend_from_slice(new);
        }
    }

    /// Checks that a replica can read the live payloads of its state machine.
    pub fn check_payloads(&mut self, id: u64, group: GroupId, all: bool) {
        let replica = self.replicas.get_mut(&id).expect("known replica");
        let host = replica.host.as_mut().expect("running");
        let checked = host.read(group, |machine, source| machine.check_payloads(all, source));
        if all {
            let live = host.machine(group).expect("known group").payloads().count();
            let stored = host.payloads(group).expect("known group").count();
            assert_eq!(stored, live, "replica {id} keeps removed payloads");
        }
        match checked {
            Ok(_) | Err(storage::Error::Stopped) => {}
            Err(error) => panic!("replica {id} of {group}: {error}"),
        }
    }

    fn check_voters(&mut self, id: u64, group: GroupId, status: &host::Status) {
        if status.role != node::Role::Leader {
            return;
        }
        let known = self.voters.entry(group).or_default();
        for member in status.members.iter().filter(|member| member.voter) {
            let voter = member.replica.0;
            if !known.insert(voter) {
                continue;
            }
            let commits = self.replicas[&id].commits.get(&group);
            let committed = commits
                .and_then(|commits| commits.len().checked_sub(2).map(|at| commits[at]))
                .unwrap_or(0);
            let synced = self.replicas[&voter]
                .synced
                .get(&group)
                .copied()
                .unwrap_or(0);
            assert!(
                synced >= committed,
                "learner {voter} became a voter with {synced} of {committed} entries"
            );
        }
    }

    fn check_lease(&mut self, id: u64, group: GroupId, status: &host::Status) {
        if status.lease_remaining_ms == 0 || !self.options.lease_reads {
            return;
        }
        let now = self.now as f64;
        for (other, replica) in &self.replicas {
            let end = replica.lease_end.get(&group).copied().unwrap_or(0.0);
            assert!(
                *other == id || end <= now,
                "{id} and {other} hold the lease of {group} at {now}: {end}"
            );
        }
        let replica = self.replicas.get_mut(&id).expect("known replica");
        let end = now + status.lease_remaining_ms as f64 / replica.clock_rate;
        replica.lease_end.insert(group, end);
    }

    /// Keeps the syncs of a replica from finishing, or stops doing so.
    pub fn hold_syncs(&mut self, id: u64, held: bool) {
        self.replicas[&id].disk.hold_syncs(held);
    }

    /// Ends all network faults, waits until the replicas have caught up and checks that
    /// every acknowledged command is applied exactly once on all running members and in
    /// the same order.
    pub fn settle(&mut self) {
        self.network = Network {
            max_delay_ms: 3,
            ..Network::default()
        };
        self.blocked.clear();
        for group in GROUPS {
            self.write_acked(group, 8);
        }
        self.run(3 * ELECTION_TIMEOUT_MS);
        for group in GROUPS {
            self.check_settled(group);
        }
    }

    fn check_settled(&mut self, group: GroupId) {
        let sequence = self.sequence[&group].clone();
        let unique: BTreeSet<u64> = sequence.iter().copied().collect();
        assert_eq!(unique.len(), sequence.len(), "a command was applied twice");
        let acked = self.acked.entry(group).or_default();
        let lost: Vec<&u64> = acked.difference(&unique).collect();
        assert!(lost.is_empty(), "acknowledged commands are lost: {lost:?}");
        let leader = self.leader(group).expect("a leader");
        let members = self.status(leader, group).expect("running").members;
        for member in members {
            let id = member.replica.0;
            if self
                .replicas
                .get(&id)
                .is_some_and(|replica| replica.host.is_some())
            {
                assert_eq!(self.commands(id, group), sequence, "replica {id}");
                self.check_payloads(id, group, true);
            }
        }
    }
}
