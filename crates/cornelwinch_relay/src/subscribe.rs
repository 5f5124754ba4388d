use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelwinch_types::Name;
use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, client_async_with_config};

use crate::dialect::{ObjectKind, ObjectValue, StoreObject};
use crate::feed::{FEED_PATH, send, socket_config};
use crate::feed_message::{FeedMessage, encode};
use crate::shared::Shared;

/// Timeout for connecting to a source and exchanging the first messages.
const HELLO_TIMEOUT: Duration = Duration::from_millis(300);

/// Largest number of messages with a desired state before the first heartbeat. A source sends one,
/// and one for each version that is published meanwhile.
const MAX_UNCONFIRMED: usize = 16;

/// Reason why a source does not feed this host, or no longer does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedEnd {
    /// The source could not be reached.
    Unreachable,
    /// The host does not follow the store.
    NoSource,
    /// The source gets no answers from the store.
    Stale,
    /// The connection closed or no message arrived in time.
    Lost,
    /// The source sent a difference to a version that this host does not hold.
    Gap,
    /// The source sent a message that cannot be decoded.
    Malformed,
}

/// A connection to a host that has announced itself as a source.
#[derive(Debug)]
pub(crate) struct Subscription {
    socket: WebSocketStream<TcpStream>,
}

impl Subscription {
    /// Connects to a host, waits for its `Hello` and sends the revisions that this host holds.
    pub(crate) async fn open(shared: &Shared, addr: SocketAddr) -> Result<Self, FeedEnd> {
        let open = async {
            let mut subscription = Self::connect(addr).await?;
            match subscription.next().await? {
                FeedMessage::Hello {
                    is_source: true, ..
                } => {}
                _ => return Err(FeedEnd::NoSource),
            }
            let revisions = shared.mirror.borrow().revisions();
            let known = encode(&FeedMessage::Known { revisions });
            send(&mut subscription.socket, known)
                .await
                .map_err(|_| FeedEnd::Lost)?;
            Ok(subscription)
        };
        timeout(HELLO_TIMEOUT, open)
            .await
            .unwrap_or(Err(FeedEnd::Unreachable))
    }

    async fn connect(addr: SocketAddr) -> Result<Self, FeedEnd> {
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|_| FeedEnd::Unreachable)?;
        stream.set_nodelay(true).map_err(|_| FeedEnd::Unreachable)?;
        let url = format!("ws://{addr}{FEED_PATH}");
        let (socket, _) = client_async_with_config(url, stream, Some(socket_config()))
            .await
            .map_err(|_| FeedEnd::Unreachable)?;
        Ok(Self { socket })
    }

    /// Applies the source's catch-up messages up to its first heartbeat.
    ///
    /// A process without a desired state applies one that needs confirmation only after the
    /// heartbeat has shown that the source is up to date. Otherwise a source that has lost the
    /// store could bring a version with a revoked key into force. Where this process already has a
    /// desired state, the revision decides, and older versions are ignored.
    pub(crate) async fn catch_up(&mut self, shared: &Shared) -> Result<(), FeedEnd> {
        let heartbeat_timeout = shared.sync_timing().heartbeat_timeout;
        let mut unconfirmed = Vec::new();
        loop {
            let message = match timeout(heartbeat_timeout, self.next()).await {
                Ok(message) => message?,
                Err(_) => return Err(FeedEnd::Lost),
            };
            if needs_confirmation(shared, &message) {
                if unconfirmed.len() >= MAX_UNCONFIRMED {
                    return Err(FeedEnd::Malformed);
                }
                unconfirmed.push(message);
                continue;
            }
            let is_beat = matches!(message, FeedMessage::Beat { .. });
            if is_beat && !unconfirmed.is_empty() {
                check_fresh(shared, &message)?;
                for message in unconfirmed.drain(..) {
                    apply_message(shared, message)?;
                }
            }
            apply_message(shared, message)?;
            if is_beat {
                return Ok(());
            }
        }
    }

    /// Applies the source's messages until the feed ends, and returns why it ended.
    pub(crate) async fn run(mut self, shared: &Shared) -> FeedEnd {
        let heartbeat_timeout = shared.sync_timing().heartbeat_timeout;
        loop {
            match timeout(heartbeat_timeout, self.next()).await {
                Ok(Ok(message)) => {
                    if let Err(end) = apply_message(shared, message) {
                        return end;
                    }
                }
                Ok(Err(end)) => return end,
                Err(_) => return FeedEnd::Lost,
            }
        }
    }

    async fn next(&mut self) -> Result<FeedMessage, FeedEnd> {
        loop {
            match self.socket.next().await {
                Some(Ok(Message::Binary(buf))) => {
                    return ciborium::from_reader(buf.as_ref()).map_err(|error| {
                        log::warn!("event=feed_unreadable reason=\"{error}\"");
                        FeedEnd::Malformed
                    });
                }
                Some(Ok(Message::Ping(_) | Message::Pong(_))) => {}
                _ => return Err(FeedEnd::Lost),
            }
        }
    }
}

/// Returns the name of the host at an address, which it sends in its first message.
pub(crate) async fn ask_name(addr: SocketAddr) -> Result<Name, FeedEnd> {
    let ask = async {
        let mut subscription = Subscription::connect(addr).await?;
        match subscription.next().await? {
            FeedMessage::Hello { host, .. } => Ok(host),
            _ => Err(FeedEnd::Malformed),
        }
    };
    timeout(HELLO_TIMEOUT, ask)
        .await
        .unwrap_or(Err(FeedEnd::Unreachable))
}

/// Returns true if a message of a source may be applied only once the source has proved to be up to
/// date: a desired state with organisations, or any where caps are configured, for a process that
/// has none. In other deployments a process that starts during an outage of the store serves with
/// what its sources know.
fn needs_confirmation(shared: &Shared, message: &FeedMessage) -> bool {
    if shared.core.borrow().table.is_some() {
        return false;
    }
    let (FeedMessage::List { kind, items, .. } | FeedMessage::Changes { kind, items, .. }) =
        message
    else {
        return matches!(message, FeedMessage::Version { .. });
    };
    let has_organisations = |item: &StoreObject| matches!(&item.value, Some(ObjectValue::DesiredState(state)) if state.organisations.is_some());
    *kind == ObjectKind::DesiredState
        && (shared.settings.borrow().bounds.cap.is_some() || items.iter().any(has_organisations))
}

/// Checks that a heartbeat shows a source that is up to date with the store.
fn check_fresh(shared: &Shared, message: &FeedMessage) -> Result<(), FeedEnd> {
    match message {
        FeedMessage::Beat {
            age_ms, is_failing, ..
        } if *is_failing || Duration::from_millis(*age_ms) > shared.sync_timing().max_age => {
            Err(FeedEnd::Stale)
        }
        _ => Ok(()),
    }
}

fn apply_message(shared: &Shared, message: FeedMessage) -> Result<(), FeedEnd> {
    check_fresh(shared, &message)?;
    match message {
        FeedMessage::Hello { .. } | FeedMessage::Known { .. } | FeedMessage::Marks { .. } => {}
        FeedMessage::List {
            kind,
            revision,
            items,
        } => shared.ingest_list(kind, revision, items, None),
        FeedMessage::Changes {
            kind,
            revision,
            items,
            grace_ms,
        } => {
            let removal_grace = grace_ms.map(Duration::from_millis);
            shared.ingest_changes(kind, revision, items, removal_grace);
        }
        FeedMessage::Version {
            revision,
            name,
            change,
        } => {
            let state = {
                let mirror = shared.mirror.borrow();
                if mirror.revision(ObjectKind::DesiredState) > Some(revision) {
                    return Ok(());
                }
                mirror.desired(&name).and_then(|state| change.apply(state))
            };
            let Some(state) = state else {
                return Err(FeedEnd::Gap);
            };
            let value = Some(ObjectValue::DesiredState(Box::new(state)));
            let items = vec![StoreObject { name, value }];
            shared.ingest_changes(ObjectKind::DesiredState, revision, items, None);
        }
        FeedMessage::Crashes { reports } => shared.record_crash_reports(&reports),
        FeedMessage::Beat {
            age_ms,
            hosts_age_ms,
            ..
        } => {
            let now = Instant::now();
            shared.record_feed(now);
            let hosts_age = Duration::from_millis(hosts_age_ms.unwrap_or(age_ms));
            if let Some(at) = now.checked_sub(hosts_age) {
                shared.confirm_hosts(at);
            }
        }
    }
    Ok(())
}
