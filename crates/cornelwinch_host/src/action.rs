use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch_config::UpstreamSpec;
use cornelwinch_tickets::ClaimBucket;
use cornelwinch_types::{AttemptId, LegRequest, Name, Revision};

use crate::{CallerAnswer, PeerMessage};

/// What the driver of a host has to do.
#[derive(Debug)]
pub enum Action {
    /// Answer a caller.
    Reply {
        /// Number of the caller.
        caller: u64,
        /// Class and organisation, for metrics.
        label: RequestLabel,
        /// The answer.
        answer: CallerAnswer,
    },
    /// Send a message to a peer.
    SendPeer {
        /// Name of the peer.
        to: Name,
        /// Address of the peer.
        addr: SocketAddr,
        /// The message.
        msg: PeerMessage,
    },
    /// Close the connection to a peer that has left.
    DisconnectPeer {
        /// Name of the peer.
        peer: Name,
    },
    /// Send a membership datagram.
    SendDatagram {
        /// Destination address.
        to: SocketAddr,
        /// Contents.
        buf: Vec<u8>,
    },
    /// This host owns the upstream from now on, or its limits have changed.
    OpenUpstream {
        /// Name of the upstream.
        upstream: Name,
        /// Address and limits.
        spec: UpstreamSpec,
    },
    /// This host no longer owns the upstream and has no leg in flight there.
    CloseUpstream {
        /// Name of the upstream.
        upstream: Name,
    },
    /// Send a leg to an upstream that is open.
    SendUpstream(LegRequest),
    /// Cancel a leg at an upstream.
    CancelUpstream {
        /// Name of the upstream.
        upstream: Name,
        /// The attempt.
        attempt: AttemptId,
    },
    /// Ask an upstream whether it is still leaving.
    ProbeUpstream {
        /// Name of the upstream.
        upstream: Name,
    },
    /// Call the platform.
    Platform(PlatformCall),
    /// All work is done; the process may end.
    Exit,
}

/// Class and organisation of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RequestLabel {
    /// Traffic class; empty before it is known.
    pub class: Name,
    /// Organisation; empty before it is known.
    pub organisation: Name,
}

impl RequestLabel {
    /// Label of a request whose class and organisation are not known.
    pub fn none() -> Self {
        Self {
            class: "".into(),
            organisation: "".into(),
        }
    }
}

/// A call to the platform; at most one of each kind, and of each bucket, is
/// outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PlatformCall {
    /// List the configuration entries after a revision.
    List {
        /// Revision that is held.
        after: Revision,
    },
    /// Wait for configuration entries after a revision.
    Watch {
        /// Revision that is held.
        after: Revision,
        /// Longest wait; the call fails without an answer a second later.
        wait: Duration,
    },
    /// Read the list of hosts.
    Hosts,
    /// Read a bucket of claims.
    ReadClaims {
        /// Number of the bucket.
        bucket: u32,
    },
    /// Write a bucket of claims if it still has this version.
    WriteClaims {
        /// Number of the bucket.
        bucket: u32,
        /// Expected version; 0 if the object must not exist.
        version: u64,
        /// New value.
        value: ClaimBucket,
    },
}
