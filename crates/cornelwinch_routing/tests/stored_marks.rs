//! Marks of requests that crash upstreams, as they are kept in the store.

use std::time::{Duration, Instant};

use cornelwinch_routing::{CrashTracker, MarkChange, RequestFingerprint, StoredMarks};
use cornelwinch_types::Fingerprint;

fn crash(tracker: &mut CrashTracker, now: Instant, request: RequestFingerprint) {
    for name in ["a", "b", "c"] {
        let print = Fingerprint::of("upstream", name);
        tracker.record_disconnect(now, request, print, print);
    }
}

/// Guards against marks that are written again while nothing changes, and against marks that stay
/// in the store after the quarantine has ended.
#[test]
fn written_once_and_removed() {
    let now = Instant::now();
    let request = RequestFingerprint::of("/titles/", "");
    let mut tracker = CrashTracker::default();
    let mut stored = StoredMarks::default();
    crash(&mut tracker, now, request);
    let marks = tracker.quarantined(now);
    assert_eq!(
        stored.changes(&marks),
        [MarkChange::Write(marks[0].clone())]
    );
    stored.record_stored(&marks[0]);
    assert_eq!(stored.changes(&tracker.quarantined(now)), []);

    tracker.record_answer(now, request);
    let changes = stored.changes(&tracker.quarantined(now));
    assert_eq!(changes, [MarkChange::Remove(request)]);
    stored.record_removed(request);
    assert_eq!(stored.changes(&[]), []);
}

/// Guards against a restart that shortens a quarantine which was released without an answer.
#[test]
fn longer_quarantine_is_written_again() {
    let now = Instant::now();
    let request = RequestFingerprint::of("/titles/", "");
    let mut tracker = CrashTracker::default();
    let mut stored = StoredMarks::default();
    crash(&mut tracker, now, request);
    stored.record_stored(&tracker.quarantined(now)[0]);
    let released_at = now + Duration::from_secs(60);
    assert!(tracker.admit(released_at, request));
    let marks = tracker.quarantined(released_at);
    assert_eq!(
        stored.changes(&marks),
        [MarkChange::Write(marks[0].clone())]
    );

    let mut restarted = CrashTracker::default();
    restarted.record_report(released_at, &marks[0]);
    let before_end = released_at + Duration::from_secs(60 * 8 - 1);
    assert!(restarted.is_quarantined(before_end, request));
}

/// Guards against a store that is filled with marks while links fail.
#[test]
fn number_of_marks_is_bounded() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let mut stored = StoredMarks::default();
    for n in 0..2_000 {
        let request = RequestFingerprint::of("/titles/", &n.to_string());
        crash(&mut tracker, now, request);
    }
    let marks = tracker.quarantined(now);
    assert_eq!(marks.len(), 2_000);
    let changes = stored.changes(&marks);
    assert_eq!(changes.len(), 1_024);
    for mark in &marks[..1_024] {
        stored.record_stored(mark);
    }
    assert_eq!(stored.changes(&marks), []);
}
