//! The control replicas and entry VMs of a run.
//!
//! They run on threads of this process, or as processes of their own, which
//! have a CPU time of their own and can be killed.

use std::{env, fs, path, process, sync::atomic, time};

use anyhow::Context;
use bw_client::control;
use bw_wire::{command::config, intent, member, name, query};
use serde::Serialize;

use crate::{call, cpu, run, scenario};

/// How long the first configuration and the first answers may take.
const READY_LIMIT: time::Duration = time::Duration::from_secs(30);
/// Pause between attempts at the start.
const READY_POLL: time::Duration = time::Duration::from_millis(100);
/// How long entry VMs may take to stop; their requests are over by then.
const STOP_MS: u64 = 1_000;

/// The second number of the first loopback IP address; the process tests of
/// `bw-dev` use 64 to 191.
const FIRST_SUBNET: u32 = 192;
/// How many second numbers are used.
const SUBNETS: u32 = 63;
/// Below the range that the system gives to outgoing connections.
const FIRST_PORT: u32 = 7_001;
/// Fleets that this process has started.
static FLEETS: atomic::AtomicU32 = atomic::AtomicU32::new(0);

/// Control replicas and entry VMs.
pub struct System {
    controls: Vec<Control>,
    entries: Vec<Option<Entry>>,
    /// `IP:port` of the control replicas.
    control_addresses: Vec<name::Name>,
    /// `IP:port` of the entry VMs.
    pub entry_addresses: Vec<String>,
    threads: Threads,
    /// Data folders and settings; removed at the end.
    folder: tempfile::TempDir,
}

enum Control {
    Thread(bw_control::Handle),
    Process(process::Child),
}

enum Entry {
    Thread(bw_entry::Handle),
    Process(process::Child),
}

/// Threads by role, for embedded roles.
#[derive(Default)]
struct Threads {
    control: Vec<u32>,
    entry: Vec<u32>,
}

impl System {
    /// Starts the control replicas and entry VMs of a scenario.
    ///
    /// # Errors
    ///
    /// Fails when one of them does not start.
    pub fn start(scenario: &scenario::Scenario) -> anyhow::Result<System> {
        let folder = tempfile::tempdir().context("temporary folder")?;
        let ports = own_addresses(2 * scenario.control + 3 * scenario.entries);
        let (control_ports, entry_ports) = ports.split_at(2 * scenario.control as usize);
        let control_addresses: Vec<name::Name> = control_ports
            .chunks(2)
            .map(|ports| ports[0].as_str().into())
            .collect();
        let mut system = System {
            controls: Vec::new(),
            entries: Vec::new(),
            entry_addresses: entry_ports
                .chunks(3)
                .map(|ports| ports[0].clone())
                .collect(),
            threads: Threads::default(),
            control_addresses,
            folder,
        };
        for (index, ports) in control_ports.chunks(2).enumerate() {
            system.start_control(scenario, index, ports)?;
        }
        for (index, ports) in entry_ports.chunks(3).enumerate() {
            system.start_entry(scenario, index, ports)?;
        }
        Ok(system)
    }

    fn start_control(
        &mut self,
        scenario: &scenario::Scenario,
        index: usize,
        ports: &[String],
    ) -> anyhow::Result<()> {
        let members = self.control_addresses.iter().enumerate();
        let members = members.map(|(index, address)| member::Member {
            replica: index as u64 + 1,
            address: address.clone(),
            failure_domain: scenario.failure_domain(index),
            voter: true,
        });
        let name = format!("control-{}", index + 1);
        let settings = bw_control::settings::Settings {
            replica: index as u64 + 1,
            listen: ports[0].as_str().into(),
            admin: ports[1].as_str().into(),
            data: self.folder.path().join(&name),
            failure_domain: scenario.failure_domain(index),
            members: members.collect(),
            logs: quiet(),
            name: name.as_str().into(),
            ..bw_control::settings::Settings::default()
        };
        let control = match scenario.isolation {
            scenario::Isolation::Processes => {
                Control::Process(self.spawn("bw-control", &name, &settings)?)
            }
            scenario::Isolation::Threads => {
                let before = cpu::threads();
                let handle = bw_control::start(settings).with_context(|| name.clone())?;
                self.threads
                    .control
                    .extend(cpu::threads().difference(&before));
                Control::Thread(handle)
            }
        };
        self.controls.push(control);
        Ok(())
    }

    fn start_entry(
        &mut self,
        scenario: &scenario::Scenario,
        index: usize,
        ports: &[String],
    ) -> anyhow::Result<()> {
        let name = format!("entry-{}", index + 1);
        let mut settings = bw_entry::settings::Settings {
            name: name.as_str().into(),
            failure_domain: scenario.failure_domain(index),
            address: ports[0].clone(),
            peer_address: ports[1].clone(),
            admin_address: ports[2].clone(),
            control: self.control_addresses.clone(),
            policy: scenario.entry_policy.clone(),
            logs: quiet(),
            ..bw_entry::settings::Settings::default()
        };
        settings.timeouts.linger_ms = 0;
        settings.timeouts.drain_ms = STOP_MS;
        let entry = match scenario.isolation {
            scenario::Isolation::Processes => {
                Entry::Process(self.spawn("bw-entry", &name, &settings)?)
            }
            scenario::Isolation::Threads => {
                let before = cpu::threads();
                let handle = bw_entry::start(settings).with_context(|| name.clone())?;
                self.threads
                    .entry
                    .extend(cpu::threads().difference(&before));
                Entry::Thread(handle)
            }
        };
        self.entries.push(Some(entry));
        Ok(())
    }

    fn spawn<T: Serialize>(
        &self,
        program: &str,
        name: &str,
        settings: &T,
    ) -> anyhow::Result<process::Child> {
        let file = self.settings_file(name);
        // JSON is YAML too.
        fs::write(&file, serde_json::to_vec(settings)?)?;
        self.launch(program, name)
    }

    fn settings_file(&self, name: &str) -> path::PathBuf {
        self.folder.path().join(format!("{name}.yaml"))
    }

    /// Starts a program with the settings file that it has.
    fn launch(&self, program: &str, name: &str) -> anyhow::Result<process::Child> {
        let file = self.settings_file(name);
        let program = sibling(program)?;
        process::Command::new(&program)
            .arg("--config")
            .arg(&file)
            .stdin(process::Stdio::null())
            .stdout(process::Stdio::null())
            .spawn()
            .with_context(|| program.display().to_string())
    }

    /// Declares the model and the service, and waits until every entry VM answers
    /// a request.
    ///
    /// # Errors
    ///
    /// Fails when the fleet does not become ready in time.
    pub async fn declare(&self, scenario: &scenario::Scenario) -> anyhow::Result<()> {
        let client = control::Builder::new(self.control_addresses.clone())
            .total_timeout(READY_LIMIT)
            .build();
        let answer = client.query(0, query::Query::Config).await;
        let query::Answer::Config { revision, .. } = answer.context("reading configuration")?
        else {
            anyhow::bail!("unexpected answer of the control replicas");
        };
        let plan = config::Command::Plan {
            request: "bw-load/plan".into(),
            operator: "bw-load".into(),
            base: revision,
            intent: Box::new(intent(scenario)),
        };
        let plan = match client.config(plan).await.context("plan")? {
            config::Reply::Planned { plan, .. } => plan,
            other => anyhow::bail!("the plan was refused: {other:?}"),
        };
        let confirm = config::Command::Confirm {
            request: "bw-load/confirm".into(),
            operator: "bw-load".into(),
            plan,
        };
        match client.config(confirm).await.context("confirm")? {
            config::Reply::Applied { .. } => {}
            other => anyhow::bail!("the plan was not applied: {other:?}"),
        }
        let ready = self.ready(scenario);
        let limited = tokio::time::timeout(READY_LIMIT, ready).await;
        limited.context("an entry VM does not answer requests")
    }

    async fn ready(&self, scenario: &scenario::Scenario) {
        let client = call::Client::new();
        let body = serde_json::json!({
            "model": scenario.model,
            "messages": [{"role": "user", "content": "ready?"}],
            "max_tokens": 1,
        });
        for address in &self.entry_addresses {
            let target = call::Target {
                address,
                path: run::CHAT_PATH,
                request_id: "ready",
                token: None,
                limit: time::Duration::from_secs(5),
            };
            while client.complete(target, &body).await.end != call::End::Answered {
                tokio::time::sleep(READY_POLL).await;
            }
        }
    }

    /// Kills an entry VM.
    ///
    /// # Errors
    ///
    /// Fails when the entry VM is not a process of its own.
    pub fn kill_entry(&mut self, index: usize) -> anyhow::Result<()> {
        let entry = self.entries.get_mut(index).context("no such entry VM")?;
        match entry {
            Some(Entry::Process(child)) => {
                end(child);
                *entry = None;
                Ok(())
            }
            Some(Entry::Thread(_)) => anyhow::bail!("only processes can be killed"),
            None => Ok(()),
        }
    }

    /// Kills a control replica.
    ///
    /// # Errors
    ///
    /// Fails when the control replica is not a process of its own.
    pub fn kill_control(&mut self, index: usize) -> anyhow::Result<()> {
        let control = self.controls.get_mut(index);
        match control.context("no such control replica")? {
            Control::Process(child) => {
                end(child);
                Ok(())
            }
            Control::Thread(_) => anyhow::bail!("only processes can be killed"),
        }
    }

    /// Starts a killed control replica again with the data that it has.
    ///
    /// # Errors
    ///
    /// Fails when it does not start.
    pub fn restart_control(&mut self, index: usize) -> anyhow::Result<()> {
        let child = self.launch("bw-control", &format!("control-{}", index + 1))?;
        let control = self.controls.get_mut(index);
        *control.context("no such control replica")? = Control::Process(child);
        Ok(())
    }

    /// Returns whose CPU time counts as that of control replicas, and as that of
    /// entry VMs.
    pub fn cpu_subjects(&self) -> (cpu::Subject, cpu::Subject) {
        let children = |children: Vec<&process::Child>| -> Vec<u32> {
            children.into_iter().map(process::Child::id).collect()
        };
        let controls = self.controls.iter().filter_map(|control| match control {
            Control::Process(child) => Some(child),
            Control::Thread(_) => None,
        });
        let controls = children(controls.collect());
        let entries = self
            .entries
            .iter()
            .flatten()
            .filter_map(|entry| match entry {
                Entry::Process(child) => Some(child),
                Entry::Thread(_) => None,
            });
        let entries = children(entries.collect());
        if controls.is_empty() {
            let threads = &self.threads;
            let subject = |ids: &[u32]| cpu::Subject::Threads(ids.to_vec());
            return (subject(&threads.control), subject(&threads.entry));
        }
        (
            cpu::Subject::Processes(controls),
            cpu::Subject::Processes(entries),
        )
    }

    /// Returns the process id of the first entry VM.
    ///
    /// # Errors
    ///
    /// Fails when it is not a process of its own.
    pub fn entry_pid(&self) -> anyhow::Result<u32> {
        match self.entries.first() {
            Some(Some(Entry::Process(child))) => Ok(child.id()),
            _ => anyhow::bail!("the entry VM has no process of its own"),
        }
    }

    /// Ends all of them.
    pub fn stop(self) {
        for entry in self.entries.into_iter().flatten() {
            match entry {
                Entry::Thread(handle) => {
                    handle.drain();
                    handle.join();
                }
                Entry::Process(mut child) => end(&mut child),
            }
        }
        for control in self.controls {
            match control {
                Control::Thread(handle) => {
                    if let Err(error) = handle.stop() {
                        log::warn!("control replica: {error:#}");
                    }
                }
                Control::Process(mut child) => end(&mut child),
            }
        }
    }
}

fn intent(scenario: &scenario::Scenario) -> intent::Intent {
    let mut intent = intent::Intent::default();
    let model = intent::Model {
        deployment: scenario.model.clone(),
        replicas: scenario.replicas,
        ..intent::Model::default()
    };
    intent.models.insert(scenario.model.clone(), model);
    let deployment = intent::Deployment {
        checks_fencing: scenario.engine.checks_fencing,
    };
    intent
        .deployments
        .insert(scenario.model.clone(), deployment);
    if let Some(service) = &scenario.service {
        let declared = intent::Service {
            repeatable: false,
            ..intent::Service::default()
        };
        intent.services.insert(service.name.clone(), declared);
    }
    // The load is a test of the fleet, not of the limits of a team.
    intent.default_limits = intent::Limits {
        requests_per_s: 100_000,
        burst: 100_000,
        concurrent: 100_000,
        ..intent::Limits::default()
    };
    intent
}

/// Returns addresses that nothing else uses.
///
/// Each fleet of each process has a loopback IP address of its own. On the shared
/// 127.0.0.1 a port that is free now can be taken by any connection before it is
/// bound, which happened when several fleets started at once.
fn own_addresses(count: u32) -> Vec<String> {
    let fleet = 1 + FLEETS.fetch_add(1, atomic::Ordering::Relaxed) % 254;
    let pid = process::id();
    let (high, low) = (FIRST_SUBNET + (pid >> 8) % SUBNETS, pid % 256);
    (0..count)
        .map(|port| format!("127.{high}.{low}.{fleet}:{}", FIRST_PORT + port))
        .collect()
}

/// Finds a program next to this one.
fn sibling(program: &str) -> anyhow::Result<path::PathBuf> {
    let own = env::current_exe().context("path of this program")?;
    // Tests run from a folder below the one of the programs.
    let folders = own.ancestors().skip(1).take(2);
    let mut files = folders.map(|folder| folder.join(program));
    files.find(|file| file.exists()).with_context(|| {
        format!("{program} is not next to bw-load; build the whole workspace first")
    })
}

fn end(child: &mut process::Child) {
    // A process that has ended needs no signal.
    let _ = child.kill();
    let _ = child.wait();
}

fn quiet() -> bw_base::logs::Settings {
    bw_base::logs::Settings {
        level: "error".to_owned(),
        ..bw_base::logs::Settings::default()
    }
}
