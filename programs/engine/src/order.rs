//! Orders from the control leader.

use std::{sync, time};

use bw_wire::backend;
use gotham::hyper;

use crate::server;

/// Obeys or refuses an order, records it and returns the status of the answer.
///
/// A server that checks fencing refuses an order whose fencing number is lower
/// than the highest one it obeyed, or equal to it with another action. The same
/// order again is answered as before without a second effect.
pub fn take(server: &sync::Arc<server::Server>, order: backend::Order) -> hyper::StatusCode {
    let checks = server.settings.checks_fencing && !server.faults().ignore_fencing;
    let mut condition = server.condition();
    let repeated = condition.last_order.as_ref() == Some(&order);
    let status = if checks && !repeated && order.fence <= condition.fence {
        hyper::StatusCode::CONFLICT
    } else {
        hyper::StatusCode::OK
    };
    let obeys = status == hyper::StatusCode::OK && !repeated;
    if obeys {
        condition.fence = condition.fence.max(order.fence);
        condition.last_order = Some(order.clone());
    }
    drop(condition);
    if obeys {
        obey(server, &order.action);
    }
    server.record().order(order, status.as_u16());
    status
}

fn obey(server: &sync::Arc<server::Server>, action: &backend::Action) {
    match action {
        backend::Action::Load {
            model,
            version,
            adapters,
        } => {
            let loaded = backend::Loaded {
                model: model.clone(),
                version: version.clone(),
                adapters: adapters.clone(),
            };
            load(server, loaded);
        }
        backend::Action::Unload { model } => {
            server
                .condition()
                .loaded
                .retain(|loaded| loaded.model != *model);
            server.announce.notify_one();
        }
        backend::Action::Leave => server.leave(),
    }
}

/// Loads a model in place of what is loaded, after the time that its size takes.
fn load(server: &sync::Arc<server::Server>, loaded: backend::Loaded) {
    let mut condition = server.condition();
    if condition.state == backend::State::Leaving {
        return;
    }
    condition.state = backend::State::Loading;
    condition.loaded.clear();
    condition.loads += 1;
    let load = condition.loads;
    drop(condition);
    server.announce.notify_one();
    let duration = time::Duration::from_millis(server.settings.weights.load_ms(&loaded.model));
    let server = sync::Arc::clone(server);
    // The runtime of the server ends this task at the latest.
    tokio::spawn(async move {
        tokio::time::sleep(duration).await;
        let mut condition = server.condition();
        let current = condition.loads == load && condition.state == backend::State::Loading;
        if current {
            condition.loaded = vec![loaded];
            condition.state = backend::State::Ready;
        }
        drop(condition);
        if current {
            server.announce.notify_one();
        }
    });
}
