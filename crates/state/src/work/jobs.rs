//! Jobs, their chunk leases and the outcomes of their items.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_coord::{payload, storage};
use bw_wire::{command::work, name, openai, query, refusal};

use super::{files, invalid, payloads, ready, rows, share};

/// Most chunks that one command leases, which bounds the size of a reply.
const TAKE_MAX: u32 = 64;
/// Lowest HTTP status that counts as a failed item.
const FAILURE_STATUS: u16 = 400;
/// One in this many chunks goes by fair sharing even when urgent jobs wait, so
/// that urgent jobs cannot starve the other teams.
const FAIR_EVERY: u64 = 4;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Jobs {
    jobs: collections::BTreeMap<name::Name, Job>,
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

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Job {
    order: Order,
    state: query::JobState,
    created_ms: u64,
    due_ms: u64,
    ended_ms: Option<u64>,
    counts: openai::Counts,
    chunks: Vec<Chunk>,
}

/// What a job was created with.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(super) struct Order {
    pub(super) team: name::Name,
    pub(super) file: name::Name,
    pub(super) endpoint: String,
    pub(super) window_ms: u64,
    pub(super) metadata: collections::BTreeMap<String, String>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Chunk {
    /// The fencing number of the last lease; 0 before the first.
    fence: u64,
    /// The last lease, until it is released or the chunk is done.
    held: Option<Held>,
    /// Items without an outcome.
    open: u32,
    /// A bit for each line, set once the item has an outcome.
    done: [u64; DONE_WORDS],
    /// The payloads with the outcomes that were recorded. Outcomes of lines that
    /// cannot run are derived from the lines.
    records: Vec<u64>,
    /// The size of the recorded outcomes in bytes.
    bytes: u64,
}

/// Words of the bits of a chunk.
const DONE_WORDS: usize = work::CHUNK_ITEMS / u64::BITS as usize;

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Held {
    holder: name::Name,
    until_ms: u64,
    /// The lease ran out and the chunk can be taken.
    expired: bool,
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
        let mut job = Job {
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

    pub(super) fn take(
        &mut self,
        now_ms: u64,
        holder: &name::Name,
        want: u32,
        until_ms: u64,
        tuning: &work::Tuning,
    ) -> work::Reply {
        let mut leases = Vec::new();
        while (leases.len() as u32) < want.min(TAKE_MAX) {
            let Some(key) = self.choose(now_ms, tuning) else {
                break;
            };
            let Some(number) = self.index.ready.first_chunk(&key.job) else {
                break;
            };
            let held = Held {
                holder: holder.clone(),
                until_ms,
                expired: false,
            };
            if let Some(lease) = self.lease(&key.job, number, held, tuning) {
                leases.push(lease);
            }
        }
        work::Reply::Taken { leases }
    }

    pub(super) fn renew(
        &mut self,
        holder: &name::Name,
        chunks: Vec<work::ChunkRef>,
        until_ms: u64,
    ) -> work::Reply {
        let lost = chunks
            .into_iter()
            .filter(|chunk| !self.extend(holder, chunk, until_ms))
            .collect();
        work::Reply::Renewed { lost }
    }

    pub(super) fn release(
        &mut self,
        holder: &name::Name,
        chunks: &[work::ChunkRef],
    ) -> work::Reply {
        for chunk in chunks {
            if self.held(holder, chunk).is_some() {
                self.drop_lease(&chunk.job, chunk.chunk);
                self.offer(&chunk.job, chunk.chunk);
            }
        }
        work::Reply::Ok
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
        let mut tally = Tally::default();
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
        if chunk_done {
            self.drop_lease(&chunk.job, chunk.chunk);
            self.withdraw(&chunk.job, chunk.chunk);
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

    pub(super) fn describe(&self, id: &name::Name, team: &name::Name) -> Option<query::Job> {
        let job = self.jobs.get(id)?;
        (job.order.team == *team).then(|| job.describe(id))
    }

    pub(super) fn list(&self, team: Option<&name::Name>) -> Vec<query::Job> {
        let Some(team) = team else {
            let jobs = self.jobs.iter();
            return jobs.map(|(id, job)| job.describe(id)).collect();
        };
        let first = (team.clone(), name::Name::default());
        let owned = self.index.teams.range(first..);
        owned
            .take_while(|(owner, _)| owner == team)
            .filter_map(|(_, id)| Some(self.jobs.get(id)?.describe(id)))
            .collect()
    }

    pub(super) fn results(
        &self,
        id: &name::Name,
        team: &name::Name,
        chunk: u32,
        files: &files::Files,
        source: &mut dyn payload::Source,
    ) -> Result<Option<Vec<query::ItemResult>>, storage::Error> {
        let job = self.jobs.get(id).filter(|job| job.order.team == *team);
        let Some(job) = job else {
            return Ok(None);
        };
        let state = job.chunks.get(chunk as usize);
        let stored = files.chunk(&job.order.file, chunk);
        let (Some(state), Some(stored)) = (state, stored) else {
            return Ok(None);
        };
        let lines = stored.lines(source)?;
        let refused = lines.iter();
        let refused = refused.filter_map(|line| refused_outcome(line, &job.order.endpoint));
        let mut outcomes: Vec<work::Outcome> = refused.collect();
        for key in &state.records {
            let recorded: Vec<work::Outcome> = payloads::get(source, *key)?;
            outcomes.extend(recorded);
        }
        outcomes.sort_unstable_by_key(|outcome| outcome.number);
        let results = outcomes.into_iter().map(|outcome| query::ItemResult {
            custom_id: find(&lines, outcome.number).and_then(|line| line.custom_id.clone()),
            outcome,
        });
        Ok(Some(results.collect()))
    }

    /// Adds the open lines to a lease that was just given.
    pub(super) fn fill(
        &self,
        lease: &mut work::Lease,
        files: &files::Files,
        source: &mut dyn payload::Source,
    ) -> Result<(), storage::Error> {
        let number = lease.chunk.chunk;
        let Some(job) = self.jobs.get(&lease.chunk.job) else {
            return Ok(());
        };
        let state = job.chunks.get(number as usize);
        if let (Some(state), Some(stored)) = (state, files.chunk(&job.order.file, number)) {
            lease.lines = state.open_lines(stored.lines(source)?);
        }
        Ok(())
    }

    pub(super) fn backlog(&self) -> query::Backlog {
        query::Backlog {
            chunks: self.index.ready.count(),
            items: self.index.open_items,
            earliest_due_ms: self.index.open.first().map(|key| key.due_ms),
        }
    }

    pub(super) fn can_lease(&self, now_ms: u64) -> bool {
        let first = self.index.leases.first();
        let expired = first.is_some_and(|(until_ms, _, _)| *until_ms <= now_ms);
        expired || self.index.ready.count() > 0
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
            self.index.open_items += self.jobs.get(&id).map_or(0, Job::open);
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

    fn choose(&mut self, now_ms: u64, tuning: &work::Tuning) -> Option<ready::Key> {
        let fair_turn = self.given % FAIR_EVERY == FAIR_EVERY - 1;
        if !fair_turn && let Some(key) = self.index.ready.urgent(now_ms, tuning.urgent_ms) {
            return Some(key.clone());
        }
        let team = self.share.next()?;
        self.index.ready.first_of(&team).cloned()
    }

    fn lease(
        &mut self,
        id: &name::Name,
        number: u32,
        held: Held,
        tuning: &work::Tuning,
    ) -> Option<work::Lease> {
        let job = self.jobs.get_mut(id)?;
        let chunk = job.chunks.get_mut(number as usize)?;
        self.fence += 1;
        self.given += 1;
        chunk.fence = self.fence;
        let entry = (held.until_ms, id.clone(), number);
        self.index.leases.insert(entry);
        chunk.held = Some(held);
        let open = u64::from(chunk.open);
        let lease = work::Lease {
            chunk: work::ChunkRef {
                job: id.clone(),
                chunk: number,
                fence: self.fence,
            },
            team: job.order.team.clone(),
            due_ms: job.due_ms,
            // Read from the payloads by the replica that replies.
            lines: Vec::new(),
        };
        self.share.charge(&lease.team, open, tuning);
        self.withdraw(id, number);
        Some(lease)
    }

    fn extend(&mut self, holder: &name::Name, chunk: &work::ChunkRef, until_ms: u64) -> bool {
        let Some(held) = self.held(holder, chunk) else {
            return false;
        };
        let before = (held.until_ms, chunk.job.clone(), chunk.chunk);
        held.until_ms = until_ms.max(held.until_ms);
        held.expired = false;
        let after = (held.until_ms, chunk.job.clone(), chunk.chunk);
        self.index.leases.remove(&before);
        self.index.leases.insert(after);
        self.withdraw(&chunk.job, chunk.chunk);
        true
    }

    /// Returns the lease that a holder names, if it is the current one.
    fn held(&mut self, holder: &name::Name, chunk: &work::ChunkRef) -> Option<&mut Held> {
        let job = self.jobs.get_mut(&chunk.job)?;
        let state = job.chunks.get_mut(chunk.chunk as usize)?;
        if state.fence != chunk.fence {
            return None;
        }
        state.held.as_mut().filter(|held| held.holder == *holder)
    }

    fn held_mut(&mut self, id: &name::Name, number: u32) -> Option<&mut Held> {
        let job = self.jobs.get_mut(id)?;
        job.chunks.get_mut(number as usize)?.held.as_mut()
    }

    fn drop_lease(&mut self, id: &name::Name, number: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(chunk) = job.chunks.get_mut(number as usize) else {
            return;
        };
        if let Some(held) = chunk.held.take() {
            let entry = (held.until_ms, id.clone(), number);
            self.index.leases.remove(&entry);
        }
    }

    /// Makes a chunk available.
    fn offer(&mut self, id: &name::Name, number: u32) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let key = job.key(id);
        if self.index.ready.add(&job.place(&key), number) {
            self.share.join(&job.order.team);
        }
    }

    /// Makes a chunk unavailable.
    fn withdraw(&mut self, id: &name::Name, number: u32) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let key = job.key(id);
        if self.index.ready.remove(&job.place(&key), number) {
            self.share.leave(&job.order.team);
        }
    }
}

/// What a record changed.
#[derive(Default)]
struct Tally {
    stored: u32,
    duplicate: u32,
    bytes: u64,
}

impl Job {
    fn key(&self, id: &name::Name) -> ready::Key {
        ready::Key {
            due_ms: self.due_ms,
            job: id.clone(),
        }
    }

    fn place<'a>(&'a self, key: &'a ready::Key) -> ready::Place<'a> {
        ready::Place {
            key,
            team: &self.order.team,
            window_ms: self.order.window_ms,
        }
    }

    fn open(&self) -> u64 {
        self.counts.total - self.counts.completed - self.counts.failed
    }

    /// Adds a chunk, of which the lines that cannot run are done.
    fn add_chunk(&mut self, rows: &rows::Rows) {
        let mut chunk = Chunk {
            open: rows.len(),
            ..Chunk::default()
        };
        self.counts.total += u64::from(rows.len());
        for position in rows.refused(&self.order.endpoint) {
            chunk.finish(position);
            self.counts.failed += 1;
        }
        self.chunks.push(chunk);
    }

    fn describe(&self, id: &name::Name) -> query::Job {
        query::Job {
            id: id.clone(),
            team: self.order.team.clone(),
            file: self.order.file.clone(),
            endpoint: self.order.endpoint.clone(),
            state: self.state,
            created_ms: self.created_ms,
            due_ms: self.due_ms,
            ended_ms: self.ended_ms,
            chunks: self.chunks.len() as u32,
            counts: self.counts,
            metadata: self.order.metadata.clone(),
        }
    }
}

impl Chunk {
    /// Counts an outcome unless the item has one, and returns whether it is to
    /// be stored.
    fn accept(
        &mut self,
        rows: &rows::Rows,
        outcome: &work::Outcome,
        counts: &mut openai::Counts,
        tally: &mut Tally,
    ) -> bool {
        let Some(position) = rows.position(outcome.number) else {
            return false;
        };
        if self.is_done(position) {
            tally.duplicate += 1;
            return false;
        }
        match &outcome.result {
            work::Result::Answer {
                status: FAILURE_STATUS..,
                ..
            }
            | work::Result::Failed { .. } => counts.failed += 1,
            work::Result::Answer { .. } => counts.completed += 1,
        }
        self.finish(position);
        tally.stored += 1;
        tally.bytes += size(outcome);
        true
    }

    /// Notes that an open item has an outcome.
    fn finish(&mut self, position: u32) {
        let (word, bit) = place(position);
        if let Some(word) = self.done.get_mut(word) {
            *word |= bit;
            self.open -= 1;
        }
    }

    fn is_done(&self, position: u32) -> bool {
        let (word, bit) = place(position);
        self.done.get(word).is_none_or(|word| word & bit != 0)
    }

    fn open_lines(&self, lines: Vec<work::Line>) -> Vec<work::Line> {
        let open = (0..).zip(lines);
        let open = open.filter(|(position, _)| !self.is_done(*position));
        open.map(|(_, line)| line).collect()
    }
}

/// Returns the word of a position and its bit there.
fn place(position: u32) -> (usize, u64) {
    let word = position / u64::BITS;
    (word as usize, 1 << (position % u64::BITS))
}

/// Returns the outcome of a line that cannot run.
fn refused_outcome(line: &work::Line, endpoint: &str) -> Option<work::Outcome> {
    let (code, message) = match &line.content {
        work::Content::Bad { code, message } => (code.clone(), message.clone()),
        work::Content::Request { url, .. } if url == endpoint => return None,
        work::Content::Request { url, .. } => (
            refusal::Reason::InvalidField.to_string(),
            format!("url: `{url}` is not the batch's endpoint `{endpoint}`"),
        ),
    };
    Some(work::Outcome {
        number: line.number,
        result: work::Result::Failed { code, message },
    })
}

fn find(lines: &[work::Line], number: u32) -> Option<&work::Line> {
    let position = lines.binary_search_by_key(&number, |line| line.number);
    position.ok().and_then(|position| lines.get(position))
}

fn size(outcome: &work::Outcome) -> u64 {
    let bytes = match &outcome.result {
        work::Result::Answer { body, .. } => body.len(),
        work::Result::Failed { code, message } => code.len() + message.len(),
    };
    bytes as u64
}
