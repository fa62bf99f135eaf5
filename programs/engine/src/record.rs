//! The record of what ran, for `/debug/executions` and `/debug/orders`.

use std::collections;

use bw_wire::{backend, fingerprint};
use serde::{Deserialize, Serialize};

/// Executions and orders that are kept; older ones are dropped.
const KEPT: usize = 100_000;

/// What became of an execution.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It runs.
    Running,
    /// It ran to its end.
    Finished,
    /// The caller went away before its end.
    Cancelled,
    /// A fault cut it off.
    Cut,
}

/// One execution of a request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Execution {
    /// Counts up from 1.
    pub number: u64,
    /// The request's id.
    pub request_id: String,
    /// The request's idempotency key.
    pub key: Option<String>,
    /// The work class that the entry VM gave, for example `batch`.
    pub class: Option<String>,
    /// The request's path.
    pub path: String,
    /// The fingerprint of the body.
    pub fingerprint: fingerprint::Fingerprint,
    /// The fingerprint of the prompt text, or of a plain service's body. Unlike
    /// `fingerprint` it is the same for a resumed request.
    pub prompt: fingerprint::Fingerprint,
    /// Output tokens that the caller had at the start.
    pub resumed_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Output tokens so far, with resumed ones.
    pub tokens: u32,
    /// What became of it.
    pub outcome: Outcome,
}

/// An order and the status it was answered with.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Ordered {
    /// The order.
    pub order: backend::Order,
    /// The HTTP status of the answer.
    pub status: u16,
}

/// The executions as `/debug/executions` returns them.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Executions {
    /// All executions since the start of the process.
    pub total: u64,
    /// All requests for work since the start, also those refused before they ran.
    pub received: u64,
    /// Executions by idempotency key.
    pub keys: collections::BTreeMap<String, u64>,
    /// The latest executions, oldest first.
    pub executions: collections::VecDeque<Execution>,
}

/// The record of one backend server.
#[derive(Debug, Default)]
pub struct Record {
    executions: Executions,
    orders: collections::VecDeque<Ordered>,
}

impl Record {
    /// Counts a request for work.
    pub fn received(&mut self) {
        self.executions.received += 1;
    }

    /// Adds an execution and returns its number.
    pub fn begin(&mut self, mut execution: Execution) -> u64 {
        let log = &mut self.executions;
        log.total += 1;
        execution.number = log.total;
        if let Some(key) = &execution.key {
            *log.keys.entry(key.clone()).or_default() += 1;
        }
        log.executions.push_back(execution);
        if log.executions.len() > KEPT {
            log.executions.pop_front();
        }
        log.total
    }

    /// Changes an execution, if it is still kept.
    pub fn update(&mut self, number: u64, change: impl FnOnce(&mut Execution)) {
        let log = &mut self.executions.executions;
        let first = log.front().map_or(0, |execution| execution.number);
        let index = number.checked_sub(first).map(|index| index as usize);
        if let Some(execution) = index.and_then(|index| log.get_mut(index)) {
            change(execution);
        }
    }

    /// Adds an order.
    pub fn order(&mut self, order: backend::Order, status: u16) {
        self.orders.push_back(Ordered { order, status });
        if self.orders.len() > KEPT {
            self.orders.pop_front();
        }
    }

    /// Returns the executions.
    pub fn executions(&self) -> &Executions {
        &self.executions
    }

    /// Returns the orders, oldest first.
    pub fn orders(&self) -> &collections::VecDeque<Ordered> {
        &self.orders
    }
}
