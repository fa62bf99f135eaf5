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

/// Heartbeat intervals in which a pre-vote is asked for again at the latest. The
/// spread keeps candidates apart that come back at the same time.
const PRE_VOTE_INTERVALS: u64 = 3;

/// The part that a replica plays in its group.
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
    /// Seeks to become leader.
    Candidate,
    /// Follows a leader and does not vote.
    Learner,
}

/// The durable part of a node, as recovered from the disk.
pub(crate) struct Durable {
    pub term: u64,
    pub vote: Option<ReplicaId>,
    pub snapshot: SnapshotMeta,
    pub entries: Vec<Entry>,
}

/// The effects of a node since they were last collected.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    /// Messages that need no sync.
    pub immediate: Vec<(ReplicaId, Envelope)>,
    /// Messages that may be sent only after the records are synced.
    pub after_sync: Vec<(ReplicaId, Envelope)>,
    /// Messages that may be sent only after the records that are being synced.
    pub syncing: Vec<(ReplicaId, Envelope)>,
    /// Records to be written.
    pub records: Vec<Record>,
    /// Replicas that need a piece of the latest snapshot, from an offset on.
    pub chunk_requests: Vec<ChunkRequest>,
    /// Reads with an outcome, by ticket.
    pub reads: Vec<read::Outcome>,
    /// Whether leadership ended, so that pending proposals have no known outcome.
    pub leadership_lost: bool,
    /// Payloads that arrive with a snapshot of the leader.
    pub payload_events: Vec<PayloadEvent>,
    /// A complete snapshot of the leader that is to be installed.
    pub install: Option<Install>,
}

/// A step of the arrival of payloads.
#[derive(Debug)]
pub(crate) enum PayloadEvent {
    /// The list is complete; what arrived before belongs to another snapshot.
    Start {
        /// The encoded list.
        list: Vec<u8>,
    },
    /// The next bytes of the contents.
    Data(Vec<u8>),
    /// The snapshot is not needed any more.
    Abort,
}

/// A piece of a snapshot that is to be sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ChunkRequest {
    pub to: ReplicaId,
    pub offset: u64,
    pub broadcast: message::Broadcast,
}

/// A complete snapshot of the leader.
#[derive(Debug)]
pub(crate) struct Install {
    pub meta: SnapshotMeta,
    pub data: Vec<u8>,
    from: ReplicaId,
    broadcast: message::Broadcast,
}

/// The votes of a candidate in its present term.
#[derive(Debug)]
struct Campaign {
    kind: Vote,
    granted: BTreeSet<ReplicaId>,
}

/// The state of a leader.
#[derive(Debug)]
struct Leadership {
    progress: BTreeMap<ReplicaId, progress::Progress>,
    /// The first entry of this term. Nothing is known to be committed before it is.
    first_index: u64,
    /// The number of the last broadcast.
    round: u64,
    /// Whether a broadcast is due in this step.
    broadcast_due: bool,
    heartbeat_due_ms: u64,
    /// The commit index at the tick before, which a learner must have reached.
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
    /// The time of the step before.
    previous_step_ms: u64,
    started: bool,
    rng: rand_pcg::Pcg32,
    term: u64,
    vote: Option<ReplicaId>,
    role: Role,
    leader: Option<ReplicaId>,
    log: Log,
    members: member::History,
    /// The last index that is durable here.
    durable_index: u64,
    /// The last index that is durable here once the running sync has finished.
    syncing_index: u64,
    /// Whether a sync is running.
    syncing: bool,
    /// Whether the running sync covers a change of term or vote.
    syncing_vote: bool,
    /// Whether term or vote changed since they were last written.
    vote_changed: bool,
    election_due_ms: u64,
    /// Until then votes are refused, because a leader may hold a lease.
    refuse_votes_until_ms: u64,
    /// When the leader of the term was last heard.
    leader_contact_ms: u64,
    /// When the present vote was cast, until it is durable.
    vote_cast_ms: Option<u64>,
    /// The campaign in the present term. It lasts while this replica asks for
    /// pre-votes again, so that votes which took long to sync still count.
    campaign: Option<Campaign>,
    /// The pre-votes for the next term.
    pre_votes: Option<BTreeSet<ReplicaId>>,
    leadership: Option<Leadership>,
    incoming: Option<follow::Incoming>,
    /// The collected effects.
    pub out: Outbox,
}

impl Node {
    /// Builds a follower from its durable part.
    pub fn new(id: ReplicaId, group: GroupId, options: Options, durable: Durable) -> Node {
        let seed = options.seed ^ (u64::from(group.0) << 32);
        let snapshot = durable.snapshot;
        let mut members = member::History::new(snapshot.index, snapshot.members.clone());
        for entry in &durable.entries {
            if let message::Payload::Members(list) = &entry.payload {
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

    /// Returns the members in force, committed or not.
    pub fn members(&self) -> &member::List {
        self.members.current().1
    }

    /// Returns the members in force at an index.
    pub fn members_at(&self, index: u64) -> &member::List {
        self.members.at(index)
    }

    /// Sets the clock before inputs are handled.
    pub fn set_now(&mut self, now_ms: u64) {
        self.previous_step_ms = self.now_ms;
        self.now_ms = now_ms;
        if self.started {
            return;
        }
        self.started = true;
        self.previous_step_ms = now_ms;
        self.leader_contact_ms = now_ms;
        // The replica may have answered a leader just before it restarted, and
        // that leader's lease counts on it.
        self.refuse_votes_until_ms = now_ms + self.options.election_timeout_ms;
        // The others are about as ready to vote as this replica.
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
        }
    }

    /// Returns whether this replica starts a campaign. None starts while a vote is
    /// not durable: its messages would wait for the same sync, and voters would
    /// then get them beside those of the present term.
    fn campaign_is_due(&self) -> bool {
        self.now_ms >= self.election_due_ms
            && self.vote_cast_ms.is_none()
            && self.members().is_voter(self.id)
    }

    /// Handles a message of another replica.
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

    /// Moves the vote record, if it is due, in front of the other records and
    /// returns them all.
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

    /// Notes that the records that were taken are being synced.
    pub fn sync_started(&mut self) {
        self.syncing = true;
        self.syncing_index = self.log.last_index();
        self.out.syncing.append(&mut self.out.after_sync);
    }

    /// Notes that the records that were taken last were synced.
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

    /// Gives up any leadership, because the disk can no longer be used.
    pub fn stop(&mut self) {
        self.become_follower(self.term, None);
    }

    /// Drops the entries that a stored snapshot of this replica covers.
    pub fn compact(&mut self, snapshot: SnapshotMeta) {
        self.members.compact(snapshot.index);
        self.log.compact(snapshot, self.options.retained_bytes);
    }

    fn passive_role(&self) -> Role {
        if self.members().is_voter(self.id) {
            Role::Follower
        } else {
            Role::Learner
        }
    }

    /// Appends an entry to the log in memory and to the records.
    fn append(&mut self, entry: Entry) {
        if let message::Payload::Members(list) = &entry.payload {
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

    /// Draws the time of the next campaign. The smallest timeout exceeds the
    /// time for which voters stay quiet by one heartbeat interval, so that the
    /// first campaign usually finds them ready.
    fn reset_election_timer(&mut self) {
        let timeout = self.options.election_timeout_ms;
        let smallest = timeout + self.options.heartbeat_interval_ms;
        let delay = self.rng.random_range(smallest..=smallest + timeout);
        self.election_due_ms = self.now_ms + delay;
    }

    /// Draws the time at which a pre-vote is asked for again. A pre-vote changes
    /// nothing at the voters, and they refuse only as long as a leader may hold a
    /// lease, so it is repeated much sooner than a real campaign.
    fn reset_pre_vote_timer(&mut self) {
        let interval = self.options.heartbeat_interval_ms;
        let delay = self
            .rng
            .random_range(interval..=PRE_VOTE_INTERVALS * interval);
        self.election_due_ms = self.now_ms + delay;
    }

    /// Puts a due campaign off by some heartbeat intervals, the time in which
    /// another candidate collects its votes.
    fn defer_campaign_for_rival(&mut self) {
        let interval = self.options.heartbeat_interval_ms;
        let delay = self
            .rng
            .random_range(PRE_VOTE_INTERVALS * interval..=2 * PRE_VOTE_INTERVALS * interval);
        self.election_due_ms = self.election_due_ms.max(self.now_ms + delay);
    }
}
