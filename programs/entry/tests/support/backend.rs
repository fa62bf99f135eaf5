//! A fake backend server that answers requests by a script.

use std::{
    collections,
    io::{BufRead, BufReader, Read, Write},
    net,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread, time,
};

use bw_wire::backend;

use super::{caller, control};

/// Number of tokens of each complete response.
pub const TOKENS: usize = 6;

/// How a request is answered.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// All tokens, or those after the point from which a request resumes.
    Whole,
    /// Like [`Answer::Whole`], with a pause before each token.
    Slow(time::Duration),
    /// [`Answer::Slow`] for online requests, [`Answer::Whole`] for batch items.
    SlowOnline(time::Duration),
    /// The connection is closed after this many tokens.
    CutAfter(usize),
    /// Like [`Answer::CutAfter`], with a pause of 100 ms before each token.
    SlowCutAfter(usize),
    /// The chunked body ends properly after this many tokens, without `[DONE]`.
    NoEnd(usize),
    /// Nothing more is sent after this many tokens.
    FreezeAfter(usize),
    /// The connection is closed before the head of the response.
    Close,
    /// Nothing is sent at all.
    Freeze,
    /// 503 with verdict not run.
    Refuse,
    /// 503 with verdict not run and the id of an earlier request.
    StaleRefusal,
    /// 404 with verdict not run: the model is not loaded.
    NotLoaded,
    /// This status, without a verdict.
    Status(u16),
    /// The response echoes the id of another request.
    CrossedId,
    /// The chunks have the id of another response.
    CrossedChunk,
    /// A token is sent twice.
    Doubled,
    /// Tokens are numbered, and one is sent twice.
    NumberedDoubled,
    /// Tokens are numbered, and one is missing.
    NumberedGap,
    /// A chunk is not JSON.
    Garbage,
    /// These bytes, in which `ID` stands for the request id, and then these without end.
    Endless(&'static str, &'static str),
    /// A line of this many bytes without its end, after which nothing more is sent.
    LongLine(usize),
    /// A service answers with this many bytes.
    Large(usize),
}

/// A request as received.
#[derive(Clone, Debug)]
pub struct Request {
    pub path: String,
    pub headers: collections::HashMap<String, String>,
    pub body: Vec<u8>,
}

/// A running fake and the announcements for it.
pub struct Backend {
    pub id: String,
    pub address: String,
    pub requests: Arc<Mutex<Vec<Request>>>,
    pub script: Arc<Mutex<collections::VecDeque<Answer>>>,
    /// Number of connections that were closed before their response was complete.
    pub cancelled: Arc<AtomicU64>,
    pub healthy: Arc<AtomicBool>,
    crash_limit: Arc<AtomicUsize>,
    announcement: Arc<Mutex<backend::Announcement>>,
    renews: Arc<AtomicBool>,
}

impl Backend {
    /// Starts an engine. The script's last answer repeats.
    pub fn engine(id: &str, script: &[Answer]) -> Backend {
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("the fake listens");
        listener.set_nonblocking(true).expect("not blocking");
        let address = listener.local_addr().expect("an address").to_string();
        let backend = Backend {
            id: id.to_owned(),
            announcement: Arc::new(Mutex::new(control::announcement(id, &address, 0))),
            address,
            requests: Arc::default(),
            script: Arc::new(Mutex::new(script.iter().copied().collect())),
            cancelled: Arc::default(),
            healthy: Arc::new(AtomicBool::new(true)),
            crash_limit: Arc::new(AtomicUsize::new(usize::MAX)),
            renews: Arc::new(AtomicBool::new(true)),
        };
        let server = Server {
            requests: Arc::clone(&backend.requests),
            script: Arc::clone(&backend.script),
            cancelled: Arc::clone(&backend.cancelled),
            healthy: Arc::clone(&backend.healthy),
            crash_limit: Arc::clone(&backend.crash_limit),
            listener: Arc::new(Mutex::new(Some(listener))),
            crashed: AtomicBool::new(false),
        };
        thread::spawn(move || server.run());
        backend
    }

    /// Starts a plain service.
    pub fn service(id: &str, service: &str, script: &[Answer]) -> Backend {
        let backend = Backend::engine(id, script);
        {
            let mut announcement = backend.announcement.lock().expect("lock");
            announcement.kind = backend::Kind::Service;
            announcement.service = service.into();
            announcement.loaded.clear();
        }
        backend
    }

    /// Returns a backend server that announces an address on which nothing listens.
    pub fn unreachable(id: &str) -> Backend {
        let backend = Backend::engine(id, &[Answer::Whole]);
        let listener = net::TcpListener::bind("127.0.0.1:0").expect("a port");
        let closed = listener.local_addr().expect("an address").to_string();
        backend.announcement.lock().expect("lock").address = closed.as_str().into();
        backend
    }

    /// Announces to an entry VM every 300 ms until [`Backend::stop_renewals`] is called
    /// or the fake is dropped.
    pub fn start_renewals(&self, entry: &str) {
        self.announce(entry);
        let (entry, announcement) = (entry.to_owned(), Arc::clone(&self.announcement));
        let renews = Arc::clone(&self.renews);
        thread::spawn(move || {
            while renews.load(Ordering::SeqCst) {
                post(&entry, &announcement);
                thread::sleep(time::Duration::from_millis(300));
            }
        });
    }

    /// Announces to an entry VM once.
    pub fn announce(&self, entry: &str) {
        let response = post(entry, &self.announcement);
        assert_eq!(response.status, 200, "{}", response.text());
    }

    /// Changes the announcement that is sent from now on.
    pub fn change(&self, change: impl FnOnce(&mut backend::Announcement)) {
        change(&mut self.announcement.lock().expect("lock"));
    }

    /// Refuses connections once this many requests have arrived, like a crashed
    /// process.
    pub fn refuse_after(&self, requests: usize) {
        self.crash_limit.store(requests, Ordering::SeqCst);
    }

    /// Stops the renewals of the announcement.
    pub fn stop_renewals(&self) {
        self.renews.store(false, Ordering::SeqCst);
    }

    /// Returns the number of requests that have arrived, without health checks.
    pub fn count(&self) -> usize {
        self.requests.lock().expect("lock").len()
    }
}

impl Drop for Backend {
    fn drop(&mut self) {
        self.stop_renewals();
    }
}

fn post(entry: &str, announcement: &Mutex<backend::Announcement>) -> caller::Response {
    let body = {
        let mut announcement = announcement.lock().expect("lock");
        announcement.sequence += 1;
        serde_json::to_string(&*announcement).expect("JSON")
    };
    let Ok(mut stream) = net::TcpStream::connect(entry) else {
        return caller::empty_response();
    };
    let head = caller::head("POST", backend::ANNOUNCE_PATH, &[], body.len());
    // The entry VM may have been stopped by the test.
    let _ = stream.write_all(&head);
    let _ = stream.write_all(body.as_bytes());
    caller::read(&mut stream)
}

struct Server {
    requests: Arc<Mutex<Vec<Request>>>,
    script: Arc<Mutex<collections::VecDeque<Answer>>>,
    cancelled: Arc<AtomicU64>,
    healthy: Arc<AtomicBool>,
    crash_limit: Arc<AtomicUsize>,
    /// `None` after a crash, which closes the port.
    listener: Arc<Mutex<Option<net::TcpListener>>>,
    crashed: AtomicBool,
}

impl Server {
    fn run(self) {
        let server = Arc::new(self);
        loop {
            let accepted = {
                let listener = server.listener.lock().expect("lock");
                let Some(listener) = &*listener else {
                    return;
                };
                listener.accept()
            };
            let Ok((stream, _)) = accepted else {
                thread::sleep(time::Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).expect("blocking");
            let server = Arc::clone(&server);
            thread::spawn(move || while server.serve(&stream) {});
        }
    }

    /// Simulates a crash of the process: connections break at once, and the port is
    /// closed 30 ms later.
    fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        let listener = Arc::clone(&self.listener);
        thread::spawn(move || {
            thread::sleep(time::Duration::from_millis(30));
            listener.lock().expect("lock").take();
        });
    }

    /// Answers one request and returns whether the connection stays open.
    fn serve(&self, stream: &net::TcpStream) -> bool {
        let Some(request) = read_request(stream) else {
            return false;
        };
        if request.path == "/healthz" && self.crashed.load(Ordering::SeqCst) {
            return false;
        }
        if request.path == "/healthz" {
            let status = if self.healthy.load(Ordering::SeqCst) {
                200
            } else {
                503
            };
            return send(stream, &whole(status, "", "ok"));
        }
        let answer = {
            let mut script = self.script.lock().expect("lock");
            match script.len() {
                0 => Answer::Whole,
                1 => script[0],
                _ => script.pop_front().expect("an answer"),
            }
        };
        let arrived = {
            let mut arrived = self.requests.lock().expect("lock");
            arrived.push(request.clone());
            arrived.len()
        };
        if arrived >= self.crash_limit.load(Ordering::SeqCst) {
            self.crash();
        }
        self.answer(stream, &request, answer)
    }

    fn answer(&self, stream: &net::TcpStream, request: &Request, answer: Answer) -> bool {
        let id = request
            .headers
            .get("bw-request-id")
            .cloned()
            .unwrap_or_default();
        let echoed = match answer {
            Answer::CrossedId => "another".to_owned(),
            _ => id.clone(),
        };
        let echo = format!("bw-request-id: {echoed}\r\n");
        match answer {
            Answer::Close => return false,
            Answer::Freeze => return wait_for_close(stream),
            Answer::Refuse => {
                let headers = format!("{echo}bw-verdict: not_run\r\n");
                return send(stream, &whole(503, &headers, "{}"));
            }
            Answer::StaleRefusal => {
                let headers = "bw-request-id: earlier\r\nbw-verdict: not_run\r\n";
                return send(stream, &whole(503, headers, "{}"));
            }
            Answer::NotLoaded => {
                let headers = format!("{echo}bw-verdict: not_run\r\n");
                return send(stream, &whole(404, &headers, "{}"));
            }
            Answer::Status(status) => return send(stream, &whole(status, &echo, "{}")),
            Answer::LongLine(bytes) => {
                send(
                    stream,
                    &format!("HTTP/1.1 200 OK\r\n{echo}connection: close\r\n\r\n"),
                );
                // The fake runs in the process whose memory a test measures.
                let piece = "x".repeat(1_000);
                for _ in 0..bytes / piece.len() {
                    send(stream, &piece);
                }
                return wait_for_close(stream);
            }
            Answer::Endless(beginning, unit) => {
                let units = unit.repeat(1_024);
                let mut open = send(stream, &beginning.replace("ID", &id));
                while open {
                    open = send(stream, &units);
                }
                return false;
            }
            Answer::Large(bytes) => return send(stream, &whole(200, &echo, &"x".repeat(bytes))),
            _ => {}
        }
        if !request.path.starts_with("/v1/") {
            return send(stream, &whole(200, &echo, "done"));
        }
        let head = format!("HTTP/1.1 200 OK\r\n{echo}transfer-encoding: chunked\r\n\r\n");
        let mut open = send(stream, &head);
        let is_item = request
            .headers
            .get("bw-class")
            .is_some_and(|class| class == "batch");
        let resumed = request.headers.get("bw-resume-tokens");
        let resumed: usize = resumed.map_or(0, |value| value.parse().expect("a number"));
        let chunk_id = match answer {
            Answer::CrossedChunk => "chatcmpl-another".to_owned(),
            _ => format!("chatcmpl-{id}"),
        };
        for token in resumed..TOKENS {
            match answer {
                Answer::CutAfter(count) if token >= count => return false,
                Answer::NoEnd(count) if token >= count => {
                    send(stream, "0\r\n\r\n");
                    return true;
                }
                Answer::FreezeAfter(count) if token >= count => return wait_for_close(stream),
                Answer::SlowCutAfter(count) if token >= count => return false,
                Answer::SlowCutAfter(_) => thread::sleep(time::Duration::from_millis(100)),
                Answer::Slow(pause) => thread::sleep(pause),
                Answer::SlowOnline(pause) if !is_item => thread::sleep(pause),
                Answer::Garbage if token == 1 => open &= send(stream, &event("{nonsense")),
                _ => {}
            }
            let repeats = match answer {
                Answer::Doubled | Answer::NumberedDoubled if token == 2 => 2,
                Answer::NumberedGap if token == 2 => 0,
                _ => 1,
            };
            let mut chunk = chunk(&chunk_id, Some(token), None);
            if matches!(answer, Answer::NumberedDoubled | Answer::NumberedGap) {
                chunk.insert_str(1, &format!("\"bw_token_index\":{token},"));
            }
            for _ in 0..repeats {
                open &= send(stream, &event(&chunk));
            }
            if !open {
                self.cancelled.fetch_add(1, Ordering::SeqCst);
                return false;
            }
        }
        let end = [
            event(&chunk(&chunk_id, None, Some("stop"))),
            event(&usage(&chunk_id)),
            event("[DONE]"),
            "0\r\n\r\n".to_owned(),
        ];
        send(stream, &end.concat())
    }
}

/// Returns the text of a complete response.
pub fn whole_text() -> String {
    (0..TOKENS).map(|token| format!(" t{token}")).collect()
}

fn chunk(id: &str, token: Option<usize>, finish: Option<&str>) -> String {
    let content = token.map(|token| format!(" t{token}"));
    let choice = serde_json::json!({
        "index": 0,
        "delta": { "content": content },
        "finish_reason": finish,
    });
    serde_json::json!({ "id": id, "choices": [choice] }).to_string()
}

fn usage(id: &str) -> String {
    let usage = serde_json::json!({
        "prompt_tokens": 2,
        "completion_tokens": TOKENS,
        "total_tokens": TOKENS + 2,
    });
    serde_json::json!({ "id": id, "choices": [], "usage": usage }).to_string()
}

fn event(data: &str) -> String {
    let event = format!("data: {data}\n\n");
    format!("{:x}\r\n{event}\r\n", event.len())
}

fn whole(status: u16, headers: &str, body: &str) -> String {
    let length = body.len();
    format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

fn send(mut stream: &net::TcpStream, text: &str) -> bool {
    stream.write_all(text.as_bytes()).is_ok()
}

/// Waits until the peer closes the connection.
fn wait_for_close(mut stream: &net::TcpStream) -> bool {
    let _ = stream.read(&mut [0; 1]);
    false
}

fn read_request(stream: &net::TcpStream) -> Option<Request> {
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
    let path = line.split(' ').nth(1)?.to_owned();
    let mut headers = collections::HashMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let Some((name, value)) = line.trim().split_once(':') else {
            break;
        };
        headers.insert(name.to_lowercase(), value.trim().to_owned());
    }
    let length = headers.get("content-length");
    let length = length.and_then(|value| value.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Request {
        path,
        headers,
        body,
    })
}
