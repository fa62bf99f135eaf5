//! Messages to and from other entry VMs.

use std::{collections, io, sync, time};

use bw_base::access;
use bw_client::link;
use bw_wire::{name, peer, rpc, sync as wire_sync};
use jsonrpsee::{
    RpcModule, rpc_params,
    server::{ServerBuilder, ServerConfig, ServerHandle},
    types::ErrorObjectOwned,
};
use tokio::{sync as async_sync, task};

use super::{Event, Sender, guard};

/// Most messages that wait for one entry VM; further ones are dropped. With so
/// many waiting, the messages are too old to be of use.
const QUEUE_CAPACITY: usize = 1_024;
/// Time limit for opening a connection and for one message.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Delay after a failed attempt to send a message.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// Most attempts to send a message that no later message replaces.
const MAX_ATTEMPTS: u32 = 5;
/// Largest message between entry VMs, in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 * 1024;

/// Starts the server that receives messages of other entry VMs. Returns its bound
/// address and its handle.
pub(super) async fn serve(
    address: &str,
    tokens: Option<access::Tokens>,
    events: Sender,
) -> io::Result<(std::net::SocketAddr, ServerHandle)> {
    let config = ServerConfig::builder()
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_connections(1_024)
        .build();
    let server = ServerBuilder::default()
        .set_config(config)
        .set_http_middleware(tower::ServiceBuilder::new().layer(guard::Layer::new(tokens)))
        .build(address)
        .await?;
    let address = server.local_addr()?;
    let mut module = RpcModule::new(events);
    module
        .register_method(rpc::PEER, |params, events, _| {
            let message: peer::Message = params.one()?;
            Ok::<bool, ErrorObjectOwned>(events.send(Event::Peer(message)))
        })
        .map_err(io::Error::other)?;
    Ok((address, server.start(module)))
}

/// Links to the other entry VMs, each with a queue and a task that sends from it.
pub(super) struct Peers {
    token: Option<name::Name>,
    links: collections::HashMap<name::Name, Link>,
    tasks: task::JoinSet<()>,
}

struct Link {
    address: name::Name,
    queue: async_sync::mpsc::Sender<sync::Arc<peer::Message>>,
}

impl Peers {
    pub(super) fn new(token: Option<name::Name>) -> Peers {
        Peers {
            token,
            links: collections::HashMap::new(),
            tasks: task::JoinSet::new(),
        }
    }

    /// Replaces the list of other entry VMs. Links to those that remain at their
    /// address are kept.
    pub(super) fn update(&mut self, peers: &[wire_sync::Peer]) {
        // The task of a removed link ends once its queue is empty.
        self.links.retain(|name, link| {
            peers
                .iter()
                .any(|peer| peer.entry == *name && peer.address == link.address)
        });
        for peer in peers {
            if self.links.contains_key(&peer.entry) {
                continue;
            }
            let (queue, messages) = async_sync::mpsc::channel(QUEUE_CAPACITY);
            let link = Link {
                address: peer.address.clone(),
                queue,
            };
            self.links.insert(peer.entry.clone(), link);
            let link = link::Link::new(peer.address.clone(), self.token.clone(), TIMEOUT);
            self.tasks.spawn(send_queued(link, messages));
        }
        while self.tasks.try_join_next().is_some() {}
    }

    /// Sends a message to all other entry VMs.
    pub(super) fn broadcast(&self, message: peer::Message) {
        let message = sync::Arc::new(message);
        for name in self.links.keys() {
            self.enqueue(name, &message);
        }
    }

    /// Sends a message to one other entry VM.
    pub(super) fn send(&self, to: &name::Name, message: peer::Message) {
        self.enqueue(to, &sync::Arc::new(message));
    }

    fn enqueue(&self, to: &name::Name, message: &sync::Arc<peer::Message>) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        if link.queue.try_send(sync::Arc::clone(message)).is_err() {
            log::warn!(peer = to.as_str(); "message to entry VM dropped, its queue is full");
        }
    }
}

/// Sends the messages of a link until it is dropped and its queue is empty.
async fn send_queued(
    link: link::Link,
    mut messages: async_sync::mpsc::Receiver<sync::Arc<peer::Message>>,
) {
    while let Some(message) = messages.recv().await {
        // A lost count is soon replaced by a newer one; other messages are retried.
        let attempts = match *message {
            peer::Message::Online { .. } => 1,
            _ => MAX_ATTEMPTS,
        };
        for _ in 0..attempts {
            match link
                .call::<bool, _>(rpc::PEER, rpc_params![&*message])
                .await
            {
                Ok(_) => break,
                Err(error) => {
                    log::debug!(address = link.address(); "cannot reach entry VM: {error}");
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
        }
    }
}
