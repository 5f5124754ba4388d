use std::cell::RefCell;
use std::time::{Duration, Instant};

use cornelwinch_http::HttpConnection;
use cornelwinch_routing::{UpstreamEndpoint, UpstreamId};
use cornelwinch_types::SortedMap;

/// Longest wait for a new connection. The network within a region takes about a millisecond, and
/// the upstream some more to accept.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Idle timeout of connections whose upstream announces none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest time for which an idle connection is kept, whatever its upstream announces.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time subtracted from an announced idle timeout, so that the next request arrives before it
/// expires.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// A connection to an upstream without a request in flight.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) http: HttpConnection,
    reusable_until: Instant,
    pub(crate) is_new: bool,
}

/// Pool of idle connections to upstreams.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<SortedMap<UpstreamId, Vec<Connection>>>,
}

impl Pool {
    /// Returns the most recently used idle connection, or a new one if none is idle or `fresh` is
    /// set.
    pub(crate) async fn acquire(
        &self,
        upstream: &UpstreamEndpoint,
        fresh: bool,
    ) -> Result<Connection, std::io::Error> {
        if !fresh && let Some(connection) = self.take_idle(upstream.id) {
            return Ok(connection);
        }
        connect(upstream).await
    }

    fn take_idle(&self, id: UpstreamId) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let list = idle.get_mut(&id)?;
        let now = Instant::now();
        while let Some(connection) = list.pop() {
            if connection.reusable_until > now && connection.http.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection to a lost upstream and keeps it for the next request. Returns false if
    /// the connection fails.
    pub(crate) async fn probe(&self, upstream: &UpstreamEndpoint) -> bool {
        self.try_connect(upstream).await.is_ok()
    }

    /// Opens a connection to an upstream and keeps it for the next request.
    pub(crate) async fn try_connect(
        &self,
        upstream: &UpstreamEndpoint,
    ) -> Result<(), std::io::Error> {
        let connection = connect(upstream).await?;
        self.release(upstream.id, connection.http, None);
        Ok(())
    }

    /// Returns a connection to the pool after a complete answer.
    pub(crate) fn release(
        &self,
        id: UpstreamId,
        http: HttpConnection,
        keep_alive: Option<Duration>,
    ) {
        let idle_time = keep_alive.map_or(DEFAULT_IDLE_TIMEOUT, |time| {
            time.saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIMEOUT)
        });
        let connection = Connection {
            http,
            reusable_until: Instant::now() + idle_time,
            is_new: false,
        };
        let mut idle = self.idle.borrow_mut();
        idle.get_or_insert_with(id, Vec::new).push(connection);
    }

    /// Closes the idle connections of an upstream.
    pub(crate) fn close(&self, id: UpstreamId) {
        self.idle.borrow_mut().remove(&id);
    }

    /// Drops connections that are closed or past their idle timeout.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|c| c.reusable_until > now && !c.http.sender.is_closed());
            !list.is_empty()
        });
    }
}

async fn connect(upstream: &UpstreamEndpoint) -> Result<Connection, std::io::Error> {
    let http = cornelwinch_http::connect(&upstream.name, upstream.addr, CONNECT_TIMEOUT).await?;
    Ok(Connection {
        http,
        reusable_until: Instant::now(),
        is_new: true,
    })
}
