//! Guards against a caller's own key that runs twice, is reported as not run
//! after it ran, or loses its answer, when a process fails at any step.

use cornelwinch_lab::{FaultLab, HostProgram, IdKind};

#[test]
fn key_runs_once() {
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut lab = FaultLab::spawn(IdKind::Own, &program).unwrap();
    let req = lab.order(0);
    assert_eq!(
        lab.resend(&req, &[0, 0, 1, 2]),
        "done, done, done, done, runs 1"
    );
}
