use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Merges the partial answers of shards and keeps the greatest records.
///
/// ```
/// use cornelwinch_routing::TopKMerge;
///
/// let mut merge = TopKMerge::new(1);
/// merge.add(&[1; 16]);
/// merge.add(&[2; 20]); // the last four bytes are ignored
/// assert_eq!(merge.finish(), [2; 16]);
/// ```
#[derive(Debug)]
pub struct TopKMerge {
    top: usize,
    min_heap: BinaryHeap<Reverse<[u8; RECORD_BYTES]>>,
}

impl TopKMerge {
    /// Creates a merge that keeps `top` records.
    pub fn new(top: usize) -> Self {
        Self {
            top,
            min_heap: BinaryHeap::new(),
        }
    }

    /// Adds the records of one partial answer and ignores an incomplete last record.
    pub fn add(&mut self, body: &[u8]) {
        let (records, _remainder) = body.as_chunks::<RECORD_BYTES>();
        for &record in records {
            if self.min_heap.len() < self.top {
                self.min_heap.push(Reverse(record));
            } else if self.min_heap.peek().is_some_and(|least| least.0 < record) {
                self.min_heap.pop();
                self.min_heap.push(Reverse(record));
            }
        }
    }

    /// Returns the kept records, greatest first.
    pub fn finish(self) -> Vec<u8> {
        let sorted = self.min_heap.into_sorted_vec();
        sorted.into_iter().flat_map(|record| record.0).collect()
    }
}
