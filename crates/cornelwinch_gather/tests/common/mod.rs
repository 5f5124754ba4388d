#![allow(dead_code, unreachable_pub, missing_docs)] // Each test file uses only some of these items.

use std::time::{Duration, Instant};

use cornelwinch_config::ClassPolicy;
use cornelwinch_gather::{Answer, Gather, GatherAction, GatherConfig, GatherStats, QuerySpec};
use cornelwinch_types::{
    AttemptId, Fingerprint, KeyRange, LegAnswer, LegFailure, LegRequest, LegResult, QueryId,
    Refusal, Shard, Snapshot, SnapshotId,
};
use fastrand::Rng;

/// Returns the number of seeded runs.
pub fn iterations() -> u64 {
    std::env::var("CORNELWINCH_ITERATIONS").map_or(200, |n| n.parse().expect("a number"))
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn config() -> GatherConfig {
    let mut config = GatherConfig::new("z0".into());
    config.panic_on_violation = true;
    config
}

/// Returns a snapshot whose shards hold ten documents each. The replicas of shard `s` are the
/// upstreams `s{s}r0`, `s{s}r1` and so on.
pub fn snapshot(id: u64, shards: u64, replicas: u64) -> Snapshot {
    let shard = |s| Shard {
        range: KeyRange {
            start: s * 10,
            end: s * 10 + 10,
        },
        documents: 10,
        replicas: (0..replicas).map(|r| format!("s{s}r{r}").into()).collect(),
    };
    Snapshot {
        search: "portal".into(),
        id: SnapshotId(id),
        shards: (0..shards).map(shard).collect(),
    }
}

pub fn answer(leg: &LegRequest) -> LegResult {
    LegResult::Answer(LegAnswer {
        attempt: leg.attempt,
        snapshot: leg.snapshot,
        range: leg.range,
        documents: leg.range.end - leg.range.start,
        hits: Vec::new(),
    })
}

pub const UNREACHABLE: LegResult = LegResult::Refused(Refusal::Unreachable);
pub const OVERLOADED: LegResult = LegResult::Refused(Refusal::Overloaded);
pub const DISCONNECTED: LegResult = LegResult::Failed(LegFailure::Disconnected);

pub fn spec(query: u64, body: &str, now: Instant, policy: ClassPolicy) -> QuerySpec {
    QuerySpec {
        query: QueryId(query),
        search: "portal".into(),
        class: "desk".into(),
        organisation: "customer".into(),
        body: body.into(),
        deadline: now + ms(policy.deadline_ms),
        policy,
        fingerprint: Fingerprint::of("portal", body),
        priority: 3,
    }
}

/// A host on virtual time that runs one query or several at once.
pub struct TestHost {
    pub now: Instant,
    pub stats: GatherStats,
    pub policy: ClassPolicy,
    pub out: Vec<GatherAction>,
    queries: u64,
}

impl TestHost {
    pub fn new(config: GatherConfig) -> Self {
        Self::seeded(config, 7)
    }

    pub fn seeded(config: GatherConfig, seed: u64) -> Self {
        let policy = ClassPolicy {
            deadline_ms: 1000,
            min_coverage: 0.5,
            partial_after_ms: None,
            priority: 0,
            hedge_quantile: None,
        };
        let stats = GatherStats::new(config, Rng::with_seed(seed));
        Self {
            now: Instant::now(),
            stats,
            policy,
            out: Vec::new(),
            queries: 0,
        }
    }

    /// Runs a query whose `legs` legs are all answered after `latency`, so that the host has latency
    /// samples.
    pub fn record_latency(&mut self, legs: u64, latency: Duration) {
        self.mark_answered("warm");
        let (mut gather, sent) = self.start("warm", &[snapshot(1, legs, 1)]);
        self.now += latency;
        for leg in sent {
            self.result(&mut gather, &leg, answer(&leg));
        }
        self.finished().expect("finished");
    }

    /// Runs a query with `body` that is answered, so that later queries with this body start all
    /// their legs at once.
    pub fn mark_answered(&mut self, body: &str) {
        let (mut gather, legs) = self.start(body, &[snapshot(1, 1, 1)]);
        self.result(&mut gather, &legs[0], answer(&legs[0]));
        self.finished().expect("finished");
    }

    pub fn start(&mut self, body: &str, snapshots: &[Snapshot]) -> (Gather, Vec<LegRequest>) {
        self.queries += 1;
        let spec = spec(self.queries, body, self.now, self.policy.clone());
        let gather = Gather::start(self.now, spec, snapshots, &mut self.stats, &mut self.out);
        let legs = self.sent();
        (gather, legs)
    }

    pub fn result(
        &mut self,
        gather: &mut Gather,
        leg: &LegRequest,
        result: LegResult,
    ) -> Vec<LegRequest> {
        gather.on_leg(
            self.now,
            leg.attempt,
            result,
            &mut self.stats,
            &mut self.out,
        );
        self.sent()
    }

    /// Advances the time, runs every wake that becomes due, and returns the legs sent.
    pub fn advance(&mut self, gather: &mut Gather, time: Duration) -> Vec<LegRequest> {
        let end = self.now + time;
        while let Some(wake) = gather.next_wake().filter(|wake| *wake <= end) {
            self.now = self.now.max(wake);
            gather.on_wake(self.now, &mut self.stats, &mut self.out);
            assert!(
                gather.next_wake().is_none_or(|wake| wake > self.now),
                "a wake that has run is still due"
            );
        }
        self.now = end;
        self.sent()
    }

    pub fn sent(&mut self) -> Vec<LegRequest> {
        let sends = self
            .out
            .extract_if(.., |action| matches!(action, GatherAction::Send(_)));
        let leg = |action| match action {
            GatherAction::Send(leg) => Some(leg),
            _ => None,
        };
        sends.filter_map(leg).collect()
    }

    pub fn cancelled(&mut self) -> Vec<AttemptId> {
        let is_cancel = |action: &mut _| matches!(action, GatherAction::Cancel { .. });
        let attempt = |action| match action {
            GatherAction::Cancel { attempt, .. } => Some(attempt),
            _ => None,
        };
        self.out
            .extract_if(.., is_cancel)
            .filter_map(attempt)
            .collect()
    }

    pub fn finished(&mut self) -> Option<Answer> {
        let i = self
            .out
            .iter()
            .position(|action| matches!(action, GatherAction::Finish(_)))?;
        match self.out.remove(i) {
            GatherAction::Finish(answer) => Some(answer),
            _ => None,
        }
    }
}
