use std::cell::Cell;
use std::rc::Rc;

/// Size up to which an answer is always read. The answers of sound upstreams are mostly smaller,
/// and are so not affected by those that fill the memory.
const SMALL_ANSWER_BYTES: usize = 64 * 1024;

/// Bytes of all answers that are being read.
#[derive(Debug)]
pub(crate) struct AnswerMemory {
    used: Rc<Cell<usize>>,
    limit: usize,
}

impl AnswerMemory {
    /// Creates the count with the number of bytes that larger answers may take together.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            used: Rc::default(),
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
        self.used.get()
    }
}

/// Bytes of one answer.
#[derive(Debug)]
pub(crate) struct AnswerBytes {
    used: Rc<Cell<usize>>,
    limit: usize,
    held: usize,
}

impl AnswerBytes {
    /// Counts further bytes of the answer. Returns false if there is no room for them.
    pub(crate) fn add(&mut self, bytes: usize) -> bool {
        self.held += bytes;
        self.used.set(self.used.get() + bytes);
        self.held <= SMALL_ANSWER_BYTES || self.used.get() <= self.limit
    }
}

impl Drop for AnswerBytes {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.held);
    }
}
