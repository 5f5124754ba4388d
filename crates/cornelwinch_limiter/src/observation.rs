use std::time::Instant;

use cornelwinch_types::{LegFailure, LegResult, Refusal, UpstreamObservation};

use crate::config::LimiterAction;
use crate::in_flight::InFlight;
use crate::limiter::Limiter;

impl Limiter {
    /// Updates the state from the observation of the upstream that came with a result.
    /// `restart_count` is the number of detected restarts when the leg was sent.
    pub(crate) fn apply_observation(
        &mut self,
        now: Instant,
        restart_count: u64,
        observation: UpstreamObservation,
        out: &mut Vec<LimiterAction>,
    ) {
        if observation.restart_id.is_some() {
            self.last_answer = now;
            self.circuit.on_answer();
        }
        // The result of a leg that was sent before the last detected restart may
        // still carry the previous restart identifier.
        if observation.restart_id.is_some()
            && restart_count == self.restart_count
            && observation.restart_id != self.restart_id
        {
            if self.restart_id.is_some() {
                self.restart_count += 1;
                self.announced_leaving_at = None;
                self.concurrency.enter_cold();
            }
            self.restart_id = observation.restart_id;
        }
        if observation.leaving {
            self.announced_leaving_at = Some(now);
            self.refuse_leaving(out);
        }
    }

    /// Updates concurrency limit and circuit breaker from the result of a leg.
    pub(crate) fn apply_result(
        &mut self,
        now: Instant,
        leg: &InFlight,
        result: &LegResult,
        observation: UpstreamObservation,
        out: &mut Vec<LimiterAction>,
    ) {
        match result {
            LegResult::Answer(_) => {
                self.last_answer = now;
                self.circuit.on_answer();
                let latency = if observation.latency.is_zero() {
                    now - leg.sent_at
                } else {
                    observation.latency
                };
                let may_grow = !self.is_restricted() && leg.restart_count == self.restart_count;
                self.concurrency.on_success(leg.epoch, latency, may_grow);
            }
            LegResult::Refused(Refusal::Shed) => {
                self.last_answer = now;
                self.circuit.on_answer();
                self.concurrency.on_shed(now, leg.epoch);
            }
            LegResult::Refused(Refusal::Leaving) => {
                self.announced_leaving_at = Some(now);
                self.refuse_leaving(out);
            }
            LegResult::Refused(Refusal::Unreachable)
            | LegResult::Failed(LegFailure::Disconnected) => {
                self.concurrency.enter_cold();
                self.on_connection_failure(now, out);
            }
            LegResult::Failed(LegFailure::TimedOut)
                if observation.restart_id.is_none() && !leg.cancelled =>
            {
                self.on_connection_failure(now, out);
            }
            _ => {}
        }
    }

    pub(crate) fn on_connection_failure(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        if self.circuit.on_failure(now) {
            self.concurrency.enter_cold();
            let waiting = self.queue.take_all();
            self.refuse(waiting, &Refusal::Unreachable, out);
        }
    }
}
