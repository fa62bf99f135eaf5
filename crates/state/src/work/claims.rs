//! Idempotency claims: each binds a key of a team to the fingerprint of a request
//! body and to a value.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, fingerprint, name};

use super::Key;

/// Memory of a claim besides its texts, in bytes.
const CLAIM_BYTES: u64 = 128;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Claims {
    claims: collections::BTreeMap<Key, Claim>,
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
        key: Key,
        body: fingerprint::Fingerprint,
        value: name::Name,
        available_bytes: u64,
    ) -> work::Reply {
        let Some(claim) = self.claims.get(&key) else {
            let claim = Claim {
                body,
                value: value.clone(),
                at_ms: now_ms,
            };
            let size = size(&key, &claim);
            if size > available_bytes {
                return work::Reply::Full;
            }
            self.bytes += size;
            self.claims.insert(key, claim);
            return work::Reply::Claimed { value, fresh: true };
        };
        if claim.body != body {
            return work::Reply::KeyConflict;
        }
        work::Reply::Claimed {
            // Values are unique to a call, so a retry of the command that bound
            // the key gets the first answer again.
            fresh: claim.value == value,
            value: claim.value.clone(),
        }
    }

    pub(super) fn expire(&mut self, now_ms: u64, retention: &work::Retention) {
        let bytes = &mut self.bytes;
        self.claims.retain(|key, claim| {
            let keep = now_ms < claim.at_ms.saturating_add(retention.claim_ms);
            if !keep {
                *bytes -= size(key, claim);
            }
            keep
        });
    }
}

fn size(key: &Key, claim: &Claim) -> u64 {
    CLAIM_BYTES + key.size() + claim.value.len() as u64
}
