use std::thread;
use std::time::Duration;

use cornelwinch_lab::{Deployment, DeploymentShape, SearchShape};
use cornelwinch_standins::upstream::UpstreamFault;

use crate::load::{ms, offer};
use crate::{Outcome, host_program};

const RATE_PER_S: f64 = 60.0;
const SECONDS: u64 = 12;
const RESTARTS: u32 = 10;

/// Restarts upstreams under load, cold, and counts what each was given.
pub(crate) fn measure() -> Outcome {
    println!(
        "5 hosts in 4 zones, 30 shards, 2 replicas, 3 slots, cold limit 1, {RATE_PER_S} queries/s; {RESTARTS} upstreams restart cold"
    );
    println!(
        "{:<7} {:>13} {:>6} {:>6} {:>8} {:>8} {:>9}",
        "routing", "highest_cold", "falls", "sheds", "p50_ms", "p99_ms", "coverage"
    );
    for direct in [true, false] {
        let mut search = SearchShape::new("portal", 30);
        search.service.median = Duration::from_millis(5);
        let mut shape = DeploymentShape::new("cold", 4, 5).with_search(search);
        shape.direct = direct;
        let deployment = Deployment::spawn(shape, &host_program()?)?;
        let report = thread::scope(|scope| -> Result<_, Box<dyn std::error::Error>> {
            scope.spawn(|| {
                for i in 0..RESTARTS {
                    thread::sleep(Duration::from_secs(1));
                    let name = format!("portal-{:03}-0", i * 3);
                    deployment.upstream(&name).apply(UpstreamFault::Restart);
                }
            });
            offer(&deployment, "portal", RATE_PER_S, SECONDS, 7)
        })?;
        let counters: Vec<_> = deployment.upstreams.iter().map(cornelwinch_standins::upstream::Upstream::counters).collect();
        println!(
            "{:<7} {:>13} {:>6} {:>6} {:>8.1} {:>8.1} {:>9.4}",
            if direct { "direct" } else { "owner" },
            counters.iter().map(|c| c.highest_cold).max().unwrap_or(0),
            counters.iter().map(|c| c.fell_over).sum::<u64>(),
            counters.iter().map(|c| c.shed).sum::<u64>(),
            ms(report.total.latency.p50_us),
            ms(report.total.latency.p99_us),
            report.total.coverage.mean,
        );
    }
    Ok(())
}
