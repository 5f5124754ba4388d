//! The daemon of an entry host.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::Bpaf;
use cornelwinch::config::Settings;
use cornelwinch::daemon;
use cornelwinch::relay::{self, RelaySettings};

/// Exit code for settings or arguments that cannot be used.
const EXIT_INVALID: u8 = 2;

/// Runs an entry host of the query tier.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file, JSON with comments
    #[bpaf(long, argument("FILE"), env("CORNELWINCH_CONFIG"))]
    settings: PathBuf,
    /// Run the one-thread data path on the platform of `platform/`
    relay: bool,
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
    if options.relay {
        return run_relay(&options.settings);
    }
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

fn run_relay(file: &Path) -> ExitCode {
    let settings = match RelaySettings::open(file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("event=start_failed {error}");
            return ExitCode::from(EXIT_INVALID);
        }
    };
    let result = relay::open_log(&settings).and_then(|log| {
        let read = || RelaySettings::open(file);
        relay::run_until_signal(settings, cornelwinch_qalam::dialect(), &log, read)
    });
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("event=start_failed {error}");
            ExitCode::FAILURE
        }
    }
}
