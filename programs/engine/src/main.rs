//! Runs one stand-in backend server.

use std::{path, process};

use bw_base::{logs, program};
use bw_engine::Ended;

/// Exit status after a request with the crash marker.
const EXIT_CRASHED: u8 = 70;

/// Stand-in for a model engine or a plain service.
#[derive(argh::FromArgs)]
struct Arguments {
    /// settings file in YAML
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
        program::print_version(env!("CARGO_BIN_NAME"), env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let Some(file) = arguments.config else {
        eprintln!("--config FILE.yaml is required; --help shows the options");
        return process::ExitCode::from(program::EXIT_SETTINGS);
    };
    let settings: bw_engine::Settings = match program::load(&file) {
        Ok(settings) => settings,
        Err(status) => return status,
    };
    if arguments.check {
        return process::ExitCode::SUCCESS;
    }
    logs::init(&settings.logs);
    match run(settings) {
        Ok(Ended::Crashed) => process::ExitCode::from(EXIT_CRASHED),
        Ok(_) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            process::ExitCode::from(program::EXIT_FAILURE)
        }
    }
}

fn run(settings: bw_engine::Settings) -> anyhow::Result<Ended> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = bw_engine::start(settings)?;
    runtime.block_on(async {
        tokio::select! {
            signal = program::stop_signal() => signal,
            () = ended(&handle) => Ok(()),
        }
    })?;
    handle.stop();
    Ok(handle.wait())
}

/// Waits until a server has ended by itself.
async fn ended(handle: &bw_engine::Handle) {
    while !handle.is_finished() {
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}
