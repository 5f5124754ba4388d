use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, Name};

/// State of a host in the member table. Of two states with equal incarnation the
/// later variant takes precedence.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The host answers probes.
    Alive,
    /// The host missed probes but is not yet declared dead.
    Suspect,
    /// The host announced its shutdown, or the platform or an operator marked it as
    /// leaving.
    Leaving,
    /// The host was declared dead after suspicion, or it left.
    Dead,
}

/// Entry of a host in the member table.
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
    /// Current state.
    pub state: MemberState,
}

impl Member {
    /// Reports whether the host may own upstreams: it is alive or suspect, and
    /// not leaving.
    pub fn can_own(&self) -> bool {
        matches!(self.state, MemberState::Alive | MemberState::Suspect)
    }
}
