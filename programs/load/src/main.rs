//! Runs experiments, traces and measurements from the command line.

use std::{fs, io, io::Write as _, path, process, str::FromStr, sync, time};

use anyhow::Context;
use bw_base::{logs, program};
use bw_load::{fleet, overhead, plot, result, run, scenario, streams, trace};

/// Load and experiment tool for bilberrywind; loopback only.
#[derive(argh::FromArgs)]
struct Arguments {
    /// print the version and exit
    #[argh(switch)]
    version: bool,
    /// log level: error, warn, info, debug or trace
    #[argh(option, default = "String::from(\"warn\")")]
    log: String,
    #[argh(subcommand)]
    command: Option<Command>,
}

#[derive(argh::FromArgs)]
#[argh(subcommand)]
enum Command {
    Run(Run),
    Record(Record),
    Replay(Replay),
    Streams(Streams),
    Overhead(Overhead),
}

/// Run a scenario: one JSON line a run, then a summary.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "run")]
struct Run {
    /// scenario file
    #[argh(positional)]
    scenario: path::PathBuf,
    /// check the scenario and exit
    #[argh(switch)]
    check: bool,
    /// policies in place of the scenario's, separated by commas
    #[argh(option)]
    policies: Option<String>,
    /// seeds in place of the scenario's, separated by commas
    #[argh(option)]
    seeds: Option<String>,
    /// share of a capacity that batch work leaves free, in place of the scenario's
    #[argh(option)]
    batch_headroom: Option<f32>,
    /// write an SVG plot to this folder
    #[argh(option)]
    plot: Option<path::PathBuf>,
}

/// Send a scenario's online load to one address and write it with its outcomes.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "record")]
struct Record {
    /// scenario file
    #[argh(positional)]
    scenario: path::PathBuf,
    /// IP:port of an engine or entry VM
    #[argh(option)]
    address: String,
    /// trace file to write
    #[argh(option)]
    out: path::PathBuf,
    /// seed of the load
    #[argh(option, default = "1")]
    seed: u64,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
}

/// Replay a trace and fail when an outcome differs from the stated one.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "replay")]
struct Replay {
    /// trace file
    #[argh(positional)]
    trace: path::PathBuf,
    /// IP:port of an engine or of the entry VMs, separated by commas
    #[argh(option)]
    address: Option<String>,
    /// scenario whose fleet is started for the replay; faults need it
    #[argh(option)]
    scenario: Option<path::PathBuf>,
    /// write the trace with the outcomes that it has now to this file
    #[argh(option)]
    out: Option<path::PathBuf>,
    /// divides the times between requests
    #[argh(option, default = "1.0")]
    speed: f64,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
}

/// Open streams and report the memory of the entry process.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "streams")]
struct Streams {
    /// number of streams
    #[argh(option)]
    count: u32,
    /// IP:port of the entry VM; without it, an own fleet is started
    #[argh(option)]
    address: Option<String>,
    /// process id of the entry VM
    #[argh(option)]
    pid: Option<u32>,
    /// seconds that the streams stay open
    #[argh(option, default = "5")]
    hold: u32,
    /// model
    #[argh(option, default = "String::from(\"batting-desk\")")]
    model: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
}

/// Compare calls through an entry VM with calls straight to the engine.
#[derive(argh::FromArgs)]
#[argh(subcommand, name = "overhead")]
struct Overhead {
    /// IP:port of the engine behind the entry VM
    #[argh(option)]
    direct: Option<String>,
    /// IP:port of the entry VM; without it, an own fleet is started
    #[argh(option)]
    entry: Option<String>,
    /// requests a second
    #[argh(option, default = "500")]
    rate: u32,
    /// measured blocks of each kind
    #[argh(option, default = "5")]
    blocks: u32,
    /// seconds of a block
    #[argh(option, default = "4")]
    block: u32,
    /// model
    #[argh(option, default = "String::from(\"batting-desk\")")]
    model: String,
    /// bearer token
    #[argh(option)]
    token: Option<String>,
}

fn main() -> process::ExitCode {
    let arguments: Arguments = argh::from_env();
    if arguments.version {
        program::print_version(env!("CARGO_BIN_NAME"), env!("CARGO_PKG_VERSION"));
        return process::ExitCode::SUCCESS;
    }
    let Some(command) = arguments.command else {
        eprintln!("bw-load: a command is required; --help shows them");
        return process::ExitCode::from(program::EXIT_SETTINGS);
    };
    logs::init(&logs::Settings {
        level: arguments.log,
        ..logs::Settings::default()
    });
    match start(command) {
        Ok(status) => status,
        Err(error) => {
            eprintln!("bw-load: {error:#}");
            process::ExitCode::from(program::EXIT_FAILURE)
        }
    }
}

fn start(command: Command) -> anyhow::Result<process::ExitCode> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?;
    runtime.block_on(async {
        match command {
            Command::Run(command) => run_scenario(command).await,
            Command::Record(command) => record(command).await,
            Command::Replay(command) => replay(command).await,
            Command::Streams(command) => measure_streams(command).await,
            Command::Overhead(command) => measure_overhead(command).await,
        }
    })
}

async fn run_scenario(command: Run) -> anyhow::Result<process::ExitCode> {
    let mut scenario: scenario::Scenario = match program::load(&command.scenario) {
        Ok(scenario) => scenario,
        Err(status) => return Ok(status),
    };
    if command.check {
        return Ok(process::ExitCode::SUCCESS);
    }
    if let Some(policies) = &command.policies {
        scenario.policies = list(policies, "policy")?;
    }
    if let Some(seeds) = &command.seeds {
        scenario.seeds = list(seeds, "seed")?;
    }
    if let Some(share) = command.batch_headroom {
        let valid = (0.0..=1.0).contains(&share);
        anyhow::ensure!(valid, "--batch-headroom must be from 0 to 1");
        scenario.entry_policy.batch_headroom = share;
    }
    let mut runs = Vec::new();
    for seed in &scenario.seeds {
        for policy in &scenario.policies {
            let (line, ttft) = run::run(&scenario, *policy, *seed)
                .await
                .with_context(|| format!("{} {policy} seed {seed}", scenario.name))?;
            print(&line)?;
            runs.push(plot::Run { line, ttft });
        }
    }
    let lines: Vec<_> = runs.iter().map(|run| run.line.clone()).collect();
    print(&result::Summary::new(&scenario.name, &lines))?;
    if let Some(folder) = &command.plot {
        let file = plot::draw(folder, &scenario, &runs)
            .map_err(|error| anyhow::anyhow!("cannot draw: {error}"))?;
        eprintln!("plot: {}", file.display());
    }
    Ok(process::ExitCode::SUCCESS)
}

async fn record(command: Record) -> anyhow::Result<process::ExitCode> {
    let scenario: scenario::Scenario = match program::load(&command.scenario) {
        Ok(scenario) => scenario,
        Err(status) => return Ok(status),
    };
    let limit = time::Duration::from_millis(scenario.online.deadline_ms);
    let addresses = vec![command.address];
    let destination = destination(addresses, command.token, limit, 1.0)?;
    let entries = trace::record(&scenario, command.seed, &destination).await?;
    write_trace(&command.out, &entries)?;
    print(&serde_json::json!({"recorded": entries.len()}))?;
    Ok(process::ExitCode::SUCCESS)
}

fn write_trace(file: &path::Path, entries: &[trace::Entry]) -> anyhow::Result<()> {
    let created =
        fs::File::create(file).with_context(|| format!("cannot write {}", file.display()))?;
    let mut writer = io::BufWriter::new(created);
    for entry in entries {
        serde_json::to_writer(&mut writer, entry)?;
        writer.write_all(b"\n")?;
    }
    Ok(writer.flush()?)
}

async fn replay(command: Replay) -> anyhow::Result<process::ExitCode> {
    anyhow::ensure!(command.speed > 0.0, "--speed must be greater than 0");
    let file = fs::File::open(&command.trace)
        .with_context(|| format!("cannot read {}", command.trace.display()))?;
    let entries = trace::read(io::BufReader::new(file))
        .with_context(|| command.trace.display().to_string())?;
    let (addresses, own) = match (&command.address, &command.scenario) {
        (Some(addresses), None) => (addresses.split(',').map(str::to_owned).collect(), None),
        (None, Some(file)) => {
            let scenario: scenario::Scenario = match program::load(file) {
                Ok(scenario) => scenario,
                Err(status) => return Ok(status),
            };
            let policy = scenario::Policy::Bilberrywind;
            let own = fleet::Fleet::start(&scenario, policy, 1).await?;
            (own.entry_addresses.clone(), Some(sync::Arc::new(own)))
        }
        _ => anyhow::bail!("give --address or --scenario"),
    };
    let limit = time::Duration::from_secs(60);
    let destination = destination(addresses, command.token, limit, command.speed)?;
    let played = play(&entries, &destination, own.clone(), command.out.as_deref()).await;
    stop(own.and_then(sync::Arc::into_inner)).await?;
    let differences = played?;
    for difference in &differences {
        print(difference)?;
    }
    print(&serde_json::json!({"replayed": entries.len(), "differences": differences.len()}))?;
    Ok(match differences.len() {
        0 => process::ExitCode::SUCCESS,
        _ => process::ExitCode::from(program::EXIT_FAILURE),
    })
}

/// Replays a trace, or writes it with the outcomes that it has now.
async fn play(
    entries: &[trace::Entry],
    destination: &trace::Destination,
    own: Option<sync::Arc<fleet::Fleet>>,
    out: Option<&path::Path>,
) -> anyhow::Result<Vec<trace::Difference>> {
    let Some(out) = out else {
        return trace::replay(entries, destination, own).await;
    };
    let mut entries = entries.to_vec();
    trace::state(&mut entries, destination, own).await?;
    write_trace(out, &entries)?;
    Ok(Vec::new())
}

async fn measure_streams(command: Streams) -> anyhow::Result<process::ExitCode> {
    let (address, pid, own) = match (command.address, command.pid) {
        (Some(address), Some(pid)) => (address, pid, None),
        (None, None) => {
            // Streams stay open while the engine works through them slowly.
            let own = fleet::single(&command.model, fleet::Pace::Slow).await?;
            (own.entry_addresses[0].clone(), own.entry_pid()?, Some(own))
        }
        _ => anyhow::bail!("give --address and --pid, or neither"),
    };
    require_loopback(&address)?;
    let plan = streams::Plan {
        address,
        pid,
        count: command.count,
        hold_s: command.hold,
        model: command.model,
        token: command.token,
    };
    let measured = streams::measure(&plan).await;
    stop(own).await?;
    print(&measured?)?;
    Ok(process::ExitCode::SUCCESS)
}

async fn measure_overhead(command: Overhead) -> anyhow::Result<process::ExitCode> {
    let requests = u64::from(command.rate) * u64::from(command.block) * u64::from(command.blocks);
    anyhow::ensure!(command.rate > 0, "--rate must be at least 1");
    anyhow::ensure!(
        requests <= scenario::MAX_REQUESTS,
        "too many requests: {requests}"
    );
    let (direct, entry, own) = match (command.direct, command.entry) {
        (Some(direct), Some(entry)) => (direct, entry, None),
        (None, None) => {
            let own = fleet::single(&command.model, fleet::Pace::Fast).await?;
            let addresses = (
                own.engine_addresses[0].clone(),
                own.entry_addresses[0].clone(),
            );
            (addresses.0, addresses.1, Some(own))
        }
        _ => anyhow::bail!("give --direct and --entry, or neither"),
    };
    require_loopback(&direct)?;
    require_loopback(&entry)?;
    let plan = overhead::Plan {
        direct,
        entry,
        model: command.model,
        token: command.token,
        rate: command.rate,
        blocks: command.blocks,
        block_s: command.block,
    };
    let measured = overhead::measure(&plan).await;
    stop(own).await?;
    print(&measured)?;
    Ok(process::ExitCode::SUCCESS)
}

async fn stop(own: Option<fleet::Fleet>) -> anyhow::Result<()> {
    if let Some(own) = own {
        tokio::task::spawn_blocking(|| own.stop()).await?;
    }
    Ok(())
}

fn destination(
    addresses: Vec<String>,
    token: Option<String>,
    limit: time::Duration,
    speed: f64,
) -> anyhow::Result<trace::Destination> {
    for address in &addresses {
        require_loopback(address)?;
    }
    Ok(trace::Destination {
        addresses,
        token,
        limit,
        speed,
    })
}

fn require_loopback(address: &str) -> anyhow::Result<()> {
    let loopback = scenario::is_loopback(address);
    anyhow::ensure!(loopback, "{address} is not IP:port on loopback");
    Ok(())
}

fn list<T: FromStr>(text: &str, what: &str) -> anyhow::Result<Vec<T>> {
    let parse = |part: &str| part.trim().parse().ok();
    text.split(',')
        .map(|part| parse(part).with_context(|| format!("{part} is not a {what}")))
        .collect()
}

/// Prints one JSON line.
fn print<T: serde::Serialize>(value: &T) -> anyhow::Result<()> {
    let mut out = io::stdout().lock();
    serde_json::to_writer(&mut out, value)?;
    out.write_all(b"\n")?;
    Ok(out.flush()?)
}
