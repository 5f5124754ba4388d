//! Authenticated message transport between hosts.
//!
//! Each host sends on connections that it opened itself and receives on those
//! that its peers opened. A message is one binary WebSocket message in CBOR.

mod codec;
mod error;
mod handshake;
mod inbound;
mod outbound;
mod secret;
mod traffic;
mod transport;

pub use codec::{decode, encode};
pub use error::PeerError;
pub use secret::Secret;
pub use traffic::{Traffic, TrafficCounts};
pub use transport::{PeerConfig, PeerEvent, PeerTransport, bind};
