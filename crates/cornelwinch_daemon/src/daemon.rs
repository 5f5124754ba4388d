use std::fmt;
use std::fs;
use std::net::SocketAddr;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use cornelwinch_config::{RoutingSetting, Settings};
use cornelwinch_host::{CallerRequest, Host, HostConfig, Input, Routing};
use cornelwinch_http::{HttpLimits, HttpRequest, HttpServer, HttpThread};
use cornelwinch_membership::{DatagramKey, MembershipConfig};
use cornelwinch_peer::{PeerConfig, PeerEvent, Secret};
use cornelwinch_types::{Incarnation, Member, MemberState};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender, unbounded};
use snafu::ResultExt;
use stakker::{ActorOwn, Stakker, actor, call, query, ret_nop};

use crate::DaemonError;
use crate::actor::{ActorInput, Adapters, HostActor};
use crate::callers;
use crate::error::{FileSnafu, ListenSnafu, PeerSnafu, ThreadSnafu};
use crate::gossip::Gossip;
use crate::metrics::Metrics;
use crate::platform::PlatformAdapter;
use crate::upstream::LegThread;

/// Longest wait of the loop; the host's own timers come earlier.
const LOOP_WAIT: Duration = Duration::from_millis(250);

/// Inputs handled before the timers run again.
const INPUT_BATCH: usize = 256;

/// Longest time after the last request for which answers are still written.
const FLUSH_LIMIT: Duration = Duration::from_secs(2);
const FLUSH_POLL: Duration = Duration::from_millis(10);

/// Shortest time for which a new owner stays at the cold limit after a crash.
/// The host makes it as long as the longest deadline of a class.
const GUARD: Duration = Duration::from_secs(2);

/// Time for which a new owner sends nothing after a crash. None is needed while
/// deadlines are shorter than the suspicion time (3 s): a host is declared dead
/// after it, and the legs that it had sent have ended by then.
const SETTLE: Duration = Duration::ZERO;

/// Queries in progress on one host.
const QUERY_LIMIT: usize = 4_096;

const OPERATOR_CONNECTIONS: usize = 64;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Handle of a running host.
pub struct Daemon {
    tx: Sender<ActorInput>,
    thread: JoinHandle<()>,
    caller_addr: SocketAddr,
    operator_addr: SocketAddr,
}

impl fmt::Debug for Daemon {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Daemon")
            .field("caller_addr", &self.caller_addr)
            .field("operator_addr", &self.operator_addr)
            .finish_non_exhaustive()
    }
}

impl Daemon {
    /// Address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Address for operators.
    pub fn operator_addr(&self) -> SocketAddr {
        self.operator_addr
    }

    /// Starts a graceful shutdown.
    pub fn shutdown(&self) {
        let _ = self.tx.send(ActorInput::Host(Input::Shutdown));
    }

    /// A function that starts a graceful shutdown, for a signal handler.
    pub fn shutdown_trigger(&self) -> impl Fn() + Send + 'static {
        let tx = self.tx.clone();
        move || {
            let _ = tx.send(ActorInput::Host(Input::Shutdown));
        }
    }

    /// Waits until the host has stopped.
    ///
    /// # Panics
    ///
    /// Panics if the host's thread has panicked.
    pub fn join(self) {
        self.thread.join().expect("the host's thread panicked");
    }
}

/// Starts a host with its listeners.
///
/// # Errors
///
/// Fails if the secret cannot be read, a listener cannot be opened or a thread
/// cannot be started.
pub fn spawn(settings: &Settings) -> Result<Daemon, DaemonError> {
    let incarnation = Incarnation(u64::try_from(unix_time().as_micros()).unwrap_or(u64::MAX));
    let secret = fs::read(&settings.secret_file).context(FileSnafu {
        step: "read_secret",
        file: &settings.secret_file,
    })?;
    let secret = secret.trim_ascii_end();
    let (tx, rx) = unbounded();
    let http = HttpThread::open().context(ListenSnafu {
        step: "open_http",
        addr: settings.caller,
    })?;
    let callers = bind_callers(&http, settings, tx.clone())?;
    let operators = bind_operators(&http, settings, tx.clone())?;
    let (adapters, peer_addr) = open_adapters(settings, incarnation, secret, &tx)?;
    let me = Member {
        name: settings.host.clone(),
        zone: settings.zone.clone(),
        incarnation,
        peer: peer_addr,
        gossip: adapters.gossip.local_addr().unwrap_or(settings.gossip),
        state: MemberState::Alive,
    };
    let cfg = host_config(settings, me, secret);
    let caller_addr = callers.local_addr();
    let operator_addr = operators.local_addr();
    log::info!(
        "event=started zone={} incarnation={incarnation} caller={caller_addr} operator={operator_addr} peer={} gossip={}",
        cfg.me.zone,
        cfg.me.peer,
        cfg.me.gossip
    );
    let servers = Servers { callers, operators };
    let thread = thread::Builder::new()
        .name("host".into())
        .spawn(move || run(cfg, adapters, &rx, &servers))
        .context(ThreadSnafu { name: "host" })?;
    Ok(Daemon {
        tx,
        thread,
        caller_addr,
        operator_addr,
    })
}

struct Servers {
    callers: HttpServer,
    operators: HttpServer,
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}

fn host_config(settings: &Settings, me: Member, secret: &[u8]) -> HostConfig {
    let key = DatagramKey::derive(&settings.deployment, secret);
    let membership = MembershipConfig::new(key, settings.seeds.clone());
    HostConfig {
        me,
        unix_time: unix_time(),
        routing: match settings.routing {
            RoutingSetting::Owner => Routing::Owner,
            RoutingSetting::Direct => Routing::Direct,
        },
        suspicion: membership.suspicion,
        membership,
        guard: GUARD,
        settle: SETTLE,
        queue_per_upstream: settings.limits.queue_per_upstream,
        queries: QUERY_LIMIT,
        balancer_delay: settings.balancer_delay,
        drain_limit: settings.drain_limit,
    }
}

fn open_adapters(
    settings: &Settings,
    incarnation: Incarnation,
    secret: &[u8],
    tx: &Sender<ActorInput>,
) -> Result<(Adapters, SocketAddr), DaemonError> {
    let peer_cfg = PeerConfig {
        host: settings.host.clone(),
        incarnation,
        secret: Secret::derive(&settings.deployment, secret),
        connect_timeout: CONNECT_TIMEOUT,
    };
    let peer_tx = tx.clone();
    let peers = cornelwinch_peer::bind(settings.peer, peer_cfg, move |event| {
        let input = match event {
            PeerEvent::Message { from, msg } => Input::Peer { from, msg },
            PeerEvent::Down { peer, unsent } => Input::PeerDown { peer, unsent },
        };
        let _ = peer_tx.send(ActorInput::Host(input));
    })
    .context(PeerSnafu)?;
    let gossip_tx = tx.clone();
    let gossip = Gossip::bind(settings.gossip, move |from, buf| {
        let input = Input::Datagram { from, buf };
        gossip_tx.send(ActorInput::Host(input)).is_ok()
    })?;
    let writer = format!("{}~{incarnation}", settings.host);
    let platform_tx = tx.clone();
    let platform = PlatformAdapter::spawn(settings.platform, writer, move |event| {
        let _ = platform_tx.send(ActorInput::Host(Input::Platform(event)));
    })?;
    let peer_addr = peers.local_addr();
    let adapters = Adapters {
        peers: Some(peers),
        gossip,
        platform,
        legs: LegThread::open()?,
        metrics: Metrics::open(settings.metrics, &settings.host)?,
        tx: tx.clone(),
    };
    Ok((adapters, peer_addr))
}

fn bind_callers(
    http: &std::sync::Arc<HttpThread>,
    settings: &Settings,
    tx: Sender<ActorInput>,
) -> Result<HttpServer, DaemonError> {
    let limits = HttpLimits {
        connections: settings.limits.caller_connections,
        body_bytes: settings.limits.body_bytes,
        idle: settings.limits.idle,
    };
    http.bind(settings.caller, limits, move |req| on_caller(req, &tx))
        .context(ListenSnafu {
            step: "bind_caller",
            addr: settings.caller,
        })
}

fn on_caller(req: HttpRequest, tx: &Sender<ActorInput>) {
    if (req.method.as_str(), req.path()) == ("GET", "/v1/ready") {
        let _ = tx.send(ActorInput::Ready(req.responder));
        return;
    }
    match callers::parse(&req) {
        Ok(request) => {
            let _ = tx.send(ActorInput::Request {
                request,
                responder: req.responder,
                arrived: Instant::now(),
            });
        }
        Err(error) => error.answer(req.responder),
    }
}

fn bind_operators(
    http: &std::sync::Arc<HttpThread>,
    settings: &Settings,
    tx: Sender<ActorInput>,
) -> Result<HttpServer, DaemonError> {
    let limits = HttpLimits {
        connections: OPERATOR_CONNECTIONS,
        ..HttpLimits::default()
    };
    let token_hash = settings.operator_token_hash;
    http.bind(settings.operator, limits, move |req| {
        on_operator(req, token_hash, &tx);
    })
    .context(ListenSnafu {
        step: "bind_operator",
        addr: settings.operator,
    })
}

fn on_operator(req: HttpRequest, token_hash: blake3::Hash, tx: &Sender<ActorInput>) {
    if req.path() == "/v1/ready" {
        let _ = tx.send(ActorInput::Ready(req.responder));
        return;
    }
    // The comparison of BLAKE3 hashes takes constant time.
    let allowed = req
        .bearer()
        .is_some_and(|token| blake3::hash(token.as_bytes()) == token_hash);
    if !allowed {
        let error = r#"{"error":"an operator's bearer token is required"}"#;
        req.responder.json(401, error);
        return;
    }
    let input = match (req.method.as_str(), req.path()) {
        ("GET", "/v1/status") => ActorInput::Request {
            request: CallerRequest::Status,
            responder: req.responder,
            arrived: Instant::now(),
        },
        ("GET", "/v1/histograms") => ActorInput::Histograms(req.responder),
        ("GET", "/v1/traffic") => ActorInput::Traffic(req.responder),
        _ => {
            req.responder.json(404, r#"{"error":"no such call"}"#);
            return;
        }
    };
    let _ = tx.send(input);
}

/// Runs the actor until the host has finished its shutdown.
fn run(cfg: HostConfig, adapters: Adapters, rx: &Receiver<ActorInput>, servers: &Servers) {
    let start = Instant::now();
    let mut stakker = Stakker::new(start);
    let mut actions = Vec::new();
    let host = Host::open(start, cfg, fastrand::Rng::new(), &mut actions);
    let actor: ActorOwn<HostActor> = actor!(
        stakker,
        HostActor::init(host, adapters, actions),
        ret_nop!()
    );
    loop {
        stakker.run(Instant::now(), false);
        if query!([actor, &mut stakker], is_exited()).unwrap_or(true) {
            break;
        }
        if query!([actor, &mut stakker], is_draining()).unwrap_or(false) {
            servers.callers.stop_keep_alive();
        }
        let wait = stakker.next_wait_max(Instant::now(), LOOP_WAIT, false);
        match rx.recv_timeout(wait) {
            Ok(input) => {
                call!([actor, stakker], handle(input));
                for input in rx.try_iter().take(INPUT_BATCH) {
                    call!([actor, stakker], handle(input));
                }
            }
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => break,
        }
    }
    flush(servers);
    if let Some(Some(peers)) = query!([actor, &mut stakker], take_peers()) {
        peers.close();
    }
    log::info!("event=stopped");
}

/// Waits until the answers given last have been written.
fn flush(servers: &Servers) {
    let end = Instant::now() + FLUSH_LIMIT;
    while servers.callers.connections() + servers.operators.connections() > 0
        && Instant::now() < end
    {
        thread::sleep(FLUSH_POLL);
    }
}
