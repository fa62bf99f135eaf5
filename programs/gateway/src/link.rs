//! The connection of a process to the leader.
//!
//! One task finds the leader from the seeds, keeps a connection to it, hands
//! its news on and carries calls. Calls wait for a connection until their own
//! time limit.

use std::{cell::RefCell, collections::HashMap, net, rc::Rc, time};

use bw_relay::message;
use bw_wire::name::Name;
use tokio::sync::{mpsc, oneshot};

use crate::socket;

/// Time limit of connecting to a control replica and of its first answer.
const CONNECT: time::Duration = time::Duration::from_millis(500);
/// Longest silence of the leader, which sends something twice a second.
const SILENCE: time::Duration = time::Duration::from_millis(1_500);
/// Pause after all known control replicas were tried.
const ROUND_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Frames that may wait to be written to the leader.
const QUEUE: usize = 256;

/// What the link tells its owner.
#[derive(Debug)]
pub enum News {
    /// A leader was found; its first update is complete.
    Connected,
    /// The leader was lost.
    Disconnected,
    /// News of the leader.
    Update(message::Update),
}

type Pending = HashMap<u64, oneshot::Sender<message::Reply>>;

struct Shared {
    next_ticket: u64,
    pending: Pending,
    writer: Option<mpsc::Sender<Vec<u8>>>,
    leader: Option<net::SocketAddr>,
    connected: Rc<tokio::sync::Notify>,
}

/// A handle to the link; clones share one connection.
#[derive(Clone)]
pub struct Link {
    shared: Rc<RefCell<Shared>>,
}

/// Where control replicas may be found.
pub type Seeds = Box<dyn Fn() -> Vec<net::SocketAddr>>;

impl Link {
    /// Creates a link and the future that drives it. `seeds` is asked again
    /// whenever the leader must be found, as settings may have changed.
    pub fn new(
        node: Name,
        role: message::Role,
        seeds: Seeds,
        news: mpsc::UnboundedSender<News>,
    ) -> (Link, impl Future<Output = ()>) {
        let link = Link {
            shared: Rc::new(RefCell::new(Shared {
                next_ticket: 0,
                pending: HashMap::new(),
                writer: None,
                leader: None,
                connected: Rc::default(),
            })),
        };
        let task = Task {
            link: link.clone(),
            node,
            role,
            seeds,
            news,
            known: Vec::new(),
        };
        (link, task.run())
    }

    /// Returns the internal address of the leader while connected.
    pub fn leader(&self) -> Option<net::SocketAddr> {
        self.shared.borrow().leader
    }

    /// Sends a frame that needs no answer; it is dropped while there is no
    /// connection or the queue is full, as later ones replace it.
    pub fn notify(&self, frame: &message::Frame) {
        let writer = self.shared.borrow().writer.clone();
        let full = writer.is_some_and(|writer| writer.try_send(message::encode(frame)).is_err());
        if full {
            crate::metrics::FRAMES_DROPPED
                .with_label_values(&["leader_queue"])
                .inc();
        }
    }

    /// Calls the leader. `Lost` means that the call may have had its effect,
    /// `NotLeader` that no connection was there in time.
    pub async fn call(&self, request: message::Request, limit: time::Duration) -> message::Reply {
        let deadline = tokio::time::Instant::now() + limit;
        let Some(writer) = self.writer(deadline).await else {
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

    async fn writer(&self, deadline: tokio::time::Instant) -> Option<mpsc::Sender<Vec<u8>>> {
        loop {
            let connected = {
                let shared = self.shared.borrow();
                if let Some(writer) = &shared.writer {
                    return Some(writer.clone());
                }
                Rc::clone(&shared.connected)
            };
            tokio::time::timeout_at(deadline, connected.notified())
                .await
                .ok()?;
        }
    }
}

struct Task {
    link: Link,
    node: Name,
    role: message::Role,
    seeds: Seeds,
    news: mpsc::UnboundedSender<News>,
    /// Control replicas that others named, the likely leader first.
    known: Vec<net::SocketAddr>,
}

impl Task {
    async fn run(mut self) {
        loop {
            let mut candidates = self.known.clone();
            candidates.extend((self.seeds)());
            let mut tried = Vec::new();
            let mut served = false;
            while let Some(address) = next(&candidates, &tried) {
                tried.push(address);
                match self.serve(address).await {
                    Served::Leader => {
                        served = true;
                        break;
                    }
                    Served::Hint(replicas) => {
                        // The likely leader comes first; it is tried next.
                        candidates.splice(0..0, replicas);
                    }
                    Served::Nothing => {}
                }
            }
            if !served {
                tokio::time::sleep(ROUND_PAUSE).await;
            }
        }
    }

    /// Connects to a control replica and stays with it while it leads.
    async fn serve(&mut self, address: net::SocketAddr) -> Served {
        let Ok(stream) = socket::connect(address, CONNECT).await else {
            return Served::Nothing;
        };
        let (read, write) = stream.into_split();
        let mut reader = socket::Reader::new(read);
        let mut writer = socket::Writer::new(write);
        let (node, role) = (self.node.clone(), self.role);
        let hello = message::encode(&message::Frame::Hello { node, role });
        let first = async {
            writer.write(&hello).await?;
            reader.next().await
        };
        let Ok(Ok(message::Frame::Welcome { leads, replicas })) =
            tokio::time::timeout(CONNECT, first).await
        else {
            return Served::Nothing;
        };
        let replicas = parse(&replicas);
        if !replicas.is_empty() {
            self.known.clone_from(&replicas);
        }
        if !leads {
            return Served::Hint(replicas);
        }
        log::info!(leader = address.to_string().as_str(); "connected to the leader");
        self.stay(address, reader, writer).await;
        log::warn!(leader = address.to_string().as_str(); "lost the leader");
        Served::Leader
    }

    async fn stay(
        &mut self,
        address: net::SocketAddr,
        mut reader: socket::Reader,
        mut writer: socket::Writer,
    ) {
        let (sender, mut queue) = mpsc::channel::<Vec<u8>>(QUEUE);
        {
            let mut shared = self.link.shared.borrow_mut();
            shared.writer = Some(sender);
            shared.leader = Some(address);
            shared.connected.notify_waiters();
        }
        // The owner ends with the process, so nobody misses the news.
        let _ = self.news.send(News::Connected);
        let write = async {
            while let Some(bytes) = queue.recv().await {
                if writer.write(&bytes).await.is_err() {
                    break;
                }
            }
        };
        let link = self.link.clone();
        let news = self.news.clone();
        let read = async {
            while let Ok(Ok(frame)) = tokio::time::timeout(SILENCE, reader.next()).await {
                match frame {
                    message::Frame::Update(update) => {
                        let _ = news.send(News::Update(update));
                    }
                    message::Frame::Reply { ticket, reply } => {
                        let waiting = link.shared.borrow_mut().pending.remove(&ticket);
                        if let Some(waiting) = waiting {
                            // The caller may have given up.
                            let _ = waiting.send(reply);
                        }
                    }
                    message::Frame::Welcome { leads: true, .. } => {}
                    _ => break,
                }
            }
        };
        tokio::select! {
            () = write => {}
            () = read => {}
        }
        let mut shared = self.link.shared.borrow_mut();
        shared.writer = None;
        shared.leader = None;
        shared.pending.clear();
        drop(shared);
        let _ = self.news.send(News::Disconnected);
    }
}

enum Served {
    /// It led until the connection ended.
    Leader,
    /// It does not lead; these replicas may.
    Hint(Vec<net::SocketAddr>),
    /// It did not answer.
    Nothing,
}

fn next(candidates: &[net::SocketAddr], tried: &[net::SocketAddr]) -> Option<net::SocketAddr> {
    let mut candidates = candidates.iter();
    candidates.find(|address| !tried.contains(address)).copied()
}

fn parse(addresses: &[Name]) -> Vec<net::SocketAddr> {
    let addresses = addresses.iter();
    addresses
        .filter_map(|address| address.parse().ok())
        .collect()
}
