use std::time::Duration;

use cornelwinch_types::{AttemptId, LegRequest, LegResult, Name};
use serde::{Deserialize, Serialize};

/// Limits of one upstream and how its owner applies them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimiterConfig {
    /// Legs that the upstream runs at once when warm.
    pub slots: usize,
    /// Legs that the upstream runs at once in a cold start.
    pub cold_limit: usize,
    /// Time after which legs of a previous owner are no longer expected at the
    /// upstream.
    pub guard_interval: Duration,
    /// Legs that may wait.
    pub queue_limit: usize,
    /// Time after a takeover during which nothing is sent.
    pub takeover_delay: Duration,
    /// Successful legs at the cold limit before the limit may grow. The
    /// stand-ins need 50 legs to get warm; with 16, each upstream of a returning
    /// zone fell over twice.
    pub warm_after_successes: usize,
    /// Runs identical idempotent legs that wait in the queue once. Off, each
    /// leg runs by itself. The example `shared_legs` measures the difference.
    pub share_identical: bool,
}

impl Default for LimiterConfig {
    fn default() -> Self {
        Self {
            slots: 2,
            cold_limit: 1,
            guard_interval: Duration::from_secs(1),
            queue_limit: 128,
            takeover_delay: Duration::ZERO,
            warm_after_successes: 64,
            share_identical: true,
        }
    }
}

/// State that the previous owner of an upstream hands over.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Legs that the previous owner allowed in flight.
    pub limit: usize,
    /// False if the upstream was in a cold start or held to the cold limit;
    /// the next owner then keeps the cold limit until its guard has passed.
    pub warm: bool,
    /// Legs that the previous owner, or the owners before it, still have in
    /// flight.
    pub in_flight: usize,
    /// Identifier of the upstream's run that the previous owner saw last.
    pub restart_id: Option<u64>,
}

/// What is known about an upstream when its owner starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipStart {
    /// The upstream had no owner.
    Cold,
    /// The previous owner was lost; its legs may still be in flight.
    Takeover,
    /// The previous owner handed over.
    Handover(HandoverState),
}

/// What the caller of a [`Limiter`](crate::Limiter) has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum LimiterAction {
    /// Send the leg to the upstream.
    Send(LegRequest),
    /// Send the result of a submitted leg to the host it came from.
    Reply {
        /// The submitted attempt.
        attempt: AttemptId,
        /// Host that submitted it.
        from: Name,
        /// Its final result.
        result: LegResult,
    },
    /// Cancel a leg that was sent to the upstream.
    Cancel {
        /// The attempt that was sent.
        attempt: AttemptId,
    },
}
