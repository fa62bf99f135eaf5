//! The control thread: exchanges with the control leader and with other entry
//! VMs, the registry of backend servers, and probes.
//!
//! It owns all control state and publishes snapshots of it. Traffic threads send
//! it events and never wait for it.

mod exchange;
mod guard;
mod health;
pub mod listing;
mod peers;
mod probe;
mod registry;
mod run;

use std::sync;

use bw_policy::suspect;
use bw_wire::{backend, command, name, peer};
use tokio::sync as async_sync;

use crate::metrics;

pub use run::{Controller, Parts};

/// Most events that wait for the control thread. Each backend server sends a few
/// events a second, so that this covers a stall of several seconds.
const QUEUE_CAPACITY: usize = 8_192;

/// An event for the control thread. Dropped ones are counted by the name of the
/// variant.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// A backend server announced itself to this entry VM.
    Announced {
        /// The announcement.
        announcement: backend::Announcement,
        /// When it arrived, in milliseconds of the process clock; the event may
        /// wait in the queue.
        heard_ms: u64,
    },
    /// An engine sent cache events to this entry VM.
    Cached(backend::CacheEvents),
    /// Another entry VM sent a message.
    Peer(peer::Message),
    /// A strike or the clearing of a suspect is to be recorded and sent to the other
    /// entry VMs.
    Suspect(command::work::Command),
    /// What is known about suspected parts has changed and is to be sent to the other
    /// entry VMs.
    Evidence(Vec<bw_suspect::Evidence>),
    /// The connection to a backend server was lost or dropped while it ran a request, and
    /// it is not known yet whether the backend server crashed.
    #[strum(serialize = "broken")]
    Disconnected(Disconnect),
    /// A backend server is reserved for the isolated run of a suspect, or no longer.
    Reserved {
        /// The backend server.
        backend: name::Name,
        /// The reservation's duration in milliseconds; 0 ends it.
        duration_ms: u64,
    },
}

/// How a run ended without a complete answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// The connection broke.
    Broken,
    /// This entry VM dropped the connection: nothing came for a while, the caller left, or
    /// another run was faster. The backend server may have ended before.
    Dropped,
}

/// A request whose connection to its backend server was lost.
#[derive(Clone, Debug)]
pub struct Disconnect {
    /// The backend server.
    pub backend: name::Name,
    /// Incarnation of the backend server.
    pub incarnation: u64,
    /// The run that the connection carried.
    pub run: suspect::Run,
    /// The parts of the prompt.
    pub parts: sync::Arc<bw_suspect::Request>,
    /// When the run was sent, in milliseconds of the process clock.
    pub sent_ms: u64,
    /// How it ended.
    pub loss: Loss,
}

/// Sends events to the control thread.
#[derive(Clone)]
pub struct Sender {
    queue: async_sync::mpsc::Sender<Event>,
}

impl Sender {
    /// Sends an event without waiting. Returns false if the queue is full or closed:
    /// the event is dropped and counted in the metrics.
    pub fn send(&self, event: Event) -> bool {
        let Err(error) = self.queue.try_send(event) else {
            return true;
        };
        let event = match error {
            async_sync::mpsc::error::TrySendError::Full(event)
            | async_sync::mpsc::error::TrySendError::Closed(event) => event,
        };
        let label: &str = (&event).into();
        metrics::DROPPED_EVENTS.with_label_values(&[label]).inc();
        false
    }
}

/// Creates the queue of events for the control thread.
pub fn queue() -> (Sender, async_sync::mpsc::Receiver<Event>) {
    let (sender, receiver) = async_sync::mpsc::channel(QUEUE_CAPACITY);
    (Sender { queue: sender }, receiver)
}
