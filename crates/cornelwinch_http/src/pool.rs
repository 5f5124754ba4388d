use std::fmt;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, ThreadId};
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender};
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot};

use crate::HttpRequest;
use crate::backend::{Backends, PROBE};
use crate::error::{BindSnafu, HttpError, ThreadSnafu};
use crate::exchange::ExchangeTable;
use crate::head::EXCHANGE_FIELD;
use crate::relay::{Listening, RelayCommand, run_relay};
use crate::responder::{Answer, Responder, WriterJob};

pub(crate) type Handler = dyn Fn(HttpRequest) + Send + Sync;

/// Time that a dropped server waits for the relay to close its sockets.
const CLOSE_WAIT: Duration = Duration::from_secs(2);

/// Bounds of a listener.
#[derive(Debug, Clone)]
pub struct HttpLimits {
    /// Connections at once; a caller above it gets 503 and is closed.
    pub connections: usize,
    /// Largest body; a larger one gets 413.
    pub body_bytes: usize,
    /// Time without traffic after which a caller that owes bytes or does not
    /// read its answer is cut, and largest time for a whole header.
    pub idle: Duration,
    /// Threads that read requests and run the handler; not used by
    /// [`HttpPool::bind`], where the pool has its own number.
    pub workers: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 1024,
            body_bytes: 1024 * 1024,
            idle: Duration::from_secs(30),
            workers: 2,
        }
    }
}

/// State of one listener, shared with its connections.
pub(crate) struct ListenerState {
    pub(crate) limits: HttpLimits,
    pub(crate) local: SocketAddr,
    pub(crate) handler: Arc<Handler>,
    pub(crate) keep_alive: AtomicBool,
    pub(crate) connections: AtomicUsize,
    pub(crate) requests: AtomicUsize,
}

/// Threads that several listeners share: a relay, the workers and a writer.
///
/// `tiny_http` adds a thread for each request in progress.
pub struct HttpPool {
    commands: mpsc::UnboundedSender<RelayCommand>,
    tiny: Arc<tiny_http::Server>,
    closed: Arc<AtomicBool>,
    writer: Sender<WriterJob>,
    workers: usize,
    relay: ThreadId,
}

impl HttpPool {
    /// Starts the threads.
    ///
    /// # Errors
    ///
    /// Fails when the loopback listener or a thread cannot be started.
    pub fn open(workers: usize) -> Result<Arc<Self>, HttpError> {
        let workers = workers.max(1);
        let tiny = tiny_http::Server::from_listener(open_backend()?, None).map_err(|error| {
            HttpError::Backend {
                message: error.to_string(),
            }
        })?;
        let tiny = Arc::new(tiny);
        let Some(backend_addr) = tiny.server_addr().to_ip() else {
            return Err(HttpError::Backend {
                message: "no IP address".to_owned(),
            });
        };
        let table = Arc::new(ExchangeTable::default());
        let closed = Arc::new(AtomicBool::new(false));
        let (writer, jobs) = crossbeam_channel::unbounded();
        let (commands, command_rx) = mpsc::unbounded_channel();
        spawn_thread("http-writer", move || write_answers(&jobs))?;
        for _ in 0..workers {
            let tiny = tiny.clone();
            let table = table.clone();
            let closed = closed.clone();
            let writer = writer.clone();
            spawn_thread("http-worker", move || {
                serve_requests(&tiny, &table, &closed, &writer);
            })?;
        }
        let backends = Arc::new(Backends::new(backend_addr));
        let relay = spawn_thread("http-relay", move || run_relay(command_rx, table, backends))?;
        Ok(Arc::new(Self {
            commands,
            tiny,
            closed,
            writer,
            workers,
            relay,
        }))
    }

    /// Binds a listener whose requests go to `handler`.
    ///
    /// The handler runs in a worker and must not block.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be bound.
    pub fn bind(
        self: &Arc<Self>,
        addr: SocketAddr,
        limits: HttpLimits,
        handler: impl Fn(HttpRequest) + Send + Sync + 'static,
    ) -> Result<HttpServer, HttpError> {
        let listener = TcpListener::bind(addr).context(BindSnafu { addr })?;
        listener.set_nonblocking(true).context(BindSnafu { addr })?;
        let local = listener.local_addr().context(BindSnafu { addr })?;
        let state = Arc::new(ListenerState {
            limits,
            local,
            handler: Arc::new(handler),
            keep_alive: AtomicBool::new(true),
            connections: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        });
        let (stop, stopped) = oneshot::channel();
        let (closing, closed) = crossbeam_channel::bounded(0);
        let listening = Listening {
            listener,
            state: state.clone(),
            stop: stopped,
            closing,
        };
        self.commands
            .send(RelayCommand::Listen(listening))
            .map_err(|_| HttpError::Closed)?;
        Ok(HttpServer {
            state,
            stop: Some(stop),
            closed,
            pool: self.clone(),
        })
    }
}

/// Opens the loopback listener of `tiny_http`. On Linux its connections inherit
/// `TCP_NODELAY`; without it an answer of more than one write waits up to 40 ms
/// for the delayed acknowledgement of the first.
fn open_backend() -> Result<TcpListener, HttpError> {
    let addr = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let listener = TcpListener::bind(addr).context(BindSnafu { addr })?;
    socket2::SockRef::from(&listener)
        .set_tcp_nodelay(true)
        .context(BindSnafu { addr })?;
    Ok(listener)
}

impl Drop for HttpPool {
    fn drop(&mut self) {
        self.closed.store(true, Ordering::Release);
        for _ in 0..self.workers {
            self.tiny.unblock();
        }
        let _ = self.writer.send(WriterJob::Stop);
    }
}

impl fmt::Debug for HttpPool {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpPool")
            .field("workers", &self.workers)
            .finish_non_exhaustive()
    }
}

/// A running listener; it closes on drop, with its connections.
pub struct HttpServer {
    state: Arc<ListenerState>,
    stop: Option<oneshot::Sender<()>>,
    closed: Receiver<()>,
    pool: Arc<HttpPool>,
}

impl HttpServer {
    /// Address that the listener is bound to.
    pub fn local_addr(&self) -> SocketAddr {
        self.state.local
    }

    /// Makes every answer from now on carry `Connection: close`.
    pub fn stop_keep_alive(&self) {
        self.state.keep_alive.store(false, Ordering::Release);
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.state.connections.load(Ordering::Acquire)
    }

    /// Number of requests that are being read, run or answered. A server that
    /// is dropped at 0 interrupts none.
    pub fn requests(&self) -> usize {
        self.state.requests.load(Ordering::Acquire)
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        drop(self.stop.take());
        // The port is free once the relay has dropped its end of the channel.
        // The relay would wait for itself, in a hook that drops a server.
        if thread::current().id() != self.pool.relay {
            let _ = self.closed.recv_timeout(CLOSE_WAIT);
        }
    }
}

impl fmt::Debug for HttpServer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpServer")
            .field("local", &self.state.local)
            .field("connections", &self.connections())
            .finish_non_exhaustive()
    }
}

/// Binds a listener with threads of its own.
///
/// The handler runs in one of `limits.workers` threads and must not block; it
/// may send the request's [`Responder`] to another thread.
///
/// ```
/// use cornelwinch_http::{HttpLimits, bind};
///
/// let addr = "127.0.0.1:0".parse().unwrap();
/// let server = bind(addr, HttpLimits::default(), |req| {
///     req.responder.json(200, r#"{"ready":true}"#);
/// });
/// assert_ne!(server.unwrap().local_addr().port(), 0);
/// ```
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn bind(
    addr: SocketAddr,
    limits: HttpLimits,
    handler: impl Fn(HttpRequest) + Send + Sync + 'static,
) -> Result<HttpServer, HttpError> {
    HttpPool::open(limits.workers)?.bind(addr, limits, handler)
}

fn spawn_thread(name: &str, f: impl FnOnce() + Send + 'static) -> Result<ThreadId, HttpError> {
    let handle = thread::Builder::new()
        .name(name.to_owned())
        .spawn(f)
        .context(ThreadSnafu { name })?;
    Ok(handle.thread().id())
}

fn serve_requests(
    tiny: &tiny_http::Server,
    table: &ExchangeTable,
    closed: &AtomicBool,
    writer: &Sender<WriterJob>,
) {
    while !closed.load(Ordering::Acquire) {
        if let Ok(request) = tiny.recv() {
            serve_request(request, table, writer);
        }
    }
}

fn serve_request(
    mut request: tiny_http::Request,
    table: &ExchangeTable,
    writer: &Sender<WriterJob>,
) {
    let mut id = "";
    let mut headers = Vec::with_capacity(request.headers().len());
    for field in request.headers() {
        let name = field.field.as_str().as_str();
        if name.eq_ignore_ascii_case(EXCHANGE_FIELD) {
            id = field.value.as_str();
        } else {
            headers.push((name.to_ascii_lowercase(), field.value.as_str().to_owned()));
        }
    }
    if id == PROBE {
        let _ = request.respond(tiny_http::Response::empty(204));
        return;
    }
    let Some(exchange) = id.parse().ok().and_then(|id| table.remove(id)) else {
        // Not from the relay: another process found the loopback port.
        let _ = request.respond(tiny_http::Response::empty(403));
        return;
    };
    let mut body = String::new();
    let read = request.as_reader().read_to_string(&mut body);
    let method = request.method().as_str().to_ascii_uppercase();
    let target = request.url().to_owned();
    let responder = Responder {
        request: Some(request),
        exchange: exchange.clone(),
        writer: writer.clone(),
        headers: Vec::new(),
    };
    if read.is_err() {
        responder.json(400, r#"{"outcome":"not_run","error":"body is not UTF-8"}"#);
        return;
    }
    let request = HttpRequest {
        method,
        target,
        headers,
        body,
        peer: exchange.peer,
        local: exchange.local,
        connection: exchange.connection,
        first: exchange.first,
        responder,
    };
    // A panic drops the responder, which answers 500, and must not end the
    // worker.
    if catch_unwind(AssertUnwindSafe(|| (exchange.handler)(request))).is_err() {
        log::error!("event=handler_panicked peer={}", exchange.peer);
    }
}

fn write_answers(jobs: &Receiver<WriterJob>) {
    while let Ok(WriterJob::Answer(answer)) = jobs.recv() {
        let Answer {
            request,
            status,
            content_type,
            body,
            headers,
        } = *answer;
        let mut response = tiny_http::Response::from_data(body)
            .with_status_code(status)
            // The relay frames answers by their length.
            .with_chunked_threshold(usize::MAX);
        let content_type = [("Content-Type".to_owned(), content_type.to_owned())];
        for (name, value) in content_type.iter().chain(&headers) {
            if value.is_empty() {
                continue;
            }
            match tiny_http::Header::from_bytes(name.as_bytes(), value.as_bytes()) {
                Ok(field) => response.add_header(field),
                Err(()) => log::warn!("event=header_dropped name={name:?}"),
            }
        }
        let peer = request.remote_addr().copied();
        if let Err(error) = request.respond(response) {
            log::debug!("event=answer_not_written peer={peer:?} error={error}");
        }
    }
}
