//! Compares the configuration machine with a simple model, under racing operators,
//! retries and restarts from snapshots.

use proptest::{
    prelude::*,
    strategy::BoxedStrategy,
    test_runner::{Config, RngSeed},
};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

use bw_state::config::Machine;
use bw_wire::{backend, command, command::config, intent, name::Name, query};

const BURST_MB: u64 = 100;
const RATE_MB_PER_S: u64 = 10;
const HOUR_MS: u64 = 3_600_000;

#[derive(Clone, Debug)]
enum Step {
    Pass {
        ms: u64,
    },
    /// Plans against the revision `back` revisions before the current one.
    Plan {
        back: u64,
        replicas: u32,
    },
    Confirm {
        plan: usize,
    },
    /// Retries an earlier call.
    Resend {
        call: usize,
    },
    /// Sends a different command under the request id of an earlier call.
    Reuse {
        call: usize,
    },
    Order {
        mb: u64,
    },
    Restart,
}

#[derive(Clone, Debug)]
struct Plan {
    base: u64,
    replicas: u32,
    at_ms: u64,
    applied: Option<u64>,
}

/// A plan call, or a confirm call with the number of its plan, and its last outcome.
#[derive(Clone, Debug)]
struct Call {
    confirms: Option<usize>,
    outcome: Outcome,
}

/// The parts of an answer that the model predicts.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Outcome {
    Planned,
    Applied(u64),
    Conflict { current: u64, since: Vec<u64> },
    UnknownPlan,
    RequestConflict,
    Ordered(u64),
    Wait,
}

#[derive(Clone, Debug, Default)]
struct Model {
    now_ms: u64,
    /// The value of each revision, from 0.
    revisions: Vec<u32>,
    plans: Vec<Plan>,
    /// The plan and confirm calls in order.
    calls: Vec<Call>,
    fence: u64,
    /// The time and the megabytes of each granted order.
    spent: Vec<(u64, u64)>,
    last: Option<Outcome>,
}

impl Model {
    fn revision(&self) -> u64 {
        self.revisions.len() as u64 - 1
    }

    fn conflict(&self, base: u64) -> Outcome {
        Outcome::Conflict {
            current: self.revision(),
            since: (base + 1..=self.revision()).collect(),
        }
    }

    fn plan(&mut self, base: u64, replicas: u32) -> Outcome {
        if base != self.revision() {
            return self.conflict(base);
        }
        self.plans.push(Plan {
            base,
            replicas,
            at_ms: self.now_ms,
            applied: None,
        });
        Outcome::Planned
    }

    fn confirm(&mut self, number: usize) -> Outcome {
        let revision = self.revision();
        let now_ms = self.now_ms;
        let Some(plan) = self.plans.get_mut(number) else {
            return Outcome::UnknownPlan;
        };
        if let Some(applied) = plan.applied {
            return self.conflict(applied - 1);
        }
        if now_ms >= plan.at_ms + HOUR_MS {
            return Outcome::UnknownPlan;
        }
        if plan.base != revision {
            let base = plan.base;
            return self.conflict(base);
        }
        plan.applied = Some(revision + 1);
        self.revisions.push(plan.replicas);
        Outcome::Applied(revision + 1)
    }

    fn call(&mut self, confirms: Option<usize>, outcome: Outcome) -> Outcome {
        let call = Call {
            confirms,
            outcome: outcome.clone(),
        };
        self.calls.push(call);
        outcome
    }

    /// A retried call gets its first outcome again, unless that was an unknown plan:
    /// the plan may exist by now.
    fn resend(&mut self, number: usize) -> Option<Outcome> {
        let Call { confirms, outcome } = self.calls.get(number)?.clone();
        let outcome = match (outcome, confirms) {
            (Outcome::UnknownPlan, Some(plan)) => self.confirm(plan),
            (outcome, _) => outcome,
        };
        self.calls[number].outcome = outcome.clone();
        Some(outcome)
    }

    /// A different command is refused only if the request id has a stored outcome.
    fn reuse(&self, number: usize) -> Option<Outcome> {
        let call = self.calls.get(number)?;
        Some(match call.outcome {
            Outcome::UnknownPlan => Outcome::UnknownPlan,
            _ => Outcome::RequestConflict,
        })
    }

    /// Recomputes the bucket from the first order, in thousandths of a megabyte.
    fn order(&mut self, mb: u64) -> Outcome {
        let mut level = BURST_MB * 1_000;
        let mut at_ms = self.spent.first().map_or(self.now_ms, |(at_ms, _)| *at_ms);
        for (spent_ms, spent) in &self.spent {
            level = (level + (spent_ms - at_ms) * RATE_MB_PER_S).min(BURST_MB * 1_000);
            level -= spent * 1_000;
            at_ms = *spent_ms;
        }
        level = (level + (self.now_ms - at_ms) * RATE_MB_PER_S).min(BURST_MB * 1_000);
        if level < mb * 1_000 {
            return Outcome::Wait;
        }
        self.spent.push((self.now_ms, mb));
        self.fence += 1;
        Outcome::Ordered(self.fence)
    }
}

impl ReferenceStateMachine for Model {
    type State = Model;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Model> {
        let model = Model {
            now_ms: 10_000,
            revisions: vec![1],
            ..Model::default()
        };
        Just(model).boxed()
    }

    fn transitions(model: &Model) -> BoxedStrategy<Step> {
        let (plans, calls) = (model.plans.len() + 1, model.calls.len() + 1);
        prop_oneof![
            3 => (1..4_000_u64).prop_map(|ms| Step::Pass { ms }),
            1 => Just(Step::Pass { ms: HOUR_MS }),
            5 => (0..3_u64, 1..9_u32).prop_map(|(back, replicas)| Step::Plan { back, replicas }),
            5 => (0..plans).prop_map(|plan| Step::Confirm { plan }),
            3 => (0..calls).prop_map(|call| Step::Resend { call }),
            1 => (0..calls).prop_map(|call| Step::Reuse { call }),
            3 => (0..60_u64).prop_map(|mb| Step::Order { mb }),
            1 => Just(Step::Restart),
        ]
        .boxed()
    }

    fn apply(mut model: Model, step: &Step) -> Model {
        model.last = match step {
            Step::Pass { ms } => {
                model.now_ms += ms;
                None
            }
            Step::Plan { back, replicas } => {
                let base = model.revision().saturating_sub(*back);
                let outcome = model.plan(base, *replicas);
                Some(model.call(None, outcome))
            }
            Step::Confirm { plan } => {
                let outcome = model.confirm(*plan);
                Some(model.call(Some(*plan), outcome))
            }
            Step::Resend { call } => model.resend(*call),
            Step::Reuse { call } => model.reuse(*call),
            Step::Order { mb } => Some(model.order(*mb)),
            Step::Restart => None,
        };
        model
    }
}

#[derive(Default)]
struct System {
    machine: Machine,
    index: u64,
    calls: Vec<config::Command>,
}

impl System {
    fn run(&mut self, now_ms: u64, command: config::Command) -> config::Reply {
        self.index += 1;
        let (revision, fence) = (self.machine.revision(), self.machine.fence());
        let stamped = command::Stamped { now_ms, command };
        let reply = self.machine.apply(self.index, stamped);
        assert!(self.machine.revision() >= revision && self.machine.fence() >= fence);
        reply
    }

    fn call(&mut self, now_ms: u64, command: config::Command) -> config::Reply {
        self.calls.push(command.clone());
        self.run(now_ms, command)
    }

    fn request(&self) -> Name {
        format!("r{}", self.calls.len()).into()
    }

    fn plan(&self, base: u64, replicas: u32) -> config::Command {
        config::Command::Plan {
            request: self.request(),
            operator: "o".into(),
            base,
            intent: Box::new(declare(replicas)),
        }
    }
}

/// Returns the id that the machine assigns to a plan of the model.
fn plan_name(number: usize) -> Name {
    // The machine's first plan belongs to the setup of the test.
    format!("plan-{}", number + 2).into()
}

fn declare(replicas: u32) -> intent::Intent {
    let mut declared = intent::Intent {
        weight_store: intent::WeightStore {
            mb_per_s: RATE_MB_PER_S,
            burst_mb: BURST_MB,
        },
        ..intent::Intent::default()
    };
    let model = intent::Model {
        replicas,
        ..intent::Model::default()
    };
    declared.models.insert("m".into(), model);
    declared
}

fn outcome(reply: config::Reply) -> Outcome {
    match reply {
        config::Reply::Planned { .. } => Outcome::Planned,
        config::Reply::Applied { revision } => Outcome::Applied(revision),
        config::Reply::Conflict { current, since } => Outcome::Conflict {
            current,
            since: since.iter().map(|revision| revision.number).collect(),
        },
        config::Reply::UnknownPlan => Outcome::UnknownPlan,
        config::Reply::RequestConflict => Outcome::RequestConflict,
        config::Reply::Ordered { fence } => Outcome::Ordered(fence),
        config::Reply::Wait { .. } => Outcome::Wait,
        config::Reply::Invalid { problems } => panic!("invalid: {problems:?}"),
    }
}

struct Check;

impl StateMachineTest for Check {
    type SystemUnderTest = System;
    type Reference = Model;

    fn init_test(_: &Model) -> System {
        let mut system = System::default();
        // The first revision sets the weight store that the model assumes.
        let plan = config::Command::Plan {
            request: "first-plan".into(),
            operator: "o".into(),
            base: 0,
            intent: Box::new(declare(1)),
        };
        let config::Reply::Planned { plan, .. } = system.run(1, plan) else {
            panic!("not planned");
        };
        let confirm = config::Command::Confirm {
            request: "first-confirm".into(),
            operator: "o".into(),
            plan,
        };
        let applied = config::Reply::Applied { revision: 1 };
        assert_eq!(system.run(1, confirm), applied);
        system
    }

    fn apply(mut system: System, model: &Model, step: Step) -> System {
        let now_ms = model.now_ms;
        let reply = match step {
            Step::Pass { .. } => return system,
            Step::Plan { back, replicas } => {
                // The machine is one revision ahead of the model.
                let current = system.machine.revision();
                let base = 1 + (current - 1).saturating_sub(back);
                let plan = system.plan(base, replicas);
                let reply = system.call(now_ms, plan);
                if let config::Reply::Planned { plan, changes, .. } = &reply {
                    assert!(changes.len() <= 1, "{changes:?}");
                    assert_eq!(*plan, plan_name(model.plans.len() - 1));
                }
                reply
            }
            Step::Confirm { plan } => {
                let confirm = config::Command::Confirm {
                    request: system.request(),
                    operator: "o".into(),
                    plan: plan_name(plan),
                };
                system.call(now_ms, confirm)
            }
            Step::Resend { call } => match system.calls.get(call).cloned() {
                Some(call) => system.run(now_ms, call),
                None => return system,
            },
            Step::Reuse { call } if call < system.calls.len() => {
                let other = config::Command::Confirm {
                    request: format!("r{call}").into(),
                    operator: "other".into(),
                    plan: "plan-0".into(),
                };
                system.run(now_ms, other)
            }
            Step::Order { mb } => {
                let order = config::Command::Order {
                    backend: "b".into(),
                    action: backend::Action::Leave,
                    fetch_mb: mb,
                };
                system.run(now_ms, order)
            }
            Step::Restart => {
                let snapshot = system.machine.snapshot();
                system.machine = Machine::new();
                system.machine.restore(&snapshot).expect("own snapshot");
                return system;
            }
            Step::Reuse { .. } => return system,
        };
        let expected = model.last.clone().map(|outcome| match outcome {
            Outcome::Applied(revision) => Outcome::Applied(revision + 1),
            Outcome::Conflict { current, since } => Outcome::Conflict {
                current: current + 1,
                since: since.iter().map(|revision| revision + 1).collect(),
            },
            other => other,
        });
        assert_eq!(Some(outcome(reply)), expected);
        system
    }

    fn check_invariants(system: &System, model: &Model) {
        assert_eq!(system.machine.revision(), model.revision() + 1);
        let current = system
            .machine
            .intent()
            .models
            .get("m")
            .map(|model| model.replicas);
        assert_eq!(current, model.revisions.last().copied());
        let history = system.machine.query(&query::Query::History { limit: 100 });
        let Some(query::Answer::History(history)) = history else {
            panic!("no history");
        };
        let numbers = history.iter().rev().map(|revision| revision.number);
        assert!(numbers.eq(1..=system.machine.revision()));
    }
}

prop_state_machine! {
    #![proptest_config(Config { cases: 256, rng_seed: RngSeed::Fixed(20261204), ..Config::default() })]

    /// Guards against revisions that revert, plans that apply twice or overwrite
    /// another change, retries that get a different answer, fencing tokens that are
    /// issued twice, and a budget that refills on a restart.
    #[test]
    fn the_config_machine_follows_the_model(sequential 1..60 => Check);
}

fn plan(request: &str, base: u64) -> config::Command {
    config::Command::Plan {
        request: request.into(),
        operator: "o".into(),
        base,
        intent: Box::new(declare(1)),
    }
}

fn confirm(request: &str, plan: &str) -> config::Command {
    config::Command::Confirm {
        request: request.into(),
        operator: "o".into(),
        plan: plan.into(),
    }
}

fn run(machine: &mut Machine, command: config::Command) -> config::Reply {
    let stamped = command::Stamped { now_ms: 1, command };
    machine.apply(machine.applied() + 1, stamped)
}

/// Guards against a stored "unknown plan" reply to a confirm that was applied before
/// its plan.
#[test]
fn a_confirm_before_its_plan_takes_effect_when_it_is_sent_again() {
    let mut machine = Machine::new();
    let early = run(&mut machine, confirm("c", "plan-1"));
    assert_eq!(early, config::Reply::UnknownPlan);
    let planned = run(&mut machine, plan("p", 0));
    assert!(
        matches!(&planned, config::Reply::Planned { plan, .. } if plan.as_str() == "plan-1"),
        "{planned:?}"
    );
    let applied = config::Reply::Applied { revision: 1 };
    assert_eq!(run(&mut machine, confirm("c", "plan-1")), applied);
    assert_eq!(run(&mut machine, confirm("c", "plan-1")), applied);
    assert_eq!(machine.revision(), 1);
}

/// Guards against a stored conflict for a plan that was applied before the revision
/// that it is based on.
#[test]
fn a_plan_before_its_base_revision_is_stored_when_it_is_sent_again() {
    let mut machine = Machine::new();
    let early = run(&mut machine, plan("p2", 1));
    let expected = config::Reply::Conflict {
        current: 0,
        since: Vec::new(),
    };
    assert_eq!(early, expected);
    run(&mut machine, plan("p1", 0));
    run(&mut machine, confirm("c", "plan-1"));
    let again = run(&mut machine, plan("p2", 1));
    assert!(
        matches!(&again, config::Reply::Planned { base: 1, .. }),
        "{again:?}"
    );
}

/// Guards against accepting an intent that cannot be carried out.
#[test]
fn wrong_intents_are_refused_with_every_problem() {
    let mut wrong = intent::Intent::default();
    let model = intent::Model {
        deployment: "nowhere".into(),
        min_ready: 3,
        adapters: vec!["a".into(), "a".into()],
        ..intent::Model::default()
    };
    wrong.models.insert("m".into(), model);
    wrong
        .models
        .insert("with space".into(), intent::Model::default());
    wrong.default_limits.batch_weight = 0;
    wrong.weight_store.mb_per_s = 0;
    let plan = config::Command::Plan {
        request: "r".into(),
        operator: "o".into(),
        base: 0,
        intent: Box::new(wrong),
    };
    let stamped = command::Stamped {
        now_ms: 1,
        command: plan,
    };
    match Machine::new().apply(1, stamped) {
        config::Reply::Invalid { problems } => assert_eq!(problems.len(), 6, "{problems:?}"),
        other => panic!("unexpected reply {other:?}"),
    }
}

/// Guards against a diff or a fetch estimate that omits a change.
#[test]
fn a_plan_shows_what_it_changes() {
    let mut machine = Machine::new();
    let plan = config::Command::Plan {
        request: "r".into(),
        operator: "o".into(),
        base: 0,
        intent: Box::new(declare(3)),
    };
    let stamped = command::Stamped {
        now_ms: 1,
        command: plan,
    };
    let config::Reply::Planned {
        changes, fetch_mb, ..
    } = machine.apply(1, stamped)
    else {
        panic!("not planned");
    };
    let paths: Vec<&str> = changes.iter().map(|change| change.path.as_str()).collect();
    let expected = ["models.m", "weight_store.burst_mb", "weight_store.mb_per_s"];
    assert_eq!(paths, expected);
    assert_eq!(fetch_mb, 3_000);
}
