//! One play of a trace: sends its requests and causes its faults.

use std::{collections, sync, time};

use anyhow::Context;
use bw_wire::{fingerprint, header};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use tokio::sync::watch;

use super::{Destination, Entry, Event, Outcome, job};
use crate::{call, fleet, run, scenario};

/// Pause before a request of a job is sent to the next entry VM.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// A job that an earlier line has created.
#[derive(Clone, Debug)]
pub(super) struct Created {
    pub(super) id: String,
    /// The body that created it.
    pub(super) body: serde_json::Value,
    pub(super) key: String,
}

/// What the events of one play share.
pub(super) struct Session {
    client: call::Client,
    destination: Destination,
    fleet: Option<sync::Arc<fleet::Fleet>>,
    /// Jobs by the line that created them.
    jobs: watch::Sender<collections::BTreeMap<usize, Created>>,
}

/// A request of a job; it may be repeated.
pub(super) struct Request<'a> {
    pub(super) method: &'a str,
    pub(super) path: &'a str,
    pub(super) content_type: &'a str,
    pub(super) key: Option<&'a str>,
    pub(super) body: Bytes,
}

/// An answer, or how a request ended without one.
pub(super) type Answered = Result<Bytes, call::End>;

impl Session {
    pub(super) fn new(destination: Destination, fleet: Option<sync::Arc<fleet::Fleet>>) -> Session {
        Session {
            client: call::Client::new(),
            destination,
            fleet,
            jobs: watch::Sender::default(),
        }
    }

    /// Plays one event and returns its outcome, if it has one.
    pub(super) async fn play(&self, line: usize, entry: Entry) -> anyhow::Result<Option<Outcome>> {
        let address = self.destination.addresses.get(entry.entry);
        let address = address.context("no such entry VM")?;
        let outcome = match &entry.event {
            Event::Chat(body) => self.complete(address, run::CHAT_PATH, body).await,
            Event::Completion(body) => self.complete(address, "/v1/completions", body).await,
            Event::Call { service, key, body } => self.call(address, service, key, body).await?,
            Event::Batch { key, items } => job::run(self, entry.entry, line, key, items).await?,
            Event::Resend { line } => job::resend(self, entry.entry, *line).await?,
            Event::Conflict { line } => job::conflict(self, entry.entry, *line).await?,
            Event::Cancel { line } => job::cancel(self, entry.entry, *line).await?,
            Event::Fault { targets, action } => {
                self.fail(targets, action).await?;
                return Ok(None);
            }
        };
        Ok(Some(outcome))
    }

    pub(super) fn limit(&self) -> time::Duration {
        self.destination.limit
    }

    /// Makes a job known to later lines.
    pub(super) fn created(&self, line: usize, created: Created) {
        self.jobs.send_modify(|jobs| {
            jobs.insert(line, created);
        });
    }

    /// Waits until a line has created its job.
    pub(super) async fn job_of(&self, line: usize) -> anyhow::Result<Created> {
        let mut jobs = self.jobs.subscribe();
        let known = jobs.wait_for(|jobs| jobs.contains_key(&line));
        let known = tokio::time::timeout(self.limit(), known).await;
        let known = known.with_context(|| format!("line {line} has created no job"))??;
        known.get(&line).cloned().context("the job is known")
    }

    /// Sends a request of a job, to the next entry VM when one is gone or does
    /// not take work now.
    pub(super) async fn send(&self, entry: usize, request: &Request<'_>) -> Answered {
        let addresses = &self.destination.addresses;
        let from = tokio::time::Instant::now();
        let mut attempt = entry;
        loop {
            let address = &addresses[attempt % addresses.len()];
            let answered = self.attempt(address, request).await;
            let Err(end) = &answered else {
                return answered;
            };
            if !is_temporary(end) || from.elapsed() > self.limit() {
                return answered;
            }
            attempt += 1;
            tokio::time::sleep(RETRY_PAUSE).await;
        }
    }

    async fn attempt(&self, address: &str, request: &Request<'_>) -> Answered {
        let mut builder = self
            .request(request.method, address, request.path)
            .header("content-type", request.content_type);
        if let Some(key) = request.key {
            builder = builder.header(header::IDEMPOTENCY_KEY, key);
        }
        self.answer(builder, request.body.clone()).await
    }

    async fn complete(&self, address: &str, path: &str, body: &serde_json::Value) -> Outcome {
        let id = fingerprint::Fingerprint::of_bytes(body.to_string().as_bytes());
        let target = call::Target {
            address,
            path,
            request_id: &id.to_string(),
            token: self.destination.token.as_deref(),
            limit: self.limit(),
        };
        Outcome::of(&self.client.complete(target, body).await)
    }

    async fn call(
        &self,
        address: &str,
        service: &str,
        key: &str,
        body: &serde_json::Value,
    ) -> anyhow::Result<Outcome> {
        let path = format!("/services/{service}/calls");
        let request = self
            .request("POST", address, &path)
            .header("content-type", "application/json")
            .header(header::IDEMPOTENCY_KEY, key)
            .header(header::REPEATABLE, "no");
        let answered = self.answer(request, Bytes::from(body.to_string())).await;
        Ok(match answered {
            Ok(answer) => Outcome {
                text: Some(fingerprint::Fingerprint::of_bytes(&answer).to_string()),
                ..Outcome::ended(call::End::Answered)
            },
            Err(end) => Outcome::ended(end),
        })
    }

    fn request(&self, method: &str, address: &str, path: &str) -> hyper::http::request::Builder {
        let request = hyper::Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::DEADLINE_MS, self.limit().as_millis().to_string());
        match &self.destination.token {
            Some(token) => request.header("authorization", format!("Bearer {token}")),
            None => request,
        }
    }

    async fn answer(&self, request: hyper::http::request::Builder, body: Bytes) -> Answered {
        let Ok(request) = request.body(Full::new(body)) else {
            return Err(call::End::Broken);
        };
        let read = async {
            let response =
                self.client
                    .send(request)
                    .await
                    .map_err(|error| match error.is_connect() {
                        true => call::End::NotConnected,
                        false => call::End::Broken,
                    })?;
            let status = response.status();
            if !status.is_success() {
                return Err(call::refusal(status.as_u16(), response).await);
            }
            let body = response.into_body().collect().await;
            body.map(|body| body.to_bytes())
                .map_err(|_| call::End::Broken)
        };
        let answered = tokio::time::timeout(self.limit(), read).await;
        answered.unwrap_or(Err(call::End::TimedOut))
    }

    async fn fail(&self, targets: &[u32], action: &scenario::Action) -> anyhow::Result<()> {
        let fleet = self.fleet.as_ref().context("no fleet of its own")?;
        let fault = scenario::Fault {
            at_ms: 0,
            targets: targets.to_vec(),
            action: action.clone(),
        };
        fleet.fail(&self.client, &fault).await
    }
}

/// Returns whether a request may be answered by another entry VM or later.
fn is_temporary(end: &call::End) -> bool {
    match end {
        call::End::Answered => false,
        call::End::NotConnected | call::End::Broken | call::End::TimedOut => true,
        call::End::Refused { status, .. } => matches!(status, 429 | 500..=599),
    }
}
