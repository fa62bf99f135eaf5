//! The processes of a run: embedded ones, which this process starts and ends,
//! and running ones, which are only addressed.

use std::{collections, sync, time};

use anyhow::Context;
use bw_engine::{fault, record};
use bw_wire::{backend, fingerprint};

use crate::{call, cpu, scenario, system, workload};

/// Time after which a crashed engine is started again, as the platform does.
const CRASH_RESTART: time::Duration = time::Duration::from_secs(2);
/// Interval at which crashed engines are looked for.
const WATCH_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The processes of one run.
pub struct Fleet {
    engines: Vec<sync::Mutex<Slot>>,
    /// Replicas of the plain service.
    services: Vec<bw_engine::Handle>,
    /// Control replicas and entry VMs, if the policy uses embedded ones.
    system: Option<sync::Mutex<system::System>>,
    /// `IP:port` of the engines.
    pub engine_addresses: Vec<String>,
    /// `IP:port` of the entry VMs.
    pub entry_addresses: Vec<String>,
    past: sync::Mutex<Vec<record::Executions>>,
    crashes: sync::atomic::AtomicU64,
    embedded: bool,
}

/// The place of one embedded engine, whose settings outlive its process.
struct Slot {
    settings: bw_engine::Settings,
    handle: Option<bw_engine::Handle>,
    ended: Option<time::Instant>,
}

impl Fleet {
    /// Starts the embedded processes of a scenario, or addresses running ones.
    ///
    /// # Errors
    ///
    /// Fails when a process cannot be started.
    pub async fn start(
        scenario: &scenario::Scenario,
        policy: scenario::Policy,
        seed: u64,
    ) -> anyhow::Result<Fleet> {
        let mut fleet = Fleet {
            engines: Vec::new(),
            services: Vec::new(),
            system: None,
            engine_addresses: scenario.processes.engines.clone(),
            entry_addresses: scenario.processes.entries.clone(),
            past: sync::Mutex::default(),
            crashes: sync::atomic::AtomicU64::new(0),
            embedded: scenario.processes.engines.is_empty(),
        };
        let system = match policy.uses_entries() && scenario.processes.entries.is_empty() {
            true => Some(system::System::start(scenario)?),
            false => None,
        };
        if let Some(system) = &system {
            fleet.entry_addresses.clone_from(&system.entry_addresses);
        }
        if fleet.embedded {
            fleet.start_engines(scenario, policy, seed)?;
        }
        if let Some(system) = system {
            system.declare(scenario).await?;
            fleet.system = Some(sync::Mutex::new(system));
        }
        Ok(fleet)
    }

    fn start_engines(
        &mut self,
        scenario: &scenario::Scenario,
        policy: scenario::Policy,
        seed: u64,
    ) -> anyhow::Result<()> {
        let announce = match policy.uses_entries() {
            true => self.entry_addresses.clone(),
            false => Vec::new(),
        };
        for number in 0..scenario.replicas {
            let mut settings = engine_settings(scenario, number, seed);
            settings.announce.clone_from(&announce);
            let handle = bw_engine::start(settings.clone())
                .with_context(|| format!("engine {number} does not start"))?;
            // A restart takes the same address.
            settings.address = handle.address().to_string();
            self.engine_addresses.push(settings.address.clone());
            self.engines.push(sync::Mutex::new(Slot {
                settings,
                handle: Some(handle),
                ended: None,
            }));
        }
        let services = scenario.service.iter().filter(|_| policy.uses_entries());
        for service in services {
            for number in 0..service.replicas {
                let settings = bw_engine::Settings {
                    id: format!("{}-{}", service.name, number + 1).into(),
                    address: "127.0.0.1:0".to_owned(),
                    kind: backend::Kind::Service,
                    service: service.name.clone(),
                    failure_domain: scenario.failure_domain(number as usize),
                    announce: announce.clone(),
                    ..bw_engine::Settings::default()
                };
                self.services.push(bw_engine::start(settings)?);
            }
        }
        Ok(())
    }

    /// Returns whose CPU time counts as that of control replicas, and as that of
    /// entry VMs.
    pub fn cpu_subjects(&self) -> Option<(cpu::Subject, cpu::Subject)> {
        self.system
            .as_ref()
            .map(|system| lock(system).cpu_subjects())
    }

    /// Returns the process id of the first entry VM.
    ///
    /// # Errors
    ///
    /// Fails when it is not a process of its own.
    pub fn entry_pid(&self) -> anyhow::Result<u32> {
        let system = self.system.as_ref().context("no embedded entry VMs")?;
        lock(system).entry_pid()
    }

    /// Returns how often a plain service ran a call beyond the first time.
    pub fn repeated_calls(&self) -> u64 {
        let mut runs = collections::BTreeMap::<String, u64>::new();
        for service in &self.services {
            for (key, count) in service.executions().keys {
                *runs.entry(key).or_default() += count;
            }
        }
        runs.values().map(|count| count - 1).sum()
    }

    /// Returns how often an engine crashed by itself.
    pub fn crashes(&self) -> u64 {
        self.crashes.load(sync::atomic::Ordering::Relaxed)
    }

    /// Starts crashed engines again; never returns.
    pub async fn watch(&self) {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            for slot in &self.engines {
                self.watch_slot(&mut lock(slot));
            }
        }
    }

    fn watch_slot(&self, slot: &mut Slot) {
        let crashed = slot
            .handle
            .as_ref()
            .is_some_and(bw_engine::Handle::is_finished);
        if crashed {
            self.keep(slot);
            slot.ended = Some(time::Instant::now());
            self.crashes.fetch_add(1, sync::atomic::Ordering::Relaxed);
        }
        if slot
            .ended
            .is_some_and(|ended| ended.elapsed() >= CRASH_RESTART)
        {
            start_again(slot);
        }
    }

    /// Makes one thing go wrong; returns when it is over.
    ///
    /// # Errors
    ///
    /// Fails when a running process does not take its switches.
    pub async fn fail(&self, client: &call::Client, fault: &scenario::Fault) -> anyhow::Result<()> {
        let targets = fault.targets.iter().map(|target| *target as usize);
        match &fault.action {
            scenario::Action::Switch(faults) => {
                for target in targets {
                    self.switch(client, target, faults).await?;
                }
            }
            scenario::Action::Kill { restart_ms } => {
                for slot in targets
                    .clone()
                    .filter_map(|target| self.engines.get(target))
                {
                    let mut slot = lock(slot);
                    self.keep(&mut slot);
                    slot.handle.take().map(bw_engine::Handle::kill);
                }
                if let Some(restart_ms) = restart_ms {
                    tokio::time::sleep(time::Duration::from_millis(*restart_ms)).await;
                    for slot in targets.filter_map(|target| self.engines.get(target)) {
                        start_again(&mut lock(slot));
                    }
                }
            }
            scenario::Action::RestartInTurn { every_ms } => {
                for slot in targets.filter_map(|target| self.engines.get(target)) {
                    self.restart(slot).await;
                    tokio::time::sleep(time::Duration::from_millis(*every_ms)).await;
                }
            }
            scenario::Action::KillEntry => {
                let system = self.system.as_ref().context("no embedded entry VMs")?;
                for target in targets {
                    lock(system).kill_entry(target)?;
                }
            }
            scenario::Action::KillControl { restart_ms } => {
                let system = self
                    .system
                    .as_ref()
                    .context("no embedded control replicas")?;
                for target in targets.clone() {
                    lock(system).kill_control(target)?;
                }
                if let Some(restart_ms) = restart_ms {
                    tokio::time::sleep(time::Duration::from_millis(*restart_ms)).await;
                    for target in targets {
                        lock(system).restart_control(target)?;
                    }
                }
            }
        }
        Ok(())
    }

    async fn switch(
        &self,
        client: &call::Client,
        target: usize,
        faults: &fault::Faults,
    ) -> anyhow::Result<()> {
        let Some(address) = self.engine_addresses.get(target) else {
            return Ok(());
        };
        let uri = format!("http://{address}/debug/faults");
        let body = serde_json::to_value(faults)?;
        let (status, answer) = client.json("POST", &uri, None, &body).await?;
        anyhow::ensure!(status == 200, "{uri} answered {status}: {answer}");
        Ok(())
    }

    /// Lets an engine leave, waits for its end and starts it again.
    async fn restart(&self, slot: &sync::Mutex<Slot>) {
        let Some(handle) = lock(slot).handle.take() else {
            return;
        };
        handle.stop();
        while !handle.is_finished() {
            tokio::time::sleep(WATCH_INTERVAL).await;
        }
        self.past().push(handle.executions());
        let mut slot = lock(slot);
        start_again(&mut slot);
    }

    /// Returns the executions of all engines since the start of the run, also of
    /// those that ended.
    ///
    /// # Errors
    ///
    /// Fails when a running engine does not answer.
    pub async fn executions(
        &self,
        client: &call::Client,
    ) -> anyhow::Result<Vec<record::Executions>> {
        let mut all = self.past().clone();
        if self.embedded {
            for slot in &self.engines {
                all.extend(
                    lock(slot)
                        .handle
                        .as_ref()
                        .map(bw_engine::Handle::executions),
                );
            }
            return Ok(all);
        }
        for address in &self.engine_addresses {
            let uri = format!("http://{address}/debug/executions");
            let (_, executions) = client
                .json("GET", &uri, None, &serde_json::Value::Null)
                .await?;
            all.push(serde_json::from_value(executions)?);
        }
        Ok(all)
    }

    /// Ends all embedded processes.
    pub fn stop(self) {
        for slot in self.engines {
            let slot = slot
                .into_inner()
                .unwrap_or_else(sync::PoisonError::into_inner);
            slot.handle.map(bw_engine::Handle::kill);
        }
        for service in self.services {
            service.kill();
        }
        if let Some(system) = self.system {
            let system = system.into_inner();
            system.unwrap_or_else(sync::PoisonError::into_inner).stop();
        }
    }

    /// Keeps the executions of an engine that ends.
    fn keep(&self, slot: &mut Slot) {
        if let Some(handle) = &slot.handle {
            self.past().push(handle.executions());
        }
        if slot
            .handle
            .as_ref()
            .is_some_and(bw_engine::Handle::is_finished)
        {
            slot.handle = None;
        }
    }

    fn past(&self) -> sync::MutexGuard<'_, Vec<record::Executions>> {
        lock(&self.past)
    }
}

/// How fast the engine of a measurement works.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pace {
    /// Steps of 1 ms, so that the engine adds little to a measured latency.
    Fast,
    /// Steps of 200 ms, so that streams stay open.
    Slow,
}

/// Starts one engine on a thread, one control replica and one entry VM as
/// processes of their own.
///
/// # Errors
///
/// Fails when one of them does not start.
pub async fn single(model: &str, pace: Pace) -> anyhow::Result<Fleet> {
    let mut scenario = scenario::Scenario {
        name: "single".to_owned(),
        model: model.into(),
        replicas: 1,
        entries: 1,
        control: 1,
        isolation: scenario::Isolation::Processes,
        ..scenario::Scenario::default()
    };
    let batch = &mut scenario.engine.batch;
    batch.step_base_us = match pace {
        Pace::Fast => 1_000,
        Pace::Slow => 200_000,
    };
    batch.step_per_sequence_us = 1;
    batch.step_per_prefill_token_us = 1;
    batch.max_sequences = 20_000;
    batch.max_waiting = 20_000;
    batch.kv_blocks = 4_000_000;
    batch.prefill_chunk_tokens = 100_000;
    // The entry VM limits what it sends by the announced capacity.
    scenario.engine.capacity = 20_000;
    Fleet::start(&scenario, scenario::Policy::Bilberrywind, 1).await
}

/// Returns the prompts that any engine executed.
pub fn executed_prompts(
    executions: &[record::Executions],
) -> collections::HashSet<fingerprint::Fingerprint> {
    let executions = executions.iter().flat_map(|log| &log.executions);
    executions.map(|execution| execution.prompt).collect()
}

fn start_again(slot: &mut Slot) {
    match bw_engine::start(slot.settings.clone()) {
        Ok(handle) => {
            slot.handle = Some(handle);
            slot.ended = None;
        }
        Err(error) => {
            log::warn!("{} does not start again: {error:#}", slot.settings.id);
            // A later look tries again, for example when its port is free.
            slot.ended = Some(time::Instant::now());
        }
    }
}

fn engine_settings(scenario: &scenario::Scenario, number: u32, seed: u64) -> bw_engine::Settings {
    let mut settings = bw_engine::Settings {
        id: format!("{}-{}", scenario.model, number + 1).into(),
        address: "127.0.0.1:0".to_owned(),
        kind: backend::Kind::Engine,
        service: scenario.model.clone(),
        failure_domain: scenario.failure_domain(number as usize),
        models: vec![bw_engine::settings::Model {
            model: scenario.model.clone(),
            ..bw_engine::settings::Model::default()
        }],
        ..scenario.engine.clone()
    };
    settings.cache_events.seed = seed.wrapping_add(u64::from(number));
    if scenario.poison.is_some() {
        settings.faults.crash_marker = Some(workload::POISON_MARKER.to_owned());
    }
    settings
}

/// Locks a mutex. The guarded data stays usable after a panic elsewhere.
fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
