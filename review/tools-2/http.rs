//! A small HTTP/1.1 client and server over blocking sockets.

use std::{
    ffi::{c_int, c_void},
    io::{self, BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Largest body that the stand-ins read, in bytes.
const BODY_BYTES_MAX: usize = 16 << 20;
/// Interval at which a listener looks for connections.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The head and the body of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body arrived in whole.
    pub complete: bool,
}

impl Message {
    /// Returns the value of a header, whatever its case; empty if it is absent.
    pub fn header(&self, name: &str) -> &str {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map_or("", |(_, value)| value)
    }

    /// Returns the n-th word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.start.split(' ').nth(index).unwrap_or("")
    }

    /// Returns the status of a response; 0 if it is malformed.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.header(name).to_ascii_lowercase().contains(token)
    }
}

/// Reads the head of a message; `None` if the connection ends before it.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    message.start = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        if let Some((name, value)) = line.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads the body that belongs to a head. A body of a response without a length ends with
/// the connection.
fn read_body(reader: &mut impl BufRead, message: &mut Message, is_response: bool) {
    let result = if message.has_token("transfer-encoding", "chunked") {
        read_chunks(reader, &mut message.body)
    } else if let Ok(length) = message.header("content-length").parse::<usize>() {
        let mut body = vec![0; length.min(BODY_BYTES_MAX)];
        reader.read_exact(&mut body).map(|()| message.body = body)
    } else if is_response {
        reader.read_to_end(&mut message.body).map(|_| ())
    } else {
        Ok(())
    };
    message.complete = result.is_ok();
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let mut chunk = vec![0; size.min(BODY_BYTES_MAX)];
        reader.read_exact(&mut chunk)?;
        body.extend_from_slice(&chunk);
        reader.read_line(&mut line)?;
        if size == 0 {
            return Ok(());
        }
    }
}

/// Sends a request on a new connection and reads the response, with one timeout for all.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let until = Instant::now() + timeout;
    let stream = TcpStream::connect_timeout(&to, timeout.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let mut request = format!("{method} {path} HTTP/1.1\r\nConnection: close\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        request.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = request.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(Limited { stream, until });
    let Some(mut message) = read_head(&mut reader)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    read_body(&mut reader, &mut message, true);
    Ok(message)
}

/// A connection whose reads end at a time.
struct Limited {
    stream: TcpStream,
    until: Instant,
}

impl Read for Limited {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        let left = self.until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        self.stream.set_read_timeout(Some(left))?;
        self.stream.read(buffer)
    }
}

/// Serves requests at an address, each connection in its own thread. `handle` writes the
/// response and returns whether the connection stays open. While `down` is set, nothing
/// listens there.
pub fn serve<H>(address: SocketAddr, down: Arc<AtomicBool>, handle: H) -> io::Result<()>
where
    H: Fn(Message, &mut TcpStream) -> io::Result<bool> + Clone + Send + 'static,
{
    let mut listener = listen(address)?;
    thread::spawn(move || {
        loop {
            if down.load(Ordering::Relaxed) {
                drop(listener);
                while down.load(Ordering::Relaxed) {
                    thread::sleep(POLL_INTERVAL);
                }
                listener = listen(address).expect("the port is still free");
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let handle = handle.clone();
                    thread::spawn(move || serve_connection(stream, &handle));
                }
                Err(_) => thread::sleep(POLL_INTERVAL),
            }
        }
    });
    Ok(())
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

fn serve_connection<H>(mut stream: TcpStream, handle: &H) -> io::Result<()>
where
    H: Fn(Message, &mut TcpStream) -> io::Result<bool>,
{
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut reader = BufReader::new(stream.try_clone()?);
    while let Some(mut message) = read_head(&mut reader)? {
        read_body(&mut reader, &mut message, false);
        if !message.complete || !handle(message, &mut stream)? {
            return Ok(());
        }
    }
    Ok(())
}

/// Writes a whole response.
pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Returns whether the peer has closed or reset a connection.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let result = stream.peek(&mut [0]);
    let reset = stream.set_nonblocking(false).is_err();
    match result {
        Ok(count) => count == 0 || reset,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

/// `SOL_SOCKET` and `SO_LINGER` of Linux.
const SOL_SOCKET: c_int = 1;
const SO_LINGER: c_int = 13;

unsafe extern "C" {
    fn setsockopt(
        socket: c_int,
        level: c_int,
        name: c_int,
        value: *const c_void,
        length: u32,
    ) -> c_int;
}

/// Lets a connection be reset once it is closed.
pub fn reset_on_close(stream: &TcpStream) -> io::Result<()> {
    // `struct linger`: on, for 0 seconds.
    let linger: [c_int; 2] = [1, 0];
    // SAFETY: the descriptor is open, and the pointer and the length are those of `linger`.
    let result = unsafe {
        setsockopt(
            stream.as_raw_fd(),
            SOL_SOCKET,
            SO_LINGER,
            linger.as_ptr().cast(),
            size_of_val(&linger) as u32,
        )
    };
    match result {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}
