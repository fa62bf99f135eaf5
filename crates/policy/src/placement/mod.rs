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
    roll_share: f32,
}

impl Default for Builder {
    fn default() -> Builder {
        Builder {
            grace_ms: 15_000,
            settle_ms: 60_000,
            order_timeout_ms: 5_000,
            load_timeout_ms: 600_000,
            roll_share: 0.25,
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
    pub fn roll_share(mut self, share: f32) -> Builder {
        self.roll_share = share.clamp(0.0, 1.0);
        self
    }

    /// Builds a placement without engines.
    pub fn build(self) -> Placement {
        Placement {
            settings: self,
            engines: collections::BTreeMap::new(),
            store: Store::default(),
            blocked: Vec::new(),
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
pub enum Block {
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
    blocked: Vec<(name::Name, Block)>,
}

impl Placement {
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
        let mut round = Round {
            budget_mb: self.store.available_mb(now_ms),
            orders: Vec::new(),
            used: collections::BTreeSet::new(),
        };
        // Models furthest below their floor come first.
        let mut models: Vec<(&name::Name, &intent::Model)> = intent.models.iter().collect();
        models.sort_by_key(|(name, model)| {
            let ready = self.count_ready(intent, name, now_ms);
            (ready >= model.min_ready.min(model.replicas), *name)
        });
        for &(name, model) in &models {
            self.fill(intent, name, model, &mut round, now_ms);
        }
        for &(name, model) in &models {
            self.roll(intent, name, model, &mut round, now_ms);
        }
        round.orders
    }

    /// Notes that an order was recorded and is being sent.
    pub fn ordered(&mut self, order: &Order, now_ms: u64) {
        self.store.take(order.fetch_mb, now_ms);
        if let Some(engine) = self.engines.get_mut(&order.backend) {
            engine.order(order.action.clone(), now_ms);
        }
    }

    /// Notes that a backend server refused an order or did not answer.
    pub fn failed(&mut self, backend: &str, now_ms: u64) {
        if let Some(engine) = self.engines.get_mut(backend) {
            engine.fail(now_ms);
        }
    }

    /// Notes that the replicated weight-store budget refused an order.
    pub fn wait(&mut self, retry_ms: u64, now_ms: u64) {
        self.store.wait(retry_ms, now_ms);
    }

    /// Returns the models that the last plan could not bring further, and why.
    pub fn blocked(&self) -> &[(name::Name, Block)] {
        &self.blocked
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
        let placed = self.count_placed(intent, name) + self.count_unknown_loads(model);
        let missing = model.replicas.saturating_sub(placed);
        // While versions roll without slack, a spare engine makes the slack.
        let wants_spare = missing == 0 && self.needs_spare(intent, name, model, now_ms);
        for _ in 0..missing.max(u32::from(wants_spare)) {
            let Some(id) = self.pick(intent, name, model, round, now_ms) else {
                if missing > 0 {
                    self.blocked.push((name.clone(), Block::NoEngine));
                }
                return;
            };
            if !round.take(model.size_mb, self.store.burst_mb()) {
                self.blocked.push((name.clone(), Block::WeightStore));
                return;
            }
            round.push(id, load(name, model), model.size_mb, Reason::Missing);
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
        if outdated.is_empty() {
            return;
        }
        let mut ready = self.count_ready(intent, name, now_ms);
        let mut current = self.count_current(name, model);
        let at_once = ((model.replicas as f32 * self.settings.roll_share) as u32).max(1);
        let more = at_once.saturating_sub(self.count_in_progress(name));
        for id in outdated.into_iter().take(more as usize) {
            if ready <= model.min_ready {
                self.blocked.push((name.clone(), Block::Floor));
                return;
            }
            if current >= model.replicas {
                let action = backend::Action::Unload {
                    model: name.clone(),
                };
                round.push(id, action, 0, Reason::Surplus);
            } else {
                if !round.take(model.size_mb, self.store.burst_mb()) {
                    self.blocked.push((name.clone(), Block::WeightStore));
                    return;
                }
                round.push(id, load(name, model), model.size_mb, Reason::Outdated);
                current += 1;
            }
            ready -= 1;
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
                    && engine.takes_orders(now_ms)
                    && engine.model() != Some(name)
                    && self.is_spare(intent, engine, round, now_ms)
            })
            .min_by_key(|(id, engine)| {
                let neighbours = self.count_in_domain(name, engine.domain(), round);
                (engine.model().is_some(), neighbours, (*id).clone())
            })
            .map(|(id, _)| id.clone())
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
        let Some(held) = engine.model() else {
            return true;
        };
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
            .filter(|other| other.model() == Some(held))
            .count() as u32;
        let placed = self.count_placed(intent, held).saturating_sub(taken);
        placed > model.replicas && engine.is_settled(self.settings.settle_ms, now_ms)
    }

    /// Returns whether versions have to roll, but the floor leaves no slack.
    fn needs_spare(
        &self,
        intent: &intent::Intent,
        name: &name::Name,
        model: &intent::Model,
        now_ms: u64,
    ) -> bool {
        let in_progress = self.count_in_progress(name);
        let outdated = self
            .engines
            .values()
            .any(|engine| engine.is_ready_with(name) && !engine.is_current(name, model));
        outdated && in_progress == 0 && self.count_ready(intent, name, now_ms) <= model.min_ready
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
                    && engine.takes_orders(now_ms)
                    && engine.is_ready_with(name)
                    && !engine.is_current(name, model)
            })
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Counts engines that have or get a model. Drained ones do not count: they
    /// take no new work.
    fn count_placed(&self, intent: &intent::Intent, name: &name::Name) -> u32 {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                engine.model() == Some(name)
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

    /// Counts engines that serve a model. Drained and silent ones do not: they
    /// get no new work.
    fn count_ready(&self, intent: &intent::Intent, name: &name::Name, now_ms: u64) -> u32 {
        self.engines
            .iter()
            .filter(|(id, engine)| {
                engine.is_ready_with(name)
                    && !intent.drained.contains(*id)
                    && now_ms.saturating_sub(engine.heard_ms) < backend::PROOF_MAX_AGE_MS
            })
            .count() as u32
    }

    /// Counts engines that have, or are ordered to get, what is declared.
    fn count_current(&self, name: &name::Name, model: &intent::Model) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.becomes_current(name, model))
            .count() as u32
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
            .filter(|engine| engine.domain() == domain && engine.model() == Some(name))
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
