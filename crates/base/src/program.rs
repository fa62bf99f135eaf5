//! The common frame of a program: settings, `--check`, signals and exit status.

use std::{future, io, path, process};

use tokio::signal::unix;

use crate::settings;

/// Exit status after a settings error.
pub const EXIT_SETTINGS: u8 = 2;
/// Exit status after a failure to start or run.
pub const EXIT_FAILURE: u8 = 1;

/// Loads settings, or prints every problem to standard error.
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
