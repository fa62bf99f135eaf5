//! Orphaned runs, which a former leader left behind.
//!
//! A leader that freezes, is cut off or loses power does not close its connections,
//! so backend servers continue its runs. The next leader lists the runs of all
//! backend servers, stops those of open items and resumes them from their KV cache.

use std::{collections::VecDeque, net, rc::Rc, time};

use bw_relay::{dispatch, suspect};
use bw_wire::name::Name;
use bytes::Bytes;
use futures_util::future;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{HeaderMap, Request, StatusCode, Uri, header};

use crate::{
    clock,
    control::{hub::Hub, runner},
    dialect, metrics, upstream,
};

/// Timeout of a call to a backend server. The calls need no slot and take a few
/// milliseconds; a backend server that is down or cut off is skipped.
const CALL_TIMEOUT: time::Duration = time::Duration::from_millis(250);
/// Largest response to such a call in bytes. A run takes less than 100 bytes, and
/// all backend servers are called at once.
const RESPONSE_BYTES_MAX: usize = 32 << 10;
/// Pause after no slot was found for a run. At peak load, a slot becomes free in a
/// fleet every few milliseconds.
const REFUSED_PAUSE: time::Duration = time::Duration::from_millis(10);
/// Backend servers that are tried as targets for the KV cache of one run.
const EVICTION_TARGETS_MAX: usize = 3;
/// Time within which all backend servers have responded or are skipped, in
/// milliseconds.
const SURVEY_TIMEOUT_MS: u64 = 300;

/// Holds the dispatch of items back and starts to search for runs of a former leader.
pub(crate) fn start(hub: &Rc<Hub>) {
    let open = {
        let mut dispatch = hub.dispatch.borrow_mut();
        dispatch.defer_starts(hub.unix_ms() + SURVEY_TIMEOUT_MS);
        dispatch.open_items()
    };
    if open > 0 && hub.settings().dispatch.adopt {
        let survey = survey(Rc::clone(hub));
        hub.runs.borrow_mut().spawn(survey);
    }
}

/// Lists the runs of all backend servers, resumes those for which there is a free slot
/// elsewhere, and evicts the others.
async fn survey(hub: Rc<Hub>) {
    let term = hub.term();
    let began_ms = clock::monotonic_ms();
    let servers = hub.ready_servers();
    let backends = servers.len();
    let calls = servers.into_iter().map(|server| fetch_runs(&hub, server));
    let surveys = future::join_all(calls).await;
    if hub.term() != term {
        return;
    }
    let surveys: Vec<_> = surveys.into_iter().flatten().collect();
    let runs: usize = surveys.iter().map(|survey| survey.runs.len()).sum();
    let running = surveys.iter().map(|survey| {
        let id = &survey.server.id;
        suspect::Incarnation::new(id, hub.backend_started_ms(id))
    });
    hub.end_abandoned_trials(running.collect());
    let routes = Rc::clone(&hub.routes.borrow());
    let adoption = hub
        .dispatch
        .borrow_mut()
        .adopt(&surveys, &routes, hub.unix_ms());
    log::info!(
        backends = backends, answered = surveys.len(), runs = runs, adopted = adoption.starts.len(),
        evicted = adoption.evictions.len(), took_ms = clock::monotonic_ms().saturating_sub(began_ms);
        "searched for runs of a former leader"
    );
    runner::execute(&hub, adoption.starts);
    evict(&hub, adoption.evictions, adoption.targets).await;
}

/// Stops runs that are not resumed elsewhere. A KV cache can be moved only to a
/// backend server with a free slot, so each run moves to the slot that the one before
/// has left, and the moved KV cache is freed at once.
async fn evict(hub: &Hub, evictions: Vec<dispatch::Eviction>, targets: Vec<Name>) {
    let term = hub.term();
    let until_ms = clock::monotonic_ms() + dispatch::EVICTION_MS;
    let mut targets: VecDeque<Name> = targets.into();
    let mut waiting: VecDeque<dispatch::Eviction> = evictions.into();
    let mut refused = 0;
    // The next leader's runs have the same ids and must not be stopped.
    while hub.term() == term && refused < waiting.len() && clock::monotonic_ms() < until_ms {
        let Some(eviction) = waiting.pop_front() else {
            return;
        };
        if evict_run(hub, &eviction, &targets).await {
            targets.retain(|target| *target != eviction.from);
            targets.push_front(eviction.from);
            refused = 0;
        } else {
            waiting.push_back(eviction);
            refused += 1;
            tokio::time::sleep(REFUSED_PAUSE).await;
        }
    }
    if !waiting.is_empty() {
        log::warn!(runs = waiting.len(); "could not stop all runs of a former leader");
    }
}

/// Stops one run. Returns whether it has left its slot.
async fn evict_run(hub: &Hub, eviction: &dispatch::Eviction, targets: &VecDeque<Name>) -> bool {
    let others = targets.iter().filter(|target| **target != eviction.from);
    for to in others.take(EVICTION_TARGETS_MAX) {
        match migrate(hub, &eviction.id, &eviction.from, to).await {
            dialect::Migration::Moved(source) => {
                call(hub, &eviction.from, hub.dialect().release_kv(&source)).await;
                return true;
            }
            dialect::Migration::Stopped | dialect::Migration::Gone => return true,
            dialect::Migration::Refused => {}
        }
    }
    false
}

/// Lists the runs of one backend server; `None` if the call failed.
async fn fetch_runs(hub: &Hub, server: dispatch::Server) -> Option<dispatch::Survey> {
    let (status, body) = call(hub, &server.address, hub.dialect().list_runs()).await?;
    let runs = hub
        .dialect()
        .decode_runs(&body)
        .filter(|_| status.is_success())?;
    Some(dispatch::Survey { server, runs })
}

/// Stops a run of a former leader and moves its KV cache to another backend server.
pub(crate) async fn migrate(hub: &Hub, id: &str, from: &str, to: &str) -> dialect::Migration {
    let response = call(hub, from, hub.dialect().migrate(id, to)).await;
    let status = response.as_ref().map_or(0, |(status, _)| status.as_u16());
    let migration = match response {
        Some((status, body)) => hub.dialect().decode_migration(status, &body, from),
        None => dialect::Migration::Refused,
    };
    let outcome: &'static str = (&migration).into();
    log::info!(
        request = id, from = from, to = to, status = status, outcome = outcome;
        "migration of a run of a former leader"
    );
    metrics::ORPHANED_RUNS.with_label_values(&[outcome]).inc();
    migration
}

async fn call(hub: &Hub, address: &str, call: dialect::Call) -> Option<(StatusCode, Bytes)> {
    let to: net::SocketAddr = address.parse().ok()?;
    let mut headers = HeaderMap::new();
    let host = header::HeaderValue::try_from(address).ok()?;
    headers.insert(header::HOST, host);
    if !call.body.is_empty() {
        let json = header::HeaderValue::from_static("application/json");
        headers.insert(header::CONTENT_TYPE, json);
    }
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse::<Uri>().ok()?;
    *request.headers_mut() = headers;
    let exchange = async {
        let response = hub.pool.send(to, request, true, CALL_TIMEOUT).await;
        let upstream::Exchange {
            response, lease, ..
        } = response.ok()?;
        let status = response.status();
        let body = Limited::new(response.into_body(), RESPONSE_BYTES_MAX);
        let body = body.collect().await.ok()?.to_bytes();
        lease.release();
        Some((status, body))
    };
    tokio::time::timeout(CALL_TIMEOUT, exchange).await.ok()?
}
