//! The part of the lines of a chunk that is kept in the state.

use std::{collections, ops};

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, name};

/// The numbers, paths and models of the lines of a chunk, in line order.
///
/// The lines of a chunk mostly have consecutive numbers and name one path and
/// model. Stored as runs, they take a few bytes per chunk instead of per line.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Summary {
    runs: Vec<Run>,
    targets: Vec<Target>,
}

/// Lines with consecutive numbers and the same target.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Run {
    first: u32,
    count: u32,
    /// The index in `targets`; none for malformed lines.
    target: Option<u32>,
}

/// The path and the model that a line names.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Target {
    url: String,
    model: name::Name,
}

impl Summary {
    pub(super) fn of(lines: &[work::Line]) -> Summary {
        let mut summary = Summary::default();
        for line in lines {
            let target = match &line.content {
                work::Content::Request { url, model, .. } => Some(summary.add_target(url, model)),
                work::Content::Bad { .. } => None,
            };
            match summary.runs.last_mut() {
                Some(run) if run.target == target && run.first + run.count == line.number => {
                    run.count += 1;
                }
                _ => summary.runs.push(Run {
                    first: line.number,
                    count: 1,
                    target,
                }),
            }
        }
        summary.runs.shrink_to_fit();
        summary
    }

    pub(super) fn len(&self) -> u32 {
        self.runs.iter().map(|run| run.count).sum()
    }

    /// Returns the first and the last line number.
    pub(super) fn bounds(&self) -> Option<(u32, u32)> {
        let last = self.runs.last()?;
        Some((self.runs.first()?.first, last.first + (last.count - 1)))
    }

    /// Returns the position of a line in the chunk by its number.
    pub(super) fn position(&self, number: u32) -> Option<u32> {
        let mut before = 0;
        for run in &self.runs {
            let offset = number.checked_sub(run.first)?;
            if offset < run.count {
                return Some(before + offset);
            }
            before += run.count;
        }
        None
    }

    /// Returns the model that the line at a position names.
    pub(super) fn model(&self, position: u32) -> Option<&name::Name> {
        let mut runs = self.positions();
        let (run, _) = runs.find(|(_, positions)| positions.contains(&position))?;
        Some(&self.target(run)?.model)
    }

    /// Returns the number of lines that name each model.
    pub(super) fn models(&self) -> collections::BTreeMap<name::Name, u32> {
        let mut models = collections::BTreeMap::new();
        for run in &self.runs {
            if let Some(target) = self.target(run) {
                *models.entry(target.model.clone()).or_default() += run.count;
            }
        }
        models
    }

    /// Returns the positions of the lines that cannot run against an endpoint.
    pub(super) fn refused(&self, endpoint: &str) -> impl Iterator<Item = u32> {
        let refused = self.positions().filter(move |(run, _)| {
            let target = self.target(run);
            target.is_none_or(|target| target.url != endpoint)
        });
        refused.flat_map(|(_, positions)| positions)
    }

    /// Returns each run with the positions of its lines.
    fn positions(&self) -> impl Iterator<Item = (&Run, ops::Range<u32>)> {
        let mut before = 0;
        self.runs.iter().map(move |run| {
            let first = before;
            before += run.count;
            (run, first..before)
        })
    }

    fn target(&self, run: &Run) -> Option<&Target> {
        self.targets.get(run.target? as usize)
    }

    fn add_target(&mut self, url: &str, model: &name::Name) -> u32 {
        let is_known = |target: &Target| target.url == url && target.model == *model;
        let known = self.targets.iter().position(is_known);
        let position = known.unwrap_or_else(|| {
            self.targets.push(Target {
                url: url.to_owned(),
                model: model.clone(),
            });
            self.targets.len() - 1
        });
        position as u32
    }
}
