//! TCP connections: socket options, listeners, HTTP servers and framed messages.

use std::{convert, io, net, time};

use bw_base::responses;
use bw_relay::message;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task,
};

/// How long sent data may stay unacknowledged (`TCP_USER_TIMEOUT`). Round trips
/// take a few milliseconds, so a connection without an acknowledgement for this
/// long is cut off, and a new one finds out sooner whether the peer is reachable.
const USER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Idle time before the first TCP keep-alive probe, and between probes.
const KEEPALIVE_INTERVAL: time::Duration = time::Duration::from_secs(1);
/// Interval between heartbeats on a connection that is otherwise silent. Two of
/// these frames, 5 bytes each, may be lost before the peer closes the connection.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Time without a frame after which a connection between two processes is closed.
/// A peer that loses power or is cut off does not reset its connections, so only
/// this timeout ends them.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Length of the queue of connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Sets the options of a connection: no delay, keep-alive probes and a limit on
/// unacknowledged data.
///
/// # Errors
///
/// Fails if the connection is closed.
pub fn set_options(stream: &tokio::net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL);
    socket.set_tcp_keepalive(&keepalive)
}

/// Connects within a timeout and sets the options of the connection.
///
/// # Errors
///
/// Fails if the peer refuses, is unreachable or does not respond in time.
pub async fn connect(
    address: net::SocketAddr,
    timeout: time::Duration,
) -> io::Result<tokio::net::TcpStream> {
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(timeout, connecting).await {
        Ok(stream) => {
            let stream = stream?;
            set_options(&stream)?;
            Ok(stream)
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Listens on an address, also right after another process listened on it
/// (`SO_REUSEADDR`).
///
/// # Errors
///
/// Fails if the address is in use.
pub fn listen(address: net::SocketAddr) -> io::Result<tokio::net::TcpListener> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    tokio::net::TcpListener::from_std(socket.into())
}

/// Pause after a failed accept, whose usual cause is that file descriptors ran out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts the next connection and sets its options. Failures are logged and the
/// next connection is awaited.
pub async fn accept(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match set_options(&stream) {
                Ok(()) => return stream,
                Err(error) => {
                    log::debug!("cannot set the options of an accepted connection: {error}")
                }
            },
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves HTTP to operators, backend servers and readiness checks, each
/// connection in its own task. `handle` is called for each request. Returns once a stop
/// closes the connections and all have ended.
pub async fn serve_http<H, F>(
    listener: tokio::net::TcpListener,
    header_timeout: time::Duration,
    responses: responses::Responses,
    handle: H,
) where
    H: Fn(Request<body::Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = tokio::select! {
            stream = accept(&listener) => stream,
            () = responses.reached(responses::Stage::Closing) => break,
        };
        let handle = handle.clone();
        let service = service::service_fn(move |request| {
            let handling = handle(request);
            async move { Ok::<_, convert::Infallible>(handling.await) }
        });
        let mut http = http1::Builder::new();
        http.timer(rt::TokioTimer::new())
            .header_read_timeout(header_timeout);
        let responses = responses.clone();
        connections.spawn_local(async move {
            if let Err(error) = responses.serve(http, stream, service).await {
                log::debug!("connection ended: {error}");
            }
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Decodes frames from one half of a connection, each prefixed by its length in
/// four bytes, big-endian.
pub struct Reader {
    half: tokio::net::tcp::OwnedReadHalf,
    buffer: Vec<u8>,
    /// The offset in the buffer of the first byte that is not decoded yet.
    start: usize,
}

impl Reader {
    /// Creates a reader of one half of a connection.
    pub fn new(half: tokio::net::tcp::OwnedReadHalf) -> Reader {
        Reader {
            half,
            buffer: Vec::new(),
            start: 0,
        }
    }

    /// Returns the next frame. Cancel safe: dropping the future loses no bytes.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or a frame is malformed or too large.
    pub async fn next(&mut self) -> io::Result<message::Frame> {
        loop {
            if let Some(frame) = self.next_buffered()? {
                return Ok(frame);
            }
            if self.half.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns the next frame if it arrives within [`SILENCE_TIMEOUT`].
    ///
    /// # Errors
    ///
    /// Fails as [`Reader::next`] does, or if the timeout expires.
    pub async fn next_before_timeout(&mut self) -> io::Result<message::Frame> {
        match tokio::time::timeout(SILENCE_TIMEOUT, self.next()).await {
            Ok(frame) => frame,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn next_buffered(&mut self) -> io::Result<Option<message::Frame>> {
        let available = &self.buffer[self.start..];
        let Some((length, rest)) = available.split_first_chunk::<4>() else {
            self.compact();
            return Ok(None);
        };
        let length = u32::from_be_bytes(*length) as usize;
        if length > message::FRAME_BYTES_MAX {
            return Err(io::Error::other("the frame is too large"));
        }
        if rest.len() < length {
            self.compact();
            return Ok(None);
        }
        let frame = message::decode(&rest[..length]).map_err(io::Error::other)?;
        self.start += 4 + length;
        Ok(Some(frame))
    }

    fn compact(&mut self) {
        self.buffer.drain(..self.start);
        self.start = 0;
    }
}

/// Writes frames that were encoded by `bw_relay::message::encode`.
pub struct Writer {
    half: tokio::net::tcp::OwnedWriteHalf,
}

impl Writer {
    /// Creates a writer to one half of a connection.
    pub fn new(half: tokio::net::tcp::OwnedWriteHalf) -> Writer {
        Writer { half }
    }

    /// Writes an encoded frame. Not cancel safe: dropping the future may leave a
    /// frame half written.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.half.write_all(bytes).await
    }
}
