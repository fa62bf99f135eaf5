//! The control program: one replica of the ledger, the hub to which entry VMs,
//! operators and backend servers connect, and the leader's runner of batch items.
//!
//! The control thread owns the replicated log and its disk; everything else runs on
//! the network thread.

mod api;
mod effect;
mod evacuation;
mod hub;
mod identity;
mod item;
mod members;
mod orphan;
mod peers;
mod queue;
mod replica;
mod runner;
mod sessions;

use std::{rc::Rc, sync::Arc, thread, time};

use bw_base::responses;
use bw_relay::message;
use tokio::{sync::mpsc, task};

use crate::{dialect, link, local, settings, socket};

/// How long a stop waits for another replica to become the leader.
const TRANSFER_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);
/// How long a stop waits for another replica to take over the vote.
const RESIGN_TIMEOUT: time::Duration = time::Duration::from_millis(1_500);

/// Runs the control program until a stop signal.
///
/// # Errors
///
/// Fails if an address cannot be bound or a signal handler cannot be installed.
pub fn run(
    settings: settings::Settings,
    dialect: Arc<dyn dialect::Dialect>,
    seeds: link::Seeds,
) -> anyhow::Result<()> {
    let (notices, notice_queue) = mpsc::unbounded_channel();
    let (calls, call_queue) = std::sync::mpsc::channel();
    let replica = replica::Replica::new(&settings, notices)?;
    let control = thread::Builder::new()
        .name("control".to_owned())
        .spawn(move || replica.run(&call_queue))?;
    let context = hub::Context {
        settings,
        dialect,
        calls: calls.clone(),
    };
    let result = local::run(serve(context, seeds, notice_queue));
    // The control thread may have ended by itself, for example after a disk failure.
    let _ = calls.send(replica::Call::Stop);
    if control.join().is_err() {
        log::error!("the control thread panicked");
    }
    result
}

async fn serve(
    context: hub::Context,
    seeds: link::Seeds,
    notices: mpsc::UnboundedReceiver<replica::Notice>,
) -> anyhow::Result<()> {
    let settings = context.settings.clone();
    let operators = settings
        .operators
        .ok_or_else(|| anyhow::anyhow!("operators is not set"))?;
    let (sender, events) = mpsc::unbounded_channel();
    let (link, driver) = link::Link::new(
        settings.node.as_str().into(),
        settings.internal_address(),
        message::Role::Control,
        seeds,
        sender,
    );
    let hub = Rc::new(hub::Hub::new(context, link));
    let responses = responses::Responses::default();
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(driver);
    tasks.spawn_local(hub::handle_link_events(Rc::clone(&hub), events));
    tasks.spawn_local(hub::handle_notices(Rc::clone(&hub), notices));
    tasks.spawn_local(hub::run_periodic_work(Rc::clone(&hub)));
    tasks.spawn_local(hub::send_heartbeats(Rc::clone(&hub)));
    tasks.spawn_local(queue::watch(Rc::clone(&hub)));
    tasks.spawn_local(members::join(Rc::clone(&hub)));
    tasks.spawn_local(members::keep_voters(Rc::clone(&hub)));
    tasks.spawn_local(evacuation::run(Rc::clone(&hub)));
    tasks.spawn_local(sessions::listen(
        Rc::clone(&hub),
        socket::listen(settings.internal_address())?,
    ));
    tasks.spawn_local(api::serve(
        Rc::clone(&hub),
        responses.clone(),
        socket::listen(operators)?,
    ));
    if let Some(port) = settings.metrics_port {
        let address = std::net::SocketAddr::new(settings.ip, port);
        tasks.spawn_local(api::serve(
            Rc::clone(&hub),
            responses.clone(),
            socket::listen(address)?,
        ));
    }
    log::info!(node = settings.node.as_str(), operators = operators.to_string().as_str(); "control program started");
    settings::stop_signal().await?;
    log::info!("stop signal");
    let exit = tokio::time::Instant::now() + settings.exit_timeout();
    responses.advance(responses::Stage::Stopping);
    hub.transfer_leadership(TRANSFER_TIMEOUT).await;
    members::resign(&hub, RESIGN_TIMEOUT).await;
    responses.advance(responses::Stage::Closing);
    // The calls need the other tasks.
    if tokio::time::timeout_at(exit, responses.finished())
        .await
        .is_err()
    {
        log::warn!(responses = responses.unfinished(); "responses are cut off at the end of the grace");
    }
    tasks.shutdown().await;
    log::info!(node = settings.node.as_str(); "control program stopped");
    Ok(())
}
