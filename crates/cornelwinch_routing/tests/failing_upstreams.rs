//! Choice among upstreams of which some refuse part of their legs for seconds.

use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Fleet, HealthSignal, PlacementMode, UpstreamEntry, UpstreamLimits, UpstreamState,
};

const LIMITS: UpstreamLimits = UpstreamLimits {
    connections: usize::MAX,
    cold_per_s: None,
};

/// Share of its legs that the failing upstream refuses.
const REFUSED_RATIO: f64 = 0.6;

/// Interval between the legs of one host to one shard when 81 hosts share 120 requests a second.
const LEG_INTERVAL: Duration = Duration::from_millis(675);

fn entry(name: &str, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        name: name.into(),
        born_ms: 1,
        service: "shard".into(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: zone.into(),
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        version: "v1".into(),
        slots: 4,
    }
}

/// Returns the share of legs that are refused within 9 s while the upstream of the host's own zone
/// refuses some.
fn refused_share(mode: PlacementMode, seed: u64) -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    let mut now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.set_placement(mode, "a".into());
    for zone in ["a", "b", "c"] {
        fleet.apply(now, entry(zone, zone));
    }
    let (mut sent, mut refused) = (0_u32, 0_u32);
    let end = now + Duration::from_secs(9);
    while now < end {
        let picked = fleet.pick(now, &"shard".into(), &"a".into(), &[], LIMITS, &mut rng);
        let upstream = picked.expect("all upstreams take requests");
        fleet.leg_sent(now, upstream.id, u64::from(sent), Duration::from_millis(10));
        let is_refused = &*upstream.name == "a" && rng.f64() < REFUSED_RATIO;
        let signal = if is_refused {
            refused += 1;
            HealthSignal::Refused
        } else {
            HealthSignal::Answered { ratio: 1.0 }
        };
        fleet.leg_ended(now, upstream.id, u64::from(sent), signal);
        sent += 1;
        now += LEG_INTERVAL;
    }
    f64::from(refused) / f64::from(sent)
}

/// Guards against a host with few legs that forgets between two of them which upstream refuses,
/// and so spends its repeats on it.
#[test]
fn refusals_are_remembered_between_legs() {
    let mean = |mode| (0..200).map(|seed| refused_share(mode, seed)).sum::<f64>() / 200.0;
    let (before, after) = (mean(PlacementMode::Latency), mean(PlacementMode::Learned));
    println!("refused share: latency {before:.3}, learned {after:.3}");
    assert!(after < before / 2.0, "{after} is not half of {before}");
}
