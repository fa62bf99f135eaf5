//! The work machine: files, jobs, idempotency claims, attempts and suspects of one
//! group.

mod attempts;
mod claims;
mod files;
mod jobs;
mod payloads;
mod ready;
mod share;
mod summary;
mod suspects;

use serde::{Deserialize, Serialize};

use bw_coord::{payload, storage};
use bw_wire::{command, command::work, name, query};

use crate::snapshot;

/// The state of one work group.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    state: State,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    applied: u64,
    now_ms: u64,
    tuning: work::Tuning,
    files: files::Files,
    jobs: jobs::Jobs,
    claims: claims::Claims,
    attempts: attempts::Attempts,
    suspects: suspects::Suspects,
    payloads: payloads::Payloads,
}

/// A team's idempotency key.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd, Serialize, Deserialize)]
struct Key {
    team: name::Name,
    key: name::Name,
}

impl Key {
    /// Returns the size of the texts, in bytes.
    fn size(&self) -> u64 {
        (self.team.len() + self.key.len()) as u64
    }
}

impl Machine {
    /// Creates an empty machine.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// Returns the index of the last applied command.
    pub fn applied(&self) -> u64 {
        self.state.applied
    }

    /// Returns the machine's time, Unix time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.state.now_ms
    }

    /// Returns the limits and weights that the last `Tune` set, or the defaults.
    pub fn tuning(&self) -> &work::Tuning {
        &self.state.tuning
    }

    /// Returns the bytes of stored input lines, results, claims and attempts,
    /// whether in memory or on disk.
    pub fn bytes(&self) -> u64 {
        self.state.bytes()
    }

    /// Returns whether a `Take` for these models at this time may lease a chunk.
    pub fn can_lease(&self, now_ms: u64, models: &[name::Name]) -> bool {
        self.state.jobs.can_lease(now_ms, models)
    }

    /// Returns the requests that may have crashed a backend server.
    pub fn suspects(&self) -> Vec<work::Suspect> {
        self.state.suspects.list()
    }

    /// Applies a command. The leases in a reply have no lines until
    /// [`Machine::complete`] adds them.
    pub fn apply(&mut self, index: u64, stamped: command::Stamped<work::Command>) -> work::Reply {
        let state = &mut self.state;
        state.applied = index;
        state.now_ms = state.now_ms.max(stamped.now_ms);
        state.jobs.advance(state.now_ms, &mut state.files);
        state.execute(stamped.command)
    }

    /// Returns the payload changes of the last command and forgets them.
    pub fn effects(&mut self) -> Vec<payload::Effect> {
        self.state.payloads.take_effects()
    }

    /// Adds the lines to the leases of the last command's reply.
    ///
    /// # Errors
    ///
    /// Fails if a payload cannot be read.
    pub fn complete(
        &self,
        mut reply: work::Reply,
        source: &mut dyn payload::Source,
    ) -> Result<work::Reply, storage::Error> {
        if let work::Reply::Taken { leases } = &mut reply {
            for lease in leases {
                self.state.jobs.fill(lease, &self.state.files, source)?;
            }
        }
        Ok(reply)
    }

    /// Answers a query about a work group, or `None` for one about group 0.
    ///
    /// # Errors
    ///
    /// Fails if a payload cannot be read.
    pub fn query(
        &self,
        query: &query::Query,
        source: &mut dyn payload::Source,
    ) -> Result<Option<query::Answer>, storage::Error> {
        let state = &self.state;
        let answer = match query {
            query::Query::Config | query::Query::History { .. } => return Ok(None),
            query::Query::File { file, team } => {
                state.files.describe(file, team).map(query::Answer::File)
            }
            query::Query::Files { team } => Some(query::Answer::Files(state.files.list(team))),
            query::Query::FileChunk { file, team, chunk } => state
                .files
                .visible_chunk(file, team, *chunk)
                .map(|chunk| chunk.lines(source))
                .transpose()?
                .map(query::Answer::Lines),
            query::Query::Job { job, team } => state
                .jobs
                .describe(job, team)
                .map(|job| query::Answer::Job(Box::new(job))),
            query::Query::Jobs { team } => {
                Some(query::Answer::Jobs(state.jobs.list(team.as_ref())))
            }
            query::Query::Results { job, team, chunk } => state
                .jobs
                .results(job, team, *chunk, &state.files, source)?
                .map(query::Answer::Results),
            query::Query::Backlog => Some(query::Answer::Backlog(state.jobs.backlog())),
            query::Query::Suspects => Some(query::Answer::Suspects(state.suspects.list())),
        };
        Ok(Some(answer.unwrap_or(query::Answer::NotFound)))
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(&self.state)
    }

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot has another version or is damaged; the state
    /// stays as it was.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), snapshot::Error> {
        let mut state: State = snapshot::decode(data)?;
        state.files.rebuild();
        state.jobs.rebuild();
        self.state = state;
        Ok(())
    }
}

impl State {
    fn execute(&mut self, command: work::Command) -> work::Reply {
        let now_ms = self.now_ms;
        match command {
            work::Command::FileChunk { file, chunk, lines } => {
                let available_bytes = self.available_bytes();
                self.files.put_chunk(
                    now_ms,
                    file,
                    chunk,
                    lines,
                    available_bytes,
                    &mut self.payloads,
                )
            }
            work::Command::FileSeal {
                file,
                team,
                filename,
                purpose,
                bytes,
                chunks,
            } => {
                let seal = files::Seal {
                    team,
                    filename,
                    purpose,
                    bytes,
                    chunks,
                };
                self.files.seal(now_ms, &file, seal)
            }
            work::Command::FileDelete { file, team } => {
                self.files.delete(now_ms, &file, &team, &mut self.payloads)
            }
            work::Command::Claim {
                team,
                key,
                body,
                value,
            } => {
                let available_bytes = self.available_state_bytes();
                self.claims
                    .bind(now_ms, Key { team, key }, body, value, available_bytes)
            }
            work::Command::JobCreate {
                job,
                team,
                file,
                endpoint,
                window_ms,
                metadata,
            } => {
                let spec = jobs::Spec {
                    team,
                    file,
                    endpoint,
                    window_ms,
                    metadata,
                };
                self.jobs.create(now_ms, job, spec, &mut self.files)
            }
            work::Command::JobCancel { job, team } => {
                self.jobs.cancel(now_ms, &job, &team, &mut self.files)
            }
            work::Command::Take {
                holder,
                want,
                lease_ms,
                models,
            } => {
                let take = jobs::Take {
                    holder,
                    want,
                    until_ms: lease_end_ms(now_ms, lease_ms),
                    models,
                };
                self.jobs.take(now_ms, &take, &self.tuning)
            }
            work::Command::Renew {
                holder,
                chunks,
                lease_ms,
            } => {
                let until_ms = lease_end_ms(now_ms, lease_ms);
                self.jobs.renew(&holder, chunks, until_ms)
            }
            work::Command::Release { holder, chunks } => self.jobs.release(&holder, &chunks),
            work::Command::Record { chunk, outcomes } => {
                let payloads = &mut self.payloads;
                self.jobs
                    .record(now_ms, &chunk, outcomes, &mut self.files, payloads)
            }
            work::Command::AttemptBegin {
                team,
                key,
                body,
                holder,
                timeout_ms,
                holder_gone,
            } => {
                let request = attempts::Begin {
                    body,
                    holder,
                    until_ms: now_ms.saturating_add(timeout_ms),
                    holder_gone,
                };
                let available_bytes = self.available_state_bytes();
                self.attempts
                    .begin(now_ms, Key { team, key }, request, available_bytes)
            }
            work::Command::AttemptEnd {
                team,
                key,
                attempt,
                outcome,
            } => self
                .attempts
                .end(now_ms, &Key { team, key }, attempt, outcome),
            work::Command::Strike {
                fingerprint,
                backend,
                isolated,
            } => {
                let until_ms = now_ms.saturating_add(self.tuning.retention.suspect_ms);
                work::Reply::Suspect(
                    self.suspects
                        .strike(fingerprint, backend, isolated, until_ms),
                )
            }
            work::Command::Clear { fingerprint } => {
                self.suspects.clear(&fingerprint);
                work::Reply::Ok
            }
            work::Command::Expire => {
                self.expire();
                work::Reply::Ok
            }
            work::Command::Tune { tuning } => {
                self.tuning = *tuning;
                work::Reply::Ok
            }
        }
    }

    fn bytes(&self) -> u64 {
        self.files.bytes() + self.jobs.bytes() + self.claims.bytes() + self.attempts.bytes()
    }

    /// Returns how many bytes new chunks, claims and attempts may take. Outcomes of
    /// accepted work are stored even beyond the limit.
    fn available_bytes(&self) -> u64 {
        let limit = self.tuning.retention.max_bytes;
        limit.saturating_sub(self.bytes())
    }

    /// Returns how many bytes new claims and attempts may take. They are kept in
    /// memory and therefore also have a limit of their own.
    fn available_state_bytes(&self) -> u64 {
        let limit = self.tuning.retention.max_state_bytes;
        let used = self.claims.bytes() + self.attempts.bytes();
        self.available_bytes().min(limit.saturating_sub(used))
    }

    fn expire(&mut self) {
        let retention = &self.tuning.retention;
        let payloads = &mut self.payloads;
        self.jobs
            .expire(self.now_ms, retention, &mut self.files, payloads);
        self.files.expire(self.now_ms, retention, payloads);
        self.claims.expire(self.now_ms, retention);
        self.attempts.expire(self.now_ms, retention);
        self.suspects.expire(self.now_ms);
    }
}

/// Longest lease. Bounds how long a wrong value keeps a chunk from other holders.
const LEASE_MAX_MS: u64 = 600_000;

fn lease_end_ms(now_ms: u64, lease_ms: u64) -> u64 {
    now_ms.saturating_add(lease_ms.min(LEASE_MAX_MS))
}

fn invalid(message: impl Into<String>) -> work::Reply {
    work::Reply::Invalid {
        message: message.into(),
    }
}
