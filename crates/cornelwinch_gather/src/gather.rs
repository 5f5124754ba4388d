use std::cmp::Reverse;
use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegAnswer, LegFailure, LegResult, Outcome, Refusal, Snapshot};

use crate::answer::{Answer, AnswerReason, merge, share};
use crate::leg::{Leg, is_valid};
use crate::select::choose_snapshot;
use crate::spec::{GatherAction, QuerySpec};
use crate::stats::GatherStats;
use crate::suspect::Ended;

/// Refusals because of load after which a leg is given up: more attempts would
/// multiply the load when there is too much of it.
const OVERLOADS_MAX: u32 = 3;

/// An attempt that takes this many times the quantile below hangs.
const HANGING_FACTOR: u32 = 4;
/// Stragglers at ten times the median are slow, not hanging; they lie above
/// this quantile when one per cent of the legs straggles.
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
///     customer: "c".into(),
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
    /// Positions of the snapshots that were used, the present one last.
    pub(crate) used: Vec<usize>,
    /// One for each shard of the present snapshot.
    pub(crate) legs: Vec<Leg>,
    /// Leg that starts first; it differs between queries so that a hanging
    /// shard does not hold up the first legs of every new request.
    pub(crate) first: usize,
    /// Next look at legs that wait for another attempt of the same request.
    pub(crate) held_until: Option<Instant>,
    partial_at: Option<Instant>,
    /// Some attempt may have run.
    pub(crate) ran: bool,
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
    /// Panics if a finished answer fails its checks and the settings say so.
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
            held_until: None,
            partial_at,
            ran: false,
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

    /// Takes in the result of an attempt. Results of attempts that have ended
    /// are ignored.
    ///
    /// # Panics
    ///
    /// Panics if a finished answer fails its checks and the settings say so.
    pub fn on_leg(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: LegResult,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        let find = |leg: &Leg| leg.live.iter().position(|live| live.attempt == attempt);
        let found = self
            .legs
            .iter()
            .enumerate()
            .find_map(|(i, leg)| Some((i, find(leg)?)));
        let Some((shard, position)) = found else {
            stats.on_late_result(now, attempt, &result);
            return;
        };
        let live = self.legs[shard].live.swap_remove(position);
        stats.upstream(&live.upstream).on_ended();
        stats
            .quarantine
            .end(now, self.spec.fingerprint, attempt, Ended::from(&result));
        let candidates = self.snapshots.iter().map(|s| s.id);
        let result = match result {
            LegResult::Answer(answer) if !self.is_valid(shard, attempt, &answer) => {
                stats.counters.mismatched_answers += 1;
                LegResult::Failed(LegFailure::Mismatched)
            }
            other => other,
        };
        stats.learn(now, &live.upstream, &self.spec.search, candidates, &result);
        self.ran |= !matches!(result, LegResult::Refused(_));
        let leg = &mut self.legs[shard];
        match result {
            LegResult::Answer(answer) => {
                let latency = now.saturating_duration_since(live.sent);
                stats
                    .latencies
                    .record(now, &self.spec.search, &self.spec.class, latency);
                leg.answer = Some(answer);
                self.cancel_leg(now, shard, stats, out);
            }
            LegResult::Refused(Refusal::Quarantined) => {
                self.refuse_live(now, AnswerReason::Quarantined, stats, out);
                return;
            }
            LegResult::Refused(refusal) => {
                leg.tried.push(live.upstream);
                if matches!(refusal, Refusal::Overloaded | Refusal::Shed) {
                    leg.overloads += 1;
                    leg.given_up |= leg.overloads > OVERLOADS_MAX;
                }
            }
            LegResult::Failed(_) => leg.tried.push(live.upstream),
        }
        self.step(now, stats, out);
    }

    /// Runs everything that is due.
    ///
    /// # Panics
    ///
    /// Panics if a finished answer fails its checks and the settings say so.
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
        let ends = [Some(self.spec.deadline), self.partial_at, self.held_until];
        timers.chain(ends.into_iter().flatten()).min()
    }

    /// Ends the query without an answer, for a caller that is gone, and cancels
    /// its attempts.
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

    /// Makes the legs for a snapshot.
    pub(crate) fn use_snapshot(&mut self, i: usize, stats: &mut GatherStats) {
        self.used.push(i);
        self.legs.clear();
        self.legs
            .resize_with(self.snapshots[i].shards.len(), Leg::default);
        self.first = stats.rng.usize(..self.legs.len());
        self.held_until = None;
    }

    /// Cancels the attempts at a leg.
    pub(crate) fn cancel_leg(
        &mut self,
        now: Instant,
        shard: usize,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        for live in std::mem::take(&mut self.legs[shard].live) {
            self.ran = true;
            stats.upstream(&live.upstream).on_ended();
            stats
                .quarantine
                .end(now, self.spec.fingerprint, live.attempt, Ended::Abandoned);
            if !live.hedge {
                // A lower bound of its latency: without it, the hedges would
                // lower the quantile that they wait for.
                let elapsed = now.saturating_duration_since(live.sent);
                stats
                    .latencies
                    .record(now, &self.spec.search, &self.spec.class, elapsed);
            }
            out.push(GatherAction::Cancel {
                attempt: live.attempt,
                upstream: live.upstream,
            });
        }
    }

    /// Ends the query as quarantined with what ran so far cancelled.
    pub(crate) fn refuse_live(
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

    /// Finishes the query if nothing is left to wait for.
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
        share(covered, snapshot.documents(), complete)
    }

    fn finish(&mut self, now: Instant, stats: &mut GatherStats, out: &mut Vec<GatherAction>) {
        if now >= self.spec.deadline {
            self.count_hanging(now, stats);
        }
        for shard in 0..self.legs.len() {
            self.cancel_leg(now, shard, stats, out);
        }
        let merged = self.legs.iter().any(|leg| leg.answer.is_some());
        let overloads = self.legs.iter().any(|leg| leg.overloads > 0);
        let Some(i) = self.used.last() else { return };
        let snapshot = &self.snapshots[*i];
        let merge = match merge(snapshot, &mut self.legs) {
            Ok(merge) => merge,
            Err(fault) => {
                self.violate(&fault, stats);
                self.refuse(AnswerReason::Inconsistent, out);
                return;
            }
        };
        let total = snapshot.documents();
        let coverage = share(merge.documents, total, merge.missing.is_empty());
        let short = !merged || coverage < self.spec.policy.min_coverage;
        let outcome = match (merged, self.ran) {
            (true, _) => Outcome::Done,
            (false, true) => Outcome::Unknown,
            (false, false) => Outcome::NotRun,
        };
        let reason = match outcome {
            _ if !short => None,
            Outcome::NotRun if overloads => Some(AnswerReason::Overloaded),
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

    /// Counts a failure of each upstream that kept an attempt until the deadline
    /// for much longer than usual. Its cancellation would hide that it hangs.
    fn count_hanging(&self, now: Instant, stats: &mut GatherStats) {
        let QuerySpec { search, class, .. } = &self.spec;
        let Some(usual) = stats
            .latencies
            .quantile(now, search, class, HANGING_QUANTILE)
        else {
            return;
        };
        for live in self.legs.iter().flat_map(|leg| &leg.live) {
            if now.saturating_duration_since(live.sent) >= usual * HANGING_FACTOR {
                stats.upstream(&live.upstream).on_failure(now, false);
            }
        }
    }

    fn refuse(&mut self, reason: AnswerReason, out: &mut Vec<GatherAction>) {
        let outcome = if self.ran {
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

    /// Reports a fault of the program: logged and counted, a panic under test.
    fn violate(&self, fault: &str, stats: &mut GatherStats) {
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
