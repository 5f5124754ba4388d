//! Verdicts on generated versions of a service, and their exposure before the verdict.

mod rollout_plant;

use cornelwinch_routing::RolloutState;
use rollout_plant::{KINDS, Kind, LIMITS, Outcome, run};

fn iterations() -> u64 {
    std::env::var("CORNELWINCH_ITERATIONS").map_or(20, |n| n.parse().expect("a number"))
}

#[derive(Debug, Default)]
struct Summary {
    wrong: u64,
    undecided: u64,
    beyond_share: f64,
    verdict_ms: Vec<u64>,
}

fn run_all(kind: Kind, takeover: bool) -> Summary {
    let mut summary = Summary::default();
    for seed in 0..iterations() {
        let outcome: Outcome = run(seed, kind, takeover.then_some(1_000 + seed * 37 % 9_000));
        let expected = match kind {
            Kind::Good | Kind::NoisyButGood => RolloutState::Completed,
            _ => RolloutState::Reverted,
        };
        summary.wrong += u64::from(outcome.state.is_some_and(|state| state != expected));
        summary.undecided += u64::from(outcome.state.is_none());
        summary.beyond_share = summary.beyond_share.max(outcome.beyond_share);
        summary.verdict_ms.push(outcome.verdict_ms);
        assert!(
            outcome.beyond_share <= LIMITS.exposure_slack,
            "{kind:?} {seed} {outcome:?}"
        );
        assert_eq!(outcome.forbidden, 0, "{kind:?} {seed} {outcome:?}");
    }
    summary.verdict_ms.sort_unstable();
    let times = &summary.verdict_ms;
    println!(
        "kind={kind:?} takeover={takeover} runs={} wrong={} undecided={} beyond_share={:.1} verdict_ms p50={} max={}",
        times.len(),
        summary.wrong,
        summary.undecided,
        summary.beyond_share,
        times[times.len() / 2],
        times[times.len() - 1]
    );
    summary
}

/// Guards against verdicts that chance decides, exposure beyond the bound, verdicts after the end
/// of the order, and legs to a version after the state that forbids it.
#[test]
fn verdicts_are_right_and_exposure_is_bounded() {
    for (kind, summary) in KINDS.map(|kind| (kind, run_all(kind, false))) {
        // The stated chance of a wrong verdict is 1 in 50 for each kind.
        assert!(summary.wrong * 50 <= iterations(), "{kind:?}: {summary:?}");
        assert_eq!(summary.undecided, 0, "{kind:?}");
        assert!(summary.verdict_ms.iter().all(|ms| *ms < 12_000), "{kind:?}");
    }
}

/// Guards against a decider that grants the slack again after it took over.
#[test]
fn takeover_keeps_the_exposure_bound() {
    for kind in KINDS {
        let summary = run_all(kind, true);
        assert_eq!(summary.undecided, 0, "{kind:?}");
    }
}
