//! Commands of the replicated log and their data.

use bw_wire::name::Name;
use serde::{Deserialize, Serialize};

use super::total;
use crate::{registry, route, suspect::trial, unix_time};

/// A configuration together with the document that an operator sent, so that it can be
/// read back unchanged.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Published {
    /// The configuration that the document describes.
    pub config: route::Config,
    /// The document as it was received.
    pub document: Vec<u8>,
}

/// An item as a caller submits it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NewItem {
    /// The id, which becomes the request id at the backend server.
    pub id: Name,
    /// The path with its query.
    pub path: Name,
    /// The headers of the request to the backend server.
    pub headers: Vec<(Name, Name)>,
    /// The body of the request.
    pub body: Vec<u8>,
    /// Tokens of the prompt and of the longest output, as stated by the caller.
    pub tokens: u64,
}

/// A job as a caller submits it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NewJob {
    /// The id, which makes submissions idempotent: a repeated one has the same id.
    pub id: Name,
    /// The key of its route.
    pub route: route::Key,
    /// When it was submitted, in Unix milliseconds. [`Command::submit`] sets it to the
    /// time of the leader.
    pub submitted_ms: u64,
    /// When its results are due, in milliseconds after its submission.
    pub complete_ms: u64,
    /// When its items may be given up, in milliseconds after its submission.
    pub give_up_ms: u64,
    /// The number of failed runs after which an item is given up. A run is failed if the
    /// backend server itself responded so.
    pub attempts: u32,
    /// The items. Commands name them by their index.
    pub items: Vec<NewItem>,
}

impl NewJob {
    /// Returns the sum of the tokens of all items.
    pub fn tokens(&self) -> u64 {
        total(self.items.iter().map(|item| item.tokens))
    }
}

/// How an item ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum End {
    /// Its output is complete.
    Completed,
    /// It was given up and has no output.
    GivenUp,
}

/// Consecutive events of an item's output.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Output {
    /// The number of the event before the first one; 0 if these are the first events.
    pub after: u64,
    /// The data of each event.
    pub data: Vec<String>,
}

/// A command of the replicated log.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Publishes a configuration unless one with the same or a higher version is in
    /// force.
    Publish(Box<Published>),
    /// Accepts a job unless it is known or does not fit on its route.
    Submit(Box<NewJob>),
    /// Stores a part of an item's output, so that a new leader resumes the item after
    /// it.
    Save {
        /// The id of the job.
        job: Name,
        /// The index of the item in the job.
        item: u32,
        /// The part of the output.
        output: Output,
    },
    /// Records the end of an item and lists it among the results, unless it is listed
    /// already.
    Record {
        /// The id of the job.
        job: Name,
        /// The index of the item in the job.
        item: u32,
        /// Whether its output is complete or it was given up.
        end: End,
        /// The rest of the output of a completed item.
        output: Output,
    },
    /// Counts a failed run of an item, one that the backend server itself responded to have
    /// failed, so that a new leader continues the count.
    Fail {
        /// The id of the job.
        job: Name,
        /// The index of the item in the job.
        item: u32,
    },
    /// Stores the state of a backend server, so that a new leader knows it.
    Announce {
        /// The announcement with the new state.
        announcement: registry::Announcement,
        /// When the leader received it, in Unix milliseconds.
        now_ms: u64,
    },
    /// Ends a job, whether or not its items have ended.
    End {
        /// The id of the job.
        job: Name,
    },
    /// Orders the evacuation of a VM.
    Evacuate {
        /// The name of the VM.
        node: Name,
    },
    /// Removes closed jobs that were submitted before a time, and backend servers whose
    /// leaving was stored before it.
    Sweep {
        /// The time, in Unix milliseconds.
        before_ms: u64,
    },
    /// Registers a VM that can be evacuated, so that it stays known while it is
    /// disconnected.
    Register {
        /// The name of the VM.
        node: Name,
    },
    /// Records a suspect, or begins or ends a trial of one.
    Suspect(trial::Command),
}

impl Command {
    /// Returns the command that accepts a job, submitted at `now_ms`. This is Unix time
    /// of the leader, so that all times that are counted from the submission use one
    /// clock.
    pub fn submit(job: NewJob, now_ms: u64) -> Command {
        Command::Submit(Box::new(NewJob {
            submitted_ms: now_ms,
            ..job
        }))
    }

    /// Returns the command that removes closed jobs after their retention time. `now_ms`
    /// is Unix time of the leader. Jobs are kept longer by the largest clock skew, as
    /// another leader may have dated them.
    pub fn sweep(now_ms: u64, retention_ms: u64) -> Command {
        let before_ms = now_ms.saturating_sub(retention_ms.saturating_add(unix_time::MAX_SKEW_MS));
        Command::Sweep { before_ms }
    }
}

/// The result of a command.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub enum Applied {
    /// The command took effect, now or when it was applied before.
    Done,
    /// The command had no effect: a configuration at least as new is in force, the job
    /// is unknown or has ended, the item is listed, or the command cannot be decoded.
    Superseded,
    /// The job was not accepted, as its tokens and those that wait on its route exceed
    /// the limit.
    Full {
        /// Tokens of the items that wait or run on the route.
        waiting: u64,
        /// Most tokens that may wait or run on the route.
        limit: u64,
    },
    /// Whether a trial may begin.
    Trial(trial::Verdict),
}
