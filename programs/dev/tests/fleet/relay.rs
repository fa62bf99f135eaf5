//! A TCP relay whose directions can be blocked, for partitions of real connections.

use std::{io, net};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream, tcp},
    sync::watch,
    task,
};

const BUFFER_BYTES: usize = 64 * 1024;

/// A direction of the connections of a relay.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the process that connects.
    Requests,
    /// To the process that connects.
    Answers,
}

/// A relay in front of one address.
///
/// A blocked direction delivers nothing, neither bytes nor the end of a
/// connection, on open connections as well as on new ones. What is sent
/// meanwhile is delivered once the direction is unblocked, as TCP does after a
/// partition.
pub struct Relay {
    address: net::SocketAddr,
    requests: watch::Sender<bool>,
    answers: watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl Relay {
    /// Starts a relay on a free port.
    pub async fn start(ip: &str, target: String) -> Relay {
        let listener = TcpListener::bind((ip, 0)).await.expect("free port");
        let address = listener.local_addr().expect("bound address");
        let (requests, requests_open) = watch::channel(true);
        let (answers, answers_open) = watch::channel(true);
        let task = tokio::spawn(accept(listener, target, requests_open, answers_open));
        Relay {
            address,
            requests,
            answers,
            task,
        }
    }

    /// Returns the `IP:port` to connect to.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    pub fn block(&self, direction: Direction) {
        self.gate(direction).send_replace(false);
    }

    pub fn unblock(&self, direction: Direction) {
        self.gate(direction).send_replace(true);
    }

    fn gate(&self, direction: Direction) -> &watch::Sender<bool> {
        match direction {
            Direction::Requests => &self.requests,
            Direction::Answers => &self.answers,
        }
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: TcpListener,
    target: String,
    requests: watch::Receiver<bool>,
    answers: watch::Receiver<bool>,
) {
    // Dropped with this task, which ends the connections.
    let mut connections = task::JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else {
                    continue;
                };
                let connection = connect(stream, target.clone(), requests.clone(), answers.clone());
                connections.spawn(connection);
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

/// Relays one connection; if the target refuses, the connection is closed.
async fn connect(
    stream: TcpStream,
    target: String,
    requests: watch::Receiver<bool>,
    answers: watch::Receiver<bool>,
) -> io::Result<()> {
    let upstream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    upstream.set_nodelay(true)?;
    let (from_client, to_client) = stream.into_split();
    let (from_target, to_target) = upstream.into_split();
    tokio::join!(
        forward(from_client, to_target, requests),
        forward(from_target, to_client, answers),
    );
    Ok(())
}

/// Copies one direction until its end, while the gate is open.
async fn forward(
    mut from: tcp::OwnedReadHalf,
    mut to: tcp::OwnedWriteHalf,
    mut gate: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        // A reset ends the direction like a close.
        let count = from.read(&mut buffer).await.unwrap_or(0);
        if gate.wait_for(|open| *open).await.is_err() {
            return;
        }
        if count == 0 || to.write_all(&buffer[..count]).await.is_err() {
            // The other end may be closed already.
            let _ = to.shutdown().await;
            return;
        }
    }
}
