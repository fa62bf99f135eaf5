//! Replies to recent requests, so that a repeated request gets its first reply again.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::config, fingerprint, name};

/// How long a reply is kept. Operators repeat a request within minutes.
const REPLY_TTL_MS: u64 = 24 * 3_600_000;
/// Most replies kept, more than the 1,520 calls of a day with 760 changes.
const REPLIES_MAX: usize = 4_096;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Requests {
    replies: collections::BTreeMap<name::Name, Entry>,
    /// Request ids, the oldest reply first.
    order: collections::VecDeque<name::Name>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Entry {
    fingerprint: fingerprint::Fingerprint,
    reply: config::Reply,
    stored_ms: u64,
}

/// Returns the fingerprint of a whole command.
pub(super) fn fingerprint(command: &config::Command) -> fingerprint::Fingerprint {
    let bytes = postcard::to_allocvec(command).unwrap_or_default();
    fingerprint::Fingerprint::of_bytes(&bytes)
}

/// Returns whether a reply stays correct, whatever is applied later.
///
/// Commands can be applied out of order: a confirm before its plan, or a plan
/// before the revision that it is based on. Were the failure stored, a repeat
/// that could succeed would get it again.
fn is_final(reply: &config::Reply) -> bool {
    match reply {
        config::Reply::UnknownPlan => false,
        // Without revisions since the base, the base is ahead of the current one.
        config::Reply::Conflict { since, .. } => !since.is_empty(),
        _ => true,
    }
}

impl Requests {
    /// Returns the reply to a request that was handled before, or a conflict if
    /// the command differs. Snapshots of earlier versions may hold replies that
    /// are not final; these are ignored.
    pub(super) fn reply(
        &self,
        request: &name::Name,
        fingerprint: fingerprint::Fingerprint,
    ) -> Option<config::Reply> {
        let entry = self.replies.get(request)?;
        if !is_final(&entry.reply) {
            return None;
        }
        match entry.fingerprint == fingerprint {
            true => Some(entry.reply.clone()),
            false => Some(config::Reply::RequestConflict),
        }
    }

    /// Stores the reply to a new request if it is final, and drops expired replies.
    pub(super) fn insert(
        &mut self,
        now_ms: u64,
        request: name::Name,
        fingerprint: fingerprint::Fingerprint,
        reply: config::Reply,
    ) {
        if !is_final(&reply) {
            return;
        }
        while let Some(oldest) = self.order.front() {
            let stored_ms = self.replies.get(oldest).map_or(0, |entry| entry.stored_ms);
            if self.order.len() < REPLIES_MAX && now_ms < stored_ms.saturating_add(REPLY_TTL_MS) {
                break;
            }
            self.replies.remove(oldest);
            self.order.pop_front();
        }
        let entry = Entry {
            fingerprint,
            reply,
            stored_ms: now_ms,
        };
        if self.replies.insert(request.clone(), entry).is_none() {
            self.order.push_back(request);
        }
    }
}
