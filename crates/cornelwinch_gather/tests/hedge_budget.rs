//! Guards against more hedges than the budget allows, and against hedges that go to the replica in
//! use or to a busier one.

mod common;

use common::{TestHost, answer, config, iterations, ms, snapshot};
use cornelwinch_gather::Gather;
use cornelwinch_types::LegRequest;
use fastrand::Rng;

#[test]
fn hedges_stay_within_the_budget() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let mut host = TestHost::seeded(config(), seed);
        host.record_latency(150, ms(5));
        host.policy.hedge_quantile = Some(0.1);
        for _ in 0..20 {
            let (mut gather, legs) = host.start("warm", &[snapshot(1, 30, 3)]);
            // Every leg takes longer than the recorded latency.
            let hedges = host.advance(&mut gather, ms(rng.u64(5..30)));
            for leg in legs.iter().chain(&hedges) {
                host.result(&mut gather, leg, answer(leg));
            }
            let counters = host.stats.counters();
            assert!(
                counters.hedges * 100 <= counters.legs * 3,
                "seed {seed}: {counters:?}"
            );
        }
        let hedges = host.stats.counters().hedges;
        assert!(hedges >= 5, "seed {seed}: only {hedges} hedges");
    }
}

/// Starts a query after `warm` queries of 100 legs, each of which earns three hedge tokens, and
/// advances the time until its hedges are sent. Returns the legs, with the hedges last.
fn hedge(host: &mut TestHost, warm: u32, shards: u64, replicas: u64) -> (Gather, Vec<LegRequest>) {
    for _ in 0..warm {
        host.record_latency(100, ms(5));
    }
    host.policy.hedge_quantile = Some(0.9);
    let (mut gather, mut legs) = host.start("warm", &[snapshot(1, shards, replicas)]);
    assert!(
        host.advance(&mut gather, ms(4)).is_empty(),
        "a hedge was sent before the latency quantile"
    );
    legs.extend(host.advance(&mut gather, ms(2)));
    assert_eq!(
        legs.len() as u64,
        2 * shards,
        "no hedge was sent after the latency quantile"
    );
    (gather, legs)
}

#[test]
fn first_answer_wins() {
    for hedge_wins in [false, true] {
        let mut host = TestHost::new(config());
        let (mut gather, legs) = hedge(&mut host, 1, 2, 3);
        let of_shard = |start| legs.iter().filter(move |leg| leg.range.start == start);
        let pair: Vec<_> = of_shard(0).collect();
        assert_ne!(pair[0].upstream, pair[1].upstream);
        let (winner, loser) = (
            pair[usize::from(hedge_wins)],
            pair[usize::from(!hedge_wins)],
        );
        host.result(&mut gather, winner, answer(winner));
        assert_eq!(
            host.cancelled(),
            [loser.attempt],
            "the slower attempt was not cancelled"
        );
        host.result(&mut gather, loser, answer(loser));
        assert!(
            host.out.is_empty(),
            "the answer of a cancelled attempt had an effect"
        );
        assert_eq!(host.stats.outstanding(&loser.upstream), 0);
        for leg in of_shard(10) {
            host.result(&mut gather, leg, answer(leg));
        }
        let answered = host.finished().expect("one answer of each shard is enough");
        assert_eq!(
            (answered.coverage, answered.attempts, answered.hedges),
            (1.0, 4, 2)
        );
    }
}

#[test]
fn hedge_goes_to_the_least_loaded() {
    let mut host = TestHost::new(config());
    host.mark_answered("busy");
    let mut busy = snapshot(1, 1, 3);
    busy.shards[0].replicas = vec!["s0r1".into()];
    let queries: Vec<_> = (0..8)
        .map(|_| host.start("busy", &[busy.clone()]))
        .collect();
    for _ in 0..20 {
        let (mut gather, legs) = hedge(&mut host, 1, 1, 3);
        assert!(
            legs.iter().all(|leg| *leg.upstream != *"s0r1"),
            "a leg or hedge was sent to the busy replica"
        );
        host.result(&mut gather, &legs[0], answer(&legs[0]));
        host.finished().expect("answered");
    }
    drop(queries);
}

#[test]
fn second_hedge_needs_spare_tokens() {
    for (warm, expected) in [(1, 0), (3, 1)] {
        let mut host = TestHost::new(config());
        let (mut gather, _) = hedge(&mut host, warm, 1, 4);
        let second = host.advance(&mut gather, ms(50));
        assert_eq!(second.len(), expected, "after {warm} queries");
    }
}
