//! Items that wait to be run.

use std::{collections, sync};

use bw_policy::pacer;
use bw_wire::{backend, command::work, fingerprint, intent, refusal};

use crate::{filter::parse, upstream};

/// An item that is to be run, with what earlier attempts left.
#[derive(Clone, Debug)]
pub(super) struct Work {
    pub(super) chunk: work::ChunkRef,
    pub(super) number: u32,
    pub(super) api: upstream::Api,
    pub(super) target: parse::Target,
    pub(super) body: sync::Arc<str>,
    /// Of a kind that no caller's request has.
    pub(super) fingerprint: fingerprint::Fingerprint,
    /// The text so far and its length in tokens, from which a resume goes on.
    pub(super) text: String,
    pub(super) tokens: u64,
    /// Failed attempts since the last progress, apart from broken ones.
    pub(super) attempts: u32,
    /// All failed attempts, apart from broken ones.
    pub(super) failures: u32,
    /// Attempts whose connection broke since the last progress.
    pub(super) breaks: u32,
}

/// A waiting item.
pub(super) type Item = pacer::Item<Work>;

/// Reads a line of an input file.
///
/// # Errors
///
/// Fails with the outcome of a line that cannot be run.
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

/// Returns whether a backend server has what a target needs.
pub(super) fn serves(announcement: &backend::Announcement, target: &parse::Target) -> bool {
    announcement.loaded.iter().any(|loaded| {
        let has_adapter = |adapter| loaded.adapters.contains(adapter);
        loaded.model == target.model && target.adapter.as_ref().is_none_or(has_adapter)
    })
}

/// Waiting items by what they need, and items that wait for a time.
#[derive(Default)]
pub(super) struct Queue {
    targets: Vec<(parse::Target, pacer::Queue<Work>)>,
    delayed: collections::BTreeMap<(u64, u64), Item>,
    delays: u64,
    turn: usize,
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

    /// Puts an item back until a time.
    pub(super) fn delay(&mut self, item: Item, until_ms: u64) {
        self.delays += 1;
        self.delayed.insert((until_ms, self.delays), item);
    }

    /// Puts the items back whose time has come.
    pub(super) fn wake(&mut self, now_ms: u64) {
        while let Some(entry) = self.delayed.first_entry()
            && entry.key().0 <= now_ms
        {
            let item = entry.remove();
            self.push(item);
        }
    }

    /// Takes the next item that a backend server can run. Models take turns.
    pub(super) fn pop(
        &mut self,
        announcement: &backend::Announcement,
        urgent_before_ms: u64,
    ) -> Option<Item> {
        let count = self.targets.len();
        self.turn += 1;
        for offset in 0..count {
            let (target, share) = &mut self.targets[(self.turn + offset) % count];
            if !share.is_empty() && serves(announcement, target) {
                return share.pop(urgent_before_ms);
            }
        }
        None
    }

    /// Removes the items of a chunk.
    pub(super) fn remove(&mut self, chunk: &work::ChunkRef) {
        for (_, share) in &mut self.targets {
            share.take_if(|item| item.work.chunk == *chunk);
        }
        self.delayed.retain(|_, item| item.work.chunk != *chunk);
    }

    /// Returns the chunks whose items no backend server in a list can run.
    pub(super) fn unservable(&self, servers: &[backend::Announcement]) -> Vec<work::ChunkRef> {
        let mut chunks = Vec::new();
        for (target, share) in &self.targets {
            if servers.iter().any(|server| serves(server, target)) {
                continue;
            }
            for item in share.iter() {
                if !chunks.contains(&item.work.chunk) {
                    chunks.push(item.work.chunk.clone());
                }
            }
        }
        chunks
    }

    /// Returns the number of items that can be run now.
    pub(super) fn ready(&self) -> usize {
        self.targets.iter().map(|(_, share)| share.len()).sum()
    }

    /// Returns the number of all items.
    pub(super) fn len(&self) -> usize {
        self.ready() + self.delayed.len()
    }
}
