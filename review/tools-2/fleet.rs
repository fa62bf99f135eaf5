//! The project's programs as processes on loopback addresses, and the record of a case.

use std::{
    env,
    ffi::{c_int, c_ulong},
    fs,
    io::{self, Write},
    net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::http;

/// Interval between the heartbeats of a replica, `HeartbeatMs` of the pages' example.
pub const HEARTBEAT_MS: u64 = 1_200;
/// Timeout of a call by the operator or a replica.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Exit status of a case that could not run.
pub const EXIT_NOT_RUN: i32 = 2;

/// What was sent, answered and run, with the time since the start of the case.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<fs::File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        Ok(Record {
            file: Arc::new(Mutex::new(fs::File::create(path)?)),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start of the case in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    pub fn note(&self, line: &str) {
        let mut file = self.file.lock().expect("no thread panics while it writes");
        let _ = writeln!(file, "{:>7} ms  {line}", self.now_ms());
    }
}

unsafe extern "C" {
    fn prctl(option: c_int, ...) -> c_int;
}

/// Lets this process be killed when the one that started it ends.
fn end_with_parent() -> io::Result<()> {
    /// `PR_SET_PDEATHSIG` and `SIGKILL` of Linux.
    const PR_SET_PDEATHSIG: c_int = 1;
    const SIGKILL: c_ulong = 9;
    // SAFETY: the call reads its arguments only.
    match unsafe { prctl(PR_SET_PDEATHSIG, SIGKILL) } {
        0 => Ok(()),
        _ => Err(io::Error::last_os_error()),
    }
}

/// One of the project's programs.
struct Process {
    name: String,
    program: &'static str,
    settings: PathBuf,
    child: Option<Child>,
}

impl Process {
    fn start(&mut self) -> io::Result<()> {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))?;
        let mut command = Command::new(format!("target/release/{}", self.program));
        command
            .arg("--config")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        // SAFETY: `end_with_parent` makes one system call and allocates nothing.
        unsafe { command.pre_exec(end_with_parent) };
        self.child = Some(command.spawn()?);
        Ok(())
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The ports of a fleet, the same on all machines.
#[derive(Clone, Copy)]
struct Ports {
    internal: u16,
    operators: u16,
    callers: u16,
    readiness: u16,
}

/// A small deployment: control programs, entry programs, and the record of the case.
pub struct Fleet {
    pub record: Record,
    folder: PathBuf,
    prefix: [u8; 2],
    ports: Ports,
    next_port: u16,
    controls: Vec<Process>,
    entries: Vec<Process>,
}

impl Fleet {
    /// Starts some control programs, of which the first three are seeds, and some entry
    /// programs.
    pub fn start(record: Record, controls: u8, entries: u8) -> io::Result<Fleet> {
        let process_id = std::process::id();
        let folder = env::temp_dir().join(format!("bilberrywind-review-{process_id}"));
        fs::create_dir_all(&folder)?;
        let mut fleet = Fleet {
            record,
            folder,
            prefix: [
                1 + (process_id % 250) as u8,
                1 + (process_id / 250 % 250) as u8,
            ],
            ports: Ports {
                internal: 0,
                operators: 0,
                callers: 0,
                readiness: 0,
            },
            next_port: 21_000,
            controls: Vec::new(),
            entries: Vec::new(),
        };
        fleet.ports = Ports {
            internal: fleet.free_port(),
            operators: fleet.free_port(),
            callers: fleet.free_port(),
            readiness: fleet.free_port(),
        };
        let seeds: Vec<u8> = (1..=3).collect();
        for number in 0..controls {
            let process = fleet.control(number, true, &seeds)?;
            fleet.controls.push(process);
        }
        for number in 0..entries {
            let process = fleet.entry(number, &seeds)?;
            fleet.entries.push(process);
        }
        let all = fleet.controls.iter_mut().chain(&mut fleet.entries);
        for process in all {
            process.start()?;
        }
        Ok(fleet)
    }

    /// Returns a port that is free on all addresses that the fleet uses.
    fn free_port(&mut self) -> u16 {
        loop {
            self.next_port += 1;
            let port = self.next_port;
            let mut hosts = 1..=40;
            if hosts.all(|host| TcpListener::bind((self.ip(host), port)).is_ok()) {
                return port;
            }
        }
    }

    /// Returns a loopback address of this fleet.
    pub fn ip(&self, host: u8) -> IpAddr {
        let [second, third] = self.prefix;
        Ipv4Addr::new(127, second, third, host).into()
    }

    /// Returns an address for a replica of a service.
    pub fn replica_address(&mut self, host: u8) -> SocketAddr {
        SocketAddr::new(self.ip(host), self.free_port())
    }

    fn settings(&self, name: &str, host: u8, seeds: &[u8], extra: &str) -> io::Result<PathBuf> {
        let seeds = seeds.iter();
        let seeds = seeds.map(|host| format!("\"{}:{}\"", self.ip(*host), self.ports.operators));
        let seeds: Vec<String> = seeds.collect();
        let zone = ["zone-a", "zone-b", "zone-c"][usize::from(host) % 3];
        let text = format!(
            "node: {name}\nfailure_domain: {zone}\nip: \"{}\"\ninternal_ports: [{}]\nseeds: [{}]\n\
             announce_ms: {HEARTBEAT_MS}\ngrace_ms: 8000\nretention_ms: 120000\n{extra}",
            self.ip(host),
            self.ports.internal,
            seeds.join(", "),
        );
        let file = self.folder.join(format!("{name}.yaml"));
        fs::write(&file, text)?;
        Ok(file)
    }

    fn control(&self, number: u8, first_start: bool, seeds: &[u8]) -> io::Result<Process> {
        let host = number + 1;
        let name = format!("control-{number}");
        let data = self.folder.join(format!("{name}.data"));
        fs::create_dir_all(&data)?;
        let extra = format!(
            "operators: \"{}:{}\"\nfirst_start: {first_start}\ndata: \"{}\"\ntolerated_losses: 2\n",
            self.ip(host),
            self.ports.operators,
            data.display()
        );
        let settings = self.settings(&name, host, seeds, &extra)?;
        let program = "bw-platform-control";
        Ok(Process {
            name,
            program,
            settings,
            child: None,
        })
    }

    fn entry(&self, number: u8, seeds: &[u8]) -> io::Result<Process> {
        let host = number + 11;
        let name = format!("entry-{number}");
        let extra = format!(
            "callers: \"{}\"\nreadiness: \"{}\"\n",
            self.callers(number),
            self.readiness(number)
        );
        let settings = self.settings(&name, host, seeds, &extra)?;
        let program = "bw-platform-entry";
        Ok(Process {
            name,
            program,
            settings,
            child: None,
        })
    }

    /// Returns the address at which an entry program serves clients.
    pub fn callers(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.ip(entry + 11), self.ports.callers)
    }

    fn readiness(&self, entry: u8) -> SocketAddr {
        SocketAddr::new(self.ip(entry + 11), self.ports.readiness)
    }

    /// Returns the addresses at which the control programs serve operators and replicas.
    pub fn operators(&self) -> Vec<SocketAddr> {
        let hosts = (1..).zip(&self.controls);
        let running = hosts.filter(|(_, process)| process.child.is_some());
        let addresses =
            running.map(|(host, _)| SocketAddr::new(self.ip(host), self.ports.operators));
        addresses.collect()
    }

    /// Starts a control program with an empty disk at a new address. Its seeds are control
    /// programs that run.
    pub fn add_control(&mut self) -> io::Result<()> {
        let hosts = (1..).zip(&self.controls);
        let running = hosts.filter(|(_, process)| process.child.is_some());
        let seeds: Vec<u8> = running.map(|(host, _)| host).take(3).collect();
        let mut process = self.control(self.controls.len() as u8, false, &seeds)?;
        process.start()?;
        self.record.note(&format!(
            "started at a new address with an empty disk: {}",
            process.name
        ));
        self.controls.push(process);
        Ok(())
    }

    /// Returns the document that a control program gives as the configuration, if it gives
    /// one.
    pub fn read_config(&self, from: SocketAddr) -> Option<String> {
        let answer = http::call(from, "GET", "/config", &[], b"", CALL_TIMEOUT);
        let status = answer.as_ref().map_or(0, |answer| answer.status());
        self.record
            .note(&format!("operator reads the config from {from}: {status}"));
        let answer = answer.ok().filter(|answer| answer.status() == 200);
        answer.map(|answer| answer.text())
    }

    /// Sends a configuration until it is acknowledged, and returns the time of the
    /// acknowledgement.
    pub fn publish(&self, version: u64, config: &str) -> Result<u64, String> {
        self.record
            .note(&format!("operator sends config {version}: {config}"));
        for attempt in 0..40 {
            let operators = self.operators();
            let to = operators[attempt % operators.len()];
            let result = http::call(to, "PUT", "/config", &[], config.as_bytes(), CALL_TIMEOUT);
            match result.map(|answer| answer.status()) {
                Ok(200) => {
                    self.record
                        .note(&format!("config {version} is acknowledged by {to}"));
                    return Ok(self.record.now_ms());
                }
                Ok(status @ 400..=499) => return Err(format!("config refused with {status}")),
                _ => thread::sleep(Duration::from_millis(250)),
            }
        }
        Err(format!("config {version} was never acknowledged"))
    }

    /// Returns the index of the control program that leads, as its log says it last.
    pub fn leader(&self) -> Option<usize> {
        let terms = self
            .controls
            .iter()
            .enumerate()
            .filter_map(|(index, process)| {
                let log = fs::read_to_string(process.settings.with_extension("log")).ok()?;
                let mut lines = log.lines().rev();
                let line = lines.find(|line| line.contains("\"message\":\"leading\""))?;
                let (_, term) = line.split_once("\"term\":")?;
                let digits = term.split(|digit: char| !digit.is_ascii_digit()).next()?;
                Some((digits.parse::<u64>().ok()?, index))
            });
        terms.max().map(|(_, index)| index)
    }

    /// Sends SIGKILL to a control program.
    pub fn kill_control(&mut self, index: usize) {
        let name = self.controls[index].name.clone();
        self.controls[index].kill();
        self.record.note(&format!("SIGKILL: {name}"));
    }

    /// Starts a control program that was killed.
    pub fn restart_control(&mut self, index: usize) -> io::Result<()> {
        self.controls[index].start()?;
        let name = self.controls[index].name.clone();
        self.record.note(&format!("started again: {name}"));
        Ok(())
    }

    /// Returns the number of control programs.
    pub fn controls(&self) -> usize {
        self.controls.len()
    }

    /// Removes the disk of a control program that was killed. It starts with `first_start`
    /// false from then on.
    pub fn lose_disk(&mut self, index: usize) -> io::Result<()> {
        let process = &self.controls[index];
        let data = self.folder.join(format!("{}.data", process.name));
        fs::remove_dir_all(&data)?;
        fs::create_dir_all(&data)?;
        let settings = fs::read_to_string(&process.settings)?;
        let later = settings.replace("first_start: true", "first_start: false");
        fs::write(&process.settings, later)?;
        self.record.note(&format!("disk lost: {}", process.name));
        Ok(())
    }

    /// Waits until all entry programs are ready for clients.
    pub fn await_ready(&self) -> Result<(), String> {
        let entries = self.entries.len() as u8;
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            let ready = (0..entries).all(|entry| {
                let to = self.readiness(entry);
                let answer = http::call(to, "GET", "/ready", &[], b"", CALL_TIMEOUT);
                answer.is_ok_and(|answer| answer.status() == 200)
            });
            if ready {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(100));
        }
        Err("an entry program is not ready after 15 s".to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.entries.clear();
        self.controls.clear();
        match env::var("KEEP_LOGS") {
            Ok(_) => eprintln!("logs are in {}", self.folder.display()),
            Err(_) => drop(fs::remove_dir_all(&self.folder)),
        }
    }
}

/// Returns whether the disruption of the case takes place.
pub fn has_trouble() -> bool {
    env::var("TROUBLE").as_deref() != Ok("0")
}
