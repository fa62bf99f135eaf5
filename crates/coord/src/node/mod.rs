//! One replica of one replicated log.

mod change;
mod election;
mod follow;
mod lead;
mod log;
mod progress;
mod read;

use std::collections::{BTreeMap, BTreeSet};

use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::{
    GroupId, ReplicaId,
    host::Options,
    member,
    message::{self, Body, Entry, Envelope, SnapshotMeta, Vote},
    wal::Record,
};

pub(crate) use log::Log;

/// Largest interval between two pre-vote requests, in heartbeat intervals. The
/// smallest is one; the random spread separates candidates that restarted at the
/// same time.
const PRE_VOTE_INTERVALS: u64 = 3;

/// The Raft role of a replica in its group.
#[derive(
    Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize, strum::Display, strum::IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Role {
    /// Accepts proposals and replicates them.
    Leader,
    /// Votes and follows a leader.
    Follower,
    /// Requests votes to become the leader.
    Candidate,
    /// Follows a leader but does not vote.
    Learner,
}

/// The durable state of a node, as recovered from the disk.
pub(crate) struct Durable {
    pub term: u64,
    pub vote: Option<ReplicaId>,
    pub snapshot: SnapshotMeta,
    pub entries: Vec<Entry>,
}

/// The effects of a node that the host has not collected yet.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Messages that can be sent at once.
    pub immediate: Vec<(ReplicaId, Envelope)>,
    /// Messages that may be sent only after the next sync, which covers `records`.
    pub after_sync: Vec<(ReplicaId, Envelope)>,
    /// Messages that may be sent only after the sync that is running.
    pub syncing: Vec<(ReplicaId, Envelope)>,
    /// Records to be written to the write-ahead log.
    pub records: Vec<Record>,
    /// Chunks of the latest snapshot that the host has to read and send.
    pub chunk_requests: Vec<ChunkRequest>,
    /// Reads that may be served or are refused.
    pub reads: Vec<read::Outcome>,
    /// Whether the leadership ended, so that the outcome of pending proposals is
    /// unknown.
    pub leadership_lost: bool,
    /// Events of the payload stream that arrives with a snapshot from the leader.
    pub payload_events: Vec<PayloadEvent>,
    /// A complete snapshot from the leader that is to be installed.
    pub install: Option<Install>,
}

/// An event of a payload stream that is being received with a snapshot.
#[derive(Debug)]
pub(crate) enum PayloadEvent {
    /// The list of payloads is complete and their contents follow. A stream that was
    /// started before belongs to another snapshot.
    Start {
        /// The encoded list of payloads.
        list: Vec<u8>,
    },
    /// The next bytes of the payload contents.
    Data(Vec<u8>),
    /// The snapshot is discarded.
    Abort,
}

/// A request to the host to read a chunk of the latest snapshot and send it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkRequest {
    pub to: ReplicaId,
    pub offset: u64,
    pub broadcast: message::Broadcast,
}

/// A complete snapshot from the leader.
#[derive(Debug)]
pub(crate) struct Install {
    pub meta: SnapshotMeta,
    pub data: Vec<u8>,
    from: ReplicaId,
    broadcast: message::Broadcast,
}

/// The votes that a candidate received in the current term.
#[derive(Debug)]
struct Campaign {
    kind: Vote,
    granted: BTreeSet<ReplicaId>,
}

/// The state of a leader.
#[derive(Debug)]
struct Leadership {
    progress: BTreeMap<ReplicaId, progress::Progress>,
    /// The index of the first entry of this term. Until it is committed, the leader
    /// does not know which entries are.
    first_index: u64,
    /// The round of the last broadcast.
    round: u64,
    /// Whether a broadcast is due in this step.
    broadcast_due: bool,
    heartbeat_due_ms: u64,
    /// The commit index at the last tick, which a learner must have reached to be
    /// promoted.
    commit_at_tick: u64,
    reads: Vec<read::Pending>,
    transfer: Option<Transfer>,
}

/// A leadership transfer that waits for its target to catch up.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    target: ReplicaId,
    deadline_ms: u64,
}

/// The state of a replica in one group. Nothing here performs I/O.
pub(crate) struct Node {
    id: ReplicaId,
    group: GroupId,
    options: Options,
    now_ms: u64,
    /// The time of the previous step.
    previous_step_ms: u64,
    started: bool,
    rng: rand_pcg::Pcg32,
    term: u64,
    vote: Option<ReplicaId>,
    role: Role,
    leader: Option<ReplicaId>,
    log: Log,
    members: member::History,
    /// The last index that is durable on this replica.
    durable_index: u64,
    /// The last index that will be durable once the running sync has finished.
    syncing_index: u64,
    /// Whether a sync is running.
    syncing: bool,
    /// Whether the running sync covers a change of term or vote.
    syncing_vote: bool,
    /// Whether term or vote changed since they were last written.
    vote_changed: bool,
    election_due_ms: u64,
    /// Votes are refused until this time, because a leader may hold a lease.
    refuse_votes_until_ms: u64,
    /// When the last message from the leader arrived.
    leader_contact_ms: u64,
    /// When the current vote was cast, or `None` once it is durable.
    vote_cast_ms: Option<u64>,
    /// The campaign in the current term. It stays active while this replica requests
    /// pre-votes for the next term, so that votes that took long to sync still count.
    campaign: Option<Campaign>,
    /// The pre-votes received for the next term, if they were requested.
    pre_votes: Option<BTreeSet<ReplicaId>>,
    leadership: Option<Leadership>,
    incoming: Option<follow::Incoming>,
    /// The effects that the host has to carry out.
    pub out: Outbox,
}

impl Node {
    /// Builds a follower or learner from its durable state.
    pub fn new(id: ReplicaId, group: GroupId, options: Options, durable: Durable) -> Node {
        let seed = options.seed ^ (u64::from(group.0) << 32);
        let snapshot = durable.snapshot;
        let mut members = member::History::new(snapshot.index, snapshot.members.clone());
        for entry in &durable.entries {
            if let message::Operation::Members(list) = &entry.operation {
                members.push(entry.index, list.clone());
            }
        }
        let log = Log::new(snapshot, durable.entries);
        let mut node = Node {
            id,
            group,
            options,
            now_ms: 0,
            previous_step_ms: 0,
            started: false,
            rng: rand_pcg::Pcg32::seed_from_u64(seed),
            term: durable.term,
            vote: durable.vote,
            role: Role::Learner,
            leader: None,
            durable_index: log.last_index(),
            syncing_index: log.last_index(),
            syncing: false,
            syncing_vote: false,
            log,
            members,
            vote_changed: false,
            election_due_ms: 0,
            refuse_votes_until_ms: 0,
            leader_contact_ms: 0,
            vote_cast_ms: None,
            campaign: None,
            pre_votes: None,
            leadership: None,
            incoming: None,
            out: Outbox::default(),
        };
        node.role = node.passive_role();
        node
    }

    pub fn role(&self) -> Role {
        self.role
    }

    pub fn term(&self) -> u64 {
        self.term
    }

    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    pub fn log(&self) -> &Log {
        &self.log
    }

    /// Returns the latest members, committed or not.
    pub fn members(&self) -> &member::List {
        self.members.current().1
    }

    /// Returns the members that apply at an index.
    pub fn members_at(&self, index: u64) -> &member::List {
        self.members.at(index)
    }

    /// Sets the clock. Called once per step, before inputs are handled.
    pub fn set_now(&mut self, now_ms: u64) {
        self.previous_step_ms = self.now_ms;
        self.now_ms = now_ms;
        if self.started {
            return;
        }
        self.started = true;
        self.previous_step_ms = now_ms;
        self.leader_contact_ms = now_ms;
        // The replica may have answered a leader just before it restarted, and that
        // leader's lease relies on it refusing to vote.
        self.refuse_votes_until_ms = now_ms + self.options.election_timeout_ms;
        // The other replicas may have restarted at the same time and refuse votes for
        // as long as this one.
        self.reset_pre_vote_timer();
        self.election_due_ms += self.options.election_timeout_ms;
    }

    /// Runs the timers.
    pub fn tick(&mut self) {
        if self.role == Role::Leader {
            self.tick_leader();
        } else if self.campaign_is_due() {
            self.log_campaign_start();
            self.start_campaign(Vote::Pre);
        } else if self.role == Role::Learner && self.now_ms >= self.election_due_ms {
            // It may have been removed, and only a replica without a leader finds out.
            self.leader = None;
        }
    }

    /// Returns whether this replica starts a campaign. It does not while its vote is
    /// not durable: the new requests would wait for the same sync and reach the
    /// voters together with those of the current term.
    fn campaign_is_due(&self) -> bool {
        self.now_ms >= self.election_due_ms
            && self.vote_cast_ms.is_none()
            && self.members().is_voter(self.id)
    }

    /// Handles a message from another replica.
    pub fn receive(&mut self, from: ReplicaId, message: Envelope) {
        match message.body {
            Body::VoteRequest(request) => self.on_vote_request(from, message.term, request),
            Body::VoteReply(reply) => self.on_vote_reply(from, message.term, reply),
            body => self.receive_in_term(from, message.term, body),
        }
    }

    fn receive_in_term(&mut self, from: ReplicaId, term: u64, body: Body) {
        if term > self.term {
            self.become_follower(term, None);
        }
        if term < self.term {
            self.reply_stale_term(from, &body);
            return;
        }
        match body {
            Body::Append(append) => self.on_append(from, append),
            Body::AppendReply(reply) => self.on_append_reply(from, reply),
            Body::Snapshot(chunk) => self.on_chunk(from, chunk),
            Body::SnapshotReply(reply) => self.on_chunk_reply(from, reply),
            Body::TimeoutNow => self.on_timeout_now(),
            Body::VoteRequest(_) | Body::VoteReply(_) => {}
        }
    }

    /// Takes the records to be written. A changed term or vote comes first.
    pub fn take_records(&mut self) -> Vec<Record> {
        let mut records = Vec::new();
        self.syncing_vote = std::mem::take(&mut self.vote_changed);
        if self.syncing_vote {
            records.push(self.vote_record());
        }
        records.append(&mut self.out.records);
        records
    }

    pub fn vote_record(&self) -> Record {
        Record::Vote {
            term: self.term,
            vote: self.vote,
        }
    }

    /// Records that the sync of the taken records has started.
    pub fn sync_started(&mut self) {
        self.syncing = true;
        self.syncing_index = self.log.last_index();
        self.out.syncing.append(&mut self.out.after_sync);
    }

    /// Records that the sync of the taken records has finished.
    pub fn persisted(&mut self) {
        self.syncing = false;
        self.syncing_vote = false;
        self.durable_index = self.syncing_index;
        // A vote that was cast during the sync is not durable.
        if !self.vote_changed {
            self.vote_persisted();
        }
        self.advance_commit();
    }

    /// Gives up the leadership, if any, because the disk can no longer be used.
    pub fn stop(&mut self) {
        self.become_follower(self.term, None);
    }

    /// Drops the entries that a stored snapshot of this replica covers.
    pub fn compact(&mut self, snapshot: SnapshotMeta) {
        self.members.compact(snapshot.index);
        self.log.compact(snapshot, self.options.retained_bytes);
    }

    /// Returns the role of this replica when it neither leads nor campaigns.
    fn passive_role(&self) -> Role {
        if self.members().is_voter(self.id) {
            Role::Follower
        } else {
            Role::Learner
        }
    }

    /// Appends an entry to the log in memory and to the records to be written.
    fn append(&mut self, entry: Entry) {
        if let message::Operation::Members(list) = &entry.operation {
            self.members.push(entry.index, list.clone());
            self.members_changed();
        }
        self.out.records.push(Record::Entry(entry.clone()));
        self.log.push(entry);
    }

    fn members_changed(&mut self) {
        match self.role {
            Role::Leader => self.sync_progress(),
            Role::Follower | Role::Learner => self.role = self.passive_role(),
            Role::Candidate => {}
        }
    }

    fn envelope(&self, body: Body) -> Envelope {
        Envelope {
            group: self.group,
            term: self.term,
            body,
        }
    }

    fn send_now(&mut self, to: ReplicaId, body: Body) {
        let message = self.envelope(body);
        self.out.immediate.push((to, message));
    }

    fn send_after_sync(&mut self, to: ReplicaId, body: Body) {
        let message = self.envelope(body);
        self.out.after_sync.push((to, message));
    }

    /// Draws a random time for the next campaign. The smallest timeout exceeds the
    /// time for which voters refuse to vote by one heartbeat interval, so that the
    /// first campaign usually succeeds.
    fn reset_election_timer(&mut self) {
        let timeout = self.options.election_timeout_ms;
        let smallest = timeout + self.options.heartbeat_interval_ms;
        let delay = self.rng.random_range(smallest..=smallest + timeout);
        self.election_due_ms = self.now_ms + delay;
    }

    /// Draws a random time for the next pre-vote request. A pre-vote changes no state
    /// of the voters, and they refuse it only while a leader may hold a lease, so it
    /// is repeated much sooner than a real campaign.
    fn reset_pre_vote_timer(&mut self) {
        let interval = self.options.heartbeat_interval_ms;
        let delay = self
            .rng
            .random_range(interval..=PRE_VOTE_INTERVALS * interval);
        self.election_due_ms = self.now_ms + delay;
    }

    /// Delays the next campaign by some heartbeat intervals, in which another
    /// candidate can collect its votes.
    fn defer_campaign_for_candidate(&mut self) {
        let interval = self.options.heartbeat_interval_ms;
        let delay = self
            .rng
            .random_range(PRE_VOTE_INTERVALS * interval..=2 * PRE_VOTE_INTERVALS * interval);
        self.election_due_ms = self.election_due_ms.max(self.now_ms + delay);
    }
}
