//! Tests placement on a small simulated fleet of engines.

use std::collections;

use bw_control::registry::{Backend, Row, Timestamp};
use bw_policy::placement::{Builder, Order, Placement};
use bw_wire::{backend, intent, name::Name, sync};

const LOAD_MS: u64 = 5_000;

/// Engines that carry out each load order after a fixed time.
struct Fleet {
    now_ms: u64,
    intent: intent::Intent,
    backends: collections::BTreeMap<Name, Backend>,
    loading: collections::BTreeMap<Name, (u64, backend::Loaded)>,
    placement: Placement,
    orders: u32,
    /// The fewest ready replicas of model `m` since the last reset of this field.
    fewest_ready: usize,
}

impl Fleet {
    fn new(engines: usize, checks_fencing: bool) -> Fleet {
        let mut intent = intent::Intent::default();
        let deployment = intent::Deployment { checks_fencing };
        intent.deployments.insert("d".into(), deployment);
        let mut fleet = Fleet {
            now_ms: 0,
            intent,
            backends: collections::BTreeMap::new(),
            loading: collections::BTreeMap::new(),
            placement: Builder::new()
                .grace_ms(10_000)
                .timeouts(5_000, 60_000)
                .warm_up(4_000, 500)
                .build(),
            orders: 0,
            fewest_ready: 0,
        };
        for number in 0..engines {
            fleet.announce(&format!("e{number}"));
        }
        fleet
    }

    fn announce(&mut self, id: &str) {
        let announcement = backend::Announcement {
            id: id.into(),
            incarnation: 1,
            sequence: 1,
            address: "127.0.0.1:1".into(),
            kind: backend::Kind::Engine,
            service: "d".into(),
            failure_domain: "z".into(),
            state: backend::State::Ready,
            loaded: Vec::new(),
            capacity: 8,
            fence: 0,
            load: backend::Load::default(),
        };
        let known = Backend {
            announcement,
            renewed: Timestamp::known(self.now_ms),
            row: Row::default(),
        };
        self.backends.insert(id.into(), known);
    }

    fn declare(&mut self, model: &str, version: &str, replicas: u32, min_ready: u32) {
        let declared = intent::Model {
            version: version.into(),
            deployment: "d".into(),
            replicas,
            min_ready,
            ..intent::Model::default()
        };
        self.intent.models.insert(model.into(), declared);
    }

    /// Advances the time by a second, renews all engines but the silent ones, and carries
    /// out the orders of placement.
    fn tick(&mut self, silent: &[&str]) -> Vec<Order> {
        self.now_ms += 1_000;
        for (id, known) in &mut self.backends {
            if silent.contains(&id.as_str()) {
                continue;
            }
            known.renewed = Timestamp::known(self.now_ms);
            if let Some((done_ms, loaded)) = self.loading.get(id)
                && *done_ms <= self.now_ms
            {
                known.announcement.state = backend::State::Ready;
                known.announcement.loaded = vec![loaded.clone()];
                self.loading.remove(id);
            }
        }
        let announcements: Vec<sync::Heard> = self
            .backends
            .values()
            .map(|known| sync::Heard {
                announcement: known.announcement.clone(),
                age_ms: known.renewed.age_ms(self.now_ms),
            })
            .collect();
        let orders = self
            .placement
            .plan(&self.intent, &announcements, self.now_ms);
        for order in &orders {
            self.carry_out(order);
        }
        self.fewest_ready = self.fewest_ready.min(self.ready("m"));
        orders
    }

    fn carry_out(&mut self, order: &Order) {
        self.orders += 1;
        self.placement.ordered(order, self.now_ms);
        let known = self.backends.get_mut(&order.backend).expect("known engine");
        let (model, version, adapters) = match order.action.clone() {
            backend::Action::Load {
                model,
                version,
                adapters,
            } => (model, version, adapters),
            // Surplus replicas of an old version are unloaded.
            backend::Action::Unload { model } => {
                let loaded = &mut known.announcement.loaded;
                return loaded.retain(|loaded| loaded.model != model);
            }
            backend::Action::Leave => panic!("unexpected order {order:?}"),
        };
        let loaded = backend::Loaded {
            model,
            version,
            adapters,
        };
        let until_ms = self.now_ms + LOAD_MS;
        self.loading
            .insert(order.backend.clone(), (until_ms, loaded));
        known.announcement.state = backend::State::Loading;
        known.announcement.loaded.clear();
    }

    fn run(&mut self, ticks: u32) {
        for _ in 0..ticks {
            self.tick(&[]);
        }
    }

    fn ready(&self, model: &str) -> usize {
        let ready = self.backends.values().filter(|known| {
            let announcement = &known.announcement;
            announcement.state == backend::State::Ready
                && announcement
                    .loaded
                    .iter()
                    .any(|loaded| loaded.model.as_str() == model)
        });
        ready.count()
    }

    fn version(&self, model: &str, version: &str) -> usize {
        let loaded = self
            .backends
            .values()
            .flat_map(|known| &known.announcement.loaded);
        loaded
            .filter(|loaded| loaded.model.as_str() == model && loaded.version.as_str() == version)
            .count()
    }
}

/// Guards against further orders once the fleet matches the declared models.
#[test]
fn a_placed_fleet_gets_no_orders() {
    let mut fleet = Fleet::new(5, true);
    fleet.declare("m", "1", 3, 1);
    fleet.declare("n", "1", 2, 1);
    fleet.run(30);
    assert_eq!(
        (fleet.ready("m"), fleet.ready("n"), fleet.orders),
        (3, 2, 5)
    );
    fleet.run(300);
    assert_eq!(fleet.orders, 5);
}

/// Guards against a version change that reloads too many replicas at once.
#[test]
fn a_version_change_keeps_the_minimum_of_ready_replicas() {
    let mut fleet = Fleet::new(4, true);
    fleet.declare("m", "1", 4, 3);
    fleet.run(30);
    fleet.fewest_ready = usize::MAX;
    fleet.declare("m", "2", 4, 3);
    fleet.run(60);
    assert_eq!(fleet.version("m", "2"), 4);
    assert_eq!(fleet.fewest_ready, 3);
}

/// Guards against a version change that goes below `min_ready` because there is no
/// spare engine.
#[test]
fn a_version_change_without_a_spare_engine_waits() {
    let mut fleet = Fleet::new(2, true);
    fleet.declare("m", "1", 2, 2);
    fleet.run(30);
    fleet.declare("m", "2", 2, 2);
    fleet.run(60);
    assert_eq!(fleet.version("m", "1"), 2);
    // A third engine allows the version change.
    fleet.announce("spare");
    fleet.run(60);
    assert_eq!(fleet.version("m", "2"), 2);
}

/// Guards against models that move to other engines after a short silence.
#[test]
fn a_short_silence_moves_no_model() {
    let mut fleet = Fleet::new(4, true);
    fleet.declare("m", "1", 2, 1);
    fleet.run(30);
    let orders = fleet.orders;
    for _ in 0..8 {
        fleet.tick(&["e0", "e1"]);
    }
    fleet.run(10);
    assert_eq!(fleet.orders, orders);
    // An engine that stays silent is replaced once.
    for _ in 0..40 {
        fleet.tick(&["e0"]);
    }
    assert_eq!(fleet.orders, orders + 1);
}

/// Guards against an engine that alternates between two models.
#[test]
fn scarce_engines_do_not_alternate_between_models() {
    let mut fleet = Fleet::new(3, true);
    fleet.declare("m", "1", 3, 1);
    fleet.declare("n", "1", 3, 1);
    fleet.run(100);
    let orders = fleet.orders;
    fleet.run(100);
    assert_eq!((orders, fleet.orders), (3, 3));
    // Replicas above the declared number are reassigned to the model that lacks some.
    fleet.declare("m", "1", 1, 1);
    fleet.run(100);
    assert_eq!((fleet.ready("m"), fleet.ready("n")), (1, 2));
}

/// Guards against an order that is sent while one of the previous leader may still
/// arrive.
#[test]
fn a_new_leader_waits() {
    for (checks_fencing, first_ms) in [(true, 4_000), (false, 5_000)] {
        let mut fleet = Fleet::new(1, checks_fencing);
        fleet.declare("m", "1", 1, 1);
        while fleet.tick(&[]).is_empty() {}
        assert_eq!(fleet.now_ms, first_ms);
    }
}

/// Guards against orders that are repeated at once after the budget or an engine has
/// refused them.
#[test]
fn refused_orders_wait() {
    let mut fleet = Fleet::new(2, true);
    fleet.declare("m", "1", 1, 1);
    fleet.now_ms = 10_000;
    let plan = loop {
        if let Some(plan) = fleet.tick(&[]).pop() {
            break plan;
        }
    };
    assert_eq!(plan.fetch_mb, 1_000);
    // The engine did not get the order.
    let known = fleet.backends.get_mut(&plan.backend).expect("known engine");
    known.announcement.state = backend::State::Ready;
    fleet.loading.clear();
    fleet
        .placement
        .throttled(&plan.backend, 3_500, fleet.now_ms);
    let waited = (1..).find(|_| !fleet.tick(&[]).is_empty());
    assert_eq!(waited, Some(4));
}
