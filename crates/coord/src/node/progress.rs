//! The leader's view of the replication to another replica.

use std::collections::VecDeque;

use crate::message::Broadcast;

/// Maximum number of unacknowledged appends to one replica.
const MAX_INFLIGHT_APPENDS: usize = 256;

/// How entries are sent to a replica.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    /// Empty appends are sent to find the last matching entry.
    Probe,
    /// Entries are sent without waiting for replies.
    Replicate,
    /// A snapshot is sent, because the replica lacks entries that are no longer in
    /// memory.
    Snapshot {
        /// The last index that the snapshot covers.
        index: u64,
        /// The offset of the next byte to send.
        offset: u64,
        /// When the chunk at that offset was last sent, if it was.
        sent_ms: Option<u64>,
    },
}

/// The state of replication to one replica.
#[derive(Debug)]
pub(crate) struct Progress {
    /// The last index that the replica is known to hold durably.
    pub match_index: u64,
    /// The index of the next entry to send.
    pub next_index: u64,
    pub mode: Mode,
    /// When the last reply arrived, by the leader's clock.
    pub last_contact_ms: u64,
    /// The latest broadcast that the replica answered.
    pub last_answered: Option<Broadcast>,
    inflight: VecDeque<Inflight>,
    inflight_bytes: u64,
}

#[derive(Debug)]
struct Inflight {
    last_index: u64,
    bytes: u64,
}

impl Progress {
    pub fn new(next_index: u64, now_ms: u64) -> Progress {
        Progress {
            match_index: 0,
            next_index,
            mode: Mode::Replicate,
            last_contact_ms: now_ms,
            last_answered: None,
            inflight: VecDeque::new(),
            inflight_bytes: 0,
        }
    }

    /// Records a reply of any kind to a broadcast.
    pub fn record_reply(&mut self, broadcast: Broadcast, now_ms: u64) {
        self.last_contact_ms = now_ms;
        let latest = self.last_answered.get_or_insert(broadcast);
        latest.round = latest.round.max(broadcast.round);
        latest.sent_ms = latest.sent_ms.max(broadcast.sent_ms);
    }

    /// Returns whether more entries may be sent.
    pub fn has_room(&self, max_bytes: u64) -> bool {
        self.mode == Mode::Replicate
            && self.inflight_bytes < max_bytes
            && self.inflight.len() < MAX_INFLIGHT_APPENDS
    }

    /// Records that entries up to an index were sent.
    pub fn record_sent(&mut self, last_index: u64, bytes: u64) {
        self.next_index = last_index + 1;
        self.inflight_bytes += bytes;
        self.inflight.push_back(Inflight { last_index, bytes });
    }

    /// Records that the replica durably holds the log up to an index.
    pub fn record_accepted(&mut self, match_index: u64) {
        self.match_index = self.match_index.max(match_index);
        self.next_index = self.next_index.max(self.match_index + 1);
        while let Some(oldest) = self.inflight.front() {
            if oldest.last_index > self.match_index {
                break;
            }
            self.inflight_bytes -= oldest.bytes;
            self.inflight.pop_front();
        }
        if self.mode == Mode::Probe {
            self.mode = Mode::Replicate;
        }
    }

    /// Moves back after a rejected append. Returns false for a stale rejection, which
    /// changes nothing.
    pub fn record_rejected(&mut self, prev_index: u64, hint_index: u64) -> bool {
        let current = match self.mode {
            Mode::Probe => prev_index + 1 == self.next_index,
            Mode::Replicate => prev_index < self.next_index,
            Mode::Snapshot { .. } => false,
        };
        // A rejection of an acknowledged entry is stale, or the replica lost its disk
        // and must not be counted any more. In both cases there is nothing to retry.
        if !current || prev_index <= self.match_index {
            return false;
        }
        let next = hint_index.min(prev_index.saturating_sub(1)) + 1;
        self.restart(next.max(self.match_index + 1), Mode::Probe);
        true
    }

    /// Drops the state of unacknowledged appends and continues at the given
    /// index and in the given mode.
    pub fn restart(&mut self, next_index: u64, mode: Mode) {
        self.next_index = next_index;
        self.mode = mode;
        self.inflight.clear();
        self.inflight_bytes = 0;
    }
}
