//! Calls that wait for the replicated log.

use std::collections;

use bw_wire::{command, member, query, sync};

use crate::{core::periodic, network::call};

/// What to do with the result of a ticket.
pub(crate) enum Waiting {
    Propose(call::Reply<command::Reply>),
    Query {
        group: u32,
        query: query::Query,
        reply: call::Reply<query::Answer>,
    },
    Sync {
        request: Box<sync::Request>,
        reply: call::Reply<sync::Response>,
    },
    InForce {
        revision: u64,
        reply: call::Reply<bw_wire::rpc::InForce>,
    },
    Backup {
        group: u32,
        reply: call::Reply<bw_wire::rpc::Piece>,
    },
    Members {
        change: member::Change,
        reply: call::Reply<Vec<member::Member>>,
    },
    /// An order of placement, which is sent once it has a fencing token.
    Order(periodic::PendingOrder),
    /// A proposal of this replica itself, whose result is not used.
    Internal,
}

/// Waiting calls by ticket.
#[derive(Default)]
pub(crate) struct Tickets {
    last: u64,
    waiting: collections::HashMap<u64, Waiting>,
}

impl Tickets {
    /// Stores a call and returns its new ticket.
    pub(crate) fn add(&mut self, waiting: Waiting) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, waiting);
        self.last
    }

    /// Removes and returns the call of a ticket.
    pub(crate) fn take(&mut self, ticket: u64) -> Option<Waiting> {
        self.waiting.remove(&ticket)
    }
}
