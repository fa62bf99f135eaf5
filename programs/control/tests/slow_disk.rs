//! Tests replicas whose disk syncs stall, as on a disk under load.

use std::{
    collections,
    io::{Read, Write},
    net, process,
    sync::{Arc, Condvar, Mutex, atomic},
    thread, time,
};

use rstest::rstest;

use bw_client::control;
use bw_control::{Handle, settings};
use bw_coord::storage::{self, Disk, Flusher};
use bw_wire::{command::work, fingerprint, member, name::Name};

/// How long a test waits for a condition before it fails.
const LIMIT: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(20);
/// The default, so that load on the machine does not cause elections.
const ELECTION_MS: u64 = 1_000;
const WORK_GROUPS: u32 = 2;

/// Blocks the syncs of all folders that share it while it is closed.
#[derive(Clone, Default)]
struct Gate(Arc<(Mutex<bool>, Condvar)>);

impl Gate {
    fn set_closed(&self, closed: bool) {
        *self.0.0.lock().expect("lock") = closed;
        self.0.1.notify_all();
    }

    fn wait(&self) {
        let mut closed = self.0.0.lock().expect("lock");
        while *closed {
            closed = self.0.1.wait(closed).expect("lock");
        }
    }
}

/// A directory whose syncs wait for a gate.
struct GatedFolder {
    directory: storage::Directory,
    gate: Gate,
}

impl Flusher for GatedFolder {
    fn prepare_sync(&mut self, name: &str) -> Result<storage::Flush, storage::Error> {
        let flush = self.directory.prepare_sync(name)?;
        let gate = self.gate.clone();
        Ok(storage::Flush::new(move || {
            gate.wait();
            flush.run()
        }))
    }
}

impl Disk for GatedFolder {
    fn append(&mut self, name: &str, data: &[u8]) -> Result<(), storage::Error> {
        self.directory.append(name, data)
    }

    fn sync(&mut self, name: &str) -> Result<(), storage::Error> {
        self.prepare_sync(name)?.run()
    }

    fn close(&mut self, name: &str) {
        self.directory.close(name);
    }

    fn read(&mut self, name: &str, offset: u64, length: usize) -> Result<Vec<u8>, storage::Error> {
        self.directory.read(name, offset, length)
    }

    fn remove(&mut self, name: &str) -> Result<(), storage::Error> {
        self.directory.remove(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<(), storage::Error> {
        self.directory.rename(from, to)
    }

    fn list(&mut self) -> Result<Vec<storage::File>, storage::Error> {
        self.directory.list()
    }
}

/// Replicas of this process, all with the same slow disk.
struct Cluster {
    folder: tempfile::TempDir,
    gate: Gate,
    members: Vec<member::Member>,
    handles: Vec<Handle>,
}

impl Cluster {
    /// Starts the first `running` of `members` replicas.
    fn start(members: u64, running: u64) -> Cluster {
        let domains = ["zone-a", "zone-b", "zone-c"].into_iter();
        let members = (1..=members).zip(domains).map(|(replica, domain)| {
            let address = own_address();
            member::Member {
                replica,
                address,
                failure_domain: domain.into(),
                voter: true,
            }
        });
        let mut cluster = Cluster {
            folder: tempfile::tempdir().expect("folder"),
            gate: Gate::default(),
            members: members.collect(),
            handles: Vec::new(),
        };
        for replica in 1..=running {
            let handle = cluster.launch(replica);
            cluster.handles.push(handle);
        }
        cluster
    }

    fn launch(&self, replica: u64) -> Handle {
        let member = &self.members[replica as usize - 1];
        let settings = settings::Settings {
            replica,
            listen: member.address.clone(),
            admin: "127.0.0.1:0".into(),
            data: self.folder.path().join(format!("data-{replica}")),
            failure_domain: member.failure_domain.clone(),
            members: self.members.clone(),
            work_groups: WORK_GROUPS,
            timeouts: settings::Timeouts {
                election_ms: ELECTION_MS,
                order_ms: 200,
                stop_ms: 5_000,
                ..settings::Timeouts::default()
            },
            ..settings::Settings::default()
        };
        let folder = GatedFolder {
            directory: storage::Directory::open(&settings.data).expect("directory"),
            gate: self.gate.clone(),
        };
        bw_control::start_on(settings, Box::new(folder)).expect("started")
    }

    fn client(&self) -> control::Client {
        let addresses = self.handles.iter().map(|handle| handle.address());
        let addresses = addresses.map(|address| address.to_string().as_str().into());
        control::Builder::new(addresses.collect())
            .call_timeout(LIMIT)
            .total_timeout(LIMIT)
            .build()
    }

    /// Returns role, term and leader of each running replica in each group, or
    /// `None` if a replica does not answer within an election timeout.
    async fn roles(&self, client: &control::Client) -> Option<Roles> {
        let mut roles = Roles::new();
        for address in client.addresses() {
            let limit = time::Duration::from_millis(ELECTION_MS);
            let status = tokio::time::timeout(limit, client.status(address)).await;
            for group in status.ok()?.ok()?.groups {
                let role = (group.role, group.term, group.leader);
                roles.insert((address.clone(), group.group), role);
            }
        }
        Some(roles)
    }

    /// Waits until every group has a leader that all replicas know.
    async fn await_leaders(&self, client: &control::Client) -> Roles {
        let start = time::Instant::now();
        while start.elapsed() < LIMIT {
            let roles = self.roles(client).await.unwrap_or_default();
            let has_leader = |group: u32| {
                let mut roles = roles.iter().filter(|((_, other), _)| *other == group);
                let first = roles.next().map(|(_, (_, term, leader))| (term, leader));
                first.is_some_and(|first| {
                    first.1.is_some() && roles.all(|(_, (_, term, leader))| (term, leader) == first)
                })
            };
            if (0..=WORK_GROUPS).all(has_leader) {
                return roles;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("no leaders");
    }

    fn stop(self) {
        for handle in self.handles {
            handle.stop().expect("stopped");
        }
    }
}

type Roles = collections::BTreeMap<(Name, u32), (String, u64, Option<u64>)>;

/// Returns an address that no other test uses: each replica has a loopback IP
/// address of its own, as in the process tests.
fn own_address() -> Name {
    static REPLICAS: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = 1 + REPLICAS.fetch_add(1, atomic::Ordering::Relaxed) % 254;
    let pid = process::id();
    let (high, low) = (1 + (pid >> 8) % 63, pid % 256);
    format!("127.{high}.{low}.{number}:7001").as_str().into()
}

fn claim(key: &str) -> work::Command {
    work::Command::Claim {
        team: "t".into(),
        key: key.into(),
        body: fingerprint::Fingerprint(1, 1),
        value: "first".into(),
    }
}

fn claimed() -> work::Reply {
    work::Reply::Claimed {
        value: "first".into(),
        fresh: true,
    }
}

/// Guards against leaders that lose leadership while all disk syncs stall for longer than
/// the election timeout, and against an answer before the sync.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn leaders_survive_syncs_longer_than_the_election_timeout(#[values(2, 3)] running: u64) {
    let cluster = Cluster::start(3, running);
    let client = cluster.client();
    cluster.await_leaders(&client).await;
    for group in 1..=WORK_GROUPS {
        let reply = client.work(group, claim("before")).await;
        assert_eq!(reply, Ok(claimed()));
    }
    let before = cluster.await_leaders(&client).await;
    cluster.gate.set_closed(true);
    let claims = (1..=WORK_GROUPS).map(|group| {
        let client = client.clone();
        tokio::spawn(async move { client.work(group, claim("during")).await })
    });
    let claims: Vec<_> = claims.collect();
    let start = time::Instant::now();
    while start.elapsed() < time::Duration::from_millis(4 * ELECTION_MS) {
        let roles = cluster.roles(&client).await;
        assert_eq!(roles.as_ref(), Some(&before), "{:?}", start.elapsed());
        assert!(!claims.iter().any(tokio::task::JoinHandle::is_finished));
        tokio::time::sleep(POLL).await;
    }
    cluster.gate.set_closed(false);
    for claim in claims {
        assert_eq!(claim.await.expect("no panic"), Ok(claimed()));
    }
    assert_eq!(cluster.roles(&client).await.as_ref(), Some(&before));
    cluster.stop();
}

/// Guards against a stop that does not answer a command whose sync is still running.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_commands_of_a_running_sync() {
    let mut cluster = Cluster::start(1, 1);
    let client = cluster.client();
    cluster.await_leaders(&client).await;
    cluster.gate.set_closed(true);
    let waiting = client.clone();
    let waiting = tokio::spawn(async move { waiting.work(1, claim("k")).await });
    tokio::time::sleep(time::Duration::from_millis(ELECTION_MS)).await;
    let handle = cluster.handles.remove(0);
    let stopping = thread::spawn(move || handle.stop());
    thread::sleep(time::Duration::from_millis(ELECTION_MS));
    assert!(!waiting.is_finished(), "the command is not durable");
    assert!(!stopping.is_finished());
    cluster.gate.set_closed(false);
    assert_eq!(waiting.await.expect("no panic"), Ok(claimed()));
    stopping.join().expect("no panic").expect("stopped");
}

/// Guards against a replica that reports itself healthy although its disk sync has
/// stalled for seconds, because its control thread continues meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn replica_with_a_stalled_sync_is_not_healthy() {
    let cluster = Cluster::start(1, 1);
    let client = cluster.client();
    cluster.await_leaders(&client).await;
    let admin = cluster.handles[0].admin_address();
    await_health(admin, true);
    cluster.gate.set_closed(true);
    let waiting = client.clone();
    let waiting = tokio::spawn(async move { waiting.work(1, claim("k")).await });
    await_health(admin, false);
    cluster.gate.set_closed(false);
    assert_eq!(waiting.await.expect("no panic"), Ok(claimed()));
    await_health(admin, true);
    cluster.stop();
}

/// Waits until `/healthz` reports a replica as healthy or as not healthy.
fn await_health(admin: net::SocketAddr, healthy: bool) {
    let start = time::Instant::now();
    while is_healthy(admin) != healthy {
        assert!(start.elapsed() < LIMIT, "healthy is still {}", !healthy);
        thread::sleep(POLL);
    }
}

fn is_healthy(admin: net::SocketAddr) -> bool {
    let mut stream = net::TcpStream::connect(admin).expect("connected");
    let request = "GET /healthz HTTP/1.1\r\nhost: control\r\nconnection: close\r\n\r\n";
    stream.write_all(request.as_bytes()).expect("sent");
    let mut answer = String::new();
    stream.read_to_string(&mut answer).expect("an answer");
    answer.starts_with("HTTP/1.1 200")
}
