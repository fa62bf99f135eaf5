//! The HTTP API for callers and backend servers, and the admin API.
//!
//! Dispatches each request by its path to the module that answers it.

mod announce;
mod answer;
mod completions;
mod health;
mod models;
mod service;

use std::{future, panic, pin, sync, time};

use bw_wire::{backend, header, name, refusal};
use gotham::{handler, http, state};

use crate::{context, files, filter, upstream};

pub(crate) use answer::log_refusal;
pub use answer::{full, json, refuse};

/// The body of a request or a response.
pub type Body = gotham::helpers::http::Body;
/// An HTTP response to a caller, a backend server or an operator.
pub type Response = http::Response<Body>;

/// Longest request id that is accepted from a caller, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A request without its body.
pub struct Head {
    /// The request id, chosen by the caller or generated.
    pub id: name::Name,
    /// Whether the caller chose the request id.
    pub id_given: bool,
    /// The request id with a generated part, which makes it unique even if a caller
    /// uses an id twice.
    pub unique_id: name::Name,
    /// When the request arrived.
    pub received: time::Instant,
    /// The HTTP method.
    pub method: http::Method,
    /// The path and the query.
    pub uri: http::Uri,
    /// The headers as received.
    pub headers: http::HeaderMap,
}

impl Head {
    /// Returns the value of a header, `None` if it is absent or not visible ASCII.
    pub fn text(&self, header: &str) -> Option<&str> {
        self.headers
            .get(header)
            .and_then(|value| value.to_str().ok())
    }

    /// Returns whether the caller marked the request as not repeatable with
    /// `bw-repeatable: no`.
    pub fn is_non_repeatable(&self) -> bool {
        self.text(header::REPEATABLE)
            .is_some_and(|value| value.eq_ignore_ascii_case("no"))
    }
}

/// The API that an address serves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Interface {
    /// Callers and backend servers.
    Traffic,
    /// Health checks and metrics.
    Admin,
}

/// Creates a [`Handler`] for each request.
pub struct Factory {
    context: panic::AssertUnwindSafe<sync::Arc<context::Context>>,
    interface: Interface,
}

impl Factory {
    /// Creates a factory for the requests of an interface.
    pub fn new(context: sync::Arc<context::Context>, interface: Interface) -> Factory {
        Factory {
            // Shared state is behind locks that are used even if poisoned, so that a
            // panic of one request does not affect others.
            context: panic::AssertUnwindSafe(context),
            interface,
        }
    }
}

impl handler::NewHandler for Factory {
    type Instance = Handler;

    fn new_handler(&self) -> anyhow::Result<Handler> {
        Ok(Handler {
            context: sync::Arc::clone(&self.context),
            interface: self.interface,
        })
    }
}

/// Answers one request.
pub struct Handler {
    context: sync::Arc<context::Context>,
    interface: Interface,
}

impl handler::Handler for Handler {
    fn handle(
        self,
        mut state: state::State,
    ) -> pin::Pin<Box<dyn future::Future<Output = handler::HandlerResult> + Send>> {
        Box::pin(async move {
            let headers: http::HeaderMap = state.take();
            let generated = name::Name::from(ulid::Ulid::new().to_string());
            let given = caller_id(&headers);
            let head = Head {
                id_given: given.is_some(),
                unique_id: match &given {
                    Some(given) => format!("{given}-{generated}").into(),
                    None => generated.clone(),
                },
                id: given.unwrap_or(generated),
                received: time::Instant::now(),
                method: state.take(),
                uri: state.take(),
                headers,
            };
            let body: Body = state.take();
            let response = match self.interface {
                Interface::Traffic => traffic(&self.context, head, body).await,
                Interface::Admin => admin(&self.context, &head),
            };
            Ok((state, response))
        })
    }
}

/// Returns the caller's request id if it is valid: at most [`MAX_ID_BYTES`] of
/// visible ASCII, so that it can be passed on in a header.
fn caller_id(headers: &http::HeaderMap) -> Option<name::Name> {
    let id = headers.get(header::REQUEST_ID)?.to_str().ok()?;
    let valid = !id.is_empty()
        && id.len() <= MAX_ID_BYTES
        && id.bytes().all(|byte| byte.is_ascii_graphic());
    valid.then(|| id.into())
}

async fn traffic(context: &sync::Arc<context::Context>, head: Head, body: Body) -> Response {
    let path = head.uri.path().to_owned();
    let answer = match path.as_str() {
        "/v1/chat/completions" => {
            completions::answer(context, &head, upstream::Api::Chat, body).await
        }
        "/v1/completions" => {
            completions::answer(context, &head, upstream::Api::Completion, body).await
        }
        "/v1/models" => models::answer(context, &head).await,
        backend::ANNOUNCE_PATH => announce::announce(context, &head, body).await,
        backend::CACHE_EVENTS_PATH => announce::cache_events(context, &head, body).await,
        "/healthz" | "/readyz" => health::answer(context, &head),
        path if path.starts_with("/v1/models/") => models::answer(context, &head).await,
        path if path.starts_with("/v1/files") || path.starts_with("/v1/batches") => {
            files_or_batches(context, &head, body).await
        }
        path if path.starts_with(service::PREFIX) => service::answer(context, &head, body).await,
        path => Err(path_not_found(path)),
    };
    answer::finish(&head, &path, answer)
}

fn admin(context: &sync::Arc<context::Context>, head: &Head) -> Response {
    let path = head.uri.path();
    let answer = match path {
        "/healthz" | "/readyz" => health::answer(context, head),
        "/metrics" => health::metrics(context, head),
        path => Err(path_not_found(path)),
    };
    answer::finish(head, path, answer)
}

/// Answers a request of the files and batches API.
async fn files_or_batches(
    context: &sync::Arc<context::Context>,
    head: &Head,
    body: Body,
) -> Result<Response, refusal::Refusal> {
    let shared = &context.shared;
    filter::admission::check_accepting(shared)?;
    let _open = context.open.acquire()?;
    let team = filter::access::team(&shared.credentials, &head.headers)?;
    let route = files::Route::parse(&head.method, head.uri.path())?;
    let call = files::Call {
        team: &team,
        query: head.uri.query(),
        headers: &head.headers,
    };
    context.files.answer(route, call, body).await
}

/// Checks that a request has the given method.
///
/// # Errors
///
/// Refuses a request with another method.
fn require_method(head: &Head, method: &http::Method) -> Result<(), refusal::Refusal> {
    if head.method == *method {
        return Ok(());
    }
    let message = format!("{} takes {method}", head.uri.path());
    Err(refusal::Refusal::not_run(
        refusal::Reason::MethodNotAllowed,
        message,
    ))
}

fn path_not_found(path: &str) -> refusal::Refusal {
    let message = format!("the path {path} does not exist");
    refusal::Refusal::not_run(refusal::Reason::NotFound, message)
}
