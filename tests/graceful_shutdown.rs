//! Guards against a shutdown that cuts a request, at the host that leaves or
//! at another one, or that ends before its work and its ownerships.

use cornelwinch_lab::{DrainReport, FaultLab, HostProgram, IdKind};

#[test]
fn shutdown_cuts_nothing() {
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut lab = FaultLab::spawn(IdKind::Ticket, &program).unwrap();
    // Host 1 is the only one of its zone, so that its upstreams change zones.
    let report = lab.drain_under_load(1);
    let expected = DrainReport {
        failed: Vec::new(),
        held: vec!["done".into(); 6],
        late: "done".into(),
        waited: true,
        code: Some(0),
        resent: "done, runs 1".into(),
    };
    assert_eq!(report, expected);
    assert_eq!(lab.violations(), 0);
}
