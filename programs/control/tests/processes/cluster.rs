//! A cluster of control replicas that run as processes on loopback.

use std::{fs, process, sync::atomic, thread, time};

use nix::{sys::signal, unistd};

use bw_client::control;
use bw_wire::{member, name::Name, query, rpc};

/// How long a test waits for a condition before it fails.
const LIMIT: time::Duration = time::Duration::from_secs(30);
const POLL: time::Duration = time::Duration::from_millis(20);

/// Replicas 1 to 3, and their replacements.
pub struct Cluster {
    folder: tempfile::TempDir,
    replicas: Vec<Replica>,
    token: Option<&'static str>,
}

/// One replica; its process is killed when dropped.
pub struct Replica {
    pub id: u64,
    pub address: Name,
    domain: &'static str,
    settings: std::path::PathBuf,
    child: Option<process::Child>,
}

const DOMAINS: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Cluster {
    /// Starts three replicas in three failure domains.
    pub fn start(token: Option<&'static str>) -> Cluster {
        let mut cluster = Cluster {
            folder: tempfile::tempdir().expect("folder"),
            replicas: Vec::new(),
            token,
        };
        let addresses: Vec<Name> = (0..3).map(|_| own_address()).collect();
        for (id, address) in (1..).zip(&addresses) {
            cluster.configure(id, address.clone(), &addresses);
        }
        for id in 1..=3 {
            cluster.replica(id).launch();
        }
        cluster
    }

    /// Adds a replica with an empty data folder that is not a member yet.
    pub fn add(&mut self, id: u64) {
        let initial: Vec<Name> = self.replicas[..3]
            .iter()
            .map(|replica| replica.address.clone())
            .collect();
        self.configure(id, own_address(), &initial);
        self.replica(id).launch();
    }

    pub fn replica(&mut self, id: u64) -> &mut Replica {
        let found = self.replicas.iter_mut().find(|replica| replica.id == id);
        found.expect("known replica")
    }

    pub fn member(&mut self, id: u64) -> member::Member {
        let replica = self.replica(id);
        member::Member {
            replica: id,
            address: replica.address.clone(),
            failure_domain: replica.domain.into(),
            voter: false,
        }
    }

    /// Removes the data folder of a replica that is not running.
    pub fn lose_disk(&mut self, id: u64) {
        fs::remove_dir_all(self.folder.path().join(format!("data-{id}"))).expect("data folder");
    }

    pub fn client(&self) -> control::Client {
        self.client_with(self.token)
    }

    pub fn client_with(&self, token: Option<&str>) -> control::Client {
        let addresses = self.replicas.iter().map(|replica| replica.address.clone());
        control::Builder::new(addresses.collect())
            .token(token.map(Name::from))
            .total_timeout(LIMIT)
            .build()
    }

    /// Returns the leader of a group, once all running replicas agree on it.
    pub async fn leader(&self, group: u32) -> u64 {
        let client = self.client();
        let start = time::Instant::now();
        while start.elapsed() < LIMIT {
            let mut leaders = Vec::new();
            for replica in self
                .replicas
                .iter()
                .filter(|replica| replica.child.is_some())
            {
                let status = client.status(&replica.address).await.ok();
                leaders.push(status.and_then(|status| group_of(&status, group)?.leader));
            }
            if let Some(Some(leader)) = leaders.first()
                && leaders.iter().all(|other| *other == Some(*leader))
                && self
                    .replicas
                    .iter()
                    .any(|replica| replica.id == *leader && replica.child.is_some())
            {
                return *leader;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("no leader\n{}", self.logs());
    }

    /// Waits until a replica is a voter in every group.
    pub async fn wait_for_voter(&self, id: u64, groups: u32) {
        let client = self.client();
        let start = time::Instant::now();
        while start.elapsed() < LIMIT {
            let mut voting = true;
            for group in 0..=groups {
                let leader = self.leader(group).await;
                let found = self.replicas.iter().find(|replica| replica.id == leader);
                let address = &found.expect("known replica").address;
                let status = client.status(address).await.ok();
                let members =
                    status.and_then(|status| Some(group_of(&status, group)?.members.clone()));
                let members = members.unwrap_or_default();
                voting &= members
                    .iter()
                    .any(|member| member.replica == id && member.voter);
            }
            if voting {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("replica {id} does not vote\n{}", self.logs());
    }

    /// Waits until every group has these members.
    pub async fn wait_for_members(&self, groups: u32, expected: &[u64]) {
        let client = self.client();
        let start = time::Instant::now();
        while start.elapsed() < LIMIT {
            let mut same = true;
            for group in 0..=groups {
                let leader = self.leader(group).await;
                let found = self.replicas.iter().find(|replica| replica.id == leader);
                let status = client
                    .status(&found.expect("known replica").address)
                    .await
                    .ok();
                let members = status.iter().filter_map(|status| group_of(status, group));
                let mut ids: Vec<u64> = members
                    .flat_map(|group| &group.members)
                    .map(|member| member.replica)
                    .collect();
                ids.sort_unstable();
                same &= ids == expected;
            }
            if same {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
        panic!("other members\n{}", self.logs());
    }

    /// Returns the current revision.
    pub async fn revision(&self) -> u64 {
        match self.client().query(0, query::Query::Config).await {
            Ok(query::Answer::Config { revision, .. }) => revision,
            other => panic!("unexpected answer {other:?}\n{}", self.logs()),
        }
    }

    pub fn logs(&self) -> String {
        let logs = self.replicas.iter().map(|replica| {
            let log = fs::read_to_string(replica.settings.with_extension("log"));
            format!("--- replica {}\n{}", replica.id, log.unwrap_or_default())
        });
        logs.collect()
    }

    /// Writes the settings of a replica and registers it without starting it.
    fn configure(&mut self, id: u64, address: Name, initial: &[Name]) {
        let domain = DOMAINS[(id as usize - 1) % DOMAINS.len()];
        let folder = self.folder.path();
        let mut text = format!(
            "replica: {id}\nname: control-{id}\nlisten: {address}\nadmin: 127.0.0.1:0\n\
             data: {}\nfailure_domain: {domain}\nwork_groups: 2\n\
             timeouts: {{election_ms: 500, order_ms: 200, stop_ms: 5000}}\nmembers:\n",
            folder.join(format!("data-{id}")).display()
        );
        for ((member, address), domain) in (1..).zip(initial).zip(DOMAINS) {
            text += &format!(
                "- {{replica: {member}, address: \"{address}\", failure_domain: {domain}, voter: true}}\n"
            );
        }
        if let Some(token) = self.token {
            let file = folder.join("tokens");
            fs::write(&file, format!("control: {token}\n")).expect("token file");
            text += &format!("token_file: {}\n", file.display());
        }
        let settings = folder.join(format!("control-{id}.yaml"));
        fs::write(&settings, text).expect("settings");
        self.replicas.push(Replica {
            id,
            address,
            domain,
            settings,
            child: None,
        });
    }
}

impl Replica {
    pub fn launch(&mut self) {
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.settings.with_extension("log"))
            .expect("log");
        let child = process::Command::new(env!("CARGO_BIN_EXE_bw-control"))
            .arg("--config")
            .arg(&self.settings)
            .stdin(process::Stdio::null())
            .stdout(log.try_clone().expect("log"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("process"));
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: signal::Signal) {
        let child = self.child.as_ref().expect("running");
        let pid = unistd::Pid::from_raw(child.id() as i32);
        signal::kill(pid, signal).expect("signal");
    }

    /// Stops the process with `SIGTERM` and returns whether it exited successfully.
    pub fn terminate(&mut self) -> bool {
        self.signal(signal::Signal::SIGTERM);
        let mut child = self.child.take().expect("running");
        let start = time::Instant::now();
        while start.elapsed() < LIMIT {
            if let Some(status) = child.try_wait().expect("process state") {
                return status.success();
            }
            thread::sleep(POLL);
        }
        let _ = child.kill();
        let _ = child.wait();
        false
    }
}

impl Drop for Replica {
    fn drop(&mut self) {
        self.kill();
    }
}

pub fn group_of(status: &rpc::Status, group: u32) -> Option<&rpc::GroupStatus> {
    status.groups.iter().find(|known| known.group == group)
}

/// Returns an address that nothing else uses.
///
/// Each replica has a loopback IP address of its own. On the shared 127.0.0.1, a port
/// that is free now, or while a replica is down, can be taken by any connection or by a
/// replica of another cluster. The process tests of `bw-dev` and the fleets of `bw-load`
/// use addresses whose second number is 64 or more.
fn own_address() -> Name {
    static REPLICAS: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let number = 1 + REPLICAS.fetch_add(1, atomic::Ordering::Relaxed) % 254;
    let pid = process::id();
    let (high, low) = (1 + (pid >> 8) % 63, pid % 256);
    format!("127.{high}.{low}.{number}:7001").as_str().into()
}
