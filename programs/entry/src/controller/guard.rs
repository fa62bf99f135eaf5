//! Checks the credentials of peer messages before their bodies are read.

use std::{convert, future, pin, sync, task};

use bw_base::access;
use jsonrpsee::server::{HttpBody, HttpRequest, HttpResponse};

/// Adds a [`Guard`] to a service.
#[derive(Clone)]
pub(super) struct Layer {
    tokens: Option<sync::Arc<access::Tokens>>,
}

impl Layer {
    /// Creates a layer that accepts the given tokens, or every request if `None`.
    pub(super) fn new(tokens: Option<access::Tokens>) -> Layer {
        Layer {
            tokens: tokens.map(sync::Arc::new),
        }
    }
}

impl<S> tower::Layer<S> for Layer {
    type Service = Guard<S>;

    fn layer(&self, inner: S) -> Guard<S> {
        Guard {
            inner,
            tokens: self.tokens.clone(),
        }
    }
}

/// Rejects requests without valid credentials with status 401.
#[derive(Clone)]
pub(super) struct Guard<S> {
    inner: S,
    tokens: Option<sync::Arc<access::Tokens>>,
}

impl<S> Guard<S> {
    fn is_authorized<B>(&self, request: &HttpRequest<B>) -> bool {
        let Some(tokens) = &self.tokens else {
            return true;
        };
        request
            .headers()
            .get("authorization")
            .and_then(|value| value.to_str().ok())
            .and_then(access::bearer)
            .is_some_and(|token| tokens.name_of(token).is_some())
    }
}

impl<S, B> tower::Service<HttpRequest<B>> for Guard<S>
where
    S: tower::Service<HttpRequest<B>, Response = HttpResponse>,
    S::Future: Send + 'static,
    S::Error: From<convert::Infallible> + Send + 'static,
{
    type Response = HttpResponse;
    type Error = S::Error;
    type Future = pin::Pin<Box<dyn future::Future<Output = Result<HttpResponse, S::Error>> + Send>>;

    fn poll_ready(&mut self, context: &mut task::Context<'_>) -> task::Poll<Result<(), S::Error>> {
        self.inner.poll_ready(context)
    }

    fn call(&mut self, request: HttpRequest<B>) -> Self::Future {
        if self.is_authorized(&request) {
            return Box::pin(self.inner.call(request));
        }
        let mut response = HttpResponse::new(HttpBody::from("credentials are missing or wrong"));
        *response.status_mut() = hyper::StatusCode::UNAUTHORIZED;
        Box::pin(future::ready(Ok(response)))
    }
}
