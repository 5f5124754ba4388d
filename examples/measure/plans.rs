use std::time::Duration;

use cornelwinch::bench::{MixItem, Report};
use cornelwinch_lab::{Deployment, DeploymentShape, SearchShape};

use crate::load::{item, ms, offer_mix};
use crate::{Outcome, host_program};

const SECONDS: u64 = 10;
const HIGH_PER_S: f64 = 40.0;

/// Twice what the upstreams bear: 20 upstreams with 2 slots run 2,000 legs of
/// 20 ms a second, which is 200 queries of 10 legs.
const OFFERED_PER_S: f64 = 400.0;

/// Door lookups beside status queries at twice the load that upstreams bear.
pub(crate) fn measure() -> Outcome {
    let mut search = SearchShape::new("door", 10);
    search.slots = 2;
    search.service.median = Duration::from_millis(20);
    search.policy.priority = 0;
    let mut status = search.policy.clone();
    status.priority = 5;
    search.classes = vec![("status".into(), status)];
    let shape = DeploymentShape::new("plans", 3, 4).with_search(search);
    let deployment = Deployment::spawn(shape, &host_program()?)?;
    println!(
        "4 hosts in 3 zones, 10 shards, 2 replicas, 2 slots, 20 ms legs; door {HIGH_PER_S} queries/s alone, then in {OFFERED_PER_S} queries/s"
    );
    println!(
        "{:<9} {:<7} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>9}",
        "load", "class", "offered", "done", "not_run", "unknown", "p50_ms", "p99_ms", "complete"
    );
    let door = item("door", 340);
    let status = MixItem {
        class: "status".to_owned(),
        organisation: "status".to_owned(),
        token: Deployment::token("status"),
        weight: OFFERED_PER_S / HIGH_PER_S - 1.0,
        ..door.clone()
    };
    let targets = || deployment.targets();
    let alone = offer_mix(targets(), vec![door.clone()], HIGH_PER_S, SECONDS, 7)?;
    print("unloaded", &alone);
    let both = offer_mix(targets(), vec![door, status], OFFERED_PER_S, SECONDS, 7)?;
    print("twice", &both);
    Ok(())
}

fn print(load: &str, report: &Report) {
    for group in &report.groups {
        println!(
            "{load:<9} {:<7} {:>8} {:>8} {:>8} {:>8} {:>8.1} {:>8.1} {:>9.4}",
            group.class,
            group.offered,
            group.outcomes.done,
            group.outcomes.not_run,
            group.outcomes.unknown + group.outcomes.no_answer + group.outcomes.not_sent,
            ms(group.latency.p50_us),
            ms(group.latency.p99_us),
            group.coverage.complete,
        );
    }
    println!("wrong={} late_starts={}", report.wrong, report.late_starts);
}
