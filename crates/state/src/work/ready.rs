//! Index of the chunks that can be leased. Derived from the jobs, never stored.

use std::collections;

use bw_wire::name;

/// The sort key of a job: its due time, then its id.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct Key {
    pub(super) due_ms: u64,
    pub(super) job: name::Name,
}

/// The properties of a job that the index uses.
pub(super) struct Job<'a> {
    pub(super) key: &'a Key,
    pub(super) team: &'a name::Name,
    pub(super) window_ms: u64,
}

/// The chunks by the models that their open items name, so that a search for some
/// models reads no chunks of others. A search without models covers all of them.
#[derive(Clone, Debug, Default)]
pub(super) struct Ready {
    by_model: collections::BTreeMap<name::Name, Chunks>,
    /// The number of models under which each chunk is listed.
    model_counts: collections::BTreeMap<(name::Name, u32), u32>,
}

/// The chunks with an open item of one model, by job.
#[derive(Clone, Debug, Default)]
struct Chunks {
    by_job: collections::BTreeMap<name::Name, collections::BTreeSet<u32>>,
    jobs_by_team: collections::BTreeMap<name::Name, collections::BTreeSet<Key>>,
    /// The window of each job in milliseconds, in the order of due times.
    windows: collections::BTreeMap<Key, u64>,
}

impl Ready {
    /// Adds a chunk under a model and returns whether it is the first of its
    /// team there.
    pub(super) fn add(&mut self, job: &Job<'_>, model: &name::Name, chunk: u32) -> bool {
        let chunks = self.by_model.entry(model.clone()).or_default();
        let (is_new, is_first) = chunks.add(job, chunk);
        if is_new {
            *self
                .model_counts
                .entry((job.key.job.clone(), chunk))
                .or_default() += 1;
        }
        is_first
    }

    /// Removes a chunk from a model and returns whether it was the last of its
    /// team there.
    pub(super) fn remove(&mut self, job: &Job<'_>, model: &name::Name, chunk: u32) -> bool {
        let Some(chunks) = self.by_model.get_mut(model) else {
            return false;
        };
        let (was_listed, was_last) = chunks.remove(job, chunk);
        if chunks.windows.is_empty() {
            self.by_model.remove(model);
        }
        if was_listed {
            let listed = (job.key.job.clone(), chunk);
            if let Some(models) = self.model_counts.get_mut(&listed) {
                *models -= 1;
                if *models == 0 {
                    self.model_counts.remove(&listed);
                }
            }
        }
        was_last
    }

    /// Returns the first chunk of a job that is listed under one of the models.
    pub(super) fn first_chunk(&self, job: &name::Name, models: &[name::Name]) -> Option<u32> {
        let chunks = self.of_models(models);
        let first = chunks.filter_map(|chunks| chunks.by_job.get(job)?.first());
        first.min().copied()
    }

    /// Returns the earliest due job of a team that is listed under one of the models.
    pub(super) fn first_job(&self, team: &name::Name, models: &[name::Name]) -> Option<&Key> {
        let chunks = self.of_models(models);
        let first = chunks.filter_map(|chunks| chunks.jobs_by_team.get(team)?.first());
        first.min()
    }

    /// Returns the earliest due urgent job that is listed under one of the models.
    pub(super) fn urgent(
        &self,
        now_ms: u64,
        urgent_ms: u64,
        models: &[name::Name],
    ) -> Option<&Key> {
        let chunks = self.of_models(models);
        let urgent = chunks.filter_map(|chunks| chunks.urgent(now_ms, urgent_ms));
        urgent.min()
    }

    /// Returns the number of chunks.
    pub(super) fn count(&self) -> u32 {
        self.model_counts.len() as u32
    }

    /// Returns whether a chunk is listed under one of the models.
    pub(super) fn has_any(&self, models: &[name::Name]) -> bool {
        self.of_models(models).next().is_some()
    }

    /// Returns at most `limit` models with a chunk, in name order.
    pub(super) fn models(&self, limit: usize) -> Vec<name::Name> {
        self.by_model.keys().take(limit).cloned().collect()
    }

    /// Returns the lists of the models, or those of all models if none is given.
    fn of_models(&self, models: &[name::Name]) -> impl Iterator<Item = &Chunks> {
        let all = models.is_empty().then(|| self.by_model.values());
        let named = models.iter().filter_map(|model| self.by_model.get(model));
        all.into_iter().flatten().chain(named)
    }
}

impl Chunks {
    /// Adds a chunk and returns whether it is new and the first of its team.
    fn add(&mut self, job: &Job<'_>, chunk: u32) -> (bool, bool) {
        let chunks = self.by_job.entry(job.key.job.clone()).or_default();
        if !chunks.insert(chunk) {
            return (false, false);
        }
        if chunks.len() > 1 {
            return (true, false);
        }
        self.windows.insert(job.key.clone(), job.window_ms);
        let jobs = self.jobs_by_team.entry(job.team.clone()).or_default();
        (true, jobs.insert(job.key.clone()) && jobs.len() == 1)
    }

    /// Removes a chunk and returns whether it was listed and the last of its
    /// team.
    fn remove(&mut self, job: &Job<'_>, chunk: u32) -> (bool, bool) {
        let Some(chunks) = self.by_job.get_mut(&job.key.job) else {
            return (false, false);
        };
        if !chunks.remove(&chunk) {
            return (false, false);
        }
        if !chunks.is_empty() {
            return (true, false);
        }
        self.by_job.remove(&job.key.job);
        self.windows.remove(job.key);
        let Some(jobs) = self.jobs_by_team.get_mut(job.team) else {
            return (true, false);
        };
        jobs.remove(job.key);
        let empty = jobs.is_empty();
        if empty {
            self.jobs_by_team.remove(job.team);
        }
        (true, empty)
    }

    /// Returns the earliest due job that is urgent.
    ///
    /// A job is urgent when at most `urgent_ms` is left, but not before the last
    /// quarter of its window. Otherwise jobs with short windows would bypass fair
    /// sharing from the start. Jobs due later than `now_ms + urgent_ms` cannot be
    /// urgent and end the search.
    fn urgent(&self, now_ms: u64, urgent_ms: u64) -> Option<&Key> {
        let horizon_ms = now_ms.saturating_add(urgent_ms);
        self.windows
            .iter()
            .take_while(|(key, _)| key.due_ms <= horizon_ms)
            .find(|(key, window_ms)| key.due_ms <= now_ms.saturating_add(**window_ms / 4))
            .map(|(key, _)| key)
    }
}
