use std::sync::atomic::{AtomicU64, Ordering};

/// Bytes exchanged since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Traffic {
    /// Bytes of messages sent.
    pub sent: u64,
    /// Bytes of messages received.
    pub received: u64,
}

/// Counters of [`Traffic`] that several threads add to.
#[derive(Debug, Default)]
pub struct TrafficCounts {
    sent: AtomicU64,
    received: AtomicU64,
}

impl TrafficCounts {
    /// Counts the bytes of a message sent.
    pub fn add_sent(&self, bytes: usize) {
        self.sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts the bytes of a message received.
    pub fn add_received(&self, bytes: usize) {
        self.received.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The bytes counted so far.
    pub fn read(&self) -> Traffic {
        Traffic {
            sent: self.sent.load(Ordering::Relaxed),
            received: self.received.load(Ordering::Relaxed),
        }
    }
}
