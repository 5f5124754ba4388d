use std::thread;
use std::time::Duration;

use cornelwinch::config::ServiceState;
use cornelwinch_lab::{Deployment, DeploymentShape, SearchShape};
use cornelwinch_standins::upstream::UpstreamFault;

use crate::load::{ms, offer};
use crate::{Outcome, host_program};

const RATE_PER_S: f64 = 60.0;
const SECONDS: u64 = 18;
const OUT_AT: Duration = Duration::from_secs(4);
const RETURN_AFTER: Duration = Duration::from_secs(7);

/// Takes one of three zones out under load and returns it.
pub(crate) fn measure() -> Outcome {
    let mut search = SearchShape::new("portal", 30);
    search.service.median = Duration::from_millis(5);
    let shape = DeploymentShape::new("zones", 3, 5).with_search(search);
    let deployment = Deployment::spawn(shape, &host_program()?)?;
    let zone = deployment.shape().zones[1].clone();
    println!(
        "5 hosts in 3 zones, 30 shards, 2 replicas, {RATE_PER_S} queries/s; {zone} out at {} s, back at {} s",
        OUT_AT.as_secs(),
        (OUT_AT + RETURN_AFTER).as_secs()
    );
    let report = thread::scope(|scope| -> Result<_, Box<dyn std::error::Error>> {
        let operator = scope.spawn(|| operate(&deployment, &zone));
        let report = offer(&deployment, "portal", RATE_PER_S, SECONDS, 7)?;
        operator
            .join()
            .map_err(|_| "the operator thread panicked")??;
        Ok(report)
    })?;
    println!(
        "{:>6} {:>8} {:>6} {:>9} {:>8}",
        "second", "offered", "done", "complete", "max_ms"
    );
    for (i, second) in report.seconds.iter().enumerate() {
        println!(
            "{i:>6} {:>8} {:>6} {:>9} {:>8.1}",
            second.offered,
            second.done,
            second.complete,
            ms(second.max_us)
        );
    }
    let sheds: u64 = deployment.upstreams.iter().map(|u| u.counters().shed).sum();
    println!(
        "p50_ms={:.1} p99_ms={:.1} coverage={:.4} not_run={} unknown={} wrong={} sheds={sheds}",
        ms(report.total.latency.p50_us),
        ms(report.total.latency.p99_us),
        report.total.coverage.mean,
        report.total.outcomes.not_run,
        report.total.outcomes.unknown,
        report.wrong
    );
    Ok(())
}

fn operate(deployment: &Deployment, zone: &str) -> Result<(), cornelwinch_lab::LabError> {
    thread::sleep(OUT_AT);
    let names = upstreams_of(deployment, zone);
    for name in &names {
        deployment.upstream(name).apply(UpstreamFault::Mark);
    }
    deployment.set_zone(zone, ServiceState::Out)?;
    thread::sleep(RETURN_AFTER);
    let counters = names
        .iter()
        .map(|name| deployment.upstream(name).counters());
    let (mut legs, mut last) = (0, 0);
    for counters in counters {
        legs += counters.arrived_after_mark;
        last = last.max(counters.last_arrival_after_mark_ms);
    }
    println!("legs after the zone was taken out: {legs}, the last after {last} ms");
    deployment.set_zone(zone, ServiceState::In)?;
    Ok(())
}

/// Upstreams of a zone: replica R of shard S is in zone S + R.
fn upstreams_of(deployment: &Deployment, zone: &str) -> Vec<String> {
    let zones = &deployment.shape().zones;
    let mut names = Vec::new();
    for search in &deployment.shape().searches {
        for shard in 0..search.shards {
            for replica in 0..search.replicas {
                if *zones[(shard + replica) as usize % zones.len()] == *zone {
                    names.push(format!("{}-{shard:03}-{replica}", search.name));
                }
            }
        }
    }
    names
}
