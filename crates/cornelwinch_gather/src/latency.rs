use std::time::{Duration, Instant};

use cornelwinch_types::Name;
use hdrhistogram::Histogram;

/// Shortest length of a sampling window, which also needs [`MIN_SAMPLES`] to end. Only the current
/// and the previous window count.
const WINDOW: Duration = Duration::from_secs(3);
/// Longest latency that is recorded; longer ones are clamped to it.
const MAX_LATENCY_MICROS: u64 = 60_000_000;
/// Smallest number of samples that determines a high quantile.
const MIN_SAMPLES: u64 = 100;
/// Number of samples after which cached quantiles are computed again. Computing them for each leg
/// would cost about 2 microseconds a leg.
const REFRESH_SAMPLES: u32 = 256;
/// Time after which cached quantiles are computed again if there are new samples.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// Leg latency of recent attempts, by search and class.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    series: Vec<LatencySeries>,
}

#[derive(Debug)]
struct LatencySeries {
    search: Name,
    class: Name,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated_at: Instant,
    refreshed_at: Instant,
    samples_since_refresh: u32,
    cached_quantiles: Vec<(f64, Option<Duration>)>,
}

impl Latencies {
    /// Adds one sample.
    pub(crate) fn record(&mut self, now: Instant, search: &Name, class: &Name, latency: Duration) {
        let i = match self.find(search, class) {
            Ok(i) => i,
            Err(i) => {
                self.series
                    .insert(i, LatencySeries::new(now, search.clone(), class.clone()));
                i
            }
        };
        let series = &mut self.series[i];
        series.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        series
            .current
            .saturating_record(micros.clamp(1, MAX_LATENCY_MICROS));
        series.samples_since_refresh += 1;
    }

    /// Returns a quantile of the recent latency, or `None` with too few
    /// samples.
    pub(crate) fn quantile(
        &mut self,
        now: Instant,
        search: &Name,
        class: &Name,
        quantile: f64,
    ) -> Option<Duration> {
        let i = self.find(search, class).ok()?;
        self.series[i].quantile(now, quantile)
    }

    fn find(&self, search: &Name, class: &Name) -> Result<usize, usize> {
        self.series
            .binary_search_by(|s| (&s.search, &s.class).cmp(&(search, class)))
    }
}

impl LatencySeries {
    fn new(now: Instant, search: Name, class: Name) -> Self {
        // Two significant digits give a precision of 1%. The bounds are valid constants.
        let histogram =
            || Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, 2).expect("valid bounds");
        Self {
            search,
            class,
            current: histogram(),
            previous: histogram(),
            rotated_at: now,
            refreshed_at: now,
            samples_since_refresh: 0,
            cached_quantiles: Vec::new(),
        }
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated_at);
        if age < WINDOW || self.current.len() < MIN_SAMPLES {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.rotated_at = now;
        self.cached_quantiles.clear();
    }

    fn quantile(&mut self, now: Instant, quantile: f64) -> Option<Duration> {
        self.rotate(now);
        let total = self.current.len() + self.previous.len();
        let stale = self.samples_since_refresh >= REFRESH_SAMPLES
            || total < 4 * MIN_SAMPLES
            || now.saturating_duration_since(self.refreshed_at) >= REFRESH_INTERVAL;
        if self.samples_since_refresh > 0 && stale {
            self.cached_quantiles.clear();
            self.samples_since_refresh = 0;
            self.refreshed_at = now;
        }
        if let Some((_, known)) = self.cached_quantiles.iter().find(|(q, _)| *q == quantile) {
            return *known;
        }
        let value = (total >= MIN_SAMPLES).then(|| {
            let mut all = self.current.clone();
            // Both histograms have the same bounds.
            all.add(&self.previous).expect("equal bounds");
            Duration::from_micros(all.value_at_quantile(quantile))
        });
        self.cached_quantiles.push((quantile, value));
        value
    }
}
