use std::time::{Duration, Instant};

use cornelwinch_types::{LegRequest, Name, Snapshot};

use crate::answer::AnswerReason;
use crate::gather::Gather;
use crate::leg::Live;
use crate::select::{Pick, choose_snapshot, is_servable, pick_hedge, pick_replica};
use crate::spec::GatherAction;
use crate::stats::GatherStats;
use crate::suspect::Admit;

/// First delay after every replica of a shard was refused; it doubles with each
/// round up to [`ROUND_DELAY_MAX`].
const ROUND_DELAY_MIN: Duration = Duration::from_millis(5);
/// Longest delay between two rounds.
const ROUND_DELAY_MAX: Duration = Duration::from_millis(200);
/// Time between two looks at a request that waits for another query's attempt.
const HELD_POLL: Duration = Duration::from_millis(2);
/// Time after which a hedge without a token is tried again.
const HEDGE_POLL: Duration = Duration::from_millis(1);
/// Time after which a leg looks again for a learned hedge delay.
const HEDGE_LEARN: Duration = Duration::from_millis(5);
/// Hedges of one attempt.
const HEDGES_MAX: u32 = 2;
/// Tokens that must be left for a second hedge of the same leg.
const SECOND_HEDGE_RESERVE: f64 = 5.0;

impl Gather {
    /// Starts every attempt that is due and finishes the query if nothing is
    /// left to wait for.
    pub(crate) fn step(
        &mut self,
        now: Instant,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) {
        if self.finish_if_due(now, stats, out) {
            return;
        }
        self.held_until = None;
        let count = self.legs.len();
        for shard in (self.first..count).chain(0..self.first) {
            let leg = &self.legs[shard];
            let due = leg.is_idle() && leg.retry_at.is_none_or(|at| now >= at);
            let hedge_due = !leg.live.is_empty() && leg.hedge_at.is_some_and(|at| now >= at);
            let admit = if due {
                match self.attempt_leg(now, shard, stats, out) {
                    // The legs are new ones of another snapshot.
                    None => return self.step(now, stats, out),
                    Some(admit) => admit,
                }
            } else if hedge_due {
                self.hedge_leg(now, shard, stats, out)
            } else {
                continue;
            };
            if admit == Admit::Quarantined {
                return self.refuse_live(now, AnswerReason::Quarantined, stats, out);
            }
        }
        self.finish_if_due(now, stats, out);
    }

    /// Sends the next attempt at a leg, or sets the time of the next try.
    /// Returns `None` if the query restarted on another snapshot.
    fn attempt_leg(
        &mut self,
        now: Instant,
        shard: usize,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> Option<Admit> {
        let snapshot = &self.snapshots[*self.used.last()?];
        let leg = &mut self.legs[shard];
        let pick = pick_replica(now, snapshot, shard, leg, stats);
        let Pick::Replica(upstream) = pick else {
            if pick != Pick::Tried && self.restart(now, stats, out) {
                return None;
            }
            let leg = &mut self.legs[shard];
            if pick == Pick::NoService {
                leg.given_up = true;
            } else {
                leg.tried.clear();
                self.delay_leg(now, shard, stats);
            }
            return Some(Admit::Run);
        };
        let range = snapshot.shards[shard].range;
        let admit = stats
            .quarantine
            .admit(now, self.spec.fingerprint, range, false);
        if admit == Admit::Wait {
            // A retry time that has passed would keep the next wake in the past.
            leg.retry_at = None;
            self.held_until = Some(now + HELD_POLL);
        }
        if admit != Admit::Run {
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
            return Some(Admit::Run);
        }
        leg.started = true;
        leg.hedges = 0;
        leg.retry_at = None;
        leg.hedge_at = self
            .spec
            .policy
            .hedge_quantile
            .map(|_| now + stats.hedge_delay(now, &self.spec).unwrap_or(HEDGE_LEARN));
        self.send(now, shard, upstream, false, stats, out);
        Some(Admit::Run)
    }

    /// Sends a hedge of a leg if the budget and the replicas allow it.
    fn hedge_leg(
        &mut self,
        now: Instant,
        shard: usize,
        stats: &mut GatherStats,
        out: &mut Vec<GatherAction>,
    ) -> Admit {
        let leg = &mut self.legs[shard];
        let Some(delay) = stats.hedge_delay(now, &self.spec) else {
            leg.hedge_at = Some(now + HEDGE_LEARN);
            return Admit::Run;
        };
        let last = leg.live.iter().map(|live| live.sent).max();
        if let Some(due) = last.map(|sent| sent + delay).filter(|due| *due > now) {
            leg.hedge_at = Some(due);
            return Admit::Run;
        }
        leg.hedge_at = Some(now + HEDGE_POLL);
        let Some(i) = self.used.last() else {
            return Admit::Run;
        };
        let snapshot = &self.snapshots[*i];
        let Some(upstream) = pick_hedge(now, snapshot, shard, leg, stats) else {
            leg.hedge_at = None;
            return Admit::Run;
        };
        let range = snapshot.shards[shard].range;
        let admit = stats
            .quarantine
            .admit(now, self.spec.fingerprint, range, true);
        if admit != Admit::Run {
            return admit;
        }
        let reserve = if leg.hedges == 0 {
            0.0
        } else {
            SECOND_HEDGE_RESERVE
        };
        if !stats.hedges.take(now, 1.0, reserve) {
            return Admit::Run;
        }
        leg.hedges += 1;
        leg.hedge_at = (leg.hedges < HEDGES_MAX).then_some(now + delay);
        stats.counters.hedges += 1;
        self.hedges += 1;
        self.send(now, shard, upstream, true, stats, out);
        Admit::Run
    }

    /// Sets the time of the next round of a leg.
    fn delay_leg(&mut self, now: Instant, shard: usize, stats: &mut GatherStats) {
        let leg = &mut self.legs[shard];
        let longest = (ROUND_DELAY_MIN * (1 << leg.rounds.min(10))).min(ROUND_DELAY_MAX);
        leg.rounds += 1;
        leg.retry_at = Some(now + longest.mul_f64(0.5 + stats.rng.f64() / 2.0));
    }

    /// Restarts the query on another snapshot that can be served, if the time
    /// and the retry budget allow it. The old attempts are cancelled.
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
        let typical = stats
            .latencies
            .quantile(now, &self.spec.search, &self.spec.class, 0.95);
        if typical.is_some_and(|typical| left < typical) {
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
            .start(now, fingerprint, attempt, range, upstream.clone());
        self.attempts += 1;
        self.legs[shard].live.push(Live {
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
            customer: self.spec.customer.clone(),
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
