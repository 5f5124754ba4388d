use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::Bytes;

/// Size up to which an answer is always read.
const TINY_ANSWER_BYTES: usize = 8 * 1024;

/// Size up to which an answer may use the reserve. The answers of sound upstreams are mostly smaller,
/// and are so not affected by those that fill the memory.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// The limit divided by this is the reserve for small answers.
const RESERVE_DIVISOR: usize = 5;

/// Size up to which an answer is not tracked while it is written, half of the send buffer that a socket starts with.
const UNTRACKED_BYTES: usize = 8 * 1024;

/// Bytes of all answers that are being read, or are large and not written to their callers yet.
#[derive(Debug)]
pub(crate) struct AnswerMemory {
    used: Arc<AtomicUsize>,
    limit: usize,
}

impl AnswerMemory {
    /// Creates the count with the number of bytes that answers may take together.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            used: Arc::default(),
            limit,
        }
    }

    /// Starts to count an answer; its bytes are released when the guard is dropped.
    pub(crate) fn start_answer(&self) -> AnswerBytes {
        AnswerBytes {
            used: self.used.clone(),
            limit: self.limit,
            held: 0,
        }
    }

    /// Returns the bytes in use.
    pub(crate) fn used(&self) -> usize {
        self.used.load(Ordering::Relaxed)
    }
}

/// Bytes of one answer.
#[derive(Debug)]
pub(crate) struct AnswerBytes {
    used: Arc<AtomicUsize>,
    limit: usize,
    held: usize,
}

impl AnswerBytes {
    /// Keeps a large answer counted until it is written. The bound does not depend on small ones.
    pub(crate) fn keep(self, bytes: Bytes) -> Bytes {
        if self.held <= SMALL_ANSWER_BYTES {
            return bytes;
        }
        keep_until_written(bytes, self)
    }

    /// Counts further bytes of the answer. Returns false if there is no room for them.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        self.held += bytes;
        let used = self.used.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.held <= TINY_ANSWER_BYTES {
            return true;
        }
        let reserve = if self.held <= SMALL_ANSWER_BYTES {
            0
        } else {
            self.limit / RESERVE_DIVISOR
        };
        used <= self.limit - reserve
    }
}

impl Drop for AnswerBytes {
    fn drop(&mut self) {
        self.used.fetch_sub(self.held, Ordering::Relaxed);
    }
}

/// Bytes with a guard that is dropped with their last reference.
struct Guarded<G> {
    bytes: Bytes,
    _guard: G,
}

impl<G> AsRef<[u8]> for Guarded<G> {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Keeps a guard until the last reference to the bytes is dropped. The HTTP library holds one until
/// it has written them.
pub(crate) fn keep_until_written<G: Send + 'static>(bytes: Bytes, guard: G) -> Bytes {
    Bytes::from_owner(Guarded {
        bytes,
        _guard: guard,
    })
}

/// Counts the larger answers that are being written to callers.
#[derive(Debug, Default)]
pub(crate) struct AnswersInWriting(Arc<AtomicUsize>);

impl AnswersInWriting {
    /// Returns the number of answers that are not written yet.
    pub(crate) fn count(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts an answer until it is written. Small ones fit into the socket at once and are not
    /// counted.
    pub(crate) fn track(&self, bytes: Bytes) -> Bytes {
        if bytes.len() <= UNTRACKED_BYTES {
            return bytes;
        }
        self.0.fetch_add(1, Ordering::Relaxed);
        keep_until_written(bytes, WritingGuard(self.0.clone()))
    }
}

struct WritingGuard(Arc<AtomicUsize>);

impl Drop for WritingGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
