//! Placement of models on engines: declared intent against what is announced.
//!
//! A [`Placement`] names the next orders to send. It replaces nothing that
//! works unless something else is short, rolls versions a few replicas at a
//! time above a floor of ready ones, and stays within the weight store's rate.

mod engine;
mod store;

use std::collections;

use bw_wire::{backend, intent, name, sync};

use engine::Engine;
use store::Store;

/// Settings of a [`Placement`].
#[derive(Clone, Debug)]
pub struct Builder {
    grace_ms: u64,
    settle_ms: u64,
    order_timeout_ms: u64,
    load_timeout_ms: u64,
    rollout_share: f32,
    warm_up_ms: u64,
    order_ms: u64,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            grace_ms: 15_000,
            settle_ms: 60_000,
            order_timeout_ms: 5_000,
            load_timeout_ms: 600_000,
            rollout_share: 0.25,
            warm_up_ms: 0,
            order_ms: 0,
        }
    }
}

impl Builder {
    /// Starts from the defaults.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Sets how long a silent engine still counts as placed, so that a restart
    /// does not move its model.
    pub fn grace_ms(mut self, duration_ms: u64) -> Builder {
        self.grace_ms = duration_ms;
        self
    }

    /// Sets how long an engine keeps a model before another model may take it.
    pub fn settle_ms(mut self, duration_ms: u64) -> Builder {
        self.settle_ms = duration_ms;
        self
    }

    /// Sets how long an order may stay without visible effect, and how long a
    /// load may take.
    pub fn timeouts(mut self, order_ms: u64, load_ms: u64) -> Builder {
        self.order_timeout_ms = order_ms;
        self.load_timeout_ms = load_ms.max(order_ms);
        self
    }

    /// Sets the share of a model's replicas that roll at once; at least one does.
    pub fn rollout_share(mut self, share: f32) -> Builder {
        self.rollout_share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how long a new leader waits until all engines have been reported and
    /// the lease of the previous leader is over, and how long it waits more
    /// before orders to engines that ignore fencing numbers, so that no order of
    /// the previous leader is under way.
    pub fn warm_up(mut self, warm_up_ms: u64, order_ms: u64) -> Builder {
        self.warm_up_ms = warm_up_ms;
        self.order_ms = order_ms;
        self
    }

    /// Builds a placement without engines.
    pub fn build(self) -> Placement {
        Placement {
            settings: self,
            engines: collections::BTreeMap::new(),
            store: Store::default(),
            since_ms: 0,
            blocked: Vec::new(),
            missing: collections::BTreeMap::new(),
        }
    }
}

/// An order that should be sent next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The backend server.
    pub backend: name::Name,
    /// What it is to do.
    pub action: backend::Action,
    /// Megabytes that this fetches from the weight store.
    pub fetch_mb: u64,
    /// Why, for logs and counters.
    pub reason: Reason,
}

/// Why an order is sent, for counters.
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
pub enum Reason {
    /// The model has fewer replicas than declared.
    Missing,
    /// The replica has another version or other adapters than declared.
    Outdated,
    /// An outdated replica beyond the declared number.
    Surplus,
}

/// Why a model is not as declared and no order helps now, for operators.
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
pub enum Blocker {
    /// No engine of the deployment is free.
    NoEngine,
    /// Rolling one more replica would go below the floor of ready ones.
    Floor,
    /// The weight store's rate does not allow another fetch yet.
    WeightStore,
}

/// Orders in progress and the engines as last seen.
#[derive(Debug)]
pub struct Placement {
    settings: Builder,
    engines: collections::BTreeMap<name::Name, Engine>,
    store: Store,
    since_ms: u64,
    blocked: Vec<(name::Name, Blocker)>,
    missing: collections::BTreeMap<name::Name, u32>,
}

impl Placement {
    /// Forgets everything at the beginning of a leadership.
    pub fn reset(&mut self, since_ms: u64) {
        let settings = self.settings.clone();
        *self = Placement {
            since_ms,
            ..settings.build()
        };
    }

    /// Returns the orders to send next. An order counts as sent only after
    /// [`Placement::ordered`].
    pub fn plan(
        &mut self,
        intent: &intent::Intent,
        backends: &[sync::Heard],
        now_ms: u64,
    ) -> Vec<Order> {
        self.observe(backends, now_ms);
        self.store.configure(&intent.weight_store, now_ms);
        self.blocked.clear();
        self.missing.clear();
        if now_ms < self.since_ms + self.settings.warm_up_ms {
            return Vec::new();
        }
        let mut round = Round {
            budget_mb: self.store.available_mb(now_ms),
            orders: Vec::new(),
            used: collections::BTreeSet::new(),
        };
        // Models furthest below their floor come first.
        let mut models: Vec<(&name::Name, &intent::Model)> = intent.models.iter().collect();
        models.sort_by_key(|(name, model)| {
            let ready = self.count_ready(intent, name, &round, now_ms);
            (ready >= model.min_ready.min(model.replicas), *name)
        });
        for &(name, model) in &models {
            self.fill(intent, name, model, &mut round, now_ms);
        }
        for &(name, model) in &models {
            self.roll(intent, name, model, &mut round, now_ms);
        }
        self.count_missing(intent, &round);
        round.orders
    }

    /// Notes that an order was recorded and is being sent.
    pub fn ordered(&mut self, order: &Order, now_ms: u64) {
        self.store.take(order.fetch_mb, now_ms);
        if let Some(engine) = self.engines.get_mut(&order.backend) {
            engine.order(order.action.clone(), order.fetch_mb, now_ms);
        }
    }

    /// Notes that a backend server refused an order or did not answer.
    pub fn failed(&mut self, backend: &str, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend)
            && engine.is_ordered()
        {
            engine.fail(now_ms);
        }
    }

    /// Notes that an order was recorded but not sent, as the lease of this
    /// leader was too short. The engine is not to blame.
    pub fn unsent(&mut self, backend: &str, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.cancel();
            engine.pause(now_ms);
        }
    }

    /// Notes that the replicated weight-store budget refused an order, which
    /// was not sent.
    pub fn throttled(&mut self, backend: &str, retry_ms: u64, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend) {
            self.store.put_back(engine.cancel());
        }
        self.store.wait(retry_ms, now_ms);
    }

    /// Returns the models that the last plan could not bring further, and why.
    pub fn blocked(&self) -> &[(name::Name, Blocker)] {
        &self.blocked
    }

    /// Returns how many replicas as declared each model lacks after the last
    /// plan, without those that are ordered.
    pub fn missing(&self) -> &collections::BTreeMap<name::Name, u32> {
        &self.missing
    }

    fn observe(&mut self, backends: &[sync::Heard], now_ms: u64) {
        for heard in backends {
            let announcement = &heard.announcement;
            if announcement.kind != backend::Kind::Engine {
                continue;
            }
            let heard_ms = now_ms.saturating_sub(heard.age_ms);
            match self.engines.get_mut(&announcement.id) {
                Some(engine) => engine.update(announcement, heard_ms, now_ms),
                None => {
                    let engine = Engine::new(announcement, heard_ms, now_ms);
                    self.engines.insert(announcement.id.clone(), engine);
                }
            }
        }
        let settings = &self.settings;
        self.engines.retain(|_, engine| {
            engine.expire(settings.order_timeout_ms, settings.load_timeout_ms, now_ms);
            now_ms.saturating_sub(engine.heard_ms) <= settings.grace_ms
        });
    }

    /// Orders loads for a model that has too few replicas.
    fn fill(
        &mut self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        round: &mut Round,
        now_ms: u64,
    ) {
        let placed = self.count_placed(intent, name, model) + self.count_unknown_loads(model);
        let missing = model.replicas.saturating_sub(placed);
        // While versions roll without slack, a spare engine makes the slack.
        let wants_spare = missing == 0 && self.needs_spare(intent, name, model, round, now_ms);
        for _ in 0..missing.max(u32::from(wants_spare)) {
            let Some(id) = self.pick(intent, name, model, round, now_ms) else {
                if missing > 0 {
                    self.blocked.push((name.clone(), Blocker::NoEngine));
                }
                return;
            };
            let fetch_mb = self.fetch_mb(&id, name, model);
            if !round.take(fetch_mb, self.store.burst_mb()) {
                self.blocked.push((name.clone(), Blocker::WeightStore));
                return;
            }
            round.push(id, load(name, model), fetch_mb, Reason::Missing);
        }
    }

    /// Orders the next outdated replicas of a model to load what is declared.
    fn roll(
        &mut self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        round: &mut Round,
        now_ms: u64,
    ) {
        let outdated = self.outdated(intent, name, model, round, now_ms);
        let mut current = self.count_current(name, model);
        let at_once = ((model.replicas as f32 * self.settings.rollout_share) as u32).max(1);
        let more = at_once.saturating_sub(self.count_in_progress(name));
        for id in outdated.into_iter().take(more as usize) {
            if !self.keeps_floors(intent, &id, round, now_ms) {
                self.blocked.push((name.clone(), Blocker::Floor));
                return;
            }
            if current >= model.replicas {
                let action = backend::Action::Unload {
                    model: name.clone(),
                };
                round.push(id, action, 0, Reason::Surplus);
            } else {
                let fetch_mb = self.fetch_mb(&id, name, model);
                if !round.take(fetch_mb, self.store.burst_mb()) {
                    self.blocked.push((name.clone(), Blocker::WeightStore));
                    return;
                }
                round.push(id, load(name, model), fetch_mb, Reason::Outdated);
                current += 1;
            }
        }
    }

    /// Picks the engine that is to load a model: an empty one before one whose
    /// model is not needed there, and a failure domain with few replicas first.
    fn pick(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        round: &Round,
        now_ms: u64,
    ) -> Option<name::Name> {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                !round.used.contains(*id)
                    && !intent.drained.contains(*id)
                    && engine.deployment() == &model.deployment
                    && self.obeys(intent, engine, now_ms)
                    && !engine.has_or_gets(name)
                    && self.is_spare(intent, engine, round, now_ms)
                    && self.keeps_floors(intent, id, round, now_ms)
            })
            .min_by_key(|(id, engine)| {
                let neighbours = self.count_in_domain(name, engine.domain(), round);
                (!engine.models().is_empty(), neighbours, (*id).clone())
            })
            .map(|(id, _)| id.clone())
    }

    /// Returns whether an engine can be ordered now. One that ignores fencing
    /// numbers could still get an order of the previous leader for a while.
    fn obeys(&self, intent: &intent::Intent, engine: &Engine, now_ms: u64) -> bool {
        let settled_ms = self.since_ms + self.settings.warm_up_ms + self.settings.order_ms;
        let checks = checks_fencing(intent, engine.deployment()) || now_ms >= settled_ms;
        checks && engine.takes_orders(now_ms)
    }

    /// Returns whether every model that an engine serves stays above its floor
    /// without it. An order replaces everything that an engine has loaded.
    fn keeps_floors(
        &self,
        intent: &intent::Intent,
        id: &name::Name,
        round: &Round,
        now_ms: u64,
    ) -> bool {
        let Some(engine) = self.engines.get(id) else {
            return false;
        };
        let mut served = engine
            .loaded_models()
            .filter(|held| self.serves(intent, id, engine, held, round, now_ms));
        served.all(|held| {
            let floor = intent.models.get(held).map_or(0, |model| model.min_ready);
            floor == 0 || self.count_ready(intent, held, round, now_ms) > floor
        })
    }

    fn fetch_mb(&self, id: &name::Name, name: &name::Name, model: &intent::Model) -> u64 {
        let engine = self.engines.get(id);
        engine.map_or(model.size_mb, |engine| engine.fetch_mb(name, model))
    }

    /// Returns whether an engine can change its model: it is empty, or its
    /// model is not declared, or has more replicas than declared and the engine
    /// has held it for a while.
    fn is_spare(
        &self,
        intent: &intent::Intent,
        engine: &Engine,
        round: &Round,
        now_ms: u64,
    ) -> bool {
        engine.models().into_iter().all(|held| {
            let Some(model) = intent.models.get(held) else {
                return true;
            };
            if model.deployment != *engine.deployment() {
                return true;
            }
            let taken = round
                .used
                .iter()
                .filter_map(|id| self.engines.get(id))
                .filter(|other| other.has_or_gets(held))
                .count() as u32;
            let placed = self.count_placed(intent, held, model).saturating_sub(taken);
            placed > model.replicas && engine.is_settled(self.settings.settle_ms, now_ms)
        })
    }

    /// Returns whether versions have to roll, but the floor leaves no slack.
    fn needs_spare(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        round: &Round,
        now_ms: u64,
    ) -> bool {
        let in_progress = self.count_in_progress(name);
        let outdated = self
            .engines
            .values()
            .filter(|engine| engine.deployment() == &model.deployment)
            .any(|engine| engine.is_ready_with(name, now_ms) && !engine.is_current(name, model));
        let ready = self.count_ready(intent, name, round, now_ms);
        outdated && in_progress == 0 && ready <= model.min_ready
    }

    fn outdated(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        round: &Round,
        now_ms: u64,
    ) -> Vec<name::Name> {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                !round.used.contains(*id)
                    && !intent.drained.contains(*id)
                    && engine.deployment() == &model.deployment
                    && self.obeys(intent, engine, now_ms)
                    && engine.is_ready_with(name, now_ms)
                    && !engine.is_current(name, model)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Counts engines of a model's deployment that have or get it. Drained ones
    /// do not count: they take no new work.
    fn count_placed(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
    ) -> u32 {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                engine.deployment() == &model.deployment
                    && engine.has_or_gets(name)
                    && !engine.is_leaving()
                    && !intent.drained.contains(*id)
            })
            .count() as u32
    }

    /// Counts engines of a deployment that load something nobody here ordered:
    /// orders of an earlier leader.
    fn count_unknown_loads(&self, model: &intent::Model) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.deployment() == &model.deployment && engine.loads_unknown())
            .count() as u32
    }

    /// Counts engines that serve a model and keep it in this round.
    fn count_ready(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        round: &Round,
        now_ms: u64,
    ) -> u32 {
        self.engines
            .iter()
            .filter(|(id, engine)| self.serves(intent, id, engine, name, round, now_ms))
            .count() as u32
    }

    /// Returns whether an engine serves a model and is not ordered otherwise in
    /// this round. Drained and silent ones do not: they get no new work.
    fn serves(
        &self,
        intent: &intent::Intent,
        id: &name::Name,
        engine: &Engine,
        name: &name::Name,
        round: &Round,
        now_ms: u64,
    ) -> bool {
        engine.is_ready_with(name, now_ms)
            && engine.is_fresh(now_ms)
            && !intent.drained.contains(id)
            && !round.used.contains(id)
    }

    /// Counts engines that have, or are ordered to get, what is declared.
    fn count_current(&self, name: &name::Name, model: &intent::Model) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.deployment() == &model.deployment)
            .filter(|engine| engine.becomes_current(name, model))
            .count() as u32
    }

    fn count_missing(&mut self, intent: &intent::Intent, round: &Round) {
        for (name, model) in &intent.models {
            let ordered = round.count_loads(name);
            let current = self.count_current(name, model) + ordered;
            let missing = model.replicas.saturating_sub(current);
            self.missing.insert(name.clone(), missing);
        }
    }

    fn count_in_progress(&self, name: &name::Name) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.is_in_progress_of(name))
            .count() as u32
    }

    fn count_in_domain(&self, name: &name::Name, domain: &name::Name, round: &Round) -> usize {
        let held = self
            .engines
            .values()
            .filter(|engine| engine.domain() == domain && engine.has_or_gets(name))
            .count();
        let ordered = round
            .orders
            .iter()
            .filter(|order| {
                matches!(&order.action, backend::Action::Load { model, .. } if model == name)
                    && self
                        .engines
                        .get(&order.backend)
                        .is_some_and(|engine| engine.domain() == domain)
            })
            .count();
        held + ordered
    }
}

/// The orders of one plan.
struct Round {
    budget_mb: u64,
    orders: Vec<Order>,
    used: collections::BTreeSet<name::Name>,
}

impl Round {
    /// Takes weight-store budget. A model larger than the burst needs the full
    /// burst, or it could never be fetched.
    fn take(&mut self, size_mb: u64, burst_mb: u64) -> bool {
        if self.budget_mb < size_mb.min(burst_mb) {
            return false;
        }
        self.budget_mb = self.budget_mb.saturating_sub(size_mb);
        true
    }

    fn count_loads(&self, name: &name::Name) -> u32 {
        let loads = self.orders.iter().filter(
            |order| matches!(&order.action, backend::Action::Load { model, .. } if model == name),
        );
        loads.count() as u32
    }

    fn push(&mut self, id: name::Name, action: backend::Action, fetch_mb: u64, reason: Reason) {
        self.used.insert(id.clone());
        self.orders.push(Order {
            backend: id,
            action,
            fetch_mb,
            reason,
        });
    }
}

fn load(name: &name::Name, model: &intent::Model) -> backend::Action {
    backend::Action::Load {
        model: name.clone(),
        version: model.version.clone(),
        adapters: model.adapters.clone(),
    }
}

fn checks_fencing(intent: &intent::Intent, deployment: &name::Name) -> bool {
    let declared = intent.deployments.get(deployment);
    declared.is_some_and(|deployment| deployment.checks_fencing)
}
