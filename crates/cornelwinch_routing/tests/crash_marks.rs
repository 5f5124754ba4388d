//! Quarantine of requests that crash upstreams, as opposed to upstreams that lose
//! answers.

use std::time::{Duration, Instant};

use cornelwinch_routing::{CrashTracker, RequestFingerprint};
use cornelwinch_types::Fingerprint;

fn upstream(n: u64) -> Fingerprint {
    Fingerprint::of("upstream", &n.to_string())
}

fn attempt(n: u64) -> Fingerprint {
    Fingerprint::of("attempt", &n.to_string())
}

/// Guards against refusing harmless requests when many upstreams lose answers at the
/// same time.
#[test]
fn answered_request_is_not_quarantined() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut tracker = CrashTracker::default();
    tracker.record_answer(now, fingerprint);
    for n in 0..20 {
        assert!(!tracker.record_disconnect(now, fingerprint, attempt(n), upstream(n)));
    }
    assert!(!tracker.is_quarantined(now, fingerprint));
}

/// Guards against refusing harmless requests because a busy host has overwritten the
/// record of their answers.
#[test]
fn answers_are_remembered_under_load() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for n in 0..20_000 {
        tracker.record_answer(now, RequestFingerprint::of("/titles/", &n.to_string()));
    }
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    tracker.record_answer(now, fingerprint);
    for n in 0..20 {
        assert!(!tracker.record_disconnect(now, fingerprint, attempt(n), upstream(n)));
    }
}

/// Guards against sending a request that has crashed three upstreams, and against
/// counting one upstream twice.
#[test]
fn third_upstream_quarantines_the_request() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut tracker = CrashTracker::default();
    for n in [1, 1, 2, 2] {
        assert!(!tracker.record_disconnect(now, fingerprint, attempt(n), upstream(n)));
    }
    assert!(tracker.record_disconnect(now, fingerprint, attempt(3), upstream(3)));
    assert!(tracker.is_quarantined(now, fingerprint));
    assert!(!tracker.is_quarantined(now, RequestFingerprint::of("/titles/30", "")));
    assert!(!tracker.is_quarantined(now + Duration::from_secs(60), fingerprint));
}

/// Guards against refusing a harmless request because several legs of its first
/// attempt met upstreams that lose answers.
#[test]
fn one_attempt_does_not_quarantine() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut tracker = CrashTracker::default();
    for n in 0..10 {
        assert!(!tracker.record_disconnect(now, fingerprint, attempt(1), upstream(n)));
    }
    assert!(!tracker.is_quarantined(now, fingerprint));
    assert!(tracker.record_disconnect(now, fingerprint, attempt(2), upstream(1)));
}

/// Guards against a request that crashes upstreams through several hosts, none of which
/// sees enough crashes to quarantine it.
#[test]
fn reports_of_other_hosts_quarantine_the_request() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let (mut local, mut remote) = (CrashTracker::default(), CrashTracker::default());
    local.record_disconnect(now, fingerprint, attempt(1), upstream(1));
    local.record_disconnect(now, fingerprint, attempt(1), upstream(2));
    remote.record_disconnect(now, fingerprint, attempt(2), upstream(3));
    assert!(
        local.take_due_reports(now).is_empty(),
        "the report is not due yet"
    );
    let later = now + Duration::from_millis(400);
    let reports = local.take_due_reports(later);
    assert_eq!(reports.len(), 1);
    assert!(
        local.take_due_reports(later).is_empty(),
        "a disconnect was reported twice"
    );
    assert!(remote.record_report(later, &reports[0]));
    assert!(remote.is_quarantined(later, fingerprint));
    // Recording another host's report does not cause a new report.
    let own = remote.take_due_reports(later + Duration::from_millis(400));
    assert_eq!(own.len(), 1);
    assert!(local.record_report(later, &own[0]));
    assert!(
        local
            .take_due_reports(later + Duration::from_secs(1))
            .is_empty()
    );
}

/// Guards against refusing a harmless request because upstreams lost its answers to
/// other hosts.
#[test]
fn answered_request_is_not_quarantined_by_reports() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let (mut local, mut remote) = (CrashTracker::default(), CrashTracker::default());
    for n in 0..4 {
        remote.record_disconnect(now, fingerprint, attempt(n), upstream(n));
    }
    local.record_answer(now, fingerprint);
    for report in remote.take_due_reports(now + Duration::from_secs(1)) {
        assert!(!local.record_report(now, &report));
    }
    assert!(!local.is_quarantined(now, fingerprint));
    // An answer before the report is due cancels the report.
    remote.record_answer(now, fingerprint);
    assert!(
        remote
            .take_due_reports(now + Duration::from_secs(2))
            .is_empty()
    );
}

/// Plays callers that repeat a request until it is answered, with up to five attempts of two legs to
/// two of 12 upstreams. Returns how many of the requests that can be answered were quarantined.
fn count_false_alarms(cut_share: f64, requests: u64) -> usize {
    let start = Instant::now();
    let mut rng = fastrand::Rng::with_seed(7);
    let mut tracker = CrashTracker::default();
    let mut alarms = 0;
    for n in 0..requests {
        let now = start + Duration::from_millis(2 * n);
        let fingerprint = RequestFingerprint::of("/titles/", &n.to_string());
        for leg in 0..10 {
            if rng.f64() >= cut_share {
                tracker.record_answer(now, fingerprint);
                break;
            }
            let id = attempt(n * 10 + leg / 2);
            alarms +=
                usize::from(tracker.record_cut(now, fingerprint, id, upstream(rng.u64(0..12))));
        }
    }
    alarms
}

/// Guards against refusing requests that can be answered because upstreams or links cut a share of
/// the answers: at most 1 in 100,000 requests where 5 in 100 answers are cut.
#[test]
fn cut_answers_do_not_quarantine() {
    for cut_share in [0.02, 0.05] {
        let alarms = count_false_alarms(cut_share, 300_000);
        println!("cut share {cut_share}: {alarms} false alarms in 300,000 requests");
        assert!(alarms <= 3, "{cut_share}: {alarms}");
    }
}

/// Guards against a request that is never quarantined because the crashes of its upstreams were
/// not confirmed: it takes four upstreams and three attempts.
#[test]
fn fourth_cut_quarantines_the_request() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut tracker = CrashTracker::default();
    for n in [1, 1, 2, 3] {
        assert!(!tracker.record_cut(now, fingerprint, attempt(n / 2), upstream(n)));
    }
    assert!(!tracker.record_cut(now, fingerprint, attempt(1), upstream(4)));
    assert!(tracker.record_cut(now, fingerprint, attempt(2), upstream(4)));
    assert!(tracker.is_quarantined(now, fingerprint));
}
