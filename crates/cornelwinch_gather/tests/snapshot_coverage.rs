//! Guards against answers that mix snapshots, state a wrong coverage, contain hits of other
//! ranges, or report `NotRun` although a leg ran.

mod common;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::time::{Duration, Instant};

use common::{config, iterations, ms};
use cornelwinch_config::ClassPolicy;
use cornelwinch_gather::{Answer, AnswerReason, Gather, GatherAction, GatherStats, QuerySpec};
use cornelwinch_types::{
    Hit, KeyRange, LegFailure, LegRequest, LegResult, Name, Outcome, Refusal, Shard, Snapshot,
    SnapshotId,
};
use fastrand::Rng;

const KEYS: u64 = 400;
const UPSTREAMS: usize = 10;
const QUERIES: usize = 10;

#[allow(clippy::large_enum_variant)] // Most events are the large variant.
enum Event {
    Arrive,
    Change,
    Wake(usize),
    Result(usize, LegRequest, LegResult),
}

struct Query {
    gather: Gather,
    spec: QuerySpec,
    ran: bool,
    answer: Option<Answer>,
}

struct Simulation {
    seed: u64,
    rng: Rng,
    base: Instant,
    now_ms: u64,
    queue: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<Event>>,
    stats: GatherStats,
    snapshots: Vec<Snapshot>,
    held: Vec<Vec<SnapshotId>>,
    out_of_service: Vec<bool>,
    lost: Vec<bool>,
    queries: Vec<Query>,
    attempts: HashSet<u64>,
}

/// Returns the documents of a snapshot in a range: about a third of the keys, with a different
/// selection in each snapshot.
fn documents(id: SnapshotId, range: KeyRange) -> Vec<Hit> {
    let is_document = |key: &u64| (key * 7 + id.0 * 5) % 11 < 4;
    let hit = |key| hit(key, &format!("{id}:{key}"));
    let keys = (range.start..range.end).filter(is_document);
    keys.map(hit).collect()
}

fn hit(key: u64, text: &str) -> Hit {
    let text = text.into();
    Hit { key, text }
}

fn upstream(i: usize) -> Name {
    format!("u{i}").into()
}

fn join(ranges: impl Iterator<Item = KeyRange>) -> Vec<KeyRange> {
    let mut joined: Vec<KeyRange> = Vec::new();
    for range in ranges {
        match joined.last_mut() {
            Some(last) if last.end == range.start => last.end = range.end,
            _ => joined.push(range),
        }
    }
    joined
}

impl Simulation {
    fn run(seed: u64) {
        let rng = Rng::with_seed(seed);
        // Hedges are frequent: up to half as many as legs, sent after about 5 ms.
        let mut config = config();
        config.hedge_ratio = 0.5;
        let mut warm = common::TestHost::seeded(config, seed);
        warm.record_latency(200, ms(5));
        let (base, mut stats) = (warm.now, warm.stats);
        stats.set_upstreams((0..UPSTREAMS).map(|i| (upstream(i), format!("z{}", i % 3).into())));
        let mut simulation = Self {
            seed,
            rng,
            base,
            now_ms: 0,
            queue: BinaryHeap::new(),
            events: Vec::new(),
            stats,
            snapshots: Vec::new(),
            held: vec![Vec::new(); UPSTREAMS],
            out_of_service: vec![false; UPSTREAMS],
            lost: vec![false; UPSTREAMS],
            queries: Vec::new(),
            attempts: HashSet::new(),
        };
        simulation.add_snapshot();
        for _ in 0..QUERIES {
            let at = simulation.rng.u64(0..400);
            simulation.schedule(at, Event::Arrive);
            simulation.schedule(at + 17, Event::Change);
        }
        while let Some(Reverse((at, i))) = simulation.queue.pop() {
            simulation.now_ms = at;
            match simulation.events[i].take() {
                Some(Event::Arrive) => simulation.arrive(),
                Some(Event::Change) => simulation.change(),
                Some(Event::Wake(q)) => simulation.handle(q, None),
                Some(Event::Result(q, leg, result)) => simulation.handle(q, Some((leg, result))),
                None => {}
            }
        }
        for query in &simulation.queries {
            let id = query.spec.query;
            assert!(query.answer.is_some(), "seed {seed}: {id} unanswered");
        }
        for i in 0..UPSTREAMS {
            let outstanding = simulation.stats.outstanding(&upstream(i));
            assert_eq!(outstanding, 0, "seed {seed}: u{i}");
        }
    }

    fn handle(&mut self, q: usize, result: Option<(LegRequest, LegResult)>) {
        let (seed, now, mut out) = (self.seed, self.now(), Vec::new());
        let gather = &mut self.queries[q].gather;
        if let Some((leg, result)) = result {
            gather.on_leg(now, leg.attempt, result, &mut self.stats, &mut out);
        } else {
            gather.on_wake(now, &mut self.stats, &mut out);
            let due = gather.next_wake().is_some_and(|wake| wake <= now);
            assert!(!due, "seed {seed}: a wake that has run is still due");
        }
        self.apply(q, out);
    }

    fn now(&self) -> Instant {
        self.base + ms(self.now_ms)
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.queue.push(Reverse((at, self.events.len())));
        self.events.push(Some(event));
    }

    /// Publishes the next snapshot, which has different shards. Most upstreams load it.
    fn add_snapshot(&mut self) {
        let id = SnapshotId(self.snapshots.len() as u64 + 1);
        let mut cuts = vec![0, KEYS];
        for _ in 0..self.rng.usize(1..8) {
            cuts.push(self.rng.u64(1..KEYS));
        }
        cuts.sort_unstable();
        cuts.dedup();
        let mut shards = Vec::new();
        for pair in cuts.windows(2) {
            let (start, end) = (pair[0], pair[1]);
            let range = KeyRange { start, end };
            let documents = documents(id, range).len() as u64;
            let mut replicas: Vec<Name> = (0..UPSTREAMS).map(upstream).collect();
            self.rng.shuffle(&mut replicas);
            replicas.truncate(self.rng.usize(1..4));
            let shard = Shard {
                range,
                documents,
                replicas,
            };
            shards.push(shard);
        }
        let search = "portal".into();
        let snapshot = Snapshot { search, id, shards };
        self.snapshots.push(snapshot);
        for held in &mut self.held {
            if self.rng.u8(..) < 230 {
                held.push(id);
            }
        }
    }

    fn change(&mut self) {
        let i = self.rng.usize(..UPSTREAMS);
        match self.rng.u8(..8) {
            0 | 1 if self.snapshots.len() < 4 => self.add_snapshot(),
            2 => drop((!self.held[i].is_empty()).then(|| self.held[i].remove(0))),
            3 => self.held[i] = self.snapshots.iter().map(|s| s.id).collect(),
            4 | 5 => self.lost[i] = !self.lost[i],
            _ => {
                self.out_of_service[i] = !self.out_of_service[i];
                self.stats
                    .set_out_of_service(&upstream(i), self.out_of_service[i]);
            }
        }
    }

    fn arrive(&mut self) {
        let now = self.now();
        let body = self.rng.u8(..4).to_string();
        let policy = ClassPolicy {
            deadline_ms: self.rng.u64(20..300),
            min_coverage: self.rng.f64(),
            partial_after_ms: self.rng.bool().then(|| self.rng.u64(0..100)),
            priority: 0,
            hedge_quantile: self.rng.bool().then_some(0.5),
        };
        let spec = common::spec(self.queries.len() as u64, &body, now, policy);
        let mut out = Vec::new();
        let (snapshots, stats) = (&self.snapshots, &mut self.stats);
        let gather = Gather::start(now, spec.clone(), snapshots, stats, &mut out);
        let (ran, answer) = (false, None);
        let query = Query {
            gather,
            spec,
            ran,
            answer,
        };
        self.queries.push(query);
        self.apply(self.queries.len() - 1, out);
    }

    fn apply(&mut self, q: usize, out: Vec<GatherAction>) {
        let seed = self.seed;
        for action in out {
            let over = self.queries[q].answer.is_some();
            assert!(!over, "seed {seed}: {action:?} follows the answer");
            match action {
                GatherAction::Send(leg) => self.run_leg(q, leg),
                GatherAction::Cancel { .. } => {}
                GatherAction::Finish(answer) => {
                    self.check(q, &answer);
                    self.queries[q].answer = Some(answer);
                }
            }
        }
        if let Some(wake) = self.queries[q].gather.next_wake() {
            let at = wake.saturating_duration_since(self.base).as_nanos();
            let at = at.div_ceil(1_000_000);
            self.schedule((at as u64).max(self.now_ms), Event::Wake(q));
        }
    }

    /// Schedules the result of a leg: an answer, or a refusal, failure, delay or wrong answer.
    fn run_leg(&mut self, q: usize, leg: LegRequest) {
        let seed = self.seed;
        let new = self.attempts.insert(leg.attempt.0);
        assert!(new, "seed {seed}: attempt id was used twice: {leg:?}");
        let i: usize = leg.upstream[1..].parse().expect("a number");
        let out = self.out_of_service[i];
        assert!(
            !out,
            "seed {seed}: leg sent to an upstream out of service: {leg:?}"
        );
        let deadline = self.queries[q].spec.deadline;
        assert_eq!(leg.budget, deadline - self.now(), "seed {seed}: budget");
        let held = self.held[i].clone();
        let mut delay = self.rng.u64(1..10);
        let (snapshot, range) = (leg.snapshot, leg.range);
        let LegResult::Answer(mut answer) = common::answer(&leg) else {
            unreachable!()
        };
        answer.hits = documents(snapshot, range);
        answer.documents = answer.hits.len() as u64;
        let mut twice = false;
        let result = match self.rng.u8(..40) {
            _ if self.lost[i] => LegResult::Refused(Refusal::Unreachable),
            _ if !held.contains(&snapshot) => LegResult::Refused(Refusal::SnapshotMissing { held }),
            0 => LegResult::Refused(Refusal::Overloaded),
            1 => LegResult::Refused(Refusal::NotOwner { owner: None }),
            2 => LegResult::Failed(LegFailure::Disconnected),
            3 => LegResult::Failed(LegFailure::Upstream),
            fault => {
                match fault {
                    4 => delay += 400,
                    5 => twice = true,
                    6 => {
                        answer.attempt.0 ^= 1;
                        answer.hits = vec![hit(range.start, "crossed")];
                    }
                    7 => {
                        answer.snapshot = SnapshotId(1 + snapshot.0 % 4);
                        answer.hits = documents(answer.snapshot, range);
                    }
                    8 => answer.range.end += 1,
                    9 => answer.hits.push(hit(range.end, "foreign")),
                    10 => answer.documents += 1,
                    11 | 12 => delay += self.rng.u64(10..60),
                    _ => {}
                }
                LegResult::Answer(answer)
            }
        };
        self.queries[q].ran |= !matches!(result, LegResult::Refused(_));
        if twice {
            self.schedule(
                self.now_ms + delay + 3,
                Event::Result(q, leg.clone(), result.clone()),
            );
        }
        self.schedule(self.now_ms + delay, Event::Result(q, leg, result));
    }

    fn check(&self, q: usize, answer: &Answer) {
        let (seed, query) = (self.seed, &self.queries[q]);
        let context = format!("seed {seed}: {answer:?}");
        assert!(
            self.now() <= query.spec.deadline + Duration::from_millis(1),
            "{context}"
        );
        match answer.outcome {
            Outcome::NotRun => assert!(!query.ran, "a leg ran, {context}"),
            Outcome::Unknown => assert!(answer.covered.is_empty(), "{context}"),
            Outcome::Done => assert!(!answer.covered.is_empty(), "{context}"),
        }
        let Some(id) = answer.snapshot else {
            assert!(
                answer.hits.is_empty() && answer.coverage == 0.0,
                "{context}"
            );
            return;
        };
        let snapshot = self
            .snapshots
            .iter()
            .find(|s| s.id == id)
            .expect("a known snapshot");
        let hits: Vec<Hit> = answer
            .covered
            .iter()
            .flat_map(|r| documents(id, *r))
            .collect();
        assert_eq!(answer.hits, hits, "{context}");
        assert_eq!(answer.documents_covered, hits.len() as u64, "{context}");
        assert_eq!(answer.documents_total, snapshot.documents(), "{context}");
        let is_covered = |r: KeyRange| answer.covered.iter().any(|c| c.overlaps(r));
        let ranges = || snapshot.shards.iter().map(|s| s.range);
        assert_eq!(
            answer.covered,
            join(ranges().filter(|r| is_covered(*r))),
            "{context}"
        );
        assert_eq!(
            answer.missing,
            join(ranges().filter(|r| !is_covered(*r))),
            "{context}"
        );
        let share = hits.len() as f64 / snapshot.documents() as f64;
        let coverage = if answer.missing.is_empty() {
            1.0
        } else {
            share
        };
        assert!((answer.coverage - coverage).abs() < 1e-12, "{context}");
        let short = answer.covered.is_empty() || coverage < query.spec.policy.min_coverage;
        assert_eq!(answer.reason.is_some(), short, "{context}");
        let insufficient = answer.reason == Some(AnswerReason::InsufficientCoverage);
        assert!(
            !insufficient || answer.outcome != Outcome::NotRun,
            "{context}"
        );
    }
}

#[test]
fn answers_match_the_model() {
    for seed in 0..iterations() {
        Simulation::run(seed);
    }
}
