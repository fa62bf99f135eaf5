//! The leader: replication, commit, lease and leadership transfer.

use std::collections::BTreeMap;

use crate::{
    ReplicaId,
    host::Refusal,
    message::{
        Append, AppendOutcome, AppendReply, Body, Broadcast, ChunkProgress, ChunkReply, Entry,
        Operation, SnapshotMeta,
    },
    node::{
        ChunkRequest, Leadership, Node, Role, Transfer,
        progress::{Mode, Progress},
    },
};

/// An unanswered snapshot chunk is sent again after an election timeout divided by
/// this.
const CHUNK_RETRY_DIVISOR: u64 = 2;

impl Node {
    pub(super) fn become_leader(&mut self) {
        ::log::info!(
            "group {}: replica {} leads term {}",
            self.group,
            self.id,
            self.term
        );
        self.campaign = None;
        self.pre_votes = None;
        self.role = Role::Leader;
        self.leader = Some(self.id);
        let first_index = self.log.last_index() + 1;
        self.leadership = Some(Leadership {
            progress: BTreeMap::new(),
            first_index,
            round: 0,
            broadcast_due: true,
            heartbeat_due_ms: self.now_ms,
            commit_at_tick: first_index,
            reads: Vec::new(),
            transfer: None,
        });
        self.sync_progress();
        self.append_operation(Operation::Empty);
    }

    /// Tracks the progress of exactly the other members of the current list.
    pub(super) fn sync_progress(&mut self) {
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let list = self.members.current().1;
        leadership
            .progress
            .retain(|replica, _| list.get(*replica).is_some());
        let next_index = self.log.last_index() + 1;
        for member in &list.members {
            if member.replica != self.id {
                leadership
                    .progress
                    .entry(member.replica)
                    .or_insert_with(|| Progress::new(next_index, self.now_ms));
            }
        }
    }

    pub(super) fn append_operation(&mut self, operation: Operation) -> u64 {
        let index = self.log.last_index() + 1;
        self.append(Entry {
            index,
            term: self.term,
            operation,
        });
        index
    }

    /// Appends a command and returns its index.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<u64, Refusal> {
        let Some(leadership) = &self.leadership else {
            return Err(self.not_leader());
        };
        let full = self.log.pending_bytes() > self.options.pending_bytes;
        if leadership.transfer.is_some() || full {
            return Err(Refusal::Busy);
        }
        Ok(self.append_operation(Operation::Command(command.into())))
    }

    pub(super) fn not_leader(&self) -> Refusal {
        Refusal::NotLeader {
            leader: self.leader,
        }
    }

    pub(super) fn tick_leader(&mut self) {
        if !self.has_active_majority() {
            self.log_lost_majority();
            self.become_follower(self.term, None);
            return;
        }
        self.promote_learner();
        let commit = self.log.commit();
        let now_ms = self.now_ms;
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        leadership.commit_at_tick = commit.max(leadership.first_index);
        if leadership
            .transfer
            .is_some_and(|transfer| now_ms >= transfer.deadline_ms)
        {
            leadership.transfer = None;
        }
        leadership.broadcast_due |= now_ms >= leadership.heartbeat_due_ms;
    }

    /// Returns whether a majority of the voters is active, this replica included.
    fn has_active_majority(&self) -> bool {
        self.members()
            .has_majority(|voter| voter == self.id || self.is_active(voter))
    }

    /// Logs why this replica steps down. A long time since the previous step means
    /// that this replica stalled rather than the others.
    fn log_lost_majority(&self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let silent = leadership.progress.iter().map(|(replica, progress)| {
            let silent_ms = self.now_ms - progress.last_contact_ms;
            format!("last contact with replica {replica} was {silent_ms} ms ago")
        });
        let silent: Vec<String> = silent.collect();
        ::log::info!(
            "group {}: replica {} lost contact with a majority in term {}: {}, the previous step was {} ms ago",
            self.group,
            self.id,
            self.term,
            silent.join(", "),
            self.now_ms - self.previous_step_ms
        );
    }

    /// Returns whether a replica replied within the last election timeout, or this
    /// leader began to track it within that time.
    pub(super) fn is_active(&self, replica: ReplicaId) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        leadership.progress.get(&replica).is_some_and(|progress| {
            self.now_ms < progress.last_contact_ms + self.options.election_timeout_ms
        })
    }

    /// Returns for how long this replica still holds the leader lease, 0 if it does
    /// not.
    ///
    /// Each voter that answers a broadcast refuses to vote for one election timeout
    /// after it received the broadcast. The lease is counted from the time when the
    /// leader sent it, which is never later.
    pub fn lease_remaining_ms(&self) -> u64 {
        let Some(leadership) = &self.leadership else {
            return 0;
        };
        if self.log.commit() < leadership.first_index {
            return 0;
        }
        // Times are shifted by one, so that 0 means that the voter never answered.
        let granted = self.members().quorum_value(false, |voter| {
            if voter == self.id {
                return self.now_ms + 1;
            }
            let progress = leadership.progress.get(&voter);
            let broadcast = progress.and_then(|progress| progress.last_answered);
            broadcast.map_or(0, |broadcast| broadcast.sent_ms + 1)
        });
        let Some(start_ms) = granted.and_then(|granted| granted.checked_sub(1)) else {
            return 0;
        };
        (start_ms + self.options.lease_ms()).saturating_sub(self.now_ms)
    }

    /// Sends entries and heartbeats that are due.
    pub fn replicate(&mut self) {
        let Some(mut leadership) = self.leadership.take() else {
            return;
        };
        let broadcast_due = std::mem::take(&mut leadership.broadcast_due);
        if broadcast_due {
            leadership.round += 1;
            leadership.heartbeat_due_ms = self.now_ms + self.options.heartbeat_interval_ms;
        }
        let broadcast = Broadcast {
            round: leadership.round,
            sent_ms: self.now_ms,
        };
        for (replica, progress) in &mut leadership.progress {
            self.replicate_to(*replica, progress, broadcast, broadcast_due);
        }
        self.leadership = Some(leadership);
    }

    fn replicate_to(
        &mut self,
        to: ReplicaId,
        progress: &mut Progress,
        broadcast: Broadcast,
        broadcast_due: bool,
    ) {
        self.choose_mode(progress);
        if let Mode::Snapshot { .. } = progress.mode {
            self.request_chunk(to, progress, broadcast);
        }
        let mut sent = false;
        while progress.has_room(self.options.inflight_bytes) {
            let entries = self
                .log
                .slice(progress.next_index, self.options.append_bytes);
            let Some(last) = entries.last() else {
                break;
            };
            let last_index = last.index;
            let bytes = entries.iter().map(Entry::size).sum();
            self.send_append(to, progress.next_index - 1, broadcast, entries);
            progress.record_sent(last_index, bytes);
            sent = true;
        }
        if broadcast_due && !sent {
            self.send_heartbeat(to, progress, broadcast);
        }
    }

    /// Switches to sending the latest snapshot if the entries to send are no longer
    /// in memory, and restarts a transfer whose snapshot has been replaced.
    fn choose_mode(&self, progress: &mut Progress) {
        let snapshot_index = self.log.snapshot().index;
        match progress.mode {
            Mode::Snapshot { index, .. } if index != snapshot_index => {
                progress.restart(progress.next_index, snapshot_mode(snapshot_index));
            }
            Mode::Probe | Mode::Replicate
                if self.log.term_at(progress.next_index - 1).is_none() =>
            {
                progress.restart(progress.next_index, snapshot_mode(snapshot_index));
            }
            Mode::Probe | Mode::Replicate | Mode::Snapshot { .. } => {}
        }
    }

    /// Asks the host to read the next chunk, unless it was sent recently.
    fn request_chunk(&mut self, to: ReplicaId, progress: &mut Progress, broadcast: Broadcast) {
        let retry_ms = self.options.election_timeout_ms / CHUNK_RETRY_DIVISOR;
        if let Mode::Snapshot {
            offset, sent_ms, ..
        } = &mut progress.mode
            && sent_ms.is_none_or(|sent_ms| self.now_ms >= sent_ms + retry_ms)
        {
            *sent_ms = Some(self.now_ms);
            let offset = *offset;
            self.out.chunk_requests.push(ChunkRequest {
                to,
                offset,
                broadcast,
            });
        }
    }

    /// Sends an empty append. During a snapshot transfer it refers to index 0, which
    /// always matches, so that it only shows that the leader is alive.
    fn send_heartbeat(&mut self, to: ReplicaId, progress: &Progress, broadcast: Broadcast) {
        let prev_index = match progress.mode {
            Mode::Probe | Mode::Replicate => progress.next_index - 1,
            Mode::Snapshot { .. } => 0,
        };
        self.send_append(to, prev_index, broadcast, Vec::new());
    }

    fn send_append(
        &mut self,
        to: ReplicaId,
        prev_index: u64,
        broadcast: Broadcast,
        entries: Vec<Entry>,
    ) {
        let append = Append {
            prev_index,
            prev_term: self.log.term_at(prev_index).unwrap_or(0),
            commit: self.log.commit(),
            broadcast,
            entries,
        };
        self.send_now(to, Body::Append(append));
    }

    pub(super) fn on_append_reply(&mut self, from: ReplicaId, reply: AppendReply) {
        let last_index = self.log.last_index();
        let now_ms = self.now_ms;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_reply(reply.broadcast, now_ms);
        match reply.outcome {
            AppendOutcome::Accepted { match_index } if match_index <= last_index => {
                progress.record_accepted(match_index);
                self.end_snapshot_transfer(from);
            }
            AppendOutcome::Accepted { .. } => {}
            AppendOutcome::Rejected {
                prev_index,
                hint_index,
            } => self.on_rejected(from, prev_index, hint_index),
        }
        self.after_reply();
    }

    fn on_rejected(&mut self, from: ReplicaId, prev_index: u64, hint_index: u64) {
        let Some(mut leadership) = self.leadership.take() else {
            return;
        };
        let broadcast = Broadcast {
            round: leadership.round,
            sent_ms: self.now_ms,
        };
        if let Some(progress) = leadership.progress.get_mut(&from)
            && progress.record_rejected(prev_index, hint_index)
        {
            self.choose_mode(progress);
            if progress.mode == Mode::Probe {
                self.send_heartbeat(from, progress, broadcast);
            }
        }
        self.leadership = Some(leadership);
    }

    pub(super) fn on_chunk_reply(&mut self, from: ReplicaId, reply: ChunkReply) {
        let last_index = self.log.last_index();
        let now_ms = self.now_ms;
        let Some(progress) = self.progress_mut(from) else {
            return;
        };
        progress.record_reply(reply.broadcast, now_ms);
        match reply.progress {
            ChunkProgress::Installed { index } if index <= last_index => {
                progress.record_accepted(index);
                self.end_snapshot_transfer(from);
            }
            ChunkProgress::Installed { .. } => {}
            ChunkProgress::Next { offset: next } => continue_snapshot(progress, reply.index, next),
        }
        self.after_reply();
    }

    /// Ends a snapshot transfer once the replica's log reaches the entries that are
    /// in memory here.
    fn end_snapshot_transfer(&mut self, replica: ReplicaId) {
        let Some(mut leadership) = self.leadership.take() else {
            return;
        };
        if let Some(progress) = leadership.progress.get_mut(&replica)
            && matches!(progress.mode, Mode::Snapshot { .. })
            && self.log.term_at(progress.match_index).is_some()
        {
            progress.restart(progress.match_index + 1, Mode::Replicate);
        }
        self.leadership = Some(leadership);
    }

    fn after_reply(&mut self) {
        self.promote_learner();
        self.advance_commit();
    }

    fn progress_mut(&mut self, replica: ReplicaId) -> Option<&mut Progress> {
        self.leadership.as_mut()?.progress.get_mut(&replica)
    }

    /// Commits the entries that a quorum holds durably.
    pub(super) fn advance_commit(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let span = self.options.span_domains;
        let reached = self.members().quorum_value(span, |voter| {
            if voter == self.id {
                return self.durable_index;
            }
            let progress = leadership.progress.get(&voter);
            progress.map_or(0, |progress| progress.match_index)
        });
        let Some(commit) = reached else {
            return;
        };
        // Entries of earlier terms are committed only together with one of the
        // current term: until then another leader can still overwrite them, even if
        // a majority holds them.
        if commit >= leadership.first_index {
            self.log.advance_commit(commit);
        }
    }

    /// Returns whether a snapshot is being sent to an active replica.
    pub fn is_sending_snapshot(&self) -> bool {
        let Some(leadership) = &self.leadership else {
            return false;
        };
        leadership.progress.iter().any(|(replica, progress)| {
            matches!(progress.mode, Mode::Snapshot { .. }) && self.is_active(*replica)
        })
    }

    /// Sends a snapshot chunk that the host has read.
    pub fn send_chunk(&mut self, request: ChunkRequest, meta: SnapshotMeta, data: Vec<u8>) {
        let chunk = crate::message::Chunk {
            meta,
            broadcast: request.broadcast,
            offset: request.offset,
            data: data.into(),
        };
        self.send_now(request.to, Body::Snapshot(chunk));
    }

    /// Starts a leadership transfer to the active voter with the longest matching log.
    pub fn transfer(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let target = self
            .other_voters()
            .filter(|voter| self.is_active(*voter))
            .max_by_key(|voter| {
                let progress = leadership.progress.get(voter);
                progress.map_or(0, |progress| progress.match_index)
            });
        let deadline_ms = self.now_ms + self.options.election_timeout_ms;
        if let (Some(target), Some(leadership)) = (target, &mut self.leadership) {
            leadership.transfer.get_or_insert(Transfer {
                target,
                deadline_ms,
            });
        }
    }

    /// Hands over the leadership once all entries are committed and the transfer's
    /// target holds them durably, or once this replica has been removed from the
    /// group.
    pub fn finish_transfer(&mut self) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        if self.log.commit() < self.log.last_index() {
            return;
        }
        let removed = self.members().get(self.id).is_none();
        let target = leadership.transfer.map(|transfer| transfer.target);
        let target = target.or_else(|| removed.then(|| self.other_voters().next()).flatten());
        let Some(target) = target else {
            return;
        };
        let caught_up = leadership
            .progress
            .get(&target)
            .is_some_and(|progress| progress.match_index == self.log.last_index());
        if caught_up || removed {
            // The target campaigns without waiting for the lease to expire, so the
            // leadership and the lease end before the request is emitted.
            self.send_now(target, Body::TimeoutNow);
            self.become_follower(self.term, None);
        }
    }
}

fn snapshot_mode(index: u64) -> Mode {
    Mode::Snapshot {
        index,
        offset: 0,
        sent_ms: None,
    }
}

/// Moves to the requested offset unless the reply repeats the current one.
fn continue_snapshot(progress: &mut Progress, reply_index: u64, next: u64) {
    if let Mode::Snapshot {
        index,
        offset,
        sent_ms,
    } = &mut progress.mode
        && *index == reply_index
        && *offset != next
    {
        *offset = next;
        *sent_ms = None;
    }
}
