use std::time::{Duration, Instant};

use cornelwinch_types::Name;

/// Time after which a fence without an answer is sent again.
const RESEND_PERIOD: Duration = Duration::from_millis(300);

/// Peers whose messages may have waited while this process was paused.
///
/// Messages carry the time that was left when they were sent, because clocks
/// are not synchronised. After a pause, one that waited in a socket would pass
/// for fresh. So each peer is asked to answer a fence, and what it sent before
/// its answer is taken for expired.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    number: u64,
    /// Peers that have not answered, by name.
    waiting: Vec<Name>,
    resend_at: Option<Instant>,
}

impl Fence {
    /// Starts a fence towards peers that are ordered by name.
    pub(crate) fn raise(&mut self, now: Instant, peers: Vec<Name>) {
        self.number += 1;
        self.waiting = peers;
        self.resend_at = Some(now);
    }

    /// Reports whether messages of the peer may be from before the pause.
    pub(crate) fn is_stale(&self, peer: &Name) -> bool {
        self.waiting.binary_search(peer).is_ok()
    }

    /// Takes a peer's answer.
    pub(crate) fn on_ack(&mut self, peer: &Name, number: u64) {
        if number != self.number {
            return;
        }
        if let Ok(i) = self.waiting.binary_search(peer) {
            self.waiting.remove(i);
        }
        if self.waiting.is_empty() {
            self.resend_at = None;
        }
    }

    /// Forgets a peer that has left.
    pub(crate) fn forget(&mut self, peer: &Name) {
        self.on_ack(peer, self.number);
    }

    /// Time of the next call of [`Fence::on_wake`].
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.resend_at
    }

    /// Number of the fence and the peers to send it to, when it is due.
    pub(crate) fn on_wake(&mut self, now: Instant) -> Option<(u64, &[Name])> {
        if self.resend_at.is_none_or(|at| at > now) {
            return None;
        }
        self.resend_at = Some(now + RESEND_PERIOD);
        Some((self.number, &self.waiting))
    }
}
