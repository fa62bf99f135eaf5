//! Leases of chunks.

use serde::{Deserialize, Serialize};

use bw_coord::{payload, storage};
use bw_wire::{command::work, name};

use super::{Jobs, files, ready};

/// Most chunks that one command leases. Bounds the size of a reply.
const TAKE_MAX: u32 = 64;
/// One in this many leases follows fair sharing even while urgent jobs wait, so
/// that urgent jobs cannot starve the other teams.
const FAIR_EVERY: u64 = 4;

/// A request to lease chunks.
pub(in crate::work) struct Take {
    pub(in crate::work) holder: name::Name,
    /// The most chunks to lease.
    pub(in crate::work) want: u32,
    /// When the leases end.
    pub(in crate::work) until_ms: u64,
    /// A chunk is leased if an open item names one of these models; empty for any.
    pub(in crate::work) models: Vec<name::Name>,
}

/// The lease of a chunk as the state stores it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Lease {
    pub(super) holder: name::Name,
    pub(super) until_ms: u64,
    /// Whether the lease has ended. The chunk can then be leased to others, and the
    /// holder can renew its lease until that happens.
    pub(super) expired: bool,
}

impl Jobs {
    pub(in crate::work) fn take(
        &mut self,
        now_ms: u64,
        take: &Take,
        tuning: &work::Tuning,
    ) -> work::Reply {
        let mut leases = Vec::new();
        while (leases.len() as u32) < take.want.min(TAKE_MAX) {
            let Some(key) = self.choose_job(now_ms, &take.models, tuning) else {
                break;
            };
            let Some(number) = self.index.ready.first_chunk(&key.job, &take.models) else {
                break;
            };
            let lease = Lease {
                holder: take.holder.clone(),
                until_ms: take.until_ms,
                expired: false,
            };
            if let Some(granted) = self.grant(&key.job, number, lease, tuning) {
                leases.push(granted);
            }
        }
        work::Reply::Taken { leases }
    }

    pub(in crate::work) fn renew(
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

    pub(in crate::work) fn release(
        &mut self,
        holder: &name::Name,
        chunks: &[work::ChunkRef],
    ) -> work::Reply {
        for chunk in chunks {
            if self.current_lease(holder, chunk).is_some() {
                self.drop_lease(&chunk.job, chunk.chunk);
                self.offer(&chunk.job, chunk.chunk);
            }
        }
        work::Reply::Ok
    }

    /// Adds the lines without an outcome to a lease that was just granted.
    pub(in crate::work) fn fill(
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
        if let (Some(state), Some(stored)) = (state, files.chunk(&job.spec.file, number)) {
            lease.lines = state.open_lines(stored.lines(source)?);
        }
        Ok(())
    }

    pub(in crate::work) fn can_lease(&self, now_ms: u64, models: &[name::Name]) -> bool {
        let first = self.index.leases.first();
        let expired = first.is_some_and(|(until_ms, _, _)| *until_ms <= now_ms);
        expired || self.index.ready.has_any(models)
    }

    /// Returns the job whose chunk is leased next.
    fn choose_job(
        &mut self,
        now_ms: u64,
        models: &[name::Name],
        tuning: &work::Tuning,
    ) -> Option<ready::Key> {
        let ready = &self.index.ready;
        let fair_turn = self.granted % FAIR_EVERY == FAIR_EVERY - 1;
        if !fair_turn && let Some(key) = ready.urgent(now_ms, tuning.urgent_ms, models) {
            return Some(key.clone());
        }
        let team = self.share.next(models)?;
        ready.first_job(&team, models).cloned()
    }

    fn grant(
        &mut self,
        id: &name::Name,
        number: u32,
        lease: Lease,
        tuning: &work::Tuning,
    ) -> Option<work::Lease> {
        let job = self.jobs.get_mut(id)?;
        let chunk = job.chunks.get_mut(number as usize)?;
        self.fence += 1;
        self.granted += 1;
        chunk.fence = self.fence;
        let entry = (lease.until_ms, id.clone(), number);
        self.index.leases.insert(entry);
        chunk.lease = Some(lease);
        let open = u64::from(chunk.open);
        let granted = work::Lease {
            chunk: work::ChunkRef {
                job: id.clone(),
                chunk: number,
                fence: self.fence,
            },
            team: job.spec.team.clone(),
            due_ms: job.due_ms,
            // Added by `fill` on the replica that replies.
            lines: Vec::new(),
        };
        self.share.charge(&granted.team, open, tuning);
        self.withdraw(id, number);
        Some(granted)
    }

    fn extend(&mut self, holder: &name::Name, chunk: &work::ChunkRef, until_ms: u64) -> bool {
        let Some(lease) = self.current_lease(holder, chunk) else {
            return false;
        };
        let before = (lease.until_ms, chunk.job.clone(), chunk.chunk);
        lease.until_ms = until_ms.max(lease.until_ms);
        lease.expired = false;
        let after = (lease.until_ms, chunk.job.clone(), chunk.chunk);
        self.index.leases.remove(&before);
        self.index.leases.insert(after);
        self.withdraw(&chunk.job, chunk.chunk);
        true
    }

    /// Returns the lease that a holder refers to, if it is the current one.
    pub(super) fn current_lease(
        &mut self,
        holder: &name::Name,
        chunk: &work::ChunkRef,
    ) -> Option<&mut Lease> {
        let job = self.jobs.get_mut(&chunk.job)?;
        let state = job.chunks.get_mut(chunk.chunk as usize)?;
        if state.fence != chunk.fence {
            return None;
        }
        state.lease.as_mut().filter(|lease| lease.holder == *holder)
    }

    pub(super) fn lease_mut(&mut self, id: &name::Name, number: u32) -> Option<&mut Lease> {
        let job = self.jobs.get_mut(id)?;
        job.chunks.get_mut(number as usize)?.lease.as_mut()
    }

    pub(super) fn drop_lease(&mut self, id: &name::Name, number: u32) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let Some(chunk) = job.chunks.get_mut(number as usize) else {
            return;
        };
        if let Some(lease) = chunk.lease.take() {
            let entry = (lease.until_ms, id.clone(), number);
            self.index.leases.remove(&entry);
        }
    }

    /// Makes a chunk available to those who ask for a model of its open items.
    pub(super) fn offer(&mut self, id: &name::Name, number: u32) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(chunk) = job.chunks.get(number as usize) else {
            return;
        };
        let key = job.key(id);
        for model in chunk.open_by_model.keys() {
            if self.index.ready.add(&job.index_entry(&key), model, number) {
                self.share.join(&job.spec.team, model);
            }
        }
    }

    /// Makes a chunk unavailable.
    pub(super) fn withdraw(&mut self, id: &name::Name, number: u32) {
        let job = self.jobs.get(id);
        let chunk = job.and_then(|job| job.chunks.get(number as usize));
        if let Some(chunk) = chunk {
            let models: Vec<name::Name> = chunk.open_by_model.keys().cloned().collect();
            self.withdraw_models(id, number, &models);
        }
    }

    /// Makes a chunk unavailable to those who ask only for these models.
    pub(super) fn withdraw_models(&mut self, id: &name::Name, number: u32, models: &[name::Name]) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let key = job.key(id);
        for model in models {
            if self
                .index
                .ready
                .remove(&job.index_entry(&key), model, number)
            {
                self.share.leave(&job.spec.team, model);
            }
        }
    }
}
