use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
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

use crate::error::ThreadSnafu;
use crate::{DaemonError, claims};

/// Time limits of a call. The host repeats failed calls itself, so an operation
/// is one attempt.
const TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(500),
    call: Duration::from_secs(2),
    operation: Duration::ZERO,
};

/// Time limits of a read or write of claims, shorter than the others because a
/// caller waits.
const CLAIM_TIMEOUTS: Timeouts = Timeouts {
    connect: Duration::from_millis(250),
    call: Duration::from_millis(500),
    operation: Duration::ZERO,
};

/// Buckets of claims read or written at once by one host.
const CLAIM_WORKERS: usize = 4;

/// As [`TIMEOUTS`], for a watch: its answer is due when its wait ends, and the
/// host hears of no change until it fails.
const WATCH_TIMEOUTS: Timeouts = Timeouts {
    call: Duration::from_secs(1),
    ..TIMEOUTS
};

type Handler = Arc<dyn Fn(PlatformEvent) + Send + Sync>;

/// Running adapter to the platform: a thread for lists and watches, one for the
/// host list, some for claims.
pub(crate) struct PlatformAdapter {
    changes: Sender<PlatformCall>,
    hosts: Sender<PlatformCall>,
    claims: Sender<PlatformCall>,
}

impl fmt::Debug for PlatformAdapter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformAdapter").finish_non_exhaustive()
    }
}

impl PlatformAdapter {
    /// Starts the threads. `writer` differs from that of every other process.
    pub(crate) fn spawn(
        addr: SocketAddr,
        writer: String,
        handler: impl Fn(PlatformEvent) + Send + Sync + 'static,
    ) -> Result<Self, DaemonError> {
        let handler: Handler = Arc::new(handler);
        let (claims, claims_rx) = unbounded();
        let calls = Arc::new(Calls {
            writer,
            writes: AtomicU64::new(0),
            handler,
        });
        let (changes, changes_rx) = unbounded();
        let (hosts, hosts_rx) = unbounded();
        calls.spawn_worker("platform-changes", addr, TIMEOUTS, changes_rx)?;
        calls.spawn_worker("platform-hosts", addr, TIMEOUTS, hosts_rx)?;
        for _ in 0..CLAIM_WORKERS {
            calls.spawn_worker("platform-claims", addr, CLAIM_TIMEOUTS, claims_rx.clone())?;
        }
        Ok(Self {
            changes,
            hosts,
            claims,
        })
    }

    /// Starts a call; its result goes to the handler.
    pub(crate) fn call(&self, call: PlatformCall) {
        let worker = match call {
            PlatformCall::List { .. } | PlatformCall::Watch { .. } => &self.changes,
            PlatformCall::Hosts => &self.hosts,
            PlatformCall::ReadClaims { .. } | PlatformCall::WriteClaims { .. } => &self.claims,
        };
        let _ = worker.send(call);
    }
}

/// What the threads share.
struct Calls {
    writer: String,
    /// Number of writes, which makes the identifier of each one unique.
    writes: AtomicU64,
    handler: Handler,
}

impl Calls {
    fn spawn_worker(
        self: &Arc<Self>,
        name: &'static str,
        addr: SocketAddr,
        timeouts: Timeouts,
        rx: Receiver<PlatformCall>,
    ) -> Result<(), DaemonError> {
        let calls = self.clone();
        thread::Builder::new()
            .name(name.into())
            .spawn(move || {
                let client = PlatformClient::open(addr, timeouts);
                let watcher = PlatformClient::open(addr, WATCH_TIMEOUTS);
                for call in rx {
                    let event = calls.run(&client, &watcher, call);
                    (calls.handler)(event);
                }
            })
            .context(ThreadSnafu { name })?;
        Ok(())
    }

    fn run(
        &self,
        client: &PlatformClient,
        watcher: &PlatformClient,
        call: PlatformCall,
    ) -> PlatformEvent {
        match call {
            PlatformCall::List { after } => changes(client.list(after, &config_kinds())),
            PlatformCall::Watch { after, wait } => {
                changes(watcher.watch(after, wait, &config_kinds()))
            }
            PlatformCall::Hosts => hosts(client.hosts()),
            PlatformCall::ReadClaims { bucket } => PlatformEvent::Claims {
                bucket,
                reply: claims::read(client, bucket),
            },
            PlatformCall::WriteClaims {
                bucket,
                version,
                value,
            } => {
                let number = self.writes.fetch_add(1, Ordering::Relaxed);
                let change = format!("{}~{number}", self.writer);
                PlatformEvent::Claims {
                    bucket,
                    reply: claims::write(client, bucket, version, &change, &value),
                }
            }
        }
    }
}

fn config_kinds() -> [&'static str; Kind::ALL.len()] {
    Kind::ALL.map(Kind::as_str)
}

fn changes(result: Result<Listing, PlatformError>) -> PlatformEvent {
    match result {
        Ok(listing) => {
            for reason in &listing.unreadable {
                log::warn!("event=unreadable_object reason={reason:?}");
            }
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
