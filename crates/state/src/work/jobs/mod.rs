//! Jobs, their chunk leases and the outcomes of their items.

mod chunk;
mod job;
mod lease;
mod read;

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, name, openai, query};

use super::{files, invalid, payloads, ready, share};

pub(super) use job::Spec;
pub(super) use lease::Take;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Jobs {
    jobs: collections::BTreeMap<name::Name, job::Job>,
    /// The fencing token of the last lease.
    fence: u64,
    /// The number of leases granted so far.
    granted: u64,
    bytes: u64,
    share: share::Share,
    /// Derived from `jobs`.
    #[serde(skip)]
    index: Index,
}

#[derive(Clone, Debug, Default)]
struct Index {
    ready: ready::Ready,
    /// Running leases by end.
    leases: collections::BTreeSet<(u64, name::Name, u32)>,
    /// Jobs in progress by due time.
    open: collections::BTreeSet<ready::Key>,
    open_items: u64,
    /// Ended jobs by the time of their end.
    ended: collections::BTreeSet<(u64, name::Name)>,
    /// All jobs by team.
    teams: collections::BTreeSet<(name::Name, name::Name)>,
}

impl Jobs {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn create(
        &mut self,
        now_ms: u64,
        id: name::Name,
        spec: Spec,
        files: &mut files::Files,
    ) -> work::Reply {
        if let Some(job) = self.jobs.get(&id) {
            return match job.spec.team == spec.team {
                true => work::Reply::Job(Box::new(job.describe(&id))),
                false => work::Reply::NotFound,
            };
        }
        let Some(count) = files.usable_chunks(&spec.file, &spec.team) else {
            return work::Reply::NotFound;
        };
        let mut job = job::Job {
            state: query::JobState::InProgress,
            created_ms: now_ms,
            due_ms: now_ms.saturating_add(spec.window_ms),
            ended_ms: None,
            counts: openai::Counts::default(),
            chunks: Vec::with_capacity(count as usize),
            spec,
        };
        for number in 0..count {
            if let Some(chunk) = files.chunk(&job.spec.file, number) {
                job.add_chunk(chunk.summary());
            }
        }
        files.job_created(&job.spec.file);
        let open = job.open_items();
        self.index.open_items += open;
        let entry = (job.spec.team.clone(), id.clone());
        self.index.teams.insert(entry);
        self.jobs.insert(id.clone(), job);
        if open == 0 {
            self.end(now_ms, &id, query::JobState::Completed, files);
        } else {
            self.index_open_job(&id);
        }
        self.job_reply(&id)
    }

    pub(super) fn cancel(
        &mut self,
        now_ms: u64,
        id: &name::Name,
        team: &name::Name,
        files: &mut files::Files,
    ) -> work::Reply {
        match self.jobs.get(id) {
            Some(job) if job.spec.team == *team => {}
            _ => return work::Reply::NotFound,
        }
        self.end(now_ms, id, query::JobState::Cancelled, files);
        self.job_reply(id)
    }

    pub(super) fn record(
        &mut self,
        now_ms: u64,
        chunk: &work::ChunkRef,
        outcomes: Vec<work::Outcome>,
        files: &mut files::Files,
        payloads: &mut payloads::Payloads,
    ) -> work::Reply {
        let Some(job) = self.jobs.get_mut(&chunk.job) else {
            return work::Reply::RecordRefused(work::RecordRefusal::Unknown);
        };
        match job.state {
            query::JobState::InProgress | query::JobState::Completed => {}
            query::JobState::Cancelled => {
                return work::Reply::RecordRefused(work::RecordRefusal::Cancelled);
            }
            query::JobState::Expired => {
                return work::Reply::RecordRefused(work::RecordRefusal::Expired);
            }
        }
        let Some(state) = job.chunks.get_mut(chunk.chunk as usize) else {
            return work::Reply::RecordRefused(work::RecordRefusal::Unknown);
        };
        if state.fence != chunk.fence || chunk.fence == 0 {
            return work::Reply::RecordRefused(work::RecordRefusal::Fenced);
        }
        let Some(stored) = files.chunk(&job.spec.file, chunk.chunk) else {
            return work::Reply::RecordRefused(work::RecordRefusal::Unknown);
        };
        let mut tally = chunk::Tally::default();
        let accepted: Vec<work::Outcome> = outcomes
            .into_iter()
            .filter(|outcome| state.accept(stored.summary(), outcome, &mut job.counts, &mut tally))
            .collect();
        if !accepted.is_empty() {
            state.records.push(payloads.put(&accepted));
            state.bytes += tally.bytes;
        }
        let chunk_done = state.open == 0;
        let job_done = chunk_done && job.open_items() == 0;
        self.index.open_items -= u64::from(tally.stored);
        self.bytes += tally.bytes;
        self.withdraw_models(&chunk.job, chunk.chunk, &tally.models);
        if chunk_done {
            self.drop_lease(&chunk.job, chunk.chunk);
        }
        if job_done {
            self.end(now_ms, &chunk.job, query::JobState::Completed, files);
        }
        work::Reply::Recorded {
            stored: tally.stored,
            duplicate: tally.duplicate,
            job_done,
        }
    }

    /// Expires the jobs and the leases whose time is over.
    pub(super) fn advance(&mut self, now_ms: u64, files: &mut files::Files) {
        while let Some(key) = self.index.open.first()
            && key.due_ms <= now_ms
        {
            let (id, due_ms) = (key.job.clone(), key.due_ms);
            self.end(due_ms, &id, query::JobState::Expired, files);
        }
        while let Some((until_ms, id, number)) = self.index.leases.first()
            && *until_ms <= now_ms
        {
            let (id, number) = (id.clone(), *number);
            self.index.leases.pop_first();
            if let Some(lease) = self.lease_mut(&id, number) {
                lease.expired = true;
            }
            self.offer(&id, number);
        }
    }

    /// Drops jobs whose retention is over.
    pub(super) fn expire(
        &mut self,
        now_ms: u64,
        retention: &work::Retention,
        files: &mut files::Files,
        payloads: &mut payloads::Payloads,
    ) {
        while let Some((ended_ms, _)) = self.index.ended.first()
            && ended_ms.saturating_add(retention.job_ms) <= now_ms
        {
            let Some((_, id)) = self.index.ended.pop_first() else {
                break;
            };
            if let Some(job) = self.jobs.remove(&id) {
                for chunk in &job.chunks {
                    self.bytes -= chunk.bytes;
                    chunk.records.iter().for_each(|key| payloads.remove(*key));
                }
                files.job_dropped(&job.spec.file, payloads);
                self.index.teams.remove(&(job.spec.team, id));
            }
        }
        self.share.expire();
    }

    /// Rebuilds the index after `jobs` was decoded.
    pub(super) fn rebuild(&mut self) {
        self.index = Index::default();
        for (id, job) in &self.jobs {
            let entry = (job.spec.team.clone(), id.clone());
            self.index.teams.insert(entry);
            if let Some(ended_ms) = job.ended_ms {
                self.index.ended.insert((ended_ms, id.clone()));
            }
        }
        let open: Vec<name::Name> = self
            .jobs
            .iter()
            .filter(|(_, job)| job.state == query::JobState::InProgress)
            .map(|(id, _)| id.clone())
            .collect();
        for id in open {
            self.index.open_items += self.jobs.get(&id).map_or(0, job::Job::open_items);
            self.index_open_job(&id);
        }
    }

    /// Adds a job in progress to the indexes of due times, leases and ready chunks.
    fn index_open_job(&mut self, id: &name::Name) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        self.index.open.insert(job.key(id));
        let mut ready = Vec::new();
        for (number, chunk) in (0..).zip(&job.chunks) {
            match &chunk.lease {
                _ if chunk.open == 0 => {}
                Some(lease) if !lease.expired => {
                    let entry = (lease.until_ms, id.clone(), number);
                    self.index.leases.insert(entry);
                }
                _ => ready.push(number),
            }
        }
        for number in ready {
            self.offer(id, number);
        }
    }

    fn job_reply(&self, id: &name::Name) -> work::Reply {
        match self.jobs.get(id) {
            Some(job) => work::Reply::Job(Box::new(job.describe(id))),
            None => invalid("the job is gone"),
        }
    }

    /// Ends a job that is in progress; an ended job keeps its state.
    fn end(
        &mut self,
        ended_ms: u64,
        id: &name::Name,
        state: query::JobState,
        files: &mut files::Files,
    ) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state != query::JobState::InProgress {
            return;
        }
        job.state = state;
        job.ended_ms = Some(ended_ms);
        self.index.open_items -= job.open_items();
        let key = job.key(id);
        self.index.open.remove(&key);
        self.index.ended.insert((ended_ms, id.clone()));
        files.job_ended(ended_ms, &job.spec.file);
        for number in 0..job.chunks.len() as u32 {
            self.drop_lease(id, number);
            self.withdraw(id, number);
        }
    }
}
