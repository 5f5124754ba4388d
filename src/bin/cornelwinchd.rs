//! The daemon of an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use cornelwinch::config::Settings;
use cornelwinch::daemon;

/// Exit code for settings or arguments that cannot be used.
const EXIT_INVALID: u8 = 2;

/// Runs an entry host of the query tier.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, JSON with comments
    #[bpaf(long, argument("FILE"))]
    settings: PathBuf,
}

fn main() -> ExitCode {
    let options = match options().run_inner(bpaf::Args::current_args()) {
        Ok(options) => options,
        Err(failure) => {
            failure.print_message(100);
            let code = if failure.exit_code() == 0 {
                0
            } else {
                EXIT_INVALID
            };
            return ExitCode::from(code);
        }
    };
    let settings = match Settings::open(&options.settings) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    match daemon::run_until_signal(&settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=start_failed {error}");
            ExitCode::FAILURE
        }
    }
}
