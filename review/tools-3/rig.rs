//! Shared parts of the cases: processes of the project, stand-in backend servers, clients
//! and the operator. Uses the standard library only.

use std::{
    collections::BTreeMap,
    fs,
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const COULD_NOT_RUN: i32 = 2;

/// What a deployment of the pages sets; the figures of the first site.
pub const HEARTBEAT_MS: u64 = 1_200;
pub const GRACE_MS: u64 = 8_000;
pub const STATUS_MS: u64 = 120_000;

pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| elapsed.as_millis() as u64)
}

/// Returns whether the case runs with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The record of what was sent, answered and run, one line each.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn create(path: &Path) -> Record {
        let file = fs::File::create(path).expect("record.txt can be created");
        Record {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!("{:>7} ms  {}\n", self.ms(), text.as_ref());
        print!("{line}");
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Numbers for ids; no two of a run are equal.
pub fn new_id(prefix: &str) -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{prefix}{:06x}{number:06x}", std::process::id() & 0xff_ffff)
}

/// A message of HTTP/1.1: a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The words of the first line.
    pub first: Vec<String>,
    /// Header names in lowercase, with the last value of each.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first
            .get(1)
            .and_then(|word| word.parse().ok())
            .unwrap_or(0)
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

fn invalid(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

/// Reads the first line and the headers; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message {
        first: line.trim_end().splitn(3, ' ').map(str::to_owned).collect(),
        ..Message::default()
    };
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(invalid("the head ends early"));
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line
            .split_once(':')
            .ok_or_else(|| invalid("a header has no colon"))?;
        message
            .headers
            .insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
    }
}

/// Reads the body that the head states. A response without a length ends with its connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    is_response: bool,
) -> io::Result<()> {
    if message
        .header("transfer-encoding")
        .eq_ignore_ascii_case("chunked")
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(invalid("the chunks end early"));
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| invalid("a chunk has no size"))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            reader.read_exact(&mut message.body[start..])?;
            let mut end = [0; 2];
            reader.read_exact(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    if let Ok(length) = message.header("content-length").parse::<usize>() {
        message.body = vec![0; length];
        return reader.read_exact(&mut message.body);
    }
    if is_response && message.status() != 204 {
        reader.read_to_end(&mut message.body)?;
    }
    Ok(())
}

/// Sends one request on a new connection and reads the whole response.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    if !headers
        .iter()
        .any(|(name, _)| name.eq_ignore_ascii_case("host"))
    {
        head.push_str(&format!("Host: {to}\r\n"));
    }
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    (&stream).write_all(&bytes)?;
    let mut reader = BufReader::new(&stream);
    let mut message =
        read_head(&mut reader)?.ok_or_else(|| invalid("closed without a response"))?;
    read_body(&mut reader, &mut message, true)?;
    Ok(message)
}

/// One program of the deploy file.
pub struct Process {
    program: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log)
            .unwrap();
        let child = Command::new(&self.program)
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        self.child = Some(child);
    }

    pub fn kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.child = None;
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A small deployment on loopback addresses.
pub struct Fleet {
    pub record: Record,
    pub folder: PathBuf,
    net: u8,
    port_operators: u16,
    port_internal: u16,
    port_callers: u16,
    port_ready: u16,
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
}

const ZONES: [&str; 3] = ["ljub-a", "ljub-b", "ljub-c"];

impl Fleet {
    /// Prepares a deployment; nothing runs yet.
    pub fn new(record: &Record, controls: usize, entries: usize) -> Fleet {
        let target = std::env::var("RIG_BIN").unwrap_or_else(|_| "target/release".to_owned());
        let folder = PathBuf::from(std::env::var("RIG_TMP").expect("RIG_TMP names a folder"));
        let folder = folder.join(new_id("fleet-"));
        fs::create_dir_all(&folder).expect("the folder can be created");
        let net = 20 + (std::process::id() % 200) as u8;
        let mut ports = Vec::new();
        let mut held = Vec::new();
        for _ in 0..4 {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
            ports.push(listener.local_addr().unwrap().port());
            held.push(listener);
        }
        drop(held);
        let mut fleet = Fleet {
            record: record.clone(),
            folder,
            net,
            port_operators: ports[0],
            port_internal: ports[1],
            port_callers: ports[2],
            port_ready: ports[3],
            controls: Vec::new(),
            entries: Vec::new(),
        };
        let seeds: Vec<String> = (0..controls.min(3))
            .map(|index| fleet.operators(index).to_string())
            .collect();
        for index in 0..controls {
            let ip = fleet.control_ip(index);
            let data = fleet.folder.join(format!("data-{index}"));
            fs::create_dir_all(&data).unwrap();
            let text = format!(
                "node: \"core-{index}\"\nfailure_domain: \"{}\"\nip: \"{ip}\"\noperators: \"{ip}:{}\"\ninternal_ports: [{}]\nseeds: {seeds:?}\nfirst_start: true\ndata: {data:?}\ntolerated_losses: 2\nannounce_ms: {HEARTBEAT_MS}\ngrace_ms: {GRACE_MS}\nretention_ms: {STATUS_MS}\n",
                ZONES[index % 3],
                fleet.port_operators,
                fleet.port_internal,
            );
            let process = fleet.process(
                &target,
                "bw-platform-control",
                &format!("core-{index}"),
                &text,
            );
            fleet.controls.push(process);
        }
        for index in 0..entries {
            let ip = fleet.entry_ip(index);
            let text = format!(
                "node: \"edge-{index}\"\nfailure_domain: \"{}\"\nip: \"{ip}\"\ncallers: \"{ip}:{}\"\nreadiness: \"{ip}:{}\"\ninternal_ports: [{}]\nseeds: {seeds:?}\nannounce_ms: {HEARTBEAT_MS}\ngrace_ms: {GRACE_MS}\nretention_ms: {STATUS_MS}\n",
                ZONES[index % 3],
                fleet.port_callers,
                fleet.port_ready,
                fleet.port_internal,
            );
            let process = fleet.process(
                &target,
                "bw-platform-entry",
                &format!("edge-{index}"),
                &text,
            );
            fleet.entries.push(process);
        }
        fleet
    }

    fn process(&self, target: &str, program: &str, name: &str, settings: &str) -> Process {
        let file = self.folder.join(format!("{name}.yaml"));
        fs::write(&file, settings).unwrap();
        Process {
            program: format!("{target}/{program}"),
            settings: file,
            log: self.folder.join(format!("{name}.log")),
            child: None,
        }
    }

    fn control_ip(&self, index: usize) -> String {
        format!("127.{}.1.{}", self.net, index + 1)
    }

    fn entry_ip(&self, index: usize) -> String {
        format!("127.{}.2.{}", self.net, index + 1)
    }

    /// Returns the folder of the log of a control process.
    pub fn log_folder(&self, index: usize) -> PathBuf {
        self.folder.join(format!("data-{index}")).join("log")
    }

    /// Returns whether a control process has logged that it applied a configuration.
    pub fn has_applied(&self, index: usize, version: u64) -> bool {
        let log =
            fs::read_to_string(self.folder.join(format!("core-{index}.log"))).unwrap_or_default();
        let version = format!("\"version\":{version}");
        let mut lines = log.lines();
        lines.any(|line| line.contains("configuration applied") && line.contains(&version))
    }

    pub fn server_ip(&self, index: usize) -> String {
        format!("127.{}.3.{}", self.net, index + 1)
    }

    pub fn operators(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.control_ip(index), self.port_operators)
            .parse()
            .unwrap()
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.entry_ip(index), self.port_callers)
            .parse()
            .unwrap()
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        format!("{}:{}", self.entry_ip(index), self.port_ready)
            .parse()
            .unwrap()
    }

    pub fn all_operators(&self) -> Vec<SocketAddr> {
        (0..self.controls.len())
            .map(|index| self.operators(index))
            .collect()
    }

    /// Starts all processes and puts the first configuration into force.
    pub fn start(&mut self, config: &str) -> bool {
        for process in self.controls.iter_mut().chain(&mut self.entries) {
            process.start();
        }
        self.publish(config) && self.await_ready()
    }

    /// Sends an operator's call to one node after the other until one acknowledges it, as
    /// the pages say.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &str,
        within: Duration,
    ) -> Option<Message> {
        let until = Instant::now() + within;
        let mut index = 0;
        while Instant::now() < until {
            let to = self.operators(index % self.controls.len());
            index += 1;
            let answer = call(
                to,
                method,
                path,
                &[("Content-Type", "application/json")],
                body.as_bytes(),
                Duration::from_secs(1),
            );
            match answer {
                Ok(answer)
                    if answer.status() < 500
                        && answer.status() != 408
                        && answer.status() != 429 =>
                {
                    return Some(answer);
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    pub fn publish(&self, config: &str) -> bool {
        let answer = self.operate("PUT", "/config", config, Duration::from_secs(15));
        let status = answer.map_or(0, |answer| answer.status());
        self.record
            .line(format!("operator: PUT /config answered {status}"));
        status == 200
    }

    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        for index in 0..self.entries.len() {
            loop {
                let answer = call(
                    self.ready(index),
                    "GET",
                    "/ready",
                    &[],
                    b"",
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| answer.status() == 200) {
                    break;
                }
                if Instant::now() > until {
                    self.record.line(format!("edge-{index} is not ready"));
                    return false;
                }
                thread::sleep(Duration::from_millis(50));
            }
        }
        true
    }
}

/// The connection of a stand-in backend server, on which its handler answers one request.
pub struct Exchange<'a> {
    pub request: Message,
    pub stream: &'a TcpStream,
}

impl Exchange<'_> {
    pub fn id(&self) -> &str {
        self.request.header("bilberrywind-request-id")
    }

    pub fn path(&self) -> &str {
        self.request.first.get(1).map_or("", String::as_str)
    }

    /// Writes a response with a length.
    pub fn answer(&self, status: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(body);
        let mut stream = self.stream;
        stream.write_all(&bytes)
    }

    pub fn begin_events(&self) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nBilberrywind-Request-Id: {}\r\nBilberrywind-Response-Stamp: stamp-{}\r\n\r\n",
            self.id(),
            self.id(),
        );
        let mut stream = self.stream;
        stream.write_all(head.as_bytes())
    }

    pub fn chunk(&self, bytes: &[u8]) -> io::Result<()> {
        let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
        out.extend_from_slice(bytes);
        out.extend_from_slice(b"\r\n");
        let mut stream = self.stream;
        stream.write_all(&out)
    }

    pub fn end_events(&self) -> io::Result<()> {
        let mut stream = self.stream;
        stream.write_all(b"0\r\n\r\n")
    }

    /// Returns whether the sender has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0];
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

type Handler = Arc<dyn Fn(&Exchange<'_>) -> io::Result<()> + Send + Sync>;

/// A stand-in backend server, which announces itself and serves one request at a time on
/// each connection.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    pub born: u64,
    sequence: Arc<AtomicU64>,
    state: Arc<Mutex<&'static str>>,
    stopped: Arc<AtomicBool>,
}

impl Server {
    /// Starts a server with its heartbeats.
    pub fn start(
        fleet: &Fleet,
        index: usize,
        service: &str,
        slots: u32,
        handler: Handler,
    ) -> Server {
        let listener =
            TcpListener::bind(format!("{}:0", fleet.server_ip(index))).expect("a free port");
        let server = Server {
            id: new_id("i-"),
            service: service.to_owned(),
            address: listener.local_addr().unwrap(),
            zone: ZONES[index % 3].to_owned(),
            slots,
            born: unix_ms(),
            sequence: Arc::new(AtomicU64::new(0)),
            state: Arc::new(Mutex::new("ready")),
            stopped: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                if accepting.stopped.load(Ordering::Relaxed) {
                    return;
                }
                let (Ok(stream), handler, server) =
                    (stream, Arc::clone(&handler), accepting.clone())
                else {
                    continue;
                };
                thread::spawn(move || server.serve(stream, &handler));
            }
        });
        let beating = server.clone();
        let nodes = fleet.all_operators();
        thread::spawn(move || {
            let mut node = 0;
            while !beating.stopped.load(Ordering::Relaxed) {
                for _ in 0..nodes.len() {
                    let status = beating.announce(nodes[node % nodes.len()]);
                    if (200..300).contains(&status) {
                        break;
                    }
                    node += 1;
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        server
    }

    /// Sends one heartbeat and returns the status of its answer, 0 without one.
    pub fn announce(&self, to: SocketAddr) -> u16 {
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = heartbeat(
            &self.service,
            self.address,
            &self.zone,
            self.slots,
            &self.state.lock().unwrap(),
            sequence,
            Some(self.born),
        );
        let path = format!("/instances/{}", self.id);
        let answer = call(
            to,
            "PUT",
            &path,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
            Duration::from_secs(1),
        );
        answer.map_or(0, |answer| answer.status())
    }

    /// Reports `draining` until it is acknowledged.
    pub fn drain(&self, fleet: &Fleet) -> bool {
        *self.state.lock().unwrap() = "draining";
        for _ in 0..10 {
            for to in fleet.all_operators() {
                if self.announce(to) == 200 {
                    return true;
                }
            }
        }
        false
    }

    /// Ends the server: it sends no heartbeats and accepts no connections any more.
    pub fn stop(&self) {
        self.stopped.store(true, Ordering::Relaxed);
        let _ = TcpStream::connect_timeout(&self.address, Duration::from_millis(200));
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Ok(Some(mut request)) = read_head(&mut reader) {
            if read_body(&mut reader, &mut request, false).is_err() {
                return;
            }
            let exchange = Exchange {
                request,
                stream: &stream,
            };
            if self.answer(&exchange, handler).is_err() {
                let _ = stream.shutdown(std::net::Shutdown::Both);
                return;
            }
        }
    }

    fn answer(&self, exchange: &Exchange<'_>, handler: &Handler) -> io::Result<()> {
        let id = exchange.id().to_owned();
        match exchange.path() {
            "/health" => exchange.answer("200 OK", &[("Bilberrywind-Instance-Id", &self.id)], b""),
            "/report" => {
                let body = format!(
                    "{{\"Stage\":\"hybrid\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Busy\":false,\"Seq\":0,\"Waiting\":0,\"Running\":0,\"KvUsed\":0,\"KvTotal\":147261,\"Handles\":0,\"Runs\":[]}}"
                );
                exchange.answer(
                    "200 OK",
                    &[("Content-Type", "application/json")],
                    body.as_bytes(),
                )
            }
            _ => {
                let expected = exchange.request.header("bilberrywind-expect-instance");
                if !expected.is_empty() && expected != self.id {
                    let headers = [("Bilberrywind-Request-Id", id.as_str())];
                    return exchange.answer("421 Misdirected Request", &headers, b"");
                }
                handler(exchange)
            }
        }
    }
}

/// Builds the body of a heartbeat; without `born` the field is missing.
pub fn heartbeat(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    state: &str,
    sequence: u64,
    born: Option<u64>,
) -> String {
    let born = born.map_or(String::new(), |born| format!(",\"born\":{born}"));
    format!(
        "{{\"Service\":\"{service}\",\"Address\":\"{address}\",\"Zone\":\"{zone}\",\"Version\":\"v1\",\"Slots\":{slots},\"State\":\"{state}\",\"ColdLeftMs\":0,\"Stage\":\"hybrid\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"Seq\":{sequence}{born}}}"
    )
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for group in bytes.chunks(3) {
        let value = group
            .iter()
            .fold(0_u32, |value, byte| value << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for digit in 0..4 {
            match digit <= group.len() {
                true => text.push(DIGITS[(value >> (18 - 6 * digit) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

/// The parts of a configuration that the cases share.
pub const LIMITS: &str = r#""Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}"#;

pub fn service(name: &str) -> String {
    format!(
        r#"{{"Name":"{name}","HealthPath":"/health","MaxConns":370,"Protocol":"h1","Tls":false}}"#
    )
}

/// A batch job of a client.
pub struct Job {
    pub id: String,
    /// Ids and paths of the items.
    pub items: Vec<(String, String)>,
}

impl Job {
    pub fn new(count: usize, path: impl Fn(usize) -> String) -> Job {
        Job {
            id: new_id("j"),
            items: (0..count).map(|index| (new_id("e"), path(index))).collect(),
        }
    }

    pub fn body(&self, headers: &str, bytes: &[u8], tokens: u64) -> String {
        let body = base64(bytes);
        let items: Vec<String> = self.items.iter().map(|(id, path)| {
            format!(r#"{{"Id":"{id}","Path":"{path}","Headers":{{{headers}}},"Body":"{body}","Tokens":{tokens}}}"#)
        }).collect();
        format!(r#"{{"Requests":[{}]}}"#, items.join(","))
    }
}
