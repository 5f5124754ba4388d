use std::time::{Duration, Instant};

/// Tokens for extra legs, earned by the legs that every query needs.
#[derive(Debug)]
pub(crate) struct Budget {
    tokens: f64,
    ratio: f64,
    burst: f64,
    per_s: f64,
    refilled: Option<Instant>,
}

impl Budget {
    /// Makes a budget that earns `ratio` tokens per leg and `per_s` tokens per
    /// second, and keeps at most `burst`.
    pub(crate) fn new(tokens: f64, ratio: f64, per_s: f64, burst: f64) -> Self {
        Self {
            tokens,
            ratio,
            burst,
            per_s,
            refilled: None,
        }
    }

    /// Adds the tokens earned by one leg.
    pub(crate) fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst);
    }

    /// Takes `count` tokens if `count + reserve` are available.
    pub(crate) fn take(&mut self, now: Instant, count: f64, reserve: f64) -> bool {
        let since = self
            .refilled
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.refilled = Some(now);
        self.tokens = (self.tokens + since.as_secs_f64() * self.per_s).min(self.burst);
        // Rounding in the sums of `earn` must not withhold a whole token.
        let enough = self.tokens + 1e-9 >= count + reserve;
        if enough {
            self.tokens -= count;
        }
        enough
    }
}
