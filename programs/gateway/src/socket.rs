//! TCP connections between the relay's processes.

use std::{convert, io, net, time};

use bw_relay::message;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Request, Response, body, server::conn::http1, service};
use hyper_util::rt;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    task,
};

/// How long sent data may stay unacknowledged. Round trips take a few
/// milliseconds, so a connection that is silent for this long is cut off, and
/// a new one finds out sooner whether the other side is reachable.
const UNACKNOWLEDGED: time::Duration = time::Duration::from_millis(1_500);
/// Idle time before the first keep-alive probe.
const KEEPALIVE: time::Duration = time::Duration::from_secs(1);
/// How often a process says that it is alive on a connection that is otherwise
/// silent. Two of these frames, 5 bytes each, may be lost before the other side
/// gives the connection up.
pub const HEARTBEAT_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// Longest silence on a connection between two processes. A peer that loses power
/// or is cut off resets nothing, so only this limit ends the connection.
pub const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Sets the options of a connection.
///
/// # Errors
///
/// Fails if the connection is closed.
pub fn set_options(stream: &tokio::net::TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED))?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE);
    socket.set_tcp_keepalive(&keepalive)
}

/// Connects within a time limit.
///
/// # Errors
///
/// Fails if the other side refuses, cannot be reached or does not answer in time.
pub async fn connect(
    address: net::SocketAddr,
    limit: time::Duration,
) -> io::Result<tokio::net::TcpStream> {
    let connecting = tokio::net::TcpStream::connect(address);
    match tokio::time::timeout(limit, connecting).await {
        Ok(stream) => {
            let stream = stream?;
            set_options(&stream)?;
            Ok(stream)
        }
        Err(_) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Listens on an address, also right after an earlier process ended.
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

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);

/// Accepts the next connection and sets its options.
pub async fn accept(listener: &tokio::net::TcpListener) -> tokio::net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => match set_options(&stream) {
                Ok(()) => return stream,
                Err(error) => log::debug!("a connection was closed at once: {error}"),
            },
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves HTTP to operators, backend servers and probes, each connection in a
/// task of its own. `answer` is called for each request.
pub async fn serve_http<A, F>(
    listener: tokio::net::TcpListener,
    header_limit: time::Duration,
    answer: A,
) where
    A: Fn(Request<body::Incoming>) -> F + Clone + 'static,
    F: Future<Output = Response<Full<Bytes>>> + 'static,
{
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = accept(&listener).await;
        let answer = answer.clone();
        let service = service::service_fn(move |request| {
            let answering = answer(request);
            async move { Ok::<_, convert::Infallible>(answering.await) }
        });
        connections.spawn_local(async move {
            let serving = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(header_limit)
                .serve_connection(rt::TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!("connection ended: {error}");
            }
        });
    }
}

/// Reads frames.
pub struct Reader {
    half: tokio::net::tcp::OwnedReadHalf,
    buffer: Vec<u8>,
    start: usize,
}

impl Reader {
    /// Reads from one half of a connection.
    pub fn new(half: tokio::net::tcp::OwnedReadHalf) -> Reader {
        Reader {
            half,
            buffer: Vec::new(),
            start: 0,
        }
    }

    /// Returns the next frame. Dropping the future loses nothing.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends or carries something else than frames.
    pub async fn next(&mut self) -> io::Result<message::Frame> {
        loop {
            if let Some(frame) = self.take()? {
                return Ok(frame);
            }
            if self.half.read_buf(&mut self.buffer).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Returns the next frame that comes before the longest silence is over.
    ///
    /// # Errors
    ///
    /// Fails as [`Reader::next`] does, or if nothing comes in time.
    pub async fn next_before_timeout(&mut self) -> io::Result<message::Frame> {
        match tokio::time::timeout(SILENCE_TIMEOUT, self.next()).await {
            Ok(frame) => frame,
            Err(_) => Err(io::ErrorKind::TimedOut.into()),
        }
    }

    fn take(&mut self) -> io::Result<Option<message::Frame>> {
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

/// Writes encoded frames.
pub struct Writer {
    half: tokio::net::tcp::OwnedWriteHalf,
}

impl Writer {
    /// Writes to one half of a connection.
    pub fn new(half: tokio::net::tcp::OwnedWriteHalf) -> Writer {
        Writer { half }
    }

    /// Writes an encoded frame.
    ///
    /// # Errors
    ///
    /// Fails if the connection is broken.
    pub async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.half.write_all(bytes).await
    }
}
