//! The HTTP server loop around a `gotham` handler.
//!
//! `gotham`'s own loop has no connection limit, no header timeout and no
//! graceful shutdown, so this one drives the connections with `hyper-util` and
//! hands each request to the handler.

use std::{io, net, panic, sync, time};

use gotham::{handler, hyper, service, state};
use hyper_util::{rt, server};
use tokio::{net as async_net, sync as async_sync, task};

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Builds a [`Server`].
#[derive(Clone, Debug)]
pub struct Builder {
    max_connections: usize,
    header_timeout: time::Duration,
}

impl Default for Builder {
    fn default() -> Self {
        Builder {
            max_connections: 20_000,
            header_timeout: time::Duration::from_secs(10),
        }
    }
}

impl Builder {
    /// Sets how many connections may be open; more wait in the listen queue.
    pub fn max_connections(mut self, connections: usize) -> Builder {
        self.max_connections = connections;
        self
    }

    /// Sets how long a connection may take to send a request's headers.
    pub fn header_timeout(mut self, timeout: time::Duration) -> Builder {
        self.header_timeout = timeout;
        self
    }

    /// Binds an address and starts to serve on the current runtime.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub async fn serve<H>(self, address: &str, handler: H) -> io::Result<Server>
    where
        H: handler::NewHandler + Send + Sync + panic::RefUnwindSafe + 'static,
    {
        let listener = async_net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = async_sync::watch::channel(false);
        let acceptor = Acceptor {
            builder: self,
            listener,
            handler: sync::Arc::new(handler),
            stopped,
        };
        Ok(Server {
            address,
            stop,
            task: tokio::spawn(acceptor.run()),
        })
    }
}

/// A running server.
pub struct Server {
    address: net::SocketAddr,
    stop: async_sync::watch::Sender<bool>,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Returns the bound address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Stops accepting connections, lets running requests finish and closes all
    /// connections.
    ///
    /// Requests that still run after the time limit are aborted. Returns whether all
    /// finished.
    pub async fn drain(mut self, limit: time::Duration) -> bool {
        // Sending fails only if the accept loop, which holds the receiver, has ended.
        let _ = self.stop.send(true);
        if tokio::time::timeout(limit, &mut self.task).await.is_ok() {
            return true;
        }
        self.task.abort();
        let _ = self.task.await;
        false
    }
}

/// Accepts connections until it is told to stop.
struct Acceptor<H> {
    builder: Builder,
    listener: async_net::TcpListener,
    handler: sync::Arc<H>,
    stopped: async_sync::watch::Receiver<bool>,
}

impl<H> Acceptor<H>
where
    H: handler::NewHandler + Send + Sync + panic::RefUnwindSafe + 'static,
{
    async fn run(mut self) {
        let graceful = server::graceful::GracefulShutdown::new();
        let permits = sync::Arc::new(async_sync::Semaphore::new(self.builder.max_connections));
        let mut connections = task::JoinSet::new();
        loop {
            let permit = tokio::select! {
                permit = sync::Arc::clone(&permits).acquire_owned() => permit,
                _ = self.stopped.wait_for(|stop| *stop) => break,
            };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = self.stopped.wait_for(|stop| *stop) => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    // Without this option, only latency is worse.
                    let _ = stream.set_nodelay(true);
                    let connection = graceful.watch(self.serve_connection(stream, peer));
                    connections.spawn(async move {
                        // A failed connection affects only its own client.
                        let _ = connection.await;
                        drop(permit);
                    });
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
            while connections.try_join_next().is_some() {}
        }
        drop(self.listener);
        graceful.shutdown().await;
        while connections.join_next().await.is_some() {}
    }

    fn serve_connection(
        &self,
        stream: async_net::TcpStream,
        peer: net::SocketAddr,
    ) -> impl server::graceful::GracefulConnection<Error = hyper::Error> + Send + use<H> {
        let handler = sync::Arc::clone(&self.handler);
        let service = hyper::service::service_fn(move |request| {
            let handler = sync::Arc::clone(&handler);
            let state = state::State::from_request(request, peer);
            service::call_handler(handler, panic::AssertUnwindSafe(state))
        });
        hyper::server::conn::http1::Builder::new()
            .timer(rt::TokioTimer::new())
            .header_read_timeout(self.builder.header_timeout)
            .serve_connection(rt::TokioIo::new(stream), service)
    }
}
