use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, Fingerprint, KeyRange, Name};

use crate::suspect::{Admit, Ended, Suspects};

/// Settings of the [`Quarantine`].
#[derive(Debug, Clone, PartialEq)]
pub struct QuarantineConfig {
    /// Time for which a request is refused.
    pub ttl: Duration,
    /// Largest number of marks; beyond it, the one that expires first is
    /// dropped.
    pub max_marks: usize,
    /// Largest number of requests whose losses are remembered.
    pub max_suspects: usize,
    /// Legs that a request which was not answered recently starts before the
    /// others; they start with the first answer. Both may crash their
    /// upstreams, so more than two break the bound. 0 starts all legs at once: a
    /// request that crashes every upstream then takes down as many as it has
    /// legs.
    pub canaries: usize,
    /// Largest number of different requests that one crash can break: the
    /// slots of an upstream. A disconnect that breaks more counts weakly.
    pub max_requests_per_crash: usize,
    /// Upstreams that lose other requests within a second from which a
    /// disconnect counts weakly: a rack or zone failed, not a request.
    pub mass_failure_upstreams: usize,
    /// Time for which losses of the same event are awaited before they are
    /// weighed.
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
    /// Marks and their ends, by fingerprint.
    marks: Vec<(Fingerprint, Instant)>,
    fresh: Vec<(Fingerprint, Duration)>,
    suspects: Suspects,
}

impl Quarantine {
    /// Makes an empty quarantine.
    pub fn new(config: QuarantineConfig) -> Self {
        Self {
            config,
            marks: Vec::new(),
            fresh: Vec::new(),
            suspects: Suspects::default(),
        }
    }

    /// Adds a mark of another host. A longer mark stays.
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

    /// Reports whether the request is refused at present.
    pub fn is_marked(&self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.marks
            .binary_search_by_key(&fingerprint, |mark| mark.0)
            .is_ok_and(|i| self.marks[i].1 > now)
    }

    /// Returns the marks made here since the last call, to be sent to the other
    /// hosts, with their time to live.
    pub fn take_new(&mut self) -> Vec<(Fingerprint, Duration)> {
        std::mem::take(&mut self.fresh)
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
    ) -> Admit {
        if self.is_marked(now, fingerprint) {
            return Admit::Quarantined;
        }
        let admit = self.suspects.admit(now, &self.config, fingerprint, range);
        if admit == Admit::Quarantined {
            self.mark(now, fingerprint);
        }
        admit
    }

    /// Reports whether the request was answered recently.
    pub(crate) fn is_proven(&self, fingerprint: Fingerprint) -> bool {
        self.suspects.is_proven(fingerprint)
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
        ended: Ended,
    ) {
        self.suspects
            .end(now, &self.config, fingerprint, attempt, ended);
    }

    /// Ends an attempt of a query that is over.
    pub(crate) fn end_stray(&mut self, now: Instant, attempt: AttemptId, ended: Ended) {
        if let Some(fingerprint) = self.suspects.abandoned(attempt) {
            self.end(now, fingerprint, attempt, ended);
        }
    }

    fn mark(&mut self, now: Instant, fingerprint: Fingerprint) {
        log::warn!(
            "event=quarantined fingerprint={fingerprint:?} ttl={:?}",
            self.config.ttl
        );
        self.add(now, fingerprint, self.config.ttl);
        if self.fresh.len() < self.config.max_marks {
            self.fresh.push((fingerprint, self.config.ttl));
        }
        self.suspects.forget(fingerprint);
    }
}
