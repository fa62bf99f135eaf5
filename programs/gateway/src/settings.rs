//! Settings of the relay's processes.

use std::{net, path};

use bw_base::settings;
use bw_relay::{balance, dispatch, health};
use serde::Deserialize;
use tokio::signal::unix;

/// Replicas that a group may lose at once if the settings do not say.
const TOLERATED_LOSSES: usize = 2;

/// Settings of the entry, control and worker programs.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The name of this VM.
    pub node: String,
    /// The failure domain of this VM.
    pub failure_domain: String,
    /// The IP address of this VM.
    pub ip: net::IpAddr,
    /// Where callers connect; entry program only.
    #[serde(default)]
    pub callers: Option<net::SocketAddr>,
    /// Where the load balancer asks whether to send callers; entry program only.
    #[serde(default)]
    pub readiness: Option<net::SocketAddr>,
    /// Where operators and backend servers connect; control program only.
    #[serde(default)]
    pub operators: Option<net::SocketAddr>,
    /// Ports for connections between the programs; the same on all VMs.
    pub internal_ports: Vec<u16>,
    /// Addresses of some control replicas as operators reach them. Their
    /// internal addresses have the same IP address and the internal port.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks.
    #[serde(default)]
    pub first_start: bool,
    /// The folder of durable data; control program only.
    #[serde(default)]
    pub data: Option<path::PathBuf>,
    /// Replicas that may be lost at once while nothing stops; control program only.
    #[serde(default = "tolerated_losses")]
    pub tolerated_losses: usize,
    /// How often backend servers announce themselves, in milliseconds.
    pub announce_ms: u64,
    /// Time from a stop signal to the forced end of the process, in milliseconds.
    pub grace_ms: u64,
    /// How long results of a closed job stay readable, in milliseconds.
    pub retention_ms: u64,
    /// Port of the metrics endpoint; none is served if it is absent.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// How online requests are placed and turned away; entry program only.
    #[serde(default)]
    pub placement: balance::Options,
    /// How batch items run beside them; control program only.
    #[serde(default)]
    pub dispatch: dispatch::Options,
    /// When backend servers that fail are held back; control program only.
    #[serde(default)]
    pub health: health::Options,
    /// Logs.
    #[serde(default)]
    pub logs: bw_base::logs::Settings,
}

fn tolerated_losses() -> usize {
    TOLERATED_LOSSES
}

impl Settings {
    /// Returns the number of replicas in the group: a majority is left after the
    /// losses that are tolerated.
    pub fn replicas(&self) -> usize {
        2 * self.tolerated_losses + 1
    }

    /// Returns the port for connections between the programs.
    pub fn internal_port(&self) -> u16 {
        self.internal_ports.first().copied().unwrap_or(0)
    }

    /// Returns the internal address of this VM.
    pub fn internal_address(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.ip, self.internal_port())
    }

    /// Returns the internal addresses of the seeds.
    pub fn internal_seeds(&self) -> Vec<net::SocketAddr> {
        let port = self.internal_port();
        let seeds = self.seeds.iter();
        seeds
            .map(|seed| net::SocketAddr::new(seed.ip(), port))
            .collect()
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        report.require(
            !self.node.is_empty(),
            "node",
            &self.node,
            "must not be empty",
        );
        let ports = format!("{:?}", self.internal_ports);
        let port = self.internal_port() > 0;
        report.require(port, "internal_ports", ports, "must name at least one port");
        let seeds = !self.seeds.is_empty();
        report.require(
            seeds,
            "seeds",
            "[]",
            "must name at least one control replica",
        );
        let announce = self.announce_ms;
        report.require(announce > 0, "announce_ms", announce, "must be above 0");
        let grace = self.grace_ms;
        report.require(grace > 0, "grace_ms", grace, "must be above 0");
        self.logs.check(report);
    }
}

/// Waits for a stop signal. `SIGHUP` is logged and otherwise without effect:
/// settings that may change are read when they are needed.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut hangup = unix::signal(unix::SignalKind::hangup())?;
    let mut stop = std::pin::pin!(bw_base::program::stop_signal());
    loop {
        tokio::select! {
            result = &mut stop => return result,
            _ = hangup.recv() => log::info!("SIGHUP: seeds are read again when the leader is looked for"),
        }
    }
}

/// Returns a function that reads the internal addresses of the seeds from a
/// settings file, which may change while the program runs. If the file cannot
/// be read, the addresses of the last successful reading are used.
pub fn seed_reader(file: path::PathBuf, settings: &Settings) -> crate::link::Seeds {
    let last = std::cell::RefCell::new(settings.internal_seeds());
    Box::new(move || {
        match bw_base::settings::load::<Settings>(&file) {
            Ok(settings) => *last.borrow_mut() = settings.internal_seeds(),
            Err(error) => log::warn!("settings not read again: {error}"),
        }
        last.borrow().clone()
    })
}
