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
        stored.take_due_changes(now, &marks, 0),
        [MarkChange::Write(marks[0].clone())]
    );
    stored.record_stored(&marks[0]);
    assert_eq!(
        stored.take_due_changes(now, &tracker.quarantined(now), 0),
        []
    );

    tracker.record_answer(now, request);
    let changes = stored.take_due_changes(now, &tracker.quarantined(now), 0);
    assert_eq!(changes, [MarkChange::Remove(request)]);
    stored.record_removed(request);
    assert_eq!(stored.take_due_changes(now, &[], 0), []);
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
        stored.take_due_changes(now, &marks, 0),
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
    let changes = stored.take_due_changes(now, &marks, 0);
    assert_eq!(changes.len(), 1_024);
    for mark in &marks[..1_024] {
        stored.record_stored(mark);
    }
    assert_eq!(stored.take_due_changes(now, &marks, 0), []);
}

/// Guards against as many writes of a mark as there are hosts that follow the store, and against a
/// mark that nobody writes because the first hosts have failed.
#[test]
fn later_hosts_write_later() {
    let now = Instant::now();
    let request = RequestFingerprint::of("/titles/", "");
    let mut tracker = CrashTracker::default();
    crash(&mut tracker, now, request);
    let marks = tracker.quarantined(now);
    let count_writes = |place: usize, is_read: bool| {
        let mut stored = StoredMarks::default();
        (0..10)
            .map(|second| {
                if is_read && second == 4 {
                    stored.record_stored(&marks[0]);
                }
                let at = now + Duration::from_secs(second);
                let changes = stored.take_due_changes(at, &marks, place);
                changes.iter().for_each(|_| {
                    stored.record_stored(&marks[0]);
                });
                changes.len()
            })
            .sum::<usize>()
    };
    assert_eq!(
        [0, 1, 2, 164].map(|place| count_writes(place, true)),
        [1, 1, 0, 0]
    );
    assert_eq!([2, 3, 4].map(|place| count_writes(place, false)), [1, 1, 0]);
}
