//! Calls to the callers' API of an entry VM.

use std::io::{self, Write};

use bw_wire::{name, openai};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body, header};
use hyper_util::{client::legacy, rt};
use serde::de;

use crate::exit;

/// A client of one entry VM.
pub(crate) struct Client {
    base: String,
    token: Option<name::Name>,
    inner: legacy::Client<legacy::connect::HttpConnector, Full<Bytes>>,
}

/// A request body with its content type.
pub(crate) struct Content {
    pub(crate) content_type: String,
    pub(crate) bytes: Bytes,
}

impl Client {
    pub(crate) fn new(address: &str, token: Option<name::Name>) -> Client {
        Client {
            base: format!("http://{address}"),
            token,
            inner: legacy::Client::builder(rt::TokioExecutor::new()).build_http(),
        }
    }

    /// Calls the API and decodes the answer.
    pub(crate) async fn call<T: de::DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        content: Option<Content>,
    ) -> Result<T, exit::Failure> {
        let response = self.send(method, path, key, content).await?;
        let bytes = response
            .into_body()
            .collect()
            .await
            .map_err(failed)?
            .to_bytes();
        serde_json::from_slice(&bytes).map_err(failed)
    }

    /// Copies a body to standard output as it arrives.
    pub(crate) async fn copy(&self, path: &str) -> Result<(), exit::Failure> {
        let response = self.send(Method::GET, path, None, None).await?;
        let mut body = response.into_body();
        let mut out = io::stdout().lock();
        while let Some(frame) = body.frame().await {
            if let Ok(data) = frame.map_err(failed)?.into_data() {
                out.write_all(&data).map_err(failed)?;
            }
        }
        Ok(())
    }

    async fn send(
        &self,
        method: Method,
        path: &str,
        key: Option<&str>,
        content: Option<Content>,
    ) -> Result<Response<body::Incoming>, exit::Failure> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("{}{path}", self.base));
        if let Some(token) = &self.token {
            request = request.header(header::AUTHORIZATION, format!("Bearer {token}"));
        }
        if let Some(key) = key {
            request = request.header(bw_wire::header::IDEMPOTENCY_KEY, key);
        }
        let bytes = match content {
            Some(content) => {
                request = request.header(header::CONTENT_TYPE, content.content_type);
                content.bytes
            }
            None => Bytes::new(),
        };
        let request = request.body(Full::new(bytes)).map_err(failed)?;
        let response = self.inner.request(request).await.map_err(|error| {
            let message = format!("{}: {error}; check `entry` in the settings", self.base);
            exit::Failure::new(exit::Code::Unavailable, message)
        })?;
        if response.status().is_success() {
            return Ok(response);
        }
        Err(refused(response).await)
    }
}

async fn refused(response: Response<body::Incoming>) -> exit::Failure {
    let status = response.status();
    let code = match status.as_u16() {
        404 => exit::Code::NotFound,
        409 => exit::Code::Conflict,
        429 | 503 => exit::Code::Unavailable,
        _ => exit::Code::Failed,
    };
    let bytes = match response.into_body().collect().await {
        Ok(collected) => collected.to_bytes(),
        Err(error) => return failed(error),
    };
    let message = match serde_json::from_slice::<openai::ErrorBody>(&bytes) {
        Ok(body) => {
            let code = body.error.code.unwrap_or_default();
            let verdict = body.error.verdict.map(|verdict| format!(", {verdict}"));
            format!(
                "{} ({code}{})",
                body.error.message,
                verdict.unwrap_or_default()
            )
        }
        Err(_) => format!("HTTP status {status}"),
    };
    exit::Failure::new(code, message)
}

fn failed(error: impl std::fmt::Display) -> exit::Failure {
    exit::Failure::failed(error.to_string())
}
