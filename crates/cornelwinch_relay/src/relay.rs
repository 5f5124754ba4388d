use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use snafu::ResultExt;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};

use crate::callers::serve_callers;
use crate::core::Shared;
use crate::dialect::Dialect;
use crate::error::{BindSnafu, ProcessSnafu, RelayError};
use crate::feed::serve_feed;
use crate::logging::{FLUSH_EVERY, LogHandle};
use crate::operator::{answer_metrics, answer_readiness, serve_simple};
use crate::report::report_crashes;
use crate::settings::RelaySettings;
use crate::sync::keep_in_sync;

/// Connections that wait to be accepted.
const BACKLOG: i32 = 1_024;

/// Time between two clean-ups of what is no longer used.
const TIDY_EVERY: Duration = Duration::from_millis(500);

/// Time between two looks for lost upstreams that are to be probed.
const PROBE_EVERY: Duration = Duration::from_millis(100);

/// Share of the grace time for which idle connections of callers stay open, so
/// that a request on its way is still read.
const LINGER_SHARE: f64 = 0.6;

/// Share of the grace time after which requests that are left are answered as
/// timed out. None is taken on that could not be answered before it.
const ANSWER_SHARE: f64 = 0.88;

/// Share of the grace time after which the process ends although requests are
/// unanswered.
const STOP_SHARE: f64 = 0.93;

/// Time between two looks at the requests that are left while stopping.
const STOP_POLL: Duration = Duration::from_millis(20);

/// Time for the last answer to leave the socket.
const LAST_WRITE: Duration = Duration::from_millis(50);

/// A relay that runs on the current [`LocalSet`].
#[derive(Debug, Clone)]
pub struct Relay {
    shared: Rc<Shared>,
    close_idle: Rc<watch::Sender<bool>>,
}

/// Binds the addresses of the settings and starts the tasks of a relay on the
/// current [`LocalSet`].
///
/// # Errors
///
/// Fails if an address cannot be bound.
///
/// # Panics
///
/// Panics outside a `LocalSet`.
pub fn spawn(settings: RelaySettings, dialect: Dialect) -> Result<Relay, RelayError> {
    let callers = listen(settings.caller)?;
    let readiness = listen(settings.readiness)?;
    let metrics = listen(settings.metrics)?;
    let peers = listen(settings.peer)?;
    let shared = Rc::new(Shared::new(settings, dialect));
    let (close_idle, closing) = watch::channel(false);
    tokio::task::spawn_local(keep_in_sync(shared.clone()));
    tokio::task::spawn_local(serve_feed(shared.clone(), peers));
    tokio::task::spawn_local(serve_callers(shared.clone(), callers, closing));
    tokio::task::spawn_local(serve_simple(shared.clone(), readiness, answer_readiness));
    tokio::task::spawn_local(serve_simple(shared.clone(), metrics, answer_metrics));
    tokio::task::spawn_local(tidy(shared.clone()));
    tokio::task::spawn_local(report_crashes(shared.clone()));
    tokio::task::spawn_local(probe_lost(shared.clone()));
    Ok(Relay {
        shared,
        close_idle: Rc::new(close_idle),
    })
}

impl Relay {
    /// Stops taking new work and waits until all requests are answered, at most
    /// for the grace time of the settings. Returns the number of requests that are
    /// left without an answer.
    pub async fn stop(&self) -> usize {
        let start = Instant::now();
        let grace = self.shared.settings.borrow().bounds.grace();
        let answer_at = start + grace.mul_f64(ANSWER_SHARE);
        self.shared.stop_at.set(Some(answer_at));
        log::info!(
            "event=stopping active={} grace_ms={}",
            self.shared.active.get(),
            grace.as_millis()
        );
        sleep(grace.mul_f64(LINGER_SHARE)).await;
        // The relay's own tasks hold a receiver for as long as it runs.
        let _ = self.close_idle.send(true);
        let limit = grace.mul_f64(STOP_SHARE);
        loop {
            while self.shared.active.get() > 0 && start.elapsed() < limit {
                sleep(STOP_POLL).await;
                if Instant::now() >= answer_at {
                    self.shared.ending.send_replace(true);
                }
            }
            sleep(LAST_WRITE).await;
            // A request may have been read in the meantime.
            if self.shared.active.get() == 0 || start.elapsed() >= limit {
                break;
            }
        }
        let cut = self.shared.active.get();
        log::info!("event=stopped cut={cut} ms={}", start.elapsed().as_millis());
        cut
    }

    /// Takes over settings that may change while the process runs: the bounds.
    pub fn reload(&self, settings: &RelaySettings) {
        let mut current = self.shared.settings.borrow_mut();
        if current.bounds != settings.bounds {
            log::info!("event=bounds_changed bounds={:?}", settings.bounds);
            current.bounds = settings.bounds;
        }
    }
}

/// Looks whether lost upstreams take connections again.
async fn probe_lost(shared: Rc<Shared>) {
    let mut ticks = interval(PROBE_EVERY);
    loop {
        ticks.tick().await;
        let due = shared
            .core
            .borrow_mut()
            .fleet
            .take_due_probes(Instant::now());
        for upstream in due {
            let shared = shared.clone();
            tokio::task::spawn_local(async move {
                if shared.pool.probe(&upstream).await {
                    log::info!("event=upstream_found upstream={}", upstream.name);
                    shared.core.borrow_mut().fleet.mark_reachable(upstream.id);
                }
            });
        }
    }
}

async fn tidy(shared: Rc<Shared>) {
    let mut ticks = interval(TIDY_EVERY);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let share = shared.budget_share();
        let lapsed = {
            let mut core = shared.core.borrow_mut();
            core.budget.prune(now, &share);
            core.gathers.prune(now);
            core.fleet.remove_expired(now)
        };
        for id in lapsed {
            log::info!("event=upstream_lapsed upstream_id={}", id.get());
            shared.pool.close(id);
        }
        shared.pool.prune();
    }
}

fn listen(addr: SocketAddr) -> Result<TcpListener, RelayError> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    };
    bind().context(BindSnafu { addr })
}

/// Runs a relay on this thread until SIGTERM has stopped it.
///
/// `read_settings` is called after SIGHUP.
///
/// # Errors
///
/// Fails if the event loop or a signal handler cannot be made, or an address
/// cannot be bound.
pub fn run_until_signal(
    settings: RelaySettings,
    dialect: Dialect,
    log: &LogHandle,
    read_settings: impl Fn() -> Result<RelaySettings, RelayError>,
) -> Result<(), RelayError> {
    let panic_log = log.clone();
    std::panic::set_hook(Box::new(move |panic| {
        // A task that is gone would leave the process running without it.
        eprintln!("event=panic reason=\"{panic}\"");
        panic_log.0.finish();
        std::process::abort();
    }));
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context(ProcessSnafu {
            step: "build_runtime",
        })?;
    let local = LocalSet::new();
    let result = local.block_on(&runtime, async {
        let install = |kind| {
            signal(kind).context(ProcessSnafu {
                step: "install_signal_handler",
            })
        };
        let mut terminate = install(SignalKind::terminate())?;
        let mut hangup = install(SignalKind::hangup())?;
        let buffer = log.0.clone();
        tokio::task::spawn_local(async move {
            let mut ticks = interval(FLUSH_EVERY);
            loop {
                ticks.tick().await;
                buffer.flush();
            }
        });
        log::info!(
            "event=started zone={} caller={} store={}",
            settings.zone,
            settings.caller,
            settings.store
        );
        let relay = spawn(settings, dialect)?;
        loop {
            tokio::select! {
                _ = terminate.recv() => break,
                _ = hangup.recv() => match read_settings() {
                    Ok(settings) => {
                        log::info!("event=settings_read");
                        relay.reload(&settings);
                    }
                    Err(error) => log::warn!("event=settings_kept {error}"),
                },
            }
        }
        relay.stop().await;
        Ok(())
    });
    log.0.finish();
    result
}
