use std::time::Instant;

use cornelwinch_types::{LegFailure, LegResult, Refusal, UpstreamObservation};

use crate::config::LimiterAction;
use crate::in_flight::InFlight;
use crate::limiter::Limiter;

impl Limiter {
    /// Learns from the signs of an exchange with the upstream's `run`.
    pub(crate) fn observe(
        &mut self,
        now: Instant,
        run: u64,
        signs: UpstreamObservation,
        out: &mut Vec<LimiterAction>,
    ) {
        if signs.restart_id.is_some() {
            self.last_answer = now;
            self.circuit.on_answer();
        }
        // A leg sent before the last restart was noticed may still carry the
        // identifier of the run before it.
        if signs.restart_id.is_some() && run == self.run && signs.restart_id != self.restart_id {
            if self.restart_id.is_some() {
                self.run += 1;
                self.said_leaving = None;
                self.ramp.enter_cold();
            }
            self.restart_id = signs.restart_id;
        }
        if signs.leaving {
            self.said_leaving = Some(now);
            self.refuse_leaving(out);
        }
    }

    /// Learns from the result of a leg.
    pub(crate) fn learn(
        &mut self,
        now: Instant,
        leg: &InFlight,
        result: &LegResult,
        signs: UpstreamObservation,
        out: &mut Vec<LimiterAction>,
    ) {
        match result {
            LegResult::Answer(_) => {
                self.last_answer = now;
                self.circuit.on_answer();
                let latency = if signs.latency.is_zero() {
                    now - leg.sent_at
                } else {
                    signs.latency
                };
                let may_grow = !self.is_held() && leg.run == self.run;
                self.ramp.on_success(leg.epoch, latency, may_grow);
            }
            LegResult::Refused(Refusal::Shed) => {
                self.last_answer = now;
                self.circuit.on_answer();
                self.ramp.on_shed(now, leg.epoch);
            }
            LegResult::Refused(Refusal::Leaving) => {
                self.said_leaving = Some(now);
                self.refuse_leaving(out);
            }
            LegResult::Refused(Refusal::Unreachable)
            | LegResult::Failed(LegFailure::Disconnected) => {
                self.ramp.enter_cold();
                self.on_connection_failure(now, out);
            }
            LegResult::Failed(LegFailure::TimedOut)
                if signs.restart_id.is_none() && !leg.cancelled =>
            {
                self.on_connection_failure(now, out);
            }
            _ => {}
        }
    }

    pub(crate) fn on_connection_failure(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        if self.circuit.on_failure(now) {
            self.ramp.enter_cold();
            let waiting = self.queue.take_all();
            self.refuse(waiting, &Refusal::Unreachable, out);
        }
    }
}
