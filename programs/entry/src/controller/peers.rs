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

/// Messages that may wait for one entry VM. Older ones are of no use once this
/// many wait, so that more are dropped.
const QUEUE: usize = 1_024;
/// Time limit for opening a connection and for one message.
const TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause after a failure to connect.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(200);
/// Tries of a message that must arrive.
const TRIES: u32 = 5;
/// Largest message between entry VMs, in bytes.
const MAX_MESSAGE_BYTES: u32 = 256 * 1024;

/// Starts the server of the peer exchange.
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

/// Links to the other entry VMs.
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

    /// Takes the current list of other entry VMs.
    pub(super) fn update(&mut self, peers: &[wire_sync::Peer]) {
        // A dropped link's task ends once its queue is empty.
        self.links.retain(|name, link| {
            peers
                .iter()
                .any(|peer| peer.entry == *name && peer.address == link.address)
        });
        for peer in peers {
            if self.links.contains_key(&peer.entry) {
                continue;
            }
            let (queue, messages) = async_sync::mpsc::channel(QUEUE);
            let link = Link {
                address: peer.address.clone(),
                queue,
            };
            self.links.insert(peer.entry.clone(), link);
            let link = link::Link::new(peer.address.clone(), self.token.clone(), TIMEOUT);
            self.tasks.spawn(run(link, messages));
        }
        while self.tasks.try_join_next().is_some() {}
    }

    /// Sends a message to all other entry VMs.
    pub(super) fn broadcast(&self, message: peer::Message) {
        let message = sync::Arc::new(message);
        for name in self.links.keys() {
            self.push(name, &message);
        }
    }

    /// Sends a message to one other entry VM.
    pub(super) fn send(&self, to: &name::Name, message: peer::Message) {
        self.push(to, &sync::Arc::new(message));
    }

    fn push(&self, to: &name::Name, message: &sync::Arc<peer::Message>) {
        let Some(link) = self.links.get(to) else {
            return;
        };
        if link.queue.try_send(sync::Arc::clone(message)).is_err() {
            log::warn!(peer = to.as_str(); "message to entry VM dropped, its queue is full");
        }
    }
}

/// Sends the messages of a link until it is dropped and its queue is empty.
async fn run(link: link::Link, mut messages: async_sync::mpsc::Receiver<sync::Arc<peer::Message>>) {
    while let Some(message) = messages.recv().await {
        // A newer count follows soon; everything else is sent again.
        let tries = match *message {
            peer::Message::Online { .. } => 1,
            _ => TRIES,
        };
        for _ in 0..tries {
            match link
                .call::<bool, _>(rpc::PEER, rpc_params![&*message])
                .await
            {
                Ok(_) => break,
                Err(error) => {
                    log::debug!(address = link.address(); "entry VM not reached: {error}");
                    tokio::time::sleep(RECONNECT_PAUSE).await;
                }
            }
        }
    }
}
