//! Orders that were given and whose effect is not announced yet.

use std::collections;

use bw_wire::{backend, name};

use crate::registry;

/// Pause before an engine is ordered again after an order failed.
const RETRY_MS: u64 = 5_000;

/// Times of the controller, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Settings {
    /// How long a new leader waits until all engines have been reported.
    pub warm_up_ms: u64,
    /// How long it waits more before orders to engines that ignore fencing
    /// numbers, so that no order of the previous leader is under way.
    pub order_ms: u64,
    /// How long an engine may take to load.
    pub load_ms: u64,
    /// Age of the last renewal up to which an engine gets orders.
    pub fresh_ms: u64,
    /// Age of the last renewal up to which an engine counts as there.
    pub gone_ms: u64,
}

/// Pending orders by engine.
#[derive(Debug, Default)]
pub struct Pending {
    orders: collections::BTreeMap<name::Name, Order>,
    /// No order that fetches weights is given before this time.
    budget_ms: u64,
}

#[derive(Debug)]
struct Order {
    incarnation: u64,
    action: backend::Action,
    /// Until when the engine is left alone.
    until_ms: u64,
    /// Whether the engine is expected to carry it out.
    alive: bool,
}

impl Pending {
    /// Notes that an order is being given.
    pub fn begin(
        &mut self,
        now_ms: u64,
        backend: &name::Name,
        incarnation: u64,
        action: backend::Action,
        settings: &Settings,
    ) {
        let order = Order {
            incarnation,
            action,
            until_ms: now_ms + settings.load_ms,
            alive: true,
        };
        self.orders.insert(backend.clone(), order);
    }

    /// Notes that an order failed or may have failed; the engine is left alone
    /// for a while, so that its next announcements show what came of it.
    pub fn failed(&mut self, now_ms: u64, backend: &name::Name) {
        if let Some(order) = self.orders.get_mut(backend) {
            order.alive = false;
            order.until_ms = now_ms + RETRY_MS;
        }
    }

    /// Notes that the weight-store budget allows nothing for a while.
    pub fn wait(&mut self, now_ms: u64, backend: &name::Name, retry_ms: u64) {
        self.orders.remove(backend);
        self.budget_ms = now_ms + retry_ms;
    }

    /// Returns whether an engine is to be left alone.
    pub(super) fn holds(&self, backend: &name::Name) -> bool {
        self.orders.contains_key(backend)
    }

    /// Returns what an engine is expected to load.
    pub(super) fn expected(&self, backend: &name::Name) -> Option<&backend::Action> {
        let order = self.orders.get(backend)?;
        order.alive.then_some(&order.action)
    }

    /// Returns whether orders that fetch weights may be given.
    pub(super) fn may_fetch(&self, now_ms: u64) -> bool {
        now_ms >= self.budget_ms
    }

    /// Drops orders that are done, void or overdue.
    pub(super) fn settle(
        &mut self,
        now_ms: u64,
        backends: &collections::BTreeMap<name::Name, registry::Backend>,
        settings: &Settings,
    ) {
        self.orders.retain(|backend, order| {
            let Some(known) = backends.get(backend) else {
                return now_ms < order.until_ms.min(now_ms + settings.gone_ms);
            };
            let announced = &known.announcement;
            let same = announced.incarnation == order.incarnation;
            let done = announced.state == backend::State::Ready && carried_out(order, announced);
            same && !done && now_ms < order.until_ms
        });
    }
}

fn carried_out(order: &Order, announced: &backend::Announcement) -> bool {
    match &order.action {
        backend::Action::Load {
            model,
            version,
            adapters,
        } => announced
            .loaded
            .iter()
            .any(|loaded| super::view::serves(loaded, model, version, adapters)),
        backend::Action::Unload { model } => {
            announced.loaded.iter().all(|loaded| loaded.model != *model)
        }
        backend::Action::Leave => false,
    }
}
