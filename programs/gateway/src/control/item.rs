//! Batch items whose prompts may have a part that crashes backend servers.
//!
//! The parts are judged together with those of callers' requests. The content of an item
//! is not: the dispatch runs an item that crashes backend servers as a trial.

use std::{
    cell::{Cell, RefCell},
    net,
    rc::Rc,
};

use bw_relay::{
    dispatch, message, registry, suspect,
    suspect::{trial, unsettled},
};
use bw_wire::name::Name;

use crate::{
    check, clock,
    control::{
        hub::{Hub, suspects},
        runner::Ended,
    },
    upstream,
};

/// Time after which an item asks for a trial again if the group did not decide, in
/// milliseconds.
const NO_VERDICT_RETRY_MS: u64 = 200;
/// Time after a response by which a later start of its backend server has announced itself,
/// in intervals between announcements. One of them may be lost.
const CONFIRMING_ANNOUNCEMENTS: u64 = 2;
/// Age of an announcement up to which it may have been sent before its backend server
/// ended, in intervals between announcements.
const TRANSIT_ANNOUNCEMENTS: u64 = 2;

/// Returns what an item with these headers can be suspected for.
pub(super) fn judge(hub: &Hub, headers: &[(Name, Name)]) -> suspect::Request {
    let ids = part_ids(hub, headers);
    let ids: Vec<&str> = ids.iter().map(String::as_str).collect();
    suspect::Request::of_parts(&ids)
}

/// Returns the ids of all parts of the prompt of an item with these headers.
fn part_ids(hub: &Hub, headers: &[(Name, Name)]) -> Vec<String> {
    let name = hub.dialect().headers().prompt_prefix.as_str();
    let headers = headers.iter();
    let prefix = headers.filter(|(known, _)| known.eq_ignore_ascii_case(name));
    let prefix: Vec<&str> = prefix.map(|(_, value)| &**value).collect();
    let prefix = prefix.join(",");
    let ids = hub.dialect().decode_parts(&prefix);
    ids.into_iter().map(str::to_owned).collect()
}

/// A run of an item, by what it can be suspected for.
pub(super) struct Subject {
    id: Name,
    request: suspect::Request,
    /// The ids of all parts of the prompt, separated by commas.
    parts: String,
    /// Whether the item is itself suspected of crashing backend servers.
    is_suspected: bool,
    backend: Name,
    incarnation: suspect::Incarnation,
    sent_ms: u64,
    /// Whether the run may have reached the backend server.
    is_sent: Cell<bool>,
    /// Whether its answer was complete.
    is_answered: Cell<bool>,
}

impl Subject {
    /// Creates the subject of a run that is about to start.
    pub(super) fn new(hub: &Hub, start: &dispatch::Start) -> Subject {
        let ids = part_ids(hub, &start.headers);
        Subject {
            id: start.id.clone(),
            request: judge(hub, &start.headers),
            parts: ids.join(","),
            is_suspected: start.trial,
            backend: start.server.clone(),
            incarnation: suspect::Incarnation::new(
                &start.server,
                hub.backend_started_ms(&start.server),
            ),
            sent_ms: clock::monotonic_ms(),
            is_sent: Cell::new(false),
            is_answered: Cell::new(false),
        }
    }

    /// Notes that the run is sent.
    pub(super) fn sent(&self) {
        self.is_sent.set(true);
    }

    /// Returns whether it is not known yet what the run shows.
    pub(super) fn is_unsettled(&self, ended: &Ended) -> bool {
        let is_open = match ended {
            // One that ends with its connection may have crashed its backend server.
            Ended::Completed => !self.is_answered.get(),
            Ended::Stopped | Ended::Broken | Ended::Silent | Ended::Crowded => true,
            Ended::Disconnected
            | Ended::Refused(_)
            | Ended::Failed
            | Ended::Impossible
            | Ended::NotRun => false,
        };
        is_open && self.is_sent.get()
    }

    /// Notes that the backend server has responded to the run.
    pub(super) fn note_response(&self, hub: &Hub) {
        let sent_ms = self.sent_ms;
        let mut unsettled = hub.unsettled.borrow_mut();
        let runs = unsettled.responded(self.incarnation, sent_ms, sent_ms);
        drop(unsettled);
        settle_alive(hub, runs);
    }

    /// Notes what a send without a response shows of the start of the backend server.
    pub(super) fn note_failure(&self, hub: &Hub, failure: upstream::Failure) {
        match failure {
            upstream::Failure::Refused => note_ended(hub, self.incarnation, "refused"),
            upstream::Failure::OtherBackend => note_ended(hub, self.incarnation, "replaced"),
            upstream::Failure::Unreachable => note_lost(hub, self.incarnation, "unreachable"),
            upstream::Failure::Full | upstream::Failure::UnstatedRefusal(_) => {
                self.note_response(hub);
            }
            upstream::Failure::Connect
            | upstream::Failure::Broken
            | upstream::Failure::Timeout
            | upstream::Failure::CrossedAnswer
            | upstream::Failure::ForeignAnswer
            | upstream::Failure::Endless => {}
        }
    }

    /// Returns whether there are strikes against a part of the prompt.
    pub(super) fn is_suspect(&self, hub: &Hub) -> bool {
        hub.suspects.borrow().is_suspect(&self.request)
    }

    /// Returns the run after it has written for some time.
    fn run(&self, written_ms: u64) -> suspect::Run {
        suspect::Run {
            sent_ms: self.sent_ms,
            written_ms,
        }
    }

    /// Clears the parts of the crashes that the run has outlived.
    pub(super) fn note_lived(&self, hub: &Hub, written_ms: u64) {
        let run = self.run(written_ms);
        let now_ms = clock::monotonic_ms();
        let changed = hub
            .suspects
            .borrow_mut()
            .request_lived(&self.request, run, now_ms);
        for evidence in &changed {
            log::info!(
                request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend,
                fingerprint = evidence.fingerprint.0, strikes = evidence.strikes(), written_ms = written_ms;
                "item with a suspected part outlived the crashes, suspicion cleared"
            );
        }
        hub.publish_evidence(changed);
    }

    /// Returns whether a part of the prompt is refused.
    pub(super) fn is_refused(&self, hub: &Hub) -> bool {
        let refusal = hub.suspects.borrow_mut().refusal(&self.request);
        refusal.is_some()
    }

    /// Adds a strike, as the backend server broke the connection after the run had written
    /// for some time.
    pub(super) fn note_crash(&self, hub: &Hub, written_ms: u64) {
        let now_ms = clock::monotonic_ms();
        let changed = hub.suspects.borrow_mut().request_crashed(
            &self.request,
            self.incarnation,
            self.run(written_ms),
            now_ms,
        );
        self.log_strike(&changed, written_ms, "broken");
        hub.publish_evidence(changed);
        note_lost(hub, self.incarnation, "broken");
    }

    /// Adds a strike for a run that ended before it was known that the backend server had.
    fn note_lost(&self, hub: &Hub, run: &unsettled::Run<Held>, sign: &str) -> suspect::Crash {
        let (crash, changed) = hub.suspects.borrow_mut().request_lost(
            &self.request,
            self.incarnation,
            run.run,
            run.ended_ms,
        );
        if !changed.is_empty() {
            self.log_strike(&changed, run.run.written_ms, sign);
        }
        hub.publish_evidence(changed);
        crash
    }

    /// Logs a strike and the sign that it rests on.
    fn log_strike(&self, changed: &[suspect::Evidence], written_ms: u64, sign: &str) {
        let strikes = changed.iter().map(suspect::Evidence::strikes).max();
        log::warn!(
            request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend,
            part_strikes = strikes.unwrap_or(0), written_ms = written_ms, sign = sign;
            "item broke off, its parts are suspected of crashing backend servers"
        );
    }

    /// Withdraws a strike, as the backend server goes on.
    fn withdraw(&self, hub: &Hub, crash: suspect::Crash) {
        let now_ms = clock::monotonic_ms();
        let changed = hub
            .suspects
            .borrow_mut()
            .withdraw(&self.request, crash, now_ms);
        if !changed.is_empty() {
            log::info!(
                request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend;
                "backend server of an item goes on, strike withdrawn"
            );
        }
        hub.publish_evidence(changed);
    }

    /// Clears the parts of an item that was completed.
    pub(super) fn note_answered(&self, hub: &Hub) {
        self.is_answered.set(true);
        let now_ms = clock::monotonic_ms();
        let changed =
            hub.suspects
                .borrow_mut()
                .request_answered(&self.request, true, self.sent_ms, now_ms);
        for evidence in &changed {
            log::info!(
                request = &*self.id, parts = self.parts.as_str(), backend = &*self.backend,
                fingerprint = evidence.fingerprint.0, strikes = evidence.strikes();
                "item with a suspected part completed, suspicion cleared"
            );
        }
        hub.publish_evidence(changed);
    }
}

/// A run of an item that is kept until it is known what became of its backend server.
pub(crate) struct Held {
    subject: Rc<Subject>,
    /// The permission for a trial, which has not been reported as ended.
    permit: RefCell<Option<Permit>>,
}

/// Keeps a run that ended without a complete answer, or whose answer ended with its
/// connection. `ended` says how.
pub(super) fn hold(
    hub: &Rc<Hub>,
    subject: &Rc<Subject>,
    permit: Option<Permit>,
    written_ms: u64,
    ended: &Ended,
) {
    let held = Held {
        subject: Rc::clone(subject),
        permit: RefCell::new(permit),
    };
    let succeeded = matches!(ended, Ended::Completed).then_some(true);
    let run = unsettled::Run::new(
        held,
        subject.incarnation,
        subject.run(written_ms),
        clock::monotonic_ms(),
        succeeded,
    );
    hub.unsettled.borrow_mut().add(run);
    if matches!(ended, Ended::Silent | Ended::Crowded) {
        check(hub, subject);
    }
}

/// Connects to a backend server that fell silent. One that does not respond has probably
/// ended.
fn check(hub: &Rc<Hub>, subject: &Subject) {
    let address = hub.backend_address(&subject.backend);
    let Some(address) = address.and_then(|address| address.parse::<net::SocketAddr>().ok()) else {
        return;
    };
    let (backend, incarnation) = (subject.backend.clone(), subject.incarnation);
    if !hub.checked.borrow_mut().insert(incarnation) {
        return;
    }
    let task_hub = Rc::clone(hub);
    hub.runs.borrow_mut().spawn(async move {
        let outcome = check::connect(&task_hub.pool, &backend, address).await;
        task_hub.checked.borrow_mut().remove(&incarnation);
        match outcome {
            check::Outcome::Refused => note_ended(&task_hub, incarnation, outcome.name()),
            // A leader that is cut off is none any more after an election timeout.
            check::Outcome::Unreachable if task_hub.is_leader() => {
                note_lost(&task_hub, incarnation, outcome.name());
            }
            check::Outcome::Connected | check::Outcome::Unreachable | check::Outcome::Unknown => {}
        }
    });
}

/// Notes what an announcement, which is not applied yet, shows of the starts of backend
/// servers under which runs of items have ended.
pub(crate) fn note_announcement(hub: &Hub, announcement: &registry::Announcement) {
    if hub.unsettled.borrow().is_empty() {
        return;
    }
    let signs = hub.registry.borrow().signs(announcement);
    for sign in signs {
        let incarnation = suspect::Incarnation::new(&sign.id, sign.started_ms);
        match sign.kind {
            registry::Kind::Ended => note_ended(hub, incarnation, "replaced"),
            registry::Kind::Silent => note_lost(hub, incarnation, "silent"),
            registry::Kind::Alive => note_alive(hub, incarnation, clock::monotonic_ms()),
        }
    }
}

/// Notes a call of a backend server, which announces itself or leaves. One call may have
/// been under way when a run ended, two hardly.
pub(crate) fn note_call(hub: &Hub, id: &str, started_ms: u64) {
    let incarnation = suspect::Incarnation::new(id, started_ms);
    let transit_ms = TRANSIT_ANNOUNCEMENTS * hub.settings().announce_ms;
    let at_ms = clock::monotonic_ms().saturating_sub(transit_ms);
    note_alive(hub, incarnation, at_ms);
}

/// Adds strikes against the items whose runs are kept of a start of a backend server that
/// has ended.
fn note_ended(hub: &Hub, incarnation: suspect::Incarnation, sign: &str) {
    let ended = hub.unsettled.borrow_mut().ended(incarnation);
    for run in &ended {
        run.subject.subject.note_lost(hub, run, sign);
    }
}

/// Adds strikes like [`note_ended`] for a sign that leaves a doubt.
pub(crate) fn note_lost(hub: &Hub, incarnation: suspect::Incarnation, sign: &str) {
    let mut unsettled = hub.unsettled.borrow_mut();
    unsettled.presume_ended(incarnation, |run| {
        run.subject.permit.borrow_mut().take();
        run.subject.subject.note_lost(hub, run, sign)
    });
}

/// Notes that a start of a backend server announced itself at a monotonic time in
/// milliseconds.
fn note_alive(hub: &Hub, incarnation: suspect::Incarnation, at_ms: u64) {
    let runs = hub.unsettled.borrow_mut().heard(incarnation, at_ms);
    settle_alive(hub, runs);
}

/// Settles runs under which their backend servers have not ended.
fn settle_alive(hub: &Hub, runs: Vec<unsettled::Run<Held>>) {
    for run in runs {
        let held = &run.subject;
        if let Some(crash) = run.strike() {
            held.subject.withdraw(hub, crash);
        }
        match run.succeeded {
            Some(_) => held.subject.note_answered(hub),
            None => end_without_result(hub, held),
        }
    }
}

/// Settles the runs whose backend servers have responded and would have announced a later
/// start since, and drops those of which nothing will become known any more.
pub(crate) fn expire(hub: &Hub) {
    let wait_ms = CONFIRMING_ANNOUNCEMENTS * hub.settings().announce_ms;
    let before_ms = clock::monotonic_ms().saturating_sub(wait_ms);
    let confirmed = hub.unsettled.borrow_mut().confirm(before_ms);
    settle_alive(hub, confirmed);
    let expired = hub.unsettled.borrow_mut().expire(clock::monotonic_ms());
    for run in expired {
        end_without_result(hub, &run.subject);
    }
}

/// Reports that the trial of a run, if it was one, has shown nothing.
fn end_without_result(hub: &Hub, held: &Held) {
    if let Some(permit) = held.permit.borrow_mut().take() {
        hub.trial_ended(permit.fingerprint, permit.ticket, trial::End::Inconclusive);
    }
}

/// Whether an item may run.
pub(super) enum Admission {
    /// It may run, as a trial if there is a permit.
    Admitted(Option<Permit>),
    /// It must not run now.
    Refused(dispatch::Refusal),
}

/// The permission to run an item as a trial of a part.
pub(super) struct Permit {
    fingerprint: suspect::Fingerprint,
    ticket: u64,
}

impl Permit {
    /// Reports what became of the trial, unless the evidence says so.
    pub(super) fn end(self, hub: &Hub, ended: &Ended) {
        let end = match ended {
            Ended::Completed | Ended::Disconnected => return,
            Ended::NotRun | Ended::Refused(_) => trial::End::NotRun,
            Ended::Stopped | Ended::Crowded => trial::End::Preempted,
            Ended::Broken | Ended::Silent | Ended::Failed | Ended::Impossible => {
                trial::End::Inconclusive
            }
        };
        hub.trial_ended(self.fingerprint, self.ticket, end);
    }

    /// Returns the refusal that the trial is about.
    pub(super) fn refusal(&self, subject: &Subject) -> dispatch::Refusal {
        dispatch::Refusal {
            request: subject.request.clone(),
            part: self.fingerprint,
            retry_after_ms: 0,
        }
    }

    /// Reports that the run goes on although the part is still refused, so that another
    /// trial may begin beside it.
    pub(super) fn lived(&self, hub: &Hub) {
        hub.trial_ended(self.fingerprint, self.ticket, trial::End::Streaming);
    }
}

/// Decides whether an item may run. Asks the group for a trial if a part of its prompt is
/// refused.
pub(super) async fn admit(hub: &Rc<Hub>, subject: &Subject) -> Admission {
    let now_ms = clock::monotonic_ms();
    let (refusal, wait_ms) = {
        let mut suspects = hub.suspects.borrow_mut();
        let Some(refusal) = suspects.refusal(&subject.request) else {
            return Admission::Admitted(None);
        };
        (refusal, suspects.others_wait_ms(refusal, now_ms))
    };
    let fingerprint = refusal.fingerprint;
    let retry_after_ms = match hub.trial_wait_ms(fingerprint).or(wait_ms) {
        Some(wait_ms) => wait_ms,
        None => {
            let ticket = rand::random();
            let backend = Some(subject.incarnation);
            let about = suspects::Subject::Part {
                backend,
                is_suspected: subject.is_suspected,
            };
            let wait_ms = match hub.begin_trial(fingerprint, ticket, about).await {
                message::Reply::Trial(trial::Verdict::Granted) => {
                    let permit = Permit {
                        fingerprint,
                        ticket,
                    };
                    return Admission::Admitted(Some(permit));
                }
                message::Reply::Trial(trial::Verdict::Wait { retry_after_ms }) => retry_after_ms,
                message::Reply::Trial(trial::Verdict::Exhausted) => trial::EXHAUSTED_ASK_MS,
                _ => NO_VERDICT_RETRY_MS,
            };
            hub.set_trial_wait(fingerprint, wait_ms);
            wait_ms
        }
    };
    log::info!(
        request = &*subject.id, parts = subject.parts.as_str(), fingerprint = fingerprint.0,
        retry_after_ms = retry_after_ms;
        "item with a suspected part is not admitted"
    );
    Admission::Refused(dispatch::Refusal {
        request: subject.request.clone(),
        part: fingerprint,
        retry_after_ms,
    })
}
