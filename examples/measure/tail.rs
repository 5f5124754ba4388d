use std::time::Duration;

use cornelwinch_lab::{Deployment, DeploymentShape, SearchShape};

use crate::load::{ms, offer};
use crate::{Outcome, host_program};

const RATE_PER_S: f64 = 60.0;
const SECONDS: u64 = 15;
const WARM_SECONDS: u64 = 3;

/// Compares hedging with no hedging where 1 % of the legs take ten times as
/// long.
pub(crate) fn measure() -> Outcome {
    println!(
        "5 hosts in 4 zones, 30 shards, 2 replicas, 3 slots, {RATE_PER_S} queries/s for {SECONDS} s, 5 ms legs, 1 % ten times as long"
    );
    println!(
        "{:<10} {:>8} {:>8} {:>8} {:>9} {:>9} {:>6} {:>6} {:>6}",
        "stragglers",
        "hedging",
        "p50_ms",
        "p99_ms",
        "p99.9_ms",
        "coverage",
        "extra",
        "done",
        "wrong"
    );
    for (share, hedge) in [(0.0, true), (0.01, false), (0.01, true)] {
        row(share, hedge)?;
    }
    Ok(())
}

fn row(straggler_share: f64, hedge: bool) -> Outcome {
    let mut search = SearchShape::new("portal", 30);
    search.service.median = Duration::from_millis(5);
    search.service.straggler_share = straggler_share;
    search.policy.hedge_quantile = hedge.then_some(0.985);
    let shape = DeploymentShape::new("tail", 4, 5).with_search(search);
    let deployment = Deployment::spawn(shape, &host_program()?)?;
    offer(&deployment, "portal", RATE_PER_S, WARM_SECONDS, 3)?;
    let report = offer(&deployment, "portal", RATE_PER_S, SECONDS, 7)?;
    println!(
        "{:<10} {:>8} {:>8.1} {:>8.1} {:>9.1} {:>9.4} {:>6.4} {:>6} {:>6}",
        straggler_share,
        if hedge { "on" } else { "off" },
        ms(report.total.latency.p50_us),
        ms(report.total.latency.p99_us),
        ms(report.total.latency.p999_us),
        report.total.coverage.mean,
        report.total.extra_load.share,
        report.total.outcomes.done,
        report.wrong,
    );
    Ok(())
}
