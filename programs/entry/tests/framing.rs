//! Responses of backend servers that are not valid or stop early, and what callers get.

mod support;

use std::{
    io::{Read, Write},
    net, thread, time,
};

use rstest::rstest;
use support::{
    Fleet,
    backend::{Answer, Backend},
    caller, chat_body, fleet,
};

/// Length of a request body in bytes, which a backend server reads in several steps.
const UPLOAD: usize = 1 << 20;
/// Headers of a backend server after the status line; `ID` stands for the id of the
/// request.
const ECHO: &str = "bw-request-id: ID\r\n";

/// How a fake backend server ends a connection after its response.
#[derive(Clone, Copy, Debug)]
enum End {
    /// It leaves the rest of the request unread, so that closing resets the connection.
    Reset,
    /// It closes its side and resets the connection after a while.
    HalfClose,
    /// It reads the request to its end and closes the connection.
    Close,
}

/// Starts a backend server that responds after the head of a request.
fn start_early(service: &str, response: String, end: End) -> Backend {
    let backend = Backend::service("s1", service, &[Answer::Whole]);
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound").to_string();
    backend.change(|announcement| announcement.address = address.as_str().into());
    thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            let response = response.clone();
            // The entry VM may close the connection first.
            thread::spawn(move || respond(stream, &response, end));
        }
    });
    backend
}

fn respond(mut stream: net::TcpStream, response: &str, end: End) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).ok()?;
        head.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&head);
    if head.starts_with("GET /healthz") {
        let healthy = b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
        return stream.write_all(healthy).ok();
    }
    let value = |name: &str| head.lines().find_map(|line| line.strip_prefix(name));
    if let End::Close = end {
        let length = value("content-length: ").map_or(0, |text| text.parse().expect("a number"));
        stream.read_exact(&mut vec![0; length]).ok()?;
    }
    let response = response.replace("ID", value("bw-request-id: ")?);
    stream.write_all(response.as_bytes()).ok()?;
    if let End::HalfClose = end {
        stream.shutdown(net::Shutdown::Write).ok()?;
        thread::sleep(time::Duration::from_millis(50));
    }
    Some(())
}

/// Sends an upload to a service. Returns whether its caller gets a success that looks
/// whole, with its body.
fn whole_body(fleet: &Fleet, service: &str, attempt: usize) -> Option<String> {
    let key = format!("k{attempt}");
    let headers = [
        ("idempotency-key", key.as_str()),
        ("bw-deadline-ms", "2000"),
    ];
    let path = format!("/services/{service}/x");
    let response = caller::post(&fleet.address(), &path, &headers, &"x".repeat(UPLOAD));
    let is_whole = response.status == 200 && response.complete;
    is_whole.then(|| response.text())
}

/// Guards against a part of an answer that looks whole, as the backend server stops while
/// the request is still being sent, or as the answer states an older version of HTTP.
#[rstest]
fn an_answer_that_is_cut_during_the_upload_is_not_whole(
    #[values("quote", "invoice")] service: &str,
    #[values("HTTP/1.0", "HTTP/1.1")] version: &str,
    #[values(End::Reset, End::HalfClose)] end: End,
    #[values(
        "\r\npart",
        "content-length: 9\r\n\r\npart",
        "transfer-encoding: chunked\r\n\r\n4\r\npart\r\n"
    )]
    rest: &str,
) {
    let response = format!("{version} 200 OK\r\n{ECHO}{rest}");
    let fleet = fleet(vec![start_early(service, response, end)]);
    for attempt in 0..3 {
        assert_eq!(whole_body(&fleet, service, attempt), None);
    }
}

/// Guards against an empty answer that looks whole although its backend server stopped
/// after the head.
#[rstest]
fn an_empty_answer_without_length_is_not_whole(#[values("quote", "invoice")] service: &str) {
    let response = format!("HTTP/1.1 200 OK\r\n{ECHO}\r\n");
    let fleet = fleet(vec![start_early(service, response, End::Close)]);
    assert_eq!(whole_body(&fleet, service, 0), None);
}

/// Guards against refusing whole answers that end with their connection, or that state
/// their length twice.
#[rstest]
fn other_answers_are_whole(
    #[values("quote", "invoice")] service: &str,
    #[values(
        "\r\nwhole",
        "content-length: 5\r\ncontent-length: 5\r\n\r\nwhole",
        "content-length: 5, 5\r\n\r\nwhole",
        "content-length: 3\r\ntransfer-encoding: Chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"
    )]
    rest: &str,
) {
    let response = format!("HTTP/1.1 200 OK\r\n{ECHO}{rest}");
    let fleet = fleet(vec![start_early(service, response, End::Close)]);
    for attempt in 0..3 {
        let body = whole_body(&fleet, service, attempt);
        assert_eq!(body.as_deref(), Some("whole"));
    }
}

/// Guards against an invalid response that a caller gets as an answer.
#[rstest]
fn an_invalid_response_is_no_answer(
    #[values("quote", "invoice", "chat")] service: &str,
    #[values(
        "HTTP/1.1 000 None\r\nIDcontent-length: 2\r\n\r\nok",
        "HTTP/1.1 099 None\r\nIDcontent-length: 2\r\n\r\nok",
        "HTTP/1.1 600 None\r\nIDcontent-length: 2\r\n\r\nok",
        "HTTP/1.1 999 None\r\nIDcontent-length: 2\r\n\r\nok",
        "HTTP/1.1 100 Continue\r\nID\r\n",
        "HTTP/1.1 101 Switching Protocols\r\nIDconnection: upgrade\r\nupgrade: x\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nIDcontent-length: 2\r\n\r\nok",
        "HTTP/1.1 204 No Content\r\nIDcontent-length: 2\r\n\r\nok",
        "HTTP/1.1 204 No Content\r\nIDtransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2\r\ncontent-length: 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nIDcontent-length: 2, 3\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nIDcontent-length: -2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: gzip\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nIDtransfer-encoding: chunked, gzip\r\n\r\nok"
    )]
    response: &str,
) {
    let response = response.replace("ID", ECHO);
    let backend = start_early(service, response, End::Close);
    let is_engine = service == "chat";
    if is_engine {
        backend.change(|announcement| {
            let engine = Backend::engine("s1", &[Answer::Whole]);
            let address = announcement.address.clone();
            engine.change(|model| *announcement = model.clone());
            announcement.address = address;
        });
    }
    let fleet = fleet(vec![backend]);
    let response = match is_engine {
        true => fleet.chat(&chat_body(false)),
        false => {
            let headers = [("idempotency-key", "k1"), ("bw-deadline-ms", "1500")];
            let path = format!("/services/{service}/x");
            caller::post(&fleet.address(), &path, &headers, "question")
        }
    };
    // A refusal of the entry VM, with its format.
    let (_, verdict) = response.refusal();
    assert_eq!(verdict, "may_have_run", "{}", response.text());
}
