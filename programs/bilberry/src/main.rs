//! The operators' command line.
//!
//! Tables for people by default, `--json` for scripts, stable exit codes.

mod args;
mod config;
mod control;
mod exit;
mod explain;
mod http;
mod jobs;
mod output;
mod settings;
mod snapshot;

use std::process;

use tokio::runtime;

fn main() -> process::ExitCode {
    let args: args::Args = argh::from_env();
    if args.version {
        bw_base::program::print_version("bilberry", env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    match run(args) {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(failure) => {
            eprintln!("bilberry: {failure}");
            failure.code()
        }
    }
}

fn run(args: args::Args) -> Result<(), exit::Failure> {
    let settings = settings::resolve(&args)?;
    if args.check {
        return Ok(());
    }
    let Some(command) = args.command else {
        return Err(exit::Failure::usage(
            "no command given; see bilberry --help",
        ));
    };
    let session = output::Session::new(settings, args.json);
    let runtime = runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|error| exit::Failure::failed(error.to_string()))?;
    runtime.block_on(dispatch(&session, command))
}

async fn dispatch(session: &output::Session, command: args::Command) -> Result<(), exit::Failure> {
    match command {
        args::Command::Show(_) => config::show(session).await,
        args::Command::Plan(plan) => config::plan(session, &plan).await,
        args::Command::Confirm(confirm) => config::confirm(session, &confirm).await,
        args::Command::History(history) => config::history(session, &history).await,
        args::Command::Drain(drain) => config::drain(session, &drain).await,
        args::Command::Status(_) => control::status(session).await,
        args::Command::Replicas(_) => control::replicas(session).await,
        args::Command::Control(command) => control::run(session, command).await,
        args::Command::Snapshot(command) => snapshot::run(session, &command).await,
        args::Command::Jobs(command) => jobs::run(session, command).await,
        args::Command::Explain(command) => explain::run(&command),
    }
}
