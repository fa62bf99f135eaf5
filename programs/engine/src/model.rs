//! The batching model coupled to real time and to the answers that wait for it.

use std::{collections, time};

use bw_wire::fingerprint;
use tokio::sync::mpsc;

use crate::batch;

/// What an answer learns about its sequence.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// The sequence was admitted.
    Admitted {
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// The output token with this index is ready.
    Token(u32),
}

/// A change in the prefix cache.
#[derive(Clone, Copy, Debug)]
pub struct CacheChange {
    /// When it happened.
    pub at: time::Instant,
    /// The block.
    pub block: fingerprint::Fingerprint,
    /// Whether the block was stored; otherwise it was removed.
    pub stored: bool,
}

/// Cache changes that wait for publication; older ones are dropped, which shows
/// as a gap.
const CACHE_CHANGES_KEPT: usize = 100_000;

/// A batching model that runs against a clock which stands still while frozen.
#[derive(Debug)]
pub struct Model {
    batch: batch::Batch,
    answers: collections::HashMap<u64, mpsc::UnboundedSender<Progress>>,
    next_id: u64,
    started: time::Instant,
    /// Time spent frozen.
    paused: time::Duration,
    frozen_since: Option<time::Instant>,
    changes: collections::VecDeque<CacheChange>,
    record_changes: bool,
}

impl Model {
    /// Creates an idle model whose clock starts now.
    pub fn new(settings: batch::Settings, record_changes: bool, now: time::Instant) -> Model {
        Model {
            batch: batch::Batch::new(settings),
            answers: collections::HashMap::new(),
            next_id: 0,
            started: now,
            paused: time::Duration::ZERO,
            frozen_since: None,
            changes: collections::VecDeque::new(),
            record_changes,
        }
    }

    /// Adds a sequence, whose id is assigned here, and returns its progress.
    ///
    /// # Errors
    ///
    /// Fails when the model refuses the sequence.
    pub fn add(
        &mut self,
        mut sequence: batch::Sequence,
        now: time::Instant,
    ) -> Result<(u64, mpsc::UnboundedReceiver<Progress>), batch::Refusal> {
        // Steps that ended before now must not see the new sequence.
        self.advance(now);
        self.next_id += 1;
        sequence.id = self.next_id;
        self.batch.add(sequence)?;
        let (sender, receiver) = mpsc::unbounded_channel();
        self.answers.insert(self.next_id, sender);
        Ok((self.next_id, receiver))
    }

    /// Removes a sequence whose caller is gone or that has finished.
    pub fn cancel(&mut self, id: u64) {
        if self.answers.remove(&id).is_some() {
            self.batch.cancel(id);
        }
    }

    /// Runs the model up to now and returns when to call again.
    pub fn advance(&mut self, now: time::Instant) -> Option<time::Instant> {
        if self.frozen_since.is_some() {
            return None;
        }
        let model_us = self.model_us(now);
        let answers = &mut self.answers;
        let changes = &mut self.changes;
        let record_changes = self.record_changes;
        let emit = &mut |event| {
            let mut change = |block, stored| {
                if record_changes {
                    push_change(
                        changes,
                        CacheChange {
                            at: now,
                            block,
                            stored,
                        },
                    );
                }
            };
            match event {
                batch::Event::Admitted { id, cached_tokens } => {
                    send(answers, id, Progress::Admitted { cached_tokens });
                }
                batch::Event::Token { id, index } => send(answers, id, Progress::Token(index)),
                batch::Event::Finished { id } => {
                    answers.remove(&id);
                }
                batch::Event::Stored(block) => change(block, true),
                batch::Event::Removed(block) => change(block, false),
            }
        };
        let next_us = self.batch.advance(model_us, emit)?;
        let wait = time::Duration::from_micros(next_us.saturating_sub(model_us));
        Some(now + wait)
    }

    /// Stops or resumes the model's clock.
    pub fn set_frozen(&mut self, frozen: bool, now: time::Instant) {
        match (self.frozen_since, frozen) {
            (None, true) => {
                self.advance(now);
                self.frozen_since = Some(now);
            }
            (Some(since), false) => {
                self.paused += now.saturating_duration_since(since);
                self.frozen_since = None;
            }
            _ => {}
        }
    }

    /// Changes the slow factor of the batching model.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.batch.set_slow_factor(factor);
    }

    /// Returns figures for load reports.
    pub fn status(&self) -> batch::Status {
        self.batch.status()
    }

    /// Takes the cache changes that happened up to a time.
    pub fn take_changes(&mut self, until: time::Instant) -> Vec<CacheChange> {
        let count = self
            .changes
            .iter()
            .take_while(|change| change.at <= until)
            .count();
        self.changes.drain(..count).collect()
    }

    fn model_us(&self, now: time::Instant) -> u64 {
        let running = now
            .saturating_duration_since(self.started)
            .saturating_sub(self.paused);
        u64::try_from(running.as_micros()).unwrap_or(u64::MAX)
    }
}

fn send(
    answers: &collections::HashMap<u64, mpsc::UnboundedSender<Progress>>,
    id: u64,
    progress: Progress,
) {
    if let Some(answer) = answers.get(&id) {
        // An answer that is being dropped no longer listens.
        let _ = answer.send(progress);
    }
}

fn push_change(changes: &mut collections::VecDeque<CacheChange>, change: CacheChange) {
    if changes.len() >= CACHE_CHANGES_KEPT {
        changes.pop_front();
    }
    changes.push_back(change);
}
