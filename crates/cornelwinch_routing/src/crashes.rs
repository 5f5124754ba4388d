use std::time::{Duration, Instant};

use cornelwinch_types::{Fingerprint, SortedMap};

/// Disconnects on different upstreams after which a request is taken for the
/// cause of their crashes.
const CRASHES_PER_MARK: usize = 3;

/// Attempts of callers in which the request broke upstreams before it is marked.
/// Legs of one attempt can meet several upstreams that lose answers.
const ATTEMPTS_PER_MARK: usize = 2;

/// Time after which a disconnect, a mark or an answer is forgotten.
const MEMORY: Duration = Duration::from_secs(60);

/// Largest number of requests that are remembered, of each kind.
const REQUEST_LIMIT: usize = 4_096;

/// Identity of a request across attempts: its path and body.
pub type RequestPrint = Fingerprint;

#[derive(Debug)]
struct Suspect {
    /// Upstreams that the request broke.
    upstreams: Vec<u64>,
    /// Attempts in which it broke one.
    attempts: Vec<u64>,
    last: Instant,
}

impl Suspect {
    fn is_marked(&self) -> bool {
        self.upstreams.len() >= CRASHES_PER_MARK && self.attempts.len() >= ATTEMPTS_PER_MARK
    }
}

/// Adds a value to a short list unless the list holds it or is full.
fn add_distinct(list: &mut Vec<u64>, value: u64, limit: usize) {
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
/// use cornelwinch_routing::{CrashMarks, RequestPrint};
///
/// let now = Instant::now();
/// let print = RequestPrint::of("/titles/", "");
/// let mut marks = CrashMarks::default();
/// let (first_attempt, second_attempt) = (1, 2);
/// assert!(!marks.record_disconnect(now, print, first_attempt, 1));
/// assert!(!marks.record_disconnect(now, print, first_attempt, 2));
/// assert!(marks.record_disconnect(now, print, second_attempt, 3));
/// assert!(marks.is_marked(now, print));
/// ```
#[derive(Debug, Default)]
pub struct CrashMarks {
    suspects: SortedMap<RequestPrint, Suspect>,
    /// Time of the last answer.
    answered: SortedMap<RequestPrint, Instant>,
}

impl CrashMarks {
    /// Records that an upstream closed a connection on which the request ran in
    /// this attempt of a caller. Returns true if the request is now marked for the
    /// first time.
    pub fn record_disconnect(
        &mut self,
        now: Instant,
        print: RequestPrint,
        attempt: u64,
        upstream: u64,
    ) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < MEMORY;
        if self.answered.get(&print).is_some_and(|at| is_recent(*at)) {
            return false;
        }
        if self.suspects.len() >= REQUEST_LIMIT {
            self.suspects.retain(|_, suspect| is_recent(suspect.last));
            if self.suspects.len() >= REQUEST_LIMIT {
                return false;
            }
        }
        let suspect = self.suspects.get_or_insert_with(print, || Suspect {
            upstreams: Vec::new(),
            attempts: Vec::new(),
            last: now,
        });
        if !is_recent(suspect.last) {
            suspect.upstreams.clear();
            suspect.attempts.clear();
        }
        suspect.last = now;
        let was_marked = suspect.is_marked();
        add_distinct(&mut suspect.upstreams, upstream, CRASHES_PER_MARK);
        add_distinct(&mut suspect.attempts, attempt, ATTEMPTS_PER_MARK);
        suspect.is_marked() && !was_marked
    }

    /// Records an answer, which clears the request of suspicion.
    pub fn record_answer(&mut self, now: Instant, print: RequestPrint) {
        self.suspects.remove(&print);
        if self.answered.len() >= REQUEST_LIMIT {
            self.answered
                .retain(|_, at| now.saturating_duration_since(*at) < MEMORY / 2);
            if self.answered.len() >= REQUEST_LIMIT {
                return;
            }
        }
        self.answered.insert(print, now);
    }

    /// Reports whether the request must not be sent.
    pub fn is_marked(&self, now: Instant, print: RequestPrint) -> bool {
        self.suspects
            .get(&print)
            .is_some_and(|s| s.is_marked() && now.saturating_duration_since(s.last) < MEMORY)
    }
}
