//! Guards against legs sent to upstreams that are in another availability zone, busy, failing,
//! leaving or out of service while a better replica exists.

mod common;

use common::{TestHost, UNREACHABLE, answer, config, ms, snapshot};
use cornelwinch_types::{LegResult, Name, Refusal};

/// Creates a host with one replica in each of three availability zones, `s0r0` in its own.
fn zones() -> TestHost {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    let zone = |i| (Name::from(format!("s0r{i}")), Name::from(format!("z{i}")));
    host.stats.set_upstreams((0..3).map(zone));
    host
}

#[test]
fn load_spreads_from_the_own_zone() {
    let mut host = zones();
    let mut counts = [0; 3];
    let mut queries = Vec::new();
    for _ in 0..30 {
        let (gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
        counts[legs[0].upstream[3..].parse::<usize>().expect("a number")] += 1;
        queries.push((gather, legs));
        assert_eq!(
            counts[0].max(1),
            counts[0],
            "the first leg left the host's availability zone"
        );
    }
    assert!(
        counts[0] >= counts[1] && counts[0] >= counts[2],
        "{counts:?}"
    );
    assert!(
        counts[1] >= 7 && counts[2] >= 7,
        "busy upstreams were preferred: {counts:?}"
    );
    for (mut gather, legs) in queries {
        host.result(&mut gather, &legs[0], answer(&legs[0]));
    }
    for _ in 0..40 {
        let (mut gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
        assert_eq!(
            *legs[0].upstream, *"s0r0",
            "an idle upstream of the own zone was not used"
        );
        host.result(&mut gather, &legs[0], answer(&legs[0]));
    }
}

#[test]
fn unreachable_upstream_is_probed() {
    let mut host = zones();
    let (mut gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
    assert_eq!(*legs[0].upstream, *"s0r0");
    let other = host.result(&mut gather, &legs[0], UNREACHABLE);
    host.result(&mut gather, &other[0], answer(&other[0]));
    let mut probes = Vec::new();
    for i in 0..1000 {
        host.now += ms(1);
        let (mut gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
        let mut leg = legs[0].clone();
        if *leg.upstream == *"s0r0" {
            probes.push(i);
            leg = host.result(&mut gather, &leg, UNREACHABLE).remove(0);
        }
        host.result(&mut gather, &leg, answer(&leg));
    }
    assert!((2..=4).contains(&probes.len()), "probes at {probes:?} ms");
    host.now += ms(5000);
    let (mut gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
    assert_eq!(
        *legs[0].upstream, *"s0r0",
        "the unreachable upstream was not probed"
    );
    for _ in 0..5 {
        let (_gather, others) = host.start("atlas", &[snapshot(1, 1, 3)]);
        assert_ne!(
            *others[0].upstream, *"s0r0",
            "a second probe was sent before the first one ended"
        );
    }
    host.result(&mut gather, &legs[0], answer(&legs[0]));
    let (_gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
    assert_eq!(
        *legs[0].upstream, *"s0r0",
        "the upstream was not used after a successful probe"
    );
}

#[test]
fn leaving_and_out_get_nothing() {
    let mut host = zones();
    let (mut gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
    host.result(&mut gather, &legs[0], LegResult::Refused(Refusal::Leaving));
    host.stats.set_out_of_service("s0r1", true);
    for _ in 0..20 {
        let (_gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
        assert_eq!(*legs[0].upstream, *"s0r2");
    }
    host.stats.set_out_of_service("s0r1", false);
    let used = (0..30).any(|_| *host.start("atlas", &[snapshot(1, 1, 3)]).1[0].upstream == *"s0r1");
    assert!(used, "an upstream back in service got no legs");
    host.stats.set_upstreams([("s0r1".into(), "z1".into())]);
    for _ in 0..60 {
        let (_gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
        assert_eq!(
            *legs[0].upstream, *"s0r1",
            "an upstream that is not configured got a leg"
        );
    }
}

#[test]
fn hanging_upstream_is_avoided() {
    let mut host = TestHost::new(config());
    host.record_latency(200, ms(5));
    host.policy.deadline_ms = 100;
    host.stats
        .set_upstreams((0..3).map(|i| (format!("s0r{i}").into(), format!("z{i}").into())));
    for _ in 0..2 {
        let (mut gather, legs) = host.start("warm", &[snapshot(1, 1, 3)]);
        assert_eq!(*legs[0].upstream, *"s0r0");
        host.advance(&mut gather, ms(100));
    }
    let (_gather, legs) = host.start("warm", &[snapshot(1, 1, 3)]);
    assert_ne!(
        *legs[0].upstream, *"s0r0",
        "an upstream was used after two legs hung on it until their deadline"
    );
}

#[test]
fn canaries_use_two_zones() {
    let mut host = TestHost::new(config());
    let upstream = |s, r| (format!("s{s}r{r}").into(), format!("z{r}").into());
    host.stats
        .set_upstreams((0..5).flat_map(|s| (0..3).map(move |r| upstream(s, r))));
    for i in 0..20 {
        let (_gather, legs) = host.start(&i.to_string(), &[snapshot(1, 5, 3)]);
        let zone = |leg: usize| legs[leg].upstream[3..].to_owned();
        assert!(legs.len() == 2 && zone(0) != zone(1), "{legs:?}");
    }
}
