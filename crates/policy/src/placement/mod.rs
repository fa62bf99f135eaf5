//! Placement of models on engines: reconciles the announced with the declared
//! state.
//!
//! A [`Placement`] returns the orders to send next. It replaces a loaded model
//! only if another one lacks replicas, updates versions a few replicas at a time
//! while at least the declared minimum stays ready, and keeps to the weight
//! store's rate limit.

mod budget;
mod engine;

use std::collections;

use bw_wire::{backend, intent, name, sync};

use budget::Budget;
use engine::Engine;

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

    /// Sets how long an engine without announcements keeps its model, so that a
    /// restart does not move the model to another engine.
    pub fn grace_ms(mut self, duration_ms: u64) -> Builder {
        self.grace_ms = duration_ms;
        self
    }

    /// Sets how long an engine keeps a model before another model may take it.
    pub fn settle_ms(mut self, duration_ms: u64) -> Builder {
        self.settle_ms = duration_ms;
        self
    }

    /// Sets how long an order may stay without an announced effect before it
    /// counts as failed, and the longer limit for an order that is loading.
    pub fn timeouts(mut self, order_ms: u64, load_ms: u64) -> Builder {
        self.order_timeout_ms = order_ms;
        self.load_timeout_ms = load_ms.max(order_ms);
        self
    }

    /// Sets the share of a model's replicas that a rolling update changes at once;
    /// at least one replica is.
    pub fn rollout_share(mut self, share: f32) -> Builder {
        self.rollout_share = share.clamp(0.0, 1.0);
        self
    }

    /// Sets how long a new leader waits before its first order, until all engines
    /// have been reported and the lease of the previous leader has expired. For
    /// engines that ignore fencing numbers it waits `order_ms` longer, until no
    /// order of the previous leader can still be in flight.
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
            fetch_budget: Budget::default(),
            leader_since_ms: 0,
            blocked: Vec::new(),
            missing: collections::BTreeMap::new(),
        }
    }
}

/// An order that should be sent next.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Order {
    /// The id of the backend server that carries out the order.
    pub backend: name::Name,
    /// The action to carry out.
    pub action: backend::Action,
    /// Megabytes that the action fetches from the weight store.
    pub fetch_mb: u64,
    /// Why it is sent, for logs and counters.
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

/// Why no order can currently bring a model closer to what is declared, for
/// operators.
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
    /// The deployment has no engine to spare.
    NoEngine,
    /// Updating one more replica would leave fewer ready ones than the minimum of
    /// one of its models.
    Floor,
    /// The weight store's rate limit does not allow another fetch yet.
    WeightStore,
}

/// The engines as last announced, and the orders in progress.
#[derive(Debug)]
pub struct Placement {
    settings: Builder,
    engines: collections::BTreeMap<name::Name, Engine>,
    fetch_budget: Budget,
    leader_since_ms: u64,
    blocked: Vec<(name::Name, Blocker)>,
    missing: collections::BTreeMap<name::Name, u32>,
}

impl Placement {
    /// Drops all state when this process becomes the leader.
    pub fn reset(&mut self, leader_since_ms: u64) {
        let settings = self.settings.clone();
        *self = Placement {
            leader_since_ms,
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
        self.update_engines(backends, now_ms);
        self.fetch_budget.configure(&intent.weight_store, now_ms);
        self.blocked.clear();
        self.missing.clear();
        if now_ms < self.leader_since_ms + self.settings.warm_up_ms {
            return Vec::new();
        }
        let mut draft = Draft {
            budget_mb: self.fetch_budget.available_mb(now_ms),
            orders: Vec::new(),
            ordered: collections::BTreeSet::new(),
        };
        // Models with fewer ready replicas than their minimum come first.
        let mut models: Vec<(&name::Name, &intent::Model)> = intent.models.iter().collect();
        models.sort_by_key(|(name, model)| {
            let ready = self.count_ready(intent, name, &draft, now_ms);
            (ready >= model.min_ready.min(model.replicas), *name)
        });
        for &(name, model) in &models {
            self.add_missing(intent, name, model, &mut draft, now_ms);
        }
        for &(name, model) in &models {
            self.update_outdated(intent, name, model, &mut draft, now_ms);
        }
        self.count_missing(intent, &draft);
        draft.orders
    }

    /// Marks an order as recorded and being sent.
    pub fn ordered(&mut self, order: &Order, now_ms: u64) {
        self.fetch_budget.take(order.fetch_mb, now_ms);
        if let Some(engine) = self.engines.get_mut(&order.backend) {
            engine.order(order.action.clone(), order.fetch_mb, now_ms);
        }
    }

    /// Marks the order to a backend server as failed: it was refused or not
    /// answered. The next order waits for a backoff.
    pub fn failed(&mut self, backend: &str, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend)
            && engine.is_ordered()
        {
            engine.fail(now_ms);
        }
    }

    /// Marks an order as recorded but not sent, because the remaining lease of
    /// this leader was too short. This does not count as a failure of the engine.
    pub fn unsent(&mut self, backend: &str, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.cancel();
            engine.delay_orders(now_ms);
        }
    }

    /// Marks an order as not sent, because the replicated weight-store budget
    /// refused it. Fetches are planned again after `retry_ms`.
    pub fn throttled(&mut self, backend: &str, retry_ms: u64, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend) {
            self.fetch_budget.refund(engine.cancel());
        }
        self.fetch_budget.block(retry_ms, now_ms);
    }

    /// Returns the models for which the last plan lacked an order, and why.
    pub fn blocked(&self) -> &[(name::Name, Blocker)] {
        &self.blocked
    }

    /// Returns how many up-to-date replicas each model lacks after the last plan.
    /// Ordered replicas do not count as lacking.
    pub fn missing(&self) -> &collections::BTreeMap<name::Name, u32> {
        &self.missing
    }

    fn update_engines(&mut self, backends: &[sync::Heard], now_ms: u64) {
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

    /// Adds load orders for a model that has too few replicas.
    fn add_missing(
        &mut self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        draft: &mut Draft,
        now_ms: u64,
    ) {
        let placed = self.count_placed(intent, name, model) + self.count_unordered_loads(model);
        let missing = model.replicas.saturating_sub(placed);
        // If a rolling update cannot take a ready replica out of service, an extra
        // replica is loaded first.
        let wants_extra =
            missing == 0 && self.needs_extra_replica(intent, name, model, draft, now_ms);
        for _ in 0..missing.max(u32::from(wants_extra)) {
            let Some(id) = self.select_engine(intent, name, model, draft, now_ms) else {
                if missing > 0 {
                    self.blocked.push((name.clone(), Blocker::NoEngine));
                }
                return;
            };
            let fetch_mb = self.fetch_mb(&id, name, model);
            if !draft.take(fetch_mb, self.fetch_budget.burst_mb()) {
                self.blocked.push((name.clone(), Blocker::WeightStore));
                return;
            }
            draft.push(id, load(name, model), fetch_mb, Reason::Missing);
        }
    }

    /// Adds orders for the next outdated replicas of a model: to load the declared
    /// version, or to unload the model if there are enough current replicas.
    fn update_outdated(
        &mut self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        draft: &mut Draft,
        now_ms: u64,
    ) {
        let outdated = self.outdated(intent, name, model, draft, now_ms);
        let mut current = self.count_current(name, model);
        let max_updates = ((model.replicas as f32 * self.settings.rollout_share) as u32).max(1);
        let free_updates = max_updates.saturating_sub(self.count_ordered(name));
        for id in outdated.into_iter().take(free_updates as usize) {
            if !self.keeps_min_ready(intent, &id, draft, now_ms) {
                self.blocked.push((name.clone(), Blocker::Floor));
                return;
            }
            if current >= model.replicas {
                let action = backend::Action::Unload {
                    model: name.clone(),
                };
                draft.push(id, action, 0, Reason::Surplus);
            } else {
                let fetch_mb = self.fetch_mb(&id, name, model);
                if !draft.take(fetch_mb, self.fetch_budget.burst_mb()) {
                    self.blocked.push((name.clone(), Blocker::WeightStore));
                    return;
                }
                draft.push(id, load(name, model), fetch_mb, Reason::Outdated);
                current += 1;
            }
        }
    }

    /// Selects the engine to load a model: preferably an empty one, then one in
    /// the failure domain with the fewest replicas of the model.
    fn select_engine(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        draft: &Draft,
        now_ms: u64,
    ) -> Option<name::Name> {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                !draft.ordered.contains(*id)
                    && !intent.drained.contains(*id)
                    && engine.deployment() == &model.deployment
                    && self.accepts_orders(intent, engine, now_ms)
                    && !engine.has_or_will_have(name)
                    && self.can_change_model(intent, engine, draft, now_ms)
                    && self.keeps_min_ready(intent, id, draft, now_ms)
            })
            .min_by_key(|(id, engine)| {
                let replicas_in_domain = self.count_in_domain(name, engine.domain(), draft);
                (
                    !engine.models().is_empty(),
                    replicas_in_domain,
                    (*id).clone(),
                )
            })
            .map(|(id, _)| id.clone())
    }

    /// Returns whether an order can be sent to an engine now. An engine that
    /// ignores fencing numbers may still receive an order of the previous leader
    /// until `order_ms` after the warm-up.
    fn accepts_orders(&self, intent: &intent::Intent, engine: &Engine, now_ms: u64) -> bool {
        let fenceless_after_ms =
            self.leader_since_ms + self.settings.warm_up_ms + self.settings.order_ms;
        let is_safe = checks_fencing(intent, engine.deployment()) || now_ms >= fenceless_after_ms;
        is_safe && engine.is_orderable(now_ms)
    }

    /// Returns whether every model that an engine serves keeps its minimum of ready
    /// replicas without it. An order replaces everything that an engine has loaded.
    fn keeps_min_ready(
        &self,
        intent: &intent::Intent,
        id: &name::Name,
        draft: &Draft,
        now_ms: u64,
    ) -> bool {
        let Some(engine) = self.engines.get(id) else {
            return false;
        };
        let mut served_models = engine
            .loaded_models()
            .filter(|served| self.is_serving(intent, id, engine, served, draft, now_ms));
        served_models.all(|served| {
            let min_ready = intent.models.get(served).map_or(0, |model| model.min_ready);
            min_ready == 0 || self.count_ready(intent, served, draft, now_ms) > min_ready
        })
    }

    fn fetch_mb(&self, id: &name::Name, name: &name::Name, model: &intent::Model) -> u64 {
        let engine = self.engines.get(id);
        engine.map_or(model.size_mb, |engine| engine.fetch_mb(name, model))
    }

    /// Returns whether an engine may load another model: it is empty, its model is
    /// not declared for its deployment, or its model has more replicas than
    /// declared and has been loaded for at least the settling time.
    fn can_change_model(
        &self,
        intent: &intent::Intent,
        engine: &Engine,
        draft: &Draft,
        now_ms: u64,
    ) -> bool {
        engine.models().into_iter().all(|own_model| {
            let Some(model) = intent.models.get(own_model) else {
                return true;
            };
            if model.deployment != *engine.deployment() {
                return true;
            }
            let reassigned = draft
                .ordered
                .iter()
                .filter_map(|id| self.engines.get(id))
                .filter(|other| other.has_or_will_have(own_model))
                .count() as u32;
            let placed = self
                .count_placed(intent, own_model, model)
                .saturating_sub(reassigned);
            placed > model.replicas && engine.is_settled(self.settings.settle_ms, now_ms)
        })
    }

    /// Returns whether an update is needed, but none of the ready replicas can be
    /// taken out of service without going below the minimum.
    fn needs_extra_replica(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        draft: &Draft,
        now_ms: u64,
    ) -> bool {
        let in_progress = self.count_ordered(name);
        let outdated = self
            .engines
            .values()
            .filter(|engine| engine.deployment() == &model.deployment)
            .any(|engine| engine.is_ready_with(name, now_ms) && !engine.is_current(name, model));
        let ready = self.count_ready(intent, name, draft, now_ms);
        outdated && in_progress == 0 && ready <= model.min_ready
    }

    fn outdated(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        draft: &Draft,
        now_ms: u64,
    ) -> Vec<name::Name> {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                !draft.ordered.contains(*id)
                    && !intent.drained.contains(*id)
                    && engine.deployment() == &model.deployment
                    && self.accepts_orders(intent, engine, now_ms)
                    && engine.is_ready_with(name, now_ms)
                    && !engine.is_current(name, model)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Counts the engines of a model's deployment that have the model or are
    /// ordered to load it. Drained ones do not count, because they accept no new
    /// work.
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
                    && engine.has_or_will_have(name)
                    && !engine.is_leaving()
                    && !intent.drained.contains(*id)
            })
            .count() as u32
    }

    /// Counts the engines of a deployment that are loading without an order of
    /// this leader, so on an order of an earlier one.
    fn count_unordered_loads(&self, model: &intent::Model) -> u32 {
        self.engines
            .values()
            .filter(|engine| {
                engine.deployment() == &model.deployment && engine.has_unordered_load()
            })
            .count() as u32
    }

    /// Counts the engines that serve a model and have no order in this draft.
    fn count_ready(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        draft: &Draft,
        now_ms: u64,
    ) -> u32 {
        self.engines
            .iter()
            .filter(|(id, engine)| self.is_serving(intent, id, engine, name, draft, now_ms))
            .count() as u32
    }

    /// Returns whether an engine serves a model and has no order in this draft.
    /// Drained and silent engines do not serve, because they receive no new work.
    fn is_serving(
        &self,
        intent: &intent::Intent,
        id: &name::Name,
        engine: &Engine,
        name: &name::Name,
        draft: &Draft,
        now_ms: u64,
    ) -> bool {
        engine.is_ready_with(name, now_ms)
            && engine.is_fresh(now_ms)
            && !intent.drained.contains(id)
            && !draft.ordered.contains(id)
    }

    /// Counts the engines that have, or are ordered to load, the declared version
    /// and adapters of a model.
    fn count_current(&self, name: &name::Name, model: &intent::Model) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.deployment() == &model.deployment)
            .filter(|engine| engine.will_be_current(name, model))
            .count() as u32
    }

    fn count_missing(&mut self, intent: &intent::Intent, draft: &Draft) {
        for (name, model) in &intent.models {
            let ordered = draft.count_loads(name);
            let current = self.count_current(name, model) + ordered;
            let missing = model.replicas.saturating_sub(current);
            self.missing.insert(name.clone(), missing);
        }
    }

    fn count_ordered(&self, name: &name::Name) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.has_order_for(name))
            .count() as u32
    }

    fn count_in_domain(&self, name: &name::Name, domain: &name::Name, draft: &Draft) -> usize {
        let existing = self
            .engines
            .values()
            .filter(|engine| engine.domain() == domain && engine.has_or_will_have(name))
            .count();
        let ordered = draft
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
        existing + ordered
    }
}

/// The orders of a plan in the making.
struct Draft {
    /// Weight-store budget that is left.
    budget_mb: u64,
    orders: Vec<Order>,
    /// The engines with an order in this plan.
    ordered: collections::BTreeSet<name::Name>,
}

impl Draft {
    /// Takes weight-store budget and returns whether there was enough. A model
    /// larger than the burst needs only the full burst, or it could never be
    /// fetched.
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
        self.ordered.insert(id.clone());
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
