//! Bearer tokens on the control port, checked before the WebSocket upgrade.

use std::{future, pin, sync, task};

use hyper::header;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};

use bw_base::access;
use bw_wire::name;

use crate::metrics;

/// The identity of a caller: the name of the token that it presented.
#[derive(Clone, Debug)]
pub(crate) struct Identity(pub(crate) name::Name);

/// Wraps a service so that it accepts only calls with a known token.
#[derive(Clone)]
pub(crate) struct Layer {
    /// Absent when no credentials are configured.
    tokens: Option<sync::Arc<access::Tokens>>,
}

impl Layer {
    pub(crate) fn new(tokens: Option<sync::Arc<access::Tokens>>) -> Layer {
        Layer { tokens }
    }
}

impl<S> tower::Layer<S> for Layer {
    type Service = Service<S>;

    fn layer(&self, inner: S) -> Service<S> {
        Service {
            inner,
            tokens: self.tokens.clone(),
        }
    }
}

/// A service behind a token check.
#[derive(Clone)]
pub(crate) struct Service<S> {
    inner: S,
    tokens: Option<sync::Arc<access::Tokens>>,
}

type Response<E> = pin::Pin<Box<dyn future::Future<Output = Result<HttpResponse, E>> + Send>>;

impl<S> tower::Service<HttpRequest> for Service<S>
where
    S: tower::Service<HttpRequest, Response = HttpResponse>,
    S::Future: Send + 'static,
    S::Error: Send + 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = Response<S::Error>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, mut request: HttpRequest) -> Self::Future {
        if let Some(tokens) = &self.tokens {
            let Some(name) = identify(tokens, &request) else {
                metrics::REFUSALS.with_label_values(&["unauthorized"]).inc();
                return Box::pin(future::ready(Ok(unauthorized())));
            };
            request.extensions_mut().insert(Identity(name));
        }
        Box::pin(self.inner.call(request))
    }
}

fn identify(tokens: &access::Tokens, request: &HttpRequest) -> Option<name::Name> {
    let header = request.headers().get(header::AUTHORIZATION)?;
    let token = access::bearer(header.to_str().ok()?)?;
    tokens.name_of(token).map(name::Name::from)
}

fn unauthorized() -> HttpResponse {
    let mut response = HttpResponse::new(HttpBody::from("the token is missing or wrong\n"));
    *response.status_mut() = hyper::StatusCode::UNAUTHORIZED;
    response
}
