//! Traces: what callers did and what went wrong, with the outcome that each
//! request had, recorded and replayed.

mod job;
mod session;

use std::{io, sync, time};

use anyhow::Context;
use serde::{Deserialize, Serialize};
use tokio::task;

use crate::{call, fleet, pace, scenario, workload};

/// Most lines of a trace.
pub const MAX_LINES: usize = 500_000;

/// One event of a trace; one JSON line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// When it happens, in milliseconds from the start.
    pub at_ms: u64,
    /// The entry VM that it is sent to, counted from 0.
    #[serde(default)]
    pub entry: usize,
    /// The team that sends it.
    pub team: String,
    /// What happens.
    pub event: Event,
    /// The outcome; none for a fault.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// What a caller does, or what goes wrong.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum Event {
    /// `POST /v1/chat/completions` with a body.
    Chat(serde_json::Value),
    /// `POST /v1/completions` with a body.
    Completion(serde_json::Value),
    /// A call of a plain service that runs at most once.
    Call {
        /// The service.
        service: String,
        /// The idempotency key.
        key: String,
        /// The body.
        body: serde_json::Value,
    },
    /// A batch job: its file is uploaded, the job is created, awaited and read.
    Batch {
        /// The idempotency key of the job.
        key: String,
        /// The lines of the file; a line that is not an item is a wrong line.
        items: Vec<serde_json::Value>,
    },
    /// The job of an earlier line is created again with the same key and body.
    Resend {
        /// The line, from 1.
        line: usize,
    },
    /// The job of an earlier line is created again with the same key and
    /// another body.
    Conflict {
        /// The line, from 1.
        line: usize,
    },
    /// The job of an earlier line is cancelled.
    Cancel {
        /// The line, from 1.
        line: usize,
    },
    /// Something goes wrong in the replay's own fleet.
    Fault {
        /// The replicas, entry VMs or control replicas, counted from 0.
        targets: Vec<u32>,
        /// What happens to them.
        action: scenario::Action,
    },
}

/// The stated outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// How it ended.
    pub end: call::End,
    /// The finish reason.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish: Option<String>,
    /// The fingerprint of the text, of a service's answer, or of all results of
    /// a completed job in the order of their custom ids.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// The job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub job: Option<Job>,
}

/// What became of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Job {
    /// The status.
    pub status: String,
    /// Completed and failed items of a completed job. Those of a cancelled job
    /// depend on how far it was.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub items: Option<(u64, u64)>,
    /// Whether it is the job of the line that the event names.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub is_first: Option<bool>,
}

impl Outcome {
    fn of(seen: &call::Seen) -> Outcome {
        let answered = seen.end == call::End::Answered;
        Outcome {
            finish: seen.finish.clone().filter(|_| answered),
            text: answered.then(|| seen.fingerprint().to_string()),
            end: seen.end.clone(),
            job: None,
        }
    }

    fn ended(end: call::End) -> Outcome {
        Outcome {
            end,
            finish: None,
            text: None,
            job: None,
        }
    }
}

/// A replayed request whose outcome is not the stated one.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The line number, from 1.
    pub line: usize,
    /// The stated outcome.
    pub stated: Option<Outcome>,
    /// The outcome of the replay.
    pub replayed: Option<Outcome>,
}

/// Where requests are sent.
#[derive(Clone, Debug)]
pub struct Destination {
    /// `IP:port` on loopback of the entry VMs, or of one engine.
    pub addresses: Vec<String>,
    /// Bearer token; the same for all teams.
    pub token: Option<String>,
    /// How long a caller waits.
    pub limit: time::Duration,
    /// Divides the times between requests.
    pub speed: f64,
}

/// Reads a trace.
///
/// # Errors
///
/// Fails on the first line that is not an entry, and names it.
pub fn read(reader: impl io::BufRead) -> anyhow::Result<Vec<Entry>> {
    let mut entries: Vec<Entry> = Vec::new();
    for (number, line) in reader.lines().enumerate() {
        let line = line.with_context(|| format!("line {}", number + 1))?;
        if line.trim().is_empty() {
            continue;
        }
        anyhow::ensure!(entries.len() < MAX_LINES, "more than {MAX_LINES} lines");
        let entry: Entry =
            serde_json::from_str(&line).with_context(|| format!("line {}", number + 1))?;
        let last = entries.last().map_or(0, |entry| entry.at_ms);
        anyhow::ensure!(entry.at_ms >= last, "line {}: at_ms goes back", number + 1);
        entries.push(entry);
    }
    Ok(entries)
}

/// Sends the online load of a scenario and returns it with its outcomes.
///
/// # Errors
///
/// Fails when a request could not be sent at all.
pub async fn record(
    scenario: &scenario::Scenario,
    seed: u64,
    destination: &Destination,
) -> anyhow::Result<Vec<Entry>> {
    let arrivals = workload::online(scenario, seed, 1.0);
    let entry = |arrival: workload::Arrival| Entry {
        at_ms: u64::try_from(arrival.at.as_millis()).unwrap_or(u64::MAX),
        entry: 0,
        team: arrival.request.team,
        event: Event::Chat(arrival.request.body),
        outcome: None,
    };
    let mut entries: Vec<Entry> = arrivals.into_iter().map(entry).collect();
    state(&mut entries, destination, None).await?;
    Ok(entries)
}

/// Plays a trace and states the outcomes that it has.
///
/// # Errors
///
/// Fails like [`replay`].
pub async fn state(
    entries: &mut [Entry],
    destination: &Destination,
    fleet: Option<sync::Arc<fleet::Fleet>>,
) -> anyhow::Result<()> {
    for (index, outcome) in play(entries, destination, fleet).await? {
        entries[index].outcome = outcome;
    }
    Ok(())
}

/// Replays a trace and returns the requests whose outcome differs.
///
/// Faults happen to the fleet, to which the destination must belong.
///
/// # Errors
///
/// Fails when no request could be sent, or when the trace has faults and there
/// is no fleet.
pub async fn replay(
    entries: &[Entry],
    destination: &Destination,
    fleet: Option<sync::Arc<fleet::Fleet>>,
) -> anyhow::Result<Vec<Difference>> {
    let mut differences = Vec::new();
    for (index, replayed) in play(entries, destination, fleet).await? {
        let stated = &entries[index].outcome;
        if *stated != replayed {
            differences.push(Difference {
                line: index + 1,
                stated: stated.clone(),
                replayed,
            });
        }
    }
    differences.sort_by_key(|difference| difference.line);
    Ok(differences)
}

async fn play(
    entries: &[Entry],
    destination: &Destination,
    fleet: Option<sync::Arc<fleet::Fleet>>,
) -> anyhow::Result<Vec<(usize, Option<Outcome>)>> {
    let has_faults = entries
        .iter()
        .any(|entry| matches!(entry.event, Event::Fault { .. }));
    anyhow::ensure!(
        !has_faults || fleet.is_some(),
        "a trace with faults needs a fleet of its own, see --scenario"
    );
    let at = |entry: &Entry| {
        time::Duration::from_millis(entry.at_ms).div_f64(destination.speed.max(0.001))
    };
    let items = entries.iter().cloned().enumerate();
    let items = items.map(|(index, entry)| (at(&entry), (index, entry)));
    let mut pacer = pace::Pacer::new(time::Instant::now(), items.collect());
    let session = sync::Arc::new(session::Session::new(destination.clone(), fleet));
    let mut open = task::JoinSet::new();
    while let Some((_, (index, entry))) = pacer.next().await {
        let session = sync::Arc::clone(&session);
        open.spawn(async move { (index, session.play(index + 1, entry).await) });
    }
    let mut outcomes = Vec::new();
    while let Some(played) = open.join_next().await {
        let (index, outcome) = played?;
        outcomes.push((
            index,
            outcome.with_context(|| format!("line {}", index + 1))?,
        ));
    }
    let is_sent = |outcome: &Outcome| outcome.end != call::End::NotConnected;
    let sent = outcomes.iter().filter_map(|(_, outcome)| outcome.as_ref());
    anyhow::ensure!(
        sent.clone().next().is_none() || sent.clone().any(is_sent),
        "{} refuses connections",
        destination.addresses.join(", ")
    );
    Ok(outcomes)
}
