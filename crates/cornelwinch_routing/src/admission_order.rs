use std::time::{Duration, Instant};

use cornelwinch_types::Name;

/// Time constant of the recent demand of a class. A host gets 1 to 5 requests per second, so that a
/// shorter one would see a single request, and overloads last for a few seconds.
const DEMAND_TIME: Duration = Duration::from_secs(1);

/// Time constant of the usual demand of a class: much longer than a burst.
const USUAL_TIME: Duration = Duration::from_secs(60);

/// Weight that each class has in addition to its usual demand, in requests per second, so that new
/// and small organisations have a share.
const MIN_WEIGHT: f64 = 0.25;

/// Share of the capacity that requests of each less urgent level get at least.
const MIN_LEVEL_RATIO: f64 = 0.05;

/// Admission ratio of an organisation, as a share of that of its level, at least.
const MIN_ORGANISATION_RATIO: f64 = 0.25;

/// Assumed time of a request while none has ended: the one for which the pace of limits below one
/// request is set.
const INITIAL_HOLD_TIME: Duration = Duration::from_millis(100);

/// Bounds of the mean time of a request.
const HOLD_TIME_RANGE: [Duration; 2] = [Duration::from_millis(10), Duration::from_secs(1)];

/// Weight of the last request in the mean time of a request.
const HOLD_TIME_STEP: f64 = 0.2;

/// Share of the capacity that is planned. Requests arrive at random: if all of it were planned, an
/// urgent request would find it taken about half of the time.
const PLANNED_RATIO: f64 = 0.7;

/// Number of mean intervals between starts without a start after which capacity counts as unused.
const IDLE_INTERVALS: f64 = 2.0;

/// Number of classes that are told apart. Requests of organisations beyond them count as without
/// organisation.
const MAX_CLASSES: usize = 256;

/// Demand in requests per second below which a class is forgotten.
const MIN_DEMAND: f64 = 0.001;

/// What the order of admission knows of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Organisation of the caller; `None` without a known key.
    pub organisation: Option<Name>,
    /// Priority of the organisation, otherwise of the route; 0 is the most urgent.
    pub priority: u32,
    /// True if an answer could still be within the goal of the route.
    pub can_meet_goal: bool,
}

/// Decision of the order about a request while the limit is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionTurn {
    /// No other class competes or the capacity is sufficient: the limit alone decides.
    Any,
    /// All requests of the class precede others that are refused in part, so that they may exceed
    /// the limit for a moment.
    First,
    /// The request gives way to others.
    Wait,
}

/// Requests of the same level and organisation.
#[derive(Debug)]
struct Class {
    organisation: Option<Name>,
    is_late: bool,
    priority: u32,
    updated_at: Instant,
    /// Requests per second of late and usually, as of `updated_at`.
    demand: f64,
    usual: f64,
}

impl Class {
    /// Less urgent levels compare greater.
    fn level(&self) -> (bool, u32) {
        (self.is_late, self.priority)
    }

    fn decay(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.demand *= (-age / DEMAND_TIME.as_secs_f64()).exp();
        self.usual *= (-age / USUAL_TIME.as_secs_f64()).exp();
        self.updated_at = now;
    }

    fn weight(&self) -> f64 {
        self.usual + MIN_WEIGHT
    }
}

/// Order in which requests get the capacity that a limit leaves, by the recent demand on this host.
///
/// It answers shortages in which urgent requests were refused like any other, and one organisation
/// displaced the others. Each level (requests that can meet their goal before those that cannot,
/// then by priority) gets the capacity that more urgent ones leave, and a small share at least.
/// Inside a level organisations share in proportion to their usual demand. What one does not use
/// goes to the others.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_routing::{AdmissionOrder, AdmissionTurn, Caller};
///
/// let now = Instant::now();
/// let mut order = AdmissionOrder::default();
/// let caller = Caller { organisation: None, priority: 1, can_meet_goal: true };
/// order.record_arrival(now, &caller);
/// assert_eq!(order.turn(now, &caller, 0.1, 0.5), AdmissionTurn::Any);
/// ```
#[derive(Debug, Default)]
pub struct AdmissionOrder {
    classes: Vec<Class>,
    hold_time: Option<Duration>,
    last_start: Option<Instant>,
}

impl AdmissionOrder {
    /// Records that a request arrived, whether or not a limit is in force.
    pub fn record_arrival(&mut self, now: Instant, caller: &Caller) {
        let index = self.index(caller).unwrap_or_else(|| {
            if self.classes.len() >= MAX_CLASSES {
                self.forget_idle(now);
            }
            let is_full = self.classes.len() >= MAX_CLASSES;
            let organisation = caller.organisation.clone().filter(|_| !is_full);
            let class = Class {
                organisation,
                is_late: !caller.can_meet_goal,
                priority: caller.priority,
                updated_at: now,
                demand: 0.0,
                usual: 0.0,
            };
            let same = |c: &Class| c.level() == class.level() && c.organisation.is_none();
            match self.classes.iter().position(same) {
                Some(index) if is_full => index,
                _ => {
                    self.classes.push(class);
                    self.classes.len() - 1
                }
            }
        });
        let class = &mut self.classes[index];
        class.decay(now);
        class.demand += 1.0 / DEMAND_TIME.as_secs_f64();
        class.usual += 1.0 / USUAL_TIME.as_secs_f64();
    }

    /// Records that a request started.
    pub fn record_start(&mut self, now: Instant) {
        self.last_start = Some(now);
    }

    /// Records the time for which a request was in progress.
    pub fn record_end(&mut self, time: Duration) {
        let [min, max] = HOLD_TIME_RANGE;
        let old = self.hold_time.unwrap_or(INITIAL_HOLD_TIME);
        let new = old.mul_f64(1.0 - HOLD_TIME_STEP) + time.min(max).mul_f64(HOLD_TIME_STEP);
        self.hold_time = Some(new.clamp(min, max));
    }

    /// Decides about a request whose arrival was recorded. `limit` is the number of requests that
    /// may be in progress, `draw` a random number from 0 to 1.
    pub fn turn(&mut self, now: Instant, caller: &Caller, limit: f64, draw: f64) -> AdmissionTurn {
        if !self.has_competition() {
            return AdmissionTurn::Any;
        }
        for class in &mut self.classes {
            class.decay(now);
        }
        let Some(index) = self.index(caller) else {
            return AdmissionTurn::Any;
        };
        let capacity = self.capacity(limit);
        // A request that counted itself would see more than the mean demand, above all in a small
        // class.
        let demand = self.classes[index].demand;
        self.classes[index].demand = (demand - 1.0 / DEMAND_TIME.as_secs_f64()).max(0.0);
        let total: f64 = self.classes.iter().map(|class| class.demand).sum();
        let ratio = self.admitted_ratio(index, capacity);
        self.classes[index].demand = demand;
        if total <= capacity {
            return AdmissionTurn::Any;
        }
        let idle_after = Duration::from_secs_f64(IDLE_INTERVALS / capacity);
        let is_idle = self
            .last_start
            .is_none_or(|at| now.saturating_duration_since(at) >= idle_after);
        if ratio >= 1.0 {
            AdmissionTurn::First
        } else if draw < ratio || is_idle {
            AdmissionTurn::Any
        } else {
            AdmissionTurn::Wait
        }
    }

    /// Returns the recent demand by priority in requests per second, most urgent first; empty if
    /// there is nothing to order.
    pub fn demand(&self) -> Vec<(u32, f64)> {
        let mut demand: Vec<(u32, f64)> = Vec::new();
        for class in self.classes.iter().filter(|_| self.has_competition()) {
            match demand.binary_search_by_key(&class.priority, |(priority, _)| *priority) {
                Ok(i) => demand[i].1 += class.demand,
                Err(i) => demand.insert(i, (class.priority, class.demand)),
            }
        }
        demand
    }

    /// Removes classes that are no longer in use.
    pub fn forget_idle(&mut self, now: Instant) {
        self.classes.retain_mut(|class| {
            class.decay(now);
            class.usual >= MIN_DEMAND
        });
    }

    /// Returns true if no class is remembered.
    pub fn is_empty(&self) -> bool {
        self.classes.is_empty()
    }

    /// Returns true if requests differ in more than the time that their callers have waited.
    fn has_competition(&self) -> bool {
        let Some(first) = self.classes.first() else {
            return false;
        };
        self.classes.iter().any(|class| {
            class.priority != first.priority || class.organisation != first.organisation
        })
    }

    fn index(&self, caller: &Caller) -> Option<usize> {
        let level = (!caller.can_meet_goal, caller.priority);
        self.classes
            .iter()
            .position(|class| class.level() == level && class.organisation == caller.organisation)
    }

    /// Returns the planned number of requests that start in a second at the limit.
    fn capacity(&self, limit: f64) -> f64 {
        let hold = match self.hold_time {
            // A limit below one request is kept by a pace that does not depend on this time.
            Some(hold) if limit >= 1.0 => hold,
            _ => INITIAL_HOLD_TIME,
        };
        (PLANNED_RATIO * limit / hold.as_secs_f64()).max(f64::MIN_POSITIVE)
    }

    /// Returns the share of the requests of a class that may start.
    fn admitted_ratio(&self, index: usize, capacity: f64) -> f64 {
        let level = self.classes[index].level();
        let min = MIN_LEVEL_RATIO * capacity;
        let mut levels: Vec<((bool, u32), f64)> = Vec::new();
        for class in &self.classes {
            match levels.binary_search_by_key(&class.level(), |(level, _)| *level) {
                Ok(i) => levels[i].1 += class.demand,
                Err(i) => levels.insert(i, (class.level(), class.demand)),
            }
        }
        let position = levels.partition_point(|(other, _)| *other < level);
        let used: f64 = levels[..position].iter().map(|(_, d)| d).sum();
        let reserved: f64 = levels[position + 1..].iter().map(|(_, d)| d.min(min)).sum();
        let demand = levels[position].1;
        let granted = (capacity - used - reserved).max(min).min(demand);
        if demand <= granted {
            return 1.0;
        }
        let members: Vec<&Class> = self.classes.iter().filter(|c| c.level() == level).collect();
        let class = &self.classes[index];
        let fair = fair_level(&members, granted) * class.weight() / class.demand.max(MIN_DEMAND);
        fair.clamp(MIN_ORGANISATION_RATIO * granted / demand, 1.0)
    }
}

/// Returns the number of requests per unit of weight up to which classes are granted their demand,
/// so that all together get `granted`.
fn fair_level(members: &[&Class], granted: f64) -> f64 {
    let mut sorted: Vec<(f64, f64)> = members.iter().map(|c| (c.demand, c.weight())).collect();
    sorted.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
    let mut granted = granted;
    let mut weight: f64 = sorted.iter().map(|(_, weight)| weight).sum();
    for (demand, own_weight) in sorted {
        if demand * weight > granted * own_weight {
            return granted / weight;
        }
        granted -= demand;
        weight -= own_weight;
    }
    f64::INFINITY
}
