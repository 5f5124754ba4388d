//! Bound on gathered requests while upstreams are short.

use std::time::{Duration, Instant};

use cornelwinch_routing::{GatherLimit, GatherOutcome};

/// Starts requests until one is refused, at most 100, and returns their number.
fn fill(limit: &mut GatherLimit, now: Instant) -> usize {
    (0..100).take_while(|_| limit.try_start(now)).count()
}

fn end_all(limit: &mut GatherLimit, now: Instant, count: usize, end: GatherOutcome) {
    for _ in 0..count {
        limit.finish(now, end);
    }
}

/// Guards against a limit in calm times, and against requests that fail for
/// another reason and are taken for a shortage.
#[test]
fn there_is_no_limit_without_a_shortage() {
    let now = Instant::now();
    let mut limit = GatherLimit::default();
    for end in [GatherOutcome::Served, GatherOutcome::Other] {
        let started = fill(&mut limit, now);
        assert_eq!(started, 100);
        end_all(&mut limit, now, started, end);
    }
    assert_eq!(fill(&mut limit, now), 100);
}

/// Guards against a limit that does not fall while requests go on failing, that
/// falls more than once for the failures of one moment, or that falls to nothing.
#[test]
fn shortage_lowers_the_limit_step_by_step() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    let mut last = fill(&mut limit, now);
    end_all(&mut limit, now, last, GatherOutcome::Overloaded);
    for _ in 0..30 {
        now += Duration::from_millis(100);
        let started = fill(&mut limit, now);
        assert!(started >= 1 && started <= last, "{started} after {last}");
        assert!(started >= last / 2, "{started} after {last}");
        end_all(&mut limit, now, started, GatherOutcome::Overloaded);
        last = started;
    }
    assert!((1..10).contains(&last), "{last}");
}

/// Guards against a limit that stays after the shortage.
#[test]
fn limit_grows_and_ends() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    let started = fill(&mut limit, now);
    end_all(&mut limit, now, started, GatherOutcome::Overloaded);
    now += Duration::from_millis(100);
    let low = fill(&mut limit, now);
    end_all(&mut limit, now, low, GatherOutcome::Served);
    let high = fill(&mut limit, now);
    assert!(high > low, "{high} after {low}");
    assert!(!limit.is_idle());
    assert_eq!(limit.limit(), Some(high));
    assert_eq!(limit.in_progress(), high);
    end_all(&mut limit, now, high, GatherOutcome::Served);
    limit.expire(now);
    assert!(!limit.is_idle());
    now += Duration::from_secs(3);
    limit.expire(now);
    assert!(limit.is_idle());
    assert_eq!(fill(&mut limit, now), 100);
    assert_eq!(limit.limit(), None);
}

/// Guards against requests that fail at once and are replaced at once: each of them
/// leaves legs with the upstreams.
#[test]
fn failed_request_keeps_its_place_for_a_while() {
    let mut now = Instant::now();
    let mut limit = GatherLimit::default();
    let started = fill(&mut limit, now);
    end_all(&mut limit, now, started, GatherOutcome::Overloaded);
    assert_eq!(fill(&mut limit, now), 0);
    now += Duration::from_millis(100);
    assert!(fill(&mut limit, now) > 0);
}
