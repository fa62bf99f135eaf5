//! Runs one stand-in backend server.

use std::{process, time};

use bw_base::{logs, program};
use bw_engine::{Ended, Handle, Settings};

/// Exit status after a request with the crash marker.
const EXIT_CRASHED: i32 = 70;
/// Interval at which the main thread looks whether the server has crashed.
const CRASH_POLL: time::Duration = time::Duration::from_millis(10);

fn main() -> process::ExitCode {
    program::main(env!("CARGO_BIN_NAME"), env!("CARGO_PKG_VERSION"), run)
}

fn run(settings: Settings) -> anyhow::Result<()> {
    logs::init(&settings.logs);
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
    if handle.wait() == Ended::Crashed {
        process::exit(EXIT_CRASHED);
    }
    Ok(())
}

/// Waits until a server has ended by itself.
async fn ended(handle: &Handle) {
    while !handle.is_finished() {
        tokio::time::sleep(CRASH_POLL).await;
    }
}
