//! Guards against requests that crash one upstream after the other, and
//! against harmless requests being quarantined because upstreams restart.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{DISCONNECTED, World, answer, config, iterations, ms, snapshot};
use cornelwinch_gather::{AnswerReason, Gather, Quarantine, QuarantineConfig};
use cornelwinch_types::{Fingerprint, LegRequest, LegResult, Outcome, Refusal};
use fastrand::Rng;

#[test]
fn ten_sends_take_down_two_upstreams() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let mut world = World::seeded(config(), seed);
        world.warm(200, ms(5));
        world.policy.hedge_quantile = Some(0.9);
        world.policy.deadline_ms = rng.u64(20..300);
        let snapshots = [snapshot(1, 30, 3)];
        let (mut crashed, mut refused) = (BTreeSet::new(), 0);
        let mut queries: Vec<Gather> = Vec::new();
        let mut pending: Vec<(Duration, LegRequest)> = Vec::new();
        let start = world.now;
        let mut sends: Vec<u64> = (0..10).map(|_| rng.u64(0..1000)).collect();
        sends.sort_unstable();
        for at in 0..2000 {
            while sends.first() == Some(&at) {
                sends.remove(0);
                let (gather, legs) = world.start("poison", &snapshots);
                queries.push(gather);
                pending.extend(legs.into_iter().map(|leg| (ms(at + rng.u64(1..60)), leg)));
            }
            let (due, rest) = pending.into_iter().partition(|(t, _)| *t <= ms(at));
            pending = rest;
            let due: Vec<(Duration, LegRequest)> = due;
            for (_, leg) in due {
                crashed.insert(leg.upstream.clone());
                for gather in &mut queries {
                    let legs = world.result(gather, &leg, DISCONNECTED);
                    pending.extend(legs.into_iter().map(|leg| (ms(at + rng.u64(1..60)), leg)));
                }
            }
            let next = start + ms(at + 1);
            for gather in &mut queries {
                let legs = world.pass(gather, Duration::ZERO);
                pending.extend(legs.into_iter().map(|leg| (ms(at + rng.u64(1..60)), leg)));
            }
            world.now = next;
        }
        while let Some(answer) = world.finished() {
            refused += u32::from(answer.reason == Some(AnswerReason::Quarantined));
            assert!(answer.covered.is_empty(), "seed {seed}: {answer:?}");
        }
        assert!(crashed.len() <= 2, "seed {seed}: crashed {crashed:?}");
        assert!(refused > 0, "seed {seed}: never quarantined");
        let (_, legs) = world.start("poison", &snapshots);
        let answer = world.finished().expect("refused at once");
        assert!(
            legs.is_empty() && answer.outcome == Outcome::NotRun,
            "seed {seed}: {answer:?}"
        );
        assert_eq!(
            world.stats.quarantine_mut().take_new().len(),
            1,
            "seed {seed}"
        );
    }
}

#[test]
fn suspect_runs_alone_and_is_cleared() {
    let mut world = World::new(config());
    world.prove("atlas");
    let snapshots = [snapshot(1, 3, 3)];
    let (mut first, legs) = world.start("atlas", &snapshots);
    let probe = world.result(&mut first, &legs[0], DISCONNECTED);
    assert!(
        probe.is_empty(),
        "a retry started beside the other legs of a suspect"
    );
    let (mut second, legs_of_second) = world.start("atlas", &snapshots);
    assert!(legs_of_second.is_empty(), "a suspect request started again");
    let probe = world.result(&mut first, &legs[1], answer(&legs[1]));
    assert_eq!(
        probe.len(),
        1,
        "the lost range is probed once another one is answered"
    );
    let others = world.pass(&mut second, ms(5));
    assert!(
        others.iter().all(|leg| leg.range != probe[0].range),
        "two probes of one range"
    );
    world.result(&mut first, &probe[0], answer(&probe[0]));
    let rest = world.pass(&mut second, ms(5));
    assert_eq!(others.len() + rest.len(), 3);
    for _ in 0..2 {
        let (_gather, legs) = world.start("atlas", &snapshots);
        assert_eq!(legs.len(), 3, "an answer did not clear the request");
    }
}

/// Starts one leg for each of `bodies`, loses all of them at once `events`
/// times on replicas not used before, and returns the number of quarantined
/// requests. The other requests have to be answered.
fn restart_upstreams(bodies: usize, events: u64) -> usize {
    let mut world = World::new(config());
    let snapshots = [snapshot(1, 1, 1 + events)];
    let mut queries: Vec<_> = (0..bodies)
        .map(|i| world.start(&format!("body{i}"), &snapshots))
        .collect();
    for _ in 0..events {
        for (gather, legs) in &mut queries {
            *legs = world.result(gather, &legs[0].clone(), DISCONNECTED);
        }
        world.now += ms(60);
        for (gather, legs) in &mut queries {
            legs.extend(world.pass(gather, Duration::ZERO));
        }
    }
    for (gather, legs) in &mut queries {
        if let Some(leg) = legs.first() {
            world.result(gather, leg, answer(leg));
        }
    }
    let answers: Vec<_> = std::iter::from_fn(|| world.finished()).collect();
    let done = answers
        .iter()
        .filter(|answer| answer.outcome == Outcome::Done)
        .count();
    assert_eq!(answers.len(), bodies);
    bodies - done
}

#[test]
fn mass_restarts_quarantine_nothing() {
    let lone = restart_upstreams(1, 2);
    assert_eq!(lone, 1, "a lone request lost twice is not quarantined");
    let harmless = restart_upstreams(20, 3);
    assert_eq!(harmless, 0, "restarts quarantine harmless requests");
    let repeated = restart_upstreams(20, 4);
    assert_eq!(
        repeated, 20,
        "four losses in a row in mass events are ignored"
    );
}

#[test]
fn rack_failure_quarantines_nothing() {
    let mut world = World::new(config());
    world.prove("atlas");
    let (mut gather, legs) = world.start("atlas", &[snapshot(1, 6, 3)]);
    let mut retries = Vec::new();
    for leg in &legs[..4] {
        retries.extend(world.result(&mut gather, leg, DISCONNECTED));
    }
    for leg in &legs[4..] {
        retries.extend(world.result(&mut gather, leg, answer(leg)));
    }
    while let Some(leg) = retries.pop() {
        retries.extend(world.result(&mut gather, &leg, answer(&leg)));
    }
    let answer = world.finished().expect("all retries answered");
    assert_eq!((answer.outcome, answer.coverage), (Outcome::Done, 1.0));
    assert_eq!(world.stats.quarantine_mut().len(), 0);
}

#[test]
fn crash_after_the_deadline_counts() {
    let mut world = World::new(config());
    world.policy.deadline_ms = 20;
    for i in 0..2 {
        let (mut gather, legs) = world.start("slow poison", &[snapshot(i, 1, 3)]);
        assert_eq!(legs.len(), 1);
        world.pass(&mut gather, ms(100));
        world
            .stats
            .on_late_result(world.now, legs[0].attempt, &DISCONNECTED);
        world.now += ms(100);
    }
    let (_, legs) = world.start("slow poison", &[snapshot(1, 1, 3)]);
    assert!(legs.is_empty(), "a third upstream is exposed");
}

#[test]
fn refusal_of_an_owner_ends_the_query() {
    let mut world = World::new(config());
    world.prove("atlas");
    let (mut gather, legs) = world.start("atlas", &[snapshot(1, 1, 3)]);
    let refusal = LegResult::Refused(Refusal::Quarantined);
    assert!(
        world.result(&mut gather, &legs[0], refusal).is_empty(),
        "tried elsewhere"
    );
    let answer = world.finished().expect("refused");
    assert_eq!(answer.outcome, Outcome::NotRun);
    assert_eq!(answer.reason, Some(AnswerReason::Quarantined));
}

#[test]
fn marks_expire_and_are_bounded() {
    let now = std::time::Instant::now();
    let max_marks = 16;
    let mut quarantine = Quarantine::new(QuarantineConfig {
        max_marks,
        ..QuarantineConfig::default()
    });
    for i in 0..100 {
        quarantine.add(
            now,
            Fingerprint::of("portal", &i.to_string()),
            Duration::from_secs(60 + i),
        );
    }
    let last = Fingerprint::of("portal", "99");
    assert_eq!(quarantine.len(), max_marks);
    assert!(quarantine.is_marked(now + Duration::from_secs(158), last));
    assert!(!quarantine.is_marked(now + Duration::from_secs(159), last));
    assert!(
        quarantine.take_new().is_empty(),
        "marks of other hosts are sent on"
    );
}
