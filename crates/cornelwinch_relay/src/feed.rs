use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast::error::RecvError;
use tokio::time::{interval, timeout};
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::handshake::server::{Request, Response};
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::{WebSocketStream, accept_hdr_async_with_config};

use crate::coordination::{COORDINATION_PATH, serve_coordination};
use crate::dialect::ObjectKind;
use crate::feed_message::{FED_KINDS, FeedMessage, encode};
use crate::marks::{MARKS_PATH, send_marks};
use crate::shared::Shared;

/// Pause after a connection could not be accepted.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(350);

/// Longest time for a handshake, for sending one message and for receiving an expected one.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest message that a host accepts from another one. It holds the list of 76,000 upstreams.
const MAX_MESSAGE_BYTES: usize = 24 << 20;

/// Returns the limits on what another host may send.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// WebSocket path on which a host is fed.
pub(crate) const FEED_PATH: &str = "/feed";

/// WebSocket path on which a host sends crash reports to a source.
pub(crate) const REPORT_PATH: &str = "/reports";

/// Accepts connections of hosts that subscribe to the feed or send crash reports.
pub(crate) async fn serve_feed(shared: Rc<Shared>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    let reason = serve_peer(&shared, stream).await;
                    log::info!("event=peer_ended peer={peer} reason=\"{reason}\"");
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }
}

/// Serves one connection of a host and returns why it ended.
async fn serve_peer(shared: &Shared, stream: TcpStream) -> String {
    if let Err(error) = stream.set_nodelay(true) {
        return error.to_string();
    }
    let mut path = String::new();
    #[expect(clippy::result_large_err, reason = "the library sets the type")]
    let read_path = |request: &Request, response: Response| {
        request.uri().path().clone_into(&mut path);
        Ok(response)
    };
    let accept = accept_hdr_async_with_config(stream, read_path, Some(socket_config()));
    let socket = match timeout(SEND_TIMEOUT, accept).await {
        Ok(Ok(socket)) => socket,
        Ok(Err(error)) => return error.to_string(),
        Err(_) => return "handshake_timeout".to_owned(),
    };
    match path.as_str() {
        FEED_PATH => feed_host(shared, socket).await,
        COORDINATION_PATH => serve_coordination(shared, socket).await,
        REPORT_PATH => receive_reports(shared, socket).await,
        MARKS_PATH => send_marks(shared, socket).await,
        _ => format!("no_path_{path}"),
    }
}

/// Records the crash reports of one host and forwards them to the hosts that this one feeds.
async fn receive_reports(shared: &Shared, mut socket: WebSocketStream<TcpStream>) -> String {
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
                shared.record_crash_reports(&reports);
                shared.publish(&FeedMessage::Crashes { reports });
            }
            Ok(_) => return "no_report".to_owned(),
            Err(error) => return error.to_string(),
        }
    }
}

/// Feeds one host and returns why the feed ended.
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
    // There must be no await between subscribing and building the catch-up messages. A change in
    // between would be lost.
    let mut changes = shared.feed.subscribe();
    let mut bytes = 0;
    // The marks come first, so that a new host has them before it can serve.
    let reports = shared
        .core
        .borrow()
        .crash_tracker
        .copy_marks(Instant::now());
    let marks = (!reports.is_empty()).then_some(FeedMessage::Crashes { reports });
    for message in marks
        .into_iter()
        .chain(catch_up_messages(shared, &revisions))
    {
        let buf = encode(&message);
        bytes += buf.len();
        if let Err(reason) = send(&mut socket, buf).await {
            return reason;
        }
    }
    log::info!("event=host_fed bytes={bytes}");
    shared.core.borrow_mut().metrics.feed_bytes += bytes as u64;
    let mut heartbeats = interval(shared.sync_timing().heartbeat_interval);
    loop {
        let buf = tokio::select! {
            change = changes.recv() => match change {
                Ok(buf) => buf,
                Err(RecvError::Lagged(_)) => return "too_slow".to_owned(),
                Err(RecvError::Closed) => return "closed".to_owned(),
            },
            _ = heartbeats.tick() => {
                if !shared.is_source() {
                    return "no_source".to_owned();
                }
                encode(&heartbeat(shared))
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

/// Returns the messages that bring a host with the given revisions up to date: the changes since
/// then, or a complete list of each kind whose changes are no longer stored.
fn catch_up_messages(shared: &Shared, known: &[(ObjectKind, u64)]) -> Vec<FeedMessage> {
    let mirror = shared.mirror.borrow();
    let message = |kind: ObjectKind| {
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
    messages.push(heartbeat(shared));
    messages
}

fn heartbeat(shared: &Shared) -> FeedMessage {
    let age = shared.store_health.knowledge_age(Instant::now());
    FeedMessage::Beat {
        age_ms: age.map_or(u64::MAX, |age| {
            u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
        }),
        is_failing: shared.store_health.is_failing(),
        hosts_age_ms: shared
            .hosts_confirmed_at
            .get()
            .and_then(|at| u64::try_from(at.elapsed().as_millis()).ok()),
    }
}

/// Sends one encoded message to a host.
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
