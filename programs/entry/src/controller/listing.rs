//! The control leader's table of backend servers as this entry VM knows it.

use std::collections;

use bw_wire::{backend, name, renewal, sync as wire_sync};

/// Online counts by backend server.
type Counts = collections::BTreeMap<name::Name, u32>;

/// Backend servers by slot.
#[derive(Debug, Default)]
pub struct Listing {
    slots: collections::BTreeMap<u32, wire_sync::Listed>,
    ids: collections::HashMap<name::Name, u32>,
}

/// The moment from which a request gives its times.
#[derive(Clone, Copy, Debug)]
pub struct Origin {
    clock_ms: Option<u64>,
    at_ms: u64,
}

impl Origin {
    /// Marks the arrival of a response that is taken in at `now_ms`.
    pub fn of_response(response: &wire_sync::Response, now_ms: u64) -> Origin {
        Origin {
            clock_ms: Some(response.clock_ms),
            // Rounded up, as the leader adds what passed since then.
            at_ms: now_ms + 1,
        }
    }

    /// Marks the sending of a request before the first response.
    pub fn of_request(now_ms: u64) -> Origin {
        Origin {
            clock_ms: None,
            at_ms: now_ms,
        }
    }

    /// Returns the leader's clock in the response.
    pub fn clock_ms(self) -> Option<u64> {
        self.clock_ms
    }

    /// Returns how long after the origin something was, in milliseconds.
    pub fn offset_ms(self, at_ms: u64) -> i64 {
        let distance = i64::try_from(at_ms.abs_diff(self.at_ms)).unwrap_or(i64::MAX);
        match at_ms >= self.at_ms {
            true => distance,
            false => -distance,
        }
    }
}

/// Reports and counts as a request carries them.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Announcements that the table cannot express.
    pub heard: Vec<wire_sync::Dated>,
    /// Announcements by slot.
    pub renewals: renewal::Reports,
    /// Counts by slot.
    pub online: renewal::Counts,
    /// Counts of backend servers that the table does not list.
    pub online_unlisted: Counts,
}

/// An answer is malformed or names slots that are not known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Mismatch;

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

    /// Names what a request reports by slot where the table allows it.
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
        let load = load.differs(&listed.load).then_some(load);
        announcement
            .same_profile(listed)
            .then(|| renewal::Report::new(*slot, announcement.sequence, dated.at_ms, load))
    }
}
