//! Runs one case of the third review: `cases NAME FOLDER`. The record goes to FOLDER/record.txt.
//! Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 the case
//! runs without its disruption.
//! The stand-ins themselves are those of the second review.

mod dark_crash;
#[path = "../standins-2/http.rs"]
mod http;
#[path = "../standins-2/leaf.rs"]
mod leaf;
#[path = "../standins-2/record.rs"]
mod record;
#[path = "../standins-2/relay.rs"]
mod relay;
#[path = "../standins-2/requesters.rs"]
mod requesters;
mod same_id;
mod same_path;
#[path = "../standins-2/store.rs"]
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
        "dark_crash" => dark_crash::run(&setup),
        "same_path" => same_path::run(&setup),
        "same_id" => same_id::run(&setup),
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
