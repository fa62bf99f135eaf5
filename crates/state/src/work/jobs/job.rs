//! A job and what it was created with.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{name, openai, query};

use super::{
    super::{ready, rows},
    chunk,
};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Job {
    pub(super) order: Order,
    pub(super) state: query::JobState,
    pub(super) created_ms: u64,
    pub(super) due_ms: u64,
    pub(super) ended_ms: Option<u64>,
    pub(super) counts: openai::Counts,
    pub(super) chunks: Vec<chunk::Chunk>,
}

/// What a job was created with.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(in crate::work) struct Order {
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

    pub(super) fn place<'a>(&'a self, key: &'a ready::Key) -> ready::Place<'a> {
        ready::Place {
            key,
            team: &self.order.team,
            window_ms: self.order.window_ms,
        }
    }

    pub(super) fn open(&self) -> u64 {
        self.counts.total - self.counts.completed - self.counts.failed
    }

    /// Adds a chunk, of which the lines that cannot run are done.
    pub(super) fn add_chunk(&mut self, rows: &rows::Rows) {
        let mut chunk = chunk::Chunk {
            open: rows.len(),
            ..chunk::Chunk::default()
        };
        self.counts.total += u64::from(rows.len());
        chunk.open_by_model = rows.models();
        let mut tally = chunk::Tally::default();
        for position in rows.refused(&self.order.endpoint) {
            chunk.finish(rows, position, &mut tally);
            self.counts.failed += 1;
        }
        self.chunks.push(chunk);
    }

    pub(super) fn describe(&self, id: &name::Name) -> query::Job {
        query::Job {
            id: id.clone(),
            team: self.order.team.clone(),
            file: self.order.file.clone(),
            endpoint: self.order.endpoint.clone(),
            state: self.state,
            created_ms: self.created_ms,
            due_ms: self.due_ms,
            ended_ms: self.ended_ms,
            chunks: self.chunks.len() as u32,
            counts: self.counts,
            metadata: self.order.metadata.clone(),
        }
    }
}
