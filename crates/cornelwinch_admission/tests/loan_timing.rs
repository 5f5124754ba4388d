//! A loan ends for the borrower before it ends for the lender.

#[allow(dead_code)]
mod network;

use std::time::{Duration, Instant};

use cornelwinch_admission::{
    Admission, AdmissionAction, AdmissionConfig, AdmissionMsg, Credential, Resource,
};
use cornelwinch_types::Name;
use network::config;

const TOKEN: Credential<'_> = Credential::Token("school-token");
const MS: Duration = Duration::from_millis(1);

/// Admits what a host lets through, one request a millisecond.
fn admitted(host: &mut Admission, from: Instant, to: Instant) -> usize {
    let mut count = 0;
    let mut now = from;
    while now < to {
        if host.admit(now, TOKEN, "portal", None, 1.0).is_ok() {
            host.release(now, "school");
            count += 1;
        }
        now += MS;
    }
    count
}

/// Guards against a borrower that counts a loan from its arrival: with slow
/// messages both hosts would use the share at its end.
#[test]
fn borrower_stops_first() {
    let start = Instant::now();
    let names: [Name; 2] = ["host-0".into(), "host-1".into()];
    let cfg = AdmissionConfig::default();
    let mut hosts: Vec<Admission> = (0..2)
        .map(|i| {
            let rng = fastrand::Rng::with_seed(i);
            let mut host = Admission::open(start, names[i as usize].clone(), cfg, rng);
            host.set_config(&config(100.0, 2, 50, 100));
            host.set_hosts(start, &names);
            host
        })
        .collect();
    let home = usize::from(*hosts[0].home("school") == names[1]);
    let mut lender = hosts.remove(1 - home);
    let mut home_host = hosts.remove(0);
    let (me, other) = (&names[home], &names[1 - home]);

    let asked = start + Duration::from_secs(10);
    admitted(&mut home_host, asked - 200 * MS, asked);
    let mut out = Vec::new();
    home_host.on_wake(asked, &mut out);
    let pulls = |action: &AdmissionAction| {
        let AdmissionAction::Send { msg, .. } = action;
        matches!(msg, AdmissionMsg::PullShare(_))
    };
    let Some(AdmissionAction::Send { msg, .. }) = out.into_iter().find(pulls) else {
        panic!("the home host asks for the other's share");
    };
    let (mut out, answered) = (Vec::new(), asked + 400 * MS);
    lender.on_message(answered, me, &msg, &mut out);
    let AdmissionAction::Send { msg, .. } = &out[0];
    let arrived = answered + 100 * MS;
    home_host.on_message(arrived, other, msg, &mut Vec::new());

    // 100 requests a second while the loan lasts, 50 from its share after it.
    let ends = asked + cfg.loan;
    let during = admitted(&mut home_host, arrived, ends);
    assert!(
        (49..=53).contains(&during),
        "{during} in 500 ms of the loan"
    );
    let after = admitted(&mut home_host, ends, ends + 400 * MS);
    assert!(
        (19..=21).contains(&after),
        "{after} in 400 ms after the loan"
    );
    let lent = admitted(&mut lender, answered, answered + cfg.loan);
    assert!(lent <= 2, "{lent} from a share that was lent");
    let back = answered + cfg.loan + 20 * MS;
    let own = admitted(&mut lender, back, back + 400 * MS);
    assert!(
        (19..=22).contains(&own),
        "{own} in 400 ms with its own share"
    );
}

/// Guards against a host that lends a share which it does not have yet: until the
/// others have made theirs smaller, the rate would be given out twice.
#[test]
fn host_that_has_not_joined_lends_nothing() {
    let start = Instant::now();
    let names: [Name; 2] = ["host-0".into(), "host-1".into()];
    let cfg = AdmissionConfig::default();
    let open = |at: Instant, name: &Name| {
        let rng = fastrand::Rng::with_seed(1);
        let mut host = Admission::open(at, name.clone(), cfg, rng);
        host.set_config(&config(100.0, 2, 50, 100));
        host.set_hosts(at, &names);
        host
    };
    let home = usize::from(*open(start, &names[0]).home("school") == names[1]);
    let mut home_host = open(start, &names[home]);
    let asked = start + Duration::from_secs(10);
    admitted(&mut home_host, asked - 200 * MS, asked);
    let mut out = Vec::new();
    home_host.on_wake(asked, &mut out);
    let pull = out.into_iter().find_map(|action| {
        let AdmissionAction::Send { msg, .. } = action;
        let is_rate = msg.portion().resource == Resource::Rate;
        (is_rate && matches!(msg, AdmissionMsg::PullShare(_))).then_some(msg)
    });
    let pull = pull.expect("the home host asks for the other's share of the rate");
    for (opened, lends) in [(asked, false), (start, true)] {
        let mut lender = open(opened, &names[1 - home]);
        let mut out = Vec::new();
        lender.on_wake(asked, &mut Vec::new());
        lender.on_message(asked + MS, &names[home], &pull, &mut out);
        let AdmissionAction::Send { msg, .. } = &out[0];
        let amount = msg.portion().amount;
        assert_eq!(
            amount > 0.0,
            lends,
            "{amount} from a host opened at {opened:?}"
        );
    }
}
