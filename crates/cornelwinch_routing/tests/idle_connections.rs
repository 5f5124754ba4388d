//! Division of idle connections to an upstream among more hosts than it accepts connections from.

use std::time::{Duration, Instant};

use cornelwinch_routing::{Fleet, HostEntry, HostPermits, UpstreamEntry, UpstreamState};

fn hosts(count: usize) -> Vec<HostEntry> {
    (0..count)
        .map(|n| HostEntry {
            name: format!("h{n}").into(),
            zone: format!("z{}", n % 3).into(),
            peer: "127.0.0.1:9000".parse().unwrap(),
        })
        .collect()
}

/// Returns how many of the hosts may keep an idle connection if all together may keep `total`.
fn keeping_hosts(all: &[HostEntry], total: usize) -> usize {
    let keeps = |host: &&HostEntry| {
        let mut fleet = Fleet::new();
        fleet.set_hosts(HostPermits::new(host.name.clone(), all.to_vec(), all.len()));
        let now = Instant::now();
        let entry = UpstreamEntry {
            name: "i-1".into(),
            born_ms: 1,
            service: "shard".into(),
            addr: "127.0.0.1:9000".parse().unwrap(),
            zone: "z1".into(),
            state: UpstreamState::Ready,
            cold_left: Duration::ZERO,
            version: "v1".into(),
            slots: 4,
        };
        fleet.apply(now, entry);
        let pick = fleet.pick(
            now,
            &"shard".into(),
            &host.zone,
            &[],
            cornelwinch_routing::UpstreamLimits {
                connections: 1,
                cold_per_s: None,
            },
            &mut fastrand::Rng::with_seed(1),
        );
        let id = pick.expect("the upstream takes requests").id;
        fleet.may_keep_idle(id, |_| total)
    };
    all.iter().filter(keeps).count()
}

/// Guards against hosts that fill the connections of an upstream while they are idle, so that it
/// resets those of others.
#[test]
fn idle_connections_stay_below_the_limit() {
    let all = hosts(81);
    assert_eq!(keeping_hosts(&all, 50), 50);
    assert_eq!(keeping_hosts(&all, 0), 0);
    assert_eq!(keeping_hosts(&all, 81), 81);
    assert_eq!(keeping_hosts(&hosts(5), 50), 5);
}
