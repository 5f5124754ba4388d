use std::time::Instant;

use crate::ledger::Ledger;

/// Token bucket that fills at the rate of a ledger.
#[derive(Debug, Clone)]
pub(crate) struct Bucket {
    tokens: f64,
    filled: Instant,
}

/// Rate and burst of an organisation over all hosts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct BucketSize {
    pub(crate) rate: f64,
    pub(crate) burst: f64,
}

impl BucketSize {
    /// Most tokens that a part of the rate may accumulate. A part too small
    /// for one token still may collect one, or it would never admit a request.
    fn capacity(self, held: f64) -> f64 {
        if held > 0.0 {
            (self.burst * held / self.rate).max(1.0)
        } else {
            0.0
        }
    }
}

impl Bucket {
    /// An empty bucket.
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            filled: now,
        }
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Fills the bucket up to now, loan by loan as they ended meanwhile.
    pub(crate) fn fill(&mut self, now: Instant, ledger: &Ledger, size: BucketSize) {
        while self.filled < now {
            let end = ledger
                .next_end(self.filled)
                .filter(|end| *end < now)
                .unwrap_or(now);
            let held = ledger.held(self.filled);
            let gained = held * end.duration_since(self.filled).as_secs_f64();
            self.tokens = (self.tokens + gained).min(size.capacity(held));
            self.filled = end;
        }
        self.clip(now, ledger, size);
    }

    /// Drops tokens that the held rate may not accumulate.
    pub(crate) fn clip(&mut self, now: Instant, ledger: &Ledger, size: BucketSize) {
        self.tokens = self.tokens.min(size.capacity(ledger.held(now)));
    }

    /// Takes tokens for a request. A request that costs more than the bucket
    /// holds needs a full bucket and leaves a debt.
    pub(crate) fn take(&mut self, cost: f64, held: f64, size: BucketSize) -> bool {
        let enough = self.tokens >= cost.min(size.capacity(held)) && held > 0.0;
        if enough {
            self.tokens -= cost;
        }
        enough
    }

    /// Moves a part of the tokens out, with a loan of that part of the rate. One
    /// token stays, so that the next request need not wait for a loan.
    pub(crate) fn split(&mut self, part: f64) -> f64 {
        let moved = (self.tokens - 1.0).max(0.0) * part.clamp(0.0, 1.0);
        self.tokens -= moved;
        moved
    }

    /// Adds tokens that came with a loan.
    pub(crate) fn add(&mut self, tokens: f64) {
        self.tokens += tokens;
    }
}
