use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_types::Name;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use crate::error::SocketSnafu;
use crate::handshake::socket_config;
use crate::transport::LinkContext;
use crate::{PeerError, PeerEvent, decode, handshake};

const UPGRADE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of peers until the runtime ends.
pub(crate) async fn accept_loop<M: DeserializeOwned + 'static>(
    listener: TcpListener,
    cx: LinkContext<M>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                tokio::task::spawn_local(serve(stream, addr, cx.clone()));
            }
            Err(error) => {
                log::warn!("event=peer_accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<M: DeserializeOwned>(stream: TcpStream, addr: SocketAddr, cx: LinkContext<M>) {
    let mut peer: Option<Name> = None;
    let error = receive(stream, &cx, &mut peer).await;
    let name = peer.as_deref().unwrap_or("unknown");
    log::info!("event=peer_inbound_closed peer={name} addr={addr} {error}");
}

/// Reads messages until the connection fails; the result tells why.
async fn receive<M: DeserializeOwned>(
    stream: TcpStream,
    cx: &LinkContext<M>,
    peer: &mut Option<Name>,
) -> PeerError {
    match receive_all(stream, cx, peer).await {
        Ok(()) => PeerError::Closed { step: "receive" },
        Err(error) => error,
    }
}

async fn receive_all<M: DeserializeOwned>(
    stream: TcpStream,
    cx: &LinkContext<M>,
    peer: &mut Option<Name>,
) -> Result<(), PeerError> {
    // A failure to turn off Nagle's algorithm only costs latency.
    let _ = stream.set_nodelay(true);
    let mut socket = timeout(
        UPGRADE_TIMEOUT,
        tokio_tungstenite::accept_async_with_config(stream, Some(socket_config())),
    )
    .await
    .map_err(|_| PeerError::Timeout { step: "upgrade" })?
    .context(SocketSnafu { step: "upgrade" })?;
    let name = handshake::accept(&cx.cfg, &mut socket).await?;
    *peer = Some(name.clone());
    while let Some(frame) = socket.next().await {
        if let Message::Binary(buf) = frame.context(SocketSnafu { step: "receive" })? {
            cx.counts.add_received(buf.len());
            let msg = decode(&buf)?;
            (cx.handler)(PeerEvent::Message {
                from: name.clone(),
                msg,
            });
        }
    }
    Ok(())
}
