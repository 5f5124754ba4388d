use std::fmt;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Result of a run.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Requests planned per second.
    pub offered_per_s: f64,
    /// Requests answered `done` per second of the plan.
    pub done_per_s: f64,
    /// Time from the start to the last answer, in seconds.
    pub elapsed_s: f64,
    /// Requests that started more than 2 ms late: no connection was free, or
    /// the machine was busy. Many of them make the latencies doubtful.
    pub late_starts: u64,
    /// Time from planned to real start, which is part of each latency.
    pub start_delay: Quantiles,
    /// Answers that the verifier found wrong.
    pub wrong: u64,
    /// First messages of the verifier.
    pub wrong_messages: Vec<String>,
    /// All requests.
    pub total: GroupReport,
    /// Requests by class and organisation.
    pub groups: Vec<GroupReport>,
    /// Requests by second of their planned time.
    pub seconds: Vec<SecondReport>,
}

/// Requests of one class and organisation.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupReport {
    /// Traffic class.
    pub class: String,
    /// Organisation.
    #[serde(rename = "customer")]
    pub organisation: String,
    /// Requests planned.
    pub offered: u64,
    /// Latency of requests that were done, from their planned time.
    pub latency: Quantiles,
    /// Latency of the other answers.
    pub refusal_latency: Quantiles,
    /// Coverage of requests that were done.
    pub coverage: Coverage,
    /// Attempts beyond the needed ones, as the answers report them.
    pub extra_load: ExtraLoad,
    /// What became of the requests.
    pub outcomes: Outcomes,
    /// Error texts by number, most frequent first.
    pub errors: Vec<(String, u64)>,
}

/// Quantiles in microseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50_us: u64,
    /// 90 % quantile.
    pub p90_us: u64,
    /// 99 % quantile.
    pub p99_us: u64,
    /// 99.9 % quantile.
    pub p999_us: u64,
    /// Largest value.
    pub max_us: u64,
}

impl Quantiles {
    pub(crate) fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            count: histogram.len(),
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            p999_us: histogram.value_at_quantile(0.999),
            max_us: histogram.max(),
        }
    }
}

/// Coverage of the answers, from 0 to 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct Coverage {
    /// Mean.
    pub mean: f64,
    /// Lowest.
    pub lowest: f64,
    /// Share of answers that are complete.
    pub complete: f64,
}

/// Attempts of all answers that were done.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ExtraLoad {
    /// Attempts, hedges included.
    pub attempts: u64,
    /// Hedges.
    pub hedges: u64,
    /// Hedges for each other attempt.
    pub share: f64,
}

/// Number of requests by what became of them.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcomes {
    /// Ran.
    pub done: u64,
    /// Refused, did not run.
    pub not_run: u64,
    /// May have run.
    pub unknown: u64,
    /// Answered without an outcome.
    pub unclear: u64,
    /// No readable answer in time.
    pub no_answer: u64,
    /// Not sent, as every connection was busy until long after the deadline.
    pub not_sent: u64,
}

impl Outcomes {
    /// Number of all requests.
    pub fn total(&self) -> u64 {
        self.done + self.not_run + self.unknown + self.unclear + self.no_answer + self.not_sent
    }

    pub(crate) fn add(&mut self, other: &Self) {
        self.done += other.done;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.unclear += other.unclear;
        self.no_answer += other.no_answer;
        self.not_sent += other.not_sent;
    }
}

/// Requests planned in one second of the run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SecondReport {
    /// Requests planned.
    pub offered: u64,
    /// Requests that were done.
    pub done: u64,
    /// Requests answered completely.
    pub complete: u64,
    /// Longest latency, whatever the outcome.
    pub max_us: u64,
}

impl SecondReport {
    pub(crate) fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.done += other.done;
        self.complete += other.complete;
        self.max_us = self.max_us.max(other.max_us);
    }
}

impl Report {
    /// Returns the report as JSON.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).unwrap_or_default()
    }
}

/// Writes the report as a table.
impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "offered_per_s={:.1} done_per_s={:.1} elapsed_s={:.2} late_starts={} start_delay_p50_us={} start_delay_p99_us={} wrong={}",
            self.offered_per_s,
            self.done_per_s,
            self.elapsed_s,
            self.late_starts,
            self.start_delay.p50_us,
            self.start_delay.p99_us,
            self.wrong
        )?;
        writeln!(
            f,
            "{:<16} {:<16} {:>8} {:>9} {:>9} {:>9} {:>9} {:>9} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>8} {:>8}",
            "class",
            "customer",
            "offered",
            "p50_ms",
            "p90_ms",
            "p99_ms",
            "p99.9_ms",
            "max_ms",
            "cov_mean",
            "cov_low",
            "complete",
            "extra_%",
            "done",
            "not_run",
            "unknown",
            "failed"
        )?;
        for group in self.groups.iter().chain([&self.total]) {
            let Quantiles {
                p50_us,
                p90_us,
                p99_us,
                p999_us,
                max_us,
                ..
            } = group.latency;
            let ms = |us: u64| us as f64 / 1000.0;
            let outcomes = &group.outcomes;
            writeln!(
                f,
                "{:<16} {:<16} {:>8} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>9.2} {:>8.4} {:>8.4} {:>8.4} {:>7.2} {:>8} {:>8} {:>8} {:>8}",
                group.class,
                group.organisation,
                group.offered,
                ms(p50_us),
                ms(p90_us),
                ms(p99_us),
                ms(p999_us),
                ms(max_us),
                group.coverage.mean,
                group.coverage.lowest,
                group.coverage.complete,
                group.extra_load.share * 100.0,
                outcomes.done,
                outcomes.not_run,
                outcomes.unknown,
                outcomes.unclear + outcomes.no_answer + outcomes.not_sent
            )?;
        }
        for (error, count) in &self.total.errors {
            writeln!(f, "error count={count} text={error:?}")?;
        }
        for message in &self.wrong_messages {
            writeln!(f, "wrong {message:?}")?;
        }
        Ok(())
    }
}
