//! Answered requests, so that a resend gets the first answer again.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::config, fingerprint, name};

/// How long an answer is kept. Operators resend within minutes.
const KEPT_MS: u64 = 24 * 3_600_000;
/// Most answers kept, above the 1,520 calls of a day with 760 changes.
const KEPT_MAX: usize = 4_096;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Requests {
    answers: collections::BTreeMap<name::Name, Answer>,
    /// Requests in the order of their answers.
    order: collections::VecDeque<name::Name>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Answer {
    content: fingerprint::Fingerprint,
    reply: config::Reply,
    at_ms: u64,
}

/// Returns the fingerprint of a whole command.
pub(super) fn content(command: &config::Command) -> fingerprint::Fingerprint {
    let bytes = postcard::to_allocvec(command).unwrap_or_default();
    fingerprint::Fingerprint::of_bytes(&bytes)
}

/// Returns whether a reply stays true, whatever is applied later.
///
/// A plan may become known after a confirm that was applied before it, and the
/// base of a plan may be a revision that comes later. Remembered, such a reply
/// would be given to a resend that could succeed.
fn is_settled(reply: &config::Reply) -> bool {
    match reply {
        config::Reply::UnknownPlan => false,
        // Without a revision in between, the base is ahead of the current one.
        config::Reply::Conflict { since, .. } => !since.is_empty(),
        _ => true,
    }
}

impl Requests {
    /// Returns the answer to a request that was answered before. Snapshots of
    /// earlier versions hold answers that are not settled; they do not count.
    pub(super) fn known(
        &self,
        request: &name::Name,
        content: fingerprint::Fingerprint,
    ) -> Option<config::Reply> {
        let answer = self.answers.get(request)?;
        if !is_settled(&answer.reply) {
            return None;
        }
        match answer.content == content {
            true => Some(answer.reply.clone()),
            false => Some(config::Reply::RequestConflict),
        }
    }

    /// Keeps the answer to a new request, if it is settled, and drops old ones.
    pub(super) fn add(
        &mut self,
        now_ms: u64,
        request: name::Name,
        content: fingerprint::Fingerprint,
        reply: config::Reply,
    ) {
        if !is_settled(&reply) {
            return;
        }
        while let Some(oldest) = self.order.front() {
            let at_ms = self.answers.get(oldest).map_or(0, |answer| answer.at_ms);
            if self.order.len() < KEPT_MAX && now_ms < at_ms.saturating_add(KEPT_MS) {
                break;
            }
            self.answers.remove(oldest);
            self.order.pop_front();
        }
        let answer = Answer {
            content,
            reply,
            at_ms: now_ms,
        };
        if self.answers.insert(request.clone(), answer).is_none() {
            self.order.push_back(request);
        }
    }
}
