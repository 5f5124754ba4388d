use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, Fingerprint, KeyRange, LegFailure, LegResult, Name};

use crate::QuarantineConfig;

/// Disconnects within this time of each other belong to one event.
const EVENT: Duration = Duration::from_secs(1);
/// Time for which disconnects are kept to tell events apart.
const EVENT_KEPT: Duration = Duration::from_secs(5);
/// Largest number of disconnects kept.
const EVENTS_MAX: usize = 4096;
/// Time for which the result of a cancelled attempt is awaited.
const ABANDONED_TTL: Duration = Duration::from_secs(60);
/// Time for which a cancelled attempt without a result counts as running: an
/// upstream may crash after the deadline of the query.
const ABANDONED_EXPOSED: Duration = Duration::from_secs(5);
/// Largest number of cancelled attempts whose results are awaited.
const ABANDONED_MAX: usize = 4096;
/// Requests remembered as answered, in each of two generations.
const PROVEN_MAX: usize = 8192;
/// Weights of a disconnect, in halves: two full ones quarantine a request. Weak
/// ones bound a request that crashes upstreams while others restart: four in a
/// row, each after the one before, quarantine it.
const STRONG: u32 = 2;
const WEAK: u32 = 1;
const QUARANTINED: u32 = 4;

/// Whether an attempt may start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admit {
    Run,
    /// Another attempt has to end first.
    Wait,
    Quarantined,
}

/// How an attempt ended, as far as crashes are concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Ended {
    /// The upstream answered.
    Answered,
    /// The connection to the upstream broke.
    Lost,
    /// The attempt was cancelled; its result is still awaited.
    Abandoned,
    /// Says nothing about the request.
    Other,
}

impl From<&LegResult> for Ended {
    fn from(result: &LegResult) -> Self {
        match result {
            LegResult::Answer(_) => Self::Answered,
            LegResult::Failed(LegFailure::Disconnected) => Self::Lost,
            _ => Self::Other,
        }
    }
}

/// Requests in progress, requests that lost legs, and requests answered recently.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    /// By fingerprint.
    tracks: Vec<Track>,
    abandoned: VecDeque<(AttemptId, Fingerprint, Instant)>,
    /// Disconnects so far. The time of a retry equals that of the loss before
    /// it, so their order is told by this number.
    disconnects: u64,
    /// Recent disconnects of all requests, by time.
    events: VecDeque<(Instant, Name, Fingerprint)>,
    /// Requests answered recently, in two generations, each by fingerprint.
    proven: [Vec<Fingerprint>; 2],
}

#[derive(Debug)]
struct Track {
    fingerprint: Fingerprint,
    running: Vec<Running>,
    losses: Vec<Loss>,
}

#[derive(Debug)]
struct Running {
    attempt: AttemptId,
    range: KeyRange,
    upstream: Name,
    /// Disconnects counted before its start.
    started: u64,
    /// The request had been answered when the attempt started.
    proven: bool,
    /// Time of its cancellation.
    abandoned: Option<Instant>,
}

#[derive(Debug)]
struct Loss {
    at: Instant,
    number: u64,
    range: KeyRange,
    upstream: Name,
    /// The attempt ran at the time of an earlier loss.
    beside: bool,
    /// Set once the losses of the same event are known.
    weight: Option<u32>,
}

impl Suspects {
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        config: &QuarantineConfig,
        fingerprint: Fingerprint,
        range: KeyRange,
    ) -> Admit {
        let proven = self.is_proven(fingerprint);
        let Ok(i) = self.find(fingerprint) else {
            return Admit::Run;
        };
        self.tracks[i]
            .losses
            .retain(|loss| now.saturating_duration_since(loss.at) < config.ttl);
        self.weigh(now, config, i);
        let track = &self.tracks[i];
        let count = |f: &dyn Fn(&Running) -> bool| {
            track
                .running
                .iter()
                .filter(|r| r.is_exposed(now) && f(r))
                .count()
        };
        if track.losses.is_empty() {
            let open = proven || config.canaries == 0 || count(&|_| true) < config.canaries;
            return if open { Admit::Run } else { Admit::Wait };
        }
        if track.is_condemned() {
            return Admit::Quarantined;
        }
        if track.is_undecided() {
            return Admit::Wait;
        }
        // After a loss one attempt at a time runs: of the whole request, or
        // once it was answered elsewhere, of the range that was lost.
        let suspect = track.losses.iter().any(|loss| loss.range.overlaps(range));
        let busy = if !proven {
            count(&|_| true) > 0
        } else {
            suspect && count(&|r| r.range.overlaps(range)) > 0
        };
        if busy { Admit::Wait } else { Admit::Run }
    }

    pub(crate) fn start(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        range: KeyRange,
        upstream: Name,
    ) {
        let proven = self.is_proven(fingerprint);
        let i = self.find(fingerprint).unwrap_or_else(|i| {
            self.tracks.insert(
                i,
                Track {
                    fingerprint,
                    running: Vec::new(),
                    losses: Vec::new(),
                },
            );
            i
        });
        let started = self.disconnects;
        let running = Running {
            attempt,
            range,
            upstream,
            started,
            proven,
            abandoned: None,
        };
        self.tracks[i].running.push(running);
    }

    pub(crate) fn end(
        &mut self,
        now: Instant,
        config: &QuarantineConfig,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        ended: Ended,
    ) {
        let Ok(i) = self.find(fingerprint) else {
            return;
        };
        let track = &mut self.tracks[i];
        let Some(j) = track.running.iter().position(|r| r.attempt == attempt) else {
            return;
        };
        if ended == Ended::Abandoned {
            track.running[j].abandoned = Some(now);
            self.abandoned.push_back((attempt, fingerprint, now));
            self.expire_abandoned(now);
            return;
        }
        let running = track.running.swap_remove(j);
        match ended {
            Ended::Answered => {
                track
                    .losses
                    .retain(|loss| !loss.range.overlaps(running.range));
                self.prove(fingerprint);
            }
            Ended::Lost => self.on_lost(now, config, fingerprint, running),
            Ended::Abandoned | Ended::Other => {}
        }
        self.drop_if_idle(fingerprint);
    }

    /// Returns the request of a cancelled attempt whose result is awaited.
    pub(crate) fn abandoned(&self, attempt: AttemptId) -> Option<Fingerprint> {
        self.abandoned
            .iter()
            .rev()
            .find(|entry| entry.0 == attempt)
            .map(|entry| entry.1)
    }

    /// Drops the losses of a request.
    pub(crate) fn forget(&mut self, fingerprint: Fingerprint) {
        if let Ok(i) = self.find(fingerprint) {
            self.tracks[i].losses.clear();
        }
        self.drop_if_idle(fingerprint);
    }

    fn on_lost(
        &mut self,
        now: Instant,
        config: &QuarantineConfig,
        fingerprint: Fingerprint,
        running: Running,
    ) {
        while self
            .events
            .front()
            .is_some_and(|e| now.saturating_duration_since(e.0) > EVENT_KEPT)
            || self.events.len() >= EVENTS_MAX
        {
            self.events.pop_front();
        }
        self.events
            .push_back((now, running.upstream.clone(), fingerprint));
        self.disconnects += 1;
        for i in 0..self.tracks.len() {
            self.weigh(now, config, i);
        }
        for generation in &mut self.proven {
            if let Ok(i) = generation.binary_search(&fingerprint) {
                generation.remove(i);
            }
        }
        self.limit_losses(config);
        let Ok(i) = self.find(fingerprint) else {
            return;
        };
        let losses = &mut self.tracks[i].losses;
        let beside = losses.iter().any(|loss| loss.number > running.started);
        // Of an answered request only the first of these counts: one failure of
        // a rack breaks all attempts in progress. The next attempt, alone,
        // decides.
        let weight = (beside && running.proven).then_some(0);
        let (range, upstream) = (running.range, running.upstream);
        losses.push(Loss {
            at: now,
            number: self.disconnects,
            range,
            upstream,
            beside,
            weight,
        });
    }

    /// Weighs the losses of a request whose event is over.
    fn weigh(&mut self, now: Instant, config: &QuarantineConfig, i: usize) {
        let fingerprint = self.tracks[i].fingerprint;
        for j in 0..self.tracks[i].losses.len() {
            let losses = &self.tracks[i].losses;
            let loss = &losses[j];
            if loss.weight.is_some() || now < loss.at + config.settle_time {
                continue;
            }
            let during = self.events.iter().filter(|(at, ..)| {
                at.saturating_duration_since(loss.at) <= config.settle_time
                    && loss.at.saturating_duration_since(*at) <= EVENT
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
            let weight = match (mass, loss.beside) {
                (false, _) => STRONG,
                (true, false) => WEAK,
                (true, true) => 0,
            };
            self.tracks[i].losses[j].weight = Some(weight);
        }
    }

    /// Forgets the oldest losses beyond the limit.
    fn limit_losses(&mut self, config: &QuarantineConfig) {
        let suspects = self.tracks.iter().filter(|t| !t.losses.is_empty());
        if suspects.clone().count() < config.max_suspects {
            return;
        }
        let oldest = suspects.min_by_key(|t| t.losses.last().map(|loss| loss.at));
        if let Some(fingerprint) = oldest.map(|t| t.fingerprint) {
            self.forget(fingerprint);
        }
    }

    fn expire_abandoned(&mut self, now: Instant) {
        while self.abandoned.len() > ABANDONED_MAX
            || self
                .abandoned
                .front()
                .is_some_and(|entry| now >= entry.2 + ABANDONED_TTL)
        {
            let Some((attempt, fingerprint, _)) = self.abandoned.pop_front() else {
                return;
            };
            if let Ok(i) = self.find(fingerprint) {
                self.tracks[i]
                    .running
                    .retain(|r| r.attempt != attempt || r.abandoned.is_none());
            }
            self.drop_if_idle(fingerprint);
        }
    }

    fn drop_if_idle(&mut self, fingerprint: Fingerprint) {
        if let Ok(i) = self.find(fingerprint)
            && self.tracks[i].running.is_empty()
            && self.tracks[i].losses.is_empty()
        {
            self.tracks.remove(i);
        }
    }

    pub(crate) fn is_proven(&self, fingerprint: Fingerprint) -> bool {
        self.proven
            .iter()
            .any(|generation| generation.binary_search(&fingerprint).is_ok())
    }

    fn prove(&mut self, fingerprint: Fingerprint) {
        if self.proven[0].len() >= PROVEN_MAX {
            self.proven.swap(0, 1);
            self.proven[0].clear();
        }
        if let Err(i) = self.proven[0].binary_search(&fingerprint) {
            self.proven[0].insert(i, fingerprint);
        }
    }

    fn find(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.tracks
            .binary_search_by_key(&fingerprint, |track| track.fingerprint)
    }
}

impl Running {
    /// Reports whether the attempt may still crash its upstream.
    fn is_exposed(&self, now: Instant) -> bool {
        let since = |at| now.saturating_duration_since(at);
        self.abandoned
            .is_none_or(|at| since(at) < ABANDONED_EXPOSED)
    }
}

impl Track {
    /// Reports whether the next attempt waits until the losses are weighed.
    fn is_undecided(&self) -> bool {
        self.upstreams() >= 2 && self.losses.iter().any(|loss| loss.weight.is_none())
    }

    fn is_condemned(&self) -> bool {
        let weight: u32 = self.losses.iter().filter_map(|loss| loss.weight).sum();
        self.upstreams() >= 2 && weight >= QUARANTINED
    }

    /// Number of different upstreams that the request was lost on.
    fn upstreams(&self) -> usize {
        let counted = |loss: &Loss| loss.weight != Some(0);
        let first = self.losses.iter().find(|loss| counted(loss));
        let other = |loss: &&Loss| first.is_some_and(|f| f.upstream != loss.upstream);
        let several = self
            .losses
            .iter()
            .filter(|loss| counted(loss))
            .any(|loss| other(&loss));
        usize::from(first.is_some()) + usize::from(several)
    }
}
