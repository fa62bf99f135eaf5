//! Strikes against items that were in flight when a backend server crashed.

use std::sync;

use bw_policy::suspect;
use bw_wire::{fingerprint, name};

use crate::{context, controller, metrics};

/// Finds out whether a backend server to which the connection broke has
/// crashed, and counts a strike against the item if so.
pub(super) async fn broken(
    context: &sync::Arc<context::Context>,
    backend: &name::Name,
    incarnation: u64,
    address: &name::Name,
    flight: suspect::Run,
) {
    let table = &context.shared.table;
    let evidence = suspect::Evidence {
        broken: true,
        refused: context.upstream.refuses(address).await,
        restarted: table.has_restarted(backend, incarnation),
        leaving: table.is_leaving(backend),
    };
    if !evidence.is_crash() {
        // A fast restart shows only when the new incarnation announces itself.
        let disconnect = controller::Disconnect {
            backend: backend.clone(),
            incarnation,
            run: flight,
        };
        context
            .events
            .send(controller::Event::Disconnected(disconnect));
        return;
    }
    let label = if flight.isolated { "yes" } else { "no" };
    metrics::STRIKES.with_label_values(&[label]).inc();
    let commands = context.shared.with_suspects(|suspects, now_ms| {
        suspects.crashed(backend, incarnation, &[flight], now_ms)
    });
    for command in commands {
        context.events.send(controller::Event::Suspect(command));
    }
}

/// Clears an item that finished, if it was a suspect.
pub(super) fn finished(context: &context::Context, fingerprint: fingerprint::Fingerprint) {
    let cleared = context
        .shared
        .with_suspects(|suspects, now_ms| suspects.finished(fingerprint, now_ms));
    if let Some(command) = cleared {
        context.events.send(controller::Event::Suspect(command));
    }
}
