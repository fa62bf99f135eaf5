//! Connections that send the messages of the replicated log to the other replicas.
//!
//! A full queue or a broken connection drops messages. The consensus protocol
//! resends what is needed, so nothing ever waits for the network.

use std::{collections::BTreeMap, net, time};

use bw_coord::{ReplicaId, member};
use bw_relay::message;
use bw_wire::name::Name;
use tokio::{sync::mpsc, task};

use crate::{metrics, socket};

/// Length of the queue of messages to one replica.
const QUEUE_MESSAGES: usize = 1_024;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// The connections to all other replicas.
pub(crate) struct Peers {
    /// The internal address of this replica.
    address: Name,
    own: Option<ReplicaId>,
    connections: BTreeMap<ReplicaId, Connection>,
    tasks: task::JoinSet<()>,
}

struct Connection {
    address: String,
    queue: mpsc::Sender<Vec<u8>>,
}

impl Peers {
    pub(crate) fn new(address: Name) -> Peers {
        Peers {
            address,
            own: None,
            connections: BTreeMap::new(),
            tasks: task::JoinSet::new(),
        }
    }

    /// Sets the members, and closes connections to replicas that are none.
    pub(crate) fn set_members(&mut self, own: ReplicaId, members: &[member::Member]) {
        self.own = Some(own);
        self.connections.retain(|replica, connection| {
            let mut members = members.iter();
            members.any(|member| member.replica == *replica && member.address == connection.address)
        });
        for member in members {
            self.add(member.replica, &member.address);
        }
    }

    /// Opens a connection to a replica unless there is one.
    pub(crate) fn add(&mut self, replica: ReplicaId, address: &str) {
        let Some(own) = self.own.filter(|own| *own != replica) else {
            return;
        };
        if self.connections.contains_key(&replica) {
            return;
        }
        let Ok(to) = address.parse() else {
            log::error!(address = address; "the address of a replica is invalid");
            return;
        };
        let (queue, messages) = mpsc::channel(QUEUE_MESSAGES);
        let sender = Sender {
            own,
            address: self.address.clone(),
            to,
        };
        // The task ends when its queue is closed.
        self.tasks.spawn_local(sender.run(messages));
        let address = address.to_owned();
        self.connections
            .insert(replica, Connection { address, queue });
    }

    /// Queues a message, or drops it if the queue is full or the replica unknown.
    pub(crate) fn send(&self, to: ReplicaId, message: Vec<u8>) {
        let reason = match self.connections.get(&to) {
            Some(connection) if connection.queue.try_send(message).is_ok() => return,
            Some(_) => "queue_full",
            None => "no_address",
        };
        metrics::FRAMES_DROPPED.with_label_values(&[reason]).inc();
    }
}

struct Sender {
    own: ReplicaId,
    address: Name,
    to: net::SocketAddr,
}

impl Sender {
    fn frame(&self, message: Vec<u8>) -> message::Frame {
        message::Frame::Log {
            from: self.own.0,
            address: self.address.clone(),
            message,
        }
    }

    async fn run(self, mut messages: mpsc::Receiver<Vec<u8>>) {
        while let Some(first) = messages.recv().await {
            let Ok(stream) = socket::connect(self.to, CONNECT_TIMEOUT).await else {
                tokio::time::sleep(RECONNECT_PAUSE).await;
                // The messages that were queued meanwhile are outdated.
                while messages.try_recv().is_ok() {}
                continue;
            };
            let (_read, write) = stream.into_split();
            let mut writer = socket::Writer::new(write);
            let mut frame = self.frame(first);
            loop {
                if let Err(error) = writer.write(&message::encode(&frame)).await {
                    log::info!(peer = self.to.to_string().as_str(); "connection to a replica broke: {error}");
                    break;
                }
                // Followers send each other nothing until an election, and a dead
                // connection that is noticed only then would delay it by seconds.
                frame =
                    match tokio::time::timeout(socket::HEARTBEAT_INTERVAL, messages.recv()).await {
                        Ok(Some(message)) => self.frame(message),
                        Ok(None) => return,
                        Err(_) => message::Frame::Heartbeat,
                    };
            }
        }
    }
}
