//! Guards against a request that is retried after it crashed an upstream and so crashes one
//! upstream after the other, and against the quarantine of harmless requests whose attempts are
//! lost because upstreams restart.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::{DISCONNECTED, TestHost, answer, config, iterations, ms, snapshot};
use cornelwinch_gather::{AnswerReason, Gather, Quarantine, QuarantineConfig};
use cornelwinch_types::{Fingerprint, LegRequest, LegResult, Outcome, Refusal};
use fastrand::Rng;

#[test]
fn ten_sends_take_down_two_upstreams() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let mut host = TestHost::seeded(config(), seed);
        host.record_latency(200, ms(5));
        host.policy.hedge_quantile = Some(0.9);
        host.policy.deadline_ms = rng.u64(20..300);
        let snapshots = [snapshot(1, 30, 3)];
        let (mut crashed, mut refused) = (BTreeSet::new(), 0);
        let mut queries: Vec<Gather> = Vec::new();
        let mut pending: Vec<(Duration, LegRequest)> = Vec::new();
        let start = host.now;
        let mut sends: Vec<u64> = (0..10).map(|_| rng.u64(0..1000)).collect();
        sends.sort_unstable();
        for at in 0..2000 {
            while sends.first() == Some(&at) {
                sends.remove(0);
                let (gather, legs) = host.start("poison", &snapshots);
                queries.push(gather);
                pending.extend(legs.into_iter().map(|leg| (ms(at + rng.u64(1..60)), leg)));
            }
            let (due, rest) = pending.into_iter().partition(|(t, _)| *t <= ms(at));
            pending = rest;
            let due: Vec<(Duration, LegRequest)> = due;
            for (_, leg) in due {
                crashed.insert(leg.upstream.clone());
                for gather in &mut queries {
                    let legs = host.result(gather, &leg, DISCONNECTED);
                    pending.extend(legs.into_iter().map(|leg| (ms(at + rng.u64(1..60)), leg)));
                }
            }
            let next = start + ms(at + 1);
            for gather in &mut queries {
                let legs = host.advance(gather, Duration::ZERO);
                pending.extend(legs.into_iter().map(|leg| (ms(at + rng.u64(1..60)), leg)));
            }
            host.now = next;
        }
        while let Some(answer) = host.finished() {
            refused += u32::from(answer.reason == Some(AnswerReason::Quarantined));
            assert!(answer.covered.is_empty(), "seed {seed}: {answer:?}");
        }
        assert!(crashed.len() <= 2, "seed {seed}: crashed {crashed:?}");
        assert!(
            refused > 0,
            "seed {seed}: the request was never quarantined"
        );
        let (_, legs) = host.start("poison", &snapshots);
        let answer = host.finished().expect("refused at once");
        assert!(
            legs.is_empty() && answer.outcome == Outcome::NotRun,
            "seed {seed}: {answer:?}"
        );
        assert_eq!(
            host.stats.quarantine_mut().take_new().len(),
            1,
            "seed {seed}"
        );
    }
}

#[test]
fn suspect_runs_alone_and_is_cleared() {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    let snapshots = [snapshot(1, 3, 3)];
    let (mut first, legs) = host.start("atlas", &snapshots);
    let probe = host.result(&mut first, &legs[0], DISCONNECTED);
    assert!(
        probe.is_empty(),
        "a lost leg was retried while other legs of the request were running"
    );
    let (mut second, legs_of_second) = host.start("atlas", &snapshots);
    assert!(
        legs_of_second.is_empty(),
        "a second query of the request started before the loss was cleared"
    );
    let probe = host.result(&mut first, &legs[1], answer(&legs[1]));
    assert_eq!(
        probe.len(),
        1,
        "the lost range was not retried after another range was answered"
    );
    let others = host.advance(&mut second, ms(5));
    assert!(
        others.iter().all(|leg| leg.range != probe[0].range),
        "two attempts at the lost range ran at once"
    );
    host.result(&mut first, &probe[0], answer(&probe[0]));
    let rest = host.advance(&mut second, ms(5));
    assert_eq!(others.len() + rest.len(), 3);
    for _ in 0..2 {
        let (_gather, legs) = host.start("atlas", &snapshots);
        assert_eq!(
            legs.len(),
            3,
            "the request was held back after it had been answered"
        );
    }
}

/// Starts one leg for each of `bodies` requests, disconnects all of them at once `events` times,
/// each time on replicas not used before, and returns the number of quarantined requests. Checks
/// that the other requests are answered.
fn restart_upstreams(bodies: usize, events: u64) -> usize {
    let mut host = TestHost::new(config());
    let snapshots = [snapshot(1, 1, 1 + events)];
    let mut queries: Vec<_> = (0..bodies)
        .map(|i| host.start(&format!("body{i}"), &snapshots))
        .collect();
    for _ in 0..events {
        for (gather, legs) in &mut queries {
            *legs = host.result(gather, &legs[0].clone(), DISCONNECTED);
        }
        host.now += ms(60);
        for (gather, legs) in &mut queries {
            legs.extend(host.advance(gather, Duration::ZERO));
        }
    }
    for (gather, legs) in &mut queries {
        if let Some(leg) = legs.first() {
            host.result(gather, leg, answer(leg));
        }
    }
    let answers: Vec<_> = std::iter::from_fn(|| host.finished()).collect();
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
    assert_eq!(
        lone, 1,
        "a single request lost on two upstreams was not quarantined"
    );
    let harmless = restart_upstreams(20, 3);
    assert_eq!(
        harmless, 0,
        "harmless requests were quarantined after restarts"
    );
    let repeated = restart_upstreams(20, 4);
    assert_eq!(
        repeated, 20,
        "requests lost in four mass failures in a row were not quarantined"
    );
}

#[test]
fn rack_failure_quarantines_nothing() {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    let (mut gather, legs) = host.start("atlas", &[snapshot(1, 6, 3)]);
    let mut retries = Vec::new();
    for leg in &legs[..4] {
        retries.extend(host.result(&mut gather, leg, DISCONNECTED));
    }
    for leg in &legs[4..] {
        retries.extend(host.result(&mut gather, leg, answer(leg)));
    }
    while let Some(leg) = retries.pop() {
        retries.extend(host.result(&mut gather, &leg, answer(&leg)));
    }
    let answer = host.finished().expect("all retries answered");
    assert_eq!((answer.outcome, answer.coverage), (Outcome::Done, 1.0));
    assert_eq!(host.stats.quarantine_mut().len(), 0);
}

#[test]
fn crash_after_the_deadline_counts() {
    let mut host = TestHost::new(config());
    host.policy.deadline_ms = 20;
    for i in 0..2 {
        let (mut gather, legs) = host.start("slow poison", &[snapshot(i, 1, 3)]);
        assert_eq!(legs.len(), 1);
        host.advance(&mut gather, ms(100));
        host.stats
            .on_late_result(host.now, legs[0].attempt, &DISCONNECTED);
        host.now += ms(100);
    }
    let (_, legs) = host.start("slow poison", &[snapshot(1, 1, 3)]);
    assert!(legs.is_empty(), "the request was sent to a third upstream");
}

#[test]
fn refusal_of_an_owner_ends_the_query() {
    let mut host = TestHost::new(config());
    host.mark_answered("atlas");
    let (mut gather, legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
    let refusal = LegResult::Refused(Refusal::Quarantined);
    assert!(
        host.result(&mut gather, &legs[0], refusal).is_empty(),
        "a leg refused as quarantined was retried on another replica"
    );
    let answer = host.finished().expect("refused");
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
        "marks received from other hosts were returned as new"
    );
}
