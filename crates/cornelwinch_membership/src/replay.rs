/// Accepted sequence numbers of one sender incarnation.
///
/// A number is accepted once; numbers more than 63 below the highest are
/// rejected.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `i` stands for `highest - i`.
    seen: u64,
}

impl ReplayWindow {
    pub(crate) fn accept(&mut self, seq: u64) -> bool {
        if seq > self.highest {
            let shift = seq - self.highest;
            self.seen = if shift < 64 { self.seen << shift } else { 0 } | 1;
            self.highest = seq;
            return true;
        }
        let back = self.highest - seq;
        if back >= 64 || self.seen >> back & 1 == 1 {
            return false;
        }
        self.seen |= 1 << back;
        true
    }
}
