//! One run: one scenario, one policy, one seed.

use std::{collections, sync, time};

use bw_wire::{fingerprint, header, verdict};
use http_body_util::{BodyExt, Full};
use tokio::task;

use crate::{call, cpu, fleet, job, pace, policy, result, scenario, workload};

/// Most times a caller sends one request.
const ATTEMPTS: u32 = 4;
/// Pause of a caller before it sends again.
const RESEND_PAUSE: time::Duration = time::Duration::from_millis(50);
/// Time between the start of the processes and the start of the load, in which
/// engines announce themselves.
const SETTLE: time::Duration = time::Duration::from_millis(1_500);
/// Interval of the load balancer's health checks of entry VMs.
const HEALTH_INTERVAL: time::Duration = time::Duration::from_millis(500);
/// The path of all completion requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// What the tasks of a run share.
pub struct Run {
    /// The scenario.
    pub scenario: scenario::Scenario,
    /// The policy.
    pub policy: scenario::Policy,
    /// The HTTP client.
    pub client: call::Client,
    /// Chooses servers.
    pub picker: policy::Picker,
    /// The start of the load.
    pub start: time::Instant,
    tally: sync::Mutex<Tally>,
}

/// Counts and latencies of a run.
#[derive(Debug, Default)]
pub struct Tally {
    /// Time to the first token.
    pub ttft: result::Latency,
    /// Mean time between tokens of a request.
    pub tpot: result::Latency,
    /// Online requests due in the measured time.
    pub sent: u64,
    /// Refusals by code.
    pub refusals: collections::BTreeMap<String, u64>,
    /// Requests sent again after a broken connection.
    pub resent: u64,
    /// Time that measured online requests spent in the fleet.
    pub online_time: time::Duration,
    /// Prompts of requests that were refused as not run.
    pub not_run: Vec<fingerprint::Fingerprint>,
    /// Batch items completed in the measured time.
    pub batch_measured: f64,
    /// Batch items completed.
    pub batch_completed: u64,
    /// Batch items that ended with an error.
    pub batch_failed: u64,
    /// See [`result::Line::lost`].
    pub lost: u64,
    /// See [`result::Line::doubled`].
    pub doubled: u64,
    /// Refused poisonous requests.
    pub poison_refused: u64,
    /// Plain service calls that were answered.
    pub service_answered: u64,
    /// Plain service calls that were refused.
    pub service_refused: u64,
}

impl Run {
    /// Returns the counts.
    pub fn tally(&self) -> sync::MutexGuard<'_, Tally> {
        self.tally
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the start of the measured time.
    pub fn measure_from(&self) -> time::Instant {
        self.start + time::Duration::from_millis(self.scenario.warmup_ms)
    }

    /// Returns the end of the load.
    pub fn end(&self) -> time::Instant {
        self.start + time::Duration::from_millis(self.scenario.run_ms())
    }

    /// Returns a team's bearer token.
    pub fn token(&self, team: &str) -> Option<&str> {
        self.scenario.tokens.get(team).map(String::as_str)
    }

    fn is_measured(&self, at: time::Instant) -> bool {
        (self.measure_from()..self.end()).contains(&at)
    }
}

/// Performs one run and returns its line and the latencies to the first token.
///
/// # Errors
///
/// Fails when a process does not start or the results cannot be collected.
pub async fn run(
    scenario: &scenario::Scenario,
    policy: scenario::Policy,
    seed: u64,
) -> anyhow::Result<(result::Line, result::Latency)> {
    let fleet = sync::Arc::new(fleet::Fleet::start(scenario, policy, seed).await?);
    let outcome = load(scenario, policy, seed, &fleet).await;
    // All tasks that hold the fleet have been joined.
    if let Some(fleet) = sync::Arc::into_inner(fleet) {
        task::spawn_blocking(|| fleet.stop()).await?;
    }
    outcome
}

async fn load(
    scenario: &scenario::Scenario,
    policy: scenario::Policy,
    seed: u64,
    fleet: &sync::Arc<fleet::Fleet>,
) -> anyhow::Result<(result::Line, result::Latency)> {
    let addresses = match policy.uses_entries() {
        true => &fleet.entry_addresses,
        false => &fleet.engine_addresses,
    };
    let mut run = Run {
        scenario: scenario.clone(),
        policy,
        client: call::Client::new(),
        picker: policy::Picker::new(policy, addresses),
        start: time::Instant::now(),
        tally: sync::Mutex::default(),
    };
    let items = match policy.has_batch() {
        true => workload::batch(scenario, seed),
        false => Vec::new(),
    };
    tokio::time::sleep(SETTLE).await;
    let uploaded = match policy.uses_entries() {
        true => job::upload(&run, &items).await?,
        false => Vec::new(),
    };
    run.start = time::Instant::now();
    let run = sync::Arc::new(run);

    let mut helpers = task::JoinSet::new();
    let watched = sync::Arc::clone(fleet);
    helpers.spawn(async move { watched.watch().await });
    if policy.uses_entries() {
        helpers.spawn(check_health(sync::Arc::clone(&run)));
    }
    if policy.has_faults() {
        spawn_faults(&run, fleet, &mut helpers);
    }
    let batch = match policy.uses_entries() {
        true => tokio::spawn(job::run(sync::Arc::clone(&run), items, uploaded)),
        false => tokio::spawn(feed(sync::Arc::clone(&run), items)),
    };
    let subjects = match fleet.cpu_subjects() {
        Some((control, entry)) => [Some(control), Some(entry)],
        None => [running_control(scenario), None],
    };
    let used = || subjects.each_ref().map(|subject| subject.as_ref()?.used());
    let before = used();
    send_online(&run, seed).await;
    let after = used();
    let wall = run.start.elapsed();
    batch.await??;
    helpers.shutdown().await;

    let executions = fleet.executions(&run.client).await?;
    let mut line = line(&run, seed, fleet, &executions);
    let counts = [scenario.control_count(), scenario.entry_count()];
    let percent = |index: usize| {
        let used = after[index]?.saturating_sub(before[index]?);
        let share = used.as_secs_f64() / wall.as_secs_f64();
        Some(100.0 * share / f64::from(counts[index].max(1)))
    };
    line.control_cpu_percent = percent(0);
    line.entry_cpu_percent = percent(1);
    let latency = run.tally().ttft.clone();
    Ok((line, latency))
}

/// Sends the online load and waits for its answers.
async fn send_online(run: &sync::Arc<Run>, seed: u64) {
    let mut arrivals = Vec::new();
    if run.policy.has_online() {
        let share = match run.policy {
            scenario::Policy::Direct => 1.0 / f64::from(run.scenario.engine_count().max(1)),
            _ => 1.0,
        };
        let online = workload::online(&run.scenario, seed, share);
        arrivals.extend(
            online
                .into_iter()
                .map(|arrival| (arrival.at, arrival.request)),
        );
        if let Some(service) = run
            .scenario
            .service
            .as_ref()
            .filter(|_| run.policy.uses_entries())
        {
            let calls = workload::service(&run.scenario, service, seed);
            arrivals.extend(
                calls
                    .into_iter()
                    .map(|arrival| (arrival.at, arrival.request)),
            );
            arrivals.sort_by_key(|(at, _)| *at);
        }
        let poison = run.scenario.poison.as_ref();
        if let Some(poison) = poison.filter(|_| run.policy.has_faults()) {
            let request = workload::poison(&run.scenario, seed);
            let times = (poison.from_ms..run.scenario.run_ms()).step_by(poison.every_ms as usize);
            let times = times.map(time::Duration::from_millis);
            arrivals.extend(times.map(|at| (at, request.clone())));
            arrivals.sort_by_key(|(at, _)| *at);
        }
    }
    let mut pacer = pace::Pacer::new(run.start, arrivals);
    let mut open = task::JoinSet::new();
    while let Some((intended, request)) = pacer.next().await {
        if request.id.starts_with("poison") {
            open.spawn(ask_poison(sync::Arc::clone(run), request));
        } else if request.id.starts_with("call") {
            open.spawn(call_service(sync::Arc::clone(run), request));
        } else {
            open.spawn(ask(sync::Arc::clone(run), intended, request));
        }
        while open.try_join_next().is_some() {}
    }
    tokio::time::sleep_until(run.end().into()).await;
    // Each request ends by its own deadline.
    while open.join_next().await.is_some() {}
}

/// Sends one online request as a caller does: again when the connection breaks.
async fn ask(run: sync::Arc<Run>, intended: time::Instant, request: workload::Request) {
    let deadline = intended + time::Duration::from_millis(run.scenario.online.deadline_ms);
    let mut failed = None;
    let mut resent = 0;
    let mut attempt = 0;
    let seen = loop {
        attempt += 1;
        let Some(picked) = run.picker.pick(failed) else {
            return;
        };
        let target = call::Target {
            address: picked.address(),
            path: CHAT_PATH,
            request_id: &request.id,
            token: run.token(&request.team),
            limit: deadline.saturating_duration_since(time::Instant::now()),
        };
        let seen = run.client.complete(target, &request.body).await;
        let again = match &seen.end {
            call::End::NotConnected => true,
            call::End::Broken => {
                resent += 1;
                true
            }
            // Without entry VMs, the caller tries the next engine itself.
            call::End::Refused { verdict, .. } => {
                *verdict == Some(verdict::Verdict::NotRun) && !run.policy.uses_entries()
            }
            call::End::Answered | call::End::TimedOut => false,
        };
        if !again || attempt >= ATTEMPTS || time::Instant::now() >= deadline {
            break seen;
        }
        failed = Some(picked.index);
        drop(picked);
        tokio::time::sleep(RESEND_PAUSE).await;
    };
    note(&run, intended, &request, &seen, resent);
}

fn note(
    run: &Run,
    intended: time::Instant,
    request: &workload::Request,
    seen: &call::Seen,
    resent: u64,
) {
    let measured = run.is_measured(intended);
    let client_delay = time::Duration::from_micros(2 * run.scenario.client_delay_us);
    let mut tally = run.tally();
    tally.sent += u64::from(measured);
    tally.resent += resent;
    if let call::End::Refused { code, verdict, .. } = &seen.end {
        let code = code.clone().unwrap_or_else(|| "unknown".to_owned());
        *tally.refusals.entry(code).or_default() += 1;
        // After a broken attempt, the verdict speaks of the last attempt only.
        if *verdict == Some(verdict::Verdict::NotRun) && resent == 0 {
            tally.not_run.push(request.prompt);
        }
        return;
    }
    let whole = seen.is_whole(&request.answer);
    if !whole {
        log::info!("{}: no whole own answer: {:?}", request.id, seen.end);
        tally.lost += 1;
    }
    if !measured {
        return;
    }
    // A request without its answer counts with the time its caller waited.
    let first = seen.first_token.filter(|_| whole).unwrap_or(seen.last);
    tally
        .ttft
        .record(first.saturating_duration_since(intended) + client_delay);
    tally.online_time += seen.last.saturating_duration_since(intended);
    if seen.tokens > 1 && whole {
        let rest = seen.last.saturating_duration_since(first);
        tally.tpot.record(rest / (seen.tokens - 1));
    }
}

/// Sends the poisonous request once.
async fn ask_poison(run: sync::Arc<Run>, request: workload::Request) {
    let Some(picked) = run.picker.pick(None) else {
        return;
    };
    let target = call::Target {
        address: picked.address(),
        path: CHAT_PATH,
        request_id: &request.id,
        token: run.token(&request.team),
        limit: time::Duration::from_millis(run.scenario.online.deadline_ms),
    };
    let seen = run.client.complete(target, &request.body).await;
    if matches!(seen.end, call::End::Refused { .. }) {
        run.tally().poison_refused += 1;
    }
}

/// Calls a plain service once; the call may not be repeated. The echo must be
/// the own one.
async fn call_service(run: sync::Arc<Run>, request: workload::Request) {
    let (Some(service), Some(picked)) = (&run.scenario.service, run.picker.pick(None)) else {
        return;
    };
    let uri = format!(
        "http://{}/services/{}/invoices",
        picked.address(),
        service.name
    );
    let mut call = hyper::Request::post(uri)
        .header("content-type", "application/json")
        .header(header::IDEMPOTENCY_KEY, &request.id)
        .header(header::REPEATABLE, "no");
    if let Some(token) = run.token(&request.team) {
        call = call.header("authorization", format!("Bearer {token}"));
    }
    let body = request.body.to_string();
    let Ok(call) = call.body(Full::from(body.clone())) else {
        return;
    };
    let Ok(answer) = run.client.send(call).await else {
        // The entry VM may be gone; the outcome is unknown, which is allowed.
        return;
    };
    let status = answer.status();
    let Ok(echo) = answer.into_body().collect().await else {
        return;
    };
    let mut tally = run.tally();
    if status.is_success() {
        tally.service_answered += 1;
        tally.lost += u64::from(echo.to_bytes() != body.as_bytes());
    } else {
        tally.service_refused += 1;
    }
}

/// Feeds batch items to the engines directly, with a window in flight.
async fn feed(run: sync::Arc<Run>, items: Vec<workload::Request>) -> anyhow::Result<()> {
    let from = run.start + time::Duration::from_millis(run.scenario.batch.from_ms);
    tokio::time::sleep_until(from.into()).await;
    let queue = sync::Arc::new(sync::Mutex::new(items.into_iter()));
    let window = run.scenario.batch.window * run.scenario.engine_count();
    let mut workers = task::JoinSet::new();
    for _ in 0..window {
        let (run, queue) = (sync::Arc::clone(&run), sync::Arc::clone(&queue));
        workers.spawn(async move {
            loop {
                let next = queue
                    .lock()
                    .unwrap_or_else(sync::PoisonError::into_inner)
                    .next();
                let Some(item) = next else {
                    return;
                };
                feed_item(&run, item).await;
            }
        });
    }
    let until = match run.scenario.batch.finish {
        true => run.end() + time::Duration::from_millis(run.scenario.drain_ms),
        false => run.end(),
    };
    let all = async { while workers.join_next().await.is_some() {} };
    // Items that are open at the end are given up, which is no loss: nobody was
    // promised a result.
    let _ = tokio::time::timeout_at(until.into(), all).await;
    workers.shutdown().await;
    Ok(())
}

/// Sends one item until it has its result.
async fn feed_item(run: &Run, item: workload::Request) {
    let mut failed = None;
    loop {
        let Some(picked) = run.picker.pick(failed) else {
            return;
        };
        let target = call::Target {
            address: picked.address(),
            path: CHAT_PATH,
            request_id: &item.id,
            token: None,
            limit: time::Duration::from_millis(run.scenario.drain_ms.max(1_000)),
        };
        let seen = run.client.complete(target, &item.body).await;
        if seen.end == call::End::Answered {
            let mut tally = run.tally();
            if seen.is_whole(&item.answer) {
                tally.batch_completed += 1;
                tally.batch_measured += f64::from(run.is_measured(seen.last));
            } else {
                tally.lost += 1;
            }
            return;
        }
        failed = Some(picked.index);
        drop(picked);
        tokio::time::sleep(RESEND_PAUSE).await;
    }
}

fn spawn_faults(
    run: &sync::Arc<Run>,
    fleet: &sync::Arc<fleet::Fleet>,
    helpers: &mut task::JoinSet<()>,
) {
    for fault in run.scenario.faults.clone() {
        let of_system = matches!(
            fault.action,
            scenario::Action::KillEntry | scenario::Action::KillControl { .. }
        );
        if of_system && !run.policy.uses_entries() {
            continue;
        }
        let (run, fleet) = (sync::Arc::clone(run), sync::Arc::clone(fleet));
        helpers.spawn(async move {
            let at = run.start + time::Duration::from_millis(fault.at_ms);
            tokio::time::sleep_until(at.into()).await;
            log::info!("fault: {:?} on {:?}", fault.action, fault.targets);
            if let Err(error) = fleet.fail(&run.client, &fault).await {
                log::error!("fault failed: {error:#}");
            }
        });
    }
}

/// Checks the health of the entry VMs as the platform's load balancer does.
async fn check_health(run: sync::Arc<Run>) {
    loop {
        for (index, address) in run.picker.addresses().enumerate() {
            let uri = format!("http://{address}/readyz");
            let request = hyper::Request::get(uri).body(Full::default());
            let Ok(request) = request else {
                continue;
            };
            let answer = tokio::time::timeout(HEALTH_INTERVAL, run.client.send(request)).await;
            let ready = matches!(answer, Ok(Ok(answer)) if answer.status().is_success());
            run.picker.set_usable(index, ready);
        }
        tokio::time::sleep(HEALTH_INTERVAL).await;
    }
}

fn running_control(scenario: &scenario::Scenario) -> Option<cpu::Subject> {
    let pids = &scenario.processes.control_pids;
    (!pids.is_empty()).then(|| cpu::Subject::Processes(pids.clone()))
}

fn line(
    run: &Run,
    seed: u64,
    fleet: &fleet::Fleet,
    executions: &[bw_engine::record::Executions],
) -> result::Line {
    let tally = run.tally();
    let executed = fleet::executed_prompts(executions);
    let false_not_run = tally
        .not_run
        .iter()
        .filter(|prompt| executed.contains(prompt))
        .count();
    let measured_s = run.scenario.measure_ms as f64 / 1_000.0;
    let places = run.scenario.engine_count() * run.scenario.engine.batch.max_sequences;
    result::Line {
        scenario: run.scenario.name.clone(),
        policy: run.policy,
        seed,
        online_sent: tally.sent,
        online_ttft_p50_ms: tally.ttft.quantile_ms(0.50),
        online_ttft_p99_ms: tally.ttft.quantile_ms(0.99),
        online_tpot_p95_ms: tally.tpot.quantile_ms(0.95),
        online_refused: tally.refusals.values().sum(),
        refusals: tally.refusals.clone(),
        online_resent: tally.resent,
        online_slot_share: tally.online_time.as_secs_f64() / measured_s / f64::from(places.max(1)),
        batch_items_per_s: tally.batch_measured / measured_s,
        batch_completed: tally.batch_completed,
        batch_failed: tally.batch_failed,
        lost: tally.lost,
        doubled: tally.doubled + fleet.repeated_calls(),
        false_not_run: false_not_run as u64,
        crashes: fleet.crashes(),
        poison_refused: tally.poison_refused,
        service_answered: tally.service_answered,
        service_refused: tally.service_refused,
        control_cpu_percent: None,
        entry_cpu_percent: None,
    }
}
