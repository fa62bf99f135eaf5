//! The control leader's table of backend servers as this entry VM knows it.

use std::collections;

use bw_wire::{name, sync as wire_sync};

/// Online counts by backend server.
type Counts = collections::BTreeMap<name::Name, u32>;

/// Backend servers by slot.
#[derive(Debug, Default)]
pub struct Listing {
    slots: collections::BTreeMap<u32, wire_sync::Listed>,
}

/// An answer is malformed or names slots that are not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Unknown;

impl Listing {
    /// Takes an answer, and returns the renewals with their ages when it was
    /// written, and the online counts of other entry VMs.
    ///
    /// # Errors
    ///
    /// Fails when the answer does not fit; the whole table is needed then.
    pub fn apply(
        &mut self,
        response: &wire_sync::Response,
    ) -> Result<(Vec<wire_sync::Heard>, Counts), Unknown> {
        if response.whole {
            self.slots.clear();
        }
        for slot in &response.removed {
            self.slots.remove(slot);
        }
        let mut heard = Vec::new();
        for listed in &response.backends {
            self.slots.insert(listed.slot, listed.clone());
            heard.push(listed.heard.clone());
        }
        for renewal in response.renewals.unpack().map_err(|_| Unknown)? {
            let listed = self.slots.get_mut(&renewal.slot).ok_or(Unknown)?;
            let announcement = &mut listed.heard.announcement;
            announcement.sequence = listed.base + renewal.sequence;
            if let Some(load) = renewal.load() {
                announcement.load = load;
            }
            listed.heard.age_ms = renewal.age_ms();
            heard.push(listed.heard.clone());
        }
        let counts = response.online.unpack().map_err(|_| Unknown)?;
        let named = counts.into_iter().map(|(slot, count)| {
            let listed = self.slots.get(&slot).ok_or(Unknown)?;
            Ok((listed.heard.announcement.id.clone(), count))
        });
        let online = named.collect::<Result<Counts, Unknown>>()?;
        Ok((heard, online))
    }
}
