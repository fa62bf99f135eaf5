//! The entry VM's copy of the control leader's table of backend servers.
//!
//! Both sides refer to a backend server by its slot in the table, which is shorter
//! than an id and a whole announcement.

use std::collections;

use bw_wire::{backend, name, renewal, sync as wire_sync};

/// Online counts by backend server.
type Counts = collections::BTreeMap<name::Name, u32>;

/// The backend servers in the leader's table by slot.
#[derive(Debug, Default)]
pub struct Listing {
    slots: collections::BTreeMap<u32, wire_sync::Listed>,
    ids: collections::HashMap<name::Name, u32>,
}

/// The time from which the times in a request count.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    /// The leader's clock at the origin, if a response gave it.
    clock_ms: Option<u64>,
    /// The origin on the process clock.
    at_ms: u64,
}

impl Origin {
    /// Returns the arrival of a response, which is processed at `now_ms`.
    pub fn of_response(response: &wire_sync::Response, now_ms: u64) -> Origin {
        Origin {
            clock_ms: Some(response.clock_ms),
            // Rounded up, since the leader adds the time that has passed since then.
            at_ms: now_ms + 1,
        }
    }

    /// Returns the sending of a request, for use before the first response.
    pub fn of_request(now_ms: u64) -> Origin {
        Origin {
            clock_ms: None,
            at_ms: now_ms,
        }
    }

    /// Returns the leader's clock in the response, `None` before the first one.
    pub fn clock_ms(self) -> Option<u64> {
        self.clock_ms
    }

    /// Returns how long after the origin a time of the process clock is, in
    /// milliseconds. It is negative before the origin.
    pub fn offset_ms(self, at_ms: u64) -> i64 {
        let distance = i64::try_from(at_ms.abs_diff(self.at_ms)).unwrap_or(i64::MAX);
        match at_ms >= self.at_ms {
            true => distance,
            false => -distance,
        }
    }
}

/// Announcements and online counts in the form that a request carries.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Announcements of backend servers that the table does not list, or lists with
    /// another profile.
    pub heard: Vec<wire_sync::Dated>,
    /// Other announcements, by slot.
    pub renewals: renewal::Reports,
    /// Online counts by slot.
    pub online: renewal::Counts,
    /// Online counts of backend servers that the table does not list.
    pub online_unlisted: Counts,
}

/// A response is malformed or names slots that are not in the table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mismatch;

impl Listing {
    /// Applies a response. Returns the new and renewed announcements, with their
    /// ages when the response was written, and the online counts of other entry
    /// VMs.
    ///
    /// # Errors
    ///
    /// Fails when the response does not match the table. The next request must ask
    /// for the whole table then.
    pub fn apply(
        &mut self,
        response: &wire_sync::Response,
    ) -> Result<(Vec<wire_sync::Heard>, Counts), Mismatch> {
        if response.whole {
            self.slots.clear();
            self.ids.clear();
        }
        for slot in &response.removed {
            if let Some(listed) = self.slots.remove(slot) {
                self.ids.remove(&listed.heard.announcement.id);
            }
        }
        let mut heard = Vec::new();
        for listed in &response.backends {
            let id = listed.heard.announcement.id.clone();
            self.ids.insert(id, listed.slot);
            self.slots.insert(listed.slot, listed.clone());
            heard.push(listed.heard.clone());
        }
        for renewal in response.renewals.unpack().map_err(|_| Mismatch)? {
            let listed = self.slots.get_mut(&renewal.slot).ok_or(Mismatch)?;
            let announcement = &mut listed.heard.announcement;
            announcement.sequence = listed.base + renewal.sequence;
            if let Some(load) = renewal.load() {
                announcement.load = load;
            }
            listed.heard.age_ms = renewal.age_ms();
            heard.push(listed.heard.clone());
        }
        let counts = response.online.unpack().map_err(|_| Mismatch)?;
        let online = counts.into_iter().map(|(slot, count)| {
            let listed = self.slots.get(&slot).ok_or(Mismatch)?;
            Ok((listed.heard.announcement.id.clone(), count))
        });
        let online = online.collect::<Result<Counts, Mismatch>>()?;
        Ok((heard, online))
    }

    /// Encodes announcements and online counts by slot where the table allows it.
    pub fn encode(&self, heard: Vec<wire_sync::Dated>, online: Counts) -> Report {
        let mut report = Report::default();
        let mut renewals = Vec::new();
        for dated in heard {
            match self.renewal(&dated) {
                Some(renewal) => renewals.push(renewal),
                None => report.heard.push(dated),
            }
        }
        let mut counts = Vec::new();
        for (id, count) in online.into_iter().filter(|(_, count)| *count > 0) {
            match self.ids.get(&id) {
                Some(slot) => counts.push((*slot, count)),
                None => {
                    report.online_unlisted.insert(id, count);
                }
            }
        }
        report.renewals = renewal::Reports::new(renewals);
        report.online = renewal::Counts::new(counts);
        report
    }

    fn renewal(&self, dated: &wire_sync::Dated) -> Option<renewal::Report> {
        let announcement = &dated.announcement;
        let slot = self.ids.get(&announcement.id)?;
        let listed: &backend::Announcement = &self.slots.get(slot)?.heard.announcement;
        let load = announcement.load;
        let load = load.differs_significantly(&listed.load).then_some(load);
        announcement
            .same_profile(listed)
            .then(|| renewal::Report::new(*slot, announcement.sequence, dated.at_ms, load))
    }
}
