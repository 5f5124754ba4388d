use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cornelwinch_types::{Incarnation, Name};
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

use crate::error::{BindSnafu, RuntimeSnafu};
use crate::{PeerError, Secret, Traffic, TrafficCounts, inbound, outbound};

/// Longest time for which a closing transport sends what is queued.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Settings of the transport.
#[derive(Debug, Clone)]
pub struct PeerConfig {
    /// Name of this host.
    pub host: Name,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Key shared by the deployment.
    pub secret: Secret,
    /// Longest time for a connection and its handshake.
    pub connect_timeout: Duration,
}

/// What the transport reports.
#[derive(Debug)]
pub enum PeerEvent<M> {
    /// A message arrived from an authenticated peer.
    Message {
        /// Name that the peer proved to be allowed to use.
        from: Name,
        /// The message.
        msg: M,
    },
    /// The connection to a peer failed or could not be opened. Messages that
    /// were sent before and are not in `unsent` may or may not have arrived.
    Down {
        /// Name of the peer.
        peer: Name,
        /// Messages of which no byte was written.
        unsent: Vec<M>,
    },
}

pub(crate) type Handler<M> = Arc<dyn Fn(PeerEvent<M>) + Send + Sync>;

enum Command<M> {
    Send { to: Name, addr: SocketAddr, msg: M },
    Disconnect { peer: Name },
}

/// Handle of the running transport; dropping it closes all connections.
///
/// ```
/// use std::sync::mpsc;
/// use std::time::Duration;
/// use cornelwinch_peer::{PeerConfig, PeerEvent, Secret, bind};
/// use cornelwinch_types::Incarnation;
///
/// let secret = Secret::derive("demo", b"a long random text");
/// let config = |host: &str| PeerConfig {
///     host: host.into(),
///     incarnation: Incarnation(1),
///     secret: secret.clone(),
///     connect_timeout: Duration::from_secs(1),
/// };
/// let (tx, rx) = mpsc::channel();
/// let any = "127.0.0.1:0".parse().unwrap();
/// let a = bind::<String>(any, config("a"), |_| {})?;
/// let b = bind::<String>(any, config("b"), move |event| { let _ = tx.send(event); })?;
/// a.send("b".into(), b.local_addr(), "hello".to_owned());
/// let PeerEvent::Message { from, msg } = rx.recv().unwrap() else { panic!("no message") };
/// assert_eq!((&*from, msg.as_str()), ("a", "hello"));
/// # Ok::<(), cornelwinch_peer::PeerError>(())
/// ```
pub struct PeerTransport<M> {
    tx: UnboundedSender<Command<M>>,
    local_addr: SocketAddr,
    counts: Arc<TrafficCounts>,
    thread: JoinHandle<()>,
}

impl<M> fmt::Debug for PeerTransport<M> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PeerTransport")
            .field("local_addr", &self.local_addr)
            .finish_non_exhaustive()
    }
}

impl<M> PeerTransport<M> {
    /// Address on which peers are accepted.
    pub fn local_addr(&self) -> SocketAddr {
        self.local_addr
    }

    /// Bytes of messages since the start, without framing.
    pub fn traffic(&self) -> Traffic {
        self.counts.read()
    }

    /// Queues a message; a failure is reported as [`PeerEvent::Down`].
    pub fn send(&self, to: Name, addr: SocketAddr, msg: M) {
        let _ = self.tx.send(Command::Send { to, addr, msg });
    }

    /// Sends what is queued, for as long as a short time limit allows, and
    /// closes all connections.
    pub fn close(self) {
        drop(self.tx);
        // A panic of the thread has been reported by the panic hook.
        let _ = self.thread.join();
    }

    /// Closes the connection to a peer that has left.
    pub fn disconnect(&self, peer: Name) {
        let _ = self.tx.send(Command::Disconnect { peer });
    }
}

/// Opens the listener and starts the transport in a thread of its own.
///
/// `handler` is called in that thread and must not block.
///
/// # Errors
///
/// Fails if the address is taken or the thread cannot be started.
pub fn bind<M>(
    addr: SocketAddr,
    cfg: PeerConfig,
    handler: impl Fn(PeerEvent<M>) + Send + Sync + 'static,
) -> Result<PeerTransport<M>, PeerError>
where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    let listener = std::net::TcpListener::bind(addr).context(BindSnafu { addr })?;
    listener.set_nonblocking(true).context(BindSnafu { addr })?;
    let local_addr = listener.local_addr().context(BindSnafu { addr })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(RuntimeSnafu)?;
    let (tx, rx) = unbounded_channel();
    let handler: Handler<M> = Arc::new(handler);
    let counts = Arc::new(TrafficCounts::default());
    let links = LinkContext {
        cfg: Arc::new(cfg),
        handler,
        counts: counts.clone(),
    };
    let thread = thread::Builder::new()
        .name("peer".into())
        .spawn(move || {
            let local = LocalSet::new();
            local.block_on(&runtime, run(listener, links, rx));
        })
        .context(RuntimeSnafu)?;
    Ok(PeerTransport {
        tx,
        local_addr,
        counts,
        thread,
    })
}

/// What every connection needs.
pub(crate) struct LinkContext<M> {
    pub(crate) cfg: Arc<PeerConfig>,
    pub(crate) handler: Handler<M>,
    pub(crate) counts: Arc<TrafficCounts>,
}

impl<M> Clone for LinkContext<M> {
    fn clone(&self) -> Self {
        Self {
            cfg: self.cfg.clone(),
            handler: self.handler.clone(),
            counts: self.counts.clone(),
        }
    }
}

async fn run<M>(
    listener: std::net::TcpListener,
    cx: LinkContext<M>,
    mut rx: UnboundedReceiver<Command<M>>,
) where
    M: Serialize + DeserializeOwned + Send + 'static,
{
    match TcpListener::from_std(listener) {
        Ok(listener) => {
            tokio::task::spawn_local(inbound::accept_loop(listener, cx.clone()));
        }
        Err(error) => log::error!("event=peer_listen_failed error=\"{error}\""),
    }
    let mut links: Vec<Link<M>> = Vec::new();
    while let Some(command) = rx.recv().await {
        match command {
            Command::Send { to, addr, msg } => queue(&mut links, &cx, to, addr, msg),
            Command::Disconnect { peer } => {
                if let Ok(i) = links.binary_search_by(|link| link.peer.cmp(&peer)) {
                    links.remove(i);
                }
            }
        }
    }
    let senders: Vec<_> = links.into_iter().map(|Link { task, .. }| task).collect();
    let flush = async {
        for task in senders {
            let _ = task.await;
        }
    };
    let _ = tokio::time::timeout(FLUSH_TIMEOUT, flush).await;
}

struct Link<M> {
    peer: Name,
    addr: SocketAddr,
    tx: UnboundedSender<M>,
    task: tokio::task::JoinHandle<()>,
}

/// Queues a message on the peer's connection, and opens a new one if there is
/// none, if it has failed, or if the peer has another address now.
fn queue<M>(links: &mut Vec<Link<M>>, cx: &LinkContext<M>, to: Name, addr: SocketAddr, msg: M)
where
    M: Serialize + 'static,
{
    let found = links.binary_search_by(|link| link.peer.cmp(&to));
    let msg = match found {
        Ok(i) if links[i].addr == addr => match links[i].tx.send(msg) {
            Ok(()) => return,
            Err(error) => error.0,
        },
        _ => msg,
    };
    let (tx, rx) = unbounded_channel();
    let _ = tx.send(msg);
    let task = tokio::task::spawn_local(outbound::send_loop(cx.clone(), to.clone(), addr, rx));
    let link = Link {
        peer: to,
        addr,
        tx,
        task,
    };
    match found {
        Ok(i) => links[i] = link,
        Err(i) => links.insert(i, link),
    }
}
