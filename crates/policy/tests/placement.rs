//! Tests of placement, against a loop that carries orders out.

mod common;

use std::collections;

use bw_policy::placement::{self, Blocker, Order, Placement, Reason};
use bw_wire::{backend, intent, name, sync};
use common::{engine, loaded};
use proptest::prelude::*;
use rstest::rstest;

const LOAD_MS: u64 = 5_000;

/// Engines that carry out orders; a load takes a while, in which the engine
/// announces that it loads and has nothing loaded.
struct Fleet {
    placement: Placement,
    intent: intent::Intent,
    engines: collections::BTreeMap<name::Name, backend::Announcement>,
    loading: collections::BTreeMap<name::Name, (u64, backend::Loaded)>,
    orders: Vec<(u64, Order)>,
    least_ready: u32,
    now_ms: u64,
}

impl Fleet {
    /// Creates engines `e00`... in three failure domains, the first of which
    /// have a model in version 1.
    fn new(engines: usize, with_model: &[&str]) -> Fleet {
        let engines = (0..engines).map(|index| {
            let mut engine = engine(&format!("e{index:02}"));
            engine.failure_domain = ["ljub-a", "ljub-b", "ljub-c"][index % 3].into();
            engine.loaded = with_model
                .get(index)
                .map(|model| loaded(model, "1"))
                .into_iter()
                .collect();
            (engine.id.clone(), engine)
        });
        Fleet {
            placement: placement::Builder::new().build(),
            intent: intent::Intent::default(),
            engines: engines.collect(),
            loading: collections::BTreeMap::new(),
            orders: Vec::new(),
            least_ready: u32::MAX,
            now_ms: 100_000,
        }
    }

    fn declare(&mut self, model: &str, version: &str, replicas: u32, min_ready: u32) {
        let declared = intent::Model {
            version: version.into(),
            replicas,
            min_ready,
            ..intent::Model::default()
        };
        self.intent.models.insert(model.into(), declared);
    }

    /// Runs one round a second.
    fn run(&mut self, rounds: u64) {
        for _ in 0..rounds {
            self.now_ms += 1_000;
            self.finish_loads();
            let heard: Vec<sync::Heard> = self
                .engines
                .values_mut()
                .map(|engine| {
                    engine.sequence += 1;
                    sync::Heard {
                        announcement: engine.clone(),
                        age_ms: 0,
                    }
                })
                .collect();
            for order in self.placement.plan(&self.intent, &heard, self.now_ms) {
                self.placement.ordered(&order, self.now_ms);
                self.obey(&order);
                self.orders.push((self.now_ms, order));
            }
            let ready = self.ready("m", None);
            self.least_ready = self.least_ready.min(ready);
        }
    }

    fn obey(&mut self, order: &Order) {
        let engine = self.engines.get_mut(&order.backend).expect("known");
        engine.loaded.clear();
        if let backend::Action::Load { model, version, .. } = &order.action {
            engine.state = backend::State::Loading;
            let until_ms = self.now_ms + LOAD_MS;
            let loads = (until_ms, loaded(model, version));
            self.loading.insert(order.backend.clone(), loads);
        }
    }

    fn finish_loads(&mut self) {
        let now_ms = self.now_ms;
        for (id, (_, done)) in self.loading.extract_if(.., |_, load| load.0 <= now_ms) {
            if let Some(engine) = self.engines.get_mut(&id) {
                engine.state = backend::State::Ready;
                engine.loaded = vec![done];
            }
        }
    }

    fn ready(&self, model: &str, version: Option<&str>) -> u32 {
        self.engines
            .values()
            .filter(|engine| engine.state == backend::State::Ready)
            .flat_map(|engine| &engine.loaded)
            .filter(|loaded| loaded.model.as_str() == model)
            .filter(|loaded| version.is_none_or(|version| loaded.version.as_str() == version))
            .count() as u32
    }
}

/// Guards against models that stay short of replicas, and against replicas
/// that end up in one failure domain.
#[test]
fn missing_replicas_are_loaded_across_failure_domains() {
    let mut fleet = Fleet::new(12, &["m", "other"]);
    fleet.declare("m", "1", 6, 1);
    fleet.declare("other", "1", 2, 1);
    fleet.run(20);
    assert_eq!((fleet.ready("m", None), fleet.ready("other", None)), (6, 2));
    let mut domains = collections::BTreeMap::new();
    for engine in fleet.engines.values() {
        if engine
            .loaded
            .iter()
            .any(|loaded| loaded.model.as_str() == "m")
        {
            *domains.entry(engine.failure_domain.clone()).or_insert(0) += 1;
        }
    }
    assert!(
        domains.values().all(|&replicas| replicas == 2),
        "{domains:?}"
    );
    assert_eq!(fleet.orders.len(), 6, "one for each missing replica");
}

/// Guards against a roll that goes below the floor, never ends, or leaves
/// replicas of the old version behind.
#[rstest]
#[case::with_slack(4, 4, 3, 3)]
#[case::spare_engine_makes_slack(4, 5, 4, 4)]
#[case::single_replica_with_spare(1, 2, 1, 1)]
#[case::many(12, 12, 8, 9)]
fn versions_roll_above_the_floor(
    #[case] replicas: u32,
    #[case] engines: usize,
    #[case] min_ready: u32,
    #[case] least_ready: u32,
) {
    let mut fleet = Fleet::new(engines, &vec!["m"; replicas as usize]);
    fleet.declare("m", "1", replicas, min_ready);
    fleet.run(5);
    assert_eq!(fleet.orders, [], "nothing to do");
    fleet.declare("m", "2", replicas, min_ready);
    fleet.run(200);
    assert_eq!(fleet.least_ready, least_ready);
    assert_eq!(fleet.ready("m", Some("2")), replicas);
    assert_eq!(fleet.ready("m", Some("1")), 0);
    let count = fleet.orders.len();
    fleet.run(200);
    assert_eq!(
        fleet.orders.len(),
        count,
        "orders stop once all is as declared"
    );
}

/// Guards against a floor that is broken silently when there is no slack.
#[test]
fn a_roll_without_slack_waits_and_says_so() {
    let mut fleet = Fleet::new(2, &["m", "m"]);
    fleet.declare("m", "2", 2, 2);
    fleet.run(50);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.placement.blocked(), [("m".into(), Blocker::Floor)]);
}

/// Guards against models that take engines from each other back and forth.
#[test]
fn models_do_not_take_engines_in_turns() {
    let mut fleet = Fleet::new(4, &["m", "m", "m", "other"]);
    // Together they want more than there is.
    fleet.declare("m", "1", 3, 1);
    fleet.declare("other", "1", 3, 1);
    fleet.run(300);
    assert_eq!(fleet.orders, []);
    assert_eq!(
        fleet.placement.blocked(),
        [("other".into(), Blocker::NoEngine)]
    );
    // A replica beyond the declared number is given away, once.
    fleet.declare("m", "1", 2, 1);
    fleet.run(300);
    assert_eq!(fleet.orders.len(), 1);
    assert_eq!((fleet.ready("m", None), fleet.ready("other", None)), (2, 2));
}

/// Guards against a short silence or restart that moves a model.
#[rstest]
#[case::short(10, 0)]
#[case::long(40, 1)]
fn only_lasting_losses_move_models(#[case] rounds: u64, #[case] orders: usize) {
    let mut fleet = Fleet::new(3, &["m", "m"]);
    fleet.declare("m", "1", 2, 1);
    fleet.run(5);
    let lost = fleet.engines.remove("e00").expect("known");
    fleet.run(rounds);
    fleet.engines.insert(lost.id.clone(), lost);
    fleet.run(100);
    assert_eq!(fleet.orders.len(), orders);
}

/// Guards against fetching more from the weight store than its rate, and
/// against a model above the burst that is never fetched.
#[rstest]
#[case::within_burst(1_000, 4_000, 4)]
#[case::above_burst(10_000, 4_000, 1)]
fn the_weight_store_rate_is_kept(
    #[case] size_mb: u64,
    #[case] burst_mb: u64,
    #[case] at_once: usize,
) {
    let mut fleet = Fleet::new(12, &[]);
    fleet.declare("m", "1", 12, 1);
    fleet.intent.models.get_mut("m").expect("declared").size_mb = size_mb;
    fleet.intent.weight_store = intent::WeightStore {
        mb_per_s: 500,
        burst_mb,
    };
    fleet.run(1);
    assert_eq!(fleet.orders.len(), at_once);
    assert_eq!(
        fleet.placement.blocked(),
        [("m".into(), Blocker::WeightStore)]
    );
    fleet.run(300);
    assert_eq!(fleet.ready("m", None), 12);
    let start_ms = fleet.orders[0].0;
    let mut fetched_mb = 0;
    for (at_ms, order) in &fleet.orders {
        let allowed_mb = burst_mb + (at_ms - start_ms) / 2;
        assert!(
            fetched_mb <= allowed_mb,
            "{fetched_mb} before the order at {at_ms}"
        );
        fetched_mb += order.fetch_mb;
        assert_eq!(order.reason, Reason::Missing);
    }
}

/// Guards against a new leader that orders what an earlier one has ordered.
#[test]
fn a_new_leader_counts_loads_in_progress() {
    let mut fleet = Fleet::new(4, &["m"]);
    fleet.declare("m", "1", 3, 1);
    fleet.run(1);
    assert_eq!(fleet.orders.len(), 2);
    fleet.placement = placement::Builder::new().build();
    fleet.run(30);
    assert_eq!(fleet.orders.len(), 2);
    assert_eq!(fleet.ready("m", None), 3);
}

/// Guards against an engine that fails each order and blocks the model, and
/// against orders to it without pause.
#[test]
fn failing_engines_are_passed_over() {
    let mut fleet = Fleet::new(3, &["m"]);
    fleet.declare("m", "1", 2, 1);
    let heard: Vec<sync::Heard> = fleet
        .engines
        .values()
        .map(|engine| sync::Heard {
            announcement: engine.clone(),
            age_ms: 0,
        })
        .collect();
    let first = fleet.placement.plan(&fleet.intent, &heard, 1_000);
    let [order] = first.as_slice() else {
        panic!("{first:?}");
    };
    fleet.placement.ordered(order, 1_000);
    assert_eq!(fleet.placement.plan(&fleet.intent, &heard, 1_500), []);
    fleet.placement.failed(&order.backend, 2_000);
    let second = fleet.placement.plan(&fleet.intent, &heard, 2_000);
    assert_eq!(second.len(), 1);
    assert_ne!(second[0].backend, order.backend);
}

/// Guards against work for drained engines, and against counting them.
#[test]
fn drained_engines_are_replaced_and_left_alone() {
    let mut fleet = Fleet::new(4, &["m", "m"]);
    fleet.declare("m", "1", 2, 1);
    // One that has the model, and an empty one.
    fleet.intent.drained = ["e00".into(), "e02".into()].into();
    fleet.run(20);
    let ordered: Vec<&str> = fleet
        .orders
        .iter()
        .map(|(_, order)| order.backend.as_str())
        .collect();
    assert_eq!(ordered, ["e03"]);
}

/// Guards against a floor that is broken by two decisions of one round: one
/// model gets a surplus replica while the versions of that replica's model roll.
#[test]
fn a_taken_replica_counts_against_the_floor() {
    let mut fleet = Fleet::new(4, &["m", "m", "m", "m"]);
    fleet.declare("m", "1", 4, 1);
    fleet.run(100);
    fleet.declare("m", "2", 3, 3);
    fleet.declare("n", "1", 1, 1);
    fleet.run(1);
    assert_eq!(fleet.orders.len(), 1);
    fleet.run(100);
    assert_eq!(fleet.least_ready, 3);
}

/// Guards against a replica that another model takes although its own model has
/// just as many ready ones as its floor.
#[test]
fn a_surplus_replica_stays_while_others_are_not_ready() {
    let mut fleet = Fleet::new(3, &["m", "m", "m"]);
    fleet.declare("m", "1", 3, 1);
    fleet.run(100);
    fleet.engines.get_mut("e01").expect("known").state = backend::State::Loading;
    fleet.declare("m", "1", 2, 2);
    fleet.declare("n", "1", 1, 1);
    fleet.run(5);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.placement.blocked(), [("n".into(), Blocker::NoEngine)]);
}

/// Guards against a model that stays on the engines of its former deployment.
#[test]
fn a_model_follows_its_deployment() {
    let mut fleet = Fleet::new(3, &["m"]);
    fleet.declare("m", "1", 1, 1);
    for id in ["e01", "e02"] {
        fleet.engines.get_mut(id).expect("known").service = "other".into();
    }
    fleet.run(5);
    fleet
        .intent
        .models
        .get_mut("m")
        .expect("declared")
        .deployment = "other".into();
    fleet.run(20);
    let ordered: Vec<&str> = fleet
        .orders
        .iter()
        .map(|(_, order)| order.backend.as_str())
        .collect();
    assert_eq!(ordered, ["e01"]);
}

/// Guards against adapters that wait for the weight store although the weights
/// are there.
#[test]
fn adapters_alone_take_no_budget() {
    let mut fleet = Fleet::new(2, &["m", "m"]);
    fleet.declare("m", "1", 2, 1);
    fleet.intent.weight_store = intent::WeightStore {
        mb_per_s: 0,
        burst_mb: 0,
    };
    fleet.run(5);
    let model = fleet.intent.models.get_mut("m").expect("declared");
    model.adapters = vec!["fine".into()];
    fleet.run(1);
    let fetched: Vec<u64> = fleet
        .orders
        .iter()
        .map(|(_, order)| order.fetch_mb)
        .collect();
    assert_eq!(fetched, [0]);
}

/// Guards against an order to an engine that may be gone, and against a second
/// engine that is ordered because the first is silent while it loads.
#[test]
fn silent_engines_get_no_orders_and_keep_theirs() {
    let mut fleet = Fleet::new(2, &[]);
    fleet.declare("m", "1", 1, 1);
    let heard = |fleet: &Fleet, age_ms: u64| -> Vec<sync::Heard> {
        let engines = fleet.engines.values();
        engines
            .map(|engine| sync::Heard {
                announcement: engine.clone(),
                age_ms,
            })
            .collect()
    };
    let silent = heard(&fleet, 3_000);
    assert_eq!(fleet.placement.plan(&fleet.intent, &silent, 10_000), []);
    let fresh = heard(&fleet, 0);
    let orders = fleet.placement.plan(&fleet.intent, &fresh, 20_000);
    assert_eq!(orders.len(), 1);
    fleet.placement.ordered(&orders[0], 20_000);
    let later: Vec<sync::Heard> = heard(&fleet, 9_000)
        .into_iter()
        .map(|heard| match heard.announcement.id == orders[0].backend {
            true => heard,
            false => sync::Heard { age_ms: 0, ..heard },
        })
        .collect();
    assert_eq!(fleet.placement.plan(&fleet.intent, &later, 29_000), []);
}

/// Guards against a floor that counts an engine whose failed order may have
/// been carried out.
#[test]
fn a_failed_order_may_have_been_carried_out() {
    let mut fleet = Fleet::new(3, &["m", "m", "m"]);
    fleet.declare("m", "1", 3, 2);
    fleet.run(5);
    fleet.declare("m", "2", 3, 2);
    let heard: Vec<sync::Heard> = fleet
        .engines
        .values()
        .map(|engine| sync::Heard {
            announcement: engine.clone(),
            age_ms: 0,
        })
        .collect();
    let orders = fleet.placement.plan(&fleet.intent, &heard, 200_000);
    assert_eq!(orders.len(), 1);
    fleet.placement.ordered(&orders[0], 200_000);
    fleet.placement.failed(&orders[0].backend, 200_500);
    assert_eq!(fleet.placement.plan(&fleet.intent, &heard, 201_000), []);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Guards against plans that never come to rest, whatever is declared.
    #[test]
    fn placement_comes_to_rest(
        engines in 1usize..10,
        models in proptest::collection::vec((0u32..6, 0u32..4, 1u8..3), 1..4),
        held in proptest::collection::vec(0usize..4, 0..10),
    ) {
        let names = ["m", "n", "o", "p"];
        let held: Vec<&str> = held.iter().map(|&model| names[model]).collect();
        let mut fleet = Fleet::new(engines, &held);
        for (name, &(replicas, min_ready, version)) in names.iter().zip(&models) {
            fleet.declare(name, &version.to_string(), replicas, min_ready);
        }
        fleet.run(600);
        let count = fleet.orders.len();
        fleet.run(300);
        prop_assert_eq!(fleet.orders.len(), count);
    }
}
