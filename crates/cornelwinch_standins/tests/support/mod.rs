//! Calls of the protocols in docs/interfaces.md.
#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_standins::upstream::{HeldSnapshot, ServiceTime, UpstreamConfig};
use cornelwinch_types::SnapshotId;
use serde_json::{Value, json};
use ureq::Agent;

/// Makes a client that returns error statuses as answers.
pub fn agent() -> Agent {
    let cfg = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(20)))
        .build();
    Agent::new_with_config(cfg)
}

/// Makes one call; `None` if the connection broke.
pub fn call(
    agent: &Agent,
    method: &str,
    addr: SocketAddr,
    path: &str,
    body: &Value,
) -> Option<(u16, Value)> {
    let uri = format!("http://{addr}{path}");
    let sent = match method {
        "POST" => agent.post(&uri).send_json(body),
        "PUT" => agent.put(&uri).send_json(body),
        "DELETE" => agent.delete(&uri).call(),
        _ => agent.get(&uri).call(),
    };
    let mut answer = sent.ok()?;
    let text = answer.body_mut().read_to_string().ok()?;
    let body = serde_json::from_str(&text).unwrap_or(Value::Null);
    Some((answer.status().as_u16(), body))
}

/// Body of a leg on keys 0 to 100 of snapshot 7.
pub fn leg(attempt: u64, body: &str) -> Value {
    json!({
        "attempt": attempt, "search": "portal", "snapshot": 7, "range": {"start": 0, "end": 100},
        "body": body, "deadline_ms": 10_000, "idempotent": true
    })
}

/// An upstream that holds snapshots 6 and 7 of `portal`, with a fixed service
/// time.
pub fn upstream_config(service: Duration) -> UpstreamConfig {
    let hold = |id| HeldSnapshot {
        search: "portal".into(),
        snapshot: SnapshotId(id),
        ranges: Vec::new(),
    };
    UpstreamConfig {
        snapshots: vec![hold(6), hold(7)],
        service: ServiceTime {
            median: service,
            sigma: 0.0,
            ..ServiceTime::default()
        },
        ..UpstreamConfig::default()
    }
}
