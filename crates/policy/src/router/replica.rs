//! The state of one replica and the estimate of its load.

use std::collections;

use bw_wire::backend;

use super::{Builder, Unavailable, cache};

/// Number of changes of the own request count kept to correct load reports.
const HISTORY: usize = 64;
/// Share of its capacity that counts at the beginning of a replica's slow start.
const MIN_SLOW_START_SHARE: f32 = 0.1;
/// Upper bound of an announced capacity; a larger one is taken for an error.
const MAX_CAPACITY: u32 = 4_096;
/// Age from which on a load report is ignored.
const REPORT_MAX_AGE_MS: u64 = 5_000;

#[derive(Debug)]
pub(super) struct Replica {
    pub(super) announcement: backend::Announcement,
    /// Time of the latest proof that the replica is not leaving.
    pub(super) proof_ms: u64,
    /// When the latest announcement was received, here or by control.
    pub(super) heard_ms: u64,
    /// Start of the slow start.
    pub(super) joined_ms: u64,
    pub(super) leaving: bool,
    pub(super) drained: bool,
    /// Whether the replica is ejected.
    pub(super) excluded: bool,
    /// Factor by which the load is scaled up.
    pub(super) penalty: f32,
    pub(super) reserved_until_ms: u64,
    /// This entry VM's online requests in flight there.
    pub(super) online: u32,
    /// Those of them that are suspects.
    pub(super) suspects: u32,
    /// The other entry VMs' online requests in flight there, and when they were set.
    pub(super) fleet_online: u32,
    pub(super) fleet_ms: u64,
    /// Sequence number expected of the next cache events.
    pub(super) next_event: u64,
    /// Number of gaps seen in the sequence of cache events.
    pub(super) gap: u8,
    /// Number of earlier incarnations, and of earlier replicas in the same slot.
    pub(super) epoch: u16,
    /// Weight of recently sent requests, as of `sent_weight_ms`.
    sent_weight: f32,
    sent_weight_ms: u64,
    report: Option<Report>,
    /// Changes of `online`: the time of each and the count before it.
    history: collections::VecDeque<(u64, u32)>,
}

/// A load report, with the own request count at the time it describes.
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
            reserved_until_ms: 0,
            online: 0,
            suspects: 0,
            fleet_online: 0,
            fleet_ms: now_ms,
            next_event: 0,
            gap: 0,
            epoch: 0,
            sent_weight: 0.0,
            sent_weight_ms: 0,
            report: None,
            history: collections::VecDeque::new(),
        };
        replica.renew(announcement, at_ms, now_ms);
        replica
    }

    /// Returns whether an announcement is older than the latest one known.
    pub(super) fn is_older(&self, announcement: &backend::Announcement) -> bool {
        let known = (self.announcement.incarnation, self.announcement.sequence);
        (announcement.incarnation, announcement.sequence) < known
    }

    /// Returns whether an announcement is the latest one known.
    pub(super) fn is_current(&self, announcement: &backend::Announcement) -> bool {
        let known = (self.announcement.incarnation, self.announcement.sequence);
        (announcement.incarnation, announcement.sequence) == known
    }

    /// Applies an announcement of a later incarnation, which resets all state but
    /// draining.
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

    /// Applies an announcement of the same incarnation that is not older than the
    /// latest one.
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
        self.record_report(&announcement.load, at_ms);
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

    /// Returns why the replica accepts no new work; `None` if it does.
    pub(super) fn unavailable_reason(
        &self,
        settings: &Builder,
        now_ms: u64,
    ) -> Option<Unavailable> {
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
        if self.reserved_until_ms > now_ms {
            return Some(Unavailable::Reserved);
        }
        self.excluded.then_some(Unavailable::Ejected)
    }

    /// Returns the load with one more request as a share of the capacity.
    pub(super) fn load(&self, settings: &Builder, now_ms: u64) -> f32 {
        let capacity = self.announcement.capacity.clamp(1, MAX_CAPACITY) as f32;
        let available = capacity * self.slow_start_share(settings, now_ms);
        (self.requests(settings, now_ms) + 1.0) / available * self.penalty
    }

    /// Records a request that is sent now. An online request has a weight of 1.
    pub(super) fn record_sent(&mut self, settings: &Builder, weight: f32, now_ms: u64) {
        self.sent_weight = self.recently_sent(settings, now_ms) + weight;
        self.sent_weight_ms = now_ms;
    }

    /// Returns the decayed weight of recently sent requests, scaled up by the penalty
    /// and during a slow start.
    pub(super) fn recent_load(&self, settings: &Builder, now_ms: u64) -> f32 {
        self.recently_sent(settings, now_ms) * self.penalty
            / self.slow_start_share(settings, now_ms)
    }

    /// Returns the weight of sent requests, which decays with a half-life.
    fn recently_sent(&self, settings: &Builder, now_ms: u64) -> f32 {
        self.sent_weight * decay(self.sent_weight_ms, now_ms, settings.recent_half_life_ms)
    }

    /// Returns the estimated number of requests at the replica.
    ///
    /// The estimate starts from the entry VMs' counts. A load report lowers it by at
    /// most half of the counts and raises it in proportion to the capacity at most,
    /// so that a wrong report can neither hide a busy replica nor make one unusable.
    pub(super) fn requests(&self, settings: &Builder, now_ms: u64) -> f32 {
        let fleet_weight = decay(self.fleet_ms, now_ms, settings.fleet_half_life_ms);
        let own = self.online as f32;
        let counts = own + self.fleet_online as f32 * fleet_weight;
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

    fn record_report(&mut self, load: &backend::Load, at_ms: u64) {
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

    fn slow_start_share(&self, settings: &Builder, now_ms: u64) -> f32 {
        let age_ms = now_ms.saturating_sub(self.joined_ms);
        if age_ms >= settings.slow_start_ms {
            return 1.0;
        }
        (age_ms as f32 / settings.slow_start_ms as f32).max(MIN_SLOW_START_SHARE)
    }
}

/// Returns the weight of a value from `at_ms`: 1 at first, halved every half-life.
fn decay(at_ms: u64, now_ms: u64, half_life_ms: u64) -> f32 {
    let age_ms = now_ms.saturating_sub(at_ms);
    (-(age_ms as f32) / half_life_ms as f32).exp2()
}
