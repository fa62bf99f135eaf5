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
        let accept = Accept {
            builder: self,
            listener,
            handler: sync::Arc::new(handler),
            stopped,
        };
        Ok(Server {
            address,
            stop,
            task: tokio::spawn(accept.run()),
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

    /// Stops accepting, lets running requests finish and closes all connections.
    ///
    /// Requests that still run after the time limit are cut off; the result
    /// says whether all finished.
    pub async fn drain(mut self, limit: time::Duration) -> bool {
        // The accept loop holds the receiver for as long as it runs.
        let _ = self.stop.send(true);
        if tokio::time::timeout(limit, &mut self.task).await.is_ok() {
            return true;
        }
        self.task.abort();
        let _ = self.task.await;
        false
    }
}

struct Accept<H> {
    builder: Builder,
    listener: async_net::TcpListener,
    handler: sync::Arc<H>,
    stopped: async_sync::watch::Receiver<bool>,
}

impl<H> Accept<H>
where
    H: handler::NewHandler + Send + Sync + panic::RefUnwindSafe + 'static,
{
    async fn run(mut self) {
        let graceful = server::graceful::GracefulShutdown::new();
        let slots = sync::Arc::new(async_sync::Semaphore::new(self.builder.max_connections));
        let mut connections = task::JoinSet::new();
        loop {
            let slot = tokio::select! {
                slot = sync::Arc::clone(&slots).acquire_owned() => slot,
                _ = self.stopped.wait_for(|stop| *stop) => break,
            };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                _ = self.stopped.wait_for(|stop| *stop) => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    // A refused option only costs latency.
                    let _ = stream.set_nodelay(true);
                    let connection = graceful.watch(self.connection(stream, peer));
                    connections.spawn(async move {
                        // A broken connection concerns its caller only.
                        let _ = connection.await;
                        drop(slot);
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

    fn connection(
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
