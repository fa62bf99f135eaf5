//! A replica of a service with a model engine.
//!
//! It runs what is sent to it, `slots` requests at once, and writes one event in each
//! interval. It drops a run when its connection closes. `GET /report` states the runs as of
//! some hundred milliseconds earlier.

use std::{
    collections::{HashMap, VecDeque},
    io::{self, Write},
    net::{SocketAddr, TcpStream},
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    fleet::{HEARTBEAT_MS, Record},
    http,
};

/// How long a heartbeat's acknowledgement is awaited.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// How far the state in a report lies back.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// What a replica is.
#[derive(Clone)]
pub struct Options {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub address: SocketAddr,
    pub slots: usize,
    /// Time between two events of a run.
    pub event_ms: u64,
    /// Whether its answers state where they end. Otherwise they end with the connection.
    pub framed: bool,
    /// The request of which the next answer is reset after its last event.
    pub lost_end: Arc<Mutex<Option<String>>>,
}

/// A run that was begun.
#[derive(Clone, Debug)]
pub struct Begun {
    pub at_ms: u64,
    pub request: String,
    /// Whether it goes on from the memory of the same request at another replica.
    pub from_memory: bool,
}

#[derive(Default)]
struct State {
    /// The runs, each with a flag that stops it.
    runs: HashMap<String, Arc<AtomicBool>>,
    /// The ids of the runs after each change.
    history: VecDeque<(Instant, Vec<String>)>,
    begun: Vec<Begun>,
    handles: u64,
}

/// A replica; clones share it.
#[derive(Clone)]
pub struct Replica {
    options: Arc<Options>,
    record: Record,
    state: Arc<Mutex<State>>,
    /// While it is set, the replica does not run and nothing listens at its address.
    down: Arc<AtomicBool>,
    /// While it is set, heartbeats reach no control program.
    cut: Arc<AtomicBool>,
    /// The number of heartbeats that were acknowledged.
    acknowledged: Arc<AtomicU64>,
    lifetime: Arc<Mutex<Lifetime>>,
}

/// One start of a replica.
#[derive(Clone)]
struct Lifetime {
    id: String,
    number: u32,
    born_ms: u64,
    sequence: u64,
}

impl Lifetime {
    fn begin(id: &str, number: u32) -> Lifetime {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH);
        Lifetime {
            id: format!("{id}-{number}"),
            number,
            born_ms: since_1970.map_or(0, |since| since.as_millis() as u64),
            sequence: 0,
        }
    }
}

impl Replica {
    /// Starts a replica that registers with the control programs.
    pub fn start(
        options: Options,
        record: &Record,
        controls: Vec<SocketAddr>,
    ) -> io::Result<Replica> {
        let lifetime = Lifetime::begin(&options.id, 1);
        let replica = Replica {
            options: Arc::new(options),
            record: record.clone(),
            state: Arc::default(),
            down: Arc::default(),
            cut: Arc::default(),
            acknowledged: Arc::default(),
            lifetime: Arc::new(Mutex::new(lifetime)),
        };
        let server = replica.clone();
        let (address, down) = (replica.options.address, Arc::clone(&replica.down));
        http::serve(address, down, move |request, stream| {
            server.handle(&request, stream)
        })?;
        let sender = replica.clone();
        thread::spawn(move || sender.send_heartbeats(&controls));
        Ok(replica)
    }

    /// Returns the runs that were begun.
    pub fn begun(&self) -> Vec<Begun> {
        self.state().begun.clone()
    }

    /// Returns how many heartbeats were acknowledged.
    pub fn acknowledged(&self) -> u64 {
        self.acknowledged.load(Ordering::Relaxed)
    }

    /// Cuts the replica off from the control programs, or lets its heartbeats through again.
    pub fn set_cut(&self, cut: bool) {
        let what = match cut {
            true => "is cut off from control",
            false => "reaches control again",
        };
        self.record
            .note(&format!("replica {} {what}", self.lifetime().id));
        self.cut.store(cut, Ordering::Relaxed);
    }

    /// Returns how many requests it runs now.
    pub fn running(&self) -> usize {
        self.state().runs.len()
    }

    /// Crashes: all connections are reset, and none is accepted.
    pub fn crash(&self) {
        let id = self.lifetime().id;
        self.record.note(&format!("replica {id} crashes"));
        self.down.store(true, Ordering::Relaxed);
    }

    /// Begins a new lifetime after a crash.
    pub fn restart(&self) {
        {
            let mut lifetime = self
                .lifetime
                .lock()
                .expect("no thread panics with the lock");
            *lifetime = Lifetime::begin(&self.options.id, lifetime.number + 1);
        }
        self.down.store(false, Ordering::Relaxed);
        let id = self.lifetime().id;
        self.record.note(&format!("replica {id} starts"));
    }

    fn lifetime(&self) -> Lifetime {
        let lifetime = self.lifetime.lock();
        lifetime.expect("no thread panics with the lock").clone()
    }

    fn is_down(&self) -> bool {
        self.down.load(Ordering::Relaxed)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no thread panics with the lock")
    }

    fn send_heartbeats(&self, controls: &[SocketAddr]) {
        let options = &self.options;
        let mut to = controls[0];
        loop {
            while self.is_down() || self.cut.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(20));
            }
            let lifetime = {
                let mut lifetime = self
                    .lifetime
                    .lock()
                    .expect("no thread panics with the lock");
                lifetime.sequence += 1;
                lifetime.clone()
            };
            let body = format!(
                "{{\"Service\":\"{}\",\"Address\":\"{}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
                 \"Slots\":{},\"State\":\"ready\",\"ColdLeftMs\":0,\"Stage\":\"hybrid\",\
                 \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
                 \"Seq\":{},\"born\":{}}}",
                options.service,
                options.address,
                options.zone,
                options.slots,
                lifetime.sequence,
                lifetime.born_ms
            );
            let path = format!("/instances/{}", lifetime.id);
            for attempt in 0..=controls.len() {
                let json = [("Content-Type", "application/json")];
                let answer =
                    http::call(to, "PUT", &path, &json, body.as_bytes(), HEARTBEAT_TIMEOUT);
                if let Ok(answer) = answer
                    && (200..300).contains(&answer.status())
                {
                    self.acknowledged.fetch_add(1, Ordering::Relaxed);
                    to = heartbeat_address(&answer.text()).unwrap_or(to);
                    break;
                }
                to = controls[(lifetime.sequence as usize + attempt) % controls.len()];
            }
            // A new lifetime registers at once.
            for _ in 0..HEARTBEAT_MS / 20 {
                thread::sleep(Duration::from_millis(20));
                if self.is_down() {
                    break;
                }
            }
        }
    }

    fn handle(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let (method, path) = (request.word(0), request.word(1));
        match (method, path) {
            ("GET", "/health") => {
                let id = self.lifetime().id;
                let id = [("Bilberrywind-Instance-Id", id.as_str())];
                http::respond(stream, "200 OK", &id, b"")?;
                Ok(true)
            }
            ("GET", "/report") => {
                http::respond(stream, "200 OK", &[], self.report().as_bytes())?;
                Ok(true)
            }
            ("POST", "/kv-move") => {
                let body = request.text();
                let (status, body) = match self.take_run(&body) {
                    Some(handle) => ("200 OK", format!("{{\"handle\":\"{handle}\",\"made\":1}}")),
                    None => ("404 Not Found", "{}".to_owned()),
                };
                http::respond(stream, status, &[], body.as_bytes())?;
                Ok(true)
            }
            ("DELETE", _) if path.starts_with("/kv-handle/") => {
                http::respond(stream, "200 OK", &[], b"{}")?;
                Ok(true)
            }
            _ => self.run(request, stream),
        }
    }

    /// Returns the state as of some hundred milliseconds ago.
    fn report(&self) -> String {
        let state = self.state();
        let mut history = state.history.iter().rev();
        let known = history.find(|(at, _)| at.elapsed() >= REPORT_LAG);
        let runs = known.map(|(_, runs)| runs.clone()).unwrap_or_default();
        let listed = runs.iter().map(|id| format!("[\"{id}\",600,1,2]"));
        let listed: Vec<String> = listed.collect();
        format!(
            "{{\"Stage\":\"hybrid\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
             \"Busy\":false,\"Seq\":0,\"Waiting\":0,\"Running\":{},\"KvUsed\":0,\"KvTotal\":147261,\
             \"Handles\":0,\"State\":\"ready\",\"Runs\":[{}]}}",
            runs.len(),
            listed.join(",")
        )
    }

    /// Stops the run that an order to move its memory names. Returns the handle of the
    /// memory, or `None` if there is no such run.
    fn take_run(&self, order: &str) -> Option<String> {
        let mut state = self.state();
        let id = state
            .runs
            .keys()
            .find(|id| order.contains(id.as_str()))?
            .clone();
        let stop = state.runs.remove(&id)?;
        stop.store(true, Ordering::Relaxed);
        state.note_change();
        state.handles += 1;
        let own = self.lifetime().id;
        let handle = format!("{own}-{}", state.handles);
        self.record
            .note(&format!("replica {own} moves the memory of {id}"));
        Some(handle)
    }

    fn run(&self, request: &http::Message, stream: &mut TcpStream) -> io::Result<bool> {
        let options = &self.options;
        let own = self.lifetime().id;
        let id = request.header("Bilberrywind-Request-Id").to_owned();
        let not_run = [
            ("Bilberrywind-Request-Id", id.as_str()),
            ("Bilberrywind-Not-Executed", "1"),
        ];
        if id.is_empty() {
            http::respond(stream, "400 Bad Request", &not_run, b"")?;
            return Ok(true);
        }
        let expected = request.header("Bilberrywind-Expect-Instance");
        if !expected.is_empty() && expected != own {
            http::respond(stream, "421 Misdirected Request", &not_run, b"")?;
            return Ok(true);
        }
        let after = request.header("Last-Event-Id").parse().unwrap_or(0);
        let stop = Arc::new(AtomicBool::new(false));
        {
            let mut state = self.state();
            if state.runs.len() >= options.slots || state.runs.contains_key(&id) {
                drop(state);
                http::respond(stream, "503 Service Unavailable", &not_run, b"")?;
                return Ok(true);
            }
            state.runs.insert(id.clone(), Arc::clone(&stop));
            state.note_change();
            state.begun.push(Begun {
                at_ms: self.record.now_ms(),
                request: id.clone(),
                from_memory: !request.header("Kv-From").is_empty(),
            });
        }
        self.record.note(&format!(
            "replica {own} of service {} begins to run {id} after event {after}, Kv-From \"{}\"",
            options.service,
            request.header("Kv-From")
        ));
        let result = self.write_events(&id, after, events(&request.text()), &stop, stream);
        {
            let mut state = self.state();
            let is_own = |known: &Arc<AtomicBool>| Arc::ptr_eq(known, &stop);
            if state.runs.get(&id).is_some_and(is_own) {
                state.runs.remove(&id);
                state.note_change();
            }
        }
        let outcome = match &result {
            Ok(true) => "completes",
            Ok(false) | Err(_) => "stops",
        };
        self.record.note(&format!("replica {own} {outcome} {id}"));
        result.map(|whole| whole && options.framed)
    }

    /// Writes the events of a run. Returns whether it is complete; the connection is closed
    /// otherwise.
    fn write_events(
        &self,
        id: &str,
        after: u64,
        events: u64,
        stop: &AtomicBool,
        stream: &mut TcpStream,
    ) -> io::Result<bool> {
        let running = self.state().runs.len();
        let framed = self.options.framed;
        let framing = match framed {
            true => "Transfer-Encoding: chunked",
            false => "Connection: close",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n{framing}\r\n\
             Bilberrywind-Request-Id: {id}\r\nBilberrywind-Response-Stamp: s.{}.{id}\r\n\
             Bilberrywind-Server-Load: {running},0,{}\r\n\r\n",
            self.options.id, self.options.slots
        );
        stream.write_all(head.as_bytes())?;
        for number in after + 1..=events {
            thread::sleep(Duration::from_millis(self.options.event_ms));
            if self.is_down() {
                http::reset_on_close(stream)?;
                return Ok(false);
            }
            if stop.load(Ordering::Relaxed) || http::is_closed(stream) {
                return Ok(false);
            }
            let event = format!("id: {number}\ndata: {}\n\n", word(id, number));
            match framed {
                true => write!(stream, "{:x}\r\n{event}\r\n", event.len())?,
                false => stream.write_all(event.as_bytes())?,
            }
        }
        let lost_end = self.options.lost_end.lock();
        let mut lost_end = lost_end.expect("no thread panics with the lock");
        if lost_end.take_if(|request| request == id).is_some() {
            self.record.note(&format!(
                "the connection of {id} is reset after its last event"
            ));
            // The bytes that were sent arrive before the reset.
            thread::sleep(Duration::from_millis(20));
            http::reset_on_close(stream)?;
            return Ok(false);
        }
        if framed {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(true)
    }
}

impl State {
    fn note_change(&mut self) {
        let runs = self.runs.keys().cloned().collect();
        self.history.push_back((Instant::now(), runs));
    }
}

/// Returns the data of an event of a request.
fn word(id: &str, number: u64) -> String {
    format!("{id}-{number}")
}

/// Returns how many events a request asks for in its body.
fn events(body: &str) -> u64 {
    let number = body.strip_prefix("events=").map(str::trim);
    number.and_then(|number| number.parse().ok()).unwrap_or(1)
}

/// Returns the address for later heartbeats that an acknowledgement names.
fn heartbeat_address(body: &str) -> Option<SocketAddr> {
    let (_, rest) = body.split_once("\"HeartbeatAddr\":\"")?;
    let (address, _) = rest.split_once('"')?;
    address.parse().ok()
}
