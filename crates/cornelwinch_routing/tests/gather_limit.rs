//! Limit on gathered requests while upstreams are overloaded.

use std::time::{Duration, Instant};

use cornelwinch_routing::{GatherLimit, GatherOutcome};

/// Starts requests until one is refused, at most 100, and returns their number.
fn fill(limit: &mut GatherLimit, now: Instant) -> usize {
    (0..100).take_while(|_| limit.try_start(now)).count()
}

fn finish_all(limit: &mut GatherLimit, now: Instant, count: usize, outcome: GatherOutcome) {
    for _ in 0..count {
        limit.finish(now, outcome);
    }
}

/// Guards against a limit without overload, also when requests fail for another
/// reason.
#[test]
fn there_is_no_limit_without_overload() {
    let now = Instant::now();
    let mut limit = GatherLimit::default();
    for outcome in [GatherOutcome::Served, GatherOutcome::Other] {
        let started = fill(&mut limit, now);
        assert_eq!(started, 100);
        finish_all(&mut limit, now, started, outcome);
    }
    assert_eq!(fill(&mut limit, now), 100);
}

/// Guards against a limit that does not decrease while requests keep failing, that
/// decreases more than once for simultaneous failures, or that reaches 0.
#[test]
fn overload_lowers_the_limit_step_by_step() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    let mut last = fill(&mut limit, now);
    finish_all(&mut limit, now, last, GatherOutcome::Overloaded);
    for _ in 0..30 {
        now += Duration::from_millis(100);
        let started = fill(&mut limit, now);
        assert!(started >= 1 && started <= last, "{started} after {last}");
        assert!(started >= last / 2, "{started} after {last}");
        finish_all(&mut limit, now, started, GatherOutcome::Overloaded);
        last = started;
    }
    assert!((1..10).contains(&last), "{last}");
}

/// Guards against upstreams that a hundred hosts keep full, since each of them tries at least one
/// request at any time, and against a host that stops trying.
#[test]
fn limit_below_one_request_spaces_the_starts() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    limit.set_hosts(100);
    let started = fill(&mut limit, now);
    finish_all(&mut limit, now, started, GatherOutcome::Overloaded);
    let mut starts = Vec::new();
    for _ in 0..60_000 {
        now += Duration::from_millis(1);
        if limit.try_start(now) {
            limit.finish(now, GatherOutcome::Overloaded);
            starts.push(now);
        }
    }
    let (first, last) = (starts[0], starts[starts.len() - 1]);
    let per_second = starts.len() as f64 / (last - first).as_secs_f64();
    assert!((0.1..10.0).contains(&per_second), "{per_second}");
    let gaps = starts.windows(2).map(|pair| pair[1] - pair[0]);
    let longest = gaps.max().unwrap();
    assert!(longest <= Duration::from_secs(5), "{longest:?}");
}

/// Guards against a limit that remains after the overload.
#[test]
fn limit_grows_and_ends() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    let started = fill(&mut limit, now);
    finish_all(&mut limit, now, started, GatherOutcome::Overloaded);
    now += Duration::from_millis(100);
    let low = fill(&mut limit, now);
    finish_all(&mut limit, now, low, GatherOutcome::Served);
    let high = fill(&mut limit, now);
    assert!(high > low, "{high} after {low}");
    assert!(!limit.is_idle());
    assert_eq!(limit.limit().map(f64::ceil), Some(high as f64));
    assert_eq!(limit.in_progress(), high);
    finish_all(&mut limit, now, high, GatherOutcome::Served);
    limit.expire(now);
    assert!(!limit.is_idle());
    now += Duration::from_secs(3);
    limit.expire(now);
    assert!(limit.is_idle());
    assert_eq!(fill(&mut limit, now), 100);
    assert_eq!(limit.limit(), None);
}

/// Guards against immediate replacement of requests that fail at once: each of them
/// leaves legs at the upstreams.
#[test]
fn failed_request_counts_against_the_limit_for_a_while() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    let started = fill(&mut limit, now);
    finish_all(&mut limit, now, started, GatherOutcome::Overloaded);
    assert_eq!(fill(&mut limit, now), 0);
    now += Duration::from_millis(100);
    assert!(fill(&mut limit, now) > 0);
}
