use std::time::Duration;

use cornelwinch_types::{AttemptId, LegRequest, LegResult, Name};
use serde::{Deserialize, Serialize};

/// Limits that the owner of an upstream applies to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LimiterConfig {
    /// Maximum number of concurrent legs at a warm upstream.
    pub slots: usize,
    /// Maximum number of concurrent legs during a cold start.
    pub cold_limit: usize,
    /// Time after a change of owner during which legs of the previous owner may
    /// still be running at the upstream.
    pub guard_interval: Duration,
    /// Maximum number of queued legs.
    pub queue_limit: usize,
    /// Delay between a takeover and the first leg that the new owner sends.
    pub takeover_delay: Duration,
    /// Successful legs at the cold limit before the limit may grow. The stand-in
    /// upstreams need 50 legs to warm up; with a value of 16, each upstream of a
    /// returning availability zone failed from overload twice.
    pub warm_after_successes: usize,
    /// Whether identical idempotent legs in the queue share one execution. If
    /// false, each leg is executed separately. The example `shared_legs`
    /// measures the difference.
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

/// State that the previous owner of an upstream passes to the next one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandoverState {
    /// Concurrency limit of the previous owner.
    pub limit: usize,
    /// False if the upstream was in a cold start or restricted to the cold
    /// limit; the next owner then keeps the cold limit until its guard interval
    /// has passed.
    pub warm: bool,
    /// Legs of the previous owner and of the owners before it that are still in
    /// flight.
    pub in_flight: usize,
    /// Restart identifier that the previous owner last received from the
    /// upstream.
    pub restart_id: Option<u64>,
}

/// How a host becomes the owner of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OwnershipStart {
    /// The upstream had no owner.
    Cold,
    /// The previous owner failed; its legs may still be in flight.
    Takeover,
    /// The previous owner handed over its state.
    Handover(HandoverState),
}

/// Action that the user of a [`Limiter`](crate::Limiter) must carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum LimiterAction {
    /// Send the leg to the upstream.
    Send(LegRequest),
    /// Send the result of a submitted leg to the host that submitted it.
    Reply {
        /// The submitted attempt.
        attempt: AttemptId,
        /// Host that submitted it.
        from: Name,
        /// Its final result.
        result: LegResult,
    },
    /// Cancel a leg at the upstream.
    Cancel {
        /// The attempt with which the leg was sent.
        attempt: AttemptId,
    },
}
