//! Stand-ins and scripts of the review: the platform's store, leafs and requesters around
//! processes of the project. Standard library only.
//!
//! `review CASE FOLDER` plays a case from the repository's root, writes `record.txt` in the folder
//! and ends with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
//! `TROUBLE=0` leaves the disruption out.

mod cases;
mod http;
mod leaf;
mod record;
mod relay;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CannotRun(String),
}

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = args.as_slice() else {
        eprintln!("usage: review CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let dir = std::env::temp_dir().join(format!("cornelwinch-review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&dir) {
        eprintln!("no temporary folder: {error}");
        return ExitCode::from(2);
    }
    let record = record::Record::create(&PathBuf::from(folder).join("record.txt"));
    record.line(&format!("case {case} trouble={trouble}"));
    // The longest case takes 60 seconds; a script may take 120.
    let watched = record.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(112));
        watched.line("the case could not run: too long");
        std::process::exit(2);
    });
    let verdict = cases::play(case, trouble, &dir, &record);
    if std::env::var_os("KEEP").is_none() {
        let _ = std::fs::remove_dir_all(&dir);
    }
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held".to_owned(), 0),
        Verdict::Broken => ("the rule was broken".to_owned(), 1),
        Verdict::CannotRun(reason) => (format!("the case could not run: {reason}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
