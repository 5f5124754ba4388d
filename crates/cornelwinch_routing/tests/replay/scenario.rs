//! Load and upstreams of a simulated run.

/// Requests of a route: rate of all hosts per second, work and goal in milliseconds.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Load {
    pub(crate) name: &'static str,
    pub(crate) rate: f64,
    pub(crate) work: f64,
    pub(crate) goal: f64,
}

#[derive(Debug, Clone)]
pub(crate) struct Scenario {
    pub(crate) name: &'static str,
    pub(crate) hosts: usize,
    pub(crate) shards: usize,
    pub(crate) replicas: usize,
    pub(crate) loads: Vec<Load>,
    /// Times that the replicas of a shard take, in random order.
    pub(crate) speeds: [f64; 3],
    /// Share of the upstreams that take 2.5 times as long for 0.6 s.
    pub(crate) noise: f64,
    pub(crate) has_pauses: bool,
    /// One-way latency between zones in ms.
    pub(crate) hop: f64,
    /// Share of the upstreams that take four times as long in the second half.
    pub(crate) gets_slow: f64,
    /// Factor of the work in the second half.
    pub(crate) change: f64,
    /// Share of the legs that upstreams refuse in the second half.
    pub(crate) refuses: f64,
    /// Upstreams restart and hosts forget everything in the middle.
    pub(crate) restarts: bool,
    pub(crate) seconds: u64,
    pub(crate) seed: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            name: "even",
            hosts: 81,
            shards: 8,
            replicas: 3,
            loads: vec![SWEEP, PEEK],
            speeds: [1.0; 3],
            noise: 0.0,
            has_pauses: true,
            hop: 3.9,
            gets_slow: 0.0,
            change: 1.0,
            refuses: 0.0,
            restarts: false,
            seconds: 40,
            seed: 1,
        }
    }
}

pub(crate) const SWEEP: Load = Load {
    name: "sweep",
    rate: 79.2,
    work: 7.5,
    goal: 150.0,
};
pub(crate) const PEEK: Load = Load {
    name: "peek",
    rate: 26.4,
    work: 2.5,
    goal: 80.0,
};
