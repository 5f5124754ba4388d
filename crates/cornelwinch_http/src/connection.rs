use std::io;
use std::net::SocketAddr;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam_channel::Sender;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::HttpRequest;
use crate::exchange::Exchange;
use crate::head::{
    BODY_NOT_TEXT, BODY_TOO_LARGE, HEAD_BYTES, HEAD_TOO_LARGE, Refusal, RequestHead, parse_request,
    refusal_text,
};
use crate::responder::{Answer, Reply, Responder};
use crate::thread::ListenerState;

/// A body has to be complete within this multiple of the idle time, so that a
/// caller cannot hold a connection by sending single bytes.
const BODY_TIME_FACTOR: u32 = 8;
/// Largest time spent on reading what a refused caller still sends. Closing
/// with unread bytes resets the connection, which can destroy the refusal.
const LINGER: Duration = Duration::from_secs(1);
/// Most bytes read from a refused caller.
const LINGER_BYTES: usize = 256 * 1024;
/// Callers over the connection limit that are told so at once; more are closed
/// without an answer.
const LINGERING_CALLERS: usize = 64;
/// Pause after an accept error, such as too many open files.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Largest buffer for bytes that a caller sends ahead of its answer.
const AHEAD_BYTES: usize = HEAD_BYTES;

const TOO_MANY_CONNECTIONS: Refusal = Refusal {
    status: 503,
    error: "too many connections",
};

pub(crate) enum Command {
    Listen(Listening),
}

/// A bound listener on its way to the thread.
pub(crate) struct Listening {
    pub(crate) listener: std::net::TcpListener,
    pub(crate) state: Arc<ListenerState>,
    /// Closed when the server is dropped.
    pub(crate) stop: oneshot::Receiver<()>,
    /// Dropped when the sockets are closed.
    pub(crate) closing: Sender<()>,
}

/// Serves listeners until the last handle of the thread is dropped.
pub(crate) async fn run_listeners(mut commands: mpsc::UnboundedReceiver<Command>) {
    let next_connection = Arc::new(AtomicU64::new(0));
    let mut listeners = JoinSet::new();
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                Some(Command::Listen(listening)) => {
                    listeners.spawn(listen(listening, next_connection.clone()));
                }
                None => break,
            },
            Some(_) = listeners.join_next() => {}
        }
    }
}

/// Accepts callers until the server is dropped, then closes their sockets.
async fn listen(listening: Listening, next_connection: Arc<AtomicU64>) {
    let Listening {
        listener,
        state,
        mut stop,
        closing,
    } = listening;
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log::error!("event=listener_lost local={} error={error}", state.local);
            return;
        }
    };
    let lingering = Arc::new(AtomicUsize::new(0));
    let mut callers = JoinSet::new();
    loop {
        tokio::select! {
            _ = &mut stop => break,
            Some(_) = callers.join_next() => {}
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let open = CountGuard::enter(&state, |state| &state.connections);
                    if open.count > state.limits.connections {
                        drop(open);
                        let lingers = CountGuard::enter(&lingering, |lingering| lingering);
                        if lingers.count <= LINGERING_CALLERS {
                            callers.spawn(async move {
                                refuse(stream, TOO_MANY_CONNECTIONS).await;
                                drop(lingers);
                            });
                        }
                        continue;
                    }
                    let connection = next_connection.fetch_add(1, Ordering::Relaxed);
                    callers.spawn(async move {
                        let caller = Caller {
                            stream,
                            peer,
                            connection,
                            buf: Vec::new(),
                            state: open.owner.clone(),
                        };
                        if let Err(error) = caller.serve().await {
                            log::debug!("event=caller_cut peer={peer} error={error}");
                        }
                        drop(open);
                    });
                }
                Err(error) => {
                    log::warn!("event=accept_failed local={} error={error}", state.local);
                    sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
    callers.shutdown().await;
    drop(listener);
    // Before the server goes on: the handler may own other servers, and this thread
    // must not be the one to drop them, since a drop waits for this thread.
    drop(state);
    drop(closing);
}

/// Counts something for as long as the guard lives.
struct CountGuard<T> {
    owner: Arc<T>,
    counter: fn(&T) -> &AtomicUsize,
    /// Count including this guard.
    count: usize,
}

impl<T> CountGuard<T> {
    fn enter(owner: &Arc<T>, counter: fn(&T) -> &AtomicUsize) -> Self {
        let count = counter(owner).fetch_add(1, Ordering::AcqRel) + 1;
        Self {
            owner: owner.clone(),
            counter,
            count,
        }
    }
}

impl<T> Drop for CountGuard<T> {
    fn drop(&mut self) {
        (self.counter)(&self.owner).fetch_sub(1, Ordering::AcqRel);
    }
}

/// One caller's connection.
struct Caller {
    stream: TcpStream,
    peer: SocketAddr,
    connection: u64,
    /// Bytes read and not yet used.
    buf: Vec<u8>,
    state: Arc<ListenerState>,
}

impl Caller {
    async fn serve(mut self) -> io::Result<()> {
        self.stream.set_nodelay(true)?;
        let mut first = true;
        while self.wait_request().await? {
            let _request = CountGuard::enter(&self.state, |state| &state.requests);
            let head = match self.read_head().await? {
                Ok(head) => head,
                Err(refusal) => {
                    refuse(self.stream, refusal).await;
                    return Ok(());
                }
            };
            if head.content_length > self.state.limits.body_bytes {
                refuse(self.stream, BODY_TOO_LARGE).await;
                return Ok(());
            }
            let body = self.read_body(&head).await?;
            let Ok(body) = String::from_utf8(body) else {
                refuse(self.stream, BODY_NOT_TEXT).await;
                return Ok(());
            };
            let (is_head, http_10) = (head.method == "HEAD", head.http_10);
            let stays = head.keep_alive;
            let Some(answer) = self.exchange(head, body, first).await? else {
                return Ok(());
            };
            first = false;
            let keep_alive = stays && self.state.keep_alive.load(Ordering::Acquire);
            let connection = match (keep_alive, http_10) {
                (false, _) => "Connection: close\r\n",
                (true, true) => "Connection: keep-alive\r\n",
                (true, false) => "",
            };
            self.write(&answer.into_bytes(connection, is_head)).await?;
            if !keep_alive {
                self.stream.shutdown().await?;
                linger(&mut self.stream).await;
                return Ok(());
            }
        }
        Ok(())
    }

    /// Waits for the first byte of a request; false when the caller has closed
    /// or was silent for the idle time.
    async fn wait_request(&mut self) -> io::Result<bool> {
        if !self.buf.is_empty() {
            return Ok(true);
        }
        match timeout(self.state.limits.idle, self.stream.read_buf(&mut self.buf)).await {
            Ok(read) => Ok(read? > 0),
            Err(_) => Ok(false),
        }
    }

    /// Reads a request head, or says why the request is refused.
    async fn read_head(&mut self) -> io::Result<Result<RequestHead, Refusal>> {
        let idle = self.state.limits.idle;
        let deadline = Instant::now() + idle;
        loop {
            match parse_request(&self.buf) {
                Ok(Some(head)) => return Ok(Ok(head)),
                Ok(None) if self.buf.len() >= HEAD_BYTES => return Ok(Err(HEAD_TOO_LARGE)),
                Ok(None) => {}
                Err(refusal) => return Ok(Err(refusal)),
            }
            let read = timeout_at(deadline, self.stream.read_buf(&mut self.buf)).await??;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads the body and returns it; the bytes after it stay in the buffer.
    async fn read_body(&mut self, head: &RequestHead) -> io::Result<Vec<u8>> {
        let idle = self.state.limits.idle;
        let rest = self.buf.split_off(head.len);
        self.buf = rest;
        if self.buf.len() < head.content_length && head.expects_continue && !head.http_10 {
            let text = b"HTTP/1.1 100 Continue\r\n\r\n";
            timeout(idle, self.stream.write_all(text)).await??;
        }
        let deadline = Instant::now() + idle * BODY_TIME_FACTOR;
        while self.buf.len() < head.content_length {
            let until = deadline.min(Instant::now() + idle);
            let read = timeout_at(until, self.stream.read_buf(&mut self.buf)).await??;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        let rest = self.buf.split_off(head.content_length);
        Ok(std::mem::replace(&mut self.buf, rest))
    }

    /// Passes the request to the handler and waits for its answer, or for the
    /// caller to disconnect (`None`).
    async fn exchange(
        &mut self,
        head: RequestHead,
        body: String,
        first: bool,
    ) -> io::Result<Option<Answer>> {
        let exchange = Arc::new(Exchange::new(self.peer));
        // Covers every way out, also when the server is dropped.
        let _pending = PendingGuard(&exchange);
        let (responder, reply) = Responder::new(exchange.clone());
        let request = HttpRequest {
            method: head.method,
            target: head.target,
            headers: head.headers,
            body,
            peer: self.peer,
            local: self.state.local,
            connection: self.connection,
            first,
            responder,
        };
        let handler = &self.state.handler;
        // A panic drops the responder, which answers 500, and must not end the
        // thread.
        if catch_unwind(AssertUnwindSafe(|| handler(request))).is_err() {
            log::error!("event=handler_panicked peer={}", self.peer);
        }
        let mut reply = std::pin::pin!(reply);
        let reply = loop {
            // No more is read ahead than a head, or a caller could fill the memory
            // while it waits.
            let may_read = self.buf.len() < AHEAD_BYTES;
            tokio::select! {
                biased;
                reply = &mut reply => break reply,
                read = self.stream.read_buf(&mut self.buf), if may_read => {
                    if read? == 0 {
                        return Ok(None);
                    }
                }
            }
        };
        exchange.mark_answered();
        if self.state.closed.load(Ordering::Acquire) {
            // A handler of this thread has dropped the server.
            return Ok(None);
        }
        match reply {
            Ok(Reply::Answer(answer)) => Ok(Some(answer)),
            Ok(Reply::Reset) => {
                // Lingering for no time makes the close a reset.
                self.stream.set_zero_linger()?;
                Ok(None)
            }
            // A responder sends a reply when it is dropped.
            Err(error) => Err(io::Error::other(error)),
        }
    }

    async fn write(&mut self, buf: &[u8]) -> io::Result<()> {
        let mut rest = buf;
        while !rest.is_empty() {
            let written = timeout(self.state.limits.idle, self.stream.write(rest)).await??;
            if written == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            rest = &rest[written..];
        }
        Ok(())
    }
}

/// Marks the caller as gone unless it was answered.
struct PendingGuard<'a>(&'a Exchange);

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.0.mark_gone();
    }
}

/// Answers without a handler and closes.
async fn refuse(mut stream: TcpStream, refusal: Refusal) {
    let text = refusal_text(refusal);
    if let Ok(Ok(())) = timeout(LINGER, stream.write_all(text.as_bytes())).await
        && stream.shutdown().await.is_ok()
    {
        linger(&mut stream).await;
    }
}

/// Reads until the caller closes, within bounds.
async fn linger(stream: &mut TcpStream) {
    let deadline = Instant::now() + LINGER;
    let mut buf = vec![0; 4096];
    let mut left = LINGER_BYTES;
    while left > 0 {
        match timeout_at(deadline, stream.read(&mut buf)).await {
            Ok(Ok(read)) if read > 0 => left = left.saturating_sub(read),
            _ => break,
        }
    }
}
