//! The operators' command line.

use std::env;
use std::ffi::OsString;
use std::io::{stderr, stdout};
use std::process::ExitCode;

fn main() -> ExitCode {
    let args: Vec<OsString> = env::args_os().skip(1).collect();
    ExitCode::from(cornelwinch::cli::run(
        &args,
        &mut stdout().lock(),
        &mut stderr().lock(),
    ))
}
