//! Settings of the entry, control and worker programs.

use std::{net, path, time};

use bw_base::settings;
use bw_relay::{balance, dispatch, health};
use serde::Deserialize;
use tokio::signal::unix;

/// Time before the kill at which a process exits by itself.
const EXIT_MARGIN: time::Duration = time::Duration::from_millis(700);

/// Default of [`Settings::tolerated_losses`].
const TOLERATED_LOSSES: usize = 2;
/// Size up to which the group grows whatever losses are to be tolerated. Two VMs of five
/// may restart at once.
const VOTERS_MIN: usize = 5;

/// The content of a settings file; all three programs read the same format.
#[derive(Clone, Debug, Deserialize)]
pub struct Settings {
    /// The unique name of this VM, by which operators refer to it.
    pub node: String,
    /// The failure domain of this VM: the VMs of one domain may fail together.
    pub failure_domain: String,
    /// The IP address at which the other programs reach this VM.
    pub ip: net::IpAddr,
    /// The address that callers connect to; entry program only.
    #[serde(default)]
    pub callers: Option<net::SocketAddr>,
    /// The address of the load balancer's readiness checks; entry program only.
    #[serde(default)]
    pub readiness: Option<net::SocketAddr>,
    /// The address that operators and backend servers connect to; control
    /// program only.
    #[serde(default)]
    pub operators: Option<net::SocketAddr>,
    /// Ports for connections between the programs; the same on all VMs. Only
    /// the first one is used.
    pub internal_ports: Vec<u16>,
    /// Operator addresses of some control replicas. Their internal addresses
    /// have the same IP address and the internal port.
    pub seeds: Vec<net::SocketAddr>,
    /// Whether the whole system starts for the first time, with empty disks, so
    /// that the seeds bootstrap a new group.
    #[serde(default)]
    pub first_start: bool,
    /// The folder of durable data; control program only.
    #[serde(default)]
    pub data: Option<path::PathBuf>,
    /// The number of replicas that may fail at once without an outage, if there are VMs
    /// enough; control program only. It limits the growth of the group.
    #[serde(default = "tolerated_losses")]
    pub tolerated_losses: usize,
    /// Interval between the announcements of a backend server, in milliseconds.
    pub announce_ms: u64,
    /// Time from a stop signal until the process is killed, in milliseconds.
    pub grace_ms: u64,
    /// How long the results of a closed job stay readable, in milliseconds.
    pub retention_ms: u64,
    /// Port of the metrics endpoint; `None` serves no metrics.
    #[serde(default)]
    pub metrics_port: Option<u16>,
    /// Placement and load shedding of online requests; entry program only.
    #[serde(default)]
    pub placement: balance::Options,
    /// Scheduling of batch items beside online requests; control program only.
    #[serde(default)]
    pub dispatch: dispatch::Options,
    /// When failing backend servers are ejected; control program only.
    #[serde(default)]
    pub health: health::Options,
    /// Level and format of the process's log lines.
    #[serde(default)]
    pub logs: bw_base::logs::Settings,
}

fn tolerated_losses() -> usize {
    TOLERATED_LOSSES
}

impl Settings {
    /// Returns the largest number of replicas that vote. A majority of them is left after
    /// the tolerated losses.
    pub fn voters_max(&self) -> usize {
        (2 * self.tolerated_losses + 1).max(VOTERS_MIN)
    }

    /// Returns the port for connections between the programs, 0 if none is set.
    pub fn internal_port(&self) -> u16 {
        self.internal_ports.first().copied().unwrap_or(0)
    }

    /// Returns the time from a stop signal until the process exits at the latest.
    pub(crate) fn exit_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.grace_ms).saturating_sub(EXIT_MARGIN)
    }

    /// Returns the address at which the other programs connect to this VM.
    pub fn internal_address(&self) -> net::SocketAddr {
        net::SocketAddr::new(self.ip, self.internal_port())
    }

    /// Returns the seeds with the internal port instead of the operators' port.
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
        let has_port = self.internal_port() > 0;
        report.require(
            has_port,
            "internal_ports",
            ports,
            "must name at least one port",
        );
        let has_seeds = !self.seeds.is_empty();
        report.require(
            has_seeds,
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

/// Waits for a stop signal. `SIGHUP` is only logged: the settings that may
/// change, which are the seeds, are read again when they are needed.
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
            _ = hangup.recv() => log::info!("SIGHUP: seeds are read again the next time the leader is searched for"),
        }
    }
}

/// Returns a function that reads the internal addresses of the seeds from a
/// settings file, which may change while the program runs. If the file cannot
/// be read, the function returns the addresses of the last successful read.
pub fn seed_reader(file: path::PathBuf, settings: &Settings) -> crate::link::Seeds {
    let last = std::cell::RefCell::new(settings.internal_seeds());
    Box::new(move || {
        match bw_base::settings::load::<Settings>(&file) {
            Ok(settings) => *last.borrow_mut() = settings.internal_seeds(),
            Err(error) => log::warn!("cannot reload the seeds from the settings file: {error}"),
        }
        last.borrow().clone()
    })
}
