//! The configuration machine: intent, plans, history and the budget of orders.

mod budget;
mod diff;
mod requests;
mod validate;

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command, command::config, intent, name, query};

use crate::snapshot;

/// How long a plan can be confirmed after its creation.
const PLAN_TTL_MS: u64 = 3_600_000;
/// Most open plans, because each holds a whole intent. A further plan replaces
/// the oldest.
const PLANS_MAX: usize = 64;
/// Most revisions in the history, two weeks at 760 changes a day.
const HISTORY_MAX: usize = 10_000;
/// Most revisions in the answer to a conflict, the latest ones.
const CONFLICT_MAX: usize = 100;

/// The state of the configuration group.
#[derive(Clone, Debug, Default)]
pub struct Machine {
    state: State,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct State {
    applied: u64,
    now_ms: u64,
    revision: u64,
    intent: Box<intent::Intent>,
    last_plan: u64,
    plans: collections::BTreeMap<u64, Plan>,
    history: collections::VecDeque<config::Revision>,
    requests: requests::Requests,
    fence: u64,
    budget: budget::Budget,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Plan {
    id: name::Name,
    base: u64,
    created_ms: u64,
    intent: Box<intent::Intent>,
    changes: Vec<config::Change>,
}

impl Machine {
    /// Creates a machine at revision 0 with the default intent.
    pub fn new() -> Machine {
        Machine::default()
    }

    /// Returns the index of the last applied command.
    pub fn applied(&self) -> u64 {
        self.state.applied
    }

    /// Returns the machine's time, Unix time in milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.state.now_ms
    }

    /// Returns the current revision.
    pub fn revision(&self) -> u64 {
        self.state.revision
    }

    /// Returns the current intent.
    pub fn intent(&self) -> &intent::Intent {
        &self.state.intent
    }

    /// Returns the fencing token of the last order; 0 before the first.
    pub fn fence(&self) -> u64 {
        self.state.fence
    }

    /// Applies the committed command at a log index. A request that was answered before
    /// gets the same reply again.
    pub fn apply(
        &mut self,
        index: u64,
        stamped: command::Stamped<config::Command>,
    ) -> config::Reply {
        let state = &mut self.state;
        state.applied = index;
        state.now_ms = state.now_ms.max(stamped.now_ms);
        match &stamped.command {
            config::Command::Plan { request, .. } | config::Command::Confirm { request, .. } => {
                let request = request.clone();
                let fingerprint = requests::fingerprint(&stamped.command);
                if let Some(reply) = state.requests.reply(&request, fingerprint) {
                    return reply;
                }
                let reply = state.execute(stamped.command);
                let now_ms = state.now_ms;
                state
                    .requests
                    .insert(now_ms, request, fingerprint, reply.clone());
                reply
            }
            config::Command::Order { .. } => state.execute(stamped.command),
        }
    }

    /// Answers a query about group 0, or `None` for one about a work group.
    pub fn query(&self, query: &query::Query) -> Option<query::Answer> {
        match query {
            query::Query::Config => Some(query::Answer::Config {
                revision: self.state.revision,
                intent: self.state.intent.clone(),
            }),
            query::Query::History { limit } => {
                let newest = self.state.history.iter().rev().take(*limit as usize);
                Some(query::Answer::History(newest.cloned().collect()))
            }
            _ => None,
        }
    }

    /// Encodes the whole state.
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::encode(&self.state)
    }

    /// Replaces the state by a snapshot.
    ///
    /// # Errors
    ///
    /// Fails when the snapshot has another version or is damaged; the state
    /// stays as it was.
    pub fn restore(&mut self, data: &[u8]) -> Result<(), snapshot::Error> {
        self.state = snapshot::decode(data)?;
        Ok(())
    }
}

impl State {
    fn execute(&mut self, command: config::Command) -> config::Reply {
        match command {
            config::Command::Plan { base, intent, .. } => self.plan(base, intent),
            config::Command::Confirm { operator, plan, .. } => self.confirm(operator, &plan),
            config::Command::Order { fetch_mb, .. } => self.order(fetch_mb),
        }
    }

    fn plan(&mut self, base: u64, intent: Box<intent::Intent>) -> config::Reply {
        let problems = validate::problems(&intent);
        if !problems.is_empty() {
            return config::Reply::Invalid { problems };
        }
        if base != self.revision {
            return self.conflict(base);
        }
        self.prune_plans();
        self.last_plan += 1;
        let changes = diff::changes(&self.intent, &intent);
        let plan = Plan {
            id: plan_id(self.last_plan),
            base,
            created_ms: self.now_ms,
            changes: changes.clone(),
            intent,
        };
        let reply = config::Reply::Planned {
            plan: plan.id.clone(),
            base,
            changes,
            fetch_mb: diff::fetch_mb(&self.intent, &plan.intent),
        };
        self.plans.insert(self.last_plan, plan);
        reply
    }

    fn confirm(&mut self, operator: name::Name, id: &name::Name) -> config::Reply {
        self.prune_plans();
        let number = id.strip_prefix("plan-").and_then(|text| text.parse().ok());
        let Some(number) = number.filter(|number| *id == plan_id(*number)) else {
            return config::Reply::UnknownPlan;
        };
        let Some(plan) = self.plans.get(&number) else {
            return match self.history.iter().find(|entry| entry.plan == *id) {
                Some(entry) => self.conflict(entry.number - 1),
                None => config::Reply::UnknownPlan,
            };
        };
        if plan.base != self.revision {
            return self.conflict(plan.base);
        }
        let Some(plan) = self.plans.remove(&number) else {
            return config::Reply::UnknownPlan;
        };
        self.revision += 1;
        // Refills for the time until now, at the old rate.
        self.budget.refill(self.now_ms, &self.intent.weight_store);
        self.intent = plan.intent;
        self.history.push_back(config::Revision {
            number: self.revision,
            operator,
            plan: plan.id,
            at_ms: self.now_ms,
            changes: plan.changes,
        });
        if self.history.len() > HISTORY_MAX {
            self.history.pop_front();
        }
        config::Reply::Applied {
            revision: self.revision,
        }
    }

    fn order(&mut self, fetch_mb: u64) -> config::Reply {
        let limit = &self.intent.weight_store;
        match self.budget.spend(self.now_ms, limit, fetch_mb) {
            Ok(()) => {
                self.fence += 1;
                config::Reply::Ordered { fence: self.fence }
            }
            Err(retry_ms) => config::Reply::Wait { retry_ms },
        }
    }

    fn conflict(&self, base: u64) -> config::Reply {
        let since = self.history.iter().filter(|entry| entry.number > base);
        let skip = since.clone().count().saturating_sub(CONFLICT_MAX);
        config::Reply::Conflict {
            current: self.revision,
            since: since.skip(skip).cloned().collect(),
        }
    }

    fn prune_plans(&mut self) {
        let now_ms = self.now_ms;
        self.plans
            .retain(|_, plan| now_ms < plan.created_ms.saturating_add(PLAN_TTL_MS));
        while self.plans.len() >= PLANS_MAX {
            self.plans.pop_first();
        }
    }
}

fn plan_id(number: u64) -> name::Name {
    format!("plan-{number}").into()
}
