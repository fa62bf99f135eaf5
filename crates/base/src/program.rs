//! What all programs have in common: arguments, settings, signals and exit status.

use std::{future, io, path, process};

use tokio::signal::unix;

use crate::settings;

/// Exit status after a settings error.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit status after a failure to start or run.
pub const EXIT_FAILURE: u8 = 1;

/// One program of bilberrywind.
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

/// Runs a daemon: reads the arguments, loads and checks the settings, and passes them
/// to `run` unless `--check` or `--version` is given.
pub fn main<T>(
    name: &str,
    version: &str,
    run: impl FnOnce(T) -> anyhow::Result<()>,
) -> process::ExitCode
where
    T: serde::de::DeserializeOwned + settings::Check,
{
    start(name, version, None, |_, settings| run(settings))
}

/// Runs a daemon like [`main`] and also passes it the path of its settings file, so
/// that it can read settings that change while it runs.
pub fn main_with_file<T>(
    name: &str,
    version: &str,
    run: impl FnOnce(path::PathBuf, T) -> anyhow::Result<()>,
) -> process::ExitCode
where
    T: serde::de::DeserializeOwned + settings::Check,
{
    start(name, version, None, |file, settings| {
        run(file.unwrap_or_default(), settings)
    })
}

/// Runs a daemon like [`main`], with default settings if no file is named.
pub fn main_with_defaults<T>(
    name: &str,
    version: &str,
    run: impl FnOnce(T) -> anyhow::Result<()>,
) -> process::ExitCode
where
    T: serde::de::DeserializeOwned + settings::Check + Default,
{
    start(name, version, Some(T::default()), |_, settings| {
        run(settings)
    })
}

fn start<T>(
    name: &str,
    version: &str,
    defaults: Option<T>,
    run: impl FnOnce(Option<path::PathBuf>, T) -> anyhow::Result<()>,
) -> process::ExitCode
where
    T: serde::de::DeserializeOwned + settings::Check,
{
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        print_version(name, version);
        return process::ExitCode::SUCCESS;
    }
    let settings = match (&arguments.config, defaults) {
        (Some(file), _) => match load(file) {
            Ok(settings) => settings,
            Err(status) => return status,
        },
        (None, Some(defaults)) => defaults,
        (None, None) => {
            eprintln!("{name}: --config FILE.yaml is required; --help shows the options");
            return process::ExitCode::from(EXIT_SETTINGS);
        }
    };
    if arguments.check {
        return process::ExitCode::SUCCESS;
    }
    match run(arguments.config, settings) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            eprintln!("{name}: {error:#}");
            process::ExitCode::from(EXIT_FAILURE)
        }
    }
}

/// Loads and checks settings. Prints every problem to standard error.
///
/// # Errors
///
/// Returns the exit status that the program should end with.
pub fn load<T>(file: &path::Path) -> Result<T, process::ExitCode>
where
    T: serde::de::DeserializeOwned + settings::Check,
{
    settings::load(file).map_err(|error| {
        eprintln!("{error}");
        process::ExitCode::from(EXIT_SETTINGS)
    })
}

/// Prints the version line of a program.
pub fn print_version(name: &str, version: &str) {
    println!("{name} {version}");
}

/// Waits for `SIGTERM` or `SIGINT`.
///
/// # Errors
///
/// Fails when the signal handlers cannot be installed.
pub async fn stop_signal() -> io::Result<()> {
    let mut terminate = unix::signal(unix::SignalKind::terminate())?;
    let mut interrupt = unix::signal(unix::SignalKind::interrupt())?;
    let terminated = future::poll_fn(|context| terminate.poll_recv(context));
    let interrupted = future::poll_fn(|context| interrupt.poll_recv(context));
    tokio::select! {
        _ = terminated => {}
        _ = interrupted => {}
    }
    Ok(())
}
