//! Owners of one fake upstream in virtual time.
#![allow(dead_code, unreachable_pub)]

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::{Duration, Instant};

use cornelwinch_limiter::{Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch_types::*;

type Out = Vec<LimiterAction>;

pub const MS: Duration = Duration::from_millis(1);
/// Longest budget of a leg, shorter than the guard.
pub const MAX_BUDGET_MS: u64 = 60;

/// Runs a test for each seed and names the seed of a failure.
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
        customer: "school".into(),
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

pub fn signs(restart_id: u64) -> UpstreamObservation {
    UpstreamObservation {
        restart_id: Some(restart_id),
        latency: MS,
        leaving: false,
    }
}

/// A leg at the fake upstream.
#[derive(Clone)]
pub struct Running {
    owner: usize,
    req: LegRequest,
    /// Restart that the owner had been told of when it sent the leg.
    told: u64,
    /// False for an upstream that ends the leg without an answer.
    answers: bool,
}

enum Event {
    Arrive(Running),
    Done(AttemptId),
    Stop(AttemptId),
    Result(usize, AttemptId, LegResult, UpstreamObservation),
    Released(usize, usize),
}

pub struct Owner {
    pub limiter: Limiter,
    told: u64,
    lost: bool,
    reported: usize,
    paused_until: Option<Instant>,
}

pub struct World {
    pub now: Instant,
    pub rng: fastrand::Rng,
    pub cfg: LimiterConfig,
    pub owners: Vec<Owner>,
    pub restart: u64,
    pub down_until: Instant,
    pub shed_chance: f64,
    running: Vec<Running>,
    served: usize,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    /// Deadline, body, host's replies and whether the leg ran, by attempt.
    pub legs: BTreeMap<AttemptId, (Instant, Name, u32, bool)>,
    pub most: usize,
    pub answered: usize,
    last_takeover: Option<Instant>,
}

impl World {
    pub fn open(seed: u64, cfg: LimiterConfig) -> Self {
        let now = Instant::now();
        let mut world = Self {
            now,
            rng: fastrand::Rng::with_seed(seed),
            owners: Vec::new(),
            restart: 1,
            down_until: now,
            shed_chance: 0.0,
            running: Vec::new(),
            served: 0,
            events: BTreeMap::new(),
            sequence: 0,
            legs: BTreeMap::new(),
            most: 0,
            answered: 0,
            last_takeover: None,
            cfg,
        };
        world.add_owner(OwnershipStart::Cold, 1);
        world
    }

    fn add_owner(&mut self, start: OwnershipStart, told: u64) {
        self.owners.push(Owner {
            limiter: Limiter::new(self.now, self.cfg.clone(), start),
            told,
            lost: false,
            reported: 0,
            paused_until: None,
        });
    }

    fn at(&mut self, time: Instant, event: Event) {
        self.sequence += 1;
        self.events.insert((time, self.sequence), event);
    }

    fn hop(&mut self) -> Instant {
        self.now + Duration::from_micros(self.rng.u64(200..1000))
    }

    pub fn current(&self) -> usize {
        self.owners.len() - 1
    }

    /// Calls the limiter of an owner and carries out its actions.
    pub fn call(&mut self, i: usize, f: impl FnOnce(&mut Limiter, Instant, &mut Out)) {
        let mut out = Vec::new();
        f(&mut self.owners[i].limiter, self.now, &mut out);
        for action in out {
            match action {
                LimiterAction::Send(req) => {
                    let deadline = self.legs[&req.attempt].0;
                    assert!(self.now < deadline, "sent after its deadline");
                    let told = self.owners[i].told;
                    let (at, answers) = (self.hop(), self.rng.u8(..100) > 0);
                    let leg = Running {
                        owner: i,
                        req,
                        told,
                        answers,
                    };
                    self.at(at, Event::Arrive(leg));
                }
                LimiterAction::Cancel { attempt } => {
                    let at = self.hop();
                    self.at(at, Event::Stop(attempt));
                }
                LimiterAction::Reply {
                    attempt, result, ..
                } => self.on_reply(attempt, &result),
            }
        }
        let former = i != self.current();
        let owner = &mut self.owners[i];
        let n = owner.reported.saturating_sub(owner.limiter.in_flight());
        if former && !owner.lost && n > 0 {
            owner.reported -= n;
            let at = self.hop();
            self.at(at, Event::Released(i, n));
        }
    }

    fn on_reply(&mut self, attempt: AttemptId, result: &LegResult) {
        let leg = self.legs.get_mut(&attempt).expect("a submitted leg");
        leg.2 += 1;
        assert_eq!(leg.2, 1, "second reply to {attempt}");
        match result {
            LegResult::Answer(answer) => {
                self.answered += 1;
                assert_eq!(answer.attempt, attempt, "foreign answer");
                assert_eq!(answer.hits[0].text, leg.1, "foreign rows");
            }
            LegResult::Refused(_) => assert!(!leg.3, "a refused leg ran"),
            LegResult::Failed(_) => {}
        }
    }

    pub fn submit(&mut self, req: LegRequest) {
        let facts = (self.now + req.budget, req.body.clone(), 0, false);
        self.legs.insert(req.attempt, facts);
        self.call(self.current(), |l, now, out| {
            l.submit(now, req, "host-1".into(), out);
        });
    }

    /// Lets time pass, with events and wakes at their moments.
    pub fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        loop {
            let event = self.events.first_key_value().map(|(k, _)| k.0);
            let owners = self.owners.iter().enumerate().filter(|(_, o)| !o.lost);
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
            Event::Stop(attempt) => {
                // The upstream may ignore a cancellation.
                let i = self.running.iter().position(|r| r.req.attempt == attempt);
                if let Some(i) = i.filter(|_| self.rng.bool()) {
                    let leg = self.running.remove(i);
                    let result = LegResult::Failed(LegFailure::Cancelled);
                    self.send_result(&leg, result, signs(self.restart));
                }
            }
            Event::Done(attempt) => {
                let Some(i) = self.running.iter().position(|r| r.req.attempt == attempt) else {
                    return;
                };
                let leg = self.running.remove(i);
                if leg.answers {
                    self.served += 1;
                    self.send_result(&leg, answer(&leg.req), signs(self.restart));
                }
            }
            Event::Result(i, attempt, result, signs) => {
                if let Some(until) = self.owners[i].paused_until.filter(|t| *t > self.now) {
                    self.at(until, Event::Result(i, attempt, result, signs));
                } else if !self.owners[i].lost {
                    let broken = result == LegResult::Failed(LegFailure::Disconnected);
                    let told = signs
                        .restart_id
                        .or(broken.then_some(self.restart))
                        .unwrap_or(0);
                    self.owners[i].told = self.owners[i].told.max(told);
                    self.call(i, |l, now, out| l.finish(now, attempt, result, signs, out));
                }
            }
            Event::Released(from, n) if !self.owners[from].lost => {
                let i = self.current();
                self.call(i, |l, now, out| l.on_handover_released(now, n, out));
            }
            Event::Released(..) => {}
        }
    }

    fn send_result(&mut self, leg: &Running, result: LegResult, signs: UpstreamObservation) {
        let at = self.hop();
        self.at(at, Event::Result(leg.owner, leg.req.attempt, result, signs));
    }

    fn on_arrive(&mut self, leg: Running) {
        if self.now < self.down_until {
            let refused = LegResult::Refused(Refusal::Unreachable);
            return self.send_result(&leg, refused, UpstreamObservation::default());
        }
        let lost = |r: &&Running| self.owners[r.owner].lost;
        let known = self.running.len() - self.running.iter().filter(lost).count() + 1;
        let all = self.running.len() + 1;
        self.most = self.most.max(known);
        let (slots, cold_limit) = (self.cfg.slots, self.cfg.cold_limit);
        let cold = self.served < self.cfg.warm_after_successes;
        assert!(known <= slots, "{known} legs on {slots} slots");
        assert!(all <= slots + cold_limit, "{all} legs after a takeover");
        if cold && leg.told == self.restart && !self.owners[leg.owner].lost {
            assert!(known <= cold_limit, "{known} legs in a cold start");
        }
        let capacity = if cold { cold_limit } else { slots };
        if known > capacity || self.rng.f64() < self.shed_chance {
            let shed = LegResult::Refused(Refusal::Shed);
            return self.send_result(&leg, shed, signs(self.restart));
        }
        if let Some(entry) = self.legs.get_mut(&leg.req.attempt) {
            entry.3 = true;
        }
        let straggles = if self.rng.u8(..100) == 0 { 10 } else { 1 };
        let service = Duration::from_micros(self.rng.u64(500..3000) * straggles);
        let service = if leg.answers { service } else { leg.req.budget };
        let done = self.now + service.min(leg.req.budget);
        self.at(done, Event::Done(leg.req.attempt));
        self.running.push(leg);
    }

    /// Restarts the upstream: legs in flight break.
    pub fn restart(&mut self) {
        self.restart += 1;
        self.served = 0;
        for leg in std::mem::take(&mut self.running) {
            let broken = LegResult::Failed(LegFailure::Disconnected);
            self.send_result(&leg, broken, UpstreamObservation::default());
        }
    }

    /// Stops the current owner's process for a while.
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

    pub fn hand_over(&mut self) {
        let i = self.current();
        let mut state = None;
        self.call(i, |l, now, out| state = Some(l.drain(now, out)));
        self.owners[i].reported = self.owners[i].limiter.in_flight();
        let told = self.owners[i].told;
        self.add_owner(OwnershipStart::Handover(state.expect("a state")), told);
    }

    /// Loses the current owner; the next one starts without its state.
    pub fn take_over(&mut self) {
        if self
            .last_takeover
            .is_some_and(|t| self.now < t + self.cfg.guard_interval)
        {
            return;
        }
        self.last_takeover = Some(self.now);
        for owner in &mut self.owners {
            owner.lost = true;
        }
        // Nobody waits for replies of a lost owner.
        for leg in self.legs.values_mut().filter(|leg| leg.2 == 0) {
            leg.2 = 1;
        }
        self.add_owner(OwnershipStart::Takeover, self.restart);
    }
}

/// One limiter whose legs are answered by hand.
pub struct Desk {
    pub now: Instant,
    pub limiter: Limiter,
    pub sent: Vec<LegRequest>,
    pub replies: Vec<(u64, LegResult)>,
    pub cancelled: Vec<u64>,
}

impl Desk {
    pub fn open(cfg: LimiterConfig, start: OwnershipStart) -> Self {
        let now = Instant::now();
        Self {
            now,
            limiter: Limiter::new(now, cfg, start),
            sent: Vec::new(),
            replies: Vec::new(),
            cancelled: Vec::new(),
        }
    }

    pub fn call(&mut self, f: impl FnOnce(&mut Limiter, Instant, &mut Out)) {
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

    pub fn wake_after(&mut self, time: Duration) {
        self.now += time;
        self.call(Limiter::on_wake);
    }

    /// Gives the oldest sent leg a result, 1 ms later.
    pub fn finish(&mut self, result: LegResult, signs: UpstreamObservation) {
        let req = self.sent.remove(0);
        self.now += MS;
        let result = if matches!(result, LegResult::Answer(_)) {
            answer(&req)
        } else {
            result
        };
        self.call(|l, now, out| l.finish(now, req.attempt, result, signs, out));
    }

    /// Answers `n` legs one after the other; returns the limit after each.
    pub fn answer_legs(&mut self, n: u64) -> Vec<usize> {
        let mut limits = Vec::new();
        for _ in 0..n {
            let attempt = 1_000_000 + self.replies.len() as u64 + self.sent.len() as u64;
            while self.sent.len() < self.limiter.limit() {
                let next = attempt + self.sent.len() as u64 * 1000;
                self.submit(next, &next.to_string(), 0, 500);
            }
            let ok = answer(&self.sent[0]);
            self.finish(ok, signs(1));
            limits.push(self.limiter.limit());
        }
        limits
    }
}
