use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, Fingerprint, KeyRange, LegFailure, LegResult, Name};

use crate::QuarantineConfig;

/// Disconnects within this time of each other belong to one event, such as a rack failure.
const EVENT_WINDOW: Duration = Duration::from_secs(1);
/// Time for which disconnects are kept to decide which belong to the same event.
const DISCONNECT_TTL: Duration = Duration::from_secs(5);
/// Largest number of disconnects kept.
const MAX_RECENT_DISCONNECTS: usize = 4096;
/// Time for which the result of a cancelled attempt is awaited.
const CANCELLED_TTL: Duration = Duration::from_secs(60);
/// Time for which a cancelled attempt without a result counts as running, because an upstream may
/// crash after the deadline of the query.
const CANCELLED_CRASH_WINDOW: Duration = Duration::from_secs(5);
/// Largest number of cancelled attempts whose results are awaited.
const MAX_CANCELLED: usize = 4096;
/// Largest number of recently answered requests kept in each of two generations.
const MAX_ANSWERED_PER_GENERATION: usize = 8192;
/// Weights of disconnects, in halves: two of full weight quarantine a request. Disconnects of half
/// weight bound a request that crashes upstreams while others restart: four in a row, each after
/// the one before, quarantine it.
const FULL_WEIGHT: u32 = 2;
const HALF_WEIGHT: u32 = 1;
const QUARANTINE_WEIGHT: u32 = 4;

/// Whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AdmitDecision {
    /// The attempt may start.
    Run,
    /// Another attempt has to end first.
    Wait,
    /// The request is quarantined.
    Quarantined,
}

/// How an attempt ended, as far as crashes are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AttemptEnd {
    /// The upstream answered.
    Answered,
    /// The connection to the upstream broke.
    Lost,
    /// The attempt was cancelled; its result is still awaited.
    Cancelled,
    /// The result does not indicate whether the request crashes upstreams.
    Other,
}

impl From<&LegResult> for AttemptEnd {
    fn from(result: &LegResult) -> Self {
        match result {
            LegResult::Answer(_) => Self::Answered,
            LegResult::Failed(LegFailure::Disconnected) => Self::Lost,
            _ => Self::Other,
        }
    }
}

/// Tracks requests in progress, requests that lost attempts to disconnects, and requests answered
/// recently.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    /// Requests with running or lost attempts, sorted by fingerprint.
    requests: Vec<RequestRecord>,
    cancelled: VecDeque<(AttemptId, Fingerprint, Instant)>,
    /// Number of disconnects so far. It orders a retry after the loss before it, since both have
    /// the same time.
    disconnect_count: u64,
    /// Recent disconnects of all requests, by time.
    recent_disconnects: VecDeque<(Instant, Name, Fingerprint)>,
    /// Requests answered recently, in two generations, each sorted by fingerprint.
    answered: [Vec<Fingerprint>; 2],
}

#[derive(Debug)]
struct RequestRecord {
    fingerprint: Fingerprint,
    running: Vec<RunningAttempt>,
    losses: Vec<LostAttempt>,
}

#[derive(Debug)]
struct RunningAttempt {
    attempt: AttemptId,
    range: KeyRange,
    upstream: Name,
    /// Number of disconnects before the attempt started.
    disconnects_before: u64,
    /// Whether the request had been answered recently when the attempt started.
    answered: bool,
    /// Time at which the attempt was cancelled.
    cancelled: Option<Instant>,
}

#[derive(Debug)]
struct LostAttempt {
    at: Instant,
    sequence: u64,
    range: KeyRange,
    upstream: Name,
    /// Whether the attempt ran while an earlier attempt of the request was lost.
    concurrent: bool,
    /// Weight of the loss, set once all losses of the same event are known.
    weight: Option<u32>,
}

impl Suspects {
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        config: &QuarantineConfig,
        fingerprint: Fingerprint,
        range: KeyRange,
    ) -> AdmitDecision {
        let answered = self.was_answered(fingerprint);
        let Ok(i) = self.find(fingerprint) else {
            return AdmitDecision::Run;
        };
        self.requests[i]
            .losses
            .retain(|loss| now.saturating_duration_since(loss.at) < config.ttl);
        self.weigh_losses(now, config, i);
        let request = &self.requests[i];
        let count = |f: &dyn Fn(&RunningAttempt) -> bool| {
            request
                .running
                .iter()
                .filter(|r| r.may_crash_upstream(now) && f(r))
                .count()
        };
        if request.losses.is_empty() {
            let open = answered || config.canaries == 0 || count(&|_| true) < config.canaries;
            return if open {
                AdmitDecision::Run
            } else {
                AdmitDecision::Wait
            };
        }
        if request.is_quarantine_due() {
            return AdmitDecision::Quarantined;
        }
        if request.is_awaiting_weights() {
            return AdmitDecision::Wait;
        }
        // After a loss, one attempt at a time runs: of the whole request or, if the request was
        // answered recently, of the lost range.
        let suspect = request.losses.iter().any(|loss| loss.range.overlaps(range));
        let busy = if !answered {
            count(&|_| true) > 0
        } else {
            suspect && count(&|r| r.range.overlaps(range)) > 0
        };
        if busy {
            AdmitDecision::Wait
        } else {
            AdmitDecision::Run
        }
    }

    pub(crate) fn start(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        range: KeyRange,
        upstream: Name,
    ) {
        let answered = self.was_answered(fingerprint);
        let i = self.find(fingerprint).unwrap_or_else(|i| {
            self.requests.insert(
                i,
                RequestRecord {
                    fingerprint,
                    running: Vec::new(),
                    losses: Vec::new(),
                },
            );
            i
        });
        let disconnects_before = self.disconnect_count;
        let running = RunningAttempt {
            attempt,
            range,
            upstream,
            disconnects_before,
            answered,
            cancelled: None,
        };
        self.requests[i].running.push(running);
    }

    pub(crate) fn end(
        &mut self,
        now: Instant,
        config: &QuarantineConfig,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        ended: AttemptEnd,
    ) {
        let Ok(i) = self.find(fingerprint) else {
            return;
        };
        let request = &mut self.requests[i];
        let Some(j) = request.running.iter().position(|r| r.attempt == attempt) else {
            return;
        };
        if ended == AttemptEnd::Cancelled {
            request.running[j].cancelled = Some(now);
            self.cancelled.push_back((attempt, fingerprint, now));
            self.expire_cancelled(now);
            return;
        }
        let running = request.running.swap_remove(j);
        match ended {
            AttemptEnd::Answered => {
                request
                    .losses
                    .retain(|loss| !loss.range.overlaps(running.range));
                self.record_answered(fingerprint);
            }
            AttemptEnd::Lost => self.on_lost(now, config, fingerprint, running),
            AttemptEnd::Cancelled | AttemptEnd::Other => {}
        }
        self.drop_if_idle(fingerprint);
    }

    /// Returns the request of a cancelled attempt whose result is awaited.
    pub(crate) fn cancelled(&self, attempt: AttemptId) -> Option<Fingerprint> {
        self.cancelled
            .iter()
            .rev()
            .find(|entry| entry.0 == attempt)
            .map(|entry| entry.1)
    }

    /// Removes the lost attempts of a request.
    pub(crate) fn drop_losses(&mut self, fingerprint: Fingerprint) {
        if let Ok(i) = self.find(fingerprint) {
            self.requests[i].losses.clear();
        }
        self.drop_if_idle(fingerprint);
    }

    fn on_lost(
        &mut self,
        now: Instant,
        config: &QuarantineConfig,
        fingerprint: Fingerprint,
        running: RunningAttempt,
    ) {
        while self
            .recent_disconnects
            .front()
            .is_some_and(|e| now.saturating_duration_since(e.0) > DISCONNECT_TTL)
            || self.recent_disconnects.len() >= MAX_RECENT_DISCONNECTS
        {
            self.recent_disconnects.pop_front();
        }
        self.recent_disconnects
            .push_back((now, running.upstream.clone(), fingerprint));
        self.disconnect_count += 1;
        for i in 0..self.requests.len() {
            self.weigh_losses(now, config, i);
        }
        for generation in &mut self.answered {
            if let Ok(i) = generation.binary_search(&fingerprint) {
                generation.remove(i);
            }
        }
        self.limit_losses(config);
        let Ok(i) = self.find(fingerprint) else {
            return;
        };
        let losses = &mut self.requests[i].losses;
        let concurrent = losses
            .iter()
            .any(|loss| loss.sequence > running.disconnects_before);
        // For a recently answered request, only the first of several concurrent losses counts: the
        // failure of one rack breaks all attempts in progress. The next attempt runs alone and
        // decides.
        let weight = (concurrent && running.answered).then_some(0);
        let (range, upstream) = (running.range, running.upstream);
        losses.push(LostAttempt {
            at: now,
            sequence: self.disconnect_count,
            range,
            upstream,
            concurrent,
            weight,
        });
    }

    /// Weighs the losses of a request for which all losses of the same event are known.
    fn weigh_losses(&mut self, now: Instant, config: &QuarantineConfig, i: usize) {
        let fingerprint = self.requests[i].fingerprint;
        for j in 0..self.requests[i].losses.len() {
            let losses = &self.requests[i].losses;
            let loss = &losses[j];
            if loss.weight.is_some() || now < loss.at + config.settle_time {
                continue;
            }
            let during = self.recent_disconnects.iter().filter(|(at, ..)| {
                at.saturating_duration_since(loss.at) <= config.settle_time
                    && loss.at.saturating_duration_since(*at) <= EVENT_WINDOW
            });
            let mut same: Vec<Fingerprint> = Vec::new();
            let mut others: Vec<&Name> = Vec::new();
            for (_, upstream, of) in during {
                if *upstream == loss.upstream && !same.contains(of) {
                    same.push(*of);
                }
                let own = losses.iter().any(|l| l.upstream == *upstream);
                if *of != fingerprint && !own && !others.contains(&upstream) {
                    others.push(upstream);
                }
            }
            let mass = same.len() > config.max_requests_per_crash
                || others.len() >= config.mass_failure_upstreams;
            let weight = match (mass, loss.concurrent) {
                (false, _) => FULL_WEIGHT,
                (true, false) => HALF_WEIGHT,
                (true, true) => 0,
            };
            self.requests[i].losses[j].weight = Some(weight);
        }
    }

    /// Removes the losses of the request whose last loss is the oldest if too many have losses.
    fn limit_losses(&mut self, config: &QuarantineConfig) {
        let suspects = self
            .requests
            .iter()
            .filter(|request| !request.losses.is_empty());
        if suspects.clone().count() < config.max_suspects {
            return;
        }
        let oldest = suspects.min_by_key(|request| request.losses.last().map(|loss| loss.at));
        if let Some(fingerprint) = oldest.map(|request| request.fingerprint) {
            self.drop_losses(fingerprint);
        }
    }

    fn expire_cancelled(&mut self, now: Instant) {
        while self.cancelled.len() > MAX_CANCELLED
            || self
                .cancelled
                .front()
                .is_some_and(|entry| now >= entry.2 + CANCELLED_TTL)
        {
            let Some((attempt, fingerprint, _)) = self.cancelled.pop_front() else {
                return;
            };
            if let Ok(i) = self.find(fingerprint) {
                self.requests[i]
                    .running
                    .retain(|r| r.attempt != attempt || r.cancelled.is_none());
            }
            self.drop_if_idle(fingerprint);
        }
    }

    fn drop_if_idle(&mut self, fingerprint: Fingerprint) {
        if let Ok(i) = self.find(fingerprint)
            && self.requests[i].running.is_empty()
            && self.requests[i].losses.is_empty()
        {
            self.requests.remove(i);
        }
    }

    pub(crate) fn was_answered(&self, fingerprint: Fingerprint) -> bool {
        self.answered
            .iter()
            .any(|generation| generation.binary_search(&fingerprint).is_ok())
    }

    fn record_answered(&mut self, fingerprint: Fingerprint) {
        if self.answered[0].len() >= MAX_ANSWERED_PER_GENERATION {
            self.answered.swap(0, 1);
            self.answered[0].clear();
        }
        if let Err(i) = self.answered[0].binary_search(&fingerprint) {
            self.answered[0].insert(i, fingerprint);
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.requests
            .binary_search_by_key(&fingerprint, |request| request.fingerprint)
    }
}

impl RunningAttempt {
    /// Reports whether the attempt may still crash its upstream.
    fn may_crash_upstream(&self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        self.cancelled
            .is_none_or(|at| since(at) < CANCELLED_CRASH_WINDOW)
    }
}

impl RequestRecord {
    /// Reports whether the next attempt must wait until the losses are weighed.
    fn is_awaiting_weights(&self) -> bool {
        self.distinct_upstreams() >= 2 && self.losses.iter().any(|loss| loss.weight.is_none())
    }

    fn is_quarantine_due(&self) -> bool {
        let weight: u32 = self.losses.iter().filter_map(|loss| loss.weight).sum();
        self.distinct_upstreams() >= 2 && weight >= QUARANTINE_WEIGHT
    }

    /// Returns the number of distinct upstreams with counted losses: 0, 1, or 2 for more than one.
    fn distinct_upstreams(&self) -> usize {
        let counted = |loss: &LostAttempt| loss.weight != Some(0);
        let first = self.losses.iter().find(|loss| counted(loss));
        let other = |loss: &&LostAttempt| first.is_some_and(|f| f.upstream != loss.upstream);
        let several = self
            .losses
            .iter()
            .filter(|loss| counted(loss))
            .any(|loss| other(&loss));
        usize::from(first.is_some()) + usize::from(several)
    }
}
