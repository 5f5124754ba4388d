use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

/// Number of slots that count the events of one window.
const SLOTS_PER_WINDOW: u32 = 40;

/// Share of the budget that may be used. The rest covers legs that reach an upstream
/// seconds after they were sent, when it is reachable again, and count only then.
const USABLE_SHARE: f64 = 0.85;

/// Share of the allowed repeats that hedges may use. The rest is reserved for
/// retries of failed legs.
const HEDGE_SHARE: f64 = 0.65;

/// Reason why a request is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatKind {
    /// An earlier leg failed or was refused.
    Retry,
    /// An earlier leg is late.
    Hedge,
}

/// Limit on repeats that applies to all hosts together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetConfig {
    /// Allowed repeats per request in the window.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Repeats that all hosts together may send in addition to the ratio.
    pub slack: f64,
    /// Number of hosts that divide the slack.
    pub hosts: usize,
}

/// Requests and repeats of a service within one window.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetUsage {
    /// Number of callers' requests.
    pub requests: u64,
    /// Number of repeats that were sent.
    pub repeats: u64,
    /// Number of repeats that may be sent; hedges may use only part of it.
    pub allowed: f64,
}

#[derive(Debug, Default, Clone, Copy)]
struct Slot {
    index: u64,
    requests: u32,
    repeats: u32,
}

#[derive(Debug, Default)]
struct Usage {
    slots: VecDeque<Slot>,
}

/// Limits the repeats to each service within every sliding window.
///
/// Each host may use the ratio of its own requests and an equal part of the slack, so
/// that all hosts together keep the limit without exchanging messages. A process that
/// has just started has no slack for one window, because its predecessor may have
/// used it.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_routing::{RetryBudgetConfig, RepeatKind, RetryBudget};
///
/// let start = Instant::now();
/// let config = RetryBudgetConfig {
///     ratio: 0.2, window: Duration::from_secs(10), slack: 10.0, hosts: 5,
/// };
/// let mut budget = RetryBudget::new(start);
/// let now = start + Duration::from_secs(11);
/// assert!(budget.try_spend(now, &config, &"shard-1".into(), RepeatKind::Retry));
/// assert!(!budget.try_spend(now, &config, &"shard-1".into(), RepeatKind::Retry));
/// ```
#[derive(Debug)]
pub struct RetryBudget {
    start: Instant,
    services: SortedMap<Name, Usage>,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `start`.
    pub fn new(start: Instant) -> Self {
        Self {
            start,
            services: SortedMap::new(),
        }
    }

    /// Counts a caller's request to a service.
    pub fn count_request(&mut self, now: Instant, config: &RetryBudgetConfig, service: &Name) {
        if let Some(slot) = self.usage_mut(now, config, service).slots.back_mut() {
            slot.requests += 1;
        }
    }

    /// Counts one repeat if the budget allows it, and reports whether it does.
    pub fn try_spend(
        &mut self,
        now: Instant,
        config: &RetryBudgetConfig,
        service: &Name,
        kind: RepeatKind,
    ) -> bool {
        self.usage_mut(now, config, service);
        let used = self.usage(now, config, service);
        let part = match kind {
            RepeatKind::Retry => 1.0,
            RepeatKind::Hedge => HEDGE_SHARE,
        };
        let granted = (used.repeats + 1) as f64 <= used.allowed * part;
        if granted && let Some(slot) = self.usage_mut(now, config, service).slots.back_mut() {
            slot.repeats += 1;
        }
        granted
    }

    /// Returns the usage of a service in the window that ends now.
    pub fn usage(
        &self,
        now: Instant,
        config: &RetryBudgetConfig,
        service: &Name,
    ) -> RetryBudgetUsage {
        let is_past_first_window = now.saturating_duration_since(self.start) >= config.window;
        let slack = if is_past_first_window {
            config.slack / config.hosts.max(1) as f64
        } else {
            0.0
        };
        let first = self
            .index(now, config)
            .saturating_sub(u64::from(SLOTS_PER_WINDOW));
        let (mut requests, mut repeats) = (0_u64, 0_u64);
        let usage = self.services.get(service);
        for slot in usage.iter().flat_map(|usage| &usage.slots) {
            if slot.index >= first {
                requests += u64::from(slot.requests);
                repeats += u64::from(slot.repeats);
            }
        }
        RetryBudgetUsage {
            requests,
            repeats,
            allowed: (requests as f64 * config.ratio + slack) * USABLE_SHARE,
        }
    }

    /// Removes services without requests and repeats for one window.
    pub fn prune(&mut self, now: Instant, config: &RetryBudgetConfig) {
        let index = self.index(now, config);
        self.services.retain(|_, usage| {
            usage
                .slots
                .back()
                .is_some_and(|slot| slot.index + u64::from(SLOTS_PER_WINDOW) >= index)
        });
    }

    fn index(&self, now: Instant, config: &RetryBudgetConfig) -> u64 {
        let slot = (config.window / SLOTS_PER_WINDOW).max(Duration::from_millis(1));
        let elapsed = now.saturating_duration_since(self.start).as_nanos() / slot.as_nanos();
        u64::try_from(elapsed).unwrap_or(u64::MAX)
    }

    /// Returns the slots of a service, of which the last one is the current slot.
    fn usage_mut(
        &mut self,
        now: Instant,
        config: &RetryBudgetConfig,
        service: &Name,
    ) -> &mut Usage {
        let index = self.index(now, config);
        let usage = self
            .services
            .get_or_insert_with(service.clone(), Usage::default);
        // A slot that is only partly in the window counts in full.
        while usage
            .slots
            .front()
            .is_some_and(|slot| slot.index + u64::from(SLOTS_PER_WINDOW) < index)
        {
            usage.slots.pop_front();
        }
        if usage.slots.back().is_none_or(|slot| slot.index < index) {
            usage.slots.push_back(Slot {
                index,
                ..Slot::default()
            });
        }
        usage
    }
}
