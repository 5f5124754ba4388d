use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;

use crate::args::{RelayArgs, RelayPage};
use crate::error::{CliError, OutputSnafu};

/// Longest wait for one relay.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Shows a page of each relay; false if one did not answer.
pub(crate) fn run(args: &RelayArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let agent = ureq::Agent::config_builder()
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent();
    let path = match args.page {
        RelayPage::State => "/state",
        RelayPage::Metrics => "/metrics",
    };
    let mut all_answered = true;
    for relay in &args.relay {
        writeln!(out, "relay={relay}").context(OutputSnafu)?;
        match read_page(&agent, *relay, path) {
            Ok(page) => {
                let is_wanted = |line: &&str| args.find.iter().all(|word| line.contains(word));
                for line in page.lines().filter(is_wanted) {
                    writeln!(out, "  {line}").context(OutputSnafu)?;
                }
            }
            Err(error) => {
                writeln!(out, "  no answer: {error}").context(OutputSnafu)?;
                all_answered = false;
            }
        }
    }
    Ok(all_answered)
}

fn read_page(agent: &ureq::Agent, relay: SocketAddr, path: &str) -> Result<String, ureq::Error> {
    let mut response = agent.get(format!("http://{relay}{path}")).call()?;
    response.body_mut().read_to_string()
}
