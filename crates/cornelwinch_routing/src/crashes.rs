use std::time::{Duration, Instant};

use cornelwinch_types::{Fingerprint, SortedMap};
use serde::{Deserialize, Serialize};

/// Number of different upstreams that must disconnect before a request is quarantined
/// as the cause of their crashes.
const QUARANTINE_UPSTREAMS: usize = 3;

/// Number of callers' attempts with disconnects before a request is quarantined. Legs
/// of one attempt can meet several upstreams that lose answers.
const QUARANTINE_ATTEMPTS: usize = 2;

/// Number of different upstreams that must end connections, whether they crashed or not, before a
/// request is quarantined. An attempt that is cut and leaves no answer has mostly lost two legs, so
/// faulty upstreams or links do this to 3 requests in 10 million if they cut 5 in 100 answers.
const QUARANTINE_CUTS: usize = 4;

/// Number of callers' attempts that must be cut in that case. At most one attempt reaches
/// upstreams after the one that causes the third crash, if each reaches another upstream.
const QUARANTINE_CUT_ATTEMPTS: usize = 3;

/// Time after which a disconnect, a quarantine or an answer expires.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Maximum number of suspects.
const MAX_SUSPECTS: usize = 4_096;

/// Entries of the table of answered requests, 32 bytes each: half a minute of 200
/// requests a second. A newer answer replaces an older one in its slot.
const ANSWER_SLOTS: usize = 8_192;

/// Time without an answer after which a disconnect is reported to other hosts. If an
/// upstream loses an answer, another one usually answers within this time and nothing
/// is reported.
const REPORT_DELAY: Duration = Duration::from_millis(300);

/// Hash of a request's path and body, which is the same in all attempts.
pub type RequestFingerprint = Fingerprint;

/// Disconnects caused by one request, as reported by one host to the others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Fingerprint of the request.
    #[serde(rename = "print")]
    pub fingerprint: RequestFingerprint,
    /// Upstreams that disconnected while they ran the request.
    pub upstreams: Vec<Fingerprint>,
    /// Attempts in which an upstream disconnected.
    pub attempts: Vec<Fingerprint>,
    /// Upstreams whose connection ended before the end of the answer; includes `upstreams`.
    #[serde(default)]
    pub cuts: Vec<Fingerprint>,
}

#[derive(Debug)]
struct Suspect {
    /// Upstreams that disconnected while they ran the request.
    upstreams: Vec<Fingerprint>,
    /// Attempts in which an upstream disconnected.
    attempts: Vec<Fingerprint>,
    /// Upstreams whose connection ended before the end of the answer.
    cuts: Vec<Fingerprint>,
    last: Instant,
    /// True if a disconnect on this host has not been reported yet.
    is_unreported: bool,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        let attempts = self.attempts.len();
        self.upstreams.len() >= QUARANTINE_UPSTREAMS && attempts >= QUARANTINE_ATTEMPTS
            || self.cuts.len() >= QUARANTINE_CUTS && attempts >= QUARANTINE_CUT_ATTEMPTS
    }
}

/// Adds a value to a list unless the list contains it or has `limit` entries.
fn add_distinct(list: &mut Vec<Fingerprint>, value: Fingerprint, limit: usize) {
    if list.len() < limit && !list.contains(&value) {
        list.push(value);
    }
}

/// Detects requests that crash the upstreams that run them, and quarantines them.
///
/// A recently answered request is never quarantined, because an upstream that loses an
/// answer also closes the connection.
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
/// let mut tracker = CrashTracker::default();
/// assert!(!tracker.record_disconnect(now, fingerprint, attempt("1"), upstream("a")));
/// assert!(!tracker.record_disconnect(now, fingerprint, attempt("1"), upstream("b")));
/// assert!(tracker.record_disconnect(now, fingerprint, attempt("2"), upstream("c")));
/// assert!(tracker.is_quarantined(now, fingerprint));
/// ```
#[derive(Debug)]
pub struct CrashTracker {
    suspects: SortedMap<RequestFingerprint, Suspect>,
    /// Answered requests and the time of their last answer, indexed by slot.
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
    /// Records that a connection on which the request ran in this attempt of a caller ended before
    /// the end of the answer. Faulty upstreams and broken links cause that as well. Returns true if
    /// this puts the request in quarantine.
    pub fn record_cut(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        attempt: Fingerprint,
        upstream: Fingerprint,
    ) -> bool {
        let Some(suspect) = self.suspect(now, fingerprint) else {
            return false;
        };
        let was_quarantined = suspect.is_quarantined();
        suspect.is_unreported = true;
        add_distinct(&mut suspect.cuts, upstream, QUARANTINE_CUTS);
        add_distinct(&mut suspect.attempts, attempt, QUARANTINE_CUT_ATTEMPTS);
        suspect.is_quarantined() && !was_quarantined
    }

    /// Returns true if the request was cut and has not been answered since.
    pub fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some()
    }

    /// Records that an upstream crashed while it ran the request in this attempt of a
    /// caller. Returns true if this puts the request in quarantine.
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
        let was_quarantined = suspect.is_quarantined();
        suspect.is_unreported = true;
        add_distinct(&mut suspect.upstreams, upstream, QUARANTINE_UPSTREAMS);
        add_distinct(&mut suspect.cuts, upstream, QUARANTINE_CUTS);
        add_distinct(&mut suspect.attempts, attempt, QUARANTINE_CUT_ATTEMPTS);
        suspect.is_quarantined() && !was_quarantined
    }

    /// Records the report of another host. Returns true if this puts the request in
    /// quarantine.
    pub fn record_report(&mut self, now: Instant, report: &CrashReport) -> bool {
        let Some(suspect) = self.suspect(now, report.fingerprint) else {
            return false;
        };
        let was_quarantined = suspect.is_quarantined();
        for upstream in &report.upstreams {
            add_distinct(&mut suspect.upstreams, *upstream, QUARANTINE_UPSTREAMS);
        }
        for attempt in &report.attempts {
            add_distinct(&mut suspect.attempts, *attempt, QUARANTINE_CUT_ATTEMPTS);
        }
        for upstream in report.cuts.iter().chain(&report.upstreams) {
            add_distinct(&mut suspect.cuts, *upstream, QUARANTINE_CUTS);
        }
        suspect.is_quarantined() && !was_quarantined
    }

    /// Returns the reports that are due for other hosts. A request is reported again only
    /// after another disconnect on this host.
    pub fn take_due_reports(&mut self, now: Instant) -> Vec<CrashReport> {
        let is_due = |suspect: &Suspect| {
            suspect.is_unreported && now.saturating_duration_since(suspect.last) >= REPORT_DELAY
        };
        let due = self.suspects.iter_mut().filter(|(_, s)| is_due(s));
        due.map(|(fingerprint, suspect)| {
            suspect.is_unreported = false;
            CrashReport {
                fingerprint: *fingerprint,
                upstreams: suspect.upstreams.clone(),
                attempts: suspect.attempts.clone(),
                cuts: suspect.cuts.clone(),
            }
        })
        .collect()
    }

    /// Returns the suspect of a request without its expired records; `None` if the
    /// request was recently answered or there are too many suspects.
    fn suspect(&mut self, now: Instant, fingerprint: RequestFingerprint) -> Option<&mut Suspect> {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < RECORD_TTL;
        let answered = self.answered[fingerprint.slot(ANSWER_SLOTS)];
        if answered.is_some_and(|(known, at)| known == fingerprint && is_recent(at)) {
            return None;
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| is_recent(suspect.last));
            if self.suspects.len() >= MAX_SUSPECTS {
                return None;
            }
        }
        let suspect = self.suspects.get_or_insert_with(fingerprint, || Suspect {
            upstreams: Vec::new(),
            attempts: Vec::new(),
            cuts: Vec::new(),
            last: now,
            is_unreported: false,
        });
        if !is_recent(suspect.last) {
            suspect.upstreams.clear();
            suspect.attempts.clear();
            suspect.cuts.clear();
        }
        suspect.last = now;
        Some(suspect)
    }

    /// Records an answer and removes the request from the suspects.
    pub fn record_answer(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        self.suspects.remove(&fingerprint);
        self.answered[fingerprint.slot(ANSWER_SLOTS)] = Some((fingerprint, now));
    }

    /// Reports whether the request is in quarantine and must not be sent.
    pub fn is_quarantined(&self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        self.suspects.get(&fingerprint).is_some_and(|s| {
            s.is_quarantined() && now.saturating_duration_since(s.last) < RECORD_TTL
        })
    }
}
