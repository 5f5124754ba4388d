use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;

use crate::head::{AnswerHead, EXCHANGE_FIELD, parse_answer};

/// Loopback connections kept open without a request. Opening one takes turns
/// and a round trip, so the number covers usual peaks of requests in progress.
const IDLE_BACKENDS: usize = 256;
/// Time after which an unused connection is closed; each holds a thread of
/// `tiny_http`, which ends soon after it.
const IDLE_TIME: Duration = Duration::from_secs(10);

/// Value of the exchange field in the request that tests a new connection.
pub(crate) const PROBE: &str = "probe";

/// Loopback connections to `tiny_http`, one for each request in progress.
pub(crate) struct Backends {
    addr: SocketAddr,
    /// Unused connections with the time of their last use, oldest first.
    idle: Mutex<Vec<(Instant, TcpStream)>>,
    /// A permit for each idle connection.
    available: Semaphore,
    opening: tokio::sync::Mutex<()>,
}

/// An answer of `tiny_http`.
pub(crate) struct BackendAnswer {
    pub(crate) head: AnswerHead,
    pub(crate) body: Vec<u8>,
}

impl Backends {
    pub(crate) fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            idle: Mutex::new(Vec::new()),
            available: Semaphore::new(0),
            opening: tokio::sync::Mutex::new(()),
        }
    }

    /// Takes an idle connection or opens one, whichever is ready first.
    pub(crate) async fn take(&self) -> io::Result<TcpStream> {
        // `tiny_http` can queue a second new connection behind a thread that
        // has been woken for the first one; it is then served only when some
        // other connection ends. So connections are opened one at a time, each
        // confirmed by an answer.
        let _opening = tokio::select! {
            biased;
            Ok(permit) = self.available.acquire() => {
                permit.forget();
                let idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
                return idle
                    .map(|(_, stream)| stream)
                    .ok_or_else(|| io::ErrorKind::NotConnected.into());
            }
            opening = self.opening.lock() => opening,
        };
        let mut stream = TcpStream::connect(self.addr).await?;
        stream.set_nodelay(true)?;
        let probe = format!("GET / HTTP/1.1\r\n{EXCHANGE_FIELD}: {PROBE}\r\n\r\n");
        stream.write_all(probe.as_bytes()).await?;
        read_answer(&mut stream, false).await?;
        Ok(stream)
    }

    /// Puts a connection back after a whole answer, and closes one that is not
    /// needed.
    pub(crate) fn put(&self, stream: TcpStream) {
        let now = Instant::now();
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.push((now, stream));
        self.available.add_permits(1);
        let is_surplus = idle.len() > IDLE_BACKENDS || now - idle[0].0 > IDLE_TIME;
        // Without a free permit the connection belongs to a waiting request.
        if is_surplus && let Ok(permit) = self.available.try_acquire() {
            permit.forget();
            idle.remove(0);
        }
    }
}

/// Reads one answer. It is read whole before it is sent on, so that the writer
/// thread never waits for a slow caller.
pub(crate) async fn read_answer(
    stream: &mut TcpStream,
    is_head: bool,
) -> io::Result<BackendAnswer> {
    let mut buf = Vec::with_capacity(1024);
    let head = loop {
        if stream.read_buf(&mut buf).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        match parse_answer(&buf) {
            Ok(Some(head)) => break head,
            Ok(None) => {}
            Err(error) => return Err(io::Error::new(io::ErrorKind::InvalidData, error)),
        }
    };
    let mut body = buf.split_off(head.len);
    if !is_head && head.status != 204 {
        let missing = head.content_length.saturating_sub(body.len());
        body.reserve(missing);
        while body.len() < head.content_length {
            if stream.read_buf(&mut body).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }
    Ok(BackendAnswer { head, body })
}
