//! The entry VM's part in the detection of poison requests.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    rc::Rc,
    time,
};

use bw_relay::{message, suspect, suspect::trial};

use crate::{
    clock,
    entry::{NO_LEADER_RETRY_MS, forward::Forward, reason::Reason, state::State},
    link, metrics,
};

/// Timeout of the call that asks for a trial. The leader answers once the trial is on
/// disk in a majority of replicas, which takes some 10 ms.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(300);
/// Time after which the leader is asked again for a trial of a content whose trials all
/// crashed backend servers, in milliseconds.
const EXHAUSTED_RETRY_MS: u64 = 60 * 60 * 1_000;

/// Whether a request may run.
pub(crate) enum Admission {
    /// It may run like any other request.
    Admitted,
    /// It may run once, to find out whether it still crashes backend servers.
    Trial(Permit),
    /// It must not run now.
    Refused {
        reason: Reason,
        /// Time until it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a request may run. Asks the leader for a trial if it is refused and
/// one may be due.
pub(crate) async fn admit(state: &Rc<State>, fingerprint: suspect::Fingerprint) -> Admission {
    let suspects = &state.suspects;
    if !suspects.is_refused(fingerprint) {
        return Admission::Admitted;
    }
    let now_ms = clock::monotonic_ms();
    let refused = |reason, retry_after_ms| Admission::Refused {
        reason,
        retry_after_ms,
    };
    if let Some(wait_ms) = suspects.wait_ms(fingerprint, now_ms) {
        return refused(Reason::PoisonousRequest, wait_ms);
    }
    if state.link.leader().is_none() {
        return refused(Reason::NoLeader, NO_LEADER_RETRY_MS);
    }
    // Other requests with this content wait for the reply.
    suspects.set_wait(fingerprint, ASK_TIMEOUT.as_millis() as u64);
    let permit = Permit::new(state, fingerprint);
    let request = message::Request::Trial {
        fingerprint,
        ticket: permit.ticket,
    };
    let (reason, wait_ms) = match state.link.call(request, ASK_TIMEOUT).await {
        message::Reply::Trial(trial::Verdict::Granted) => return Admission::Trial(permit),
        message::Reply::Trial(trial::Verdict::Wait { retry_after_ms }) => {
            permit.settle();
            (Reason::PoisonousRequest, retry_after_ms)
        }
        message::Reply::Trial(trial::Verdict::Exhausted) => {
            permit.settle();
            (Reason::PoisonousRequest, EXHAUSTED_RETRY_MS)
        }
        // The trial may have been granted: the permit, which ends unused, returns it.
        reply => {
            log::info!(fingerprint = fingerprint.0, reply = format!("{reply:?}").as_str(); "no verdict on a trial");
            (Reason::NoLeader, NO_LEADER_RETRY_MS)
        }
    };
    suspects.set_wait(fingerprint, wait_ms);
    refused(reason, wait_ms)
}

/// How far the request of a trial has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    NotRun,
    Running,
    Streaming,
    /// It crashed a backend server or was answered.
    Settled,
}

/// The permission to run a refused request once. What became of it is reported when it
/// is dropped, unless the evidence against the request says so.
pub(crate) struct Permit {
    state: Rc<State>,
    fingerprint: suspect::Fingerprint,
    ticket: u64,
    stage: Cell<Stage>,
}

impl Permit {
    fn new(state: &Rc<State>, fingerprint: suspect::Fingerprint) -> Permit {
        Permit {
            state: Rc::clone(state),
            fingerprint,
            ticket: state.random_u64(),
            stage: Cell::new(Stage::NotRun),
        }
    }

    /// Notes that the request is sent to a backend server.
    pub(crate) fn sent(&self) {
        self.stage.set(Stage::Running);
    }

    /// Notes that the backend server did not run the request.
    pub(crate) fn not_run(&self) {
        self.stage.set(Stage::NotRun);
    }

    /// Notes that the response is a stream whose first event has arrived.
    pub(crate) fn streaming(&self) {
        if self.stage.get() == Stage::Running {
            self.stage.set(Stage::Streaming);
            self.report(trial::End::Streaming);
        }
    }

    /// Notes that the request crashed a backend server or was answered.
    pub(crate) fn settle(&self) {
        self.stage.set(Stage::Settled);
    }

    fn report(&self, end: trial::End) {
        let suspects = &self.state.suspects;
        suspects
            .ended
            .borrow_mut()
            .push(message::Frame::TrialEnded {
                fingerprint: self.fingerprint,
                ticket: self.ticket,
                end,
            });
        suspects.flush(&self.state.link);
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        match self.stage.get() {
            Stage::NotRun => self.report(trial::End::NotRun),
            Stage::Running | Stage::Streaming => self.report(trial::End::Inconclusive),
            Stage::Settled => {}
        }
    }
}

/// The suspects that this VM knows, and what the leader has yet to be told of them.
#[derive(Default)]
pub(crate) struct Suspects {
    known: RefCell<suspect::Suspects>,
    /// Until when refused requests are not tried, in monotonic milliseconds.
    waits: RefCell<BTreeMap<suspect::Fingerprint, u64>>,
    /// Suspects of which the leader may not have all evidence.
    unreported: RefCell<BTreeSet<suspect::Fingerprint>>,
    /// Ends of trials that the leader was not told yet.
    ended: RefCell<Vec<message::Frame>>,
}

impl Suspects {
    /// Returns whether a request has too many strikes to run, unless it is a trial.
    pub(crate) fn is_refused(&self, fingerprint: suspect::Fingerprint) -> bool {
        self.known.borrow().is_refused(fingerprint)
    }

    /// Returns whether there are strikes against a request.
    pub(crate) fn is_suspect(&self, fingerprint: suspect::Fingerprint) -> bool {
        self.known.borrow().strikes(fingerprint) > 0
    }

    /// Returns how long a refused request is not tried; `None` if the leader is to be
    /// asked.
    fn wait_ms(&self, fingerprint: suspect::Fingerprint, now_ms: u64) -> Option<u64> {
        let waits = self.waits.borrow();
        let until_ms = waits.get(&fingerprint)?;
        until_ms.checked_sub(now_ms).filter(|wait_ms| *wait_ms > 0)
    }

    fn set_wait(&self, fingerprint: suspect::Fingerprint, wait_ms: u64) {
        let now_ms = clock::monotonic_ms();
        let mut waits = self.waits.borrow_mut();
        waits.retain(|_, until_ms| now_ms < *until_ms);
        waits.insert(fingerprint, now_ms + wait_ms);
    }

    /// Adds a strike against a request whose connection the backend server broke, as
    /// one does that crashes.
    pub(crate) fn note_crash(
        &self,
        link: &link::Link,
        forward: &Forward,
        (backend, started_ms): (&str, u64),
    ) {
        let fingerprint = forward.fingerprint;
        let incarnation = suspect::Incarnation::new(backend, started_ms);
        let now_ms = clock::monotonic_ms();
        let mut known = self.known.borrow_mut();
        let evidence = known.crashed(fingerprint, incarnation, now_ms);
        drop(known);
        log::warn!(
            request = forward.id.as_str(), parts = forward.logged_parts.as_str(), backend = backend,
            started_ms = started_ms, fingerprint = fingerprint.0, strikes = evidence.strikes();
            "request is suspected of crashing backend servers"
        );
        metrics::SUSPECTS.with_label_values(&["strike"]).inc();
        self.report(link, fingerprint);
    }

    /// Clears the suspicion against a request that completed.
    pub(crate) fn note_completed(&self, link: &link::Link, fingerprint: suspect::Fingerprint) {
        let now_ms = clock::monotonic_ms();
        if self
            .known
            .borrow_mut()
            .finished(fingerprint, now_ms)
            .is_none()
        {
            return;
        }
        log::info!(fingerprint = fingerprint.0; "suspected request completed, suspicion cleared");
        metrics::SUSPECTS.with_label_values(&["cleared"]).inc();
        self.waits.borrow_mut().remove(&fingerprint);
        self.report(link, fingerprint);
    }

    /// Merges what the leader knows. `is_first` tells whether this is all that a new
    /// leader knows; it is then told whatever it lacks.
    pub(crate) fn apply_update(
        &self,
        link: &link::Link,
        suspects: &[suspect::Evidence],
        is_first: bool,
    ) {
        let now_ms = clock::monotonic_ms();
        let mut known = self.known.borrow_mut();
        for evidence in suspects {
            known.merge(evidence, now_ms);
            if !known.is_refused(evidence.fingerprint) {
                self.waits.borrow_mut().remove(&evidence.fingerprint);
            }
        }
        if is_first {
            let told: BTreeSet<_> = suspects.iter().collect();
            let all = known.all();
            let more = all.iter().filter(|evidence| !told.contains(evidence));
            let more = more.map(|evidence| evidence.fingerprint);
            self.unreported.borrow_mut().extend(more);
        }
        drop(known);
        self.flush(link);
    }

    /// Tells the leader what it may lack, as far as the connection takes it.
    pub(crate) fn flush(&self, link: &link::Link) {
        let mut unreported = self.unreported.borrow_mut();
        while let Some(fingerprint) = unreported.pop_first() {
            let evidence = self.known.borrow().evidence(fingerprint);
            if !link.notify(&message::Frame::Suspect(evidence)) {
                unreported.insert(fingerprint);
                return;
            }
        }
        let mut ended = self.ended.borrow_mut();
        let told = ended.iter().take_while(|frame| link.notify(frame)).count();
        ended.drain(..told);
    }

    fn report(&self, link: &link::Link, fingerprint: suspect::Fingerprint) {
        self.unreported.borrow_mut().insert(fingerprint);
        self.flush(link);
    }
}
