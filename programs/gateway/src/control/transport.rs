//! The thread that carries the messages of the replicated log, and accepts the connections
//! of all other processes.
//!
//! Nothing else runs on it: a leader whose messages wait behind other work for one election
//! timeout loses the lead, and the next leader has the same work to do.
//!
//! A full queue or a broken connection drops messages. The consensus protocol
//! resends what is needed, so nothing ever waits for the network.

use std::{cell::RefCell, collections::BTreeMap, net, rc::Rc, sync::mpsc, thread, time};

use bw_coord::{ReplicaId, member};
use bw_relay::message;
use bw_wire::name::Name;
use tokio::{sync::mpsc as async_mpsc, task};

use crate::{control::replica, local, metrics, socket};

/// Length of the queue of messages to one replica.
const QUEUE_MESSAGES: usize = 1_024;
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Pause after a failed connection attempt.
const RECONNECT_PAUSE: time::Duration = time::Duration::from_millis(100);

/// An order of the control thread.
pub(crate) enum Order {
    /// Sends a consensus message to another replica.
    Send { to: ReplicaId, message: Vec<u8> },
    /// Sets the members, and closes connections to replicas that are none.
    Members {
        own: ReplicaId,
        members: Vec<member::Member>,
    },
}

/// A connection of a process that waits for the leader.
pub(crate) struct Arrival {
    pub(crate) node: Name,
    pub(crate) role: message::Role,
    /// The internal address of the process.
    pub(crate) address: Name,
    pub(crate) stream: net::TcpStream,
}

/// The channels of the thread.
pub(crate) struct Channels {
    /// The thread ends when this channel is closed.
    pub(crate) orders: async_mpsc::UnboundedReceiver<Order>,
    pub(crate) calls: mpsc::Sender<replica::Call>,
    pub(crate) arrivals: async_mpsc::Sender<Arrival>,
}

/// Starts the thread, which accepts connections at the internal address of this replica.
///
/// # Errors
///
/// Fails if the address is in use or the thread cannot be started.
pub(crate) fn start(
    address: net::SocketAddr,
    channels: Channels,
) -> anyhow::Result<thread::JoinHandle<()>> {
    let listener = socket::bind(address)?;
    let thread = thread::Builder::new()
        .name("log-transport".to_owned())
        .spawn(move || {
            if let Err(error) = local::run(run(address, listener, channels)) {
                log::error!("the transport of the replicated log ended: {error}");
            }
        })?;
    Ok(thread)
}

async fn run(
    address: net::SocketAddr,
    listener: net::TcpListener,
    channels: Channels,
) -> anyhow::Result<()> {
    let listener = tokio::net::TcpListener::from_std(listener)?;
    let peers = Rc::new(RefCell::new(Peers::new(address.to_string().into())));
    let receiver = Receiver {
        peers: Rc::clone(&peers),
        calls: channels.calls,
        arrivals: channels.arrivals,
    };
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(receiver.listen(listener));
    let mut orders = channels.orders;
    while let Some(order) = orders.recv().await {
        match order {
            Order::Send { to, message } => peers.borrow().send(to, message),
            Order::Members { own, members } => peers.borrow_mut().set_members(own, &members),
        }
    }
    tasks.shutdown().await;
    Ok(())
}

/// Receives the connections of other processes.
#[derive(Clone)]
struct Receiver {
    peers: Rc<RefCell<Peers>>,
    calls: mpsc::Sender<replica::Call>,
    arrivals: async_mpsc::Sender<Arrival>,
}

impl Receiver {
    async fn listen(self, listener: tokio::net::TcpListener) {
        let mut connections = task::JoinSet::new();
        loop {
            while connections.try_join_next().is_some() {}
            let stream = socket::accept(&listener).await;
            connections.spawn_local(self.clone().receive(stream));
        }
    }

    async fn receive(self, stream: tokio::net::TcpStream) {
        let (read, write) = stream.into_split();
        let mut reader = socket::Reader::new(read);
        match reader.next_before_timeout().await {
            Ok(message::Frame::Hello {
                node,
                role,
                address,
            }) => {
                let stream = match reader.into_stream(write) {
                    Ok(stream) => stream,
                    Err(error) => return log::warn!("a process cannot be served: {error}"),
                };
                let arrival = Arrival {
                    node,
                    role,
                    address,
                    stream,
                };
                // The network thread ends first when the program stops.
                let _ = self.arrivals.send(arrival).await;
            }
            Ok(message::Frame::Log {
                from,
                address,
                message,
            }) => {
                let from = ReplicaId(from);
                self.peers.borrow_mut().add(from, &address);
                self.receive_log(from, message, reader).await;
            }
            Ok(_) => log::warn!("the first frame of a connection is unexpected"),
            Err(error) => log::debug!("internal connection ended before its first frame: {error}"),
        }
    }

    /// Passes the log messages of another replica to the control thread.
    async fn receive_log(&self, from: ReplicaId, first: Vec<u8>, mut reader: socket::Reader) {
        let mut next = Some(first);
        loop {
            if let Some(message) = next
                && self
                    .calls
                    .send(replica::Call::Log { from, message })
                    .is_err()
            {
                return log::error!("the control thread has ended");
            }
            next = match reader.next_before_timeout().await {
                Ok(message::Frame::Log { message, .. }) => Some(message),
                Ok(message::Frame::Heartbeat) => None,
                _ => return,
            }
        }
    }
}

/// The connections to all other replicas.
struct Peers {
    /// The internal address of this replica.
    address: Name,
    own: Option<ReplicaId>,
    connections: BTreeMap<ReplicaId, Connection>,
    tasks: task::JoinSet<()>,
}

struct Connection {
    address: String,
    queue: async_mpsc::Sender<Vec<u8>>,
}

impl Peers {
    fn new(address: Name) -> Peers {
        Peers {
            address,
            own: None,
            connections: BTreeMap::new(),
            tasks: task::JoinSet::new(),
        }
    }

    /// Sets the members, and closes connections to replicas that are none.
    fn set_members(&mut self, own: ReplicaId, members: &[member::Member]) {
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
    fn add(&mut self, replica: ReplicaId, address: &str) {
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
        let (queue, messages) = async_mpsc::channel(QUEUE_MESSAGES);
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
    fn send(&self, to: ReplicaId, message: Vec<u8>) {
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

    async fn run(self, mut messages: async_mpsc::Receiver<Vec<u8>>) {
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
