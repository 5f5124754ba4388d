//! An organisation's rate and concurrency hold over all hosts, and can be used.

mod network;

use std::env;
use std::time::Duration;

use network::{Network, config};

/// Time after which a started host has its share, for short deadlines.
const SETTLING: Duration = Duration::from_secs(6);
const HOSTS: usize = 5;

fn iterations() -> u64 {
    env::var("CORNELWINCH_ITERATIONS")
        .ok()
        .and_then(|n| n.parse().ok())
        .unwrap_or(200)
}

/// Guards against a share that is used twice: by lender and borrower, before
/// and after a restart, or on both sides of a partition.
#[test]
fn limits_hold() {
    for seed in 0..iterations() {
        let mut rng = fastrand::Rng::with_seed(seed);
        let rate = f64::from(rng.u32(5..300));
        let (burst, concurrency) = (rng.u32(1..60), rng.u32(1..40));
        let deadline_ms = rng.u64(10..400);
        let state = config(rate, burst, concurrency, deadline_ms);
        let mut network = Network::open(seed, HOSTS, state);
        network.loss = 0.02;
        network.delay = Duration::from_millis(rng.u64(1..100));
        network.run(SETTLING - Duration::from_secs(rng.u64(..3)));
        for _ in 0..6 {
            for i in 0..HOSTS {
                network.load[i] = if rng.bool() {
                    rate * rng.f64() * 2.0
                } else {
                    0.0
                };
                network.side[i] = if rng.u8(..4) == 0 { rng.u8(..2) } else { 0 };
            }
            if rng.bool() {
                network.detect();
            }
            if rng.u8(..4) == 0 {
                network.restart(rng.usize(..HOSTS));
            }
            network.run(Duration::from_millis(rng.u64(200..1_500)));
        }
        let bound = f64::from(burst) + HOSTS as f64;
        assert!(
            network.highest <= bound + 1e-6,
            "seed {seed}: {} over {bound}",
            network.highest
        );
        let most = network.most_in_progress;
        assert!(
            most <= concurrency as usize,
            "seed {seed}: {most} of {concurrency} slots"
        );
    }
}

/// Part of the plan's rate that is admitted over 20 seconds.
fn used(mut network: Network, rate: f64, mut each_second: impl FnMut(&mut Network, usize)) -> f64 {
    network.run(SETTLING);
    each_second(&mut network, 0);
    network.warm_up(Duration::from_secs(2));
    for second in 0..20 {
        each_second(&mut network, second);
        network.run(Duration::from_secs(1));
    }
    network.admitted as f64 / (rate * 20.0)
}

/// Guards against shares that stay idle while another host refuses requests.
#[test]
fn rate_is_usable() {
    let rate = 100.0;
    for seed in 0..iterations().min(10) {
        let open = || Network::open(seed, HOSTS, config(rate, 100, 50, 100));
        let on_host = |network: &mut Network, i: usize| {
            network.load = vec![0.0; HOSTS];
            network.load[i % HOSTS] = 1.5 * rate;
        };
        let single = used(open(), rate, |network, _| on_host(network, seed as usize));
        let even = used(open(), rate, |network, _| network.load = vec![30.0; HOSTS]);
        let skewed = used(open(), rate, |network, _| {
            network.load = vec![70.0, 50.0, 20.0, 10.0, 0.0];
        });
        let moving = used(open(), rate, |network, second| on_host(network, second / 4));
        assert!(single > 0.95, "seed {seed}: {single} on one host");
        assert!(even > 0.95, "seed {seed}: {even} spread evenly");
        assert!(skewed > 0.9, "seed {seed}: {skewed} spread unevenly");
        assert!(moving > 0.85, "seed {seed}: {moving} moving every 4 s");
    }
}

/// Guards against slots that stay idle, also if there are fewer than hosts.
#[test]
fn slots_are_usable() {
    for seed in 0..iterations().min(10) {
        for (slots, least) in [(3, 0.8), (20, 0.85)] {
            let mut network = Network::open(seed, HOSTS, config(2_000.0, 500, slots, 100));
            network.run(SETTLING);
            network.load[seed as usize % HOSTS] = 60.0 * f64::from(slots);
            network.warm_up(Duration::from_secs(2));
            network.run(Duration::from_secs(10));
            let steps = 10.0 / network::STEP.as_secs_f64();
            let busy = network.busy as f64 / (steps * f64::from(slots));
            assert!(busy > least, "seed {seed}: {busy} of {slots} slots busy");
        }
    }
}

/// Guards against a host that takes more than its share when it is cut off,
/// and against one that cannot use its share then.
#[test]
fn cut_off_keeps_share() {
    let rate = 100.0;
    for seed in 0..iterations().min(10) {
        for (load, expected) in [([150.0, 0.0, 0.0], 0.2), ([0.0, 0.0, 150.0], 0.8)] {
            let network = Network::open(seed, HOSTS, config(rate, 100, 50, 100));
            let part = used(network, rate, |network, _| {
                network.side[0] = 1;
                network.load[..3].copy_from_slice(&load);
                network.detect();
            });
            assert!(
                part <= expected * 1.1,
                "seed {seed}: {part} over {expected}"
            );
            assert!(
                part >= expected * 0.85,
                "seed {seed}: {part} under {expected}"
            );
        }
    }
}

/// Guards against an unbounded excess when hosts do not know each other: a
/// host that four others never learn of adds a fifth of the rate.
#[test]
fn unknown_host_bounded() {
    let rate = 100.0;
    for seed in 0..iterations().min(10) {
        let mut network = Network::open(seed, 4, config(rate, 100, 50, 100));
        network.add_unknown();
        let part = used(network, rate, |network, _| network.load = vec![60.0; 5]);
        assert!(part > 1.1 && part <= 1.2 + 0.05, "seed {seed}: {part}");
    }
}
