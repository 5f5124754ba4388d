use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cornelwinch_types::Name;
use futures_util::StreamExt;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;

use crate::error::SocketSnafu;
use crate::transport::Handler;
use crate::{PeerConfig, PeerError, PeerEvent, decode, handshake};

const UPGRADE_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause after a failed accept, such as one for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts connections of peers until the runtime ends.
pub(crate) async fn accept_loop<M: DeserializeOwned + 'static>(
    listener: TcpListener,
    cfg: Arc<PeerConfig>,
    handler: Handler<M>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, addr)) => {
                tokio::task::spawn_local(serve(stream, addr, cfg.clone(), handler.clone()));
            }
            Err(error) => {
                log::warn!("event=peer_accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve<M: DeserializeOwned>(
    stream: TcpStream,
    addr: SocketAddr,
    cfg: Arc<PeerConfig>,
    handler: Handler<M>,
) {
    let mut peer: Option<Name> = None;
    let error = receive(stream, &cfg, &handler, &mut peer).await;
    let name = peer.as_deref().unwrap_or("unknown");
    log::info!("event=peer_inbound_closed peer={name} addr={addr} {error}");
}

/// Reads messages until the connection fails; the result tells why.
async fn receive<M: DeserializeOwned>(
    stream: TcpStream,
    cfg: &PeerConfig,
    handler: &Handler<M>,
    peer: &mut Option<Name>,
) -> PeerError {
    match receive_all(stream, cfg, handler, peer).await {
        Ok(()) => PeerError::Closed { step: "receive" },
        Err(error) => error,
    }
}

async fn receive_all<M: DeserializeOwned>(
    stream: TcpStream,
    cfg: &PeerConfig,
    handler: &Handler<M>,
    peer: &mut Option<Name>,
) -> Result<(), PeerError> {
    // A failure to turn off Nagle's algorithm only costs latency.
    let _ = stream.set_nodelay(true);
    let mut socket = timeout(UPGRADE_TIMEOUT, tokio_tungstenite::accept_async(stream))
        .await
        .map_err(|_| PeerError::Timeout { step: "upgrade" })?
        .context(SocketSnafu { step: "upgrade" })?;
    let name = handshake::accept(cfg, &mut socket).await?;
    *peer = Some(name.clone());
    while let Some(frame) = socket.next().await {
        if let Message::Binary(buf) = frame.context(SocketSnafu { step: "receive" })? {
            let msg = decode(&buf)?;
            handler(PeerEvent::Message {
                from: name.clone(),
                msg,
            });
        }
    }
    Ok(())
}
