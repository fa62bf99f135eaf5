//! Calls to the work groups.

use bw_client::control;
use bw_wire::{command::work, name, query};

/// The result of a call to a work group.
pub(super) enum Response {
    /// The work that can be leased, or `None` if the call failed.
    Backlog {
        group: u32,
        backlog: Option<query::Backlog>,
    },
    /// Newly leased chunks.
    Taken {
        group: u32,
        sent_ms: u64,
        leases: Vec<work::Lease>,
    },
    /// The leases to renew, and those of them that are lost, or `None` if the call
    /// failed.
    Renewed {
        group: u32,
        sent_ms: u64,
        chunks: Vec<work::ChunkRef>,
        lost: Option<Vec<work::ChunkRef>>,
    },
    /// Outcomes to record, and the reply, or `None` if the call failed.
    Recorded {
        chunk: work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        reply: Option<work::Reply>,
    },
    /// Leases were released, or expire if the call failed.
    Released,
}

/// Calls the work groups on behalf of one lease holder.
#[derive(Clone)]
pub(super) struct Remote {
    pub(super) client: control::Client,
    pub(super) holder: name::Name,
    pub(super) lease_ms: u64,
}

impl Remote {
    /// Queries how much work can be leased. Unlike an attempt to lease, a query
    /// appends no entry to the replicated log.
    pub(super) async fn backlog(self, group: u32) -> Response {
        let backlog = match self.client.query(group, query::Query::Backlog).await {
            Ok(query::Answer::Backlog(backlog)) => Some(backlog),
            Ok(_) => None,
            Err(error) => {
                log::debug!(group; "cannot query the backlog: {error}");
                None
            }
        };
        Response::Backlog { group, backlog }
    }

    /// Leases up to `want` chunks with items of the given models.
    pub(super) async fn take(
        self,
        group: u32,
        want: u32,
        models: Vec<name::Name>,
        sent_ms: u64,
    ) -> Response {
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
                log::warn!(group; "cannot lease chunks: {error}");
                Vec::new()
            }
        };
        Response::Taken {
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
    ) -> Response {
        let command = work::Command::Renew {
            holder: self.holder,
            chunks: chunks.clone(),
            lease_ms: self.lease_ms,
        };
        let lost = match self.client.work(group, command).await {
            Ok(work::Reply::Renewed { lost }) => Some(lost),
            Ok(_) => None,
            Err(error) => {
                log::warn!(group; "cannot renew chunk leases: {error}");
                None
            }
        };
        Response::Renewed {
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
    ) -> Response {
        let command = work::Command::Record {
            chunk: chunk.clone(),
            outcomes: outcomes.clone(),
        };
        let reply = match self.client.work(group, command).await {
            Ok(reply) => Some(reply),
            Err(error) => {
                log::warn!(group; "cannot record outcomes, retrying: {error}");
                None
            }
        };
        Response::Recorded {
            chunk,
            outcomes,
            reply,
        }
    }

    pub(super) async fn release(self, group: u32, chunks: Vec<work::ChunkRef>) -> Response {
        let command = work::Command::Release {
            holder: self.holder,
            chunks,
        };
        if let Err(error) = self.client.work(group, command).await {
            log::warn!(group; "cannot release chunk leases, which expire instead: {error}");
        }
        Response::Released
    }
}
