//! Attempts to have a request answered by a backend server.

use std::{io, net, rc::Rc, time};

use bw_relay::{balance, suspect};
use bw_wire::{name::Name, verdict};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body, body::Body, header};

use crate::{
    clock, dialect,
    entry::{answer, forward, forward::Forward, front::Active, reason::Reason, state::State},
    memory, metrics, upstream,
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
/// When a caller should come back after a request that no backend server ran in
/// several attempts, in milliseconds: about three times as long as a slot takes
/// to become free.
const GIVEN_UP_RETRY_MS: u64 = 300;
/// Largest answer to a repeatable request that is read in whole before it is
/// passed on, in bytes, so that one that breaks off is had again elsewhere. Answers
/// that do not state a length may not be larger.
const WHOLE_BYTES: u64 = 1 << 20;
/// Most bytes of an answer without a stated length that are passed on as they
/// arrive: as many as a request may have on the usual routes.
const PASSED_BYTES: u64 = 4 << 20;
/// When a caller should come back to a route without a service, in milliseconds;
/// a configuration is in force everywhere within that time.
const NO_SERVICE_RETRY_MS: u64 = 1_000;

/// A backend server that works on a request, until it is dropped.
pub(crate) struct Held {
    state: Rc<State>,
    pub(crate) id: Name,
    since_ms: u64,
}

impl Drop for Held {
    fn drop(&mut self) {
        let took_ms = clock::monotonic_ms().saturating_sub(self.since_ms);
        self.state.balance.borrow_mut().finished(&self.id, took_ms);
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
    /// Nothing ran, and the caller should come back after some milliseconds.
    NotRun(Reason, u64),
    /// The request may have run.
    MayHaveRun(Reason),
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
        let now_ms = clock::monotonic_ms();
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
        let mut reason = Reason::NoBackend;
        loop {
            let limit = forward.route.attempts.max(1);
            if self.ran >= limit || (self.ran > 0 && !forward.route.kind.repeatable()) {
                return Err(Failed::MayHaveRun(reason));
            }
            if clock::monotonic_ms() >= forward.until_ms {
                return Err(self.given_up(Reason::Timeout));
            }
            if state.is_refused(forward.fingerprint) {
                return Err(self.given_up(Reason::PoisonousRequest));
            }
            if self.sends >= SENDS_MAX {
                return Err(self.given_up(reason));
            }
            let (place, held) = match self.place(state, forward) {
                Ok(placed) => placed,
                Err(rejection) if self.ran == 0 => {
                    log::info!(
                        request = forward.id.as_str(), usable = rejection.usable,
                        least_online = rejection.least_online, unseen = rejection.unseen, loads_age_ms = state.loads_age_ms(),
                        route = &*forward.route.name, connected = state.connected.get();
                        "not placed"
                    );
                    let reason = Reason::from(rejection.reason);
                    return Err(Failed::NotRun(reason, rejection.retry_after_ms));
                }
                Err(_) => return Err(Failed::MayHaveRun(reason)),
            };
            self.sends += 1;
            if self.sends > 1 {
                metrics::RETRIES.with_label_values(&[reason.name()]).inc();
            }
            match self.send(state, forward, &place, held).await {
                Ok(accepted) => return Ok(accepted),
                Err(failure) => reason = failure,
            }
        }
    }

    fn given_up(&self, reason: Reason) -> Failed {
        match self.ran {
            0 => Failed::NotRun(reason, GIVEN_UP_RETRY_MS),
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
                retry_after_ms: NO_SERVICE_RETRY_MS,
                usable: 0,
                least_online: 0,
                unseen: 0,
            });
        };
        let wish = balance::Request {
            service,
            affinity: forward.affinity,
            tried: &self.tried,
            failure_domain: &state.settings.failure_domain,
            resumed: self.ran > 0,
            random: state.draw(),
        };
        let place = state
            .balance
            .borrow_mut()
            .place(&wish, clock::monotonic_ms())?;
        if place.needs_preemption {
            state.crowded.notify_one();
        }
        let held = Held {
            state: Rc::clone(state),
            id: place.id.clone(),
            since_ms: clock::monotonic_ms(),
        };
        Ok((place, held))
    }

    /// Sends the request once. The error is the reason for the next attempt.
    async fn send(
        &mut self,
        state: &Rc<State>,
        forward: &Forward,
        place: &balance::Place,
        held: Held,
    ) -> Result<Accepted, Reason> {
        let address = place.address.parse::<net::SocketAddr>().ok();
        let request = self.request(state, forward, place);
        let (Some(address), Some(request)) = (address, request) else {
            self.tried.push(place.id.clone());
            return Err(Reason::BadRequest);
        };
        let repeatable = forward.route.kind.repeatable();
        let limit = self.patience(forward, repeatable);
        let sent_ms = clock::monotonic_ms();
        let believed = state.balance.borrow().view(&place.id);
        let sent = state.pool.send(address, request, repeatable, limit).await;
        let names = state.dialect.headers();
        let judged = sent.and_then(|answer| {
            upstream::check_head(names, &forward.id, &answer.response)?;
            Ok(answer)
        });
        self.log(state, forward, place, believed, sent_ms, &judged);
        let answer = match judged {
            Ok(answer) => answer,
            Err(failure) => {
                self.note_failure(state, forward, place, failure);
                return Err(failure.into());
            }
        };
        self.ran += 1;
        if self.note_answer(state, forward, place, answer.response.status()) {
            self.tried.push(place.id.clone());
            return Err(Reason::ServerError);
        }
        Ok(Accepted {
            response: answer.response,
            lease: answer.lease,
            held,
        })
    }

    /// Logs one send with the load of the backend server as it was believed before
    /// and as the answer states it.
    fn log(
        &self,
        state: &State,
        forward: &Forward,
        place: &balance::Place,
        (own, online, batch): (u32, u32, u32),
        sent_ms: u64,
        judged: &Result<upstream::Exchange, upstream::Failure>,
    ) {
        let now_ms = clock::monotonic_ms();
        let stated = match judged {
            Ok(answer) => stated_load(state, answer.response.headers()),
            Err(_) => None,
        };
        let outcome = match judged {
            Ok(answer) => answer.response.status().as_str().to_owned(),
            Err(failure) => Reason::from(*failure).name().to_owned(),
        };
        log::info!(
            request = forward.id.as_str(), backend = place.id.as_str(), send = self.sends,
            own = own, online = online, batch = batch, loads_age_ms = state.loads_age_ms(),
            running = stated.map_or(0, |load| load.running), waiting = stated.map_or(0, |load| load.waiting),
            outcome = outcome.as_str(),
            took_ms = now_ms.saturating_sub(sent_ms), left_ms = forward.until_ms.saturating_sub(now_ms);
            "sent"
        );
    }

    /// Notes what a send without an answer says of the backend server.
    fn note_failure(
        &mut self,
        state: &State,
        forward: &Forward,
        place: &balance::Place,
        failure: upstream::Failure,
    ) {
        self.tried.push(place.id.clone());
        self.ran += u32::from(failure.verdict() == verdict::Verdict::MayHaveRun);
        if failure == upstream::Failure::Broken {
            state.crashed(&forward.id, forward.fingerprint);
        }
        let now_ms = clock::monotonic_ms();
        let mut balance = state.balance.borrow_mut();
        match failure {
            upstream::Failure::Full => balance.refused(&place.id, now_ms),
            // A request that used up its own time says nothing of the backend
            // server.
            upstream::Failure::Connect | upstream::Failure::Timeout
                if now_ms >= forward.until_ms => {}
            upstream::Failure::Connect
            | upstream::Failure::Timeout
            | upstream::Failure::OtherBackend => {
                balance.failed(&place.id, balance::Failure::Unreachable, now_ms);
            }
            upstream::Failure::Broken
            | upstream::Failure::CrossedAnswer
            | upstream::Failure::ForeignAnswer
            | upstream::Failure::Endless => {
                balance.failed(&place.id, balance::Failure::Broken, now_ms);
            }
        }
    }

    /// Notes what an answer says of the backend server. Returns whether the request
    /// should be sent to another one.
    fn note_answer(
        &self,
        state: &State,
        forward: &Forward,
        place: &balance::Place,
        status: StatusCode,
    ) -> bool {
        let now_ms = clock::monotonic_ms();
        let mut balance = state.balance.borrow_mut();
        if status != StatusCode::INTERNAL_SERVER_ERROR {
            balance.succeeded(&place.id, now_ms);
            return false;
        }
        balance.failed(&place.id, balance::Failure::Broken, now_ms);
        forward.route.kind.repeatable() && self.ran < forward.route.attempts
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
        let now_ms = clock::monotonic_ms();
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
            headers.insert(names.last_event_id.clone(), header::HeaderValue::from(last));
        }
        if forward.body.is_empty()
            && matches!(forward.method, hyper::Method::GET | hyper::Method::HEAD)
        {
            headers.remove(header::CONTENT_LENGTH);
        }
        Some(request)
    }
}

/// Returns the load that a backend server states in an answer.
fn stated_load(state: &State, headers: &HeaderMap) -> Option<dialect::Load> {
    let text = forward::text(headers, &state.dialect.headers().load);
    state.dialect.decode_load(text)
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
        // One that states a larger length is passed on as it arrives.
        let large = accepted.response.body().size_hint().exact();
        if !forward.route.kind.repeatable() || large.is_some_and(|length| length > WHOLE_BYTES) {
            return pass(state, accepted, active, &forward);
        }
        let id = accepted.held.id.clone();
        let (parts, body) = accepted.response.into_parts();
        let reading = collect(body, state.pool.budget().reserve());
        match tokio::time::timeout(super::left(forward.until_ms), reading).await {
            Ok(Ok(body)) => {
                accepted.lease.release();
                state.finished(forward.fingerprint);
                let mut response = Response::from_parts(parts, answer::whole(body));
                forward::remove_hop_headers(response.headers_mut());
                return response;
            }
            Ok(Err(reason)) => {
                log::warn!(request = forward.id.as_str(), backend = &*id, reason = reason.name(); "answer broke off");
                metrics::RETRIES.with_label_values(&[reason.name()]).inc();
                // An answer without end says nothing against its request.
                if reason == Reason::Broken {
                    state.crashed(&forward.id, forward.fingerprint);
                }
                attempts.broke(state, &id);
            }
            Err(_) => return failure(&forward, Failed::MayHaveRun(Reason::Timeout)),
        }
    }
}

/// Reads a body in whole.
async fn collect(
    mut body: body::Incoming,
    mut reservation: memory::Reservation,
) -> Result<BytesMut, Reason> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| Reason::Broken)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + bytes.len();
        if length as u64 > WHOLE_BYTES || !reservation.resize(length) {
            return Err(Reason::Endless);
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(whole)
}

/// Passes an answer on as it arrives, until the request's time is over. One that
/// states no length may not be larger than `PASSED_BYTES`.
fn pass(
    state: &Rc<State>,
    accepted: Accepted,
    active: Active,
    forward: &Forward,
) -> answer::Answer {
    let (mut parts, body) = accepted.response.into_parts();
    forward::remove_hop_headers(&mut parts.headers);
    let stated = body.size_hint().exact();
    let passage = Passage {
        state: Rc::clone(state),
        body,
        left: stated.unwrap_or(PASSED_BYTES),
        until_ms: forward.until_ms,
        fingerprint: forward.fingerprint,
        lease: accepted.lease,
        held: accepted.held,
        _active: active,
    };
    let pieces = stream::unfold(Some(passage), |passage| async move {
        let mut passage = passage?;
        match passage.next().await {
            Some(Ok(frame)) => Some((Ok(frame), Some(passage))),
            Some(Err(error)) => Some((Err(error), None)),
            None => {
                passage.state.finished(passage.fingerprint);
                passage.lease.release();
                None
            }
        }
    });
    Response::from_parts(parts, answer::pieces(pieces))
}

/// An answer that is passed on as it arrives.
struct Passage {
    state: Rc<State>,
    body: body::Incoming,
    /// Bytes that may still come.
    left: u64,
    until_ms: u64,
    fingerprint: suspect::Fingerprint,
    lease: upstream::Lease,
    held: Held,
    _active: Active,
}

impl Passage {
    async fn next(&mut self) -> Option<io::Result<body::Frame<Bytes>>> {
        let next = tokio::time::timeout(super::left(self.until_ms), self.body.frame()).await;
        let frame = match next {
            Ok(frame) => frame?.map_err(io::Error::other),
            Err(late) => Err(io::Error::other(late)),
        };
        let bytes = frame.as_ref().ok().and_then(body::Frame::data_ref);
        let length = bytes.map_or(0, |bytes| bytes.len() as u64);
        let Some(left) = self.left.checked_sub(length) else {
            let mut balance = self.state.balance.borrow_mut();
            balance.failed(
                &self.held.id,
                balance::Failure::Broken,
                clock::monotonic_ms(),
            );
            log::warn!(backend = &*self.held.id, reason = Reason::Endless.name(); "answer broke off");
            return Some(Err(io::Error::other(Reason::Endless.name())));
        };
        self.left = left;
        Some(frame)
    }
}

/// Answers a request that got no answer.
pub(crate) fn failure(forward: &Forward, failed: Failed) -> answer::Answer {
    let reason = match failed {
        Failed::NotRun(reason, retry_after_ms) => {
            forward::refuse(&forward.id, reason, retry_after_ms);
            return answer::not_run(reason.name(), retry_after_ms);
        }
        Failed::MayHaveRun(reason) => reason,
    };
    log::warn!(request = forward.id.as_str(), reason = reason.name(), verdict = "may_have_run"; "failed");
    metrics::REFUSALS.with_label_values(&[reason.name()]).inc();
    let status = match reason {
        Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    answer::own(status, reason.name())
}
