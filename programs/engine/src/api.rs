//! The HTTP API.

use std::{future, io, panic, pin, sync, time};

use bw_base::{metrics, settings::Check as _};
use bw_wire::{backend, fingerprint, header, openai, refusal, verdict};
use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, stream};
use gotham::{handler, helpers::http::Body, hyper, state};
use http_body_util::{BodyExt, Full, Limited, StreamBody};
use hyper::{Method, StatusCode};

use crate::{answer, fault, order, record, reply, request, server};

/// Largest accepted request body.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
/// Time for a connection to write the last part of an answer before it is cut.
const CUT_PAUSE: time::Duration = time::Duration::from_millis(20);
/// Id of the other request in a crossed answer when there was no other request.
const UNRELATED_ID: &str = "unrelated-request";

/// Creates a call of the API for each request.
pub struct Api(sync::Arc<sync::OnceLock<sync::Arc<server::Server>>>);

impl Api {
    /// Creates the API of a server that is set before the first request.
    pub fn new(server: sync::Arc<sync::OnceLock<sync::Arc<server::Server>>>) -> Api {
        Api(server)
    }
}

// The shared state is behind mutexes whose data stays usable after a panic.
impl panic::RefUnwindSafe for Api {}

impl handler::NewHandler for Api {
    type Instance = Call;

    fn new_handler(&self) -> gotham::anyhow::Result<Call> {
        let server = self.0.get().cloned();
        server
            .map(Call)
            .ok_or_else(|| gotham::anyhow::anyhow!("the server is starting"))
    }
}

/// One call of the API.
pub struct Call(sync::Arc<server::Server>);

impl handler::Handler for Call {
    fn handle(self, mut state: state::State) -> pin::Pin<Box<handler::HandlerFuture>> {
        let call = Incoming {
            method: state.take::<Method>(),
            path: state.take::<hyper::Uri>().path().to_owned(),
            headers: state.take::<hyper::HeaderMap>(),
            body: state.take::<Body>(),
        };
        async move {
            let response = respond(self.0, call).await;
            Ok((state, response))
        }
        .boxed()
    }
}

struct Incoming {
    method: Method,
    path: String,
    headers: hyper::HeaderMap,
    body: Body,
}

impl Incoming {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }

    fn request_id(&self) -> String {
        self.header(header::REQUEST_ID).unwrap_or("").to_owned()
    }
}

type Response = hyper::Response<Body>;

async fn respond(server: sync::Arc<server::Server>, call: Incoming) -> Response {
    if call.path.starts_with("/debug/") {
        return debug(&server, call).await;
    }
    let delay = time::Duration::from_micros(2 * server.settings.one_way_delay_us);
    if !delay.is_zero() {
        // Both directions at once: where the delay falls makes no difference to
        // when the caller sees the answer.
        tokio::time::sleep(delay).await;
    }
    server.thawed().await;
    let request_id = call.request_id();
    let mut response = match (&call.method, call.path.as_str()) {
        (&Method::GET, "/healthz") => healthz(&server),
        (&Method::GET, "/readyz") => readyz(&server),
        (&Method::GET, "/metrics") => text(StatusCode::OK, metrics::render()),
        (&Method::POST, backend::ORDERS_PATH) => orders(&server, call).await,
        _ => match server.settings.kind {
            backend::Kind::Engine => engine(&server, call).await,
            backend::Kind::Service => service(&server, call).await,
        },
    };
    // A crossed answer has set the id of another request.
    if !response.headers().contains_key(header::REQUEST_ID) {
        set_header(&mut response, header::REQUEST_ID, &request_id);
    }
    response
}

fn healthz(server: &server::Server) -> Response {
    match server.condition().state {
        backend::State::Leaving => text(StatusCode::SERVICE_UNAVAILABLE, "leaving\n".to_owned()),
        _ => text(StatusCode::OK, "ok\n".to_owned()),
    }
}

fn readyz(server: &server::Server) -> Response {
    let state = server.condition().state;
    let status = match state {
        backend::State::Ready => StatusCode::OK,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    text(status, format!("{state}\n"))
}

async fn orders(server: &sync::Arc<server::Server>, call: Incoming) -> Response {
    let body = match read(call.body).await {
        Ok(body) => body,
        Err(refused) => return refuse(&refused),
    };
    match serde_json::from_slice::<backend::Order>(&body) {
        Ok(order) => {
            let status = order::take(server, order);
            let fence = server.condition().fence;
            json(status, &serde_json::json!({ "fence": fence }))
        }
        Err(error) => refuse(&invalid_json(&error)),
    }
}

async fn engine(server: &sync::Arc<server::Server>, call: Incoming) -> Response {
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/v1/models") => models(server),
        (&Method::POST, "/v1/chat/completions") => complete(server, call, request::Path::Chat)
            .await
            .unwrap_or_else(|refused| refuse(&refused)),
        (&Method::POST, "/v1/completions") => complete(server, call, request::Path::Text)
            .await
            .unwrap_or_else(|refused| refuse(&refused)),
        _ => refuse(&refusal::Refusal::not_run(
            refusal::Reason::NotFound,
            format!("{} {} does not exist", call.method, call.path),
        )),
    }
}

fn models(server: &server::Server) -> Response {
    let condition = server.condition();
    let data = condition
        .loaded
        .iter()
        .map(|loaded| openai::Model {
            id: loaded.model.clone(),
            object: "model".to_owned(),
            created: 0,
            owned_by: "bilberrywind".to_owned(),
        })
        .collect();
    let list = openai::List {
        object: "list".to_owned(),
        data,
        first_id: None,
        last_id: None,
        has_more: false,
    };
    json(StatusCode::OK, &list)
}

async fn complete(
    server: &sync::Arc<server::Server>,
    mut call: Incoming,
    path: request::Path,
) -> Result<Response, refusal::Refusal> {
    server.record().received();
    server.admit()?;
    let bytes = read(std::mem::take(&mut call.body)).await?;
    let body: serde_json::Value =
        serde_json::from_slice(&bytes).map_err(|error| invalid_json(&error))?;
    let resumed = call.headers.get(header::RESUME_TOKENS);
    let request = request::Request::parse(path, &body, resumed)?;
    if !server.has_model(&request.model) {
        return Err(refusal::Refusal::not_run(
            refusal::Reason::ModelNotFound,
            format!("model {} is not loaded", request.model),
        )
        .param("model"));
    }
    // The state may have changed while the body arrived.
    server.admit()?;
    let accepted = server.submit(&request)?;
    let execution = server.record().begin(execution(
        &call,
        fingerprint::Fingerprint::of_request(&body),
        fingerprint::Fingerprint::of_bytes(request.prompt.as_bytes()),
        request.resume_tokens,
    ));
    let run = answer::Run::new(server, request.clone(), accepted, execution);
    if server.faults().crashes(&request.prompt) {
        return Ok(crash(server).await);
    }
    let faults = server.faults().next_answer();
    answer::delay(&faults).await;
    Ok(completion(server, &request, run, faults, call.request_id()).await)
}

async fn completion(
    server: &server::Server,
    request: &request::Request,
    run: answer::Run,
    faults: fault::Answer,
    request_id: String,
) -> Response {
    let previous = server.swap_previous(server::Previous {
        request_id: request_id.clone(),
        answer: request.answer,
    });
    let mut carried = server::Previous {
        request_id,
        answer: request.answer,
    };
    if faults.crossed {
        let other = previous.filter(|previous| previous.request_id != carried.request_id);
        carried = other.unwrap_or_else(|| server::Previous {
            request_id: UNRELATED_ID.to_owned(),
            answer: crate::text::Answer::new(&request.model, UNRELATED_ID, None, false),
        });
    }
    let created = server::unix_ms() / 1_000;
    let writer = reply::Writer::new(request.path, &carried.request_id, &request.model, created);
    let content = answer::Content {
        writer,
        answer: carried.answer,
        faults,
    };
    let mut response = if request.stream {
        let events = answer::events(run, content);
        let mut response = streamed(events);
        set_header(&mut response, "content-type", "text/event-stream");
        set_header(&mut response, "cache-control", "no-cache");
        response
    } else {
        let parts = answer::whole(run, content).await;
        let mut response = streamed(stream::iter(parts));
        set_header(&mut response, "content-type", "application/json");
        response
    };
    set_header(&mut response, header::REQUEST_ID, &carried.request_id);
    response
}

/// Runs a plain service call, which echoes the request's body.
async fn service(server: &sync::Arc<server::Server>, mut call: Incoming) -> Response {
    server.record().received();
    if let Err(refused) = server.admit() {
        return refuse(&refused);
    }
    let body = match read(std::mem::take(&mut call.body)).await {
        Ok(body) => body,
        Err(refused) => return refuse(&refused),
    };
    if let Err(refused) = server.admit() {
        return refuse(&refused);
    }
    let active = server.activate();
    let fingerprint = fingerprint::Fingerprint::of_bytes(&body);
    let execution = server
        .record()
        .begin(execution(&call, fingerprint, fingerprint, 0));
    let (crashes, mut faults, slow_factor) = {
        let mut faults = server.faults();
        let crashes = faults.crashes(&String::from_utf8_lossy(&body));
        (crashes, faults.next_answer(), faults.slow_factor)
    };
    if crashes {
        return crash(server).await;
    }
    let work = time::Duration::from_millis(server.settings.work_ms).mul_f64(slow_factor);
    let worker = sync::Arc::clone(server);
    // The work goes on when the caller is gone: a plain service cannot undo it.
    let done = tokio::spawn(async move {
        tokio::time::sleep(work).await;
        worker.record().update(execution, |execution| {
            execution.outcome = record::Outcome::Finished;
        });
        drop(active);
    });
    // The task neither panics nor is aborted while the server runs.
    let _ = done.await;
    answer::delay(&faults).await;
    let mut parts = vec![Ok(body.clone())];
    if faults.cut_after_tokens.is_some() {
        let half = body.slice(..body.len() / 2);
        let error = io::Error::new(
            io::ErrorKind::ConnectionAborted,
            "cut off by a fault switch",
        );
        parts = vec![Ok(half), Err(error)];
        faults.duplicate = false;
    }
    if faults.duplicate {
        parts.push(Ok(body));
    }
    let mut response = streamed(stream::iter(parts));
    let content_type = call
        .header("content-type")
        .unwrap_or("application/octet-stream");
    set_header(&mut response, "content-type", content_type);
    if faults.crossed {
        set_header(&mut response, header::REQUEST_ID, UNRELATED_ID);
    }
    response
}

/// Ends the server as a crash would; the answer never comes.
async fn crash(server: &server::Server) -> Response {
    log::warn!("a request contains the crash marker, the server ends");
    server.crash.notify_one();
    future::pending().await
}

fn execution(
    call: &Incoming,
    fingerprint: fingerprint::Fingerprint,
    prompt: fingerprint::Fingerprint,
    resumed_tokens: u32,
) -> record::Execution {
    record::Execution {
        number: 0,
        request_id: call.request_id(),
        key: call.header(header::IDEMPOTENCY_KEY).map(str::to_owned),
        class: call.header(header::CLASS).map(str::to_owned),
        path: call.path.clone(),
        fingerprint,
        prompt,
        resumed_tokens,
        cached_tokens: 0,
        tokens: resumed_tokens,
        outcome: record::Outcome::Running,
    }
}

async fn debug(server: &sync::Arc<server::Server>, call: Incoming) -> Response {
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/debug/executions") => json(StatusCode::OK, server.record().executions()),
        (&Method::GET, "/debug/orders") => json(StatusCode::OK, server.record().orders()),
        (&Method::GET, "/debug/faults") => json(StatusCode::OK, &*server.faults()),
        (&Method::GET, "/debug/load") => json(StatusCode::OK, &server.load()),
        (&Method::POST, "/debug/faults") => switch_faults(server, call.body).await,
        _ => refuse(&refusal::Refusal::not_run(
            refusal::Reason::NotFound,
            format!("{} {} does not exist", call.method, call.path),
        )),
    }
}

/// Replaces all faults by the given ones; fields that are left out are off.
async fn switch_faults(server: &server::Server, body: Body) -> Response {
    let body = match read(body).await {
        Ok(body) => body,
        Err(refused) => return refuse(&refused),
    };
    let faults: fault::Faults = match serde_json::from_slice(&body) {
        Ok(faults) => faults,
        Err(error) => return refuse(&invalid_json(&error)),
    };
    let mut report = bw_base::settings::Report::default();
    faults.check(&mut report);
    if let Some(problem) = report.problems().first() {
        let message = format!("{}: {}", problem.field, problem.reason);
        let refused = refusal::Refusal::not_run(refusal::Reason::InvalidField, message);
        return refuse(&refused.param(&problem.field));
    }
    log::info!("faults switched: {faults:?}");
    server.set_faults(faults.clone());
    json(StatusCode::OK, &faults)
}

async fn read(body: Body) -> Result<Bytes, refusal::Refusal> {
    match Limited::new(body, BODY_LIMIT_BYTES).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(error) => Err(refusal::Refusal::not_run(
            refusal::Reason::BodyTooLarge,
            format!("the body could not be read: {error}"),
        )),
    }
}

fn invalid_json(error: &serde_json::Error) -> refusal::Refusal {
    refusal::Refusal::not_run(refusal::Reason::InvalidJson, error.to_string())
}

fn refuse(refused: &refusal::Refusal) -> Response {
    let status = StatusCode::from_u16(refused.reason.status());
    let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json(status, &refused.body());
    let name: &'static str = refused.verdict.into();
    debug_assert!(refused.verdict == verdict::Verdict::NotRun);
    set_header(&mut response, header::VERDICT, name);
    if let Some(seconds) = refused.retry_after_s {
        set_header(&mut response, "retry-after", &seconds.to_string());
    }
    response
}

fn json<T: serde::Serialize>(status: StatusCode, value: &T) -> Response {
    // All values are plain data, which always serializes.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = whole(status, Bytes::from(body));
    set_header(&mut response, "content-type", "application/json");
    response
}

fn text(status: StatusCode, body: String) -> Response {
    let mut response = whole(status, Bytes::from(body));
    set_header(&mut response, "content-type", "text/plain; charset=utf-8");
    response
}

fn whole(status: StatusCode, body: Bytes) -> Response {
    let body = Full::new(body).map_err(|never| match never {});
    let mut response = hyper::Response::new(Body::new(body));
    *response.status_mut() = status;
    response
}

fn streamed<S>(parts: S) -> Response
where
    S: futures_util::Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    let frames = parts.then(|part| async {
        if part.is_err() {
            // An error drops what the connection has not written yet.
            tokio::time::sleep(CUT_PAUSE).await;
        }
        part.map(hyper::body::Frame::data)
    });
    hyper::Response::new(Body::new(StreamBody::new(frames)))
}

fn set_header(response: &mut Response, name: &'static str, value: &str) {
    // A value that came from a caller's header is valid again.
    if let Ok(value) = hyper::header::HeaderValue::from_str(value) {
        response
            .headers_mut()
            .insert(hyper::header::HeaderName::from_static(name), value);
    }
}
