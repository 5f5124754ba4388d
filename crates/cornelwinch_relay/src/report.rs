use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{source_count, source_order};
use futures_util::future::join_all;
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, timeout};
use tokio_tungstenite::client_async_with_config;

use crate::feed::{REPORT_PATH, send, socket_config};
use crate::feed_message::{FeedMessage, encode};
use crate::shared::Shared;

/// Interval between two checks for crash reports. Reports have to arrive within the recovery time
/// of a host, which is a few seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);

/// Timeout for connecting to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for sending reports to one host.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Number of hosts beyond the preferred sources that get the reports if no source can be reached.
const FALLBACK_HOSTS: usize = 3;

/// Reports requests that crash upstreams to other hosts. Reports go to the sources, which forward
/// them to the hosts that they feed. Those that reach no host are sent again; until then a host
/// uses its own observations.
pub(crate) async fn report_crashes(shared: Rc<Shared>) {
    let mut ticks = interval(REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        // Until the other hosts are known, reports stay due.
        if shared.hosts.borrow().is_empty() {
            continue;
        }
        let reports = shared
            .core
            .borrow_mut()
            .crash_tracker
            .take_due_reports(Instant::now());
        if reports.is_empty() {
            continue;
        }
        let message = FeedMessage::Crashes { reports };
        shared.publish(&message);
        let is_delivered = deliver(&shared, &encode(&message)).await;
        let FeedMessage::Crashes { reports } = message else {
            continue;
        };
        log::info!(
            "event=crashes_reported count={} delivered={is_delivered}",
            reports.len()
        );
        if !is_delivered {
            let mut core = shared.core.borrow_mut();
            core.crash_tracker.restore_reports(&reports);
        }
    }
}

/// Sends reports to the preferred sources, or to further hosts if none of them can be reached.
/// Returns true if a host has got them or there is no other host.
async fn deliver(shared: &Shared, buf: &Bytes) -> bool {
    let this_host = shared.own_entry();
    let hosts = shared.hosts.borrow().clone();
    if hosts == [this_host.clone()] {
        return true;
    }
    let mut sources = source_order(&hosts);
    let mut others = sources.split_off(source_count(hosts.len()).min(sources.len()));
    others.truncate(FALLBACK_HOSTS);
    for group in [sources, others] {
        let sends = group
            .iter()
            .filter(|host| host.name != this_host.name)
            .map(|host| send_report(host.peer, buf.clone()));
        let results = join_all(sends).await;
        for error in results.iter().filter_map(|result| result.as_ref().err()) {
            log::info!("event=report_failed {error}");
        }
        if results.iter().any(Result::is_ok) {
            return true;
        }
    }
    false
}

/// Sends reports to one host.
///
/// # Errors
///
/// Returns the step that failed, with the address of the host.
async fn send_report(addr: SocketAddr, buf: Bytes) -> Result<(), String> {
    let send = timeout(REPORT_TIMEOUT, send_to(addr, buf)).await;
    send.unwrap_or_else(|_| Err("timeout".to_owned()))
        .map_err(|reason| format!("peer={addr} reason=\"{reason}\""))
}

async fn send_to(addr: SocketAddr, buf: Bytes) -> Result<(), String> {
    let connect = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        let url = format!("ws://{addr}{REPORT_PATH}");
        let (socket, _) = client_async_with_config(url, stream, Some(socket_config()))
            .await
            .map_err(|e| e.to_string())?;
        Ok::<_, String>(socket)
    };
    let mut socket = timeout(CONNECT_TIMEOUT, connect)
        .await
        .map_err(|_| "connect_timeout".to_owned())??;
    send(&mut socket, buf).await?;
    socket.close(None).await.map_err(|e| e.to_string())
}
