//! Idempotency claims: a key of a team bound to a body and a value.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, fingerprint, name};

use super::Owned;

/// Memory of a claim next to its texts, in bytes.
const CLAIM_BYTES: u64 = 128;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Claims {
    claims: collections::BTreeMap<Owned, Claim>,
    bytes: u64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    body: fingerprint::Fingerprint,
    value: name::Name,
    at_ms: u64,
}

impl Claims {
    pub(super) fn bytes(&self) -> u64 {
        self.bytes
    }

    pub(super) fn bind(
        &mut self,
        now_ms: u64,
        owned: Owned,
        body: fingerprint::Fingerprint,
        value: name::Name,
        room: u64,
    ) -> work::Reply {
        let Some(claim) = self.claims.get(&owned) else {
            let claim = Claim {
                body,
                value: value.clone(),
                at_ms: now_ms,
            };
            let size = size(&owned, &claim);
            if size > room {
                return work::Reply::Full;
            }
            self.bytes += size;
            self.claims.insert(owned, claim);
            return work::Reply::Claimed { value, fresh: true };
        };
        if claim.body != body {
            return work::Reply::KeyConflict;
        }
        work::Reply::Claimed {
            // Values are unique to a call, so a repeat of the command that
            // bound the key gets the first answer again.
            fresh: claim.value == value,
            value: claim.value.clone(),
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64, retention: &work::Retention) {
        let bytes = &mut self.bytes;
        self.claims.retain(|owned, claim| {
            let keep = now_ms < claim.at_ms.saturating_add(retention.claim_ms);
            if !keep {
                *bytes -= size(owned, claim);
            }
            keep
        });
    }
}

fn size(owned: &Owned, claim: &Claim) -> u64 {
    CLAIM_BYTES + owned.size() + claim.value.len() as u64
}
