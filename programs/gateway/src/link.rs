//! The connections of a process to the control replicas.
//!
//! A process is connected to every control replica that it knows. Each replica
//! reports at once when it becomes the leader, so that a new leader is used as
//! soon as it is elected, even while the old one is frozen and its connection
//! looks healthy. The leader's connection carries updates and calls; a call waits
//! for a leader until its own timeout.

use std::{
    cell::RefCell,
    collections::{BTreeMap, BTreeSet, HashMap},
    net,
    rc::Rc,
    time,
};

use bw_relay::message;
use bw_wire::name::Name;
use tokio::{
    sync::{mpsc, oneshot},
    task,
};

use crate::socket;

/// Timeout of connecting to a control replica, and of its first frame.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// First pause before a reconnect; doubles with each failure.
const BACKOFF_MIN: time::Duration = time::Duration::from_millis(100);
/// Longest pause before a reconnect. A replica that comes back is found within
/// this time.
const BACKOFF_MAX: time::Duration = time::Duration::from_millis(500);
/// Interval between reads of the seeds while there is no leader.
const SEEDS_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Frames that may wait to be written to the leader.
const QUEUE_FRAMES: usize = 256;

/// What a link reports to its owner.
#[derive(Debug)]
pub enum Event {
    /// The link is connected to a leader.
    Connected,
    /// The connection to the leader ended.
    Disconnected,
    /// The leader sent an update.
    Update(message::Update),
}

type PendingCalls = HashMap<u64, oneshot::Sender<message::Reply>>;

/// The known leader and the queue of frames to it.
struct Leader {
    term: u64,
    address: net::SocketAddr,
    writer: mpsc::Sender<Vec<u8>>,
}

struct Shared {
    next_ticket: u64,
    pending: PendingCalls,
    leader: Option<Leader>,
    connected: Rc<tokio::sync::Notify>,
    events: mpsc::UnboundedSender<Event>,
}

impl Shared {
    /// Sets the leader, unless one of the same or a later term is known. Returns
    /// whether it was set.
    fn set_leader(&mut self, leader: Leader) -> bool {
        let known = self.leader.as_ref().map(|known| known.term);
        if known.is_some_and(|known| known >= leader.term) {
            return false;
        }
        log::info!(leader = leader.address.to_string().as_str(), term = leader.term; "connected to the leader");
        // Calls to the former leader fail as `Lost`: they may still take effect.
        self.pending.clear();
        self.leader = Some(leader);
        self.connected.notify_waiters();
        self.emit(Event::Connected);
        true
    }

    /// Clears the leader if it is still that of this term.
    fn clear_leader(&mut self, term: u64) {
        let Some(leader) = self.leader.take_if(|leader| leader.term == term) else {
            return;
        };
        log::warn!(leader = leader.address.to_string().as_str(), term = term; "lost the leader");
        self.pending.clear();
        self.emit(Event::Disconnected);
    }

    /// Returns whether no leader of a later term is known.
    fn is_newest(&self, term: u64) -> bool {
        let leader = self.leader.as_ref();
        leader.is_none_or(|leader| leader.term <= term)
    }

    fn is_leader(&self, term: u64) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|leader| leader.term == term)
    }

    fn emit(&self, event: Event) {
        // The receiver is dropped only when the process ends.
        let _ = self.events.send(event);
    }
}

/// A handle to the connections; clones share them.
#[derive(Clone)]
pub struct Link {
    shared: Rc<RefCell<Shared>>,
    reports: mpsc::UnboundedSender<Members>,
}

/// Returns addresses at which control replicas may be found.
pub type Seeds = Box<dyn Fn() -> Vec<net::SocketAddr>>;

impl Link {
    /// Creates a link and the future that drives it. `seeds` is called again
    /// while there is no leader, because the settings may have changed.
    pub fn new(
        node: Name,
        address: net::SocketAddr,
        role: message::Role,
        seeds: Seeds,
        events: mpsc::UnboundedSender<Event>,
    ) -> (Link, impl Future<Output = ()>) {
        let (reports, reported) = mpsc::unbounded_channel();
        let link = Link {
            reports,
            shared: Rc::new(RefCell::new(Shared {
                next_ticket: 0,
                pending: HashMap::new(),
                leader: None,
                connected: Rc::default(),
                events,
            })),
        };
        let hello = message::Frame::Hello {
            node,
            role,
            address: address.to_string().into(),
        };
        let supervisor = Supervisor {
            link: link.clone(),
            hello: message::encode(&hello).into(),
            seeds,
            members: BTreeSet::new(),
            connections: BTreeMap::new(),
            tasks: task::JoinSet::new(),
        };
        (link, supervisor.run(reported))
    }

    /// Adds control replicas that are known from elsewhere. A control program knows the
    /// members of its stored log, also after all of its seeds were replaced.
    pub(crate) fn add_replicas(&self, replicas: Vec<net::SocketAddr>) {
        let members = Members {
            replicas,
            authoritative: false,
        };
        // The receiver is dropped only when the process ends.
        let _ = self.reports.send(members);
    }

    /// Returns the internal address of the leader; `None` while not connected.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        let shared = self.shared.borrow();
        shared.leader.as_ref().map(|leader| leader.address)
    }

    /// Queues a frame that needs no reply. Returns false if it was dropped because
    /// there is no leader or the queue is full.
    pub fn notify(&self, frame: &message::Frame) -> bool {
        let Some(writer) = self.writer() else {
            return false;
        };
        let queued = writer.try_send(message::encode(frame)).is_ok();
        if !queued {
            crate::metrics::FRAMES_DROPPED
                .with_label_values(&["leader_queue"])
                .inc();
        }
        queued
    }

    /// Calls the leader. `Lost` means that the call may have taken effect,
    /// `NotLeader` that no leader was known within the timeout.
    pub async fn call(&self, request: message::Request, timeout: time::Duration) -> message::Reply {
        let deadline = tokio::time::Instant::now() + timeout;
        let Some(writer) = self.await_writer(deadline).await else {
            return message::Reply::NotLeader;
        };
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut shared = self.shared.borrow_mut();
            shared.next_ticket += 1;
            let ticket = shared.next_ticket;
            shared.pending.insert(ticket, sender);
            ticket
        };
        let bytes = message::encode(&message::Frame::Call { ticket, request });
        let reply = async {
            if writer.send(bytes).await.is_err() {
                return message::Reply::NotLeader;
            }
            receiver.await.unwrap_or(message::Reply::Lost)
        };
        let reply = tokio::time::timeout_at(deadline, reply).await;
        self.shared.borrow_mut().pending.remove(&ticket);
        reply.unwrap_or(message::Reply::Lost)
    }

    fn writer(&self) -> Option<mpsc::Sender<Vec<u8>>> {
        let shared = self.shared.borrow();
        shared.leader.as_ref().map(|leader| leader.writer.clone())
    }

    async fn await_writer(&self, deadline: tokio::time::Instant) -> Option<mpsc::Sender<Vec<u8>>> {
        loop {
            if let Some(writer) = self.writer() {
                return Some(writer);
            }
            let connected = Rc::clone(&self.shared.borrow().connected);
            tokio::time::timeout_at(deadline, connected.notified())
                .await
                .ok()?;
        }
    }

    /// Completes a pending call.
    fn complete(&self, ticket: u64, reply: message::Reply) {
        let waiting = self.shared.borrow_mut().pending.remove(&ticket);
        if let Some(waiting) = waiting {
            // The caller may have given up.
            let _ = waiting.send(reply);
        }
    }
}

/// The members of the group as one replica reports them.
struct Members {
    replicas: Vec<net::SocketAddr>,
    /// Whether the replica is the leader of the latest known term; other replicas may
    /// report an outdated list.
    authoritative: bool,
}

/// Keeps a connection to every known control replica.
struct Supervisor {
    link: Link,
    hello: Rc<[u8]>,
    seeds: Seeds,
    /// The members that replicas reported since the last authoritative report.
    members: BTreeSet<net::SocketAddr>,
    connections: BTreeMap<net::SocketAddr, task::AbortHandle>,
    tasks: task::JoinSet<()>,
}

impl Supervisor {
    async fn run(mut self, mut reports: mpsc::UnboundedReceiver<Members>) {
        let sender = self.link.reports.clone();
        let mut seeds: BTreeSet<net::SocketAddr> = (self.seeds)().into_iter().collect();
        let mut seeds_due = tokio::time::interval(SEEDS_INTERVAL);
        loop {
            self.reconcile(&seeds, &sender);
            tokio::select! {
                Some(Members { replicas, authoritative }) = reports.recv() => {
                    if authoritative {
                        self.members.clear();
                    }
                    self.members.extend(replicas);
                }
                _ = seeds_due.tick() => {
                    if self.link.leader().is_none() {
                        seeds = (self.seeds)().into_iter().collect();
                    }
                }
            }
        }
    }

    /// Starts and stops connection tasks, so that there is one per known replica.
    fn reconcile(
        &mut self,
        seeds: &BTreeSet<net::SocketAddr>,
        reports: &mpsc::UnboundedSender<Members>,
    ) {
        while self.tasks.try_join_next().is_some() {}
        let members = &self.members;
        self.connections.retain(|address, task| {
            let keep = members.contains(address) || seeds.contains(address);
            if !keep {
                task.abort();
            }
            keep
        });
        for address in members.union(seeds) {
            if self.connections.contains_key(address) {
                continue;
            }
            let connection = Connection {
                link: self.link.clone(),
                hello: Rc::clone(&self.hello),
                address: *address,
                reports: reports.clone(),
            };
            let handle = self.tasks.spawn_local(connection.run());
            self.connections.insert(*address, handle);
        }
    }
}

/// The connection to one control replica.
struct Connection {
    link: Link,
    hello: Rc<[u8]>,
    address: net::SocketAddr,
    reports: mpsc::UnboundedSender<Members>,
}

impl Connection {
    async fn run(self) {
        let mut backoff = BACKOFF_MIN;
        loop {
            if self.connect_once().await {
                backoff = BACKOFF_MIN;
            }
            tokio::time::sleep(backoff).await;
            backoff = (backoff * 2).min(BACKOFF_MAX);
        }
    }

    /// Connects and stays connected. Returns whether the replica sent its first frame.
    async fn connect_once(&self) -> bool {
        let Ok(stream) = socket::connect(self.address, CONNECT_TIMEOUT).await else {
            return false;
        };
        let (read, write) = stream.into_split();
        let mut reader = socket::Reader::new(read);
        let mut writer = socket::Writer::new(write);
        let first = async {
            writer.write(&self.hello).await?;
            reader.next().await
        };
        let Ok(Ok(message::Frame::Welcome { term, replicas })) =
            tokio::time::timeout(CONNECT_TIMEOUT, first).await
        else {
            return false;
        };
        let mut leader_term = self.report(term, &replicas);
        while leader_term.is_none() {
            match reader.next_before_timeout().await {
                Ok(message::Frame::Heartbeat) => {}
                Ok(message::Frame::Welcome { term, replicas }) => {
                    leader_term = self.report(term, &replicas);
                }
                Ok(_) => return true,
                Err(error) => {
                    log::info!(replica = self.address.to_string().as_str(); "control replica lost: {error}");
                    return true;
                }
            }
        }
        if let Some(term) = leader_term {
            self.run_session(term, reader, writer).await;
        }
        true
    }

    /// Reports the members that the replica knows to the supervisor. Returns `term`,
    /// the term in which the replica leads.
    fn report(&self, term: Option<u64>, replicas: &[Name]) -> Option<u64> {
        let replicas = replicas.iter();
        let replicas = replicas.filter_map(|address| address.parse().ok());
        let members = Members {
            replicas: replicas.collect(),
            authoritative: term.is_some_and(|term| self.link.shared.borrow().is_newest(term)),
        };
        // The receiver is dropped only when the process ends.
        let _ = self.reports.send(members);
        term
    }

    /// Exchanges frames with the leader until its connection ends or times out.
    async fn run_session(&self, term: u64, mut reader: socket::Reader, mut writer: socket::Writer) {
        let (sender, mut queue) = mpsc::channel::<Vec<u8>>(QUEUE_FRAMES);
        let leader = Leader {
            term,
            address: self.address,
            writer: sender,
        };
        if !self.link.shared.borrow_mut().set_leader(leader) {
            return;
        }
        let _guard = LeaderGuard {
            link: &self.link,
            term,
        };
        let heartbeat = message::encode(&message::Frame::Heartbeat);
        let write = async {
            loop {
                let bytes =
                    match tokio::time::timeout(socket::HEARTBEAT_INTERVAL, queue.recv()).await {
                        Ok(Some(bytes)) => bytes,
                        Ok(None) => break,
                        Err(_) => heartbeat.clone(),
                    };
                if writer.write(&bytes).await.is_err() {
                    break;
                }
            }
        };
        let read = async {
            while let Ok(frame) = reader.next_before_timeout().await {
                if !self.link.shared.borrow().is_leader(term) {
                    break;
                }
                match frame {
                    message::Frame::Update(update) => {
                        self.link.shared.borrow().emit(Event::Update(update));
                    }
                    message::Frame::Reply { ticket, reply } => self.link.complete(ticket, reply),
                    message::Frame::Welcome {
                        term: Some(known),
                        replicas,
                    } if known == term => {
                        self.report(Some(term), &replicas);
                    }
                    message::Frame::Heartbeat => {}
                    _ => break,
                }
            }
        };
        tokio::select! {
            () = write => {}
            () = read => {}
        }
    }
}

/// Clears the leader on drop.
struct LeaderGuard<'a> {
    link: &'a Link,
    term: u64,
}

impl Drop for LeaderGuard<'_> {
    fn drop(&mut self) {
        self.link.shared.borrow_mut().clear_leader(self.term);
    }
}
