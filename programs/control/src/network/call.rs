//! Calls from the network to the control thread.

use std::sync::mpsc;

use jsonrpsee::types;
use tokio::sync::oneshot;

use bw_coord::{ReplicaId, message};
use bw_wire::{command, member, name, query, rpc, sync};

use crate::metrics;

/// The channel that returns the answer to a call.
pub(crate) type Reply<T> = oneshot::Sender<Result<T, Failure>>;

/// An event for the control thread.
pub(crate) enum Call {
    Raft {
        from: ReplicaId,
        messages: Vec<message::Envelope>,
    },
    Propose {
        group: u32,
        command: Box<command::Command>,
        reply: Reply<command::Reply>,
    },
    Query {
        group: u32,
        query: query::Query,
        reply: Reply<query::Answer>,
    },
    Sync {
        request: Box<sync::Request>,
        reply: Reply<sync::Response>,
    },
    InForce {
        revision: u64,
        reply: Reply<rpc::InForce>,
    },
    Members {
        change: member::Change,
        reply: Reply<Vec<member::Member>>,
    },
    Status {
        reply: Reply<rpc::Status>,
    },
    Backup {
        request: rpc::Backup,
        reply: Reply<rpc::Piece>,
    },
    /// The outcome of an order to a backend server.
    OrderResult {
        backend: name::Name,
        obeyed: bool,
    },
    /// Transfers leadership to other replicas and ends the control thread.
    Stop,
}

/// Why a call was not answered.
#[derive(Clone, Debug, Eq, PartialEq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(crate) enum Failure {
    /// Another replica leads, or none.
    NotLeader(Option<name::Name>),
    /// The command may have been applied.
    Unknown,
    /// The command was not applied.
    Busy,
    /// The call is malformed or refers to something that does not exist.
    Invalid(String),
}

impl From<Failure> for types::ErrorObjectOwned {
    fn from(failure: Failure) -> Self {
        let reason: &'static str = (&failure).into();
        metrics::REFUSALS.with_label_values(&[reason]).inc();
        match failure {
            Failure::NotLeader(leader) => types::ErrorObject::owned(
                rpc::NOT_LEADER,
                "this replica does not lead the group",
                Some(rpc::Redirect { leader }),
            ),
            Failure::Unknown => types::ErrorObject::owned(
                rpc::OUTCOME_UNKNOWN,
                "leadership was lost; the command may have been applied",
                None::<()>,
            ),
            Failure::Busy => types::ErrorObject::owned(
                rpc::BUSY,
                "too much work is waiting; the command was not applied",
                None::<()>,
            ),
            Failure::Invalid(message) => {
                types::ErrorObject::owned(types::error::INVALID_PARAMS_CODE, message, None::<()>)
            }
        }
    }
}

/// Hands calls to the control thread.
#[derive(Clone)]
pub(crate) struct Caller {
    calls: mpsc::SyncSender<Call>,
}

impl Caller {
    /// Creates a caller and the receiving end of a queue of `capacity` calls.
    pub(crate) fn new(capacity: usize) -> (Caller, mpsc::Receiver<Call>) {
        let (calls, receiver) = mpsc::sync_channel(capacity);
        (Caller { calls }, receiver)
    }

    /// Queues an event without waiting and returns whether the queue had space.
    pub(crate) fn send(&self, call: Call) -> bool {
        self.calls.try_send(call).is_ok()
    }

    /// Sends a call and waits for its answer.
    pub(crate) async fn ask<T>(&self, call: impl FnOnce(Reply<T>) -> Call) -> Result<T, Failure> {
        let (reply, answer) = oneshot::channel();
        if !self.send(call(reply)) {
            return Err(Failure::Busy);
        }
        // The control thread ended before it answered.
        answer.await.unwrap_or(Err(Failure::Unknown))
    }
}
