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

/// The chunks by the models that their open items name, so that a search for
/// some models looks at no chunk of others.
#[derive(Clone, Debug, Default)]
pub(super) struct Ready {
    models: collections::BTreeMap<name::Name, Chunks>,
    /// The number of models of each chunk.
    chunks: collections::BTreeMap<(name::Name, u32), u32>,
}

/// The chunks with an open item of one model.
#[derive(Clone, Debug, Default)]
struct Chunks {
    chunks: collections::BTreeMap<name::Name, collections::BTreeSet<u32>>,
    teams: collections::BTreeMap<name::Name, collections::BTreeSet<Key>>,
    /// Jobs by due time and the length of their window.
    due: collections::BTreeMap<Key, u64>,
}

impl Ready {
    /// Adds a chunk under a model and returns whether it is the first of its
    /// team there.
    pub(super) fn add(&mut self, place: &Place<'_>, model: &name::Name, chunk: u32) -> bool {
        let chunks = self.models.entry(model.clone()).or_default();
        let (is_new, is_first) = chunks.add(place, chunk);
        if is_new {
            *self
                .chunks
                .entry((place.key.job.clone(), chunk))
                .or_default() += 1;
        }
        is_first
    }

    /// Removes a chunk from a model and returns whether it was the last of its
    /// team there.
    pub(super) fn remove(&mut self, place: &Place<'_>, model: &name::Name, chunk: u32) -> bool {
        let Some(chunks) = self.models.get_mut(model) else {
            return false;
        };
        let (was_listed, was_last) = chunks.remove(place, chunk);
        if chunks.due.is_empty() {
            self.models.remove(model);
        }
        if was_listed {
            let listed = (place.key.job.clone(), chunk);
            if let Some(models) = self.chunks.get_mut(&listed) {
                *models -= 1;
                if *models == 0 {
                    self.chunks.remove(&listed);
                }
            }
        }
        was_last
    }

    /// Returns the first chunk of a job under some models.
    pub(super) fn first_chunk(&self, job: &name::Name, models: &[name::Name]) -> Option<u32> {
        let chunks = self.under(models);
        let first = chunks.filter_map(|chunks| chunks.chunks.get(job)?.first());
        first.min().copied()
    }

    /// Returns the earliest due job of a team under some models.
    pub(super) fn first_of(&self, team: &name::Name, models: &[name::Name]) -> Option<&Key> {
        let chunks = self.under(models);
        let first = chunks.filter_map(|chunks| chunks.teams.get(team)?.first());
        first.min()
    }

    /// Returns the earliest due job under some models that is urgent.
    pub(super) fn urgent(
        &self,
        now_ms: u64,
        urgent_ms: u64,
        models: &[name::Name],
    ) -> Option<&Key> {
        let chunks = self.under(models);
        let urgent = chunks.filter_map(|chunks| chunks.urgent(now_ms, urgent_ms));
        urgent.min()
    }

    /// Returns the number of chunks.
    pub(super) fn count(&self) -> u32 {
        self.chunks.len() as u32
    }

    /// Returns whether there is a chunk under some models.
    pub(super) fn has_any(&self, models: &[name::Name]) -> bool {
        self.under(models).next().is_some()
    }

    /// Returns the first models with a chunk.
    pub(super) fn models(&self, most: usize) -> Vec<name::Name> {
        self.models.keys().take(most).cloned().collect()
    }

    /// Returns the chunks of some models, or of all if none is named.
    fn under(&self, models: &[name::Name]) -> impl Iterator<Item = &Chunks> {
        let all = models.is_empty().then(|| self.models.values());
        let named = models.iter().filter_map(|model| self.models.get(model));
        all.into_iter().flatten().chain(named)
    }
}

impl Chunks {
    /// Adds a chunk and returns whether it is new and the first of its team.
    fn add(&mut self, place: &Place<'_>, chunk: u32) -> (bool, bool) {
        let chunks = self.chunks.entry(place.key.job.clone()).or_default();
        if !chunks.insert(chunk) {
            return (false, false);
        }
        if chunks.len() > 1 {
            return (true, false);
        }
        self.due.insert(place.key.clone(), place.window_ms);
        let jobs = self.teams.entry(place.team.clone()).or_default();
        (true, jobs.insert(place.key.clone()) && jobs.len() == 1)
    }

    /// Removes a chunk and returns whether it was listed and the last of its
    /// team.
    fn remove(&mut self, place: &Place<'_>, chunk: u32) -> (bool, bool) {
        let Some(chunks) = self.chunks.get_mut(&place.key.job) else {
            return (false, false);
        };
        if !chunks.remove(&chunk) {
            return (false, false);
        }
        if !chunks.is_empty() {
            return (true, false);
        }
        self.chunks.remove(&place.key.job);
        self.due.remove(place.key);
        let Some(jobs) = self.teams.get_mut(place.team) else {
            return (true, false);
        };
        jobs.remove(place.key);
        let empty = jobs.is_empty();
        if empty {
            self.teams.remove(place.team);
        }
        (true, empty)
    }

    /// Returns the earliest due job that is urgent.
    ///
    /// A job is urgent when less than `urgent_ms` is left, but not before the
    /// last quarter of its window: otherwise short windows would pass by fair
    /// sharing from the start. Jobs due later than `now_ms + urgent_ms` cannot
    /// be urgent and end the search.
    fn urgent(&self, now_ms: u64, urgent_ms: u64) -> Option<&Key> {
        let horizon_ms = now_ms.saturating_add(urgent_ms);
        self.due
            .iter()
            .take_while(|(key, _)| key.due_ms <= horizon_ms)
            .find(|(key, window_ms)| key.due_ms <= now_ms.saturating_add(**window_ms / 4))
            .map(|(key, _)| key)
    }
}
