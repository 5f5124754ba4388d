//! A simulated service with two versions behind several hosts, without a network.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Fleet, HealthSignal, RolloutDecider, RolloutLimits, RolloutOrder, RolloutPhase, RolloutState,
    RolloutStatus, UpstreamEntry, UpstreamId, UpstreamLimits, UpstreamState,
};
use cornelwinch_types::Name;

pub(crate) const LIMITS: RolloutLimits = RolloutLimits {
    exposure_ratio: 0.1,
    exposure_slack: 50.0,
};
const DURATION_MS: u64 = 12_000;
const REPORT_MS: u64 = 400;
const UPSTREAMS: usize = 6;

/// How the target version behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    Good,
    NoisyButGood,
    FailingAtOnce,
    FailingLate,
    SlowUnderLoad,
    BadOnOneRoute,
}

pub(crate) const KINDS: [Kind; 6] = [
    Kind::Good,
    Kind::NoisyButGood,
    Kind::FailingAtOnce,
    Kind::FailingLate,
    Kind::SlowUnderLoad,
    Kind::BadOnOneRoute,
];

#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) state: Option<RolloutState>,
    pub(crate) verdict_ms: u64,
    /// Largest number of legs to the target beyond the share, before the verdict.
    pub(crate) beyond_share: f64,
    /// Legs to a version after the state that forbids it was returned for writing.
    pub(crate) forbidden: usize,
}

enum Event {
    Request {
        host: usize,
    },
    End {
        host: usize,
        id: UpstreamId,
        token: u64,
        route: usize,
        signal: HealthSignal,
        ms: f64,
    },
    Report {
        host: usize,
    },
}

/// Runs one order. `takeover_ms` replaces the decider by one that knows nothing at that time.
pub(crate) fn run(seed: u64, kind: Kind, takeover_ms: Option<u64>) -> Outcome {
    let mut rng = fastrand::Rng::with_seed(seed);
    let hosts = rng.usize(3..34);
    let per_s = 20.0 + rng.f64() * 70.0;
    let base_ms = [2.5, 7.5, 60.0][rng.usize(..3)];
    let route_b = 0.3 + rng.f64() * 0.3;
    let spread = 0.1 + rng.f64() * 0.3;
    let base_failed = match kind {
        Kind::NoisyButGood => 0.02 + rng.f64() * 0.06,
        _ => rng.f64() * 0.01,
    };
    let fails = rng.bool();
    let bad_share = if fails && kind != Kind::SlowUnderLoad {
        0.3 + rng.f64() * 0.7
    } else {
        0.6 + rng.f64() * 0.4
    };
    let slow_factor = 3.5 + rng.f64() * 3.0;
    let speeds: Vec<f64> = (0..2 * UPSTREAMS)
        .map(|_| [0.8, 1.0, 1.3][rng.usize(..3)])
        .collect();
    let noise_seed = rng.u64(..);
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let (service, zone): (Name, Name) = ("shard".into(), "a".into());
    let routes: [Name; 2] = ["a".into(), "b".into()];
    let order = RolloutOrder {
        service: service.clone(),
        target_version: "v2".into(),
        duration: Duration::from_millis(DURATION_MS),
        status: None,
        revision: 1,
    };
    let names: Vec<Name> = (0..hosts).map(|h| format!("h{h}").into()).collect();
    let mut fleets: Vec<Fleet> = names.iter().map(|_| Fleet::new()).collect();
    for fleet in &mut fleets {
        for n in 0..2 * UPSTREAMS {
            fleet.apply(start, entry(n, &service, &zone));
        }
        fleet.set_rollouts(start, vec![order.clone()]);
    }
    let mut decider = RolloutDecider::new(start, LIMITS, &order, true);
    let mut events = BinaryHeap::new();
    let mut payload = Vec::new();
    let push = |events: &mut BinaryHeap<Reverse<(u64, usize)>>,
                payload: &mut Vec<Option<Event>>,
                us: u64,
                event| {
        events.push(Reverse((us, payload.len())));
        payload.push(Some(event));
    };
    for host in 0..hosts {
        let us = rng.u64(..REPORT_MS * 1_000);
        push(&mut events, &mut payload, us, Event::Report { host });
    }
    push(&mut events, &mut payload, 1_000, Event::Request { host: 0 });
    let (mut arrived, mut target_legs, mut tokens) = (0_u64, 0_u64, 0);
    let mut outcome = Outcome {
        state: None,
        verdict_ms: 0,
        beyond_share: 0.0,
        forbidden: 0,
    };
    let limits = UpstreamLimits {
        connections: 100,
        cold_per_s: None,
    };
    let mut taken_over = false;
    // A verdict has been made, by this decider or an earlier one.
    let mut finishing = false;
    while let Some(Reverse((us, index))) = events.pop() {
        let ms = us / 1_000;
        let now = start + Duration::from_micros(us);
        if ms > DURATION_MS + 3_000 {
            break;
        }
        if takeover_ms.is_some_and(|t| ms >= t) && !taken_over && outcome.state.is_none() {
            taken_over = true;
            decider = RolloutDecider::new(now, LIMITS, &order, false);
        }
        let is_loaded = (ms / 1_500) % 2 == 1;
        match payload[index].take().unwrap() {
            Event::Request { host } => {
                let rate = if is_loaded { per_s * 1.4 } else { per_s * 0.6 };
                let gap = -(1.0 - rng.f64()).ln() / rate * 1e6;
                // Callers are spread unevenly.
                let next = (rng.f64() * rng.f64() * hosts as f64) as usize;
                push(
                    &mut events,
                    &mut payload,
                    us + gap as u64 + 1,
                    Event::Request { host: next },
                );
                arrived += 1;
                let fleet = &mut fleets[host];
                let Some(endpoint) = fleet.pick(now, &service, &zone, &[], limits, &mut rng) else {
                    continue;
                };
                let n: usize = endpoint.name[1..].parse().unwrap();
                let is_target = n >= UPSTREAMS;
                if is_target && !finishing {
                    target_legs += 1;
                    let beyond = target_legs as f64 - LIMITS.exposure_ratio * arrived as f64;
                    outcome.beyond_share = outcome.beyond_share.max(beyond);
                }
                outcome.forbidden += usize::from(match outcome.state {
                    Some(RolloutState::Completed) => !is_target,
                    // The feed brings the reverted state to each host within a report interval.
                    Some(_) => is_target && ms > outcome.verdict_ms + REPORT_MS,
                    None => false,
                });
                let route = usize::from(rng.f64() < route_b);
                let is_bad = is_target
                    && match kind {
                        Kind::Good | Kind::NoisyButGood => false,
                        Kind::FailingAtOnce => true,
                        Kind::FailingLate => ms > DURATION_MS / 2,
                        Kind::SlowUnderLoad => is_loaded,
                        Kind::BadOnOneRoute => route == 1,
                    }
                    && rng.f64() < bad_share;
                let is_slow = is_bad && (!fails || kind == Kind::SlowUnderLoad);
                let mut time = base_ms * speeds[n] * (spread * normal(&mut rng)).exp();
                if is_slow {
                    time *= slow_factor;
                }
                let noise = fastrand::Rng::with_seed(noise_seed ^ (ms / 600) << 8 ^ n as u64).f64();
                if noise < if kind == Kind::Good { 0.05 } else { 0.15 } {
                    time *= 2.5;
                }
                let failed = (is_bad && !is_slow) || rng.f64() < base_failed;
                let signal = if failed {
                    HealthSignal::Failed
                } else {
                    HealthSignal::Answered {
                        ratio: time / base_ms,
                    }
                };
                tokens += 1;
                fleet.leg_sent(
                    now,
                    endpoint.id,
                    tokens,
                    Duration::from_secs_f64(base_ms / 1e3),
                );
                let end = Event::End {
                    host,
                    id: endpoint.id,
                    token: tokens,
                    route,
                    signal,
                    ms: time,
                };
                push(&mut events, &mut payload, us + (time * 1e3) as u64, end);
            }
            Event::End {
                host,
                id,
                token,
                route,
                signal,
                ms,
            } => {
                let fleet = &mut fleets[host];
                fleet.leg_ended(now, id, token, signal);
                let time = Duration::from_secs_f64(ms / 1e3);
                fleet.record_version_leg(now, id, &routes[route], signal, time, false);
            }
            Event::Report { host } => {
                push(
                    &mut events,
                    &mut payload,
                    us + REPORT_MS * 1_000,
                    Event::Report { host },
                );
                if outcome.state.is_none() {
                    outcome.state = decider.decide(now, &names);
                    outcome.verdict_ms = ms;
                    finishing |= decider.phase() != RolloutPhase::Testing;
                }
                // The written state reaches the hosts by the feed.
                if let Some(state) = outcome.state {
                    let target_version = order.target_version.clone();
                    let status = RolloutStatus {
                        state,
                        target_version,
                    };
                    let mut written = order.clone();
                    written.status = Some(status);
                    fleets[host].set_rollouts(now, vec![written]);
                    continue;
                }
                // One report in 50 is lost, and so is one response in 50.
                if rng.u32(..50) == 0 {
                    continue;
                }
                for report in fleets[host].version_reports(now, 1) {
                    let stage = decider.report(at(ms), &names[host], report);
                    if let Some(stage) = stage.filter(|_| rng.u32(..50) != 0) {
                        fleets[host].apply_stage(now, &stage);
                    }
                }
            }
        }
    }
    outcome
}

fn entry(n: usize, service: &Name, zone: &Name) -> UpstreamEntry {
    UpstreamEntry {
        name: format!("u{n}").into(),
        born_ms: 1,
        service: service.clone(),
        addr: ([127, 0, 0, 1], 1_000 + n as u16).into(),
        zone: zone.clone(),
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        version: if n < UPSTREAMS { "v1" } else { "v2" }.into(),
        slots: 4,
    }
}

fn normal(rng: &mut fastrand::Rng) -> f64 {
    (0..12).map(|_| rng.f64()).sum::<f64>() - 6.0
}
