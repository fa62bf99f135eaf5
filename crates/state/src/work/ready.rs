//! Index of the chunks that can be taken. Derived from the jobs, never stored.

use std::collections;

use bw_wire::name;

/// What the order of a job depends on.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) due_ms: u64,
    pub(super) job: name::Name,
}

/// A job's place in the index.
pub(super) struct Place<'a> {
    pub(super) key: &'a Key,
    pub(super) team: &'a name::Name,
    pub(super) window_ms: u64,
}

#[derive(Clone, Debug, Default)]
pub(super) struct Ready {
    chunks: collections::BTreeMap<name::Name, collections::BTreeSet<u32>>,
    teams: collections::BTreeMap<name::Name, collections::BTreeSet<Key>>,
    /// Jobs by due time and the length of their window.
    due: collections::BTreeMap<Key, u64>,
    count: u32,
}

impl Ready {
    /// Adds a chunk and returns whether it is the first of its team.
    pub(super) fn add(&mut self, place: &Place<'_>, chunk: u32) -> bool {
        let chunks = self.chunks.entry(place.key.job.clone()).or_default();
        if !chunks.insert(chunk) {
            return false;
        }
        self.count += 1;
        if chunks.len() > 1 {
            return false;
        }
        self.due.insert(place.key.clone(), place.window_ms);
        let jobs = self.teams.entry(place.team.clone()).or_default();
        jobs.insert(place.key.clone()) && jobs.len() == 1
    }

    /// Removes a chunk and returns whether it was the last of its team.
    pub(super) fn remove(&mut self, place: &Place<'_>, chunk: u32) -> bool {
        let Some(chunks) = self.chunks.get_mut(&place.key.job) else {
            return false;
        };
        if !chunks.remove(&chunk) {
            return false;
        }
        self.count -= 1;
        if !chunks.is_empty() {
            return false;
        }
        self.chunks.remove(&place.key.job);
        self.due.remove(place.key);
        let Some(jobs) = self.teams.get_mut(place.team) else {
            return false;
        };
        jobs.remove(place.key);
        let empty = jobs.is_empty();
        if empty {
            self.teams.remove(place.team);
        }
        empty
    }

    /// Returns the first chunk of a job.
    pub(super) fn first_chunk(&self, job: &name::Name) -> Option<u32> {
        self.chunks.get(job)?.first().copied()
    }

    /// Returns the earliest due job of a team.
    pub(super) fn first_of(&self, team: &name::Name) -> Option<&Key> {
        self.teams.get(team)?.first()
    }

    /// Returns the earliest due job that is urgent.
    ///
    /// A job is urgent when less than `urgent_ms` is left, but not before the
    /// last quarter of its window: otherwise short windows would pass by fair
    /// sharing from the start. Jobs due later than `now_ms + urgent_ms` cannot
    /// be urgent and end the search.
    pub(super) fn urgent(&self, now_ms: u64, urgent_ms: u64) -> Option<&Key> {
        let horizon_ms = now_ms.saturating_add(urgent_ms);
        self.due
            .iter()
            .take_while(|(key, _)| key.due_ms <= horizon_ms)
            .find(|(key, window_ms)| key.due_ms <= now_ms.saturating_add(**window_ms / 4))
            .map(|(key, _)| key)
    }

    /// Returns the number of chunks.
    pub(super) fn count(&self) -> u32 {
        self.count
    }
}
