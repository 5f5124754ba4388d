//! Limit on repeats that applies to all hosts together.

use std::time::{Duration, Instant};

use cornelwinch_routing::{RepeatKind, RetryBudget, RetryBudgetConfig};

const WINDOW: Duration = Duration::from_secs(10);
const HOSTS: usize = 5;
const CONFIG: RetryBudgetConfig = RetryBudgetConfig {
    ratio: 0.2,
    window: WINDOW,
    slack: 56.0,
    hosts: HOSTS,
};

fn iterations() -> u64 {
    std::env::var("CORNELWINCH_ITERATIONS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(20)
        .min(200)
}

/// Returns the number of times in `at` that lie in the window that ends at `end`.
fn in_window(at: &[Instant], end: Instant) -> usize {
    let start = end - WINDOW;
    at.partition_point(|t| *t <= end) - at.partition_point(|t| *t < start)
}

/// Guards against hosts that keep their own limits but exceed the common one. One host
/// has an outdated configuration, so its requests, a tenth of all, count for another
/// service.
#[test]
fn hosts_together_keep_the_limit_in_any_window() {
    for seed in 0..iterations().div_ceil(10) {
        let mut rng = fastrand::Rng::with_seed(seed);
        let start = Instant::now();
        let service = "shard".into();
        let mut budgets: Vec<_> = (0..HOSTS).map(|_| RetryBudget::new(start)).collect();
        let mut now = start + WINDOW;
        let (mut requests, mut repeats) = (Vec::new(), Vec::new());
        while now < start + Duration::from_secs(40) {
            now += Duration::from_micros(rng.u64(0..10_000));
            let host = if rng.f64() < 0.1 {
                0
            } else {
                rng.usize(1..HOSTS)
            };
            budgets[host].count_request(now, &CONFIG, &service);
            if host != 0 {
                requests.push(now);
            }
            for _ in 0..rng.usize(0..3) {
                let kind = [RepeatKind::Retry, RepeatKind::Hedge][rng.usize(0..2)];
                if budgets[host].try_spend(now, &CONFIG, &service, kind) {
                    repeats.push(now);
                }
            }
        }
        for end in &repeats {
            let counted = in_window(&requests, *end)
                .max(in_window(&requests, *end - WINDOW))
                .max(in_window(&requests, *end - WINDOW / 2));
            let allowed = counted as f64 * CONFIG.ratio + CONFIG.slack;
            let spent = in_window(&repeats, *end);
            assert!(
                spent as f64 <= allowed,
                "seed {seed}: {spent} repeats for {counted} requests"
            );
        }
        assert!(repeats.len() > 300, "seed {seed}: only {}", repeats.len());
    }
}

/// Guards against hedges that use up the budget of retries.
#[test]
fn hedges_leave_a_reserve_for_retries() {
    let start = Instant::now();
    let now = start + WINDOW;
    let service = "shard".into();
    let mut budget = RetryBudget::new(start);
    for _ in 0..500 {
        budget.count_request(now, &CONFIG, &service);
    }
    while budget.try_spend(now, &CONFIG, &service, RepeatKind::Hedge) {}
    let left = std::iter::from_fn(|| {
        budget
            .try_spend(now, &CONFIG, &service, RepeatKind::Retry)
            .then_some(())
    });
    assert!(left.count() >= 20);
}

/// Guards against a restarted process that spends the slack that its predecessor has
/// already used.
#[test]
fn new_process_has_no_slack_for_a_window() {
    let start = Instant::now();
    let service = "shard".into();
    let mut budget = RetryBudget::new(start);
    let early = start + WINDOW - Duration::from_millis(1);
    assert!(!budget.try_spend(early, &CONFIG, &service, RepeatKind::Retry));
    assert!(budget.try_spend(start + WINDOW, &CONFIG, &service, RepeatKind::Retry));
}
