//! Periodic tasks of the control thread.

use std::collections;

use bw_coord::{GroupId, host, node, payload};
use bw_policy::placement;
use bw_state::machine;
use bw_wire::{
    command,
    command::{config, work},
    name, sync,
};

use crate::{
    core::{Core, Waiting},
    metrics, settings,
};

/// Interval of updating links, members, health and gauges.
const UPDATE_MS: u64 = 250;
/// Interval of placement and of proposing changed tuning.
const PLACEMENT_MS: u64 = 1_000;
/// Interval at which the leader of a group proposes to drop expired data.
const EXPIRE_MS: u64 = 10_000;
/// Age of the last renewal after which an engine is replaced. Longer than a restart
/// takes, so that a short silence moves no model to another engine.
const ENGINE_GONE_MS: u64 = 10_000;

/// When each periodic task is due next, on the monotonic clock.
#[derive(Debug, Default)]
pub(super) struct Timers {
    update_ms: u64,
    placement_ms: u64,
    expire_ms: u64,
}

/// How long an order may stay without visible effect: time for the order, two
/// renewals of the engine and two syncs of the entry VM that receives them.
const ORDER_EFFECT_MS: u64 = 5_000;

/// An order that waits for its fencing token.
#[derive(Clone, Debug)]
pub(crate) struct PendingOrder {
    pub(crate) order: placement::Order,
    pub(crate) address: name::Name,
    /// Whether the engine refuses old fencing tokens.
    pub(crate) checks_fencing: bool,
}

/// Creates the placement of a replica.
pub(super) fn placement(settings: &settings::Settings) -> placement::Placement {
    // After this time, all entry VMs have reported, and any lease of the previous
    // leader, which is shorter than an election timeout, has ended.
    let warm_up_ms = sync::CONFIG_LEASE_MS.max(settings.timeouts.election_ms);
    placement::Builder::new()
        .grace_ms(ENGINE_GONE_MS)
        .timeouts(ORDER_EFFECT_MS, settings.timeouts.load_ms)
        .warm_up(warm_up_ms, settings.timeouts.order_ms)
        .build()
}

impl Core {
    pub(super) fn run_periodic_tasks(&mut self) {
        let now_ms = self.clock.now_ms();
        if now_ms >= self.timers.update_ms {
            self.timers.update_ms = now_ms + UPDATE_MS;
            self.update_links();
            self.reconcile_members(now_ms);
            self.update_metrics(now_ms);
        }
        if now_ms >= self.timers.placement_ms {
            self.timers.placement_ms = now_ms + PLACEMENT_MS;
            self.tune();
            self.place(now_ms);
        }
        if now_ms >= self.timers.expire_ms {
            self.timers.expire_ms = now_ms + EXPIRE_MS;
            self.expire();
        }
    }

    /// Opens links to all members and closes links to others.
    pub(super) fn update_links(&mut self) {
        let addresses = self.addresses();
        self.parts.links.set(&addresses);
    }

    pub(super) fn leads_group(&self, group: u32) -> bool {
        let status = self.parts.host.status(GroupId(group));
        status.is_some_and(|status| status.role == node::Role::Leader)
    }

    /// Proposes a command of this replica itself in the next step.
    fn propose_internal(&mut self, group: u32, command: work::Command) {
        let command = command::Command::Work(command);
        let input = self.propose(group, command, Waiting::Internal);
        self.internal_inputs.push(input);
    }

    /// Proposes to drop expired data in the groups that this replica leads.
    fn expire(&mut self) {
        for group in 1..=self.parts.settings.work_groups {
            if self.leads_group(group) {
                self.propose_internal(group, work::Command::Expire);
            }
        }
    }

    /// Proposes the tuning of the current configuration to led groups whose tuning
    /// differs.
    fn tune(&mut self) {
        let Some(wanted) = self.tuning() else {
            return;
        };
        for group in 1..=self.parts.settings.work_groups {
            let machine = self.parts.host.machine(GroupId(group));
            let differs = match machine {
                Some(machine::Machine::Work(machine)) => *machine.tuning() != wanted,
                _ => false,
            };
            if differs && self.leads_group(group) {
                let tuning = Box::new(wanted.clone());
                self.propose_internal(group, work::Command::Tune { tuning });
            }
        }
    }

    fn tuning(&self) -> Option<work::Tuning> {
        let machine = self.parts.host.machine(GroupId(0))?;
        let machine::Machine::Config(config) = machine else {
            return None;
        };
        let intent = config.intent();
        let default_weight = intent.default_limits.batch_weight;
        let weights: collections::BTreeMap<_, _> = intent
            .teams
            .iter()
            .map(|(team, limits)| (team.clone(), limits.batch_weight))
            .filter(|(_, weight)| *weight != default_weight)
            .collect();
        Some(work::Tuning {
            retention: self.parts.settings.retention,
            weights,
            default_weight,
            ..work::Tuning::default()
        })
    }

    /// Runs placement and proposes its orders.
    fn place(&mut self, now_ms: u64) {
        if self.leader_term.is_none() || self.stopping.is_some() {
            return;
        }
        self.registry.expire(now_ms);
        let Some(machine::Machine::Config(config)) = self.parts.host.machine(GroupId(0)) else {
            return;
        };
        let announcements = self.registry.announcements(now_ms);
        let orders = self.placement.plan(config.intent(), &announcements, now_ms);
        for (model, missing) in self.placement.missing() {
            let gauge = metrics::PLACEMENT.with_label_values(&[model.as_str()]);
            gauge.set(i64::from(*missing));
        }
        let pending = orders.into_iter().filter_map(|order| {
            let announcement = &self.registry.backend(&order.backend)?.announcement;
            let deployment = config.intent().deployments.get(&announcement.service);
            Some(PendingOrder {
                order,
                address: announcement.address.clone(),
                checks_fencing: deployment.is_some_and(|declared| declared.checks_fencing),
            })
        });
        let pending: Vec<PendingOrder> = pending.collect();
        for order in pending {
            self.propose_order(now_ms, order);
        }
    }

    /// Proposes an order to the log, which assigns its fencing token.
    fn propose_order(&mut self, now_ms: u64, pending: PendingOrder) {
        let order = &pending.order;
        self.placement.ordered(order, now_ms);
        log::info!(
            backend = order.backend.as_str(), reason = order.reason.to_string();
            "placement orders {:?}", order.action
        );
        let command = command::Command::Config(config::Command::Order {
            backend: order.backend.clone(),
            action: order.action.clone(),
            fetch_mb: order.fetch_mb,
        });
        let input = self.propose(0, command, Waiting::Order(pending));
        self.internal_inputs.push(input);
    }

    /// Updates the gauges and the health of the replica.
    fn update_metrics(&mut self, now_ms: u64) {
        let mut ready = true;
        for group in 0..=self.parts.settings.work_groups {
            let Some(status) = self.parts.host.status(GroupId(group)) else {
                ready = false;
                continue;
            };
            ready &= status.leader.is_some();
            update_group_metrics(group, &status);
            if let Some(machine::Machine::Work(machine)) = self.parts.host.machine(GroupId(group)) {
                let gauge = metrics::STORED.with_label_values(&[&group.to_string()]);
                gauge.set(machine.bytes() as i64);
            }
            if let Some(payloads) = self.parts.host.payloads(GroupId(group)) {
                update_payload_metrics(group, payloads);
            }
        }
        if let Some(machine::Machine::Config(config)) = self.parts.host.machine(GroupId(0)) {
            let labels: [&str; 0] = [];
            let gauge = metrics::REVISION.with_label_values(&labels);
            gauge.set(config.revision() as i64);
        }
        self.update_registry_metrics(now_ms);
        let stats = self.parts.host.stats();
        let totals = [
            ("entries", stats.entries),
            ("syncs", stats.syncs),
            ("log_bytes", stats.log_bytes),
            ("snapshots", stats.snapshots),
            ("snapshot_bytes", stats.snapshot_bytes),
        ];
        for (name, total) in totals {
            metrics::DISK.with_label_values(&[name]).set(total as i64);
        }
        self.parts.health.set_stats(stats);
        let syncing_ms = self.parts.host.syncing_ms().unwrap_or(0);
        self.parts.health.record_sync(syncing_ms);
        self.parts
            .health
            .record_loop(ready && self.stopping.is_none());
    }

    fn update_registry_metrics(&self, now_ms: u64) {
        let labels: [&str; 0] = [];
        let leads = self.leader_term.is_some();
        let (entries, backends) = match leads {
            true => (
                self.registry.entries(now_ms).len(),
                self.registry.backends().len(),
            ),
            false => (0, 0),
        };
        metrics::ENTRIES
            .with_label_values(&labels)
            .set(entries as i64);
        metrics::BACKENDS
            .with_label_values(&labels)
            .set(backends as i64);
    }
}

fn update_payload_metrics(group: u32, payloads: &payload::Store) {
    let group = group.to_string();
    let parts = [
        ("live", payloads.live_bytes()),
        ("disk", payloads.disk_bytes()),
    ];
    for (part, bytes) in parts {
        let gauge = metrics::PAYLOADS.with_label_values(&[&group, part]);
        gauge.set(bytes as i64);
    }
}

fn update_group_metrics(group: u32, status: &host::Status) {
    let name = group.to_string();
    let positions = [
        ("commit", status.commit),
        ("applied", status.applied),
        ("last", status.last_index),
        ("snapshot", status.snapshot_index),
    ];
    for (position, index) in positions {
        metrics::LOG
            .with_label_values(&[&name, position])
            .set(index as i64);
    }
    let voters = status.members.iter().filter(|member| member.voter).count();
    let learners = status.members.len() - voters;
    metrics::MEMBERS
        .with_label_values(&[&name, "voter"])
        .set(voters as i64);
    metrics::MEMBERS
        .with_label_values(&[&name, "learner"])
        .set(learners as i64);
    metrics::TERM
        .with_label_values(&[&name])
        .set(status.term as i64);
    let leads = status.role == node::Role::Leader;
    metrics::LEADER
        .with_label_values(&[&name])
        .set(i64::from(leads));
    let lease_ms = status.lease_remaining_ms;
    metrics::LEASE
        .with_label_values(&[&name])
        .set(lease_ms as i64);
}
