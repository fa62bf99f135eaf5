//! The connection pool, against a fake backend server.

use std::{net, time::Duration};

use bw_gateway::{dialect, upstream};
use bw_wire::verdict;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use rstest::rstest;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    task,
};

const TIMEOUT: Duration = Duration::from_secs(10);
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Idle time after which some backend servers drop a connection without closing it.
const IDLE_TIME: Duration = Duration::from_millis(300);

async fn listen() -> (TcpListener, net::SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

/// Reads one request that has no body.
async fn read_request(stream: &mut TcpStream) {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).await.expect("a request");
        bytes.push(byte[0]);
    }
}

async fn serve(stream: &mut TcpStream) {
    read_request(stream).await;
    stream
        .write_all(RESPONSE)
        .await
        .expect("an open connection");
}

async fn send(
    pool: &upstream::Pool,
    address: net::SocketAddr,
    idempotent: bool,
) -> Result<(), upstream::Error> {
    let mut request = hyper::Request::new(Full::new(Bytes::new()));
    let host = hyper::header::HeaderValue::from_static("desk.example");
    request.headers_mut().insert(hyper::header::HOST, host);
    let exchange = pool.send(address, request, idempotent, TIMEOUT).await?;
    exchange.response.into_body().collect().await?;
    exchange.lease.release();
    Ok(())
}

/// Guards against a request that fails, and a backend server that is blamed for it,
/// because the backend server had dropped the idle connection.
#[rstest]
#[case::idempotent(true)]
#[case::non_idempotent(false)]
#[tokio::test]
async fn an_idle_connection_that_was_dropped_is_replaced(#[case] idempotent: bool) {
    let test = async {
        let (listener, address) = listen().await;
        let backend = task::spawn_local(async move {
            let (mut first, _) = listener.accept().await.expect("a connection");
            serve(&mut first).await;
            let unanswered = task::spawn_local(async move {
                // The next request on it is read but gets no response.
                read_request(&mut first).await;
            });
            let (mut second, _) = listener.accept().await.expect("another connection");
            serve(&mut second).await;
            unanswered.abort();
        });
        let pool = upstream::Pool::default();
        assert_eq!(send(&pool, address, idempotent).await, Ok(()));
        tokio::time::sleep(IDLE_TIME).await;
        assert_eq!(send(&pool, address, idempotent).await, Ok(()));
        backend.await.expect("no panic");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a request that is reported as not run after its backend server read
/// it on an idle connection and then went down.
#[tokio::test]
async fn a_request_that_was_read_before_the_backend_server_went_down_may_have_run() {
    let test = async {
        let (listener, address) = listen().await;
        let backend = task::spawn_local(async move {
            let (mut first, _) = listener.accept().await.expect("a connection");
            serve(&mut first).await;
            drop(listener);
            read_request(&mut first).await;
        });
        let pool = upstream::Pool::default();
        assert_eq!(send(&pool, address, true).await, Ok(()));
        let error = send(&pool, address, true)
            .await
            .expect_err("the backend server is down");
        assert_eq!(error.verdict, verdict::Verdict::MayHaveRun);
        backend.await.expect("no panic");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Returns header names of a platform that these tests make up.
fn names() -> dialect::Headers {
    let name = hyper::header::HeaderName::from_static;
    dialect::Headers {
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        expect_backend: name("x-expect"),
        last_event_id: name("x-last-event"),
        response_stamp: name("x-stamp"),
        not_run: name("x-not-run"),
        prompt_prefix: name("x-prefix"),
        wait_ms: name("x-wait"),
        load: name("x-load"),
        kv_source: name("x-kv"),
    }
}

const FULL: &[u8] =
    b"HTTP/1.1 503 Full\r\nx-id: r1\r\nx-stamp: s\r\nx-not-run: 1\r\ncontent-length: 0\r\n\r\n";
const MISDIRECTED: &[u8] = b"HTTP/1.1 421 Misdirected\r\nx-id: r1\r\ncontent-length: 0\r\n\r\n";
const CROSSED: &[u8] = b"HTTP/1.1 200 OK\r\nx-id: r2\r\nx-stamp: s\r\ncontent-length: 0\r\n\r\n";

/// Guards against a request that ran on an idle connection and is reported as not run, as
/// the pool sent it again on a new connection and that send was refused. A request whose
/// only send was refused has not run.
#[rstest]
#[case::full(FULL, upstream::Failure::Full, verdict::Verdict::NotRun)]
#[case::other_backend(MISDIRECTED, upstream::Failure::OtherBackend, verdict::Verdict::NotRun)]
#[case::crossed(
    CROSSED,
    upstream::Failure::CrossedAnswer,
    verdict::Verdict::MayHaveRun
)]
#[tokio::test]
async fn a_refused_second_send_does_not_take_back_the_first(
    #[case] refusal: &'static [u8],
    #[case] failure: upstream::Failure,
    #[case] of_one_send: verdict::Verdict,
    #[values(false, true)] first_breaks: bool,
) {
    let test = async {
        let (listener, address) = listen().await;
        let backend = task::spawn_local(async move {
            if first_breaks {
                let (mut first, _) = listener.accept().await.expect("a connection");
                serve(&mut first).await;
                read_request(&mut first).await;
            }
            let (mut second, _) = listener.accept().await.expect("another connection");
            read_request(&mut second).await;
            second.write_all(refusal).await.expect("an open connection");
        });
        let pool = upstream::Pool::default();
        if first_breaks {
            assert_eq!(send(&pool, address, true).await, Ok(()));
        }
        let request = hyper::Request::new(Full::new(Bytes::new()));
        let sent = pool.send(address, request, true, TIMEOUT).await;
        let error = sent
            .and_then(|exchange| exchange.check(&names(), "r1"))
            .err()
            .expect("a refusal");
        let expected = match first_breaks {
            true => verdict::Verdict::MayHaveRun,
            false => of_one_send,
        };
        assert_eq!((error.failure, error.verdict), (failure, expected));
        backend.await.expect("no panic");
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against an endless response that is buffered, or read until the timeout, and
/// against a connection that stays open after it was rejected.
#[rstest]
#[case::status_line("HTTP/1.1 200 ", "x")]
#[case::header_line("HTTP/1.1 200 OK\r\nx: ", "x")]
#[case::header_lines("HTTP/1.1 200 OK\r\n", "x: y\r\n")]
#[case::informational("", "HTTP/1.1 102 Processing\r\n\r\n")]
#[case::chunk_size("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", "0")]
#[tokio::test]
async fn an_endless_response_is_rejected(#[case] beginning: &'static str, #[case] unit: &str) {
    let units = unit.repeat(1_024);
    let test = async {
        let (listener, address) = listen().await;
        let backend = task::spawn_local(async move {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            read_request(&mut stream).await;
            let begun = stream.write_all(beginning.as_bytes()).await;
            begun.expect("open");
            let mut sent = 0;
            while stream.write_all(units.as_bytes()).await.is_ok() {
                sent += units.len();
            }
            sent
        });
        let pool = upstream::Pool::default();
        let error = send(&pool, address, true).await.expect_err("no response");
        assert_eq!(error.failure, upstream::Failure::Endless);
        assert_eq!(error.verdict, verdict::Verdict::MayHaveRun);
        let sent = tokio::time::timeout(TIMEOUT, backend).await;
        // The limit allows for the bytes that the socket buffers hold.
        assert!(sent.expect("closed in time").expect("no panic") < 16 << 20);
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against a request that counts as one that crashed its backend server because the
/// backend server sent bytes that are no response, on a new or an idle connection.
#[rstest]
#[case::garbage("x", upstream::Failure::ForeignAnswer)]
#[case::header_line("HTTP/1.1 200 OK\r\nx: ", upstream::Failure::Endless)]
#[case::chunk_extension(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n1;x=",
    upstream::Failure::ForeignAnswer
)]
#[case::trailer(
    "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\nx: ",
    upstream::Failure::ForeignAnswer
)]
#[tokio::test]
async fn invalid_bytes_are_no_crash(
    #[case] beginning: &'static str,
    #[case] expected: upstream::Failure,
    #[values(false, true)] on_idle_connection: bool,
) {
    let test = async {
        let (listener, address) = listen().await;
        task::spawn_local(async move {
            let mut serve_first = on_idle_connection;
            loop {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                if std::mem::take(&mut serve_first) {
                    serve(&mut stream).await;
                }
                task::spawn_local(async move {
                    read_request(&mut stream).await;
                    let begun = stream.write_all(beginning.as_bytes()).await;
                    begun.expect("open");
                    while stream.write_all(&[b'x'; 1_024]).await.is_ok() {}
                });
            }
        });
        let pool = upstream::Pool::default();
        if on_idle_connection {
            assert_eq!(send(&pool, address, true).await, Ok(()));
        }
        let sent = send(&pool, address, true).await;
        assert_eq!(sent.map_err(|error| error.failure), Err(expected));
    };
    task::LocalSet::new().run_until(test).await;
}

/// Guards against bytes that follow a complete response and are parsed as the next
/// response, or accumulate while the connection is idle.
#[tokio::test]
async fn bytes_after_a_response_close_the_connection() {
    let test = async {
        let (listener, address) = listen().await;
        let backend = task::spawn_local(async move {
            let (mut first, _) = listener.accept().await.expect("a connection");
            serve(&mut first).await;
            let flood =
                task::spawn_local(
                    async move { while first.write_all(&[b'x'; 1_024]).await.is_ok() {} },
                );
            let (mut second, _) = listener.accept().await.expect("another connection");
            serve(&mut second).await;
            tokio::time::timeout(TIMEOUT, flood)
                .await
                .expect("closed")
                .expect("no panic");
        });
        let pool = upstream::Pool::default();
        assert_eq!(send(&pool, address, true).await, Ok(()));
        tokio::time::sleep(Duration::from_millis(50)).await;
        assert_eq!(send(&pool, address, true).await, Ok(()));
        backend.await.expect("no panic");
    };
    task::LocalSet::new().run_until(test).await;
}
