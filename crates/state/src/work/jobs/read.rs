//! Queries of jobs, their results and the backlog.

use bw_coord::{payload, storage};
use bw_wire::{command::work, name, query};

use super::{Jobs, chunk, files, payloads};

impl Jobs {
    pub(in crate::work) fn describe(
        &self,
        id: &name::Name,
        team: &name::Name,
    ) -> Option<query::Job> {
        let job = self.jobs.get(id)?;
        (job.spec.team == *team).then(|| job.describe(id))
    }

    pub(in crate::work) fn list(&self, team: Option<&name::Name>) -> Vec<query::Job> {
        let Some(team) = team else {
            let jobs = self.jobs.iter();
            return jobs.map(|(id, job)| job.describe(id)).collect();
        };
        let first = (team.clone(), name::Name::default());
        let owned = self.index.teams.range(first..);
        owned
            .take_while(|(owner, _)| owner == team)
            .filter_map(|(_, id)| Some(self.jobs.get(id)?.describe(id)))
            .collect()
    }

    pub(in crate::work) fn results(
        &self,
        id: &name::Name,
        team: &name::Name,
        chunk: u32,
        files: &files::Files,
        source: &mut dyn payload::Source,
    ) -> Result<Option<Vec<query::ItemResult>>, storage::Error> {
        let job = self.jobs.get(id).filter(|job| job.spec.team == *team);
        let Some(job) = job else {
            return Ok(None);
        };
        let state = job.chunks.get(chunk as usize);
        let stored = files.chunk(&job.spec.file, chunk);
        let (Some(state), Some(stored)) = (state, stored) else {
            return Ok(None);
        };
        let lines = stored.lines(source)?;
        let refused = lines.iter();
        let refused = refused.filter_map(|line| chunk::refused_outcome(line, &job.spec.endpoint));
        let mut outcomes: Vec<work::Outcome> = refused.collect();
        for key in &state.records {
            let recorded: Vec<work::Outcome> = payloads::get(source, *key)?;
            outcomes.extend(recorded);
        }
        outcomes.sort_unstable_by_key(|outcome| outcome.number);
        let results = outcomes.into_iter().map(|outcome| query::ItemResult {
            custom_id: chunk::find_line(&lines, outcome.number)
                .and_then(|line| line.custom_id.clone()),
            outcome,
        });
        Ok(Some(results.collect()))
    }

    pub(in crate::work) fn backlog(&self) -> query::Backlog {
        query::Backlog {
            chunks: self.index.ready.count(),
            models: self.index.ready.models(query::BACKLOG_MODELS),
            items: self.index.open_items,
            earliest_due_ms: self.index.open.first().map(|key| key.due_ms),
        }
    }
}
