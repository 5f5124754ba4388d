use std::time::Duration;

use cornelwinch_config::ClassPolicy;
use cornelwinch_standins::upstream::{ColdStart, ServiceTime};
use cornelwinch_types::Name;

/// One search of a deployment.
#[derive(Debug, Clone)]
pub struct SearchShape {
    /// Name of the search, of its class and of its organisation.
    pub name: Name,
    /// Number of shards.
    pub shards: u32,
    /// Upstreams that hold each shard, in different availability zones.
    pub replicas: u32,
    /// Keys of each shard.
    pub shard_keys: u64,
    /// Legs that an upstream runs at once.
    pub slots: u32,
    /// Connections that an upstream accepts.
    pub connections: u32,
    /// Time for a new connection.
    pub connection_delay: Duration,
    /// Time that a leg takes.
    pub service: ServiceTime,
    /// Behaviour in a cold start.
    pub cold: ColdStart,
    /// Policy of the search's class.
    pub policy: ClassPolicy,
    /// Further classes, each with an organisation of the same name.
    pub classes: Vec<(Name, ClassPolicy)>,
}

/// A deployment: availability zones, hosts and searches.
#[derive(Debug, Clone)]
pub struct DeploymentShape {
    /// Name of the deployment.
    pub name: Name,
    /// Availability zones.
    pub zones: Vec<Name>,
    /// Hosts; they are spread over the zones in turn.
    pub hosts: usize,
    /// Searches.
    pub searches: Vec<SearchShape>,
    /// Age of the platform's host list.
    pub host_lag: Duration,
    /// Time for which a host accepts requests after its readiness is off.
    pub balancer_delay: Duration,
    /// Time after which a shutdown cuts requests.
    pub drain_limit: Duration,
    /// Requests per second of each organisation.
    pub rate_per_s: f64,
    /// Requests in progress of each organisation.
    pub concurrency: u32,
    /// Sends legs directly from every host, as a baseline.
    pub direct: bool,
    /// Seed of the stand-ins.
    pub seed: u64,
}

impl DeploymentShape {
    /// A deployment without searches.
    pub fn new(name: &str, zones: usize, hosts: usize) -> Self {
        Self {
            name: name.into(),
            zones: (0..zones)
                .map(|i| format!("{name}-{}", char::from(b'a' + i as u8)).into())
                .collect(),
            hosts,
            searches: Vec::new(),
            host_lag: Duration::from_secs(10),
            balancer_delay: Duration::from_millis(500),
            drain_limit: Duration::from_secs(10),
            rate_per_s: 100_000.0,
            concurrency: 100_000,
            direct: false,
            seed: 1,
        }
    }

    /// Adds a search.
    #[must_use]
    pub fn with_search(mut self, search: SearchShape) -> Self {
        self.searches.push(search);
        self
    }
}

impl SearchShape {
    /// A search with two replicas of each shard, 3 slots and 30 connections.
    pub fn new(name: &str, shards: u32) -> Self {
        Self {
            name: name.into(),
            shards,
            replicas: 2,
            shard_keys: 100,
            slots: 3,
            connections: 30,
            connection_delay: Duration::from_millis(6),
            service: ServiceTime::default(),
            cold: ColdStart::default(),
            policy: ClassPolicy {
                deadline_ms: 340,
                min_coverage: 1.0,
                partial_after_ms: None,
                priority: 1,
                hedge_quantile: Some(0.985),
            },
            classes: Vec::new(),
        }
    }

    /// All classes with their policies, the one named as the search first.
    pub(crate) fn all_classes(&self) -> Vec<(Name, ClassPolicy)> {
        let own = (self.name.clone(), self.policy.clone());
        std::iter::once(own)
            .chain(self.classes.iter().cloned())
            .collect()
    }

    fn limited(mut self, slots: u32, connections: u32, connection_delay_ms: u64) -> Self {
        self.slots = slots;
        self.connections = connections;
        self.connection_delay = Duration::from_millis(connection_delay_ms);
        self
    }
}

/// Dar El Qalam's deployment in Tunis: it waits for coverage.
pub fn tunis() -> DeploymentShape {
    DeploymentShape::new("tunis", 4, 5)
        .with_search(SearchShape::new("portal", 30).limited(3, 30, 6))
        .with_search(SearchShape::new("bookshops", 45).limited(3, 30, 6))
        .with_search(SearchShape::new("prepress", 25).limited(2, 110, 1))
        .with_search(SearchShape::new("dispatch", 13).limited(2, 110, 1))
}

/// Rafeed's deployment in Amman: it answers on time.
pub fn amman() -> DeploymentShape {
    let mut shape = DeploymentShape::new("amman", 3, 4)
        .with_search(SearchShape::new("doorstep", 30).limited(2, 25, 6))
        .with_search(SearchShape::new("frontdesk", 45).limited(2, 25, 6))
        .with_search(SearchShape::new("clinic", 10).limited(4, 40, 1))
        .with_search(SearchShape::new("stock", 5).limited(4, 40, 1));
    for (i, search) in shape.searches.iter_mut().enumerate() {
        search.policy.min_coverage = 0.9;
        search.policy.partial_after_ms = Some(150);
        search.policy.priority = i as u8;
    }
    shape
}
