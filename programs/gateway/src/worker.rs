//! The worker program, for VMs that run work and keep no data.
//!
//! It only holds a connection to the leader, which registers the VM so that
//! operators can order its evacuation by name.

use std::sync::Arc;

use bw_relay::message;
use tokio::{sync::mpsc, task};

use crate::{dialect, link, local, settings};

/// Runs the worker program until a stop signal.
///
/// # Errors
///
/// Fails if a signal handler cannot be installed.
pub fn run(
    settings: settings::Settings,
    _dialect: Arc<dyn dialect::Dialect>,
    seeds: link::Seeds,
) -> anyhow::Result<()> {
    local::run(serve(settings, seeds))
}

async fn serve(settings: settings::Settings, seeds: link::Seeds) -> anyhow::Result<()> {
    let (sender, mut events) = mpsc::unbounded_channel();
    let node = settings.node.as_str().into();
    let address = settings.internal_address();
    let (_link, driver) = link::Link::new(node, address, message::Role::Worker, seeds, sender);
    let mut tasks = task::JoinSet::new();
    tasks.spawn_local(driver);
    tasks.spawn_local(async move { while events.recv().await.is_some() {} });
    log::info!(node = settings.node.as_str(); "worker program started");
    settings::stop_signal().await?;
    tasks.shutdown().await;
    log::info!(node = settings.node.as_str(); "worker program stopped");
    Ok(())
}
