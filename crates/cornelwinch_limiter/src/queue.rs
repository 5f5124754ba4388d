use std::collections::VecDeque;
use std::time::Instant;

use cornelwinch_types::{AttemptId, LegRequest, Name};

/// A submitted leg that has not been replied to.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) req: LegRequest,
    pub(crate) from: Name,
    pub(crate) deadline: Instant,
}

/// One execution at the upstream and the legs that it answers. Only identical legs
/// share an execution.
#[derive(Debug)]
pub(crate) struct Execution {
    pub(crate) waiters: Vec<Waiter>,
    sequence: u64,
}

impl Execution {
    /// Sort key in the queue: priority and deadline of the most urgent waiter,
    /// then the order of arrival.
    fn sort_key(&self) -> (u8, Option<Instant>, u64) {
        let urgent = self
            .waiters
            .iter()
            .map(|w| (w.req.priority, w.deadline))
            .min();
        let (priority, deadline) = urgent.map_or((u8::MAX, None), |(p, d)| (p, Some(d)));
        (priority, deadline, self.sequence)
    }

    /// Reports whether a leg is identical to the legs of this execution and may
    /// share it.
    fn can_share(&self, req: &LegRequest) -> bool {
        self.waiters.first().is_some_and(|w| {
            let own = &w.req;
            own.idempotent
                && req.idempotent
                && own.fingerprint == req.fingerprint
                && own.search == req.search
                && own.snapshot == req.snapshot
                && own.range == req.range
                && own.body == req.body
        })
    }
}

/// Queued legs, sorted by priority and then by deadline.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    executions: VecDeque<Execution>,
    sequence: u64,
    legs: usize,
}

impl Queue {
    /// Returns the number of queued legs.
    pub(crate) fn legs(&self) -> usize {
        self.legs
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.executions.is_empty()
    }

    /// Adds a leg. If `share_identical` is set and an identical leg is queued, both
    /// share one execution.
    pub(crate) fn insert(&mut self, waiter: Waiter, share_identical: bool) {
        self.legs += 1;
        let identical = if share_identical {
            self.executions
                .iter()
                .position(|e| e.can_share(&waiter.req))
        } else {
            None
        };
        let execution = match identical.and_then(|i| self.executions.remove(i)) {
            Some(mut execution) => {
                execution.waiters.push(waiter);
                execution
            }
            None => {
                self.sequence += 1;
                Execution {
                    waiters: vec![waiter],
                    sequence: self.sequence,
                }
            }
        };
        self.insert_sorted(execution);
    }

    /// Returns the priority of the next execution.
    pub(crate) fn next_priority(&self) -> Option<u8> {
        self.executions
            .front()
            .map(|execution| execution.sort_key().0)
    }

    pub(crate) fn pop(&mut self) -> Option<Execution> {
        let execution = self.executions.pop_front()?;
        self.legs -= execution.waiters.len();
        Some(execution)
    }

    /// Removes the leg of an attempt.
    pub(crate) fn remove(&mut self, attempt: AttemptId) -> Option<Waiter> {
        let find = |e: &Execution| e.waiters.iter().position(|w| w.req.attempt == attempt);
        let (i, j) = self
            .executions
            .iter()
            .enumerate()
            .find_map(|(i, e)| Some((i, find(e)?)))?;
        let mut execution = self.executions.remove(i)?;
        let waiter = execution.waiters.remove(j);
        self.legs -= 1;
        if !execution.waiters.is_empty() {
            self.insert_sorted(execution);
        }
        Some(waiter)
    }

    /// Removes the leg with the lowest priority; among equals, the one with the
    /// latest deadline.
    pub(crate) fn remove_least_urgent(&mut self) -> Option<Waiter> {
        let worst = self
            .waiters()
            .max_by_key(|w| (w.req.priority, w.deadline))?;
        self.remove(worst.req.attempt)
    }

    /// Removes the legs for which `late` returns true. Its arguments are the
    /// position of the execution in the queue and the deadline of the leg.
    pub(crate) fn remove_late(&mut self, late: impl Fn(usize, Instant) -> bool) -> Vec<Waiter> {
        let mut position = 0;
        let mut attempts = Vec::new();
        for execution in &self.executions {
            let before = attempts.len();
            let is_late = |w: &&Waiter| late(position, w.deadline);
            attempts.extend(
                execution
                    .waiters
                    .iter()
                    .filter(is_late)
                    .map(|w| w.req.attempt),
            );
            // An execution that is removed does not delay those after it.
            if attempts.len() - before < execution.waiters.len() {
                position += 1;
            }
        }
        attempts
            .into_iter()
            .filter_map(|a| self.remove(a))
            .collect()
    }

    pub(crate) fn take_all(&mut self) -> Vec<Waiter> {
        self.legs = 0;
        self.executions.drain(..).flat_map(|e| e.waiters).collect()
    }

    pub(crate) fn waiters(&self) -> impl Iterator<Item = &Waiter> {
        self.executions.iter().flat_map(|e| &e.waiters)
    }

    fn insert_sorted(&mut self, execution: Execution) {
        let key = execution.sort_key();
        let i = self.executions.partition_point(|e| e.sort_key() < key);
        self.executions.insert(i, execution);
    }
}
