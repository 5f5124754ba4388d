//! Who may use what, and with which priority.

#[allow(dead_code)]
mod network;

use std::time::{Duration, Instant};

use cornelwinch_admission::{Admission, AdmissionConfig, Admitted, Credential, Rejection};
use cornelwinch_config::{ConfigState, Entry, EntryValue, Kind};
use cornelwinch_types::Revision;
use network::config;

const TOKEN: Credential<'_> = Credential::Token("school-token");

fn open(config: &ConfigState) -> (Admission, Instant) {
    let start = Instant::now();
    let rng = fastrand::Rng::with_seed(1);
    let mut admission = Admission::open(start, "h".into(), AdmissionConfig::default(), rng);
    admission.set_config(config);
    (admission, start + Duration::from_secs(10))
}

/// Guards against an organisation that gets what its plan does not include, or the
/// priority of a better plan.
#[test]
fn plan_decides() {
    let (mut admission, now) = open(&config(10.0, 10, 10, 100));
    let mut ask = |credential, search, class| admission.admit(now, credential, search, class, 1.0);
    let summary = |admitted: Admitted| (admitted.class.to_string(), admitted.priority);
    assert_eq!(
        ask(TOKEN, "portal", None).map(summary),
        Ok(("fast".to_owned(), 3))
    );
    assert_eq!(
        ask(TOKEN, "portal", Some("batch")).map(summary),
        Ok(("batch".to_owned(), 7))
    );
    let named = ask(Credential::Organisation("school"), "portal", None);
    assert_eq!(
        named.map(|admitted| admitted.organisation.to_string()),
        Ok("school".to_owned())
    );
    assert_eq!(ask(TOKEN, "stock", None), Err(Rejection::SearchNotAllowed));
    assert_eq!(
        ask(TOKEN, "portal", Some("slow")),
        Err(Rejection::UnknownClass)
    );
    let unknown = Err(Rejection::UnknownOrganisation);
    assert_eq!(ask(Credential::Token("other"), "portal", None), unknown);
    assert_eq!(
        ask(Credential::Organisation("shop"), "portal", None),
        unknown
    );
}

/// Guards against a slot that is never freed, and a refusal whose proposed
/// wait is too short to help.
#[test]
fn limits_refuse() {
    let (mut admission, now) = open(&config(10.0, 4, 2, 100));
    assert!(admission.admit(now, TOKEN, "portal", None, 1.0).is_ok());
    assert!(admission.admit(now, TOKEN, "portal", None, 1.0).is_ok());
    let full = admission.admit(now, TOKEN, "portal", None, 1.0);
    assert_eq!(full, Err(Rejection::ConcurrencyExceeded));
    for _ in 0..2 {
        admission.release(now, "school");
        assert!(admission.admit(now, TOKEN, "portal", None, 1.0).is_ok());
    }
    admission.release(now, "school");
    assert_eq!(admission.in_use("school"), 1);
    let refused = admission.admit(now, TOKEN, "portal", None, 1.0);
    let Err(Rejection::RateExceeded { retry_after }) = refused else {
        panic!("{refused:?}")
    };
    assert_eq!(retry_after, Duration::from_millis(100));
    assert!(
        admission
            .admit(now + retry_after, TOKEN, "portal", None, 1.0)
            .is_ok()
    );
}

/// Guards against a changed or deleted plan that stays in force.
#[test]
fn config_takes_effect() {
    let mut state = config(10.0, 4, 1, 100);
    let (mut admission, now) = open(&state);
    assert!(admission.admit(now, TOKEN, "portal", None, 1.0).is_ok());
    let mut plan = state.plan("gold").expect("the plan").clone();
    plan.concurrency = 2;
    let entry = |revision, value| Entry {
        name: "gold".into(),
        revision: Revision(revision),
        change: "c".into(),
        value,
    };
    state.apply(vec![entry(2, EntryValue::Plan(Some(plan)))], Revision(2));
    admission.set_config(&state);
    assert!(admission.admit(now, TOKEN, "portal", None, 1.0).is_ok());
    state.apply(vec![entry(3, EntryValue::deleted(Kind::Plan))], Revision(3));
    admission.set_config(&state);
    let refused = admission.admit(now, TOKEN, "portal", None, 1.0);
    assert_eq!(refused, Err(Rejection::UnknownOrganisation));
}
