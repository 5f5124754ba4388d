use std::time::Duration;

use fastrand::Rng;

use crate::BenchConfig;

/// One planned request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Arrival {
    /// Time from the start of the run.
    pub at: Duration,
    /// Position of the kind of request in the mix.
    pub item: usize,
    /// Position of the target.
    pub target: usize,
    /// Position of the body.
    pub body: usize,
    /// Key of a ticket request.
    pub key: u64,
}

/// Plans the requests of a run: a Poisson process fixed by the seed.
pub fn arrivals(cfg: &BenchConfig) -> Vec<Arrival> {
    let mut rng = Rng::with_seed(cfg.seed);
    let total: f64 = cfg.mix.iter().map(|item| item.weight).sum();
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    loop {
        at -= (1.0 - rng.f64()).ln() / cfg.rate_per_s;
        if at >= cfg.duration.as_secs_f64() {
            return arrivals;
        }
        let mut left = rng.f64() * total;
        let item = cfg.mix.iter().position(|item| {
            left -= item.weight;
            left < 0.0
        });
        arrivals.push(Arrival {
            at: Duration::from_secs_f64(at),
            // Rounding can leave the sum of the weights just short.
            item: item.unwrap_or(cfg.mix.len() - 1),
            target: arrivals.len() % cfg.targets.len(),
            body: rng.usize(..cfg.bodies.len()),
            key: rng.u64(..cfg.keys),
        });
    }
}
