use std::cell::{Cell, RefCell};
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_http::{HttpConnection, connect};
use cornelwinch_types::{
    AttemptId, LegFailure, LegRequest, LegResult, Name, Refusal, UpstreamObservation,
};
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{self, HeaderValue};
use hyper::{Method, Request};
use snafu::ResultExt;
use tokio::sync::{Mutex, Semaphore, mpsc};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

use crate::DaemonError;
use crate::error::ThreadSnafu;
use crate::leg_body::{encode_leg, read_leaving, read_result};

/// Longest time for a new connection; the brief names 6 ms for a slow one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that an upstream may answer after the deadline, so that a refusal or
/// an answer on the edge still arrives.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// Longest time for a cancellation or a health probe.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer of one leg that is read.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Bytes of a connection that are read for one answer, head and framing included.
const ANSWER_READ_BYTES: usize = ANSWER_LIMIT_BYTES + (4 << 20);

/// Legs per slot that may be open at once, sent or waiting. The owner's limiter
/// keeps those in flight within the slots, so hardly any waits.
const OPEN_PER_SLOT: usize = 3;

/// What an upstream's client reports.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// An attempt has ended.
    Finished {
        /// Name of the upstream.
        upstream: Name,
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        result: LegResult,
        /// What the exchange showed about the upstream.
        signs: UpstreamObservation,
    },
    /// A health probe was answered.
    Health {
        /// Name of the upstream.
        upstream: Name,
        /// The upstream says that it is leaving.
        leaving: bool,
    },
}

type Handler = Arc<dyn Fn(UpstreamEvent) + Send + Sync>;

/// What a client asks of the thread.
enum Work {
    Open(Arc<Target>),
    Send { client: u64, leg: LegRequest },
    Cancel { client: u64, attempt: AttemptId },
    Health { client: u64 },
    Close { client: u64 },
}

/// What a client and the thread share of one upstream.
struct Target {
    client: u64,
    name: Name,
    addr: SocketAddr,
    slots: usize,
    /// Legs that have not ended.
    open: AtomicUsize,
    handler: Handler,
}

/// One thread that carries legs to all upstreams.
#[derive(Clone)]
pub struct LegThread {
    work: mpsc::UnboundedSender<(Instant, Work)>,
    clients: Arc<AtomicUsize>,
}

impl fmt::Debug for LegThread {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LegThread").finish_non_exhaustive()
    }
}

impl LegThread {
    /// Starts the thread; it ends with its last handle and client.
    ///
    /// # Errors
    ///
    /// Fails if the thread or its event loop cannot be started.
    pub fn open() -> Result<Self, DaemonError> {
        const NAME: &str = "legs";
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_io()
            .enable_time()
            .build()
            .context(ThreadSnafu { name: NAME })?;
        let (work, rx) = mpsc::unbounded_channel();
        thread::Builder::new()
            .name(NAME.into())
            .spawn(move || LocalSet::new().block_on(&runtime, serve(rx)))
            .context(ThreadSnafu { name: NAME })?;
        Ok(Self {
            work,
            clients: Arc::default(),
        })
    }

    fn ask(&self, work: Work) {
        if self.work.send((Instant::now(), work)).is_err() {
            log::error!("event=leg_thread_gone");
        }
    }
}

/// Client of one upstream, with at most one connection for each of its slots and
/// one for cancellations and probes.
pub struct UpstreamClient {
    thread: LegThread,
    target: Arc<Target>,
}

impl fmt::Debug for UpstreamClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamClient")
            .field("name", &self.target.name)
            .field("addr", &self.target.addr)
            .finish_non_exhaustive()
    }
}

impl UpstreamClient {
    /// Opens a client; connections are made when the first legs are sent.
    pub fn open(
        thread: &LegThread,
        name: Name,
        addr: SocketAddr,
        slots: u32,
        connections: u32,
        handler: impl Fn(UpstreamEvent) + Send + Sync + 'static,
    ) -> Self {
        let target = Arc::new(Target {
            client: thread.clients.fetch_add(1, Ordering::Relaxed) as u64,
            name,
            addr,
            slots: slots.min(connections).max(1) as usize,
            open: AtomicUsize::new(0),
            handler: Arc::new(handler),
        });
        thread.ask(Work::Open(target.clone()));
        Self {
            thread: thread.clone(),
            target,
        }
    }

    /// Address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.target.addr
    }

    /// Sends a leg.
    pub fn send(&self, leg: LegRequest) {
        let target = &self.target;
        if target.open.fetch_add(1, Ordering::AcqRel) < target.slots * OPEN_PER_SLOT {
            let client = target.client;
            self.thread.ask(Work::Send { client, leg });
            return;
        }
        target.open.fetch_sub(1, Ordering::AcqRel);
        (target.handler)(UpstreamEvent::Finished {
            upstream: target.name.clone(),
            attempt: leg.attempt,
            result: LegResult::Refused(Refusal::Overloaded),
            signs: UpstreamObservation::default(),
        });
    }

    /// Asks the upstream to stop an attempt.
    pub fn cancel(&self, attempt: AttemptId) {
        let client = self.target.client;
        self.thread.ask(Work::Cancel { client, attempt });
    }

    /// Asks the upstream whether it is still leaving.
    pub fn probe_health(&self) {
        let client = self.target.client;
        self.thread.ask(Work::Health { client });
    }
}

impl Drop for UpstreamClient {
    fn drop(&mut self) {
        let client = self.target.client;
        self.thread.ask(Work::Close { client });
    }
}

/// Connections to one upstream.
struct Upstream {
    target: Arc<Target>,
    host: HeaderValue,
    slots: Semaphore,
    idle: RefCell<Vec<HttpConnection>>,
    /// Cancellations use a connection of their own; otherwise a busy upstream
    /// would receive them after the answers they are meant to stop.
    control: Mutex<Option<HttpConnection>>,
}

async fn serve(mut work: mpsc::UnboundedReceiver<(Instant, Work)>) {
    // Clients have ascending numbers.
    let mut upstreams: Vec<(u64, Rc<Upstream>)> = Vec::new();
    while let Some((asked, work)) = work.recv().await {
        let find = |client: u64| {
            let at = upstreams.binary_search_by_key(&client, |row| row.0).ok()?;
            Some(upstreams[at].1.clone())
        };
        match work {
            Work::Open(target) => {
                upstreams.push((target.client, Rc::new(Upstream::new(target))));
                upstreams.sort_by_key(|row| row.0);
            }
            Work::Send { client, leg } => {
                if let Some(upstream) = find(client) {
                    spawn_local(upstream.carry(leg, asked));
                }
            }
            Work::Cancel { client, attempt } => {
                if let Some(upstream) = find(client) {
                    spawn_local(async move { upstream.cancel(attempt).await });
                }
            }
            Work::Health { client } => {
                if let Some(upstream) = find(client) {
                    spawn_local(async move { upstream.probe_health().await });
                }
            }
            // Legs that are open keep the upstream until they end.
            Work::Close { client } => upstreams.retain(|row| row.0 != client),
        }
    }
}

impl Upstream {
    fn new(target: Arc<Target>) -> Self {
        let addr = target.addr.to_string();
        Self {
            host: HeaderValue::from_str(&addr).expect("addresses are valid"),
            slots: Semaphore::new(target.slots),
            target,
            idle: RefCell::default(),
            control: Mutex::new(None),
        }
    }

    async fn connect(&self) -> std::io::Result<HttpConnection> {
        connect(&self.target.name, self.target.addr, CONNECT_TIMEOUT).await
    }

    async fn carry(self: Rc<Self>, leg: LegRequest, asked: Instant) {
        let deadline = asked + leg.budget;
        let slot = self.slots.acquire().await.expect("it is never closed");
        let start = Instant::now();
        let mut signs = UpstreamObservation::default();
        let result = match deadline.checked_duration_since(start) {
            // A resumed process must not start work that has expired.
            None => LegResult::Refused(Refusal::DeadlinePassed),
            Some(left) => {
                let sent = Cell::new(false);
                let call = self.call(&leg, left, &mut signs, &sent);
                match timeout(left + ANSWER_GRACE, call).await {
                    Ok(result) => result,
                    Err(_) if sent.get() => LegResult::Failed(LegFailure::TimedOut),
                    Err(_) => LegResult::Refused(Refusal::Unreachable),
                }
            }
        };
        drop(slot);
        signs.latency = start.elapsed();
        self.target.open.fetch_sub(1, Ordering::AcqRel);
        (self.target.handler)(UpstreamEvent::Finished {
            upstream: self.target.name.clone(),
            attempt: leg.attempt,
            result,
            signs,
        });
    }

    /// Sends a leg and reads its answer; `sent` tells from when on it may run.
    async fn call(
        &self,
        leg: &LegRequest,
        left: Duration,
        signs: &mut UpstreamObservation,
        sent: &Cell<bool>,
    ) -> LegResult {
        let body = Bytes::from(encode_leg(leg, left));
        let mut request = self.request(Method::POST, "/v1/leg", body);
        loop {
            let idle = self.idle.borrow_mut().pop();
            let is_new = idle.is_none();
            let mut connection = match idle {
                Some(connection) => connection,
                None => match self.connect().await {
                    Ok(connection) => connection,
                    Err(error) => {
                        log::debug!(
                            "event=connect_failed peer={} reason=\"{error}\"",
                            self.target.name
                        );
                        return LegResult::Refused(Refusal::Unreachable);
                    }
                },
            };
            if connection.sender.ready().await.is_err() && !is_new {
                continue;
            }
            sent.set(true);
            connection.read_limit.allow(ANSWER_READ_BYTES);
            let response = match connection.sender.try_send_request(request).await {
                Ok(response) => response,
                Err(mut error) => match error.take_message() {
                    // Nothing was written; an idle connection had ended.
                    Some(unsent) if !is_new => {
                        sent.set(false);
                        request = unsent;
                        continue;
                    }
                    Some(_) => return LegResult::Refused(Refusal::Unreachable),
                    None => return LegResult::Failed(LegFailure::Disconnected),
                },
            };
            let status = response.status().as_u16();
            let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES);
            let Ok(body) = body.collect().await else {
                return LegResult::Failed(LegFailure::Disconnected);
            };
            let result = read_result(leg, status, &body.to_bytes(), signs);
            // Another answer may follow on the connection of a mismatched one.
            if result != LegResult::Failed(LegFailure::Mismatched) {
                self.idle.borrow_mut().push(connection);
            }
            return result;
        }
    }

    async fn cancel(&self, attempt: AttemptId) {
        let path = format!("/v1/leg/{attempt}");
        self.control_call(Method::DELETE, &path).await;
    }

    async fn probe_health(&self) {
        let answer = self.control_call(Method::GET, "/v1/health").await;
        if let Some(leaving) = answer.and_then(|text| read_leaving(&text)) {
            (self.target.handler)(UpstreamEvent::Health {
                upstream: self.target.name.clone(),
                leaving,
            });
        }
    }

    async fn control_call(&self, method: Method, path: &str) -> Option<Bytes> {
        let request = self.request(method, path, Bytes::new());
        let mut kept = self.control.lock().await;
        let idle = kept.take();
        let exchange = async {
            let mut connection = match idle {
                Some(connection) if !connection.sender.is_closed() => connection,
                _ => self.connect().await.map_err(|error| error.to_string())?,
            };
            connection.read_limit.allow(ANSWER_READ_BYTES);
            let sender = &mut connection.sender;
            sender.ready().await.map_err(|error| error.to_string())?;
            let response = sender.send_request(request);
            let response = response.await.map_err(|error| error.to_string())?;
            let body = Limited::new(response.into_body(), ANSWER_LIMIT_BYTES);
            let body = body.collect().await.map_err(|error| error.to_string())?;
            Ok::<_, String>((connection, body.to_bytes()))
        };
        let error = match timeout(CONTROL_TIMEOUT, exchange).await {
            Ok(Ok((connection, body))) => {
                *kept = Some(connection);
                return Some(body);
            }
            Ok(Err(error)) => error,
            Err(_) => "timeout".to_owned(),
        };
        log::debug!(
            "event=control_failed peer={} path={path} reason=\"{error}\"",
            self.target.name
        );
        None
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().expect("paths of upstreams are valid");
        let headers = request.headers_mut();
        headers.insert(header::HOST, self.host.clone());
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        request
    }
}
