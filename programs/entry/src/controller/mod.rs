//! The control thread: the exchange with the control leader and with other
//! entry VMs, the registry of backend servers and probes.
//!
//! It owns all control state and publishes snapshots; traffic threads send it
//! events and never wait for it.

mod exchange;
mod guard;
mod health;
pub mod listing;
mod peers;
mod probe;
mod registry;
mod run;

use bw_policy::suspect;
use bw_wire::{backend, command, name, peer};
use tokio::sync as async_sync;

use crate::metrics;

pub use run::{Controller, Parts};

/// Events that may wait for the control thread. Each backend server sends a few
/// events a second, so that this covers a stall of several seconds.
const QUEUE: usize = 8_192;

/// An event for the control thread.
#[derive(Clone, Debug, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Event {
    /// A backend server announced itself here.
    Announced {
        /// The announcement.
        announcement: backend::Announcement,
        /// When it arrived; the event may wait.
        heard_ms: u64,
    },
    /// An engine published cache events here.
    Cached(backend::CacheEvents),
    /// Another entry VM sent a message.
    Peer(peer::Message),
    /// A strike or the clearing of a suspect is to be recorded and told.
    Suspect(command::work::Command),
    /// A connection to a backend server broke while it ran a request, and it
    /// is not known yet whether it crashed.
    #[strum(serialize = "broken")]
    Disconnected(Disconnect),
    /// A backend server is reserved for the isolated run of a suspect.
    Reserved {
        /// The backend server.
        backend: name::Name,
        /// The reservation's duration in milliseconds; 0 ends it.
        duration_ms: u64,
    },
}

/// A request whose connection broke.
#[derive(Clone, Debug)]
pub struct Disconnect {
    /// The backend server.
    pub backend: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The request.
    pub flight: suspect::Run,
}

/// The traffic threads' end of the queue to the control thread.
#[derive(Clone)]
pub struct Sender {
    queue: async_sync::mpsc::Sender<Event>,
}

impl Sender {
    /// Sends an event without waiting. Returns whether it was taken; a full
    /// queue drops it, which the metrics count.
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

/// Creates the queue to the control thread.
pub fn queue() -> (Sender, async_sync::mpsc::Receiver<Event>) {
    let (sender, receiver) = async_sync::mpsc::channel(QUEUE);
    (Sender { queue: sender }, receiver)
}
