//! Outlier detection: ejection and probing of frozen, slow or failing replicas.
//!
//! A replica is compared with the other replicas of its group, so that no
//! replica is ejected when the whole fleet is slow. Ejections are limited so
//! that the remaining replicas can carry the load.

mod replica;

use std::collections;

use bw_wire::name;

use replica::Replica;

pub use replica::Attempt;

/// Settings of a [`Health`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) stall_ms: u64,
    pub(crate) stall_factor: f32,
    pub(crate) slow_factor: f32,
    pub(crate) slow_min_ms: f32,
    pub(crate) min_samples: f32,
    pub(crate) error_share: f32,
    pub(crate) min_failures: f32,
    pub(crate) max_share: f32,
    pub(crate) max_utilization: f32,
    pub(crate) probe_after_ms: u64,
    pub(crate) probe_max_ms: u64,
    pub(crate) process_pause_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            stall_ms: 500,
            stall_factor: 4.0,
            slow_factor: 3.0,
            slow_min_ms: 50.0,
            min_samples: 8.0,
            error_share: 0.5,
            min_failures: 4.0,
            max_share: 0.5,
            max_utilization: 0.9,
            probe_after_ms: 1_000,
            probe_max_ms: 30_000,
            process_pause_ms: 250,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets how long a busy replica may be silent before it counts as frozen.
    /// While none of its streams has a first token, `factor` times the group's
    /// median first-token time applies where that is longer.
    pub fn stall(mut self, silence_ms: u64, factor: f32) -> Builder {
        self.stall_ms = silence_ms;
        self.stall_factor = factor.max(1.0);
        self
    }

    /// Sets the multiple of the group's median first-token time above which a
    /// replica counts as slow, and the minimum difference to that median.
    pub fn slow(mut self, factor: f32, min_ms: f32) -> Builder {
        self.slow_factor = factor.max(1.0);
        self.slow_min_ms = min_ms;
        self
    }

    /// Sets the share of failed requests from which on a replica counts as
    /// failing, and the minimum number of recent failures.
    pub fn errors(mut self, share: f32, min_failures: f32) -> Builder {
        self.error_share = share.clamp(0.0, 1.0);
        self.min_failures = min_failures.max(1.0);
        self
    }

    /// Sets the largest share of a group that is ejected at once, and the
    /// utilization of the remaining replicas above which none is ejected as slow
    /// or failing.
    pub fn limits(mut self, max_share: f32, max_utilization: f32) -> Builder {
        self.max_share = max_share.clamp(0.0, 1.0);
        self.max_utilization = max_utilization;
        self
    }

    /// Sets the delay before the first probe and its upper bound. Each failed
    /// probe doubles the delay.
    pub fn probe(mut self, after_ms: u64, max_ms: u64) -> Builder {
        self.probe_after_ms = after_ms.max(1);
        self.probe_max_ms = max_ms.max(after_ms);
        self
    }

    /// Builds an outlier detector without replicas.
    pub fn build(self) -> Health {
        Health {
            settings: self,
            replicas: collections::BTreeMap::new(),
            last_tick_ms: None,
        }
    }
}

/// Why a replica is ejected, for counters.
#[derive(
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    strum::Display,
    strum::EnumIter,
    strum::IntoStaticStr,
)]
#[strum(serialize_all = "snake_case")]
pub enum Ejection {
    /// It has requests in flight and makes no progress.
    Frozen,
    /// Too many of its requests fail.
    Failing,
    /// Its first tokens come much later than those of the others.
    Slow,
}

/// Whether a replica may receive new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It may receive new work.
    Healthy,
    /// It may not, for the given reason.
    Ejected(Ejection),
}

/// How a request on a replica ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With a complete answer, or with an error that the caller caused.
    Done,
    /// With a failure of the replica.
    Failed,
    /// It was cancelled, which does not count for or against the replica.
    Cancelled,
}

/// A decision about a replica that the caller has to carry out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The replica receives no new work.
    Ejected {
        /// The id of the replica, as in its [`Snapshot`].
        id: name::Name,
        /// Why it was ejected.
        reason: Ejection,
    },
    /// The replica has to be probed: an engine with a request for one token, a
    /// plain service on `/healthz`. The result is passed to
    /// [`Health::probe_finished`].
    Probe {
        /// The id of the replica, as in its [`Snapshot`].
        id: name::Name,
    },
    /// The replica receives new work again and goes through a slow start.
    Restored {
        /// The id of the replica, as in its [`Snapshot`].
        id: name::Name,
    },
}

/// The state of a replica, passed to [`Health::update`] before each tick.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The id under which the replica, a backend server, announces itself.
    pub id: name::Name,
    /// Its incarnation, which grows with each restart.
    pub incarnation: u64,
    /// The group in which it is compared: all replicas of one model or service.
    pub group: name::Name,
    /// Number of requests that it can run concurrently without slowing down.
    pub capacity: u32,
    /// Estimated number of requests in flight there, from all entry VMs.
    pub requests: f32,
}

/// Health of all replicas as seen by one entry VM.
#[derive(Debug)]
pub struct Health {
    settings: Builder,
    replicas: collections::BTreeMap<name::Name, Replica>,
    last_tick_ms: Option<u64>,
}

impl Health {
    /// Adds or updates a replica. A new incarnation starts healthy.
    pub fn update(&mut self, snapshot: Snapshot, now_ms: u64) {
        match self.replicas.get_mut(&snapshot.id) {
            Some(replica) if replica.snapshot.incarnation == snapshot.incarnation => {
                replica.snapshot = snapshot;
            }
            Some(replica) if replica.snapshot.incarnation > snapshot.incarnation => {}
            _ => {
                let id = snapshot.id.clone();
                self.replicas.insert(id, Replica::new(snapshot, now_ms));
            }
        }
    }

    /// Removes the replicas for which `known` returns false.
    pub fn retain(&mut self, known: impl Fn(&name::Name) -> bool) {
        self.replicas.retain(|id, _| known(id));
    }

    /// Starts to track a request, online or batch, that is sent to a replica.
    pub fn begin(&mut self, id: &name::Name, now_ms: u64) -> Attempt {
        let incarnation = self.replicas.get_mut(id).map(|replica| {
            replica.begin(now_ms);
            replica.snapshot.incarnation
        });
        Attempt::new(id.clone(), incarnation, now_ms)
    }

    /// Records a received token or response byte of a request.
    pub fn progress(&mut self, attempt: &mut Attempt, now_ms: u64) {
        if let Some(replica) = replica_of(&mut self.replicas, attempt) {
            replica.progress(attempt, now_ms);
        }
    }

    /// Records the outcome of a request and ends its tracking.
    pub fn end(&mut self, attempt: Attempt, outcome: Outcome, now_ms: u64) {
        if let Some(replica) = replica_of(&mut self.replicas, &attempt) {
            replica.end(&attempt, outcome, now_ms);
        }
    }

    /// Records the result of a probe: its first-token time, or `None` if it
    /// failed or timed out. Returns the change if the replica is restored.
    pub fn probe_finished(
        &mut self,
        id: &str,
        first_token_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Change> {
        let median = self.median(id);
        let settings = self.settings.clone();
        let replica = self.replicas.get_mut(id)?;
        replica.probed(&settings, first_token_ms, median, now_ms)
    }

    /// Evaluates all replicas and returns the resulting changes. Called about
    /// every 50 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Change> {
        self.ignore_process_pause(now_ms);
        let mut changes = Vec::new();
        for (group, ids) in self.groups() {
            self.eject(&group, &ids, now_ms, &mut changes);
        }
        for (id, replica) in &mut self.replicas {
            if replica.start_due_probe(now_ms) {
                changes.push(Change::Probe { id: id.clone() });
            }
        }
        changes
    }

    /// Returns whether a replica may receive new work. An unknown replica may.
    pub fn status(&self, id: &str) -> Status {
        match self.replicas.get(id).and_then(Replica::ejection) {
            Some(reason) => Status::Ejected(reason),
            None => Status::Healthy,
        }
    }

    /// Returns the factor by which a replica's load is to be scaled up: the ratio
    /// of its first-token time to the group's median, from 1 to the slow factor.
    pub fn penalty(&self, id: &str) -> f32 {
        let Some(replica) = self.replicas.get(id) else {
            return 1.0;
        };
        match (replica.first_token_ms(&self.settings), self.median(id)) {
            (Some(first_token_ms), Some(median)) if median > 0.0 => {
                (first_token_ms / median).clamp(1.0, self.settings.slow_factor)
            }
            _ => 1.0,
        }
    }

    /// Ejects the worst candidates of a group, as far as the limits allow. Once
    /// the limit is reached, an unresponsive candidate is ejected in exchange for
    /// an ejected replica that responds again.
    fn eject(
        &mut self,
        group: &name::Name,
        ids: &[name::Name],
        now_ms: u64,
        changes: &mut Vec<Change>,
    ) {
        let median = self.group_median(group);
        let mut candidates: Vec<(Ejection, name::Name)> = ids
            .iter()
            .filter_map(|id| {
                let replica = self.replicas.get(id)?;
                let reason = replica.ejection_reason(&self.settings, median, now_ms)?;
                Some((reason, id.clone()))
            })
            .collect();
        candidates.sort();
        for (reason, id) in candidates {
            let responsive = match self.is_ejection_limit_reached(ids) {
                true => match self.responsive_ejected(ids, &id, reason) {
                    Some(responsive) => Some(responsive),
                    None => continue,
                },
                false => None,
            };
            if !self.can_do_without(ids, &id, reason, responsive.as_ref()) {
                continue;
            }
            if let Some(responsive) = responsive
                && let Some(replica) = self.replicas.get_mut(&responsive)
            {
                replica.restore(now_ms);
                changes.push(Change::Restored { id: responsive });
            }
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.eject(&self.settings, reason, now_ms);
                changes.push(Change::Ejected { id, reason });
            }
        }
    }

    /// Returns whether the limit of ejected replicas of a group is reached.
    fn is_ejection_limit_reached(&self, ids: &[name::Name]) -> bool {
        let ejected = self
            .group(ids)
            .filter(|replica| replica.ejection().is_some())
            .count();
        let allowed = (ids.len() as f32 * self.settings.max_share) as usize;
        ejected + 1 > allowed
    }

    /// Returns the ejected replica to restore in exchange for an unresponsive
    /// candidate: the one with the latest response, if it responded since its
    /// ejection and later than the candidate. Without the exchange, replicas that
    /// were briefly silent would use up the limit and keep dead ones in use.
    fn responsive_ejected(
        &self,
        ids: &[name::Name],
        candidate: &name::Name,
        reason: Ejection,
    ) -> Option<name::Name> {
        let candidate = self.replicas.get(candidate)?;
        if reason != Ejection::Failing || !candidate.is_unresponsive(&self.settings) {
            return None;
        }
        self.group(ids)
            .filter(|replica| replica.responded_since_ejection())
            .filter(|replica| replica.last_response_ms() > candidate.last_response_ms())
            .max_by_key(|replica| replica.last_response_ms())
            .map(|replica| replica.snapshot.id.clone())
    }

    /// Returns whether the rest of the group, including a replica that is restored
    /// at the same time, can carry the load without a replica. A frozen replica
    /// serves nothing, so its ejection does not add load to the rest.
    fn can_do_without(
        &self,
        ids: &[name::Name],
        id: &name::Name,
        reason: Ejection,
        restored: Option<&name::Name>,
    ) -> bool {
        if reason == Ejection::Frozen {
            return true;
        }
        let requests: f32 = self
            .group(ids)
            .map(|replica| replica.snapshot.requests.max(0.0))
            .sum();
        let is_used = |replica: &&Replica| {
            let is_restored = restored == Some(&replica.snapshot.id);
            (replica.ejection().is_none() || is_restored) && replica.snapshot.id != *id
        };
        let rest: f32 = self
            .group(ids)
            .filter(is_used)
            .map(|replica| replica.snapshot.capacity as f32)
            .sum();
        requests <= rest * self.settings.max_utilization
    }

    fn group<'a>(&'a self, ids: &'a [name::Name]) -> impl Iterator<Item = &'a Replica> {
        ids.iter().filter_map(|id| self.replicas.get(id))
    }

    /// Restarts the silence timers of all replicas if this process itself was
    /// paused: it read no responses meanwhile, however responsive replicas were.
    fn ignore_process_pause(&mut self, now_ms: u64) {
        let previous_ms = self.last_tick_ms.replace(now_ms);
        let paused = previous_ms.is_some_and(|previous_ms| {
            now_ms.saturating_sub(previous_ms) > self.settings.process_pause_ms
        });
        if paused {
            for replica in self.replicas.values_mut() {
                replica.restart_silence(now_ms);
            }
        }
    }

    fn groups(&self) -> collections::BTreeMap<name::Name, Vec<name::Name>> {
        let mut groups: collections::BTreeMap<name::Name, Vec<name::Name>> =
            collections::BTreeMap::new();
        for (id, replica) in &self.replicas {
            let ids = groups.entry(replica.snapshot.group.clone()).or_default();
            ids.push(id.clone());
        }
        groups
    }

    fn median(&self, id: &str) -> Option<f32> {
        let group = self.replicas.get(id)?.snapshot.group.clone();
        self.group_median(&group)
    }

    /// Returns the median of the replicas' average first-token times.
    fn group_median(&self, group: &name::Name) -> Option<f32> {
        let mut times: Vec<f32> = self
            .replicas
            .values()
            .filter(|replica| replica.snapshot.group == *group)
            .filter_map(|replica| replica.first_token_ms(&self.settings))
            .collect();
        times.sort_by(f32::total_cmp);
        // The lower median: with two replicas, the slow one is compared with
        // the fast one and not with itself.
        times.get(times.len().saturating_sub(1) / 2).copied()
    }
}

fn replica_of<'a>(
    replicas: &'a mut collections::BTreeMap<name::Name, Replica>,
    attempt: &Attempt,
) -> Option<&'a mut Replica> {
    replicas
        .get_mut(&attempt.id)
        .filter(|replica| Some(replica.snapshot.incarnation) == attempt.incarnation)
}
