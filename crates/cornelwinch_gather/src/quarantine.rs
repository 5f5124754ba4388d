use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, Fingerprint, KeyRange, Name};

use crate::suspect::{AdmitDecision, AttemptEnd, Suspects};

/// Settings of the [`Quarantine`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineConfig {
    /// Time for which a quarantined request is refused.
    pub ttl: Duration,
    /// Largest number of marks; beyond it, the one that expires first is
    /// dropped.
    pub max_marks: usize,
    /// Largest number of requests whose lost attempts are kept.
    pub max_suspects: usize,
    /// Number of legs that a request without a recent answer starts first; its other legs start
    /// after the first answer. Each canary may crash its upstream, so more than two exceed the
    /// bound of two upstreams per request on each host. 0 starts all legs at once: a request that
    /// crashes every upstream then takes down as many as it has legs.
    pub canaries: usize,
    /// Largest number of different requests that one crash can break, which is the number of slots
    /// of an upstream. A disconnect that breaks more counts with reduced weight.
    pub max_requests_per_crash: usize,
    /// Number of upstreams that lose other requests within a second from which a disconnect counts
    /// with reduced weight, because a rack or availability zone failed rather than a request.
    pub mass_failure_upstreams: usize,
    /// Time to wait for further disconnects of the same event before a disconnect is weighed.
    pub settle_time: Duration,
}

impl Default for QuarantineConfig {
    fn default() -> Self {
        Self {
            ttl: Duration::from_secs(600),
            max_marks: 4096,
            max_suspects: 4096,
            canaries: 2,
            max_requests_per_crash: 4,
            mass_failure_upstreams: 3,
            settle_time: Duration::from_millis(50),
        }
    }
}

/// Requests that crash upstreams, by fingerprint.
///
/// A request is quarantined when its legs were lost to disconnects on two
/// different upstreams without an answer in between. From the first loss until
/// an answer, one attempt at a time runs.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use cornelwinch_gather::{Quarantine, QuarantineConfig};
/// use cornelwinch_types::Fingerprint;
///
/// let now = Instant::now();
/// let mut quarantine = Quarantine::new(QuarantineConfig::default());
/// let fingerprint = Fingerprint::of("portal", "atlas");
/// quarantine.add(now, fingerprint, Duration::from_secs(60));
/// assert!(quarantine.is_marked(now, fingerprint));
/// assert!(!quarantine.is_marked(now + Duration::from_secs(60), fingerprint));
/// ```
#[derive(Debug)]
pub struct Quarantine {
    config: QuarantineConfig,
    /// Marks and their expiry times, sorted by fingerprint.
    marks: Vec<(Fingerprint, Instant)>,
    /// Marks made by this host that were not yet taken by [`Quarantine::take_new`].
    unsent: Vec<(Fingerprint, Duration)>,
    suspects: Suspects,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            marks: Vec::new(),
            unsent: Vec::new(),
            suspects: Suspects::default(),
        }
    }

    /// Adds a mark received from another host. An existing mark that expires later is kept.
    pub fn add(&mut self, now: Instant, fingerprint: Fingerprint, ttl: Duration) {
        let end = now + ttl.min(self.config.ttl);
        match self.marks.binary_search_by_key(&fingerprint, |mark| mark.0) {
            Ok(i) => self.marks[i].1 = self.marks[i].1.max(end),
            Err(_) => {
                self.marks.retain(|mark| mark.1 > now);
                if self.marks.len() >= self.config.max_marks {
                    let first = (0..self.marks.len()).min_by_key(|i| self.marks[*i].1);
                    first.map(|i| self.marks.remove(i));
                }
                let i = self.marks.partition_point(|mark| mark.0 < fingerprint);
                self.marks.insert(i, (fingerprint, end));
            }
        }
    }

    /// Reports whether the request is quarantined at `now`.
    pub fn is_marked(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.marks
            .binary_search_by_key(&fingerprint, |mark| mark.0)
            .is_ok_and(|i| self.marks[i].1 > now)
    }

    /// Returns the marks that this host made since the last call, with their time to live, to be
    /// sent to the other hosts.
    pub fn take_new(&mut self) -> Vec<(Fingerprint, Duration)> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns the number of marks held.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Reports whether no mark is held.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    /// Decides whether another attempt at a request may start now.
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        range: KeyRange,
    ) -> AdmitDecision {
        if self.is_marked(now, fingerprint) {
            return AdmitDecision::Quarantined;
        }
        let admit = self.suspects.admit(now, &self.config, fingerprint, range);
        if admit == AdmitDecision::Quarantined {
            self.mark(now, fingerprint);
        }
        admit
    }

    /// Reports whether the request was answered recently.
    pub(crate) fn was_answered(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.was_answered(fingerprint)
    }

    pub(crate) fn start(
        &mut self,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        range: KeyRange,
        upstream: Name,
    ) {
        self.suspects.start(fingerprint, attempt, range, upstream);
    }

    pub(crate) fn end(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        attempt: AttemptId,
        ended: AttemptEnd,
    ) {
        self.suspects
            .end(now, &self.config, fingerprint, attempt, ended);
    }

    /// Records the end of an attempt whose query has already ended.
    pub(crate) fn end_late(&mut self, now: Instant, attempt: AttemptId, ended: AttemptEnd) {
        if let Some(fingerprint) = self.suspects.cancelled(attempt) {
            self.end(now, fingerprint, attempt, ended);
        }
    }

    fn mark(&mut self, now: Instant, fingerprint: Fingerprint) {
        log::warn!(
            "event=quarantined fingerprint={fingerprint:?} ttl={:?}",
            self.config.ttl
        );
        self.add(now, fingerprint, self.config.ttl);
        if self.unsent.len() < self.config.max_marks {
            self.unsent.push((fingerprint, self.config.ttl));
        }
        self.suspects.drop_losses(fingerprint);
    }
}
