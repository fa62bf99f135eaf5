//! Settings of the entry program.

use std::{io, net, path, time};

use bw_base::{access, logs, settings};
use bw_wire::name;
use serde::{Deserialize, Serialize};

/// All settings. `examples/entry.yaml` describes each field.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Settings {
    /// The entry VM's name, unique in the fleet.
    pub name: name::Name,
    /// Failure domain of the entry VM.
    pub failure_domain: name::Name,
    /// `IP:port` for callers and for announcements of backend servers.
    pub address: String,
    /// `IP:port` for other entry VMs.
    pub peer_address: String,
    /// `IP:port` to listen on for other entry VMs, when they reach
    /// `peer_address` through a relay or a translated address.
    pub peer_listen: Option<String>,
    /// `IP:port` for health checks and metrics.
    pub admin_address: String,
    /// `IP:port` of each control replica.
    pub control: Vec<name::Name>,
    /// Number of work groups, the same as in the settings of `bw-control`.
    pub groups: u32,
    /// Threads that serve traffic; one more thread runs the control state.
    pub threads: usize,
    /// Token files of each interface.
    pub tokens: Tokens,
    /// Limits on what callers send and hold open.
    pub limits: Limits,
    /// Time limits of calls and of the shutdown.
    pub timeouts: Timeouts,
    /// Options of retries, hedging and queues.
    pub policy: Policy,
    /// Level of the logs, also of single modules.
    pub logs: logs::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            name: name::Name::default(),
            failure_domain: name::Name::default(),
            address: "127.0.0.1:8080".to_owned(),
            peer_address: "127.0.0.1:8090".to_owned(),
            peer_listen: None,
            admin_address: "127.0.0.1:8091".to_owned(),
            control: Vec::new(),
            groups: 4,
            threads: 2,
            tokens: Tokens::default(),
            limits: Limits::default(),
            timeouts: Timeouts::default(),
            policy: Policy::default(),
            logs: logs::Settings::default(),
        }
    }
}

/// Files with `name: token` lines.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct Tokens {
    /// Tokens of callers; the name is the team.
    pub callers: Option<path::PathBuf>,
    /// Tokens of backend servers that announce themselves.
    pub backends: Option<path::PathBuf>,
    /// Tokens of entry VMs, including this one.
    pub peers: Option<path::PathBuf>,
    /// Tokens for the control replicas, with a line for this entry VM.
    pub control: Option<path::PathBuf>,
    /// Tokens that may read the metrics.
    pub admin: Option<path::PathBuf>,
}

/// Limits on what callers send and hold open.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Limits {
    /// Largest body of an online request, in bytes.
    pub body_bytes: usize,
    /// Largest line of a batch file, in bytes.
    pub line_bytes: usize,
    /// Largest batch file, in bytes.
    pub file_bytes: u64,
    /// Most items in a batch file.
    pub file_items: u32,
    /// Most open connections of callers.
    pub connections: usize,
    /// Most online requests that run or wait at once.
    pub open_streams: usize,
    /// How long the headers of a request may take, in milliseconds.
    pub header_timeout_ms: u64,
    /// How long the body of an online request may take, in milliseconds.
    pub body_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            body_bytes: 4 * 1024 * 1024,
            line_bytes: 1024 * 1024,
            file_bytes: 512 * 1024 * 1024,
            file_items: 400_000,
            connections: 20_000,
            open_streams: 12_000,
            header_timeout_ms: 10_000,
            body_timeout_ms: 30_000,
        }
    }
}

/// Time limits of calls and of the shutdown, in milliseconds.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Timeouts {
    /// For opening a connection to a backend server.
    pub connect_ms: u64,
    /// From sending a request to its first token.
    pub first_token_ms: u64,
    /// From one token to the next.
    pub between_tokens_ms: u64,
    /// For a whole online request unless it states its own.
    pub request_ms: u64,
    /// From `SIGTERM`, when `/readyz` starts to fail, until connections are no
    /// longer accepted. The load balancer stops sending requests in this time.
    pub linger_ms: u64,
    /// For running requests to finish after `linger_ms`.
    pub drain_ms: u64,
}

impl Default for Timeouts {
    fn default() -> Self {
        Timeouts {
            connect_ms: 500,
            first_token_ms: 10_000,
            between_tokens_ms: 5_000,
            request_ms: 600_000,
            linger_ms: 2_000,
            drain_ms: 600_000,
        }
    }
}

/// Options of retries, hedging and queues.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default)]
pub struct Policy {
    /// Most attempts of one request without progress, including hedges.
    pub max_attempts: u32,
    /// Fraction of a retry that a successful request adds to the retry budget.
    pub retry_share: f32,
    /// Largest retry budget, in retries.
    pub retry_reserve: u32,
    /// Quantile of recent first-token times after which a request is hedged.
    pub hedge_quantile: f64,
    /// Shortest time without a first token after which a request is hedged, in
    /// milliseconds.
    pub hedge_min_ms: u64,
    /// Most requests of one model that wait for admission.
    pub queue: u32,
    /// Most requests on all backend servers of a model, as a multiple of their
    /// capacity. Further requests wait in the entry VM.
    pub oversubscription: f32,
    /// Share of a backend server's capacity that batch work leaves free for
    /// online requests. A larger share shortens the tail latency of online requests
    /// and reduces batch throughput.
    pub batch_headroom: f32,
}

impl Default for Policy {
    fn default() -> Self {
        Policy {
            max_attempts: 3,
            retry_share: 0.1,
            retry_reserve: 50,
            hedge_quantile: 0.95,
            hedge_min_ms: 20,
            queue: 512,
            oversubscription: 2.0,
            batch_headroom: 0.03,
        }
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        check_name(report, "name", &self.name);
        check_name(report, "failure_domain", &self.failure_domain);
        report.require_address("address", &self.address);
        report.require_address("peer_address", &self.peer_address);
        if let Some(address) = &self.peer_listen {
            report.require_address("peer_listen", address);
        }
        report.require_address("admin_address", &self.admin_address);
        let reason = "must name at least one control replica";
        report.require(!self.control.is_empty(), "control", "[]", reason);
        for address in &self.control {
            report.require_address("control", address);
        }
        check_range(report, "groups", u64::from(self.groups), 1..=1_024);
        check_range(report, "threads", self.threads as u64, 1..=256);
        self.check_credentials(report);
        self.limits.check(report);
        self.timeouts.check(report);
        self.policy.check(report);
        self.logs.check(report);
    }
}

impl Settings {
    /// Returns the `IP:port` to listen on for other entry VMs.
    pub fn peer_listen(&self) -> &str {
        self.peer_listen.as_deref().unwrap_or(&self.peer_address)
    }

    fn check_credentials(&self, report: &mut settings::Report) {
        let tokens = &self.tokens;
        let mut interfaces = vec![
            ("address", &self.address, "tokens.callers", &tokens.callers),
            (
                "address",
                &self.address,
                "tokens.backends",
                &tokens.backends,
            ),
            (
                "peer_address",
                &self.peer_address,
                "tokens.peers",
                &tokens.peers,
            ),
            (
                "admin_address",
                &self.admin_address,
                "tokens.admin",
                &tokens.admin,
            ),
        ];
        if let Some(listen) = &self.peer_listen {
            interfaces.push(("peer_listen", listen, "tokens.peers", &tokens.peers));
        }
        for (field, address, needed, file) in interfaces {
            let reason = format!("is not a loopback address, so {needed} is required");
            report.require(
                file.is_some() || is_loopback(address),
                field,
                address,
                &reason,
            );
        }
        for address in &self.control {
            let reason = "is not a loopback address, so tokens.control is required";
            let allowed = tokens.control.is_some() || is_loopback(address);
            report.require(allowed, "control", address, reason);
        }
        check_tokens(report, "tokens.callers", &tokens.callers, None);
        check_tokens(report, "tokens.backends", &tokens.backends, None);
        check_tokens(report, "tokens.peers", &tokens.peers, Some(&self.name));
        check_tokens(report, "tokens.control", &tokens.control, Some(&self.name));
        check_tokens(report, "tokens.admin", &tokens.admin, None);
    }
}

impl settings::Check for Limits {
    fn check(&self, report: &mut settings::Report) {
        let bytes = 1_024..=1 << 30;
        check_range(
            report,
            "limits.body_bytes",
            self.body_bytes as u64,
            bytes.clone(),
        );
        check_range(report, "limits.line_bytes", self.line_bytes as u64, bytes);
        check_range(
            report,
            "limits.file_bytes",
            self.file_bytes,
            1_024..=1 << 40,
        );
        let items = u64::from(self.file_items);
        check_range(report, "limits.file_items", items, 1..=10_000_000);
        let connections = self.connections as u64;
        check_range(report, "limits.connections", connections, 1..=1_000_000);
        let streams = self.open_streams as u64;
        check_range(report, "limits.open_streams", streams, 1..=1_000_000);
        check_ms(report, "limits.header_timeout_ms", self.header_timeout_ms);
        check_ms(report, "limits.body_timeout_ms", self.body_timeout_ms);
    }
}

impl settings::Check for Timeouts {
    fn check(&self, report: &mut settings::Report) {
        check_ms(report, "timeouts.connect_ms", self.connect_ms);
        check_ms(report, "timeouts.first_token_ms", self.first_token_ms);
        check_ms(report, "timeouts.between_tokens_ms", self.between_tokens_ms);
        check_ms(report, "timeouts.request_ms", self.request_ms);
        check_range(report, "timeouts.linger_ms", self.linger_ms, 0..=600_000);
        check_ms(report, "timeouts.drain_ms", self.drain_ms);
    }
}

impl settings::Check for Policy {
    fn check(&self, report: &mut settings::Report) {
        let attempts = u64::from(self.max_attempts);
        check_range(report, "policy.max_attempts", attempts, 1..=16);
        let share = self.retry_share;
        let valid = (0.0..=1.0).contains(&share);
        report.require(valid, "policy.retry_share", share, "must be from 0 to 1");
        let reserve = u64::from(self.retry_reserve);
        check_range(report, "policy.retry_reserve", reserve, 1..=10_000);
        let quantile = self.hedge_quantile;
        let valid = (0.5..=1.0).contains(&quantile);
        report.require(
            valid,
            "policy.hedge_quantile",
            quantile,
            "must be from 0.5 to 1",
        );
        check_range(
            report,
            "policy.hedge_min_ms",
            self.hedge_min_ms,
            1..=600_000,
        );
        check_range(report, "policy.queue", u64::from(self.queue), 0..=1_000_000);
        let factor = self.oversubscription;
        let valid = (1.0..=100.0).contains(&factor);
        report.require(
            valid,
            "policy.oversubscription",
            factor,
            "must be from 1 to 100",
        );
        let headroom = self.batch_headroom;
        let valid = (0.0..=1.0).contains(&headroom);
        report.require(
            valid,
            "policy.batch_headroom",
            headroom,
            "must be from 0 to 1",
        );
    }
}

fn check_name(report: &mut settings::Report, field: &str, name: &name::Name) {
    let valid = !name.is_empty()
        && name.len() <= 64
        && name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'-' || byte == b'.');
    let reason = "must be 1 to 64 letters, digits, hyphens or dots";
    report.require(valid, field, name, reason);
}

fn check_range(
    report: &mut settings::Report,
    field: &str,
    value: u64,
    allowed: std::ops::RangeInclusive<u64>,
) {
    let reason = format!("must be from {} to {}", allowed.start(), allowed.end());
    report.require(allowed.contains(&value), field, value, &reason);
}

fn check_ms(report: &mut settings::Report, field: &str, value: u64) {
    check_range(report, field, value, 1..=24 * 3_600_000);
}

fn check_tokens(
    report: &mut settings::Report,
    field: &str,
    file: &Option<path::PathBuf>,
    own: Option<&name::Name>,
) {
    let Some(file) = file else {
        return;
    };
    match access::Tokens::load(file) {
        Ok(tokens) => {
            if let Some(own) = own {
                let reason = format!("has no token for {own}");
                let found = tokens.token_of(own).is_some();
                report.require(found, field, file.display(), &reason);
            }
        }
        Err(error) => report.add(field, file.display(), error.to_string()),
    }
}

/// Returns whether an address can be reached from this machine only. Invalid
/// addresses count as such: another check reports them.
fn is_loopback(address: &str) -> bool {
    address
        .parse::<net::SocketAddr>()
        .map_or(true, |address| address.ip().is_loopback())
}

/// Tokens of each interface, loaded from their files; `None` where none are needed.
#[derive(Clone, Default)]
pub struct Credentials {
    /// Tokens of callers; the name is the team. Without them, the bearer token
    /// names the team.
    pub callers: Option<access::Tokens>,
    /// Tokens of backend servers that announce themselves.
    pub backends: Option<access::Tokens>,
    /// Tokens of entry VMs.
    pub peers: Option<access::Tokens>,
    /// Token that this entry VM sends to the control replicas.
    pub control: Option<name::Name>,
    /// Tokens that may read the metrics.
    pub admin: Option<access::Tokens>,
}

impl Credentials {
    /// Loads the tokens from the files in the settings.
    ///
    /// # Errors
    ///
    /// Fails when a file cannot be read.
    pub fn load(settings: &Settings) -> io::Result<Credentials> {
        let files = &settings.tokens;
        let control = load_tokens(&files.control)?;
        Ok(Credentials {
            callers: load_tokens(&files.callers)?,
            backends: load_tokens(&files.backends)?,
            peers: load_tokens(&files.peers)?,
            control: control
                .as_ref()
                .and_then(|tokens| tokens.token_of(&settings.name))
                .map(name::Name::from),
            admin: load_tokens(&files.admin)?,
        })
    }
}

fn load_tokens(file: &Option<path::PathBuf>) -> io::Result<Option<access::Tokens>> {
    file.as_deref().map(access::Tokens::load).transpose()
}

pub(crate) fn ms(value: u64) -> time::Duration {
    time::Duration::from_millis(value)
}
