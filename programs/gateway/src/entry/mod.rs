//! The entry program: takes callers' requests and forwards them.
//!
//! Everything runs on one thread; a VM of this role has a part of one core.

mod answer;
mod attempt;
mod confirm;
mod forward;
mod front;
mod jobs;
mod reason;
mod state;
mod stream;

use std::{net, rc::Rc, sync::Arc, time};

use bw_relay::message;
use tokio::{sync::mpsc, task};

use crate::{clock, dialect, link, local, settings, socket, upstream};

use state::State;

/// How often the requests in flight are reported to the leader if they changed.
const REPORT: time::Duration = time::Duration::from_millis(40);
/// Least time between two reports about requests that need slots of batch
/// items, which bounds the messages of a burst.
const URGENT_GAP: time::Duration = time::Duration::from_millis(10);
/// Reports without a change that are left out before one is sent again, which
/// shows the leader that the entry VM is alive.
const REPORTS_SKIPPED: u32 = 12;
/// Time after a stop signal in which new requests are still served, as the
/// load balancer needs two readiness checks, one second apart, to notice. Later
/// requests might not end before the process must.
const LINGER: time::Duration = time::Duration::from_millis(2_500);
/// When a caller should come back after a request that needs a leader and found
/// none, in milliseconds: elections take up to a second.
const NO_LEADER_RETRY_MS: u64 = 700;
/// How often a drain looks for running requests.
const POLL: time::Duration = time::Duration::from_millis(50);
/// Time before the forced end at which the process ends by itself.
const MARGIN: time::Duration = time::Duration::from_millis(700);

/// Runs the entry program until a stop signal.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub fn run(
    settings: settings::Settings,
    dialect: Arc<dyn dialect::Dialect>,
    seeds: link::Seeds,
) -> anyhow::Result<()> {
    local::run(serve(settings, dialect, seeds))
}

async fn serve(
    settings: settings::Settings,
    dialect: Arc<dyn dialect::Dialect>,
    seeds: link::Seeds,
) -> anyhow::Result<()> {
    let callers = settings
        .callers
        .ok_or_else(|| anyhow::anyhow!("callers is not set"))?;
    let readiness = settings
        .readiness
        .ok_or_else(|| anyhow::anyhow!("readiness is not set"))?;
    let (sender, news) = mpsc::unbounded_channel();
    let (link, drive) = link::Link::new(
        settings.node.as_str().into(),
        settings.internal_address(),
        message::Role::Entry,
        seeds,
        sender,
    );
    let grace = time::Duration::from_millis(settings.grace_ms);
    let metrics_port = settings.metrics_port;
    let ip = settings.ip;
    let state = Rc::new(State::new(settings, dialect, link));
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(drive);
    tasks.spawn_local(take_news(Rc::clone(&state), news));
    tasks.spawn_local(report(Rc::clone(&state)));
    tasks.spawn_local(confirm::run(Rc::clone(&state)));
    tasks.spawn_local(front::readiness(
        Rc::clone(&state),
        socket::listen(readiness)?,
    ));
    if let Some(port) = metrics_port {
        let address = net::SocketAddr::new(ip, port);
        tasks.spawn_local(front::readiness(
            Rc::clone(&state),
            socket::listen(address)?,
        ));
    }
    tasks.spawn_local(front::callers(Rc::clone(&state), socket::listen(callers)?));
    log::info!(node = state.settings.node.as_str(), callers = callers.to_string().as_str(); "entry program started");
    crate::settings::stop_signal().await?;
    drain(&state, grace).await;
    tasks.shutdown().await;
    log::info!(node = state.settings.node.as_str(); "entry program stopped");
    Ok(())
}

/// Takes news of the leader until the link ends.
async fn take_news(state: Rc<State>, mut news: mpsc::UnboundedReceiver<link::Event>) {
    while let Some(news) = news.recv().await {
        match news {
            link::Event::Connected => state.set_connected(true),
            link::Event::Disconnected => state.set_connected(false),
            link::Event::Update(update) => state.update(update),
        }
    }
}

/// Reports requests in flight to the leader.
async fn report(state: Rc<State>) {
    let mut skipped = 0;
    loop {
        // Batch items give way only when the leader knows of the request.
        let crowded = tokio::time::timeout(REPORT, state.crowded.notified()).await;
        state.tick();
        let Some(report) = state.report(skipped >= REPORTS_SKIPPED) else {
            skipped += 1;
            continue;
        };
        skipped = 0;
        state.link.notify(&message::Frame::Usage(report));
        if crowded.is_ok() {
            tokio::time::sleep(URGENT_GAP).await;
        }
    }
}

/// Ends service gracefully: fails the readiness check, serves what still comes,
/// closes connections after their answers and waits for running requests.
async fn drain(state: &State, grace: time::Duration) {
    state.draining.set(true);
    let started = time::Instant::now();
    log::info!(requests = state.active.get(), connections = state.connections.get(); "stop signal, draining");
    tokio::time::sleep(LINGER.min(grace)).await;
    state.closing.send_replace(true);
    let limit = grace.saturating_sub(MARGIN);
    while started.elapsed() < limit {
        tokio::time::sleep(POLL).await;
        if state.active.get() == 0 {
            break;
        }
    }
    let ended_ms = started.elapsed().as_millis() as u64;
    log::info!(requests = state.active.get(), after_ms = ended_ms; "drained");
}

/// Returns the part of a limit that is left at a steady time.
fn left(until_ms: u64) -> time::Duration {
    time::Duration::from_millis(until_ms.saturating_sub(clock::monotonic_ms()))
}

/// Connections of the entry program to backend servers.
type Pool = upstream::Pool;
