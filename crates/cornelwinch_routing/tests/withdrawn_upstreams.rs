//! Upstreams that leave, rest or are held back as faulty.

use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Fleet, HealthSignal, UpstreamEntry, UpstreamId, UpstreamLimits, UpstreamState,
};

const UNLIMITED: UpstreamLimits = UpstreamLimits {
    connections: usize::MAX,
    cold_per_s: None,
};
const SECOND: Duration = Duration::from_secs(1);

fn entry(born_ms: u64) -> UpstreamEntry {
    UpstreamEntry {
        name: "i-1".into(),
        born_ms,
        service: "shard".into(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: "a".into(),
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        version: "v1".into(),
        slots: 4,
    }
}

fn pick(fleet: &mut Fleet, now: Instant) -> Option<UpstreamId> {
    let mut rng = fastrand::Rng::with_seed(7);
    let endpoint = fleet.pick(now, &"shard".into(), &"a".into(), &[], UNLIMITED, &mut rng);
    endpoint.map(|endpoint| endpoint.id)
}

/// Returns whether the only upstream is used in any way.
fn is_used(fleet: &mut Fleet, now: Instant, id: UpstreamId) -> bool {
    // A lost upstream is used by probes.
    let earlier = now - SECOND;
    fleet.leg_sent(earlier, id, 1, SECOND);
    fleet.leg_ended(earlier, id, 1, HealthSignal::Unreachable);
    let probed = !fleet.take_due_probes(now).is_empty();
    fleet.mark_reachable(id);
    let uses = [
        probed,
        pick(fleet, now).is_some(),
        fleet.takes_requests(now, id),
        fleet.has_available_upstream(now, &"shard".into()),
    ];
    assert!(uses.iter().all(|used| *used == uses[0]), "{uses:?}");
    uses[0]
}

/// Guards against requests, probes and last resorts to an upstream that has said it leaves, also
/// after its entry lapsed and came back.
#[test]
fn leaving_lasts_as_long_as_the_run() {
    let now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.apply(now, entry(1));
    let id = pick(&mut fleet, now).unwrap();
    assert!(is_used(&mut fleet, now, id));
    assert!(fleet.mark_leaving(id));
    assert!(!fleet.mark_leaving(id));
    let later = now + 600 * SECOND;
    assert!(!is_used(&mut fleet, now, id));
    assert!(!is_used(&mut fleet, later, id));

    fleet.apply(later, entry(1));
    assert_eq!(pick(&mut fleet, later), None, "the same run is updated");
    fleet.remove(&"i-1".into());
    fleet.remove_expired(later);
    fleet.apply(later, entry(1));
    assert_eq!(pick(&mut fleet, later), None, "the same run returns");
    fleet.apply(later, entry(2));
    assert!(pick(&mut fleet, later).is_some(), "another run");
}

/// Guards against requests to an upstream that has asked for a rest before its end, and against
/// an upstream that is never used again.
#[test]
fn rest_ends_on_time() {
    let now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.apply(now, entry(1));
    let id = pick(&mut fleet, now).unwrap();
    let millisecond = Duration::from_millis(1);
    assert!(fleet.extend_rest(now, id, 3 * SECOND));
    assert!(!fleet.extend_rest(now, id, SECOND), "a shorter rest");
    let service = "shard".into();
    assert_eq!(fleet.end_of_rest(now, &service), Some(now + 3 * SECOND));
    assert!(!is_used(&mut fleet, now + 3 * SECOND - millisecond, id));
    assert!(is_used(&mut fleet, now + 3 * SECOND, id));
    assert_eq!(fleet.end_of_rest(now + 3 * SECOND, &service), None);

    // A time that the clock cannot represent lasts for this run only.
    fleet.extend_rest(now, id, Duration::MAX);
    assert!(!is_used(&mut fleet, now + 3_600 * SECOND, id));
    fleet.remove(&"i-1".into());
    fleet.apply(now, entry(1));
    assert_eq!(pick(&mut fleet, now), None, "the same run returns");
    fleet.apply(now, entry(2));
    assert!(pick(&mut fleet, now).is_some(), "another run");
    assert_eq!(fleet.end_of_rest(now, &service), None);
}

/// Guards against a refusal that promises a time although the upstream will not be back.
#[test]
fn rest_of_an_unusable_upstream_has_no_end() {
    let now = Instant::now();
    let service = "shard".into();
    let mut fleet = Fleet::new();
    fleet.apply(now, entry(1));
    let id = pick(&mut fleet, now).unwrap();
    fleet.extend_rest(now, id, SECOND);
    assert!(fleet.end_of_rest(now, &service).is_some());
    fleet.set_evacuated_zones(vec!["a".into()]);
    assert_eq!(fleet.end_of_rest(now, &service), None);
    fleet.set_evacuated_zones(Vec::new());
    fleet.mark_leaving(id);
    assert_eq!(fleet.end_of_rest(now, &service), None);
}

/// Guards against an upstream with endless answers that is used again at once, or for good.
#[test]
fn faults_hold_an_upstream_back() {
    let mut now = Instant::now();
    let mut fleet = Fleet::new();
    fleet.apply(now, entry(1));
    let id = pick(&mut fleet, now).unwrap();
    let mut token = 0;
    let mut run_leg = |fleet: &mut Fleet, now, signal| {
        token += 1;
        fleet.leg_sent(now, id, token, SECOND);
        fleet.leg_ended(now, id, token, signal);
    };
    let mut holds = Vec::new();
    for _ in 0..8 {
        run_leg(&mut fleet, now, HealthSignal::Oversized);
        run_leg(&mut fleet, now, HealthSignal::Oversized);
        let start = now;
        while pick(&mut fleet, now).is_none() {
            now += SECOND / 10;
        }
        holds.push((now - start).as_secs());
    }
    assert_eq!(holds, [2, 4, 8, 16, 32, 60, 60, 60]);
    run_leg(&mut fleet, now, HealthSignal::Answered { ratio: 1.0 });
    run_leg(&mut fleet, now, HealthSignal::Oversized);
    assert!(pick(&mut fleet, now + 2 * SECOND).is_some());
}
