//! The connections of a process to the control replicas.
//!
//! A process is connected to every control replica that it knows. Each replica
//! says at once when it begins to lead, so that a new leader is used as soon as
//! it is elected, also while the old one is frozen and its connection looks
//! healthy. The leader's connection carries news and calls; calls wait for a
//! leader until their own time limit.

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

/// Time limit of connecting to a control replica and of its first answer.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// First pause before a replica is connected to again; doubles with each failure.
const PAUSE: time::Duration = time::Duration::from_millis(100);
/// Longest such pause. A replica that comes back is found within this time.
const PAUSE_MAX: time::Duration = time::Duration::from_millis(500);
/// How often seeds are read again while there is no leader.
const SEEDS: time::Duration = time::Duration::from_millis(500);
/// Frames that may wait to be written to the leader.
const QUEUE: usize = 256;

/// What the link tells its owner.
#[derive(Debug)]
pub enum Event {
    /// A leader was found.
    Connected,
    /// The leader was lost.
    Disconnected,
    /// News of the leader.
    Update(message::Update),
}

type Pending = HashMap<u64, oneshot::Sender<message::Reply>>;

/// The replica that leads.
struct Leader {
    term: u64,
    address: net::SocketAddr,
    writer: mpsc::Sender<Vec<u8>>,
}

struct Shared {
    next_ticket: u64,
    pending: Pending,
    leader: Option<Leader>,
    connected: Rc<tokio::sync::Notify>,
    news: mpsc::UnboundedSender<Event>,
}

impl Shared {
    /// Takes a replica as the leader unless a later term's is known.
    fn claim(&mut self, leader: Leader) -> bool {
        let known = self.leader.as_ref().map(|known| known.term);
        if known.is_some_and(|known| known >= leader.term) {
            return false;
        }
        log::info!(leader = leader.address.to_string().as_str(), term = leader.term; "connected to the leader");
        // What the former leader was asked may still have its effect.
        self.pending.clear();
        self.leader = Some(leader);
        self.connected.notify_waiters();
        self.tell(Event::Connected);
        true
    }

    /// Forgets the leader of a term if it is still the known one.
    fn lose(&mut self, term: u64) {
        let Some(leader) = self.leader.take_if(|leader| leader.term == term) else {
            return;
        };
        log::warn!(leader = leader.address.to_string().as_str(), term = term; "lost the leader");
        self.pending.clear();
        self.tell(Event::Disconnected);
    }

    /// Returns whether no replica is known to lead a later term.
    fn is_newest(&self, term: u64) -> bool {
        let leader = self.leader.as_ref();
        leader.is_none_or(|leader| leader.term <= term)
    }

    fn leads(&self, term: u64) -> bool {
        let leader = self.leader.as_ref();
        leader.is_some_and(|leader| leader.term == term)
    }

    fn tell(&self, news: Event) {
        // The owner ends with the process, so nobody misses the news.
        let _ = self.news.send(news);
    }
}

/// A handle to the link; clones share its connections.
#[derive(Clone)]
pub struct Link {
    shared: Rc<RefCell<Shared>>,
}

/// Where control replicas may be found.
pub type Seeds = Box<dyn Fn() -> Vec<net::SocketAddr>>;

impl Link {
    /// Creates a link and the future that drives it. `seeds` is asked again
    /// while there is no leader, as settings may have changed.
    pub fn new(
        node: Name,
        address: net::SocketAddr,
        role: message::Role,
        seeds: Seeds,
        news: mpsc::UnboundedSender<Event>,
    ) -> (Link, impl Future<Output = ()>) {
        let link = Link {
            shared: Rc::new(RefCell::new(Shared {
                next_ticket: 0,
                pending: HashMap::new(),
                leader: None,
                connected: Rc::default(),
                news,
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
            watched: BTreeMap::new(),
            watches: task::JoinSet::new(),
        };
        (link, supervisor.run())
    }

    /// Returns the internal address of the leader while connected.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        let shared = self.shared.borrow();
        shared.leader.as_ref().map(|leader| leader.address)
    }

    /// Sends a frame that needs no answer. It is dropped while there is no leader or
    /// the queue is full. Returns whether it is on its way.
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

    /// Calls the leader. `Lost` means that the call may have had its effect,
    /// `NotLeader` that no leader was there in time.
    pub async fn call(&self, request: message::Request, limit: time::Duration) -> message::Reply {
        let deadline = tokio::time::Instant::now() + limit;
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
        let answer = async {
            if writer.send(bytes).await.is_err() {
                return message::Reply::NotLeader;
            }
            receiver.await.unwrap_or(message::Reply::Lost)
        };
        let answer = tokio::time::timeout_at(deadline, answer).await;
        self.shared.borrow_mut().pending.remove(&ticket);
        answer.unwrap_or(message::Reply::Lost)
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

    /// Hands the answer to a call to its caller.
    fn answer(&self, ticket: u64, reply: message::Reply) {
        let waiting = self.shared.borrow_mut().pending.remove(&ticket);
        if let Some(waiting) = waiting {
            // The caller may have given up.
            let _ = waiting.send(reply);
        }
    }
}

/// The members of the group as a replica knows them.
struct Members {
    replicas: Vec<net::SocketAddr>,
    /// Whether the replica leads, in no earlier term than another; the others may be
    /// out of date.
    sure: bool,
}

/// Keeps a watch on every known control replica.
struct Supervisor {
    link: Link,
    hello: Rc<[u8]>,
    seeds: Seeds,
    /// Members of the group as replicas named them.
    members: BTreeSet<net::SocketAddr>,
    watched: BTreeMap<net::SocketAddr, task::AbortHandle>,
    watches: task::JoinSet<()>,
}

impl Supervisor {
    async fn run(mut self) {
        let (sender, mut learned) = mpsc::unbounded_channel();
        let mut seeds: BTreeSet<net::SocketAddr> = (self.seeds)().into_iter().collect();
        let mut read = tokio::time::interval(SEEDS);
        loop {
            self.watch(&seeds, &sender);
            tokio::select! {
                Some(Members { replicas, sure }) = learned.recv() => {
                    if sure {
                        self.members.clear();
                    }
                    self.members.extend(replicas);
                }
                _ = read.tick() => {
                    if self.link.leader().is_none() {
                        seeds = (self.seeds)().into_iter().collect();
                    }
                }
            }
        }
    }

    /// Begins and ends watches, so that there is one for each known replica.
    fn watch(
        &mut self,
        seeds: &BTreeSet<net::SocketAddr>,
        learned: &mpsc::UnboundedSender<Members>,
    ) {
        while self.watches.try_join_next().is_some() {}
        let members = &self.members;
        self.watched.retain(|address, watch| {
            let keep = members.contains(address) || seeds.contains(address);
            if !keep {
                watch.abort();
            }
            keep
        });
        for address in members.union(seeds) {
            if self.watched.contains_key(address) {
                continue;
            }
            let watch = Watch {
                link: self.link.clone(),
                hello: Rc::clone(&self.hello),
                address: *address,
                learned: learned.clone(),
            };
            let handle = self.watches.spawn_local(watch.run());
            self.watched.insert(*address, handle);
        }
    }
}

/// The connection to one control replica.
struct Watch {
    link: Link,
    hello: Rc<[u8]>,
    address: net::SocketAddr,
    learned: mpsc::UnboundedSender<Members>,
}

impl Watch {
    async fn run(self) {
        let mut pause = PAUSE;
        loop {
            if self.connection().await {
                pause = PAUSE;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSE_MAX);
        }
    }

    /// Connects and stays connected. Returns whether the replica answered.
    async fn connection(&self) -> bool {
        let Ok(stream) = socket::connect(self.address, CONNECT).await else {
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
            tokio::time::timeout(CONNECT, first).await
        else {
            return false;
        };
        let mut standing = self.learn(term, &replicas);
        while standing.is_none() {
            match reader.next_before_timeout().await {
                Ok(message::Frame::Heartbeat) => {}
                Ok(message::Frame::Welcome { term, replicas }) => {
                    standing = self.learn(term, &replicas);
                }
                Ok(_) => return true,
                Err(error) => {
                    log::info!(replica = self.address.to_string().as_str(); "control replica lost: {error}");
                    return true;
                }
            }
        }
        if let Some(term) = standing {
            self.follow(term, reader, writer).await;
        }
        true
    }

    /// Takes what a replica says of itself and returns the term in which it leads.
    fn learn(&self, term: Option<u64>, replicas: &[Name]) -> Option<u64> {
        let replicas = replicas.iter();
        let replicas = replicas.filter_map(|address| address.parse().ok());
        let members = Members {
            replicas: replicas.collect(),
            sure: term.is_some_and(|term| self.link.shared.borrow().is_newest(term)),
        };
        // The supervisor ends with the process.
        let _ = self.learned.send(members);
        term
    }

    /// Works with a leader until its connection ends or it falls silent.
    async fn follow(&self, term: u64, mut reader: socket::Reader, mut writer: socket::Writer) {
        let (sender, mut queue) = mpsc::channel::<Vec<u8>>(QUEUE);
        let leader = Leader {
            term,
            address: self.address,
            writer: sender,
        };
        if !self.link.shared.borrow_mut().claim(leader) {
            return;
        }
        let _claim = Claim {
            link: &self.link,
            term,
        };
        let alive = message::encode(&message::Frame::Heartbeat);
        let write = async {
            loop {
                let bytes =
                    match tokio::time::timeout(socket::HEARTBEAT_INTERVAL, queue.recv()).await {
                        Ok(Some(bytes)) => bytes,
                        Ok(None) => break,
                        Err(_) => alive.clone(),
                    };
                if writer.write(&bytes).await.is_err() {
                    break;
                }
            }
        };
        let read = async {
            while let Ok(frame) = reader.next_before_timeout().await {
                if !self.link.shared.borrow().leads(term) {
                    break;
                }
                match frame {
                    message::Frame::Update(update) => {
                        self.link.shared.borrow().tell(Event::Update(update));
                    }
                    message::Frame::Reply { ticket, reply } => self.link.answer(ticket, reply),
                    message::Frame::Welcome {
                        term: Some(known),
                        replicas,
                    } if known == term => {
                        self.learn(Some(term), &replicas);
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

/// A replica's place as the leader, until it is dropped.
struct Claim<'a> {
    link: &'a Link,
    term: u64,
}

impl Drop for Claim<'_> {
    fn drop(&mut self) {
        self.link.shared.borrow_mut().lose(self.term);
    }
}
