use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::read_limit::{LimitedStream, ReadLimit};

/// Bound on the heads of answers in bytes.
const ANSWER_HEAD_BYTES: usize = 64 * 1024;

/// Sends requests on one connection, one at a time.
pub type HttpSender = SendRequest<Full<Bytes>>;

/// One connection to a server.
#[derive(Debug)]
pub struct HttpConnection {
    /// Sends requests.
    pub sender: HttpSender,
    /// Bound on what the server may send; there is none until one is set.
    pub read_limit: ReadLimit,
}

/// Opens a connection to a server. A local task drives it until the sender is
/// dropped; `peer` stands in its log lines.
///
/// ```
/// # let server = cornelwinch_http::bind(
/// #     "127.0.0.1:0".parse().unwrap(), Default::default(), |req| req.responder.empty(204),
/// # ).unwrap();
/// # let addr = server.local_addr();
/// # let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
/// # tokio::task::LocalSet::new().block_on(&runtime, async {
/// let wait = std::time::Duration::from_secs(1);
/// let mut connection = cornelwinch_http::connect("a-1", addr, wait).await?;
/// connection.read_limit.allow(64 * 1024);
/// let response = connection.sender.send_request(hyper::Request::default()).await.unwrap();
/// assert_eq!(response.status(), 204);
/// # Ok::<(), std::io::Error>(())
/// # }).unwrap();
/// ```
///
/// # Errors
///
/// Fails if the server refuses the connection or does not accept it within `wait`.
///
/// # Panics
///
/// Panics outside a [`LocalSet`](tokio::task::LocalSet).
pub async fn connect(peer: &str, addr: SocketAddr, wait: Duration) -> io::Result<HttpConnection> {
    let stream = timeout(wait, TcpStream::connect(addr))
        .await
        .map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    let read_limit = ReadLimit::new();
    let stream = LimitedStream {
        stream,
        limit: read_limit.clone(),
    };
    let (sender, driver) = http1::Builder::new()
        .max_buf_size(ANSWER_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let peer = peer.to_owned();
    tokio::task::spawn_local(async move {
        if let Err(error) = driver.await {
            log::debug!("event=connection_ended peer={peer} reason=\"{error}\"");
        }
    });
    Ok(HttpConnection { sender, read_limit })
}
