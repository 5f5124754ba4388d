use std::fs;
use std::thread;
use std::time::{Duration, Instant};

use cornelwinch::config::{EntryValue, PlanSpec};
use cornelwinch_lab::{Deployment, DeploymentShape, HostProcess, SearchShape};
use serde_json::Value;

use crate::{Outcome, host_program};

const DEFAULT_HOSTS: [usize; 6] = [3, 6, 12, 24, 48, 96];
const SETTLE: Duration = Duration::from_secs(8);
const WINDOW: Duration = Duration::from_secs(10);
const CHANGES: u32 = 10;
const POLL: Duration = Duration::from_millis(5);
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

/// Kernel clock ticks per second, as `/proc` counts processor time on Linux.
pub(crate) const TICKS_PER_S: f64 = 100.0;

/// What one host costs at rest, for several numbers of hosts in three zones.
pub(crate) fn measure(counts: &[&str]) -> Outcome {
    let counts: Vec<usize> = if counts.is_empty() {
        DEFAULT_HOSTS.to_vec()
    } else {
        counts.iter().map(|n| n.parse()).collect::<Result<_, _>>()?
    };
    println!(
        "hosts in 3 zones, 12 upstreams, no load; per host over {} s; then {CHANGES} configuration changes",
        WINDOW.as_secs()
    );
    println!(
        "{:>5} {:>8} {:>9} {:>9} {:>9} {:>9} {:>8} {:>11} {:>11}",
        "hosts",
        "cpu_%",
        "rss_mb",
        "udp_B/s",
        "tcp_B/s",
        "threads",
        "fds",
        "force_p50",
        "force_max"
    );
    for hosts in counts {
        row(hosts)?;
    }
    Ok(())
}

#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Cost {
    pub(crate) cpu_ticks: f64,
    udp: f64,
    pub(crate) tcp: f64,
    pub(crate) rss_mb: f64,
    threads: f64,
    fds: f64,
}

fn row(hosts: usize) -> Outcome {
    let shape = DeploymentShape::new("scale", 3, hosts).with_search(SearchShape::new("portal", 6));
    let deployment = Deployment::spawn(shape, &host_program()?)?;
    thread::sleep(SETTLE);
    let before: Vec<Cost> = deployment.hosts.iter().map(cost).collect();
    thread::sleep(WINDOW);
    let after: Vec<Cost> = deployment.hosts.iter().map(cost).collect();
    let n = hosts as f64;
    let seconds = WINDOW.as_secs_f64();
    let rate = |field: fn(&Cost) -> f64| {
        let sum = |costs: &[Cost]| costs.iter().map(field).sum::<f64>();
        (sum(&after) - sum(&before)) / n / seconds
    };
    let mean = |field: fn(&Cost) -> f64| after.iter().map(field).sum::<f64>() / n;
    let mut times = Vec::new();
    for change in 0..CHANGES {
        times.push(time_in_force(&deployment, change)?);
    }
    times.sort_unstable();
    println!(
        "{hosts:>5} {:>8.2} {:>9.1} {:>9.0} {:>9.0} {:>9.0} {:>8.0} {:>8} ms {:>8} ms",
        rate(|c| c.cpu_ticks) / TICKS_PER_S * 100.0,
        mean(|c| c.rss_mb),
        rate(|c| c.udp),
        rate(|c| c.tcp),
        mean(|c| c.threads),
        mean(|c| c.fds),
        times[times.len() / 2].as_millis(),
        times[times.len() - 1].as_millis(),
    );
    Ok(())
}

/// Writes one entry and waits until every host has its revision.
fn time_in_force(
    deployment: &Deployment,
    change: u32,
) -> Result<Duration, Box<dyn std::error::Error>> {
    let plan = PlanSpec {
        rate_per_s: 1_000.0 + f64::from(change),
        burst: 100,
        concurrency: 100,
        priority: 1,
        searches: vec!["portal".into()],
    };
    let start = Instant::now();
    let revision = deployment.put("extra", &EntryValue::Plan(Some(plan)))?;
    let mut lagging: Vec<&HostProcess> = deployment.hosts.iter().collect();
    while !lagging.is_empty() {
        if start.elapsed() > IN_FORCE_LIMIT {
            let names: Vec<&str> = lagging.iter().map(|host| &**host.name()).collect();
            return Err(format!("revision {revision} is not in force on {names:?}").into());
        }
        lagging.retain(|host| {
            let status = host.status().unwrap_or(Value::Null);
            status["revision"]
                .as_u64()
                .is_none_or(|held| held < revision)
        });
        thread::sleep(POLL);
    }
    Ok(start.elapsed())
}

/// What a host has cost so far.
pub(crate) fn cost(host: &HostProcess) -> Cost {
    let Some(pid) = host.pid() else {
        return Cost::default();
    };
    let traffic = host.traffic().unwrap_or(Value::Null);
    let bytes = |key: &str| traffic[key].as_f64().unwrap_or(0.0);
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let field = |name: &str| {
        status
            .lines()
            .find_map(|line| {
                line.strip_prefix(name)?
                    .split_whitespace()
                    .next()?
                    .parse::<f64>()
                    .ok()
            })
            .unwrap_or(0.0)
    };
    Cost {
        cpu_ticks: cpu_ticks(pid),
        udp: bytes("gossip_sent") + bytes("gossip_received"),
        tcp: bytes("peer_sent") + bytes("peer_received"),
        rss_mb: field("VmRSS:") / 1_024.0,
        threads: field("Threads:"),
        fds: fs::read_dir(format!("/proc/{pid}/fd")).map_or(0.0, |dir| dir.count() as f64),
    }
}

/// User and system time of a process; fields 14 and 15 of its `stat` file.
fn cpu_ticks(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The second field is a name in parentheses that may hold spaces.
    let rest = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = rest.split_whitespace().collect();
    let field = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    field(11) + field(12)
}
