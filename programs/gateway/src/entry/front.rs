//! The listeners of the entry program.

use std::{convert, rc::Rc, time};

use bw_base::responses;
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body, header, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, task};

use crate::{
    entry::{forward, reason::Reason, response, state::State},
    metrics, socket,
};

/// Timeout of a request's headers while no configuration is known.
const HEADER_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Largest size of a request's headers in bytes while no configuration is known,
/// and the smallest limit that the HTTP library accepts.
const HEADER_BYTES_DEFAULT: usize = 16 << 10;
/// Space for the request line in addition to the headers, in bytes.
const REQUEST_LINE_BYTES: usize = 4 << 10;

/// Serves callers. Stops accepting connections shortly before the process exits,
/// because requests on them might be cut off.
pub(crate) async fn serve_callers(state: Rc<State>, listener: net::TcpListener) {
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = tokio::select! {
            stream = socket::accept(&listener) => stream,
            () = state.responses.reached(responses::Stage::Closing) => break,
        };
        let state = Rc::clone(&state);
        connections.spawn_local(async move {
            state.connections.set(state.connections.get() + 1);
            handle_connection(Rc::clone(&state), stream).await;
            state.connections.set(state.connections.get() - 1);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn handle_connection(state: Rc<State>, stream: net::TcpStream) {
    let limits = state.routing().map(|routing| routing.limits);
    // The HTTP library applies the header timeout to the wait for the next request
    // too, so it is the longer one of the header and the idle timeout.
    let timeout = limits.map_or(HEADER_TIMEOUT, |limits| {
        time::Duration::from_millis(limits.idle_ms.max(limits.header_ms))
    });
    let bytes = limits.map_or(HEADER_BYTES_DEFAULT, |limits| {
        limits.header_bytes.max(HEADER_BYTES_DEFAULT)
    });
    let responses = state.responses.clone();
    let service = service::service_fn(move |request| {
        let state = Rc::clone(&state);
        async move { Ok::<_, convert::Infallible>(handle(state, request).await) }
    });
    let mut http = http1::Builder::new();
    http.timer(rt::TokioTimer::new())
        .header_read_timeout(timeout)
        .max_buf_size(bytes + REQUEST_LINE_BYTES);
    if let Err(error) = responses.serve(http, stream, service).await {
        log::debug!("connection of a caller failed: {error}");
    }
}

async fn handle(state: Rc<State>, request: Request<body::Incoming>) -> response::Response {
    let started = time::Instant::now();
    let active = Active::new(&state);
    let id = forward::header_text(request.headers(), &state.dialect.headers().request_id);
    let id = id.to_owned();
    let mut response = tokio::select! {
        biased;
        response = forward::handle(&state, request, active) => response,
        () = state.responses.reached(responses::Stage::Ending) => refuse_unfinished(&id),
    };
    if state.draining.get() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    let status = response.status();
    metrics::REQUESTS
        .with_label_values(&[status.as_str()])
        .inc();
    let labels: [&str; 0] = [];
    let first = metrics::FIRST_BYTE.with_label_values(&labels);
    first.observe(started.elapsed().as_secs_f64());
    response
}

/// Answers a request that still runs when the process ends, whose outcome is unknown.
fn refuse_unfinished(id: &str) -> response::Response {
    let reason = Reason::Stopping.name();
    log::warn!(request = id, reason = reason, verdict = "may_have_run"; "failed");
    metrics::REFUSALS.with_label_values(&[reason]).inc();
    response::plain(StatusCode::GATEWAY_TIMEOUT, reason)
}

/// Counts a request as active until dropped.
pub(crate) struct Active(Rc<State>);

impl Active {
    fn new(state: &Rc<State>) -> Active {
        state.active_requests.set(state.active_requests.get() + 1);
        Active(Rc::clone(state))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active_requests.set(self.0.active_requests.get() - 1);
    }
}

/// Serves the readiness checks of the load balancer, and metrics.
pub(crate) async fn serve_readiness(state: Rc<State>, listener: net::TcpListener) {
    let responses = state.responses.clone();
    let handle = move |request| {
        let response = handle_readiness(&state, &request);
        async move { response }
    };
    socket::serve_http(listener, HEADER_TIMEOUT, responses, handle).await;
}

fn handle_readiness(state: &State, request: &Request<body::Incoming>) -> Response<Full<Bytes>> {
    let (status, text) = match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => (StatusCode::OK, bw_base::metrics::render()),
        (&Method::GET, _) if state.is_ready() => (StatusCode::OK, "ready\n".to_owned()),
        (&Method::GET, _) => (StatusCode::SERVICE_UNAVAILABLE, "not ready\n".to_owned()),
        _ => (StatusCode::METHOD_NOT_ALLOWED, "use GET\n".to_owned()),
    };
    let mut response = Response::new(Full::new(Bytes::from(text)));
    *response.status_mut() = status;
    response
}
