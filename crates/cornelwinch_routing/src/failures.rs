use std::time::{Duration, Instant};

/// Time constant with which earlier legs lose their weight. A host of a large deployment sends an
/// upstream about one leg a second, and has to remember some of them.
const DECAY: Duration = Duration::from_secs(4);

/// Answers that are assumed before the first leg, so that one failure is weak evidence.
const PRIOR_ANSWERS: f64 = 1.0;

/// Share of the recent legs to an upstream that it refused or failed.
///
/// It answers upstreams that refuse or fail part of their legs for seconds while others of the
/// service have room: each failure costs a repeat, and repeats are bounded.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct FailureRate {
    failed: f64,
    answered: f64,
    updated: Option<Instant>,
}

impl FailureRate {
    /// Records the end of a leg.
    pub(crate) fn record(&mut self, now: Instant, is_failed: bool) {
        let kept = self.kept(now);
        let failed = f64::from(u8::from(is_failed));
        self.failed = self.failed * kept + failed;
        self.answered = self.answered * kept + 1.0 - failed;
        self.updated = Some(now);
    }

    /// Returns the expected share of failed legs, from 0 to 1.
    pub(crate) fn share(&self, now: Instant) -> f64 {
        let kept = self.kept(now);
        let failed = self.failed * kept;
        failed / (failed + self.answered * kept + PRIOR_ANSWERS)
    }

    fn kept(&self, now: Instant) -> f64 {
        let age = self
            .updated
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        (-age.as_secs_f64() / DECAY.as_secs_f64()).exp()
    }
}
