//! What a fleet learns from the times of legs.

use std::time::{Duration, Instant};

use cornelwinch_routing::{CostModel, CostSample, HealthSignal, LegQuery, UpstreamWork};
use cornelwinch_types::Name;

const ANSWERED: HealthSignal = HealthSignal::Answered { ratio: 1.0 };

/// Runs legs of two routes, which cost 8 and 2 ms, one after the other on upstreams of the given
/// slowness and zone; `mix` is the share of the short legs by upstream.
fn learn(
    upstreams: &[(f64, Option<&Name>)],
    mix: &[f64],
) -> (CostModel, Vec<UpstreamWork>, Instant) {
    let mut now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(1);
    let mut model = CostModel::default();
    let mut works: Vec<_> = upstreams.iter().map(|_| UpstreamWork::new(now)).collect();
    for token in 0..4_000 {
        let n = rng.usize(..upstreams.len());
        let (slowness, other_zone) = upstreams[n];
        let is_short = rng.f64() < mix[n];
        let (name, ms): (Name, _) = if is_short {
            ("short".into(), 2.0)
        } else {
            ("long".into(), 8.0)
        };
        let route = model.use_route(now, &name, 0.02).unwrap();
        let query = LegQuery {
            now,
            model: &model,
            route,
            other_zone,
            slots: 4,
        };
        works[n].leg_sent(query, token);
        let latency = if other_zone.is_some() { 6.0 } else { 0.0 };
        let time = latency + ms * slowness * (0.8 + 0.4 * rng.f64());
        now += Duration::from_secs_f64(time / 1_000.0);
        works[n].leg_ended(now, token, ANSWERED, other_zone, &mut model);
        now += Duration::from_millis(40);
    }
    (model, works, now)
}

fn assert_near(value: f64, expected: f64, what: &str) {
    assert!(
        (value / expected).ln().abs() < 0.15,
        "{what}: {value}, not {expected}"
    );
}

/// Guards against taking an upstream for slow because it got long requests, or because it is far.
#[test]
fn speed_is_separated_from_mix_and_latency() {
    let far: Name = "b".into();
    let speeds = [1.3, 0.8, 1.0];
    let near = speeds.map(|speed| (speed, None));
    let upstreams = [near, speeds.map(|speed| (speed, Some(&far)))].concat();
    let (model, works, now) = learn(&upstreams, &[0.8, 0.2, 0.5, 0.5, 0.8, 0.2]);
    for (n, (slowness, other_zone)) in upstreams.iter().enumerate() {
        for (name, ms) in [("short", 2.0), ("long", 8.0)] {
            let route = model.route(&name.into()).unwrap();
            let query = LegQuery {
                now: now + Duration::from_secs(5),
                model: &model,
                route,
                other_zone: *other_zone,
                slots: 4,
            };
            let latency = if other_zone.is_some() { 6.0 } else { 0.0 };
            let expected = latency + ms * slowness;
            assert_near(works[n].expected_time(query, 0.0) * 1_000.0, expected, name);
        }
    }
    assert!(works[0].is_uneven(&works[1], now, false));
    assert!(model.has_uneven_costs(0b11) && !model.has_uneven_costs(0b01));
    let later = now + Duration::from_secs(600);
    assert!(
        !works[0].is_uneven(&works[1], later, true),
        "old speeds are forgotten"
    );
}

/// Guards against learning costs from legs that were refused, failed, or delayed by this host.
#[test]
fn useless_times_teach_nothing() {
    let (mut model, mut works, now) = learn(&[(1.0, None)], &[0.0]);
    let route = model.route(&"long".into()).unwrap();
    let cost = model.cost(route);
    let signals = [
        HealthSignal::Refused,
        HealthSignal::Failed,
        HealthSignal::Neutral,
        ANSWERED,
    ];
    for (token, signal) in signals.into_iter().enumerate() {
        let token = token as u64;
        let query = LegQuery {
            now,
            model: &model,
            route,
            other_zone: None,
            slots: 4,
        };
        works[0].leg_sent(query, token);
        works[0].mark_untimely(token);
        works[0].leg_ended(
            now + Duration::from_secs(1),
            token,
            signal,
            None,
            &mut model,
        );
        assert_eq!(model.cost(route), cost, "{signal:?}");
    }
}

/// Guards against a cost that stays at its old value after the work of a route has changed, also if
/// all upstreams are in other zones.
#[test]
fn changed_cost_is_learned_soon() {
    let far: Name = "b".into();
    for other_zone in [None, Some(&far)] {
        let (mut model, ..) = learn(&[(1.0, other_zone)], &[0.0]);
        let route = model.route(&"long".into()).unwrap();
        for _ in 0..150 {
            model.learn(CostSample {
                seconds: 0.08,
                route,
                other_zone,
                ln_speed: 0.0,
            });
        }
        let latency = other_zone.map_or(0.0, |zone| model.zone_latency(zone, model.cost(route)));
        assert_near(model.cost(route) + latency, 0.08, "cost");
    }
}
