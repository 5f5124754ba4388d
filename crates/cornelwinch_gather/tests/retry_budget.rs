//! Guards against legs that fail although another replica could run them, and against retries that
//! multiply the load during an outage or overload.

mod common;

use common::{DISCONNECTED, OVERLOADED, TestHost, UNREACHABLE, answer, config, ms, snapshot};
use cornelwinch_gather::AnswerReason;
use cornelwinch_types::{LegFailure, LegResult, Outcome, Refusal};

#[test]
fn refused_leg_goes_to_each_replica() {
    let causes = [
        UNREACHABLE,
        OVERLOADED,
        LegResult::Refused(Refusal::NotOwner { owner: None }),
        LegResult::Refused(Refusal::Leaving),
        LegResult::Failed(LegFailure::TimedOut),
        LegResult::Failed(LegFailure::OwnerLost),
    ];
    for cause in causes {
        let mut host = TestHost::new(config());
        let (mut gather, mut legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
        for i in 0..2 {
            let next = host.result(&mut gather, &legs[i].clone(), cause.clone());
            assert_eq!(next.len(), 1, "{cause:?}");
            assert!(
                legs.iter().all(|leg| leg.upstream != next[0].upstream),
                "{cause:?}"
            );
            legs.extend(next);
        }
        host.result(&mut gather, &legs[2], answer(&legs[2]));
        let answered = host.finished().expect("answered");
        assert_eq!(
            (answered.coverage, answered.attempts),
            (1.0, 3),
            "{cause:?}"
        );
    }
}

#[test]
fn refused_round_waits() {
    let mut host = TestHost::new(config());
    let (mut gather, mut legs) = host.start("atlas", &[snapshot(1, 1, 2)]);
    legs = host.result(&mut gather, &legs[0], UNREACHABLE);
    assert!(
        host.result(&mut gather, &legs[0], UNREACHABLE).is_empty(),
        "a leg was retried without delay after all replicas had refused it"
    );
    let retries = host.advance(&mut gather, ms(10));
    assert_eq!(retries.len(), 1, "the leg was not retried after the delay");
    let answered = host.result(&mut gather, &retries[0], answer(&retries[0]));
    assert!(answered.is_empty() && host.finished().is_some());
}

#[test]
fn overload_is_not_multiplied() {
    let mut host = TestHost::new(config());
    let (mut gather, mut legs) = host.start("atlas", &[snapshot(1, 1, 3)]);
    while let Some(leg) = legs.pop() {
        legs.extend(host.result(&mut gather, &leg, OVERLOADED));
        legs.extend(host.advance(&mut gather, ms(100)));
    }
    let answered = host.finished().expect("the query ends before the deadline");
    assert_eq!((answered.outcome, answered.attempts), (Outcome::NotRun, 4));
    assert_eq!(answered.reason, Some(AnswerReason::Overloaded));
}

#[test]
fn outage_stays_within_the_budget() {
    for cause in [
        UNREACHABLE,
        DISCONNECTED,
        LegResult::Failed(LegFailure::Upstream),
    ] {
        let mut host = TestHost::new(config());
        host.policy.deadline_ms = 100;
        let (start, settings) = (host.now, config());
        for i in 0..200 {
            let (mut gather, mut legs) = host.start(&i.to_string(), &[snapshot(1, 10, 3)]);
            while !gather.is_finished() {
                for leg in std::mem::take(&mut legs) {
                    legs.extend(host.result(&mut gather, &leg, cause.clone()));
                }
                legs.extend(host.advance(&mut gather, ms(5)));
            }
        }
        let counters = host.stats.counters();
        let seconds = (host.now - start).as_secs_f64();
        let earned = counters.legs as f64 * settings.retry_ratio + seconds * settings.retry_per_s;
        let allowed = settings.retry_burst + earned;
        assert!(
            counters.retries as f64 <= allowed,
            "{cause:?}: {counters:?} allowed {allowed}"
        );
        assert!(counters.retries > 100, "{cause:?}: {counters:?}");
    }
}
