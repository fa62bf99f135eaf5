//! A caller behind a slow link, which reads as much in a second as the link carries.

use std::{
    io::{Read, Write},
    net, thread,
    time::{Duration, Instant},
};

/// What the link carries in a second: 1.6 Mbit/s.
const BYTES_PER_SECOND: usize = 200_000;
/// Pause between reads.
const READ_PAUSE: Duration = Duration::from_millis(50);
/// Space for received data, which bounds what the sender's kernel gets rid of.
const RECEIVE_BYTES: usize = 64 << 10;
/// Payload of a segment on usual links. Loopback has larger ones.
const SEGMENT_BYTES: u32 = 1_448;
/// Timeout of each read.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

/// A response as far as it arrived.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    /// The length that the head states.
    pub stated: usize,
    /// The length of the body that arrived.
    pub received: usize,
    /// When the last byte arrived or the connection ended.
    pub ended: Instant,
}

impl Answer {
    pub fn is_whole(&self) -> bool {
        self.status == 200 && self.received == self.stated
    }
}

/// An open connection.
pub struct Connection(net::TcpStream);

impl Connection {
    pub fn open(address: net::SocketAddr) -> Connection {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )
        .expect("a socket");
        socket.set_tcp_mss(SEGMENT_BYTES).expect("an option");
        socket
            .set_recv_buffer_size(RECEIVE_BYTES)
            .expect("an option");
        socket.connect(&address.into()).expect("connected");
        let stream = net::TcpStream::from(socket);
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("an option");
        Connection(stream)
    }

    /// Sends these bytes.
    pub fn send(&mut self, bytes: &[u8]) {
        self.0.write_all(bytes).expect("sent");
    }

    /// Reads the response with a stated length that comes next.
    pub fn read(&mut self) -> Answer {
        let (mut bytes, mut next) = (Vec::new(), Instant::now());
        let mut piece = vec![0; BYTES_PER_SECOND * READ_PAUSE.as_millis() as usize / 1_000];
        loop {
            let length = self.0.read(&mut piece).unwrap_or(0);
            bytes.extend_from_slice(&piece[..length]);
            let answer = parse(&bytes);
            if length == 0 || answer.status > 0 && answer.received >= answer.stated {
                return answer;
            }
            next += READ_PAUSE;
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    }
}

/// Parses the bytes of a response. Its status is 0 until the head is complete.
fn parse(bytes: &[u8]) -> Answer {
    let ended = Instant::now();
    let head = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(head) = head else {
        return Answer {
            status: 0,
            stated: 0,
            received: 0,
            ended,
        };
    };
    let text = String::from_utf8_lossy(&bytes[..head]).to_lowercase();
    let status = text.split(' ').nth(1);
    let stated = text
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "));
    Answer {
        status: status
            .and_then(|status| status.parse().ok())
            .expect("a status"),
        stated: stated
            .and_then(|stated| stated.parse().ok())
            .expect("a length"),
        received: bytes.len() - head - 4,
        ended,
    }
}
