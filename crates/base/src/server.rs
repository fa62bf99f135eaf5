//! The HTTP server loop around a `gotham` handler.
//!
//! `gotham`'s own loop has no connection limit, no header timeout and no
//! graceful shutdown, so this one drives the connections with `hyper-util` and
//! hands each request to the handler.

use std::{io, net, panic, sync, time};

use gotham::{handler, service, state};
use hyper_util::rt;
use tokio::{net as async_net, sync as async_sync, task};

use crate::responses;

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
        let responses = responses::Responses::default();
        let acceptor = Acceptor {
            builder: self,
            listener,
            handler: sync::Arc::new(handler),
            responses: responses.clone(),
        };
        Ok(Server {
            address,
            responses,
            task: tokio::spawn(acceptor.run()),
        })
    }
}

/// A running server.
pub struct Server {
    address: net::SocketAddr,
    responses: responses::Responses,
    task: task::JoinHandle<()>,
}

impl Server {
    /// Returns the bound address.
    pub fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Notes that the process was told to stop. Requests are still served.
    pub fn begin_stop(&self) {
        self.responses.advance(responses::Stage::Stopping);
    }

    /// Stops accepting connections, lets running requests finish and closes all
    /// connections once their clients have the responses.
    ///
    /// Responses that are not with their clients after the time limit are cut off.
    /// Returns whether there were none.
    pub async fn drain(self, limit: time::Duration) -> bool {
        self.responses.advance(responses::Stage::Closing);
        let finished = tokio::time::timeout(limit, self.responses.finished()).await;
        // What is left are connections on which no whole request has arrived.
        self.task.abort();
        // The task was ended on purpose.
        let _ = self.task.await;
        finished.is_ok()
    }
}

/// Accepts connections until it is told to stop.
struct Acceptor<H> {
    builder: Builder,
    listener: async_net::TcpListener,
    handler: sync::Arc<H>,
    responses: responses::Responses,
}

impl<H> Acceptor<H>
where
    H: handler::NewHandler + Send + Sync + panic::RefUnwindSafe + 'static,
{
    async fn run(self) {
        let permits = sync::Arc::new(async_sync::Semaphore::new(self.builder.max_connections));
        let mut connections = task::JoinSet::new();
        loop {
            let permit = tokio::select! {
                permit = sync::Arc::clone(&permits).acquire_owned() => permit,
                () = self.responses.reached(responses::Stage::Closing) => break,
            };
            let accepted = tokio::select! {
                accepted = self.listener.accept() => accepted,
                () = self.responses.reached(responses::Stage::Closing) => break,
            };
            match accepted {
                Ok((stream, peer)) => {
                    // Without this option, only latency is worse.
                    let _ = stream.set_nodelay(true);
                    let connection = self.serve_connection(stream, peer);
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
        while connections.join_next().await.is_some() {}
    }

    fn serve_connection(
        &self,
        stream: async_net::TcpStream,
        peer: net::SocketAddr,
    ) -> impl Future<Output = hyper::Result<()>> + Send + use<H> {
        let responses = self.responses.clone();
        let handler = sync::Arc::clone(&self.handler);
        let service = hyper::service::service_fn(move |request| {
            let handler = sync::Arc::clone(&handler);
            let state = state::State::from_request(request, peer);
            service::call_handler(handler, panic::AssertUnwindSafe(state))
        });
        let mut http = hyper::server::conn::http1::Builder::new();
        http.timer(rt::TokioTimer::new())
            .header_read_timeout(self.builder.header_timeout);
        async move { responses.serve(http, stream, service).await }
    }
}
