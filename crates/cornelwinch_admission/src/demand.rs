use std::time::{Duration, Instant};

/// Time constant of the estimate of the offered rate.
const RATE_MEMORY: Duration = Duration::from_millis(300);
/// Time constant of the estimate that decides what a host lends. A longer one
/// keeps a host from lending in a short dip what it needs; a shorter one frees
/// the share sooner when an organisation moves away.
const LENDING_MEMORY: Duration = Duration::from_millis(500);
/// Time over which the highest number of wanted slots is remembered.
const PEAK_WINDOW: Duration = Duration::from_millis(500);
/// What an organisation recently asked of this host, refused requests included.
#[derive(Debug, Clone)]
pub(crate) struct Demand {
    rate: f64,
    steady_rate: f64,
    updated: Instant,
    in_use: u32,
    refused: u32,
    peak: u32,
    last_peak: u32,
    window: Instant,
}

impl Demand {
    pub(crate) fn open(now: Instant) -> Self {
        Self {
            rate: 0.0,
            steady_rate: 0.0,
            updated: now,
            in_use: 0,
            refused: 0,
            peak: 0,
            last_peak: 0,
            window: now,
        }
    }

    /// Requests in progress.
    pub(crate) fn in_use(&self) -> u32 {
        self.in_use
    }

    /// Counts an offered request, admitted or not.
    pub(crate) fn offer(&mut self, now: Instant, cost: f64) {
        self.steady_rate = self.steady_rate(now) + cost / LENDING_MEMORY.as_secs_f64();
        self.rate = self.rate(now) + cost / RATE_MEMORY.as_secs_f64();
        self.updated = now;
    }

    /// Counts a request that found no slot.
    pub(crate) fn refuse_slot(&mut self, now: Instant) {
        self.turn(now);
        self.refused += 1;
        self.peak = self.peak.max(self.in_use + self.refused);
    }

    /// Counts an admitted request.
    pub(crate) fn start(&mut self, now: Instant) {
        self.turn(now);
        self.in_use += 1;
        self.peak = self.peak.max(self.in_use + self.refused);
    }

    /// Counts a finished request.
    pub(crate) fn finish(&mut self, now: Instant) {
        self.turn(now);
        self.in_use = self.in_use.saturating_sub(1);
    }

    /// Estimated cost offered per second, of late.
    pub(crate) fn rate(&self, now: Instant) -> f64 {
        self.rate * self.decay(now, RATE_MEMORY)
    }

    /// Estimated cost offered per second, over a longer time.
    pub(crate) fn steady_rate(&self, now: Instant) -> f64 {
        self.steady_rate * self.decay(now, LENDING_MEMORY)
    }

    fn decay(&self, now: Instant, memory: Duration) -> f64 {
        let age = now.saturating_duration_since(self.updated);
        (-age.as_secs_f64() / memory.as_secs_f64()).exp()
    }

    /// Slots that this host wants.
    pub(crate) fn wanted_slots(&mut self, now: Instant) -> f64 {
        self.turn(now);
        f64::from(self.peak.max(self.last_peak).max(self.in_use))
    }

    fn turn(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.window);
        if age >= PEAK_WINDOW {
            self.last_peak = if age < 2 * PEAK_WINDOW {
                self.peak
            } else {
                self.in_use
            };
            self.peak = self.in_use;
            self.refused = 0;
            self.window = now;
        }
    }
}
