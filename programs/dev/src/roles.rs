//! Starting and stopping all roles in one process.

use std::{net, time};

use anyhow::Context;
use bw_base::logs;
use bw_wire::backend;

use crate::{declare, settings};

const FAILURE_DOMAIN: &str = "local";
/// A port that the system picks; nothing outside the process needs to know it.
const ANY_PORT: &str = "127.0.0.1:0";
/// The deployment of the stand-in engines.
pub(crate) const DEPLOYMENT: &str = "stand-in";
/// How long running requests may take after a stop.
const DRAIN_LIMIT: time::Duration = time::Duration::from_secs(10);

/// The running roles. The threads of each role are joined by [`Roles::stop`].
pub struct Roles {
    control: bw_control::Handle,
    entry: bw_entry::Handle,
    engines: Vec<bw_engine::Handle>,
}

/// Starts one control replica, one entry program and the stand-in engines, and
/// declares the model if nothing has been declared yet.
///
/// # Errors
///
/// Fails when an address is taken or the data folder cannot be used.
pub fn start(settings: &settings::Settings) -> anyhow::Result<Roles> {
    let control = bw_control::start(control(settings)).context("control replica")?;
    let entry = bw_entry::start(entry(settings)).context("entry program")?;
    let mut engines = Vec::new();
    for number in 1..=settings.engines {
        let engine = bw_engine::start(engine(settings, number));
        engines.push(engine.with_context(|| format!("engine {number}"))?);
    }
    declare::model(settings)?;
    Ok(Roles {
        control,
        entry,
        engines,
    })
}

impl Roles {
    /// Returns the address of the callers' API.
    pub fn address(&self) -> net::SocketAddr {
        self.entry.address()
    }

    /// Finishes running requests and stops all roles.
    ///
    /// # Errors
    ///
    /// Fails when the control replica could not store its state.
    pub fn stop(self) -> anyhow::Result<()> {
        self.entry.drain();
        self.entry.join();
        for engine in self.engines {
            // Its callers are gone, so nothing is cut off.
            engine.kill();
        }
        self.control.stop()
    }
}

fn control(settings: &settings::Settings) -> bw_control::settings::Settings {
    bw_control::settings::Settings {
        listen: settings.control_address.clone(),
        admin: ANY_PORT.into(),
        data: settings.data.join("control"),
        failure_domain: FAILURE_DOMAIN.into(),
        logs: logs(settings),
        ..bw_control::settings::Settings::default()
    }
}

fn entry(settings: &settings::Settings) -> bw_entry::settings::Settings {
    let mut entry = bw_entry::settings::Settings {
        name: "entry-1".into(),
        failure_domain: FAILURE_DOMAIN.into(),
        address: settings.address.clone(),
        peer_address: ANY_PORT.to_owned(),
        admin_address: ANY_PORT.to_owned(),
        control: vec![settings.control_address.clone()],
        logs: logs(settings),
        ..bw_entry::settings::Settings::default()
    };
    entry.timeouts.drain_ms = DRAIN_LIMIT.as_millis() as u64;
    entry
}

fn engine(settings: &settings::Settings, number: u32) -> bw_engine::Settings {
    let model = bw_engine::settings::Model {
        model: settings.model.clone(),
        ..bw_engine::settings::Model::default()
    };
    bw_engine::Settings {
        id: format!("engine-{number}").into(),
        address: ANY_PORT.to_owned(),
        kind: backend::Kind::Engine,
        service: DEPLOYMENT.into(),
        failure_domain: FAILURE_DOMAIN.into(),
        models: vec![model],
        announce: vec![settings.address.clone()],
        logs: logs(settings),
        ..bw_engine::Settings::default()
    }
}

fn logs(settings: &settings::Settings) -> logs::Settings {
    settings.logs.clone()
}
