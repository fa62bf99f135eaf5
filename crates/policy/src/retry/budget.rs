//! The retry budget of one service.

/// Tokens, one per retry. They are earned by finished requests and by time.
#[derive(Debug)]
pub(super) struct Budget {
    tokens: f32,
    max: f32,
    trickle_per_s: f32,
    at_ms: u64,
}

impl Budget {
    pub(super) fn new(max: f32, trickle_per_s: f32, now_ms: u64) -> Budget {
        Budget {
            tokens: max,
            max,
            trickle_per_s,
            at_ms: now_ms,
        }
    }

    pub(super) fn earn(&mut self, tokens: f32, now_ms: u64) {
        self.refill(now_ms);
        self.tokens = (self.tokens + tokens).min(self.max);
    }

    /// Takes one token if there is one.
    pub(super) fn spend(&mut self, now_ms: u64) -> bool {
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
        let earned = elapsed_ms as f32 * self.trickle_per_s / 1_000.0;
        self.tokens = (self.tokens + earned).min(self.max);
    }
}
