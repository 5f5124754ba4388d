use std::time::{Duration, Instant};

use cornelwinch_http::Responder;
use cornelwinch_types::{KeyRange, SnapshotId};
use fastrand::Rng;
use serde::Deserialize;
use serde_json::{Value, json};

use super::config::{HeldSnapshot, UpstreamConfig};
use super::fault::{HealthReport, UpstreamCounters, UpstreamFault};
use crate::documents::{document_count, documents};

/// Body of `POST /v1/leg`.
#[derive(Debug, Clone, Deserialize)]
pub(super) struct LegBody {
    pub(super) attempt: u64,
    pub(super) search: String,
    pub(super) snapshot: u64,
    pub(super) range: KeyRange,
    pub(super) body: String,
    pub(super) deadline_ms: u64,
    pub(super) idempotent: bool,
}

/// A leg in progress.
pub(super) struct RunningLeg {
    pub(super) serial: u64,
    leg: LegBody,
    responder: Responder,
    deadline: Instant,
    done: Instant,
}

/// An answer that is ready to be sent.
pub(super) struct LegReply {
    pub(super) responder: Responder,
    pub(super) status: u16,
    pub(super) body: Value,
}

impl LegReply {
    pub(super) fn send(self) {
        self.responder.json(self.status, self.body.to_string());
    }
}

/// What the caller of [`UpstreamState`] has to do.
pub(super) enum Effect {
    /// Send the answer now.
    Reply(LegReply),
    /// Send the answer at that time.
    ReplyAt(Instant, LegReply),
    /// Call `finish` with the serial number at that time.
    FinishAt(Instant, u64),
    /// Call `release_crossed` at that time.
    ReleaseAt(Instant, u64),
    /// Drop all connections and listen again.
    Restart,
}

/// Longest time that an answer waits for another one to be exchanged with.
const CROSS_WAIT: Duration = Duration::from_millis(200);

pub(super) struct UpstreamState {
    pub(super) cfg: UpstreamConfig,
    pub(super) counters: UpstreamCounters,
    rng: Rng,
    running: Vec<RunningLeg>,
    next_serial: u64,
    draining: bool,
    /// Legs still to serve until the upstream is warm.
    cold_left: u32,
    /// The upstream fell over and sheds until this time.
    fallen_until: Option<Instant>,
    mark: Option<Instant>,
    crash_marker: Option<String>,
    wrong_snapshots: u32,
    late: (u32, Duration),
    cross_pairs: u32,
    crossed: Option<(u64, LegReply)>,
    fail_legs: u32,
    shed_legs: u32,
    slow_factor: f64,
    health: HealthReport,
}

impl UpstreamState {
    pub(super) fn new(cfg: UpstreamConfig) -> Self {
        let rng = Rng::with_seed(cfg.seed);
        let counters = UpstreamCounters {
            name: cfg.name.to_string(),
            restart: restart_id(),
            ..UpstreamCounters::default()
        };
        let cold_left = if cfg.cold.from_start {
            cfg.cold.legs
        } else {
            0
        };
        Self {
            cfg,
            counters,
            rng,
            running: Vec::new(),
            next_serial: 0,
            draining: false,
            cold_left,
            fallen_until: None,
            mark: None,
            crash_marker: None,
            wrong_snapshots: 0,
            late: (0, Duration::ZERO),
            cross_pairs: 0,
            crossed: None,
            fail_legs: 0,
            shed_legs: 0,
            slow_factor: 1.0,
            health: HealthReport::True,
        }
    }

    pub(super) fn counters(&self) -> UpstreamCounters {
        UpstreamCounters {
            cold: self.cold_left > 0,
            running: self.running_count(),
            ..self.counters.clone()
        }
    }

    fn running_count(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Takes a leg from a caller.
    pub(super) fn arrive(
        &mut self,
        now: Instant,
        leg: LegBody,
        responder: Responder,
        out: &mut Vec<Effect>,
    ) {
        let concurrency = self.running_count() + 1;
        let cold = self.cold_left > 0;
        self.counters.arrived += 1;
        self.counters.highest = self.counters.highest.max(concurrency);
        if cold {
            self.counters.highest_cold = self.counters.highest_cold.max(concurrency);
        }
        if let Some(mark) = self.mark {
            self.counters.arrived_after_mark += 1;
            let since = u64::try_from((now - mark).as_millis()).unwrap_or(u64::MAX);
            self.counters.last_arrival_after_mark_ms = since;
        }
        if let Some((status, body)) = self.refuse(now, &leg, concurrency) {
            out.push(Effect::Reply(LegReply {
                responder,
                status,
                body,
            }));
            return;
        }
        self.start(now, leg, responder, out);
    }

    /// Returns the refusal if the leg may not start.
    fn refuse(&mut self, now: Instant, leg: &LegBody, concurrency: u32) -> Option<(u16, Value)> {
        if self.draining {
            self.counters.refused_draining += 1;
            return Some((503, self.error(leg.attempt, "draining")));
        }
        if self.fallen_until.is_some_and(|until| now < until) {
            self.counters.shed += 1;
            return Some((429, self.error(leg.attempt, "shed")));
        }
        self.fallen_until = None;
        if self.cold_left > 0 && concurrency > self.cfg.cold.limit {
            self.counters.fell_over += 1;
            self.counters.shed += 1;
            self.cold_left = self.cfg.cold.legs;
            self.fallen_until = Some(now + self.cfg.cold.recovery);
            return Some((429, self.error(leg.attempt, "shed")));
        }
        if concurrency > self.cfg.slots || take(&mut self.shed_legs) {
            self.counters.shed += 1;
            return Some((429, self.error(leg.attempt, "shed")));
        }
        let snapshot = SnapshotId(leg.snapshot);
        let held = |held: &&HeldSnapshot| *held.search == *leg.search;
        let mine = self.cfg.snapshots.iter().filter(held);
        if !mine
            .clone()
            .any(|held| held.snapshot == snapshot && held.holds(leg.range))
        {
            self.counters.snapshot_missing += 1;
            let mut body = self.error(leg.attempt, "snapshot_missing");
            body["held"] = mine.map(|held| held.snapshot.0).collect();
            return Some((409, body));
        }
        if leg.deadline_ms == 0 {
            self.counters.deadline_passed += 1;
            let mut body = self.error(leg.attempt, "deadline");
            body["started"] = false.into();
            return Some((504, body));
        }
        None
    }

    fn start(&mut self, now: Instant, leg: LegBody, responder: Responder, out: &mut Vec<Effect>) {
        self.counters.started += 1;
        if self.mark.is_some() {
            self.counters.started_after_mark += 1;
        }
        if !leg.idempotent {
            let runs = &mut self.counters.runs;
            match runs.binary_search_by(|run| run.0.as_str().cmp(&leg.body)) {
                Ok(i) => runs[i].1 += 1,
                Err(i) => runs.insert(i, (leg.body.clone(), 1)),
            }
        }
        let mut service = self.cfg.service.draw(&mut self.rng);
        service = service.mul_f64(self.slow_factor);
        if self.cold_left > 0 {
            service = service.mul_f64(self.cfg.cold.factor);
        }
        let serial = self.next_serial;
        self.next_serial += 1;
        let deadline = now + Duration::from_millis(leg.deadline_ms);
        let done = now + service;
        let crashes = self
            .crash_marker
            .as_ref()
            .is_some_and(|marker| leg.body.contains(marker.as_str()));
        self.running.push(RunningLeg {
            serial,
            leg,
            responder,
            deadline,
            done,
        });
        if crashes {
            self.counters.crashes += 1;
            out.push(Effect::Restart);
            return;
        }
        let late = self.late.0 > 0;
        out.push(Effect::FinishAt(
            if late { done } else { done.min(deadline) },
            serial,
        ));
    }

    /// Ends a leg whose service time or deadline has passed.
    pub(super) fn finish(&mut self, serial: u64, out: &mut Vec<Effect>) {
        let Ok(i) = self.running.binary_search_by_key(&serial, |leg| leg.serial) else {
            // Cancelled, or lost in a restart.
            return;
        };
        let RunningLeg {
            leg,
            responder,
            deadline,
            done,
            ..
        } = self.running.remove(i);
        let late = self.late.0 > 0;
        if deadline < done && !late {
            self.counters.deadline_passed += 1;
            let mut body = self.error(leg.attempt, "deadline");
            body["started"] = true.into();
            out.push(Effect::Reply(LegReply {
                responder,
                status: 504,
                body,
            }));
            return;
        }
        if self.fallen_until.is_none() {
            self.cold_left = self.cold_left.saturating_sub(1);
        }
        if take(&mut self.fail_legs) {
            let body = self.error(leg.attempt, "failed");
            out.push(Effect::Reply(LegReply {
                responder,
                status: 500,
                body,
            }));
            return;
        }
        self.counters.answered += 1;
        let snapshot = if take(&mut self.wrong_snapshots) {
            leg.snapshot + 1
        } else {
            leg.snapshot
        };
        let id = SnapshotId(snapshot);
        let body = json!({
            "attempt": leg.attempt,
            "restart": self.counters.restart,
            "snapshot": snapshot,
            "range": leg.range,
            "documents": document_count(&leg.search, id, leg.range),
            "hits": documents(&leg.search, id, leg.range, &leg.body),
        });
        let reply = LegReply {
            responder,
            status: 200,
            body,
        };
        if late {
            self.late.0 -= 1;
            out.push(Effect::ReplyAt(Instant::now() + self.late.1, reply));
        } else if self.cross_pairs > 0 {
            self.cross(serial, reply, out);
        } else {
            out.push(Effect::Reply(reply));
        }
    }

    /// Holds an answer until a second one is ready, then exchanges the two.
    fn cross(&mut self, serial: u64, mut reply: LegReply, out: &mut Vec<Effect>) {
        match self.crossed.take() {
            None => {
                self.crossed = Some((serial, reply));
                out.push(Effect::ReleaseAt(Instant::now() + CROSS_WAIT, serial));
            }
            Some((_, mut other)) => {
                self.cross_pairs -= 1;
                std::mem::swap(&mut reply.body, &mut other.body);
                out.push(Effect::Reply(reply));
                out.push(Effect::Reply(other));
            }
        }
    }

    /// Sends an answer that found no other one to be exchanged with.
    pub(super) fn release_crossed(&mut self, serial: u64, out: &mut Vec<Effect>) {
        if self.crossed.as_ref().is_some_and(|held| held.0 == serial)
            && let Some((_, reply)) = self.crossed.take()
        {
            out.push(Effect::Reply(reply));
        }
    }

    /// Ends all legs with this attempt number.
    pub(super) fn cancel(&mut self, attempt: u64, out: &mut Vec<Effect>) {
        let mut found = false;
        while let Some(i) = self.running.iter().position(|r| r.leg.attempt == attempt) {
            found = true;
            let leg = self.running.remove(i);
            self.counters.cancelled += 1;
            let body = self.error(attempt, "failed");
            out.push(Effect::Reply(LegReply {
                responder: leg.responder,
                status: 500,
                body,
            }));
        }
        if !found {
            self.counters.cancelled_late += 1;
        }
    }

    /// Starts a new cold run; the legs in progress are returned, to be dropped
    /// after their connections.
    pub(super) fn restart(&mut self) -> Vec<RunningLeg> {
        self.counters.restart = restart_id();
        self.counters.lost += self.running.len() as u64;
        self.cold_left = self.cfg.cold.legs;
        self.fallen_until = None;
        self.draining = false;
        self.crossed = None;
        std::mem::take(&mut self.running)
    }

    pub(super) fn health(&self) -> Value {
        let (state, load) = match &self.health {
            HealthReport::Fixed { state, load } => (state.as_str(), *load),
            HealthReport::True | HealthReport::Stale => self.true_health(),
        };
        json!({"state": state, "load": load, "restart": self.counters.restart})
    }

    fn true_health(&self) -> (&'static str, f64) {
        let state = match (self.draining, self.cold_left > 0) {
            (true, _) => "draining",
            (false, true) => "cold",
            (false, false) => "ok",
        };
        let load = f64::from(self.running_count()) / f64::from(self.cfg.slots.max(1));
        (state, load)
    }

    pub(super) fn error(&self, attempt: u64, error: &str) -> Value {
        json!({"attempt": attempt, "restart": self.counters.restart, "error": error})
    }

    /// Changes the behaviour; what concerns the listener is left to the caller.
    pub(super) fn apply(&mut self, fault: UpstreamFault) {
        match fault {
            UpstreamFault::Restart
            | UpstreamFault::Stop
            | UpstreamFault::Start
            | UpstreamFault::Freeze
            | UpstreamFault::Resume
            | UpstreamFault::Hold
            | UpstreamFault::Release => {}
            UpstreamFault::Drain => self.draining = true,
            UpstreamFault::Undrain => self.draining = false,
            UpstreamFault::CrashOn { marker } => self.crash_marker = marker,
            UpstreamFault::WrongSnapshot { answers } => self.wrong_snapshots = answers,
            UpstreamFault::Late { answers, delay_ms } => {
                self.late = (answers, Duration::from_millis(delay_ms));
            }
            UpstreamFault::Cross { pairs } => self.cross_pairs = pairs,
            UpstreamFault::Fail { legs } => self.fail_legs = legs,
            UpstreamFault::Shed { legs } => self.shed_legs = legs,
            UpstreamFault::Slow { factor } => self.slow_factor = factor,
            UpstreamFault::Health { report } => {
                self.health = match report {
                    HealthReport::Stale => {
                        let (state, load) = self.true_health();
                        HealthReport::Fixed {
                            state: state.to_owned(),
                            load,
                        }
                    }
                    report => report,
                };
            }
            UpstreamFault::Snapshots { search, held } => {
                let snapshots = &mut self.cfg.snapshots;
                snapshots.retain(|old| *old.search != *search);
                snapshots.extend(held.into_iter().map(|id| HeldSnapshot {
                    search: search.as_str().into(),
                    snapshot: SnapshotId(id),
                    ranges: Vec::new(),
                }));
            }
            UpstreamFault::Mark => {
                self.mark = Some(Instant::now());
                self.counters.arrived_after_mark = 0;
                self.counters.started_after_mark = 0;
                self.counters.last_arrival_after_mark_ms = 0;
            }
        }
    }
}

/// Identifier of a run. It does not come from the seed, since a process that is
/// started again with the same settings has to have a new one.
fn restart_id() -> u64 {
    fastrand::u64(1..1 << 48)
}

/// Uses up one of a number of planned faults.
fn take(left: &mut u32) -> bool {
    let any = *left > 0;
    *left = left.saturating_sub(1);
    any
}
