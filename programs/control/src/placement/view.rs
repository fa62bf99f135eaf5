//! Engines as placement sees them while it decides.

use std::collections;

use bw_wire::{backend, intent, name};

use super::{Input, Pending, Plan, Settings};

/// The engines that count, and what they hold or are expected to hold.
pub(super) struct View<'a> {
    input: Input<'a>,
    engines: collections::BTreeMap<name::Name, Engine<'a>>,
}

struct Engine<'a> {
    announced: &'a backend::Announcement,
    /// The declared model that it holds in the declared version, or will hold.
    holds: Option<name::Name>,
    /// Models of which it is a ready replica, in any version.
    ready: Vec<name::Name>,
    /// Whether it can be given an order now.
    free: bool,
    /// Whether it has been ordered in this decision or fetching is not allowed.
    may_fetch: bool,
}

/// How much is lost by giving an engine to another model; the least goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Cost {
    /// It holds nothing that is declared.
    Idle,
    /// It holds another version of the same model.
    Roll,
    /// It holds a model that has more replicas than declared.
    Surplus,
}

impl<'a> View<'a> {
    pub(super) fn new(input: Input<'a>, pending: &Pending, settings: &Settings) -> View<'a> {
        let mut engines = collections::BTreeMap::new();
        for (id, known) in input.backends {
            let announced = &known.announcement;
            let age_ms = input.now_ms.saturating_sub(known.renewed_ms);
            if announced.kind != backend::Kind::Engine
                || announced.state == backend::State::Leaving
                || age_ms > settings.gone_ms
            {
                continue;
            }
            let obeys = checks_fencing(input.intent, &announced.service)
                || input.now_ms >= input.since_ms + settings.warm_up_ms + settings.order_ms;
            let engine = Engine {
                announced,
                holds: holds(input.intent, announced, pending.expected(id)),
                ready: ready(announced, pending.holds(id)),
                free: age_ms <= settings.fresh_ms
                    && announced.state == backend::State::Ready
                    && !pending.holds(id)
                    && obeys,
                may_fetch: pending.may_fetch(input.now_ms),
            };
            engines.insert(id.clone(), engine);
        }
        View { input, engines }
    }

    /// Returns the number of engines that hold a model or will.
    pub(super) fn holders(&self, model: &name::Name) -> u32 {
        let engines = self.engines.values();
        let holders = engines.filter(|engine| engine.holds.as_ref() == Some(model));
        holders.count() as u32
    }

    /// Chooses the engine whose change costs least and takes no model below its
    /// floor.
    pub(super) fn choose(&self, name: &name::Name, model: &intent::Model) -> Option<name::Name> {
        let engines = self.engines.iter();
        let able = engines.filter(|(_, engine)| {
            engine.free
                && engine.announced.service == model.deployment
                && (engine.may_fetch || self.fetch_mb(engine, name, model) == 0)
                && engine.ready.iter().all(|held| self.above_floor(held))
        });
        let costs = able.filter_map(|(id, engine)| Some((self.cost(engine, name)?, id)));
        costs.min().map(|(_, id)| id.clone())
    }

    /// Gives an engine to a model.
    pub(super) fn plan(
        &mut self,
        id: &name::Name,
        name: &name::Name,
        model: &intent::Model,
    ) -> Option<Plan> {
        let fetch_mb = self.fetch_mb(self.engines.get(id)?, name, model);
        let engine = self.engines.get_mut(id)?;
        engine.holds = Some(name.clone());
        engine.ready.clear();
        engine.free = false;
        Some(Plan {
            backend: id.clone(),
            incarnation: engine.announced.incarnation,
            address: engine.announced.address.clone(),
            checks_fencing: checks_fencing(self.input.intent, &engine.announced.service),
            action: backend::Action::Load {
                model: name.clone(),
                version: model.version.clone(),
                adapters: model.adapters.clone(),
            },
            fetch_mb,
        })
    }

    fn cost(&self, engine: &Engine<'_>, name: &name::Name) -> Option<Cost> {
        match &engine.holds {
            Some(held) if held == name => None,
            Some(held) => {
                let declared = self.input.intent.models.get(held);
                let wanted = declared.map_or(0, |model| model.replicas);
                (self.holders(held) > wanted).then_some(Cost::Surplus)
            }
            None => {
                let other_version = engine.announced.loaded.iter();
                let mut same = other_version.filter(|loaded| loaded.model == *name);
                Some(match same.next() {
                    Some(_) => Cost::Roll,
                    None => Cost::Idle,
                })
            }
        }
    }

    /// Returns whether a model can lose a ready replica.
    fn above_floor(&self, name: &name::Name) -> bool {
        let Some(model) = self.input.intent.models.get(name) else {
            return true;
        };
        let engines = self.engines.values();
        let ready = engines.filter(|engine| engine.ready.contains(name)).count();
        ready > model.min_ready as usize
    }

    /// Returns what an engine fetches; adapters alone are not counted, as they
    /// are small next to the weights.
    fn fetch_mb(&self, engine: &Engine<'_>, name: &name::Name, model: &intent::Model) -> u64 {
        let mut loaded = engine.announced.loaded.iter();
        let has = loaded.any(|loaded| loaded.model == *name && loaded.version == model.version);
        if has { 0 } else { model.size_mb }
    }
}

/// Returns whether a loaded model is the declared version with all adapters.
pub(super) fn serves(
    loaded: &backend::Loaded,
    model: &name::Name,
    version: &name::Name,
    adapters: &[name::Name],
) -> bool {
    loaded.model == *model
        && loaded.version == *version
        && adapters
            .iter()
            .all(|adapter| loaded.adapters.contains(adapter))
}

fn checks_fencing(intent: &intent::Intent, deployment: &name::Name) -> bool {
    let declared = intent.deployments.get(deployment);
    declared.is_some_and(|deployment| deployment.checks_fencing)
}

/// Returns the declared model that an engine holds or is expected to hold.
fn holds(
    intent: &intent::Intent,
    announced: &backend::Announcement,
    expected: Option<&backend::Action>,
) -> Option<name::Name> {
    if let Some(backend::Action::Load {
        model,
        version,
        adapters,
    }) = expected
    {
        let declared = intent.models.get(model);
        let current = declared
            .filter(|declared| declared.version == *version && declared.adapters == *adapters);
        return current.map(|_| model.clone());
    }
    let declared = intent.models.iter().find(|(name, model)| {
        model.deployment == announced.service
            && announced
                .loaded
                .iter()
                .any(|loaded| serves(loaded, name, &model.version, &model.adapters))
    });
    declared.map(|(name, _)| name.clone())
}

/// Returns the models that an engine serves now; none while an order is pending.
fn ready(announced: &backend::Announcement, ordered: bool) -> Vec<name::Name> {
    if ordered || announced.state != backend::State::Ready {
        return Vec::new();
    }
    let loaded = announced.loaded.iter();
    loaded.map(|loaded| loaded.model.clone()).collect()
}
