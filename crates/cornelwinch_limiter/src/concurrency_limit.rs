use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::config::LimiterConfig;

/// Consecutive sheds after which the cold limit applies again.
const COLD_AFTER_SHEDS: u32 = 3;
/// First pause after repeated sheds. Without a pause, an upstream that sheds load
/// would refuse the whole queue within milliseconds.
const MIN_SHED_PAUSE: Duration = Duration::from_millis(5);
/// Longest pause after repeated sheds.
const MAX_SHED_PAUSE: Duration = Duration::from_millis(160);
/// Ratio to the baseline service time above which an answer is slow.
const SLOW_RATIO: f64 = 4.0;
/// Consecutive slow answers that indicate a cold start. With 1 % of stragglers,
/// this many occur by chance with a probability of 1e-16.
const COLD_AFTER_SLOW_ANSWERS: u32 = 8;
/// Ratio of the median of the last answers to the baseline service time above
/// which an upstream in a cold start is still slow. The medians of a warm upstream
/// whose service time varies by a third stay below it.
const COLD_SLOW_RATIO: f64 = 1.5;
/// Number of answers whose median is compared with the baseline service time.
const RECENT_ANSWERS: usize = 5;
/// Weight of an answer at normal speed in the progress of a cold start. A slow
/// answer has weight 1, so that a permanent increase of the service time does not
/// keep the upstream in the cold start forever.
const FAST_ANSWER_WEIGHT: usize = 8;
/// Upper bound of the successes required to end a cold start. With a cold limit of 1
/// and 6 ms per leg they take 3 s.
const MAX_WARM_AFTER_SUCCESSES: usize = 512;
/// Weight of a new sample in the moving averages of the service time.
const SMOOTHING_FACTOR: f64 = 0.125;

/// Adaptive concurrency limit of one upstream: it stays at the cold limit during a
/// cold start, grows with successes and is halved on sheds.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    slots: usize,
    cold_limit: usize,
    /// Successes that end a cold start. The number doubles when the upstream sheds
    /// soon after the end of a cold start, because each failure from overload
    /// starts the cold start again: with a fixed number that is too low the
    /// upstream would never become warm.
    warm_after_successes: usize,
    limit: usize,
    /// A round of successes doubles a limit below this threshold and adds 1 to a
    /// limit at or above it.
    slow_start_threshold: usize,
    cold: bool,
    /// Weighted successes in the current cold start.
    warm_up_progress: usize,
    /// Successes since the end of the last cold start.
    successes_since_warm: usize,
    /// Latencies of the last answers, oldest first.
    recent_latencies_secs: VecDeque<f64>,
    /// Successes of legs that were sent since the limit last changed.
    round_successes: usize,
    /// Number of changes of the limit. Each leg records the value at which it was
    /// sent.
    epoch: u64,
    /// Epoch that began with the last decrease. Sheds of legs sent before it are
    /// due to the same overload and do not decrease the limit again.
    last_decrease_epoch: u64,
    consecutive_sheds: u32,
    consecutive_slow: u32,
    next_pause: Duration,
    pause_until: Option<Instant>,
    /// Moving average of the service time of all answers.
    service_time_secs: Option<f64>,
    /// Moving average of the service time of a warm upstream, without slow
    /// answers.
    baseline_secs: Option<f64>,
    /// Baseline before the last cold start.
    baseline_before_cold_secs: Option<f64>,
}

impl ConcurrencyLimit {
    pub(crate) fn new(cfg: &LimiterConfig, warm_limit: Option<usize>) -> Self {
        let limit = warm_limit.unwrap_or(cfg.cold_limit);
        Self {
            slots: cfg.slots,
            cold_limit: cfg.cold_limit,
            warm_after_successes: cfg.warm_after_successes,
            limit: limit.clamp(1, cfg.slots),
            slow_start_threshold: cfg.slots,
            cold: warm_limit.is_none(),
            warm_up_progress: 0,
            successes_since_warm: 0,
            recent_latencies_secs: VecDeque::with_capacity(RECENT_ANSWERS),
            round_successes: 0,
            epoch: 0,
            last_decrease_epoch: 0,
            consecutive_sheds: 0,
            consecutive_slow: 0,
            next_pause: MIN_SHED_PAUSE,
            pause_until: None,
            service_time_secs: None,
            baseline_secs: None,
            baseline_before_cold_secs: None,
        }
    }

    pub(crate) fn limit(&self) -> usize {
        self.limit
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.cold
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the end of the pause after repeated sheds, during which nothing is
    /// sent.
    pub(crate) fn pause_until(&self) -> Option<Instant> {
        self.pause_until
    }

    /// Clears a pause that has ended.
    pub(crate) fn end_pause(&mut self, now: Instant) {
        self.pause_until.take_if(|t| *t <= now);
    }

    /// Returns the average service time, or zero before the first answer.
    pub(crate) fn service_time(&self) -> Duration {
        Duration::from_secs_f64(self.service_time_secs.unwrap_or(0.0))
    }

    /// Starts a cold start: the cold limit applies at once.
    pub(crate) fn enter_cold(&mut self) {
        self.cold = true;
        self.warm_up_progress = 0;
        self.recent_latencies_secs.clear();
        self.consecutive_slow = 0;
        self.slow_start_threshold = self.slots;
        self.set_limit(self.limit.min(self.cold_limit));
        self.last_decrease_epoch = self.epoch;
    }

    /// Lowers the limit to the cold limit, from which it grows again, without a
    /// cold start.
    pub(crate) fn restart_growth(&mut self) {
        self.set_limit(self.limit.min(self.cold_limit));
    }

    /// Records the answer to a leg that was sent at `epoch`. The limit grows only if
    /// `may_grow` is set.
    pub(crate) fn on_success(&mut self, epoch: u64, latency: Duration, may_grow: bool) {
        let latency_secs = latency.as_secs_f64();
        let slow = self
            .baseline_secs
            .is_some_and(|baseline_secs| latency_secs > baseline_secs * SLOW_RATIO);
        update_average(&mut self.service_time_secs, latency_secs);
        if !slow && !self.cold {
            update_average(&mut self.baseline_secs, latency_secs);
        }
        self.consecutive_sheds = 0;
        self.next_pause = MIN_SHED_PAUSE;
        self.pause_until = None;
        self.consecutive_slow = if slow { self.consecutive_slow + 1 } else { 0 };
        if !self.cold && self.consecutive_slow >= COLD_AFTER_SLOW_ANSWERS {
            self.enter_cold();
            return;
        }
        if epoch != self.epoch || !may_grow {
            return;
        }
        self.round_successes += 1;
        if self.cold {
            self.warm_up(latency_secs);
        } else {
            self.successes_since_warm += 1;
        }
        let bound = if self.cold {
            self.cold_limit
        } else {
            self.slots
        };
        if self.round_successes >= self.limit && self.limit < bound {
            let grown = if self.limit < self.slow_start_threshold {
                self.limit * 2
            } else {
                self.limit + 1
            };
            self.set_limit(grown.min(bound));
        }
    }

    /// Counts an answer during a cold start and ends the cold start after enough
    /// of them.
    fn warm_up(&mut self, latency_secs: f64) {
        if self.recent_latencies_secs.len() == RECENT_ANSWERS {
            self.recent_latencies_secs.pop_front();
        }
        self.recent_latencies_secs.push_back(latency_secs);
        let slow = self.baseline_secs.is_some_and(|baseline_secs| {
            median(&self.recent_latencies_secs) > baseline_secs * COLD_SLOW_RATIO
        });
        self.warm_up_progress += if slow { 1 } else { FAST_ANSWER_WEIGHT };
        if self.warm_up_progress >= self.warm_after_successes * FAST_ANSWER_WEIGHT {
            self.cold = false;
            self.successes_since_warm = 0;
            self.baseline_before_cold_secs = self.baseline_secs;
            self.baseline_secs = self.service_time_secs;
            self.consecutive_slow = 0;
        }
    }

    /// Records that the upstream shed a leg that was sent at `epoch`.
    pub(crate) fn on_shed(&mut self, now: Instant, epoch: u64) {
        self.consecutive_sheds += 1;
        self.warm_up_progress = 0;
        if !self.cold
            && self.consecutive_sheds == 1
            && self.successes_since_warm < self.warm_after_successes
        {
            // The cold start was ended too early.
            self.warm_after_successes =
                (self.warm_after_successes * 2).min(MAX_WARM_AFTER_SUCCESSES);
            self.baseline_secs = self.baseline_before_cold_secs.or(self.baseline_secs);
        }
        if epoch >= self.last_decrease_epoch {
            self.set_limit((self.limit / 2).max(1));
            self.slow_start_threshold = self.limit;
            self.last_decrease_epoch = self.epoch;
        }
        if self.consecutive_sheds >= COLD_AFTER_SHEDS {
            if !self.cold {
                self.enter_cold();
            }
            self.pause_until = Some(now + self.next_pause);
            self.next_pause = (self.next_pause * 2).min(MAX_SHED_PAUSE);
        }
    }

    fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.round_successes = 0;
        self.epoch += 1;
    }
}

fn median(values: &VecDeque<f64>) -> f64 {
    let mut sorted: Vec<f64> = values.iter().copied().collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn update_average(average: &mut Option<f64>, sample: f64) {
    *average = Some(average.map_or(sample, |a| a + (sample - a) * SMOOTHING_FACTOR));
}
