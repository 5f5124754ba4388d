use std::time::{Duration, Instant};

use cornelwinch_types::{Fingerprint, SortedMap};
use serde::{Deserialize, Serialize};

/// Disconnects on different upstreams after which a request is taken for the
/// cause of their crashes.
const CRASHES_PER_MARK: usize = 3;

/// Attempts of callers in which the request broke upstreams before it is marked.
/// Legs of one attempt can meet several upstreams that lose answers.
const ATTEMPTS_PER_MARK: usize = 2;

/// Time after which a disconnect, a mark or an answer is forgotten.
const MEMORY: Duration = Duration::from_secs(60);

/// Largest number of suspects.
const REQUEST_LIMIT: usize = 4_096;

/// Entries of the table of answered requests, 32 bytes each: half a minute of 200
/// requests a second. A newer answer takes the place of an older one.
const ANSWER_SLOTS: usize = 8_192;

/// Time without an answer after which a disconnect is reported to other hosts.
/// Most requests that meet an upstream which loses an answer are answered by
/// another one before, and nothing is reported.
const REPORT_AFTER: Duration = Duration::from_millis(300);

/// Identity of a request across attempts: its path and body.
pub type RequestFingerprint = Fingerprint;

/// What one host has seen of a request that broke upstreams, for the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// The request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Upstreams that it broke.
    pub upstreams: Vec<Fingerprint>,
    /// Attempts in which it broke one.
    pub attempts: Vec<Fingerprint>,
}

#[derive(Debug)]
struct Suspect {
    /// Upstreams that the request broke.
    upstreams: Vec<Fingerprint>,
    /// Attempts in which it broke one.
    attempts: Vec<Fingerprint>,
    last: Instant,
    /// A disconnect that this host saw is not reported yet.
    is_unreported: bool,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        self.upstreams.len() >= CRASHES_PER_MARK && self.attempts.len() >= ATTEMPTS_PER_MARK
    }
}

/// Adds a value to a short list unless the list holds it or is full.
fn add_distinct(list: &mut Vec<Fingerprint>, value: Fingerprint, limit: usize) {
    if list.len() < limit && !list.contains(&value) {
        list.push(value);
    }
}

/// Requests that crash the upstreams that run them.
///
/// A request that was answered of late is never marked: upstreams that lose
/// answers break connections too.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_routing::{CrashTracker, RequestFingerprint};
/// use cornelwinch_types::Fingerprint;
///
/// let now = Instant::now();
/// let fingerprint = RequestFingerprint::of("/titles/", "");
/// let upstream = |name| Fingerprint::of("upstream", name);
/// let attempt = |id| Fingerprint::of("attempt", id);
/// let mut marks = CrashTracker::default();
/// assert!(!marks.record_disconnect(now, fingerprint, attempt("1"), upstream("a")));
/// assert!(!marks.record_disconnect(now, fingerprint, attempt("1"), upstream("b")));
/// assert!(marks.record_disconnect(now, fingerprint, attempt("2"), upstream("c")));
/// assert!(marks.is_quarantined(now, fingerprint));
/// ```
#[derive(Debug)]
pub struct CrashTracker {
    suspects: SortedMap<RequestFingerprint, Suspect>,
    /// Requests with the time of their last answer, by their slot.
    answered: Vec<Option<(RequestFingerprint, Instant)>>,
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            suspects: SortedMap::new(),
            answered: vec![None; ANSWER_SLOTS],
        }
    }
}

impl CrashTracker {
    /// Records that an upstream closed a connection on which the request ran in
    /// this attempt of a caller. Returns true if the request is now marked for the
    /// first time.
    pub fn record_disconnect(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        attempt: Fingerprint,
        upstream: Fingerprint,
    ) -> bool {
        let Some(suspect) = self.suspect(now, fingerprint) else {
            return false;
        };
        let was_marked = suspect.is_quarantined();
        suspect.is_unreported = true;
        add_distinct(&mut suspect.upstreams, upstream, CRASHES_PER_MARK);
        add_distinct(&mut suspect.attempts, attempt, ATTEMPTS_PER_MARK);
        suspect.is_quarantined() && !was_marked
    }

    /// Records what another host has seen. Returns true if the request is now
    /// marked for the first time.
    pub fn record_report(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Some(suspect) = self.suspect(now, report.fingerprint) else {
            return false;
        };
        let was_marked = suspect.is_quarantined();
        for upstream in &report.upstreams {
            add_distinct(&mut suspect.upstreams, *upstream, CRASHES_PER_MARK);
        }
        for attempt in &report.attempts {
            add_distinct(&mut suspect.attempts, *attempt, ATTEMPTS_PER_MARK);
        }
        suspect.is_quarantined() && !was_marked
    }

    /// Returns what other hosts are to know, each disconnect once.
    pub fn take_due_reports(&mut self, now: Instant) -> Vec<CrashReport> {
        let is_due = |suspect: &Suspect| {
            suspect.is_unreported && now.saturating_duration_since(suspect.last) >= REPORT_AFTER
        };
        let due = self.suspects.iter_mut().filter(|(_, s)| is_due(s));
        due.map(|(fingerprint, suspect)| {
            suspect.is_unreported = false;
            CrashReport {
                fingerprint: *fingerprint,
                upstreams: suspect.upstreams.clone(),
                attempts: suspect.attempts.clone(),
            }
        })
        .collect()
    }

    /// The suspect of a request, with what is too old forgotten; `None` if the
    /// request was answered of late or there are too many suspects.
    fn suspect(&mut self, now: Instant, fingerprint: RequestFingerprint) -> Option<&mut Suspect> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        let answered = self.answered[fingerprint.slot(ANSWER_SLOTS)];
        if answered.is_some_and(|(known, at)| known == fingerprint && is_recent(at)) {
            return None;
        }
        if self.suspects.len() >= REQUEST_LIMIT {
            self.suspects.retain(|_, suspect| is_recent(suspect.last));
            if self.suspects.len() >= REQUEST_LIMIT {
                return None;
            }
        }
        let suspect = self.suspects.get_or_insert_with(fingerprint, || Suspect {
            upstreams: Vec::new(),
            attempts: Vec::new(),
            last: now,
            is_unreported: false,
        });
        if !is_recent(suspect.last) {
            suspect.upstreams.clear();
            suspect.attempts.clear();
        }
        suspect.last = now;
        Some(suspect)
    }

    /// Records an answer, which clears the request of suspicion.
    pub fn record_answer(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        self.suspects.remove(&fingerprint);
        self.answered[fingerprint.slot(ANSWER_SLOTS)] = Some((fingerprint, now));
    }

    /// Reports whether the request must not be sent.
    pub fn is_quarantined(&self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        self.suspects
            .get(&fingerprint)
            .is_some_and(|s| s.is_quarantined() && now.saturating_duration_since(s.last) < MEMORY)
    }
}
