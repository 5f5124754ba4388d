//! Guards against a caller's own key that runs twice, is reported as not run
//! after it ran, or loses its answer, when a process fails at any step.

use cornelwinch_lab::{FaultLab, HostProgram, IdKind};

#[test]
fn key_runs_once() {
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut lab = FaultLab::spawn(IdKind::Own, &program).unwrap();
    assert_eq!(lab.cut_callers(), ["done, done, runs 1"; 6]);
    let lines = [
        "done, done, done, done, runs 1",
        "not_run other_request, not_run other_request, runs 0",
    ];
    assert_eq!(lab.join_copies(), lines);
    let away = "not_run unclaimed_platform_away";
    let line = format!("{away}, {away}, runs 0; done, done, runs 1; known done, runs 1");
    assert_eq!(lab.lose_platform(), vec![line; 3]);
    assert_eq!(lab.lose_write_answers(), ["done, done, runs 1"; 3]);
    let line = format!("{away}, runs 0; done, done, runs 1");
    assert_eq!(lab.apply_unseen_claim(), line);
    let lines = [
        "unknown, unknown, unknown, runs 1",
        "unknown, unknown, unknown, runs 1",
        "unknown, runs 0; unknown, unknown, runs 1",
        "done, done, runs 1",
    ];
    assert_eq!(lab.lose_upstream(), lines);
    // The other host claims the key itself while the home is frozen.
    let lines = [
        "done, done, runs 1; done, done, runs 1",
        "unknown, unknown, unknown, unknown, runs 1",
        "unknown, unknown, unknown, runs 1",
    ];
    assert_eq!(lab.freeze_home(), lines);
    let lines = [
        "unknown, unknown, unknown, runs 1",
        "unknown, runs 0; unknown, unknown, runs 0",
    ];
    assert_eq!(lab.freeze_owner(), lines);
    let lines = [
        "done, done, runs 1; done, done, runs 1; done, done, runs 1",
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

/// Guards against `unknown` for a request whose recorded result outlives its home, at a host
/// that has read the claim before the result was recorded.
#[test]
fn recorded_result_outlives_home() {
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut lab = FaultLab::spawn(IdKind::Own, &program).unwrap();
    let line = "done, done, runs 1; done, runs 1; done, runs 1";
    assert_eq!(lab.kill_recorded_home(), line);
    assert_eq!(lab.violations(), 0);
}
