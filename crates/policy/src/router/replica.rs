//! What is known of one replica, and the estimate of its load.

use std::collections;

use bw_wire::backend;

use super::{Builder, Unavailable, cache};

/// Number of changes of the own count that are kept to correct load reports.
const HISTORY: usize = 64;
/// Share of its capacity that a replica gets at the start of its slow start.
const RAMP_FLOOR: f32 = 0.1;
/// Largest capacity that is believed; a larger one is a wrong announcement.
const MAX_CAPACITY: u32 = 4_096;
/// Age beyond which a load report is not used at all.
const REPORT_MAX_AGE_MS: u64 = 5_000;

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) announcement: backend::Announcement,
    pub(super) proof_ms: u64,
    pub(super) heard_ms: u64,
    pub(super) joined_ms: u64,
    pub(super) leaving: bool,
    pub(super) drained: bool,
    pub(super) excluded: bool,
    pub(super) penalty: f32,
    pub(super) reserved_ms: u64,
    pub(super) online: u32,
    pub(super) suspects: u32,
    pub(super) fleet: u32,
    pub(super) fleet_ms: u64,
    pub(super) next_event: u64,
    pub(super) gap: u8,
    pub(super) epoch: u16,
    recent: f32,
    recent_ms: u64,
    report: Option<Report>,
    history: collections::VecDeque<(u64, u32)>,
}

/// A load report with the own count at the time it describes.
#[derive(Clone, Copy, Debug)]
struct Report {
    requests: f32,
    waiting: f32,
    at_ms: u64,
    online: u32,
}

impl Replica {
    pub(super) fn new(announcement: &backend::Announcement, at_ms: u64, now_ms: u64) -> Replica {
        let mut replica = Replica {
            announcement: announcement.clone(),
            proof_ms: 0,
            heard_ms: 0,
            joined_ms: now_ms,
            leaving: false,
            drained: false,
            excluded: false,
            penalty: 1.0,
            reserved_ms: 0,
            online: 0,
            suspects: 0,
            fleet: 0,
            fleet_ms: now_ms,
            next_event: 0,
            gap: 0,
            epoch: 0,
            recent: 0.0,
            recent_ms: 0,
            report: None,
            history: collections::VecDeque::new(),
        };
        replica.renew(announcement, at_ms, now_ms);
        replica
    }

    /// Returns whether an announcement came out of order.
    pub(super) fn is_older(&self, announcement: &backend::Announcement) -> bool {
        let known = (self.announcement.incarnation, self.announcement.sequence);
        (announcement.incarnation, announcement.sequence) < known
    }

    /// Returns whether an announcement is the latest one that is known.
    pub(super) fn is_current(&self, announcement: &backend::Announcement) -> bool {
        let known = (self.announcement.incarnation, self.announcement.sequence);
        (announcement.incarnation, announcement.sequence) == known
    }

    /// Takes an announcement of a later incarnation: nothing known still holds.
    pub(super) fn restart(
        &mut self,
        announcement: &backend::Announcement,
        at_ms: u64,
        now_ms: u64,
    ) {
        let drained = self.drained;
        let epoch = self.epoch.wrapping_add(1);
        *self = Replica::new(announcement, at_ms, now_ms);
        self.drained = drained;
        self.epoch = epoch;
    }

    /// Takes an announcement of the same incarnation that is not older.
    pub(super) fn renew(&mut self, announcement: &backend::Announcement, at_ms: u64, now_ms: u64) {
        self.heard_ms = self.heard_ms.max(at_ms);
        let was_ready = self.announcement.state == backend::State::Ready;
        match announcement.state {
            backend::State::Leaving => self.leaving = true,
            backend::State::Ready | backend::State::Loading => {
                self.proof_ms = self.proof_ms.max(at_ms);
            }
        }
        if !was_ready && announcement.state == backend::State::Ready {
            self.joined_ms = now_ms;
        }
        self.take_report(&announcement.load, at_ms);
        self.announcement.clone_from(announcement);
    }

    pub(super) fn change_online(&mut self, change: i32, now_ms: u64) {
        if self.history.len() == HISTORY {
            self.history.pop_front();
        }
        self.history.push_back((now_ms, self.online));
        self.online = self.online.saturating_add_signed(change);
    }

    pub(super) fn holder(&self, slot: usize) -> cache::Holder {
        cache::Holder {
            slot: slot as u32,
            epoch: self.epoch,
            gap: self.gap,
        }
    }

    /// Returns why the replica takes no new work, if it takes none.
    pub(super) fn obstacle(&self, settings: &Builder, now_ms: u64) -> Option<Unavailable> {
        if self.leaving {
            return Some(Unavailable::Leaving);
        }
        if self.drained {
            return Some(Unavailable::Drained);
        }
        if self.announcement.state != backend::State::Ready {
            return Some(Unavailable::Loading);
        }
        if now_ms.saturating_sub(self.proof_ms) >= settings.proof_max_age_ms {
            return Some(Unavailable::ProofTooOld);
        }
        if self.reserved_ms > now_ms {
            return Some(Unavailable::Reserved);
        }
        self.excluded.then_some(Unavailable::Ejected)
    }

    /// Returns the load as a share of the capacity, a new request included.
    pub(super) fn load(&self, settings: &Builder, now_ms: u64) -> f32 {
        let capacity = self.announcement.capacity.clamp(1, MAX_CAPACITY) as f32;
        let ramped = capacity * self.ramp(settings, now_ms);
        (self.requests(settings, now_ms) + 1.0) / ramped * self.penalty
    }

    /// Counts a request that is sent now; 1 is an online request.
    pub(super) fn note_sent(&mut self, settings: &Builder, weight: f32, now_ms: u64) {
        self.recent = self.sent_recently(settings, now_ms) + weight;
        self.recent_ms = now_ms;
    }

    /// Returns the weighted number of requests sent just now, relative to the
    /// replica's share during its slow start.
    pub(super) fn recent(&self, settings: &Builder, now_ms: u64) -> f32 {
        self.sent_recently(settings, now_ms) * self.penalty / self.ramp(settings, now_ms)
    }

    /// Returns the number of requests sent just now, each counting half after a
    /// half-life.
    fn sent_recently(&self, settings: &Builder, now_ms: u64) -> f32 {
        self.recent * decay(self.recent_ms, now_ms, settings.recent_half_life_ms)
    }

    /// Returns the estimated number of requests at the replica.
    ///
    /// The counts are the base. A report moves the estimate by at most half of
    /// the counts downward and by the capacity upward, so that a wrong report
    /// can neither hide a busy replica nor make one unusable.
    pub(super) fn requests(&self, settings: &Builder, now_ms: u64) -> f32 {
        let fleet_weight = decay(self.fleet_ms, now_ms, settings.fleet_half_life_ms);
        let own = self.online as f32;
        let counts = own + self.fleet as f32 * fleet_weight;
        let Some(report) = self.report else {
            return counts;
        };
        if now_ms.saturating_sub(report.at_ms) > REPORT_MAX_AGE_MS {
            return counts;
        }
        let weight = decay(report.at_ms, now_ms, settings.report_half_life_ms);
        let since = own - report.online as f32;
        let excess = (report.requests + since).max(0.0) - counts;
        let capacity = self.announcement.capacity.clamp(1, MAX_CAPACITY) as f32;
        let shift = if excess > 0.0 {
            settings.unexplained_weight * excess.min(capacity)
        } else {
            excess.max(-0.5 * counts)
        };
        let waiting = report.waiting.min(capacity);
        (counts + weight * (shift + waiting)).max(own)
    }

    fn take_report(&mut self, load: &backend::Load, at_ms: u64) {
        let at_ms = at_ms.saturating_sub(u64::from(load.age_ms));
        let online = self
            .history
            .iter()
            .find(|&&(changed_ms, _)| changed_ms > at_ms)
            .map_or(self.online, |&(_, before)| before);
        self.report = Some(Report {
            requests: load.running.saturating_add(load.waiting) as f32,
            waiting: load.waiting as f32,
            at_ms,
            online,
        });
    }

    fn ramp(&self, settings: &Builder, now_ms: u64) -> f32 {
        let age_ms = now_ms.saturating_sub(self.joined_ms);
        if age_ms >= settings.slow_start_ms {
            return 1.0;
        }
        (age_ms as f32 / settings.slow_start_ms as f32).max(RAMP_FLOOR)
    }
}

/// Returns the weight of a value from `at_ms`: 1 when new, halved each half-life.
fn decay(at_ms: u64, now_ms: u64, half_life_ms: u64) -> f32 {
    let age_ms = now_ms.saturating_sub(at_ms);
    (-(age_ms as f32) / half_life_ms as f32).exp2()
}
