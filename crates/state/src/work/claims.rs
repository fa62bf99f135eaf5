//! Idempotency claims: a key of a team bound to a body and a value.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, fingerprint, name};

use super::Owned;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Claims {
    claims: collections::BTreeMap<Owned, Claim>,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Claim {
    body: fingerprint::Fingerprint,
    value: name::Name,
    at_ms: u64,
}

impl Claims {
    pub(super) fn bind(
        &mut self,
        now_ms: u64,
        owned: Owned,
        body: fingerprint::Fingerprint,
        value: name::Name,
    ) -> work::Reply {
        let claim = self.claims.entry(owned).or_insert_with(|| Claim {
            body,
            value: value.clone(),
            at_ms: now_ms,
        });
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
        self.claims
            .retain(|_, claim| now_ms < claim.at_ms.saturating_add(retention.claim_ms));
    }
}
