//! Attempts to have a request answered by a backend server.

use std::{net, rc::Rc, time};

use bw_relay::balance;
use bw_wire::name::Name;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body, header};

use crate::{
    clock, dialect,
    edge::{answer, forward, forward::Forward, front::Active, state::State},
    metrics, upstream,
};

/// How often a request is sent at most, counting backend servers that refused
/// it or could not be reached, which a route's limit does not count.
const SENDS_MAX: u32 = 5;
/// Latency objectives that a repeatable request waits for the head of its
/// answer before it is sent elsewhere. Waiting in a full backend server takes
/// about one objective.
const PATIENCE_OBJECTIVES: u64 = 4;
/// Least such wait in milliseconds.
const PATIENCE_MS: u64 = 1_000;

/// A backend server that works on a request, until it is dropped.
pub(crate) struct Held {
    state: Rc<State>,
    pub(crate) id: Name,
}

impl Drop for Held {
    fn drop(&mut self) {
        self.state.balance.borrow_mut().finished(&self.id);
    }
}

/// An answer of a backend server that is forwarded.
pub(crate) struct Accepted {
    pub(crate) response: Response<body::Incoming>,
    pub(crate) lease: upstream::Lease,
    pub(crate) held: Held,
}

/// Progress of a request through its attempts.
pub(crate) struct Attempts {
    /// Backend servers that were tried.
    pub(crate) tried: Vec<Name>,
    /// Sends so far.
    sends: u32,
    /// Sends after which the request may have run.
    ran: u32,
    /// The event after which a stream goes on.
    pub(crate) last_event: Option<u64>,
}

/// Why no answer could be had.
pub(crate) enum Failed {
    /// Nothing ran, and the caller should come back.
    NotRun(&'static str, u64),
    /// The request may have run.
    MayHaveRun(&'static str),
    /// The time is over; the request may have run.
    TimedOut,
}

impl Attempts {
    pub(crate) fn new() -> Attempts {
        Attempts {
            tried: Vec::new(),
            sends: 0,
            ran: 0,
            last_event: None,
        }
    }

    /// Notes that the answer of the last attempt broke off.
    pub(crate) fn broke(&mut self, state: &State, id: &Name) {
        let now_ms = clock::steady_ms();
        let mut balance = state.balance.borrow_mut();
        balance.failed(id, balance::Failure::Broken, now_ms);
        self.tried.push(id.clone());
    }

    /// Sends the request until a backend server answers.
    pub(crate) async fn run(
        &mut self,
        state: &Rc<State>,
        forward: &Forward,
    ) -> Result<Accepted, Failed> {
        let mut reason = "no_backend";
        loop {
            let limit = forward.route.attempts.max(1);
            if self.ran >= limit || (self.ran > 0 && !forward.route.kind.repeatable()) {
                return Err(Failed::MayHaveRun(reason));
            }
            if clock::steady_ms() >= forward.until_ms {
                return Err(self.given_up("timeout"));
            }
            if state.suspects.borrow().is_refused(forward.fingerprint) {
                return Err(self.given_up("poisonous_request"));
            }
            if self.sends >= SENDS_MAX {
                return Err(self.given_up(reason));
            }
            let (place, held) = match self.place(state, forward) {
                Ok(placed) => placed,
                Err(rejection) if self.ran == 0 => {
                    log::info!(
                        request = forward.id.as_str(), usable = rejection.usable,
                        least_online = rejection.least_online, loads_age_ms = state.loads_age_ms(),
                        route = &*forward.route.name, connected = state.connected.get();
                        "not placed"
                    );
                    let reason = rejection.reason.into();
                    return Err(Failed::NotRun(reason, rejection.retry_after_ms));
                }
                Err(_) => return Err(Failed::MayHaveRun(reason)),
            };
            self.sends += 1;
            if self.sends > 1 {
                metrics::RETRIES.with_label_values(&[reason]).inc();
            }
            match self.send(state, forward, &place, held).await {
                Ok(accepted) => return Ok(accepted),
                Err(failure) => reason = failure,
            }
        }
    }

    fn given_up(&self, reason: &'static str) -> Failed {
        match self.ran {
            0 => Failed::NotRun(reason, 300),
            _ if reason == "timeout" => Failed::TimedOut,
            _ => Failed::MayHaveRun(reason),
        }
    }

    fn place(
        &self,
        state: &Rc<State>,
        forward: &Forward,
    ) -> Result<(balance::Place, Held), balance::Rejection> {
        let draw = state.draw();
        let Some(service) = forward.route.service(draw) else {
            return Err(balance::Rejection {
                reason: balance::Reason::NoBackend,
                retry_after_ms: 1_000,
                usable: 0,
                least_online: 0,
            });
        };
        let wish = balance::Wish {
            service,
            affinity: forward.affinity,
            tried: &self.tried,
            failure_domain: &state.settings.failure_domain,
            resumed: self.ran > 0,
        };
        let place = state
            .balance
            .borrow_mut()
            .place(&wish, clock::steady_ms(), draw >> 16)?;
        if place.crowded {
            state.crowded.notify_one();
        }
        let held = Held {
            state: Rc::clone(state),
            id: place.id.clone(),
        };
        Ok((place, held))
    }

    /// Sends the request once. The error names the reason for the next attempt.
    async fn send(
        &mut self,
        state: &Rc<State>,
        forward: &Forward,
        place: &balance::Place,
        held: Held,
    ) -> Result<Accepted, &'static str> {
        let Ok(address) = place.address.parse::<net::SocketAddr>() else {
            self.tried.push(place.id.clone());
            return Err("bad_address");
        };
        let repeatable = forward.route.kind.repeatable();
        let Some(request) = self.request(state, forward, place) else {
            return Err("bad_request");
        };
        let limit = self.patience(forward, repeatable);
        let sent_ms = clock::steady_ms();
        let (own, online, batch) = state.balance.borrow().view(&place.id);
        let sent = state.pool.send(address, request, repeatable, limit).await;
        let now_ms = clock::steady_ms();
        let result = match sent {
            Ok(answer) => judge(
                state,
                forward,
                answer.response.status(),
                answer.response.headers(),
            )
            .map(|()| answer),
            Err(failure) => {
                self.ran += u32::from(failure.may_have_run());
                if failure == upstream::Failure::Broken {
                    state.crashed(&forward.id, forward.fingerprint);
                }
                // A request that used up its own time says nothing of the
                // backend server.
                if now_ms < forward.until_ms {
                    let mut balance = state.balance.borrow_mut();
                    balance.failed(&place.id, evidence(failure), now_ms);
                }
                self.tried.push(place.id.clone());
                Err(failure.into())
            }
        };
        let stated = match &result {
            Ok(answer) => stated_load(state, answer.response.headers()),
            Err(_) => None,
        };
        let outcome = match &result {
            Ok(answer) => answer.response.status().as_str().to_owned(),
            Err(reason) => (*reason).to_owned(),
        };
        log::info!(
            request = forward.id.as_str(), backend = place.id.as_str(), send = self.sends,
            own = own, online = online, batch = batch,
            running = stated.map_or(0, |load| load.running), waiting = stated.map_or(0, |load| load.waiting),
            outcome = outcome.as_str(),
            took_ms = now_ms.saturating_sub(sent_ms), left_ms = forward.until_ms.saturating_sub(now_ms);
            "sent"
        );
        let answer = match result {
            Ok(answer) => answer,
            Err(reason) => {
                self.note(state, place, reason, now_ms);
                return Err(reason);
            }
        };
        self.ran += 1;
        let server_error = answer.response.status() == StatusCode::INTERNAL_SERVER_ERROR;
        {
            let mut balance = state.balance.borrow_mut();
            match server_error {
                true => balance.failed(&place.id, balance::Failure::Broken, now_ms),
                false => balance.succeeded(&place.id, now_ms),
            }
        }
        let retry = server_error && repeatable && self.ran < forward.route.attempts;
        if retry {
            self.tried.push(place.id.clone());
            return Err("server_error");
        }
        Ok(Accepted {
            response: answer.response,
            lease: answer.lease,
            held,
        })
    }

    /// Notes what a refused or wrong answer says of the backend server.
    fn note(&mut self, state: &State, place: &balance::Place, reason: &'static str, now_ms: u64) {
        if self.tried.last() == Some(&place.id) {
            return;
        }
        self.tried.push(place.id.clone());
        let mut balance = state.balance.borrow_mut();
        match reason {
            "full" => balance.refused(&place.id, now_ms),
            "other_backend" => balance.failed(&place.id, balance::Failure::Unreachable, now_ms),
            _ => {
                self.ran += 1;
                balance.failed(&place.id, balance::Failure::Broken, now_ms);
            }
        }
    }

    fn patience(&self, forward: &Forward, repeatable: bool) -> time::Duration {
        let left = super::left(forward.until_ms);
        let last = self.ran + 1 >= forward.route.attempts;
        if !repeatable || last {
            return left;
        }
        let objective_ms = forward.route.target_ms * PATIENCE_OBJECTIVES;
        left.min(time::Duration::from_millis(objective_ms.max(PATIENCE_MS)))
    }

    fn request(
        &self,
        state: &State,
        forward: &Forward,
        place: &balance::Place,
    ) -> Option<Request<Full<Bytes>>> {
        let names = state.dialect.headers();
        let mut request = Request::new(Full::new(forward.body.clone()));
        *request.method_mut() = forward.method.clone();
        *request.uri_mut() = forward.target.clone();
        *request.headers_mut() = forward.headers.clone();
        let headers = request.headers_mut();
        headers.insert(
            names.expect_backend.clone(),
            header::HeaderValue::try_from(&*place.id).ok()?,
        );
        let now_ms = clock::steady_ms();
        let left_ms = forward
            .caller_until_ms
            .map(|until| until.min(forward.until_ms).saturating_sub(now_ms));
        if let Some(left_ms) = left_ms {
            headers.insert(
                names.deadline_ms.clone(),
                header::HeaderValue::from(left_ms),
            );
        }
        if let Some(last) = self.last_event {
            headers.insert(names.last_event.clone(), header::HeaderValue::from(last));
        }
        if forward.body.is_empty()
            && matches!(forward.method, hyper::Method::GET | hyper::Method::HEAD)
        {
            headers.remove(header::CONTENT_LENGTH);
        }
        Some(request)
    }
}

/// Returns what a failed exchange says of the backend server.
fn evidence(failure: upstream::Failure) -> balance::Failure {
    match failure {
        upstream::Failure::Connect | upstream::Failure::Timeout => balance::Failure::Unreachable,
        upstream::Failure::Broken => balance::Failure::Broken,
    }
}

/// Returns the load that a backend server states in an answer.
fn stated_load(state: &State, headers: &HeaderMap) -> Option<dialect::Load> {
    let text = forward::text(headers, &state.dialect.headers().load);
    state.dialect.load(text)
}

/// Judges the head of an answer. An error is the reason for another attempt.
fn judge(
    state: &State,
    forward: &Forward,
    status: StatusCode,
    headers: &HeaderMap,
) -> Result<(), &'static str> {
    let names = state.dialect.headers();
    let id = forward::text(headers, &names.request_id);
    if !id.is_empty() && id != forward.id {
        return Err("crossed_answer");
    }
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Err("other_backend");
    }
    if headers.contains_key(&names.not_run) {
        return Err("full");
    }
    let foreign = headers.contains_key(header::CONTENT_ENCODING);
    if foreign || !headers.contains_key(&names.stamp) || id.is_empty() {
        return Err("foreign_answer");
    }
    Ok(())
}

/// Forwards a request whose answer is not a series of events.
pub(crate) async fn forward(state: &Rc<State>, forward: Forward, active: Active) -> answer::Answer {
    let mut attempts = Attempts::new();
    loop {
        let accepted = match attempts.run(state, &forward).await {
            Ok(accepted) => accepted,
            Err(failed) => return failure(&forward, failed),
        };
        // A repeatable request is read in whole first, so that an answer that
        // breaks off is had again elsewhere.
        if !forward.route.kind.repeatable() {
            return pass(accepted, active);
        }
        let id = accepted.held.id.clone();
        let (parts, body) = accepted.response.into_parts();
        let reading = tokio::time::timeout(super::left(forward.until_ms), body.collect());
        match reading.await {
            Ok(Ok(body)) => {
                accepted.lease.release();
                state.finished(forward.fingerprint);
                let whole = answer::whole(body.to_bytes());
                let mut response = Response::from_parts(parts, whole.into());
                forward::remove_hop_headers(response.headers_mut());
                return response;
            }
            Ok(Err(_)) => {
                state.crashed(&forward.id, forward.fingerprint);
                attempts.broke(state, &id);
            }
            Err(_) => return failure(&forward, Failed::TimedOut),
        }
    }
}

/// Passes an answer on as it arrives.
fn pass(accepted: Accepted, active: Active) -> answer::Answer {
    let (mut parts, body) = accepted.response.into_parts();
    forward::remove_hop_headers(&mut parts.headers);
    let source = (body, Some((accepted.lease, accepted.held, active)));
    let pieces = stream::unfold(source, |(mut body, guard)| async move {
        let (lease, held, active) = guard?;
        match body.frame().await {
            None => {
                lease.release();
                drop((held, active));
                None
            }
            Some(Ok(frame)) => Some((Ok(frame), (body, Some((lease, held, active))))),
            Some(Err(error)) => Some((Err(std::io::Error::other(error)), (body, None))),
        }
    });
    Response::from_parts(parts, answer::pieces(pieces))
}

/// Answers a request that got no answer.
pub(crate) fn failure(forward: &Forward, failed: Failed) -> answer::Answer {
    match failed {
        Failed::NotRun(reason, retry_after_ms) => {
            forward::refuse(&forward.id, reason, retry_after_ms);
            answer::not_run(reason, retry_after_ms)
        }
        Failed::MayHaveRun(reason) => {
            log::warn!(request = forward.id.as_str(), reason = reason, verdict = "may_have_run"; "failed");
            metrics::REFUSALS.with_label_values(&[reason]).inc();
            answer::own(StatusCode::BAD_GATEWAY, reason)
        }
        Failed::TimedOut => {
            log::warn!(request = forward.id.as_str(), reason = "timeout", verdict = "may_have_run"; "failed");
            metrics::REFUSALS.with_label_values(&["timeout"]).inc();
            answer::own(StatusCode::GATEWAY_TIMEOUT, "no answer in time")
        }
    }
}
