//! Runs a control replica until `SIGTERM`.

use std::process;

use bw_base::{logs, program};
use bw_control::settings;

const NAME: &str = "bw-control";

fn main() -> process::ExitCode {
    program::main(
        NAME,
        env!("CARGO_PKG_VERSION"),
        |settings: settings::Settings| {
            logs::init(&settings.logs);
            bw_control::start(settings)?.run()
        },
    )
}
