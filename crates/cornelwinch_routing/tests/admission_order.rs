//! Order in which requests get the capacity that a limit leaves.

use std::time::{Duration, Instant};

use cornelwinch_routing::{AdmissionOrder, AdmissionTurn, Caller};

fn caller(organisation: &str, priority: u32) -> Caller {
    Caller {
        organisation: Some(organisation.into()),
        priority,
        can_meet_goal: true,
    }
}

/// Offers requests at the given rates for some seconds, and returns the share of each that may
/// start at the limit.
fn admitted(
    order: &mut AdmissionOrder,
    now: &mut Instant,
    seconds: u64,
    limit: f64,
    load: &[(Caller, f64)],
) -> Vec<f64> {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut counts = vec![[0.0_f64; 2]; load.len()];
    for _ in 0..seconds * 1_000 {
        *now += Duration::from_millis(1);
        for ((caller, per_second), [offered, started]) in load.iter().zip(&mut counts) {
            if rng.f64() < per_second / 1_000.0 {
                order.record_arrival(*now, caller);
                *offered += 1.0;
                if order.turn(*now, caller, limit, rng.f64()) != AdmissionTurn::Wait {
                    order.record_start(*now);
                    *started += 1.0;
                }
            }
        }
    }
    counts.iter().map(|[all, some]| some / all).collect()
}

/// Guards against starved levels, and against callers that have waited too long and take the
/// capacity of those that can still be answered in time.
#[test]
fn levels_in_turn() {
    let (mut order, mut now) = (AdmissionOrder::default(), Instant::now());
    let late = Caller {
        can_meet_goal: false,
        ..caller("a", 0)
    };
    let load = [(caller("a", 0), 2.0), (caller("a", 1), 4.0), (late, 4.0)];
    let shares = admitted(&mut order, &mut now, 200, 0.6, &load);
    assert!(shares[0] > 0.9, "{shares:?}");
    assert!(shares[0] > shares[1] && shares[1] > shares[2], "{shares:?}");
    assert!(shares[2] > 0.01, "{shares:?}");
    // Capacity for all: nobody waits.
    let shares = admitted(&mut order, &mut now, 20, 10.0, &load);
    assert_eq!(shares, [1.0; 3]);
    // Capacity that the urgent ones leave goes to anyone.
    let shares = admitted(&mut order, &mut now, 60, 0.6, &load[1..2]);
    assert!(shares[0] > 0.8, "{shares:?}");
}

/// Guards against an organisation above its usual load that is served at the expense of others,
/// and against a large one that is refused although it sends what it always sends.
#[test]
fn usual_load_is_the_share() {
    let (mut order, mut now) = (AdmissionOrder::default(), Instant::now());
    let mut load: Vec<_> = (0..20)
        .map(|n| (caller(&format!("o{n}"), 1), 0.1))
        .collect();
    load[0].1 = 1.0;
    load[1].1 = 0.5;
    admitted(&mut order, &mut now, 120, 10.0, &load);
    load[1].1 *= 7.0;
    let shares = admitted(&mut order, &mut now, 20, 0.5, &load);
    println!("shares at seven times the usual load of the second: {shares:.2?}");
    assert!(shares[1] < 0.7 * shares[0], "{shares:?}");
    let small = shares[2..].iter().copied().filter(|share| !share.is_nan());
    let small: Vec<f64> = small.collect();
    let mean = small.iter().sum::<f64>() / small.len() as f64;
    assert!(mean > 0.9, "{shares:?}");
}

/// Guards against memory that grows with the names of callers.
#[test]
fn bounded_classes() {
    let (mut order, now) = (AdmissionOrder::default(), Instant::now());
    for n in 0..2_000 {
        order.record_arrival(now, &caller(&format!("o{n}"), 1));
    }
    let total: f64 = order.demand().iter().map(|(_, demand)| demand).sum();
    assert_eq!(total, 2_000.0);
    let text = format!("{order:?}");
    assert!(text.matches("organisation").count() <= 257);
    order.forget_idle(now + Duration::from_secs(3_600));
    assert!(order.is_empty());
}
