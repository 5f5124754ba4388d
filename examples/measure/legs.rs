use std::time::Duration;

use cornelwinch_lab::{Deployment, DeploymentShape, SearchShape};

use crate::load::{ms, offer};
use crate::scale::{TICKS_PER_S, cost};
use crate::{Outcome, host_program};

const SHARDS: u32 = 30;
const RATES_PER_S: [u32; 4] = [25, 50, 100, 200];
const SECONDS: u64 = 8;

/// Processor time and bytes that queries cost the hosts, for several rates.
pub(crate) fn measure() -> Outcome {
    println!(
        "5 hosts in 4 zones, {SHARDS} shards, 2 replicas, 3 slots, 2 ms legs, {SECONDS} s; sums over all hosts"
    );
    println!(
        "{:>9} {:>9} {:>9} {:>12} {:>10} {:>11} {:>8} {:>8}",
        "queries/s",
        "legs/s",
        "cpu_%",
        "cpu_us/query",
        "cpu_us/leg",
        "tcp_B/leg",
        "rss_mb",
        "p99_ms"
    );
    let mut search = SearchShape::new("portal", SHARDS);
    search.service.median = Duration::from_millis(2);
    let shape = DeploymentShape::new("legs", 4, 5).with_search(search);
    let deployment = Deployment::spawn(shape, &host_program()?)?;
    offer(&deployment, "portal", 50.0, 3, 3)?;
    for rate in RATES_PER_S {
        let total = || deployment.hosts.iter().map(cost).collect::<Vec<_>>();
        let before = total();
        let report = offer(&deployment, "portal", f64::from(rate), SECONDS, 7)?;
        let after = total();
        let ticks: f64 = after.iter().map(|c| c.cpu_ticks).sum::<f64>()
            - before.iter().map(|c| c.cpu_ticks).sum::<f64>();
        let bytes: f64 =
            after.iter().map(|c| c.tcp).sum::<f64>() - before.iter().map(|c| c.tcp).sum::<f64>();
        let queries = report.total.outcomes.done as f64;
        let legs = queries * f64::from(SHARDS);
        let cpu_us = ticks / TICKS_PER_S * 1e6;
        println!(
            "{rate:>9} {:>9.0} {:>9.1} {:>12.0} {:>10.0} {:>11.0} {:>8.1} {:>8.1}",
            legs / SECONDS as f64,
            ticks / TICKS_PER_S / SECONDS as f64 * 100.0,
            cpu_us / queries,
            cpu_us / legs,
            // Both ends of a message count its bytes.
            bytes / 2.0 / legs,
            after.iter().map(|c| c.rss_mb).sum::<f64>() / after.len() as f64,
            ms(report.total.latency.p99_us),
        );
    }
    Ok(())
}
