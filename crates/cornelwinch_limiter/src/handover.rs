use std::mem;
use std::time::Instant;

use crate::concurrency_limit::ConcurrencyLimit;
use crate::{HandoverState, Limiter, LimiterAction, LimiterConfig, OwnershipStart};

impl Limiter {
    /// Applies the state of the previous owner when it arrives after a start with
    /// [`OwnershipStart::Takeover`](crate::OwnershipStart::Takeover). The state is ignored if the
    /// guard interval has passed or the upstream has restarted since.
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
        self.takeover_delay_until = None;
        self.inherited = state.in_flight;
        self.inherited_until = (state.in_flight > 0).then(|| now + self.cfg.guard_interval);
        self.restart_id = self.restart_id.or(state.restart_id);
        if state.warm {
            self.concurrency = ConcurrencyLimit::new(&self.cfg, Some(state.limit));
        }
        self.dispatch(now, out);
        self.check(now);
    }

    /// Resumes ownership after [`drain`](Self::drain), or continues it with changed
    /// limits. Legs that are queued or in flight are kept.
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
        next.restart_count = self.restart_count;
        next.confirmed = self.confirmed;
        next.marked_leaving = self.marked_leaving;
        next.announced_leaving_at = self.announced_leaving_at;
        next.submitted = self.submitted;
        next.replied = self.replied;
        next.violations = self.violations;
        *self = next;
        self.dispatch(now, out);
        self.check(now);
    }

    /// Returns the state to pass to [`resume`](Self::resume) when only the limits
    /// change. Legs of this owner are not counted, because the limiter keeps them.
    pub fn resume_state(&self) -> HandoverState {
        HandoverState {
            limit: self.limit(),
            warm: !self.is_cold(),
            in_flight: self.inherited,
            restart_id: self.restart_id,
        }
    }
}
