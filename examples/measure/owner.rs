use std::time::Duration;

use cornelwinch_lab::{Deployment, DeploymentShape, SearchShape};

use crate::load::{ms, offer};
use crate::{Outcome, host_program};

const RATE_PER_S: f64 = 100.0;
const SECONDS: u64 = 8;

/// Compares legs through the owner with legs sent by every host: the highest
/// concurrency that an upstream saw, sheds, and latency.
pub(crate) fn measure() -> Outcome {
    println!(
        "5 hosts in 4 zones, 30 shards, 2 replicas, {RATE_PER_S} queries/s for {SECONDS} s, 5 ms legs"
    );
    println!(
        "{:<7} {:>5} {:>8} {:>8} {:>9} {:>8} {:>6} {:>6} {:>6}",
        "routing", "slots", "p50_ms", "p99_ms", "coverage", "highest", "sheds", "falls", "wrong"
    );
    for slots in [2, 3, 4] {
        for direct in [true, false] {
            row(slots, direct)?;
        }
    }
    Ok(())
}

fn row(slots: u32, direct: bool) -> Outcome {
    let mut search = SearchShape::new("portal", 30);
    search.slots = slots;
    search.service.median = Duration::from_millis(5);
    let mut shape = DeploymentShape::new("owner", 4, 5).with_search(search);
    shape.direct = direct;
    let deployment = Deployment::spawn(shape, &host_program()?)?;
    let report = offer(&deployment, "portal", RATE_PER_S, SECONDS, 7)?;
    let counters: Vec<_> = deployment.upstreams.iter().map(cornelwinch_standins::upstream::Upstream::counters).collect();
    println!(
        "{:<7} {:>5} {:>8.1} {:>8.1} {:>9.4} {:>8} {:>6} {:>6} {:>6}",
        if direct { "direct" } else { "owner" },
        slots,
        ms(report.total.latency.p50_us),
        ms(report.total.latency.p99_us),
        report.total.coverage.mean,
        counters.iter().map(|c| c.highest).max().unwrap_or(0),
        counters.iter().map(|c| c.shed).sum::<u64>(),
        counters.iter().map(|c| c.fell_over).sum::<u64>(),
        report.wrong,
    );
    Ok(())
}
