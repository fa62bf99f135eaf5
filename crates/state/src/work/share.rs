//! Sharing of batch capacity among teams by weight.
//!
//! Each team has a virtual time that advances by the items it was given,
//! divided by its weight. The team that is furthest behind comes next. A team
//! that was idle starts at the common virtual time, so that idling saves up
//! no claim.

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
    /// Waiting teams by virtual time; derived.
    #[serde(skip)]
    waiting: collections::BTreeSet<(u64, name::Name)>,
}

impl Share {
    /// Adds a team that has work to give out.
    pub(super) fn join(&mut self, team: &name::Name) {
        let time = self.teams.entry(team.clone()).or_insert(self.common);
        *time = (*time).max(self.common);
        self.waiting.insert((*time, team.clone()));
    }

    /// Removes a team that has no work to give out now.
    pub(super) fn leave(&mut self, team: &name::Name) {
        if let Some(time) = self.teams.get(team) {
            self.waiting.remove(&(*time, team.clone()));
        }
    }

    /// Returns the waiting team that is furthest behind and makes its time the
    /// common one.
    pub(super) fn next(&mut self) -> Option<name::Name> {
        let (time, team) = self.waiting.first()?;
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
        let waiting = self.waiting.remove(&(*time, team.clone()));
        *time = time.saturating_add(items.saturating_mul(ITEM_SPAN) / weight);
        if waiting {
            self.waiting.insert((*time, team.clone()));
        }
    }

    /// Forgets teams that are neither waiting nor ahead.
    pub(super) fn expire(&mut self) {
        let (waiting, common) = (&self.waiting, self.common);
        self.teams
            .retain(|team, time| *time > common || waiting.contains(&(*time, team.clone())));
    }
}
