//! The retry budget of one service.

/// A bucket of tokens, one per retry. Finished requests and elapsed time add
/// tokens.
#[derive(Debug)]
pub(super) struct Budget {
    tokens: f32,
    max: f32,
    min_retries_per_s: f32,
    at_ms: u64,
}

impl Budget {
    pub(super) fn new(max: f32, min_retries_per_s: f32, now_ms: u64) -> Budget {
        Budget {
            tokens: max,
            max,
            min_retries_per_s,
            at_ms: now_ms,
        }
    }

    pub(super) fn deposit(&mut self, tokens: f32, now_ms: u64) {
        self.refill(now_ms);
        self.tokens = (self.tokens + tokens).min(self.max);
    }

    /// Takes one token and returns whether there was one.
    pub(super) fn withdraw(&mut self, now_ms: u64) -> bool {
        self.refill(now_ms);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(super) fn tokens(&mut self, now_ms: u64) -> f32 {
        self.refill(now_ms);
        self.tokens
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.at_ms);
        self.at_ms = self.at_ms.max(now_ms);
        let accrued = elapsed_ms as f32 * self.min_retries_per_s / 1_000.0;
        self.tokens = (self.tokens + accrued).min(self.max);
    }
}
