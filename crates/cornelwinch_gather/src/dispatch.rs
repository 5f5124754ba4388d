use std::time::{Duration, Instant};

use cornelwinch_types::{LegRequest, Name, Snapshot};

use crate::answer::AnswerReason;
use crate::gather::Gather;
use crate::leg::InFlightAttempt;
use crate::select::{
    ReplicaChoice, choose_hedge_replica, choose_replica, choose_snapshot, is_servable,
};
use crate::spec::GatherAction;
use crate::stats::GatherStats;
use crate::suspect::AdmitDecision;

/// Delay after the first round in which every replica of a shard refused or failed. It doubles
/// with each round, up to [`MAX_RETRY_ROUND_DELAY`].
const MIN_RETRY_ROUND_DELAY: Duration = Duration::from_millis(5);
/// Longest delay between two rounds of attempts at a leg.
const MAX_RETRY_ROUND_DELAY: Duration = Duration::from_millis(200);
/// Interval at which a leg that waits for another attempt of the same request is checked again.
const ADMISSION_RECHECK_INTERVAL: Duration = Duration::from_millis(2);
/// Interval at which a due hedge without a budget token is tried again.
const HEDGE_TOKEN_RECHECK_INTERVAL: Duration = Duration::from_millis(1);
/// Interval at which a leg checks again whether enough samples exist for a hedge delay.
const HEDGE_DELAY_RECHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Largest number of hedges of one attempt.
const MAX_HEDGES_PER_ATTEMPT: u32 = 2;
/// Tokens that must remain in the budget after a second hedge of the same attempt.
const SECOND_HEDGE_RESERVE_TOKENS: f64 = 5.0;

impl Gather {
    /// Starts every attempt and hedge that is due, and finishes the query if it has nothing left to
    /// wait for.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        if self.finish_if_due(now, stats, out) {
            return;
        }
        self.recheck_at = None;
        let count = self.legs.len();
        for shard in (self.first..count).chain(0..self.first) {
            let leg = &self.legs[shard];
            let due = leg.is_idle() && leg.retry_at.is_none_or(|at| now >= at);
            let hedge_due = !leg.in_flight.is_empty() && leg.hedge_at.is_some_and(|at| now >= at);
            let admit = if due {
                match self.attempt_leg(now, shard, stats, out) {
                    // The query restarted, so the legs belong to another snapshot.
                    None => return self.step(now, stats, out),
                    Some(admit) => admit,
                }
            } else if hedge_due {
                self.hedge_leg(now, shard, stats, out)
            } else {
                continue;
            };
            if admit == AdmitDecision::Quarantined {
                return self.cancel_and_refuse(now, AnswerReason::Quarantined, stats, out);
            }
        }
        self.finish_if_due(now, stats, out);
    }

    /// Sends the next attempt at a leg, or sets the time of the next try.
    ///
    /// Returns `None` if the query restarted on another snapshot.
    fn attempt_leg(
        &mut self,
        now: Instant,
        shard: usize,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> Option<AdmitDecision> {
        let snapshot = &self.snapshots[*self.used.last()?];
        // If both canaries ran in one availability zone and it hung, the other legs would never
        // start.
        let canary = self.legs.iter().find_map(|leg| leg.in_flight.first());
        let canary = canary.filter(|_| !stats.quarantine.was_answered(self.spec.fingerprint));
        let avoid = canary
            .and_then(|pending| stats.zone(&pending.upstream))
            .cloned();
        let leg = &mut self.legs[shard];
        let choice = choose_replica(now, snapshot, shard, leg, avoid.as_ref(), stats);
        let ReplicaChoice::Replica(upstream) = choice else {
            if choice != ReplicaChoice::AllTried && self.restart(now, stats, out) {
                return None;
            }
            let leg = &mut self.legs[shard];
            if choice == ReplicaChoice::OutOfService {
                leg.failed = true;
            } else {
                leg.tried.clear();
                self.delay_leg(now, shard, stats);
            }
            return Some(AdmitDecision::Run);
        };
        let range = snapshot.shards[shard].range;
        let admit = stats.quarantine.admit(now, self.spec.fingerprint, range);
        if admit == AdmitDecision::Wait {
            // A retry time that has passed would leave the next wake in the past.
            leg.retry_at = None;
            self.recheck_at = Some(now + ADMISSION_RECHECK_INTERVAL);
        }
        if admit != AdmitDecision::Run {
            return Some(admit);
        }
        if !leg.started {
            stats.counters.legs += 1;
            stats.hedges.earn();
            stats.retries.earn();
        } else if stats.retries.take(now, 1.0, 0.0) {
            stats.counters.retries += 1;
        } else {
            self.delay_leg(now, shard, stats);
            return Some(AdmitDecision::Run);
        }
        leg.started = true;
        leg.hedges = 0;
        leg.retry_at = None;
        leg.hedge_at = self.spec.policy.hedge_quantile.map(|_| {
            now + stats
                .hedge_delay(now, &self.spec)
                .unwrap_or(HEDGE_DELAY_RECHECK_INTERVAL)
        });
        self.send(now, shard, upstream, false, stats, out);
        Some(AdmitDecision::Run)
    }

    /// Sends a hedge of a leg if the budget and the replicas allow it.
    fn hedge_leg(
        &mut self,
        now: Instant,
        shard: usize,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> AdmitDecision {
        let leg = &mut self.legs[shard];
        let Some(delay) = stats.hedge_delay(now, &self.spec) else {
            leg.hedge_at = Some(now + HEDGE_DELAY_RECHECK_INTERVAL);
            return AdmitDecision::Run;
        };
        let last = leg.in_flight.iter().map(|pending| pending.sent).max();
        if let Some(due) = last.map(|sent| sent + delay).filter(|due| *due > now) {
            leg.hedge_at = Some(due);
            return AdmitDecision::Run;
        }
        leg.hedge_at = Some(now + HEDGE_TOKEN_RECHECK_INTERVAL);
        let Some(i) = self.used.last() else {
            return AdmitDecision::Run;
        };
        let snapshot = &self.snapshots[*i];
        let Some(upstream) = choose_hedge_replica(now, snapshot, shard, leg, stats) else {
            leg.hedge_at = None;
            return AdmitDecision::Run;
        };
        let range = snapshot.shards[shard].range;
        let admit = stats.quarantine.admit(now, self.spec.fingerprint, range);
        if admit != AdmitDecision::Run {
            return admit;
        }
        let reserve = if leg.hedges == 0 {
            0.0
        } else {
            SECOND_HEDGE_RESERVE_TOKENS
        };
        if !stats.hedges.take(now, 1.0, reserve) {
            return AdmitDecision::Run;
        }
        leg.hedges += 1;
        leg.hedge_at = (leg.hedges < MAX_HEDGES_PER_ATTEMPT).then_some(now + delay);
        stats.counters.hedges += 1;
        self.hedges += 1;
        self.send(now, shard, upstream, true, stats, out);
        AdmitDecision::Run
    }

    /// Sets the time of the next round of a leg.
    fn delay_leg(&mut self, now: Instant, shard: usize, stats: &mut GatherStats) {
        let leg = &mut self.legs[shard];
        let longest =
            (MIN_RETRY_ROUND_DELAY * (1 << leg.rounds.min(10))).min(MAX_RETRY_ROUND_DELAY);
        leg.rounds += 1;
        leg.retry_at = Some(now + longest.mul_f64(0.5 + stats.rng.f64() / 2.0));
    }

    /// Restarts the query on another servable snapshot if the remaining time and the retry budget
    /// allow it. Attempts in flight are cancelled.
    fn restart(
        &mut self,
        now: Instant,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> bool {
        let used = |id| self.used.iter().any(|i| self.snapshots[*i].id == id);
        let usable = |s: &Snapshot| !used(s.id) && is_servable(now, s, stats);
        let Some(i) = choose_snapshot(now, &self.snapshots, stats, usable) else {
            return false;
        };
        let left = self.spec.deadline.saturating_duration_since(now);
        let expected_latency =
            stats
                .latencies
                .quantile(now, &self.spec.search, &self.spec.class, 0.95);
        if expected_latency.is_some_and(|expected_latency| left < expected_latency) {
            return false;
        }
        let legs = self.snapshots[i].shards.len();
        if self.attempts > 0 && !stats.retries.take(now, legs as f64, 0.0) {
            return false;
        }
        for shard in 0..self.legs.len() {
            self.cancel_leg(now, shard, stats, out);
        }
        stats.counters.restarts += 1;
        self.use_snapshot(i, stats);
        true
    }

    fn send(
        &mut self,
        now: Instant,
        shard: usize,
        upstream: Name,
        hedge: bool,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        let Some(i) = self.used.last() else { return };
        let snapshot = &self.snapshots[*i];
        let range = snapshot.shards[shard].range;
        let attempt = stats.next_attempt();
        let fingerprint = self.spec.fingerprint;
        stats.upstream(&upstream).on_sent(now);
        stats
            .quarantine
            .start(fingerprint, attempt, range, upstream.clone());
        self.attempts += 1;
        self.legs[shard].in_flight.push(InFlightAttempt {
            attempt,
            upstream: upstream.clone(),
            sent: now,
            hedge,
        });
        out.push(GatherAction::Send(LegRequest {
            attempt,
            query: self.spec.query,
            search: self.spec.search.clone(),
            class: self.spec.class.clone(),
            organisation: self.spec.organisation.clone(),
            snapshot: snapshot.id,
            range,
            upstream,
            body: self.spec.body.clone(),
            idempotent: true,
            priority: self.spec.priority,
            fingerprint,
            budget: self.spec.deadline.saturating_duration_since(now),
        }));
    }
}
