use std::time::Duration;

use cornelwinch_types::{Incarnation, Name};
use futures_util::{SinkExt, StreamExt};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

use crate::error::SocketSnafu;
use crate::{PeerConfig, PeerError, decode, encode};

/// Longest time for each message of the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Bytes read at once. A host at the planned size has hundreds of connections,
/// and the library's buffer of 128 KB for each would be most of its memory.
const READ_BUFFER_BYTES: usize = 8 << 10;

/// Settings of the sockets on both sides.
pub(crate) fn socket_config() -> WebSocketConfig {
    WebSocketConfig::default().read_buffer_size(READ_BUFFER_BYTES)
}

pub(crate) type Socket = WebSocketStream<TcpStream>;

/// First message, from the accepting side.
#[derive(Debug, Serialize, Deserialize)]
struct Challenge {
    nonce: [u8; 16],
}

/// Answer of the connecting side, with its proof.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    host: Name,
    incarnation: Incarnation,
    to: Name,
    nonce: [u8; 16],
    proof: [u8; 32],
}

/// Proof of the accepting side.
#[derive(Debug, Serialize, Deserialize)]
struct Welcome {
    proof: [u8; 32],
}

fn hello_proof(cfg: &PeerConfig, challenge: &Challenge, hello: &Hello) -> blake3::Hash {
    cfg.secret.mac(&[
        b"hello",
        &challenge.nonce,
        &hello.nonce,
        hello.host.as_bytes(),
        &hello.incarnation.0.to_le_bytes(),
        hello.to.as_bytes(),
    ])
}

fn welcome_proof(cfg: &PeerConfig, challenge: &Challenge, hello: &Hello) -> blake3::Hash {
    cfg.secret.mac(&[
        b"welcome",
        &challenge.nonce,
        &hello.nonce,
        hello.to.as_bytes(),
    ])
}

/// Accepts a peer and returns its name.
pub(crate) async fn accept(cfg: &PeerConfig, socket: &mut Socket) -> Result<Name, PeerError> {
    let mut nonce = [0; 16];
    // The nonces must not repeat; they need not be secret.
    fastrand::fill(&mut nonce);
    let challenge = Challenge { nonce };
    write(socket, &challenge).await?;
    let hello: Hello = read(socket).await?;
    if blake3::Hash::from(hello.proof) != hello_proof(cfg, &challenge, &hello) {
        return Err(PeerError::Handshake {
            reason: "peer does not know the deployment secret",
        });
    }
    if hello.to != cfg.host {
        return Err(PeerError::Handshake {
            reason: "peer expected another host at this address",
        });
    }
    let proof = *welcome_proof(cfg, &challenge, &hello).as_bytes();
    write(socket, &Welcome { proof }).await?;
    Ok(hello.host)
}

/// Introduces this host to the peer and checks the peer's proof.
pub(crate) async fn connect(
    cfg: &PeerConfig,
    peer: &Name,
    socket: &mut Socket,
) -> Result<(), PeerError> {
    let challenge: Challenge = read(socket).await?;
    let mut nonce = [0; 16];
    fastrand::fill(&mut nonce);
    let mut hello = Hello {
        host: cfg.host.clone(),
        incarnation: cfg.incarnation,
        to: peer.clone(),
        nonce,
        proof: [0; 32],
    };
    hello.proof = *hello_proof(cfg, &challenge, &hello).as_bytes();
    write(socket, &hello).await?;
    let welcome: Welcome = read(socket).await?;
    if blake3::Hash::from(welcome.proof) != welcome_proof(cfg, &challenge, &hello) {
        return Err(PeerError::Handshake {
            reason: "accepting host does not know the deployment secret",
        });
    }
    Ok(())
}

async fn write<M: Serialize>(socket: &mut Socket, msg: &M) -> Result<(), PeerError> {
    let frame = Message::Binary(encode(msg)?.into());
    timeout(HANDSHAKE_TIMEOUT, socket.send(frame))
        .await
        .map_err(|_| PeerError::Timeout { step: "handshake" })?
        .context(SocketSnafu { step: "handshake" })
}

async fn read<M: DeserializeOwned>(socket: &mut Socket) -> Result<M, PeerError> {
    let frame = timeout(HANDSHAKE_TIMEOUT, socket.next())
        .await
        .map_err(|_| PeerError::Timeout { step: "handshake" })?
        .ok_or(PeerError::Closed { step: "handshake" })?
        .context(SocketSnafu { step: "handshake" })?;
    decode(&frame.into_data())
}
