use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use cornelwinch_platform::{HostRole, PlatformClient};
use cornelwinch_types::{Name, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use snafu::ResultExt;

use crate::args::{OperatorArgs, StatusArgs};
use crate::current::{client, print, print_json, read};
use crate::error::{CliError, NoHostsSnafu, PlatformSnafu};
use crate::table::table;

/// Time for one host to answer.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Hosts asked at once.
const WORKERS: usize = 16;

/// State of a host, as far as the command line shows it.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct HostStatus {
    pub(crate) host: Name,
    pub(crate) zone: Name,
    pub(crate) revision: Revision,
    pub(crate) ready: bool,
    #[serde(default)]
    members: Vec<MemberStatus>,
    #[serde(default)]
    owned: Vec<OwnedStatus>,
}

#[derive(Debug, Clone, Deserialize)]
struct MemberStatus {
    state: String,
}

#[derive(Debug, Clone, Deserialize)]
struct OwnedStatus {
    in_flight: u64,
    queued: u64,
    cold: bool,
}

/// Answer of one host, or the reason why there is none.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct HostAnswer {
    pub(crate) address: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) error: Option<String>,
    #[serde(rename = "status", skip_serializing_if = "Option::is_none")]
    full: Option<Value>,
    #[serde(skip)]
    pub(crate) status: Option<HostStatus>,
}

/// Shows the state of hosts; fails if one does not answer.
pub(crate) fn run(args: &StatusArgs, out: &mut impl Write) -> Result<bool, CliError> {
    let platform = args.platform.map(client);
    let hosts = addresses(&args.operator_args, platform.as_ref())?;
    let answers = ask(&hosts, token(&args.operator_args)?.as_deref());
    if args.json {
        print_json(out, &answers)?;
    } else {
        let mut sorted: Vec<&HostAnswer> = answers.iter().collect();
        let key = |answer: &HostAnswer| {
            answer
                .status
                .as_ref()
                .map(|status| (status.zone.clone(), status.host.clone()))
        };
        sorted.sort_by_key(|answer| (key(answer), answer.address));
        let rows: Vec<[String; 10]> = sorted.into_iter().map(row).collect();
        let head = [
            "ZONE",
            "HOST",
            "ADDRESS",
            "REVISION",
            "READY",
            "ALIVE",
            "OWNED",
            "COLD",
            "IN FLIGHT",
            "QUEUED",
        ];
        print(out, &table(head, &rows))?;
        for answer in &answers {
            if let Some(error) = &answer.error {
                print(out, &format!("{}: {error}\n", answer.address))?;
            }
        }
    }
    Ok(answers.iter().all(|answer| answer.error.is_none()))
}

/// Addresses given on the command line, and those of the platform's list with
/// the given port.
pub(crate) fn addresses(
    args: &OperatorArgs,
    platform: Option<&PlatformClient>,
) -> Result<Vec<SocketAddr>, CliError> {
    let mut hosts = args.operator.clone();
    if let (Some(port), Some(platform)) = (args.operator_port, platform) {
        for host in platform.hosts().context(PlatformSnafu)? {
            if let (HostRole::Host, Some(peer)) = (host.role, host.peer) {
                hosts.push(SocketAddr::new(peer.ip(), port));
            }
        }
    }
    hosts.sort();
    hosts.dedup();
    match hosts.is_empty() {
        true => NoHostsSnafu.fail(),
        false => Ok(hosts),
    }
}

/// The operators' bearer token.
pub(crate) fn token(args: &OperatorArgs) -> Result<Option<String>, CliError> {
    let file = args.operator_token_file.as_deref();
    file.map(|file| Ok(read(file)?.trim().to_owned()))
        .transpose()
}

/// Asks hosts for their state, several at once.
pub(crate) fn ask(hosts: &[SocketAddr], token: Option<&str>) -> Vec<HostAnswer> {
    let agent = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .max_redirects(0)
        .proxy(None)
        .timeout_global(Some(TIMEOUT))
        .build()
        .new_agent();
    let next = AtomicUsize::new(0);
    let work = || {
        let mut answers = Vec::new();
        while let Some(host) = hosts.get(next.fetch_add(1, Ordering::Relaxed)) {
            answers.push(ask_one(&agent, *host, token));
        }
        answers
    };
    let mut answers = thread::scope(|scope| {
        let workers: Vec<_> = (0..hosts.len().min(WORKERS))
            .map(|_| scope.spawn(work))
            .collect();
        let results = workers.into_iter().filter_map(|worker| worker.join().ok());
        results.flatten().collect::<Vec<HostAnswer>>()
    });
    answers.sort_by_key(|answer| answer.address);
    answers
}

fn ask_one(agent: &ureq::Agent, address: SocketAddr, token: Option<&str>) -> HostAnswer {
    let failed = |error: String| HostAnswer {
        address,
        error: Some(error.replace(['\n', '\r'], " ")),
        full: None,
        status: None,
    };
    let mut req = agent.get(format!("http://{address}/v1/status"));
    if let Some(token) = token {
        req = req.header("Authorization", format!("Bearer {token}"));
    }
    let mut response = match req.call() {
        Ok(response) => response,
        Err(e) => return failed(format!("no answer: {e}")),
    };
    match response.status().as_u16() {
        200 => {}
        401 => return failed("the host refused the operators' token".to_owned()),
        status => return failed(format!("the host answered with status {status}")),
    }
    let full: Value = match response.body_mut().read_json() {
        Ok(full) => full,
        Err(e) => return failed(format!("unreadable answer: {e}")),
    };
    match serde_json::from_value(full.clone()) {
        Ok(status) => HostAnswer {
            address,
            error: None,
            full: Some(full),
            status: Some(status),
        },
        Err(e) => failed(format!("unreadable answer: {e}")),
    }
}

fn row(answer: &HostAnswer) -> [String; 10] {
    let address = answer.address.to_string();
    let Some(status) = &answer.status else {
        let mut row = [const { String::new() }; 10];
        row[1] = "no answer".to_owned();
        row[2] = address;
        return row;
    };
    let alive = |member: &&MemberStatus| member.state.eq_ignore_ascii_case("alive");
    let alive = status.members.iter().filter(alive).count();
    let sum = |f: fn(&OwnedStatus) -> u64| status.owned.iter().map(f).sum::<u64>().to_string();
    [
        status.zone.to_string(),
        status.host.to_string(),
        address,
        status.revision.to_string(),
        if status.ready { "yes" } else { "no" }.to_owned(),
        format!("{alive}/{}", status.members.len()),
        status.owned.len().to_string(),
        sum(|owned| u64::from(owned.cold)),
        sum(|owned| owned.in_flight),
        sum(|owned| owned.queued),
    ]
}
