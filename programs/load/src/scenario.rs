//! Scenarios: the fleet, the load, the faults and the policies to compare.

use std::{collections, net};

use bw_base::settings::{self, Check as _};
use bw_engine::fault;
use bw_wire::name;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

/// Longest run, in milliseconds.
pub const MAX_RUN_MS: u64 = 600_000;
/// Most online requests, and most batch items, in one run.
pub const MAX_REQUESTS: u64 = 500_000;
/// Most seeds in one scenario.
pub const MAX_SEEDS: usize = 20;
/// Most embedded replicas, entry VMs and control replicas together.
const MAX_PROCESSES: u32 = 64;

/// How the load reaches the engines.
#[derive(
    Clone,
    Copy,
    Debug,
    Deserialize,
    Display,
    EnumString,
    Eq,
    Hash,
    IntoStaticStr,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// Through the entry VMs.
    Bilberrywind,
    /// Through the entry VMs, without the scenario's faults.
    BilberrywindHealthy,
    /// One engine's share of the online load, straight to one engine.
    Direct,
    /// Online and batch together, least in flight, no priorities.
    Fcfs,
    /// Online and batch together, replicas in turn, no priorities.
    RoundRobin,
    /// The online load alone, least in flight.
    OnlineAlone,
    /// The batch load alone, least in flight.
    BatchAlone,
}

impl Policy {
    /// Returns whether requests go through the entry VMs.
    pub fn uses_entries(self) -> bool {
        matches!(self, Policy::Bilberrywind | Policy::BilberrywindHealthy)
    }

    /// Returns whether the online load is sent.
    pub fn has_online(self) -> bool {
        self != Policy::BatchAlone
    }

    /// Returns whether the batch load is sent.
    pub fn has_batch(self) -> bool {
        !matches!(self, Policy::Direct | Policy::OnlineAlone)
    }

    /// Returns whether the scenario's faults happen.
    pub fn has_faults(self) -> bool {
        self != Policy::BilberrywindHealthy
    }
}

/// A scenario.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Scenario {
    /// Its name in the results.
    pub name: String,
    /// The model that is asked.
    pub model: name::Name,
    /// Failure domains, over which processes are spread in turn.
    pub failure_domains: Vec<name::Name>,
    /// Embedded engines.
    pub replicas: u32,
    /// Embedded entry VMs.
    pub entries: u32,
    /// Embedded control replicas.
    pub control: u32,
    /// How embedded entry VMs and control replicas run.
    pub isolation: Isolation,
    /// Settings of the embedded engines; identity, addresses and model are set
    /// by the tool.
    pub engine: bw_engine::Settings,
    /// Policy settings of the embedded entry VMs.
    pub entry_policy: bw_entry::settings::Policy,
    /// Running processes to use in place of embedded ones.
    pub processes: Processes,
    /// One-way delay between a client and the fleet, in microseconds. It is added
    /// twice to each measured latency.
    pub client_delay_us: u64,
    /// Bearer token of each team.
    pub tokens: collections::BTreeMap<String, String>,
    /// Seeds; each policy runs once with each.
    pub seeds: Vec<u64>,
    /// Policies to compare.
    pub policies: Vec<Policy>,
    /// Time at the start of a run that is not measured, in milliseconds.
    pub warmup_ms: u64,
    /// Measured time, in milliseconds.
    pub measure_ms: u64,
    /// Longest wait for open requests and jobs after that, in milliseconds.
    pub drain_ms: u64,
    /// The online load.
    pub online: Online,
    /// The batch load.
    pub batch: Batch,
    /// A request that crashes engines and is sent again and again.
    pub poison: Option<Poison>,
    /// Calls of a plain service that may not be repeated; entry VMs only.
    pub service: Option<Service>,
    /// What goes wrong.
    pub faults: Vec<Fault>,
}

impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            name: String::new(),
            model: "batting-desk".into(),
            failure_domains: vec!["local".into()],
            replicas: 0,
            entries: 0,
            control: 0,
            isolation: Isolation::Threads,
            engine: bw_engine::Settings::default(),
            entry_policy: bw_entry::settings::Policy::default(),
            processes: Processes::default(),
            client_delay_us: 3_000,
            tokens: collections::BTreeMap::new(),
            seeds: vec![1, 2, 3],
            policies: vec![Policy::Fcfs, Policy::OnlineAlone, Policy::BatchAlone],
            warmup_ms: 3_000,
            measure_ms: 15_000,
            drain_ms: 30_000,
            online: Online::default(),
            batch: Batch::default(),
            poison: None,
            service: None,
            faults: Vec::new(),
        }
    }
}

/// How embedded entry VMs and control replicas run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Isolation {
    /// On threads of this process.
    Threads,
    /// As processes of their own, from the programs next to this one. Entry VMs
    /// can then be killed.
    Processes,
}

/// Addresses of running processes.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Processes {
    /// `IP:port` of engines.
    pub engines: Vec<String>,
    /// `IP:port` of entry VMs.
    pub entries: Vec<String>,
    /// Process ids of control replicas, whose CPU use is measured.
    pub control_pids: Vec<u32>,
}

/// A range of lengths in tokens, both ends included.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Range {
    /// Shortest.
    pub min: u32,
    /// Longest.
    pub max: u32,
}

/// The online load, with arrivals at random (Poisson).
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Online {
    /// Requests a second; 0 sends none.
    pub requests_per_s: f64,
    /// Times with another rate.
    pub bursts: Vec<Burst>,
    /// Length of prompts.
    pub prompt_tokens: Range,
    /// Length limit of answers.
    pub output_tokens: Range,
    /// Number of prompt starts that requests share; 0 shares none.
    pub shared_prefixes: u32,
    /// Length of a shared prompt start, in addition to `prompt_tokens`.
    pub shared_prefix_tokens: u32,
    /// Number of teams, named `team-1` and so on.
    pub teams: u32,
    /// How long a caller waits, in milliseconds.
    pub deadline_ms: u64,
}

impl Default for Online {
    fn default() -> Self {
        Online {
            requests_per_s: 0.0,
            bursts: Vec::new(),
            prompt_tokens: Range { min: 32, max: 256 },
            output_tokens: Range { min: 16, max: 128 },
            shared_prefixes: 0,
            shared_prefix_tokens: 0,
            teams: 2,
            deadline_ms: 30_000,
        }
    }
}

/// A time with another rate of online requests.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct Burst {
    /// Start, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// End, in milliseconds from the start of the run.
    pub to_ms: u64,
    /// Requests a second.
    pub requests_per_s: f64,
}

/// The batch load.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Batch {
    /// Items over all jobs; 0 sends none.
    pub items: u64,
    /// Jobs that share the items.
    pub jobs: u32,
    /// When the jobs are created, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// Length of prompts.
    pub prompt_tokens: Range,
    /// Length limit of answers.
    pub output_tokens: Range,
    /// Items that the baselines keep in flight for each replica.
    pub window: u32,
    /// Whether a run ends only when all jobs are complete; otherwise open jobs
    /// are cancelled at the end.
    pub finish: bool,
}

impl Default for Batch {
    fn default() -> Self {
        Batch {
            items: 0,
            jobs: 2,
            from_ms: 0,
            prompt_tokens: Range { min: 64, max: 256 },
            output_tokens: Range { min: 64, max: 256 },
            window: 32,
            finish: false,
        }
    }
}

/// A request that crashes each engine that runs it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Poison {
    /// Time of the first one, in milliseconds from the start of the run.
    pub from_ms: u64,
    /// Interval at which it is sent again, in milliseconds.
    pub every_ms: u64,
}

/// Calls of a plain service that may not be repeated.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Service {
    /// The service's name.
    pub name: name::Name,
    /// Embedded replicas of the service.
    pub replicas: u32,
    /// Calls a second.
    pub requests_per_s: f64,
}

impl Default for Service {
    fn default() -> Self {
        Service {
            name: "invoices".into(),
            replicas: 2,
            requests_per_s: 5.0,
        }
    }
}

/// Something that goes wrong at a time.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Fault {
    /// When, in milliseconds from the start of the run.
    pub at_ms: u64,
    /// The replicas, entry VMs or control replicas, counted from 0.
    pub targets: Vec<u32>,
    /// What happens to them.
    #[serde(with = "serde_norway::with::singleton_map")]
    pub action: Action,
}

/// What happens to the targets of a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Action {
    /// Fault switches of replicas are set.
    Switch(fault::Faults),
    /// Replicas are killed, and started again after a time if one is given.
    Kill {
        /// Time until the start, in milliseconds.
        restart_ms: Option<u64>,
    },
    /// Replicas leave one after the other and are started again.
    RestartInTurn {
        /// Time from one replica to the next, in milliseconds.
        every_ms: u64,
    },
    /// Entry VMs are killed.
    KillEntry,
    /// Control replicas are killed, and started again after a time if one is
    /// given.
    KillControl {
        /// Time until the start, in milliseconds.
        restart_ms: Option<u64>,
    },
}

impl Scenario {
    /// Returns the length of a run without the wait at its end, in milliseconds.
    pub fn run_ms(&self) -> u64 {
        self.warmup_ms + self.measure_ms
    }

    /// Returns the number of engines, embedded or running.
    pub fn engine_count(&self) -> u32 {
        match self.processes.engines.len() {
            0 => self.replicas,
            count => u32::try_from(count).unwrap_or(u32::MAX),
        }
    }

    /// Returns the number of entry VMs, embedded or running.
    pub fn entry_count(&self) -> u32 {
        match self.processes.entries.len() {
            0 => self.entries,
            count => u32::try_from(count).unwrap_or(u32::MAX),
        }
    }

    /// Returns the number of control replicas, embedded or running.
    pub fn control_count(&self) -> u32 {
        match self.processes.control_pids.len() {
            0 => self.control,
            count => u32::try_from(count).unwrap_or(u32::MAX),
        }
    }

    /// Returns the failure domain of the process with an index.
    pub fn failure_domain(&self, index: usize) -> name::Name {
        let domains = self.failure_domains.len().max(1);
        let domain = self.failure_domains.get(index % domains);
        domain.cloned().unwrap_or_default()
    }

    /// Returns the rate of online requests at a time, in requests a second.
    pub fn online_rate(&self, at_ms: u64) -> f64 {
        let burst = self
            .online
            .bursts
            .iter()
            .find(|burst| (burst.from_ms..burst.to_ms).contains(&at_ms));
        burst.map_or(self.online.requests_per_s, |burst| burst.requests_per_s)
    }

    /// Returns the highest rate of online requests, in requests a second.
    pub fn peak_rate(&self) -> f64 {
        let bursts = self.online.bursts.iter().map(|burst| burst.requests_per_s);
        bursts.fold(self.online.requests_per_s, f64::max)
    }
}

/// Returns whether an address is `IP:port` on loopback.
pub fn is_loopback(address: &str) -> bool {
    address
        .parse::<net::SocketAddr>()
        .is_ok_and(|address| address.ip().is_loopback())
}

impl settings::Check for Scenario {
    fn check(&self, report: &mut settings::Report) {
        report.require(
            !self.name.is_empty(),
            "name",
            &self.name,
            "must not be empty",
        );
        report.require(
            !self.model.is_empty(),
            "model",
            &self.model,
            "must not be empty",
        );
        let domains = self.failure_domains.len();
        report.require(domains > 0, "failure_domains", domains, "must not be empty");
        self.check_processes(report);
        self.check_bounds(report);
        self.check_load(report);
        self.check_faults(report);
        self.engine.check(report);
    }
}

impl Scenario {
    fn check_processes(&self, report: &mut settings::Report) {
        let groups = [
            ("processes.engines", &self.processes.engines),
            ("processes.entries", &self.processes.entries),
        ];
        for (field, addresses) in groups {
            for (position, address) in addresses.iter().enumerate() {
                report.require(
                    is_loopback(address),
                    &format!("{field}.{position}"),
                    address,
                    "must be IP:port on loopback",
                );
            }
        }
        let engines = self.engine_count();
        let reason = "give replicas or processes.engines";
        report.require(engines > 0, "replicas", self.replicas, reason);
        let embedded = self.replicas.saturating_add(self.entries);
        let embedded = embedded.saturating_add(self.control);
        report.require(
            embedded <= MAX_PROCESSES,
            "replicas",
            embedded,
            "replicas, entries and control must be at most 64 together",
        );
        let needs_entries = self.policies.iter().any(|policy| policy.uses_entries());
        report.require(
            !needs_entries || self.entry_count() > 0,
            "entries",
            self.entries,
            "policy bilberrywind needs entries or processes.entries",
        );
        let needs_control = needs_entries && self.processes.entries.is_empty();
        report.require(
            !needs_control || self.control > 0,
            "control",
            self.control,
            "embedded entry VMs need control replicas",
        );
        report.require(
            self.processes.entries.is_empty() || !self.processes.engines.is_empty(),
            "processes.engines",
            self.processes.engines.len(),
            "running entry VMs need running engines that announce to them",
        );
    }

    fn check_bounds(&self, report: &mut settings::Report) {
        let total = self.run_ms().saturating_add(self.drain_ms);
        report.require(
            self.measure_ms > 0,
            "measure_ms",
            self.measure_ms,
            "must be at least 1",
        );
        report.require(
            total <= MAX_RUN_MS,
            "measure_ms",
            total,
            "warmup, measure and drain must be at most 600000 together",
        );
        let seeds = self.seeds.len();
        report.require(
            (1..=MAX_SEEDS).contains(&seeds),
            "seeds",
            seeds,
            "must be 1 to 20 seeds",
        );
        let policies = self.policies.len();
        report.require(policies > 0, "policies", policies, "must not be empty");
        let online = self.peak_rate() * self.run_ms() as f64 / 1_000.0;
        report.require(
            online <= MAX_REQUESTS as f64,
            "online.requests_per_s",
            self.peak_rate(),
            "must give at most 500000 requests in a run",
        );
        report.require(
            self.batch.items <= MAX_REQUESTS,
            "batch.items",
            self.batch.items,
            "must be at most 500000",
        );
    }

    fn check_load(&self, report: &mut settings::Report) {
        let rates = self.online.bursts.iter().map(|burst| burst.requests_per_s);
        for rate in rates.chain([self.online.requests_per_s]) {
            let valid = rate.is_finite() && rate >= 0.0;
            report.require(valid, "online.requests_per_s", rate, "must be 0 or more");
        }
        for (position, burst) in self.online.bursts.iter().enumerate() {
            let field = format!("online.bursts.{position}.to_ms");
            report.require(
                burst.to_ms > burst.from_ms,
                &field,
                burst.to_ms,
                "must be after from_ms",
            );
        }
        for (field, range) in [
            ("online.prompt_tokens", self.online.prompt_tokens),
            ("online.output_tokens", self.online.output_tokens),
            ("batch.prompt_tokens", self.batch.prompt_tokens),
            ("batch.output_tokens", self.batch.output_tokens),
        ] {
            let text = format!("{}..{}", range.min, range.max);
            // A prompt holds the id of its request, which makes it unique.
            let valid = range.min >= 1 && range.max >= range.min && range.max <= 100_000;
            report.require(valid, field, text, "must be min <= max, from 1 to 100000");
        }
        report.require(
            self.online.teams > 0,
            "online.teams",
            self.online.teams,
            "must be at least 1",
        );
        report.require(
            self.batch.jobs > 0,
            "batch.jobs",
            self.batch.jobs,
            "must be at least 1",
        );
        report.require(
            self.batch.window > 0,
            "batch.window",
            self.batch.window,
            "must be at least 1",
        );
        let deadline = self.online.deadline_ms;
        report.require(
            deadline > 0,
            "online.deadline_ms",
            deadline,
            "must be at least 1",
        );
        if let Some(service) = &self.service {
            let rate = service.requests_per_s;
            let valid = rate > 0.0 && rate <= 1_000.0;
            report.require(
                valid,
                "service.requests_per_s",
                rate,
                "must be above 0, at most 1000",
            );
        }
        if let Some(poison) = &self.poison {
            let every = poison.every_ms;
            report.require(every >= 10, "poison.every_ms", every, "must be at least 10");
        }
    }

    fn check_faults(&self, report: &mut settings::Report) {
        let running = !self.processes.engines.is_empty();
        for (position, fault) in self.faults.iter().enumerate() {
            let entry = matches!(fault.action, Action::KillEntry);
            let count = if entry {
                self.entry_count()
            } else {
                self.engine_count()
            };
            for target in &fault.targets {
                report.require(
                    *target < count,
                    &format!("faults.{position}.targets"),
                    target,
                    "does not exist; targets count from 0",
                );
            }
            let needs_embedded = !matches!(fault.action, Action::Switch(_));
            report.require(
                !(needs_embedded && running),
                &format!("faults.{position}.action"),
                "kill or restart",
                "needs embedded processes; running ones can only be switched",
            );
            report.require(
                !entry || self.isolation == Isolation::Processes,
                &format!("faults.{position}.action"),
                "kill_entry",
                "needs isolation: processes",
            );
            if let Action::Switch(faults) = &fault.action {
                faults.check(report);
            }
        }
        report.require(
            self.poison.is_none() || !running,
            "poison",
            "set",
            "needs embedded engines, which are started again",
        );
    }
}
