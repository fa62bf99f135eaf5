//! Leases of chunks.

use serde::{Deserialize, Serialize};

use bw_coord::{payload, storage};
use bw_wire::{command::work, name};

use super::{Jobs, files, ready};

/// Most chunks that one command leases, which bounds the size of a reply.
const TAKE_MAX: u32 = 64;
/// One in this many chunks goes by fair sharing even when urgent jobs wait, so
/// that urgent jobs cannot starve the other teams.
const FAIR_EVERY: u64 = 4;

/// A request to lease chunks.
pub(in crate::work) struct Take {
    pub(in crate::work) holder: name::Name,
    /// The most chunks to lease.
    pub(in crate::work) want: u32,
    pub(in crate::work) until_ms: u64,
    /// Models of which a chunk has an open item; empty for any.
    pub(in crate::work) models: Vec<name::Name>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Held {
    pub(super) holder: name::Name,
    pub(super) until_ms: u64,
    /// The lease ran out and the chunk can be taken.
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
            let Some(key) = self.choose(now_ms, &take.models, tuning) else {
                break;
            };
            let Some(number) = self.index.ready.first_chunk(&key.job, &take.models) else {
                break;
            };
            let held = Held {
                holder: take.holder.clone(),
                until_ms: take.until_ms,
                expired: false,
            };
            if let Some(lease) = self.lease(&key.job, number, held, tuning) {
                leases.push(lease);
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
            if self.held(holder, chunk).is_some() {
                self.drop_lease(&chunk.job, chunk.chunk);
                self.offer(&chunk.job, chunk.chunk);
            }
        }
        work::Reply::Ok
    }

    /// Adds the open lines to a lease that was just given.
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
        if let (Some(state), Some(stored)) = (state, files.chunk(&job.order.file, number)) {
            lease.lines = state.open_lines(stored.lines(source)?);
        }
        Ok(())
    }

    pub(in crate::work) fn can_lease(&self, now_ms: u64, models: &[name::Name]) -> bool {
        let first = self.index.leases.first();
        let expired = first.is_some_and(|(until_ms, _, _)| *until_ms <= now_ms);
        expired || self.index.ready.has_any(models)
    }

    fn choose(
        &mut self,
        now_ms: u64,
        models: &[name::Name],
        tuning: &work::Tuning,
    ) -> Option<ready::Key> {
        let ready = &self.index.ready;
        let fair_turn = self.given % FAIR_EVERY == FAIR_EVERY - 1;
        if !fair_turn && let Some(key) = ready.urgent(now_ms, tuning.urgent_ms, models) {
            return Some(key.clone());
        }
        let team = self.share.next(models)?;
        ready.first_of(&team, models).cloned()
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
    pub(super) fn held(
        &mut self,
        holder: &name::Name,
        chunk: &work::ChunkRef,
    ) -> Option<&mut Held> {
        let job = self.jobs.get_mut(&chunk.job)?;
        let state = job.chunks.get_mut(chunk.chunk as usize)?;
        if state.fence != chunk.fence {
            return None;
        }
        state.held.as_mut().filter(|held| held.holder == *holder)
    }

    pub(super) fn held_mut(&mut self, id: &name::Name, number: u32) -> Option<&mut Held> {
        let job = self.jobs.get_mut(id)?;
        job.chunks.get_mut(number as usize)?.held.as_mut()
    }

    pub(super) fn drop_lease(&mut self, id: &name::Name, number: u32) {
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
    pub(super) fn offer(&mut self, id: &name::Name, number: u32) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let Some(chunk) = job.chunks.get(number as usize) else {
            return;
        };
        let key = job.key(id);
        for model in chunk.open_by_model.keys() {
            if self.index.ready.add(&job.place(&key), model, number) {
                self.share.join(&job.order.team, model);
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

    /// Makes a chunk unavailable to those who ask for these models only.
    pub(super) fn withdraw_models(&mut self, id: &name::Name, number: u32, models: &[name::Name]) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let key = job.key(id);
        for model in models {
            if self.index.ready.remove(&job.place(&key), model, number) {
                self.share.leave(&job.order.team, model);
            }
        }
    }
}
