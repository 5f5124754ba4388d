use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use cornelwinch_routing::{source_count, source_order};
use tokio::net::TcpStream;
use tokio::time::{interval, timeout};

use crate::core::Shared;
use crate::feed::{FeedMessage, REPORT_PATH, encode, send};

/// Time between two looks for something to report. A report has to arrive within
/// the time that a host has to recover, which is seconds.
const REPORT_EVERY: Duration = Duration::from_millis(350);

/// Longest wait for a connection to a source.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Tells other hosts of requests that break upstreams. The sources get the
/// reports and pass them on to the hosts that they feed; a host that none reaches
/// still has what it sees itself.
pub(crate) async fn report_crashes(shared: Rc<Shared>) {
    let mut ticks = interval(REPORT_EVERY);
    loop {
        ticks.tick().await;
        let reports = shared
            .core
            .borrow_mut()
            .marks
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
                if let Err(reason) = report(addr, buf).await {
                    log::info!("event=report_failed peer={addr} reason=\"{reason}\"");
                }
            });
        }
    }
}

/// Addresses of the other hosts that usually follow the store.
fn sources(shared: &Shared) -> Vec<SocketAddr> {
    let me = shared.own_entry();
    let hosts = shared.hosts.borrow();
    let order = source_order(&hosts).into_iter();
    order
        .take(source_count(hosts.len()))
        .filter(|host| host.name != me.name)
        .map(|host| host.peer)
        .collect()
}

async fn report(addr: SocketAddr, buf: Bytes) -> Result<(), String> {
    let connect = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| e.to_string())?;
        let url = format!("ws://{addr}{REPORT_PATH}");
        let (socket, _) = tokio_tungstenite::client_async(url, stream)
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
