use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::core::Shared;
use crate::dialect::{Item, Kind, Value};
use crate::feed::{BEAT_EVERY, FEED_PATH, FeedMessage, encode, send};
use crate::follow::WATCH_MARGIN;

/// Longest wait for a connection to a source and its first message.
const HELLO_TIMEOUT: Duration = Duration::from_millis(300);

/// Silence after which a source counts as lost: two beats and the way.
const SILENCE: Duration = BEAT_EVERY.saturating_mul(2).saturating_add(BEAT_EVERY);

/// Age of the source's last word of the store, beyond a watch and its margin,
/// from which it does not know what is in force.
const STALE_MARGIN: Duration = Duration::from_millis(500);

/// Why a source feeds this host no longer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum FeedEnd {
    /// It could not be reached.
    Unreachable,
    /// It does not follow the store.
    NoSource,
    /// The store does not answer it.
    Stale,
    /// Its connection ended or went silent.
    Lost,
    /// It sent a change of something that this host does not have.
    Gap,
    /// It sent something that cannot be read.
    Malformed,
}

/// A connection to a source that has said that it is one.
#[derive(Debug)]
pub(crate) struct Subscription {
    socket: WebSocketStream<TcpStream>,
}

impl Subscription {
    /// Connects to a host, waits for its first message and tells it what this host
    /// knows.
    pub(crate) async fn open(shared: &Shared, addr: SocketAddr) -> Result<Self, FeedEnd> {
        let open = async {
            let stream = TcpStream::connect(addr)
                .await
                .map_err(|_| FeedEnd::Unreachable)?;
            stream.set_nodelay(true).map_err(|_| FeedEnd::Unreachable)?;
            let url = format!("ws://{addr}{FEED_PATH}");
            let (socket, _) = tokio_tungstenite::client_async(url, stream)
                .await
                .map_err(|_| FeedEnd::Unreachable)?;
            let mut subscription = Self { socket };
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

    /// Takes over the lists of the source until its first beat.
    pub(crate) async fn settle(&mut self, shared: &Shared) -> Result<(), FeedEnd> {
        loop {
            let message = match timeout(SILENCE, self.next()).await {
                Ok(message) => message?,
                Err(_) => return Err(FeedEnd::Lost),
            };
            let is_beat = matches!(message, FeedMessage::Beat { .. });
            take(shared, message)?;
            if is_beat {
                return Ok(());
            }
        }
    }

    /// Takes over what the source sends until it ends.
    pub(crate) async fn run(mut self, shared: &Shared) -> FeedEnd {
        loop {
            match timeout(SILENCE, self.next()).await {
                Ok(Ok(message)) => {
                    if let Err(end) = take(shared, message) {
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

fn take(shared: &Shared, message: FeedMessage) -> Result<(), FeedEnd> {
    match message {
        FeedMessage::Hello { .. } | FeedMessage::Known { .. } => {}
        FeedMessage::List {
            kind,
            revision,
            items,
        } => shared.take_list(kind, revision, items, None),
        FeedMessage::Changes {
            kind,
            revision,
            items,
            grace_ms,
        } => {
            let grace = grace_ms.map(Duration::from_millis);
            shared.take_changes(kind, revision, items, grace);
        }
        FeedMessage::Version {
            revision,
            name,
            change,
        } => {
            let state = {
                let mirror = shared.mirror.borrow();
                if mirror.revision(Kind::DesiredState) > Some(revision) {
                    return Ok(());
                }
                mirror.desired(&name).and_then(|state| change.apply(state))
            };
            let Some(state) = state else {
                return Err(FeedEnd::Gap);
            };
            let value = Some(Value::DesiredState(Box::new(state)));
            let items = vec![Item { name, value }];
            shared.take_changes(Kind::DesiredState, revision, items, None);
        }
        FeedMessage::Crashes { reports } => shared.take_reports(&reports),
        FeedMessage::Beat { age_ms, is_failing } => {
            let wait = shared.settings.borrow().bounds.watch_wait();
            let stale = wait + WATCH_MARGIN + STALE_MARGIN;
            if is_failing || Duration::from_millis(age_ms) > stale {
                return Err(FeedEnd::Stale);
            }
            shared.record_feed(Instant::now());
        }
    }
    Ok(())
}
