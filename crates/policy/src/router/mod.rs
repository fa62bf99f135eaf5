//! Choice of the backend server that runs a request.
//!
//! A [`Router`] keeps what one entry VM knows of the backend servers: its own
//! requests in flight, which are exact; the other entry VMs' counts, which are
//! up to a `sync` interval old; and load reports, which lag and can be wrong.
//! [`Router::choose`] compares a few randomly drawn replicas and the likely
//! holders of the request's prompt prefix by one score.

mod cache;
mod choice;
mod replica;

use std::collections;

use bw_wire::{backend, fingerprint, name};
use rand::Rng;

pub use choice::{Choice, Request, Sharing, Target, Unavailable};

use crate::pacer;

use replica::Replica;

/// Part of a model's replicas that may be reserved for isolated runs: 1 of 4.
const RESERVED_PART: usize = 4;

/// Whether a replica may be reserved for an isolated run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reservation {
    /// It may.
    Allowed,
    /// Too many others are reserved.
    LimitReached,
    /// No other usable replica has its models.
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

    /// Sets how many randomly drawn replicas are compared; at least 1.
    pub fn sample_size(mut self, replicas: usize) -> Builder {
        self.sample_size = replicas.max(1);
        self
    }

    /// Sets the difference in score below which replicas count as equal.
    pub fn tie_margin(mut self, score: f32) -> Builder {
        self.tie_margin = score.max(0.0);
        self
    }

    /// Sets the share of a replica's capacity that a whole cached prefix is worth
    /// while the replica is idle.
    pub fn prefix_affinity(mut self, share: f32) -> Builder {
        self.prefix_affinity = share.max(0.0);
        self
    }

    /// Sets how many prefix blocks each of the two cache generations remembers.
    pub fn cached_blocks(mut self, blocks: usize) -> Builder {
        self.cached_blocks = blocks.max(1);
        self
    }

    /// Sets the own failure domain and the share of a replica's capacity that
    /// staying in it is worth.
    pub fn failure_domain(mut self, domain: name::Name, weight: f32) -> Builder {
        self.domain = Some(domain);
        self.domain_weight = weight.max(0.0);
        self
    }

    /// Sets how long a replica that just joined gets less than its share.
    pub fn slow_start_ms(mut self, duration_ms: u64) -> Builder {
        self.slow_start_ms = duration_ms;
        self
    }

    /// Sets the age at which a load report counts half.
    pub fn report_half_life_ms(mut self, duration_ms: u64) -> Builder {
        self.report_half_life_ms = duration_ms.max(1);
        self
    }

    /// Sets the age at which the other entry VMs' counts count half.
    pub fn fleet_half_life_ms(mut self, duration_ms: u64) -> Builder {
        self.fleet_half_life_ms = duration_ms.max(1);
        self
    }

    /// Sets the weight of reported requests that no count explains. They are
    /// mostly batch streams, which give way to online work.
    pub fn unexplained_weight(mut self, weight: f32) -> Builder {
        self.unexplained_weight = weight.clamp(0.0, 1.0);
        self
    }

    /// Sets the share of a replica's capacity that sending to an idle home
    /// replica is worth; see [`Router::set_home`].
    pub fn home_affinity(mut self, share: f32) -> Builder {
        self.home_affinity = share.max(0.0);
        self
    }

    /// Sets the share of a replica's capacity that a request sent just now is
    /// worth, and the age at which it counts half.
    ///
    /// A first token waits for the prompts that are computed before it, and
    /// hardly for streams that decode. Requests in flight, which mostly decode,
    /// say little about that; requests sent within the last steps do.
    pub fn recent_weight(mut self, share: f32, half_life_ms: u64) -> Builder {
        self.recent_weight = share.max(0.0);
        self.recent_half_life_ms = half_life_ms.max(1);
        self
    }

    /// Sets how much of an online request a batch stream with a long prompt counts
    /// in what was sent just now; see [`Router::batch_sent`].
    pub fn recent_batch_weight(mut self, share: f32) -> Builder {
        self.recent_batch_weight = share.max(0.0);
        self
    }

    /// Sets the age of the last proof of not leaving beyond which a replica is
    /// not used.
    pub fn proof_max_age_ms(mut self, age_ms: u64) -> Builder {
        self.proof_max_age_ms = age_ms;
        self
    }

    /// Builds an empty router.
    pub fn build(self) -> Router {
        Router {
            cache: cache::Cache::new(self.cached_blocks),
            settings: self,
            replicas: Vec::new(),
            free: Vec::new(),
            slots: collections::BTreeMap::new(),
            all: Index::default(),
            homes: Index::default(),
            home: collections::BTreeSet::new(),
            fleet_ms: 0,
            drained: collections::BTreeSet::new(),
        }
    }
}

/// Replicas by what they serve.
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

/// What one entry VM knows of the backend servers.
#[derive(Debug)]
pub struct Router {
    settings: Builder,
    replicas: Vec<Replica>,
    free: Vec<usize>,
    slots: collections::BTreeMap<name::Name, usize>,
    all: Index,
    homes: Index,
    home: collections::BTreeSet<name::Name>,
    fleet_ms: u64,
    drained: collections::BTreeSet<name::Name>,
    cache: cache::Cache,
}

impl Router {
    /// Takes an announcement that arrives from the backend server itself.
    ///
    /// A copy of a known one may have been under way for any time, so that it is
    /// no new proof of not leaving.
    pub fn apply_direct_announcement(&mut self, announcement: &backend::Announcement, now_ms: u64) {
        let known = self.get(&announcement.id);
        let is_copy = known.is_some_and(|replica| replica.is_current(announcement));
        if !is_copy {
            self.apply_announcement(announcement, 0, now_ms);
        }
    }

    /// Takes an announcement that is `age_ms` old, heard directly or through
    /// control. Repeated and reordered announcements have no effect beyond the
    /// proof that they carry.
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

    /// Takes a successful probe of `/healthz` that was sent at `sent_ms`.
    pub fn probe_succeeded(&mut self, id: &str, incarnation: u64, sent_ms: u64) {
        if let Some(replica) = self.get_mut(id)
            && replica.announcement.incarnation == incarnation
        {
            replica.proof_ms = replica.proof_ms.max(sent_ms);
        }
    }

    /// Marks an incarnation as leaving. Nothing but a later incarnation undoes it.
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

    /// Replaces the set of home replicas: those whose batch work this entry VM
    /// owns.
    ///
    /// Each replica is home to one entry VM, which sends its requests there
    /// first. What entry VMs do not know of each other, the requests of the
    /// last moments, then collides less, and batch work gives way without a
    /// message to another entry VM.
    pub fn set_home(&mut self, home: &collections::BTreeSet<name::Name>) {
        if self.home == *home {
            return;
        }
        self.home.clone_from(home);
        let slots: Vec<usize> = self.slots.values().copied().collect();
        for slot in slots {
            self.index(slot);
        }
    }

    /// Takes the other entry VMs' online requests in flight from a `sync`
    /// answer. A backend server without an entry has none.
    pub fn set_fleet_online(
        &mut self,
        online: &collections::BTreeMap<name::Name, u32>,
        now_ms: u64,
    ) {
        self.fleet_ms = now_ms;
        for replica in &mut self.replicas {
            replica.fleet = online.get(&replica.announcement.id).copied().unwrap_or(0);
            replica.fleet_ms = now_ms;
        }
    }

    /// Takes cache events. A gap or a restart makes what was known of the
    /// engine's cache doubtful.
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

    /// Sets whether health rules exclude a replica, and the factor by which its
    /// load counts as more than it is.
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

    /// Starts the slow start of a replica again, for example after an ejection.
    pub fn restart_slow_start(&mut self, id: &str, now_ms: u64) {
        if let Some(replica) = self.get_mut(id) {
            replica.joined_ms = now_ms;
        }
    }

    /// Keeps a replica free of new work until `until_ms`, for the isolated run
    /// of a suspect; 0 ends the reservation.
    pub fn reserve(&mut self, id: &str, until_ms: u64) {
        if let Some(replica) = self.get_mut(id) {
            replica.reserved_ms = until_ms;
        }
    }

    /// Returns whether a replica may be reserved for an isolated run. At most a
    /// quarter of the replicas of its models, or one of fewer than eight, is
    /// reserved at a time, so that the rest can take the online load.
    pub fn check_reservation(&self, id: &str, now_ms: u64) -> Reservation {
        let Some(wanted) = self.get(id) else {
            return Reservation::LastReplica;
        };
        let models = &wanted.announcement.loaded;
        let is_kin = |replica: &&Replica| {
            let loaded = &replica.announcement.loaded;
            let shares =
                |known: &backend::Loaded| models.iter().any(|model| model.model == known.model);
            loaded.iter().any(shares)
        };
        let (mut usable, mut reserved) = (0, 0);
        for replica in self.slots.values().map(|&slot| &self.replicas[slot]) {
            match replica.obstacle(&self.settings, now_ms) {
                None if is_kin(&replica) => usable += 1,
                Some(Unavailable::Reserved) if is_kin(&replica) => reserved += 1,
                _ => {}
            }
        }
        if usable < 2 {
            return Reservation::LastReplica;
        }
        let most = ((usable + reserved) / RESERVED_PART).max(1);
        if reserved < most {
            Reservation::Allowed
        } else {
            Reservation::LimitReached
        }
    }

    /// Counts a request as in flight on the chosen replica and remembers its
    /// prefix there.
    pub fn begin(&mut self, choice: &Choice, request: &Request<'_>, now_ms: u64) {
        let Some(&slot) = self.slots.get(&choice.id) else {
            return;
        };
        let replica = &mut self.replicas[slot];
        if replica.announcement.incarnation != choice.incarnation {
            return;
        }
        replica.change_online(1, now_ms);
        replica.note_sent(&self.settings, 1.0, now_ms);
        if request.sharing != Sharing::Any {
            replica.suspects += 1;
        }
        let holder = replica.holder(slot);
        for &block in request.prefix {
            self.cache.insert(block, holder, now_ms);
        }
    }

    /// Notes a batch stream that this entry VM sends to a replica now, with the
    /// tokens to prefill. They are computed in the replica's next step, before the
    /// prompt of an online request that is sent there after it.
    pub fn batch_sent(&mut self, id: &str, tokens: u32, now_ms: u64) {
        let Some(&slot) = self.slots.get(id) else {
            return;
        };
        let share = self.settings.recent_batch_weight * pacer::prefill_cost(tokens);
        self.replicas[slot].note_sent(&self.settings, share, now_ms);
    }

    /// Counts a request that [`Router::begin`] counted as no longer in flight.
    pub fn end(&mut self, choice: &Choice, fit: Sharing, now_ms: u64) {
        let Some(replica) = self.get_mut(&choice.id) else {
            return;
        };
        if replica.announcement.incarnation != choice.incarnation {
            return;
        }
        replica.change_online(-1, now_ms);
        if fit != Sharing::Any {
            replica.suspects = replica.suspects.saturating_sub(1);
        }
    }

    /// Chooses a replica. The caller passes the choice to [`Router::begin`]
    /// before it gives up the lock under which it called.
    ///
    /// # Errors
    ///
    /// Fails with the main reason why no replica can be used.
    pub fn choose<R: Rng>(
        &self,
        request: &Request<'_>,
        now_ms: u64,
        random: &mut R,
    ) -> Result<Choice, Unavailable> {
        choice::choose(self, request, now_ms, random)
    }

    /// Returns the own online requests in flight by backend server.
    pub fn online(&self) -> collections::BTreeMap<name::Name, u32> {
        self.slots
            .iter()
            .filter(|&(_, &slot)| self.replicas[slot].online > 0)
            .map(|(id, &slot)| (id.clone(), self.replicas[slot].online))
            .collect()
    }

    /// Returns the own online requests in flight on one backend server.
    pub fn online_on(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |replica| replica.online)
    }

    /// Returns the own online requests on one backend server that are suspects.
    pub fn suspects_on(&self, id: &str) -> u32 {
        self.get(id).map_or(0, |replica| replica.suspects)
    }

    /// Returns the other entry VMs' online requests on one backend server, and
    /// when they were learnt.
    pub fn fleet_online_on(&self, id: &str) -> (u32, u64) {
        (
            self.get(id).map_or(0, |replica| replica.fleet),
            self.fleet_ms,
        )
    }

    /// Returns when the latest renewal of a backend server was heard.
    pub fn heard_ms(&self, id: &str) -> Option<u64> {
        self.get(id).map(|replica| replica.heard_ms)
    }

    /// Returns whether new work may be sent to a backend server.
    pub fn is_usable(&self, id: &str, now_ms: u64) -> bool {
        self.get(id)
            .is_some_and(|replica| replica.obstacle(&self.settings, now_ms).is_none())
    }

    /// Returns the latest announcement of a backend server.
    pub fn announcement(&self, id: &str) -> Option<&backend::Announcement> {
        self.get(id).map(|replica| &replica.announcement)
    }

    /// Returns the usable backend servers whose last proof is older than
    /// `age_ms`, so that they can be probed before they fall out of use.
    pub fn due_for_probe(&self, age_ms: u64, now_ms: u64) -> Vec<name::Name> {
        self.slots
            .values()
            .map(|&slot| &self.replicas[slot])
            .filter(|replica| !replica.leaving)
            .filter(|replica| now_ms.saturating_sub(replica.proof_ms) > age_ms)
            .map(|replica| replica.announcement.id.clone())
            .collect()
    }

    /// Forgets backend servers that were not heard of for a minute and run
    /// nothing of this entry VM.
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
            self.free.push(slot);
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
        let slot = match self.free.pop() {
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
        self.all.insert(announcement, slot);
        if self.home.contains(&announcement.id) {
            self.homes.insert(announcement, slot);
        }
    }

    fn unindex(&mut self, slot: usize) {
        self.all.remove(slot);
        self.homes.remove(slot);
    }

    fn get(&self, id: &str) -> Option<&Replica> {
        self.slots.get(id).map(|&slot| &self.replicas[slot])
    }

    fn get_mut(&mut self, id: &str) -> Option<&mut Replica> {
        let slot = *self.slots.get(id)?;
        self.replicas.get_mut(slot)
    }
}
