use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use cadence::prelude::*;
use cadence::{NopMetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink};
use cornelwinch_types::{Name, SortedMap};
use hdrhistogram::Histogram;
use serde_json::{Value, json};

use crate::DaemonError;

const PREFIX: &str = "cornelwinch";

/// Histograms kept for each of classes and organisations; the names come from the
/// configuration, so that only a very large one reaches the limit.
const SERIES_LIMIT: usize = 4_096;

const HISTOGRAM_LOW_US: u64 = 1;
const HISTOGRAM_HIGH_US: u64 = 60_000_000;
const HISTOGRAM_DIGITS: u8 = 2;

/// Latency and coverage of one class or organisation.
#[derive(Debug)]
struct Series {
    latency_us: Histogram<u64>,
    answers: u64,
    complete: u64,
    coverage_sum: f64,
    not_run: u64,
    unknown: u64,
}

impl Series {
    fn new() -> Self {
        Self {
            latency_us: Histogram::new_with_bounds(
                HISTOGRAM_LOW_US,
                HISTOGRAM_HIGH_US,
                HISTOGRAM_DIGITS,
            )
            .expect("the bounds are valid"),
            answers: 0,
            complete: 0,
            coverage_sum: 0.0,
            not_run: 0,
            unknown: 0,
        }
    }

    fn to_json(&self) -> Value {
        let quantile = |q| self.latency_us.value_at_quantile(q) as f64 / 1_000.0;
        let answers = self.answers.max(1) as f64;
        json!({
            "answers": self.answers,
            "not_run": self.not_run,
            "unknown": self.unknown,
            "p50_ms": quantile(0.5),
            "p99_ms": quantile(0.99),
            "p999_ms": quantile(0.999),
            "complete": self.complete as f64 / answers,
            "coverage": self.coverage_sum / answers,
        })
    }
}

/// How a request of a caller ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum RequestEnd {
    /// It was answered with this coverage.
    Answered {
        /// Share of documents covered, from 0 to 1.
        coverage: f64,
    },
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Metrics of the process: StatsD counters and timers, and histograms that the
/// operator listener shows.
#[derive(Debug)]
pub(crate) struct Metrics {
    client: StatsdClient,
    classes: SortedMap<Name, Series>,
    organisations: SortedMap<Name, Series>,
}

impl Metrics {
    pub(crate) fn open(statsd: Option<SocketAddr>, host: &str) -> Result<Self, DaemonError> {
        let client = match statsd {
            None => StatsdClient::from_sink(PREFIX, NopMetricSink),
            Some(addr) => {
                let fail = |reason: String| DaemonError::Metrics { reason };
                let any = SocketAddr::from(([0, 0, 0, 0], 0));
                let socket = UdpSocket::bind(any).map_err(|e| fail(e.to_string()))?;
                socket
                    .set_nonblocking(true)
                    .map_err(|e| fail(e.to_string()))?;
                let sink = UdpMetricSink::from(addr, socket).map_err(|e| fail(e.to_string()))?;
                StatsdClient::builder(PREFIX, QueuingMetricSink::from(sink))
                    .with_tag("host", host)
                    .build()
            }
        };
        Ok(Self {
            client,
            classes: SortedMap::new(),
            organisations: SortedMap::new(),
        })
    }

    /// Counts failed invariant checks.
    pub(crate) fn count_violations(&self, n: u64) {
        // A lost metric is not worth an error.
        let _ = self.client.count("violations", n);
    }

    /// Records the end of a request.
    pub(crate) fn record(
        &mut self,
        class: &Name,
        organisation: &Name,
        latency: Duration,
        end: RequestEnd,
    ) {
        let _ = self
            .client
            .time_with_tags("request", latency)
            .with_tag("class", class)
            .with_tag("customer", organisation)
            .try_send();
        for (map, name) in [
            (&mut self.classes, class),
            (&mut self.organisations, organisation),
        ] {
            if map.len() >= SERIES_LIMIT && !map.contains_key(name) {
                continue;
            }
            let series = map.get_or_insert_with(name.clone(), Series::new);
            match end {
                RequestEnd::Answered { coverage } => {
                    let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                    series.latency_us.saturating_record(micros);
                    series.answers += 1;
                    series.coverage_sum += coverage;
                    if coverage >= 1.0 {
                        series.complete += 1;
                    }
                }
                RequestEnd::NotRun => series.not_run += 1,
                RequestEnd::Unknown => series.unknown += 1,
            }
        }
    }

    /// Quantiles for each class and organisation.
    pub(crate) fn to_json(&self) -> Value {
        let map = |map: &SortedMap<Name, Series>| -> Value {
            map.iter()
                .map(|(name, series)| (name.to_string(), series.to_json()))
                .collect::<serde_json::Map<String, Value>>()
                .into()
        };
        json!({ "classes": map(&self.classes), "customers": map(&self.organisations) })
    }
}
