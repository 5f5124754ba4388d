use std::time::Duration;

use cornelwinch_types::Outcome;
use hdrhistogram::Histogram;

use crate::answer::BenchAnswer;
use crate::report::{Coverage, ExtraLoad, GroupReport, Outcomes, Quantiles, SecondReport};

/// Largest latency that a histogram tells apart.
const HIGHEST_US: u64 = 600_000_000;
/// Significant decimal digits of a histogram.
const DIGITS: u8 = 3;
/// Delay of a start from which it counts as late; a sleep ends up to about 1 ms
/// late on a busy machine.
const LATE_START: Duration = Duration::from_millis(2);
/// Error texts and verifier messages kept.
const MESSAGES: usize = 10;
/// An answer counts as complete from this coverage on.
const COMPLETE: f64 = 1.0 - 1e-12;

/// What became of one planned request.
pub(crate) enum Fate {
    Answered(Box<BenchAnswer>),
    /// No answer, or no ticket to ask with.
    NoAnswer(String),
    /// Not sent, as every connection was busy until long after its deadline.
    NotSent,
}

/// Counts of one group of requests.
pub(crate) struct Tally {
    done: Histogram<u64>,
    other: Histogram<u64>,
    outcomes: Outcomes,
    coverage_sum: f64,
    coverage_lowest: f64,
    complete: u64,
    attempts: u64,
    hedges: u64,
    errors: Vec<(String, u64)>,
    seconds: Vec<SecondReport>,
    /// Time from planned to real start.
    starts: Histogram<u64>,
    pub(crate) late_starts: u64,
    pub(crate) wrong: Vec<String>,
    pub(crate) wrong_count: u64,
}

impl Tally {
    pub(crate) fn new() -> Self {
        let histogram =
            || Histogram::new_with_max(HIGHEST_US, DIGITS).expect("the bounds are valid constants");
        Self {
            done: histogram(),
            other: histogram(),
            outcomes: Outcomes::default(),
            coverage_sum: 0.0,
            coverage_lowest: 1.0,
            complete: 0,
            attempts: 0,
            hedges: 0,
            errors: Vec::new(),
            seconds: Vec::new(),
            starts: histogram(),
            late_starts: 0,
            wrong: Vec::new(),
            wrong_count: 0,
        }
    }

    pub(crate) fn record(&mut self, at: Duration, latency: Duration, fate: &Fate) {
        let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
        let second = usize::try_from(at.as_secs()).unwrap_or(usize::MAX);
        while self.seconds.len() <= second {
            self.seconds.push(SecondReport::default());
        }
        let row = &mut self.seconds[second];
        row.offered += 1;
        row.max_us = row.max_us.max(micros);
        let outcomes = &mut self.outcomes;
        let counter = match fate {
            Fate::NotSent => &mut outcomes.not_sent,
            Fate::NoAnswer(_) => &mut outcomes.no_answer,
            Fate::Answered(answer) => match answer.outcome {
                Some(Outcome::Done) => &mut outcomes.done,
                Some(Outcome::NotRun) => &mut outcomes.not_run,
                Some(Outcome::Unknown) => &mut outcomes.unknown,
                None => &mut outcomes.unclear,
            },
        };
        *counter += 1;
        match fate {
            Fate::Answered(answer) if answer.outcome == Some(Outcome::Done) => {
                self.done.saturating_record(micros);
                row.done += 1;
                // A ticket request has no coverage: it runs on one shard.
                let coverage = answer.coverage.unwrap_or(1.0);
                self.coverage_sum += coverage;
                self.coverage_lowest = self.coverage_lowest.min(coverage);
                if coverage >= COMPLETE {
                    self.complete += 1;
                    row.complete += 1;
                }
                self.attempts += answer.attempts;
                self.hedges += answer.hedges;
            }
            Fate::Answered(answer) => {
                self.other.saturating_record(micros);
                let error = answer.error.as_deref().unwrap_or("no reason given");
                self.count_error(&format!("{}: {error}", answer.status), 1);
            }
            Fate::NoAnswer(error) => self.count_error(error, 1),
            Fate::NotSent => {}
        }
    }

    /// Records that a request starts this long after its planned time.
    pub(crate) fn record_start(&mut self, delay: Duration) {
        let micros = u64::try_from(delay.as_micros()).unwrap_or(u64::MAX);
        self.starts.saturating_record(micros);
        if delay > LATE_START {
            self.late_starts += 1;
        }
    }

    pub(crate) fn start_delay(&self) -> Quantiles {
        Quantiles::of(&self.starts)
    }

    fn count_error(&mut self, error: &str, count: u64) {
        if let Some(row) = self.errors.iter_mut().find(|row| row.0 == error) {
            row.1 += count;
        } else if self.errors.len() < MESSAGES {
            self.errors.push((error.to_owned(), count));
        }
    }

    pub(crate) fn record_wrong(&mut self, message: String) {
        self.wrong_count += 1;
        if self.wrong.len() < MESSAGES {
            self.wrong.push(message);
        }
    }

    pub(crate) fn merge(&mut self, other: Self) {
        self.done += other.done;
        self.other += other.other;
        self.starts += other.starts;
        self.outcomes.add(&other.outcomes);
        self.coverage_sum += other.coverage_sum;
        self.coverage_lowest = self.coverage_lowest.min(other.coverage_lowest);
        self.complete += other.complete;
        self.attempts += other.attempts;
        self.hedges += other.hedges;
        self.late_starts += other.late_starts;
        for (error, count) in other.errors {
            self.count_error(&error, count);
        }
        for (i, row) in other.seconds.into_iter().enumerate() {
            if self.seconds.len() <= i {
                self.seconds.push(SecondReport::default());
            }
            self.seconds[i].add(&row);
        }
        self.wrong_count += other.wrong_count;
        let room = MESSAGES.saturating_sub(self.wrong.len());
        self.wrong.extend(other.wrong.into_iter().take(room));
    }

    pub(crate) fn seconds(&self) -> &[SecondReport] {
        &self.seconds
    }

    pub(crate) fn report(&self, class: &str, organisation: &str) -> GroupReport {
        let mut errors = self.errors.clone();
        errors.sort_by(|a, b| b.1.cmp(&a.1).then(a.0.cmp(&b.0)));
        let done = self.outcomes.done;
        let share = |part: f64| if done > 0 { part / done as f64 } else { 0.0 };
        let needed = self.attempts.saturating_sub(self.hedges);
        GroupReport {
            class: class.to_owned(),
            organisation: organisation.to_owned(),
            offered: self.outcomes.total(),
            latency: Quantiles::of(&self.done),
            refusal_latency: Quantiles::of(&self.other),
            coverage: Coverage {
                mean: share(self.coverage_sum),
                lowest: if done > 0 { self.coverage_lowest } else { 0.0 },
                complete: share(self.complete as f64),
            },
            extra_load: ExtraLoad {
                attempts: self.attempts,
                hedges: self.hedges,
                share: if needed > 0 {
                    self.hedges as f64 / needed as f64
                } else {
                    0.0
                },
            },
            outcomes: self.outcomes,
            errors,
        }
    }
}
