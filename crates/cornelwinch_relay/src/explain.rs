use std::time::Instant;

use cornelwinch_routing::{LegRequest, RouteLookup, Target};
use cornelwinch_types::Name;
use serde_json::{Value, json};

use crate::shared::Shared;

/// Request whose placement is explained.
#[derive(Debug, Default)]
struct Query {
    host: String,
    path: String,
    method: String,
    organisation: Option<String>,
    size: usize,
    is_json: bool,
}

/// Tells where the request of a query string would go now and why. Nothing is sent, and the state
/// that decides is not changed.
pub(crate) fn explain(shared: &Shared, query: &str) -> String {
    let query = Query::parse(query);
    let result = explain_request(shared, &query);
    if query.is_json {
        return result.to_string();
    }
    let mut lines = Vec::new();
    push_lines(&mut lines, &result);
    lines.push(String::new());
    lines.join("\n")
}

fn explain_request(shared: &Shared, query: &Query) -> Value {
    let now = Instant::now();
    let settings = shared.settings.borrow();
    let core = &mut *shared.core.borrow_mut();
    let Some(table) = core.table.clone() else {
        return json!({"refused": "no_configuration"});
    };
    let path = query.path.split('?').next().unwrap_or_default();
    let RouteLookup::Route(route) = table.find(&query.host, path) else {
        return json!({"refused": "no_route", "version": table.version()});
    };
    let (target, services): (_, Vec<(&Name, Option<u32>)>) = match &route.target {
        Target::Service(service) => ("service", vec![(service, None)]),
        Target::Split(parts) => {
            let parts = parts.iter().map(|(name, weight)| (name, Some(*weight)));
            ("split", parts.collect())
        }
        Target::Gather(plan) => ("gather", plan.shards.iter().map(|s| (s, None)).collect()),
    };
    let services = services.into_iter().map(|(service, weight)| {
        let limits = core.limits_of(service, &settings.bounds);
        let request = LegRequest {
            service,
            zone: &settings.zone,
            route: Some(&route.name),
            tried: &[],
        };
        let explanation = core.fleet.explain(now, request, limits);
        let upstreams = explanation.candidates.iter().map(|upstream| {
            json!({
                "upstream": &*upstream.name, "zone": &*upstream.zone, "excluded": upstream.exclusion,
                "lost": upstream.is_lost, "score": (upstream.score * 100.0).round() / 100.0,
                "details": upstream.details,
            })
        });
        let first = explanation.candidates.first();
        let choice = first.filter(|first| first.exclusion.is_none());
        json!({
            "service": &**service, "weight": weight, "choice": choice.map(|choice| &*choice.name),
            "placement": if explanation.uses_expected_time { "expected_time" } else { "latency" },
            "upstreams": upstreams.collect::<Vec<_>>(),
        })
    });
    let services: Vec<Value> = services.collect();
    let is_too_large = query.size > table.limits().body_bytes;
    json!({
        "refused": is_too_large.then_some("body_too_large"),
        "version": table.version(), "route": &*route.name, "kind": format!("{:?}", route.kind),
        "priority": route.priority, "target": target, "method": query.method,
        "organisation": query.organisation, "services": services,
    })
}

/// Adds a line of key=value pairs for an object, and one for each object in its lists.
fn push_lines(lines: &mut Vec<String>, object: &Value) {
    let Some(fields) = object.as_object() else {
        return;
    };
    let pairs = fields.iter().filter(|(_, value)| !value.is_array());
    let pairs = pairs.map(|(key, value)| match value {
        Value::String(text) if key == "details" => text.clone(),
        Value::String(text) => format!("{key}={text}"),
        Value::Null => format!("{key}=-"),
        value => format!("{key}={value}"),
    });
    lines.push(pairs.collect::<Vec<_>>().join(" "));
    for value in fields.values().filter_map(Value::as_array).flatten() {
        push_lines(lines, value);
    }
}

impl Query {
    fn parse(text: &str) -> Self {
        let mut query = Self {
            method: "GET".to_owned(),
            path: "/".to_owned(),
            ..Self::default()
        };
        for pair in text.split('&') {
            let (key, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode(value);
            match key {
                "host" => query.host = value,
                "path" => query.path = value,
                "method" => query.method = value,
                "organisation" => query.organisation = Some(value),
                "size" => query.size = value.parse().unwrap_or(0),
                "format" => query.is_json = value == "json",
                _ => {}
            }
        }
        query
    }
}

/// Decodes `%XX`; control characters become spaces, so that a value stays on its line.
fn decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((&byte, tail)) = rest.split_first() {
        let digits = tail.get(..2).filter(|_| byte == b'%');
        let digits = digits.and_then(|digits| std::str::from_utf8(digits).ok());
        match digits.and_then(|digits| u8::from_str_radix(digits, 16).ok()) {
            Some(decoded) => {
                bytes.push(decoded);
                rest = &tail[2..];
            }
            None => {
                bytes.push(byte);
                rest = tail;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes);
    text.replace(|c: char| c.is_control(), " ")
}
