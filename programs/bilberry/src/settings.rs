//! Settings: from a file, overridden by arguments, with defaults for `bw-dev`.

use std::{fs, path};

use bw_base::settings;
use bw_wire::name;
use serde::Deserialize;

use crate::{args, exit};

/// Settings of the command line.
#[derive(Clone, Debug, Deserialize)]
#[serde(default)]
pub(crate) struct Settings {
    /// `IP:port` of the control replicas.
    pub(crate) control: Vec<name::Name>,
    /// `IP:port` of an entry VM or of the load balancer.
    pub(crate) entry: name::Name,
    /// File that holds the operator's token for the control port.
    pub(crate) control_token_file: Option<path::PathBuf>,
    /// File that holds the token for the callers' API.
    pub(crate) entry_token_file: Option<path::PathBuf>,
    /// The name that stands in the history.
    pub(crate) operator: name::Name,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            control: vec!["127.0.0.1:8090".into()],
            entry: "127.0.0.1:8080".into(),
            control_token_file: None,
            entry_token_file: None,
            operator: "operator".into(),
        }
    }
}

impl settings::Check for Settings {
    fn check(&self, report: &mut settings::Report) {
        report.require(
            !self.control.is_empty(),
            "control",
            "[]",
            "needs an address",
        );
        for address in &self.control {
            report.require_address("control", address);
        }
        report.require_address("entry", &self.entry);
        report.require(
            !self.operator.is_empty(),
            "operator",
            "\"\"",
            "must not be empty",
        );
    }
}

/// Reads the settings file, if one is named, and applies the arguments.
pub(crate) fn resolve(args: &args::Args) -> Result<Settings, exit::Failure> {
    let mut settings = match &args.config {
        Some(file) => settings::load(path::Path::new(file))
            .map_err(|error| exit::Failure::usage(error.to_string()))?,
        None => Settings::default(),
    };
    if let Some(control) = &args.control {
        settings.control = control.split(',').map(|part| part.trim().into()).collect();
    }
    if let Some(entry) = &args.entry {
        settings.entry = entry.as_str().into();
    }
    if let Some(operator) = &args.operator {
        settings.operator = operator.as_str().into();
    }
    let mut report = settings::Report::default();
    settings::Check::check(&settings, &mut report);
    match report.problems().first() {
        None => Ok(settings),
        Some(problem) => Err(exit::Failure::usage(format!(
            "{}: {}",
            problem.field, problem.reason
        ))),
    }
}

/// Reads a file that holds one token.
pub(crate) fn token(file: &Option<path::PathBuf>) -> Result<Option<name::Name>, exit::Failure> {
    let Some(file) = file else {
        return Ok(None);
    };
    let text = fs::read_to_string(file)
        .map_err(|error| exit::Failure::usage(format!("{}: {error}", file.display())))?;
    Ok(Some(text.trim().into()))
}
