//! Where the body of a response ends, against a fake backend server that stops early.

use std::{
    io::{Read, Write},
    net, thread, time,
};

use bw_gateway::upstream;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::task;

const TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Length of a request body that the socket buffers cannot hold, in bytes.
const LARGE: usize = 8 << 20;
/// Length of a request body that the socket buffers can hold, in bytes.
const SMALL: usize = 256 << 10;
/// Uploads of each case.
const UPLOADS: u32 = 40;

/// How a fake backend server ends a connection after its response.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It leaves the rest of the request unread, so that closing resets the connection.
    Reset,
    /// It closes its side and resets the connection after a while.
    HalfClose,
    /// It reads up to this many bytes and closes the connection as soon as there is nothing
    /// to read.
    Drained(usize),
}

/// Reads up to this many bytes, until there is nothing to read.
fn drain(stream: &mut net::TcpStream, limit: usize) {
    stream.set_nonblocking(true).expect("not blocking");
    let mut left = vec![0; limit];
    let mut left = left.as_mut_slice();
    while let Ok(length @ 1..) = stream.read(left) {
        left = &mut left[length..];
    }
}

/// Starts a fake backend server that responds after the first byte of a request, and ends
/// the connection before it has read the request.
fn start(response: &'static str, end: End, pause: time::Duration) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let first = stream.read_exact(&mut [0]);
            if first.is_err() || stream.write_all(response.as_bytes()).is_err() {
                continue;
            }
            thread::sleep(pause);
            match end {
                End::Reset => {}
                End::HalfClose => {
                    stream.shutdown(net::Shutdown::Write).expect("open");
                    thread::sleep(time::Duration::from_millis(10));
                }
                End::Drained(limit) => drain(&mut stream, limit),
            }
        }
    });
    address
}

/// Starts a fake backend server that reads requests of this length in whole, then responds
/// and closes its side of the connection. It closes the connection after a pause.
fn start_whole(response: &'static str, length: usize, pause: time::Duration) -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                let mut byte = [0];
                stream.read_exact(&mut byte).expect("a request");
                head.push(byte[0]);
            }
            let mut body = vec![0; length];
            stream.read_exact(&mut body).expect("a request");
            stream.write_all(response.as_bytes()).expect("open");
            stream.shutdown(net::Shutdown::Write).expect("open");
            thread::sleep(pause);
        }
    });
    address
}

/// Returns the body of the response to an upload of this length if it looks whole.
async fn upload(pool: &upstream::Pool, address: net::SocketAddr, length: usize) -> Option<Bytes> {
    let mut request = hyper::Request::new(Full::new(Bytes::from(vec![b'x'; length])));
    *request.method_mut() = hyper::Method::POST;
    let host = hyper::header::HeaderValue::from_static("desk.example");
    request.headers_mut().insert(hyper::header::HOST, host);
    let exchange = pool.send(address, request, false, TIMEOUT).await.ok()?;
    let body = exchange.response.into_body().collect();
    let body = tokio::time::timeout(TIMEOUT, body).await.expect("in time");
    Some(body.ok()?.to_bytes())
}

/// Guards against a part of a response that looks whole, as the backend server stops while
/// the request is still being sent: the end of the connection may be seen before its reset.
#[rstest]
#[tokio::test]
async fn a_response_that_is_cut_during_the_upload_is_not_whole(
    #[values(End::Reset, End::HalfClose, End::Drained(SMALL / 2))] end: End,
    #[values(SMALL, LARGE)] length: usize,
    #[values(0, 100, 300, 1_000)] pause_us: u64,
    #[values(
        "HTTP/1.1 200 OK\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\npart\r\n"
    )]
    response: &'static str,
) {
    let address = start(response, end, time::Duration::from_micros(pause_us));
    let test = async {
        let mut whole = 0;
        for _ in 0..UPLOADS {
            let pool = upstream::Pool::default();
            whole += u32::from(upload(&pool, address, length).await.is_some());
        }
        assert_eq!(whole, 0, "of {UPLOADS}");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against refusing a whole response that ends with its connection, whether or not
/// the backend server waits for the client to close its side.
#[rstest]
#[tokio::test]
async fn a_response_after_the_upload_is_whole(
    #[values(0, SMALL, LARGE)] length: usize,
    #[values(0, 50)] pause_ms: u64,
) {
    let pause = time::Duration::from_millis(pause_ms);
    let address = start_whole("HTTP/1.1 200 OK\r\n\r\nwhole", length, pause);
    let test = async {
        for _ in 0..UPLOADS {
            let pool = upstream::Pool::default();
            let body = upload(&pool, address, length).await;
            assert_eq!(body.as_deref(), Some(&b"whole"[..]));
        }
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a response whose head is cut at any byte and that a caller gets, or that
/// the client waits for until the timeout.
#[rstest]
#[case::with_length("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\n")]
#[case::with_chunks("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n")]
#[case::without_length("HTTP/1.1 200 OK\r\nx: y\r\n\r\n")]
#[case::after_an_interim_one("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n")]
#[tokio::test]
async fn a_head_that_is_cut_is_no_response(
    #[case] head: &'static str,
    #[values(End::Reset, End::HalfClose, End::Drained(SMALL / 2))] end: End,
) {
    let test = async {
        for cut in 0..=head.len() {
            let address = start(&head[..cut], end, time::Duration::from_millis(1));
            let pool = upstream::Pool::default();
            let body = upload(&pool, address, SMALL).await;
            assert_eq!(body, None, "cut after {:?}", &head[..cut]);
        }
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against the body of a response that must not have one, which is taken for the
/// response to the next request.
#[rstest]
#[case::no_content("204 No Content")]
#[case::not_modified("304 Not Modified")]
#[tokio::test]
async fn a_forbidden_body_is_not_the_next_response(#[case] status: &str) {
    let test = async {
        let body = "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwrong";
        let response = format!("HTTP/1.1 {status}\r\n\r\n{body}").leak();
        let address = start_whole(response, 1, time::Duration::from_millis(50));
        let pool = upstream::Pool::default();
        for _ in 0..UPLOADS {
            let mut request = hyper::Request::new(Full::new(Bytes::from_static(b"x")));
            *request.method_mut() = hyper::Method::POST;
            let sent = pool.send(address, request, true, TIMEOUT).await;
            let exchange = sent.expect("a response");
            assert!(status.starts_with(exchange.response.status().as_str()));
            let body = exchange.response.into_body().collect().await;
            assert_eq!(body.expect("no body").to_bytes(), "");
            exchange.lease.release();
        }
    };
    task::LocalSet::new().run_until(test).await;
}
