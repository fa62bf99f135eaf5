//! Strikes against items that were in flight when a backend server crashed.

use std::sync;

use bw_policy::suspect;
use bw_wire::fingerprint;

use super::item::Server;
use crate::{context, controller, metrics};

/// Determines whether a run ended because its backend server crashed, and counts a strike
/// against the item if so.
pub(super) async fn handle_loss(
    context: &sync::Arc<context::Context>,
    server: &Server,
    run: suspect::Run,
    loss: controller::Loss,
) {
    let Server {
        backend,
        incarnation,
        address,
        ..
    } = server;
    let incarnation = *incarnation;
    let table = &context.shared.table;
    let broken = loss == controller::Loss::Broken;
    let evidence = suspect::Evidence {
        broken,
        silent: !broken,
        refused: match broken {
            true => context.upstream.refuses_connections(address).await,
            // One that does not respond may only be cut off.
            false => context.upstream.has_ended(address).await,
        },
        restarted: table.has_restarted(backend, incarnation),
        leaving: table.is_leaving(backend),
    };
    if !evidence.is_crash() {
        return keep(context, server, run, loss);
    }
    let label = if run.isolated { "yes" } else { "no" };
    metrics::STRIKES.with_label_values(&[label]).inc();
    let commands = context
        .shared
        .with_suspects(|suspects, now_ms| suspects.crashed(backend, incarnation, &[run], now_ms));
    for command in commands {
        context.events.send(controller::Event::Suspect(command));
    }
}

/// Lets the controller keep a run until it is known whether its backend server has ended: a
/// fast restart is detected only when the new incarnation announces itself.
pub(super) fn keep(
    context: &context::Context,
    server: &Server,
    run: suspect::Run,
    loss: controller::Loss,
) {
    let disconnect = controller::Disconnect {
        backend: server.backend.clone(),
        incarnation: server.incarnation,
        run,
        // The parts of items are not judged.
        parts: sync::Arc::default(),
        sent_ms: 0,
        loss,
    };
    context
        .events
        .send(controller::Event::Disconnected(disconnect));
}

/// Clears an item that completed, if it was a suspect.
pub(super) fn clear_suspect(context: &context::Context, fingerprint: fingerprint::Fingerprint) {
    let cleared = context
        .shared
        .with_suspects(|suspects, now_ms| suspects.finished(fingerprint, now_ms));
    if let Some(command) = cleared {
        context.events.send(controller::Event::Suspect(command));
    }
}
