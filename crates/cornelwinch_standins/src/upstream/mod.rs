//! Stand-in for an upstream.

mod config;
mod fault;
mod state;

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, Weak};
use std::time::{Duration, Instant};

use cornelwinch_http::{HttpError, HttpLimits, HttpRequest, HttpServer};
use cornelwinch_types::Name;

pub use config::{ColdStart, HeldSnapshot, ServiceTime, UpstreamConfig};
pub use fault::{HealthReport, UpstreamCounters, UpstreamFault};

use crate::runtime::{Runtime, lock};
use state::{Effect, LegBody, UpstreamState};

/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(60);
/// Attempts to bind the port again after a restart; a client's connection can
/// use it for a moment as its own port.
const BIND_ATTEMPTS: u32 = 200;
const BIND_PAUSE: Duration = Duration::from_millis(10);

/// A running upstream; it ends when the last clone of the handle is dropped.
#[derive(Clone)]
pub struct Upstream {
    inner: Arc<Inner>,
}

struct Inner {
    name: Name,
    address: SocketAddr,
    connections: usize,
    runtime: Arc<Runtime>,
    /// Dropped before the state, so that callers of lost legs see a closed
    /// connection.
    server: Mutex<Option<HttpServer>>,
    state: Mutex<UpstreamState>,
    /// Events held while frozen; `None` while running.
    held: Mutex<Option<Vec<Event>>>,
    /// Serial numbers of legs that wait for a release; `None` without a hold.
    unfinished: Mutex<Option<Vec<u64>>>,
}

/// Something that an upstream works on.
enum Event {
    /// The first request of a connection, after the connection delay.
    Connected(HttpRequest),
    Request(HttpRequest),
    Finish(u64),
    Release(u64),
    Send(state::LegReply),
}

/// Starts an upstream.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn spawn(cfg: UpstreamConfig) -> Result<Upstream, HttpError> {
    let runtime = Runtime::shared()?;
    let mut inner = Inner {
        name: cfg.name.clone(),
        address: cfg.address,
        connections: cfg.connections,
        runtime,
        state: Mutex::new(UpstreamState::new(cfg)),
        server: Mutex::new(None),
        held: Mutex::new(None),
        unfinished: Mutex::new(None),
    };
    // The handler needs the finished handle, and the handle needs the port.
    let link = Arc::new(Mutex::new(Weak::new()));
    let server = inner.bind(&link)?;
    inner.address = server.local_addr();
    *lock(&inner.server) = Some(server);
    let inner = Arc::new(inner);
    *lock(&link) = Arc::downgrade(&inner);
    Ok(Upstream { inner })
}

impl Upstream {
    /// Name of the upstream.
    pub fn name(&self) -> &Name {
        &self.inner.name
    }

    /// Address that the upstream listens on.
    pub fn address(&self) -> SocketAddr {
        self.inner.address
    }

    /// What has been recorded since the start.
    pub fn counters(&self) -> UpstreamCounters {
        lock(&self.inner.state).counters()
    }

    /// Number of times that a non-idempotent body started.
    pub fn runs(&self, body: &str) -> u32 {
        let counters = lock(&self.inner.state).counters();
        let found = counters
            .runs
            .binary_search_by(|run| run.0.as_str().cmp(body));
        found.map_or(0, |i| counters.runs[i].1)
    }

    /// Number of legs that arrived during a freeze and wait for its end.
    pub fn held_legs(&self) -> usize {
        let held = lock(&self.inner.held);
        let requests = held.iter().flatten();
        requests
            .filter(|event| match event {
                Event::Connected(req) | Event::Request(req) => req.method == "POST",
                _ => false,
            })
            .count()
    }

    /// Changes the upstream's behaviour. Restarts return when the port is
    /// bound again.
    ///
    /// # Panics
    ///
    /// Panics when the port cannot be bound again.
    pub fn apply(&self, fault: UpstreamFault) {
        match fault {
            UpstreamFault::Restart => self.inner.restart(true),
            UpstreamFault::Stop => self.inner.restart(false),
            UpstreamFault::Start => self.inner.listen(),
            UpstreamFault::Freeze => {
                lock(&self.inner.held).get_or_insert_default();
            }
            UpstreamFault::Resume => {
                let held = lock(&self.inner.held).take().unwrap_or_default();
                for event in held {
                    self.inner.handle(event);
                }
            }
            UpstreamFault::Hold => {
                lock(&self.inner.unfinished).get_or_insert_default();
            }
            UpstreamFault::Release => {
                let legs = lock(&self.inner.unfinished).take().unwrap_or_default();
                for serial in legs {
                    self.inner.handle(Event::Finish(serial));
                }
            }
            fault => lock(&self.inner.state).apply(fault),
        }
    }
}

impl fmt::Debug for Upstream {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Upstream")
            .field("name", &self.inner.name)
            .field("address", &self.inner.address)
            .finish_non_exhaustive()
    }
}

impl Inner {
    fn bind(&self, link: &Arc<Mutex<Weak<Self>>>) -> Result<HttpServer, HttpError> {
        let limits = HttpLimits {
            connections: self.connections,
            idle: IDLE,
            ..HttpLimits::default()
        };
        let link = link.clone();
        self.runtime.http.bind(self.address, limits, move |req| {
            let inner = lock(&link).upgrade();
            if let Some(inner) = inner {
                inner.on_request(req);
            }
        })
    }

    /// Binds the port again unless it is bound.
    fn listen(self: &Arc<Self>) {
        let mut server = lock(&self.server);
        if server.is_some() {
            return;
        }
        let link = Arc::new(Mutex::new(Arc::downgrade(self)));
        for attempt in 1.. {
            match self.bind(&link) {
                Ok(bound) => {
                    *server = Some(bound);
                    return;
                }
                Err(error) => assert!(
                    attempt < BIND_ATTEMPTS,
                    "upstream {} cannot listen again: {error}",
                    self.name
                ),
            }
            std::thread::sleep(BIND_PAUSE);
        }
    }

    fn restart(self: &Arc<Self>, listen: bool) {
        // Connections go first: a leg dropped before its connection would
        // answer 500.
        let server = lock(&self.server).take();
        drop(server);
        let lost = lock(&self.state).restart();
        drop(lost);
        if let Some(held) = lock(&self.held).as_mut() {
            held.clear();
        }
        if listen {
            self.listen();
        }
    }

    fn on_request(self: &Arc<Self>, req: HttpRequest) {
        let delay = lock(&self.state).cfg.connection_delay;
        if req.first {
            lock(&self.state).counters.connections += 1;
        }
        if req.first && !delay.is_zero() {
            self.handle_at(Instant::now() + delay, Event::Connected(req));
        } else {
            self.handle(Event::Request(req));
        }
    }

    fn handle_at(self: &Arc<Self>, due: Instant, event: Event) {
        let inner = Arc::downgrade(self);
        self.runtime.at(due, move || {
            if let Some(inner) = inner.upgrade() {
                inner.handle(event);
            }
        });
    }

    fn handle(self: &Arc<Self>, event: Event) {
        if let Some(held) = lock(&self.held).as_mut() {
            held.push(event);
            return;
        }
        let mut out = Vec::new();
        match event {
            // The caller gave up while it was connecting.
            Event::Connected(req) if req.responder.is_caller_gone() => {}
            Event::Connected(req) | Event::Request(req) => self.serve(req, &mut out),
            Event::Finish(serial) if self.holds(serial) => {}
            Event::Finish(serial) => lock(&self.state).finish(serial, &mut out),
            Event::Release(serial) => lock(&self.state).release_crossed(serial, &mut out),
            Event::Send(reply) => reply.send(),
        }
        for effect in out {
            match effect {
                Effect::Reply(reply) => reply.send(),
                Effect::ReplyAt(due, reply) => self.handle_at(due, Event::Send(reply)),
                Effect::FinishAt(due, serial) => self.handle_at(due, Event::Finish(serial)),
                Effect::ReleaseAt(due, serial) => self.handle_at(due, Event::Release(serial)),
                Effect::Restart => self.restart(true),
            }
        }
    }

    /// Keeps the end of a leg for a release; false without a hold.
    fn holds(&self, serial: u64) -> bool {
        let mut unfinished = lock(&self.unfinished);
        unfinished.as_mut().map(|legs| legs.push(serial)).is_some()
    }

    fn serve(&self, req: HttpRequest, out: &mut Vec<Effect>) {
        let mut state = lock(&self.state);
        let cancelled = req.path().strip_prefix("/v1/leg/").map(str::parse);
        match (req.method.as_str(), req.path(), cancelled) {
            ("POST", "/v1/leg", _) => match serde_json::from_str::<LegBody>(&req.body) {
                Ok(leg) => state.arrive(Instant::now(), leg, req.responder, out),
                Err(error) => {
                    let body = state.error(0, &format!("malformed: {error}"));
                    req.responder.json(400, body.to_string());
                }
            },
            ("DELETE", _, Some(Ok(attempt))) => {
                state.cancel(attempt, out);
                req.responder.empty(204);
            }
            ("GET", "/v1/health", _) => req.responder.json(200, state.health().to_string()),
            _ => req
                .responder
                .json(404, state.error(0, "no such call").to_string()),
        }
    }
}
