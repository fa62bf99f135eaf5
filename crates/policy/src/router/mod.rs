//! Load balancing: the choice of the backend server for each request.
//!
//! A [`Router`] holds the state of the backend servers as known to one entry VM: its
//! own requests in flight, which are exact; the other entry VMs' counts, which are up
//! to a `sync` interval old; and load reports, which lag and can be wrong.
//! [`Router::choose`] scores a few randomly sampled replicas, home replicas (those
//! whose batch work the entry VM owns, see [`Router::set_home`]) and replicas that
//! likely have the request's prompt prefix cached, and takes the one with the lowest
//! score.
//!
//! New work is sent to a replica only with a recent proof that it is not leaving: an
//! announcement or a successful probe.

mod cache;
mod choice;
mod replica;

use std::collections;

use bw_wire::{backend, fingerprint, name};
use rand::Rng;

pub use choice::{Choice, Request, Sharing, Target, Unavailable};

use crate::pacer;

use replica::Replica;

/// One in this many replicas of a model may be reserved for isolated runs.
const RESERVED_DIVISOR: usize = 4;

/// Whether a replica may be reserved for an isolated run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// It may be reserved.
    Allowed,
    /// Too many other replicas of its models are reserved.
    LimitReached,
    /// No other usable replica has one of its models.
    LastReplica,
}

/// Settings of a [`Router`].
#[derive(Clone, Debug)]
pub struct Builder {
    pub(crate) sample_size: usize,
    pub(crate) tie_margin: f32,
    pub(crate) prefix_affinity: f32,
    pub(crate) cached_blocks: usize,
    pub(crate) domain: Option<name::Name>,
    pub(crate) domain_weight: f32,
    pub(crate) slow_start_ms: u64,
    pub(crate) report_half_life_ms: u64,
    pub(crate) fleet_half_life_ms: u64,
    pub(crate) unexplained_weight: f32,
    pub(crate) home_affinity: f32,
    pub(crate) recent_weight: f32,
    pub(crate) recent_half_life_ms: u64,
    pub(crate) recent_batch_weight: f32,
    pub(crate) proof_max_age_ms: u64,
    pub(crate) forget_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            sample_size: 2,
            tie_margin: 0.02,
            prefix_affinity: 3.0,
            cached_blocks: 65_536,
            domain: None,
            domain_weight: 0.0,
            slow_start_ms: 5_000,
            report_half_life_ms: 500,
            fleet_half_life_ms: 2_000,
            unexplained_weight: 0.5,
            home_affinity: 2.0,
            recent_weight: 1.0,
            recent_half_life_ms: 50,
            recent_batch_weight: 0.5,
            proof_max_age_ms: backend::PROOF_MAX_AGE_MS,
            forget_ms: 60_000,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets how many randomly sampled replicas are compared; at least 1.
    pub fn sample_size(mut self, replicas: usize) -> Builder {
        self.sample_size = replicas.max(1);
        self
    }

    /// Sets the difference to the best score up to which replicas count as equal.
    /// One of them is chosen at random.
    pub fn tie_margin(mut self, score: f32) -> Builder {
        self.tie_margin = score.max(0.0);
        self
    }

    /// Sets the bonus of an idle replica that has the whole prefix cached, as a share
    /// of its capacity.
    pub fn prefix_affinity(mut self, share: f32) -> Builder {
        self.prefix_affinity = share.max(0.0);
        self
    }

    /// Sets how many prefix blocks each of the two generations of the index holds.
    pub fn cached_blocks(mut self, blocks: usize) -> Builder {
        self.cached_blocks = blocks.max(1);
        self
    }

    /// Sets the own failure domain, and the penalty of replicas in other ones as a
    /// share of their capacity.
    pub fn failure_domain(mut self, domain: name::Name, weight: f32) -> Builder {
        self.domain = Some(domain);
        self.domain_weight = weight.max(0.0);
        self
    }

    /// Sets the duration of the slow start, in which a replica that has just become
    /// ready receives less than its share of the load.
    pub fn slow_start_ms(mut self, duration_ms: u64) -> Builder {
        self.slow_start_ms = duration_ms;
        self
    }

    /// Sets the half-life of the weight of a load report.
    pub fn report_half_life_ms(mut self, duration_ms: u64) -> Builder {
        self.report_half_life_ms = duration_ms.max(1);
        self
    }

    /// Sets the half-life of the weight of the other entry VMs' counts.
    pub fn fleet_half_life_ms(mut self, duration_ms: u64) -> Builder {
        self.fleet_half_life_ms = duration_ms.max(1);
        self
    }

    /// Sets the weight of reported requests that the entry VMs' counts do not
    /// include. They are mostly batch streams, that is batch items that run as streamed
    /// requests, which yield to online work.
    pub fn unexplained_weight(mut self, weight: f32) -> Builder {
        self.unexplained_weight = weight.clamp(0.0, 1.0);
        self
    }

    /// Sets the bonus of an idle home replica, as a share of its capacity; see
    /// [`Router::set_home`].
    pub fn home_affinity(mut self, share: f32) -> Builder {
        self.home_affinity = share.max(0.0);
        self
    }

    /// Sets the penalty for each recently sent request, as a share of the replica's
    /// capacity, and its half-life.
    ///
    /// A first token waits for the prefills that run before its own, and hardly for
    /// requests that are decoding. Requests in flight, which mostly decode, are a poor
    /// measure of that; requests sent within the last steps are a good one.
    pub fn recent_weight(mut self, share: f32, half_life_ms: u64) -> Builder {
        self.recent_weight = share.max(0.0);
        self.recent_half_life_ms = half_life_ms.max(1);
        self
    }

    /// Sets the weight of a batch stream with a long prompt among recently sent
    /// requests, relative to an online request; see [`Router::batch_sent`].
    pub fn recent_batch_weight(mut self, share: f32) -> Builder {
        self.recent_batch_weight = share.max(0.0);
        self
    }

    /// Sets the age of the last proof that it is not leaving from which on a replica
    /// is not used.
    pub fn proof_max_age_ms(mut self, age_ms: u64) -> Builder {
        self.proof_max_age_ms = age_ms;
        self
    }

    /// Builds a router that knows no replicas yet.
    pub fn build(self) -> Router {
        Router {
            cache: cache::Cache::new(self.cached_blocks),
            settings: self,
            replicas: Vec::new(),
            free_slots: Vec::new(),
            slots: collections::BTreeMap::new(),
            full_index: Index::default(),
            home_index: Index::default(),
            home_ids: collections::BTreeSet::new(),
            fleet_ms: 0,
            drained: collections::BTreeSet::new(),
        }
    }
}

/// Slots of the replicas by model and by plain service.
#[derive(Debug, Default)]
struct Index {
    models: collections::HashMap<name::Name, Vec<usize>>,
    services: collections::HashMap<name::Name, Vec<usize>>,
}

impl Index {
    fn get(&self, target: Target<'_>) -> &[usize] {
        let slots = match target {
            Target::Model { model, .. } => self.models.get(model),
            Target::Service(service) => self.services.get(service),
        };
        slots.map(Vec::as_slice).unwrap_or_default()
    }

    fn insert(&mut self, announcement: &backend::Announcement, slot: usize) {
        match announcement.kind {
            backend::Kind::Engine => {
                for loaded in &announcement.loaded {
                    let list = self.models.entry(loaded.model.clone()).or_default();
                    if !list.contains(&slot) {
                        list.push(slot);
                    }
                }
            }
            backend::Kind::Service => {
                let list = self.services.entry(announcement.service.clone());
                list.or_default().push(slot);
            }
        }
    }

    fn remove(&mut self, slot: usize) {
        for map in [&mut self.models, &mut self.services] {
            for list in map.values_mut() {
                list.retain(|&other| other != slot);
            }
            map.retain(|_, list| !list.is_empty());
        }
    }
}

/// The backend servers as known to one entry VM.
#[derive(Debug)]
pub struct Router {
    settings: Builder,
    /// Replicas by slot; removed ones stay until their slot is reused.
    replicas: Vec<Replica>,
    free_slots: Vec<usize>,
    slots: collections::BTreeMap<name::Name, usize>,
    /// Index of all replicas, and of the home replicas; see [`Router::set_home`].
    full_index: Index,
    home_index: Index,
    home_ids: collections::BTreeSet<name::Name>,
    fleet_ms: u64,
    drained: collections::BTreeSet<name::Name>,
    cache: cache::Cache,
}

impl Router {
    /// Applies an announcement that the backend server itself sent.
    ///
    /// A duplicate of the latest one may have been in transit for any time, so that
    /// it is no new proof that the server is not leaving.
    pub fn apply_direct_announcement(&mut self, announcement: &backend::Announcement, now_ms: u64) {
        let known = self.get(&announcement.id);
        let is_duplicate = known.is_some_and(|replica| replica.is_current(announcement));
        if !is_duplicate {
            self.apply_announcement(announcement, 0, now_ms);
        }
    }

    /// Applies an announcement that is `age_ms` old, received directly or through
    /// control. Reordered announcements have no effect. Repeated ones only update
    /// the proof and the load report.
    pub fn apply_announcement(
        &mut self,
        announcement: &backend::Announcement,
        age_ms: u64,
        now_ms: u64,
    ) {
        let at_ms = now_ms.saturating_sub(age_ms);
        let Some(&slot) = self.slots.get(&announcement.id) else {
            self.insert(announcement, at_ms, now_ms);
            return;
        };
        let replica = &mut self.replicas[slot];
        if replica.is_older(announcement) {
            return;
        }
        if announcement.incarnation > replica.announcement.incarnation {
            replica.restart(announcement, at_ms, now_ms);
            self.index(slot);
            return;
        }
        let changed = replica.announcement.loaded != announcement.loaded
            || replica.announcement.service != announcement.service;
        replica.renew(announcement, at_ms, now_ms);
        if changed {
            self.index(slot);
        }
    }

    /// Records a successful probe of `/healthz` that was sent at `sent_ms`.
    pub fn probe_succeeded(&mut self, id: &str, incarnation: u64, sent_ms: u64) {
        if let Some(replica) = self.get_mut(id)
            && replica.announcement.incarnation == incarnation
        {
            replica.proof_ms = replica.proof_ms.max(sent_ms);
        }
    }

    /// Marks an incarnation as leaving. Only a later incarnation resets this.
    pub fn mark_leaving(&mut self, id: &str, incarnation: u64) {
        if let Some(replica) = self.get_mut(id)
            && replica.announcement.incarnation <= incarnation
        {
            replica.leaving = true;
        }
    }

    /// Replaces the set of drained backend servers.
    pub fn set_drained(&mut self, drained: &collections::BTreeSet<name::Name>) {
        self.drained.clone_from(drained);
        for replica in &mut self.replicas {
            replica.drained = drained.contains(&replica.announcement.id);
        }
    }

    /// Replaces the set of home replicas: those whose batch work this entry VM owns.
    ///
    /// Each replica is home to one entry VM, which prefers it for its requests.
    /// Entry VMs, which do not know each other's latest requests, then collide less
    /// often, and batch work yields without a message to another entry VM.
    pub fn set_home(&mut self, home: &collections::BTreeSet<name::Name>) {
        if self.home_ids == *home {
            return;
        }
        self.home_ids.clone_from(home);
        let slots: Vec<usize> = self.slots.values().copied().collect();
        for slot in slots {
            self.index(slot);
        }
    }

    /// Sets the other entry VMs' numbers of online requests in flight from a `sync`
    /// answer. A backend server without an entry has none.
    pub fn set_fleet_online(
        &mut self,
        online: &collections::BTreeMap<name::Name, u32>,
        now_ms: u64,
    ) {
        self.fleet_ms = now_ms;
        for replica in &mut self.replicas {
            replica.fleet_online = online.get(&replica.announcement.id).copied().unwrap_or(0);
            replica.fleet_ms = now_ms;
        }
    }

    /// Applies cache events of an engine. After a gap in their sequence, earlier
    /// knowledge of its cache has less weight; after a restart it has none.
    pub fn apply_cache_events(&mut self, events: &backend::CacheEvents, now_ms: u64) {
        let Some(&slot) = self.slots.get(&events.id) else {
            return;
        };
        let replica = &mut self.replicas[slot];
        if replica.announcement.incarnation != events.incarnation {
            return;
        }
        let count = (events.stored.len() + events.removed.len()) as u64;
        if events.sequence < replica.next_event {
            return;
        }
        if events.sequence > replica.next_event {
            replica.gap = replica.gap.wrapping_add(1);
        }
        replica.next_event = events.sequence + count.max(1);
        let holder = replica.holder(slot);
        for &block in &events.stored {
            self.cache.insert(block, holder, now_ms);
        }
        for &block in &events.removed {
            self.cache.remove(block, holder);
        }
    }

    /// Sets whether a replica is ejected, and the factor by which its load is scaled
    /// up, from 1 to 16.
    pub fn set_health(&mut self, id: &str, excluded: bool, penalty: f32) {
        if let Some(replica) = self.get_mut(id) {
            replica.excluded = excluded;
            replica.penalty = if penalty.is_finite() {
                penalty.clamp(1.0, 16.0)
            } else {
                1.0
            };
        }
    }

    /// Restarts the slow start of a replica, for example after an ejection.
    pub fn restart_slow_start(&mut self, id: &str, now_ms: u64) {
        if let Some(replica) = self.get_mut(id) {
            replica.joined_ms = now_ms;
        }
    }

    /// Reserves a replica for the isolated run of a suspect: it receives no other
    /// new work until `until_ms`. 0 ends the reservation.
    pub fn reserve(&mut self, id: &str, until_ms: u64) {
        if let Some(replica) = self.get_mut(id) {
            replica.reserved_until_ms = until_ms;
        }
    }

    /// Returns whether a replica may be reserved for an isolated run. At most a
    /// quarter of the replicas of its models, or one of fewer than eight, is
    /// reserved at a time, so that the rest can carry the online load.
    pub fn check_reservation(&self, id: &str, now_ms: u64) -> Reservation {
        let Some(candidate) = self.get(id) else {
            return Reservation::LastReplica;
        };
        let models = &candidate.announcement.loaded;
        let shares_model = |replica: &&Replica| {
            let loaded = &replica.announcement.loaded;
            let shares =
                |known: &backend::Loaded| models.iter().any(|model| model.model == known.model);
            loaded.iter().any(shares)
        };
        let (mut usable, mut reserved) = (0, 0);
        for replica in self.slots.values().map(|&slot| &self.replicas[slot]) {
            match replica.unavailable_reason(&self.settings, now_ms) {
                None if shares_model(&replica) => usable += 1,
                Some(Unavailable::Reserved) if shares_model(&replica) => reserved += 1,
                _ => {}
            }
        }
        if usable < 2 {
            return Reservation::LastReplica;
        }
        let max_reserved = ((usable + reserved) / RESERVED_DIVISOR).max(1);
        if reserved < max_reserved {
            Reservation::Allowed
        } else {
            Reservation::LimitReached
        }
    }

    /// Counts a request as in flight on the chosen replica and records its prefix as
    /// cached there.
    pub fn begin(&mut self, choice: &Choice, request: &Request<'_>, now_ms: u64) {
        let Some(&slot) = self.slots.get(&choice.id) else {
            return;
        };
        let replica = &mut self.replicas[slot];
        if replica.announcement.incarnation != choice.incarnation {
            return;
        }
        replica.change_online(1, now_ms);
        replica.record_sent(&self.settings, 1.0, now_ms);
        if request.sharing != Sharing::Any {
            replica.suspects += 1;
        }
        let holder = replica.holder(slot);
        for &block in request.prefix {
            self.cache.insert(block, holder, now_ms);
        }
    }

    /// Records that this entry VM sends a batch stream to a replica, with the number
    /// of tokens to prefill. The replica prefills them in its next step, before the
    /// tokens of any online request that is sent there later.
    pub fn batch_sent(&mut self, id: &str, tokens: u32, now_ms: u64) {
        let Some(&slot) = self.slots.get(id) else {
            return;
        };
        let share = self.settings.recent_batch_weight * pacer::prefill_cost(tokens);
        self.replicas[slot].record_sent(&self.settings, share, now_ms);
    }

    /// Counts a request that [`Router::begin`] counted as no longer in flight.
    pub fn end(&mut self, choice: &Choice, sharing: Sharing, now_ms: u64) {
        let Some(replica) = self.get_mut(&choice.id) else {
            return;
        };
        if replica.announcement.incarnation != choice.incarnation {
            return;
        }
        replica.change_online(-1, now_ms);
        if sharing != Sharing::Any {
            replica.suspects = replica.suspects.saturating_sub(1);
        }
    }

    /// Chooses a replica. The caller has to pass the choice to [`Router::begin`]
    /// before it releases the lock that guards the router.
    ///
    /// # Errors
    ///
    /// Fails with the last applicable reason, in the order of [`Unavailable`], why no
    /// replica can be used.
    pub fn choose<R: Rng>(
        &self,
        request: &Request<'_>,
        now_ms: u64,
        random: &mut R,
    ) -> Result<Choice, Unavailable> {
        choice::choose(self, request, now_ms, random)
    }

    /// Returns this entry VM's numbers of online requests in flight by backend
    /// server, without those that have none.
    pub fn online(&self) -> collections::BTreeMap<name::Name, u32> {
        self.slots
            .iter()
            .filter(|&(_, &slot)| self.replicas[slot].online > 0)
            .map(|(id, &slot)| (id.clone(), self.replicas[slot].online))
            .collect()
    }

    /// Returns this entry VM's number of online requests in flight on a backend
    /// server.
    pub fn online_on(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |replica| replica.online)
    }

    /// Returns how many of this entry VM's online requests in flight on a backend
    /// server are suspects.
    pub fn suspects_on(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |replica| replica.suspects)
    }

    /// Returns the other entry VMs' number of online requests on a backend server,
    /// and when it was set.
    pub fn fleet_online_on(&self, id: &str) -> (u32, u64) {
        (
            self.get(id).map_or(0, |replica| replica.fleet_online),
            self.fleet_ms,
        )
    }

    /// Returns when the latest announcement of a backend server was received, here
    /// or by control; `None` for an unknown server.
    pub fn heard_ms(&self, id: &str) -> Option<u64> {
        self.get(id).map(|replica| replica.heard_ms)
    }

    /// Returns whether new work may be sent to a backend server.
    pub fn is_usable(&self, id: &str, now_ms: u64) -> bool {
        self.get(id)
            .is_some_and(|replica| replica.unavailable_reason(&self.settings, now_ms).is_none())
    }

    /// Returns the latest announcement of a backend server; `None` for an unknown
    /// one.
    pub fn announcement(&self, id: &str) -> Option<&backend::Announcement> {
        self.get(id).map(|replica| &replica.announcement)
    }

    /// Returns the backend servers that are not leaving and whose last proof is older
    /// than `age_ms`, so that a probe can renew it before it expires.
    pub fn due_for_probe(&self, age_ms: u64, now_ms: u64) -> Vec<name::Name> {
        self.slots
            .values()
            .map(|&slot| &self.replicas[slot])
            .filter(|replica| !replica.leaving)
            .filter(|replica| now_ms.saturating_sub(replica.proof_ms) > age_ms)
            .map(|replica| replica.announcement.id.clone())
            .collect()
    }

    /// Removes backend servers without a proof for a minute that run no online
    /// request of this entry VM.
    pub fn sweep(&mut self, now_ms: u64) {
        let forget_ms = self.settings.forget_ms;
        let gone: Vec<(name::Name, usize)> = self
            .slots
            .iter()
            .filter(|&(_, &slot)| {
                let replica = &self.replicas[slot];
                replica.online == 0 && now_ms.saturating_sub(replica.proof_ms) > forget_ms
            })
            .map(|(id, &slot)| (id.clone(), slot))
            .collect();
        for (id, slot) in gone {
            self.slots.remove(&id);
            self.unindex(slot);
            self.free_slots.push(slot);
        }
    }

    /// Returns how many leading blocks of a prefix a backend server likely holds.
    pub fn cached_prefix(&self, id: &str, prefix: &[fingerprint::Fingerprint]) -> usize {
        let Some(&slot) = self.slots.get(id) else {
            return 0;
        };
        let holder = self.replicas[slot].holder(slot);
        self.cache.match_length(prefix, holder)
    }

    fn insert(&mut self, announcement: &backend::Announcement, at_ms: u64, now_ms: u64) {
        let mut replica = Replica::new(announcement, at_ms, now_ms);
        replica.drained = self.drained.contains(&announcement.id);
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                replica.epoch = self.replicas[slot].epoch.wrapping_add(1);
                self.replicas[slot] = replica;
                slot
            }
            None => {
                self.replicas.push(replica);
                self.replicas.len() - 1
            }
        };
        self.slots.insert(announcement.id.clone(), slot);
        self.index(slot);
    }

    fn index(&mut self, slot: usize) {
        self.unindex(slot);
        let announcement = &self.replicas[slot].announcement;
        self.full_index.insert(announcement, slot);
        if self.home_ids.contains(&announcement.id) {
            self.home_index.insert(announcement, slot);
        }
    }

    fn unindex(&mut self, slot: usize) {
        self.full_index.remove(slot);
        self.home_index.remove(slot);
    }

    fn get(&self, id: &str) -> Option<&Replica> {
        self.slots.get(id).map(|&slot| &self.replicas[slot])
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Replica> {
        let slot = *self.slots.get(id)?;
        self.replicas.get_mut(slot)
    }
}
