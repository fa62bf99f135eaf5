//! Commands of the log and what they carry.

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

use super::total;
use crate::{registry, route, unix_time};

/// A configuration with the bytes that an operator sent, which are read back.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The configuration.
    pub config: route::Config,
    /// The document as it was sent.
    pub document: Vec<u8>,
}

/// An item as a caller submits it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NewItem {
    /// The id, which becomes the request id at the backend server.
    pub id: Name,
    /// The path with its query.
    pub path: Name,
    /// The headers that the item is sent with.
    pub headers: Vec<(Name, Name)>,
    /// The body.
    pub body: Vec<u8>,
    /// Tokens of the prompt and of the longest output, as the caller states them.
    pub tokens: u64,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NewJob {
    /// The id; a repeated submission has the same one.
    pub id: Name,
    /// The key of its route.
    pub route: route::Key,
    /// When it was received, in Unix milliseconds; [`Command::submit`] replaces it.
    pub submitted_ms: u64,
    /// When its results are due, in milliseconds after its submission.
    pub complete_ms: u64,
    /// When its items may be given up, in milliseconds after its submission.
    pub give_up_ms: u64,
    /// Failed runs after which an item is given up.
    pub attempts: u32,
    /// The items.
    pub items: Vec<NewItem>,
}

impl NewJob {
    /// Returns the tokens of all items.
    pub fn tokens(&self) -> u64 {
        total(self.items.iter().map(|item| item.tokens))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// It has its whole output.
    Completed,
    /// It was given up.
    GivenUp,
}

/// The data of consecutive events of an item's output.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// The number of the event before the first one.
    pub after: u64,
    /// The data of each event.
    pub data: Vec<String>,
}

/// A command of the log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Publishes a configuration unless a newer one is in force.
    Publish(Box<Published>),
    /// Accepts a job unless it is known or its route has no room for it.
    Submit(Box<NewJob>),
    /// Stores a part of an item's output, so that a new leader goes on after it.
    Save {
        /// The job.
        job: Name,
        /// The item's index.
        item: u32,
        /// The output.
        output: Output,
    },
    /// Lists an item, unless it is listed.
    Record {
        /// The job.
        job: Name,
        /// The item's index.
        item: u32,
        /// How it ended.
        end: End,
        /// The rest of the output of a completed item.
        output: Output,
    },
    /// Counts a failed run of an item, so that a new leader does not begin to count
    /// anew.
    Fail {
        /// The job.
        job: Name,
        /// The item's index.
        item: u32,
    },
    /// Stores the state of a backend server, so that a new leader knows it.
    Announce {
        /// Its announcement.
        announcement: registry::Announcement,
        /// When it was announced, in Unix milliseconds.
        now_ms: u64,
    },
    /// Ends a job.
    End {
        /// The job.
        job: Name,
    },
    /// Notes that a VM is to be emptied.
    Evacuate {
        /// The VM.
        node: Name,
    },
    /// Forgets closed jobs that were submitted, and backend servers that left,
    /// before a time.
    Sweep {
        /// Unix milliseconds.
        before_ms: u64,
    },
    /// Registers a VM that can be evacuated, so that it stays known while it is not
    /// connected.
    Register {
        /// The VM.
        node: Name,
    },
}

impl Command {
    /// Returns the command that accepts a job, which is dated `now_ms`, Unix time of
    /// the leader: what is owed for a time is counted on one clock.
    pub fn submit(job: NewJob, now_ms: u64) -> Command {
        Command::Submit(Box::new(NewJob {
            submitted_ms: now_ms,
            ..job
        }))
    }

    /// Returns the command that forgets closed jobs once they were readable for a
    /// time. `now_ms` is Unix time.
    pub fn sweep(now_ms: u64, retention_ms: u64) -> Command {
        let before_ms = now_ms.saturating_sub(retention_ms.saturating_add(unix_time::MAX_SKEW_MS));
        Command::Sweep { before_ms }
    }
}

/// The result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The command had its effect or had it before.
    Done,
    /// A newer configuration is in force, or the job is unknown.
    Superseded,
    /// The job does not fit beside what waits on its route.
    Full {
        /// Tokens that wait.
        waiting: u64,
        /// Most tokens that may wait.
        limit: u64,
    },
}
