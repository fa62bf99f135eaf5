//! Jobs, their chunk leases and the outcomes of their items.

mod chunk;
mod job;
mod lease;
mod read;

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, name, openai, query};

use super::{files, invalid, payloads, ready, share};

pub(super) use job::Order;
pub(super) use lease::Take;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Jobs {
    jobs: collections::BTreeMap<name::Name, job::Job>,
    /// The last fencing number.
    fence: u64,
    /// Chunks given out.
    given: u64,
    bytes: u64,
    share: share::Share,
    /// Derived from the jobs.
    #[serde(skip)]
    index: Index,
}

#[derive(Clone, Debug, Default)]
struct Index {
    ready: ready::Ready,
    leases: collections::BTreeSet<(u64, name::Name, u32)>,
    open: collections::BTreeSet<ready::Key>,
    open_items: u64,
    /// Jobs that ended, by time.
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
        order: Order,
        files: &mut files::Files,
    ) -> work::Reply {
        if let Some(job) = self.jobs.get(&id) {
            return match job.order.team == order.team {
                true => work::Reply::Job(Box::new(job.describe(&id))),
                false => work::Reply::NotFound,
            };
        }
        let Some(count) = files.usable(&order.file, &order.team) else {
            return work::Reply::NotFound;
        };
        let mut job = job::Job {
            state: query::JobState::InProgress,
            created_ms: now_ms,
            due_ms: now_ms.saturating_add(order.window_ms),
            ended_ms: None,
            counts: openai::Counts::default(),
            chunks: Vec::with_capacity(count as usize),
            order,
        };
        for number in 0..count {
            if let Some(chunk) = files.chunk(&job.order.file, number) {
                job.add_chunk(chunk.rows());
            }
        }
        files.job_created(&job.order.file);
        let open = job.open();
        self.index.open_items += open;
        let owned = (job.order.team.clone(), id.clone());
        self.index.teams.insert(owned);
        self.jobs.insert(id.clone(), job);
        if open == 0 {
            self.end(now_ms, &id, query::JobState::Completed, files);
        } else {
            self.enlist(&id);
        }
        self.reply(&id)
    }

    pub(super) fn cancel(
        &mut self,
        now_ms: u64,
        id: &name::Name,
        team: &name::Name,
        files: &mut files::Files,
    ) -> work::Reply {
        match self.jobs.get(id) {
            Some(job) if job.order.team == *team => {}
            _ => return work::Reply::NotFound,
        }
        self.end(now_ms, id, query::JobState::Cancelled, files);
        self.reply(id)
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
        let Some(stored) = files.chunk(&job.order.file, chunk.chunk) else {
            return work::Reply::RecordRefused(work::RecordRefusal::Unknown);
        };
        let mut tally = chunk::Tally::default();
        let accepted: Vec<work::Outcome> = outcomes
            .into_iter()
            .filter(|outcome| state.accept(stored.rows(), outcome, &mut job.counts, &mut tally))
            .collect();
        if !accepted.is_empty() {
            state.records.push(payloads.put(&accepted));
            state.bytes += tally.bytes;
        }
        let chunk_done = state.open == 0;
        let job_done = chunk_done && job.open() == 0;
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

    /// Ends overdue jobs and expired leases.
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
            if let Some(held) = self.held_mut(&id, number) {
                held.expired = true;
            }
            self.offer(&id, number);
        }
    }

    /// Drops jobs that ended long ago.
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
                files.job_dropped(&job.order.file, payloads);
                self.index.teams.remove(&(job.order.team, id));
            }
        }
        self.share.expire();
    }

    /// Derives the index after the jobs were replaced.
    pub(super) fn rebuild(&mut self) {
        self.index = Index::default();
        for (id, job) in &self.jobs {
            let owned = (job.order.team.clone(), id.clone());
            self.index.teams.insert(owned);
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
            self.index.open_items += self.jobs.get(&id).map_or(0, job::Job::open);
            self.enlist(&id);
        }
    }

    /// Adds a job in progress to the index.
    fn enlist(&mut self, id: &name::Name) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        self.index.open.insert(job.key(id));
        let mut offered = Vec::new();
        for (number, chunk) in (0..).zip(&job.chunks) {
            match &chunk.held {
                _ if chunk.open == 0 => {}
                Some(held) if !held.expired => {
                    let entry = (held.until_ms, id.clone(), number);
                    self.index.leases.insert(entry);
                }
                _ => offered.push(number),
            }
        }
        for number in offered {
            self.offer(id, number);
        }
    }

    fn reply(&self, id: &name::Name) -> work::Reply {
        match self.jobs.get(id) {
            Some(job) => work::Reply::Job(Box::new(job.describe(id))),
            None => invalid("the job is gone"),
        }
    }

    /// Brings a job in progress to its final state; others keep theirs.
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
        self.index.open_items -= job.open();
        let key = job.key(id);
        self.index.open.remove(&key);
        self.index.ended.insert((ended_ms, id.clone()));
        files.job_ended(ended_ms, &job.order.file);
        for number in 0..job.chunks.len() as u32 {
            self.drop_lease(id, number);
            self.withdraw(id, number);
        }
    }
}
