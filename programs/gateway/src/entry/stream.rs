//! Forwards event streams, event by event.
//!
//! Only complete events are forwarded, so that a stream that breaks off can be
//! resumed at another backend server after the last event that the caller has.

use std::{collections::VecDeque, io, rc::Rc, time};

use bw_relay::{event, suspect};
use bytes::Bytes;
use futures_util::stream;
use hyper::{Response, StatusCode, body, body::Body};

use crate::{
    clock,
    entry::{
        attempt,
        attempt::{Attempts, Slot},
        forward,
        forward::Forward,
        front::Active,
        reason::Reason,
        response,
        state::State,
    },
    memory, metrics, upstream,
};

/// Silence after which a resumable stream is resumed elsewhere, as a multiple of the
/// route's longest gap between events that is on time.
const SILENCE_TARGET_GAPS: u64 = 3;
/// Lower bound of this timeout in milliseconds.
const SILENCE_MIN_MS: u64 = 1_200;

/// Forwards a request whose response is an event stream.
pub(crate) async fn forward(
    state: &Rc<State>,
    forward: Forward,
    active: Active,
) -> response::Response {
    let mut attempts = Attempts::new();
    let accepted = match attempts.run(state, &forward).await {
        Ok(accepted) => accepted,
        Err(failed) => return attempt::failure_response(&forward, failed),
    };
    let names = state.dialect.headers();
    attempts.last_event = forward::header_text(&forward.headers, &names.last_event_id)
        .parse()
        .ok();
    let is_event_stream = is_event_stream(&accepted.response);
    let is_framed = accepted.response.body().is_framed();
    let (mut parts, body) = accepted.response.into_parts();
    forward::remove_hop_headers(&mut parts.headers);
    let status = parts.status;
    let source = Source {
        state: Rc::clone(state),
        last_event: attempts.last_event,
        resumed: false,
        forward,
        attempts,
        status,
        is_event_stream,
        document_left: body
            .size_hint()
            .exact()
            .unwrap_or(attempt::UNSIZED_BYTES_MAX),
        run: Some(Run {
            body,
            is_framed,
            writing: suspect::Writing::default(),
            lease: accepted.lease,
            slot: accepted.slot,
        }),
        parser: event::Parser::default(),
        reservation: state.pool.budget().reserve(),
        output: VecDeque::new(),
        _active: active,
    };
    let pieces = stream::unfold(Some(source), |source| async move {
        let mut source = source?;
        match source.next().await {
            Ok(Some(bytes)) => Some((Ok(body::Frame::data(bytes)), Some(source))),
            Ok(None) => None,
            Err(error) => Some((Err(error), None)),
        }
    });
    Response::from_parts(parts, response::streamed(pieces))
}

/// Returns whether a response can begin or continue a stream.
fn is_event_stream(response: &Response<upstream::Body>) -> bool {
    response.status() == StatusCode::OK && upstream::has_events(response.headers())
}

/// The response of one backend server, which may be a part of the stream.
struct Run {
    body: upstream::Body,
    /// Whether the response states where its body ends.
    is_framed: bool,
    writing: suspect::Writing,
    lease: upstream::Lease,
    slot: Slot,
}

/// The events of a stream, over all the runs that it takes.
struct Source {
    state: Rc<State>,
    forward: Forward,
    attempts: Attempts,
    /// The status of the response that the caller has.
    status: StatusCode,
    /// False if the response is an error or another document, whose body is forwarded as
    /// it is.
    is_event_stream: bool,
    /// The number of bytes of another document that may still follow.
    document_left: u64,
    run: Option<Run>,
    parser: event::Parser,
    /// The memory that the parser uses.
    reservation: memory::Reservation,
    /// Bytes that are ready to be sent to the caller.
    output: VecDeque<Bytes>,
    /// The last event that was forwarded.
    last_event: Option<u64>,
    /// Whether the current run resumes an earlier one.
    resumed: bool,
    _active: Active,
}

impl Source {
    /// Returns the next bytes for the caller; `None` after the last ones.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(bytes) = self.output.pop_front() {
                return Ok(Some(bytes));
            }
            match self.read().await {
                Ok(true) => {}
                Ok(false) => return Ok(None),
                Err(reason) => self.resume(reason).await?,
            }
        }
    }

    /// Reads from the current run. Returns false once the stream is complete.
    async fn read(&mut self) -> Result<bool, Reason> {
        let timeout = self.silence_timeout();
        let silence = self.silence();
        let Some(run) = &mut self.run else {
            return Err(Reason::Broken);
        };
        let reading = super::next_frame(&mut run.body, timeout);
        let frame = match attempt::watch_silence(reading, silence, &run.slot).await {
            None => return Err(Reason::Silent),
            Some(Some(Err(failure))) => return Err(failure.into()),
            Some(Some(Ok(frame))) => frame,
            Some(None) => return self.complete(),
        };
        let Ok(bytes) = frame.into_data() else {
            return Ok(true);
        };
        run.slot.note_alive();
        if !self.is_event_stream {
            let left = self.document_left.checked_sub(bytes.len() as u64);
            self.document_left = left.ok_or(Reason::Endless)?;
            self.output.push_back(bytes);
            return Ok(true);
        }
        self.parser.push(&bytes);
        self.take_events()?;
        Ok(true)
    }

    fn take_events(&mut self) -> Result<(), Reason> {
        let mut joined: Vec<u8> = Vec::new();
        let before = self.last_event;
        while let Some(event) = self.parser.next_event() {
            if event.is_response_head() {
                self.push(joined);
                return Err(Reason::ForeignAnswer);
            }
            if let Some(id) = event.id {
                let expected = self.last_event.map(|last_event| last_event + 1);
                if expected.is_some_and(|expected| id < expected) {
                    self.parser.note_repeated(&event);
                    continue;
                }
                if expected.is_some_and(|expected| id > expected) {
                    self.push(joined);
                    return Err(Reason::Gap);
                }
                self.last_event = Some(id);
            }
            joined.extend_from_slice(&event.bytes);
        }
        self.push(joined);
        if self.last_event != before
            && let Some(permit) = &self.forward.permit
        {
            permit.streaming();
        }
        if self.last_event != before {
            self.note_event();
        }
        let fits = self.reservation.resize(self.parser.pending());
        match fits && !self.parser.is_too_large() {
            true => Ok(()),
            false => Err(Reason::Endless),
        }
    }

    /// Notes that the current run writes on, which clears its parts of crashes.
    fn note_event(&mut self) {
        let Some(run) = &mut self.run else {
            return;
        };
        let is_due = run.writing.note_event(clock::monotonic_ms());
        run.slot.note_written(run.writing.written_ms());
        if is_due {
            let suspects = &self.state.suspects;
            suspects.note_lived(&self.state.link, &self.forward.subject, run.slot.run());
            if let Some(permit) = &self.forward.permit {
                permit.lived();
            }
        }
    }

    fn push(&mut self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.output.push_back(Bytes::from(bytes));
        }
    }

    fn complete(&mut self) -> Result<bool, Reason> {
        if !self.parser.is_empty() {
            return Err(Reason::Broken);
        }
        // A run that had nothing left to send shows nothing about the request.
        let has_run = self.last_event != self.attempts.last_event || !self.is_event_stream;
        if let Some(run) = self.run.take() {
            match has_run {
                true => run.slot.note_answered(attempt::Answer {
                    status: self.status,
                    is_framed: run.is_framed,
                }),
                false => run.slot.settle(),
            }
            run.lease.release();
            drop(run.slot);
        }
        log::info!(
            request = self.forward.subject.id.as_str(), last = self.last_event.unwrap_or(0), resumed = self.resumed;
            "stream complete"
        );
        Ok(false)
    }

    /// Resumes the stream at another backend server, or fails if that is not allowed
    /// or none accepts it.
    async fn resume(&mut self, reason: Reason) -> io::Result<()> {
        let run = self.run.take();
        if let Some(run) = &run {
            self.attempts.note_broken(&self.state, &run.slot.id);
        }
        let backend = run.as_ref().map_or("", |run| &*run.slot.id);
        log::warn!(
            request = self.forward.subject.id.as_str(), backend = backend, reason = reason.name(),
            last = self.last_event.unwrap_or(0), left_ms = self.forward.deadline_ms.saturating_sub(clock::monotonic_ms());
            "stream broke off"
        );
        metrics::RETRIES.with_label_values(&[reason.name()]).inc();
        // A request may crash its backend server after any number of events.
        match (run, reason) {
            (Some(run), Reason::Broken) => run.slot.note_crash(),
            (Some(run), Reason::Silent) => run.slot.check(),
            _ => {}
        }
        let repeatable = self.forward.route.kind.repeatable() && self.is_event_stream;
        if !repeatable {
            return Err(io::Error::other(reason.name()));
        }
        self.parser = event::Parser::default();
        self.reservation.resize(0);
        self.resumed = true;
        self.attempts.last_event = self.last_event;
        match self.attempts.run(&self.state, &self.forward).await {
            Ok(accepted) if is_event_stream(&accepted.response) => {
                self.run = Some(Run {
                    is_framed: accepted.response.body().is_framed(),
                    writing: suspect::Writing::default(),
                    body: accepted.response.into_body(),
                    lease: accepted.lease,
                    slot: accepted.slot,
                });
                Ok(())
            }
            _ => {
                log::warn!(request = self.forward.subject.id.as_str(), reason = reason.name(), verdict = <&str>::from(self.attempts.verdict()); "stream ended early");
                Err(io::Error::other(reason.name()))
            }
        }
    }

    /// Returns how long the current run may be silent.
    fn silence_timeout(&self) -> time::Duration {
        let left = super::remaining(self.forward.deadline_ms);
        if !self.forward.route.kind.repeatable() {
            return left;
        }
        left.min(self.silence())
    }

    /// Returns the silence after which a backend server is checked.
    fn silence(&self) -> time::Duration {
        let gap_ms = self.forward.route.gap_ms * SILENCE_TARGET_GAPS;
        time::Duration::from_millis(gap_ms.max(SILENCE_MIN_MS))
    }
}
