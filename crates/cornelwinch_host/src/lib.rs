//! The composed state machine of an entry host.
//!
//! [`Host`] takes one [`Input`] at a time and gives the [`Action`]s that its
//! driver carries out. It has no sockets, threads or clock, so that a test can
//! drive it on virtual time.

mod action;
mod claiming;
mod configuration;
mod fence;
mod host;
mod input;
mod legs;
mod message;
mod owners;
mod pause;
mod peers;
mod queries;
mod request;
mod router;
mod running;
mod shutdown;
mod silence;
mod spread;
mod status;
mod sync;
mod ticketing;

pub use action::{Action, PlatformCall, RequestLabel};
pub use host::{Host, HostConfig, Routing};
pub use input::{Input, PlatformEvent};
pub use message::{
    ConfigUpdate, LegBatch, LegDone, LegItem, LegRef, PeerMessage, QuarantineMark, Relay,
    RelaySpan, RunRequest,
};
pub use owners::OwnedStatus;
pub use request::{
    CallerAnswer, CallerRequest, ClaimRequest, QueryRequest, Rejection, TicketRequest,
};
pub use running::RunId;
pub use status::HostStatus;
