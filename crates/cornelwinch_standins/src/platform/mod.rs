//! Stand-in for the platform.

mod config;
mod state;
mod store;

use std::fmt;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use cornelwinch_http::{HttpError, HttpLimits, HttpRequest, HttpServer, Responder};
use serde_json::Value;

pub use config::{
    HostRole, HostRow, HostState, OutageMode, PlatformConfig, PlatformCounters, PlatformFault,
};

use crate::runtime::{Runtime, lock};
use state::{Effect, PlatformState};
use store::Object;

/// Largest value of an object.
const VALUE_BYTES: usize = 1024 * 1024;
/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(60);
const CONNECTIONS: usize = 4096;

/// A running platform; it ends when the last clone of the handle is dropped.
#[derive(Clone)]
pub struct Platform {
    inner: Arc<Inner>,
    server: Arc<HttpServer>,
}

struct Inner {
    runtime: Arc<Runtime>,
    state: Mutex<PlatformState>,
}

/// Starts a platform without objects.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
#[expect(
    clippy::needless_pass_by_value,
    reason = "the spawn functions of all stand-ins take their settings by value"
)]
pub fn spawn(cfg: PlatformConfig) -> Result<Platform, HttpError> {
    let runtime = Runtime::shared()?;
    let limits = HttpLimits {
        connections: CONNECTIONS,
        body_bytes: VALUE_BYTES,
        idle: IDLE,
    };
    let inner = Arc::new(Inner {
        runtime: runtime.clone(),
        state: Mutex::new(PlatformState::new(Instant::now(), &cfg)),
    });
    let served = Arc::downgrade(&inner);
    let server = runtime.http.bind(cfg.address, limits, move |req| {
        if let Some(inner) = served.upgrade() {
            inner.on_request(req);
        }
    })?;
    Ok(Platform {
        inner,
        server: Arc::new(server),
    })
}

impl Platform {
    /// Address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// What has been recorded since the start.
    pub fn counters(&self) -> PlatformCounters {
        lock(&self.inner.state).counters()
    }

    /// Changes the platform's behaviour.
    pub fn apply(&self, fault: PlatformFault) {
        let mut out = Vec::new();
        lock(&self.inner.state).apply(fault, &mut out);
        self.inner.perform(out);
    }

    /// Value of an object.
    pub fn value(&self, kind: &str, name: &str) -> Option<Value> {
        let state = lock(&self.inner.state);
        let object = state.store.get(kind, name)?.to_json();
        drop(state);
        object.get("value").cloned()
    }

    /// Writes an object whatever its version, outside rates and counters of
    /// calls; `None` deletes it. Returns the store's revision.
    pub fn set(&self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        let mut out = Vec::new();
        let mut state = lock(&self.inner.state);
        let present = state.store.get(kind, name).map(Object::version);
        state.update(kind, name, present.unwrap_or(0), value, &mut out);
        let revision = state.store.revision();
        drop(state);
        self.inner.perform(out);
        revision
    }
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Inner {
    fn on_request(self: &Arc<Self>, req: HttpRequest) {
        let inner = Arc::downgrade(self);
        req.responder.on_caller_gone(move || {
            if let Some(inner) = inner.upgrade() {
                lock(&inner.state).drop_gone();
            }
        });
        let latency = lock(&self.state).latency;
        // Half of the time passes before a call takes effect, half after it.
        self.later(latency / 2, move |inner| {
            let mut out = Vec::new();
            lock(&inner.state).serve(Instant::now(), req, &mut out);
            inner.perform(out);
        });
    }

    fn later(self: &Arc<Self>, delay: Duration, f: impl FnOnce(&Arc<Self>) + Send + 'static) {
        if delay.is_zero() {
            f(self);
            return;
        }
        let inner = Arc::downgrade(self);
        self.runtime.at(Instant::now() + delay, move || {
            if let Some(inner) = inner.upgrade() {
                f(&inner);
            }
        });
    }

    fn perform(self: &Arc<Self>, effects: Vec<Effect>) {
        let latency = lock(&self.state).latency;
        for effect in effects {
            match effect {
                Effect::Reply(responder, status, body) => {
                    self.later(latency / 2, move |_| {
                        responder.json(status, body.to_string());
                    });
                }
                Effect::Reset(responder) => Responder::reset(responder),
                Effect::EndWatch(due, serial) => {
                    let wait = due.saturating_duration_since(Instant::now());
                    self.later(wait, move |inner| {
                        let mut out = Vec::new();
                        lock(&inner.state).end_watch(serial, &mut out);
                        inner.perform(out);
                    });
                }
            }
        }
    }
}
