//! A caller: HTTP/1.1 over a blocking socket.

use std::{
    io::{Read, Write},
    net, time,
};

/// A response, read until the connection closed. Status 0 stands for none.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the body has the length or the last chunk that its framing requires.
    pub complete: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body)
            .unwrap_or_else(|error| panic!("{error}: {:?}", self.text()))
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the code and the verdict of an error body.
    pub fn refusal(&self) -> (String, String) {
        refusal_of(&self.json())
    }

    /// Returns the data of the events of a stream.
    pub fn events(&self) -> Vec<String> {
        let text = self.text();
        let events = text.split("\n\n").filter(|event| !event.is_empty());
        events
            .map(|event| {
                event
                    .strip_prefix("data: ")
                    .expect("a data event")
                    .to_owned()
            })
            .collect()
    }

    /// Returns the text of a streamed chat answer.
    pub fn streamed_text(&self) -> String {
        let events = self.events();
        let chunks = events.iter().filter(|event| *event != "[DONE]");
        chunks
            .filter_map(|event| {
                let chunk: serde_json::Value = serde_json::from_str(event).expect("JSON");
                let content = &chunk["choices"][0]["delta"]["content"];
                content.as_str().map(str::to_owned)
            })
            .collect()
    }
}

/// Returns the code and the verdict of an error body.
pub fn refusal_of(body: &serde_json::Value) -> (String, String) {
    let text = |field: &str| body["error"][field].as_str().unwrap_or("").to_owned();
    (text("code"), text("verdict"))
}

/// Opens a connection. Reads time out after 60 s.
pub fn connect(address: &str) -> net::TcpStream {
    let stream = net::TcpStream::connect(address).expect("connected");
    let limit = Some(time::Duration::from_secs(60));
    stream.set_read_timeout(limit).expect("time limit set");
    stream
}

pub fn get(address: &str, path: &str) -> Response {
    request(address, "GET", path, &[], b"")
}

pub fn post(address: &str, path: &str, headers: &[(&str, &str)], body: &str) -> Response {
    request(address, "POST", path, headers, body.as_bytes())
}

pub fn request(
    address: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> Response {
    let mut stream = connect(address);
    stream
        .write_all(&head(method, path, headers, body.len()))
        .expect("head sent");
    // The entry VM may refuse and close before it has read the whole body.
    let _ = stream.write_all(body);
    read(&mut stream)
}

/// Returns the head of a request that asks to close the connection afterwards.
pub fn head(method: &str, path: &str, headers: &[(&str, &str)], length: usize) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nhost: x\r\nconnection: close\r\ncontent-length: {length}\r\n"
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    head.into_bytes()
}

/// Reads until the connection closes, and parses the response.
pub fn read(stream: &mut net::TcpStream) -> Response {
    let mut bytes = Vec::new();
    // A connection reset after the response does no harm.
    let _ = stream.read_to_end(&mut bytes);
    parse(&bytes)
}

fn parse(bytes: &[u8]) -> Response {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    let Some(end) = end else {
        return Response {
            status: 0,
            headers: Vec::new(),
            body: Vec::new(),
            complete: false,
        };
    };
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.lines();
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1)?.parse().ok());
    let headers: Vec<(String, String)> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.to_lowercase(), value.trim().to_owned()))
        .collect();
    let rest = &bytes[end + 4..];
    let has_header = |name: &str, value: &str| headers.iter().any(|(n, v)| n == name && v == value);
    let (body, complete) = if has_header("transfer-encoding", "chunked") {
        decode_chunked(rest)
    } else {
        let length = headers.iter().find(|(name, _)| name == "content-length");
        let length = length.and_then(|(_, value)| value.parse::<usize>().ok());
        (
            rest.to_vec(),
            length.is_none_or(|length| length == rest.len()),
        )
    };
    Response {
        status: status.unwrap_or(0),
        headers,
        body,
        complete,
    }
}

/// Decodes a chunked body and returns whether it is complete.
fn decode_chunked(mut rest: &[u8]) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    loop {
        let Some(line) = rest.windows(2).position(|window| window == b"\r\n") else {
            return (body, false);
        };
        let size = std::str::from_utf8(&rest[..line]).expect("chunk size");
        let size = usize::from_str_radix(size, 16).expect("chunk size");
        if size == 0 {
            return (body, true);
        }
        let start = line + 2;
        if rest.len() < start + size + 2 {
            body.extend_from_slice(&rest[start..]);
            return (body, false);
        }
        body.extend_from_slice(&rest[start..start + size]);
        rest = &rest[start + size + 2..];
    }
}

/// Returns what a caller gets that cannot connect.
pub fn empty_response() -> Response {
    parse(b"")
}
