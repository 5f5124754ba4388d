//! The composed state machine of an entry host.
//!
//! [`Host`] takes one [`Input`] at a time and gives the [`Action`]s that its
//! driver carries out. It has no sockets, threads or clock, so that a test can
//! drive it on virtual time.

mod action;
mod configuration;
mod host;
mod input;
mod message;
mod owners;
mod queries;
mod request;
mod router;
mod shutdown;
mod spread;
mod status;
mod sync;
mod ticketing;

pub use action::{Action, PlatformCall, RequestLabel};
pub use host::{Host, HostConfig, Routing};
pub use input::{Input, PlatformEvent};
pub use message::{
    ConfigUpdate, LegBatch, LegDone, LegItem, LegRef, PeerMessage, QuarantineMark, Relay,
    RelaySpan, RunTicket,
};
pub use owners::OwnedStatus;
pub use request::{CallerAnswer, CallerRequest, QueryRequest, Rejection, TicketRequest};
pub use status::HostStatus;
