//! The files and batches API.
//!
//! Uploads are split into chunks while they arrive, so that a file of any allowed size
//! takes bounded memory. All data is stored in the control replicas; the entry VM
//! keeps none.

mod batches;
mod content;
mod line;
mod route;
mod splitter;
mod upload;

use std::{sync, time};

use bw_client::control;
use bw_wire::{name, refusal};

pub use route::{Call, Route};

/// Limits of uploads.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum size of a file, in bytes.
    pub file_bytes: u64,
    /// Maximum length of a line of a batch file, in bytes. A longer line becomes an item
    /// that has failed.
    pub line_bytes: usize,
    /// Maximum number of items in a file.
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

/// Access to the files and jobs in the control replicas. Clones share one store.
#[derive(Clone)]
pub struct Store {
    inner: sync::Arc<Inner>,
}

struct Inner {
    client: control::Client,
    groups: u32,
    limits: Limits,
}

/// Converts an error of the control client into a refusal.
fn unavailable(error: &control::Error) -> refusal::Refusal {
    unavailable_before_running(error).join(error.verdict)
}

/// Converts an error of the control client into the refusal of a request that has not run,
/// whether or not control executed the call.
fn unavailable_before_running(error: &control::Error) -> refusal::Refusal {
    let message = format!("the control replicas did not answer: {}", error.message);
    refusal::Refusal::not_run(refusal::Reason::ControlUnavailable, message)
}

/// Converts a reply of an unexpected type into a refusal.
fn unexpected_reply(reply: &impl std::fmt::Debug) -> refusal::Refusal {
    let message = format!("unexpected reply of the control replicas: {reply:?}");
    refusal::Refusal::may_have_run(refusal::Reason::Internal, message)
}

/// Returns the refusal of a call that found the storage full and stored nothing.
fn storage_full() -> refusal::Refusal {
    let message = "the storage for batch files and idempotency keys is full";
    refusal::Refusal::not_run(refusal::Reason::StorageFull, message)
}

fn not_found(kind: &str, id: &str) -> refusal::Refusal {
    let message = format!("no {kind} {id:?} exists");
    refusal::Refusal::not_run(refusal::Reason::NotFound, message)
}

/// Returns the work group that an id names. An id without a valid group is refused as
/// not found.
fn group_of(store: &Store, kind: &str, id: &name::Name) -> Result<u32, refusal::Refusal> {
    bw_wire::id::group(id)
        .filter(|group| (1..=store.inner.groups).contains(group))
        .ok_or_else(|| not_found(kind, id))
}

/// Returns a new unique suffix for an id. Later suffixes sort after earlier ones.
fn unique_suffix() -> String {
    ulid::Ulid::new().to_string()
}

/// Returns the work group that stores an idempotency key of a team.
fn group_of_key(groups: u32, team: &str, key: &str) -> u32 {
    bw_wire::id::group_for(format!("{team}\n{key}").as_bytes(), groups)
}

fn seconds(ms: u64) -> u64 {
    time::Duration::from_millis(ms).as_secs()
}
