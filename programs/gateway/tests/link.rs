//! The link to the leader, against control replicas that the test plays.

use std::{net, time::Duration};

use bw_gateway::{link, socket};
use bw_relay::message;
use tokio::{sync::mpsc, task};

const LIMIT: Duration = Duration::from_secs(10);

/// A control replica in the hands of a test.
struct Replica {
    listener: tokio::net::TcpListener,
}

/// One connection that a link made to a replica.
struct Connection {
    reader: socket::Reader,
    writer: socket::Writer,
}

impl Replica {
    fn start() -> Replica {
        let any = "127.0.0.1:0".parse().expect("an address");
        Replica {
            listener: socket::listen(any).expect("a free port"),
        }
    }

    fn address(&self) -> net::SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    async fn accept(&self) -> Connection {
        let accepting = tokio::time::timeout(LIMIT, self.listener.accept());
        let (stream, _) = accepting.await.expect("in time").expect("a connection");
        let (read, write) = stream.into_split();
        let mut connection = Connection {
            reader: socket::Reader::new(read),
            writer: socket::Writer::new(write),
        };
        let first = connection.next().await;
        assert!(matches!(first, message::Frame::Hello { .. }), "{first:?}");
        connection
    }
}

impl Connection {
    async fn next(&mut self) -> message::Frame {
        let next = tokio::time::timeout(LIMIT, self.reader.next()).await;
        next.expect("in time").expect("a frame")
    }

    /// Returns the next call, without the frames that need no answer.
    async fn call(&mut self) -> u64 {
        loop {
            if let message::Frame::Call { ticket, .. } = self.next().await {
                return ticket;
            }
        }
    }

    async fn send(&mut self, frame: message::Frame) {
        let sent = self.writer.write(&message::encode(&frame)).await;
        sent.expect("an open connection");
    }

    async fn welcome(&mut self, term: Option<u64>, replicas: &[net::SocketAddr]) {
        let replicas = replicas.iter();
        let replicas = replicas.map(|address| address.to_string().into()).collect();
        self.send(message::Frame::Welcome { term, replicas }).await;
    }
}

/// Starts a link that knows one seed.
fn link(
    seed: net::SocketAddr,
) -> (
    link::Link,
    mpsc::UnboundedReceiver<link::Event>,
    task::JoinHandle<()>,
) {
    let (sender, news) = mpsc::unbounded_channel();
    let seeds = Box::new(move || vec![seed]);
    let (link, drive) =
        link::Link::new("entry-1".into(), seed, message::Role::Entry, seeds, sender);
    (link, news, task::spawn_local(drive))
}

async fn call(link: &link::Link) -> message::Reply {
    link.call(message::Request::ReadConfig, LIMIT).await
}

/// Guards against staying with a leader that was replaced but whose connection
/// looks healthy, as that of a frozen or cut-off VM does for seconds.
#[tokio::test]
async fn a_leader_of_a_later_term_is_used_at_once() {
    let test = async {
        let (old, new) = (Replica::start(), Replica::start());
        let members = [old.address(), new.address()];
        let (link, mut news, _drive) = link(old.address());
        let mut first = old.accept().await;
        first.welcome(Some(1), &members).await;
        let mut second = new.accept().await;
        second.welcome(None, &members).await;
        let connected = news.recv().await;
        assert!(matches!(connected, Some(link::Event::Connected)));

        // A call that the old leader never answers has an unknown outcome as
        // soon as another replica leads.
        let waiting = task::spawn_local({
            let link = link.clone();
            async move { call(&link).await }
        });
        first.call().await;
        second.welcome(Some(2), &members).await;
        assert_eq!(waiting.await.expect("no panic"), message::Reply::Lost);
        assert_eq!(link.leader(), Some(new.address()));

        let answering = async {
            let ticket = second.call().await;
            let reply = message::Reply::Empty;
            second.send(message::Frame::Reply { ticket, reply }).await;
        };
        let (reply, ()) = tokio::join!(call(&link), answering);
        assert_eq!(reply, message::Reply::Empty);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against following a replica that wakes up and still believes that it
/// leads an earlier term.
#[tokio::test]
async fn a_leader_of_an_earlier_term_is_not_used() {
    let test = async {
        let (old, new) = (Replica::start(), Replica::start());
        let members = [new.address(), old.address()];
        let (link, mut news, _drive) = link(new.address());
        let mut second = new.accept().await;
        second.welcome(Some(2), &members).await;
        assert!(matches!(news.recv().await, Some(link::Event::Connected)));
        let mut first = old.accept().await;
        first.welcome(Some(1), &members).await;
        // The link leaves and comes back, as the replica may lead later.
        let mut again = old.accept().await;
        again.welcome(None, &members).await;
        assert_eq!(link.leader(), Some(new.address()));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against losing the leader to the old list of members of a replica that
/// wakes up and still believes that it leads an earlier term.
#[tokio::test]
async fn the_members_of_an_earlier_term_do_not_end_the_link_to_the_leader() {
    let test = async {
        let (old, new) = (Replica::start(), Replica::start());
        let (link, mut news, _drive) = link(old.address());
        let mut first = old.accept().await;
        first.welcome(None, &[new.address()]).await;
        let mut second = new.accept().await;
        second.welcome(Some(7), &[new.address()]).await;
        assert!(matches!(news.recv().await, Some(link::Event::Connected)));
        first.welcome(Some(5), &[old.address()]).await;
        // The link leaves and comes back.
        let mut again = old.accept().await;
        again.welcome(None, &[old.address()]).await;
        assert!(news.try_recv().is_err(), "the leader was not lost");
        assert_eq!(link.leader(), Some(new.address()));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against losing the way to the leader when the seeds are gone but
/// another replica names the members.
#[tokio::test]
async fn members_that_a_replica_names_are_tried() {
    let test = async {
        let (seed, other) = (Replica::start(), Replica::start());
        let (link, mut news, _drive) = link(seed.address());
        let mut hint = seed.accept().await;
        hint.welcome(None, &[other.address()]).await;
        let mut leader = other.accept().await;
        leader.welcome(Some(7), &[other.address()]).await;
        assert!(matches!(news.recv().await, Some(link::Event::Connected)));
        drop(seed);
        drop(hint);
        assert_eq!(link.leader(), Some(other.address()));
        drop(leader);
        assert!(matches!(news.recv().await, Some(link::Event::Disconnected)));
        let mut again = other.accept().await;
        again.welcome(Some(8), &[other.address()]).await;
        assert!(matches!(news.recv().await, Some(link::Event::Connected)));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against keeping the connection to a replica that lost power without a
/// reset: the replica may lead after its return and nothing would tell.
#[tokio::test]
async fn a_silent_replica_is_connected_to_again() {
    let test = async {
        let replica = Replica::start();
        let (link, mut news, _drive) = link(replica.address());
        let mut before = replica.accept().await;
        before.welcome(None, &[replica.address()]).await;
        // The old connection stays open and says nothing more.
        let mut after = replica.accept().await;
        after.welcome(Some(3), &[replica.address()]).await;
        assert!(matches!(news.recv().await, Some(link::Event::Connected)));
        assert_eq!(link.leader(), Some(replica.address()));
        drop(before);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against opening each watch anew all day, which would cost as many
/// connections as there are processes.
#[tokio::test]
async fn a_replica_that_says_it_is_alive_keeps_its_watchers() {
    let test = async {
        let replica = Replica::start();
        let (_link, _news, _drive) = link(replica.address());
        let mut watch = replica.accept().await;
        watch.welcome(None, &[replica.address()]).await;
        let until = tokio::time::Instant::now() + 2 * socket::SILENCE_TIMEOUT;
        while tokio::time::Instant::now() < until {
            tokio::time::sleep(socket::HEARTBEAT_INTERVAL).await;
            watch.send(message::Frame::Heartbeat).await;
        }
        let again = tokio::time::timeout(socket::HEARTBEAT_INTERVAL, replica.listener.accept());
        assert!(again.await.is_err(), "the watch was kept");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a leader that forgets a process with nothing to say.
#[tokio::test]
async fn a_link_says_that_it_is_alive() {
    let test = async {
        let replica = Replica::start();
        let (_link, _news, _drive) = link(replica.address());
        let mut session = replica.accept().await;
        session.welcome(Some(1), &[replica.address()]).await;
        let heard = tokio::time::timeout(socket::SILENCE_TIMEOUT, session.next());
        assert_eq!(heard.await.expect("in time"), message::Frame::Heartbeat);
    };
    task::LocalSet::new().run_until(test).await;
}
