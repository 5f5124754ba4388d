use std::net::SocketAddr;

use cornelwinch_http::{HttpError, HttpLimits, HttpRequest, HttpServer};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::platform::{Platform, PlatformFault};
use crate::runtime::Runtime;
use crate::upstream::{Upstream, UpstreamFault};

/// A running control listener; it closes on drop.
#[derive(Debug)]
pub struct Control {
    server: HttpServer,
}

impl Control {
    /// Address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }
}

/// Body of `POST /control` for an upstream.
#[derive(Debug, Deserialize)]
struct UpstreamChange {
    /// Upstream to change; all when absent.
    upstream: Option<String>,
    #[serde(flatten)]
    fault: UpstreamFault,
}

/// Starts a listener that switches faults on and off.
///
/// `POST /control` takes a fault as JSON: one of [`PlatformFault`] if
/// `platform` is given, else one of [`UpstreamFault`], for all upstreams or for
/// the one that the field `upstream` names. `GET /control` gives the counters.
///
/// # Errors
///
/// Fails when the address cannot be bound or a thread cannot be started.
pub fn spawn_control(
    addr: SocketAddr,
    upstreams: Vec<Upstream>,
    platform: Option<Platform>,
) -> Result<Control, HttpError> {
    let runtime = Runtime::shared()?;
    let server = runtime.http.bind(addr, HttpLimits::default(), move |req| {
        let (status, body) = answer(&req, &upstreams, platform.as_ref());
        req.responder.json(status, body.to_string());
    })?;
    Ok(Control { server })
}

fn answer(req: &HttpRequest, upstreams: &[Upstream], platform: Option<&Platform>) -> (u16, Value) {
    match (req.method.as_str(), req.path(), platform) {
        ("GET", "/control", Some(platform)) => (200, json!({"platform": platform.counters()})),
        ("GET", "/control", None) => {
            let counters: Vec<_> = upstreams.iter().map(Upstream::counters).collect();
            (200, json!({"upstreams": counters}))
        }
        ("POST", "/control", Some(platform)) => {
            match serde_json::from_str::<PlatformFault>(&req.body) {
                Ok(fault) => {
                    platform.apply(fault);
                    (200, json!({"changed": 1}))
                }
                Err(error) => (400, json!({"error": error.to_string()})),
            }
        }
        ("POST", "/control", None) => match serde_json::from_str::<UpstreamChange>(&req.body) {
            Ok(change) => {
                let is_meant = |upstream: &&Upstream| {
                    change
                        .upstream
                        .as_ref()
                        .is_none_or(|name| **name == **upstream.name())
                };
                let mut changed = 0;
                for upstream in upstreams.iter().filter(is_meant) {
                    upstream.apply(change.fault.clone());
                    changed += 1;
                }
                let status = if changed > 0 { 200 } else { 404 };
                (status, json!({"changed": changed}))
            }
            Err(error) => (400, json!({"error": error.to_string()})),
        },
        _ => (404, json!({"error": "no such call"})),
    }
}
