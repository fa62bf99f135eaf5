//! Items that wait to be run.

use std::{collections, sync};

use bw_policy::pacer;
use bw_wire::{backend, command::work, fingerprint, intent, refusal};

use crate::{filter::parse, upstream};

/// An item to run, with the state that earlier attempts left.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) chunk: work::ChunkRef,
    pub(super) number: u32,
    pub(super) api: upstream::Api,
    pub(super) target: parse::Target,
    pub(super) body: sync::Arc<str>,
    /// Differs from the fingerprint of an online request with the same body.
    pub(super) fingerprint: fingerprint::Fingerprint,
    /// The text generated so far, from which the next attempt resumes.
    pub(super) text: String,
    /// Length of that text in tokens.
    pub(super) tokens: u64,
    /// Failed attempts since the last progress, without those whose connection broke.
    pub(super) attempts: u32,
    /// All failed attempts, without those whose connection broke.
    pub(super) failures: u32,
    /// Attempts since the last progress whose connection broke.
    pub(super) breaks: u32,
}

/// An item with the properties by which the pacer orders it.
pub(super) type Item = pacer::Item<Work>;

/// Parses a line of an input file into an item.
///
/// # Errors
///
/// Returns the outcome of a line that cannot be run.
pub(super) fn read(
    lease: &work::Lease,
    line: &work::Line,
    intent: &intent::Intent,
) -> Result<Item, work::Result> {
    let (url, body) = match &line.content {
        work::Content::Request { url, body, .. } => (url, body),
        work::Content::Bad { code, message } => {
            return Err(work::Result::Failed {
                code: code.clone(),
                message: message.clone(),
            });
        }
    };
    let api = upstream::Api::of_path(url).ok_or_else(|| {
        let message = format!("items cannot call {url}");
        failed(&refusal::Refusal::not_run(
            refusal::Reason::InvalidField,
            message,
        ))
    })?;
    let parsed = parse::online(api, body.as_bytes()).map_err(|refusal| failed(&refusal))?;
    let target = parse::target(intent, &parsed.model).map_err(|refusal| failed(&refusal))?;
    let limits = intent.teams.get(&lease.team);
    let weight = limits.unwrap_or(&intent.default_limits).batch_weight;
    Ok(Item {
        team: lease.team.clone(),
        weight,
        due_ms: lease.due_ms,
        preempted: 0,
        work: Work {
            chunk: lease.chunk.clone(),
            number: line.number,
            api,
            target,
            body: body.as_str().into(),
            fingerprint: parsed.fingerprint().for_batch_item(),
            text: String::new(),
            tokens: 0,
            attempts: 0,
            failures: 0,
            breaks: 0,
        },
    })
}

/// Returns the outcome of an item that is refused.
pub(super) fn failed(refusal: &refusal::Refusal) -> work::Result {
    work::Result::Failed {
        code: refusal.reason.to_string(),
        message: refusal.message.clone(),
    }
}

/// Returns whether a backend server has loaded a target's model and adapter.
pub(super) fn serves(announcement: &backend::Announcement, target: &parse::Target) -> bool {
    announcement.loaded.iter().any(|loaded| {
        let has_adapter = |adapter| loaded.adapters.contains(adapter);
        loaded.model == target.model && target.adapter.as_ref().is_none_or(has_adapter)
    })
}

/// The items that can run now, by target, and the items that are delayed.
#[derive(Default)]
pub(super) struct Queue {
    targets: Vec<(parse::Target, pacer::Queue<Work>)>,
    /// Delayed items by the end of their delay, on the process clock, and a sequence
    /// number that keeps keys unique.
    delayed: collections::BTreeMap<(u64, u64), Item>,
    delay_sequence: u64,
    /// Offset at which the next search over the targets starts.
    rotation: usize,
}

impl Queue {
    pub(super) fn push(&mut self, item: Item) {
        let target = &item.work.target;
        let known = self.targets.iter().position(|(other, _)| other == target);
        let index = known.unwrap_or_else(|| {
            self.targets.push((target.clone(), pacer::Queue::new()));
            self.targets.len() - 1
        });
        self.targets[index].1.push(item);
    }

    /// Adds an item that is not to run before `until_ms`.
    pub(super) fn delay(&mut self, item: Item, until_ms: u64) {
        self.delay_sequence += 1;
        self.delayed.insert((until_ms, self.delay_sequence), item);
    }

    /// Makes the items ready whose delay has ended.
    pub(super) fn requeue_due(&mut self, now_ms: u64) {
        while let Some(entry) = self.delayed.first_entry()
            && entry.key().0 <= now_ms
        {
            let item = entry.remove();
            self.push(item);
        }
    }

    /// Takes the next item that a backend server can run, rotating over the targets.
    /// Jobs that are due before `urgent_before_ms` are urgent.
    pub(super) fn pop(
        &mut self,
        announcement: &backend::Announcement,
        urgent_before_ms: u64,
    ) -> Option<Item> {
        let count = self.targets.len();
        self.rotation += 1;
        for offset in 0..count {
            let (target, items) = &mut self.targets[(self.rotation + offset) % count];
            if !items.is_empty() && serves(announcement, target) {
                return items.pop(urgent_before_ms);
            }
        }
        None
    }

    /// Removes the items of a chunk, delayed ones included.
    pub(super) fn remove(&mut self, chunk: &work::ChunkRef) {
        for (_, items) in &mut self.targets {
            items.take_if(|item| item.work.chunk == *chunk);
        }
        self.delayed.retain(|_, item| item.work.chunk != *chunk);
    }

    /// Returns the chunks with ready items that none of the backend servers can run.
    pub(super) fn unservable(&self, servers: &[backend::Announcement]) -> Vec<work::ChunkRef> {
        let mut chunks = Vec::new();
        for (target, items) in &self.targets {
            if servers.iter().any(|server| serves(server, target)) {
                continue;
            }
            for item in items.iter() {
                if !chunks.contains(&item.work.chunk) {
                    chunks.push(item.work.chunk.clone());
                }
            }
        }
        chunks
    }

    /// Returns the number of items that are ready to run.
    pub(super) fn ready(&self) -> usize {
        self.targets.iter().map(|(_, items)| items.len()).sum()
    }

    /// Returns the number of items, delayed ones included.
    pub(super) fn len(&self) -> usize {
        self.ready() + self.delayed.len()
    }
}
