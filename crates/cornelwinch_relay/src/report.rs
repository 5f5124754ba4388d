use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{source_count, source_order};
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};
use tokio_tungstenite::client_async_with_config;

use crate::feed::{REPORT_PATH, send, socket_config};
use crate::feed_message::{FeedMessage, encode};
use crate::shared::Shared;

/// Interval between two checks for crash reports. Reports have to arrive within the recovery time
/// of a host, which is a few seconds.
const REPORT_INTERVAL: Duration = Duration::from_millis(350);

/// Timeout for connecting to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Reports requests that crash upstreams to other hosts. Reports go to the sources, which forward
/// them to the hosts that they feed. A host that gets no reports still uses its own observations.
pub(crate) async fn report_crashes(shared: Rc<Shared>) {
    let mut ticks = interval(REPORT_INTERVAL);
    loop {
        ticks.tick().await;
        let reports = shared
            .core
            .borrow_mut()
            .crash_tracker
            .take_due_reports(Instant::now());
        if reports.is_empty() {
            continue;
        }
        log::info!("event=crashes_reported count={}", reports.len());
        let message = FeedMessage::Crashes { reports };
        shared.publish(&message);
        let buf = encode(&message);
        for addr in sources(&shared) {
            let buf = buf.clone();
            tokio::task::spawn_local(async move {
                if let Err(reason) = send_report(addr, buf).await {
                    log::info!("event=report_failed peer={addr} reason=\"{reason}\"");
                }
            });
        }
    }
}

/// Returns the peer addresses of the preferred sources, without this host.
fn sources(shared: &Shared) -> Vec<SocketAddr> {
    let this_host = shared.own_entry();
    let hosts = shared.hosts.borrow();
    let order = source_order(&hosts).into_iter();
    order
        .take(source_count(hosts.len()))
        .filter(|host| host.name != this_host.name)
        .map(|host| host.peer)
        .collect()
}

async fn send_report(addr: SocketAddr, buf: Bytes) -> Result<(), String> {
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
