//! Answers of a coordinator that no report asks for, or that no sound coordinator sends.

use std::time::{Duration, Instant};

use cornelwinch_routing::{Cap, CapGrant, CapRule, CapStock};
use cornelwinch_types::Name;

/// Returns the stock of one of four hosts that is connected to a coordinator, and the time.
fn stock() -> (CapStock, Name, Instant) {
    let start = Instant::now();
    let rule = CapRule {
        window: Duration::from_secs(5),
        overshoot: 0.1,
        slack: 20.0,
    };
    let cap = Cap {
        rate_per_s: 40.0,
        burst: 10.0,
    };
    let name = Name::from("depot");
    let mut stock = CapStock::new(start, rule);
    stock.set_caps(start, rule, 4, [(&name, &cap)].into_iter());
    stock.connected();
    (stock, name, start + Duration::from_secs(60))
}

fn grant(answered: u64, is_last: bool, tokens: Vec<(Name, u32)>) -> CapGrant {
    CapGrant {
        answered,
        stamp: 0,
        is_last,
        tokens,
        wait_ms: Vec::new(),
    }
}

/// Guards against a faulty coordinator that exhausts the memory of a host by a large grant.
#[test]
fn huge_grant_is_bounded() {
    let (mut stock, name, now) = stock();
    let report = stock.report(now);
    let tokens = vec![(name.clone(), u32::MAX); 1_000];
    stock.record_grant(now, &grant(report.sequence, false, tokens));
    let (held, _) = stock.usage(now, &name).unwrap();
    assert!(held < 5_000.0, "{held}");
}

/// Guards against a share that nobody refills after its coordinator has ended all delegations,
/// until the host sends its next report.
#[test]
fn last_answer_needs_no_report() {
    for is_told in [false, true] {
        let (mut stock, name, mut now) = stock();
        for _ in 0..2 {
            let report = stock.report(now);
            stock.record_grant(now, &grant(report.sequence, false, Vec::new()));
        }
        let (held, _) = stock.usage(now, &name).unwrap();
        if is_told {
            stock.record_grant(now, &grant(0, true, Vec::new()));
        }
        now += Duration::from_millis(250);
        let (later, _) = stock.usage(now, &name).unwrap();
        // A quarter of 40 + 10 / 5 tokens a second for 250 ms.
        let refill = if is_told { 2.625 } else { 0.0 };
        assert!((later - held - refill).abs() < 0.01, "{held} {later}");
    }
}
