use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;
use cornelwinch_config::{Kind, ServiceState};

/// Operates a deployment of cornelwinch.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Command {
    /// Checks a settings file or a configuration document
    #[bpaf(command)]
    Check(#[bpaf(external(check_args))] CheckArgs),
    /// Writes a configuration document to the platform
    #[bpaf(command)]
    Apply(#[bpaf(external(apply_args))] ApplyArgs),
    /// Shows configuration entries
    #[bpaf(command)]
    Get(#[bpaf(external(get_args))] GetArgs),
    /// Takes an availability zone out of service or returns it
    #[bpaf(command)]
    Zone(#[bpaf(external(zone_args))] ZoneArgs),
    /// Drains an entry host or returns it to service
    #[bpaf(command)]
    Host(#[bpaf(external(host_args))] HostArgs),
    /// Shows the state of hosts
    #[bpaf(command)]
    Status(#[bpaf(external(status_args))] StatusArgs),
    /// Shows the state or the metrics of relays, or where they would send a request
    #[bpaf(command)]
    Relay(#[bpaf(external(relay_args))] RelayArgs),
    /// Sends a query to a host
    #[bpaf(command)]
    Query(#[bpaf(external(query_args))] QueryArgs),
    /// Offers load to hosts and reports latency and coverage
    #[bpaf(command)]
    Bench(#[bpaf(external(bench_args))] BenchArgs),
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CheckArgs {
    /// Checks a document also against the configuration on this platform
    #[bpaf(argument("ADDR"))]
    pub(crate) platform: Option<SocketAddr>,
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ApplyArgs {
    /// Address of the platform's object API
    #[bpaf(argument("ADDR"), env("CORNELWINCH_PLATFORM"))]
    pub(crate) platform: SocketAddr,
    #[bpaf(external)]
    pub(crate) wait_args: WaitArgs,
    #[bpaf(external)]
    pub(crate) operator_args: OperatorArgs,
    /// Prints JSON
    pub(crate) json: bool,
    #[bpaf(positional("FILE"))]
    pub(crate) file: PathBuf,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct GetArgs {
    /// Address of the platform's object API
    #[bpaf(argument("ADDR"), env("CORNELWINCH_PLATFORM"))]
    pub(crate) platform: SocketAddr,
    /// Prints JSON
    pub(crate) json: bool,
    #[bpaf(positional("KIND"))]
    pub(crate) kind: Option<Kind>,
    #[bpaf(positional("NAME"))]
    pub(crate) name: Option<String>,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ZoneArgs {
    /// Address of the platform's object API
    #[bpaf(argument("ADDR"), env("CORNELWINCH_PLATFORM"))]
    pub(crate) platform: SocketAddr,
    #[bpaf(external)]
    pub(crate) wait_args: WaitArgs,
    #[bpaf(external)]
    pub(crate) operator_args: OperatorArgs,
    /// Prints JSON
    pub(crate) json: bool,
    #[bpaf(positional("out|in"))]
    pub(crate) mark: ZoneMark,
    #[bpaf(positional("NAME"))]
    pub(crate) name: String,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct HostArgs {
    /// Address of the platform's object API
    #[bpaf(argument("ADDR"), env("CORNELWINCH_PLATFORM"))]
    pub(crate) platform: SocketAddr,
    #[bpaf(external)]
    pub(crate) wait_args: WaitArgs,
    #[bpaf(external)]
    pub(crate) operator_args: OperatorArgs,
    /// Prints JSON
    pub(crate) json: bool,
    #[bpaf(positional("drain|return"))]
    pub(crate) mark: HostMark,
    #[bpaf(positional("NAME"))]
    pub(crate) name: String,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct StatusArgs {
    /// Address of the platform, to ask the hosts on its list
    #[bpaf(argument("ADDR"), env("CORNELWINCH_PLATFORM"))]
    pub(crate) platform: Option<SocketAddr>,
    #[bpaf(external)]
    pub(crate) operator_args: OperatorArgs,
    /// Prints JSON
    pub(crate) json: bool,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct RelayArgs {
    /// Metrics address of a relay; may be repeated
    #[bpaf(argument("ADDR"), some("at least one --relay is needed"))]
    pub(crate) relay: Vec<SocketAddr>,
    /// Shows only lines that contain the text; may be repeated
    #[bpaf(argument("TEXT"))]
    pub(crate) find: Vec<String>,
    #[bpaf(external)]
    pub(crate) explain_args: ExplainArgs,
    #[bpaf(positional("state|metrics|explain"))]
    pub(crate) page: RelayPage,
}

/// Request that `explain` is asked for.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ExplainArgs {
    /// Host header of the request to explain
    #[bpaf(long("request-host"), argument("HOST"))]
    pub(crate) request_host: Option<String>,
    /// Path of the request to explain
    #[bpaf(argument("PATH"))]
    pub(crate) path: Option<String>,
    /// Method of the request to explain
    #[bpaf(argument("METHOD"))]
    pub(crate) method: Option<String>,
    /// Organisation of the caller
    #[bpaf(argument("NAME"))]
    pub(crate) organisation: Option<String>,
    /// Size of the body in bytes
    #[bpaf(argument("BYTES"))]
    pub(crate) size: Option<usize>,
    /// Prints JSON
    pub(crate) json: bool,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct QueryArgs {
    /// Address of a host's listener for callers
    #[bpaf(argument("ADDR"))]
    pub(crate) host: SocketAddr,
    /// File with the organisation's bearer token
    #[bpaf(argument("FILE"), env("CORNELWINCH_CUSTOMER_TOKEN_FILE"))]
    pub(crate) token_file: PathBuf,
    #[bpaf(argument("NAME"))]
    pub(crate) search: String,
    /// Traffic class; the search's first one if absent
    #[bpaf(argument("NAME"))]
    pub(crate) class: Option<String>,
    /// Shorter deadline than that of the class
    #[bpaf(argument("MS"))]
    pub(crate) deadline_ms: Option<u64>,
    /// Prints JSON
    pub(crate) json: bool,
    #[bpaf(positional("BODY"))]
    pub(crate) body: String,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BenchArgs {
    /// Address of a host's listener for callers; may be repeated
    #[bpaf(argument("ADDR"), some("at least one --host is needed"))]
    pub(crate) host: Vec<SocketAddr>,
    /// File with the organisation's bearer token
    #[bpaf(argument("FILE"), env("CORNELWINCH_CUSTOMER_TOKEN_FILE"))]
    pub(crate) token_file: PathBuf,
    #[bpaf(argument("NAME"))]
    pub(crate) search: String,
    #[bpaf(argument("NAME"))]
    pub(crate) class: String,
    /// Further kind of request beside --search and --class, which have the
    /// weight 1; may be repeated
    #[bpaf(argument("SEARCH:CLASS:WEIGHT"))]
    pub(crate) mix: Vec<MixKind>,
    /// Deadline of each request
    #[bpaf(argument("MS"), fallback(1_000))]
    pub(crate) deadline_ms: u64,
    /// Requests per second over all hosts
    #[bpaf(argument("N"), fallback(100.0))]
    pub(crate) rate: f64,
    /// Duration in seconds
    #[bpaf(argument("S"), fallback(10))]
    pub(crate) duration: u64,
    /// Seed of arrival times and bodies
    #[bpaf(argument("N"), fallback(1))]
    pub(crate) seed: u64,
    /// Requests in progress at once
    #[bpaf(argument("N"), fallback(64))]
    pub(crate) connections: usize,
    /// Sends non-idempotent requests with tickets
    pub(crate) tickets: bool,
    /// Prints JSON
    pub(crate) json: bool,
    /// Bodies, chosen at random
    #[bpaf(positional("BODY"), some("at least one body is needed"))]
    pub(crate) body: Vec<String>,
}

/// A kind of request and its share, relative to the other kinds.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct MixKind {
    pub(crate) search: String,
    pub(crate) class: String,
    pub(crate) weight: f64,
}

impl FromStr for MixKind {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parts: Vec<&str> = text.split(':').collect();
        let [search, class, weight] = parts[..] else {
            return Err("expected SEARCH:CLASS:WEIGHT");
        };
        let weight: f64 = weight.parse().map_err(|_| "the weight must be a number")?;
        if !weight.is_finite() || weight <= 0.0 {
            return Err("the weight must be above 0");
        }
        Ok(Self {
            search: search.to_owned(),
            class: class.to_owned(),
            weight,
        })
    }
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct WaitArgs {
    /// Waits until the change is in force on the hosts
    pub(crate) wait: bool,
    /// Longest wait
    #[bpaf(argument("MS"), fallback(10_000))]
    pub(crate) timeout_ms: u64,
}

#[derive(Debug, Clone, Bpaf)]
pub(crate) struct OperatorArgs {
    /// Address of a host's listener for operators; may be repeated
    #[bpaf(argument("ADDR"))]
    pub(crate) operator: Vec<SocketAddr>,
    /// Port of the operators' listener on all hosts of the platform's list
    #[bpaf(argument("PORT"))]
    pub(crate) operator_port: Option<u16>,
    /// File with the operators' bearer token
    #[bpaf(argument("FILE"), env("CORNELWINCH_OPERATOR_TOKEN_FILE"))]
    pub(crate) operator_token_file: Option<PathBuf>,
}

/// Page of a relay.
#[derive(Debug, Clone, Copy)]
pub(crate) enum RelayPage {
    State,
    Metrics,
    Explain,
}

impl FromStr for RelayPage {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, &'static str> {
        match s {
            "state" => Ok(Self::State),
            "metrics" => Ok(Self::Metrics),
            "explain" => Ok(Self::Explain),
            _ => Err("expected state, metrics or explain"),
        }
    }
}

/// Mark on an availability zone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ZoneMark(pub(crate) ServiceState);

impl FromStr for ZoneMark {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, &'static str> {
        match s {
            "out" => Ok(Self(ServiceState::Out)),
            "in" => Ok(Self(ServiceState::In)),
            _ => Err("expected out or in"),
        }
    }
}

/// Mark on an entry host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostMark(pub(crate) ServiceState);

impl FromStr for HostMark {
    type Err = &'static str;

    fn from_str(s: &str) -> Result<Self, &'static str> {
        match s {
            "drain" => Ok(Self(ServiceState::Out)),
            "return" => Ok(Self(ServiceState::In)),
            _ => Err("expected drain or return"),
        }
    }
}
