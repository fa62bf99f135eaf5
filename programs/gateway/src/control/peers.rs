//! Links that carry the replicated log to the other replicas.
//!
//! A full queue or a broken connection drops messages: consensus repeats what
//! is needed, and nothing waits for the network.

use std::{collections::BTreeMap, net, time};

use bw_coord::{ReplicaId, member};
use bw_relay::message;
use tokio::{sync::mpsc, task};

use crate::{metrics, socket};

/// Messages that may wait for one replica.
const QUEUE: usize = 1_024;
/// Time limit of connecting.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// Pause after a failed connection attempt.
const PAUSE: time::Duration = time::Duration::from_millis(100);

/// The links to all other replicas.
#[derive(Default)]
pub(crate) struct Peers {
    links: BTreeMap<ReplicaId, Link>,
    tasks: task::JoinSet<()>,
}

struct Link {
    address: String,
    queue: mpsc::Sender<Vec<u8>>,
}

impl Peers {
    /// Sets the members; links to others are closed.
    pub(crate) fn set(&mut self, own: ReplicaId, members: &[member::Member]) {
        self.links.retain(|replica, link| {
            let mut members = members.iter();
            members.any(|member| member.replica == *replica && member.address == link.address)
        });
        for member in members {
            if member.replica == own || self.links.contains_key(&member.replica) {
                continue;
            }
            let Ok(address) = member.address.parse() else {
                log::error!(address = member.address.as_str(); "address of a member is invalid");
                continue;
            };
            let (queue, messages) = mpsc::channel(QUEUE);
            // The task ends when its queue is closed.
            self.tasks.spawn_local(carry(own, address, messages));
            let address = member.address.clone();
            self.links.insert(member.replica, Link { address, queue });
        }
    }

    /// Queues a message.
    pub(crate) fn send(&self, to: ReplicaId, message: Vec<u8>) {
        let reason = match self.links.get(&to) {
            Some(link) if link.queue.try_send(message).is_ok() => return,
            Some(_) => "queue_full",
            None => "no_address",
        };
        metrics::FRAMES_DROPPED.with_label_values(&[reason]).inc();
    }
}

async fn carry(own: ReplicaId, address: net::SocketAddr, mut messages: mpsc::Receiver<Vec<u8>>) {
    while let Some(first) = messages.recv().await {
        let Ok(stream) = socket::connect(address, CONNECT).await else {
            tokio::time::sleep(PAUSE).await;
            // What gathered meanwhile is out of date.
            while messages.try_recv().is_ok() {}
            continue;
        };
        let (_read, write) = stream.into_split();
        let mut writer = socket::Writer::new(write);
        let mut next = Some(first);
        while let Some(message) = next {
            let frame = message::Frame::Log {
                from: own.0,
                message,
            };
            let written = writer.write(&message::encode(&frame)).await;
            if let Err(error) = written {
                log::info!(peer = address.to_string().as_str(); "link to a replica broke: {error}");
                break;
            }
            next = messages.recv().await;
        }
    }
}
