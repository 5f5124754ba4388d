//! Division of an upstream's limit among hosts.

use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Fleet, HostEntry, HostPermits, UpstreamEntry, UpstreamLimits, UpstreamState,
};
use cornelwinch_types::Name;

fn hosts(count: usize) -> Vec<HostEntry> {
    let host = |n: usize| HostEntry {
        name: format!("h{n}").into(),
        zone: format!("z{}", n % 4).into(),
        peer: "127.0.0.1:9000".parse().unwrap(),
    };
    (0..count).map(host).collect()
}

/// Guards against hosts that together exceed an upstream's limit, and against permits
/// that no host gets.
#[test]
fn permits_sum_up_to_the_limit() {
    for count in [1, 4, 5, 30, 300] {
        for total in [0, 1, 3, 8, 31, 1_000] {
            let upstream: Name = format!("i-{total}").into();
            let all = hosts(count);
            let of = |host: &HostEntry| {
                HostPermits::new(host.name.clone(), all.clone(), count).permits_for(
                    total,
                    &upstream,
                    &"z1".into(),
                )
            };
            let sum: usize = all.iter().map(of).sum();
            assert_eq!(sum, total, "{count} hosts");
        }
    }
}

/// Guards against giving permits to hosts of other zones while hosts of the upstream's
/// own zone have none.
#[test]
fn hosts_of_the_zone_come_first() {
    let all = hosts(40);
    for host in &all {
        let permits = HostPermits::new(host.name.clone(), all.clone(), 40);
        let expected = usize::from(&*host.zone == "z2");
        assert_eq!(
            permits.permits_for(10, &"i-1".into(), &"z2".into()),
            expected
        );
    }
    // A host that is not registered gets none of the remaining permits.
    let unregistered = HostPermits::new("stranger".into(), all, 40);
    assert_eq!(unregistered.permits_for(39, &"i-1".into(), &"z2".into()), 0);
}

/// Guards against a cold upstream that no host uses because its limit is below the
/// number of hosts.
#[test]
fn many_hosts_use_the_limit_of_a_cold_upstream() {
    const COLD_PER_S: usize = 8;
    let all = hosts(30);
    let now = Instant::now();
    let limits = UpstreamLimits {
        connections: usize::MAX,
        cold_per_s: Some(COLD_PER_S),
    };
    let mut sent = 0;
    for host in &all {
        let mut fleet = Fleet::new();
        fleet.set_hosts(HostPermits::new(host.name.clone(), all.clone(), all.len()));
        let entry = UpstreamEntry {
            name: "i-1".into(),
            born_ms: 1,
            service: "shard".into(),
            addr: "127.0.0.1:9000".parse().unwrap(),
            zone: "z1".into(),
            state: UpstreamState::Ready,
            cold_left: Duration::from_secs(3),
            version: "v1".into(),
            slots: 4,
        };
        fleet.apply(now, entry);
        let mut rng = fastrand::Rng::with_seed(1);
        while fleet
            .pick(now, &"shard".into(), &host.zone, &[], limits, &mut rng)
            .is_some()
        {
            sent += 1;
        }
    }
    assert_eq!(sent, COLD_PER_S);
}
