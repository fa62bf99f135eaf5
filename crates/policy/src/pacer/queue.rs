//! Weighted fair queue of waiting batch items.

use std::collections;

use bw_wire::name;

/// One of this many pops takes the most urgent item, whatever its team's share.
const URGENT_EVERY: u64 = 2;
/// Stride of a team with weight 1: how far its virtual time advances per item.
const STRIDE: u64 = 1 << 20;

/// An item that waits to be run.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item<T> {
    /// The team that submitted it.
    pub team: name::Name,
    /// The team's weight; 0 counts as 1.
    pub weight: u32,
    /// When the job is due, in milliseconds of the clock that
    /// [`Queue::pop`] compares it with.
    pub due_ms: u64,
    /// How often the item was preempted.
    pub preempted: u32,
    /// The caller's data for the item.
    pub work: T,
}

#[derive(Debug)]
struct Team<T> {
    /// Virtual time of stride scheduling; the team with the lowest is next.
    pass: u64,
    weight: u32,
    /// Items by whether they were never preempted, due time and arrival.
    /// Preempted items hold memory and come first.
    items: collections::BTreeMap<(bool, u64, u64), Item<T>>,
}

/// Waiting items, served to teams in proportion to their weights.
///
/// Every second pop takes the most urgent item, if any is urgent; the others
/// follow stride scheduling over the teams' weights. So neither urgent jobs nor
/// the rest can starve the other.
#[derive(Debug)]
pub struct Queue<T> {
    teams: collections::BTreeMap<name::Name, Team<T>>,
    /// Virtual time of the team that was served last.
    pass: u64,
    arrivals: u64,
    popped: u64,
    len: usize,
}

impl<T> Default for Queue<T> {
    fn default() -> Queue<T> {
        Queue {
            teams: collections::BTreeMap::new(),
            pass: 0,
            arrivals: 0,
            popped: 0,
            len: 0,
        }
    }
}

impl<T> Queue<T> {
    /// Creates an empty queue.
    pub fn new() -> Queue<T> {
        Queue::default()
    }

    /// Adds an item and takes over its weight for the whole team.
    pub fn push(&mut self, item: Item<T>) {
        // A team without items starts as if just served, so that it gains nothing
        // by emptying its queue and coming back.
        let pass = self.pass + STRIDE / u64::from(item.weight.max(1));
        let team = self.teams.entry(item.team.clone()).or_insert_with(|| Team {
            pass,
            weight: 1,
            items: collections::BTreeMap::new(),
        });
        team.weight = item.weight.max(1);
        self.arrivals += 1;
        let key = (item.preempted == 0, item.due_ms, self.arrivals);
        team.items.insert(key, item);
        self.len += 1;
    }

    /// Removes and returns the next item. Items due before `urgent_before_ms` are
    /// urgent.
    pub fn pop(&mut self, urgent_before_ms: u64) -> Option<Item<T>> {
        self.popped += 1;
        let most_urgent = self
            .popped
            .is_multiple_of(URGENT_EVERY)
            .then(|| self.most_urgent(urgent_before_ms))
            .flatten();
        let urgent = most_urgent.is_some();
        let name = most_urgent.or_else(|| self.next_team())?;
        let team = self.teams.get_mut(&name)?;
        let key = if urgent {
            earliest_due(team)
        } else {
            team.items.keys().next().copied()
        }?;
        let item = team.items.remove(&key);
        if !urgent {
            self.pass = self.pass.max(team.pass);
        }
        team.pass += STRIDE / u64::from(team.weight);
        if team.items.is_empty() {
            self.teams.remove(&name);
        }
        self.len -= 1;
        item
    }

    /// Removes and returns the items for which a predicate returns true.
    pub fn take_if(&mut self, mut select: impl FnMut(&Item<T>) -> bool) -> Vec<Item<T>> {
        let mut taken = Vec::new();
        for team in self.teams.values_mut() {
            taken.extend(team.items.extract_if(.., |_, item| select(item)));
        }
        self.teams.retain(|_, team| !team.items.is_empty());
        self.len -= taken.len();
        taken.into_iter().map(|(_, item)| item).collect()
    }

    /// Returns the items, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = &Item<T>> {
        self.teams.values().flat_map(|team| team.items.values())
    }

    /// Returns the number of items.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether there are no items.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn next_team(&self) -> Option<name::Name> {
        self.teams
            .iter()
            .min_by_key(|(_, team)| team.pass)
            .map(|(name, _)| name.clone())
    }

    fn most_urgent(&self, urgent_before_ms: u64) -> Option<name::Name> {
        self.teams
            .iter()
            .filter_map(|(name, team)| Some((earliest_due(team)?.1, name)))
            .filter(|&(due_ms, _)| due_ms < urgent_before_ms)
            .min()
            .map(|(_, name)| name.clone())
    }
}

/// Returns the key of a team's item with the earliest due time.
fn earliest_due<T>(team: &Team<T>) -> Option<(bool, u64, u64)> {
    let resumed = team.items.range(..(true, 0, 0)).next();
    let fresh = team.items.range((true, 0, 0)..).next();
    resumed
        .into_iter()
        .chain(fresh)
        .map(|(&key, _)| key)
        .min_by_key(|&(_, due_ms, _)| due_ms)
}
