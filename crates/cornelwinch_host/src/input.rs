use std::net::SocketAddr;

use cornelwinch_config::Entry;
use cornelwinch_membership::ListedHost;
use cornelwinch_tickets::BucketReply;
use cornelwinch_types::{AttemptId, LegResult, Name, Revision, UpstreamObservation};

use crate::{CallerRequest, PeerMessage};

/// What happens to a host.
#[derive(Debug)]
pub enum Input {
    /// A caller's request; `caller` is answered by [`Action::Reply`](crate::Action::Reply).
    Caller {
        /// Number chosen by the adapter.
        caller: u64,
        /// The request.
        request: CallerRequest,
    },
    /// The caller disconnected before it was answered.
    CallerGone {
        /// Number of the caller.
        caller: u64,
    },
    /// A message from an authenticated peer.
    Peer {
        /// Name of the peer.
        from: Name,
        /// The message.
        msg: PeerMessage,
    },
    /// The connection to a peer failed.
    PeerDown {
        /// Name of the peer.
        peer: Name,
        /// Messages that certainly did not leave.
        unsent: Vec<PeerMessage>,
    },
    /// An attempt at an upstream has ended.
    Upstream {
        /// Name of the upstream.
        upstream: Name,
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        result: LegResult,
        /// What the exchange showed.
        signs: UpstreamObservation,
    },
    /// A leaving upstream answered a health probe.
    UpstreamHealth {
        /// Name of the upstream.
        upstream: Name,
        /// Whether it still says that it is leaving.
        leaving: bool,
    },
    /// An answer of the platform.
    Platform(PlatformEvent),
    /// A membership datagram.
    Datagram {
        /// Source address.
        from: SocketAddr,
        /// Contents.
        buf: Vec<u8>,
    },
    /// The process was asked to stop.
    Shutdown,
}

/// Answer to a [`PlatformCall`](crate::PlatformCall).
#[derive(Debug)]
pub enum PlatformEvent {
    /// Configuration entries after a revision, from a list or a watch.
    Changes {
        /// Entries by ascending revision.
        entries: Vec<Entry>,
        /// Revision that is complete with them.
        through: Revision,
    },
    /// A list or a watch failed.
    ChangesFailed,
    /// The platform's host list.
    Hosts {
        /// Entry hosts.
        hosts: Vec<ListedHost>,
        /// Upstreams that the platform marks as leaving, by name.
        leaving_upstreams: Vec<Name>,
    },
    /// The host list could not be read.
    HostsFailed,
    /// Outcome of a read or write of a bucket of claims.
    Claims {
        /// Number of the bucket.
        bucket: u32,
        /// The outcome.
        reply: BucketReply,
    },
}
