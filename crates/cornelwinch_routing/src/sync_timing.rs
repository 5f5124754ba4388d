use std::time::Duration;

/// Wait of a watch as a share of the recovery time.
const WATCH_WAIT_RATIO: f64 = 0.7;

/// Time beyond its wait after which a watch fails.
const WATCH_MARGIN: Duration = Duration::from_millis(400);

/// Number of watches that a source keeps open.
const WATCHES: f64 = 3.0;

/// Cost of a probe in calls: the store charges a tenth for a read that may be stale.
const PROBE_COST: f64 = 0.1;

/// Longest interval between two heartbeats of a source.
const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(350);

/// Interval between two heartbeats as a share of the bound.
const HEARTBEAT_RATIO: f64 = 0.1;

/// Number of heartbeat intervals without a message after which a source counts as lost: two missed
/// heartbeats plus one interval for network delay.
const LOST_HEARTBEATS: u32 = 3;

/// Longest search for another source: two that cannot be reached.
const MAX_SEARCH_TIME: Duration = Duration::from_millis(600);

/// Search for another source as a share of the bound.
const SEARCH_RATIO: f64 = 0.2;

/// Time for the changes that another source, or the store, sends after the switch.
const CATCH_UP_TIME: Duration = Duration::from_millis(150);

/// Time for a heartbeat to arrive.
const NETWORK_DELAY: Duration = Duration::from_millis(50);

/// Share of the bound that is left for hosts that run late, since some have an eighth of a core.
const RESERVE_RATIO: f64 = 0.1;

/// Age of the last answer at which a source probes the store, as a share of the time in which it
/// has to detect a loss. The rest is the timeout of the probe.
const PROBE_AGE_RATIO: f64 = 0.625;

/// Limit of the factor by which watches wait longer where the store is probed. A single connection
/// that breaks silently is detected only by its watch. Bounds below a quarter of the recovery time
/// would need more, and there the calls cost more than without probes.
const MAX_WATCH_GROWTH: u32 = 2;

/// Shortest time in which a source detects a loss. It limits the rate of probes, so that bounds
/// below one second are not kept.
const MIN_DETECTION_TIME: Duration = Duration::from_millis(400);

/// Time beyond the timeout of a watch after which a source without an answer counts as stale, if
/// the store is not probed.
const STALE_MARGIN: Duration = Duration::from_millis(500);

/// When sources prove that they reach the store, and when the hosts that they feed leave them.
///
/// All hosts calculate the same times from the settings. A change that is in the store is in force
/// on a fed host within the smallest bound, also if its source has silently lost the store.
///
/// ```
/// use std::time::Duration;
/// use cornelwinch_routing::SyncTiming;
///
/// let bound = Duration::from_secs(3);
/// let timing = SyncTiming::new(Duration::from_secs(4), Some(bound));
/// assert!(timing.worst_delay() <= bound.mul_f64(0.9));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SyncTiming {
    /// Longest time that a watch waits for a change.
    pub watch_wait: Duration,
    /// Time beyond its wait after which a watch fails.
    pub watch_margin: Duration,
    /// Probe of the store, if watches alone would detect a loss too late.
    pub probe: Option<StoreProbe>,
    /// Interval between two heartbeats of a source.
    pub heartbeat_interval: Duration,
    /// Time without a message after which a source counts as lost.
    pub heartbeat_timeout: Duration,
    /// Greatest age of a source's last answer from the store that a fed host accepts.
    pub max_age: Duration,
    /// Time after the loss of its source in which a host searches for another one before it follows
    /// the store; `None` if it tries all sources first.
    pub search_time: Option<Duration>,
}

/// A cheap read that proves that the store can be reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreProbe {
    /// Age of the last answer at which the probe is sent.
    pub after: Duration,
    /// Time after which the probe fails.
    pub timeout: Duration,
}

impl SyncTiming {
    /// Calculates the times from the recovery time and the smallest bound in force. Without a
    /// bound, or with one that watches alone keep, the store is not probed.
    pub fn new(stable: Duration, bound: Option<Duration>) -> Self {
        let watch_wait = stable.mul_f64(WATCH_WAIT_RATIO);
        let timing = Self {
            watch_wait,
            watch_margin: WATCH_MARGIN,
            probe: None,
            heartbeat_interval: MAX_HEARTBEAT_INTERVAL,
            heartbeat_timeout: MAX_HEARTBEAT_INTERVAL * LOST_HEARTBEATS,
            max_age: watch_wait + WATCH_MARGIN + STALE_MARGIN,
            search_time: None,
        };
        match bound {
            Some(bound) if timing.worst_delay() > usable(bound) => timing.with_probe(bound),
            _ => timing,
        }
    }

    fn with_probe(self, bound: Duration) -> Self {
        let heartbeat_interval = bound.mul_f64(HEARTBEAT_RATIO).min(MAX_HEARTBEAT_INTERVAL);
        let search_time = bound.mul_f64(SEARCH_RATIO).min(MAX_SEARCH_TIME);
        let detection_time = usable(bound)
            .saturating_sub(heartbeat_interval + NETWORK_DELAY + search_time + CATCH_UP_TIME)
            .max(MIN_DETECTION_TIME);
        let after = detection_time.mul_f64(PROBE_AGE_RATIO);
        // Watches wait longer, so that the calls cost no more than without probes.
        let calls_per_s =
            WATCHES / self.watch_wait.as_secs_f64() - PROBE_COST / after.as_secs_f64();
        let min_calls_per_s = WATCHES / (self.watch_wait * MAX_WATCH_GROWTH).as_secs_f64();
        let watch_wait = Duration::from_secs_f64(WATCHES / calls_per_s.max(min_calls_per_s));
        Self {
            watch_wait,
            probe: Some(StoreProbe {
                after,
                timeout: detection_time.saturating_sub(after),
            }),
            heartbeat_interval,
            heartbeat_timeout: heartbeat_interval * LOST_HEARTBEATS,
            max_age: detection_time,
            search_time: Some(search_time),
            ..self
        }
    }

    /// Returns the longest time from a change in the store until it is in force on a fed host whose
    /// source lost the store, or froze, just before the change.
    pub fn worst_delay(&self) -> Duration {
        let detection = match self.probe {
            Some(probe) => probe.after + probe.timeout,
            None => self.watch_wait + self.watch_margin,
        };
        let notice = (detection + self.heartbeat_interval).max(self.heartbeat_timeout);
        let search_time = self.search_time.unwrap_or(MAX_SEARCH_TIME);
        notice + NETWORK_DELAY + search_time + CATCH_UP_TIME
    }

    /// Returns the largest cost of a source's watches and probes per second without changes, in
    /// calls.
    pub fn store_cost_per_s(&self) -> f64 {
        let probes = self
            .probe
            .map_or(0.0, |probe| PROBE_COST / probe.after.as_secs_f64());
        WATCHES / self.watch_wait.as_secs_f64() + probes
    }
}

/// Returns the part of a bound that the calculated times may take.
fn usable(bound: Duration) -> Duration {
    bound.mul_f64(1.0 - RESERVE_RATIO)
}
