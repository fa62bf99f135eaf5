//! Traces: requests with the outcome they had, recorded and replayed.

use std::{io, sync, time};

use anyhow::Context;
use bw_wire::fingerprint;
use serde::{Deserialize, Serialize};
use tokio::task;

use crate::{call, pace, run, scenario, workload};

/// Most lines of a trace.
pub const MAX_LINES: usize = 500_000;

/// One request of a trace; one JSON line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Entry {
    /// When it is sent, in milliseconds from the start.
    pub at_ms: u64,
    /// What it is.
    pub kind: Kind,
    /// The team that sends it.
    pub team: String,
    /// The body.
    pub body: serde_json::Value,
    /// The outcome.
    pub outcome: Outcome,
}

/// The kind of a traced request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// `POST /v1/chat/completions`
    Chat,
    /// `POST /v1/completions`
    Completion,
}

impl Kind {
    fn path(self) -> &'static str {
        match self {
            Kind::Chat => run::CHAT_PATH,
            Kind::Completion => "/v1/completions",
        }
    }
}

/// The stated outcome of a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// How it ended.
    pub end: call::End,
    /// The finish reason.
    #[serde(default)]
    pub finish: Option<String>,
    /// The fingerprint of the text.
    #[serde(default)]
    pub text: Option<String>,
}

impl Outcome {
    fn of(seen: &call::Seen) -> Outcome {
        let answered = seen.end == call::End::Answered;
        Outcome {
            finish: seen.finish.clone().filter(|_| answered),
            text: answered.then(|| seen.fingerprint().to_string()),
            end: seen.end.clone(),
        }
    }
}

/// A replayed request whose outcome is not the stated one.
#[derive(Clone, Debug, Serialize)]
pub struct Difference {
    /// The line number, from 1.
    pub line: usize,
    /// The stated outcome.
    pub stated: Outcome,
    /// The outcome of the replay.
    pub replayed: Outcome,
}

/// Where requests are sent.
#[derive(Clone, Debug)]
pub struct Destination {
    /// `IP:port` on loopback.
    pub address: String,
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
        kind: Kind::Chat,
        team: arrival.request.team,
        body: arrival.request.body,
        outcome: Outcome {
            end: call::End::Broken,
            finish: None,
            text: None,
        },
    };
    let mut entries: Vec<Entry> = arrivals.into_iter().map(entry).collect();
    for (index, outcome) in send(&entries, destination).await? {
        entries[index].outcome = outcome;
    }
    Ok(entries)
}

/// Replays a trace and returns the requests whose outcome differs.
///
/// # Errors
///
/// Fails when a request could not be sent at all.
pub async fn replay(
    entries: &[Entry],
    destination: &Destination,
) -> anyhow::Result<Vec<Difference>> {
    let mut differences = Vec::new();
    for (index, replayed) in send(entries, destination).await? {
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

async fn send(
    entries: &[Entry],
    destination: &Destination,
) -> anyhow::Result<Vec<(usize, Outcome)>> {
    let client = call::Client::new();
    let destination = sync::Arc::new(destination.clone());
    let at = |entry: &Entry| {
        time::Duration::from_millis(entry.at_ms).div_f64(destination.speed.max(0.001))
    };
    let items = entries.iter().cloned().enumerate();
    let items = items.map(|(index, entry)| (at(&entry), (index, entry)));
    let mut pacer = pace::Pacer::new(time::Instant::now(), items.collect());
    let mut open = task::JoinSet::new();
    while let Some((_, (index, entry))) = pacer.next().await {
        let (client, destination) = (client.clone(), sync::Arc::clone(&destination));
        open.spawn(async move {
            let body = entry.body.to_string();
            let target = call::Target {
                address: &destination.address,
                path: entry.kind.path(),
                request_id: &fingerprint::Fingerprint::of_bytes(body.as_bytes()).to_string(),
                token: destination.token.as_deref(),
                limit: destination.limit,
            };
            let seen = client.complete(target, &entry.body).await;
            (index, Outcome::of(&seen))
        });
    }
    let mut outcomes = Vec::new();
    while let Some(outcome) = open.join_next().await {
        outcomes.push(outcome?);
    }
    let sent = outcomes
        .iter()
        .any(|(_, outcome)| outcome.end != call::End::NotConnected);
    anyhow::ensure!(
        sent || entries.is_empty(),
        "{} refuses connections",
        destination.address
    );
    Ok(outcomes)
}
