use std::time::Duration;

use cornelwinch_routing::{DesiredState, HostEntry, UpstreamEntry};
use cornelwinch_types::Name;
use hyper::header::HeaderName;
use serde::{Deserialize, Serialize};

/// Names and formats of a platform, as data and functions that decide nothing.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of headers.
    pub headers: Headers,
    /// Calls to the platform's store.
    pub store: StoreCalls,
}

/// Names of the headers between callers, hosts and upstreams.
#[derive(Debug, Clone)]
pub struct Headers {
    /// Identity of one attempt of a caller.
    pub request_id: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Name of the one upstream that may run the request.
    pub target: HeaderName,
    /// Proof of an upstream that it made the answer.
    pub stamp: HeaderName,
    /// Statement of an upstream that it did not run the request.
    pub not_executed: HeaderName,
    /// Stamps of the parts of a gathered answer, separated by commas.
    pub part_stamps: HeaderName,
    /// Number of shards that a gathered answer lacks.
    pub missing_parts: HeaderName,
    /// Milliseconds for which an upstream stays cold.
    pub cold_ms: HeaderName,
}

/// Kinds of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Kind {
    /// The version of routes and services in force.
    DesiredState,
    /// Registered upstreams.
    Upstreams,
    /// Zones that are taken out.
    Evacuations,
    /// Hosts of the tier; a kind of our own.
    Hosts,
}

/// How the platform's store is called.
#[derive(Debug, Clone, Copy)]
pub struct StoreCalls {
    /// Path that lists a kind after a name; `stale` allows data that is seconds
    /// old, at a lower price.
    pub list_path: fn(kind: Kind, after: Option<&str>, stale: bool) -> String,
    /// Path that waits for changes after a revision.
    pub watch_path: fn(kind: Kind, revision: u64, wait: Duration) -> String,
    /// Call that registers this host.
    pub register_host: fn(host: &HostEntry) -> WriteCall,
    /// Call that replaces the entry of this host.
    pub replace_host: fn(host: &HostEntry) -> WriteCall,
    /// Decodes a list.
    pub decode_page: fn(kind: Kind, body: &[u8]) -> Result<Page, String>,
    /// Decodes the changes that a watch returns; `next` of the page is unused.
    pub decode_events: fn(kind: Kind, body: &[u8]) -> Result<Page, String>,
}

/// A call that changes the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteCall {
    /// HTTP method.
    pub method: hyper::Method,
    /// Path and query.
    pub path: String,
    /// JSON body.
    pub body: Vec<u8>,
}

/// Objects of one answer of the store.
#[derive(Debug, Clone, PartialEq)]
pub struct Page {
    /// Objects or changes, in the store's order.
    pub items: Vec<Item>,
    /// Name after which the list continues.
    pub next: Option<String>,
    /// Revision from which a watch continues.
    pub revision: u64,
}

/// One object, or its removal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Item {
    /// Name of the object.
    pub name: Name,
    /// What it holds; `None` if it was removed.
    pub value: Option<Value>,
}

/// What an object holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Value {
    /// A version of routes and services.
    DesiredState(Box<DesiredState>),
    /// A registered upstream.
    Upstream(UpstreamEntry),
    /// A registered host.
    Host(HostEntry),
    /// An object whose name says all.
    Present,
    /// An object that cannot be used, and why.
    Unreadable(String),
}
