//! A job and the properties that its creation sets.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{name, openai, query};

use super::{
    super::{ready, summary},
    chunk,
};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Job {
    pub(super) spec: Spec,
    pub(super) state: query::JobState,
    pub(super) created_ms: u64,
    pub(super) due_ms: u64,
    pub(super) ended_ms: Option<u64>,
    pub(super) counts: openai::Counts,
    pub(super) chunks: Vec<chunk::Chunk>,
}

/// The properties of a job that its creation sets.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(in crate::work) struct Spec {
    pub(in crate::work) team: name::Name,
    pub(in crate::work) file: name::Name,
    pub(in crate::work) endpoint: String,
    pub(in crate::work) window_ms: u64,
    pub(in crate::work) metadata: collections::BTreeMap<String, String>,
}

impl Job {
    pub(super) fn key(&self, id: &name::Name) -> ready::Key {
        ready::Key {
            due_ms: self.due_ms,
            job: id.clone(),
        }
    }

    pub(super) fn index_entry<'a>(&'a self, key: &'a ready::Key) -> ready::Job<'a> {
        ready::Job {
            key,
            team: &self.spec.team,
            window_ms: self.spec.window_ms,
        }
    }

    pub(super) fn open_items(&self) -> u64 {
        self.counts.total - self.counts.completed - self.counts.failed
    }

    /// Adds a chunk whose lines that cannot run count as failed.
    pub(super) fn add_chunk(&mut self, summary: &summary::Summary) {
        let mut chunk = chunk::Chunk {
            open: summary.len(),
            ..chunk::Chunk::default()
        };
        self.counts.total += u64::from(summary.len());
        chunk.open_by_model = summary.models();
        let mut tally = chunk::Tally::default();
        for position in summary.refused(&self.spec.endpoint) {
            chunk.finish(summary, position, &mut tally);
            self.counts.failed += 1;
        }
        self.chunks.push(chunk);
    }

    pub(super) fn describe(&self, id: &name::Name) -> query::Job {
        query::Job {
            id: id.clone(),
            team: self.spec.team.clone(),
            file: self.spec.file.clone(),
            endpoint: self.spec.endpoint.clone(),
            state: self.state,
            created_ms: self.created_ms,
            due_ms: self.due_ms,
            ended_ms: self.ended_ms,
            chunks: self.chunks.len() as u32,
            counts: self.counts,
            metadata: self.spec.metadata.clone(),
        }
    }
}
