//! Ejection and probing of replicas that are frozen, slow or failing.
//!
//! Health is judged against the other replicas of the same group, so that a
//! slow fleet ejects nobody. Ejections are bounded: the rest has to be able to
//! carry the load.

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
    pub(crate) max_use: f32,
    pub(crate) probe_after_ms: u64,
    pub(crate) probe_max_ms: u64,
    pub(crate) own_pause_ms: u64,
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
            max_use: 0.9,
            probe_after_ms: 1_000,
            probe_max_ms: 30_000,
            own_pause_ms: 250,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets the silence of a busy replica after which it counts as frozen, and
    /// the multiple of the group's median first-token time that applies while
    /// no stream has its first token yet.
    pub fn stall(mut self, silence_ms: u64, factor: f32) -> Builder {
        self.stall_ms = silence_ms;
        self.stall_factor = factor.max(1.0);
        self
    }

    /// Sets the multiple of the group's median first-token time above which a
    /// replica counts as slow, and the least difference.
    pub fn slow(mut self, factor: f32, min_ms: f32) -> Builder {
        self.slow_factor = factor.max(1.0);
        self.slow_min_ms = min_ms;
        self
    }

    /// Sets the share of failed requests above which a replica counts as
    /// failing, and the least number of recent failures.
    pub fn errors(mut self, share: f32, min_failures: f32) -> Builder {
        self.error_share = share.clamp(0.0, 1.0);
        self.min_failures = min_failures.max(1.0);
        self
    }

    /// Sets the largest share of a group that is ejected at once, and the use
    /// of the rest's capacity above which nothing is ejected as slow or failing.
    pub fn limits(mut self, max_share: f32, max_use: f32) -> Builder {
        self.max_share = max_share.clamp(0.0, 1.0);
        self.max_use = max_use;
        self
    }

    /// Sets the pause before the first probe and its upper bound; each failed
    /// probe doubles it.
    pub fn probe(mut self, after_ms: u64, max_ms: u64) -> Builder {
        self.probe_after_ms = after_ms.max(1);
        self.probe_max_ms = max_ms.max(after_ms);
        self
    }

    /// Builds a health record without replicas.
    pub fn build(self) -> Health {
        Health {
            settings: self,
            replicas: collections::BTreeMap::new(),
            ticked_ms: None,
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
    /// It runs requests and gives no sign of progress.
    Frozen,
    /// Too many of its requests fail.
    Failing,
    /// Its first tokens come much later than those of the others.
    Slow,
}

/// Whether a replica gets new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Status {
    /// It does.
    Healthy,
    /// It does not.
    Ejected(Ejection),
}

/// How a request on a replica ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// With a complete answer, or an error that is the caller's.
    Done,
    /// By a fault of the replica.
    Failed,
    /// It was cancelled, which says nothing about the replica.
    Cancelled,
}

/// What a tick decided.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The replica gets no new work.
    Ejected {
        /// The replica.
        id: name::Name,
        /// Why.
        reason: Ejection,
    },
    /// The replica is to be probed: with a request for one token where it is
    /// an engine, on `/healthz` where it is a plain service. The result goes to
    /// [`Health::probe_finished`].
    Probe {
        /// The replica.
        id: name::Name,
    },
    /// The replica gets new work again; it starts slowly.
    Restored {
        /// The replica.
        id: name::Name,
    },
}

/// Facts about a replica, given before each tick.
#[derive(Clone, Debug)]
pub struct Snapshot {
    /// The replica.
    pub id: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// The replicas that it is compared with: those of one model or service.
    pub group: name::Name,
    /// Number of requests that it runs well at once.
    pub capacity: u32,
    /// Estimated requests at the replica, from all entry VMs.
    pub requests: f32,
}

/// Health of all replicas as seen by one entry VM.
#[derive(Debug)]
pub struct Health {
    settings: Builder,
    replicas: collections::BTreeMap<name::Name, Replica>,
    ticked_ms: Option<u64>,
}

impl Health {
    /// Adds or updates a replica. A new incarnation starts healthy.
    pub fn update(&mut self, facts: Snapshot, now_ms: u64) {
        match self.replicas.get_mut(&facts.id) {
            Some(replica) if replica.facts.incarnation == facts.incarnation => {
                replica.facts = facts;
            }
            Some(replica) if replica.facts.incarnation > facts.incarnation => {}
            _ => {
                let id = facts.id.clone();
                self.replicas.insert(id, Replica::new(facts, now_ms));
            }
        }
    }

    /// Keeps only the replicas that are still known.
    pub fn retain(&mut self, known: impl Fn(&name::Name) -> bool) {
        self.replicas.retain(|id, _| known(id));
    }

    /// Counts a request that is sent to a replica, online or batch.
    pub fn begin(&mut self, id: &name::Name, now_ms: u64) -> Attempt {
        let incarnation = self.replicas.get_mut(id).map(|replica| {
            replica.begin(now_ms);
            replica.facts.incarnation
        });
        Attempt::new(id.clone(), incarnation, now_ms)
    }

    /// Counts a token or a response byte of a request.
    pub fn progress(&mut self, flight: &mut Attempt, now_ms: u64) {
        if let Some(replica) = flight_replica(&mut self.replicas, flight) {
            replica.progress(flight, now_ms);
        }
    }

    /// Counts the end of a request.
    pub fn end(&mut self, flight: Attempt, outcome: Outcome, now_ms: u64) {
        if let Some(replica) = flight_replica(&mut self.replicas, &flight) {
            replica.end(&flight, outcome, now_ms);
        }
    }

    /// Takes the result of a probe: the time to its first token, or nothing if
    /// it failed or took too long.
    pub fn probe_finished(
        &mut self,
        id: &str,
        first_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<Change> {
        let median = self.median(id);
        let settings = self.settings.clone();
        let replica = self.replicas.get_mut(id)?;
        replica.probed(&settings, first_ms, median, now_ms)
    }

    /// Judges all replicas. Called about every 50 ms.
    pub fn tick(&mut self, now_ms: u64) -> Vec<Change> {
        self.excuse_own_pause(now_ms);
        let mut changes = Vec::new();
        for (group, ids) in self.groups() {
            self.eject(&group, &ids, now_ms, &mut changes);
        }
        for (id, replica) in &mut self.replicas {
            if replica.wants_probe(now_ms) {
                changes.push(Change::Probe { id: id.clone() });
            }
        }
        changes
    }

    /// Returns whether a replica gets new work.
    pub fn status(&self, id: &str) -> Status {
        match self.replicas.get(id).and_then(Replica::ejection) {
            Some(reason) => Status::Ejected(reason),
            None => Status::Healthy,
        }
    }

    /// Returns the factor by which a replica's load is to count as more than it
    /// is: how much later its first tokens come than the group's median.
    pub fn penalty(&self, id: &str) -> f32 {
        let Some(replica) = self.replicas.get(id) else {
            return 1.0;
        };
        match (replica.first_ms(&self.settings), self.median(id)) {
            (Some(first_ms), Some(median)) if median > 0.0 => {
                (first_ms / median).clamp(1.0, self.settings.slow_factor)
            }
            _ => 1.0,
        }
    }

    /// Ejects the worst candidates of a group, as far as the limits allow. Where
    /// as many are ejected as may be, one that answers nothing takes the place of
    /// one that does.
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
                let reason = replica.judge(&self.settings, median, now_ms)?;
                Some((reason, id.clone()))
            })
            .collect();
        candidates.sort();
        for (reason, id) in candidates {
            let live = match self.is_full(ids) {
                true => match self.live_ejected(ids, &id, reason) {
                    Some(live) => Some(live),
                    None => continue,
                },
                false => None,
            };
            if !self.can_spare(ids, &id, reason, live.as_ref()) {
                continue;
            }
            if let Some(live) = live
                && let Some(replica) = self.replicas.get_mut(&live)
            {
                replica.restore(now_ms);
                changes.push(Change::Restored { id: live });
            }
            if let Some(replica) = self.replicas.get_mut(&id) {
                replica.eject(&self.settings, reason, now_ms);
                changes.push(Change::Ejected { id, reason });
            }
        }
    }

    /// Returns whether no more replicas of a group may be ejected.
    fn is_full(&self, ids: &[name::Name]) -> bool {
        let ejected = self
            .group(ids)
            .filter(|replica| replica.ejection().is_some())
            .count();
        let allowed = (ids.len() as f32 * self.settings.max_share) as usize;
        ejected + 1 > allowed
    }

    /// Returns the ejected replica in whose place a candidate is to be ejected:
    /// the last one to show signs of life, if it did so since its ejection and
    /// the candidate answers nothing. Otherwise replicas that are silent for
    /// moments would keep dead ones in use.
    fn live_ejected(
        &self,
        ids: &[name::Name],
        candidate: &name::Name,
        reason: Ejection,
    ) -> Option<name::Name> {
        let candidate = self.replicas.get(candidate)?;
        if reason != Ejection::Failing || !candidate.answers_nothing(&self.settings) {
            return None;
        }
        self.group(ids)
            .filter(|replica| replica.lives_ejected())
            .filter(|replica| replica.alive_ms() > candidate.alive_ms())
            .max_by_key(|replica| replica.alive_ms())
            .map(|replica| replica.facts.id.clone())
    }

    /// Returns whether the rest of the group, with the replica that is restored
    /// at the same time, can do without a replica. A frozen replica carries no
    /// load, so that its ejection takes nothing from the rest.
    fn can_spare(
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
            .map(|replica| replica.facts.requests.max(0.0))
            .sum();
        let is_used = |replica: &&Replica| {
            let is_restored = restored == Some(&replica.facts.id);
            (replica.ejection().is_none() || is_restored) && replica.facts.id != *id
        };
        let rest: f32 = self
            .group(ids)
            .filter(is_used)
            .map(|replica| replica.facts.capacity as f32)
            .sum();
        requests <= rest * self.settings.max_use
    }

    fn group<'a>(&'a self, ids: &'a [name::Name]) -> impl Iterator<Item = &'a Replica> {
        ids.iter().filter_map(|id| self.replicas.get(id))
    }

    /// Restarts all silences if this process itself did not run: it read
    /// nothing meanwhile, which is no replica's fault.
    fn excuse_own_pause(&mut self, now_ms: u64) {
        let before_ms = self.ticked_ms.replace(now_ms);
        let paused = before_ms
            .is_some_and(|before_ms| now_ms.saturating_sub(before_ms) > self.settings.own_pause_ms);
        if paused {
            for replica in self.replicas.values_mut() {
                replica.excuse(now_ms);
            }
        }
    }

    fn groups(&self) -> collections::BTreeMap<name::Name, Vec<name::Name>> {
        let mut groups: collections::BTreeMap<name::Name, Vec<name::Name>> =
            collections::BTreeMap::new();
        for (id, replica) in &self.replicas {
            let ids = groups.entry(replica.facts.group.clone()).or_default();
            ids.push(id.clone());
        }
        groups
    }

    fn median(&self, id: &str) -> Option<f32> {
        let group = self.replicas.get(id)?.facts.group.clone();
        self.group_median(&group)
    }

    /// Returns the median of the replicas' average first-token times.
    fn group_median(&self, group: &name::Name) -> Option<f32> {
        let mut times: Vec<f32> = self
            .replicas
            .values()
            .filter(|replica| replica.facts.group == *group)
            .filter_map(|replica| replica.first_ms(&self.settings))
            .collect();
        times.sort_by(f32::total_cmp);
        // The lower median: with two replicas, the slow one is compared with
        // the fast one and not with itself.
        times.get(times.len().saturating_sub(1) / 2).copied()
    }
}

fn flight_replica<'a>(
    replicas: &'a mut collections::BTreeMap<name::Name, Replica>,
    flight: &Attempt,
) -> Option<&'a mut Replica> {
    replicas
        .get_mut(&flight.id)
        .filter(|replica| Some(replica.facts.incarnation) == flight.incarnation)
}
