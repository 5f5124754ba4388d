use cornelwinch_types::{Name, SortedMap};

use crate::rollout::{LegTally, RouteTally};

/// Number of equal time slices of an order. Versions are compared within slices, so that a load
/// that changes over time affects both alike.
const SLICES: usize = 16;

/// Numbers of latest slices that are judged on their own, since a version may become bad late.
const WINDOWS: [usize; 3] = [SLICES, 6, 3];

/// Fewest failed or slow legs for a verdict against a version. A request that crashes upstreams
/// reaches three of them before it is quarantined, which must not suffice.
const MIN_BAD_LEGS: f64 = 4.0;

/// Half octaves above the median of the other versions from which a leg counts as slow. Edges lie
/// 2 to 2.8 times above the median: upstreams whose speeds differ by 1.3 / 0.8 are not slow.
const SLOW_HALF_OCTAVES: usize = 3;

/// Effective share of independent samples among times. Slow legs come in groups, since an upstream
/// is slow for a while.
const TIME_SAMPLE_RATIO: f64 = 0.55;

/// Probability of the observed excess, for a good version, below which it is bad at once. Some 400
/// tests (looks, routes, windows) are made in an order, but few of them are independent.
const EARLY_LIMIT: f64 = 2e-5;

/// The same limit at the end of an order, where about 18 tests are made. In 1,000 simulated orders
/// of each kind, a limit of 1e-3 reverted one good version in 100, with as many bad ones missed.
const FINAL_LIMIT: f64 = 6e-4;

/// Fewest ended legs to the target version for completing an order.
const MIN_LEGS: u64 = 12;

/// Why the target version is worse than the others.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// Route on which it is worse.
    pub route: Name,
    /// `"failures"` or `"slow"`.
    pub reason: &'static str,
    /// Failed or slow legs of the target version, of the second number.
    pub target: (u64, u64),
    /// Failed or slow legs of the other versions, of the second number.
    pub other: (u64, u64),
    /// Probability of such an excess for a version as good as the others.
    pub probability: f64,
}

#[derive(Debug, Clone, Default)]
struct Slice {
    target: LegTally,
    other: LegTally,
}

/// Ended legs of all hosts, by route and time.
#[derive(Debug, Clone, Default)]
pub struct Evidence {
    routes: SortedMap<Name, Vec<Slice>>,
}

impl Evidence {
    /// Adds ended legs; `progress` is the elapsed share of the time until the verdict.
    pub fn add(&mut self, progress: f64, legs: &RouteTally) {
        let slice = slice_at(progress);
        let slices = self.routes.get_or_insert_with(legs.route.clone(), Vec::new);
        if slices.len() <= slice {
            slices.resize(slice + 1, Slice::default());
        }
        slices[slice].target.add(&legs.target);
        slices[slice].other.add(&legs.other);
    }

    /// Returns the reason to revert at once, if there is one.
    pub fn early_finding(&self, progress: f64) -> Option<Finding> {
        self.worst(progress)
            .filter(|finding| finding.probability < EARLY_LIMIT)
    }

    /// Returns the reason against completing the order at its end, if there is one.
    pub fn final_finding(&self, progress: f64) -> Option<Finding> {
        self.worst(progress)
            .filter(|finding| finding.probability < FINAL_LIMIT)
    }

    /// Reports whether the target version was tried often enough to be accepted.
    pub fn is_sufficient(&self) -> bool {
        let slices = self.routes.values().flatten();
        slices.map(|slice| slice.target.ended).sum::<u64>() >= MIN_LEGS
    }

    fn worst(&self, progress: f64) -> Option<Finding> {
        let end = slice_at(progress) + 1;
        let mut findings = Vec::new();
        for length in WINDOWS {
            let recent = end.saturating_sub(length);
            let windows: Vec<(&Name, &[Slice])> = self
                .routes
                .iter()
                .map(|(route, slices)| (route, slices.get(recent..).unwrap_or_default()))
                .collect();
            for (reason, count, sample_ratio) in TESTS {
                let mut all = Vec::new();
                for (route, window) in &windows {
                    let counts = count(window);
                    findings.extend(compare(route, reason, &counts, sample_ratio));
                    all.extend(counts);
                }
                if windows.len() > 1 {
                    findings.extend(compare(&ALL_ROUTES.into(), reason, &all, sample_ratio));
                }
            }
        }
        findings
            .into_iter()
            .min_by(|a, b| a.probability.total_cmp(&b.probability))
    }
}

/// Name of the route in a finding on all routes together.
const ALL_ROUTES: &str = "all";

/// Bad and ended legs of one group in one slice.
type Counts = (u64, u64);

/// Counts of the target version and of the others by slice.
type SliceCounts = Vec<(Counts, Counts)>;

/// What is compared: reason of a finding, counts of a window, effective share of samples.
type Test = (&'static str, fn(&[Slice]) -> SliceCounts, f64);

const TESTS: [Test; 2] = [
    ("failures", failed_legs, 1.0),
    ("slow", slow_legs, TIME_SAMPLE_RATIO),
];

fn slice_at(progress: f64) -> usize {
    ((progress.clamp(0.0, 1.0) * SLICES as f64) as usize).min(SLICES - 1)
}

fn failed_legs(window: &[Slice]) -> SliceCounts {
    let count = |tally: &LegTally| (tally.failed, tally.ended);
    window
        .iter()
        .map(|slice| (count(&slice.target), count(&slice.other)))
        .collect()
}

fn slow_legs(window: &[Slice]) -> SliceCounts {
    let mut other = LegTally::default();
    for slice in window {
        other.add(&slice.other);
    }
    let Some(median) = other.median_bucket() else {
        return Vec::new();
    };
    let edge = median + SLOW_HALF_OCTAVES;
    let count = |tally: &LegTally| (tally.at_least(edge), tally.timed());
    window
        .iter()
        .map(|slice| (count(&slice.target), count(&slice.other)))
        .collect()
}

/// Compares the bad legs of both groups. The expected number for the target is taken slice by
/// slice.
fn compare(
    route: &Name,
    reason: &'static str,
    slices: &[(Counts, Counts)],
    sample_ratio: f64,
) -> Option<Finding> {
    let (mut target, mut other) = ((0, 0), (0, 0));
    for (t, o) in slices {
        target = (target.0 + t.0, target.1 + t.1);
        other = (other.0 + o.0, other.1 + o.1);
    }
    if (target.0 as f64) < MIN_BAD_LEGS {
        return None;
    }
    let mean = other.0 as f64 / (other.1 as f64).max(1.0);
    let expected: f64 = slices
        .iter()
        .map(|(t, o)| {
            // A slice with few legs of the other versions is close to their mean.
            let rate = (o.0 as f64 + mean * 10.0) / (o.1 as f64 + 10.0);
            t.1 as f64 * rate
        })
        .sum();
    let rate = expected.max(mean * target.1 as f64) / target.1 as f64;
    let others = other.1 as f64 * sample_ratio;
    let probability = excess_probability(
        target.0 as f64 * sample_ratio,
        target.1 as f64 * sample_ratio,
        rate * others + 0.5,
        (1.0 - rate).max(0.0) * others + 0.5,
    );
    Some(Finding {
        route: route.clone(),
        reason,
        target,
        other,
        probability,
    })
}

/// Probability of at least `bad` of `all` legs under a beta-binomial distribution, which is what
/// `a` bad and `b` good legs of the other versions predict.
fn excess_probability(bad: f64, all: f64, a: f64, b: f64) -> f64 {
    let (bad, all) = (bad.floor(), all.floor().max(bad.floor()));
    let mut ln = 0.0;
    let mut i = 0.0;
    while i < all {
        ln += ((b + i) / (a + b + i)).ln();
        i += 1.0;
    }
    let mut below = 0.0;
    let mut k = 0.0;
    while k < bad {
        below += ln.exp();
        ln += ((all - k) / (k + 1.0) * (a + k) / (b + all - k - 1.0)).ln();
        k += 1.0;
    }
    (1.0 - below).max(0.0)
}
