use cornelwinch_config::{
    ClassPolicy, EntryValue, OrganisationSpec, PlanSpec, SearchSpec, ServiceState, UpstreamSpec,
};
use cornelwinch_types::{
    KeyRange, LegAnswer, LegRequest, LegResult, Name, Shard, Snapshot, SnapshotId,
};

use super::World;

/// Keys and documents of the shard.
const SHARD_KEYS: u64 = 10;

/// A whole answer without rows.
pub(crate) fn answer(leg: &LegRequest) -> LegResult {
    LegResult::Answer(LegAnswer {
        attempt: leg.attempt,
        snapshot: leg.snapshot,
        range: leg.range,
        documents: SHARD_KEYS,
        hits: Vec::new(),
    })
}

impl World {
    /// Configures an upstream in each zone, and a search with one shard on some of
    /// them.
    pub(crate) fn configure_search(&mut self, replicas: &[&str]) {
        let name = || Name::from("portal");
        for (upstream, zone) in [("u-a", "a"), ("u-b", "b")] {
            let spec = UpstreamSpec {
                zone: zone.into(),
                address: ([10, 1, 0, 1], 80).into(),
                slots: 2,
                connections: 2,
                cold_limit: 1,
                state: ServiceState::In,
            };
            self.put(upstream, EntryValue::Upstream(Some(spec)));
        }
        let policy = ClassPolicy {
            deadline_ms: 5_000,
            min_coverage: 1.0,
            partial_after_ms: None,
            priority: 0,
            hedge_quantile: None,
        };
        self.put("portal", EntryValue::Class(Some(policy)));
        let classes = vec![name()];
        self.put("portal", EntryValue::Search(Some(SearchSpec { classes })));
        let shard = Shard {
            range: KeyRange {
                start: 0,
                end: SHARD_KEYS,
            },
            documents: SHARD_KEYS,
            replicas: replicas.iter().map(|name| Name::from(*name)).collect(),
        };
        let snapshot = Snapshot {
            search: name(),
            id: SnapshotId(1),
            shards: vec![shard],
        };
        self.put("portal.1", EntryValue::Snapshot(Some(snapshot)));
        let plan = PlanSpec {
            rate_per_s: 100_000.0,
            burst: 10_000,
            concurrency: 10_000,
            priority: 0,
            searches: vec![name()],
        };
        self.put("portal", EntryValue::Plan(Some(plan)));
        let organisation = OrganisationSpec {
            plan: name(),
            token_hash: blake3::hash(b"token").to_hex().as_str().into(),
        };
        self.put("portal", EntryValue::Organisation(Some(organisation)));
    }
}
