//! Guards against a ticket that runs twice, is reported as not run after it
//! ran, or loses its answer, when a process fails at any step.

use cornelwinch_lab::{FaultLab, HostProgram, IdKind};

#[test]
fn ticket_runs_once() {
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut lab = FaultLab::spawn(IdKind::Ticket, &program).unwrap();
    assert_eq!(lab.cut_callers(), ["done, done, runs 1"; 6]);
    let lines = [
        "done, done, done, done, runs 1",
        "not_run other_request, not_run other_request, runs 0",
    ];
    assert_eq!(lab.join_copies(), lines);
    let lines = [
        "unknown, unknown, unknown, runs 1",
        "unknown, unknown, unknown, runs 1",
        "unknown, runs 0; unknown, unknown, runs 1",
        "done, done, runs 1",
    ];
    assert_eq!(lab.lose_upstream(), lines);
    // A ticket that reached its resumed host after the deadline must not start.
    let lines = [
        "done, done, runs 1; done, done, runs 1",
        "unknown, unknown, unknown, unknown, runs 1",
        "unknown, not_run deadline_passed, not_run deadline_passed, runs 0",
    ];
    assert_eq!(lab.freeze_home(), lines);
    // Nor may a leg that reached the resumed owner of its upstream then.
    let lines = [
        "unknown, unknown, unknown, runs 1",
        "unknown, runs 0; unknown, unknown, runs 0",
    ];
    assert_eq!(lab.freeze_owner(), lines);
    assert_eq!(lab.run_in_outage(), "done, done, runs 1");
    let lines = [
        "done, done, runs 1; unknown, unknown, runs 1; unknown, unknown, runs 1",
        "unknown, unknown, unknown, runs 1; unknown, unknown, runs 1",
        "unknown, unknown, unknown, runs 1; unknown, unknown, runs 1",
    ];
    assert_eq!(lab.kill_home(), lines);
    let lines = [
        "unknown, unknown, unknown, runs 1",
        "unknown, runs 0; unknown, unknown, runs 1",
    ];
    assert_eq!(lab.kill_owner(), lines);
    assert_eq!(lab.violations(), 0);
    println!("answers: {}", lab.tally());
}
