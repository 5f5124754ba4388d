use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::HealthSignal;
use crate::cost_model::{CostModel, CostSample};

/// Variance of the logarithm of an upstream's slowness that is assumed before it is observed. It
/// covers upstreams that take 0.8 to 1.3 times the usual time.
const SPEED_VARIANCE: f64 = 0.05;

/// Time constant with which a learned speed is forgotten.
const SPEED_TTL: Duration = Duration::from_secs(120);

/// Time that has to pass for a sample of an upstream to have its full weight. Noise lasts for some
/// tenths of a second, so that legs within this time are no independent evidence.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(500);

/// Weight of a new sample in the average of residuals that shows a change of speed, and the average
/// from which the speed is learned anew.
const CHANGE_WEIGHT: f64 = 0.3;
const CHANGE_THRESHOLD: f64 = 0.4;

/// Standard errors by which the speeds of two upstreams have to differ to count as uneven, and
/// below which they count as even again.
const UNEVEN_ERRORS: f64 = 4.0;
const EVEN_ERRORS: f64 = 2.0;

/// Smallest difference between the logarithms of speeds that counts as uneven.
const MIN_UNEVENNESS: f64 = 0.1;

/// Time constant of the decay of delays and penalties, so that the upstream is tried again.
const DELAY_DECAY: Duration = Duration::from_millis(1_500);

/// Weight of a new sample in the moving average of delays and penalties.
const DELAY_WEIGHT: f64 = 0.3;

/// Largest sample of a delay in costs. A pause delays one answer without slowing the next ones; with
/// a limit of 3, pauses hid how far the delays of a queue persist, and 9 hosts at half of the
/// capacity queued at the fast upstreams.
const MAX_DELAY_RATIO: f64 = 1.0;

/// Penalties in costs of a leg that the upstream refused, and of one that failed.
const REFUSED_PENALTY: f64 = 3.0;
const FAILED_PENALTY: f64 = 7.0;

/// Least charge for a leg to another zone, as a share of its cost. Bytes between zones have a price
/// also where their latency is low.
const OTHER_ZONE_COST_RATIO: f64 = 0.5;

/// Weight of the time by which a leg in flight is overdue. It shows that the upstream stalls, and
/// what arrives meanwhile is queued behind it.
const OVERDUE_WEIGHT: f64 = 2.0;

/// Standard errors of the speeds by which choices are spread.
const EXPLORATION: f64 = 0.8;

/// Share of the remaining work of this host's legs by which a new leg is delayed even if they take
/// few of the slots: other hosts tend to choose the same upstream at the same time. With a share of
/// 0.5 or less, 81 hosts at half of the capacity had a longer mean time than by latency.
const CONTENTION: f64 = 1.0;

/// Number of slots that is assumed of an upstream that states none.
const DEFAULT_SLOTS: u32 = 2;

/// A value that decays towards zero.
#[derive(Debug, Clone, Copy)]
struct Decaying {
    value: f64,
    at: Instant,
}

impl Decaying {
    fn get(&self, now: Instant) -> f64 {
        if self.value == 0.0 {
            return 0.0;
        }
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.value * (-age / DELAY_DECAY.as_secs_f64()).exp()
    }

    fn sample(&mut self, now: Instant, value: f64, weight: f64) {
        self.value = self.get(now) * (1.0 - weight) + value * weight;
        self.at = now;
    }
}

#[derive(Debug)]
struct WorkInFlight {
    token: u64,
    sent: Instant,
    route: usize,
    /// Expected time in seconds.
    expected: f64,
    /// Expected delay in seconds, in addition.
    delay: f64,
    is_timely: bool,
}

/// Learned speed of one upstream and the work that this host has sent there.
#[derive(Debug)]
pub struct UpstreamWork {
    /// Mean and variance of the logarithm of the upstream's slowness.
    ln_speed: f64,
    variance: f64,
    learned: Instant,
    /// Moving average of the residuals.
    change: f64,
    /// Recent time of legs beyond the expected one, in seconds.
    delay: Decaying,
    /// Recent refusals and failures, in costs.
    penalty: Decaying,
    legs: Vec<WorkInFlight>,
    /// Routes of the legs of the current period and the one before, as sets of indexes.
    routes: u64,
    last_routes: u64,
}

/// What the expected time of a leg depends on besides its upstream.
#[derive(Debug, Clone, Copy)]
pub struct LegQuery<'a> {
    /// Current time.
    pub now: Instant,
    /// Learned costs.
    pub model: &'a CostModel,
    /// Index of the route.
    pub route: usize,
    /// Zone of the upstream; `None` if it is that of this host.
    pub other_zone: Option<&'a Name>,
    /// Requests that the upstream runs at a time; 0 if it states none.
    pub slots: u32,
}

impl UpstreamWork {
    /// Creates the state of an upstream without any legs yet.
    pub fn new(now: Instant) -> Self {
        let zero = Decaying {
            value: 0.0,
            at: now,
        };
        Self {
            ln_speed: 0.0,
            variance: SPEED_VARIANCE,
            learned: now,
            change: 0.0,
            delay: zero,
            penalty: zero,
            legs: Vec::new(),
            routes: 0,
            last_routes: 0,
        }
    }

    /// Returns the mean and the variance of the logarithm of the slowness, forgotten in part since
    /// the last sample.
    fn speed(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.learned).as_secs_f64();
        let kept = (-age / SPEED_TTL.as_secs_f64()).exp();
        let variance = SPEED_VARIANCE - (SPEED_VARIANCE - self.variance) * kept;
        (self.ln_speed * kept, variance)
    }

    /// Returns the expected time of a leg in seconds. `deviation` is a number of standard errors
    /// that is added to the speed, which spreads choices as far as speeds are uncertain.
    pub fn expected_time(&self, query: LegQuery<'_>, deviation: f64) -> f64 {
        let now = query.now;
        let cost = query.model.cost(query.route);
        let (ln_speed, variance) = self.speed(now);
        let work = cost * (ln_speed + EXPLORATION * deviation * variance.sqrt()).exp();
        let latency = query.other_zone.map_or(0.0, |zone| {
            let latency = query.model.zone_latency(zone, cost);
            latency.max(OTHER_ZONE_COST_RATIO * cost)
        });
        let delay = self.delay.get(now) * query.model.delay_persistence();
        let penalty = self.penalty.get(now) * cost;
        latency + work + penalty + delay.max(self.overdue(now)) + self.wait(now, query.slots)
    }

    /// Returns the weighted time by which the oldest leg in flight exceeds its expected time.
    fn overdue(&self, now: Instant) -> f64 {
        let overdue = self.legs.iter().map(|leg| {
            let age = now.saturating_duration_since(leg.sent).as_secs_f64();
            (age - leg.expected) * OVERDUE_WEIGHT
        });
        overdue.fold(0.0, f64::max)
    }

    /// Returns the expected time until a slot is free, from the remaining work of the legs in
    /// flight. While they take fewer than all slots, a slot is free in proportion, as far as legs of
    /// other hosts don't take it.
    fn wait(&self, now: Instant, slots: u32) -> f64 {
        if self.legs.is_empty() {
            return 0.0;
        }
        let slots = f64::from(if slots == 0 { DEFAULT_SLOTS } else { slots });
        let remaining = self.legs.iter().map(|leg| {
            let age = now.saturating_duration_since(leg.sent).as_secs_f64();
            (leg.expected + leg.delay - age).max(0.1 * leg.expected)
        });
        let taken = (self.legs.len() as f64 / slots).min(1.0);
        remaining.sum::<f64>() * (CONTENTION + taken / slots)
    }

    /// Records that a leg was sent.
    pub fn leg_sent(&mut self, query: LegQuery<'_>, token: u64) {
        let cost = query.model.cost(query.route);
        let latency = query
            .other_zone
            .map_or(0.0, |zone| query.model.zone_latency(zone, cost));
        let expected = latency + cost * self.speed(query.now).0.exp();
        self.routes |= 1 << query.route;
        self.legs.push(WorkInFlight {
            token,
            sent: query.now,
            route: query.route,
            expected,
            delay: self.delay.get(query.now) * query.model.delay_persistence(),
            is_timely: true,
        });
    }

    /// Records the time at which a leg's connection was open, from which its time counts.
    pub fn leg_connected(&mut self, now: Instant, token: u64) {
        if let Some(leg) = self.legs.iter_mut().find(|leg| leg.token == token) {
            leg.sent = now;
        }
    }

    /// Records that the time of a leg is partly due to this host.
    pub fn mark_untimely(&mut self, token: u64) {
        if let Some(leg) = self.legs.iter_mut().find(|leg| leg.token == token) {
            leg.is_timely = false;
        }
    }

    /// Records the end of a leg and learns from it. `other_zone` is the zone of the upstream if it
    /// is not that of this host.
    pub fn leg_ended(
        &mut self,
        now: Instant,
        token: u64,
        signal: HealthSignal,
        other_zone: Option<&Name>,
        model: &mut CostModel,
    ) {
        let Some(index) = self.legs.iter().position(|leg| leg.token == token) else {
            return;
        };
        let leg = self.legs.swap_remove(index);
        let seconds = now.saturating_duration_since(leg.sent).as_secs_f64();
        match signal {
            HealthSignal::Answered { .. } if !leg.is_timely => model.count_discarded(),
            HealthSignal::Answered { .. } => {
                let cost = model.cost(leg.route);
                let seen = (seconds - leg.expected).clamp(0.0, MAX_DELAY_RATIO * cost);
                model.learn_persistence(self.delay.get(now) / cost, seen / cost);
                self.delay.sample(now, seen, DELAY_WEIGHT);
                self.penalty.sample(now, 0.0, DELAY_WEIGHT);
                self.learn(now, seconds, leg.route, other_zone, model);
            }
            HealthSignal::Refused => self.penalty.sample(now, REFUSED_PENALTY, DELAY_WEIGHT),
            HealthSignal::Failed | HealthSignal::Oversized => {
                self.penalty.sample(now, FAILED_PENALTY, DELAY_WEIGHT);
            }
            HealthSignal::TimedOut { .. } => {
                let ratio = seconds / model.cost(leg.route) - 1.0;
                if ratio > self.penalty.get(now) {
                    self.penalty.sample(now, ratio, 1.0);
                }
            }
            // The fleet ranks lost upstreams last and stops using misdirected ones.
            HealthSignal::Unreachable
            | HealthSignal::Misdirected
            | HealthSignal::Dropped
            | HealthSignal::Neutral => {}
        }
    }

    fn learn(
        &mut self,
        now: Instant,
        seconds: f64,
        route: usize,
        other_zone: Option<&Name>,
        model: &mut CostModel,
    ) {
        let (ln_speed, mut variance) = self.speed(now);
        let sample = CostSample {
            seconds,
            route,
            other_zone,
            ln_speed,
        };
        let Some(residual) = model.learn(sample) else {
            return;
        };
        let age = now.saturating_duration_since(self.learned);
        let weight = (age.as_secs_f64() / SAMPLE_INTERVAL.as_secs_f64()).min(1.0);
        self.change += CHANGE_WEIGHT * weight * (residual - self.change);
        if self.change.abs() > CHANGE_THRESHOLD {
            variance = SPEED_VARIANCE;
        }
        let gain = weight * variance / (variance + model.noise());
        self.ln_speed = ln_speed + gain * residual;
        self.variance = variance * (1.0 - gain);
        self.learned = now;
    }

    /// Ends a period and returns the routes of the legs in it and in the one before.
    pub fn take_routes(&mut self) -> u64 {
        let routes = self.routes | self.last_routes;
        self.last_routes = std::mem::take(&mut self.routes);
        routes
    }

    /// Returns the lowest and highest logarithm of the slowness that its uncertainty leaves open.
    pub fn speed_range(&self, now: Instant) -> (f64, f64) {
        let (mean, variance) = self.speed(now);
        let error = UNEVEN_ERRORS * (variance / 2.0).sqrt();
        (mean - error, mean + error)
    }

    /// Returns true if the speeds of the two upstreams differ beyond their uncertainty. Less
    /// certainty is required if they were uneven before.
    pub fn is_uneven(&self, other: &Self, now: Instant, was_uneven: bool) -> bool {
        let (mean, variance) = self.speed(now);
        let (other_mean, other_variance) = other.speed(now);
        let errors = if was_uneven {
            EVEN_ERRORS
        } else {
            UNEVEN_ERRORS
        };
        let difference = (mean - other_mean).abs();
        difference > MIN_UNEVENNESS && difference > errors * (variance + other_variance).sqrt()
    }

    /// Formats the learned speed, its standard error, recent delays and the remaining work.
    pub fn describe(&self, now: Instant, slots: u32) -> String {
        let (mean, variance) = self.speed(now);
        format!(
            "speed={:.2} error={:.2} delay_ms={:.1} penalty={:.1} wait_ms={:.1}",
            mean.exp(),
            variance.sqrt(),
            self.delay.get(now) * 1_000.0,
            self.penalty.get(now),
            self.wait(now, slots) * 1_000.0,
        )
    }
}
