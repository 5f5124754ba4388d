//! Placement by expected work against placement by latency, on the same load.

mod replay;

use cornelwinch_routing::PlacementMode;

use self::replay::{Load, PEEK, SWEEP, Scenario, Tally, play};

const BOOKING: Load = Load {
    name: "booking",
    rate: 26.4,
    work: 60.0,
    goal: 300.0,
};
const UNEVEN: [f64; 3] = [0.8, 1.0, 1.3];

/// Plays a scenario in the modes `latency` and `learned`, and prints both.
fn compare(scenario: &Scenario) -> [Tally; 2] {
    let modes = [PlacementMode::Latency, PlacementMode::Learned];
    modes.map(|mode| {
        let tally = play(mode, scenario);
        println!(
            "{:<22} {:<8} mean={:6.1} p99={:6.1} value={:.4} refused={:<4} wasted={:.4}",
            scenario.name,
            format!("{mode:?}"),
            tally.mean(),
            tally.p99(),
            tally.mean_value(),
            tally.refused,
            tally.wasted(),
        );
        tally
    })
}

fn scenarios() -> Vec<Scenario> {
    let busy = [SWEEP, PEEK].map(|load| Load {
        rate: load.rate * 12.0,
        ..load
    });
    let uneven = Scenario {
        speeds: UNEVEN,
        ..Scenario::default()
    };
    let scenario = |name, scenario: Scenario| Scenario { name, ..scenario };
    let booking = Scenario {
        loads: vec![BOOKING],
        shards: 1,
        replicas: 9,
        seconds: 160,
        ..uneven.clone()
    };
    vec![
        scenario("uneven", uneven.clone()),
        scenario(
            "noise",
            Scenario {
                noise: 0.15,
                ..uneven.clone()
            },
        ),
        scenario(
            "no_pauses",
            Scenario {
                has_pauses: false,
                noise: 0.15,
                ..uneven.clone()
            },
        ),
        scenario(
            "one_zone",
            Scenario {
                hop: 0.5,
                noise: 0.15,
                ..uneven.clone()
            },
        ),
        scenario("single", booking.clone()),
        scenario(
            "single_busy",
            Scenario {
                loads: vec![Load {
                    rate: 300.0,
                    ..BOOKING
                }],
                seconds: 40,
                ..booking.clone()
            },
        ),
        scenario(
            "long_and_short",
            Scenario {
                loads: vec![
                    Load {
                        rate: 60.0,
                        ..BOOKING
                    },
                    Load {
                        rate: 240.0,
                        ..PEEK
                    },
                ],
                hop: 0.5,
                ..uneven.clone()
            },
        ),
        scenario(
            "minority_slow",
            Scenario {
                gets_slow: 0.15,
                ..uneven.clone()
            },
        ),
        scenario(
            "30_hosts",
            Scenario {
                hosts: 30,
                loads: busy.to_vec(),
                seconds: 10,
                ..uneven.clone()
            },
        ),
        scenario(
            "300_hosts",
            Scenario {
                hosts: 300,
                loads: busy.to_vec(),
                seconds: 10,
                ..uneven.clone()
            },
        ),
        scenario(
            "refusals",
            Scenario {
                refuses: 0.3,
                ..uneven.clone()
            },
        ),
        scenario(
            "restart",
            Scenario {
                restarts: true,
                ..uneven.clone()
            },
        ),
        scenario(
            "tenfold",
            Scenario {
                change: 10.0,
                ..uneven.clone()
            },
        ),
        scenario(
            "tenth",
            Scenario {
                change: 0.1,
                ..uneven
            },
        ),
    ]
}

/// Guards against a placement that is worse than the one by latency, also where what it has
/// learned is wrong.
#[test]
fn expected_work_is_not_worse() {
    let results: Vec<_> = scenarios().iter().map(|s| (s.name, compare(s))).collect();
    for (name, [old, new]) in results {
        assert!(new.mean() <= old.mean() * 1.05, "mean of {name}");
        assert!(new.p99() <= old.p99() * 1.05, "p99 of {name}");
        assert!(
            new.mean_value() >= old.mean_value() * 0.95,
            "value of {name}"
        );
        assert!(new.wasted() <= old.wasted() + 0.05, "wasted work of {name}");
    }
}

/// Guards against a change of choices where speeds and costs are even.
#[test]
fn even_upstreams_are_chosen_as_before() {
    let even = Scenario {
        loads: vec![SWEEP],
        noise: 0.15,
        ..Scenario::default()
    };
    let [old, new] = compare(&even);
    assert_eq!(old, new);
}
