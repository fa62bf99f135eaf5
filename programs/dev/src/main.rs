//! Runs all roles in one process until `SIGTERM` or Ctrl-C.

use std::process;

use bw_base::{logs, program};
use bw_dev::settings;
use tokio::runtime;

fn main() -> process::ExitCode {
    program::main_with_defaults("bw-dev", env!("CARGO_PKG_VERSION"), |settings| {
        run(&settings)
    })
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
