use std::time::{Duration, Instant};

use cornelwinch_types::SortedMap;

use crate::{CrashReport, RequestFingerprint};

/// Maximum number of marks that are stored. Requests that crash upstreams are rare; more marks than
/// this come from faulty links.
const MAX_STORED_MARKS: usize = 1_024;

/// Number of hosts that write a change at once. One of them may fail.
const FIRST_WRITERS: usize = 2;

/// Time after which the next hosts write a change that the store does not hold yet.
const WRITER_STEP: Duration = Duration::from_secs(5);

/// A change to the marks in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MarkChange {
    /// Creates or replaces the mark of a request.
    Write(CrashReport),
    /// Removes the mark of a request.
    Remove(RequestFingerprint),
}

impl MarkChange {
    fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Write(mark) => mark.fingerprint,
            Self::Remove(fingerprint) => *fingerprint,
        }
    }
}

/// Marks of quarantined requests that are known to be in the store, where they outlive all
/// processes.
///
/// Only what lengthens the quarantine is written again, not each time that the request is seen. The
/// first hosts in an order that all share write a change at once. The others wait, and have mostly
/// read it from the store by then, so that the calls do not grow with the number of hosts.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_routing::{CrashTracker, MarkChange, StoredMarks};
///
/// let now = Instant::now();
/// let marks = CrashTracker::default().quarantined(now);
/// assert_eq!(StoredMarks::default().take_due_changes(now, &marks, 0), []);
/// ```
#[derive(Debug, Default)]
pub struct StoredMarks {
    /// Number of releases with which each mark is stored.
    releases: SortedMap<RequestFingerprint, u32>,
    /// Time since which a change has been missing from the store.
    missing_since: SortedMap<RequestFingerprint, Instant>,
}

impl StoredMarks {
    /// Place of a host that does not write at once, but after one step.
    pub const LATE_PLACE: usize = FIRST_WRITERS;

    /// Reports whether no mark is known to be stored.
    pub fn is_empty(&self) -> bool {
        self.releases.is_empty()
    }

    /// Records that a mark was read from the store or written to it. Returns true if it was not
    /// known to be stored like this.
    pub fn record_stored(&mut self, mark: &CrashReport) -> bool {
        let known = self.releases.insert(mark.fingerprint, mark.releases);
        known != Some(mark.releases)
    }

    /// Records that a mark was removed from the store.
    pub fn record_removed(&mut self, fingerprint: RequestFingerprint) {
        self.releases.remove(&fingerprint);
    }

    /// Returns the changes that this host has to write now. `place` is its place in the order of the
    /// hosts that follow the store; the quarantined requests are sorted by fingerprint.
    pub fn take_due_changes(
        &mut self,
        now: Instant,
        quarantined: &[CrashReport],
        place: usize,
    ) -> Vec<MarkChange> {
        let steps = u32::try_from(place / FIRST_WRITERS).unwrap_or(u32::MAX);
        let delay = WRITER_STEP.saturating_mul(steps);
        let mut changes = self.changes(quarantined);
        let mut missing_since = SortedMap::new();
        changes.retain(|change| {
            let fingerprint = change.fingerprint();
            let since = self.missing_since.get(&fingerprint).copied().unwrap_or(now);
            missing_since.insert(fingerprint, since);
            now.saturating_duration_since(since) >= delay
        });
        self.missing_since = missing_since;
        changes
    }

    /// Returns the changes that bring the store in line with the quarantined requests.
    fn changes(&self, quarantined: &[CrashReport]) -> Vec<MarkChange> {
        let room = MAX_STORED_MARKS.saturating_sub(self.releases.len());
        let is_known = |mark: &&CrashReport| self.releases.get(&mark.fingerprint).is_some();
        let (known, new): (Vec<_>, Vec<_>) = quarantined.iter().partition(is_known);
        let longer = known
            .iter()
            .filter(|mark| self.releases.get(&mark.fingerprint) < Some(&mark.releases));
        let ended = self.releases.keys().filter(|fingerprint| {
            let found = quarantined.binary_search_by_key(*fingerprint, |mark| mark.fingerprint);
            found.is_err()
        });
        new.iter()
            .take(room)
            .chain(longer)
            .map(|mark| MarkChange::Write((**mark).clone()))
            .chain(ended.map(|fingerprint| MarkChange::Remove(*fingerprint)))
            .collect()
    }
}
