use std::convert::Infallible;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use cornelwinch_routing::HostEntry;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;

use crate::explain::explain;
use crate::shared::Shared;

type Handler = fn(&Shared, &Request<Incoming>) -> Response<Full<Bytes>>;

/// Serves HTTP on a listener with a handler that does not block.
pub(crate) async fn serve_http(shared: Rc<Shared>, listener: TcpListener, handler: Handler) {
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("event=accept_failed reason=\"{error}\"");
                tokio::time::sleep(std::time::Duration::from_millis(20)).await;
                continue;
            }
        };
        let shared = shared.clone();
        tokio::task::spawn_local(async move {
            let service = service_fn(move |request: Request<Incoming>| {
                let response = handler(&shared, &request);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            if let Err(error) = connection.await {
                log::debug!("event=operator_connection_ended reason=\"{error}\"");
            }
        });
    }
}

/// Answers the balancer's readiness check with 200 or 503.
pub(crate) fn answer_readiness(shared: &Shared, _: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    if !shared.is_ready() {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    }
    response
}

/// Answers with the state of the host for `/state`, with the placement of a request for `/explain`
/// and with metrics for any other path.
pub(crate) fn answer_metrics(
    shared: &Shared,
    request: &Request<Incoming>,
) -> Response<Full<Bytes>> {
    let text = match request.uri().path() {
        "/state" => state_page(shared),
        "/explain" => explain(shared, request.uri().query().unwrap_or_default()),
        _ => {
            let core = shared.core.borrow();
            core.metrics.to_text() + &core.fleet.rollouts().to_metrics()
        }
    };
    Response::new(Full::new(Bytes::from(text)))
}

/// Formats the state of the host, with a line of key=value pairs for the host itself, each
/// registered host, each service, each set of shards in use and each upstream.
fn state_page(shared: &Shared) -> String {
    let now = Instant::now();
    let config = shared.budget_config();
    let organisations = shared.core.borrow_mut().describe_organisations(now);
    let core = shared.core.borrow();
    let version = core.table.as_ref().map_or(0, |table| table.version());
    let mut lines = vec![format!(
        "version={version} hosts={} source={} feeds={} knowledge_age={:?} stopping={} active={} answer_bytes={} marks={} evacuated={:?}",
        core.host_count(),
        shared.is_source(),
        shared.feed.receiver_count(),
        shared.store_data_age(now),
        shared.is_stopping(),
        shared.active.get(),
        shared.answer_memory.used(),
        core.crash_tracker.quarantined(now).len(),
        core.fleet.evacuated_zones(),
    )];
    let hosts = shared.hosts.borrow();
    lines.extend(hosts.iter().map(|host| {
        let HostEntry { name, zone, peer } = host;
        format!("host={name} zone={zone} peer={peer}")
    }));
    let services = core
        .table
        .as_ref()
        .map_or(&[][..], |table| table.services());
    lines.extend(services.iter().map(|service| {
        let upstream = core.upstream_limits(service, &shared.settings.borrow().bounds);
        let repeats = core.budget.usage(now, &config, &service.name);
        format!(
            "service={} requests={} repeats={} repeats_allowed={:.1} connections={} cold_per_s={:?}",
            service.name,
            repeats.requests,
            repeats.repeats,
            repeats.allowed,
            upstream.connections,
            upstream.cold_per_s,
        )
    }));
    if !organisations.is_empty() {
        let coordinator = shared.coordination.coordinator.borrow();
        lines.push(format!("coordinator={coordinator:?}"));
    }
    lines.extend(organisations);
    lines.extend(core.gather_limits.describe());
    lines.extend(core.fleet.rollouts().describe(now));
    lines.extend(shared.rollouts.describe());
    lines.extend(core.fleet.describe(now));
    lines.push(String::new());
    lines.join("\n")
}
