//! The work machine: files, jobs, claims, attempts and suspects of one group.

mod attempts;
mod claims;
mod files;
mod jobs;
mod payloads;
mod ready;
mod rows;
mod share;
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
struct Owned {
    team: name::Name,
    key: name::Name,
}

impl Owned {
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

    /// Returns the tuning in use.
    pub fn tuning(&self) -> &work::Tuning {
        &self.state.tuning
    }

    /// Returns the bytes of stored input lines, results, claims and attempts.
    pub fn bytes(&self) -> u64 {
        self.state.bytes()
    }

    /// Returns whether a `Take` at this time may lease a chunk.
    pub fn can_lease(&self, now_ms: u64) -> bool {
        self.state.jobs.can_lease(now_ms)
    }

    /// Returns the suspects.
    pub fn suspects(&self) -> Vec<work::Suspect> {
        self.state.suspects.list()
    }

    /// Applies a command. The leases of a reply have no lines before
    /// [`Machine::complete`].
    pub fn apply(&mut self, index: u64, stamped: command::Stamped<work::Command>) -> work::Reply {
        let state = &mut self.state;
        state.applied = index;
        state.now_ms = state.now_ms.max(stamped.now_ms);
        state.jobs.advance(state.now_ms, &mut state.files);
        state.run(stamped.command)
    }

    /// Takes what the last command does to payloads.
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
                .visible(file, team, *chunk)
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
    fn run(&mut self, command: work::Command) -> work::Reply {
        let now_ms = self.now_ms;
        match command {
            work::Command::FileChunk { file, chunk, lines } => {
                let room = self.room();
                self.files
                    .put(now_ms, file, chunk, lines, room, &mut self.payloads)
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
                let room = self.state_room();
                self.claims
                    .bind(now_ms, Owned { team, key }, body, value, room)
            }
            work::Command::JobCreate {
                job,
                team,
                file,
                endpoint,
                window_ms,
                metadata,
            } => {
                let order = jobs::Order {
                    team,
                    file,
                    endpoint,
                    window_ms,
                    metadata,
                };
                self.jobs.create(now_ms, job, order, &mut self.files)
            }
            work::Command::JobCancel { job, team } => {
                self.jobs.cancel(now_ms, &job, &team, &mut self.files)
            }
            work::Command::Take {
                holder,
                want,
                lease_ms,
            } => {
                let until_ms = lease_end(now_ms, lease_ms);
                self.jobs
                    .take(now_ms, &holder, want, until_ms, &self.tuning)
            }
            work::Command::Renew {
                holder,
                chunks,
                lease_ms,
            } => {
                let until_ms = lease_end(now_ms, lease_ms);
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
                let call = attempts::Call {
                    body,
                    holder,
                    until_ms: now_ms.saturating_add(timeout_ms),
                    holder_gone,
                };
                let room = self.state_room();
                self.attempts.begin(now_ms, Owned { team, key }, call, room)
            }
            work::Command::AttemptEnd {
                team,
                key,
                attempt,
                outcome,
            } => self
                .attempts
                .end(now_ms, &Owned { team, key }, attempt, outcome),
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

    /// Returns the bytes that new things may take. What completes accepted work
    /// is always stored.
    fn room(&self) -> u64 {
        let most = self.tuning.retention.max_bytes;
        most.saturating_sub(self.bytes())
    }

    /// Returns the bytes that new claims and attempts may take, which stay in the
    /// state.
    fn state_room(&self) -> u64 {
        let most = self.tuning.retention.max_state_bytes;
        let used = self.claims.bytes() + self.attempts.bytes();
        self.room().min(most.saturating_sub(used))
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

/// Longest lease, so that a wrong value cannot hold a chunk back for good.
const LEASE_MAX_MS: u64 = 600_000;

fn lease_end(now_ms: u64, lease_ms: u64) -> u64 {
    now_ms.saturating_add(lease_ms.min(LEASE_MAX_MS))
}

fn invalid(message: impl Into<String>) -> work::Reply {
    work::Reply::Invalid {
        message: message.into(),
    }
}
