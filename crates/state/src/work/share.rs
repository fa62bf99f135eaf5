//! Sharing of batch capacity among teams by weight.
//!
//! Each team has a virtual time that advances by the items it was given,
//! divided by its weight. The team that is furthest behind comes next. A team
//! that was idle starts at the common virtual time, so that idling saves up
//! no claim. A team that waits for a model without backend servers stays behind.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, name};

/// Virtual time of one item at weight 1. Divisible by the common weights, so
/// that rounding favours no team.
const ITEM_SPAN: u64 = 1 << 20;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Share {
    /// The virtual time of the team that was chosen last.
    common: u64,
    /// Virtual times of teams that are waiting or ahead of the common time.
    teams: collections::BTreeMap<name::Name, u64>,
    /// Waiting teams by virtual time, under each model that they wait for;
    /// derived.
    #[serde(skip)]
    waiting: collections::BTreeMap<name::Name, collections::BTreeSet<(u64, name::Name)>>,
    /// The models that each waiting team waits for. Stored, because a team that
    /// waits keeps its time, which may be behind the common one.
    models: collections::BTreeMap<name::Name, collections::BTreeSet<name::Name>>,
}

impl Share {
    /// Adds a team that has work of a model to give out.
    pub(super) fn join(&mut self, team: &name::Name, model: &name::Name) {
        let time = self.teams.entry(team.clone()).or_insert(self.common);
        let models = self.models.entry(team.clone()).or_default();
        // A team that already waits keeps its time, under which it is listed.
        if models.is_empty() {
            *time = (*time).max(self.common);
        }
        models.insert(model.clone());
        let waiting = self.waiting.entry(model.clone()).or_default();
        waiting.insert((*time, team.clone()));
    }

    /// Removes a team that has no work of a model to give out now.
    pub(super) fn leave(&mut self, team: &name::Name, model: &name::Name) {
        if let Some(models) = self.models.get_mut(team) {
            models.remove(model);
            if models.is_empty() {
                self.models.remove(team);
            }
        }
        let time = self.teams.get(team).copied().unwrap_or_default();
        if let Some(waiting) = self.waiting.get_mut(model) {
            waiting.remove(&(time, team.clone()));
            if waiting.is_empty() {
                self.waiting.remove(model);
            }
        }
    }

    /// Returns the team that is furthest behind among those that wait for some
    /// models, or for any if none is named, and makes its time the common one.
    pub(super) fn next(&mut self, models: &[name::Name]) -> Option<name::Name> {
        let all = models.is_empty().then(|| self.waiting.values());
        let named = models.iter().filter_map(|model| self.waiting.get(model));
        let waiting = all.into_iter().flatten().chain(named);
        let first = waiting.filter_map(collections::BTreeSet::first);
        let (time, team) = first.min()?;
        self.common = self.common.max(*time);
        Some(team.clone())
    }

    /// Charges a waiting team for items.
    pub(super) fn charge(&mut self, team: &name::Name, items: u64, tuning: &work::Tuning) {
        let Some(time) = self.teams.get_mut(team) else {
            return;
        };
        let weight = tuning.weights.get(team).copied();
        let weight = u64::from(weight.unwrap_or(tuning.default_weight).max(1));
        let before = *time;
        *time = time.saturating_add(items.saturating_mul(ITEM_SPAN) / weight);
        for model in self.models.get(team).into_iter().flatten() {
            let waiting = self.waiting.entry(model.clone()).or_default();
            waiting.remove(&(before, team.clone()));
            waiting.insert((*time, team.clone()));
        }
    }

    /// Forgets teams that are neither waiting nor ahead.
    pub(super) fn expire(&mut self) {
        let (waiting, common) = (&self.models, self.common);
        self.teams
            .retain(|team, time| *time > common || waiting.contains_key(team));
    }
}
