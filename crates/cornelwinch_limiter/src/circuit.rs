use std::time::{Duration, Instant};

/// Connection failures in a row that open the circuit. Fewer would open it
/// when one restart breaks the legs of all slots at once (at most 4 slots).
const OPEN_AFTER: u32 = 5;
/// First interval before a probe.
const PROBE_MIN: Duration = Duration::from_millis(100);
/// Longest interval before a probe; it bounds how late a returned upstream is
/// noticed.
const PROBE_MAX: Duration = Duration::from_secs(2);

/// Circuit breaker of one upstream.
#[derive(Debug)]
pub(crate) struct Circuit {
    failures: u32,
    interval: Duration,
    state: CircuitState,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CircuitState {
    Closed,
    Open { until: Instant },
    Probing,
}

impl Circuit {
    pub(crate) fn open() -> Self {
        Self {
            failures: 0,
            interval: PROBE_MIN,
            state: CircuitState::Closed,
        }
    }

    /// Records a connection failure; returns true if the circuit is open now.
    pub(crate) fn on_failure(&mut self, now: Instant) -> bool {
        self.failures = self.failures.saturating_add(1);
        match self.state {
            CircuitState::Closed if self.failures >= OPEN_AFTER => self.interval = PROBE_MIN,
            CircuitState::Probing => self.interval = (self.interval * 2).min(PROBE_MAX),
            CircuitState::Closed => return false,
            CircuitState::Open { .. } => return true,
        }
        self.state = CircuitState::Open {
            until: now + self.interval,
        };
        true
    }

    /// Records that the upstream answered.
    pub(crate) fn on_answer(&mut self) {
        self.failures = 0;
        self.state = CircuitState::Closed;
    }

    /// Reports whether a leg may be sent when `busy` legs wait or are in
    /// flight. An open circuit whose interval has passed starts to probe.
    pub(crate) fn admits(&mut self, now: Instant, busy: usize) -> bool {
        if let CircuitState::Open { until } = self.state
            && now >= until
        {
            self.state = CircuitState::Probing;
        }
        match self.state {
            CircuitState::Closed => true,
            CircuitState::Open { .. } => false,
            CircuitState::Probing => busy == 0,
        }
    }

    /// Bounds the legs in flight.
    pub(crate) fn cap(&self) -> usize {
        match self.state {
            CircuitState::Closed => usize::MAX,
            CircuitState::Open { .. } => 0,
            CircuitState::Probing => 1,
        }
    }
}
