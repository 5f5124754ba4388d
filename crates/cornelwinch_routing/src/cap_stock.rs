use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cornelwinch_types::{Name, SortedMap};

use crate::cap::{
    CLOCK_DRIFT_FACTOR, DELEGATION_TIME, MAX_TOKENS_PER_GRANT, TOKEN_TIME, retain_names,
};
use crate::{Cap, CapGrant, CapReport, CapRule};

/// Time after the start of a process during which it does not refill its own share, since its
/// predecessor may have delegated it. It delegates at once: a coordinator counts one delegation for
/// each host, and otherwise a restart of all hosts would leave all callers without tokens.
const START_TIME: Duration = Duration::from_secs(2);

/// Time constant of the demand that is estimated for an organisation.
const DEMAND_TIME: Duration = Duration::from_millis(500);

/// Time of expected demand for which a host asks in advance. Tokens that are not used within
/// `TOKEN_TIME` are lost, so it is a fraction of that.
const ADVANCE_TIME: Duration = Duration::from_millis(40);

/// Largest number of tokens of an organisation beyond the limit of its stock: 20,000 requests a
/// second on one host. A faulty coordinator may grant any number.
const MAX_LOOSE_TOKENS: usize = 4_096;

/// Time after which a host that was told to wait in vain, or has no coordinator, lets a caller
/// return if it doesn't know when the next token comes.
const UNKNOWN_WAIT: Duration = Duration::from_millis(250);

/// Permission for one request of an organisation.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CapToken {
    /// Time by which the token, if it is given back, has to be used.
    end: Instant,
}

/// Time after a refusal for which tokens count as short. A host sees an organisation that is far
/// above its cap several times within it.
const SHORTAGE_TIME: Duration = Duration::from_secs(1);

/// Decision on a request of an organisation with a cap.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CapDecision {
    /// The request may run.
    Admitted(CapToken),
    /// The coordinator is to be asked.
    Ask,
    /// No token comes before this time has passed.
    Refused(Duration),
}

#[derive(Debug)]
struct Entry {
    cap: Cap,
    /// Tokens that come into being in a second on all hosts together.
    refill_per_s: f64,
    /// Time of the last refusal of a request that could still meet its goal.
    refused_at: Option<Instant>,
    /// Stored tokens.
    stock: f64,
    /// Largest number of stored tokens.
    limit: f64,
    filled_to: f64,
    /// Ends of tokens beyond the limit, which were granted or given back.
    loose: VecDeque<Instant>,
    /// Number of requests that wait for a token.
    waiting: u32,
    /// Estimated requests per second.
    demand: f64,
    demand_at: Instant,
    spent: u32,
    ask_at: Option<Instant>,
    is_dirty: bool,
}

/// Tokens of this host, by organisation.
///
/// The host owns one share of each cap's refill. It refills its stock with it while the share is
/// not delegated, and gets tokens from the coordinator otherwise.
#[derive(Debug)]
pub struct CapStock {
    entries: SortedMap<Name, Entry>,
    /// Names of the entries that have something to report.
    dirty: Vec<Name>,
    rule: CapRule,
    hosts: usize,
    /// Time from which the host refills its own share.
    own_from: Instant,
    /// No delegation is given before this time.
    delegate_from: Instant,
    /// Integral of the own share over time, in seconds.
    refill_time: f64,
    filled_at: Instant,
    is_connected: bool,
    /// Stamp of the last grant on this connection, and the time at which it arrived.
    stamp: Option<(u64, Instant)>,
    sequence: u64,
    /// Sequence and time of reports that are not answered.
    unanswered: VecDeque<(u64, Instant)>,
}

impl CapStock {
    /// Creates the stock of a process that starts now.
    pub fn new(now: Instant, rule: CapRule) -> Self {
        Self {
            entries: SortedMap::new(),
            dirty: Vec::new(),
            rule,
            hosts: 1,
            own_from: now + START_TIME,
            delegate_from: now,
            refill_time: 0.0,
            filled_at: now,
            is_connected: false,
            stamp: None,
            sequence: 0,
            unanswered: VecDeque::new(),
        }
    }

    /// Sets the caps in force, sorted by name, and the number of hosts among which they are divided.
    /// Tokens above a lower limit are discarded.
    pub fn set_caps<'a>(
        &mut self,
        now: Instant,
        rule: CapRule,
        hosts: usize,
        caps: impl Iterator<Item = (&'a Name, &'a Cap)>,
    ) {
        self.advance(now);
        self.rule = rule;
        self.hosts = hosts.max(1);
        let caps: Vec<(&Name, &Cap)> = caps.collect();
        retain_names(&mut self.entries, &caps);
        for (name, cap) in caps {
            let entry = self.entries.get_or_insert_with(name.clone(), || Entry {
                cap: *cap,
                refill_per_s: 0.0,
                refused_at: None,
                stock: 0.0,
                limit: 0.0,
                filled_to: self.refill_time,
                loose: VecDeque::new(),
                waiting: 0,
                demand: 0.0,
                demand_at: now,
                spent: 0,
                ask_at: None,
                is_dirty: false,
            });
            entry.fill(self.refill_time, self.hosts);
            entry.cap = *cap;
            entry.refill_per_s = rule.refill_per_s(cap);
        }
        self.limit_stocks(self.own_from > now);
    }

    /// Returns the cap of an organisation.
    pub fn cap(&self, organisation: &str) -> Option<Cap> {
        self.entries.get(organisation).map(|entry| entry.cap)
    }

    /// Returns true if any organisation has a cap.
    pub fn is_needed(&self) -> bool {
        !self.entries.is_empty()
    }

    /// Decides on a request of an organisation and counts it as demand. `is_timely` tells whether
    /// an answer could still meet the goal of its route. While tokens are short, those that could
    /// not leave them to others, to whom an answer is worth more.
    pub fn try_admit(&mut self, now: Instant, organisation: &str, is_timely: bool) -> CapDecision {
        let hosts = self.hosts;
        self.advance(now);
        let (refill_time, own_from) = (self.refill_time, self.own_from);
        let is_connected = self.is_connected;
        let Some(entry) = self.entries.get_mut(organisation) else {
            return CapDecision::Admitted(CapToken { end: now });
        };
        entry.fill(refill_time, hosts);
        entry.count_demand(now);
        if !is_timely && entry.is_short(now) {
            return CapDecision::Refused(UNKNOWN_WAIT);
        }
        if let Some(token) = entry.take(now) {
            entry.mark(organisation, &mut self.dirty);
            return CapDecision::Admitted(token);
        }
        if is_connected && entry.ask_at.is_none_or(|at| at <= now) {
            return CapDecision::Ask;
        }
        let wait = match entry.ask_at.filter(|at| is_connected && *at > now) {
            Some(at) => at - now,
            None => {
                let missing = (1.0 - entry.stock) * hosts as f64 / entry.refill_per_s;
                let refill = Duration::try_from_secs_f64(missing).unwrap_or(Duration::MAX);
                let start = own_from.saturating_duration_since(now);
                start.saturating_add(refill).max(UNKNOWN_WAIT)
            }
        };
        CapDecision::Refused(wait)
    }

    /// Records that a request that could meet its goal was refused.
    pub fn record_refusal(&mut self, now: Instant, organisation: &str) {
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.refused_at = Some(now);
        }
    }

    /// Records that a request starts to wait for a token.
    pub fn start_wait(&mut self, organisation: &str) {
        let Some(entry) = self.entries.get_mut(organisation) else {
            return;
        };
        entry.waiting += 1;
        entry.mark(organisation, &mut self.dirty);
    }

    /// Records that a request waits no longer.
    pub fn end_wait(&mut self, organisation: &str) {
        if let Some(entry) = self.entries.get_mut(organisation) {
            entry.waiting = entry.waiting.saturating_sub(1);
        }
    }

    /// Takes a token for a request that waits. Returns the time after which its caller may return
    /// if the coordinator has none, and `None` as long as it has not answered.
    pub fn poll_wait(
        &mut self,
        now: Instant,
        organisation: &str,
    ) -> Option<Result<CapToken, Duration>> {
        let entry = self.entries.get_mut(organisation)?;
        if let Some(token) = entry.take(now) {
            entry.mark(organisation, &mut self.dirty);
            return Some(Ok(token));
        }
        let at = entry.ask_at.filter(|at| *at > now)?;
        Some(Err(at - now))
    }

    /// Gives back the token of a request that did not run.
    pub fn give_back(&mut self, now: Instant, organisation: &str, token: CapToken) {
        let Some(entry) = self.entries.get_mut(organisation) else {
            return;
        };
        entry.spent = entry.spent.saturating_sub(1);
        if token.end > now {
            entry.put(token.end);
        }
    }

    /// Records that a connection to a coordinator has been opened.
    pub fn connected(&mut self) {
        self.is_connected = true;
        self.stamp = None;
        self.unanswered.clear();
    }

    /// Records that the connection to the coordinator was lost. A delegation ends with its time.
    pub fn disconnected(&mut self, now: Instant) {
        self.advance(now);
        self.is_connected = false;
        self.stamp = None;
        self.delegate_from = self.delegate_from.max(self.own_from);
        for (_, entry) in self.entries.iter_mut() {
            entry.ask_at = None;
        }
    }

    /// Returns the time from which this host may delegate its share.
    pub fn delegate_from(&self) -> Instant {
        self.delegate_from
    }

    /// Returns true if the coordinator is to be asked for tokens and has no question to answer.
    pub fn wants_report(&self) -> bool {
        let has_wants = || {
            let mut entries = self.dirty.iter().filter_map(|name| self.entries.get(name));
            entries.any(|entry| entry.lacking() > 0)
        };
        self.is_connected && self.unanswered.is_empty() && has_wants()
    }

    /// Returns the next report to the coordinator. It delegates the share of this host if an
    /// earlier delegation to another coordinator has ended.
    pub fn report(&mut self, now: Instant) -> CapReport {
        self.advance(now);
        let is_fresh = |arrived: Instant| now.saturating_duration_since(arrived) < DELEGATION_TIME;
        let delegation = self
            .stamp
            .filter(|(_, arrived)| self.delegate_from <= now && is_fresh(*arrived));
        // The coordinator counts from the stamp, which is older than its arrival here. A stamp that
        // is repeated because no other came does not prolong the delegation.
        if let Some((_, arrived)) = delegation {
            let was_own = self.own_from <= now;
            self.own_from = arrived + DELEGATION_TIME.mul_f64(CLOCK_DRIFT_FACTOR);
            if was_own {
                self.limit_stocks(true);
            }
        }
        let (mut spent, mut wanted) = (Vec::new(), Vec::new());
        for name in std::mem::take(&mut self.dirty) {
            let Some(entry) = self.entries.get_mut(&name) else {
                continue;
            };
            if entry.spent > 0 {
                spent.push((name.clone(), std::mem::take(&mut entry.spent)));
            }
            let tokens = entry.lacking() + entry.advance();
            if tokens > 0 {
                wanted.push((name.clone(), tokens));
            }
            entry.is_dirty = false;
        }
        self.sequence += 1;
        self.unanswered.push_back((self.sequence, now));
        CapReport {
            sequence: self.sequence,
            delegation: delegation.map(|(stamp, _)| stamp),
            hosts: u32::try_from(self.hosts).unwrap_or(u32::MAX),
            spent,
            wanted,
        }
    }

    /// Records an answer of the coordinator. Tokens that were on their way for too long are lost.
    pub fn record_grant(&mut self, now: Instant, grant: &CapGrant) {
        self.advance(now);
        let mut asked = None;
        while let Some((_, at)) = self
            .unanswered
            .pop_front_if(|(sequence, _)| *sequence <= grant.answered)
        {
            asked = Some(at);
        }
        // The last answer may come without a report.
        if grant.is_last {
            self.own_from = self.own_from.min(now.max(self.delegate_from));
            self.stamp = None;
            self.limit_stocks(self.own_from > now);
        }
        let Some(asked) = asked else {
            return;
        };
        if !grant.is_last {
            self.stamp = Some((grant.stamp, now));
        }
        let end = asked + TOKEN_TIME;
        for (name, tokens) in &grant.tokens {
            let Some(entry) = self.entries.get_mut(name) else {
                continue;
            };
            entry.ask_at = None;
            if end > now {
                let tokens = (*tokens).min(MAX_TOKENS_PER_GRANT);
                (0..tokens).for_each(|_| entry.put(end));
            }
            if entry.lacking() > 0 {
                entry.mark(name, &mut self.dirty);
            }
        }
        for (name, ms) in &grant.wait_ms {
            if let Some(entry) = self.entries.get_mut(name) {
                entry.ask_at = Some(now + Duration::from_millis(u64::from(*ms)).min(UNKNOWN_WAIT));
            }
        }
    }

    /// Returns the tokens that an organisation has on this host, and its requests per second.
    pub fn usage(&mut self, now: Instant, organisation: &str) -> Option<(f64, f64)> {
        let hosts = self.hosts;
        self.advance(now);
        let refill_time = self.refill_time;
        let entry = self.entries.get_mut(organisation)?;
        entry.fill(refill_time, hosts);
        entry.drop_ended(now);
        Some((
            entry.stock + entry.loose.len() as f64,
            entry.demand_now(now),
        ))
    }

    fn advance(&mut self, now: Instant) {
        let from = self.filled_at.max(self.own_from);
        if now > from {
            // The share has come back since the last call.
            if self.filled_at < self.own_from {
                self.limit_stocks(false);
            }
            self.refill_time += (now - from).as_secs_f64();
        }
        self.filled_at = self.filled_at.max(now);
    }

    fn limit_stocks(&mut self, is_delegated: bool) {
        for (_, entry) in self.entries.iter_mut() {
            entry.fill(self.refill_time, self.hosts);
            entry.limit = self.rule.stocked(&entry.cap, self.hosts, is_delegated);
            entry.stock = entry.stock.min(entry.limit);
        }
    }
}

impl Entry {
    fn fill(&mut self, refill_time: f64, hosts: usize) {
        let refill = self.refill_per_s / hosts as f64 * (refill_time - self.filled_to);
        self.stock = (self.stock + refill).min(self.limit.max(self.stock));
        self.filled_to = refill_time;
    }

    /// Adds a token to the stock, or to the loose tokens if the stock is full.
    fn put(&mut self, end: Instant) {
        if self.stock + 1.0 <= self.limit {
            self.stock += 1.0;
        } else if self.loose.len() < MAX_LOOSE_TOKENS {
            let place = self.loose.partition_point(|other| *other <= end);
            self.loose.insert(place, end);
        }
    }

    /// Adds the entry to those that have something to report.
    fn mark(&mut self, organisation: &str, dirty: &mut Vec<Name>) {
        if !self.is_dirty {
            self.is_dirty = true;
            dirty.push(organisation.into());
        }
    }

    /// Reports whether a request that could meet its goal was refused of late.
    fn is_short(&self, now: Instant) -> bool {
        self.refused_at
            .is_some_and(|at| now.saturating_duration_since(at) < SHORTAGE_TIME)
    }

    /// Returns the number of waiting requests for which there is no token.
    fn lacking(&self) -> u32 {
        let held = self.stock as usize + self.loose.len();
        self.waiting
            .saturating_sub(u32::try_from(held).unwrap_or(u32::MAX))
    }

    fn drop_ended(&mut self, now: Instant) {
        while self.loose.pop_front_if(|end| *end <= now).is_some() {}
    }

    fn take(&mut self, now: Instant) -> Option<CapToken> {
        self.drop_ended(now);
        let end = match self.loose.pop_front() {
            Some(end) => end,
            None if self.stock >= 1.0 => {
                self.stock -= 1.0;
                now + TOKEN_TIME
            }
            None => return None,
        };
        self.spent = self.spent.saturating_add(1);
        Some(CapToken { end })
    }

    fn demand_now(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand * (-elapsed / DEMAND_TIME.as_secs_f64()).exp()
    }

    fn count_demand(&mut self, now: Instant) {
        self.demand = self.demand_now(now) + 1.0 / DEMAND_TIME.as_secs_f64();
        self.demand_at = now;
    }

    /// Returns the number of tokens that are wanted beyond those of the waiting requests: what the
    /// stock has room for, or what the expected demand uses soon.
    fn advance(&self) -> u32 {
        let room = (self.limit - self.stock).max(0.0);
        let soon = self.demand * ADVANCE_TIME.as_secs_f64() - self.loose.len() as f64;
        room.max(soon) as u32
    }
}
