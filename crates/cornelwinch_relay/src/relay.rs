use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::PlacementMode;
use snafu::ResultExt;
use socket2::{Domain, Protocol, Socket, Type};
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::watch;
use tokio::task::LocalSet;
use tokio::time::{interval, sleep};

use crate::apply::divide_limits;
use crate::callers::serve_callers;
use crate::caps::prune_caps;
use crate::coordination::coordinate;
use crate::dialect::Dialect;
use crate::error::{BindSnafu, ProcessSnafu, RelayError};
use crate::feed::serve_feed;
use crate::gone_hosts::remove_gone_hosts;
use crate::logging::{FLUSH_INTERVAL, LogHandle};
use crate::marks::get_marks;
use crate::operator::{answer_metrics, answer_readiness, serve_http};
use crate::report::report_crashes;
use crate::rollouts::coordinate_rollouts;
use crate::settings::RelaySettings;
use crate::shared::Shared;
use crate::sync::keep_in_sync;
use crate::thread_lag::measure_lag;

/// Length of the queue of connections that wait to be accepted.
const LISTEN_BACKLOG: i32 = 1_024;

/// Interval between two removals of expired upstreams, connections and counters.
const CLEANUP_INTERVAL: Duration = Duration::from_millis(500);

/// Interval between two checks for lost upstreams that are due to be probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Share of the grace period for which idle connections of callers stay open, so that requests in
/// transit are still read.
const IDLE_CLOSE_GRACE_RATIO: f64 = 0.6;

/// Share of the grace period after which the remaining requests are answered as timed out. Requests
/// that could not be answered before are not accepted.
const ANSWER_GRACE_RATIO: f64 = 0.88;

/// Share of the grace period after which the process exits even if requests are unanswered.
const STOP_GRACE_RATIO: f64 = 0.93;

/// Interval at which a stopping relay checks for remaining requests.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time allowed for the last answers to be written to their sockets.
const FINAL_WRITE_TIME: Duration = Duration::from_millis(50);

/// Handle of a relay that runs on the current [`LocalSet`].
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
    let placement = settings.placement;
    let shared = Rc::new(Shared::new(settings, dialect));
    let (close_idle, closing) = watch::channel(false);
    tokio::task::spawn_local(keep_in_sync(shared.clone()));
    tokio::task::spawn_local(serve_feed(shared.clone(), peers));
    tokio::task::spawn_local(serve_callers(shared.clone(), callers, closing));
    tokio::task::spawn_local(serve_http(shared.clone(), readiness, answer_readiness));
    tokio::task::spawn_local(serve_http(shared.clone(), metrics, answer_metrics));
    tokio::task::spawn_local(clean_up(shared.clone()));
    tokio::task::spawn_local(remove_gone_hosts(shared.clone()));
    tokio::task::spawn_local(report_crashes(shared.clone()));
    tokio::task::spawn_local(get_marks(shared.clone()));
    tokio::task::spawn_local(probe_lost(shared.clone()));
    tokio::task::spawn_local(coordinate(shared.clone()));
    if placement != PlacementMode::Latency {
        tokio::task::spawn_local(measure_lag(shared.clone()));
    }
    tokio::task::spawn_local(coordinate_rollouts(shared.clone()));
    Ok(Relay {
        shared,
        close_idle: Rc::new(close_idle),
    })
}

impl Relay {
    /// Stops the relay. It waits until all answers are written, at most for the grace period of
    /// the settings, and returns the number of unanswered requests.
    pub async fn stop(&self) -> usize {
        let start = Instant::now();
        let grace = self.shared.settings.borrow().bounds.grace_period();
        let answer_at = start + grace.mul_f64(ANSWER_GRACE_RATIO);
        self.shared.stop_at.set(Some(answer_at));
        log::info!(
            "event=stopping active={} grace_ms={}",
            self.shared.active.get(),
            grace.as_millis()
        );
        sleep(grace.mul_f64(IDLE_CLOSE_GRACE_RATIO)).await;
        // Sending cannot fail: the task that accepts callers holds a receiver.
        let _ = self.close_idle.send(true);
        let limit = grace.mul_f64(STOP_GRACE_RATIO);
        loop {
            while self.has_unfinished() && start.elapsed() < limit {
                sleep(STOP_POLL_INTERVAL).await;
                if Instant::now() >= answer_at {
                    self.shared.stop_due.send_replace(true);
                }
            }
            sleep(FINAL_WRITE_TIME).await;
            // Another request may have been read while sleeping.
            if !self.has_unfinished() || start.elapsed() >= limit {
                break;
            }
        }
        let unanswered = self.shared.active.get();
        log::info!(
            "event=stopped cut={unanswered} unwritten={} ms={}",
            self.shared.answers_in_writing.count(),
            start.elapsed().as_millis()
        );
        unanswered
    }

    /// Returns true if a request is unanswered or an answer is not written yet.
    fn has_unfinished(&self) -> bool {
        self.shared.active.get() > 0 || self.shared.answers_in_writing.count() > 0
    }

    /// Applies the settings that may change while the process runs, which are the bounds.
    pub fn update_settings(&self, settings: &RelaySettings) {
        let mut current = self.shared.settings.borrow_mut();
        if current.bounds != settings.bounds {
            log::info!("event=bounds_changed bounds={:?}", settings.bounds);
            current.bounds = settings.bounds;
            drop(current);
            self.shared.update_caps();
        }
    }
}

/// Probes lost upstreams and returns them to service once they accept connections.
async fn probe_lost(shared: Rc<Shared>) {
    let mut ticks = interval(PROBE_INTERVAL);
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

/// Removes expired upstreams, idle connections and unused counters periodically.
async fn clean_up(shared: Rc<Shared>) {
    let mut ticks = interval(CLEANUP_INTERVAL);
    loop {
        ticks.tick().await;
        let now = Instant::now();
        let is_share_changed = shared.core.borrow_mut().update_host_count(now);
        if is_share_changed {
            divide_limits(&shared);
        }
        let config = shared.budget_config();
        let expired = {
            let mut core = shared.core.borrow_mut();
            core.budget.prune(now, &config);
            core.gather_limits.prune(now);
            core.fleet.remove_expired(now)
        };
        for id in expired {
            log::info!("event=upstream_expired upstream_id={}", id.get());
            shared.pool.close(id);
        }
        shared.pool.prune();
        prune_caps(&shared);
    }
}

fn listen(addr: SocketAddr) -> Result<TcpListener, RelayError> {
    let bind = || {
        let socket = Socket::new(Domain::for_address(addr), Type::STREAM, Some(Protocol::TCP))?;
        socket.set_reuse_address(true)?;
        socket.bind(&addr.into())?;
        socket.listen(LISTEN_BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    };
    bind().context(BindSnafu { addr })
}

/// Runs a relay on this thread until SIGTERM stops it.
///
/// On SIGHUP, `read_settings` is called and the bounds that it returns are applied.
///
/// # Errors
///
/// Fails if the event loop or a signal handler cannot be created, or an address cannot be bound.
pub fn run_until_signal(
    settings: RelaySettings,
    dialect: Dialect,
    log: &LogHandle,
    read_settings: impl Fn() -> Result<RelaySettings, RelayError>,
) -> Result<(), RelayError> {
    let panic_log = log.clone();
    std::panic::set_hook(Box::new(move |panic| {
        // Aborts, since the process would otherwise keep running without the task that panicked.
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
            let mut ticks = interval(FLUSH_INTERVAL);
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
                        relay.update_settings(&settings);
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
