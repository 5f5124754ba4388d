//! Guards against hedges beyond the budget, and against hedges that go to a
//! replica that is no better.

mod common;

use common::{World, answer, config, iterations, ms, snapshot};
use cornelwinch_gather::Gather;
use cornelwinch_types::LegRequest;
use fastrand::Rng;

#[test]
fn hedges_stay_within_the_budget() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let mut world = World::seeded(config(), seed);
        world.warm(150, ms(5));
        world.policy.hedge_quantile = Some(0.1);
        for _ in 0..20 {
            let (mut gather, legs) = world.start("warm", &[snapshot(1, 30, 3)]);
            // Every leg is later than the learned latency.
            let hedges = world.pass(&mut gather, ms(rng.u64(5..30)));
            for leg in legs.iter().chain(&hedges) {
                world.result(&mut gather, leg, answer(leg));
            }
            let counters = world.stats.counters();
            assert!(
                counters.hedges * 100 <= counters.legs * 3,
                "seed {seed}: {counters:?}"
            );
        }
        let hedges = world.stats.counters().hedges;
        assert!(hedges >= 5, "seed {seed}: only {hedges} hedges");
    }
}

/// Starts a query after `warm` queries of 100 legs, which earn three tokens
/// each, and lets its hedges go out. Returns the legs, the hedges last.
fn hedge(world: &mut World, warm: u32, shards: u64, replicas: u64) -> (Gather, Vec<LegRequest>) {
    for _ in 0..warm {
        world.warm(100, ms(5));
    }
    world.policy.hedge_quantile = Some(0.9);
    let (mut gather, mut legs) = world.start("warm", &[snapshot(1, shards, replicas)]);
    assert!(
        world.pass(&mut gather, ms(4)).is_empty(),
        "hedged before the quantile"
    );
    legs.extend(world.pass(&mut gather, ms(2)));
    assert_eq!(
        legs.len() as u64,
        2 * shards,
        "not hedged after the quantile"
    );
    (gather, legs)
}

#[test]
fn first_answer_wins() {
    for hedge_wins in [false, true] {
        let mut world = World::new(config());
        let (mut gather, legs) = hedge(&mut world, 1, 2, 3);
        let of_shard = |start| legs.iter().filter(move |leg| leg.range.start == start);
        let pair: Vec<_> = of_shard(0).collect();
        assert_ne!(pair[0].upstream, pair[1].upstream);
        let (winner, loser) = (
            pair[usize::from(hedge_wins)],
            pair[usize::from(!hedge_wins)],
        );
        world.result(&mut gather, winner, answer(winner));
        assert_eq!(world.cancelled(), [loser.attempt], "the loser runs on");
        world.result(&mut gather, loser, answer(loser));
        assert!(world.out.is_empty(), "the loser's answer had an effect");
        assert_eq!(world.stats.outstanding(&loser.upstream), 0);
        for leg in of_shard(10) {
            world.result(&mut gather, leg, answer(leg));
        }
        let answered = world
            .finished()
            .expect("one answer of each shard is enough");
        assert_eq!(
            (answered.coverage, answered.attempts, answered.hedges),
            (1.0, 4, 2)
        );
    }
}

#[test]
fn hedge_goes_to_the_least_loaded() {
    let mut world = World::new(config());
    world.prove("busy");
    let mut busy = snapshot(1, 1, 3);
    busy.shards[0].replicas = vec!["s0r1".into()];
    let queries: Vec<_> = (0..8)
        .map(|_| world.start("busy", &[busy.clone()]))
        .collect();
    for _ in 0..20 {
        let (mut gather, legs) = hedge(&mut world, 1, 1, 3);
        assert!(
            legs.iter().all(|leg| *leg.upstream != *"s0r1"),
            "leg on the busy replica"
        );
        world.result(&mut gather, &legs[0], answer(&legs[0]));
        world.finished().expect("answered");
    }
    drop(queries);
}

#[test]
fn second_hedge_needs_spare_tokens() {
    for (warm, expected) in [(1, 0), (3, 1)] {
        let mut world = World::new(config());
        let (mut gather, _) = hedge(&mut world, warm, 1, 4);
        let second = world.pass(&mut gather, ms(50));
        assert_eq!(second.len(), expected, "after {warm} queries");
    }
}
