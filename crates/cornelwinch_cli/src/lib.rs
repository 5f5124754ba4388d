//! Operators' command line of cornelwinch.
//!
//! Exit codes: 0 success, 1 the command failed or its result is not what was
//! asked for, 2 invalid settings, documents or arguments.

mod apply;
mod args;
mod bench;
mod check;
mod current;
mod error;
mod get;
mod mark;
mod query;
mod relay;
mod status;
mod table;
mod wait;

use std::ffi::OsString;
use std::io::Write;

use args::{Command, command};

/// Exit code of a command that did what was asked for.
const DONE: u8 = 0;
/// Exit code of a command that failed, or found what it should not.
const FAILED: u8 = 1;
/// Exit code for settings, documents or arguments that cannot be used.
const INVALID: u8 = 2;

/// Runs a command and returns its exit code. `args` has no program name.
///
/// ```
/// let (mut out, mut err) = (Vec::new(), Vec::new());
/// let code = cornelwinch_cli::run(&["launch".into()], &mut out, &mut err);
/// assert_eq!(code, 2);
/// assert!(!err.is_empty());
/// ```
pub fn run(args: &[OsString], out: &mut impl Write, err: &mut impl Write) -> u8 {
    let command = match command().run_inner(args) {
        Ok(command) => command,
        Err(bpaf::ParseFailure::Stderr(doc)) => {
            return report(err, &doc.monochrome(true), INVALID);
        }
        Err(bpaf::ParseFailure::Stdout(doc, full)) => {
            return report(out, &doc.monochrome(full), DONE);
        }
        Err(bpaf::ParseFailure::Completion(text)) => return report(out, &text, DONE),
    };
    let result = match command {
        Command::Check(args) => check::run(&args, out),
        Command::Apply(args) => apply::run(&args, out),
        Command::Get(args) => get::run(&args, out),
        Command::Zone(args) => mark::run_zone(&args, out),
        Command::Host(args) => mark::run_host(&args, out),
        Command::Status(args) => status::run(&args, out),
        Command::Relay(args) => relay::run(&args, out),
        Command::Query(args) => query::run(&args, out),
        Command::Bench(args) => bench::run(&args, out),
    };
    match result {
        Ok(true) => DONE,
        Ok(false) => FAILED,
        Err(error) => report(err, &error.to_string(), error.code()),
    }
}

/// Writes a text for the user. A closed output changes nothing about the
/// result, which the exit code tells.
fn report(to: &mut impl Write, text: &str, code: u8) -> u8 {
    let _ = writeln!(to, "{}", text.trim_end());
    code
}
