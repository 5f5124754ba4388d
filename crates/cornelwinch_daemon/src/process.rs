use std::thread;

use cornelwinch_config::Settings;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;
use snafu::ResultExt;

use crate::error::ThreadSnafu;
use crate::{DaemonError, open_log, spawn};

/// Runs a host until `SIGTERM` or `SIGINT` asks it to stop and its work is
/// done. A second signal does not shorten the shutdown.
///
/// # Errors
///
/// Fails if the host cannot be started.
pub fn run_until_signal(settings: &Settings) -> Result<(), DaemonError> {
    open_log(&settings.log, &settings.host)?;
    let mut signals = Signals::new([SIGTERM, SIGINT]).context(ThreadSnafu { name: "signals" })?;
    let daemon = spawn(settings)?;
    let shutdown = daemon.shutdown_trigger();
    thread::Builder::new()
        .name("signals".into())
        .spawn(move || {
            for signal in &mut signals {
                log::info!("event=signal number={signal}");
                shutdown();
            }
        })
        .context(ThreadSnafu { name: "signals" })?;
    daemon.join();
    Ok(())
}
