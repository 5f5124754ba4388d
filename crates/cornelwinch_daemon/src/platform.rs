use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use cornelwinch_config::Kind;
use cornelwinch_host::{PlatformCall, PlatformEvent};
use cornelwinch_membership::ListedHost;
use cornelwinch_platform::{
    HostRole, HostState, Listing, PlatformClient, PlatformError, PlatformHost, Timeouts,
};
use cornelwinch_types::Name;
use crossbeam_channel::{Receiver, Sender, unbounded};
use snafu::ResultExt;

use crate::DaemonError;
use crate::error::ThreadSnafu;

/// Time limits of a call. The host repeats failed calls itself, so an operation
/// is one attempt.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    call: Duration::from_secs(2),
    operation: Duration::ZERO,
};

/// As [`TIMEOUTS`], for a watch: its answer is due when its wait ends, and the
/// host hears of no change until it fails.
const WATCH_TIMEOUTS: Timeouts = Timeouts {
    call: Duration::from_secs(1),
    ..TIMEOUTS
};

type Handler = Arc<dyn Fn(PlatformEvent) + Send + Sync>;

/// Running adapter to the platform: a thread for lists and watches, one for the
/// host list.
pub(crate) struct PlatformAdapter {
    changes: Sender<PlatformCall>,
    hosts: Sender<PlatformCall>,
}

impl fmt::Debug for PlatformAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformAdapter").finish_non_exhaustive()
    }
}

impl PlatformAdapter {
    pub(crate) fn spawn(
        addr: SocketAddr,
        handler: impl Fn(PlatformEvent) + Send + Sync + 'static,
    ) -> Result<Self, DaemonError> {
        let handler: Handler = Arc::new(handler);
        Ok(Self {
            changes: spawn_worker("platform-changes", addr, handler.clone())?,
            hosts: spawn_worker("platform-hosts", addr, handler)?,
        })
    }

    /// Starts a call; its result goes to the handler.
    pub(crate) fn call(&self, call: PlatformCall) {
        let worker = match call {
            PlatformCall::List { .. } | PlatformCall::Watch { .. } => &self.changes,
            PlatformCall::Hosts => &self.hosts,
        };
        let _ = worker.send(call);
    }
}

fn spawn_worker(
    name: &'static str,
    addr: SocketAddr,
    handler: Handler,
) -> Result<Sender<PlatformCall>, DaemonError> {
    let (tx, rx) = unbounded();
    thread::Builder::new()
        .name(name.into())
        .spawn(move || run_calls(addr, &rx, &handler))
        .context(ThreadSnafu { name })?;
    Ok(tx)
}

fn run_calls(addr: SocketAddr, rx: &Receiver<PlatformCall>, handler: &Handler) {
    let client = PlatformClient::open(addr, TIMEOUTS);
    let watcher = PlatformClient::open(addr, WATCH_TIMEOUTS);
    let kinds: Vec<&str> = Kind::ALL.iter().map(|kind| kind.as_str()).collect();
    for call in rx {
        let event = match call {
            PlatformCall::List { after } => changes(client.list(after, &kinds)),
            PlatformCall::Watch { after, wait } => changes(watcher.watch(after, wait, &kinds)),
            PlatformCall::Hosts => hosts(client.hosts()),
        };
        handler(event);
    }
}

fn changes(result: Result<Listing, PlatformError>) -> PlatformEvent {
    match result {
        Ok(listing) => {
            let (entries, invalid) = listing.entries();
            for object in invalid {
                log::warn!("event=invalid_object error=\"{object}\"");
            }
            PlatformEvent::Changes {
                entries,
                through: listing.revision,
            }
        }
        Err(error) => {
            log::info!("event=platform_changes_failed error=\"{error}\"");
            PlatformEvent::ChangesFailed
        }
    }
}

fn hosts(result: Result<Vec<PlatformHost>, PlatformError>) -> PlatformEvent {
    let listed = match result {
        Ok(listed) => listed,
        Err(error) => {
            log::info!("event=platform_hosts_failed error=\"{error}\"");
            return PlatformEvent::HostsFailed;
        }
    };
    let leaving_upstreams: Vec<Name> = listed
        .iter()
        .filter(|host| host.role == HostRole::Upstream && host.state == HostState::Leaving)
        .map(|host| host.name.clone())
        .collect();
    let hosts = listed
        .into_iter()
        .filter(|host| host.role == HostRole::Host)
        .filter_map(|host| {
            Some(ListedHost {
                name: host.name,
                zone: host.zone,
                peer: host.peer?,
                gossip: host.gossip?,
                leaving: host.state == HostState::Leaving,
            })
        })
        .collect();
    PlatformEvent::Hosts {
        hosts,
        leaving_upstreams,
    }
}
