use std::fmt;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{self, ThreadId};
use std::time::Duration;

use crossbeam_channel::Receiver;
use snafu::ResultExt;
use tokio::sync::{mpsc, oneshot};

use crate::HttpRequest;
use crate::connection::{Command, Listening, run_listeners};
use crate::error::{BindSnafu, HttpError, ThreadSnafu};

pub(crate) type Handler = dyn Fn(HttpRequest) + Send + Sync;

/// Time that a dropped server waits for its sockets to be closed.
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
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connections: 1024,
            body_bytes: 1024 * 1024,
            idle: Duration::from_secs(30),
        }
    }
}

/// State of one listener, shared with its connections.
pub(crate) struct ListenerState {
    pub(crate) limits: HttpLimits,
    pub(crate) local: SocketAddr,
    pub(crate) handler: Arc<Handler>,
    pub(crate) keep_alive: AtomicBool,
    /// The server was dropped; nothing more is answered.
    pub(crate) closed: AtomicBool,
    pub(crate) connections: AtomicUsize,
    pub(crate) requests: AtomicUsize,
}

/// One thread that serves several listeners: it owns the sockets and runs the
/// handlers.
pub struct HttpThread {
    commands: mpsc::UnboundedSender<Command>,
    id: ThreadId,
}

impl HttpThread {
    /// Starts the thread.
    ///
    /// # Errors
    ///
    /// Fails when the thread or its event loop cannot be started.
    pub fn open() -> Result<Arc<Self>, HttpError> {
        const NAME: &str = "http";
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .context(ThreadSnafu { name: NAME })?;
        let (commands, rx) = mpsc::unbounded_channel();
        let handle = thread::Builder::new()
            .name(NAME.to_owned())
            .spawn(move || runtime.block_on(run_listeners(rx)))
            .context(ThreadSnafu { name: NAME })?;
        Ok(Arc::new(Self {
            commands,
            id: handle.thread().id(),
        }))
    }

    /// Binds a listener whose requests go to `handler`.
    ///
    /// The handler runs in this thread and must not block.
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
            closed: AtomicBool::new(false),
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
            .send(Command::Listen(listening))
            .map_err(|_| HttpError::Closed)?;
        Ok(HttpServer {
            state,
            stop: Some(stop),
            closed,
            thread: self.clone(),
        })
    }
}

impl fmt::Debug for HttpThread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HttpThread")
            .field("id", &self.id)
            .finish_non_exhaustive()
    }
}

/// A running listener; it closes on drop, with its connections.
pub struct HttpServer {
    state: Arc<ListenerState>,
    stop: Option<oneshot::Sender<()>>,
    closed: Receiver<()>,
    thread: Arc<HttpThread>,
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
        self.state.closed.store(true, Ordering::Release);
        drop(self.stop.take());
        // The port is free once the thread has dropped its end of the channel. The
        // thread would wait for itself, in a handler that drops a server.
        if thread::current().id() != self.thread.id {
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

/// Binds a listener with a thread of its own.
///
/// The handler runs in that thread and must not block; it may send the request's
/// [`Responder`](crate::Responder) to another thread.
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
    HttpThread::open()?.bind(addr, limits, handler)
}
