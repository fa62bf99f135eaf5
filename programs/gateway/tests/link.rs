//! The link to the leader, against fake control replicas.

use std::{net, time::Duration};

use bw_gateway::{link, socket};
use bw_relay::message;
use tokio::{sync::mpsc, task};

const TIMEOUT: Duration = Duration::from_secs(10);

/// A control replica that the test plays.
struct FakeReplica {
    listener: tokio::net::TcpListener,
}

/// One connection of a link to a fake replica.
struct Connection {
    reader: socket::Reader,
    writer: socket::Writer,
}

impl FakeReplica {
    fn start() -> FakeReplica {
        let any = "127.0.0.1:0".parse().expect("an address");
        FakeReplica {
            listener: socket::listen(any).expect("a free port"),
        }
    }

    fn address(&self) -> net::SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    async fn accept(&self) -> Connection {
        let accepting = tokio::time::timeout(TIMEOUT, self.listener.accept());
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
        let next = tokio::time::timeout(TIMEOUT, self.reader.next()).await;
        next.expect("in time").expect("a frame")
    }

    /// Returns the ticket of the next call and skips all other frames.
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
    let (sender, events) = mpsc::unbounded_channel();
    let seeds = Box::new(move || vec![seed]);
    let (link, driver) =
        link::Link::new("entry-1".into(), seed, message::Role::Entry, seeds, sender);
    (link, events, task::spawn_local(driver))
}

async fn call(link: &link::Link) -> message::Reply {
    link.call(message::Request::ReadConfig, TIMEOUT).await
}

/// Guards against a link that stays with a replaced leader because its connection still
/// looks healthy, as that of a frozen or cut-off VM does for seconds.
#[tokio::test]
async fn a_leader_of_a_later_term_is_used_at_once() {
    let test = async {
        let (old, new) = (FakeReplica::start(), FakeReplica::start());
        let members = [old.address(), new.address()];
        let (link, mut events, _driver) = link(old.address());
        let mut first = old.accept().await;
        first.welcome(Some(1), &members).await;
        let mut second = new.accept().await;
        second.welcome(None, &members).await;
        let connected = events.recv().await;
        assert!(matches!(connected, Some(link::Event::Connected)));

        // A call without a reply from the old leader has an unknown outcome as soon as
        // another replica is the leader.
        let waiting = task::spawn_local({
            let link = link.clone();
            async move { call(&link).await }
        });
        first.call().await;
        second.welcome(Some(2), &members).await;
        assert_eq!(waiting.await.expect("no panic"), message::Reply::Lost);
        assert_eq!(link.leader(), Some(new.address()));

        let replying = async {
            let ticket = second.call().await;
            let reply = message::Reply::Empty;
            second.send(message::Frame::Reply { ticket, reply }).await;
        };
        let (reply, ()) = tokio::join!(call(&link), replying);
        assert_eq!(reply, message::Reply::Empty);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a link that follows a replica which was frozen and still believes that
/// it is the leader, in an earlier term.
#[tokio::test]
async fn a_leader_of_an_earlier_term_is_not_used() {
    let test = async {
        let (old, new) = (FakeReplica::start(), FakeReplica::start());
        let members = [new.address(), old.address()];
        let (link, mut events, _driver) = link(new.address());
        let mut second = new.accept().await;
        second.welcome(Some(2), &members).await;
        assert!(matches!(events.recv().await, Some(link::Event::Connected)));
        let mut first = old.accept().await;
        first.welcome(Some(1), &members).await;
        // The link disconnects and reconnects, because the replica may lead a later
        // term.
        let mut again = old.accept().await;
        again.welcome(None, &members).await;
        assert_eq!(link.leader(), Some(new.address()));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against losing the leader because of the outdated list of members of a replica
/// that was frozen and still believes that it is the leader, in an earlier term.
#[tokio::test]
async fn the_members_of_an_earlier_term_do_not_end_the_link_to_the_leader() {
    let test = async {
        let (old, new) = (FakeReplica::start(), FakeReplica::start());
        let (link, mut events, _driver) = link(old.address());
        let mut first = old.accept().await;
        first.welcome(None, &[new.address()]).await;
        let mut second = new.accept().await;
        second.welcome(Some(7), &[new.address()]).await;
        assert!(matches!(events.recv().await, Some(link::Event::Connected)));
        first.welcome(Some(5), &[old.address()]).await;
        // The link disconnects and reconnects.
        let mut again = old.accept().await;
        again.welcome(None, &[old.address()]).await;
        assert!(events.try_recv().is_err(), "the leader was not lost");
        assert_eq!(link.leader(), Some(new.address()));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a link that cannot find the leader once the seeds are gone, although
/// another replica has reported the members.
#[tokio::test]
async fn members_that_a_replica_reports_are_connected_to() {
    let test = async {
        let (seed, other) = (FakeReplica::start(), FakeReplica::start());
        let (link, mut events, _driver) = link(seed.address());
        let mut hint = seed.accept().await;
        hint.welcome(None, &[other.address()]).await;
        let mut leader = other.accept().await;
        leader.welcome(Some(7), &[other.address()]).await;
        assert!(matches!(events.recv().await, Some(link::Event::Connected)));
        drop(seed);
        drop(hint);
        assert_eq!(link.leader(), Some(other.address()));
        drop(leader);
        assert!(matches!(
            events.recv().await,
            Some(link::Event::Disconnected)
        ));
        let mut again = other.accept().await;
        again.welcome(Some(8), &[other.address()]).await;
        assert!(matches!(events.recv().await, Some(link::Event::Connected)));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against keeping the connection to a replica that lost power, which does not
/// reset it: the link would not notice that the replica comes back as the leader.
#[tokio::test]
async fn a_silent_replica_is_connected_to_again() {
    let test = async {
        let replica = FakeReplica::start();
        let (link, mut events, _driver) = link(replica.address());
        let mut before = replica.accept().await;
        before.welcome(None, &[replica.address()]).await;
        // The old connection stays open but carries no more frames.
        let mut after = replica.accept().await;
        after.welcome(Some(3), &[replica.address()]).await;
        assert!(matches!(events.recv().await, Some(link::Event::Connected)));
        assert_eq!(link.leader(), Some(replica.address()));
        drop(before);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against idle connections that are closed and reopened all day, as many as
/// there are processes.
#[tokio::test]
async fn a_replica_that_sends_heartbeats_keeps_its_connections() {
    let test = async {
        let replica = FakeReplica::start();
        let (_link, _news, _driver) = link(replica.address());
        let mut connection = replica.accept().await;
        connection.welcome(None, &[replica.address()]).await;
        let until = tokio::time::Instant::now() + 2 * socket::SILENCE_TIMEOUT;
        while tokio::time::Instant::now() < until {
            tokio::time::sleep(socket::HEARTBEAT_INTERVAL).await;
            connection.send(message::Frame::Heartbeat).await;
        }
        let again = tokio::time::timeout(socket::HEARTBEAT_INTERVAL, replica.listener.accept());
        assert!(again.await.is_err(), "the connection was kept");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a leader that disconnects a process which has nothing to send.
#[tokio::test]
async fn a_link_sends_heartbeats() {
    let test = async {
        let replica = FakeReplica::start();
        let (_link, _news, _driver) = link(replica.address());
        let mut session = replica.accept().await;
        session.welcome(Some(1), &[replica.address()]).await;
        let heard = tokio::time::timeout(socket::SILENCE_TIMEOUT, session.next());
        assert_eq!(heard.await.expect("in time"), message::Frame::Heartbeat);
    };
    task::LocalSet::new().run_until(test).await;
}
