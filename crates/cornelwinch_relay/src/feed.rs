use std::fmt;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{CrashReport, DesiredStateDelta};
use cornelwinch_types::Name;
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{interval, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::{WebSocketStream, accept_hdr_async};

use crate::core::Shared;
use crate::dialect::{Item, Kind};

/// Time between two beats of a source.
pub(crate) const BEAT_EVERY: Duration = Duration::from_millis(350);

/// Longest time for a handshake or for one message to be sent.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Kinds that a source passes on.
pub(crate) const FED_KINDS: [Kind; 4] = [
    Kind::DesiredState,
    Kind::Upstreams,
    Kind::Evacuations,
    Kind::Hosts,
];

/// A message from a source to the hosts that it feeds.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum FeedMessage {
    /// The first message.
    Hello {
        /// Name of the source.
        host: Name,
        /// The host follows the store itself.
        is_source: bool,
    },
    /// What a host that wants to be fed has, up to which revision.
    Known { revisions: Vec<(Kind, u64)> },
    /// All objects of a kind.
    List {
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
    },
    /// Changed objects of a kind.
    Changes {
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
        /// How much longer removed entries may only have expired.
        grace_ms: Option<u64>,
    },
    /// What a new version of the desired state changes.
    Version {
        revision: u64,
        /// Name of the object that holds the desired state.
        name: Name,
        change: DesiredStateDelta,
    },
    /// What hosts have seen of requests that broke upstreams.
    Crashes { reports: Vec<CrashReport> },
    /// The source lives.
    Beat {
        /// Time since the store answered the source.
        age_ms: u64,
        /// The store did not answer the source's last call.
        is_failing: bool,
    },
}

impl fmt::Display for FeedMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Hello { is_source, .. } => write!(f, "message=hello source={is_source}"),
            Self::Known { revisions } => write!(f, "message=known revisions={revisions:?}"),
            Self::List { kind, items, .. } => {
                write!(f, "message=list kind={kind:?} items={}", items.len())
            }
            Self::Changes { kind, items, .. } => {
                write!(f, "message=changes kind={kind:?} items={}", items.len())
            }
            Self::Version { change, .. } => {
                write!(f, "message=version version={}", change.version())
            }
            Self::Crashes { reports } => write!(f, "message=crashes items={}", reports.len()),
            Self::Beat { age_ms, .. } => write!(f, "message=beat age_ms={age_ms}"),
        }
    }
}

/// Encodes a message.
pub(crate) fn encode(message: &FeedMessage) -> Bytes {
    let mut buf = Vec::new();
    ciborium::into_writer(message, &mut buf).expect("writing to a vector does not fail");
    buf.into()
}

/// Path on which a host is fed.
pub(crate) const FEED_PATH: &str = "/feed";

/// Path on which a host reports to a source what it has seen.
pub(crate) const REPORT_PATH: &str = "/reports";

/// Accepts hosts that want to be fed or to report.
pub(crate) async fn serve_feed(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    let reason = serve_host(&shared, stream).await;
                    log::info!("event=peer_ended peer={peer} reason=\"{reason}\"");
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(BEAT_EVERY).await;
            }
        }
    }
}

/// Serves one host until its connection ends; returns why it ended.
async fn serve_host(shared: &Shared, stream: TcpStream) -> String {
    if let Err(error) = stream.set_nodelay(true) {
        return error.to_string();
    }
    let mut path = String::new();
    #[expect(clippy::result_large_err, reason = "the library sets the type")]
    let read_path = |request: &Request, response: Response| {
        request.uri().path().clone_into(&mut path);
        Ok(response)
    };
    let socket = match timeout(SEND_TIMEOUT, accept_hdr_async(stream, read_path)).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return error.to_string(),
        Err(_) => return "handshake_timeout".to_owned(),
    };
    match path.as_str() {
        FEED_PATH => feed_host(shared, socket).await,
        REPORT_PATH => hear_reports(shared, socket).await,
        _ => format!("no_path_{path}"),
    }
}

/// Takes over the reports of one host and passes them on to those that this host
/// feeds.
async fn hear_reports(shared: &Shared, mut socket: WebSocketStream<TcpStream>) -> String {
    loop {
        let buf = match timeout(SEND_TIMEOUT, socket.next()).await {
            Ok(Some(Ok(Message::Binary(buf)))) => buf,
            Ok(Some(Ok(Message::Ping(_) | Message::Pong(_)))) => continue,
            Ok(Some(Err(error))) => return error.to_string(),
            Ok(Some(Ok(_)) | None) => return "reported".to_owned(),
            Err(_) => return "silent".to_owned(),
        };
        match ciborium::from_reader(buf.as_ref()) {
            Ok(FeedMessage::Crashes { reports }) => {
                shared.take_reports(&reports);
                shared.publish(&FeedMessage::Crashes { reports });
            }
            Ok(_) => return "no_report".to_owned(),
            Err(error) => return error.to_string(),
        }
    }
}

/// Feeds one host.
async fn feed_host(shared: &Shared, mut socket: WebSocketStream<TcpStream>) -> String {
    let is_source = shared.is_source();
    let hello = FeedMessage::Hello {
        host: shared.settings.borrow().host.clone(),
        is_source,
    };
    if let Err(reason) = send(&mut socket, encode(&hello)).await {
        return reason;
    }
    if !is_source {
        return "no_source".to_owned();
    }
    let known = match timeout(SEND_TIMEOUT, socket.next()).await {
        Ok(Some(Ok(Message::Binary(buf)))) => ciborium::from_reader(buf.as_ref()),
        _ => return "no_revisions".to_owned(),
    };
    let Ok(FeedMessage::Known { revisions }) = known else {
        return "no_revisions".to_owned();
    };
    // From here on nothing is awaited before the messages are made, so that no
    // change falls between them and the subscription.
    let mut changes = shared.feed.subscribe();
    let mut bytes = 0;
    for message in first_messages(shared, &revisions) {
        let buf = encode(&message);
        bytes += buf.len();
        if let Err(reason) = send(&mut socket, buf).await {
            return reason;
        }
    }
    log::info!("event=host_fed bytes={bytes}");
    shared.core.borrow_mut().metrics.feed_bytes += bytes as u64;
    let mut beats = interval(BEAT_EVERY);
    loop {
        let buf = tokio::select! {
            change = changes.recv() => match change {
                Ok(buf) => buf,
                Err(RecvError::Lagged(_)) => return "too_slow".to_owned(),
                Err(RecvError::Closed) => return "closed".to_owned(),
            },
            _ = beats.tick() => {
                if !shared.is_source() {
                    return "no_source".to_owned();
                }
                encode(&beat(shared))
            }
            message = socket.next() => match message {
                Some(Ok(Message::Close(_))) | None => return "left".to_owned(),
                Some(Ok(_)) => continue,
                Some(Err(error)) => return error.to_string(),
            },
        };
        shared.core.borrow_mut().metrics.feed_bytes += buf.len() as u64;
        if let Err(reason) = send(&mut socket, buf).await {
            return reason;
        }
    }
}

/// Messages that bring a host up to date which knows these revisions: what has
/// changed since, or whole lists where that is not known.
fn first_messages(shared: &Shared, known: &[(Kind, u64)]) -> Vec<FeedMessage> {
    let mirror = shared.mirror.borrow();
    let message = |kind: Kind| {
        let revision = mirror.revision(kind)?;
        let known = known.iter().find(|(k, _)| *k == kind);
        let changes = known.and_then(|(_, revision)| mirror.changes_since(kind, *revision));
        match changes {
            Some(items) if items.is_empty() => None,
            Some(items) => Some(FeedMessage::Changes {
                kind,
                revision,
                items,
                grace_ms: None,
            }),
            None => Some(FeedMessage::List {
                kind,
                revision,
                items: mirror.items(kind),
            }),
        }
    };
    let mut messages: Vec<FeedMessage> = FED_KINDS.into_iter().filter_map(message).collect();
    messages.push(beat(shared));
    messages
}

fn beat(shared: &Shared) -> FeedMessage {
    let age = shared.condition.age(Instant::now());
    FeedMessage::Beat {
        age_ms: age.map_or(u64::MAX, |age| {
            u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
        }),
        is_failing: shared.condition.is_failing(),
    }
}

/// Sends one message to a host.
pub(crate) async fn send(
    socket: &mut WebSocketStream<TcpStream>,
    buf: Bytes,
) -> Result<(), String> {
    match timeout(SEND_TIMEOUT, socket.send(Message::Binary(buf))).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(error.to_string()),
        Err(_) => Err("send_timeout".to_owned()),
    }
}
