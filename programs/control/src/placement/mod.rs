//! Placement: compares declared models with what engines announce and decides
//! which engine is told to load what. Performs no I/O.
//!
//! A model keeps an engine once it has it, engines are chosen in a fixed order,
//! and an engine that is silent for a short while still counts. Orders are
//! therefore given only for a lasting difference, and placement does not
//! oscillate.

mod pending;
mod view;

use std::collections;

use bw_wire::{backend, intent, name};

use crate::registry;

pub use pending::{Pending, Settings};

/// An order that is to be recorded and sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Plan {
    /// The engine.
    pub backend: name::Name,
    /// Its incarnation.
    pub incarnation: u64,
    /// Its address.
    pub address: name::Name,
    /// Whether it refuses old fencing numbers.
    pub checks_fencing: bool,
    /// What it is told.
    pub action: backend::Action,
    /// Megabytes that it fetches from the weight store.
    pub fetch_mb: u64,
}

/// What placement works on.
#[derive(Clone, Copy, Debug)]
pub struct Input<'a> {
    /// The monotonic time.
    pub now_ms: u64,
    /// Since when this replica leads.
    pub since_ms: u64,
    /// The intent.
    pub intent: &'a intent::Intent,
    /// The known backend servers.
    pub backends: &'a collections::BTreeMap<name::Name, registry::Backend>,
}

/// The placement controller.
#[derive(Debug)]
pub struct Placement {
    settings: Settings,
    pending: Pending,
}

/// What a decision found.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Decision {
    /// Orders to give, at most one per engine.
    pub plans: Vec<Plan>,
    /// Replicas that each model lacks and for which no engine may be used now.
    pub missing: collections::BTreeMap<name::Name, u32>,
}

impl Placement {
    /// Creates a controller without pending orders.
    pub fn new(settings: Settings) -> Placement {
        Placement {
            settings,
            pending: Pending::default(),
        }
    }

    /// Returns the pending orders.
    pub fn pending(&mut self) -> &mut Pending {
        &mut self.pending
    }

    /// Forgets everything at the beginning of a leadership.
    pub fn reset(&mut self) {
        self.pending = Pending::default();
    }

    /// Decides which orders to give now.
    pub fn decide(&mut self, input: Input<'_>) -> Decision {
        self.pending
            .settle(input.now_ms, input.backends, &self.settings);
        let mut decision = Decision::default();
        if input.now_ms < input.since_ms + self.settings.warm_up_ms {
            return decision;
        }
        let mut view = view::View::new(input, &self.pending, &self.settings);
        for (name, model) in &input.intent.models {
            let mut lacking = model.replicas.saturating_sub(view.holders(name));
            while lacking > 0 {
                let Some(engine) = view.choose(name, model) else {
                    break;
                };
                if let Some(plan) = view.plan(&engine, name, model) {
                    decision.plans.push(plan);
                }
                lacking -= 1;
            }
            decision.missing.insert(name.clone(), lacking);
        }
        decision
    }
}
