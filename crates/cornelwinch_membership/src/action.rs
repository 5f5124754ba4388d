use std::net::SocketAddr;

use cornelwinch_types::{Member, Name, Revision};

/// What the caller has to do for the state machine, or should know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a datagram.
    Send {
        /// Receiver.
        to: SocketAddr,
        /// Contents, at most [`crate::MAX_DATAGRAM`] bytes.
        buf: Vec<u8>,
    },
    /// A member joined or changed.
    Changed(Member),
    /// A peer's configuration revision changed or is higher than the own.
    PeerRevision {
        /// Name of the peer.
        from: Name,
        /// Revision that it has in force.
        revision: Revision,
    },
    /// Another zone became unreachable or reachable; its members keep their
    /// states.
    ZoneReachable {
        /// Name of the zone.
        zone: Name,
        /// A host of the own zone has heard from the zone.
        reachable: bool,
    },
}

/// Totals since the start, for metrics.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Counters {
    /// Datagrams sent.
    pub sent: u64,
    /// Datagrams received, rejected ones included.
    pub received: u64,
    /// Datagrams without a valid authentication code or that cannot be decoded.
    pub rejected: u64,
    /// Datagrams received again, too late, or from an earlier incarnation.
    pub replayed: u64,
    /// Hosts that this host suspected.
    pub suspicions: u64,
    /// Suspicions of this host that it refuted.
    pub refutations: u64,
    /// Hosts that this host declared dead.
    pub deaths: u64,
    /// Requests for records because of differing digests.
    pub pulls: u64,
}
