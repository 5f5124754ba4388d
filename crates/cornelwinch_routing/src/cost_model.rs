use std::time::Instant;

use cornelwinch_types::Name;

/// Largest number of routes with a cost of their own. Legs of further routes are placed by latency.
const MAX_ROUTES: usize = 64;

/// Largest number of zones with a latency of their own.
const MAX_ZONES: usize = 16;

/// Time without a leg after which the entry of a route may be reused.
const ROUTE_TTL_S: f64 = 600.0;

/// Smallest weight of a new sample in the cost of a route: the cost covers about 50 legs.
const MIN_COST_WEIGHT: f64 = 0.02;

/// Weight of a new sample in the moving average of residuals that shows a change of cost.
const DRIFT_WEIGHT: f64 = 0.1;

/// Mean residual from which the cost of a route is taken to have changed. Noise of 2.5 times in 15
/// of 100 legs shifts the mean by less than half of it.
const DRIFT_THRESHOLD: f64 = 0.35;

/// Weight of a new sample while the cost of a route changes.
const DRIFT_COST_WEIGHT: f64 = 0.3;

/// Largest residual of a sample, as a logarithm. A pause lengthens a leg tenfold and is no evidence
/// of what the leg costs.
const MAX_RESIDUAL: f64 = 0.7;

/// Samples after which residuals are limited and the cost counts as known.
const FIRST_SAMPLES: f64 = 5.0;

/// Successive legs to other zones from which they teach the cost: upstreams of the zone of this host
/// are absent.
const MAX_REMOTE_LEGS: u32 = 50;

/// Samples from which the cost of a route may show that costs are uneven.
const KNOWN_SAMPLES: f64 = 30.0;

/// Ratio of the costs of two routes from which they count as uneven.
const UNEVEN_COST_RATIO: f64 = 1.5;

/// Assumed latency of another zone in leg times until it is known, and the number of samples that
/// the assumption counts for.
const OTHER_ZONE_RATIO: f64 = 0.5;
const ZONE_PRIOR_SAMPLES: f64 = 4.0;

/// Smallest latency of a zone that is told apart from the variation of the work, in seconds.
const MIN_ZONE_LATENCY_S: f64 = 0.000_5;

/// Samples from which the latency of a zone is known well enough to learn speeds from legs to it.
const KNOWN_ZONE_SAMPLES: f64 = 8.0;

/// Smallest weight of a new sample in the latency of a zone.
const MIN_ZONE_WEIGHT: f64 = 0.01;

/// Variance of the logarithm of a leg's time that is assumed at first, and the weight of a sample.
const INITIAL_NOISE: f64 = 0.16;
const NOISE_WEIGHT: f64 = 0.01;
const MIN_NOISE: f64 = 0.01;

/// Decay of the sums that tell how far a delay of an upstream predicts that of its next leg, and
/// the weight of the assumption that it does so fully.
const PERSISTENCE_DECAY: f64 = 0.99;
const PERSISTENCE_PRIOR: f64 = 10.0;

/// Expected time of the legs of a route to an upstream of average speed in the zone of this host.
#[derive(Debug)]
struct RouteCost {
    name: Name,
    ln_cost: f64,
    /// Cost in seconds.
    cost: f64,
    samples: f64,
    /// Legs to other zones since the last one to the zone of this host.
    remote_legs: u32,
    /// Moving average of the limited residuals.
    drift: f64,
    used: Instant,
}

/// Additional time of a leg to another zone.
#[derive(Debug)]
struct ZoneLatency {
    name: Name,
    seconds: f64,
    samples: f64,
}

/// Costs of routes, latencies of zones and the noise of leg times, pooled over all upstreams.
///
/// The time of a leg is modelled as the latency of the zone plus the cost of the route times the
/// upstream's slowness, which is 1 on average.
#[derive(Debug)]
pub struct CostModel {
    routes: Vec<RouteCost>,
    zones: Vec<ZoneLatency>,
    noise: f64,
    /// Sums of products and squares of successive delays, in squared costs.
    delay_product: f64,
    delay_square: f64,
    samples: u64,
    discarded: u64,
}

/// A leg that was answered, for [`CostModel::learn`].
#[derive(Debug, Clone, Copy)]
pub struct CostSample<'a> {
    /// Time from sending to the complete answer, in seconds.
    pub seconds: f64,
    /// Index of the route.
    pub route: usize,
    /// Zone of the upstream; `None` if it is that of this host.
    pub other_zone: Option<&'a Name>,
    /// Logarithm of the upstream's learned slowness.
    pub ln_speed: f64,
}

impl Default for CostModel {
    fn default() -> Self {
        Self {
            routes: Vec::new(),
            zones: Vec::new(),
            noise: INITIAL_NOISE,
            delay_product: PERSISTENCE_PRIOR,
            delay_square: PERSISTENCE_PRIOR,
            samples: 0,
            discarded: 0,
        }
    }
}

impl CostModel {
    /// Returns the index of a route.
    pub fn route(&self, name: &Name) -> Option<usize> {
        self.routes.iter().position(|route| route.name == *name)
    }

    /// Returns the index of a route and adds it if it is not known; `typical` is the first estimate
    /// of its cost in seconds. Returns `None` if there are too many routes.
    pub fn use_route(&mut self, now: Instant, name: &Name, typical: f64) -> Option<usize> {
        if let Some(index) = self.route(name) {
            self.routes[index].used = now;
            return Some(index);
        }
        let typical = typical.max(0.000_1);
        let route = RouteCost {
            name: name.clone(),
            ln_cost: typical.ln(),
            cost: typical,
            samples: 0.0,
            remote_legs: 0,
            drift: 0.0,
            used: now,
        };
        if self.routes.len() < MAX_ROUTES {
            self.routes.push(route);
            return Some(self.routes.len() - 1);
        }
        let unused = self.routes.iter().position(|route| {
            now.saturating_duration_since(route.used).as_secs_f64() > ROUTE_TTL_S
        })?;
        self.routes[unused] = route;
        Some(unused)
    }

    /// Returns the cost of a route in seconds.
    pub fn cost(&self, route: usize) -> f64 {
        self.routes[route].cost
    }

    /// Returns the additional time of a leg of this cost to another zone, in seconds.
    pub fn zone_latency(&self, zone: &Name, cost: f64) -> f64 {
        let assumed = OTHER_ZONE_RATIO * cost;
        match self.zones.iter().find(|known| known.name == *zone) {
            Some(known) => {
                let weight = known.samples / (known.samples + ZONE_PRIOR_SAMPLES);
                (assumed * (1.0 - weight) + known.seconds * weight).max(0.0)
            }
            None => assumed,
        }
    }

    /// Returns the variance of the logarithm of a leg's time around its expectation.
    pub fn noise(&self) -> f64 {
        self.noise
    }

    /// Returns the share of an upstream's recent delay that its next leg is expected to have.
    pub fn delay_persistence(&self) -> f64 {
        (self.delay_product / self.delay_square).clamp(0.0, 1.0)
    }

    /// Records a delay after an earlier one, both as multiples of the leg's cost.
    pub fn learn_persistence(&mut self, expected: f64, seen: f64) {
        // Small expectations say nothing about the persistence and would make up most samples.
        if expected > 0.1 {
            self.delay_product = self.delay_product * PERSISTENCE_DECAY + expected * seen;
            self.delay_square = self.delay_square * PERSISTENCE_DECAY + expected * expected;
        }
    }

    /// Counts a sample that is not learned from because this host was late itself.
    pub fn count_discarded(&mut self) {
        self.discarded += 1;
    }

    /// Learns from the time of an answered leg. Returns the logarithm of the time relative to the
    /// expected one, limited, or `None` if it says nothing about the speed of the upstream.
    pub fn learn(&mut self, sample: CostSample<'_>) -> Option<f64> {
        self.samples += 1;
        let cost = self.cost(sample.route);
        let slowness = sample.ln_speed.exp();
        let route = &mut self.routes[sample.route];
        route.remote_legs = match sample.other_zone {
            Some(_) => route.remote_legs.saturating_add(1),
            None => 0,
        };
        let is_known = route.samples >= FIRST_SAMPLES;
        // Legs to other zones show the latency of the zone if the cost is known from legs to the
        // zone of this host, and otherwise the cost.
        let shows_cost =
            !is_known || sample.other_zone.is_none() || route.remote_legs > MAX_REMOTE_LEGS;
        let latency = match sample.other_zone {
            Some(zone) if !shows_cost => self.learn_zone(zone, sample.seconds, cost),
            Some(zone) => self.zone_latency(zone, cost),
            None => 0.0,
        };
        // A part of the leg's time remains, however much the latency of the zone varies.
        let work = (sample.seconds - latency).max(sample.seconds * 0.1);
        let residual = (work / (cost * slowness)).max(1e-6).ln();
        let limited = residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL);
        let route = &mut self.routes[sample.route];
        if shows_cost {
            route.samples += 1.0;
            route.drift += DRIFT_WEIGHT * (limited - route.drift);
            if !is_known {
                route.ln_cost += residual / route.samples;
                route.cost = route.ln_cost.exp();
                return None;
            }
            let weight = if route.drift.abs() > DRIFT_THRESHOLD {
                DRIFT_COST_WEIGHT
            } else {
                (1.0 / route.samples).max(MIN_COST_WEIGHT)
            };
            route.ln_cost += weight * limited;
            route.cost = route.ln_cost.exp();
        }
        let is_drifting = route.drift.abs() > DRIFT_THRESHOLD;
        if is_drifting || (!shows_cost && !self.knows_zone(sample.other_zone)) {
            return None;
        }
        self.noise = (self.noise + NOISE_WEIGHT * (limited * limited - self.noise)).max(MIN_NOISE);
        Some(limited)
    }

    fn knows_zone(&self, name: Option<&Name>) -> bool {
        let mut zones = self.zones.iter();
        zones.any(|zone| Some(&zone.name) == name && zone.samples >= KNOWN_ZONE_SAMPLES)
    }

    /// Learns the latency of a zone from a leg of a known cost, and returns the latency. The upstream
    /// is taken to have the average speed: its learned speed would absorb a part of the latency, and
    /// speeds average out over the upstreams of the zone.
    fn learn_zone(&mut self, name: &Name, seconds: f64, work: f64) -> f64 {
        let known = self.zones.iter().position(|zone| zone.name == *name);
        let index = match known {
            Some(index) => index,
            None if self.zones.len() < MAX_ZONES => {
                self.zones.push(ZoneLatency {
                    name: name.clone(),
                    seconds: OTHER_ZONE_RATIO * work,
                    samples: 0.0,
                });
                self.zones.len() - 1
            }
            None => return self.zone_latency(name, work),
        };
        let zone = &mut self.zones[index];
        // A short leg shows the latency more exactly than a long one, whose work varies more.
        let ratio = work / zone.seconds.max(MIN_ZONE_LATENCY_S);
        let precision = 1.0 / (1.0 + self.noise * ratio * ratio);
        zone.samples += precision;
        let weight = (1.0 / zone.samples.max(1.0)).max(MIN_ZONE_WEIGHT) * precision;
        let limit = MAX_RESIDUAL * work + zone.seconds.abs() * 0.5;
        let error = (seconds - work - zone.seconds).clamp(-limit, limit);
        zone.seconds = (zone.seconds + weight * error).max(0.0);
        zone.seconds
    }

    /// Returns true if the costs of two of the routes, given as a set of indexes, are known to
    /// differ.
    pub fn has_uneven_costs(&self, routes: u64) -> bool {
        let used =
            self.routes.iter().enumerate().filter(|(index, route)| {
                routes & (1 << index) != 0 && route.samples >= KNOWN_SAMPLES
            });
        let (mut low, mut high) = (f64::INFINITY, f64::NEG_INFINITY);
        for (_, route) in used {
            low = low.min(route.ln_cost);
            high = high.max(route.ln_cost);
        }
        let error = (2.0 * self.noise * MIN_COST_WEIGHT).sqrt();
        high - low > UNEVEN_COST_RATIO.ln() + 2.0 * error
    }

    /// Returns one line for the model and one for each route and each zone.
    pub fn describe(&self) -> Vec<String> {
        let mut lines = vec![format!(
            "cost_model samples={} discarded={} noise={:.3} delay_persistence={:.2}",
            self.samples,
            self.discarded,
            self.noise.sqrt(),
            self.delay_persistence(),
        )];
        lines.extend(self.routes.iter().map(|route| {
            format!(
                "route_cost={} ms={:.2} samples={:.0} drift={:.2}",
                route.name,
                route.cost * 1_000.0,
                route.samples,
                route.drift,
            )
        }));
        lines.extend(self.zones.iter().map(|zone| {
            format!(
                "zone_latency={} ms={:.2} samples={:.1}",
                zone.name,
                zone.seconds * 1_000.0,
                zone.samples,
            )
        }));
        lines
    }
}
