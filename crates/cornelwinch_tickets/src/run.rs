use std::time::{Duration, Instant};

use cornelwinch_types::{AttemptId, LegFailure, LegRequest, LegResult, Name, Refusal};

use crate::result::TicketResult;

/// Times that each replica is tried.
const ROUNDS: usize = 3;
/// Pause before the replicas are tried again; it doubles each time.
const ROUND_PAUSE: Duration = Duration::from_millis(10);
/// Longest part of the time left that is kept for the way back of a refusal.
/// Without it a leg that expires in a queue would be `Unknown`, because its
/// refusal would arrive after the deadline.
const REPLY_MARGIN: Duration = Duration::from_millis(10);

/// A started ticket: what to run, where and until when.
#[derive(Debug, Clone, PartialEq)]
pub struct TicketRunSpec {
    /// Leg to send; attempt, upstream, budget and `idempotent` are replaced.
    pub template: LegRequest,
    /// Upstreams that hold the shard, by preference.
    pub replicas: Vec<Name>,
    /// When the result is due.
    pub deadline: Instant,
}

/// What the caller of a [`TicketRun`] has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum TicketAction {
    /// Send the leg.
    Send(LegRequest),
    /// Record and report the result; the run is over.
    Finish(TicketResult),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RunState {
    /// A leg is out and may run.
    Out(AttemptId),
    /// All legs were refused; the next one is sent at this time.
    Paused(Instant),
    Finished,
}

/// Runs one started ticket over the replicas of its shard, one leg at a time.
/// Only a refused leg, which never ran, is followed by another one.
#[derive(Debug)]
pub struct TicketRun {
    spec: TicketRunSpec,
    /// Unused attempts, the next one last.
    attempts: Vec<AttemptId>,
    tries: usize,
    refused: usize,
    refusal: &'static str,
    state: RunState,
    violations: u64,
}

impl TicketRun {
    /// Sends the first leg, or finishes at once if the deadline has passed.
    /// `next_attempt` gives the identifiers for all tries.
    pub fn start(
        now: Instant,
        spec: TicketRunSpec,
        next_attempt: impl FnMut() -> AttemptId,
        out: &mut Vec<TicketAction>,
    ) -> Self {
        let mut attempts = Vec::new();
        attempts.resize_with(spec.replicas.len() * ROUNDS, next_attempt);
        attempts.reverse();
        let mut run = Self {
            spec,
            attempts,
            tries: 0,
            refused: 0,
            refusal: "no_replica",
            state: RunState::Paused(now),
            violations: 0,
        };
        run.send(now, out);
        run
    }

    /// Takes the result of a leg. Results of other attempts are ignored.
    pub fn on_leg(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: LegResult,
        out: &mut Vec<TicketAction>,
    ) {
        if self.state != RunState::Out(attempt) {
            return;
        }
        match result {
            LegResult::Answer(answer) if answer.attempt == attempt => {
                self.finish(TicketResult::done(answer), out);
            }
            LegResult::Answer(_) => self.finish(TicketResult::unknown("mismatched"), out),
            LegResult::Failed(failure) => {
                self.finish(TicketResult::unknown(failure_code(failure)), out);
            }
            LegResult::Refused(refusal) => {
                self.refused += 1;
                self.refusal = refusal_code(&refusal);
                self.state = RunState::Paused(now);
                if refusal == Refusal::Quarantined || self.attempts.is_empty() {
                    self.finish(TicketResult::not_run(self.refusal), out);
                } else if self.tries.is_multiple_of(self.spec.replicas.len()) {
                    let round = self.tries / self.spec.replicas.len();
                    self.state = RunState::Paused(now + ROUND_PAUSE * (1 << (round - 1)));
                } else {
                    self.send(now, out);
                }
            }
        }
    }

    /// Ends the run at its deadline, and sends the next leg after a pause.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<TicketAction>) {
        match self.state {
            RunState::Out(_) if now >= self.spec.deadline => {
                self.finish(TicketResult::unknown("deadline_passed"), out);
            }
            RunState::Paused(until) if now >= until.min(self.spec.deadline) => self.send(now, out),
            _ => {}
        }
    }

    /// Time of the next call of [`on_wake`](Self::on_wake).
    pub fn next_wake(&self) -> Option<Instant> {
        match self.state {
            RunState::Out(_) => Some(self.spec.deadline),
            RunState::Paused(until) => Some(until.min(self.spec.deadline)),
            RunState::Finished => None,
        }
    }

    /// Number of failed invariant checks, for a metric.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn send(&mut self, now: Instant, out: &mut Vec<TicketAction>) {
        if now >= self.spec.deadline {
            return self.finish(TicketResult::not_run("deadline_passed"), out);
        }
        // Every leg before this one must have been refused.
        if self.refused != self.tries {
            self.violations += 1;
            log::error!(
                "event=invariant_failed step=ticket_send tries={} refused={}",
                self.tries,
                self.refused,
            );
            if cfg!(debug_assertions) {
                panic!("a leg follows one that may have run: {self:?}");
            }
            return self.finish(TicketResult::unknown("invariant_failed"), out);
        }
        let Some(attempt) = self.attempts.pop() else {
            return self.finish(TicketResult::not_run(self.refusal), out);
        };
        let left = self.spec.deadline - now;
        let upstream = &self.spec.replicas[self.tries % self.spec.replicas.len()];
        self.tries += 1;
        self.state = RunState::Out(attempt);
        out.push(TicketAction::Send(LegRequest {
            attempt,
            upstream: upstream.clone(),
            budget: left - REPLY_MARGIN.min(left / 4),
            idempotent: false,
            ..self.spec.template.clone()
        }));
    }

    fn finish(&mut self, result: TicketResult, out: &mut Vec<TicketAction>) {
        self.state = RunState::Finished;
        out.push(TicketAction::Finish(result));
    }
}

fn refusal_code(refusal: &Refusal) -> &'static str {
    match refusal {
        Refusal::NotOwner { .. } => "not_owner",
        Refusal::Overloaded => "overloaded",
        Refusal::Shed => "shed",
        Refusal::DeadlinePassed => "deadline_passed",
        Refusal::Leaving => "leaving",
        Refusal::SnapshotMissing { .. } => "snapshot_missing",
        Refusal::Unreachable => "unreachable",
        Refusal::Quarantined => "quarantined",
        Refusal::Cancelled => "cancelled",
    }
}

fn failure_code(failure: LegFailure) -> &'static str {
    match failure {
        LegFailure::Disconnected => "disconnected",
        LegFailure::TimedOut => "timed_out",
        LegFailure::Cancelled => "cancelled",
        LegFailure::Mismatched => "mismatched",
        LegFailure::Upstream => "upstream_failed",
        LegFailure::OwnerLost => "owner_lost",
    }
}
