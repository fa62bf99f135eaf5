//! Connections from entry and worker VMs and from other control replicas.

use std::{collections::HashMap, rc::Rc, sync::Arc};

use bw_coord::ReplicaId;
use bw_relay::message;
use bw_wire::name::Name;
use tokio::{net, sync::mpsc, task};

use crate::{
    clock,
    control::{hub::Hub, replica},
    metrics, socket,
};

/// Length of the queue of frames to one process. One that reads too slowly is
/// disconnected and connects again.
const QUEUE_FRAMES: usize = 512;
/// Most concurrent calls of one connection.
const CALLS_MAX: usize = 1_024;

/// An encoded frame that several queues share.
pub(crate) type SharedFrame = Arc<Vec<u8>>;

struct Session {
    node: Name,
    role: message::Role,
    /// The internal address.
    address: Name,
    queue: mpsc::Sender<SharedFrame>,
    loads: Vec<message::Usage>,
}

/// The name of a VM, the role of its process and its internal address.
type Peer = (Name, message::Role, Name);

/// All sessions of the leader. A session is the connection of another process while
/// this replica is the leader.
#[derive(Default)]
pub(crate) struct Sessions {
    next: u64,
    sessions: HashMap<u64, Session>,
    /// Online requests in flight by backend server number, summed over all sessions.
    online: HashMap<u32, u32>,
    /// When the session of a VM with a replica last ended.
    replica_lost_ms: Option<u64>,
}

impl Sessions {
    fn open(&mut self, (node, role, address): Peer, queue: mpsc::Sender<SharedFrame>) -> u64 {
        self.next += 1;
        // A VM that connects again has abandoned its old connection.
        let mut old = self.sessions.iter();
        let old = old.find(|(_, session)| session.node == node);
        if let Some(old) = old.map(|(id, _)| *id) {
            self.remove(old);
        }
        let loads = Vec::new();
        let session = Session {
            node,
            role,
            address,
            queue,
            loads,
        };
        self.sessions.insert(self.next, session);
        self.next
    }

    /// Sends a frame to all sessions.
    pub(crate) fn broadcast(&mut self, frame: &message::Frame) {
        let bytes: SharedFrame = Arc::new(message::encode(frame));
        let mut stuck = Vec::new();
        for (id, session) in &self.sessions {
            if session.queue.try_send(Arc::clone(&bytes)).is_err() {
                log::warn!(node = &*session.node; "the queue of a session is full, closing it");
                stuck.push(*id);
            }
        }
        for id in stuck {
            metrics::FRAMES_DROPPED
                .with_label_values(&["session_queue"])
                .inc();
            self.remove(id);
        }
    }

    /// Returns the number of connected processes.
    pub(crate) fn len(&self) -> usize {
        self.sessions.len()
    }

    /// Returns whether a worker VM is connected.
    pub(crate) fn has_worker(&self, node: &str) -> bool {
        let mut sessions = self.sessions.values();
        sessions.any(|session| session.role == message::Role::Worker && *session.node == *node)
    }

    /// Returns the names and addresses of the VMs with a replica.
    pub(crate) fn replicas(&self) -> impl Iterator<Item = (Name, Name)> {
        let sessions = self.sessions.values();
        let replicas = sessions.filter(|session| session.role == message::Role::Control);
        replicas.map(|session| (session.node.clone(), session.address.clone()))
    }

    /// Returns the address of a VM with a replica.
    pub(crate) fn replica_address(&self, node: &str) -> Option<Name> {
        let mut replicas = self.replicas();
        replicas.find_map(|(name, address)| (*name == *node).then_some(address))
    }

    /// Returns when the session of a VM with a replica last ended, if one did.
    pub(crate) fn replica_lost_ms(&self) -> Option<u64> {
        self.replica_lost_ms
    }

    /// Closes all sessions, after which their VMs search for the new leader.
    pub(crate) fn close(&mut self) {
        self.sessions.clear();
        self.online.clear();
    }

    /// Returns the online requests in flight at a backend server.
    pub(crate) fn online(&self, number: u32) -> u32 {
        self.online.get(&number).copied().unwrap_or(0)
    }
}

/// Accepts connections at the internal address.
pub(crate) async fn listen(hub: Rc<Hub>, listener: net::TcpListener) {
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = socket::accept(&listener).await;
        connections.spawn_local(handle_connection(Rc::clone(&hub), stream));
    }
}

async fn handle_connection(hub: Rc<Hub>, stream: net::TcpStream) {
    let (read, write) = stream.into_split();
    let mut reader = socket::Reader::new(read);
    match reader.next_before_timeout().await {
        Ok(message::Frame::Hello {
            node,
            role,
            address,
        }) => {
            let peer = (node, role, address);
            serve(&hub, peer, reader, socket::Writer::new(write)).await;
        }
        Ok(message::Frame::Log {
            from,
            address,
            message,
        }) => {
            let from = ReplicaId(from);
            hub.add_peer(from, &address);
            receive_log(&hub, from, message, reader).await;
        }
        Ok(_) => log::warn!("the first frame of a connection is unexpected"),
        Err(error) => log::debug!("internal connection ended before its first frame: {error}"),
    }
}

/// Passes the log messages of another replica to the control thread.
async fn receive_log(hub: &Hub, from: ReplicaId, first: Vec<u8>, mut reader: socket::Reader) {
    let mut next = Some(first);
    loop {
        if let Some(message) = next {
            hub.send_call(replica::Call::Log { from, message });
        }
        next = match reader.next_before_timeout().await {
            Ok(message::Frame::Log { message, .. }) => Some(message),
            Ok(message::Frame::Heartbeat) => None,
            _ => return,
        }
    }
}

/// Serves another process. While this replica is not the leader, the process only
/// waits to hear whether it becomes one; then the connection becomes a session.
async fn serve(hub: &Rc<Hub>, peer: Peer, mut reader: socket::Reader, mut writer: socket::Writer) {
    let mut leadership = hub.subscribe_leadership();
    let mut heartbeats = hub.subscribe_heartbeats();
    let heartbeat = message::encode(&message::Frame::Heartbeat);
    let mut next = message::encode(&hub.welcome());
    loop {
        if writer.write(&next).await.is_err() {
            return;
        }
        if hub.is_leader() {
            break;
        }
        next = tokio::select! {
            biased;
            changed = leadership.changed() => match changed {
                Ok(()) => message::encode(&hub.welcome()),
                Err(_) => return,
            },
            due = heartbeats.changed() => match due {
                Ok(()) => heartbeat.clone(),
                Err(_) => return,
            },
            // The process sends nothing before the session, so the connection ended.
            _ = reader.next() => return,
        }
    }
    let (queue, mut frames) = mpsc::channel::<SharedFrame>(QUEUE_FRAMES);
    let first = hub.full_update();
    let published = first.published.as_ref();
    let version = published.map_or(0, |published| published.config.version);
    let first = message::encode(&message::Frame::Update(first));
    if queue.try_send(Arc::new(first)).is_err() {
        return;
    }
    let id = hub.sessions.borrow_mut().open(peer.clone(), queue.clone());
    let (node, role, _) = peer;
    hub.register_vm(&node, role);
    log::info!(node = &*node, version = version; "session opened");
    // Only the session keeps the queue alive: once it is removed, the writer ends.
    let replies = queue.downgrade();
    drop(queue);
    let write = async {
        while let Some(bytes) = frames.recv().await {
            if writer.write(&bytes).await.is_err() {
                break;
            }
        }
    };
    let mut calls = task::JoinSet::new();
    let read = async {
        // The timeout removes the loads of a process that is frozen or cut off.
        while let Ok(frame) = reader.next_before_timeout().await {
            while calls.try_join_next().is_some() {}
            match frame {
                message::Frame::Usage(loads) => hub.set_loads(id, loads),
                message::Frame::Suspect(report) => hub.apply_evidence(&report.into()),
                message::Frame::TrialEnded {
                    fingerprint,
                    ticket,
                    end,
                } => hub.trial_ended(fingerprint, ticket, end),
                message::Frame::Heartbeat => {}
                message::Frame::Call { ticket, request } if calls.len() < CALLS_MAX => {
                    let (hub, replies) = (Rc::clone(hub), replies.clone());
                    calls.spawn_local(async move {
                        let reply = hub.handle(request).await;
                        let frame = message::encode(&message::Frame::Reply { ticket, reply });
                        if let Some(queue) = replies.upgrade() {
                            // The connection may have ended.
                            let _ = queue.send(Arc::new(frame)).await;
                        }
                    });
                }
                _ => break,
            }
        }
    };
    tokio::select! {
        () = write => {}
        () = read => {}
    }
    hub.close_session(id);
    log::info!(node = &*node; "session closed");
}

impl Sessions {
    /// Sets the online requests of one session. Returns the numbers of the backend
    /// servers that have more of them than before.
    pub(crate) fn set_loads(&mut self, id: u64, loads: Vec<message::Usage>) -> Vec<u32> {
        let Some(session) = self.sessions.get_mut(&id) else {
            return Vec::new();
        };
        let before: HashMap<u32, u32> = session
            .loads
            .iter()
            .map(|usage| (usage.number, usage.online))
            .collect();
        let added =
            |usage: &message::Usage| usage.online > before.get(&usage.number).copied().unwrap_or(0);
        let more = loads.iter().filter(|usage| added(usage));
        let more = more.map(|usage| usage.number).collect();
        let old = std::mem::replace(&mut session.loads, loads.clone());
        for usage in &loads {
            *self.online.entry(usage.number).or_insert(0) += usage.online;
        }
        self.subtract(&old);
        more
    }

    fn subtract(&mut self, loads: &[message::Usage]) {
        for usage in loads {
            if let Some(online) = self.online.get_mut(&usage.number) {
                *online = online.saturating_sub(usage.online);
            }
        }
    }

    /// Returns the name of the VM of a session.
    pub(crate) fn node(&self, id: u64) -> Option<Name> {
        self.sessions.get(&id).map(|session| session.node.clone())
    }

    /// Removes one session and its loads.
    pub(crate) fn remove(&mut self, id: u64) {
        let Some(session) = self.sessions.remove(&id) else {
            return;
        };
        if session.role == message::Role::Control {
            self.replica_lost_ms = Some(clock::monotonic_ms());
        }
        self.subtract(&session.loads);
    }
}
