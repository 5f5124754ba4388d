use std::time::{Duration, Instant};

/// Token budget for extra attempts (retries or hedges), refilled by first attempts and by time.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: f64,
    tokens_per_leg: f64,
    max_tokens: f64,
    tokens_per_s: f64,
    refilled_at: Option<Instant>,
}

impl Budget {
    /// Creates a budget that earns `tokens_per_leg` tokens per leg and `tokens_per_s` tokens per
    /// second, and keeps at most `max_tokens`.
    pub(crate) fn new(
        tokens: f64,
        tokens_per_leg: f64,
        tokens_per_s: f64,
        max_tokens: f64,
    ) -> Self {
        Self {
            tokens,
            tokens_per_leg,
            max_tokens,
            tokens_per_s,
            refilled_at: None,
        }
    }

    /// Adds the tokens earned by one leg.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.tokens_per_leg).min(self.max_tokens);
    }

    /// Takes `count` tokens if `count + reserve` are available.
    pub(crate) fn take(&mut self, now: Instant, count: f64, reserve: f64) -> bool {
        let elapsed = self
            .refilled_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled_at = Some(now);
        self.tokens =
            (self.tokens + elapsed.as_secs_f64() * self.tokens_per_s).min(self.max_tokens);
        // Rounding errors accumulated by `earn` must not withhold a whole token.
        let enough = self.tokens + 1e-9 >= count + reserve;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}
