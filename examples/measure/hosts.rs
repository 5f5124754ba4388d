use std::thread;
use std::time::Duration;

use cornelwinch_lab::{Deployment, DeploymentShape, HostProcess, SearchShape};
use cornelwinch_standins::upstream::Upstream;

use crate::load::{ms, offer_targets};
use crate::{Outcome, host_program};

const RATE_PER_S: f64 = 60.0;
const SECONDS: u64 = 24;

/// Longer than the time after which a silent host is declared dead.
const FREEZE: Duration = Duration::from_secs(7);

/// Kills, restarts, freezes and resumes hosts under load. Requests go to the
/// hosts that stay, as a load balancer would send them.
pub(crate) fn measure() -> Outcome {
    println!(
        "5 hosts in 3 zones, 30 shards, 2 replicas, {RATE_PER_S} queries/s to 3 hosts for {SECONDS} s;"
    );
    println!("host 4 killed at 3 s and started at 8 s, host 5 frozen from 12 s to 19 s");
    println!(
        "{:>5} {:>8} {:>6} {:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>6}",
        "slots",
        "highest",
        "sheds",
        "p50_ms",
        "p99_ms",
        "coverage",
        "complete",
        "not_run",
        "unknown",
        "wrong"
    );
    for slots in [2, 3, 4] {
        row(slots)?;
    }
    Ok(())
}

fn row(slots: u32) -> Outcome {
    let mut search = SearchShape::new("portal", 30);
    search.slots = slots;
    search.service.median = Duration::from_millis(5);
    let shape = DeploymentShape::new("hosts", 3, 5).with_search(search);
    let mut deployment = Deployment::spawn(shape, &host_program()?)?;
    let mut hosts = std::mem::take(&mut deployment.hosts);
    let faulty = hosts.split_off(3);
    let targets = hosts.iter().map(HostProcess::caller).collect();
    let report = thread::scope(|scope| -> Result<_, Box<dyn std::error::Error>> {
        let faults = scope.spawn(|| operate(faulty));
        let report = offer_targets(targets, "portal", RATE_PER_S, SECONDS, 7)?;
        faults
            .join()
            .map_err(|_| "the thread of the faults panicked")??;
        Ok(report)
    })?;
    let counters: Vec<_> = deployment
        .upstreams
        .iter()
        .map(Upstream::counters)
        .collect();
    let total = &report.total;
    println!(
        "{slots:>5} {:>8} {:>6} {:>8.1} {:>8.1} {:>9.4} {:>9.4} {:>8} {:>8} {:>6}",
        counters.iter().map(|c| c.highest).max().unwrap_or(0),
        counters.iter().map(|c| c.shed).sum::<u64>(),
        ms(total.latency.p50_us),
        ms(total.latency.p99_us),
        total.coverage.mean,
        total.coverage.complete,
        total.outcomes.not_run,
        total.outcomes.unknown + total.outcomes.no_answer,
        report.wrong,
    );
    for (i, second) in report.seconds.iter().enumerate() {
        if second.complete < second.offered {
            println!(
                "      second {i}: offered {} done {} complete {} max {:.0} ms",
                second.offered,
                second.done,
                second.complete,
                ms(second.max_us)
            );
        }
    }
    Ok(())
}

fn operate(mut hosts: Vec<HostProcess>) -> Result<Vec<HostProcess>, cornelwinch_lab::LabError> {
    thread::sleep(Duration::from_secs(3));
    hosts[0].kill();
    thread::sleep(Duration::from_secs(5));
    hosts[0].start()?;
    thread::sleep(Duration::from_secs(4));
    hosts[1].freeze();
    thread::sleep(FREEZE);
    hosts[1].resume();
    // The caller keeps them: a dropped host is killed.
    Ok(hosts)
}
