//! Deterministic output text.
//!
//! Token `i` of an answer depends on the model, the prompt and `i` only, so that
//! a test can compute the whole answer and a resumed stream continues it.

use xxhash_rust::xxh3;

/// Bytes of prompt text that count as one token.
const TOKEN_BYTES: usize = 4;
/// Shortest answer that the model ends by itself, in tokens.
const MIN_ANSWER_TOKENS: u64 = 16;
/// Number of different lengths of answers that the model ends by itself.
const ANSWER_LENGTHS: u64 = 240;
/// Length limit of a request that sets none and ignores the end of the answer.
const DEFAULT_LIMIT_TOKENS: u32 = 256;

const SYLLABLES: [&str; 16] = [
    "ba", "de", "fi", "go", "hu", "ka", "le", "mi", "no", "pu", "ra", "se", "ti", "vo", "wu", "za",
];

/// Why an answer ends.
#[derive(
    Clone, Copy, Debug, strum::Display, Eq, strum::IntoStaticStr, PartialEq, strum::EnumString,
)]
#[strum(serialize_all = "snake_case")]
pub enum Finish {
    /// The model ended it.
    Stop,
    /// It reached the length limit of the request.
    Length,
}

/// The answer to one prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Answer {
    seed: u64,
    tokens: u32,
    finish: Finish,
}

impl Answer {
    /// Computes the answer of a model to a prompt with a length limit in tokens.
    ///
    /// `ignore_end` makes the answer as long as the limit.
    pub fn new(model: &str, prompt: &str, limit: Option<u32>, ignore_end: bool) -> Answer {
        let model_seed = xxh3::xxh3_64(model.as_bytes());
        let seed = xxh3::xxh3_64_with_seed(prompt.as_bytes(), model_seed);
        let natural = if ignore_end {
            u32::MAX
        } else {
            (MIN_ANSWER_TOKENS + seed % ANSWER_LENGTHS) as u32
        };
        let limit = match (limit, ignore_end) {
            (Some(limit), _) => limit,
            (None, true) => DEFAULT_LIMIT_TOKENS,
            (None, false) => u32::MAX,
        };
        Answer {
            seed,
            tokens: natural.min(limit),
            finish: if natural <= limit {
                Finish::Stop
            } else {
                Finish::Length
            },
        }
    }

    /// Returns the number of tokens.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }

    /// Returns why the answer ends.
    pub fn finish(&self) -> Finish {
        self.finish
    }

    /// Returns the text of one token: a word, with a space before all but the first.
    pub fn token(&self, index: u32) -> String {
        let hash = xxh3::xxh3_64_with_seed(&index.to_le_bytes(), self.seed);
        let mut text = String::with_capacity(8);
        if index > 0 {
            text.push(' ');
        }
        for part in 0..2 + hash % 2 {
            let syllable = (hash >> (8 + 8 * part)) as usize % SYLLABLES.len();
            text.push_str(SYLLABLES[syllable]);
        }
        text
    }

    /// Returns the text of all tokens from an index on.
    pub fn text_from(&self, index: u32) -> String {
        (index..self.tokens)
            .map(|index| self.token(index))
            .collect()
    }

    /// Returns the text of the tokens before an index.
    pub fn text_before(&self, index: u32) -> String {
        (0..index.min(self.tokens))
            .map(|index| self.token(index))
            .collect()
    }
}

/// Returns the number of tokens of a prompt, at least 1.
pub fn prompt_tokens(prompt: &str) -> u32 {
    u32::try_from(prompt.len().div_ceil(TOKEN_BYTES).max(1)).unwrap_or(u32::MAX)
}
