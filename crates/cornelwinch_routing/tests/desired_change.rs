//! Deltas between versions of the desired state.

use std::time::Duration;

use cornelwinch_routing::{
    CallerLimits, Cap, DesiredState, DesiredStateDelta, GatherPlan, KeyDigest, Organisation, Route,
    RouteKind, Service, Target,
};

/// Number of names from which random versions choose.
const NAME_COUNT: u32 = 12;

fn random_route(rng: &mut fastrand::Rng, n: u32) -> Route {
    let target = match rng.u32(0..3) {
        0 => Target::Service(format!("s{}", rng.u32(0..3)).into()),
        1 => Target::Split(vec![("s0".into(), rng.u32(1..3)), ("s1".into(), 1)]),
        _ => Target::Gather(GatherPlan {
            shards: vec!["s0".into(), "s1".into()],
            top: rng.usize(1..3),
            min_fraction: 0.5,
        }),
    };
    Route {
        name: format!("r{n}").into(),
        host: "search.example".into(),
        prefix: format!("/{n}/").into(),
        kind: RouteKind::Idempotent,
        target,
        attempts: rng.u32(1..3),
        timeout: Duration::from_secs(1),
        goal: Duration::from_millis(100),
        priority: rng.u32(0..3),
        is_public: rng.bool(),
    }
}

/// Returns a state whose entries are sorted by name, as after a delta.
fn random_state(rng: &mut fastrand::Rng, version: u64) -> DesiredState {
    let mut routes = Vec::new();
    let mut services = Vec::new();
    let mut organisations = Vec::new();
    for n in 0..NAME_COUNT {
        if rng.bool() {
            routes.push(random_route(rng, n));
        }
        if rng.bool() {
            services.push(Service {
                name: format!("s{n}").into(),
                max_connections: rng.u32(1..3),
                cold_per_s: None,
            });
        }
        if rng.bool() {
            organisations.push(Organisation {
                name: format!("o{n}").into(),
                keys: vec![KeyDigest::of(&[rng.u8(..)])],
                priority: None,
                cap: rng.bool().then_some(Cap {
                    rate_per_s: 10.0,
                    burst: 5.0,
                }),
            });
        }
    }
    organisations.sort_by(|a, b| a.name.cmp(&b.name));
    routes.sort_by(|a, b| a.name.cmp(&b.name));
    services.sort_by(|a, b| a.name.cmp(&b.name));
    DesiredState {
        version,
        routes,
        services,
        limits: CallerLimits {
            body_bytes: rng.usize(1..3),
            ..CallerLimits::default()
        },
        organisations: rng.bool().then_some(organisations),
    }
}

/// Guards against a host whose desired state differs from that of its source after a
/// series of deltas.
#[test]
fn deltas_lead_to_the_same_version() {
    for seed in 0..200 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let mut current = random_state(&mut rng, 1);
        for version in 2..6 {
            let next = random_state(&mut rng, version);
            let delta = DesiredStateDelta::between(&current, &next).unwrap();
            current = delta.apply(&current).unwrap();
            assert_eq!(current, next, "seed {seed}");
        }
    }
}

/// Guards against applying a delta to a version other than its base, and against
/// merging entries that share a name.
#[test]
fn delta_applies_to_its_base_only() {
    let mut rng = fastrand::Rng::with_seed(1);
    let (old, new) = (random_state(&mut rng, 1), random_state(&mut rng, 5));
    let delta = DesiredStateDelta::between(&old, &new).unwrap();
    assert_eq!(delta.version(), 5);
    assert_eq!(delta.apply(&new), None);
    let mut twice = new.clone();
    twice.routes.push(random_route(&mut rng, 50));
    twice.routes.push(random_route(&mut rng, 50));
    assert_eq!(DesiredStateDelta::between(&old, &twice), None);
}
