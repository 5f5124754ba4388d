use cornelwinch_types::SortedMap;

use crate::{CrashReport, RequestFingerprint};

/// Maximum number of marks that are stored. Requests that crash upstreams are rare; more marks than
/// this come from faulty links.
const MAX_STORED_MARKS: usize = 1_024;

/// A change to the marks in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MarkChange {
    /// Creates or replaces the mark of a request.
    Write(CrashReport),
    /// Removes the mark of a request.
    Remove(RequestFingerprint),
}

/// Marks of quarantined requests that are known to be in the store, where they outlive all
/// processes.
///
/// Only what lengthens the quarantine is written again, not each time that the request is seen.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_routing::{CrashTracker, MarkChange, StoredMarks};
///
/// let marks = CrashTracker::default().quarantined(Instant::now());
/// assert_eq!(StoredMarks::default().changes(&marks), []);
/// ```
#[derive(Debug, Default)]
pub struct StoredMarks {
    /// Number of releases with which each mark is stored.
    releases: SortedMap<RequestFingerprint, u32>,
}

impl StoredMarks {
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

    /// Returns the changes that bring the store in line with the requests that are quarantined, which
    /// are sorted by fingerprint.
    pub fn changes(&self, quarantined: &[CrashReport]) -> Vec<MarkChange> {
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
