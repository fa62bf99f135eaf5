//! What the control thread publishes for the traffic threads.

use std::{
    collections,
    sync::{self, atomic},
};

use bw_wire::{intent, name, sync as wire_sync};

/// An immutable view of the configuration and the fleet.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The revision in force; 0 when there is none yet.
    pub revision: u64,
    /// The configuration.
    pub intent: sync::Arc<intent::Intent>,
    /// Other entry VMs.
    pub peers: Vec<wire_sync::Peer>,
    /// Entry VMs that are no longer listed.
    pub absent: sync::Arc<collections::BTreeMap<name::Name, Absence>>,
    /// The entry VM that owns each backend server's batch work.
    pub owners: sync::Arc<collections::BTreeMap<name::Name, name::Name>>,
}

/// An entry VM that is no longer listed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Absence {
    /// The incarnation that was listed last.
    pub incarnation: u64,
    /// When it was first missing, on the process clock.
    pub since_ms: u64,
}

/// Time after which an entry VM that is no longer listed counts as gone: its
/// lease has ended and its running requests have had time to be recorded.
const GONE_MS: u64 = 10_000;

impl Snapshot {
    /// Returns whether an incarnation of an entry VM is gone.
    ///
    /// Control lists an earlier process beside the later one until its lease has
    /// ended, and this snapshot may be older than the incarnation. An incarnation
    /// that is later than all that were listed is therefore not gone.
    pub fn is_gone(&self, entry: &str, incarnation: u64, now_ms: u64) -> bool {
        let peers = self.peers.iter();
        let mut listed = peers
            .filter(|peer| peer.entry.as_str() == entry)
            .map(|peer| peer.incarnation)
            .peekable();
        if listed.peek().is_some() {
            return listed.all(|listed| listed > incarnation);
        }
        let absence = self.absent.get(entry);
        absence.is_some_and(|absence| {
            let absent_ms = now_ms.saturating_sub(absence.since_ms);
            absence.incarnation >= incarnation && absent_ms > GONE_MS
        })
    }
}

/// Holds the current snapshot.
///
/// The lock is held only to swap or clone a pointer, so readers do not wait
/// for the control thread's work.
#[derive(Debug, Default)]
pub struct Cell {
    current: sync::RwLock<sync::Arc<Snapshot>>,
}

impl Cell {
    /// Returns the current snapshot.
    pub fn load(&self) -> sync::Arc<Snapshot> {
        let current = self.current.read();
        sync::Arc::clone(&current.unwrap_or_else(sync::PoisonError::into_inner))
    }

    /// Replaces the snapshot.
    pub fn store(&self, snapshot: Snapshot) {
        let next = sync::Arc::new(snapshot);
        let mut current = self
            .current
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let previous = std::mem::replace(&mut *current, next);
        drop(current);
        // Freed outside the lock.
        drop(previous);
    }
}

/// The configuration lease. New work is admitted only while it is valid.
#[derive(Debug, Default)]
pub struct Lease {
    until_ms: atomic::AtomicU64,
}

impl Lease {
    /// Extends the lease to a time of the process clock. It never shrinks,
    /// because a late answer to an early `sync` says nothing new.
    pub fn extend(&self, until_ms: u64) {
        self.until_ms.fetch_max(until_ms, atomic::Ordering::AcqRel);
    }

    /// Ends the lease.
    pub fn end(&self) {
        self.until_ms.store(0, atomic::Ordering::Release);
    }

    /// Returns how long the lease is still valid, in milliseconds.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        let until_ms = self.until_ms.load(atomic::Ordering::Acquire);
        until_ms.saturating_sub(now_ms)
    }

    /// Returns whether the lease is valid.
    pub fn is_valid(&self, now_ms: u64) -> bool {
        self.remaining_ms(now_ms) > 0
    }
}
