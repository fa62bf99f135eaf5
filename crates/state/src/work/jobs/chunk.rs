//! A chunk of a job: its lease and the outcomes of its items.

use std::collections;

use serde::{Deserialize, Serialize};

use bw_wire::{command::work, name, openai, refusal};

use super::{super::summary, lease};

/// Lowest HTTP status that counts as a failed item.
const FAILURE_STATUS: u16 = 400;
/// Words of a bit set with one bit for each line of a chunk.
const DONE_WORDS: usize = work::CHUNK_ITEMS / u64::BITS as usize;

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Chunk {
    /// The fencing token of the last lease; 0 before the first.
    pub(super) fence: u64,
    /// The last lease, until it is released or the chunk is done.
    pub(super) lease: Option<lease::Lease>,
    /// The number of items without an outcome.
    pub(super) open: u32,
    /// The number of these items for each model that they name.
    pub(super) open_by_model: collections::BTreeMap<name::Name, u32>,
    /// A bit for each line, set once the item has an outcome.
    pub(super) done: [u64; DONE_WORDS],
    /// The payload keys of the recorded outcomes. Outcomes of lines that cannot run
    /// are derived from the lines.
    pub(super) records: Vec<u64>,
    /// The size of the recorded outcomes in bytes.
    pub(super) bytes: u64,
}

/// The effect of a `Record` command on a chunk.
#[derive(Default)]
pub(super) struct Tally {
    pub(super) stored: u32,
    pub(super) duplicate: u32,
    pub(super) bytes: u64,
    /// Models that no open item of the chunk names any more.
    pub(super) models: Vec<name::Name>,
}

impl Chunk {
    /// Counts an outcome unless the item has one, and returns whether it is to
    /// be stored. `line_summary` describes the lines of the chunk.
    pub(super) fn accept(
        &mut self,
        line_summary: &summary::Summary,
        outcome: &work::Outcome,
        counts: &mut openai::Counts,
        tally: &mut Tally,
    ) -> bool {
        let Some(position) = line_summary.position(outcome.number) else {
            return false;
        };
        if self.is_done(position) {
            tally.duplicate += 1;
            return false;
        }
        match &outcome.result {
            work::Result::Answer {
                status: FAILURE_STATUS..,
                ..
            }
            | work::Result::Failed { .. } => counts.failed += 1,
            work::Result::Answer { .. } => counts.completed += 1,
        }
        self.finish(line_summary, position, tally);
        tally.stored += 1;
        tally.bytes += size(outcome);
        true
    }

    /// Marks an open item as done, and adds its model to the tally if the item was
    /// the last open one that names it.
    pub(super) fn finish(
        &mut self,
        line_summary: &summary::Summary,
        position: u32,
        tally: &mut Tally,
    ) {
        let (word, bit) = bit_of(position);
        let Some(word) = self.done.get_mut(word) else {
            return;
        };
        *word |= bit;
        self.open -= 1;
        let Some(model) = line_summary.model(position) else {
            return;
        };
        if let Some(open) = self.open_by_model.get_mut(model) {
            *open -= 1;
            if *open == 0 {
                self.open_by_model.remove(model);
                tally.models.push(model.clone());
            }
        }
    }

    pub(super) fn is_done(&self, position: u32) -> bool {
        let (word, bit) = bit_of(position);
        self.done.get(word).is_none_or(|word| word & bit != 0)
    }

    pub(super) fn open_lines(&self, lines: Vec<work::Line>) -> Vec<work::Line> {
        let open = (0..).zip(lines);
        let open = open.filter(|(position, _)| !self.is_done(*position));
        open.map(|(_, line)| line).collect()
    }
}

/// Returns the index of the word that holds the bit of a position, and a mask of
/// that bit.
fn bit_of(position: u32) -> (usize, u64) {
    let word = position / u64::BITS;
    (word as usize, 1 << (position % u64::BITS))
}

/// Returns the outcome of a line that cannot run.
pub(super) fn refused_outcome(line: &work::Line, endpoint: &str) -> Option<work::Outcome> {
    let (code, message) = match &line.content {
        work::Content::Bad { code, message } => (code.clone(), message.clone()),
        work::Content::Request { url, .. } if url == endpoint => return None,
        work::Content::Request { url, .. } => (
            refusal::Reason::InvalidField.to_string(),
            format!("url: `{url}` is not the batch's endpoint `{endpoint}`"),
        ),
    };
    Some(work::Outcome {
        number: line.number,
        result: work::Result::Failed { code, message },
    })
}

pub(super) fn find_line(lines: &[work::Line], number: u32) -> Option<&work::Line> {
    let position = lines.binary_search_by_key(&number, |line| line.number);
    position.ok().and_then(|position| lines.get(position))
}

fn size(outcome: &work::Outcome) -> u64 {
    let bytes = match &outcome.result {
        work::Result::Answer { body, .. } => body.len(),
        work::Result::Failed { code, message } => code.len() + message.len(),
    };
    bytes as u64
}
