//! Attempts to send a request to a backend server until one responds.

use std::{cell::Cell, io, net, rc::Rc, time};

use bw_relay::{balance, suspect};
use bw_wire::{name::Name, verdict};
use bytes::{Bytes, BytesMut};
use futures_util::stream;
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, StatusCode, body, body::Body, header};

use crate::{
    clock, dialect,
    entry::{
        forward,
        forward::Forward,
        front::Active,
        reason::Reason,
        response,
        state::State,
        suspects::{Permit, Subject},
    },
    memory, metrics, upstream,
};

/// Most sends of a request, including those to backend servers that refused it or
/// were unreachable, which the attempt limit of the route does not count.
const SENDS_MAX: u32 = 5;
/// Timeout of the response head of a repeatable request before it is sent
/// elsewhere, as a multiple of the route's latency objective. The wait in a full
/// backend server takes about one objective.
const HEAD_TIMEOUT_OBJECTIVES: u64 = 4;
/// Lower bound of this timeout in milliseconds.
const HEAD_TIMEOUT_MIN_MS: u64 = 1_000;
/// Retry-after time of a request that no backend server ran in several attempts,
/// in milliseconds: about three times as long as a slot takes to become free.
const GIVEN_UP_RETRY_MS: u64 = 300;
/// Largest response to a repeatable request that is buffered in whole before it is
/// forwarded, in bytes, so that a truncated one can be retried elsewhere. Responses
/// without a stated length may not be larger.
const BUFFERED_BYTES_MAX: u64 = 1 << 20;
/// Largest response without a stated length that is streamed to the caller, in
/// bytes: the usual size limit of a request's body.
pub(crate) const UNSIZED_BYTES_MAX: u64 = 4 << 20;
/// Time for which bytes may be under way after their backend server has ended, in
/// milliseconds.
const TRANSIT_MS: u64 = 500;
/// Retry-after time of a request on a route without a service, in milliseconds. A
/// new configuration is in force everywhere within that time.
const NO_SERVICE_RETRY_MS: u64 = 1_000;

/// The slot that a request occupies at a backend server until dropped. A run that then has
/// neither been answered nor crashed is kept until it is known what became of the backend
/// server.
pub(crate) struct Slot {
    state: Rc<State>,
    subject: Rc<Subject>,
    permit: Option<Rc<Permit>>,
    pub(crate) id: Name,
    address: Name,
    /// When the backend server announced to have started, in Unix milliseconds.
    backend_started_ms: u64,
    started_ms: u64,
    written_ms: Cell<u64>,
    /// Whether there is no run, or all is known or kept that it shows of the request.
    settled: Cell<bool>,
}

/// A run of a request at a backend server.
#[derive(Clone, Copy)]
pub(crate) struct Run<'a> {
    pub(crate) backend: &'a str,
    /// When the backend server announced to have started, in Unix milliseconds.
    pub(crate) backend_started_ms: u64,
    /// When the run was sent, in monotonic milliseconds.
    pub(crate) sent_ms: u64,
    /// Time from the first to the last event of its stream, in milliseconds.
    pub(crate) written_ms: u64,
}

impl<'a> Run<'a> {
    /// Creates a run that is not looked at, to refer to a start of a backend server.
    pub(crate) fn at(backend: &'a str, backend_started_ms: u64) -> Run<'a> {
        Run {
            backend,
            backend_started_ms,
            sent_ms: 0,
            written_ms: 0,
        }
    }

    /// Returns the start of the backend server.
    pub(crate) fn incarnation(self) -> suspect::Incarnation {
        suspect::Incarnation::new(self.backend, self.backend_started_ms)
    }

    /// Returns the run as evidence knows it.
    pub(crate) fn evidence(self) -> suspect::Run {
        suspect::Run {
            sent_ms: self.sent_ms,
            written_ms: self.written_ms,
        }
    }
}

/// What the head of a whole answer says.
#[derive(Clone, Copy)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    /// Whether it stated where its body ends.
    pub(crate) is_framed: bool,
}

impl Slot {
    /// Returns the run that occupies the slot.
    pub(crate) fn run(&self) -> Run<'_> {
        Run {
            backend: &self.id,
            backend_started_ms: self.backend_started_ms,
            sent_ms: self.started_ms,
            written_ms: self.written_ms.get(),
        }
    }

    /// Notes that all is known that the run shows of the request.
    pub(crate) fn settle(&self) {
        self.settled.set(true);
    }

    /// Sets the time from the first to the last event.
    pub(crate) fn note_written(&self, written_ms: u64) {
        self.written_ms.set(written_ms);
    }

    /// Notes that bytes of the response have arrived.
    pub(crate) fn note_alive(&self) {
        let suspects = &self.state.suspects;
        if suspects.has_settled_all() {
            return;
        }
        let at_ms = clock::monotonic_ms().saturating_sub(TRANSIT_MS);
        suspects.note_responded(&self.state.link, self.run(), at_ms);
    }

    /// Adds a strike, as the backend server broke the connection.
    pub(crate) fn note_crash(&self) {
        self.settle();
        let suspects = &self.state.suspects;
        suspects.note_crash(&self.state.link, &self.subject, self.run());
        if let Some(permit) = &self.permit {
            permit.settle();
        }
    }

    /// Notes that the request was answered in whole. A server error may be sent before the
    /// request has run and shows nothing.
    pub(crate) fn note_answered(&self, answer: Answer) {
        self.settle();
        if answer.status.is_server_error() {
            return;
        }
        let succeeded = answer.status.is_success();
        if !answer.is_framed {
            self.hold(Some(succeeded));
            return;
        }
        let suspects = &self.state.suspects;
        suspects.note_answered(&self.state.link, &self.subject, succeeded, self.run());
        if let Some(permit) = &self.permit {
            permit.settle();
        }
    }

    /// Notes that nothing came for a while. The run may go on.
    fn note_silent(&self) {
        self.hold(None);
        self.check();
    }

    /// Has the backend server checked.
    pub(crate) fn check(&self) {
        let suspects = &self.state.suspects;
        suspects.request_check(&self.address, self.run());
    }

    /// Keeps the run until it is known what became of the backend server.
    fn hold(&self, succeeded: Option<bool>) {
        let suspects = &self.state.suspects;
        suspects.hold(&self.subject, self.permit.clone(), succeeded, self.run());
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if !self.settled.get() {
            self.hold(None);
        }
        let took_ms = clock::monotonic_ms().saturating_sub(self.started_ms);
        self.state.balance.borrow_mut().finished(&self.id, took_ms);
    }
}

/// A response of a backend server that is to be forwarded.
pub(crate) struct Accepted {
    pub(crate) response: Response<upstream::Body>,
    pub(crate) lease: upstream::Lease,
    pub(crate) slot: Slot,
}

/// The state of a request over all its attempts.
pub(crate) struct Attempts {
    /// Backend servers that were tried.
    pub(crate) tried: Vec<Name>,
    sends: u32,
    /// Whether the request has run, over all sends.
    tally: verdict::Tally,
    /// The event after which a resumed stream continues.
    pub(crate) last_event: Option<u64>,
}

/// Why a request got no response, over all its sends. Only [`Attempts`] creates it, so that
/// its verdict is that of all of them.
pub(crate) struct Failed {
    reason: Reason,
    verdict: verdict::Verdict,
    /// When the caller should retry a request that has not run, in milliseconds.
    retry_after_ms: u64,
}

impl Attempts {
    pub(crate) fn new() -> Attempts {
        Attempts {
            tried: Vec::new(),
            sends: 0,
            tally: verdict::Tally::default(),
            last_event: None,
        }
    }

    /// Notes that the response of the last attempt broke off.
    pub(crate) fn note_broken(&mut self, state: &State, id: &Name) {
        let now_ms = clock::monotonic_ms();
        let mut balance = state.balance.borrow_mut();
        balance.failed(id, balance::Failure::Broken, now_ms);
        self.tried.push(id.clone());
    }

    /// Sends the request until a backend server responds or the attempts, the sends
    /// or the time are used up.
    pub(crate) async fn run(
        &mut self,
        state: &Rc<State>,
        forward: &Forward,
    ) -> Result<Accepted, Failed> {
        let mut reason = Reason::NoBackend;
        loop {
            if self.tally.runs() >= runs_max(forward)
                || (self.may_have_run() && !forward.route.kind.repeatable())
            {
                return Err(self.give_up(reason));
            }
            if clock::monotonic_ms() >= forward.deadline_ms {
                return Err(self.give_up(Reason::Timeout));
            }
            // Other processes may have seen crashes since the last send.
            if let Some(reason) = state.suspects.refusal_of_send(forward) {
                return Err(self.give_up(reason));
            }
            if self.may_have_run() && !state.suspects.may_resend(&forward.subject.request) {
                log::info!(request = forward.subject.id.as_str(), parts = forward.subject.logged_parts.as_str(); "not sent again, as a part is suspected");
                return Err(self.give_up(Reason::PoisonousPart));
            }
            if self.sends >= SENDS_MAX {
                return Err(self.give_up(reason));
            }
            let (place, slot) = match self.place(state, forward) {
                Ok(placed) => placed,
                Err(_) if self.may_have_run() => return Err(self.give_up(reason)),
                Err(rejection) => {
                    log::info!(
                        request = forward.subject.id.as_str(), usable = rejection.usable,
                        least_online = rejection.least_online, unseen = rejection.unseen_requests, loads_age_ms = state.loads_age_ms(),
                        route = &*forward.route.name, connected = state.connected.get();
                        "not placed"
                    );
                    return Err(Failed {
                        retry_after_ms: rejection.retry_after_ms,
                        ..self.give_up(Reason::from(rejection.reason))
                    });
                }
            };
            self.sends += 1;
            if self.sends > 1 {
                metrics::RETRIES.with_label_values(&[reason.name()]).inc();
            }
            match self.send(state, forward, &place, slot).await {
                Ok(accepted) => return Ok(accepted),
                Err(failure) => reason = failure,
            }
        }
    }

    /// Returns whether the request has run, over all sends.
    pub(crate) fn verdict(&self) -> verdict::Verdict {
        self.tally.verdict()
    }

    fn may_have_run(&self) -> bool {
        self.verdict().may_have_run()
    }

    /// Ends the request without a response.
    fn give_up(&self, reason: Reason) -> Failed {
        Failed {
            reason,
            verdict: self.verdict(),
            retry_after_ms: GIVEN_UP_RETRY_MS,
        }
    }

    fn place(
        &self,
        state: &Rc<State>,
        forward: &Forward,
    ) -> Result<(balance::Place, Slot), balance::Rejection> {
        let draw = state.random_u64();
        let Some(service) = forward.route.service(draw) else {
            return Err(balance::Rejection {
                reason: balance::Reason::NoBackend,
                retry_after_ms: NO_SERVICE_RETRY_MS,
                usable: 0,
                least_online: 0,
                unseen_requests: 0,
            });
        };
        let request = balance::Request {
            service,
            affinity: forward.affinity,
            tried: &self.tried,
            failure_domain: &state.settings.failure_domain,
            resumed: self.may_have_run(),
            random: state.random_u64(),
        };
        let place = state
            .balance
            .borrow_mut()
            .place(&request, clock::monotonic_ms())?;
        if place.needs_preemption {
            state.preemption_wanted.notify_one();
        }
        let slot = Slot {
            state: Rc::clone(state),
            subject: Rc::clone(&forward.subject),
            permit: forward.permit.clone(),
            id: place.id.clone(),
            address: place.address.clone(),
            backend_started_ms: place.started_ms,
            started_ms: clock::monotonic_ms(),
            written_ms: Cell::new(0),
            settled: Cell::new(true),
        };
        Ok((place, slot))
    }

    /// Sends the request once. The error is the reason for a retry.
    async fn send(
        &mut self,
        state: &Rc<State>,
        forward: &Forward,
        place: &balance::Place,
        slot: Slot,
    ) -> Result<Accepted, Reason> {
        let address = place.address.parse::<net::SocketAddr>().ok();
        let request = self.build_request(state, forward, place);
        let (Some(address), Some(request)) = (address, request) else {
            self.tried.push(place.id.clone());
            return Err(Reason::BadRequest);
        };
        let repeatable = forward.route.kind.repeatable();
        let timeout = self.head_timeout(forward, repeatable);
        let known_load = state.balance.borrow().view(&place.id);
        if let Some(permit) = &forward.permit {
            permit.sent();
        }
        // A suspect is not sent again by the pool, as each send may crash the backend
        // server.
        let resend = repeatable && !state.suspects.is_suspect(&forward.subject.request);
        slot.settled.set(false);
        let sending = state.pool.send(address, request, resend, timeout);
        let sent = watch_silence(sending, silence(forward), &slot).await;
        let names = state.dialect.headers();
        let checked = sent.and_then(|exchange| exchange.check(names, &forward.subject.id));
        self.log_send(state, forward, place, known_load, slot.started_ms, &checked);
        let exchange = match checked {
            Ok(exchange) => exchange,
            Err(error) => {
                self.note_failure(state, forward, &slot, error);
                return Err(error.failure.into());
            }
        };
        // The backend server was alive when the request reached it.
        let suspects = &state.suspects;
        suspects.note_responded(&state.link, slot.run(), slot.started_ms);
        self.tally.add(verdict::Verdict::Run);
        if self.note_response(state, forward, place, exchange.response.status()) {
            slot.settle();
            self.tried.push(place.id.clone());
            return Err(Reason::ServerError);
        }
        Ok(Accepted {
            response: exchange.response,
            lease: exchange.lease,
            slot,
        })
    }

    /// Logs one send, with the load of the backend server as it was known before and
    /// as the response reports it.
    fn log_send(
        &self,
        state: &State,
        forward: &Forward,
        place: &balance::Place,
        (own, online, batch): (u32, u32, u32),
        sent_ms: u64,
        checked: &Result<upstream::Exchange, upstream::Error>,
    ) {
        let now_ms = clock::monotonic_ms();
        let reported = match checked {
            Ok(exchange) => reported_load(state, exchange.response.headers()),
            Err(_) => None,
        };
        let outcome = match checked {
            Ok(exchange) => exchange.response.status().as_str().to_owned(),
            Err(error) => Reason::from(error.failure).name().to_owned(),
        };
        log::info!(
            request = forward.subject.id.as_str(), backend = place.id.as_str(), send = self.sends,
            parts = forward.subject.logged_parts.as_str(),
            own = own, online = online, batch = batch, loads_age_ms = state.loads_age_ms(),
            running = reported.map_or(0, |load| load.running), waiting = reported.map_or(0, |load| load.waiting),
            outcome = outcome.as_str(),
            took_ms = now_ms.saturating_sub(sent_ms), left_ms = forward.deadline_ms.saturating_sub(now_ms);
            "sent"
        );
    }

    /// Updates the health of the backend server after a send without a valid response.
    fn note_failure(
        &mut self,
        state: &State,
        forward: &Forward,
        slot: &Slot,
        error: upstream::Error,
    ) {
        let run = slot.run();
        self.tried.push(run.backend.into());
        self.tally.add(error.verdict);
        if !error.verdict.may_have_run() {
            slot.settle();
            if let Some(permit) = &forward.permit {
                permit.not_run();
            }
        }
        let (suspects, link) = (&state.suspects, &state.link);
        match error.failure {
            upstream::Failure::Broken => slot.note_crash(),
            upstream::Failure::Timeout => slot.check(),
            upstream::Failure::Refused => suspects.note_ended(link, run, "refused"),
            upstream::Failure::OtherBackend => suspects.note_ended(link, run, "replaced"),
            upstream::Failure::Unreachable => suspects.note_lost(link, run, "unreachable"),
            upstream::Failure::Full => suspects.note_responded(link, run, run.sent_ms),
            // Like a server error, it shows nothing about the request.
            upstream::Failure::UnstatedRefusal(_) => {
                slot.settle();
                suspects.note_responded(link, run, run.sent_ms);
            }
            upstream::Failure::Connect
            | upstream::Failure::CrossedAnswer
            | upstream::Failure::ForeignAnswer
            | upstream::Failure::Endless => {}
        }
        let now_ms = clock::monotonic_ms();
        let mut balance = state.balance.borrow_mut();
        match error.failure {
            upstream::Failure::Full => balance.refused(run.backend, now_ms),
            // It may concern this request or its caller alone, such as a limit on a caller.
            upstream::Failure::UnstatedRefusal(status) if status.is_client_error() => {
                balance.succeeded(run.backend, now_ms);
            }
            // A request that ran out of its own time does not make the backend server
            // unhealthy.
            upstream::Failure::Connect
            | upstream::Failure::Unreachable
            | upstream::Failure::Refused
            | upstream::Failure::Timeout
                if now_ms >= forward.deadline_ms => {}
            upstream::Failure::Connect
            | upstream::Failure::Unreachable
            | upstream::Failure::Refused
            | upstream::Failure::Timeout
            | upstream::Failure::OtherBackend => {
                balance.failed(run.backend, balance::Failure::Unreachable, now_ms);
            }
            upstream::Failure::Broken
            | upstream::Failure::CrossedAnswer
            | upstream::Failure::ForeignAnswer
            | upstream::Failure::UnstatedRefusal(_)
            | upstream::Failure::Endless => {
                balance.failed(run.backend, balance::Failure::Broken, now_ms);
            }
        }
    }

    /// Updates the health of the backend server after a response. Returns whether the
    /// request should be retried at another one.
    fn note_response(
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
        forward.route.kind.repeatable() && self.tally.runs() < runs_max(forward)
    }

    fn head_timeout(&self, forward: &Forward, repeatable: bool) -> time::Duration {
        let remaining = super::remaining(forward.deadline_ms);
        let is_last = self.tally.runs() + 1 >= runs_max(forward);
        if !repeatable || is_last {
            return remaining;
        }
        remaining.min(silence(forward))
    }

    fn build_request(
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
            .caller_deadline_ms
            .map(|until| until.min(forward.deadline_ms).saturating_sub(now_ms));
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

/// Returns the time without a response head after which a repeatable request is sent
/// elsewhere. The backend server of any request is checked then.
fn silence(forward: &Forward) -> time::Duration {
    let objective_ms = forward.route.target_ms * HEAD_TIMEOUT_OBJECTIVES;
    time::Duration::from_millis(objective_ms.max(HEAD_TIMEOUT_MIN_MS))
}

/// Waits for bytes of a backend server, and has it checked if none come for a while.
pub(crate) async fn watch_silence<T>(
    waiting: impl Future<Output = T>,
    silence: time::Duration,
    slot: &Slot,
) -> T {
    let mut waiting = std::pin::pin!(waiting);
    match tokio::time::timeout(silence, waiting.as_mut()).await {
        Ok(output) => output,
        Err(_) => {
            slot.note_silent();
            waiting.await
        }
    }
}

/// Returns how often a request may run. A trial is permitted for one run.
fn runs_max(forward: &Forward) -> u32 {
    match forward.permit {
        Some(_) => 1,
        None => forward.route.attempts.max(1),
    }
}

/// Returns the load that a backend server reports in a response.
fn reported_load(state: &State, headers: &HeaderMap) -> Option<dialect::Load> {
    let text = forward::header_text(headers, &state.dialect.headers().load);
    state.dialect.decode_load(text)
}

/// Forwards a request whose response is not an event stream.
pub(crate) async fn forward(
    state: &Rc<State>,
    forward: Forward,
    active: Active,
) -> response::Response {
    let mut attempts = Attempts::new();
    loop {
        let accepted = match attempts.run(state, &forward).await {
            Ok(accepted) => accepted,
            Err(failed) => return failure_response(&forward, failed),
        };
        // The response to a repeatable request is buffered in whole first, so that a
        // truncated one can be retried elsewhere. One that states a larger length is
        // streamed.
        let large = accepted.response.body().size_hint().exact();
        if !forward.route.kind.repeatable()
            || large.is_some_and(|length| length > BUFFERED_BYTES_MAX)
        {
            return pass_through(state, accepted, active, forward);
        }
        let slot = accepted.slot;
        let is_framed = accepted.response.body().is_framed();
        let (parts, body) = accepted.response.into_parts();
        let reading = async {
            let reading = read_whole(body, state.pool.budget().reserve());
            watch_silence(reading, silence(&forward), &slot).await
        };
        match tokio::time::timeout(super::remaining(forward.deadline_ms), reading).await {
            Ok(Ok(body)) => {
                accepted.lease.release();
                let answer = Answer {
                    status: parts.status,
                    is_framed,
                };
                slot.note_answered(answer);
                let mut response = Response::from_parts(parts, response::full(body));
                forward::remove_hop_headers(response.headers_mut());
                return response;
            }
            Ok(Err(reason)) => {
                log::warn!(request = forward.subject.id.as_str(), backend = &*slot.id, reason = reason.name(); "response broke off");
                metrics::RETRIES.with_label_values(&[reason.name()]).inc();
                // An endless response does not make its request a suspect.
                if reason == Reason::Broken {
                    slot.note_crash();
                }
                attempts.note_broken(state, &slot.id);
            }
            Err(_) => return failure_response(&forward, attempts.give_up(Reason::Timeout)),
        }
    }
}

/// Reads a whole body into memory, within the size limit and the memory budget.
async fn read_whole(
    mut body: upstream::Body,
    mut reservation: memory::Reservation,
) -> Result<BytesMut, Reason> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(Reason::from)?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        let length = whole.len() + bytes.len();
        if length as u64 > BUFFERED_BYTES_MAX || !reservation.resize(length) {
            return Err(Reason::Endless);
        }
        whole.extend_from_slice(&bytes);
    }
    Ok(whole)
}

/// Streams a response to the caller until the request's deadline. One without a
/// stated length may not be larger than `UNSIZED_BYTES_MAX`.
fn pass_through(
    state: &Rc<State>,
    accepted: Accepted,
    active: Active,
    forward: Forward,
) -> response::Response {
    let is_framed = accepted.response.body().is_framed();
    let (mut parts, body) = accepted.response.into_parts();
    forward::remove_hop_headers(&mut parts.headers);
    let stated = body.size_hint().exact();
    let passthrough = Passthrough {
        state: Rc::clone(state),
        body,
        answer: Answer {
            status: parts.status,
            is_framed,
        },
        left: stated.unwrap_or(UNSIZED_BYTES_MAX),
        forward,
        lease: accepted.lease,
        slot: accepted.slot,
        _active: active,
    };
    let pieces = stream::unfold(Some(passthrough), |passthrough| async move {
        let mut passthrough = passthrough?;
        match passthrough.next().await {
            Some(Ok(frame)) => Some((Ok(frame), Some(passthrough))),
            Some(Err(error)) => Some((Err(error), None)),
            None => {
                passthrough.slot.note_answered(passthrough.answer);
                passthrough.lease.release();
                None
            }
        }
    });
    Response::from_parts(parts, response::streamed(pieces))
}

/// A response that is streamed to the caller.
struct Passthrough {
    state: Rc<State>,
    body: upstream::Body,
    answer: Answer,
    /// The number of bytes that may still follow.
    left: u64,
    forward: Forward,
    lease: upstream::Lease,
    slot: Slot,
    _active: Active,
}

impl Passthrough {
    async fn next(&mut self) -> Option<io::Result<body::Frame<Bytes>>> {
        let timeout = super::remaining(self.forward.deadline_ms);
        let reading = super::next_frame(&mut self.body, timeout);
        let frame = match watch_silence(reading, silence(&self.forward), &self.slot).await {
            Some(frame) => frame?.map_err(|failure| self.note_failure(failure)),
            None => Err(io::Error::other(Reason::Timeout.name())),
        };
        if frame.is_ok() {
            self.slot.note_alive();
        }
        let bytes = frame.as_ref().ok().and_then(body::Frame::data_ref);
        let length = bytes.map_or(0, |bytes| bytes.len() as u64);
        let Some(left) = self.left.checked_sub(length) else {
            self.note_broken(Reason::Endless);
            return Some(Err(io::Error::other(Reason::Endless.name())));
        };
        self.left = left;
        Some(frame)
    }

    fn note_failure(&self, failure: upstream::Failure) -> io::Error {
        self.note_broken(failure.into());
        if failure == upstream::Failure::Broken {
            self.slot.note_crash();
        }
        io::Error::other(failure)
    }

    fn note_broken(&self, reason: Reason) {
        log::warn!(
            request = self.forward.subject.id.as_str(), backend = &*self.slot.id, reason = reason.name();
            "response broke off"
        );
        let now_ms = clock::monotonic_ms();
        let mut balance = self.state.balance.borrow_mut();
        balance.failed(&self.slot.id, balance::Failure::Broken, now_ms);
    }
}

/// Builds the response to a request whose attempts failed.
pub(crate) fn failure_response(forward: &Forward, failed: Failed) -> response::Response {
    let Failed {
        reason,
        verdict,
        retry_after_ms,
    } = failed;
    if !verdict.may_have_run() {
        forward::note_refusal(&forward.subject.id, reason, retry_after_ms);
        return response::not_run(reason.name(), retry_after_ms);
    }
    log::warn!(request = forward.subject.id.as_str(), reason = reason.name(), verdict = <&str>::from(verdict); "failed");
    metrics::REFUSALS.with_label_values(&[reason.name()]).inc();
    let status = match reason {
        Reason::Timeout => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    };
    response::plain(status, reason.name())
}
