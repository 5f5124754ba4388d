//! Requests that crash upstreams, told apart from upstreams that lose answers.

use std::time::{Duration, Instant};

use cornelwinch_routing::{CrashTracker, RequestFingerprint};
use cornelwinch_types::Fingerprint;

fn upstream(n: u64) -> Fingerprint {
    Fingerprint::of("upstream", &n.to_string())
}

fn attempt(n: u64) -> Fingerprint {
    Fingerprint::of("attempt", &n.to_string())
}

/// Guards against proper requests that are refused because many upstreams lose
/// answers at the same time.
#[test]
fn answered_request_is_not_marked() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut marks = CrashTracker::default();
    marks.record_answer(now, fingerprint);
    for n in 0..20 {
        assert!(!marks.record_disconnect(now, fingerprint, attempt(n), upstream(n)));
    }
    assert!(!marks.is_quarantined(now, fingerprint));
}

/// Guards against answers that a busy host no longer remembers, so that proper
/// requests are refused.
#[test]
fn answers_are_remembered_under_load() {
    let now = Instant::now();
    let mut marks = CrashTracker::default();
    for n in 0..20_000 {
        marks.record_answer(now, RequestFingerprint::of("/titles/", &n.to_string()));
    }
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    marks.record_answer(now, fingerprint);
    for n in 0..20 {
        assert!(!marks.record_disconnect(now, fingerprint, attempt(n), upstream(n)));
    }
}

/// Guards against a request that is sent on after it crashed three upstreams,
/// and against one upstream that counts twice.
#[test]
fn third_upstream_marks_the_request() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut marks = CrashTracker::default();
    for n in [1, 1, 2, 2] {
        assert!(!marks.record_disconnect(now, fingerprint, attempt(n), upstream(n)));
    }
    assert!(marks.record_disconnect(now, fingerprint, attempt(3), upstream(3)));
    assert!(marks.is_quarantined(now, fingerprint));
    assert!(!marks.is_quarantined(now, RequestFingerprint::of("/titles/30", "")));
    assert!(!marks.is_quarantined(now + Duration::from_secs(60), fingerprint));
}

/// Guards against a proper request that is refused because several legs of its
/// first attempt met upstreams that lose answers.
#[test]
fn one_attempt_does_not_mark() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut marks = CrashTracker::default();
    for n in 0..10 {
        assert!(!marks.record_disconnect(now, fingerprint, attempt(1), upstream(n)));
    }
    assert!(!marks.is_quarantined(now, fingerprint));
    assert!(marks.record_disconnect(now, fingerprint, attempt(2), upstream(1)));
}

/// Guards against a request that crashes upstreams through one host after the
/// other, each of which sees too little to mark it.
#[test]
fn reports_of_other_hosts_mark_the_request() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    here.record_disconnect(now, fingerprint, attempt(1), upstream(1));
    here.record_disconnect(now, fingerprint, attempt(1), upstream(2));
    there.record_disconnect(now, fingerprint, attempt(2), upstream(3));
    assert!(
        here.take_due_reports(now).is_empty(),
        "it may be answered yet"
    );
    let later = now + Duration::from_millis(400);
    let reports = here.take_due_reports(later);
    assert_eq!(reports.len(), 1);
    assert!(here.take_due_reports(later).is_empty(), "reported twice");
    assert!(there.record_report(later, &reports[0]));
    assert!(there.is_quarantined(later, fingerprint));
    // What came from another host is that one's to report.
    let own = there.take_due_reports(later + Duration::from_millis(400));
    assert_eq!(own.len(), 1);
    assert!(here.record_report(later, &own[0]));
    assert!(
        here.take_due_reports(later + Duration::from_secs(1))
            .is_empty()
    );
}

/// Guards against a proper request that is refused here because upstreams lost
/// its answers at other hosts.
#[test]
fn answered_request_is_not_marked_by_reports() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let (mut here, mut there) = (CrashTracker::default(), CrashTracker::default());
    for n in 0..4 {
        there.record_disconnect(now, fingerprint, attempt(n), upstream(n));
    }
    here.record_answer(now, fingerprint);
    for report in there.take_due_reports(now + Duration::from_secs(1)) {
        assert!(!here.record_report(now, &report));
    }
    assert!(!here.is_quarantined(now, fingerprint));
    // An answer before the report is due takes it back.
    there.record_answer(now, fingerprint);
    assert!(
        there
            .take_due_reports(now + Duration::from_secs(2))
            .is_empty()
    );
}
