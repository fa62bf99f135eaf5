//! Tests of `placement` against simulated engines that carry out its orders.

mod common;

use std::collections;

use bw_policy::placement::{self, Blocker, Order, Placement, Reason};
use bw_wire::{backend, intent, name, sync};
use common::{engine, loaded};
use proptest::prelude::*;
use rstest::rstest;

const LOAD_MS: u64 = 5_000;

/// Simulated engines that carry out orders. A load takes `LOAD_MS`, during which
/// the engine announces the state `Loading` and no loaded models.
struct Fleet {
    placement: Placement,
    intent: intent::Intent,
    engines: collections::BTreeMap<name::Name, backend::Announcement>,
    loading: collections::BTreeMap<name::Name, (u64, backend::Loaded)>,
    orders: Vec<(u64, Order)>,
    lowest_ready: u32,
    now_ms: u64,
}

impl Fleet {
    /// Creates engines `e00` and following in three failure domains. The first
    /// ones have the given models loaded in version 1.
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
            lowest_ready: u32::MAX,
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

    /// Plans and carries out orders once a simulated second.
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
                self.carry_out(&order);
                self.orders.push((self.now_ms, order));
            }
            let ready = self.ready("m", None);
            self.lowest_ready = self.lowest_ready.min(ready);
        }
    }

    fn carry_out(&mut self, order: &Order) {
        let engine = self
            .engines
            .get_mut(&order.backend)
            .expect("engine should exist");
        engine.loaded.clear();
        if let backend::Action::Load { model, version, .. } = &order.action {
            engine.state = backend::State::Loading;
            let until_ms = self.now_ms + LOAD_MS;
            let load = (until_ms, loaded(model, version));
            self.loading.insert(order.backend.clone(), load);
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

/// Guards against models that stay short of replicas, and against placing all
/// replicas in one failure domain.
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
    assert_eq!(
        fleet.orders.len(),
        6,
        "each missing replica should be ordered once"
    );
}

/// Guards against a rolling update that leaves too few ready replicas, never ends,
/// or keeps replicas of the old version.
#[rstest]
#[case::with_slack(4, 4, 3, 3)]
#[case::spare_engine_takes_an_extra_replica(4, 5, 4, 4)]
#[case::single_replica_with_spare(1, 2, 1, 1)]
#[case::many(12, 12, 8, 9)]
fn rolling_updates_keep_the_minimum_ready(
    #[case] replicas: u32,
    #[case] engines: usize,
    #[case] min_ready: u32,
    #[case] lowest_ready: u32,
) {
    let mut fleet = Fleet::new(engines, &vec!["m"; replicas as usize]);
    fleet.declare("m", "1", replicas, min_ready);
    fleet.run(5);
    assert_eq!(fleet.orders, [], "current replicas should need no orders");
    fleet.declare("m", "2", replicas, min_ready);
    fleet.run(200);
    assert_eq!(fleet.lowest_ready, lowest_ready);
    assert_eq!(fleet.ready("m", Some("2")), replicas);
    assert_eq!(fleet.ready("m", Some("1")), 0);
    let count = fleet.orders.len();
    fleet.run(200);
    assert_eq!(
        fleet.orders.len(),
        count,
        "orders should stop once all replicas are current"
    );
}

/// Guards against an update that goes below the minimum of ready replicas, or that
/// waits without reporting why.
#[test]
fn a_rolling_update_without_slack_waits_and_reports_it() {
    let mut fleet = Fleet::new(2, &["m", "m"]);
    fleet.declare("m", "2", 2, 2);
    fleet.run(50);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.placement.blocked(), [("m".into(), Blocker::Floor)]);
}

/// Guards against models that take engines from each other repeatedly.
#[test]
fn models_do_not_exchange_engines_repeatedly() {
    let mut fleet = Fleet::new(4, &["m", "m", "m", "other"]);
    // Together, the models need more engines than exist.
    fleet.declare("m", "1", 3, 1);
    fleet.declare("other", "1", 3, 1);
    fleet.run(300);
    assert_eq!(fleet.orders, []);
    assert_eq!(
        fleet.placement.blocked(),
        [("other".into(), Blocker::NoEngine)]
    );
    // A surplus replica moves to the other model once.
    fleet.declare("m", "1", 2, 1);
    fleet.run(300);
    assert_eq!(fleet.orders.len(), 1);
    assert_eq!((fleet.ready("m", None), fleet.ready("other", None)), (2, 2));
}

/// Guards against moving a model because of a short silence or a restart.
#[rstest]
#[case::short(10, 0)]
#[case::long(40, 1)]
fn only_long_silences_move_models(#[case] rounds: u64, #[case] orders: usize) {
    let mut fleet = Fleet::new(3, &["m", "m"]);
    fleet.declare("m", "1", 2, 1);
    fleet.run(5);
    let lost = fleet.engines.remove("e00").expect("engine should exist");
    fleet.run(rounds);
    fleet.engines.insert(lost.id.clone(), lost);
    fleet.run(100);
    assert_eq!(fleet.orders.len(), orders);
}

/// Guards against exceeding the weight store's rate, and against never fetching a
/// model that is larger than the burst.
#[rstest]
#[case::within_burst(1_000, 4_000, 4)]
#[case::above_burst(10_000, 4_000, 1)]
fn fetches_stay_within_the_weight_store_rate(
    #[case] size_mb: u64,
    #[case] burst_mb: u64,
    #[case] first_orders: usize,
) {
    let mut fleet = Fleet::new(12, &[]);
    fleet.declare("m", "1", 12, 1);
    fleet
        .intent
        .models
        .get_mut("m")
        .expect("model should be declared")
        .size_mb = size_mb;
    fleet.intent.weight_store = intent::WeightStore {
        mb_per_s: 500,
        burst_mb,
    };
    fleet.run(1);
    assert_eq!(fleet.orders.len(), first_orders);
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

/// Guards against a new leader that repeats the orders of an earlier one.
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

/// Guards against an engine that fails every order and so keeps a model from
/// being loaded elsewhere, and against repeating orders to it without a backoff.
#[test]
fn failing_engines_are_skipped() {
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

/// Guards against orders to drained engines, and against counting their replicas.
#[test]
fn drained_engines_are_replaced_and_receive_no_orders() {
    let mut fleet = Fleet::new(4, &["m", "m"]);
    fleet.declare("m", "1", 2, 1);
    // `e00` has the model and `e02` is empty.
    fleet.intent.drained = ["e00".into(), "e02".into()].into();
    fleet.run(20);
    let ordered: Vec<&str> = fleet
        .orders
        .iter()
        .map(|(_, order)| order.backend.as_str())
        .collect();
    assert_eq!(ordered, ["e03"]);
}

/// Guards against two orders of one plan that together go below the minimum: one
/// model takes a surplus replica of another that is being updated.
#[test]
fn a_reassigned_replica_is_not_counted_as_ready() {
    let mut fleet = Fleet::new(4, &["m", "m", "m", "m"]);
    fleet.declare("m", "1", 4, 1);
    fleet.run(100);
    fleet.declare("m", "2", 3, 3);
    fleet.declare("n", "1", 1, 1);
    fleet.run(1);
    assert_eq!(fleet.orders.len(), 1);
    fleet.run(100);
    assert_eq!(fleet.lowest_ready, 3);
}

/// Guards against reassigning a replica whose model has no more ready replicas
/// than its minimum.
#[test]
fn a_surplus_replica_is_kept_while_others_are_not_ready() {
    let mut fleet = Fleet::new(3, &["m", "m", "m"]);
    fleet.declare("m", "1", 3, 1);
    fleet.run(100);
    fleet
        .engines
        .get_mut("e01")
        .expect("engine should exist")
        .state = backend::State::Loading;
    fleet.declare("m", "1", 2, 2);
    fleet.declare("n", "1", 1, 1);
    fleet.run(5);
    assert_eq!(fleet.orders, []);
    assert_eq!(fleet.placement.blocked(), [("n".into(), Blocker::NoEngine)]);
}

/// Guards against a model that stays on the engines of its previous deployment.
#[test]
fn a_model_moves_to_its_new_deployment() {
    let mut fleet = Fleet::new(3, &["m"]);
    fleet.declare("m", "1", 1, 1);
    for id in ["e01", "e02"] {
        fleet
            .engines
            .get_mut(id)
            .expect("engine should exist")
            .service = "other".into();
    }
    fleet.run(5);
    fleet
        .intent
        .models
        .get_mut("m")
        .expect("model should be declared")
        .deployment = "other".into();
    fleet.run(20);
    let ordered: Vec<&str> = fleet
        .orders
        .iter()
        .map(|(_, order)| order.backend.as_str())
        .collect();
    assert_eq!(ordered, ["e01"]);
}

/// Guards against adapters that wait for the weight-store budget although the
/// weights are already loaded.
#[test]
fn loading_only_adapters_takes_no_budget() {
    let mut fleet = Fleet::new(2, &["m", "m"]);
    fleet.declare("m", "1", 2, 1);
    fleet.intent.weight_store = intent::WeightStore {
        mb_per_s: 0,
        burst_mb: 0,
    };
    fleet.run(5);
    let model = fleet
        .intent
        .models
        .get_mut("m")
        .expect("model should be declared");
    model.adapters = vec!["fine".into()];
    fleet.run(1);
    let fetched: Vec<u64> = fleet
        .orders
        .iter()
        .map(|(_, order)| order.fetch_mb)
        .collect();
    assert_eq!(fetched, [0]);
}

/// Guards against an order to a silent engine, which may be gone, and against
/// ordering a second engine because the first is silent while it loads.
#[test]
fn silent_engines_receive_no_orders_and_keep_pending_ones() {
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

/// Guards against counting an engine as ready although its failed order may have
/// been carried out.
#[test]
fn an_engine_with_a_failed_order_does_not_count_as_ready() {
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

    /// Guards against plans that never converge for some declared state.
    #[test]
    fn placement_converges(
        engines in 1usize..10,
        models in proptest::collection::vec((0u32..6, 0u32..4, 1u8..3), 1..4),
        loaded_models in proptest::collection::vec(0usize..4, 0..10),
    ) {
        let names = ["m", "n", "o", "p"];
        let loaded_models: Vec<&str> = loaded_models.iter().map(|&model| names[model]).collect();
        let mut fleet = Fleet::new(engines, &loaded_models);
        for (name, &(replicas, min_ready, version)) in names.iter().zip(&models) {
            fleet.declare(name, &version.to_string(), replicas, min_ready);
        }
        fleet.run(600);
        let count = fleet.orders.len();
        fleet.run(300);
        prop_assert_eq!(fleet.orders.len(), count);
    }
}
