//! Settings of the embedded default.

use std::{net, path};

use bw_base::{logs, settings};
use bw_wire::name;
use serde::Deserialize;

/// Settings of `bw-dev`. Everything has a default, so that no file is needed.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub struct Settings {
    /// `IP:port` of the callers' API.
    pub address: String,
    /// `IP:port` of the control port, for `bilberry`.
    pub control_address: name::Name,
    /// The data folder. State survives a restart.
    pub data: path::PathBuf,
    /// Name of the model that the stand-in engines serve.
    pub model: name::Name,
    /// Number of stand-in engines.
    pub engines: u32,
    /// Logs.
    pub logs: logs::Settings,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            address: "127.0.0.1:8080".to_owned(),
            control_address: "127.0.0.1:8090".into(),
            data: "data/dev".into(),
            model: "stand-in".into(),
            engines: 2,
            logs: logs::Settings {
                level: "warn".to_owned(),
                ..logs::Settings::default()
            },
        }
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        for (field, address) in [
            ("address", self.address.as_str()),
            ("control_address", &self.control_address),
        ] {
            report.require_address(field, address);
            let loopback = address
                .parse::<net::SocketAddr>()
                .map_or(true, |address| address.ip().is_loopback());
            let reason = "must be a loopback address: bw-dev has no credentials";
            report.require(loopback, field, address, reason);
        }
        report.require(!self.model.is_empty(), "model", "\"\"", "must not be empty");
        let engines = (1..=16).contains(&self.engines);
        report.require(engines, "engines", self.engines, "must be from 1 to 16");
        settings::Check::check(&self.logs, report);
    }
}
