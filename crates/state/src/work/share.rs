//! Weighted fair sharing of batch capacity among teams.
//!
//! Each team has a virtual time that advances by the number of items that it was
//! leased, divided by its weight. The team with the least virtual time comes next.
//! A team that was idle starts at the common virtual time, so that idle time earns
//! no credit. A team that waits for a model without backend servers keeps its time
//! and so stays behind.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, name};

/// Virtual time of one item at weight 1. Divisible by the common weights, so that
/// rounding favours no team.
const ITEM_TIME: u64 = 1 << 20;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Share {
    /// The virtual time of the team that was chosen last.
    common_time: u64,
    /// Virtual times of teams that are waiting or ahead of the common time.
    times: collections::BTreeMap<name::Name, u64>,
    /// Waiting teams by virtual time, under each model that they wait for; derived
    /// from `models`.
    #[serde(skip)]
    waiting: collections::BTreeMap<name::Name, collections::BTreeSet<(u64, name::Name)>>,
    /// The models that each waiting team waits for. Stored, because a waiting team
    /// keeps its time, which may be behind the common one.
    models: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
}

impl Share {
    /// Adds a team that has chunks with open items of a model.
    pub(super) fn join(&mut self, team: &name::Name, model: &name::Name) {
        let time = self.times.entry(team.clone()).or_insert(self.common_time);
        let models = self.models.entry(team.clone()).or_default();
        // A team that already waits keeps its time, under which it is listed.
        if models.is_empty() {
            *time = (*time).max(self.common_time);
        }
        models.insert(model.clone());
        let waiting = self.waiting.entry(model.clone()).or_default();
        waiting.insert((*time, team.clone()));
    }

    /// Removes a team that has no available chunk with open items of a model.
    pub(super) fn leave(&mut self, team: &name::Name, model: &name::Name) {
        if let Some(models) = self.models.get_mut(team) {
            models.remove(model);
            if models.is_empty() {
                self.models.remove(team);
            }
        }
        let time = self.times.get(team).copied().unwrap_or_default();
        if let Some(waiting) = self.waiting.get_mut(model) {
            waiting.remove(&(time, team.clone()));
            if waiting.is_empty() {
                self.waiting.remove(model);
            }
        }
    }

    /// Returns the team with the least virtual time among those that wait for some
    /// models, or for any if none is named, and advances the common time to it.
    pub(super) fn next(&mut self, models: &[name::Name]) -> Option<name::Name> {
        let all = models.is_empty().then(|| self.waiting.values());
        let named = models.iter().filter_map(|model| self.waiting.get(model));
        let waiting = all.into_iter().flatten().chain(named);
        let first = waiting.filter_map(collections::BTreeSet::first);
        let (time, team) = first.min()?;
        self.common_time = self.common_time.max(*time);
        Some(team.clone())
    }

    /// Charges a waiting team for leased items.
    pub(super) fn charge(&mut self, team: &name::Name, items: u64, tuning: &work::Tuning) {
        let Some(time) = self.times.get_mut(team) else {
            return;
        };
        let weight = tuning.weights.get(team).copied();
        let weight = u64::from(weight.unwrap_or(tuning.default_weight).max(1));
        let before = *time;
        *time = time.saturating_add(items.saturating_mul(ITEM_TIME) / weight);
        for model in self.models.get(team).into_iter().flatten() {
            let waiting = self.waiting.entry(model.clone()).or_default();
            waiting.remove(&(before, team.clone()));
            waiting.insert((*time, team.clone()));
        }
    }

    /// Drops teams that neither wait nor are ahead of the common time.
    pub(super) fn expire(&mut self) {
        let (waiting, common_time) = (&self.models, self.common_time);
        self.times
            .retain(|team, time| *time > common_time || waiting.contains_key(team));
    }
}
