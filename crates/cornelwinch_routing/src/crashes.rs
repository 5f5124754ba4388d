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

/// Time after which a disconnect or an answer expires, and for which a request stays quarantined
/// after it was last seen.
const RECORD_TTL: Duration = Duration::from_secs(60);

/// Factor by which each release that ended without an answer prolongs the quarantine. The third
/// release is over an hour after the first mark.
const HOLD_FACTOR: u32 = 8;

/// Number of releases that prolong the quarantine.
const MAX_RELEASES: u32 = 3;

/// Time in which only one host may release a request whose quarantine has ended; the hosts take
/// turns. A host releases in the first half of its turn, so that the others know of it at the start
/// of the next one: the delay and interval of reports, and the way through a source.
const RELEASE_TURN: Duration = Duration::from_secs(3);

/// Time after the end of a quarantine at which it is forgotten.
const MARK_TTL: Duration = Duration::from_secs(3_600);

/// Time after which the first host tells the others again that it sees a quarantined request. A
/// host that was told does not repeat it, so the rate hardly grows with the number of hosts.
const SEEN_INTERVAL: Duration = Duration::from_secs(10);

/// Time by which each further host waits longer, which is how long a report takes.
const SEEN_STEP: Duration = Duration::from_secs(1);

/// Number of steps by which a host waits at most. A request that keeps coming at one host is
/// reported within [`RECORD_TTL`] whatever its interval.
const MAX_SEEN_STEPS: u32 = 15;

/// Maximum number of marks that a new host gets.
const MAX_COPIED_MARKS: usize = 1_024;

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
    /// Time since the request was last seen.
    #[serde(default)]
    pub age_ms: u64,
    /// Number of times that the quarantine was released without an answer.
    #[serde(default)]
    pub releases: u32,
    /// True if an upstream has answered the request, which ends the quarantine.
    #[serde(default)]
    pub is_answered: bool,
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
    /// Number of times that the quarantine was released without an answer.
    releases: u32,
    /// True if a disconnect on this host has not been reported yet.
    is_unreported: bool,
}

impl Suspect {
    fn is_quarantined(&self) -> bool {
        let attempts = self.attempts.len();
        self.upstreams.len() >= QUARANTINE_UPSTREAMS && attempts >= QUARANTINE_ATTEMPTS
            || self.cuts.len() >= QUARANTINE_CUTS && attempts >= QUARANTINE_CUT_ATTEMPTS
    }

    /// Returns the time for which the request is refused after it was last seen.
    fn hold(&self) -> Duration {
        RECORD_TTL * HOLD_FACTOR.pow(self.releases.min(MAX_RELEASES))
    }

    fn is_expired(&self, now: Instant) -> bool {
        let ttl = if self.is_quarantined() {
            self.hold() + MARK_TTL
        } else {
            RECORD_TTL
        };
        now.saturating_duration_since(self.last) >= ttl
    }

    fn report(&self, now: Instant, fingerprint: RequestFingerprint) -> CrashReport {
        let age = now.saturating_duration_since(self.last);
        CrashReport {
            fingerprint,
            upstreams: self.upstreams.clone(),
            attempts: self.attempts.clone(),
            cuts: self.cuts.clone(),
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            releases: self.releases,
            is_answered: false,
        }
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
    /// Requests that were answered after a release, not yet reported as such.
    cleared: Vec<RequestFingerprint>,
    /// Place of this host among all hosts, and their number.
    place: (usize, usize),
}

impl Default for CrashTracker {
    fn default() -> Self {
        Self {
            suspects: SortedMap::new(),
            answered: vec![None; ANSWER_SLOTS],
            cleared: Vec::new(),
            place: (0, 1),
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
        self.record_loss(now, fingerprint, attempt, upstream, false)
    }

    /// Formats what is known of a request as key=value pairs for the log.
    pub fn describe(&self, fingerprint: RequestFingerprint) -> String {
        let suspect = self.suspects.get(&fingerprint);
        let count = |list: fn(&Suspect) -> usize| suspect.map_or(0, list);
        format!(
            "crashes={} cuts={} attempts={} releases={} quarantined={}",
            count(|s| s.upstreams.len()),
            count(|s| s.cuts.len()),
            count(|s| s.attempts.len()),
            count(|s| s.releases as usize),
            suspect.is_some_and(Suspect::is_quarantined)
        )
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
        self.record_loss(now, fingerprint, attempt, upstream, true)
    }

    fn record_loss(
        &mut self,
        now: Instant,
        fingerprint: RequestFingerprint,
        attempt: Fingerprint,
        upstream: Fingerprint,
        has_crashed: bool,
    ) -> bool {
        let Some(suspect) = self.suspect(now, fingerprint) else {
            return false;
        };
        let was_quarantined = suspect.is_quarantined();
        suspect.is_unreported = true;
        if has_crashed {
            add_distinct(&mut suspect.upstreams, upstream, QUARANTINE_UPSTREAMS);
        }
        add_distinct(&mut suspect.cuts, upstream, QUARANTINE_CUTS);
        add_distinct(&mut suspect.attempts, attempt, QUARANTINE_CUT_ATTEMPTS);
        suspect.is_quarantined() && !was_quarantined
    }

    /// Records the report of another host. Returns true if this puts the request in
    /// quarantine.
    pub fn record_report(&mut self, now: Instant, report: &CrashReport) -> bool {
        if report.is_answered {
            self.suspects.remove(&report.fingerprint);
            self.set_answered(now, report.fingerprint);
            return false;
        }
        let age = Duration::from_millis(report.age_ms);
        // An age beyond the start of the clock comes from a faulty host.
        let Some(seen) = now.checked_sub(age) else {
            return false;
        };
        let Some(suspect) = self.suspect_at(now, seen, report.fingerprint) else {
            return false;
        };
        let was_quarantined = suspect.is_quarantined();
        suspect.releases = suspect.releases.max(report.releases.min(MAX_RELEASES));
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
    /// after another disconnect on this host, or if it is quarantined and still seen.
    pub fn take_due_reports(&mut self, now: Instant) -> Vec<CrashReport> {
        let is_due = |suspect: &Suspect| {
            suspect.is_unreported && now.saturating_duration_since(suspect.last) >= REPORT_DELAY
        };
        let cleared = self.cleared.drain(..).map(|fingerprint| CrashReport {
            fingerprint,
            upstreams: Vec::new(),
            attempts: Vec::new(),
            cuts: Vec::new(),
            age_ms: 0,
            releases: 0,
            is_answered: true,
        });
        let mut reports: Vec<CrashReport> = cleared.collect();
        let due = self.suspects.iter_mut().filter(|(_, s)| is_due(s));
        reports.extend(due.map(|(fingerprint, suspect)| {
            suspect.is_unreported = false;
            suspect.report(now, *fingerprint)
        }));
        reports
    }

    /// Makes reports due again that reached no other host.
    pub fn restore_reports(&mut self, reports: &[CrashReport]) {
        for report in reports {
            if report.is_answered {
                self.cleared.push(report.fingerprint);
            } else if let Some(suspect) = self.suspects.get_mut(&report.fingerprint) {
                suspect.is_unreported = true;
            }
        }
    }

    /// Returns reports of the requests that were seen last, for a host that has just started.
    pub fn copy_marks(&self, now: Instant) -> Vec<CrashReport> {
        let live = self.suspects.iter().filter(|(_, s)| !s.is_expired(now));
        let mut marks: Vec<CrashReport> = live.map(|(f, s)| s.report(now, *f)).collect();
        marks.sort_by_key(|mark| mark.age_ms);
        marks.truncate(MAX_COPIED_MARKS);
        marks
    }

    /// Returns the quarantined requests, sorted by fingerprint.
    pub fn quarantined(&self, now: Instant) -> Vec<CrashReport> {
        self.suspects
            .iter()
            .filter(|(_, suspect)| suspect.is_quarantined() && !suspect.is_expired(now))
            .map(|(fingerprint, suspect)| suspect.report(now, *fingerprint))
            .collect()
    }

    /// Sets the place of this host in an order of all hosts, and their number. It decides which
    /// host first releases a request whose quarantine ends on all hosts at once.
    pub fn set_place(&mut self, place: usize, hosts: usize) {
        self.place = (place, hosts.max(1));
    }

    fn suspect(&mut self, now: Instant, fingerprint: RequestFingerprint) -> Option<&mut Suspect> {
        self.suspect_at(now, now, fingerprint)
    }

    /// Returns the suspect of a request without its expired records; `None` if the
    /// request was recently answered or there are too many suspects.
    fn suspect_at(
        &mut self,
        now: Instant,
        seen: Instant,
        fingerprint: RequestFingerprint,
    ) -> Option<&mut Suspect> {
        if self.was_answered(now, fingerprint) {
            return None;
        }
        if self.suspects.len() >= MAX_SUSPECTS {
            self.suspects.retain(|_, suspect| !suspect.is_expired(now));
            if self.suspects.len() >= MAX_SUSPECTS {
                return None;
            }
        }
        let suspect = self.suspects.get_or_insert_with(fingerprint, || Suspect {
            upstreams: Vec::new(),
            attempts: Vec::new(),
            cuts: Vec::new(),
            last: seen,
            releases: 0,
            is_unreported: false,
        });
        if suspect.is_expired(now) {
            suspect.releases = 0;
            suspect.upstreams.clear();
            suspect.attempts.clear();
            suspect.cuts.clear();
        }
        suspect.last = suspect.last.max(seen);
        Some(suspect)
    }

    /// Returns true if an upstream has recently answered the request, as far as is known here.
    pub fn was_answered(&self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        let answered = self.answered[fingerprint.slot(ANSWER_SLOTS)];
        answered.is_some_and(|(known, at)| {
            known == fingerprint && now.saturating_duration_since(at) < RECORD_TTL
        })
    }

    /// Records an answer and removes the request from the suspects. Returns true if it was one.
    pub fn record_answer(&mut self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.remove(&fingerprint);
        self.set_answered(now, fingerprint);
        let Some(suspect) = suspect else {
            return false;
        };
        if suspect.releases > 0 {
            self.cleared.push(fingerprint);
        }
        true
    }

    fn set_answered(&mut self, now: Instant, fingerprint: RequestFingerprint) {
        self.answered[fingerprint.slot(ANSWER_SLOTS)] = Some((fingerprint, now));
    }

    /// Reports whether the request is in quarantine and must not be sent.
    pub fn is_quarantined(&self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.suspects.get(&fingerprint);
        suspect.is_some_and(|s| {
            s.is_quarantined() && !s.is_expired(now) && !self.may_release(now, fingerprint, s)
        })
    }

    /// Returns the place of this host in the order in which hosts release this request.
    fn turn(&self, fingerprint: RequestFingerprint) -> usize {
        let (place, hosts) = self.place;
        (place + hosts - fingerprint.slot(hosts)) % hosts
    }

    /// Returns true if the quarantine has ended and it is this host's turn to release the request.
    fn may_release(
        &self,
        now: Instant,
        fingerprint: RequestFingerprint,
        suspect: &Suspect,
    ) -> bool {
        let age = now.saturating_duration_since(suspect.last);
        let Some(over) = age.checked_sub(suspect.hold()) else {
            return false;
        };
        let turn_ms = RELEASE_TURN.as_millis();
        let turn = over.as_millis() / turn_ms % self.place.1 as u128;
        turn == self.turn(fingerprint) as u128 && over.as_millis() % turn_ms < turn_ms / 2
    }

    /// Decides whether a caller's attempt may be sent. A quarantine that has ended lets one attempt
    /// through and holds for longer until an upstream has answered it.
    pub fn admit(&mut self, now: Instant, fingerprint: RequestFingerprint) -> bool {
        let Some(suspect) = self.suspects.get(&fingerprint) else {
            return true;
        };
        if !suspect.is_quarantined() || suspect.is_expired(now) {
            return true;
        }
        let is_released = self.may_release(now, fingerprint, suspect);
        let steps = u32::try_from(self.turn(fingerprint)).unwrap_or(u32::MAX);
        let seen_interval = SEEN_INTERVAL + SEEN_STEP * steps.min(MAX_SEEN_STEPS);
        let age = now.saturating_duration_since(suspect.last);
        let is_seen_again = age >= seen_interval && age < suspect.hold();
        if let Some(suspect) = self.suspects.get_mut(&fingerprint)
            && (is_released || is_seen_again)
        {
            suspect.releases = (suspect.releases + u32::from(is_released)).min(MAX_RELEASES);
            suspect.last = now;
            suspect.is_unreported = true;
        }
        is_released
    }
}
