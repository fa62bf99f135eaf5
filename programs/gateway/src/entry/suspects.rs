//! The entry VM's part in the detection of poison requests.

use std::{
    cell::{Cell, RefCell},
    collections::{BTreeMap, BTreeSet},
    net,
    rc::Rc,
    time,
};

use bw_relay::{
    message, suspect,
    suspect::{trial, unsettled},
};
use bw_wire::name::Name;
use tokio::{sync::mpsc, task};

use crate::{
    check, clock,
    entry::{NO_LEADER_RETRY_MS, attempt::Run, forward::Forward, reason::Reason, state::State},
    link, metrics,
};

/// Timeout of the call that asks for a trial. The leader answers once the trial is on
/// disk in a majority of replicas, which takes some 10 ms.
const ASK_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Most bytes of the ids of parts in a log line.
const LOGGED_PARTS_BYTES: usize = 256;
/// Most backend servers that are checked concurrently, and that wait for it.
const CHECKS_MAX: usize = 16;
/// Time after the last sign of a run by which the leader has missed its backend server if
/// that has ended, in intervals between announcements. One more than the leader waits for.
const MISSED_ANNOUNCEMENTS: u64 = 6;
/// Time after a response by which a later start of its backend server would be known here,
/// in intervals between announcements. One announcement may be lost.
const CONFIRMING_ANNOUNCEMENTS: u64 = 2;
/// Silence of the leader from which this VM may be cut off, in milliseconds. That backend
/// servers can't be reached then shows nothing. The leader sends a heartbeat each 0.4 s.
const CUT_OFF_MS: u64 = 1_000;

/// What a request can be suspected for, and what logs say of it.
pub(crate) struct Subject {
    pub(crate) id: String,
    /// The content and the parts of the prompt.
    pub(crate) request: suspect::Request,
    /// The ids of the parts, separated by commas and cut to [`LOGGED_PARTS_BYTES`].
    pub(crate) logged_parts: String,
}

impl Subject {
    pub(crate) fn new(id: String, content: suspect::Fingerprint, part_ids: &[&str]) -> Subject {
        let mut logged_parts = String::new();
        for part_id in part_ids {
            if logged_parts.len() + part_id.len() >= LOGGED_PARTS_BYTES {
                logged_parts.push_str(",...");
                break;
            }
            if !logged_parts.is_empty() {
                logged_parts.push(',');
            }
            logged_parts.push_str(part_id);
        }
        Subject {
            id,
            request: suspect::Request::new(content, part_ids),
            logged_parts,
        }
    }

    /// Returns the id of the part with this fingerprint; empty if it is that of the
    /// content, or of a part that logs don't name.
    pub(crate) fn part_id(&self, fingerprint: suspect::Fingerprint) -> &str {
        let mut ids = self.logged_parts.split(',');
        let found = ids.find(|id| suspect::Fingerprint::of_part(id) == fingerprint);
        found.unwrap_or_default()
    }
}

/// Whose run is kept until it is known what became of its backend server.
struct Held {
    subject: Rc<Subject>,
    /// The permission for a trial. It ends without a result if the run shows nothing.
    permit: Option<Rc<Permit>>,
    backend: Name,
    backend_started_ms: u64,
}

impl Held {
    /// Returns a run at its backend server.
    fn run(&self, run: suspect::Run) -> Run<'_> {
        Run {
            sent_ms: run.sent_ms,
            written_ms: run.written_ms,
            ..Run::at(&self.backend, self.backend_started_ms)
        }
    }

    fn settle(&self) {
        if let Some(permit) = &self.permit {
            permit.settle();
        }
    }
}

/// A backend server that fell silent and is to be connected to.
pub(crate) struct Check {
    backend: Name,
    backend_started_ms: u64,
    address: net::SocketAddr,
}

/// Connects to backend servers that fell silent, until the program ends. One that does not
/// respond has probably ended.
pub(crate) async fn check_backends(state: Rc<State>, mut queue: mpsc::Receiver<Check>) {
    let mut checks = task::JoinSet::new();
    while let Some(check) = queue.recv().await {
        while checks.len() >= CHECKS_MAX {
            checks.join_next().await;
        }
        while checks.try_join_next().is_some() {}
        checks.spawn_local(check_backend(Rc::clone(&state), check));
    }
}

async fn check_backend(state: Rc<State>, check: Check) {
    let outcome = check::connect(&state.pool, &check.backend, check.address).await;
    let run = Run::at(&check.backend, check.backend_started_ms);
    let (suspects, link) = (&state.suspects, &state.link);
    suspects.checked.borrow_mut().remove(&run.incarnation());
    match outcome {
        check::Outcome::Refused => suspects.note_ended(link, run, outcome.name()),
        check::Outcome::Unreachable if state.silence_ms() < CUT_OFF_MS => {
            suspects.note_lost(link, run, outcome.name());
        }
        check::Outcome::Connected | check::Outcome::Unreachable | check::Outcome::Unknown => {}
    }
}

/// Whether a request may run.
pub(crate) enum Admission {
    /// It may run like any other request.
    Admitted,
    /// It may run once, to find out whether it still crashes backend servers.
    Trial(Permit),
    /// It must not run now.
    Refused {
        /// The content or the part that it is refused for.
        fingerprint: suspect::Fingerprint,
        reason: Reason,
        /// Time until it may be tried again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// Decides whether a request may run. Asks the leader for a trial if it is refused and
/// one may be due.
pub(crate) async fn admit(state: &Rc<State>, request: &suspect::Request) -> Admission {
    let suspects = &state.suspects;
    let now_ms = clock::monotonic_ms();
    let (refusal, others_wait_ms) = {
        let mut known = suspects.known.borrow_mut();
        let Some(refusal) = known.refusal(request) else {
            return Admission::Admitted;
        };
        (refusal, known.others_wait_ms(refusal, now_ms))
    };
    let fingerprint = refusal.fingerprint;
    let refused = |reason, retry_after_ms| Admission::Refused {
        fingerprint,
        reason,
        retry_after_ms,
    };
    let wait_ms = suspects.wait_ms(fingerprint, now_ms);
    if let Some(wait_ms) = wait_ms.or(others_wait_ms) {
        return refused(reason_of(refusal), wait_ms);
    }
    if state.link.leader().is_none() {
        return refused(Reason::NoLeader, NO_LEADER_RETRY_MS);
    }
    // Other requests with this content or part wait for the reply.
    suspects.set_wait(fingerprint, ASK_TIMEOUT.as_millis() as u64);
    let is_part = refusal.part.is_some();
    let permit = Permit::new(state, fingerprint, is_part);
    let request = message::Request::Trial {
        fingerprint,
        is_part,
        ticket: permit.ticket,
    };
    let (reason, ask_ms, retry_after_ms) = match state.link.call(request, ASK_TIMEOUT).await {
        message::Reply::Trial(trial::Verdict::Granted) => return Admission::Trial(permit),
        message::Reply::Trial(trial::Verdict::Wait { retry_after_ms }) => {
            permit.settle();
            (reason_of(refusal), retry_after_ms, retry_after_ms)
        }
        message::Reply::Trial(trial::Verdict::Exhausted) => {
            permit.settle();
            let ask_ms = trial::EXHAUSTED_ASK_MS;
            (reason_of(refusal), ask_ms, trial::EXHAUSTED_RETRY_MS)
        }
        // The trial may have been granted: the permit, which ends unused, returns it.
        reply => {
            log::info!(fingerprint = fingerprint.0, reply = format!("{reply:?}").as_str(); "no verdict on a trial");
            (Reason::NoLeader, NO_LEADER_RETRY_MS, NO_LEADER_RETRY_MS)
        }
    };
    suspects.set_wait(fingerprint, ask_ms);
    refused(reason, retry_after_ms)
}

fn reason_of(refusal: suspect::Refusal) -> Reason {
    match refusal.part {
        Some(_) => Reason::PoisonousPart,
        None => Reason::PoisonousRequest,
    }
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
    /// The content or the part that is tried.
    pub(crate) fingerprint: suspect::Fingerprint,
    /// Whether it is a part.
    is_part: bool,
    ticket: u64,
    stage: Cell<Stage>,
}

impl Permit {
    fn new(state: &Rc<State>, fingerprint: suspect::Fingerprint, is_part: bool) -> Permit {
        Permit {
            state: Rc::clone(state),
            fingerprint,
            is_part,
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

    /// Notes that the response is a stream whose first event has arrived. A deadly part may
    /// crash the backend server after it.
    pub(crate) fn streaming(&self) {
        if !self.is_part {
            self.lived();
        }
    }

    /// Notes that the run goes on, so that other trials may begin beside it.
    pub(crate) fn lived(&self) {
        if self.stage.get() == Stage::Running {
            self.stage.set(Stage::Streaming);
            self.report(trial::End::Streaming);
        }
    }

    /// Notes that the run has no result yet although its backend server goes on.
    fn give_up(&self) {
        if self.stage.get() == Stage::Running {
            self.settle();
            self.report(trial::End::Inconclusive);
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
    /// Runs without a complete answer of which it is not known yet what they show.
    unsettled: RefCell<unsettled::Runs<Held>>,
    /// Backend servers to be checked; set once the program runs.
    checks: RefCell<Option<mpsc::Sender<Check>>>,
    /// Those that are being checked.
    checked: RefCell<BTreeSet<suspect::Incarnation>>,
}

impl Suspects {
    /// Returns why a request must not run, unless as a trial.
    fn refusal(&self, request: &suspect::Request) -> Option<suspect::Refusal> {
        self.known.borrow_mut().refusal(request)
    }

    /// Returns why a request that was admitted must not be sent now.
    pub(crate) fn refusal_of_send(&self, forward: &Forward) -> Option<Reason> {
        let refusal = self.refusal(&forward.subject.request)?;
        let permit = forward.permit.as_ref();
        let permitted = permit.is_some_and(|permit| permit.fingerprint == refusal.fingerprint);
        let refused = !permitted || refusal.has_others;
        refused.then(|| reason_of(refusal))
    }

    /// Returns whether a request that broke off may be sent to another backend server.
    pub(crate) fn may_resend(&self, request: &suspect::Request) -> bool {
        self.known.borrow().may_resend(request)
    }

    /// Returns whether there are strikes against a request.
    pub(crate) fn is_suspect(&self, request: &suspect::Request) -> bool {
        self.known.borrow().is_suspect(request)
    }

    /// Returns the number of strikes against a content or part.
    pub(crate) fn strikes(&self, fingerprint: suspect::Fingerprint) -> usize {
        self.known.borrow().strikes(fingerprint)
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

    /// Returns the queue of backend servers to be checked.
    pub(crate) fn take_checks(&self) -> mpsc::Receiver<Check> {
        let (sender, queue) = mpsc::channel(CHECKS_MAX);
        *self.checks.borrow_mut() = Some(sender);
        queue
    }

    /// Has a backend server checked that fell silent, unless it is being checked or too many
    /// wait for it.
    pub(crate) fn request_check(&self, address: &str, run: Run<'_>) {
        let Ok(address) = address.parse() else {
            return;
        };
        let checks = self.checks.borrow();
        let mut checked = self.checked.borrow_mut();
        if checked.contains(&run.incarnation()) {
            return;
        }
        let check = Check {
            backend: run.backend.into(),
            backend_started_ms: run.backend_started_ms,
            address,
        };
        match checks.as_ref().map(|checks| checks.try_send(check)) {
            Some(Ok(())) => {
                checked.insert(run.incarnation());
            }
            _ => log::warn!(backend = run.backend; "too many backend servers to check"),
        }
    }

    /// Keeps a run that ended without a complete answer, or whose answer ended with its
    /// connection.
    pub(crate) fn hold(
        &self,
        subject: &Rc<Subject>,
        permit: Option<Rc<Permit>>,
        succeeded: Option<bool>,
        run: Run<'_>,
    ) {
        let held = Held {
            subject: Rc::clone(subject),
            permit,
            backend: run.backend.into(),
            backend_started_ms: run.backend_started_ms,
        };
        let now_ms = clock::monotonic_ms();
        let run = unsettled::Run::new(held, run.incarnation(), run.evidence(), now_ms, succeeded);
        self.unsettled.borrow_mut().add(run);
    }

    /// Returns whether no run is kept.
    pub(crate) fn has_settled_all(&self) -> bool {
        self.unsettled.borrow().is_empty()
    }

    /// Drops the runs of which nothing will become known any more. A trial ends sooner, as
    /// it holds back all requests with its part: once the leader would have missed its
    /// backend server. `announce_ms` is the interval between announcements.
    pub(crate) fn expire(&self, announce_ms: u64) {
        let now_ms = clock::monotonic_ms();
        // Permits report their end when they are dropped.
        let expired = self.unsettled.borrow_mut().expire(now_ms);
        drop(expired);
        let missed_ms = MISSED_ANNOUNCEMENTS * announce_ms;
        let unsettled = self.unsettled.borrow();
        let permits = unsettled
            .older_than(missed_ms, now_ms)
            .filter_map(|run| run.subject.permit.as_ref());
        permits.for_each(|permit| permit.give_up());
    }

    /// Adds a strike against a request and its parts, as the backend server broke its
    /// connection, as one does that crashes.
    pub(crate) fn note_crash(&self, link: &link::Link, subject: &Subject, run: Run<'_>) {
        let now_ms = clock::monotonic_ms();
        let changed = self.known.borrow_mut().request_crashed(
            &subject.request,
            run.incarnation(),
            run.evidence(),
            now_ms,
        );
        self.log_strike(subject, run, "broken");
        self.report(link, changed);
        self.note_lost(link, run, "broken");
    }

    /// Adds strikes against the requests whose runs are kept of a start of a backend server
    /// that has ended.
    pub(crate) fn note_ended(&self, link: &link::Link, run: Run<'_>, sign: &'static str) {
        let ended = self.unsettled.borrow_mut().ended(run.incarnation());
        for run in &ended {
            self.strike_lost(link, run, sign);
        }
    }

    /// Adds strikes like [`Suspects::note_ended`] for a sign that leaves a doubt. They are
    /// withdrawn once the backend server is heard again.
    pub(crate) fn note_lost(&self, link: &link::Link, run: Run<'_>, sign: &'static str) {
        let mut unsettled = self.unsettled.borrow_mut();
        unsettled.presume_ended(run.incarnation(), |run| self.strike_lost(link, run, sign));
    }

    fn strike_lost(
        &self,
        link: &link::Link,
        run: &unsettled::Run<Held>,
        sign: &'static str,
    ) -> suspect::Crash {
        let held = &run.subject;
        held.settle();
        let (crash, changed) = self.known.borrow_mut().request_lost(
            &held.subject.request,
            run.incarnation,
            run.run,
            run.ended_ms,
        );
        if !changed.is_empty() {
            self.log_strike(&held.subject, held.run(run.run), sign);
        }
        self.report(link, changed);
        crash
    }

    /// Notes that a start of a backend server announced itself at a monotonic time in
    /// milliseconds: it has not ended under the runs that ended before.
    pub(crate) fn note_alive(&self, link: &link::Link, run: Run<'_>, at_ms: u64) {
        let runs = self.unsettled.borrow_mut().heard(run.incarnation(), at_ms);
        self.settle_alive(link, runs);
    }

    /// Notes bytes of a response to a run that came at a monotonic time in milliseconds.
    pub(crate) fn note_responded(&self, link: &link::Link, run: Run<'_>, at_ms: u64) {
        let incarnation = run.incarnation();
        let runs = self
            .unsettled
            .borrow_mut()
            .responded(incarnation, run.sent_ms, at_ms);
        self.settle_alive(link, runs);
    }

    /// Settles the runs whose backend servers have responded and would have announced a
    /// later start since. `connected` says whether announcements arrive.
    pub(crate) fn confirm_alive(&self, link: &link::Link, announce_ms: u64, connected: bool) {
        if !connected {
            return self.unsettled.borrow_mut().forget_responses();
        }
        let wait_ms = CONFIRMING_ANNOUNCEMENTS * announce_ms;
        let before_ms = clock::monotonic_ms().saturating_sub(wait_ms);
        let runs = self.unsettled.borrow_mut().confirm(before_ms);
        self.settle_alive(link, runs);
    }

    fn settle_alive(&self, link: &link::Link, runs: Vec<unsettled::Run<Held>>) {
        for run in runs {
            let held = &run.subject;
            if let Some(crash) = run.strike() {
                self.withdraw(link, held, crash);
            }
            if let Some(succeeded) = run.succeeded {
                held.settle();
                self.note_answered(link, &held.subject, succeeded, held.run(run.run));
            }
        }
    }

    fn withdraw(&self, link: &link::Link, held: &Held, crash: suspect::Crash) {
        let now_ms = clock::monotonic_ms();
        let request = &held.subject.request;
        let changed = self.known.borrow_mut().withdraw(request, crash, now_ms);
        if changed.is_empty() {
            return;
        }
        log::info!(
            request = held.subject.id.as_str(), backend = &*held.backend, started_ms = held.backend_started_ms;
            "backend server goes on, strike withdrawn"
        );
        metrics::SUSPECTS.with_label_values(&["withdrawn"]).inc();
        for evidence in &changed {
            self.waits.borrow_mut().remove(&evidence.fingerprint);
        }
        self.report(link, changed);
    }

    /// Logs a strike and the sign that it rests on.
    fn log_strike(&self, subject: &Subject, run: Run<'_>, sign: &'static str) {
        let request = &subject.request;
        let content = request.content();
        let part_strikes = request.parts().iter().map(|part| self.strikes(*part));
        log::warn!(
            request = subject.id.as_str(), parts = subject.logged_parts.as_str(), backend = run.backend,
            started_ms = run.backend_started_ms, fingerprint = content.map_or(0, |content| content.0),
            strikes = content.map_or(0, |content| self.strikes(content)),
            part_strikes = part_strikes.max().unwrap_or(0), written_ms = run.written_ms, sign = sign;
            "request is suspected of crashing backend servers"
        );
        metrics::SUSPECTS.with_label_values(&["strike"]).inc();
    }

    /// Clears a request that was answered in whole, and its parts if it `succeeded`.
    pub(crate) fn note_answered(
        &self,
        link: &link::Link,
        subject: &Subject,
        succeeded: bool,
        run: Run<'_>,
    ) {
        let now_ms = clock::monotonic_ms();
        let content = subject.request.content();
        self.unsettled.borrow_mut().answered(run.sent_ms, |held| {
            held.subject.request.content() == content
        });
        let changed = self.known.borrow_mut().request_answered(
            &subject.request,
            succeeded,
            run.sent_ms,
            now_ms,
        );
        for evidence in &changed {
            let fingerprint = evidence.fingerprint;
            log::info!(
                request = subject.id.as_str(), backend = run.backend, fingerprint = fingerprint.0,
                part = subject.part_id(fingerprint), strikes = evidence.strikes();
                "suspected request completed, suspicion cleared"
            );
            metrics::SUSPECTS.with_label_values(&["cleared"]).inc();
            self.waits.borrow_mut().remove(&fingerprint);
        }
        self.report(link, changed);
    }

    /// Clears the parts of a request of the crashes that a run of it has outlived.
    pub(crate) fn note_lived(&self, link: &link::Link, subject: &Subject, run: Run<'_>) {
        // Most requests have no part with strikes, and are answered soon.
        if !self.known.borrow().has_struck_part(&subject.request) {
            return;
        }
        let now_ms = clock::monotonic_ms();
        let changed =
            self.known
                .borrow_mut()
                .request_lived(&subject.request, run.evidence(), now_ms);
        for evidence in &changed {
            let fingerprint = evidence.fingerprint;
            log::info!(
                request = subject.id.as_str(), backend = run.backend, fingerprint = fingerprint.0,
                part = subject.part_id(fingerprint), strikes = evidence.strikes(), written_ms = run.written_ms;
                "request with a suspected part outlived the crashes, suspicion cleared"
            );
            metrics::SUSPECTS.with_label_values(&["cleared"]).inc();
            self.waits.borrow_mut().remove(&fingerprint);
        }
        self.report(link, changed);
    }

    /// Merges what the leader knows. `is_first` tells whether this is all that a new
    /// leader knows; it is then told whatever it lacks.
    pub(crate) fn apply_update(
        &self,
        link: &link::Link,
        suspects: Vec<suspect::Report>,
        is_first: bool,
    ) {
        let now_ms = clock::monotonic_ms();
        let suspects: Vec<suspect::Evidence> = suspects.into_iter().map(Into::into).collect();
        let mut known = self.known.borrow_mut();
        for evidence in &suspects {
            if known.merge(evidence, now_ms) {
                // What the leader said about a trial was about less evidence.
                self.waits.borrow_mut().remove(&evidence.fingerprint);
            }
            if known.note_answered(evidence, now_ms) {
                self.unreported.borrow_mut().insert(evidence.fingerprint);
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
            if !link.notify(&message::Frame::Suspect(evidence.into())) {
                unreported.insert(fingerprint);
                return;
            }
        }
        let mut ended = self.ended.borrow_mut();
        let told = ended.iter().take_while(|frame| link.notify(frame)).count();
        ended.drain(..told);
    }

    fn report(&self, link: &link::Link, changed: Vec<suspect::Evidence>) {
        if changed.is_empty() {
            return;
        }
        let changed = changed.iter().map(|evidence| evidence.fingerprint);
        self.unreported.borrow_mut().extend(changed);
        self.flush(link);
    }
}
