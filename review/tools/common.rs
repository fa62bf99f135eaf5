//! Stand-ins for the scripts of the review, with the standard library only: processes of
//! the deploy file with rendered settings, a raw HTTP client, a replica and an operator.
#![allow(dead_code)]

use std::{
    collections::HashMap,
    fs,
    io::{Read, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream},
    os::{fd::{AsRawFd, FromRawFd}, unix::process::CommandExt},
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, atomic::{AtomicBool, AtomicU64, Ordering}},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub const CONTROL_PORT: u16 = 8_166;
pub const FRONT_PORT: u16 = 8_161;
pub const READY_PORT: u16 = 8_167;
pub const INTERNAL_PORT: u16 = 7_720;
pub const METRICS_PORT: u16 = 9_464;
pub const GRACE_S: u64 = 8;
pub const HEARTBEAT_MS: u64 = 1_200;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn prctl(option: i32, value: u64) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
}

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

pub const SIGTERM: i32 = 15;
pub const SIGKILL: i32 = 9;
pub const SIGSTOP: i32 = 19;
pub const SIGCONT: i32 = 18;

/// The record of a run, `record.txt` in the folder of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    began: Instant,
}

impl Record {
    pub fn new(folder: &str) -> Record {
        let file = fs::File::create(PathBuf::from(folder).join("record.txt")).expect("record.txt");
        Record { file: Arc::new(Mutex::new(file)), began: Instant::now() }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:9.3} s  {}", text.as_ref());
    }

    pub fn seconds(&self) -> f64 {
        self.began.elapsed().as_secs_f64()
    }
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("time").as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// One program of the deploy file.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    binary: String,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    pub fn start(&mut self) {
        let log = fs::File::options().append(true).create(true).open(self.settings.with_extension("log")).expect("log");
        let errors = log.try_clone().expect("log");
        let mut command = Command::new(&self.binary);
        command.arg("--config").arg(&self.settings).stdin(Stdio::null()).stdout(log).stderr(errors);
        // The program ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command.spawn().expect("the program starts");
        self.child = Some(child);
    }

    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// SIGKILL, and waits for the end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The machine has lost its disk, and starts again at its address.
    pub fn start_with_empty_disk(&mut self) {
        self.kill();
        let _ = fs::remove_dir_all(self.settings.with_extension("data"));
        let settings = fs::read_to_string(&self.settings).expect("settings");
        fs::write(&self.settings, settings.replace("first_start: true", "first_start: false")).expect("settings");
        self.start();
    }

    pub fn exited(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().ok().flatten().is_some(),
            None => true,
        }
    }

    pub fn log(&self) -> String {
        fs::read_to_string(self.settings.with_extension("log")).unwrap_or_default()
    }

    pub fn front(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), FRONT_PORT)
    }

    pub fn control(&self) -> SocketAddr {
        SocketAddr::new(self.ip.into(), CONTROL_PORT)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// All programs of a small deployment, each on a loopback address of its own.
pub struct Fleet {
    pub controls: Vec<Process>,
    pub entries: Vec<Process>,
    pub workers: Vec<Process>,
    pub folder: PathBuf,
    prefix: [u8; 2],
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.controls.clear();
        self.entries.clear();
        self.workers.clear();
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Fleet {
    pub fn ip(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.prefix[0], self.prefix[1], host)
    }

    /// Starts the control programs, entry programs and workers.
    pub fn start(controls: u8, entries: u8, workers: u8) -> Fleet {
        let folder = std::env::temp_dir().join(format!("bw-review-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("folder");
        let mut fleet = Fleet {
            controls: Vec::new(),
            entries: Vec::new(),
            workers: Vec::new(),
            folder,
            prefix: free_prefix(),
        };
        for index in 0..controls {
            let process = fleet.process("control", "core", 1 + index, index);
            fleet.controls.push(process);
        }
        for index in 0..entries {
            let process = fleet.process("entry", "edge", 21 + index, index);
            fleet.entries.push(process);
        }
        for index in 0..workers {
            let process = fleet.process("worker", "storage", 41 + index, index);
            fleet.workers.push(process);
        }
        let all = fleet.controls.iter_mut().chain(&mut fleet.entries).chain(&mut fleet.workers);
        for process in all {
            process.start();
        }
        fleet
    }

    /// Renders the template of the deploy file for one machine.
    fn process(&self, role: &str, class: &str, host: u8, index: u8) -> Process {
        let ip = self.ip(host);
        let zone = ["zone-a", "zone-b", "zone-c"][index as usize % 3];
        let name = format!("{class}-{zone}-{}", index / 3 + 1);
        let data = self.folder.join(format!("{name}.data"));
        let seeds: Vec<String> = (1..=3).map(|seed| format!("\"{}:{CONTROL_PORT}\"", self.ip(seed))).collect();
        let fields = [
            ("Node|json", format!("\"{name}\"")),
            ("Zone|json", format!("\"{zone}\"")),
            ("Ip|json", format!("\"{ip}\"")),
            ("Listen.Front|json", format!("\"{ip}:{FRONT_PORT}\"")),
            ("Listen.Ready|json", format!("\"{ip}:{READY_PORT}\"")),
            ("Listen.Control|json", format!("\"{ip}:{CONTROL_PORT}\"")),
            ("InternalPorts|json", format!("[{INTERNAL_PORT}, {}]", INTERNAL_PORT + 15)),
            ("Seeds|json", format!("[{}]", seeds.join(", "))),
            ("Bootstrap", "true".to_owned()),
            ("DataDir|json", format!("\"{}\"", data.display())),
            ("HeartbeatMs", HEARTBEAT_MS.to_string()),
            ("Bounds.GraceS", GRACE_S.to_string()),
            ("Bounds.StatusS", "120".to_owned()),
        ];
        let mut text = fs::read_to_string(format!("deploy/{role}.yaml")).expect("the template");
        for (field, value) in fields {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(!text.contains("{{"), "a field of the template is unknown: {text}");
        let settings = self.folder.join(format!("{name}.yaml"));
        fs::write(&settings, text).expect("settings");
        Process {
            name,
            ip,
            binary: format!("target/release/bw-platform-{role}"),
            settings,
            child: None,
        }
    }

    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        self.controls.iter().map(Process::control).collect()
    }

    /// Sends an order of the operator to one control program after the other until one
    /// answers below 500, for ten seconds at most.
    pub fn order(&self, method: &str, path: &str, body: &str) -> Option<Response> {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            for control in self.control_addresses() {
                let response = call(control, method, path, &[("Host", "control")], body.as_bytes(), 1_000);
                if let Some(response) = response.filter(|response| response.complete && response.status < 500) {
                    return Some(response);
                }
            }
            sleep_ms(100);
        }
        None
    }

    /// Waits until every entry program says that it is ready.
    pub fn await_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(15);
        self.entries.iter().all(|entry| {
            let ready = SocketAddr::new(entry.ip.into(), READY_PORT);
            while Instant::now() < until {
                let response = call(ready, "GET", "/ready", &[("Host", "entry")], b"", 1_000);
                if response.is_some_and(|response| response.status == 200) {
                    return true;
                }
                sleep_ms(50);
            }
            false
        })
    }

    /// The index of the control program that says in its log that it leads.
    pub fn leader(&self) -> Option<usize> {
        let mut found = None;
        for (index, control) in self.controls.iter().enumerate() {
            let log = control.log();
            let led = log.rfind("\"message\":\"leading\"");
            let lost = log.rfind("no longer the leader").or_else(|| log.rfind("control program started"));
            if led.is_some() && led > lost {
                found = Some(index);
            }
        }
        found
    }
}

/// Returns two middle bytes of loopback addresses at which all needed ports are free.
fn free_prefix() -> [u8; 2] {
    let start = std::process::id() as u64 ^ unix_ms();
    for attempt in 0..200 {
        let number = start.wrapping_add(attempt * 7_919);
        let prefix = [60 + (number % 180) as u8, 1 + (number / 180 % 250) as u8];
        let hosts = (1..=7).chain(21..=28).chain(41..=44);
        let free = hosts.into_iter().all(|host| {
            let ip = IpAddr::from([127, prefix[0], prefix[1], host]);
            [CONTROL_PORT, FRONT_PORT, READY_PORT, INTERNAL_PORT, METRICS_PORT]
                .iter()
                .all(|port| TcpListener::bind((ip, *port)).is_ok())
        });
        if free {
            return prefix;
        }
    }
    panic!("no free loopback addresses");
}

/// An answer as a client has received it.
#[derive(Clone, Debug, Default)]
pub struct Response {
    pub status: u16,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the body has the stated length, or its last chunk.
    pub complete: bool,
}

impl Response {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn request_bytes(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Makes one call on a new connection; `None` if no head of an answer came.
pub fn call(to: SocketAddr, method: &str, path: &str, headers: &[(&str, &str)], body: &[u8], wait_ms: u64) -> Option<Response> {
    let until = Instant::now() + Duration::from_millis(wait_ms);
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_millis(wait_ms.min(1_000))).ok()?;
    let _ = stream.set_nodelay(true);
    stream.write_all(&request_bytes(method, path, headers, body)).ok()?;
    read_response(&mut stream, until, None)
}

/// Reads one answer. With `rate`, no more than so many bytes a second are read, as over a
/// slow link.
pub fn read_response(stream: &mut TcpStream, until: Instant, rate: Option<f64>) -> Option<Response> {
    let mut bytes: Vec<u8> = Vec::new();
    let began = Instant::now();
    let mut expected = 0;
    let mut buffer = vec![0_u8; 2 << 10];
    let mut ended = false;
    loop {
        // A long body is not parsed before its stated end.
        if (ended || bytes.len() >= expected)
            && let Some(response) = parse(&bytes, ended)
        {
            if response.complete || ended {
                return Some(response);
            }
            if let Some(length) = response.headers.get("content-length") {
                expected = length.parse().unwrap_or(0);
            }
        }
        if ended {
            return None;
        }
        let now = Instant::now();
        if now >= until {
            ended = true;
            continue;
        }
        if let Some(rate) = rate {
            let due = began + Duration::from_secs_f64(bytes.len() as f64 / rate);
            if due > now {
                thread::sleep((due - now).min(until - now));
                continue;
            }
        }
        let _ = stream.set_read_timeout(Some((until - now).max(Duration::from_millis(1))));
        match stream.read(&mut buffer) {
            Ok(0) => ended = true,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut | std::io::ErrorKind::Interrupted) => {}
            Err(_) => ended = true,
        }
    }
}

fn parse(bytes: &[u8], ended: bool) -> Option<Response> {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n")?;
    let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
    let mut lines = head.split("\r\n");
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers: HashMap<String, String> = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    let rest = &bytes[end + 4..];
    let mut response = Response { status, headers, ..Response::default() };
    if let Some(length) = response.headers.get("content-length") {
        let length: usize = length.parse().ok()?;
        response.complete = rest.len() >= length;
        response.body = rest[..rest.len().min(length)].to_vec();
    } else if response.headers.get("transfer-encoding").is_some_and(|value| value.contains("chunked")) {
        let mut at = 0;
        loop {
            let Some(line) = rest[at..].windows(2).position(|window| window == b"\r\n") else {
                break;
            };
            let size = String::from_utf8_lossy(&rest[at..at + line]).into_owned();
            let Ok(size) = usize::from_str_radix(size.split(';').next()?.trim(), 16) else {
                break;
            };
            let from = at + line + 2;
            if size == 0 {
                response.complete = rest[from..].starts_with(b"\r\n");
                break;
            }
            let to = (from + size).min(rest.len());
            response.body.extend_from_slice(&rest[from..to]);
            if rest.len() < from + size + 2 {
                break;
            }
            at = from + size + 2;
        }
    } else {
        response.body = rest.to_vec();
        response.complete = ended;
    }
    Some(response)
}

/// Connects with segments of an Ethernet link and a small window, as over a real network.
pub fn connect_small(to: SocketAddr, segment: i32, window: i32) -> Option<TcpStream> {
    let SocketAddr::V4(to) = to else {
        return None;
    };
    let address = SockAddrIn {
        family: 2,
        port: to.port().to_be(),
        address: u32::from_ne_bytes(to.ip().octets()),
        zero: [0; 8],
    };
    unsafe {
        let fd = socket(2, 1, 0);
        if fd < 0 {
            return None;
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, 6, 2, &segment, 4);
        setsockopt(fd, 1, 8, &window, 4);
        match connect(fd, &address, size_of::<SockAddrIn>() as u32) {
            0 => Some(stream),
            _ => None,
        }
    }
}

/// A request that a replica has received.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn id(&self) -> &str {
        self.header("bilberrywind-request-id")
    }
}

/// What a replica does with a request for work: it writes the answer to the stream and
/// returns whether the connection stays open.
pub type Handler = Arc<dyn Fn(&Arc<Replica>, &Received, &mut TcpStream) -> bool + Send + Sync>;

/// Length of the queue of new connections of a replica.
const QUEUE: i32 = 16;

/// A stand-in for a replica of a service.
pub struct Replica {
    id: Mutex<String>,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    born: AtomicU64,
    /// Until when it is silent, in Unix milliseconds: it reads and answers nothing.
    dark_until: AtomicU64,
    pub slots: u32,
    sequence: AtomicU64,
    pub draining: AtomicBool,
    pub announcing: AtomicBool,
    handler: Handler,
    controls: Vec<SocketAddr>,
    pub record: Record,
}

impl Replica {
    pub fn start(fleet: &Fleet, host: u8, service: &str, slots: u32, record: &Record, handler: Handler) -> Arc<Replica> {
        let listener = TcpListener::bind((fleet.ip(host), 0)).expect("a port");
        // A short queue, which is filled while the replica is dark.
        unsafe { listen(listener.as_raw_fd(), QUEUE) };
        let address = listener.local_addr().expect("bound");
        let replica = Arc::new(Replica {
            id: Mutex::new(new_id(host)),
            service: service.to_owned(),
            address,
            zone: ["zone-a", "zone-b", "zone-c"][host as usize % 3].to_owned(),
            born: AtomicU64::new(unix_ms()),
            dark_until: AtomicU64::new(0),
            slots,
            sequence: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            announcing: AtomicBool::new(true),
            handler,
            controls: fleet.control_addresses(),
            record: record.clone(),
        });
        let serving = Arc::clone(&replica);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                // A machine that is dark accepts no connection.
                if serving.await_light() {
                    continue;
                }
                let replica = Arc::clone(&serving);
                thread::spawn(move || replica.serve(stream));
            }
        });
        let beating = Arc::clone(&replica);
        thread::spawn(move || {
            loop {
                if beating.announcing.load(Ordering::Relaxed) {
                    beating.beat();
                }
                sleep_ms(HEARTBEAT_MS);
            }
        });
        replica
    }

    pub fn id(&self) -> String {
        self.id.lock().expect("id").clone()
    }

    /// Falls silent for so long, with all its connections, and starts again as a new
    /// lifetime with a new id after that.
    pub fn go_dark(self: &Arc<Replica>, for_ms: u64) {
        let until = unix_ms() + for_ms;
        self.dark_until.store(until, Ordering::Relaxed);
        self.announcing.store(false, Ordering::Relaxed);
        let replica = Arc::clone(self);
        thread::spawn(move || {
            // Fills the queue of the listener, so that the kernel answers no other caller.
            let fill = || TcpStream::connect_timeout(&replica.address, Duration::from_millis(50)).ok();
            let queue: Vec<_> = (0..2 * QUEUE + 2).map(|_| fill()).collect();
            sleep_ms(until.saturating_sub(unix_ms()));
            drop(queue);
            let host = match replica.address.ip() {
                IpAddr::V4(ip) => ip.octets()[3],
                IpAddr::V6(_) => 0,
            };
            *replica.id.lock().expect("id") = new_id(host);
            replica.born.store(unix_ms(), Ordering::Relaxed);
            replica.sequence.store(0, Ordering::Relaxed);
            replica.announcing.store(true, Ordering::Relaxed);
            replica.beat();
        });
    }

    pub fn is_dark(&self) -> bool {
        unix_ms() < self.dark_until.load(Ordering::Relaxed)
    }

    /// Waits while it is silent. Returns whether it was.
    fn await_light(&self) -> bool {
        let was_dark = self.is_dark();
        while self.is_dark() {
            sleep_ms(20);
        }
        was_dark
    }

    /// Sends one heartbeat, to one control program after the other until one acknowledges.
    pub fn beat(&self) -> bool {
        let state = match self.draining.load(Ordering::Relaxed) {
            true => "draining",
            false => "ready",
        };
        let sequence = self.sequence.fetch_add(1, Ordering::Relaxed) + 1;
        let body = format!(
            r#"{{"Service":"{}","Address":"{}","Zone":"{}","Version":"v1","Slots":{},"State":"{state}","ColdLeftMs":0,"Stage":"hybrid","Models":[{{"Name":"m","Version":1,"Adapters":[]}}],"Seq":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.slots, self.born.load(Ordering::Relaxed)
        );
        let path = format!("/instances/{}", self.id());
        self.controls.iter().any(|control| {
            let response = call(*control, "PUT", &path, &[("Host", "control"), ("Content-Type", "application/json")], body.as_bytes(), 1_000);
            response.is_some_and(|response| response.complete && response.status == 200)
        })
    }

    fn serve(self: &Arc<Replica>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes: Vec<u8> = Vec::new();
        loop {
            let born = self.born.load(Ordering::Relaxed);
            let Some(received) = read_request(&mut stream, &mut bytes) else {
                return;
            };
            // Nothing of before a crash is answered after it.
            if self.await_light() || self.born.load(Ordering::Relaxed) != born {
                return;
            }
            let stays = if received.target == "/report" {
                self.answer(&mut stream, &received, 200, "application/json", br#"{"Stage":"hybrid","Models":[],"Busy":false,"Seq":0,"Waiting":0,"Running":0,"KvUsed":0,"KvTotal":100000,"Handles":0,"Runs":[]}"#)
            } else if received.target == "/kv-move" {
                self.answer(&mut stream, &received, 404, "application/json", b"{}")
            } else if received.header("bilberrywind-expect-instance") != self.id() && !received.header("bilberrywind-expect-instance").is_empty() {
                self.answer(&mut stream, &received, 421, "text/plain", b"")
            } else {
                (self.handler)(self, &received, &mut stream)
            };
            if !stays {
                return;
            }
        }
    }

    /// Writes a whole answer of known length.
    pub fn answer(&self, stream: &mut TcpStream, received: &Received, status: u16, kind: &str, body: &[u8]) -> bool {
        let head = format!(
            "HTTP/1.1 {status} X\r\nContent-Type: {kind}\r\nBilberrywind-Request-Id: {}\r\nBilberrywind-Response-Stamp: s.{}.{}\r\nBilberrywind-Instance-Id: {}\r\nContent-Length: {}\r\n\r\n",
            received.id(), self.id(), body.len(), self.id(), body.len()
        );
        stream.write_all(head.as_bytes()).and_then(|()| stream.write_all(body)).is_ok()
    }

    /// Says that the request was not run.
    pub fn refuse(&self, stream: &mut TcpStream, received: &Received) -> bool {
        let head = format!(
            "HTTP/1.1 503 X\r\nBilberrywind-Request-Id: {}\r\nBilberrywind-Not-Executed: full\r\nBilberrywind-Response-Stamp: s.{}.0\r\nContent-Length: 0\r\n\r\n",
            received.id(), self.id()
        );
        stream.write_all(head.as_bytes()).is_ok()
    }

    /// Writes the head of a stream and its next events, and not the end.
    pub fn stream_part(&self, stream: &mut TcpStream, received: &Received, events: u64, data: &dyn Fn(u64) -> String) {
        let first: u64 = received.header("last-event-id").parse().unwrap_or(0);
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBilberrywind-Request-Id: {}\r\nBilberrywind-Response-Stamp: s.{}.e\r\nTransfer-Encoding: chunked\r\n\r\n",
            received.id(), self.id()
        );
        for number in first + 1..=first + events {
            let event = format!("id: {number}\ndata: {}\n\n", data(number));
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        let _ = stream.write_all(text.as_bytes());
    }

    /// Writes a stream of events after `Last-Event-Id`, up to the event `total`. `pause_ms`
    /// passes before each event. Returns the last event that was written in whole, and
    /// whether the stream is complete.
    pub fn stream_events(&self, stream: &mut TcpStream, received: &Received, total: u64, pause_ms: u64, data: &dyn Fn(u64) -> String) -> (u64, bool) {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nBilberrywind-Request-Id: {}\r\nBilberrywind-Response-Stamp: s.{}.e\r\nTransfer-Encoding: chunked\r\n\r\n",
            received.id(), self.id()
        );
        let first: u64 = received.header("last-event-id").parse().unwrap_or(0);
        if stream.write_all(head.as_bytes()).is_err() {
            return (first, false);
        }
        for number in first + 1..=total {
            sleep_ms(pause_ms);
            if self.await_light() || has_closed(stream) {
                return (number - 1, false);
            }
            let event = format!("id: {number}\ndata: {}\n\n", data(number));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if stream.write_all(chunk.as_bytes()).is_err() {
                return (number - 1, false);
            }
        }
        (total, stream.write_all(b"0\r\n\r\n").is_ok())
    }
}

fn new_id(host: u8) -> String {
    format!("i-{host:02x}{:08x}", unix_ms() & 0xffff_ffff)
}

/// Closes a connection with a reset.
pub fn reset(stream: &TcpStream) {
    // SO_LINGER with a time of 0.
    let linger = [1_i32, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr(), 8) };
    let _ = stream.shutdown(std::net::Shutdown::Read);
}

/// Returns whether the peer has closed the connection.
pub fn has_closed(stream: &TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    let mut byte = [0_u8; 1];
    let closed = match stream.peek(&mut byte) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}

fn read_request(stream: &mut TcpStream, bytes: &mut Vec<u8>) -> Option<Received> {
    let mut buffer = vec![0_u8; 64 << 10];
    loop {
        if let Some(end) = bytes.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let mut first = lines.next()?.split(' ');
            let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
            let headers: HashMap<String, String> = lines
                .filter_map(|line| line.split_once(':'))
                .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length: usize = headers.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
            if bytes.len() >= end + 4 + length {
                let body = bytes[end + 4..end + 4 + length].to_vec();
                bytes.drain(..end + 4 + length);
                return Some(Received { method, target, headers, body });
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let number = (0..3).fold(0_u32, |number, index| number << 8 | u32::from(group.get(index).copied().unwrap_or(0)));
        for index in 0..4 {
            match index <= group.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}
