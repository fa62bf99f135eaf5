//! Settings of a stand-in backend server.

use std::{collections, path};

use bw_base::{logs, settings};
use bw_wire::{backend, name};
use serde::{Deserialize, Serialize};

use crate::{batch, fault};

/// All settings of one backend server. `docs/engine.md` describes each field.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Settings {
    /// Stable id of the backend server.
    pub id: name::Name,
    /// `IP:port` to listen on; port 0 picks a free one.
    pub address: String,
    /// What it stands in for.
    pub kind: backend::Kind,
    /// The deployment of an engine, or the name of a plain service.
    pub service: name::Name,
    /// Its failure domain.
    pub failure_domain: name::Name,
    /// Incarnation; the start time in Unix milliseconds when absent.
    pub incarnation: Option<u64>,
    /// Number of requests that it says it runs well at once.
    pub capacity: u32,
    /// Models that are loaded at the start.
    pub models: Vec<Model>,
    /// `IP:port` of a load balancer or of several entry VMs, which are used in turn.
    pub announce: Vec<String>,
    /// Age of the figures in load reports, in milliseconds.
    pub load_report_lag_ms: u64,
    /// Cache events.
    pub cache_events: CacheEvents,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// Loading of weights.
    pub weights: Weights,
    /// The batching model.
    pub batch: batch::Settings,
    /// Duration of a plain service call, in milliseconds.
    pub work_ms: u64,
    /// One-way network delay to the callers, in microseconds.
    pub one_way_delay_us: u64,
    /// How long running requests may take after SIGTERM, in milliseconds.
    pub drain_limit_ms: u64,
    /// How long new work is still refused after SIGTERM, in milliseconds.
    pub leave_linger_ms: u64,
    /// Faults that are switched on at the start.
    pub faults: fault::Faults,
    /// Logs.
    pub logs: logs::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            id: "engine-1".into(),
            address: "127.0.0.1:9001".to_owned(),
            kind: backend::Kind::Engine,
            service: "default".into(),
            failure_domain: "local".into(),
            incarnation: None,
            capacity: 32,
            models: Vec::new(),
            announce: Vec::new(),
            load_report_lag_ms: 500,
            cache_events: CacheEvents::default(),
            checks_fencing: true,
            weights: Weights::default(),
            batch: batch::Settings::default(),
            work_ms: 5,
            one_way_delay_us: 0,
            drain_limit_ms: 60_000,
            // Entry VMs that missed the leaving notice may send new work until
            // their last proof is this old; they then get a refusal instead of a
            // reset connection, whose verdict would be `may_have_run`.
            leave_linger_ms: backend::PROOF_MAX_AGE_MS,
            faults: fault::Faults::default(),
            logs: logs::Settings::default(),
        }
    }
}

/// A loaded model.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Model {
    /// The model.
    pub model: name::Name,
    /// The version of the weights.
    pub version: name::Name,
    /// The loaded adapters.
    pub adapters: Vec<name::Name>,
}

impl Default for Model {
    fn default() -> Self {
        Model {
            model: name::Name::default(),
            version: "1".into(),
            adapters: Vec::new(),
        }
    }
}

/// How cache events are published.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct CacheEvents {
    /// Interval, in milliseconds; 0 publishes none.
    pub interval_ms: u64,
    /// Age of the events when they are published, in milliseconds.
    pub delay_ms: u64,
    /// Share of messages that are lost, from 0 to 1.
    pub loss: f64,
    /// Seed of the choice of lost messages.
    pub seed: u64,
}

impl Default for CacheEvents {
    fn default() -> Self {
        CacheEvents {
            interval_ms: 250,
            delay_ms: 500,
            loss: 0.01,
            seed: 1,
        }
    }
}

/// How long an order to load takes.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Weights {
    /// Megabytes loaded a second.
    pub mb_per_s: u64,
    /// Size of a model that is not listed, in megabytes.
    pub default_size_mb: u64,
    /// Sizes of models, in megabytes.
    pub sizes_mb: collections::BTreeMap<name::Name, u64>,
}

impl Default for Weights {
    fn default() -> Self {
        Weights {
            mb_per_s: 2_000,
            default_size_mb: 1_000,
            sizes_mb: collections::BTreeMap::new(),
        }
    }
}

impl Weights {
    /// Returns how long loading a model takes, in milliseconds.
    pub fn load_ms(&self, model: &str) -> u64 {
        let size_mb = self.sizes_mb.get(model).unwrap_or(&self.default_size_mb);
        size_mb.saturating_mul(1_000) / self.mb_per_s.max(1)
    }
}

impl Settings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Returns every problem that was found.
    pub fn load(file: &path::Path) -> Result<Settings, settings::Error> {
        settings::load(file)
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        let not_empty = "must not be empty";
        report.require(!self.id.is_empty(), "id", &self.id, not_empty);
        report.require(
            !self.service.is_empty(),
            "service",
            &self.service,
            not_empty,
        );
        let domain = &self.failure_domain;
        report.require(!domain.is_empty(), "failure_domain", domain, not_empty);
        report.require_address("address", &self.address);
        report.require(
            self.capacity > 0,
            "capacity",
            self.capacity,
            "must be at least 1",
        );
        for (position, address) in self.announce.iter().enumerate() {
            report.require_address(&format!("announce.{position}"), address);
        }
        self.check_models(report);
        let hour = 3_600_000;
        for (field, value) in [
            ("load_report_lag_ms", self.load_report_lag_ms),
            ("work_ms", self.work_ms),
            ("drain_limit_ms", self.drain_limit_ms),
            ("leave_linger_ms", self.leave_linger_ms),
            ("cache_events.interval_ms", self.cache_events.interval_ms),
            ("cache_events.delay_ms", self.cache_events.delay_ms),
        ] {
            report.require(value <= hour, field, value, "must be at most 3600000");
        }
        let second = 1_000_000;
        report.require(
            self.one_way_delay_us <= second,
            "one_way_delay_us",
            self.one_way_delay_us,
            "must be at most 1000000",
        );
        report.require(
            (0.0..=1.0).contains(&self.cache_events.loss),
            "cache_events.loss",
            self.cache_events.loss,
            "must be from 0 to 1",
        );
        report.require(
            self.weights.mb_per_s > 0,
            "weights.mb_per_s",
            self.weights.mb_per_s,
            "must be at least 1",
        );
        check_batch(&self.batch, report);
        self.faults.check(report);
        self.logs.check(report);
    }
}

impl Settings {
    fn check_models(&self, report: &mut settings::Report) {
        let mut seen = collections::BTreeSet::new();
        for (position, model) in self.models.iter().enumerate() {
            let field = format!("models.{position}.model");
            let empty = model.model.is_empty();
            report.require(!empty, &field, &model.model, "must not be empty");
            let fresh = seen.insert(&model.model);
            report.require(fresh, &field, &model.model, "is listed twice");
        }
        let service = self.kind == backend::Kind::Service;
        report.require(
            !service || self.models.is_empty(),
            "models",
            self.models.len(),
            "must be empty for a plain service",
        );
    }
}

fn check_batch(batch: &batch::Settings, report: &mut settings::Report) {
    for (field, value) in [
        ("batch.step_base_us", batch.step_base_us),
        (
            "batch.prefill_chunk_tokens",
            batch.prefill_chunk_tokens.into(),
        ),
        ("batch.max_sequences", batch.max_sequences.into()),
        ("batch.max_waiting", batch.max_waiting.into()),
        ("batch.kv_blocks", batch.kv_blocks.into()),
    ] {
        report.require(value > 0, field, value, "must be at least 1");
    }
    for (field, value) in [
        ("batch.step_base_us", batch.step_base_us),
        ("batch.step_per_sequence_us", batch.step_per_sequence_us),
        (
            "batch.step_per_prefill_token_us",
            batch.step_per_prefill_token_us,
        ),
    ] {
        report.require(
            value <= 10_000_000,
            field,
            value,
            "must be at most 10000000",
        );
    }
}
