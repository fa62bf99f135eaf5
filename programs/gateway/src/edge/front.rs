//! The listeners of the entry program.

use std::{convert, rc::Rc, time};

use hyper::{Method, Request, StatusCode, body, header, server::conn::http1, service};
use hyper_util::rt;
use tokio::{net, task};

use crate::{
    edge::{answer, forward, state::State},
    metrics, socket,
};

/// Pause after a failed accept, which usually means that file descriptors ran out.
const ACCEPT_PAUSE: time::Duration = time::Duration::from_millis(50);
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
            stream = accept(&listener) => stream,
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
    if let Err(error) = socket::tune(&stream) {
        log::debug!("caller has gone: {error}");
        return;
    }
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
    let first = metrics::FIRST.with_label_values(&labels);
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
    let mut connections = task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = accept(&listener).await;
        let state = Rc::clone(&state);
        let service = service::service_fn(move |request| {
            let answer = admin(&state, &request);
            async move { Ok::<_, convert::Infallible>(answer) }
        });
        connections.spawn_local(async move {
            let serving = http1::Builder::new()
                .timer(rt::TokioTimer::new())
                .header_read_timeout(HEADER)
                .serve_connection(rt::TokioIo::new(stream), service);
            if let Err(error) = serving.await {
                log::debug!("admin connection ended: {error}");
            }
        });
    }
}

fn admin(state: &State, request: &Request<body::Incoming>) -> answer::Answer {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/metrics") => answer::own(StatusCode::OK, &bw_base::metrics::render()),
        (&Method::GET, _) if state.is_ready() => answer::own(StatusCode::OK, "ready"),
        (&Method::GET, _) => answer::own(StatusCode::SERVICE_UNAVAILABLE, "not ready"),
        _ => answer::own(StatusCode::METHOD_NOT_ALLOWED, "use GET"),
    }
}

async fn accept(listener: &net::TcpListener) -> net::TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(error) => {
                log::warn!("accept failed: {error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}
