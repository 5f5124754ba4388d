//! Guards against a caller's own key that runs twice, is reported as not run
//! after it ran, or loses its answer, when a process fails at any step.

use cornelwinch_lab::{FaultLab, HostProgram, IdKind};

#[test]
fn key_runs_once() {
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut lab = FaultLab::spawn(IdKind::Own, &program).unwrap();
    let t = std::time::Instant::now();
    println!("cut_callers {:#?} {:?}", lab.cut_callers(), t.elapsed());
    println!("lose_platform {:#?} {:?}", lab.lose_platform(), t.elapsed());
    println!(
        "lose_write_answers {:#?} {:?}",
        lab.lose_write_answers(),
        t.elapsed()
    );
    println!("unseen {:#?} {:?}", lab.apply_unseen_claim(), t.elapsed());
    println!("lose_upstream {:#?} {:?}", lab.lose_upstream(), t.elapsed());
    println!("freeze_home {:#?} {:?}", lab.freeze_home(), t.elapsed());
    println!("freeze_owner {:#?} {:?}", lab.freeze_owner(), t.elapsed());
    println!("kill_home {:#?} {:?}", lab.kill_home(), t.elapsed());
    println!("kill_owner {:#?} {:?}", lab.kill_owner(), t.elapsed());
}
