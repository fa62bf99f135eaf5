//! Messages between entry VMs.

use serde::{Deserialize, Serialize};

use crate::{backend, command, name};

/// A message from one entry VM to another.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// An announcement in which a backend server says that it is leaving.
    Leaving(backend::Announcement),
    /// The sender's online requests in flight on a backend server whose batch
    /// work the receiver owns.
    Online {
        /// The sender's name.
        entry: name::Name,
        /// The sender's incarnation.
        incarnation: u64,
        /// Grows with each message, so that the receiver can drop reordered ones.
        sequence: u64,
        /// The backend server's id.
        backend: name::Name,
        /// Number of online requests in flight.
        online: u32,
    },
    /// A request became a suspect, or another crash was counted against it.
    Suspect(command::work::Suspect),
    /// What is known about parts of prompts that may crash backend servers, where it
    /// changed.
    Evidence(Vec<bw_suspect::Evidence>),
    /// A backend server is reserved for the isolated run of a suspect.
    Reserve {
        /// The backend server's id.
        backend: name::Name,
        /// The reservation's duration in milliseconds; 0 ends it.
        duration_ms: u64,
    },
}
