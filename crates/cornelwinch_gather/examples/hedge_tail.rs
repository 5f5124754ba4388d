//! Simulates queries of many legs on virtual time and prints their tail latency with hedging off
//! and on.
//!
//! Legs have a log-normal service time; 1% of them are stragglers that take ten times the median.
//! Each shard has three replicas in three availability zones; an upstream runs
//! as many legs at once as it has slots and queues the others.
//!
//! Usage: `hedge_tail [queries] [seed] [sigma] [load]`; `sigma` and `load` select the lines
//! to print.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use cornelwinch_config::ClassPolicy;
use cornelwinch_gather::{Gather, GatherAction, GatherConfig, GatherStats, QuerySpec};
use cornelwinch_types::{
    AttemptId, Fingerprint, KeyRange, LegAnswer, LegRequest, LegResult, Name, QueryId, Shard,
    Snapshot, SnapshotId,
};
use fastrand::Rng;
use hdrhistogram::Histogram;

const MEDIAN_US: f64 = 5_000.0;
const STRAGGLER_FACTOR: f64 = 10.0;
const REPLICAS: usize = 3;
const SLOTS: usize = 3;
const DOCUMENTS: u64 = 1000;

/// Parameters of one run.
#[derive(Debug, Clone, Copy)]
struct Parameters {
    /// Number of legs of each query.
    legs: usize,
    /// Standard deviation of the logarithm of the service time.
    sigma: f64,
    /// Share of the upstreams' slots that first attempts keep busy.
    load: f64,
    hedge: bool,
    /// Whether every request is new, so that each starts with canaries.
    new_bodies: bool,
    /// Share of legs that take [`STRAGGLER_FACTOR`] times the median.
    straggler_share: f64,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive,
    Wake(usize),
    Done(usize, AttemptId),
}

#[derive(Debug, Default)]
struct Upstream {
    running: Vec<(LegRequest, u64)>,
    queue: VecDeque<LegRequest>,
    busy_us: u64,
}

/// A query, its start time and its next wake, in microseconds.
struct Query {
    gather: Option<Gather>,
    started_us: u64,
    wake_us: u64,
}

struct Simulation {
    parameters: Parameters,
    rng: Rng,
    base: Instant,
    now_us: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    upstreams: Vec<Upstream>,
    queries: Vec<Query>,
    latency: Histogram<u64>,
    coverage: f64,
}

fn main() {
    let mut args = std::env::args()
        .skip(1)
        .map(|arg| arg.parse::<f64>().expect("a number"));
    let queries = args.next().unwrap_or(100_000.0) as usize;
    let seed = args.next().unwrap_or(1.0) as u64;
    let (only_sigma, only_load) = (args.next(), args.next());
    println!(
        "queries={queries} seed={seed} median_us={MEDIAN_US} slots={SLOTS} replicas={REPLICAS}"
    );
    println!(
        "p50/p99/p99.9 in ms; ratio: p99 on / p99 off; floor: p99 without stragglers / p99 off"
    );
    for legs in [30, 65] {
        for (sigma, load, new_bodies) in [
            (0.1, 0.3, false),
            (0.15, 0.3, false),
            (0.2, 0.1, false),
            (0.2, 0.3, false),
            (0.2, 0.5, false),
            (0.2, 0.3, true),
            (0.3, 0.3, false),
            (0.5, 0.3, false),
        ] {
            if only_sigma.is_some_and(|s| s != sigma) || only_load.is_some_and(|l| l != load) {
                continue;
            }
            let off = Parameters {
                legs,
                sigma,
                load,
                hedge: false,
                new_bodies,
                straggler_share: 0.01,
            };
            let floor = Simulation::new(
                Parameters {
                    straggler_share: 0.0,
                    ..off
                },
                seed,
            )
            .measure(queries);
            let on = Simulation::new(Parameters { hedge: true, ..off }, seed).measure(queries);
            let off = Simulation::new(off, seed).measure(queries);
            println!(
                "legs={legs} sigma={sigma} load={load} new_bodies={new_bodies} off={} on={} \
                 ratio={:.3} floor={:.3} extra_legs={:.2}% busy={:+.1}% coverage={:.6}",
                off.quantiles(),
                on.quantiles(),
                on.p99() / off.p99(),
                floor.p99() / off.p99(),
                on.hedges_per_leg * 100.0,
                (on.busy_us / off.busy_us - 1.0) * 100.0,
                on.coverage,
            );
        }
    }
}

/// Results of one run.
struct Results {
    latency: Histogram<u64>,
    /// Number of hedges per first attempt.
    hedges_per_leg: f64,
    coverage: f64,
    /// Busy time of all slots per query, in microseconds.
    busy_us: f64,
}

impl Results {
    fn p99(&self) -> f64 {
        self.latency.value_at_quantile(0.99) as f64
    }

    fn quantiles(&self) -> String {
        let ms = |q| self.latency.value_at_quantile(q) as f64 / 1000.0;
        format!("{:.1}/{:.1}/{:.1}", ms(0.5), ms(0.99), ms(0.999))
    }
}

impl Simulation {
    fn new(parameters: Parameters, seed: u64) -> Self {
        let upstreams = (0..parameters.legs * REPLICAS)
            .map(|_| Upstream::default())
            .collect();
        Self {
            parameters,
            rng: Rng::with_seed(seed),
            base: Instant::now(),
            now_us: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            upstreams,
            queries: Vec::new(),
            latency: Histogram::new(3).expect("valid precision"),
            coverage: 0.0,
        }
    }

    fn measure(mut self, queries: usize) -> Results {
        let names: Vec<Name> = (0..self.upstreams.len())
            .map(|i| i.to_string().into())
            .collect();
        let zone = |i: usize| Name::from(format!("zone{}", i % REPLICAS));
        let mut stats =
            GatherStats::new(GatherConfig::new(zone(0)), Rng::with_seed(self.rng.u64(..)));
        stats.set_upstreams(
            names
                .iter()
                .enumerate()
                .map(|(i, name)| (name.clone(), zone(i))),
        );
        let shard = |i: usize| Shard {
            range: KeyRange {
                start: i as u64,
                end: i as u64 + 1,
            },
            documents: DOCUMENTS,
            replicas: names[i * REPLICAS..(i + 1) * REPLICAS].to_vec(),
        };
        let shards = (0..self.parameters.legs).map(shard).collect();
        let snapshots = [Snapshot {
            search: "s".into(),
            id: SnapshotId(1),
            shards,
        }];
        let mean_service_us = MEDIAN_US
            * (self.parameters.sigma.powi(2) / 2.0).exp()
            * (1.0 - self.parameters.straggler_share)
            + MEDIAN_US * STRAGGLER_FACTOR * self.parameters.straggler_share;
        let mean_gap_us = mean_service_us / (self.parameters.load * (SLOTS * REPLICAS) as f64);
        let mut out = Vec::new();
        self.schedule(0, Event::Arrive);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_us = at;
            let now = self.base + Duration::from_micros(at);
            let query = match event {
                Event::Arrive => {
                    let query = self.queries.len();
                    let spec = self.spec(now, query);
                    let gather = Gather::start(now, spec, &snapshots, &mut stats, &mut out);
                    self.queries.push(Query {
                        gather: Some(gather),
                        started_us: at,
                        wake_us: u64::MAX,
                    });
                    if query + 1 < queries {
                        let gap_us = -(1.0 - self.rng.f64()).ln() * mean_gap_us;
                        self.schedule(at + gap_us as u64, Event::Arrive);
                    }
                    query
                }
                Event::Wake(query) => {
                    if self.queries[query].wake_us == at {
                        self.queries[query].wake_us = u64::MAX;
                    }
                    if let Some(gather) = &mut self.queries[query].gather
                        && gather.next_wake().is_some_and(|wake| wake <= now)
                    {
                        gather.on_wake(now, &mut stats, &mut out);
                    }
                    query
                }
                Event::Done(upstream, attempt) => {
                    let running = &mut self.upstreams[upstream].running;
                    let Some(i) = running.iter().position(|(leg, _)| leg.attempt == attempt) else {
                        continue;
                    };
                    let (leg, started) = running.swap_remove(i);
                    self.upstreams[upstream].busy_us += at - started;
                    self.start_legs(upstream);
                    let query = leg.query.0 as usize;
                    if let Some(gather) = &mut self.queries[query].gather {
                        let LegRequest {
                            attempt,
                            snapshot,
                            range,
                            ..
                        } = leg;
                        let hits = Vec::new();
                        let answer = LegAnswer {
                            attempt,
                            snapshot,
                            range,
                            documents: DOCUMENTS,
                            hits,
                        };
                        gather.on_leg(
                            now,
                            attempt,
                            LegResult::Answer(answer),
                            &mut stats,
                            &mut out,
                        );
                    }
                    query
                }
            };
            self.apply(query, &mut out);
        }
        let counters = stats.counters();
        let busy: u64 = self.upstreams.iter().map(|u| u.busy_us).sum();
        Results {
            hedges_per_leg: counters.hedges as f64 / counters.legs as f64,
            coverage: self.coverage / queries as f64,
            busy_us: busy as f64 / queries as f64,
            latency: self.latency,
        }
    }

    fn spec(&mut self, now: Instant, query: usize) -> QuerySpec {
        let body = if self.parameters.new_bodies { query } else { 0 }.to_string();
        let policy = ClassPolicy {
            deadline_ms: 60_000,
            min_coverage: 1.0,
            partial_after_ms: None,
            priority: 0,
            hedge_quantile: self.parameters.hedge.then_some(0.95),
        };
        QuerySpec {
            query: QueryId(query as u64),
            search: "s".into(),
            class: "c".into(),
            organisation: "customer".into(),
            fingerprint: Fingerprint::of("s", &body),
            body: body.into(),
            deadline: now + Duration::from_secs(60),
            policy,
            priority: 0,
        }
    }

    fn apply(&mut self, query: usize, out: &mut Vec<GatherAction>) {
        for action in out.drain(..) {
            match action {
                GatherAction::Send(leg) => {
                    let upstream: usize = leg.upstream.parse().expect("a number");
                    self.upstreams[upstream].queue.push_back(leg);
                    self.start_legs(upstream);
                }
                GatherAction::Cancel { attempt, upstream } => {
                    let upstream: usize = upstream.parse().expect("a number");
                    let now = self.now_us;
                    let u = &mut self.upstreams[upstream];
                    u.queue.retain(|leg| leg.attempt != attempt);
                    if let Some(i) = u.running.iter().position(|(leg, _)| leg.attempt == attempt) {
                        u.busy_us += now - u.running.swap_remove(i).1;
                    }
                    self.start_legs(upstream);
                }
                GatherAction::Finish(answer) => {
                    self.coverage += answer.coverage;
                    let latency = self.now_us - self.queries[query].started_us;
                    self.latency.record(latency).expect("resizable histogram");
                    self.queries[query].gather = None;
                }
            }
        }
        let query_state = &mut self.queries[query];
        if let Some(wake) = query_state.gather.as_ref().and_then(Gather::next_wake) {
            let wake = wake.saturating_duration_since(self.base);
            let at = (wake.as_nanos().div_ceil(1000) as u64).max(self.now_us);
            if at < query_state.wake_us {
                query_state.wake_us = at;
                self.schedule(at, Event::Wake(query));
            }
        }
    }

    fn start_legs(&mut self, upstream: usize) {
        while self.upstreams[upstream].running.len() < SLOTS
            && let Some(leg) = self.upstreams[upstream].queue.pop_front()
        {
            let at = self.now_us + self.service_us();
            self.schedule(at, Event::Done(upstream, leg.attempt));
            self.upstreams[upstream].running.push((leg, self.now_us));
        }
    }

    fn service_us(&mut self) -> u64 {
        if self.rng.f64() < self.parameters.straggler_share {
            return (MEDIAN_US * STRAGGLER_FACTOR) as u64;
        }
        // Box-Muller transform.
        let radius = (-2.0 * (1.0 - self.rng.f64()).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.rng.f64()).cos();
        (MEDIAN_US * (self.parameters.sigma * normal).exp()) as u64
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }
}
