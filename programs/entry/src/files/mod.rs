//! Files and batch jobs of the callers' API.
//!
//! Uploads are split into chunks while they arrive, so that a file of any
//! allowed size takes bounded memory. Everything is stored through the control
//! client; nothing is kept on the entry VM.

mod batches;
mod content;
mod line;
mod route;
mod splitter;
mod upload;

use std::{sync, time};

use bw_client::control;
use bw_wire::{name, refusal, verdict};

pub use route::{Call, Route};

/// Limits of uploads.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest file, in bytes.
    pub file_bytes: u64,
    /// Largest line of a batch file, in bytes.
    pub line_bytes: usize,
    /// Most items in a file.
    pub items: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            file_bytes: 512 * 1024 * 1024,
            line_bytes: 1024 * 1024,
            items: 400_000,
        }
    }
}

/// Builds a [`Store`].
pub struct Builder {
    client: control::Client,
    groups: u32,
    limits: Limits,
}

impl Builder {
    /// Starts from the control client and the number of work groups.
    pub fn new(client: control::Client, groups: u32) -> Builder {
        Builder {
            client,
            groups,
            limits: Limits::default(),
        }
    }

    /// Sets the limits of uploads.
    pub fn limits(mut self, limits: Limits) -> Builder {
        self.limits = limits;
        self
    }

    /// Builds the store.
    ///
    /// # Panics
    ///
    /// Panics if the number of work groups is zero.
    pub fn build(self) -> Store {
        assert!(self.groups > 0, "at least one work group is needed");
        Store {
            inner: sync::Arc::new(Inner {
                client: self.client,
                groups: self.groups,
                limits: self.limits,
            }),
        }
    }
}

/// Files and jobs in the control replicas. Clones share one store.
#[derive(Clone)]
pub struct Store {
    inner: sync::Arc<Inner>,
}

struct Inner {
    client: control::Client,
    groups: u32,
    limits: Limits,
}

/// Turns a failure of the control client into a refusal.
fn unavailable(error: &control::Error) -> refusal::Refusal {
    let reason = refusal::Reason::ControlUnavailable;
    let message = format!("the control replicas did not answer: {}", error.message);
    match error.verdict {
        verdict::Verdict::NotRun => refusal::Refusal::not_run(reason, message),
        verdict::Verdict::MayHaveRun => refusal::Refusal::may_have_run(reason, message),
    }
}

/// Turns an answer of another type than asked for into a refusal.
fn unexpected(what: &impl std::fmt::Debug) -> refusal::Refusal {
    let message = format!("unexpected reply of the control replicas: {what:?}");
    refusal::Refusal::may_have_run(refusal::Reason::Internal, message)
}

/// Refuses a call that found the storage full. The store took nothing in.
fn full() -> refusal::Refusal {
    let message = "the storage for batch files and idempotency keys is full";
    refusal::Refusal::not_run(refusal::Reason::StorageFull, message)
}

fn not_found(kind: &str, id: &str) -> refusal::Refusal {
    let message = format!("no {kind} {id:?} exists");
    refusal::Refusal::not_run(refusal::Reason::NotFound, message)
}

/// Finds the work group of an id.
fn group_of(store: &Store, kind: &str, id: &name::Name) -> Result<u32, refusal::Refusal> {
    bw_wire::id::group(id)
        .filter(|group| (1..=store.inner.groups).contains(group))
        .ok_or_else(|| not_found(kind, id))
}

/// Returns a new unique part for an id; later ids sort after earlier ones.
fn unique() -> String {
    ulid::Ulid::new().to_string()
}

/// Returns the group of an idempotency key of a team.
fn group_of_key(groups: u32, team: &str, key: &str) -> u32 {
    bw_wire::id::group_for(format!("{team}\n{key}").as_bytes(), groups)
}

fn seconds(ms: u64) -> u64 {
    time::Duration::from_millis(ms).as_secs()
}
