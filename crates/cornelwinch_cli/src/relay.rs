use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use snafu::ResultExt;

use crate::args::{ExplainArgs, RelayArgs, RelayPage};
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
        RelayPage::State => "/state".to_owned(),
        RelayPage::Metrics => "/metrics".to_owned(),
        RelayPage::Explain => explain_path(&args.explain_args),
    };
    let mut all_answered = true;
    for relay in &args.relay {
        let is_json = args.explain_args.json;
        if !is_json {
            writeln!(out, "relay={relay}").context(OutputSnafu)?;
        }
        match read_page(&agent, *relay, &path) {
            Ok(page) if is_json => writeln!(out, "{page}").context(OutputSnafu)?,
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

/// Returns the path of the page that explains a request.
fn explain_path(args: &ExplainArgs) -> String {
    let size = args.size.map(|size| size.to_string());
    let format = args.json.then(|| "json".to_owned());
    let fields = [
        ("host", &args.request_host),
        ("path", &args.path),
        ("method", &args.method),
        ("organisation", &args.organisation),
        ("size", &size),
        ("format", &format),
    ];
    let given = fields
        .iter()
        .filter_map(|(key, value)| Some((key, value.as_ref()?)));
    let pairs: Vec<String> = given
        .map(|(key, value)| format!("{key}={}", encode(value)))
        .collect();
    format!("/explain?{}", pairs.join("&"))
}

/// Encodes all bytes as `%XX` that have a meaning in a query string.
fn encode(text: &str) -> String {
    let encode_byte = |byte: u8| match byte {
        b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'/' => {
            char::from(byte).to_string()
        }
        _ => format!("%{byte:02X}"),
    };
    text.bytes().map(encode_byte).collect()
}
