use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::handle::handle;
use crate::shared::Shared;

/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Size limit of the read buffer, and with it of the head of a caller's request.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Accepts connections of callers. Once `close_idle` is true, connections are closed as soon as
/// they have no request in flight.
pub(crate) async fn serve_callers(
    shared: Rc<Shared>,
    listener: TcpListener,
    close_idle: watch::Receiver<bool>,
) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let (shared, close_idle) = (shared.clone(), close_idle.clone());
                tokio::task::spawn_local(async move {
                    if let Err(error) = serve_connection(shared, stream, close_idle).await {
                        log::debug!("event=caller_connection_ended peer={peer} reason=\"{error}\"");
                    }
                });
            }
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    shared: Rc<Shared>,
    stream: TcpStream,
    mut close_idle: watch::Receiver<bool>,
) -> Result<(), hyper::Error> {
    // A failure is ignored: the connection works without the option, only with more latency.
    let _ = stream.set_nodelay(true);
    let idle = {
        let core = shared.core.borrow();
        core.table
            .as_ref()
            .map_or_else(Default::default, |table| table.limits())
            .idle
    };
    let service = service_fn(move |request| handle(shared.clone(), request));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    // A graceful shutdown before the first request is read would close the connection without an
    // answer. A connection accepted after `close_idle` is closed by its first answer instead.
    if *close_idle.borrow() {
        return connection.await;
    }
    tokio::select! {
        biased;
        end = connection.as_mut() => return end,
        _ = close_idle.wait_for(|close| *close) => connection.as_mut().graceful_shutdown(),
    }
    connection.await
}
