use std::time::{Duration, Instant};

use cornelwinch_types::{
    AttemptId, LegFailure, LegRequest, LegResult, Name, Refusal, UpstreamObservation,
};

use crate::circuit::Circuit;
use crate::config::{HandoverState, LimiterAction, LimiterConfig, OwnershipStart};
use crate::in_flight::{InFlight, SLOT_GRACE, addressed, checked};
use crate::queue::{Queue, Waiter};
use crate::ramp::Ramp;
use crate::reserve::Reserve;

/// Longest budget of a leg; a longer one is shortened.
const MAX_BUDGET: Duration = Duration::from_secs(3600);
/// An upstream that gave no answer for this long may have restarted unnoticed:
/// it gets the cold limit until its next answer.
const STALE_AFTER: Duration = Duration::from_millis(100);
/// Time after an upstream said that it is leaving for which reports that it
/// serves are ignored. The platform's list lags by up to 10 s.
const LEAVING_HOLD: Duration = Duration::from_secs(10);

/// The owner's state for one upstream: slots, queue, limit, circuit breaker.
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
///     customer: "school".into(),
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
    pub(crate) ramp: Ramp,
    pub(crate) circuit: Circuit,
    pub(crate) queue: Queue,
    pub(crate) reserve: Reserve,
    pub(crate) in_flight: Vec<InFlight>,
    pub(crate) restart_id: Option<u64>,
    /// Number of restarts seen.
    pub(crate) run: u64,
    pub(crate) last_answer: Instant,
    pub(crate) settle_until: Option<Instant>,
    /// End of the cold limit after a takeover.
    pub(crate) guard_until: Option<Instant>,
    /// Legs of previous owners that may be in flight, and when they no longer
    /// can be.
    pub(crate) inherited: usize,
    pub(crate) inherited_until: Option<Instant>,
    pub(crate) confirmed: bool,
    pub(crate) marked_leaving: bool,
    /// When the upstream last said that it is leaving.
    pub(crate) said_leaving: Option<Instant>,
    drained: bool,
    pub(crate) submitted: u64,
    pub(crate) replied: u64,
    pub(crate) violations: u64,
}

impl Limiter {
    /// Starts to own an upstream. Slots and cold limit are raised to 1, and the
    /// cold limit is lowered to the slots, where the configuration breaks this.
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
        // A previous owner that was not warm itself may have been inside its
        // guard interval after a takeover.
        let guarded = match start {
            OwnershipStart::Cold => false,
            OwnershipStart::Takeover => true,
            OwnershipStart::Handover(state) => !state.warm,
        };
        let guard_until = guarded.then(|| now + cfg.guard_interval);
        let settle_until = (start == OwnershipStart::Takeover).then(|| now + cfg.takeover_delay);
        Self {
            ramp: Ramp::open(&cfg, warm_limit),
            circuit: Circuit::open(),
            queue: Queue::default(),
            reserve: Reserve::default(),
            in_flight: Vec::new(),
            restart_id,
            run: 0,
            last_answer: now,
            settle_until,
            guard_until,
            inherited,
            inherited_until: (inherited > 0).then(|| now + cfg.guard_interval),
            confirmed: true,
            marked_leaving: false,
            said_leaving: None,
            drained: false,
            submitted: 0,
            replied: 0,
            violations: 0,
            cfg,
        }
    }

    /// Takes a leg from a host. It gets exactly one reply, now or later. An
    /// attempt that is already held is ignored.
    pub fn submit(
        &mut self,
        now: Instant,
        req: LegRequest,
        from: Name,
        out: &mut Vec<LimiterAction>,
    ) {
        if self.holds(req.attempt) {
            log::warn!(
                "event=duplicate_attempt attempt={} from={from}",
                req.attempt
            );
            return;
        }
        self.submitted += 1;
        self.reserve.on_leg(now, req.priority);
        let deadline = now + req.budget.min(MAX_BUDGET);
        let waiter = Waiter {
            req,
            from,
            deadline,
        };
        let busy = self.in_flight.len() + self.queue.legs();
        let refusal = if self.drained {
            Some(Refusal::NotOwner { owner: None })
        } else if self.is_leaving() {
            Some(Refusal::Leaving)
        } else if deadline <= now {
            Some(Refusal::DeadlinePassed)
        } else if !self.circuit.admits(now, busy) {
            Some(Refusal::Unreachable)
        } else {
            None
        };
        if let Some(refusal) = refusal {
            self.refuse([waiter], &refusal, out);
        } else {
            self.queue.insert(waiter, self.cfg.share_identical);
        }
        self.pump(now, out);
        self.refuse_late(now, out);
        while self.queue.legs() > self.cfg.queue_limit
            && let Some(waiter) = self.queue.remove_worst()
        {
            self.refuse([waiter], &Refusal::Overloaded, out);
        }
        self.check(now);
    }

    /// Takes the upstream's result of a leg that was sent. A result that comes
    /// after the leg gave up its slot is used only for its signs.
    pub fn finish(
        &mut self,
        now: Instant,
        attempt: AttemptId,
        result: LegResult,
        signs: UpstreamObservation,
        out: &mut Vec<LimiterAction>,
    ) {
        let limit = self.limit();
        let position = self.in_flight.iter().position(|leg| leg.attempt == attempt);
        let leg = position.map(|i| self.in_flight.remove(i));
        let run = leg.as_ref().map_or(self.run, |leg| leg.run);
        self.observe(now, run, signs, out);
        if let Some(leg) = leg {
            let result = checked(&leg, result);
            self.learn(now, &leg, &result, signs, out);
            for waiter in leg.waiters {
                let result = addressed(&result, waiter.req.attempt);
                self.reply(waiter, result, out);
            }
        }
        self.pump(now, out);
        if self.limit() < limit {
            self.refuse_late(now, out);
        }
        self.check(now);
    }

    /// Cancels a submitted attempt. A waiting one is refused; one in flight
    /// fails at once, but keeps its slot until the upstream's answer or its
    /// deadline, because the upstream may go on running it.
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
        self.pump(now, out);
        self.check(now);
    }

    /// Expires legs and holds whose time has come.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<LimiterAction>) {
        let expired = self.queue.remove_late(|_, deadline| deadline <= now);
        self.refuse(expired, &Refusal::DeadlinePassed, out);
        self.time_out(now, out);
        self.pump(now, out);
        self.check(now);
    }

    /// Time of the next call of [`on_wake`](Self::on_wake).
    pub fn next_wake(&self) -> Option<Instant> {
        let waiting = self.queue.waiters().map(|w| w.deadline);
        let sent = self.in_flight.iter().flat_map(|leg| {
            let waiters = leg.waiters.iter().map(|w| w.deadline);
            waiters.chain([leg.deadline + SLOT_GRACE])
        });
        let holds = [self.settle_until, self.guard_until, self.inherited_until];
        let pause = (!self.queue.is_empty())
            .then_some(self.ramp.pause_until())
            .flatten();
        let reserve = (!self.queue.is_empty())
            .then_some(self.reserve.ends_at())
            .flatten();
        waiting
            .chain(reserve)
            .chain(sent)
            .chain(holds.into_iter().flatten())
            .chain(pause)
            .min()
    }

    /// Gives up ownership: waiting and later legs are refused, legs in flight
    /// finish here.
    pub fn drain(&mut self, now: Instant, out: &mut Vec<LimiterAction>) -> HandoverState {
        self.drained = true;
        let waiting = self.queue.take_all();
        self.refuse(waiting, &Refusal::NotOwner { owner: None }, out);
        self.end_holds(now);
        self.check(now);
        HandoverState {
            limit: self.limit(),
            warm: !self.is_cold() && !self.is_held(),
            in_flight: self.in_flight.len() + self.inherited,
            restart_id: self.restart_id,
        }
    }

    /// Records that `n` legs of the previous owners have finished.
    pub fn on_handover_released(&mut self, now: Instant, n: usize, out: &mut Vec<LimiterAction>) {
        self.inherited = self.inherited.saturating_sub(n);
        self.pump(now, out);
        self.check(now);
    }

    /// Holds the upstream to the cold limit while the ownership is unconfirmed.
    /// After the confirmation the limit grows again from the cold limit,
    /// because another host may have used the upstream meanwhile.
    pub fn set_confirmed(&mut self, now: Instant, confirmed: bool, out: &mut Vec<LimiterAction>) {
        if confirmed && !self.confirmed {
            self.ramp.restart_growth();
        }
        self.confirmed = confirmed;
        self.pump(now, out);
        self.refuse_late(now, out);
        self.check(now);
    }

    /// Marks the upstream as leaving, or as returned. A returned upstream is
    /// cold.
    pub fn set_leaving(&mut self, now: Instant, leaving: bool, out: &mut Vec<LimiterAction>) {
        if self.marked_leaving && !leaving {
            self.said_leaving = None;
            self.ramp.enter_cold();
        }
        self.marked_leaving = leaving;
        self.refuse_leaving(out);
        self.check(now);
    }

    /// Takes a report of the health endpoint or of the platform's list that the
    /// upstream serves. It ends a leaving state that the upstream itself
    /// announced some time ago; otherwise an upstream that returns unannounced
    /// would never get legs again.
    pub fn on_serving_report(&mut self, now: Instant) {
        let due = |t: &mut Instant| now.saturating_duration_since(*t) >= LEAVING_HOLD;
        if self.said_leaving.take_if(due).is_some() {
            self.ramp.enter_cold();
        }
    }

    /// Legs that may be in flight at present, legs of a previous owner included.
    pub fn limit(&self) -> usize {
        let limit = self.ramp.limit();
        if self.is_held() {
            limit.min(self.cfg.cold_limit)
        } else {
            limit
        }
    }

    /// Legs sent by this owner that occupy a slot.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Legs of previous owners that are still counted.
    pub fn inherited_legs(&self) -> usize {
        self.inherited
    }

    /// Legs that wait.
    pub fn queued(&self) -> usize {
        self.queue.legs()
    }

    /// Reports whether the upstream is in a cold start.
    pub fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Reports whether the upstream is marked as leaving or said so itself.
    pub fn is_leaving(&self) -> bool {
        self.marked_leaving || self.said_leaving.is_some()
    }

    /// Number of failed invariant checks, for a metric.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn holds(&self, attempt: AttemptId) -> bool {
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

    /// Reports whether the limit may not exceed the cold limit for a reason
    /// other than the upstream itself.
    pub(crate) fn is_held(&self) -> bool {
        self.guard_until.is_some() || !self.confirmed
    }

    fn is_stale(&self, now: Instant) -> bool {
        let after = STALE_AFTER.max(self.ramp.service() * 4);
        now.saturating_duration_since(self.last_answer) > after
    }

    /// Legs that this owner may have in flight now.
    pub(crate) fn cap(&self, now: Instant) -> usize {
        let later = |t: Option<Instant>| t.is_some_and(|t| now < t);
        if self.drained
            || self.is_leaving()
            || later(self.settle_until)
            || later(self.ramp.pause_until())
        {
            return 0;
        }
        let mut cap = self.limit().min(self.cfg.slots);
        if self.is_stale(now) {
            cap = cap.min(self.cfg.cold_limit);
        }
        cap.saturating_sub(self.inherited).min(self.circuit.cap())
    }

    pub(crate) fn end_holds(&mut self, now: Instant) {
        let passed = |t: &mut Option<Instant>| t.take_if(|t| *t <= now).is_some();
        passed(&mut self.settle_until);
        passed(&mut self.guard_until);
        if passed(&mut self.inherited_until) {
            self.inherited = 0;
        }
        self.ramp.end_pause(now);
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

    /// Checks the invariants after each call: the slots bound the legs in
    /// flight, and each submitted leg is either held or was replied to once.
    pub(crate) fn check(&mut self, now: Instant) {
        let sent: usize = self.in_flight.iter().map(|leg| leg.waiters.len()).sum();
        let held = (sent + self.queue.legs()) as u64;
        let bounded = self.in_flight.len() <= self.cfg.slots;
        let cold = !self.is_cold() || self.ramp.limit() <= self.cfg.cold_limit;
        let replied_once = self.submitted == self.replied + held;
        if bounded && cold && replied_once {
            return;
        }
        self.violations += 1;
        log::error!(
            "event=invariant_failed step=limiter now={now:?} in_flight={} slots={} limit={} cold={} submitted={} replied={} held={held}",
            self.in_flight.len(),
            self.cfg.slots,
            self.ramp.limit(),
            self.is_cold(),
            self.submitted,
            self.replied,
        );
        if cfg!(debug_assertions) {
            panic!("limiter invariant failed: {self:?}");
        }
    }
}
