use std::mem;
use std::time::Instant;

use crate::ramp::Ramp;
use crate::{HandoverState, Limiter, LimiterAction, LimiterConfig, OwnershipStart};

impl Limiter {
    /// Takes the previous owner's state after a start as
    /// [`OwnershipStart::Takeover`](crate::OwnershipStart::Takeover). It is ignored if the guard
    /// interval has passed or the upstream has restarted since.
    pub fn on_handover(
        &mut self,
        now: Instant,
        state: HandoverState,
        out: &mut Vec<LimiterAction>,
    ) {
        let restarted = matches!((self.restart_id, state.restart_id), (Some(a), Some(b)) if a != b);
        if self.guard_until.is_none_or(|until| until <= now) || restarted {
            return;
        }
        self.guard_until = None;
        self.settle_until = None;
        self.inherited = state.in_flight;
        self.inherited_until = (state.in_flight > 0).then(|| now + self.cfg.guard_interval);
        self.restart_id = self.restart_id.or(state.restart_id);
        if state.warm {
            self.ramp = Ramp::open(&self.cfg, Some(state.limit));
        }
        self.pump(now, out);
        self.check(now);
    }

    /// Owns the upstream again after [`drain`](Self::drain), or with changed
    /// limits. Legs that wait or are in flight stay.
    pub fn resume(
        &mut self,
        now: Instant,
        cfg: LimiterConfig,
        start: OwnershipStart,
        out: &mut Vec<LimiterAction>,
    ) {
        let mut next = Self::new(now, cfg, start);
        next.in_flight = mem::take(&mut self.in_flight);
        next.queue = mem::take(&mut self.queue);
        next.restart_id = next.restart_id.or(self.restart_id);
        next.run = self.run;
        next.confirmed = self.confirmed;
        next.marked_leaving = self.marked_leaving;
        next.said_leaving = self.said_leaving;
        next.submitted = self.submitted;
        next.replied = self.replied;
        next.violations = self.violations;
        *self = next;
        self.pump(now, out);
        self.check(now);
    }

    /// State for [`resume`](Self::resume) with changed limits: the legs of this
    /// owner are not counted, because they stay with it.
    pub fn resume_state(&self) -> HandoverState {
        HandoverState {
            limit: self.limit(),
            warm: !self.is_cold(),
            in_flight: self.inherited,
            restart_id: self.restart_id,
        }
    }
}
