use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use crossbeam_channel::Sender;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use crate::backend::{BackendAnswer, Backends, read_answer};
use crate::exchange::{Exchange, ExchangeTable};
use crate::head::{
    BODY_TOO_LARGE, EXCHANGE_FIELD, HEAD_BYTES, HEAD_TOO_LARGE, Refusal, RequestHead,
    parse_request, refusal_text,
};
use crate::pool::ListenerState;

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

pub(crate) enum RelayCommand {
    Listen(Listening),
}

/// A bound listener on its way to the relay.
pub(crate) struct Listening {
    pub(crate) listener: std::net::TcpListener,
    pub(crate) state: Arc<ListenerState>,
    /// Closed when the server is dropped.
    pub(crate) stop: oneshot::Receiver<()>,
    /// Dropped when the sockets are closed.
    pub(crate) closing: Sender<()>,
}

/// What all connections of a pool share.
struct RelayState {
    table: Arc<ExchangeTable>,
    backends: Arc<Backends>,
    next_connection: AtomicU64,
}

pub(crate) fn run_relay(
    mut commands: mpsc::UnboundedReceiver<RelayCommand>,
    table: Arc<ExchangeTable>,
    backends: Arc<Backends>,
) {
    let runtime = match tokio::runtime::Builder::new_current_thread()
        .enable_io()
        .enable_time()
        .build()
    {
        Ok(runtime) => runtime,
        Err(error) => {
            log::error!("event=relay_not_started error={error}");
            return;
        }
    };
    let relay = Arc::new(RelayState {
        table,
        backends,
        next_connection: AtomicU64::new(0),
    });
    runtime.block_on(async move {
        let mut listeners = JoinSet::new();
        loop {
            tokio::select! {
                command = commands.recv() => match command {
                    Some(RelayCommand::Listen(listening)) => {
                        listeners.spawn(listen(listening, relay.clone()));
                    }
                    None => break,
                },
                Some(_) = listeners.join_next() => {}
            }
        }
    });
}

/// Accepts callers until the server is dropped, then closes their sockets.
async fn listen(listening: Listening, relay: Arc<RelayState>) {
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
                    let relay = relay.clone();
                    callers.spawn(async move {
                        let caller = Caller {
                            stream,
                            peer,
                            connection: relay.next_connection.fetch_add(1, Ordering::Relaxed),
                            buf: Vec::new(),
                            state: open.owner.clone(),
                            relay,
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
    // Before the server goes on: the handler may own other servers, and the
    // relay must not be the one to drop them, since a drop waits for the relay.
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
    relay: Arc<RelayState>,
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
            let request = self.read_body(&head).await?;
            let Some(answer) = self.exchange(&head, request, first).await? else {
                return Ok(());
            };
            first = false;
            let keep_alive = head.keep_alive && self.state.keep_alive.load(Ordering::Acquire);
            self.write_answer(&head, answer, keep_alive).await?;
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

    /// Passes the request to `tiny_http` and waits for its answer, or for the
    /// caller to disconnect (`None`).
    async fn exchange(
        &mut self,
        head: &RequestHead,
        body: Vec<u8>,
        first: bool,
    ) -> io::Result<Option<BackendAnswer>> {
        let exchange = Arc::new(Exchange::new(
            self.peer,
            self.state.local,
            self.connection,
            first,
            self.state.handler.clone(),
        ));
        let mut backend = self.relay.backends.take().await?;
        let id = self.relay.table.insert(exchange.clone());
        // Covers every way out, also when the server is dropped.
        let pending = PendingGuard {
            exchange: &exchange,
            table: &self.relay.table,
            id,
        };
        let mut request = format!(
            "{}{EXCHANGE_FIELD}: {id}\r\ncontent-length: {}\r\n\r\n",
            head.forward,
            body.len()
        )
        .into_bytes();
        request.extend_from_slice(&body);
        backend.write_all(&request).await?;
        let answer = {
            let mut answer = std::pin::pin!(read_answer(&mut backend, head.is_head));
            loop {
                // No more is read ahead than a head, or a caller could fill
                // the memory while it waits.
                let may_read = self.buf.len() < AHEAD_BYTES;
                tokio::select! {
                    answer = &mut answer => break answer?,
                    read = self.stream.read_buf(&mut self.buf), if may_read => {
                        if read? == 0 {
                            return Ok(None);
                        }
                    }
                }
            }
        };
        exchange.mark_answered();
        drop(pending);
        self.relay.backends.put(backend);
        if exchange.reset_asked() {
            // Lingering for no time makes the close a reset.
            self.stream.set_zero_linger()?;
            return Ok(None);
        }
        Ok(Some(answer))
    }

    async fn write_answer(
        &mut self,
        head: &RequestHead,
        answer: BackendAnswer,
        keep_alive: bool,
    ) -> io::Result<()> {
        let connection = match (keep_alive, head.http_10) {
            (false, _) => "Connection: close\r\n",
            (true, true) => "Connection: keep-alive\r\n",
            (true, false) => "",
        };
        let mut buf = format!("{}{connection}\r\n", answer.head.forward).into_bytes();
        buf.extend_from_slice(&answer.body);
        let mut rest = buf.as_slice();
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

/// Marks the caller as gone unless it was answered, and withdraws a request
/// that no worker has taken yet.
struct PendingGuard<'a> {
    exchange: &'a Exchange,
    table: &'a ExchangeTable,
    id: u64,
}

impl Drop for PendingGuard<'_> {
    fn drop(&mut self) {
        self.table.remove(self.id);
        self.exchange.mark_gone();
    }
}

/// Answers with the relay's own text and closes.
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
