//! The model of continuous batching, without I/O, clocks or randomness.
//!
//! The engine works in steps. At the start of a step, waiting sequences are
//! admitted in arrival order as long as KV memory and the sequence limit allow;
//! the model knows no priorities. A step computes one token for each sequence
//! whose prompt is done, and up to a budget of prompt tokens of the others
//! (chunked prefill). Its duration is
//!
//! ```text
//! base + per_sequence * decoding sequences + per_prefill_token * prompt tokens
//! ```
//!
//! Tokens appear at the end of the step. A sequence that completes its prompt in
//! a step yields its first token at the end of that step.

pub mod memory;

use std::collections;

use bw_wire::fingerprint;
use serde::{Deserialize, Serialize};

/// Tokens of one KV memory block.
pub const BLOCK_TOKENS: u32 = 16;

/// Parameters of the model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct Settings {
    /// Duration of an empty step, in microseconds.
    pub step_base_us: u64,
    /// Added to a step for each sequence that decodes, in microseconds.
    pub step_per_sequence_us: u64,
    /// Added to a step for each prompt token that it computes, in microseconds.
    pub step_per_prefill_token_us: u64,
    /// Most prompt tokens computed in one step.
    pub prefill_chunk_tokens: u32,
    /// Most sequences that run at once.
    pub max_sequences: u32,
    /// Most sequences that wait; more are refused.
    pub max_waiting: u32,
    /// KV memory, in blocks of 16 tokens.
    pub kv_blocks: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            step_base_us: 20_000,
            step_per_sequence_us: 250,
            step_per_prefill_token_us: 50,
            prefill_chunk_tokens: 512,
            max_sequences: 32,
            max_waiting: 1_024,
            kv_blocks: 4_096,
        }
    }
}

/// A request as the model sees it.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Identifies the sequence in events.
    pub id: u64,
    /// Fingerprints of the full blocks of the prompt.
    pub blocks: Vec<fingerprint::Fingerprint>,
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Output tokens that the caller already has; computed like prompt tokens.
    pub resume_tokens: u32,
    /// Length of the whole output, with `resume_tokens`.
    pub output_tokens: u32,
}

impl Sequence {
    /// Returns the KV memory that the sequence needs until its end, in blocks.
    pub fn needed_blocks(&self) -> u32 {
        (self.prompt_tokens + self.output_tokens).div_ceil(BLOCK_TOKENS)
    }

    fn prefill_tokens(&self) -> u32 {
        self.prompt_tokens + self.resume_tokens
    }
}

/// What came of a step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Event {
    /// A sequence was admitted; some of its prompt was found in the cache.
    Admitted {
        /// The sequence.
        id: u64,
        /// Prompt tokens found in the prefix cache.
        cached_tokens: u32,
    },
    /// An output token is ready.
    Token {
        /// The sequence.
        id: u64,
        /// The token's index in the whole output.
        index: u32,
    },
    /// The sequence yielded its last token and left the batch.
    Finished {
        /// The sequence.
        id: u64,
    },
    /// A prefix block entered the cache.
    Stored(fingerprint::Fingerprint),
    /// A prefix block left the cache.
    Removed(fingerprint::Fingerprint),
}

/// Why a sequence was not accepted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Refusal {
    /// It needs more KV memory than there is.
    TooLong,
    /// Too many sequences wait.
    Full,
}

/// Figures for load reports.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Status {
    /// Sequences in the batch.
    pub running: u32,
    /// Sequences that wait for admission.
    pub waiting: u32,
    /// Blocks that running sequences hold.
    pub blocks_held: u32,
    /// Duration of the last step, in microseconds.
    pub step_us: u64,
}

/// The batching model of one engine.
#[derive(Debug)]
pub struct Batch {
    settings: Settings,
    memory: memory::Memory,
    waiting: collections::VecDeque<Sequence>,
    running: Vec<Running>,
    step: Option<Step>,
    last_step_us: u64,
    slow_factor: f64,
}

#[derive(Debug)]
struct Running {
    sequence: Sequence,
    held: memory::Held,
    /// Prompt and resumed tokens computed so far.
    prefilled: u32,
    /// Output tokens so far, with resumed ones.
    produced: u32,
    /// Prompt tokens that the current step computes.
    prefill_now: u32,
    /// Whether the sequence takes part in the current step.
    in_step: bool,
}

impl Running {
    fn prefill_left(&self) -> u32 {
        self.sequence.prefill_tokens() - self.prefilled
    }
}

#[derive(Clone, Copy, Debug)]
struct Step {
    end_us: u64,
}

impl Batch {
    /// Creates an idle engine with an empty cache.
    pub fn new(settings: Settings) -> Batch {
        Batch {
            memory: memory::Memory::new(settings.kv_blocks),
            settings,
            waiting: collections::VecDeque::new(),
            running: Vec::new(),
            step: None,
            last_step_us: 0,
            slow_factor: 1.0,
        }
    }

    /// Multiplies the duration of the steps that start from now on.
    pub fn set_slow_factor(&mut self, factor: f64) {
        self.slow_factor = factor;
    }

    /// Queues a sequence behind all that came before it.
    ///
    /// # Errors
    ///
    /// Refuses a sequence that can never fit and one that finds the queue full.
    pub fn add(&mut self, sequence: Sequence) -> Result<(), Refusal> {
        if sequence.needed_blocks() > self.settings.kv_blocks {
            return Err(Refusal::TooLong);
        }
        if self.waiting.len() >= self.settings.max_waiting as usize {
            return Err(Refusal::Full);
        }
        self.waiting.push_back(sequence);
        Ok(())
    }

    /// Removes a sequence and frees its memory. Unknown ids have no effect.
    ///
    /// A step that is under way keeps its duration.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|sequence| sequence.id != id);
        let position = self
            .running
            .iter()
            .position(|running| running.sequence.id == id);
        if let Some(position) = position {
            let running = self.running.remove(position);
            self.memory.release(running.held);
        }
    }

    /// Completes the steps that end by `now_us` and starts the next one.
    ///
    /// Returns when to call again; `None` when the engine is idle. Steps follow
    /// each other without a gap while there is work, so that a late call does
    /// not slow the model down.
    pub fn advance(&mut self, now_us: u64, emit: &mut dyn FnMut(Event)) -> Option<u64> {
        let mut start_us = now_us;
        while let Some(step) = self.step {
            if step.end_us > now_us {
                return Some(step.end_us);
            }
            self.finish_step(emit);
            start_us = step.end_us;
            self.start_step(start_us, emit);
        }
        self.start_step(start_us.max(now_us), emit);
        self.step.map(|step| step.end_us)
    }

    /// Returns figures for a load report.
    pub fn status(&self) -> Status {
        Status {
            running: u32::try_from(self.running.len()).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting.len()).unwrap_or(u32::MAX),
            blocks_held: self.memory.held(),
            step_us: self.last_step_us,
        }
    }

    fn start_step(&mut self, start_us: u64, emit: &mut dyn FnMut(Event)) {
        self.admit(emit);
        if self.running.is_empty() {
            self.step = None;
            return;
        }
        let mut budget = self.settings.prefill_chunk_tokens;
        let mut prefill = 0;
        let mut decoding = 0;
        for running in &mut self.running {
            let left = running.prefill_left();
            running.prefill_now = left.min(budget);
            running.in_step = left == 0 || running.prefill_now > 0;
            budget -= running.prefill_now;
            prefill += u64::from(running.prefill_now);
            decoding += u64::from(left == 0);
        }
        let duration = self.settings.step_base_us
            + self.settings.step_per_sequence_us * decoding
            + self.settings.step_per_prefill_token_us * prefill;
        self.last_step_us = (duration as f64 * self.slow_factor) as u64;
        self.step = Some(Step {
            end_us: start_us + self.last_step_us.max(1),
        });
    }

    fn admit(&mut self, emit: &mut dyn FnMut(Event)) {
        while self.running.len() < self.settings.max_sequences as usize {
            let Some(sequence) = self.waiting.front() else {
                return;
            };
            if sequence.resume_tokens >= sequence.output_tokens {
                // The caller already has the whole output.
                emit(Event::Finished { id: sequence.id });
                self.waiting.pop_front();
                continue;
            }
            // The last prompt token is always computed: it yields the first output.
            let reusable = (sequence.prompt_tokens.saturating_sub(1)) / BLOCK_TOKENS;
            let reusable = (reusable as usize).min(sequence.blocks.len());
            let needed = sequence.needed_blocks();
            let removed = &mut |block| emit(Event::Removed(block));
            let held = self
                .memory
                .reserve(&sequence.blocks[..reusable], needed, removed);
            let Some(held) = held else {
                return;
            };
            let Some(sequence) = self.waiting.pop_front() else {
                return;
            };
            let cached_tokens = held.shared() * BLOCK_TOKENS;
            emit(Event::Admitted {
                id: sequence.id,
                cached_tokens,
            });
            self.running.push(Running {
                prefilled: cached_tokens,
                produced: sequence.resume_tokens,
                prefill_now: 0,
                in_step: false,
                held,
                sequence,
            });
        }
    }

    fn finish_step(&mut self, emit: &mut dyn FnMut(Event)) {
        let mut index = 0;
        while let Some(running) = self.running.get_mut(index) {
            if running.in_step {
                running.in_step = false;
                running.prefilled += running.prefill_now;
                running.prefill_now = 0;
                let computed = (running.prefilled / BLOCK_TOKENS) as usize;
                let computed = computed.min(running.sequence.blocks.len());
                let stored = &mut |block| emit(Event::Stored(block));
                self.memory.store(
                    &mut running.held,
                    &running.sequence.blocks[..computed],
                    stored,
                );
                if running.prefill_left() == 0 {
                    emit(Event::Token {
                        id: running.sequence.id,
                        index: running.produced,
                    });
                    running.produced += 1;
                }
            }
            if running.produced >= running.sequence.output_tokens {
                let running = self.running.remove(index);
                emit(Event::Finished {
                    id: running.sequence.id,
                });
                self.memory.release(running.held);
            } else {
                index += 1;
            }
        }
    }
}
