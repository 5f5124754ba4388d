use std::time::{Duration, Instant};

use cornelwinch_types::Name;
use hdrhistogram::Histogram;

/// A window ends after this time if it has enough samples; the samples of the
/// window before the last no longer count.
const WINDOW: Duration = Duration::from_secs(3);
/// Longest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Fewer samples than this do not determine a high quantile.
const MIN_SAMPLES: u64 = 100;
/// The quantiles are computed again after this many samples; computing them
/// for each leg would cost about 2 microseconds a leg.
const REFRESH_SAMPLES: u32 = 256;
/// The quantiles are computed again after this time when there are samples.
const REFRESH_AFTER: Duration = Duration::from_millis(100);

/// Leg latency of recent attempts, by search and class.
#[derive(Debug, Default)]
pub(crate) struct Latencies {
    series: Vec<Series>,
}

#[derive(Debug)]
struct Series {
    search: Name,
    class: Name,
    current: Histogram<u32>,
    previous: Histogram<u32>,
    rotated: Instant,
    refreshed: Instant,
    unseen: u32,
    cache: Vec<(f64, Option<Duration>)>,
}

impl Latencies {
    /// Adds one sample.
    pub(crate) fn record(&mut self, now: Instant, search: &Name, class: &Name, latency: Duration) {
        let i = match self.find(search, class) {
            Ok(i) => i,
            Err(i) => {
                self.series
                    .insert(i, Series::new(now, search.clone(), class.clone()));
                i
            }
        };
        let series = &mut self.series[i];
        series.rotate(now);
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        series
            .current
            .saturating_record(micros.clamp(1, MAX_MICROS));
        series.unseen += 1;
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

impl Series {
    fn new(now: Instant, search: Name, class: Name) -> Self {
        // One per cent of precision; the bounds are valid constants.
        let histogram = || Histogram::new_with_bounds(1, MAX_MICROS, 2).expect("valid bounds");
        Self {
            search,
            class,
            current: histogram(),
            previous: histogram(),
            rotated: now,
            refreshed: now,
            unseen: 0,
            cache: Vec::new(),
        }
    }

    fn rotate(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.rotated);
        if age < WINDOW || self.current.len() < MIN_SAMPLES {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.reset();
        self.rotated = now;
        self.cache.clear();
    }

    fn quantile(&mut self, now: Instant, quantile: f64) -> Option<Duration> {
        self.rotate(now);
        let total = self.current.len() + self.previous.len();
        let stale = self.unseen >= REFRESH_SAMPLES
            || total < 4 * MIN_SAMPLES
            || now.saturating_duration_since(self.refreshed) >= REFRESH_AFTER;
        if self.unseen > 0 && stale {
            self.cache.clear();
            self.unseen = 0;
            self.refreshed = now;
        }
        if let Some((_, known)) = self.cache.iter().find(|(q, _)| *q == quantile) {
            return *known;
        }
        let value = (total >= MIN_SAMPLES).then(|| {
            let mut all = self.current.clone();
            // Both histograms have the same bounds.
            all.add(&self.previous).expect("equal bounds");
            Duration::from_micros(all.value_at_quantile(quantile))
        });
        self.cache.push((quantile, value));
        value
    }
}
