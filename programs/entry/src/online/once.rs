//! Requests that run at most once.

use std::{future, sync, time};

use base64::Engine;
use bw_client::control;
use bw_wire::{
    command::work::{AttemptOutcome, Command, Reply},
    fingerprint, header, id, name, refusal, verdict,
};
use bytes::Bytes;
use gotham::http;

use crate::{api, context, settings};

/// How long after the deadline of a request its outcome may still be recorded.
const RECORD_GRACE_MS: u64 = 15_000;
/// Delay between two tries to record an outcome.
const RECORD_RETRY_DELAY: time::Duration = time::Duration::from_millis(200);
/// The largest answer that is kept for resends, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Identifies a request that runs at most once.
#[derive(Clone)]
pub struct Key {
    /// The team that sends the request.
    pub team: name::Name,
    /// The idempotency key, which is unique within the team.
    pub key: name::Name,
    /// The fingerprint of method, path and body.
    pub fingerprint: fingerprint::Fingerprint,
    /// The request id, for log lines.
    pub request_id: name::Name,
    /// The part of the holder's name that is unique to this request. Control
    /// returns a recorded attempt again to the holder that began it, so two
    /// requests must not have the same holder.
    pub unique_id: name::Name,
    /// When the caller stops waiting, in milliseconds of the process clock.
    pub deadline_ms: u64,
}

impl Key {
    /// Builds the key of a request from its headers. If there is no idempotency
    /// key, a request id that the caller chose is used as the key.
    ///
    /// # Errors
    ///
    /// Refuses a request without a key: a resend of it could not be distinguished
    /// from a new request.
    pub fn of(
        head: &api::Head,
        team: &name::Name,
        body: &[u8],
        deadline_ms: u64,
    ) -> Result<Key, refusal::Refusal> {
        let key = Key::idempotency_key(head)?;
        let mut content = format!("{} {}\n", head.method, head.uri).into_bytes();
        content.extend_from_slice(body);
        Ok(Key {
            team: team.clone(),
            key,
            fingerprint: fingerprint::Fingerprint::of_bytes(&content),
            request_id: head.id.clone(),
            unique_id: head.unique_id.clone(),
            deadline_ms,
        })
    }

    /// Checks that the headers have a key.
    ///
    /// # Errors
    ///
    /// Refuses a request without a key.
    pub fn check(head: &api::Head) -> Result<(), refusal::Refusal> {
        Key::idempotency_key(head).map(drop)
    }

    fn idempotency_key(head: &api::Head) -> Result<name::Name, refusal::Refusal> {
        let given = head.text(header::IDEMPOTENCY_KEY).map(name::Name::from);
        let key = given.or_else(|| head.id_given.then(|| head.id.clone()));
        let key = key.filter(|key| !key.is_empty() && key.len() <= 256);
        key.ok_or_else(|| {
            let message = "a request that is not repeatable needs an Idempotency-Key";
            refusal::Refusal::not_run(refusal::Reason::InvalidField, message)
                .param(header::IDEMPOTENCY_KEY)
        })
    }

    fn group(&self, groups: u32) -> u32 {
        id::group_for(format!("{}\n{}", self.team, self.key).as_bytes(), groups)
    }
}

/// The outcome of an attempt.
pub enum Outcome {
    /// It ran, and this is the answer.
    Done {
        /// The HTTP status of the answer.
        status: http::StatusCode,
        /// The value of its `content-type` header.
        content_type: String,
        /// Its whole body.
        body: Bytes,
    },
    /// It provably did not run.
    NotRun(refusal::Refusal),
    /// Whether it ran is unknown.
    Unknown(refusal::Refusal),
}

impl Outcome {
    /// Returns the outcome that corresponds to the verdict of a refusal.
    pub fn of_refusal(refusal: refusal::Refusal) -> Outcome {
        match refusal.verdict {
            verdict::Verdict::NotRun => Outcome::NotRun(refusal),
            verdict::Verdict::MayHaveRun | verdict::Verdict::Run => Outcome::Unknown(refusal),
        }
    }

    fn to_recorded(&self) -> AttemptOutcome {
        match self {
            Outcome::Done { body, .. } if body.len() > MAX_ANSWER_BYTES => too_large(),
            Outcome::Done {
                status,
                content_type,
                body,
            } => {
                let text = std::str::from_utf8(body);
                AttemptOutcome::Done {
                    status: status.as_u16(),
                    content_type: content_type.clone(),
                    binary: text.is_err(),
                    body: match text {
                        Ok(text) => text.to_owned(),
                        Err(_) => base64::engine::general_purpose::STANDARD.encode(body),
                    },
                }
            }
            Outcome::NotRun(_) => AttemptOutcome::NotRun,
            Outcome::Unknown(_) => AttemptOutcome::Unknown,
        }
    }
}

/// Runs an operation at most once for a key.
///
/// The operation runs to its end even if the caller disconnects or the process
/// drains, so that its outcome is recorded. A resend gets the recorded answer.
///
/// # Errors
///
/// Returns a refusal if the operation does not run, if its outcome is unknown,
/// or if the key is in use.
pub async fn at_most_once<F>(
    context: &sync::Arc<context::Context>,
    key: Key,
    operation: F,
) -> Result<api::Response, refusal::Refusal>
where
    F: future::Future<Output = Outcome> + Send + 'static,
{
    let task_context = sync::Arc::clone(context);
    let running = context
        .shared
        .drain
        .spawn(async move { run(&task_context, &key, operation).await });
    match running.await {
        Ok(answer) => answer,
        Err(error) => {
            let message = format!("the request failed: {error}");
            Err(unknown(message))
        }
    }
}

async fn run<F>(
    context: &sync::Arc<context::Context>,
    key: &Key,
    operation: F,
) -> Result<api::Response, refusal::Refusal>
where
    F: future::Future<Output = Outcome>,
{
    let attempt = match begin(context, key).await? {
        Begun::Run(attempt) => attempt,
        Begun::Recorded(outcome) => return response(outcome),
    };
    let outcome = operation.await;
    let recorded = end(context, key, attempt, outcome.to_recorded()).await?;
    match (recorded, outcome) {
        (Some(recorded), _) => response(recorded),
        (None, Outcome::NotRun(refusal)) => Err(refusal),
        (None, outcome) => response(outcome.to_recorded()),
    }
}

/// How control answers the start of an attempt.
pub(crate) enum Begun {
    /// The operation may run, as the attempt with this number.
    Run(u64),
    /// An earlier attempt with this key has ended.
    Recorded(AttemptOutcome),
}

/// Records that an attempt begins, before anything is sent.
pub(crate) async fn begin(
    context: &sync::Arc<context::Context>,
    key: &Key,
) -> Result<Begun, refusal::Refusal> {
    let shared = &context.shared;
    let left_ms = key.deadline_ms.saturating_sub(shared.clock.now_ms());
    let group = key.group(shared.settings.groups);
    let mut holder_gone = false;
    loop {
        let command = Command::AttemptBegin {
            team: key.team.clone(),
            key: key.key.clone(),
            body: key.fingerprint,
            holder: format!("{}/{}", shared.holder(), key.unique_id).into(),
            timeout_ms: left_ms + RECORD_GRACE_MS,
            holder_gone,
        };
        // Nothing has been sent to a backend server yet, so the request did not
        // run, whether or not control executed the command.
        let reply = context.control.work(group, command.clone()).await;
        let reply = reply.map_err(|error| {
            if error.verdict.may_have_run() {
                let withdrawal = withdraw(sync::Arc::clone(context), key.clone(), command);
                shared.drain.spawn(withdrawal);
            }
            let message = format!("the control replicas did not answer: {}", error.message);
            refusal::Refusal::not_run(refusal::Reason::ControlUnavailable, message)
        })?;
        return match reply {
            Reply::Begin { attempt } => Ok(Begun::Run(attempt)),
            Reply::Known { outcome } => Ok(Begun::Recorded(outcome)),
            Reply::KeyConflict => {
                let message = "the idempotency key was used with another request";
                let reason = refusal::Reason::KeyConflict;
                Err(refusal::Refusal::not_run(reason, message))
            }
            Reply::Full => {
                let message = "the storage for idempotency keys is full";
                let reason = refusal::Reason::StorageFull;
                Err(refusal::Refusal::not_run(reason, message))
            }
            Reply::InProgress { holder } => {
                if !holder_gone && is_gone(shared, &holder) {
                    holder_gone = true;
                    continue;
                }
                let message = "the request with this idempotency key is still running";
                let reason = refusal::Reason::KeyInProgress;
                Err(refusal::Refusal::may_have_run(reason, message))
            }
            other => {
                let message = format!("unexpected reply of control: {other:?}");
                Err(refusal::Refusal::not_run(
                    refusal::Reason::Internal,
                    message,
                ))
            }
        };
    }
}

/// Records that a request did not run if control may have recorded its attempt
/// but did not reply. Otherwise a resend would find the request in progress until
/// its deadline, and its outcome unknown from then on.
///
/// The repeated command returns the same attempt, because the holder is the same.
async fn withdraw(context: sync::Arc<context::Context>, key: Key, command: Command) {
    let shared = &context.shared;
    let group = key.group(shared.settings.groups);
    let give_up_ms = key.deadline_ms + RECORD_GRACE_MS;
    let request_id = key.request_id.as_str();
    loop {
        match context.control.work(group, command.clone()).await {
            Ok(Reply::Begin { attempt }) => {
                let ended = end(&context, &key, attempt, AttemptOutcome::NotRun).await;
                if let Err(refusal) = ended {
                    log::warn!(request_id; "attempt not withdrawn: {}", refusal.message);
                }
                return;
            }
            // The key belongs to another request, or nothing was recorded.
            Ok(_) => return,
            Err(error) => log::warn!(request_id; "attempt not withdrawn yet: {error}"),
        }
        // Nothing ran, so a shutdown does not wait until control is reachable.
        if shared.drain.is_draining() || shared.clock.now_ms() >= give_up_ms {
            return;
        }
        tokio::time::sleep(RECORD_RETRY_DELAY).await;
    }
}

/// Returns whether the process that holds an attempt has ended. If that is not
/// certain, it counts as alive, and the attempt expires at its deadline.
fn is_gone(shared: &context::Shared, holder: &str) -> bool {
    let mut parts = holder.splitn(3, '/');
    let (Some(entry), Some(incarnation)) = (parts.next(), parts.next()) else {
        return false;
    };
    let Ok(incarnation) = incarnation.parse::<u64>() else {
        return false;
    };
    if entry == shared.settings.name.as_str() {
        return incarnation < shared.incarnation;
    }
    shared
        .snapshot
        .load()
        .is_gone(entry, incarnation, shared.clock.now_ms())
}

/// Records the outcome of an attempt. If another outcome has already been
/// recorded, returns that one.
pub(crate) async fn end(
    context: &context::Context,
    key: &Key,
    attempt: u64,
    outcome: AttemptOutcome,
) -> Result<Option<AttemptOutcome>, refusal::Refusal> {
    let shared = &context.shared;
    let group = key.group(shared.settings.groups);
    let give_up_ms = key.deadline_ms + RECORD_GRACE_MS;
    loop {
        let command = Command::AttemptEnd {
            team: key.team.clone(),
            key: key.key.clone(),
            attempt,
            outcome: outcome.clone(),
        };
        let error: control::Error = match context.control.work(group, command).await {
            Ok(Reply::Known { outcome: recorded }) => {
                return Ok((recorded != outcome).then_some(recorded));
            }
            Ok(Reply::Ok) => return Ok(None),
            Ok(other) => {
                let message = format!("the outcome was not recorded: {other:?}");
                return Err(unknown(message));
            }
            Err(error) => error,
        };
        log::warn!(request_id = key.request_id.as_str(); "outcome not recorded yet: {error}");
        if shared.clock.now_ms() >= give_up_ms {
            return Err(unknown("the outcome could not be recorded"));
        }
        tokio::time::sleep(RECORD_RETRY_DELAY).await;
    }
}

/// Returns the response or the refusal for a recorded outcome.
fn response(outcome: AttemptOutcome) -> Result<api::Response, refusal::Refusal> {
    match outcome {
        AttemptOutcome::Done {
            status,
            content_type,
            body,
            binary,
        } => {
            let body = match binary {
                false => Bytes::from(body),
                true => base64::engine::general_purpose::STANDARD
                    .decode(body)
                    .map_err(|_| unknown("the recorded answer cannot be read"))?
                    .into(),
            };
            let status = http::StatusCode::from_u16(status)
                .map_err(|_| unknown("the recorded answer cannot be read"))?;
            Ok(api::full(status, &content_type, body))
        }
        AttemptOutcome::NotRun => {
            let message = "the request did not run";
            let reason = refusal::Reason::NoBackend;
            Err(refusal::Refusal::not_run(reason, message))
        }
        AttemptOutcome::Unknown => Err(unknown(
            "the request may have run, its outcome is unknown, and it will not run again",
        )),
    }
}

fn unknown(message: impl Into<String>) -> refusal::Refusal {
    refusal::Refusal::may_have_run(refusal::Reason::OutcomeUnknown, message)
}

/// Returns the outcome to record for a request that ran and whose answer is too
/// large to keep.
fn too_large() -> AttemptOutcome {
    let message = format!("the request ran, but its answer exceeds {MAX_ANSWER_BYTES} bytes");
    let refusal = refusal::Refusal::may_have_run(refusal::Reason::BackendFailed, message);
    AttemptOutcome::Done {
        status: refusal.reason.status(),
        content_type: "application/json".to_owned(),
        body: serde_json::json!(refusal.body()).to_string(),
        binary: false,
    }
}

/// Returns the time left until a deadline, or zero if it has passed.
pub(crate) fn time_left(shared: &context::Shared, deadline_ms: u64) -> time::Duration {
    settings::ms(deadline_ms.saturating_sub(shared.clock.now_ms()))
}
