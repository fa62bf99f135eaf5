//! The listeners of the entry program.

use std::{convert, rc::Rc, time};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, StatusCode, body, header, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, task};

use crate::{
    entry::{answer, forward, state::State},
    metrics, socket,
};

/// Time limit of a request's headers before a configuration is known.
const HEADER: time::Duration = time::Duration::from_secs(10);
/// Size of a request's headers before a configuration is known, and the least
/// that the HTTP library accepts, in bytes.
const HEADER_BYTES: usize = 16 << 10;
/// Room for the request line beside the headers, in bytes.
const LINE_BYTES: usize = 4 << 10;

/// Serves callers, and takes no new connections once the process is about to
/// end: requests on them might be cut off.
pub(crate) async fn callers(state: Rc<State>, listener: net::TcpListener) {
    let mut closing = state.closing.subscribe();
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = tokio::select! {
            stream = socket::accept(&listener) => stream,
            // The sender lives as long as the process.
            _ = closing.wait_for(|closing| *closing) => break,
        };
        let state = Rc::clone(&state);
        connections.spawn_local(async move {
            state.connections.set(state.connections.get() + 1);
            connection(Rc::clone(&state), stream).await;
            state.connections.set(state.connections.get() - 1);
        });
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

async fn connection(state: Rc<State>, stream: net::TcpStream) {
    let limits = state.routing().map(|routing| routing.limits);
    // The HTTP library counts the wait for the next request as part of its
    // headers, so the limit is the longer one of the two.
    let timeout = limits.map_or(HEADER, |limits| {
        time::Duration::from_millis(limits.idle_ms.max(limits.header_ms))
    });
    let bytes = limits.map_or(HEADER_BYTES, |limits| limits.header_bytes.max(HEADER_BYTES));
    let mut closing = state.closing.subscribe();
    let service = service::service_fn(move |request| {
        let state = Rc::clone(&state);
        async move { Ok::<_, convert::Infallible>(handle(state, request).await) }
    });
    let serving = http1::Builder::new()
        .timer(rt::TokioTimer::new())
        .header_read_timeout(timeout)
        .max_buf_size(bytes + LINE_BYTES)
        .serve_connection(rt::TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let result = tokio::select! {
        result = &mut serving => result,
        // The sender lives as long as the process.
        _ = closing.wait_for(|closing| *closing) => {
            // Closes an idle connection, and a busy one after its answer.
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection of a caller ended: {error}");
    }
}

async fn handle(state: Rc<State>, request: Request<body::Incoming>) -> answer::Answer {
    let started = time::Instant::now();
    let active = Active::new(&state);
    let mut response = forward::handle(&state, request, active).await;
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

/// Counts a request as running until it is dropped.
pub(crate) struct Active(Rc<State>);

impl Active {
    fn new(state: &Rc<State>) -> Active {
        state.active.set(state.active.get() + 1);
        Active(Rc::clone(state))
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.set(self.0.active.get() - 1);
    }
}

/// Serves readiness checks and metrics.
pub(crate) async fn readiness(state: Rc<State>, listener: net::TcpListener) {
    let answer = move |request| {
        let answer = admin(&state, &request);
        async move { answer }
    };
    socket::serve_http(listener, HEADER, answer).await;
}

fn admin(state: &State, request: &Request<body::Incoming>) -> Response<Full<Bytes>> {
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
