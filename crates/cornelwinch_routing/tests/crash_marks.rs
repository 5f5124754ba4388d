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

fn marked(now: Instant, fingerprint: RequestFingerprint) -> CrashTracker {
    let mut tracker = CrashTracker::default();
    for n in 0..3 {
        tracker.record_disconnect(now, fingerprint, attempt(n), upstream(n));
    }
    tracker
}

/// Guards against marks that are lost by a restart, or that live for longer with each copy.
#[test]
fn copied_mark_ends_with_the_original() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let copied = now + Duration::from_secs(50);
    let mut new = CrashTracker::default();
    for mark in marked(now, fingerprint).copy_marks(copied) {
        assert!(new.record_report(copied, &mark));
    }
    assert!(new.is_quarantined(now + Duration::from_secs(59), fingerprint));
    assert!(!new.is_quarantined(now + Duration::from_secs(60), fingerprint));
}

/// Plays hosts that all get a request that crashes upstreams, at an interval and twice a second at
/// each host for 30 s when it comes. Reports take a second. Returns the attempts that were sent and
/// the reports.
fn play_quarantine(hosts: usize, interval_s: u64) -> (usize, usize) {
    let start = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let mut trackers: Vec<CrashTracker> = (0..hosts).map(|_| marked(start, fingerprint)).collect();
    for (place, tracker) in trackers.iter_mut().enumerate() {
        tracker.take_due_reports(start + Duration::from_secs(1));
        tracker.set_place(place, hosts);
    }
    let (mut sent, mut reported, mut on_the_way) = (0, 0, Vec::new());
    for tick in 2..4 * 3_600 * 2_u64 {
        let now = start + Duration::from_millis(500 * tick);
        for report in std::mem::take(&mut on_the_way) {
            for tracker in &mut trackers {
                tracker.record_report(now, &report);
            }
        }
        for tracker in &mut trackers {
            if (tick / 2) % interval_s < 30 && tracker.admit(now, fingerprint) {
                sent += 1;
                tracker.record_disconnect(now, fingerprint, attempt(tick), upstream(tick));
            }
            on_the_way.extend(tracker.take_due_reports(now));
        }
        reported += on_the_way.len();
    }
    (sent, reported)
}

/// Guards against a quarantine that ends on all hosts at once, or again and again, and against
/// reports at a rate that grows with the hosts while the request keeps coming.
#[test]
fn ends_of_quarantine_release_three_attempts_at_most() {
    for hosts in [1, 4, 33, 81] {
        for interval_s in [30, 75, 100, 140, 700, 3_000] {
            let (sent, reported) = play_quarantine(hosts, interval_s);
            println!("{hosts} hosts, every {interval_s} s: {sent} sent, {reported} reports");
            assert!(sent <= 3, "{hosts} hosts, every {interval_s} s: {sent}");
            // One report of each host when the request comes back, then one every two seconds.
            let limit = (4 * 3_600 / interval_s as usize + 1) * (hosts + 15);
            assert!(
                reported <= limit,
                "{hosts} hosts, every {interval_s} s: {reported}"
            );
        }
    }
}

/// Guards against a sound request that other hosts go on refusing after one has had its answer.
#[test]
fn answer_after_the_release_ends_the_quarantine_everywhere() {
    let now = Instant::now();
    let fingerprint = RequestFingerprint::of("/titles/2f", "");
    let (mut first, mut second) = (marked(now, fingerprint), marked(now, fingerprint));
    let later = now + Duration::from_secs(61);
    assert!(first.admit(later, fingerprint));
    assert!(
        !first.admit(later, fingerprint),
        "a second attempt before the answer"
    );
    first.record_answer(later, fingerprint);
    for report in first.take_due_reports(later) {
        second.record_report(later, &report);
    }
    assert!(first.admit(later, fingerprint) && second.admit(later, fingerprint));
    assert!(
        second.take_due_reports(later).is_empty(),
        "the answer was reported twice"
    );
}
