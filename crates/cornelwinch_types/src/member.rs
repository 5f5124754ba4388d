use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Name};

/// State of a host in the member table, in order of precedence at equal
/// incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers probes.
    Alive,
    /// Missed probes; not yet declared dead.
    Suspect,
    /// Announced its shutdown, or the platform or an operator marked it.
    Leaving,
    /// Declared dead after suspicion, or left.
    Dead,
}

/// A host as the member table holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the host.
    pub name: Name,
    /// Availability zone of the host.
    pub zone: Name,
    /// Incarnation of the host's process.
    pub incarnation: Incarnation,
    /// TCP address for peer connections.
    pub peer: SocketAddr,
    /// UDP address for membership datagrams.
    pub gossip: SocketAddr,
    /// Present state.
    pub state: MemberState,
}

impl Member {
    /// Reports whether the host may own upstreams: it is alive or suspect, and
    /// not leaving.
    pub fn can_own(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
