//! What became of the requests of a pattern.

use super::mix::CLASSES;

/// Requests of the burst and of the time after it, and what became of them.
#[derive(Debug, Default, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Counts {
    pub(crate) offered: usize,
    pub(crate) in_goal: usize,
    /// Requests that were refused and answered within the goal of a later attempt.
    pub(crate) returned: usize,
    pub(crate) late: usize,
    pub(crate) offered_after: usize,
    pub(crate) in_goal_after: usize,
}

impl Counts {
    pub(crate) fn add(&mut self, other: Self) {
        self.offered += other.offered;
        self.in_goal += other.in_goal;
        self.returned += other.returned;
        self.late += other.late;
        self.offered_after += other.offered_after;
        self.in_goal_after += other.in_goal_after;
    }

    /// Returns the mean value of a request of the burst to its caller: that of an answer within
    /// the goal is 1, that of a late one a tenth, and that of a return the mean of both.
    pub(crate) fn value(&self) -> f64 {
        let value = self.in_goal as f64 + 0.55 * self.returned as f64 + 0.1 * self.late as f64;
        value / self.offered as f64
    }

    /// Returns the share of the requests after the burst that were answered within the goal.
    pub(crate) fn share_after(&self) -> f64 {
        self.in_goal_after as f64 / self.offered_after as f64
    }
}

/// Counts by class of callers.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Tally {
    pub(crate) classes: [Counts; CLASSES],
}

impl Tally {
    pub(crate) fn add(&mut self, other: Self) {
        for (mine, other) in self.classes.iter_mut().zip(other.classes) {
            mine.add(other);
        }
    }

    /// Returns the counts of some classes together.
    pub(crate) fn sum(
        &self,
        classes: impl std::slice::SliceIndex<[Counts], Output = [Counts]>,
    ) -> Counts {
        let mut all = Counts::default();
        self.classes[classes]
            .iter()
            .for_each(|counts| all.add(*counts));
        all
    }

    /// Returns the mean value of a request of the burst to its caller.
    pub(crate) fn value(&self) -> f64 {
        self.sum(..).value()
    }

    /// Returns the share of the requests after the burst that were answered within the goal.
    pub(crate) fn share_after(&self) -> f64 {
        self.sum(..).share_after()
    }
}
