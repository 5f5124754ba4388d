//! SWIM membership within an availability zone and digests between zones.
//!
//! [`Membership`] is a state machine without sockets: datagrams and time go
//! in, datagrams and changes of members come out.

mod action;
mod codec;
mod config;
mod exchange;
mod leaving;
mod membership;
mod probe;
mod queue;
mod reach;
mod replay;
mod suspicion;
mod sync;
mod table;
mod zone;

pub use action::{Counters, MembershipAction};
pub use codec::MAX_DATAGRAM;
pub use config::{DatagramKey, ListedHost, MembershipConfig};
pub use membership::Membership;
