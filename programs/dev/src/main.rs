//! Runs all roles in one process until `SIGTERM` or Ctrl-C.

use std::{path, process};

use bw_base::{logs, program};
use bw_dev::settings;
use tokio::runtime;

/// All roles of bilberrywind in one process, with stand-in engines.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file in YAML; everything has a default
    #[argh(option)]
    config: Option<path::PathBuf>,
    /// check the settings and exit
    #[argh(switch)]
    check: bool,
    /// print the version and exit
    #[argh(switch)]
    version: bool,
}

fn main() -> process::ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        program::print_version("bw-dev", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let settings = match arguments.config {
        Some(file) => match program::load(&file) {
            Ok(settings) => settings,
            Err(status) => return status,
        },
        None => settings::Settings::default(),
    };
    if arguments.check {
        return process::ExitCode::SUCCESS;
    }
    match run(&settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("bw-dev: {error:#}");
            process::ExitCode::from(program::EXIT_FAILURE)
        }
    }
}

fn run(settings: &settings::Settings) -> anyhow::Result<()> {
    logs::init(&settings.logs);
    let roles = bw_dev::start(settings)?;
    println!(
        "callers' API on http://{}/v1, control port on {}, model {:?}, data in {}",
        roles.address(),
        settings.control_address,
        settings.model.as_str(),
        settings.data.display()
    );
    runtime::Builder::new_current_thread()
        .enable_all()
        .build()?
        .block_on(program::stop_signal())?;
    roles.stop()
}
