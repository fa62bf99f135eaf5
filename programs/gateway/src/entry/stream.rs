//! Forwarding of streams, event by event.
//!
//! Only complete events are passed on, so that a stream that breaks off can go
//! on at another backend server after the last one that the caller has.

use std::{collections::VecDeque, io, rc::Rc, time};

use bw_relay::event;
use bytes::Bytes;
use futures_util::stream;
use http_body_util::BodyExt;
use hyper::{Response, StatusCode, body};

use crate::{
    clock,
    entry::{
        answer, attempt,
        attempt::{Attempts, Held},
        forward,
        forward::Forward,
        front::Active,
        reason::Reason,
        state::State,
    },
    memory, metrics, upstream,
};

/// Longest pauses on time that a resumable stream may be silent before it goes
/// on elsewhere.
const SILENCE_GAPS: u64 = 3;
/// Least such silence in milliseconds.
const SILENCE_MS: u64 = 1_200;

/// Forwards a request whose answer is a series of events.
pub(crate) async fn forward(state: &Rc<State>, forward: Forward, active: Active) -> answer::Answer {
    let mut attempts = Attempts::new();
    let accepted = match attempts.run(state, &forward).await {
        Ok(accepted) => accepted,
        Err(failed) => return attempt::failure(&forward, failed),
    };
    let names = state.dialect.headers();
    attempts.last_event = forward::text(&forward.headers, &names.last_event_id)
        .parse()
        .ok();
    let (mut parts, body) = accepted.response.into_parts();
    forward::remove_hop_headers(&mut parts.headers);
    let events = parts.status == StatusCode::OK;
    let source = Source {
        state: Rc::clone(state),
        last: attempts.last_event,
        resumed: false,
        forward,
        attempts,
        events,
        run: Some(Run {
            body,
            lease: accepted.lease,
            held: accepted.held,
        }),
        parser: event::Parser::default(),
        reservation: state.pool.budget().reserve(),
        ready: VecDeque::new(),
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
    Response::from_parts(parts, answer::pieces(pieces))
}

/// One run at one backend server.
struct Run {
    body: body::Incoming,
    lease: upstream::Lease,
    held: Held,
}

/// The events of a stream over all its runs.
struct Source {
    state: Rc<State>,
    forward: Forward,
    attempts: Attempts,
    /// Whether the answer is a series of events and not a failure.
    events: bool,
    run: Option<Run>,
    parser: event::Parser,
    /// The account of what the parser holds.
    reservation: memory::Reservation,
    ready: VecDeque<Bytes>,
    /// The last event that was passed on.
    last: Option<u64>,
    /// Whether the present run follows an earlier one.
    resumed: bool,
    _active: Active,
}

impl Source {
    /// Returns the next bytes for the caller, `None` after the last ones.
    async fn next(&mut self) -> io::Result<Option<Bytes>> {
        loop {
            if let Some(bytes) = self.ready.pop_front() {
                return Ok(Some(bytes));
            }
            match self.read().await {
                Ok(true) => {}
                Ok(false) => return Ok(None),
                Err(reason) => self.resume(reason).await?,
            }
        }
    }

    /// Reads from the present run. Returns false after its complete end.
    async fn read(&mut self) -> Result<bool, Reason> {
        let limit = self.silence();
        let Some(run) = &mut self.run else {
            return Err(Reason::Broken);
        };
        let frame = match tokio::time::timeout(limit, run.body.frame()).await {
            Err(_) => return Err(Reason::Silent),
            Ok(Some(Err(_))) => return Err(Reason::Broken),
            Ok(Some(Ok(frame))) => frame,
            Ok(None) => return self.ended(),
        };
        let Ok(bytes) = frame.into_data() else {
            return Ok(true);
        };
        if !self.events {
            self.ready.push_back(bytes);
            return Ok(true);
        }
        self.parser.push(&bytes);
        self.take_events()?;
        Ok(true)
    }

    fn take_events(&mut self) -> Result<(), Reason> {
        let mut joined: Vec<u8> = Vec::new();
        let before = self.last;
        while let Some(event) = self.parser.next_event() {
            if let Some(id) = event.id {
                let expected = self.last.map(|last| last + 1);
                if expected.is_some_and(|expected| id < expected) {
                    continue;
                }
                if expected.is_some_and(|expected| id > expected) {
                    self.push(joined);
                    return Err(Reason::Gap);
                }
                self.last = Some(id);
            }
            joined.extend_from_slice(&event.bytes);
        }
        self.push(joined);
        // A request that crashes its backend server does so as it begins to run, so the
        // first event clears it, as it clears an item.
        if before == self.attempts.last_event && self.last != before {
            self.state.finished(self.forward.fingerprint);
        }
        let fits = self.reservation.resize(self.parser.pending());
        match fits && !self.parser.is_too_large() {
            true => Ok(()),
            false => Err(Reason::Endless),
        }
    }

    fn push(&mut self, bytes: Vec<u8>) {
        if !bytes.is_empty() {
            self.ready.push_back(Bytes::from(bytes));
        }
    }

    fn ended(&mut self) -> Result<bool, Reason> {
        if !self.parser.is_empty() {
            return Err(Reason::Broken);
        }
        self.state.finished(self.forward.fingerprint);
        if let Some(run) = self.run.take() {
            run.lease.release();
            drop(run.held);
        }
        log::info!(
            request = self.forward.id.as_str(), last = self.last.unwrap_or(0), resumed = self.resumed;
            "stream complete"
        );
        Ok(false)
    }

    /// Goes on at another backend server.
    async fn resume(&mut self, reason: Reason) -> io::Result<()> {
        let run = self.run.take();
        let id = run.as_ref().map(|run| run.held.id.clone());
        drop(run);
        if let Some(id) = &id {
            self.attempts.broke(&self.state, id);
        }
        let backend = id.as_deref().unwrap_or("");
        log::warn!(
            request = self.forward.id.as_str(), backend = backend, reason = reason.name(),
            last = self.last.unwrap_or(0), left_ms = self.forward.until_ms.saturating_sub(clock::monotonic_ms());
            "stream broke off"
        );
        metrics::RETRIES.with_label_values(&[reason.name()]).inc();
        // A run that got under way was not broken off by its own request.
        if reason == Reason::Broken && self.last == self.attempts.last_event {
            self.state
                .crashed(&self.forward.id, self.forward.fingerprint);
        }
        let repeatable = self.forward.route.kind.repeatable() && self.events;
        if !repeatable {
            return Err(io::Error::other(reason.name()));
        }
        self.parser = event::Parser::default();
        self.reservation.resize(0);
        self.resumed = true;
        self.attempts.last_event = self.last;
        match self.attempts.run(&self.state, &self.forward).await {
            Ok(accepted) if accepted.response.status() == StatusCode::OK => {
                self.run = Some(Run {
                    body: accepted.response.into_body(),
                    lease: accepted.lease,
                    held: accepted.held,
                });
                Ok(())
            }
            _ => {
                log::warn!(request = self.forward.id.as_str(), reason = reason.name(), verdict = "may_have_run"; "stream ended early");
                Err(io::Error::other(reason.name()))
            }
        }
    }

    /// Returns how long the present run may be silent.
    fn silence(&self) -> time::Duration {
        let left = super::left(self.forward.until_ms);
        if !self.forward.route.kind.repeatable() {
            return left;
        }
        let gap_ms = self.forward.route.gap_ms * SILENCE_GAPS;
        left.min(time::Duration::from_millis(gap_ms.max(SILENCE_MS)))
    }
}
