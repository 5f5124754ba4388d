use std::cell::RefCell;
use std::time::{Duration, Instant};

use cornelwinch_http::HttpSender;
use cornelwinch_routing::{UpstreamEndpoint, UpstreamId};
use cornelwinch_types::SortedMap;

/// Longest wait for a new connection. Links within a region take a millisecond,
/// an upstream's accept some more.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Age up to which an idle connection is used where its peer announces nothing.
const IDLE_DEFAULT: Duration = Duration::from_secs(4);

/// Taken off an announced idle time, for the way of the next request.
const IDLE_MARGIN: Duration = Duration::from_millis(700);

/// A connection to an upstream with no request on it.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: HttpSender,
    reusable_until: Instant,
    pub(crate) is_new: bool,
}

/// Connections to upstreams that wait for the next request.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<SortedMap<UpstreamId, Vec<Connection>>>,
}

impl Pool {
    /// Takes the connection that was used last, or opens one.
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
            if connection.reusable_until > now && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a connection to an upstream that was lost and keeps it for the next
    /// request. Returns false if there is none to be had.
    pub(crate) async fn probe(&self, upstream: &UpstreamEndpoint) -> bool {
        match connect(upstream).await {
            Ok(connection) => {
                self.release(upstream.id, connection.sender, None);
                true
            }
            Err(_) => false,
        }
    }

    /// Returns a connection after a complete answer.
    pub(crate) fn release(&self, id: UpstreamId, sender: HttpSender, keep_alive: Option<Duration>) {
        let idle_time = keep_alive.map_or(IDLE_DEFAULT, |time| time.saturating_sub(IDLE_MARGIN));
        let connection = Connection {
            sender,
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

    /// Closes connections that are too old for another request.
    pub(crate) fn prune(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, list| {
            list.retain(|c| c.reusable_until > now && !c.sender.is_closed());
            !list.is_empty()
        });
    }
}

async fn connect(upstream: &UpstreamEndpoint) -> Result<Connection, std::io::Error> {
    let sender = cornelwinch_http::connect(&upstream.name, upstream.addr, CONNECT_TIMEOUT).await?;
    Ok(Connection {
        sender,
        reusable_until: Instant::now(),
        is_new: true,
    })
}
