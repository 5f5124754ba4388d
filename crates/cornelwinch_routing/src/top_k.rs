use std::cmp::Reverse;
use std::collections::BinaryHeap;

/// Length of a record in bytes.
pub const RECORD_BYTES: usize = 16;

/// Keeps the greatest records of the parts of one answer.
///
/// ```
/// use cornelwinch_routing::TopKMerge;
///
/// let mut merge = TopKMerge::new(1);
/// merge.add(&[1; 16]);
/// merge.add(&[2; 20]); // the last four bytes are no record
/// assert_eq!(merge.finish(), [2; 16]);
/// ```
#[derive(Debug)]
pub struct TopKMerge {
    top: usize,
    least_first: BinaryHeap<Reverse<[u8; RECORD_BYTES]>>,
}

impl TopKMerge {
    /// Makes a merge that keeps `top` records.
    pub fn new(top: usize) -> Self {
        Self {
            top,
            least_first: BinaryHeap::new(),
        }
    }

    /// Adds the records of a part; a shorter remainder is no record.
    pub fn add(&mut self, body: &[u8]) {
        let (records, _remainder) = body.as_chunks::<RECORD_BYTES>();
        for &record in records {
            if self.least_first.len() < self.top {
                self.least_first.push(Reverse(record));
            } else if self
                .least_first
                .peek()
                .is_some_and(|least| least.0 < record)
            {
                self.least_first.pop();
                self.least_first.push(Reverse(record));
            }
        }
    }

    /// Returns the records, greatest first.
    pub fn finish(self) -> Vec<u8> {
        let sorted = self.least_first.into_sorted_vec();
        sorted.into_iter().flat_map(|record| record.0).collect()
    }
}
