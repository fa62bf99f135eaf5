//! Runs batch items at backend servers, as planned by the dispatch.

use std::{collections::BTreeMap, net, rc::Rc, time};

use bw_coord::host;
use bw_relay::{
    dispatch::{self, trial},
    event, ledger, suspect,
};
use bw_wire::verdict;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use tokio::task;
use tokio_util::sync::CancellationToken;

use crate::{
    clock,
    control::{hub::Hub, item, orphan, replica},
    dialect, metrics, upstream,
};

/// Timeout of the response head. Items are started where a slot is free, and an
/// engine then responds within some tens of milliseconds. A response that takes longer
/// means that the item waits in a queue, which is meant for online requests.
const HEAD_TIMEOUT: time::Duration = time::Duration::from_millis(500);
/// Longest gap between events before the run counts as broken.
const SILENCE_TIMEOUT: time::Duration = time::Duration::from_millis(2_500);
/// Number of events after which the output of a run is saved. Each save is one log
/// entry. A leader failure loses at most this many events of each run.
const SAVE_INTERVAL_EVENTS: u64 = 64;
/// Bytes of unsaved output after which it is saved, whatever the number of events.
const SAVE_INTERVAL_BYTES: usize = 64 << 10;
/// Largest output of an item in bytes, as it has to fit into a page of results.
const OUTPUT_BYTES_MAX: usize = replica::PAGE_BYTES;
/// Pause before a refused attempt to record the end of an item is repeated.
const RECORD_RETRY_PAUSE: time::Duration = time::Duration::from_millis(100);

/// The tasks of the runs in progress, and what cancels each.
#[derive(Default)]
pub(crate) struct Runs {
    cancellations: BTreeMap<dispatch::Key, CancellationToken>,
    tasks: task::JoinSet<()>,
}

impl Runs {
    /// Cancels one run, which keeps the output it has so far.
    pub(crate) fn stop(&self, key: &dispatch::Key) {
        if let Some(stop) = self.cancellations.get(key) {
            stop.cancel();
        }
    }

    /// Runs another task of the leader concurrently with the runs.
    pub(crate) fn spawn(&mut self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn_local(task);
    }

    pub(crate) fn stop_all(&mut self) {
        for stop in self.cancellations.values() {
            stop.cancel();
        }
        self.cancellations.clear();
    }
}

/// Plans the batch work and carries the plan out.
pub(crate) fn plan(hub: &Rc<Hub>) {
    let servers = hub.ready_servers();
    let routes = Rc::clone(&hub.routes.borrow());
    release_holds(hub);
    let actions = hub
        .dispatch
        .borrow_mut()
        .plan(&servers, &routes, hub.unix_ms());
    log_trials(hub);
    execute(hub, actions);
}

/// Lets items start whose parts are not refused any more.
fn release_holds(hub: &Hub) {
    let mut suspects = hub.suspects.borrow_mut();
    let mut dispatch = hub.dispatch.borrow_mut();
    let released = dispatch.release_holds(|request| suspects.refusal(request).is_some());
    let now_ms = hub.unix_ms();
    for hold in released {
        log::info!(
            fingerprint = hold.part.0, held_ms = now_ms.saturating_sub(hold.since_ms);
            "items with a part that was refused may start"
        );
    }
}

/// Logs changes of items that are suspected of crashing backend servers.
fn log_trials(hub: &Hub) {
    let notes = hub.dispatch.borrow_mut().take_notes();
    for note in notes {
        let (job, item) = (&*note.key.job, note.key.item);
        let (request, backend) = (&*note.id, &*note.server);
        match note.change {
            trial::Change::Suspected { breaks } => log::warn!(
                job = job, item = item, request = request, backend = backend, breaks = breaks;
                "item is suspected of crashing backend servers"
            ),
            trial::Change::Began { waited_ms, calm } => log::info!(
                job = job, item = item, request = request, backend = backend,
                waited_ms = waited_ms, calm = calm;
                "trial of a suspected item begins"
            ),
            trial::Change::Ended { outcome, pause_ms } => {
                let outcome: &'static str = outcome.into();
                log::info!(
                    job = job, item = item, request = request, backend = backend,
                    outcome = outcome, pause_ms = pause_ms;
                    "trial of a suspected item ended"
                );
                metrics::TRIALS.with_label_values(&[outcome]).inc();
            }
            trial::Change::Withdrawn => log::info!(
                job = job, item = item, request = request, backend = backend;
                "suspicion withdrawn: other backend servers crashed too"
            ),
        }
    }
}

/// Carries out the actions of the dispatch.
pub(crate) fn execute(hub: &Rc<Hub>, actions: Vec<dispatch::Action>) {
    let mut runs = hub.runs.borrow_mut();
    while runs.tasks.try_join_next().is_some() {}
    for action in actions {
        match action {
            dispatch::Action::Start(start) => {
                let stop = CancellationToken::new();
                runs.cancellations.insert(start.key.clone(), stop.clone());
                runs.tasks.spawn_local(run(Rc::clone(hub), start, stop));
            }
            dispatch::Action::Preempt(key) => {
                log::info!(job = &*key.job, item = key.item; "item preempted by online requests");
                metrics::BATCH_RUNS.with_label_values(&["preempted"]).inc();
                runs.stop(&key);
            }
            dispatch::Action::GiveUp(key, reason) => {
                let reason: &'static str = reason.into();
                log::warn!(job = &*key.job, item = key.item, reason = reason; "item given up");
                runs.tasks.spawn_local(record_end(
                    Rc::clone(hub),
                    key,
                    ledger::End::GivenUp,
                    ledger::Output::default(),
                ));
            }
        }
    }
}

async fn run(hub: Rc<Hub>, start: dispatch::Start, stop: CancellationToken) {
    let term = hub.term();
    let began_ms = clock::monotonic_ms();
    let mut progress = start.progress.clone();
    let first = progress.last;
    let subject = Rc::new(item::Subject::new(&hub, &start));
    // A run that a former leader left behind has begun and crashed nothing.
    let admission = match start.orphan {
        Some(_) => item::Admission::Admitted(None),
        None => item::admit(&hub, &subject).await,
    };
    let ended = match admission {
        item::Admission::Refused(refusal) => Ended::Refused(refusal),
        item::Admission::Admitted(permit) => {
            run_admitted(&hub, &start, &subject, permit, &mut progress, &stop, term).await
        }
    };
    let name: &'static str = (&ended).into();
    log::info!(
        job = &*start.key.job, item = start.key.item, request = &*start.id, backend = &*start.server,
        outcome = name, first = first, last = progress.last, took_ms = clock::monotonic_ms() - began_ms;
        "run ended"
    );
    metrics::BATCH_RUNS.with_label_values(&[name]).inc();
    // After a change of leader the dispatch may have another run of the same item.
    if hub.term() != term || term.is_none() {
        return;
    }
    hub.runs.borrow_mut().cancellations.remove(&start.key);
    let node = hub.settings().node.as_str().into();
    let (succeeded, failed) = match ended {
        Ended::Completed => (1, 0),
        Ended::Broken | Ended::Silent | Ended::Disconnected | Ended::Failed => (0, 1),
        _ => (0, 0),
    };
    hub.note_results(&start.server, &node, succeeded, failed);
    if let Ended::Failed = ended {
        record_failure(&hub, &start.key).await;
        if hub.term() != term {
            return;
        }
    }
    let outcome = match ended {
        Ended::Completed => dispatch::Outcome::Completed(progress),
        Ended::Stopped | Ended::Broken | Ended::Silent | Ended::Disconnected => {
            dispatch::Outcome::Broken(progress)
        }
        Ended::Refused(refusal) => dispatch::Outcome::Refused { progress, refusal },
        Ended::Failed => dispatch::Outcome::Failed(progress),
        Ended::Impossible => dispatch::Outcome::Impossible,
        Ended::NotRun => dispatch::Outcome::NotRun(progress),
        Ended::Crowded => dispatch::Outcome::Crowded(progress),
    };
    let end = hub
        .dispatch
        .borrow_mut()
        .ended(&start.key, outcome, hub.unix_ms());
    log_trials(&hub);
    if let Some((end, output)) = end {
        record_end(hub, start.key, end, output).await;
    }
}

/// Runs an item that was admitted, as a trial if there is a permit, and reports what the run
/// shows about the parts of its prompt.
async fn run_admitted(
    hub: &Rc<Hub>,
    start: &dispatch::Start,
    subject: &Rc<item::Subject>,
    mut permit: Option<item::Permit>,
    progress: &mut dispatch::Progress,
    stop: &CancellationToken,
    term: Option<u64>,
) -> Ended {
    if hub.term() == term {
        let mut dispatch = hub.dispatch.borrow_mut();
        match &permit {
            Some(permit) => {
                let refusal = permit.refusal(subject);
                dispatch.trial_began(&start.key, refusal, hub.unix_ms());
            }
            None => dispatch.admitted(&start.key),
        }
    }
    let mut writing = suspect::Writing::default();
    let sending = send(
        hub,
        start,
        subject,
        permit.as_ref(),
        progress,
        &mut writing,
        term,
    );
    let ended = tokio::select! {
        ended = sending => ended,
        () = stop.cancelled() => Ended::Stopped,
    };
    subject.note_lived(hub, writing.written_ms());
    if let Ended::Disconnected = ended {
        subject.note_crash(hub, writing.written_ms());
    }
    if subject.is_unsettled(&ended) {
        // The result of a trial is what becomes known of the backend server, unless this VM
        // stopped the run.
        let is_awaited = matches!(ended, Ended::Silent | Ended::Completed);
        let awaited = permit.take_if(|_| is_awaited);
        item::hold(hub, subject, awaited, writing.written_ms(), &ended);
    }
    if let Some(permit) = permit {
        permit.end(hub, &ended);
    }
    ended
}

/// Records durably that a run of an item failed, because the limit of failed runs per
/// item holds across leaders.
async fn record_failure(hub: &Hub, key: &dispatch::Key) {
    let command = ledger::Command::Fail {
        job: key.job.clone(),
        item: key.item,
    };
    if let Err(refusal) = hub.propose(command).await {
        log::warn!(job = &*key.job, item = key.item; "failed run not recorded, the next leader will not count it: {refusal}");
    }
}

/// Records the end of an item durably, after which its result can be read.
async fn record_end(hub: Rc<Hub>, key: dispatch::Key, end: ledger::End, output: ledger::Output) {
    loop {
        let command = ledger::Command::Record {
            job: key.job.clone(),
            item: key.item,
            end,
            output: output.clone(),
        };
        match hub.propose(command).await {
            Ok(_) => break,
            Err(host::Refusal::Busy) => tokio::time::sleep(RECORD_RETRY_PAUSE).await,
            Err(refusal) => {
                log::warn!(job = &*key.job, item = key.item; "end of an item not recorded: {refusal}");
                return;
            }
        }
    }
    hub.note_item_recorded(&key);
    log::info!(job = &*key.job, item = key.item, end = format!("{end:?}").as_str(); "item listed");
}

/// How a run ended, printed in snake case in logs and metrics.
#[derive(Clone, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub(super) enum Ended {
    Completed,
    /// The run was cancelled, or this replica is not the leader any more.
    Stopped,
    /// The connection carried an invalid response.
    Broken,
    /// The connection fell silent.
    #[strum(serialize = "broken")]
    Silent,
    /// The connection broke, as it does when the backend server crashes.
    #[strum(serialize = "broken")]
    Disconnected,
    /// A part of the prompt crashes backend servers.
    Refused(dispatch::Refusal),
    /// The backend server responded with status 500.
    Failed,
    /// The item is invalid, so that no backend server can run it (status 422).
    Impossible,
    /// The backend server did not start the run.
    NotRun,
    /// The item had to wait for a slot, or the response head timed out.
    Crowded,
}

impl From<upstream::Error> for Ended {
    fn from(error: upstream::Error) -> Ended {
        match (error.failure, error.verdict) {
            (upstream::Failure::Timeout, _) => Ended::Crowded,
            (upstream::Failure::Broken, _) => Ended::Disconnected,
            (_, verdict::Verdict::NotRun) => Ended::NotRun,
            (_, verdict::Verdict::MayHaveRun | verdict::Verdict::Run) => Ended::Broken,
        }
    }
}

async fn send(
    hub: &Rc<Hub>,
    start: &dispatch::Start,
    subject: &item::Subject,
    permit: Option<&item::Permit>,
    progress: &mut dispatch::Progress,
    writing: &mut suspect::Writing,
    term: Option<u64>,
) -> Ended {
    let read = replica::Read::Body {
        job: start.key.job.clone(),
        item: start.id.clone(),
    };
    let Ok(replica::Answer::Body(Some(body))) = hub.read(read).await else {
        return Ended::NotRun;
    };
    let (Ok(address), Some(mut request)) = (
        start.address.parse::<net::SocketAddr>(),
        build_request(hub, start, body),
    ) else {
        return Ended::NotRun;
    };
    if let Some(former) = &start.orphan {
        match orphan::migrate(hub, &start.id, former, &start.address).await {
            dialect::Migration::Moved(source) => {
                let Ok(source) = header::HeaderValue::try_from(source) else {
                    return Ended::NotRun;
                };
                let name = hub.dialect().headers().kv_source.clone();
                request.headers_mut().insert(name, source);
            }
            // Online requests occupy the slots, so the item waits for a free one.
            dialect::Migration::Stopped => return Ended::NotRun,
            dialect::Migration::Gone | dialect::Migration::Refused => {}
        }
    }
    // The pool would send it to a backend server that it may have crashed.
    let resend = !subject.is_suspect(hub);
    subject.sent();
    let sent = hub.pool.send(address, request, resend, HEAD_TIMEOUT).await;
    let names = hub.dialect().headers();
    let exchange = match sent.and_then(|exchange| exchange.check(names, &start.id)) {
        Ok(exchange) => exchange,
        Err(error) => {
            subject.note_failure(hub, error.failure);
            return error.into();
        }
    };
    subject.note_response(hub);
    if let Some(ended) = check_response(hub, &exchange.response) {
        return ended;
    }
    let is_framed = exchange.response.body().is_framed();
    let mut body = exchange.response.into_body();
    let mut parser = event::Parser::default();
    let mut reservation = hub.pool.budget().reserve();
    let mut trial = start.trial;
    loop {
        match tokio::time::timeout(SILENCE_TIMEOUT, body.frame()).await {
            Ok(None) if parser.is_empty() && progress.last > 0 => {
                exchange.lease.release();
                // One that ends with its connection may have crashed its backend server.
                if is_framed {
                    subject.note_answered(hub);
                }
                return Ended::Completed;
            }
            Ok(Some(Ok(frame))) => {
                let Ok(bytes) = frame.into_data() else {
                    continue;
                };
                parser.push(&bytes);
                let before = progress.last;
                let fits = take_events(&mut parser, progress)
                    && progress.bytes <= OUTPUT_BYTES_MAX
                    && reservation.resize(parser.pending() + progress.unsaved_bytes());
                if !fits {
                    return Ended::Broken;
                }
                if progress.last > before && writing.note_event(clock::monotonic_ms()) {
                    note_lived(hub, start, subject, permit, writing.written_ms(), term);
                }
                if trial && progress.last > start.progress.last {
                    trial = false;
                    end_trial(hub, &start.key, term);
                }
                let due = progress.last >= progress.saved + SAVE_INTERVAL_EVENTS
                    || progress.unsaved_bytes() >= SAVE_INTERVAL_BYTES;
                if due && !save(hub, start, progress).await {
                    return Ended::Stopped;
                }
            }
            Ok(None | Some(Err(upstream::Failure::Broken))) => return Ended::Disconnected,
            Ok(Some(Err(_))) => return Ended::Broken,
            Err(_) => return Ended::Silent,
        }
    }
}

/// Notes that a run writes on, which clears its parts of crashes. Lets the next trial begin
/// beside it if a part is still refused.
fn note_lived(
    hub: &Hub,
    start: &dispatch::Start,
    subject: &item::Subject,
    permit: Option<&item::Permit>,
    written_ms: u64,
    term: Option<u64>,
) {
    subject.note_lived(hub, written_ms);
    let still_refused = permit.filter(|_| subject.is_refused(hub));
    if let Some(permit) = still_refused.filter(|_| term.is_some() && hub.term() == term) {
        permit.lived(hub);
        let mut dispatch = hub.dispatch.borrow_mut();
        dispatch.trial_lived(&start.key, hub.unix_ms());
    }
}

/// Reports the first event of a trial to the dispatch, unless the leader has changed:
/// the dispatch may then have another run of the same item.
fn end_trial(hub: &Hub, key: &dispatch::Key, term: Option<u64>) {
    if term.is_some() && hub.term() == term {
        hub.dispatch.borrow_mut().progressed(key);
        log_trials(hub);
    }
}

/// Saves the unsaved output of a run durably. Returns false if this replica is not the
/// leader any more.
async fn save(hub: &Hub, start: &dispatch::Start, progress: &mut dispatch::Progress) -> bool {
    let command = ledger::Command::Save {
        job: start.key.job.clone(),
        item: start.key.item,
        output: progress.unsaved(),
    };
    match hub.propose(command).await {
        Ok(_) => {
            progress.save();
            true
        }
        // The output is saved together with the next events instead.
        Err(host::Refusal::Busy) => true,
        Err(_) => false,
    }
}

/// Adds the complete events to the output. Returns false if an event is missing or
/// too large, or another response follows.
fn take_events(parser: &mut event::Parser, progress: &mut dispatch::Progress) -> bool {
    while let Some(event) = parser.next_event() {
        if event.is_response_head() {
            return false;
        }
        let Some(id) = event.id else {
            continue;
        };
        if id <= progress.last {
            parser.note_repeated(&event);
            continue;
        }
        if id != progress.last + 1 {
            return false;
        }
        progress.push(event.data());
    }
    !parser.is_too_large()
}

/// Returns the outcome of a run whose response is not a stream of events; `None` if
/// events follow.
fn check_response<B>(hub: &Hub, response: &hyper::Response<B>) -> Option<Ended> {
    let load = response.headers().get(&hub.dialect().headers().load);
    let load = load.and_then(|value| value.to_str().ok());
    let load = load.and_then(|value| hub.dialect().decode_load(value));
    match response.status() {
        StatusCode::OK if load.is_some_and(|load| load.waiting > 0) => Some(Ended::Crowded),
        StatusCode::OK if upstream::has_events(response.headers()) => None,
        StatusCode::UNPROCESSABLE_ENTITY => Some(Ended::Impossible),
        StatusCode::INTERNAL_SERVER_ERROR => Some(Ended::Failed),
        _ => Some(Ended::Broken),
    }
}

fn build_request(
    hub: &Hub,
    start: &dispatch::Start,
    body: Vec<u8>,
) -> Option<Request<Full<Bytes>>> {
    let names = hub.dialect().headers();
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = Method::POST;
    *request.uri_mut() = start.path.parse().ok()?;
    let headers = request.headers_mut();
    for (name, value) in &start.headers {
        let name = header::HeaderName::try_from(&**name).ok()?;
        headers.insert(name, header::HeaderValue::try_from(&**value).ok()?);
    }
    headers.insert(
        header::HOST,
        header::HeaderValue::try_from(&*start.host).ok()?,
    );
    headers.insert(
        names.request_id.clone(),
        header::HeaderValue::try_from(&*start.id).ok()?,
    );
    headers.insert(
        names.expect_backend.clone(),
        header::HeaderValue::try_from(&*start.server).ok()?,
    );
    if start.progress.last > 0 {
        headers.insert(
            names.last_event_id.clone(),
            header::HeaderValue::from(start.progress.last),
        );
    }
    Some(request)
}
