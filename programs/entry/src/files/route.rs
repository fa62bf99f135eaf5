//! Routes of the files and batches API.

use gotham::helpers::http;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Method, Response, body, header};
use serde::Serialize;

use bw_wire::{header as wire_header, name, openai, refusal};

use super::Store;

/// Maximum size of the body of a request to create a batch, in bytes.
const JSON_BODY_BYTES: usize = 64 * 1024;
/// Number of objects on a page of a list if the caller sets no limit.
const DEFAULT_PAGE: usize = 20;
/// Maximum number of objects on a page of a list.
const MAX_PAGE: usize = 100;

/// A request to the files and batches API.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Route {
    /// `POST /v1/files`
    Upload,
    /// `GET /v1/files`
    Files,
    /// `GET /v1/files/ID`
    File(name::Name),
    /// `DELETE /v1/files/ID`
    DeleteFile(name::Name),
    /// `GET /v1/files/ID/content`
    Content(name::Name),
    /// `POST /v1/batches`
    CreateBatch,
    /// `GET /v1/batches`
    Batches,
    /// `GET /v1/batches/ID`
    Batch(name::Name),
    /// `POST /v1/batches/ID/cancel`
    CancelBatch(name::Name),
}

impl Route {
    /// Returns the route of a method and path.
    ///
    /// # Errors
    ///
    /// Returns a refusal for an unknown path or a method that the path does not accept.
    pub fn parse(method: &Method, path: &str) -> Result<Route, refusal::Refusal> {
        let parts: Vec<&str> = path.trim_matches('/').split('/').collect();
        let method = method.as_str();
        let route = match (method, parts.as_slice()) {
            ("POST", ["v1", "files"]) => Route::Upload,
            ("GET", ["v1", "files"]) => Route::Files,
            ("GET", ["v1", "files", id]) => Route::File((*id).into()),
            ("DELETE", ["v1", "files", id]) => Route::DeleteFile((*id).into()),
            ("GET", ["v1", "files", id, "content"]) => Route::Content((*id).into()),
            ("POST", ["v1", "batches"]) => Route::CreateBatch,
            ("GET", ["v1", "batches"]) => Route::Batches,
            ("GET", ["v1", "batches", id]) => Route::Batch((*id).into()),
            ("POST", ["v1", "batches", id, "cancel"]) => Route::CancelBatch((*id).into()),
            (_, ["v1", "files" | "batches", ..]) if parts.len() <= 4 => {
                let message = format!("{path} does not take {method}");
                return Err(refusal::Refusal::not_run(
                    refusal::Reason::MethodNotAllowed,
                    message,
                ));
            }
            _ => {
                let message = format!("no path {path}");
                return Err(refusal::Refusal::not_run(
                    refusal::Reason::NotFound,
                    message,
                ));
            }
        };
        Ok(route)
    }
}

/// The metadata of a request that the API reads besides route and body.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The caller's team, whose files and jobs alone are visible.
    pub team: &'a name::Name,
    /// The query string, without the question mark.
    pub query: Option<&'a str>,
    /// The request headers, of which the content type and the idempotency key are read.
    pub headers: &'a header::HeaderMap,
}

impl Call<'_> {
    /// Returns the value of a header if it is text.
    fn header(&self, header: &str) -> Option<&str> {
        self.headers
            .get(header)
            .and_then(|value| value.to_str().ok())
    }

    /// Returns a parameter of the query string as it stands, without decoding.
    fn param(&self, wanted: &str) -> Option<&str> {
        self.query?
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .find(|(key, _)| *key == wanted)
            .map(|(_, value)| value)
    }
}

impl Store {
    /// Answers a request to the files and batches API.
    ///
    /// # Errors
    ///
    /// Returns the refusal to send to the caller.
    pub async fn answer<B>(
        &self,
        route: Route,
        call: Call<'_>,
        body: B,
    ) -> Result<Response<http::Body>, refusal::Refusal>
    where
        B: body::Body<Data = body::Bytes> + Send + Unpin + 'static,
        B::Error: std::error::Error + Send + Sync + 'static,
    {
        let team = call.team;
        let key = call.header(wire_header::IDEMPOTENCY_KEY);
        match route {
            Route::Upload => {
                let content_type = call.header(header::CONTENT_TYPE.as_str()).unwrap_or("");
                json(&self.upload(team, key, content_type, body).await?)
            }
            Route::Files => json(&paginate(&call, self.files(team).await?, |file| &file.id)?),
            Route::File(file) => json(&self.file(team, &file).await?),
            Route::DeleteFile(file) => {
                self.delete_file(team, &file).await?;
                json(&serde_json::json!({ "id": file, "object": "file", "deleted": true }))
            }
            Route::Content(file) => {
                let content = self.content(team, &file).await?;
                respond("application/jsonl", content)
            }
            Route::CreateBatch => {
                let body = read_body(body).await?;
                json(&self.create_batch(team, key, &body).await?)
            }
            Route::Batches => json(&paginate(&call, self.batches(team).await?, |batch| {
                &batch.id
            })?),
            Route::Batch(job) => json(&self.batch(team, &job).await?),
            Route::CancelBatch(job) => json(&self.cancel_batch(team, &job).await?),
        }
    }
}

/// Reads a body of limited size.
async fn read_body<B>(body: B) -> Result<body::Bytes, refusal::Refusal>
where
    B: body::Body<Data = body::Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    match Limited::new(body, JSON_BODY_BYTES).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            let message = format!("the body is larger than {JSON_BODY_BYTES} bytes");
            Err(refusal::Refusal::not_run(
                refusal::Reason::BodyTooLarge,
                message,
            ))
        }
        Err(error) => {
            let message = format!("the body did not arrive whole: {error}");
            Err(refusal::Refusal::not_run(
                refusal::Reason::InvalidJson,
                message,
            ))
        }
    }
}

/// Returns the page of a list that the parameters `limit` and `after` select. The page
/// is empty if no object has the id `after`.
fn paginate<T: Clone>(
    call: &Call<'_>,
    all: Vec<T>,
    id: impl Fn(&T) -> &name::Name,
) -> Result<openai::List<T>, refusal::Refusal> {
    let limit = match call.param("limit") {
        Some(text) => text
            .parse::<usize>()
            .ok()
            .filter(|limit| (1..=MAX_PAGE).contains(limit))
            .ok_or_else(|| {
                let message = format!("limit must be a number from 1 to {MAX_PAGE}");
                refusal::Refusal::not_run(refusal::Reason::InvalidField, message).param("limit")
            })?,
        None => DEFAULT_PAGE,
    };
    let start = match call.param("after") {
        Some(after) => all
            .iter()
            .position(|object| id(object).as_str() == after)
            .map_or(all.len(), |position| position + 1),
        None => 0,
    };
    let data: Vec<T> = all.iter().skip(start).take(limit).cloned().collect();
    Ok(openai::List {
        object: "list".to_owned(),
        first_id: data.first().map(|object| id(object).to_string()),
        last_id: data.last().map(|object| id(object).to_string()),
        has_more: start + data.len() < all.len(),
        data,
    })
}

fn json(object: &impl Serialize) -> Result<Response<http::Body>, refusal::Refusal> {
    let text = serde_json::to_string(object).map_err(internal)?;
    let body = Full::from(text).map_err(|never| match never {});
    respond("application/json", body.boxed_unsync())
}

fn respond(content_type: &str, body: http::Body) -> Result<Response<http::Body>, refusal::Refusal> {
    Response::builder()
        .header(header::CONTENT_TYPE, content_type)
        .body(body)
        .map_err(internal)
}

fn internal(error: impl std::fmt::Display) -> refusal::Refusal {
    refusal::Refusal::may_have_run(refusal::Reason::Internal, error.to_string())
}
