//! Runs that a former leader left behind.
//!
//! A leader that freezes, is cut off or loses power does not close its
//! connections, so backend servers go on with its runs. The next leader asks
//! them what they run, stops the runs of open items and goes on with their
//! memory.

use std::{net, rc::Rc, time};

use bw_relay::dispatch;
use bytes::Bytes;
use futures_util::future;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, StatusCode, Uri, header};

use crate::{
    clock,
    control::{hub::Hub, runner},
    dialect, metrics, upstream,
};

/// Time limit of a call to a backend server. The calls need no slot and are
/// answered within milliseconds; one that is down or cut off is passed over.
const CALL: time::Duration = time::Duration::from_millis(250);
/// Time in which all backend servers have answered or are passed over, in
/// milliseconds.
const SURVEY_MS: u64 = 300;

/// Holds items back and starts to look for runs of a former leader.
pub(crate) fn begin(hub: &Rc<Hub>) {
    let open = {
        let mut dispatch = hub.dispatch.borrow_mut();
        dispatch.hold(clock::unix_ms() + SURVEY_MS);
        dispatch.open_items()
    };
    if open > 0 {
        let survey = survey(Rc::clone(hub));
        hub.runs.borrow_mut().spawn(survey);
    }
}

async fn survey(hub: Rc<Hub>) {
    let term = hub.term();
    let began_ms = clock::steady_ms();
    let servers = hub.servers();
    let backends = servers.len();
    let calls = servers.into_iter().map(|server| ask(&hub, server));
    let surveys = future::join_all(calls).await;
    if hub.term() != term {
        return;
    }
    let surveys: Vec<_> = surveys.into_iter().flatten().collect();
    let runs: usize = surveys.iter().map(|survey| survey.runs.len()).sum();
    let actions = hub.dispatch.borrow_mut().adopt(&surveys, clock::unix_ms());
    log::info!(
        backends = backends, answered = surveys.len(), runs = runs, adopted = actions.len(),
        took_ms = clock::steady_ms().saturating_sub(began_ms);
        "looked for runs of a former leader"
    );
    runner::carry_out(&hub, actions);
}

/// Asks one backend server for its runs; `None` if it did not say.
async fn ask(hub: &Hub, server: dispatch::Server) -> Option<dispatch::Survey> {
    let (status, body) = call(hub, &server.address, hub.dialect().inspection()).await?;
    let runs = hub.dialect().runs(&body).filter(|_| status.is_success())?;
    Some(dispatch::Survey { server, runs })
}

/// Stops the run of a former leader and moves its memory to the backend server
/// where the item goes on.
pub(crate) async fn detach(hub: &Hub, start: &dispatch::Start, former: &str) -> dialect::Detached {
    let order = hub.dialect().detachment(&start.id, &start.address);
    let answer = call(hub, former, order).await;
    let status = answer.as_ref().map_or(0, |(status, _)| status.as_u16());
    let detached = match answer {
        Some((status, body)) => hub.dialect().detached(status, &body, former),
        None => dialect::Detached::Refused,
    };
    let outcome: &'static str = (&detached).into();
    log::info!(
        request = &*start.id, from = former, backend = &*start.server, status = status,
        outcome = outcome;
        "run of a former leader"
    );
    metrics::ORPHANS.with_label_values(&[outcome]).inc();
    detached
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
    *request.uri_mut() = Uri::from_static(call.path);
    *request.headers_mut() = headers;
    let exchange = async {
        let answer = hub.pool.send(to, request, true, CALL).await;
        let upstream::Answer { response, lease } = answer.ok()?;
        let status = response.status();
        let body = response.into_body().collect().await.ok()?.to_bytes();
        lease.release();
        Some((status, body))
    };
    tokio::time::timeout(CALL, exchange).await.ok()?
}
