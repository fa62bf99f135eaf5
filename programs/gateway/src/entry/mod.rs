//! The entry program: accepts callers' requests and forwards them to backend
//! servers.
//!
//! Everything runs on one thread, because an entry VM has a fraction of one core.

mod attempt;
mod confirm;
mod forward;
mod front;
mod jobs;
mod reason;
mod response;
mod state;
mod stream;
mod suspects;

use std::{net, rc::Rc, sync::Arc, time};

use bw_base::responses;
use bw_relay::message;
use http_body_util::BodyExt;
use hyper::body;
use tokio::{sync::mpsc, task};

use crate::{clock, dialect, link, local, settings, socket, upstream};

use state::State;

/// Interval between reports of the requests in flight to the leader, if they
/// changed.
const REPORT_INTERVAL: time::Duration = time::Duration::from_millis(40);
/// Least time between two reports that ask for the preemption of batch items. It
/// bounds the number of messages in a burst of requests.
const URGENT_REPORT_GAP: time::Duration = time::Duration::from_millis(10);
/// Number of unchanged reports that are skipped before one is sent anyway, as a
/// heartbeat to the leader.
const REPORTS_SKIPPED_MAX: u32 = 12;
/// Time after a stop signal in which new requests are still served: the load
/// balancer needs two failed readiness checks, one second apart, to notice. Later
/// requests might not end before the process is killed.
const DRAIN_LINGER: time::Duration = time::Duration::from_millis(2_500);
/// Retry-after time of a request that needs a leader and found none, in
/// milliseconds. Elections take up to a second.
const NO_LEADER_RETRY_MS: u64 = 700;
/// Time before the exit by which a request that came after the stop signal is answered.
/// The answer has to reach its caller.
const ANSWER_MARGIN: time::Duration = time::Duration::from_millis(100);
/// Time before the exit at which requests are answered that still run, whatever their
/// own time limit.
const LAST_ANSWER_MARGIN: time::Duration = time::Duration::from_millis(50);

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
    let (sender, events) = mpsc::unbounded_channel();
    let (link, driver) = link::Link::new(
        settings.node.as_str().into(),
        settings.internal_address(),
        message::Role::Entry,
        seeds,
        sender,
    );
    let exit_timeout = settings.exit_timeout();
    let metrics_port = settings.metrics_port;
    let ip = settings.ip;
    let state = Rc::new(State::new(settings, dialect, link));
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(driver);
    tasks.spawn_local(handle_link_events(Rc::clone(&state), events));
    tasks.spawn_local(report_loads(Rc::clone(&state)));
    tasks.spawn_local(confirm::run(Rc::clone(&state)));
    let checks = state.suspects.take_checks();
    tasks.spawn_local(suspects::check_backends(Rc::clone(&state), checks));
    tasks.spawn_local(front::serve_readiness(
        Rc::clone(&state),
        socket::listen(readiness)?,
    ));
    if let Some(port) = metrics_port {
        let address = net::SocketAddr::new(ip, port);
        tasks.spawn_local(front::serve_readiness(
            Rc::clone(&state),
            socket::listen(address)?,
        ));
    }
    tasks.spawn_local(front::serve_callers(
        Rc::clone(&state),
        socket::listen(callers)?,
    ));
    log::info!(node = state.settings.node.as_str(), callers = callers.to_string().as_str(); "entry program started");
    crate::settings::stop_signal().await?;
    drain(&state, exit_timeout).await;
    tasks.shutdown().await;
    log::info!(node = state.settings.node.as_str(); "entry program stopped");
    Ok(())
}

/// Applies the events of the link until it ends.
async fn handle_link_events(state: Rc<State>, mut events: mpsc::UnboundedReceiver<link::Event>) {
    while let Some(event) = events.recv().await {
        match event {
            link::Event::Connected => state.set_connected(true),
            link::Event::Disconnected => state.set_connected(false),
            link::Event::Update(update) => state.apply_update(update),
        }
    }
}

/// Reports the requests in flight to the leader, at once if batch items have to be
/// preempted.
async fn report_loads(state: Rc<State>) {
    let mut skipped = 0;
    loop {
        // The leader preempts batch items only once it knows of the request.
        let urgent =
            tokio::time::timeout(REPORT_INTERVAL, state.preemption_wanted.notified()).await;
        state.sweep_if_due();
        state.suspects.flush(&state.link);
        let Some(report) = state.report(skipped >= REPORTS_SKIPPED_MAX) else {
            skipped += 1;
            continue;
        };
        skipped = 0;
        state.link.notify(&message::Frame::Usage(report));
        if urgent.is_ok() {
            tokio::time::sleep(URGENT_REPORT_GAP).await;
        }
    }
}

/// Stops gracefully: fails the readiness checks, serves requests for a while
/// longer, closes connections after their responses and waits until these are with the
/// callers.
async fn drain(state: &State, timeout: time::Duration) {
    state.draining.set(true);
    state.responses.advance(responses::Stage::Stopping);
    let started = tokio::time::Instant::now();
    let exit = started + timeout;
    let answer_within = timeout.saturating_sub(ANSWER_MARGIN).as_millis() as u64;
    state
        .answer_until_ms
        .set(clock::monotonic_ms() + answer_within);
    log::info!(requests = state.responses.unfinished(), connections = state.connections.get(); "stop signal, draining");
    tokio::time::sleep(DRAIN_LINGER.min(timeout)).await;
    state.responses.advance(responses::Stage::Closing);
    let last_answer = started + timeout.saturating_sub(LAST_ANSWER_MARGIN);
    let finished = tokio::time::timeout_at(last_answer, state.responses.finished()).await;
    if finished.is_err() {
        state.responses.advance(responses::Stage::Ending);
        tokio::time::sleep_until(exit).await;
    }
    let took_ms = started.elapsed().as_millis() as u64;
    log::info!(requests = state.responses.unfinished(), after_ms = took_ms; "drained");
}

/// Returns the time from now until a time of the monotonic clock, 0 if it is past.
fn remaining(until_ms: u64) -> time::Duration {
    time::Duration::from_millis(until_ms.saturating_sub(clock::monotonic_ms()))
}

/// Waits for the next frame of a response; `None` if it does not arrive in time. After a
/// timeout of 0 there is none, even if one has already arrived: an endless response always
/// has one.
async fn next_frame<B>(
    body: &mut B,
    timeout: time::Duration,
) -> Option<Option<Result<body::Frame<B::Data>, B::Error>>>
where
    B: body::Body + Unpin,
{
    if timeout.is_zero() {
        return None;
    }
    tokio::time::timeout(timeout, body.frame()).await.ok()
}

type Pool = upstream::Pool;
