use std::fmt::Write;
use std::time::Duration;

use cornelwinch_types::{Name, SortedMap};
use hdrhistogram::Histogram;

use crate::outcome::Outcome;

const HISTOGRAM_LOW_US: u64 = 1;
const HISTOGRAM_HIGH_US: u64 = 60_000_000;
const HISTOGRAM_DIGITS: u8 = 2;

/// Number of routes with a series of their own. Further routes share the series `other`.
const ROUTE_LIMIT: usize = 64;

#[derive(Debug)]
struct RouteSeries {
    latency_us: Histogram<u64>,
    outcomes: SortedMap<&'static str, u64>,
}

impl RouteSeries {
    fn new() -> Self {
        Self {
            latency_us: Histogram::new_with_bounds(
                HISTOGRAM_LOW_US,
                HISTOGRAM_HIGH_US,
                HISTOGRAM_DIGITS,
            )
            .expect("the bounds are valid"),
            outcomes: SortedMap::new(),
        }
    }

    fn record(&mut self, latency: Duration, outcome: &'static str) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        self.latency_us.saturating_record(micros);
        *self.outcomes.get_or_insert_with(outcome, || 0) += 1;
    }

    fn push_lines(&self, text: &mut String, prefix: &str, label: &str, name: &str) {
        for (outcome, count) in self.outcomes.iter() {
            push_line(
                text,
                format_args!(
                    "cornelwinch_{prefix}requests_total{{{label}={name:?},outcome=\"{outcome}\"}} {count}"
                ),
            );
        }
        for quantile in [0.5, 0.9, 0.99, 0.999] {
            let ms = self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0;
            push_line(
                text,
                format_args!(
                    "cornelwinch_{prefix}latency_ms{{{label}={name:?},quantile=\"{quantile}\"}} {ms}"
                ),
            );
        }
    }
}

/// Number of organisations with a series of their own. Further ones share the series `other`. A
/// series takes about 25 KB.
const ORGANISATION_LIMIT: usize = 96;

/// Number of priorities with a counter of their own. Less urgent ones share the last.
const PRIORITY_LIMIT: usize = 8;

/// Counters and histograms of a relay.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    routes: SortedMap<Name, RouteSeries>,
    /// By organisation, with the reason for outcomes other than `served`.
    organisations: SortedMap<Name, RouteSeries>,
    /// Gathered requests refused for lack of capacity where they are ordered, by priority.
    refused_gathers: [u64; PRIORITY_LIMIT],
    pub(crate) legs: u64,
    pub(crate) repeats: u64,
    pub(crate) repeats_denied: u64,
    pub(crate) abandoned: u64,
    pub(crate) store_calls: u64,
    pub(crate) store_failures: u64,
    /// Bytes sent to the hosts that this one feeds.
    pub(crate) feed_bytes: u64,
    /// Bytes sent to the coordinator, and as coordinator to other hosts.
    pub(crate) coordination_bytes: u64,
}

impl Metrics {
    /// Records the latency and outcome of a request.
    pub(crate) fn record(&mut self, route: &str, latency: Duration, outcome: Outcome) {
        let series = series_of(&mut self.routes, ROUTE_LIMIT, route);
        series.record(latency, outcome.as_str());
    }

    /// Records the latency and outcome of a request of an organisation; `outcome` is the reason of
    /// a request that was not served.
    pub(crate) fn record_organisation(
        &mut self,
        organisation: &str,
        latency: Duration,
        outcome: &'static str,
    ) {
        let series = series_of(&mut self.organisations, ORGANISATION_LIMIT, organisation);
        series.record(latency, outcome);
    }

    /// Records that a gathered request was refused for lack of capacity.
    pub(crate) fn record_refused_gather(&mut self, priority: u32) {
        self.refused_gathers[(priority as usize).min(PRIORITY_LIMIT - 1)] += 1;
    }

    /// Formats all metrics as text, one value per line.
    pub(crate) fn to_text(&self) -> String {
        let mut text = String::new();
        let counters = [
            ("legs_total", self.legs),
            ("repeats_total", self.repeats),
            ("repeats_denied_total", self.repeats_denied),
            ("requests_abandoned_total", self.abandoned),
            ("store_calls_total", self.store_calls),
            ("store_failures_total", self.store_failures),
            ("feed_bytes_total", self.feed_bytes),
            ("coordination_bytes_total", self.coordination_bytes),
        ];
        for (name, value) in counters {
            push_line(&mut text, format_args!("cornelwinch_{name} {value}"));
        }
        for (priority, count) in self.refused_gathers.iter().enumerate() {
            if *count > 0 {
                push_line(
                    &mut text,
                    format_args!(
                        "cornelwinch_gathers_refused_total{{priority=\"{priority}\"}} {count}"
                    ),
                );
            }
        }
        for (route, series) in self.routes.iter() {
            series.push_lines(&mut text, "", "route", route);
        }
        for (organisation, series) in self.organisations.iter() {
            series.push_lines(&mut text, "organisation_", "organisation", organisation);
        }
        text
    }
}

fn series_of<'a>(
    all: &'a mut SortedMap<Name, RouteSeries>,
    limit: usize,
    name: &str,
) -> &'a mut RouteSeries {
    let is_known = all.contains_key(name);
    let name = if is_known || all.len() < limit {
        name
    } else {
        "other"
    };
    all.get_or_insert_with(name.into(), RouteSeries::new)
}

fn push_line(text: &mut String, line: std::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}
