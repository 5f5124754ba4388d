use std::net::SocketAddr;

use cornelwinch_types::Name;
use futures_util::{SinkExt, StreamExt};
use serde::Serialize;
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use crate::error::SocketSnafu;
use crate::handshake::{self, Socket, socket_config};
use crate::transport::LinkContext;
use crate::{PeerConfig, PeerError, PeerEvent, TrafficCounts, encode};

/// Most messages written before one flush.
const FLUSH_BATCH: usize = 64;

/// Sends queued messages to one peer until the connection fails or the queue
/// is dropped, then reports the messages that were never written.
pub(crate) async fn send_loop<M: Serialize>(
    cx: LinkContext<M>,
    peer: Name,
    addr: SocketAddr,
    mut rx: UnboundedReceiver<M>,
) {
    let result = match open(&cx.cfg, &peer, addr).await {
        Ok(mut socket) => write_all(&mut socket, &mut rx, &cx.counts).await,
        Err(error) => Err(error),
    };
    rx.close();
    let mut unsent = Vec::new();
    while let Ok(msg) = rx.try_recv() {
        unsent.push(msg);
    }
    match result {
        Ok(()) => log::debug!("event=peer_outbound_closed peer={peer} addr={addr}"),
        Err(error) => log::info!("event=peer_outbound_failed peer={peer} addr={addr} {error}"),
    }
    (cx.handler)(PeerEvent::Down { peer, unsent });
}

async fn open(cfg: &PeerConfig, peer: &Name, addr: SocketAddr) -> Result<Socket, PeerError> {
    let fail = |reason: String| PeerError::Connect {
        peer: peer.clone(),
        addr,
        reason,
    };
    let connect = async {
        let stream = TcpStream::connect(addr)
            .await
            .map_err(|error| fail(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (mut socket, _) = tokio_tungstenite::client_async_with_config(
            format!("ws://{addr}/"),
            stream,
            Some(socket_config()),
        )
        .await
        .context(SocketSnafu { step: "upgrade" })?;
        handshake::connect(cfg, peer, &mut socket).await?;
        Ok(socket)
    };
    timeout(cfg.connect_timeout, connect)
        .await
        .unwrap_or_else(|_| Err(fail("timeout".into())))
}

async fn write_all<M: Serialize>(
    socket: &mut Socket,
    rx: &mut UnboundedReceiver<M>,
    counts: &TrafficCounts,
) -> Result<(), PeerError> {
    loop {
        tokio::select! {
            msg = rx.recv() => {
                let Some(msg) = msg else {
                    let _ = socket.close(None).await;
                    return Ok(());
                };
                write_batch(socket, msg, rx, counts).await?;
            }
            // The peer sends nothing here; reading shows when it closes.
            frame = socket.next() => match frame {
                Some(frame) => { frame.context(SocketSnafu { step: "read" })?; }
                None => return Err(PeerError::Closed { step: "read" }),
            }
        }
    }
}

async fn write_batch<M: Serialize>(
    socket: &mut Socket,
    first: M,
    rx: &mut UnboundedReceiver<M>,
    counts: &TrafficCounts,
) -> Result<(), PeerError> {
    feed(socket, &first, counts).await?;
    for _ in 1..FLUSH_BATCH {
        let Ok(msg) = rx.try_recv() else { break };
        feed(socket, &msg, counts).await?;
    }
    socket.flush().await.context(SocketSnafu { step: "flush" })
}

async fn feed<M: Serialize>(
    socket: &mut Socket,
    msg: &M,
    counts: &TrafficCounts,
) -> Result<(), PeerError> {
    let buf = encode(msg)?;
    counts.add_sent(buf.len());
    socket
        .feed(Message::Binary(buf.into()))
        .await
        .context(SocketSnafu { step: "write" })
}
