use std::time::Duration;

use cornelwinch_routing::{
    CrashReport, DesiredState, HostEntry, RequestFingerprint, RolloutOrder, RolloutState,
    UpstreamEntry,
};
use cornelwinch_types::Name;
use hyper::header::HeaderName;
use serde::{Deserialize, Serialize};

/// Header names and store API of a platform. It holds data and pure functions only; all decisions
/// are made by the relay.
#[derive(Debug, Clone)]
pub struct Dialect {
    /// Names of the headers that callers, hosts and upstreams exchange.
    pub headers: HeaderNames,
    /// Paths, requests and decoders of the platform's store.
    pub store: StoreApi,
    /// Returns the key in the value of the header [`HeaderNames::key`], or `None` if it holds
    /// none.
    pub caller_key: for<'a> fn(value: &'a [u8]) -> Option<&'a [u8]>,
}

/// Names of the headers that callers, hosts and upstreams exchange.
#[derive(Debug, Clone)]
pub struct HeaderNames {
    /// Identifies one attempt of a caller.
    pub request_id: HeaderName,
    /// Time for which the sender waits for the answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// Name of the only upstream that may run the request.
    pub target_instance: HeaderName,
    /// Stamp that proves which upstream created the answer.
    pub server_stamp: HeaderName,
    /// Set by an upstream that did not run the request and never will.
    pub not_executed: HeaderName,
    /// Set to `1` by an upstream that leaves, in all its answers.
    pub leaving: HeaderName,
    /// Stamps of the parts of a gathered answer, one header value for each part.
    pub part_stamps: HeaderName,
    /// Number of shards that are missing from a gathered answer.
    pub missing_parts: HeaderName,
    /// Time for which an upstream stays cold, in milliseconds.
    pub cold_ms: HeaderName,
    /// Carries the key of a caller.
    pub key: HeaderName,
    /// Name of the organisation on whose behalf an upstream runs the request.
    pub organisation: HeaderName,
}

/// Kinds of objects in the platform's store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ObjectKind {
    /// The version of routes and services in force.
    DesiredState,
    /// The registered upstreams.
    Upstreams,
    /// The availability zones that are evacuated.
    Evacuations,
    /// The registered hosts. This kind is defined by this project, not by the platform.
    Hosts,
    /// The orders to move a service to another version.
    Rollouts,
    /// The requests that crash upstreams. This kind is defined by this project too.
    Marks,
}

/// Paths, requests and decoders of the platform's store.
#[derive(Debug, Clone, Copy)]
pub struct StoreApi {
    /// Returns the path that lists the objects of a kind whose names follow `after`. `stale`
    /// accepts data that is some seconds old, which costs less.
    pub list_path: fn(kind: ObjectKind, after: Option<&str>, stale: bool) -> String,
    /// Returns the path that waits for changes after a revision.
    pub watch_path: fn(kind: ObjectKind, revision: u64, wait: Duration) -> String,
    /// Returns the request that registers this host.
    pub register_host: fn(host: &HostEntry) -> WriteRequest,
    /// Returns the request that replaces the entry of this host.
    pub replace_host: fn(host: &HostEntry) -> WriteRequest,
    /// Returns the path that reads the entry of a host.
    pub host_path: fn(host: &Name) -> String,
    /// Decodes the entry of a host, with its revision.
    pub decode_host: fn(body: &[u8]) -> Result<RegisteredHost, String>,
    /// Returns the request that removes the entry of a host if it still has a revision.
    pub remove_host: fn(host: &Name, revision: u64) -> WriteRequest,
    /// Returns the request that writes the state of an order under its revision.
    pub write_rollout: fn(order: &RolloutOrder, state: RolloutState) -> WriteRequest,
    /// Returns the request that creates the mark of a request that crashes upstreams.
    pub create_mark: fn(mark: &CrashReport) -> WriteRequest,
    /// Returns the request that replaces such a mark.
    pub replace_mark: fn(mark: &CrashReport) -> WriteRequest,
    /// Returns the request that removes such a mark.
    pub remove_mark: fn(fingerprint: RequestFingerprint) -> WriteRequest,
    /// Decodes one page of a list.
    pub decode_page: fn(kind: ObjectKind, body: &[u8]) -> Result<ObjectPage, String>,
    /// Decodes the changes that a watch returns; `next` of the returned page is `None`.
    pub decode_events: fn(kind: ObjectKind, body: &[u8]) -> Result<ObjectPage, String>,
}

/// The entry of a host as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegisteredHost {
    /// The entry.
    pub entry: HostEntry,
    /// Revision of its last change.
    pub revision: u64,
}

/// An HTTP request that changes the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WriteRequest {
    /// HTTP method of the request.
    pub method: hyper::Method,
    /// Path and query of the request.
    pub path: String,
    /// Body of the request, encoded as JSON.
    pub body: Vec<u8>,
}

/// The objects in one answer of the store: a page of a list, or the changes of a watch.
#[derive(Debug, Clone, PartialEq)]
pub struct ObjectPage {
    /// Listed or changed objects, in the order of the store.
    pub items: Vec<StoreObject>,
    /// Parts of the answer that could not be decoded and belong to no item.
    pub problems: Vec<ObjectProblem>,
    /// Name after which the next page of the list starts; `None` on the last page.
    pub next: Option<String>,
    /// Revision after which a watch continues.
    pub revision: u64,
}

/// A part of an answer of the store that could not be decoded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ObjectProblem {
    /// Name of the object, or what is known instead.
    pub object: String,
    /// Revision of the object's last change, if it could be decoded.
    pub revision: Option<u64>,
    /// Description of the problem.
    pub reason: String,
}

/// An object of the store, or the removal of one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoreObject {
    /// Name of the object.
    pub name: Name,
    /// Decoded contents of the object; `None` if it was removed.
    pub value: Option<ObjectValue>,
}

/// Decoded contents of an object.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum ObjectValue {
    /// A version of routes and services.
    DesiredState(Box<DesiredState>),
    /// A registered upstream.
    Upstream(UpstreamEntry),
    /// A registered host.
    Host(HostEntry),
    /// An order to move a service to another version.
    Rollout(RolloutOrder),
    /// A request that crashes upstreams.
    Mark(CrashReport),
    /// An object that carries no data beyond its name, such as an evacuated zone.
    Present,
    /// An object that could not be decoded, with the reason.
    Unreadable(String),
}
