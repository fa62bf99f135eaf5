//! Calls to the work groups.

use bw_client::control;
use bw_wire::{command::work, name, query};

/// The result of a call to a work group.
pub(super) enum Answered {
    /// The work that can be taken, if known.
    Backlog {
        group: u32,
        backlog: Option<query::Backlog>,
    },
    /// Leased chunks.
    Taken {
        group: u32,
        sent_ms: u64,
        leases: Vec<work::Lease>,
    },
    /// Renewed leases, and those that are lost.
    Renewed {
        group: u32,
        sent_ms: u64,
        chunks: Vec<work::ChunkRef>,
        lost: Option<Vec<work::ChunkRef>>,
    },
    /// Recorded outcomes.
    Recorded {
        chunk: work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        reply: Option<work::Reply>,
    },
    /// Leases given back.
    Released,
}

/// Calls the work groups in the name of one holder.
#[derive(Clone)]
pub(super) struct Remote {
    pub(super) client: control::Client,
    pub(super) holder: name::Name,
    pub(super) lease_ms: u64,
}

impl Remote {
    /// Asks how much work waits. A query costs no log entry, unlike a lease of
    /// nothing.
    pub(super) async fn backlog(self, group: u32) -> Answered {
        let backlog = match self.client.query(group, query::Query::Backlog).await {
            Ok(query::Answer::Backlog(backlog)) => Some(backlog),
            Ok(_) => None,
            Err(error) => {
                log::debug!(group; "backlog not known: {error}");
                None
            }
        };
        Answered::Backlog { group, backlog }
    }

    pub(super) async fn take(
        self,
        group: u32,
        want: u32,
        models: Vec<name::Name>,
        sent_ms: u64,
    ) -> Answered {
        let command = work::Command::Take {
            holder: self.holder,
            want,
            lease_ms: self.lease_ms,
            models,
        };
        let leases = match self.client.work(group, command).await {
            Ok(work::Reply::Taken { leases }) => leases,
            Ok(_) => Vec::new(),
            Err(error) => {
                log::warn!(group; "no chunks leased: {error}");
                Vec::new()
            }
        };
        Answered::Taken {
            group,
            sent_ms,
            leases,
        }
    }

    pub(super) async fn renew(
        self,
        group: u32,
        chunks: Vec<work::ChunkRef>,
        sent_ms: u64,
    ) -> Answered {
        let command = work::Command::Renew {
            holder: self.holder,
            chunks: chunks.clone(),
            lease_ms: self.lease_ms,
        };
        let lost = match self.client.work(group, command).await {
            Ok(work::Reply::Renewed { lost }) => Some(lost),
            Ok(_) => None,
            Err(error) => {
                log::warn!(group; "chunk leases not renewed: {error}");
                None
            }
        };
        Answered::Renewed {
            group,
            sent_ms,
            chunks,
            lost,
        }
    }

    pub(super) async fn record(
        self,
        group: u32,
        chunk: work::ChunkRef,
        outcomes: Vec<work::Outcome>,
    ) -> Answered {
        let command = work::Command::Record {
            chunk: chunk.clone(),
            outcomes: outcomes.clone(),
        };
        let reply = match self.client.work(group, command).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::warn!(group; "outcomes not recorded, they are sent again: {error}");
                None
            }
        };
        Answered::Recorded {
            chunk,
            outcomes,
            reply,
        }
    }

    pub(super) async fn release(self, group: u32, chunks: Vec<work::ChunkRef>) -> Answered {
        let command = work::Command::Release {
            holder: self.holder,
            chunks,
        };
        if let Err(error) = self.client.work(group, command).await {
            // They expire.
            log::warn!(group; "chunk leases not given back: {error}");
        }
        Answered::Released
    }
}
