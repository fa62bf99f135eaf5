//! Snapshots of the configuration and the fleet, which the control thread
//! publishes for the traffic threads, and the configuration lease.

use std::{
    collections,
    sync::{self, atomic},
};

use bw_wire::{intent, name, sync as wire_sync};

/// An immutable copy of the configuration and of the known entry VMs.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision of the configuration; 0 without one.
    pub revision: u64,
    /// The configuration that operators declared.
    pub intent: sync::Arc<intent::Intent>,
    /// Other entry VMs in the leader's current list, one item per process.
    pub peers: Vec<wire_sync::Peer>,
    /// Entry VMs that were in the leader's list and are no longer.
    pub absent: sync::Arc<collections::BTreeMap<name::Name, Absence>>,
    /// The entry VM that dispatches batch work to each backend server.
    pub owners: sync::Arc<collections::BTreeMap<name::Name, name::Name>>,
}

/// An entry VM that is no longer in the leader's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Absence {
    /// The latest incarnation that was listed.
    pub incarnation: u64,
    /// When it was first missing, in milliseconds of the process clock.
    pub since_ms: u64,
}

/// Time after which an entry VM that is no longer listed counts as gone, in
/// milliseconds. By then its lease has ended and the outcomes of its running
/// requests had time to be recorded.
const GONE_AFTER_MS: u64 = 10_000;

impl Snapshot {
    /// Returns whether a process of an entry VM, given by its incarnation, is gone.
    ///
    /// Control lists an earlier process together with the later one until the
    /// lease of the earlier one has ended. This snapshot may be older than the
    /// process asked for, so that an incarnation later than all that were listed
    /// is not gone.
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
            absence.incarnation >= incarnation && absent_ms > GONE_AFTER_MS
        })
    }
}

/// Holds the current snapshot.
///
/// The lock is held only to swap or clone a pointer, so that readers do not wait
/// while the control thread builds a snapshot.
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
        // The old snapshot may be large: it is freed outside the lock.
        drop(previous);
    }
}

/// The configuration lease. New work is admitted only while the lease is valid.
#[derive(Debug, Default)]
pub struct Lease {
    until_ms: atomic::AtomicU64,
}

impl Lease {
    /// Extends the lease to a time of the process clock. An earlier time has no
    /// effect: a late response to an early `sync` does not shorten the lease.
    pub fn extend(&self, until_ms: u64) {
        self.until_ms.fetch_max(until_ms, atomic::Ordering::AcqRel);
    }

    /// Ends the lease at once.
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
