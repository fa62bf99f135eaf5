//! Links to the other replicas.
//!
//! Each link has a bounded queue and a task that sends the queued messages in batches.
//! A full queue or a broken connection drops messages: the consensus protocol sends
//! them again if needed, and the control thread never waits for the network.

use std::{collections, sync, time};

use jsonrpsee::{core::client::ClientT, ws_client};
use tokio::{runtime, sync as async_sync, task};
use tokio_util::sync::CancellationToken;

use bw_client::link;
use bw_coord::{ReplicaId, message};
use bw_wire::{name, rpc};

use crate::{
    metrics,
    network::methods::{self, Batch},
};

/// Most queued messages to one replica.
const QUEUE_MESSAGES: usize = 4_096;
/// Most messages in one call.
const BATCH_MESSAGES: usize = 256;
/// Most concurrent calls to one replica; enough to fill a link with a latency of some
/// milliseconds.
const CALLS_MAX: usize = 32;
/// Timeout of connecting and of one call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(2_000);
/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// The links of this replica to the others.
pub(crate) struct Links {
    own_id: ReplicaId,
    token: Option<String>,
    runtime: runtime::Handle,
    stop: CancellationToken,
    links: collections::BTreeMap<ReplicaId, Link>,
}

struct Link {
    address: name::Name,
    queue: async_sync::mpsc::Sender<message::Envelope>,
}

impl Links {
    pub(crate) fn new(
        own_id: ReplicaId,
        token: Option<String>,
        runtime: runtime::Handle,
        stop: CancellationToken,
    ) -> Links {
        Links {
            own_id,
            token,
            runtime,
            stop,
            links: collections::BTreeMap::new(),
        }
    }

    /// Opens links to the replicas with these addresses and closes all other links.
    pub(crate) fn set(&mut self, addresses: &collections::BTreeMap<ReplicaId, name::Name>) {
        self.links
            .retain(|replica, link| addresses.get(replica) == Some(&link.address));
        for (replica, address) in addresses {
            if *replica != self.own_id && !self.links.contains_key(replica) {
                let link = self.open(address.clone());
                self.links.insert(*replica, link);
            }
        }
    }

    /// Queues a message, or drops it if the queue is full or the address is unknown.
    pub(crate) fn send(&self, to: ReplicaId, message: message::Envelope) {
        let reason = match self.links.get(&to) {
            Some(link) if link.queue.try_send(message).is_ok() => return,
            Some(_) => "queue_full",
            None => "no_address",
        };
        metrics::RAFT_DROPPED.with_label_values(&[reason]).inc();
    }

    fn open(&self, address: name::Name) -> Link {
        let (queue, messages) = async_sync::mpsc::channel(QUEUE_MESSAGES);
        let token = self.token.as_deref().map(name::Name::from);
        let task = Task {
            own_id: self.own_id,
            link: link::Link::new(address.clone(), token, CALL_TIMEOUT),
            messages,
        };
        let stop = self.stop.clone();
        self.runtime.spawn(async move {
            stop.run_until_cancelled(task.run()).await;
        });
        Link { address, queue }
    }
}

/// The task that sends the messages of one link.
struct Task {
    own_id: ReplicaId,
    link: link::Link,
    messages: async_sync::mpsc::Receiver<message::Envelope>,
}

impl Task {
    /// Sends until the link is closed.
    async fn run(mut self) {
        while let Some(first) = self.messages.recv().await {
            match self.link.connect().await {
                Ok(client) => {
                    self.serve(&client, first).await;
                    self.link.forget(&client).await;
                }
                Err(error) => {
                    log::debug!(address = self.link.address(); "connection failed: {error}");
                    metrics::RETRIES
                        .with_label_values(&["replica_connect"])
                        .inc();
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                    // Messages queued meanwhile are out of date.
                    while self.messages.try_recv().is_ok() {}
                }
            }
        }
    }

    /// Sends over one connection until it breaks.
    ///
    /// A call without an answer closes the connection as well: after a partition, a new
    /// connection works at once, whereas TCP may retransmit data of the old one only
    /// after minutes.
    async fn serve(&mut self, client: &sync::Arc<ws_client::WsClient>, first: message::Envelope) {
        let mut next = Some(first);
        let mut calls = task::JoinSet::new();
        let broken = CancellationToken::new();
        while client.is_connected() && !broken.is_cancelled() {
            let Some(message) = next.take() else {
                let received = broken.run_until_cancelled(self.messages.recv()).await;
                match received.flatten() {
                    Some(message) => next = Some(message),
                    None => break,
                }
                continue;
            };
            let text = methods::encode(&self.next_batch(message));
            let (client, broken) = (sync::Arc::clone(client), broken.clone());
            // This keeps the order of messages: tasks of this runtime start in the
            // order they are spawned, and the client sends in the order of its calls.
            calls.spawn(async move {
                let Ok(params) = link::single_param(&text) else {
                    return;
                };
                if let Err(error) = client.request::<(), _>(rpc::RAFT, params).await {
                    log::debug!("consensus messages not delivered: {error}");
                    metrics::RAFT_DROPPED
                        .with_label_values(&["call_failed"])
                        .inc();
                    if link::is_broken(&error) {
                        broken.cancel();
                    }
                }
            });
            while calls.len() >= CALLS_MAX && calls.join_next().await.is_some() {}
            while calls.try_join_next().is_some() {}
        }
    }

    /// Adds queued messages to the first one, up to a full batch.
    fn next_batch(&mut self, first: message::Envelope) -> Batch {
        let mut messages = vec![message::encode(&first)];
        while messages.len() < BATCH_MESSAGES
            && let Ok(message) = self.messages.try_recv()
        {
            messages.push(message::encode(&message));
        }
        Batch {
            from: self.own_id.0,
            messages,
        }
    }
}
