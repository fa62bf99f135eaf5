//! Connections that tell whether the peer has all that was sent.

use std::{
    io, net,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task, time,
};

use hyper_util::client::legacy::connect;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Time limit of the acknowledgement of all that was sent, after the peer has closed its
/// side. It takes a round trip of the network, which is a few milliseconds.
const DELIVERY_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Interval at which the state of the connection is looked at meanwhile. The system sends
/// no event when the last byte is acknowledged.
const DELIVERY_POLL_INTERVAL: time::Duration = time::Duration::from_millis(1);

#[derive(Debug)]
struct Connection {
    tcp: TcpStream,
    /// Whether the HTTP library has begun to write bytes that it has not written in whole.
    is_unsent: AtomicBool,
    /// Whether reading or writing has failed. The system reports a reset only once: who
    /// reads after a failed write gets the end of the connection.
    has_failed: AtomicBool,
}

impl Connection {
    fn close_write(&self) -> io::Result<()> {
        socket2::SockRef::from(&self.tcp).shutdown(net::Shutdown::Write)
    }

    fn note<T>(&self, result: io::Result<T>) -> io::Result<T> {
        let is_failure = |error: &io::Error| error.kind() != io::ErrorKind::WouldBlock;
        if result.as_ref().is_err_and(is_failure) {
            self.has_failed.store(true, Ordering::Relaxed);
        }
        result
    }
}

/// Tells whether the peer of a [`Stream`] has all that was sent, also after the stream is
/// dropped. The connection stays open as long as there is a probe.
#[derive(Clone, Debug)]
pub struct Probe {
    connection: Arc<Connection>,
}

impl Probe {
    /// Returns whether the peer, which has closed its side of the connection, has received
    /// all that was sent. Closes this side as well.
    ///
    /// A peer that stops while it receives resets the connection, but its end may arrive
    /// before the reset does.
    pub async fn is_delivered(&self) -> bool {
        let connection = &*self.connection;
        if connection.is_unsent.load(Ordering::Relaxed) {
            return false;
        }
        // Fails if the connection has ended, which is what the loop waits for.
        let _ = connection.close_write();
        let deadline = tokio::time::Instant::now() + DELIVERY_TIMEOUT;
        loop {
            // The connection has no peer any more once all is acknowledged, or by a reset.
            let has_ended = connection.tcp.peer_addr().is_err();
            let error = connection.tcp.take_error();
            if connection.has_failed.load(Ordering::Relaxed) || !matches!(error, Ok(None)) {
                return false;
            }
            if has_ended || tokio::time::Instant::now() >= deadline {
                return has_ended;
            }
            tokio::time::sleep(DELIVERY_POLL_INTERVAL).await;
        }
    }
}

/// A connection to a backend server for an HTTP library, which flushes it once all of a
/// request is written.
#[derive(Debug)]
pub struct Stream {
    connection: Arc<Connection>,
}

impl Stream {
    /// Creates a stream from an open connection.
    pub fn new(tcp: TcpStream) -> Stream {
        let connection = Connection {
            tcp,
            is_unsent: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
        };
        Stream {
            connection: Arc::new(connection),
        }
    }

    /// Returns the probe of this connection.
    pub fn probe(&self) -> Probe {
        Probe {
            connection: Arc::clone(&self.connection),
        }
    }

    fn poll_write_with(
        &self,
        context: &mut task::Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> task::Poll<io::Result<usize>> {
        let connection = &*self.connection;
        connection.is_unsent.store(true, Ordering::Relaxed);
        loop {
            connection.note(task::ready!(connection.tcp.poll_write_ready(context)))?;
            match connection.note(write(&connection.tcp)) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return task::Poll::Ready(result),
            }
        }
    }
}

/// Each response that arrives on a pooled connection has the [`Probe`] as an extension.
impl connect::Connection for Stream {
    fn connected(&self) -> connect::Connected {
        connect::Connected::new().extra(self.probe())
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let connection = &*self.connection;
        loop {
            connection.note(task::ready!(connection.tcp.poll_read_ready(context)))?;
            match connection.note(connection.tcp.try_read(buffer.initialize_unfilled())) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    buffer.advance(result?);
                    return task::Poll::Ready(Ok(()));
                }
            }
        }
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(context, |tcp| tcp.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        self.poll_write_with(context, |tcp| tcp.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(
        self: Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        self.connection.is_unsent.store(false, Ordering::Relaxed);
        task::Poll::Ready(Ok(()))
    }

    fn poll_shutdown(
        self: Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        task::Poll::Ready(match self.connection.close_write() {
            Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}
