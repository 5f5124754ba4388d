//! Cost, detection time and false suspicions of the membership protocol, on a
//! simulated network.

#[path = "../tests/common/mod.rs"]
mod common;

use std::time::{Duration, Instant};

use common::{Net, is_change};
use cornelwinch_types::MemberState;

/// Bytes of IPv4 and UDP headers.
const HEADERS: u64 = 28;

/// Restarts in the whole deployment of the design scale.
const RESTARTS_PER_S: f64 = 0.18;

const SECOND: Duration = Duration::from_secs(1);

fn zones(sizes: &[usize]) -> Vec<&'static str> {
    const NAMES: [&str; 21] = [
        "zone-a", "zone-b", "zone-c", "zone-d", "zone-e", "zone-f", "zone-g", "zone-h", "zone-i",
        "zone-j", "zone-k", "zone-l", "zone-m", "zone-n", "zone-o", "zone-p", "zone-q", "zone-r",
        "zone-s", "zone-t", "zone-u",
    ];
    sizes
        .iter()
        .enumerate()
        .flat_map(|(i, size)| std::iter::repeat_n(NAMES[i], *size))
        .collect()
}

fn bytes(net: &Net) -> Vec<u64> {
    net.nodes
        .iter()
        .map(|node| node.bytes + HEADERS * node.datagrams)
        .collect()
}

/// Bytes sent by each node, with and without restarts, and time of a core.
fn cost(sizes: &[usize], restarts: f64, time: Duration) {
    let mut net = Net::settled(1, &zones(sizes));
    net.run(30 * SECOND);
    let (before, started) = (bytes(&net), Instant::now());
    let datagrams: u64 = net.nodes.iter().map(|node| node.datagrams).sum();
    let end = net.now + time;
    let mut pending: Vec<(Instant, usize)> = Vec::new();
    while net.now < end {
        net.run(SECOND);
        if net.rng.f64() < restarts {
            let i = net.rng.usize(1..net.nodes.len());
            net.stop(i);
            pending.push((net.now + 5 * SECOND, i));
        }
        while let Some(at) = pending.iter().position(|(at, _)| *at <= net.now) {
            let (_, i) = pending.swap_remove(at);
            net.start(i);
        }
    }
    let nodes = net.nodes.len();
    let datagrams = net.nodes.iter().map(|node| node.datagrams).sum::<u64>() - datagrams;
    let sent: Vec<u64> = bytes(&net)
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    let seconds = time.as_secs_f64();
    let label = format!("{} zones of {}", sizes.len(), sizes[0]);
    println!(
        "{label:<18} {restarts:>8.2} {:>10.1} {:>10.0} {:>10.0} {:>9.4}",
        datagrams as f64 / nodes as f64 / seconds,
        sent.iter().sum::<u64>() as f64 / nodes as f64 / seconds,
        *sent.iter().max().unwrap_or(&0) as f64 / seconds,
        started.elapsed().as_secs_f64() / nodes as f64 / seconds * 100.0,
    );
}

fn losses(hosts: usize, loss: f64, time: Duration) {
    let mut net = Net::settled(2, &zones(&[hosts]));
    net.loss = loss;
    let since = net.now;
    net.run(time);
    let suspicions: u64 = net
        .nodes
        .iter()
        .filter_map(|node| node.membership.as_ref())
        .map(|m| m.counters().suspicions)
        .sum();
    let deaths: u64 = net
        .nodes
        .iter()
        .filter_map(|node| node.membership.as_ref())
        .map(|m| m.counters().deaths)
        .sum();
    let node_hours = hosts as f64 * (net.now - since).as_secs_f64() / 3_600.0;
    println!(
        "{hosts:>6} {:>6.0} % {node_hours:>10.1} {suspicions:>12} {:>12.2} {deaths:>8}",
        loss * 100.0,
        suspicions as f64 / node_hours,
    );
}

fn quantiles(label: &str, mut times: Vec<f64>) {
    times.sort_unstable_by(f64::total_cmp);
    let at = |q: f64| times[((times.len() - 1) as f64 * q) as usize];
    println!(
        "{label:<46} {:>5} {:>8.2} {:>8.2} {:>8.2} s",
        times.len(),
        at(0.5),
        at(0.99),
        at(1.0)
    );
}

/// Time from a crash or a leave until the first and until every host knows.
fn spread(sizes: &[usize], loss: f64, leaves: bool, rounds: u64) {
    let (mut first, mut own, mut all) = (Vec::new(), Vec::new(), Vec::new());
    let mut net = Net::settled(3, &zones(sizes));
    for _ in 0..rounds {
        net.loss = loss;
        let phase = Duration::from_millis(net.rng.u64(..1_000));
        net.run(phase);
        let (since, i) = (net.now, net.rng.usize(1..sizes[0]));
        let state = if leaves {
            MemberState::Leaving
        } else {
            MemberState::Dead
        };
        if leaves {
            net.turn(i, cornelwinch_membership::Membership::leave);
        } else {
            net.stop(i);
        }
        net.run(15 * SECOND);
        let name = net.nodes[i].member.name.clone();
        let logged = net.logged(since, i, |action| is_change(action, &name, state));
        let mut times = vec![f64::INFINITY; net.nodes.len()];
        for (by, at) in logged {
            times[by] = times[by].min((at - since).as_secs_f64());
        }
        times.swap(0, i);
        first.push(times[1..].iter().copied().fold(f64::INFINITY, f64::min));
        own.push(times[1..sizes[0]].iter().copied().fold(0.0, f64::max));
        all.push(times[1..].iter().copied().fold(0.0, f64::max));
        net.loss = 0.0;
        net.start(i);
        net.run(15 * SECOND);
        net.nodes.iter_mut().for_each(|node| node.log.clear());
    }
    let kind = if leaves { "leave" } else { "crash" };
    let label = format!(
        "{kind}, {} zones of {}, {:.0} % loss",
        sizes.len(),
        sizes[0],
        loss * 100.0
    );
    quantiles(&format!("{label}: first"), first);
    quantiles(&format!("{label}: own zone"), own);
    quantiles(&format!("{label}: all"), all);
}

/// Time until every other host marks a cut zone unreachable, and until every
/// host marks all zones reachable again.
fn zone_cut(sizes: &[usize], loss: f64, rounds: u64) {
    let (mut cut, mut back) = (Vec::new(), Vec::new());
    for seed in 0..rounds {
        let mut net = Net::settled(seed, &zones(sizes));
        net.loss = loss;
        let all = net.nodes.len() - sizes[sizes.len() - 1]..net.nodes.len();
        let zone = net.nodes[all.start].member.zone.clone();
        for (side, times) in [(1, &mut cut), (0, &mut back)] {
            let since = net.now;
            all.clone().for_each(|i| net.nodes[i].side = side);
            let is_reachable = |net: &Net, i: usize| {
                net.nodes[i]
                    .membership
                    .as_ref()
                    .is_some_and(|m| m.is_zone_reachable(&zone))
            };
            while (0..all.start).any(|i| is_reachable(&net, i) != (side == 0))
                && net.now < since + 100 * SECOND
            {
                net.run(Duration::from_millis(50));
            }
            times.push((net.now - since).as_secs_f64());
        }
    }
    let label = format!(
        "zone cut, {} zones of {}, {:.0} % loss",
        sizes.len(),
        sizes[0],
        loss * 100.0
    );
    quantiles(&format!("{label}: marked"), cut);
    quantiles(&format!("{label}: returned"), back);
}

/// Cost of a host that joins a deployment of the design scale, and of a period
/// with that table.
fn join(zones: usize, hosts: usize) {
    let names: Vec<String> = (0..zones * hosts)
        .map(|i| format!("zone-{:02}", i / hosts))
        .collect();
    let mut names: Vec<&str> = names.iter().map(String::as_str).collect();
    // Only these two run; the others introduce themselves once.
    names.splice(0..0, ["zone-x"; 2]);
    let mut net = Net::new(4, &names);
    net.start(0);
    for i in 2..names.len() {
        net.start(i);
        net.run(Duration::from_millis(1));
        net.stop(i);
    }
    let count = |net: &Net, i: usize| {
        net.nodes[i]
            .membership
            .as_ref()
            .map_or(0, |m| m.members().len())
    };
    let (before, started, since) = (net.nodes[0].bytes, Instant::now(), net.now);
    net.start(1);
    while count(&net, 1) < count(&net, 0) && net.now < since + 60 * SECOND {
        net.run(Duration::from_millis(1));
    }
    let spent = started.elapsed();
    let pulls = net.nodes[1]
        .membership
        .as_ref()
        .map_or(0, |m| m.counters().pulls);
    println!(
        "{} of {} members known after {:.0} ms, {pulls} pulls, {} kB received, {:.0} ms of a core for both hosts",
        count(&net, 1),
        count(&net, 0),
        (net.now - since).as_secs_f64() * 1e3,
        (net.nodes[0].bytes - before) / 1_000,
        spent.as_secs_f64() * 1e3,
    );
}

fn main() {
    println!("join of a deployment of the design scale");
    join(20, 395);
    println!();
    println!("bytes sent per node and second, {HEADERS} bytes of IP and UDP headers included");
    println!(
        "{:<18} {:>8} {:>10} {:>10} {:>10} {:>9}",
        "deployment", "restarts", "datagrams", "mean", "highest", "core %"
    );
    for size in [5, 50, 376] {
        cost(&[size], 0.0, 120 * SECOND);
        cost(&[size], RESTARTS_PER_S, 120 * SECOND);
    }
    cost(&[2, 1, 1], 0.0, 120 * SECOND);
    cost(&[4; 21], 0.0, 120 * SECOND);
    cost(&[4; 21], RESTARTS_PER_S, 120 * SECOND);
    cost(&[376; 3], RESTARTS_PER_S, 120 * SECOND);

    println!("\nfalse suspicions by loss");
    println!(
        "{:>6} {:>8} {:>10} {:>12} {:>12} {:>8}",
        "hosts", "loss", "node hours", "suspicions", "per node h", "deaths"
    );
    for loss in [0.01, 0.1] {
        losses(2, loss, 36_000 * SECOND);
        losses(5, loss, 36_000 * SECOND);
        losses(50, loss, 3_600 * SECOND);
        losses(376, loss, 120 * SECOND);
    }

    println!(
        "\n{:<46} {:>5} {:>8} {:>8} {:>8}",
        "time until a change is known", "runs", "median", "p99", "highest"
    );
    for loss in [0.0, 0.1] {
        spread(&[5], loss, false, 200);
        spread(&[50], loss, false, 200);
        spread(&[376], loss, false, 20);
        spread(&[20; 21], loss, false, 20);
        spread(&[376], loss, true, 10);
        spread(&[20; 21], loss, true, 10);
        zone_cut(&[2, 1, 1], loss, 50);
        zone_cut(&[4; 21], loss, 20);
    }
}
