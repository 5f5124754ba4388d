use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

/// Silence of an owner that has legs to answer, after which its legs are sent
/// elsewhere. Membership takes seconds to declare a host dead, and queries have
/// 340 ms; a healthy owner answers some leg within a few service times.
const SILENCE_LIMIT: Duration = Duration::from_millis(100);

/// Unanswered legs from which silence says something about the owner; fewer
/// may be stragglers of their upstreams.
const SILENCE_LEGS: usize = 3;

/// Time between two legs that find out whether a silent owner is back.
const PROBE_PERIOD: Duration = Duration::from_millis(200);

#[derive(Debug)]
struct OwnerState {
    outstanding: usize,
    /// Last result, or the first leg sent after there was none outstanding.
    active: Instant,
    silent: bool,
    next_probe: Instant,
}

/// Owners that have legs of this host, and whether they answer.
#[derive(Debug, Default)]
pub(crate) struct OwnerActivity {
    owners: SortedMap<Name, OwnerState>,
}

impl OwnerActivity {
    /// Legs without a result at an owner.
    pub(crate) fn outstanding(&self, owner: &str) -> usize {
        self.owners.get(owner).map_or(0, |state| state.outstanding)
    }

    /// Decides whether a leg may be sent to an owner. A silent one gets a
    /// single leg from time to time.
    pub(crate) fn may_send(&mut self, now: Instant, owner: &str) -> bool {
        match self.owners.get_mut(owner) {
            Some(state) if state.silent => {
                let due = state.next_probe <= now;
                if due {
                    state.next_probe = now + PROBE_PERIOD;
                }
                due
            }
            _ => true,
        }
    }

    pub(crate) fn on_sent(&mut self, now: Instant, owner: &Name) {
        let state = self
            .owners
            .get_or_insert_with(owner.clone(), || OwnerState {
                outstanding: 0,
                active: now,
                silent: false,
                next_probe: now,
            });
        if state.outstanding == 0 {
            state.active = now;
        }
        state.outstanding += 1;
    }

    /// A leg at the owner has ended, for whatever reason.
    pub(crate) fn on_ended(&mut self, owner: &str) {
        if let Some(state) = self.owners.get_mut(owner) {
            state.outstanding = state.outstanding.saturating_sub(1);
        }
    }

    /// The owner sent something.
    pub(crate) fn on_heard(&mut self, now: Instant, owner: &str) {
        if let Some(state) = self.owners.get_mut(owner) {
            state.active = now;
            state.silent = false;
        }
    }

    /// Forgets an owner that has left.
    pub(crate) fn forget(&mut self, owner: &str) {
        self.owners.remove(owner);
    }

    /// Owners that have just become silent.
    pub(crate) fn take_silent(&mut self, now: Instant) -> Vec<Name> {
        let mut silent = Vec::new();
        for (name, state) in self.owners.iter_mut() {
            let overdue = state.outstanding >= SILENCE_LEGS
                && now.saturating_duration_since(state.active) >= SILENCE_LIMIT;
            if overdue && !state.silent {
                state.silent = true;
                state.next_probe = now + PROBE_PERIOD;
                silent.push(name.clone());
            }
        }
        silent
    }

    /// Earliest time at which an owner may become silent.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.owners
            .values()
            .filter(|state| !state.silent && state.outstanding >= SILENCE_LEGS)
            .map(|state| state.active + SILENCE_LIMIT)
            .min()
    }
}
