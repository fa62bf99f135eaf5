//! The follower: appends and snapshots from the leader.

use crate::{
    ReplicaId,
    message::{
        Append, AppendOutcome, AppendReply, Body, Broadcast, Chunk, ChunkProgress, ChunkReply,
        Entry, SnapshotMeta,
    },
    node::{Install, Node, PayloadEvent, Role},
    wal::Record,
};

/// A snapshot that is being received.
#[derive(Debug)]
pub(super) struct Incoming {
    meta: SnapshotMeta,
    /// The state and the list of payloads, as far as received.
    data: Vec<u8>,
    /// Number of bytes of the stream that have been received. The payload contents
    /// are passed to the host and not kept in `data`.
    received: u64,
    /// Whether `data` is complete and its checksum is correct.
    data_complete: bool,
    /// The sender of the last chunk and its broadcast, until the chunk is answered.
    pending_reply: Option<(ReplicaId, Broadcast)>,
}

impl Incoming {
    fn is_valid(&self) -> bool {
        self.data.len() as u64 == self.meta.size && crc32fast::hash(&self.data) == self.meta.crc
    }
}

impl Node {
    /// Tells the sender of a message from an older term about the current term.
    pub(super) fn reply_stale_term(&mut self, to: ReplicaId, body: &Body) {
        let (broadcast, prev_index) = match body {
            Body::Append(append) => (append.broadcast, append.prev_index),
            Body::Snapshot(chunk) => (chunk.broadcast, chunk.meta.index),
            _ => return,
        };
        let hint_index = self.log.commit();
        self.reply_append(
            to,
            broadcast,
            AppendOutcome::Rejected {
                prev_index,
                hint_index,
            },
        );
    }

    /// Records contact with the leader of the current term. Returns false if this
    /// replica leads that term itself: a term has one leader, so the message is
    /// invalid.
    fn record_leader_contact(&mut self, from: ReplicaId) -> bool {
        if self.role == Role::Leader {
            ::log::error!(
                "group {}: replica {from} also claims to lead term {}",
                self.group,
                self.term
            );
            return false;
        }
        if self.leader != Some(from) || self.role == Role::Candidate {
            self.become_follower(self.term, Some(from));
        }
        self.leader_contact_ms = self.now_ms;
        self.refuse_votes_until_ms = self
            .refuse_votes_until_ms
            .max(self.now_ms + self.options.election_timeout_ms);
        self.reset_election_timer();
        true
    }

    pub(super) fn on_append(&mut self, from: ReplicaId, append: Append) {
        if !self.record_leader_contact(from) {
            return;
        }
        let broadcast = append.broadcast;
        let outcome = self.accept(append);
        match outcome {
            AppendOutcome::Accepted { match_index } if self.replies_during_sync() => {
                self.reply_durable(from, broadcast, match_index);
                self.reply_append(from, broadcast, outcome);
            }
            // A rejection does not depend on anything that must be durable first.
            AppendOutcome::Rejected { .. } if self.replies_during_sync() => {
                self.send_now(from, Body::AppendReply(AppendReply { broadcast, outcome }));
            }
            AppendOutcome::Accepted { .. } | AppendOutcome::Rejected { .. } => {
                self.reply_append(from, broadcast, outcome);
            }
        }
    }

    /// Returns whether a sync is running during which the leader is answered. A sync
    /// may take longer than an election timeout, and a leader without replies for
    /// that long steps down. Every reply implies that the term and the vote are
    /// durable, so none is sent early while these are being synced.
    fn replies_during_sync(&self) -> bool {
        self.syncing && !self.syncing_vote && !self.vote_changed
    }

    /// Acknowledges the part of an append that is already durable.
    fn reply_durable(&mut self, to: ReplicaId, broadcast: Broadcast, match_index: u64) {
        let match_index = match_index.min(self.durable_index);
        let outcome = AppendOutcome::Accepted { match_index };
        self.send_now(to, Body::AppendReply(AppendReply { broadcast, outcome }));
    }

    fn reply_append(&mut self, to: ReplicaId, broadcast: Broadcast, outcome: AppendOutcome) {
        self.send_after_sync(to, Body::AppendReply(AppendReply { broadcast, outcome }));
    }

    fn accept(&mut self, append: Append) -> AppendOutcome {
        let commit = self.log.commit();
        let prev_index = append.prev_index;
        // Committed entries match the leader's, even if they are compacted here.
        let matches =
            prev_index <= commit || self.log.term_at(prev_index) == Some(append.prev_term);
        let contiguous = append
            .entries
            .iter()
            .zip(prev_index + 1..)
            .all(|(entry, index)| entry.index == index);
        if !matches || !contiguous {
            return AppendOutcome::Rejected {
                prev_index,
                hint_index: self.conflict_hint(prev_index),
            };
        }
        let match_index = commit.max(prev_index + append.entries.len() as u64);
        for entry in append.entries {
            self.accept_entry(entry);
        }
        self.log.advance_commit(append.commit.min(match_index));
        AppendOutcome::Accepted { match_index }
    }

    fn accept_entry(&mut self, entry: Entry) {
        if entry.index <= self.log.commit() {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate(entry.index),
            None => {}
        }
        self.append(entry);
    }

    fn truncate(&mut self, from: u64) {
        self.log.truncate(from);
        self.members.truncate(from);
        self.durable_index = self.durable_index.min(from - 1);
        self.syncing_index = self.syncing_index.min(from - 1);
        self.members_changed();
    }

    /// Returns the last index that may match the leader's log, for the rejection of an
    /// append after `prev_index`.
    fn conflict_hint(&self, prev_index: u64) -> u64 {
        let last_index = self.log.last_index();
        if prev_index > last_index {
            return last_index;
        }
        let before_term = self.log.term_start(prev_index) - 1;
        before_term.max(self.log.commit())
    }

    pub(super) fn on_chunk(&mut self, from: ReplicaId, chunk: Chunk) {
        if !self.record_leader_contact(from) {
            return;
        }
        let meta = &chunk.meta;
        let broadcast = chunk.broadcast;
        let index = meta.index;
        if self.log.term_at(index) == Some(meta.term) {
            // The log already holds the entries up to the snapshot, and they match
            // the leader's.
            self.log.advance_commit(index);
        }
        let commit = self.log.commit();
        if index <= commit {
            if self.incoming.take().is_some() {
                self.out.payload_events.push(PayloadEvent::Abort);
            }
            self.reply_chunk(
                from,
                broadcast,
                index,
                ChunkProgress::Installed { index: commit },
            );
            return;
        }
        if !self.add_chunk(chunk) {
            ::log::error!(
                "group {}: snapshot {index} from replica {from} is corrupt",
                self.group
            );
            return self.reject_snapshot();
        }
        let Some(incoming) = &mut self.incoming else {
            return;
        };
        if incoming.data_complete {
            // The host stores the payloads before the chunk is answered. It may have
            // some of them already and then asks for a later offset.
            incoming.pending_reply = Some((from, broadcast));
            return;
        }
        let offset = incoming.received;
        self.reply_chunk(from, broadcast, index, ChunkProgress::Next { offset });
    }

    /// Continues the snapshot that is being received, of which the host holds the
    /// payload contents up to a position.
    pub fn payloads_stored(&mut self, position: u64) {
        let incoming = self.incoming.as_mut();
        let Some(incoming) = incoming.filter(|incoming| incoming.data_complete) else {
            return;
        };
        let offset = incoming.meta.size + position;
        incoming.received = offset;
        let Some((from, broadcast)) = incoming.pending_reply.take() else {
            return;
        };
        let index = incoming.meta.index;
        if offset < incoming.meta.stream_size() {
            self.reply_chunk(from, broadcast, index, ChunkProgress::Next { offset });
        } else {
            self.complete_snapshot(from, broadcast);
        }
    }

    /// Adds a chunk if it is the next one. Returns false if the state or the list of
    /// payloads is corrupt.
    fn add_chunk(&mut self, chunk: Chunk) -> bool {
        let incoming = match &mut self.incoming {
            Some(incoming) if incoming.meta == chunk.meta => incoming,
            other => other.insert(Incoming {
                meta: chunk.meta,
                data: Vec::new(),
                received: 0,
                data_complete: false,
                pending_reply: None,
            }),
        };
        if chunk.offset != incoming.received {
            return true;
        }
        incoming.received += chunk.data.len() as u64;
        let missing = incoming.meta.size - incoming.data.len() as u64;
        let missing = usize::try_from(missing).unwrap_or(usize::MAX);
        let (data, contents) = chunk.data.split_at(missing.min(chunk.data.len()));
        incoming.data.extend_from_slice(data);
        if !incoming.data_complete && incoming.data.len() as u64 == incoming.meta.size {
            let list = incoming.data.get(incoming.meta.state_size as usize..);
            let Some(list) = list.filter(|_| incoming.is_valid()) else {
                return false;
            };
            incoming.data_complete = true;
            self.out.payload_events.push(PayloadEvent::Start {
                list: list.to_vec(),
            });
        }
        if !contents.is_empty() {
            self.out
                .payload_events
                .push(PayloadEvent::Data(contents.to_vec()));
        }
        true
    }

    /// Discards the snapshot that is being received. The next chunk restarts it.
    pub fn reject_snapshot(&mut self) {
        self.incoming = None;
        self.out.install = None;
        self.out.payload_events.push(PayloadEvent::Abort);
    }

    fn complete_snapshot(&mut self, from: ReplicaId, broadcast: Broadcast) {
        let Some(Incoming { meta, data, .. }) = self.incoming.take() else {
            return;
        };
        self.out.install = Some(Install {
            meta,
            data,
            from,
            broadcast,
        });
    }

    fn reply_chunk(
        &mut self,
        to: ReplicaId,
        broadcast: Broadcast,
        index: u64,
        progress: ChunkProgress,
    ) {
        let reply = ChunkReply {
            broadcast,
            index,
            progress,
        };
        self.send_after_sync(to, Body::SnapshotReply(reply));
    }

    /// Replaces the log with a snapshot that the host has stored and restored.
    pub fn installed(&mut self, install: &Install) {
        let meta = install.meta.clone();
        let index = meta.index;
        self.members = crate::member::History::new(index, meta.members.clone());
        // This record supersedes entries that were appended earlier in this step.
        self.out.records.push(Record::Reset {
            index,
            term: meta.term,
        });
        self.durable_index = index;
        self.syncing_index = index;
        self.log.reset(meta);
        self.members_changed();
        let progress = ChunkProgress::Installed { index };
        self.reply_chunk(install.from, install.broadcast, index, progress);
    }
}
