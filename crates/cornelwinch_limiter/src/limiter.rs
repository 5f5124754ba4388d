use std::time::{Duration, Instant};

use cornelwinch_types::{
    AttemptId, LegFailure, LegRequest, LegResult, Name, Refusal, UpstreamObservation,
};

use crate::circuit::Circuit;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::config::{HandoverState, LimiterAction, LimiterConfig, OwnershipStart};
use crate::in_flight::{InFlight, SLOT_GRACE, reject_mismatched, with_attempt};
use crate::queue::{Queue, Waiter};
use crate::reserve::Reserve;

/// Maximum budget of a leg; larger budgets are reduced to it.
const MAX_BUDGET: Duration = Duration::from_secs(3600);
/// Time without an answer after which an upstream may have restarted undetected.
/// The cold limit then applies until its next answer.
const STALE_AFTER: Duration = Duration::from_millis(100);
/// Time after an upstream announced that it is leaving during which reports that
/// it is serving are ignored. The platform's list lags by up to 10 s.
const LEAVING_HOLD: Duration = Duration::from_secs(10);

/// Admission control that the owner of an upstream applies to it: slots, queue,
/// concurrency limit and circuit breaker.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use cornelwinch_limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
/// use cornelwinch_types::{AttemptId, Fingerprint, KeyRange, LegRequest, QueryId, SnapshotId};
///
/// let now = Instant::now();
/// let cfg = LimiterConfig { slots: 2, cold_limit: 1, ..LimiterConfig::default() };
/// let mut limiter = Limiter::new(now, cfg, OwnershipStart::Cold);
/// let leg = |attempt| LegRequest {
///     attempt: AttemptId(attempt),
///     query: QueryId(1),
///     search: "portal".into(),
///     class: "interactive".into(),
///     organisation: "school".into(),
///     snapshot: SnapshotId(7),
///     range: KeyRange { start: 0, end: 100 },
///     upstream: "leaf-1".into(),
///     body: "atlas".into(),
///     idempotent: true,
///     priority: 0,
///     fingerprint: Fingerprint::of("portal", "atlas"),
///     budget: Duration::from_millis(200),
/// };
/// let mut out = Vec::new();
/// limiter.submit(now, leg(1), "host-1".into(), &mut out);
/// limiter.submit(now, leg(2), "host-1".into(), &mut out);
/// assert!(matches!(&out[..], [LimiterAction::Send(req)] if req.attempt == AttemptId(1)));
/// assert_eq!((limiter.in_flight(), limiter.queued()), (1, 1));
/// ```
#[derive(Debug)]
pub struct Limiter {
    pub(crate) cfg: LimiterConfig,
    pub(crate) concurrency: ConcurrencyLimit,
    pub(crate) circuit: Circuit,
    pub(crate) queue: Queue,
    pub(crate) reserve: Reserve,
    pub(crate) in_flight: Vec<InFlight>,
    pub(crate) restart_id: Option<u64>,
    /// Number of detected restarts of the upstream.
    pub(crate) restart_count: u64,
    pub(crate) last_answer: Instant,
    /// End of the takeover delay, before which nothing is sent.
    pub(crate) takeover_delay_until: Option<Instant>,
    /// End of the guard interval, until which the cold limit applies.
    pub(crate) guard_until: Option<Instant>,
    /// Legs of previous owners that may still be in flight.
    pub(crate) inherited: usize,
    /// Time after which no leg of a previous owner can be in flight.
    pub(crate) inherited_until: Option<Instant>,
    pub(crate) confirmed: bool,
    pub(crate) marked_leaving: bool,
    /// Time at which the upstream last announced that it is leaving.
    pub(crate) announced_leaving_at: Option<Instant>,
    drained: bool,
    pub(crate) submitted: u64,
    pub(crate) replied: u64,
    pub(crate) violations: u64,
}

impl Limiter {
    /// Creates the limiter of an upstream that this host starts to own. Slots and
    /// cold limit are raised to at least 1, and the cold limit is lowered to at
    /// most the number of slots.
    pub fn new(now: Instant, mut cfg: LimiterConfig, start: OwnershipStart) -> Self {
        cfg.slots = cfg.slots.max(1);
        cfg.cold_limit = cfg.cold_limit.clamp(1, cfg.slots);
        let warm_limit = match start {
            OwnershipStart::Handover(state) if state.warm => Some(state.limit),
            _ => None,
        };
        let (inherited, restart_id) = match start {
            OwnershipStart::Handover(state) => (state.in_flight, state.restart_id),
            OwnershipStart::Cold | OwnershipStart::Takeover => (0, None),
        };
        // A previous owner whose state was not warm may have been inside its own
        // guard interval after a takeover.
        let guarded = match start {
            OwnershipStart::Cold => false,
            OwnershipStart::Takeover => true,
            OwnershipStart::Handover(state) => !state.warm,
        };
        let guard_until = guarded.then(|| now + cfg.guard_interval);
        let takeover_delay_until =
            (start == OwnershipStart::Takeover).then(|| now + cfg.takeover_delay);
        Self {
            concurrency: ConcurrencyLimit::new(&cfg, warm_limit),
            circuit: Circuit::new(),
            queue: Queue::default(),
            reserve: Reserve::default(),
            in_flight: Vec::new(),
            restart_id,
            restart_count: 0,
            last_answer: now,
            takeover_delay_until,
            guard_until,
            inherited,
            inherited_until: (inherited > 0).then(|| now + cfg.guard_interval),
            confirmed: true,
            marked_leaving: false,
            announced_leaving_at: None,
            drained: false,
            submitted: 0,
            replied: 0,
            violations: 0,
            cfg,
        }
    }

    /// Accepts a leg from a host. Each submitted leg gets exactly one reply,
    /// immediately or later. An attempt that is already queued or in flight is
    /// ignored.
    pub fn submit(
        &mut self,
        now: Instant,
        req: LegRequest,
        from: Name,
        out: &mut Vec<LimiterAction>,
    ) {
        if self.contains(req.attempt) {
            log::warn!(
                "event=duplicate_attempt attempt={} from={from}",
                req.attempt
            );
            return;
        }
        self.submitted += 1;
        self.reserve.on_submit(now, req.priority);
        let deadline = now + req.budget.min(MAX_BUDGET);
        let waiter = Waiter {
            req,
            from,
            deadline,
        };
        let outstanding = self.in_flight.len() + self.queue.legs();
        let refusal = if self.drained {
            Some(Refusal::NotOwner { owner: None })
        } else if self.is_leaving() {
            Some(Refusal::Leaving)
        } else if deadline <= now {
            Some(Refusal::DeadlinePassed)
        } else if !self.circuit.admits(now, outstanding) {
            Some(Refusal::Unreachable)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.refuse([waiter], &refusal, out);
        } else {
            self.queue.insert(waiter, self.cfg.share_identical);
        }
        self.dispatch(now, out);
        self.refuse_late(now, out);
        while self.queue.legs() > self.cfg.queue_limit
            && let Some(waiter) = self.queue.remove_least_urgent()
        {
            self.refuse([waiter], &Refusal::Overloaded, out);
        }
        self.check(now);
    }

    /// Processes the upstream's result of a leg that was sent. If the slot of the
    /// leg has already been freed, only the observation is used.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: LegResult,
        observation: UpstreamObservation,
        out: &mut Vec<LimiterAction>,
    ) {
        let limit = self.limit();
        let position = self.in_flight.iter().position(|leg| leg.attempt == attempt);
        let leg = position.map(|i| self.in_flight.remove(i));
        let restart_count = leg
            .as_ref()
            .map_or(self.restart_count, |leg| leg.restart_count);
        self.apply_observation(now, restart_count, observation, out);
        if let Some(leg) = leg {
            let result = reject_mismatched(&leg, result);
            self.apply_result(now, &leg, &result, observation, out);
            for waiter in leg.waiters {
                let result = with_attempt(&result, waiter.req.attempt);
                self.reply(waiter, result, out);
            }
        }
        self.dispatch(now, out);
        if self.limit() < limit {
            self.refuse_late(now, out);
        }
        self.check(now);
    }

    /// Cancels a submitted attempt. A queued attempt is refused. An attempt in
    /// flight fails at once, but its leg keeps the slot until the upstream's
    /// answer or the deadline, because the upstream may continue to execute it.
    pub fn cancel(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<LimiterAction>) {
        if let Some(waiter) = self.queue.remove(attempt) {
            self.refuse([waiter], &Refusal::Cancelled, out);
        } else if let Some((i, j)) = self.find_in_flight(attempt) {
            let leg = &mut self.in_flight[i];
            let waiter = leg.waiters.remove(j);
            if leg.waiters.is_empty() && !leg.cancelled {
                leg.cancelled = true;
                out.push(LimiterAction::Cancel {
                    attempt: leg.attempt,
                });
            }
            self.reply(waiter, LegResult::Failed(LegFailure::Cancelled), out);
        }
        self.dispatch(now, out);
        self.check(now);
    }

    /// Expires legs and timers that are due, and sends queued legs.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        let expired = self.queue.remove_late(|_, deadline| deadline <= now);
        self.refuse(expired, &Refusal::DeadlinePassed, out);
        self.expire_in_flight(now, out);
        self.dispatch(now, out);
        self.check(now);
    }

    /// Returns the time at which [`on_wake`](Self::on_wake) must be called next.
    pub fn next_wake(&self) -> Option<Instant> {
        let waiting = self.queue.waiters().map(|w| w.deadline);
        let sent = self.in_flight.iter().flat_map(|leg| {
            let waiters = leg.waiters.iter().map(|w| w.deadline);
            waiters.chain([leg.deadline + SLOT_GRACE])
        });
        let timers = [
            self.takeover_delay_until,
            self.guard_until,
            self.inherited_until,
        ];
        let pause = (!self.queue.is_empty())
            .then_some(self.concurrency.pause_until())
            .flatten();
        let reserve = (!self.queue.is_empty())
            .then_some(self.reserve.ends_at())
            .flatten();
        waiting
            .chain(reserve)
            .chain(sent)
            .chain(timers.into_iter().flatten())
            .chain(pause)
            .min()
    }

    /// Ends the ownership and returns the state for the next owner. Queued legs
    /// and legs submitted later are refused; legs in flight finish here.
    pub fn drain(&mut self, now: Instant, out: &mut Vec<LimiterAction>) -> HandoverState {
        self.drained = true;
        let waiting = self.queue.take_all();
        self.refuse(waiting, &Refusal::NotOwner { owner: None }, out);
        self.expire_timers(now);
        self.check(now);
        HandoverState {
            limit: self.limit(),
            warm: !self.is_cold() && !self.is_restricted(),
            in_flight: self.in_flight.len() + self.inherited,
            restart_id: self.restart_id,
        }
    }

    /// Records that `n` legs of previous owners have finished.
    pub fn on_handover_released(&mut self, now: Instant, n: usize, out: &mut Vec<LimiterAction>) {
        self.inherited = self.inherited.saturating_sub(n);
        self.dispatch(now, out);
        self.check(now);
    }

    /// Restricts the upstream to the cold limit while its ownership is
    /// unconfirmed. After the confirmation the limit grows from the cold limit
    /// again, because another host may have used the upstream in the meantime.
    pub fn set_confirmed(&mut self, now: Instant, confirmed: bool, out: &mut Vec<LimiterAction>) {
        if confirmed && !self.confirmed {
            self.concurrency.restart_growth();
        }
        self.confirmed = confirmed;
        self.dispatch(now, out);
        self.refuse_late(now, out);
        self.check(now);
    }

    /// Marks the upstream as leaving or as returned. A returned upstream starts
    /// cold.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool, out: &mut Vec<LimiterAction>) {
        if self.marked_leaving && !leaving {
            self.announced_leaving_at = None;
            self.concurrency.enter_cold();
        }
        self.marked_leaving = leaving;
        self.refuse_leaving(out);
        self.check(now);
    }

    /// Processes a report from the health endpoint or the platform's list that the
    /// upstream is serving. The report ends a leaving state that the upstream
    /// announced at least `LEAVING_HOLD` ago; otherwise an upstream that returns
    /// without an announcement would never get legs again.
    pub fn on_serving_report(&mut self, now: Instant) {
        let due = |t: &mut Instant| now.saturating_duration_since(*t) >= LEAVING_HOLD;
        if self.announced_leaving_at.take_if(due).is_some() {
            self.concurrency.enter_cold();
        }
    }

    /// Returns the current concurrency limit, which includes legs of previous
    /// owners.
    pub fn limit(&self) -> usize {
        let limit = self.concurrency.limit();
        if self.is_restricted() {
            limit.min(self.cfg.cold_limit)
        } else {
            limit
        }
    }

    /// Returns the number of legs sent by this owner that occupy a slot.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Returns the number of legs of previous owners that may still be in flight.
    pub fn inherited_legs(&self) -> usize {
        self.inherited
    }

    /// Returns the number of queued legs.
    pub fn queued(&self) -> usize {
        self.queue.legs()
    }

    /// Reports whether the upstream is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.concurrency.is_cold()
    }

    /// Reports whether the upstream is marked as leaving or has announced it
    /// itself.
    pub fn is_leaving(&self) -> bool {
        self.marked_leaving || self.announced_leaving_at.is_some()
    }

    /// Returns the number of failed invariant checks, for a metric.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn contains(&self, attempt: AttemptId) -> bool {
        self.in_flight.iter().any(|leg| leg.attempt == attempt)
            || self.find_in_flight(attempt).is_some()
            || self.queue.waiters().any(|w| w.req.attempt == attempt)
    }

    fn find_in_flight(&self, attempt: AttemptId) -> Option<(usize, usize)> {
        let find = |leg: &InFlight| leg.waiters.iter().position(|w| w.req.attempt == attempt);
        self.in_flight
            .iter()
            .enumerate()
            .find_map(|(i, leg)| Some((i, find(leg)?)))
    }

    /// Reports whether the owner must keep the cold limit even if the upstream is
    /// warm: inside the guard interval or while the ownership is unconfirmed.
    pub(crate) fn is_restricted(&self) -> bool {
        self.guard_until.is_some() || !self.confirmed
    }

    /// Reports whether the last answer is so old that the upstream may have
    /// restarted undetected.
    fn is_stale(&self, now: Instant) -> bool {
        let after = STALE_AFTER.max(self.concurrency.service_time() * 4);
        now.saturating_duration_since(self.last_answer) > after
    }

    /// Maximum number of legs that this owner may have in flight now.
    pub(crate) fn max_in_flight(&self, now: Instant) -> usize {
        let pending = |t: Option<Instant>| t.is_some_and(|t| now < t);
        if self.drained
            || self.is_leaving()
            || pending(self.takeover_delay_until)
            || pending(self.concurrency.pause_until())
        {
            return 0;
        }
        let mut max_in_flight = self.limit().min(self.cfg.slots);
        if self.is_stale(now) {
            max_in_flight = max_in_flight.min(self.cfg.cold_limit);
        }
        max_in_flight
            .saturating_sub(self.inherited)
            .min(self.circuit.max_in_flight())
    }

    /// Clears timers that have expired and the state that depends on them.
    pub(crate) fn expire_timers(&mut self, now: Instant) {
        let expired = |t: &mut Option<Instant>| t.take_if(|t| *t <= now).is_some();
        expired(&mut self.takeover_delay_until);
        expired(&mut self.guard_until);
        if expired(&mut self.inherited_until) {
            self.inherited = 0;
        }
        self.concurrency.end_pause(now);
        self.reserve.expire(now);
    }

    pub(crate) fn refuse_leaving(&mut self, out: &mut Vec<LimiterAction>) {
        if self.is_leaving() {
            let waiting = self.queue.take_all();
            self.refuse(waiting, &Refusal::Leaving, out);
        }
    }

    pub(crate) fn refuse(
        &mut self,
        waiters: impl IntoIterator<Item = Waiter>,
        refusal: &Refusal,
        out: &mut Vec<LimiterAction>,
    ) {
        for waiter in waiters {
            self.reply(waiter, LegResult::Refused(refusal.clone()), out);
        }
    }

    pub(crate) fn reply(
        &mut self,
        waiter: Waiter,
        result: LegResult,
        out: &mut Vec<LimiterAction>,
    ) {
        self.replied += 1;
        out.push(LimiterAction::Reply {
            attempt: waiter.req.attempt,
            from: waiter.from,
            result,
        });
    }

    /// Checks the invariants after each call: at most `slots` legs are in flight,
    /// the cold limit applies in a cold start, and each submitted leg is either
    /// queued, in flight or was replied to once.
    pub(crate) fn check(&mut self, now: Instant) {
        let sent: usize = self.in_flight.iter().map(|leg| leg.waiters.len()).sum();
        let held = (sent + self.queue.legs()) as u64;
        let bounded = self.in_flight.len() <= self.cfg.slots;
        let cold = !self.is_cold() || self.concurrency.limit() <= self.cfg.cold_limit;
        let replied_once = self.submitted == self.replied + held;
        if bounded && cold && replied_once {
            return;
        }
        self.violations += 1;
        log::error!(
            "event=invariant_failed step=limiter now={now:?} in_flight={} slots={} limit={} cold={} submitted={} replied={} held={held}",
            self.in_flight.len(),
            self.cfg.slots,
            self.concurrency.limit(),
            self.is_cold(),
            self.submitted,
            self.replied,
        );
        if cfg!(debug_assertions) {
            panic!("limiter invariant failed: {self:?}");
        }
    }
}
