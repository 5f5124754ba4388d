//! Guards against load on upstreams that are remote, busy, failing, leaving or
//! out of service.

mod common;

use common::{UNREACHABLE, World, answer, config, ms, snapshot};
use cornelwinch_types::{LegResult, Name, Refusal};

/// World with one replica in each of three zones, `s0r0` in the host's own.
fn zones() -> World {
    let mut world = World::new(config());
    world.prove("atlas");
    let zone = |i| (Name::from(format!("s0r{i}")), Name::from(format!("z{i}")));
    world.stats.set_upstreams((0..3).map(zone));
    world
}

#[test]
fn load_spreads_from_the_own_zone() {
    let mut world = zones();
    let mut counts = [0; 3];
    let mut queries = Vec::new();
    for _ in 0..30 {
        let (gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
        counts[legs[0].upstream[3..].parse::<usize>().expect("a number")] += 1;
        queries.push((gather, legs));
        assert_eq!(counts[0].max(1), counts[0], "the first leg leaves the zone");
    }
    assert!(
        counts[0] >= counts[1] && counts[0] >= counts[2],
        "{counts:?}"
    );
    assert!(
        counts[1] >= 7 && counts[2] >= 7,
        "busy upstreams are preferred: {counts:?}"
    );
    for (mut gather, legs) in queries {
        world.result(&mut gather, &legs[0], answer(&legs[0]));
    }
    for _ in 0..40 {
        let (mut gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
        assert_eq!(
            *legs[0].upstream, *"s0r0",
            "an idle local upstream is passed over"
        );
        world.result(&mut gather, &legs[0], answer(&legs[0]));
    }
}

#[test]
fn unreachable_upstream_is_probed() {
    let mut world = zones();
    let (mut gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
    assert_eq!(*legs[0].upstream, *"s0r0");
    let other = world.result(&mut gather, &legs[0], UNREACHABLE);
    world.result(&mut gather, &other[0], answer(&other[0]));
    let mut probes = Vec::new();
    for i in 0..1000 {
        world.now += ms(1);
        let (mut gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
        let mut leg = legs[0].clone();
        if *leg.upstream == *"s0r0" {
            probes.push(i);
            leg = world.result(&mut gather, &leg, UNREACHABLE).remove(0);
        }
        world.result(&mut gather, &leg, answer(&leg));
    }
    assert!((2..=4).contains(&probes.len()), "probes at {probes:?} ms");
    world.now += ms(5000);
    let (mut gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
    assert_eq!(*legs[0].upstream, *"s0r0", "not probed");
    for _ in 0..5 {
        let (_gather, others) = world.start("atlas", &[snapshot(1, 1, 3)]);
        assert_ne!(*others[0].upstream, *"s0r0", "probed twice at once");
    }
    world.result(&mut gather, &legs[0], answer(&legs[0]));
    let (_gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
    assert_eq!(*legs[0].upstream, *"s0r0", "not used after a good probe");
}

#[test]
fn leaving_and_out_get_nothing() {
    let mut world = zones();
    let (mut gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
    world.result(&mut gather, &legs[0], LegResult::Refused(Refusal::Leaving));
    world.stats.set_out_of_service("s0r1", true);
    for _ in 0..20 {
        let (_gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
        assert_eq!(*legs[0].upstream, *"s0r2");
    }
    world.stats.set_out_of_service("s0r1", false);
    let used =
        (0..30).any(|_| *world.start("atlas", &[snapshot(1, 1, 3)]).1[0].upstream == *"s0r1");
    assert!(used, "an upstream back in service gets nothing");
    world.stats.set_upstreams([("s0r1".into(), "z1".into())]);
    for _ in 0..60 {
        let (_gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
        assert_eq!(
            *legs[0].upstream, *"s0r1",
            "an upstream that is not configured gets legs"
        );
    }
}

#[test]
fn hanging_upstream_is_avoided() {
    let mut world = World::new(config());
    world.warm(200, ms(5));
    world.policy.deadline_ms = 100;
    world
        .stats
        .set_upstreams((0..3).map(|i| (format!("s0r{i}").into(), format!("z{i}").into())));
    for _ in 0..2 {
        let (mut gather, legs) = world.start("warm", &[snapshot(1, 1, 3)]);
        assert_eq!(*legs[0].upstream, *"s0r0");
        world.pass(&mut gather, ms(100));
    }
    let (_gather, legs) = world.start("warm", &[snapshot(1, 1, 3)]);
    assert_ne!(
        *legs[0].upstream, *"s0r0",
        "two legs hung on it until the deadline"
    );
}

#[test]
fn canaries_use_two_zones() {
    let mut world = World::new(config());
    let upstream = |s, r| (format!("s{s}r{r}").into(), format!("z{r}").into());
    world
        .stats
        .set_upstreams((0..5).flat_map(|s| (0..3).map(move |r| upstream(s, r))));
    for i in 0..20 {
        let (_gather, legs) = world.start(&i.to_string(), &[snapshot(1, 5, 3)]);
        let zone = |leg: usize| legs[leg].upstream[3..].to_owned();
        assert!(legs.len() == 2 && zone(0) != zone(1), "{legs:?}");
    }
}
