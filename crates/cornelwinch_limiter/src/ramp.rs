use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::config::LimiterConfig;

/// Sheds without a success between them that bring the cold limit back.
const COLD_SHEDS: u32 = 3;
/// First pause after repeated sheds. Without a pause a shedding upstream would
/// refuse the whole queue within milliseconds.
const SHED_PAUSE_MIN: Duration = Duration::from_millis(5);
/// Longest pause after repeated sheds.
const SHED_PAUSE_MAX: Duration = Duration::from_millis(160);
/// An answer is slow if it takes this many times the usual service time.
const SLOW_FACTOR: f64 = 4.0;
/// Slow answers in a row that indicate a cold start. With 1 % of stragglers, a
/// run of this length by chance has a probability of 1e-16.
const SLOW_RUN: u32 = 8;
/// An upstream in a cold start is still slow if the median of its last answers
/// takes this many times the usual service time. The medians of a warm upstream
/// whose service time varies by a third stay below it.
const COLD_FACTOR: f64 = 1.5;
/// Answers whose median is compared with the usual service time.
const RECENT: usize = 5;
/// Weight of an answer at the usual speed towards the end of a cold start; a
/// slow answer has weight 1, so that a lasting change of the service time
/// cannot hold an upstream cold for ever.
const FAST_WEIGHT: usize = 8;
/// Most successes that a cold start is taken to last. At the cold limit of 1 and
/// 6 ms for a leg they take 3 s.
const WARM_AFTER_MAX: usize = 512;
/// Weight of a new sample in the averages of the service time.
const SMOOTHING: f64 = 0.125;

/// Concurrency limit of one upstream: cold start, growth by successes, decrease
/// on sheds.
#[derive(Debug)]
pub(crate) struct Ramp {
    slots: usize,
    cold_limit: usize,
    /// Successes that end a cold start. It doubles when the upstream sheds soon
    /// after that many, because each fall starts its cold start anew: with a
    /// fixed number below the true one it would never get warm.
    warm_after: usize,
    limit: usize,
    /// Below this limit a round of successes doubles the limit, above it adds 1.
    threshold: usize,
    cold: bool,
    warmth: usize,
    /// Successes since the end of the last cold start.
    since_warm: usize,
    /// Latencies of the last answers, in seconds, the next one to replace first.
    recent: VecDeque<f64>,
    /// Successes of legs sent since the limit last changed.
    round: usize,
    /// Number of changes of the limit; a leg carries the number it was sent at.
    epoch: u64,
    /// Epoch of the last decrease. Sheds of legs sent before it belong to the
    /// same overload and do not decrease the limit again.
    cut: u64,
    sheds: u32,
    slow_run: u32,
    pause: Duration,
    pause_until: Option<Instant>,
    /// Average service time of all answers, in seconds.
    service: Option<f64>,
    /// Average service time of a warm upstream without slow answers, in seconds.
    usual: Option<f64>,
    /// `usual` as it was before the last cold start.
    before_cold: Option<f64>,
}

impl Ramp {
    pub(crate) fn open(cfg: &LimiterConfig, warm_limit: Option<usize>) -> Self {
        let limit = warm_limit.unwrap_or(cfg.cold_limit);
        Self {
            slots: cfg.slots,
            cold_limit: cfg.cold_limit,
            warm_after: cfg.warm_after_successes,
            limit: limit.clamp(1, cfg.slots),
            threshold: cfg.slots,
            cold: warm_limit.is_none(),
            warmth: 0,
            since_warm: 0,
            recent: VecDeque::with_capacity(RECENT),
            round: 0,
            epoch: 0,
            cut: 0,
            sheds: 0,
            slow_run: 0,
            pause: SHED_PAUSE_MIN,
            pause_until: None,
            service: None,
            usual: None,
            before_cold: None,
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

    /// Time until which nothing is sent after repeated sheds.
    pub(crate) fn pause_until(&self) -> Option<Instant> {
        self.pause_until
    }

    /// Forgets a pause that is over.
    pub(crate) fn end_pause(&mut self, now: Instant) {
        self.pause_until.take_if(|t| *t <= now);
    }

    /// Learned service time; zero before the first answer.
    pub(crate) fn service(&self) -> Duration {
        Duration::from_secs_f64(self.service.unwrap_or(0.0))
    }

    /// Goes back to the cold limit at once.
    pub(crate) fn enter_cold(&mut self) {
        self.cold = true;
        self.warmth = 0;
        self.recent.clear();
        self.slow_run = 0;
        self.threshold = self.slots;
        self.set_limit(self.limit.min(self.cold_limit));
        self.cut = self.epoch;
    }

    /// Restarts the growth at the cold limit without a cold start.
    pub(crate) fn restart_growth(&mut self) {
        self.set_limit(self.limit.min(self.cold_limit));
    }

    /// Records an answer of a leg that was sent at `epoch`. The limit does not
    /// grow unless `may_grow`.
    pub(crate) fn on_success(&mut self, epoch: u64, latency: Duration, may_grow: bool) {
        let latency = latency.as_secs_f64();
        let slow = self
            .usual
            .is_some_and(|usual| latency > usual * SLOW_FACTOR);
        smooth(&mut self.service, latency);
        if !slow && !self.cold {
            smooth(&mut self.usual, latency);
        }
        self.sheds = 0;
        self.pause = SHED_PAUSE_MIN;
        self.pause_until = None;
        self.slow_run = if slow { self.slow_run + 1 } else { 0 };
        if !self.cold && self.slow_run >= SLOW_RUN {
            self.enter_cold();
            return;
        }
        if epoch != self.epoch || !may_grow {
            return;
        }
        self.round += 1;
        if self.cold {
            self.warm_up(latency);
        } else {
            self.since_warm += 1;
        }
        let bound = if self.cold {
            self.cold_limit
        } else {
            self.slots
        };
        if self.round >= self.limit && self.limit < bound {
            let grown = if self.limit < self.threshold {
                self.limit * 2
            } else {
                self.limit + 1
            };
            self.set_limit(grown.min(bound));
        }
    }

    /// Counts an answer of a cold start, and ends it after enough of them.
    fn warm_up(&mut self, latency: f64) {
        if self.recent.len() == RECENT {
            self.recent.pop_front();
        }
        self.recent.push_back(latency);
        let slow = self
            .usual
            .is_some_and(|usual| median(&self.recent) > usual * COLD_FACTOR);
        self.warmth += if slow { 1 } else { FAST_WEIGHT };
        if self.warmth >= self.warm_after * FAST_WEIGHT {
            self.cold = false;
            self.since_warm = 0;
            self.before_cold = self.usual;
            self.usual = self.service;
            self.slow_run = 0;
        }
    }

    /// Records a shed of a leg that was sent at `epoch`.
    pub(crate) fn on_shed(&mut self, now: Instant, epoch: u64) {
        self.sheds += 1;
        self.warmth = 0;
        if !self.cold && self.sheds == 1 && self.since_warm < self.warm_after {
            // The upstream was taken for warm too early.
            self.warm_after = (self.warm_after * 2).min(WARM_AFTER_MAX);
            self.usual = self.before_cold.or(self.usual);
        }
        if epoch >= self.cut {
            self.set_limit((self.limit / 2).max(1));
            self.threshold = self.limit;
            self.cut = self.epoch;
        }
        if self.sheds >= COLD_SHEDS {
            if !self.cold {
                self.enter_cold();
            }
            self.pause_until = Some(now + self.pause);
            self.pause = (self.pause * 2).min(SHED_PAUSE_MAX);
        }
    }

    fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
        self.round = 0;
        self.epoch += 1;
    }
}

fn median(values: &VecDeque<f64>) -> f64 {
    let mut sorted: Vec<f64> = values.iter().copied().collect();
    sorted.sort_unstable_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

fn smooth(average: &mut Option<f64>, sample: f64) {
    *average = Some(average.map_or(sample, |a| a + (sample - a) * SMOOTHING));
}
