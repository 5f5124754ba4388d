//! Simulation of one upstream and its owners in virtual time, and a harness for a
//! single limiter.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use cornelwinch_limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch_types::*;

type Actions = Vec<LimiterAction>;

pub const MS: Duration = Duration::from_millis(1);
/// Maximum budget of a leg, shorter than the guard interval.
pub const MAX_BUDGET_MS: u64 = 60;

/// Runs a test for each seed and adds the seed to the message of a failure.
pub fn for_seeds<T>(run: impl Fn(u64) -> T) -> Vec<T> {
    let count =
        std::env::var("CORNELWINCH_ITERATIONS").map_or(200, |s| s.parse().expect("a number"));
    let run = |seed| {
        catch_unwind(AssertUnwindSafe(|| run(seed))).unwrap_or_else(|e| {
            let text = e.downcast_ref::<String>().map(String::as_str);
            panic!(
                "seed {seed}: {}",
                text.or(e.downcast_ref().copied()).unwrap_or("no text")
            )
        })
    };
    (0..count).map(run).collect()
}

pub fn leg(attempt: u64, body: &str, priority: u8, budget: Duration) -> LegRequest {
    LegRequest {
        attempt: AttemptId(attempt),
        query: QueryId(attempt),
        search: "portal".into(),
        class: "interactive".into(),
        organisation: "school".into(),
        snapshot: SnapshotId(7),
        range: KeyRange { start: 0, end: 9 },
        upstream: "leaf-1".into(),
        body: body.into(),
        idempotent: true,
        priority,
        fingerprint: Fingerprint::of("portal", body),
        budget,
    }
}

pub fn answer(req: &LegRequest) -> LegResult {
    LegResult::Answer(LegAnswer {
        attempt: req.attempt,
        snapshot: req.snapshot,
        range: req.range,
        documents: 1,
        hits: vec![Hit {
            key: 1,
            text: req.body.clone(),
        }],
    })
}

pub fn observation(restart_id: u64) -> UpstreamObservation {
    UpstreamObservation {
        restart_id: Some(restart_id),
        latency: MS,
        leaving: false,
    }
}

/// A leg at the simulated upstream.
#[derive(Clone)]
pub struct Running {
    owner: usize,
    req: LegRequest,
    /// Restart identifier known to the owner when it sent the leg.
    known_restart_id: u64,
    /// False if the upstream ends the leg without an answer.
    answers: bool,
}

enum Event {
    Arrive(Running),
    Done(AttemptId),
    Cancel(AttemptId),
    Result(usize, AttemptId, LegResult, UpstreamObservation),
    Released(usize, usize),
}

pub struct Owner {
    pub limiter: Limiter,
    /// Restart identifier last received from the upstream.
    known_restart_id: u64,
    failed: bool,
    /// Legs that the next owner still counts as in flight.
    unreleased: usize,
    paused_until: Option<Instant>,
}

pub struct Simulation {
    pub now: Instant,
    pub rng: fastrand::Rng,
    pub cfg: LimiterConfig,
    pub owners: Vec<Owner>,
    pub restart_id: u64,
    pub down_until: Instant,
    pub shed_chance: f64,
    running: Vec<Running>,
    served: usize,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    /// By attempt: deadline, body, number of replies and whether the leg was executed.
    pub legs: BTreeMap<AttemptId, (Instant, Name, u32, bool)>,
    /// Highest number of concurrent legs at the upstream, without legs of failed
    /// owners.
    pub max_running: usize,
    pub answered: usize,
    last_takeover: Option<Instant>,
}

impl Simulation {
    pub fn new(seed: u64, cfg: LimiterConfig) -> Self {
        let now = Instant::now();
        let mut sim = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            owners: Vec::new(),
            restart_id: 1,
            down_until: now,
            shed_chance: 0.0,
            running: Vec::new(),
            served: 0,
            events: BTreeMap::new(),
            sequence: 0,
            legs: BTreeMap::new(),
            max_running: 0,
            answered: 0,
            last_takeover: None,
            cfg,
        };
        sim.add_owner(OwnershipStart::Cold, 1);
        sim
    }

    fn add_owner(&mut self, start: OwnershipStart, known_restart_id: u64) {
        self.owners.push(Owner {
            limiter: Limiter::new(self.now, self.cfg.clone(), start),
            known_restart_id,
            failed: false,
            unreleased: 0,
            paused_until: None,
        });
    }

    fn schedule(&mut self, time: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn after_network_delay(&mut self) -> Instant {
        self.now + Duration::from_micros(self.rng.u64(200..1000))
    }

    pub fn current(&self) -> usize {
        self.owners.len() - 1
    }

    /// Calls the limiter of owner `i` and performs the resulting actions.
    pub fn call(&mut self, i: usize, f: impl FnOnce(&mut Limiter, Instant, &mut Actions)) {
        let mut out = Vec::new();
        f(&mut self.owners[i].limiter, self.now, &mut out);
        for action in out {
            match action {
                LimiterAction::Send(req) => {
                    let deadline = self.legs[&req.attempt].0;
                    assert!(self.now < deadline, "sent after its deadline");
                    let known_restart_id = self.owners[i].known_restart_id;
                    let (at, answers) = (self.after_network_delay(), self.rng.u8(..100) > 0);
                    let leg = Running {
                        owner: i,
                        req,
                        known_restart_id,
                        answers,
                    };
                    self.schedule(at, Event::Arrive(leg));
                }
                LimiterAction::Cancel { attempt } => {
                    let at = self.after_network_delay();
                    self.schedule(at, Event::Cancel(attempt));
                }
                LimiterAction::Reply {
                    attempt, result, ..
                } => self.on_reply(attempt, &result),
            }
        }
        let is_former = i != self.current();
        let owner = &mut self.owners[i];
        let n = owner.unreleased.saturating_sub(owner.limiter.in_flight());
        if is_former && !owner.failed && n > 0 {
            owner.unreleased -= n;
            let at = self.after_network_delay();
            self.schedule(at, Event::Released(i, n));
        }
    }

    fn on_reply(&mut self, attempt: AttemptId, result: &LegResult) {
        let leg = self.legs.get_mut(&attempt).expect("a submitted leg");
        leg.2 += 1;
        assert_eq!(leg.2, 1, "more than one reply to {attempt}");
        match result {
            LegResult::Answer(answer) => {
                self.answered += 1;
                assert_eq!(answer.attempt, attempt, "answer to another attempt");
                assert_eq!(answer.hits[0].text, leg.1, "hits of another request");
            }
            LegResult::Refused(_) => assert!(!leg.3, "a refused leg was executed"),
            LegResult::Failed(_) => {}
        }
    }

    pub fn submit(&mut self, req: LegRequest) {
        let entry = (self.now + req.budget, req.body.clone(), 0, false);
        self.legs.insert(req.attempt, entry);
        self.call(self.current(), |l, now, out| {
            l.submit(now, req, "host-1".into(), out);
        });
    }

    /// Advances the time and processes events and wakes when they are due.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        loop {
            let event = self.events.first_key_value().map(|(k, _)| k.0);
            let owners = self.owners.iter().enumerate().filter(|(_, o)| !o.failed);
            let wakes = owners.filter_map(|(i, o)| {
                let wake = o.limiter.next_wake()?;
                Some((o.paused_until.map_or(wake, |t| wake.max(t)), i))
            });
            let wake = wakes.min();
            if let Some((at, i)) = wake
                && at <= end
                && event.is_none_or(|e| at < e)
            {
                self.now = self.now.max(at);
                self.call(i, Limiter::on_wake);
                let next = self.owners[i].limiter.next_wake();
                assert!(next.is_none_or(|t| t > self.now), "wake without effect");
            } else if event.is_some_and(|e| e <= end) {
                let (key, event) = self.events.pop_first().expect("an event");
                self.now = self.now.max(key.0);
                self.on_event(event);
            } else {
                self.now = end;
                return;
            }
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Arrive(leg) => self.on_arrive(leg),
            Event::Cancel(attempt) => {
                // The upstream ignores some cancellations.
                let i = self.running.iter().position(|r| r.req.attempt == attempt);
                if let Some(i) = i.filter(|_| self.rng.bool()) {
                    let leg = self.running.remove(i);
                    let result = LegResult::Failed(LegFailure::Cancelled);
                    self.send_result(&leg, result, observation(self.restart_id));
                }
            }
            Event::Done(attempt) => {
                let Some(i) = self.running.iter().position(|r| r.req.attempt == attempt) else {
                    return;
                };
                let leg = self.running.remove(i);
                if leg.answers {
                    self.served += 1;
                    self.send_result(&leg, answer(&leg.req), observation(self.restart_id));
                }
            }
            Event::Result(i, attempt, result, obs) => {
                if let Some(until) = self.owners[i].paused_until.filter(|t| *t > self.now) {
                    self.schedule(until, Event::Result(i, attempt, result, obs));
                } else if !self.owners[i].failed {
                    let disconnected = result == LegResult::Failed(LegFailure::Disconnected);
                    let known_restart_id = obs
                        .restart_id
                        .or(disconnected.then_some(self.restart_id))
                        .unwrap_or(0);
                    self.owners[i].known_restart_id =
                        self.owners[i].known_restart_id.max(known_restart_id);
                    self.call(i, |l, now, out| l.finish(now, attempt, result, obs, out));
                }
            }
            Event::Released(from, n) if !self.owners[from].failed => {
                let i = self.current();
                self.call(i, |l, now, out| l.on_handover_released(now, n, out));
            }
            Event::Released(..) => {}
        }
    }

    fn send_result(&mut self, leg: &Running, result: LegResult, observation: UpstreamObservation) {
        let at = self.after_network_delay();
        self.schedule(
            at,
            Event::Result(leg.owner, leg.req.attempt, result, observation),
        );
    }

    fn on_arrive(&mut self, leg: Running) {
        if self.now < self.down_until {
            let refused = LegResult::Refused(Refusal::Unreachable);
            return self.send_result(&leg, refused, UpstreamObservation::default());
        }
        let failed = |r: &&Running| self.owners[r.owner].failed;
        let owned = self.running.len() - self.running.iter().filter(failed).count() + 1;
        let all = self.running.len() + 1;
        self.max_running = self.max_running.max(owned);
        let (slots, cold_limit) = (self.cfg.slots, self.cfg.cold_limit);
        let cold = self.served < self.cfg.warm_after_successes;
        assert!(owned <= slots, "{owned} legs on {slots} slots");
        assert!(all <= slots + cold_limit, "{all} legs after a takeover");
        if cold && leg.known_restart_id == self.restart_id && !self.owners[leg.owner].failed {
            assert!(owned <= cold_limit, "{owned} legs in a cold start");
        }
        let capacity = if cold { cold_limit } else { slots };
        if owned > capacity || self.rng.f64() < self.shed_chance {
            let shed = LegResult::Refused(Refusal::Shed);
            return self.send_result(&leg, shed, observation(self.restart_id));
        }
        if let Some(entry) = self.legs.get_mut(&leg.req.attempt) {
            entry.3 = true;
        }
        let straggler_factor = if self.rng.u8(..100) == 0 { 10 } else { 1 };
        let service = Duration::from_micros(self.rng.u64(500..3000) * straggler_factor);
        let service = if leg.answers { service } else { leg.req.budget };
        let done = self.now + service.min(leg.req.budget);
        self.schedule(done, Event::Done(leg.req.attempt));
        self.running.push(leg);
    }

    /// Restarts the upstream, which disconnects the legs in flight.
    pub fn restart(&mut self) {
        self.restart_id += 1;
        self.served = 0;
        for leg in std::mem::take(&mut self.running) {
            let disconnected = LegResult::Failed(LegFailure::Disconnected);
            self.send_result(&leg, disconnected, UpstreamObservation::default());
        }
    }

    /// Suspends the process of the current owner for `time`; its ownership is
    /// unconfirmed for a moment afterwards.
    pub fn pause(&mut self, time: Duration) {
        let i = self.current();
        let until = self.now + time;
        self.owners[i].paused_until = Some(until);
        self.advance(time);
        self.owners[i].paused_until = None;
        self.call(i, |l, now, out| l.set_confirmed(now, false, out));
        assert!(self.owners[i].limiter.limit() <= self.cfg.cold_limit);
        self.advance(5 * MS);
        self.call(i, |l, now, out| l.set_confirmed(now, true, out));
    }

    /// Passes ownership and state to a new owner.
    pub fn hand_over(&mut self) {
        let i = self.current();
        let mut state = None;
        self.call(i, |l, now, out| state = Some(l.drain(now, out)));
        self.owners[i].unreleased = self.owners[i].limiter.in_flight();
        let known_restart_id = self.owners[i].known_restart_id;
        self.add_owner(
            OwnershipStart::Handover(state.expect("a state")),
            known_restart_id,
        );
    }

    /// Makes all owners fail; a new one starts without their state.
    pub fn take_over(&mut self) {
        if self
            .last_takeover
            .is_some_and(|t| self.now < t + self.cfg.guard_interval)
        {
            return;
        }
        self.last_takeover = Some(self.now);
        for owner in &mut self.owners {
            owner.failed = true;
        }
        // Legs at a failed owner get no reply.
        for leg in self.legs.values_mut().filter(|leg| leg.2 == 0) {
            leg.2 = 1;
        }
        self.add_owner(OwnershipStart::Takeover, self.restart_id);
    }
}

/// One limiter whose sent legs are answered explicitly by the test.
pub struct LimiterHarness {
    pub now: Instant,
    pub limiter: Limiter,
    pub sent: Vec<LegRequest>,
    pub replies: Vec<(u64, LegResult)>,
    pub cancelled: Vec<u64>,
}

impl LimiterHarness {
    pub fn new(cfg: LimiterConfig, start: OwnershipStart) -> Self {
        let now = Instant::now();
        Self {
            now,
            limiter: Limiter::new(now, cfg, start),
            sent: Vec::new(),
            replies: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    pub fn call(&mut self, f: impl FnOnce(&mut Limiter, Instant, &mut Actions)) {
        let mut out = Vec::new();
        f(&mut self.limiter, self.now, &mut out);
        for action in out {
            match action {
                LimiterAction::Send(req) => self.sent.push(req),
                LimiterAction::Reply {
                    attempt, result, ..
                } => self.replies.push((attempt.0, result)),
                LimiterAction::Cancel { attempt } => self.cancelled.push(attempt.0),
            }
        }
    }

    pub fn submit(&mut self, attempt: u64, body: &str, priority: u8, budget_ms: u64) {
        let req = leg(attempt, body, priority, Duration::from_millis(budget_ms));
        self.call(|l, now, out| l.submit(now, req, "host-1".into(), out));
    }

    pub fn advance(&mut self, time: Duration) {
        self.now += time;
        self.call(Limiter::on_wake);
    }

    /// Advances the time by 1 ms and finishes the oldest sent leg.
    pub fn finish(&mut self, result: LegResult, observation: UpstreamObservation) {
        let req = self.sent.remove(0);
        self.now += MS;
        let result = if matches!(result, LegResult::Answer(_)) {
            answer(&req)
        } else {
            result
        };
        self.call(|l, now, out| l.finish(now, req.attempt, result, observation, out));
    }

    /// Keeps as many legs in flight as the limit allows, answers `n` of them one after
    /// the other and returns the limit after each answer.
    pub fn answer_legs(&mut self, n: u64) -> Vec<usize> {
        let mut limits = Vec::new();
        for _ in 0..n {
            let attempt = 1_000_000 + self.replies.len() as u64 + self.sent.len() as u64;
            while self.sent.len() < self.limiter.limit() {
                let next = attempt + self.sent.len() as u64 * 1000;
                self.submit(next, &next.to_string(), 0, 500);
            }
            let ok = answer(&self.sent[0]);
            self.finish(ok, observation(1));
            limits.push(self.limiter.limit());
        }
        limits
    }
}
