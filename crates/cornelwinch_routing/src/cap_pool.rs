use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

use crate::cap::{DELEGATION_TIME, MAX_TOKENS_PER_GRANT, retain_names};
use crate::{Cap, CapGrant, CapReport, CapRule};

/// Longest time after which a host is told to ask again. Hosts learn of a higher cap or rate within
/// this time.
const MAX_WAIT: Duration = Duration::from_millis(250);

#[derive(Debug)]
struct Bucket {
    /// Tokens that come into being in a second if all hosts have delegated.
    refill_per_s: f64,
    /// Largest number of tokens if all hosts have delegated.
    size: f64,
    tokens: f64,
    /// Value of `CapPool::refill_time` up to which `tokens` is filled.
    filled_to: f64,
    /// Time at which the next host without a token is told to ask.
    next_ask: Instant,
}

#[derive(Debug)]
struct Delegation {
    /// Share of the refill.
    weight: f64,
    end: Instant,
}

/// Token buckets on the coordinator. They refill with the shares of the hosts that have delegated
/// theirs.
///
/// A delegation ends by the coordinator's clock, counted from the stamp that the host has repeated.
/// The host counts from when it sent the report, which is later, so that no share is refilled in
/// two places.
#[derive(Debug)]
pub struct CapPool {
    start: Instant,
    buckets: SortedMap<Name, Bucket>,
    delegations: SortedMap<Name, Delegation>,
    /// Sum of the weights of all delegations.
    weight: f64,
    /// Integral of the weight over time, in seconds.
    refill_time: f64,
    filled_at: Instant,
    /// No delegation ends before this time.
    next_end: Instant,
    is_closed: bool,
}

impl CapPool {
    /// Creates a pool without organisations; its buckets start empty.
    pub fn new(now: Instant) -> Self {
        Self {
            start: now,
            buckets: SortedMap::new(),
            delegations: SortedMap::new(),
            weight: 0.0,
            refill_time: 0.0,
            filled_at: now,
            next_end: now,
            is_closed: false,
        }
    }

    /// Sets the caps that are in force, sorted by name. Tokens above a lowered cap are discarded.
    pub fn set_caps<'a>(
        &mut self,
        now: Instant,
        rule: &CapRule,
        caps: impl Iterator<Item = (&'a Name, &'a Cap)>,
    ) {
        self.advance(now);
        let caps: Vec<(&Name, &Cap)> = caps.collect();
        retain_names(&mut self.buckets, &caps);
        for (name, cap) in caps {
            let bucket = self.buckets.get_or_insert_with(name.clone(), || Bucket {
                refill_per_s: 0.0,
                size: 0.0,
                tokens: 0.0,
                filled_to: self.refill_time,
                next_ask: now,
            });
            bucket.fill(self.refill_time, self.weight);
            bucket.refill_per_s = rule.refill_per_s(cap);
            bucket.size = rule.pooled(cap);
            bucket.fill(self.refill_time, self.weight);
        }
    }

    /// Answers the report of a host. `hosts` is the number of hosts among which the coordinator
    /// divides limits.
    pub fn answer(
        &mut self,
        now: Instant,
        host: &Name,
        hosts: usize,
        report: &CapReport,
    ) -> CapGrant {
        self.advance(now);
        if let Some(stamp) = report.delegation
            && !self.is_closed
        {
            let age = now
                .saturating_duration_since(self.start)
                .saturating_sub(Duration::from_millis(stamp));
            let left = DELEGATION_TIME.saturating_sub(age);
            self.delegate(now, host, now + left, hosts.max(report.hosts as usize));
        }
        let mut grant = CapGrant {
            answered: report.sequence,
            // Rounded down, so that a delegation ends early rather than late.
            stamp: u64::try_from(now.saturating_duration_since(self.start).as_millis())
                .unwrap_or(u64::MAX),
            is_last: self.is_closed,
            tokens: Vec::new(),
            wait_ms: Vec::new(),
        };
        for (name, wanted) in &report.wanted {
            let Some(bucket) = self.buckets.get_mut(name) else {
                continue;
            };
            bucket.fill(self.refill_time, self.weight);
            let wanted = (*wanted).min(MAX_TOKENS_PER_GRANT);
            let tokens = wanted.min(bucket.tokens as u32);
            bucket.tokens -= f64::from(tokens);
            if tokens > 0 {
                grant.tokens.push((name.clone(), tokens));
            } else if wanted > 0 {
                let wait = bucket.next_wait(now, self.weight);
                let ms = wait.as_micros().div_ceil(1_000);
                grant
                    .wait_ms
                    .push((name.clone(), u32::try_from(ms).unwrap_or(u32::MAX)));
            }
        }
        grant
    }

    /// Ends all delegations, because this host stops or no longer follows the store.
    pub fn close(&mut self, now: Instant) {
        self.advance(now);
        self.is_closed = true;
        self.delegations = SortedMap::new();
        self.set_weight(0.0);
    }

    /// Accepts delegations again. The caller makes sure that no report is on its way that was sent
    /// before the pool was closed.
    pub fn reopen(&mut self) {
        self.is_closed = false;
    }

    /// Returns true if the pool accepts no delegations.
    pub fn is_closed(&self) -> bool {
        self.is_closed
    }

    /// Returns the number of hosts that have delegated their share.
    pub fn delegation_count(&mut self, now: Instant) -> usize {
        self.advance(now);
        self.delegations.len()
    }

    fn delegate(&mut self, now: Instant, host: &Name, end: Instant, hosts: usize) {
        if end <= now {
            return;
        }
        let weight = 1.0 / hosts.max(1) as f64;
        let old = self
            .delegations
            .insert(host.clone(), Delegation { weight, end });
        self.next_end = self.next_end.min(end);
        if old.is_none_or(|old| old.weight != weight) {
            self.update_weight();
        }
    }

    /// Fills the buckets up to a time and removes the delegations that have ended by then.
    fn advance(&mut self, now: Instant) {
        while self.next_end <= now {
            let ends = self.delegations.iter().map(|(host, d)| (d.end, host));
            let Some((end, host)) = ends.min() else {
                self.next_end = now + DELEGATION_TIME;
                break;
            };
            if end > now {
                self.next_end = end;
                break;
            }
            let host = host.clone();
            self.integrate(end);
            self.delegations.remove(&host);
            self.update_weight();
        }
        self.integrate(now);
    }

    fn integrate(&mut self, to: Instant) {
        let seconds = to.saturating_duration_since(self.filled_at).as_secs_f64();
        self.refill_time += seconds * self.weight;
        self.filled_at = self.filled_at.max(to);
    }

    fn update_weight(&mut self) {
        // Summed anew, since repeated additions and subtractions would add up rounding errors.
        let weight: f64 = self.delegations.iter().map(|(_, d)| d.weight).sum();
        self.set_weight(weight.min(1.0));
    }

    /// Sets the weight. A lower one reduces what the buckets hold at once, since the tokens of a
    /// share may come into being elsewhere from now on.
    fn set_weight(&mut self, weight: f64) {
        let old = std::mem::replace(&mut self.weight, weight);
        for (_, bucket) in self.buckets.iter_mut() {
            bucket.fill(self.refill_time, old.min(weight));
        }
    }
}

impl Bucket {
    fn fill(&mut self, refill_time: f64, weight: f64) {
        let filled = self.tokens + self.refill_per_s * (refill_time - self.filled_to);
        self.tokens = filled.min(self.size * weight);
        self.filled_to = refill_time;
    }

    /// Returns the time after which a host without a token asks again. Hosts get different times,
    /// one for each token of the refill, so that they don't ask all at once for the same token.
    fn next_wait(&mut self, now: Instant, weight: f64) -> Duration {
        let per_s = self.refill_per_s * weight;
        let time = |tokens: f64| {
            let time = Duration::try_from_secs_f64(tokens / per_s).unwrap_or(MAX_WAIT);
            time.min(MAX_WAIT)
        };
        let earliest = now + time((1.0 - self.tokens).max(0.0));
        let ask = earliest.max(self.next_ask).min(now + MAX_WAIT);
        self.next_ask = ask + time(1.0);
        ask - now
    }
}
