//! Runs one case of the second review: `cases NAME FOLDER`. The record goes to FOLDER/record.txt.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 the case
//! runs without its disruption.

mod cold_growth;
mod cold_restart;
mod crash_marks;
mod cut_watch;
mod http;
mod leaf;
mod proxy;
mod record;
mod relay;
mod requesters;
mod share_of_cap;
mod store;

use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// What a case needs.
pub struct Setup {
    pub record: Arc<Record>,
    /// Folder for settings and logs of the processes.
    pub folder: PathBuf,
    pub has_trouble: bool,
}

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, folder] = arguments.as_slice() else {
        eprintln!("cases NAME FOLDER");
        return ExitCode::from(2);
    };
    let Ok(record) = Record::create(&Path::new(folder).join("record.txt")) else {
        eprintln!("no record can be written");
        return ExitCode::from(2);
    };
    let temporary = std::env::temp_dir().join(format!("cornelwinch-case-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let setup = Setup {
        record: Arc::new(record),
        folder: temporary.clone(),
        has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let verdict = match name.as_str() {
        "cold_growth" => cold_growth::run(&setup),
        "cold_restart" => cold_restart::run(&setup),
        "share_of_cap" => share_of_cap::run(&setup),
        "crash_marks" => crash_marks::run(&setup),
        "cut_watch" => cut_watch::run(&setup),
        _ => Verdict::CouldNotRun("no such case".to_owned()),
    };
    if std::env::var("KEEP_LOGS").as_deref() == Ok("1") {
        println!("logs: {}", temporary.display());
    } else {
        let _ = std::fs::remove_dir_all(&temporary);
    }
    let code = match verdict {
        Verdict::Held => {
            setup.record.show("result: the rule held");
            0
        }
        Verdict::Broken => {
            setup.record.show("result: the rule was broken");
            1
        }
        Verdict::CouldNotRun(reason) => {
            setup
                .record
                .show(&format!("result: could not run: {reason}"));
            2
        }
    };
    setup.record.finish();
    ExitCode::from(code)
}
