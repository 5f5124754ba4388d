use std::time::{Duration, Instant};

/// Consecutive connection failures that open the circuit. A single restart
/// breaks the legs of all slots (at most 4) at once and must not open it.
const OPEN_AFTER: u32 = 5;
/// Delay between the opening of the circuit and the first probe.
const MIN_PROBE_DELAY: Duration = Duration::from_millis(100);
/// Longest delay before a probe; it bounds the time until the recovery of an
/// upstream is detected.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(2);

/// Circuit breaker of one upstream.
#[derive(Debug)]
pub(crate) struct Circuit {
    /// Connection failures since the last answer.
    failures: u32,
    /// Delay before the next probe.
    delay: Duration,
    state: CircuitState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CircuitState {
    Closed,
    Open { until: Instant },
    Probing,
}

impl Circuit {
    pub(crate) fn new() -> Self {
        Self {
            failures: 0,
            delay: MIN_PROBE_DELAY,
            state: CircuitState::Closed,
        }
    }

    /// Records a connection failure and returns true if the circuit is now open.
    pub(crate) fn on_failure(&mut self, now: Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            CircuitState::Closed if self.failures >= OPEN_AFTER => self.delay = MIN_PROBE_DELAY,
            CircuitState::Probing => self.delay = (self.delay * 2).min(MAX_PROBE_DELAY),
            CircuitState::Closed => return false,
            CircuitState::Open { .. } => return true,
        }
        self.state = CircuitState::Open {
            until: now + self.delay,
        };
        true
    }

    /// Records an answer of the upstream, which closes the circuit.
    pub(crate) fn on_answer(&mut self) {
        self.failures = 0;
        self.state = CircuitState::Closed;
    }

    /// Reports whether a leg is accepted while `outstanding` others are queued or
    /// in flight. An open circuit whose delay has passed starts to probe.
    pub(crate) fn admits(&mut self, now: Instant, outstanding: usize) -> bool {
        if let CircuitState::Open { until } = self.state
            && now >= until
        {
            self.state = CircuitState::Probing;
        }
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open { .. } => false,
            CircuitState::Probing => outstanding == 0,
        }
    }

    /// Maximum number of legs in flight in the current state.
    pub(crate) fn max_in_flight(&self) -> usize {
        match self.state {
            CircuitState::Closed => usize::MAX,
            CircuitState::Open { .. } => 0,
            CircuitState::Probing => 1,
        }
    }
}
