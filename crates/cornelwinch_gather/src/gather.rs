use std::cmp::Reverse;
use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegAnswer, LegFailure, LegResult, Outcome, Refusal, Snapshot};

use crate::answer::{Answer, AnswerReason, coverage_ratio, merge};
use crate::leg::{Leg, is_valid};
use crate::select::choose_snapshot;
use crate::spec::{GatherAction, QuerySpec};
use crate::stats::GatherStats;
use crate::suspect::AttemptEnd;

/// Largest number of refusals because of load after which a leg is still retried. Further attempts
/// would multiply the load on upstreams that are already overloaded.
const MAX_OVERLOAD_REFUSALS: u32 = 3;

/// An attempt counts as hanging once it takes this many times [`HANGING_QUANTILE`] of the latency.
const HANGING_FACTOR: u32 = 4;
/// Latency quantile that hanging attempts are compared with. Stragglers at ten times the median are
/// slow, not hanging; when 1% of the legs are stragglers, they lie above this quantile.
const HANGING_QUANTILE: f64 = 0.95;

/// One query, from its start to its answer.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use cornelwinch_config::ClassPolicy;
/// use cornelwinch_gather::{Gather, GatherAction, GatherConfig, GatherStats, QuerySpec};
/// use cornelwinch_types::{
///     Fingerprint, KeyRange, LegAnswer, LegResult, Outcome, QueryId, Shard, Snapshot, SnapshotId,
/// };
///
/// let now = Instant::now();
/// let rng = fastrand::Rng::with_seed(1);
/// let mut stats = GatherStats::new(GatherConfig::new("north".into()), rng);
/// let range = KeyRange { start: 0, end: 100 };
/// let shard = Shard { range, documents: 40, replicas: vec!["u1".into()] };
/// let snapshot = Snapshot { search: "portal".into(), id: SnapshotId(7), shards: vec![shard] };
/// let spec = QuerySpec {
///     query: QueryId(1),
///     search: "portal".into(),
///     class: "desk".into(),
///     organisation: "c".into(),
///     body: "atlas".into(),
///     deadline: now + Duration::from_secs(1),
///     policy: ClassPolicy {
///         deadline_ms: 1000,
///         min_coverage: 0.9,
///         partial_after_ms: None,
///         priority: 0,
///         hedge_quantile: Some(0.95),
///     },
///     fingerprint: Fingerprint::of("portal", "atlas"),
///     priority: 0,
/// };
/// let mut out = Vec::new();
/// let mut gather = Gather::start(now, spec, &[snapshot], &mut stats, &mut out);
/// let GatherAction::Send(leg) = &out[0] else { panic!("no leg was sent") };
/// let attempt = leg.attempt;
/// let snapshot = leg.snapshot;
/// let answer = LegAnswer { attempt, snapshot, range, documents: 40, hits: Vec::new() };
/// gather.on_leg(now, attempt, LegResult::Answer(answer), &mut stats, &mut out);
/// let Some(GatherAction::Finish(answer)) = out.last() else { panic!("not finished") };
/// assert_eq!((answer.outcome, answer.coverage), (Outcome::Done, 1.0));
/// ```
#[derive(Debug)]
pub struct Gather {
    pub(crate) spec: QuerySpec,
    /// Snapshots of the search, newest first.
    pub(crate) snapshots: Vec<Snapshot>,
    /// Indices of the snapshots used so far, the current one last.
    pub(crate) used: Vec<usize>,
    /// Legs of the current snapshot, one for each shard.
    pub(crate) legs: Vec<Leg>,
    /// Index of the shard whose leg starts first. It is random, so that a hanging shard does not
    /// delay the first legs of every new request.
    pub(crate) first: usize,
    /// Time at which legs that wait for another attempt of the same request are checked again.
    pub(crate) recheck_at: Option<Instant>,
    partial_at: Option<Instant>,
    /// Whether any attempt may have run on its upstream.
    pub(crate) may_have_run: bool,
    pub(crate) attempts: u32,
    pub(crate) hedges: u32,
    finished: bool,
}

impl Gather {
    /// Starts a query: chooses a snapshot and sends one leg for each shard.
    /// Snapshots of other searches and invalid ones are ignored.
    ///
    /// # Panics
    ///
    /// Panics if a finished answer fails its checks and `panic_on_violation` is set.
    pub fn start(
        now: Instant,
        spec: QuerySpec,
        snapshots: &[Snapshot],
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> Self {
        let usable =
            |s: &&Snapshot| s.search == spec.search && !s.shards.is_empty() && s.validate().is_ok();
        let mut snapshots: Vec<Snapshot> = snapshots.iter().filter(usable).cloned().collect();
        snapshots.sort_by_key(|s| Reverse(s.id));
        let partial_at = spec.policy.partial_after_ms;
        let partial_at = partial_at.map(|ms| now + Duration::from_millis(ms));
        let mut gather = Self {
            spec,
            snapshots,
            used: Vec::new(),
            legs: Vec::new(),
            first: 0,
            recheck_at: None,
            partial_at,
            may_have_run: false,
            attempts: 0,
            hedges: 0,
            finished: false,
        };
        if stats.quarantine.is_marked(now, gather.spec.fingerprint) {
            gather.refuse(AnswerReason::Quarantined, out);
        } else if now >= gather.spec.deadline {
            gather.refuse(AnswerReason::DeadlinePassed, out);
        } else if let Some(i) = choose_snapshot(now, &gather.snapshots, stats, |_| true) {
            gather.use_snapshot(i, stats);
            gather.step(now, stats, out);
        } else {
            gather.refuse(AnswerReason::NoSnapshot, out);
        }
        gather
    }

    /// Processes the result of an attempt. The result of an attempt that has already ended counts
    /// only for the quarantine.
    ///
    /// # Panics
    ///
    /// Panics if a finished answer fails its checks and `panic_on_violation` is set.
    pub fn on_leg(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: LegResult,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        let find = |leg: &Leg| {
            leg.in_flight
                .iter()
                .position(|pending| pending.attempt == attempt)
        };
        let found = self
            .legs
            .iter()
            .enumerate()
            .find_map(|(i, leg)| Some((i, find(leg)?)));
        let Some((shard, position)) = found else {
            stats.on_late_result(now, attempt, &result);
            return;
        };
        let pending = self.legs[shard].in_flight.swap_remove(position);
        stats.upstream(&pending.upstream).on_ended();
        stats.quarantine.end(
            now,
            self.spec.fingerprint,
            attempt,
            AttemptEnd::from(&result),
        );
        let candidates = self.snapshots.iter().map(|s| s.id);
        let result = match result {
            LegResult::Answer(answer) if !self.is_valid(shard, attempt, &answer) => {
                stats.counters.mismatched_answers += 1;
                LegResult::Failed(LegFailure::Mismatched)
            }
            other => other,
        };
        stats.record_result(
            now,
            &pending.upstream,
            &self.spec.search,
            candidates,
            &result,
        );
        self.may_have_run |= !matches!(result, LegResult::Refused(_));
        let leg = &mut self.legs[shard];
        match result {
            LegResult::Answer(answer) => {
                let latency = now.saturating_duration_since(pending.sent);
                stats
                    .latencies
                    .record(now, &self.spec.search, &self.spec.class, latency);
                leg.answer = Some(answer);
                self.cancel_leg(now, shard, stats, out);
            }
            LegResult::Refused(Refusal::Quarantined) => {
                self.cancel_and_refuse(now, AnswerReason::Quarantined, stats, out);
                return;
            }
            LegResult::Refused(refusal) => {
                leg.tried.push(pending.upstream);
                if matches!(refusal, Refusal::Overloaded | Refusal::Shed) {
                    leg.overload_refusals += 1;
                    leg.failed |= leg.overload_refusals > MAX_OVERLOAD_REFUSALS;
                }
            }
            LegResult::Failed(_) => leg.tried.push(pending.upstream),
        }
        self.step(now, stats, out);
    }

    /// Runs the retries, hedges and timeouts that are due.
    ///
    /// # Panics
    ///
    /// Panics if a finished answer fails its checks and `panic_on_violation` is set.
    pub fn on_wake(&mut self, now: Instant, stats: &mut GatherStats, out: &mut Vec<GatherAction>) {
        if !self.finished {
            self.step(now, stats, out);
        }
    }

    /// Returns the time of the next call of [`Gather::on_wake`], or `None` when
    /// the query has ended.
    pub fn next_wake(&self) -> Option<Instant> {
        if self.finished {
            return None;
        }
        let timers = self.legs.iter().filter_map(Leg::next_wake);
        let ends = [Some(self.spec.deadline), self.partial_at, self.recheck_at];
        timers.chain(ends.into_iter().flatten()).min()
    }

    /// Ends the query without an answer because its caller has disconnected, and cancels its
    /// attempts.
    pub fn cancel(&mut self, now: Instant, stats: &mut GatherStats, out: &mut Vec<GatherAction>) {
        for shard in 0..self.legs.len() {
            self.cancel_leg(now, shard, stats, out);
        }
        self.finished = true;
    }

    /// Reports whether the query has ended.
    pub fn is_finished(&self) -> bool {
        self.finished
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot> {
        self.used.last().map(|i| &self.snapshots[*i])
    }

    /// Switches the query to the snapshot at index `i` and creates its legs.
    pub(crate) fn use_snapshot(&mut self, i: usize, stats: &mut GatherStats) {
        self.used.push(i);
        self.legs.clear();
        self.legs
            .resize_with(self.snapshots[i].shards.len(), Leg::default);
        self.first = stats.rng.usize(..self.legs.len());
        self.recheck_at = None;
    }

    /// Cancels the attempts of a leg that are in flight.
    pub(crate) fn cancel_leg(
        &mut self,
        now: Instant,
        shard: usize,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        for pending in std::mem::take(&mut self.legs[shard].in_flight) {
            self.may_have_run = true;
            stats.upstream(&pending.upstream).on_ended();
            stats.quarantine.end(
                now,
                self.spec.fingerprint,
                pending.attempt,
                AttemptEnd::Cancelled,
            );
            if !pending.hedge {
                // The elapsed time is a lower bound of the latency. Without it, hedges that win
                // would lower the quantile from which the hedge delay is computed.
                let elapsed = now.saturating_duration_since(pending.sent);
                stats
                    .latencies
                    .record(now, &self.spec.search, &self.spec.class, elapsed);
            }
            out.push(GatherAction::Cancel {
                attempt: pending.attempt,
                upstream: pending.upstream,
            });
        }
    }

    /// Cancels all attempts in flight and ends the query with `reason`.
    pub(crate) fn cancel_and_refuse(
        &mut self,
        now: Instant,
        reason: AnswerReason,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        for shard in 0..self.legs.len() {
            self.cancel_leg(now, shard, stats, out);
        }
        self.refuse(reason, out);
    }

    /// Finishes the query if every leg is settled, the coverage suffices for a partial answer, or
    /// the deadline has passed. Reports whether the query has ended.
    pub(crate) fn finish_if_due(
        &mut self,
        now: Instant,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> bool {
        if self.finished {
            return true;
        }
        let settled = self.legs.iter().all(Leg::is_settled);
        let mut enough = false;
        if self.partial_at.is_some_and(|at| now >= at) {
            self.partial_at = None;
        }
        if self.partial_at.is_none() && self.spec.policy.partial_after_ms.is_some() {
            enough = self.coverage() >= self.spec.policy.min_coverage
                && self.legs.iter().any(|leg| leg.answer.is_some());
        }
        if settled || enough || now >= self.spec.deadline {
            self.finish(now, stats, out);
        }
        self.finished
    }

    fn coverage(&self) -> f64 {
        let Some(snapshot) = self.snapshot() else {
            return 0.0;
        };
        let answers = self.legs.iter().filter_map(|leg| leg.answer.as_ref());
        let covered = answers.map(|answer| answer.documents).sum();
        let complete = self.legs.iter().all(|leg| leg.answer.is_some());
        coverage_ratio(covered, snapshot.documents(), complete)
    }

    fn finish(&mut self, now: Instant, stats: &mut GatherStats, out: &mut Vec<GatherAction>) {
        if now >= self.spec.deadline {
            self.count_hanging_attempts(now, stats);
        }
        for shard in 0..self.legs.len() {
            self.cancel_leg(now, shard, stats, out);
        }
        let merged = self.legs.iter().any(|leg| leg.answer.is_some());
        let overload_refusals = self.legs.iter().any(|leg| leg.overload_refusals > 0);
        let Some(i) = self.used.last() else { return };
        let snapshot = &self.snapshots[*i];
        let merge = match merge(snapshot, &mut self.legs) {
            Ok(merge) => merge,
            Err(fault) => {
                self.report_violation(&fault, stats);
                self.refuse(AnswerReason::Inconsistent, out);
                return;
            }
        };
        let total = snapshot.documents();
        let coverage = coverage_ratio(merge.documents, total, merge.missing.is_empty());
        let short = !merged || coverage < self.spec.policy.min_coverage;
        let outcome = match (merged, self.may_have_run) {
            (true, _) => Outcome::Done,
            (false, true) => Outcome::Unknown,
            (false, false) => Outcome::NotRun,
        };
        let reason = match outcome {
            _ if !short => None,
            Outcome::NotRun if overload_refusals => Some(AnswerReason::Overloaded),
            Outcome::NotRun if now >= self.spec.deadline => Some(AnswerReason::DeadlinePassed),
            Outcome::NotRun => Some(AnswerReason::NoReplica),
            _ => Some(AnswerReason::InsufficientCoverage),
        };
        let answer = Answer {
            query: self.spec.query,
            outcome,
            snapshot: Some(snapshot.id),
            coverage,
            documents_covered: merge.documents,
            documents_total: total,
            covered: merge.covered,
            missing: merge.missing,
            hits: merge.hits,
            attempts: self.attempts,
            hedges: self.hedges,
            reason,
        };
        self.finished = true;
        out.push(GatherAction::Finish(answer));
    }

    /// Counts a failure of each upstream whose attempt is in flight at the deadline after much
    /// more than the usual latency. The cancellation alone would hide that the upstream hangs.
    fn count_hanging_attempts(&self, now: Instant, stats: &mut GatherStats) {
        let QuerySpec { search, class, .. } = &self.spec;
        let Some(usual) = stats
            .latencies
            .quantile(now, search, class, HANGING_QUANTILE)
        else {
            return;
        };
        for pending in self.legs.iter().flat_map(|leg| &leg.in_flight) {
            if now.saturating_duration_since(pending.sent) >= usual * HANGING_FACTOR {
                stats.upstream(&pending.upstream).on_failure(now, false);
            }
        }
    }

    fn refuse(&mut self, reason: AnswerReason, out: &mut Vec<GatherAction>) {
        let outcome = if self.may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let mut answer = Answer::empty(self.spec.query, outcome, reason);
        answer.attempts = self.attempts;
        answer.hedges = self.hedges;
        self.finished = true;
        out.push(GatherAction::Finish(answer));
    }

    /// Logs and counts an internal inconsistency, and panics if `panic_on_violation` is set.
    fn report_violation(&self, fault: &str, stats: &mut GatherStats) {
        stats.counters.violations += 1;
        log::error!("event=gather_violation query={} {fault}", self.spec.query);
        assert!(
            !stats.config.panic_on_violation,
            "query {}: {fault}",
            self.spec.query
        );
    }

    fn is_valid(&self, shard: usize, attempt: AttemptId, answer: &LegAnswer) -> bool {
        self.snapshot()
            .is_some_and(|s| is_valid(s, &s.shards[shard], attempt, answer))
    }
}
