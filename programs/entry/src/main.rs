//! Runs the entry program.

use std::process;

use bw_base::{logs, program};
use bw_entry::settings;
use tokio::runtime;

fn main() -> process::ExitCode {
    program::main("bw-entry", env!("CARGO_PKG_VERSION"), run)
}

fn run(settings: settings::Settings) -> anyhow::Result<()> {
    logs::init(&settings.logs);
    let signals = runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let handle = bw_entry::start(settings)?;
    signals.block_on(program::stop_signal())?;
    handle.drain();
    handle.join();
    Ok(())
}
