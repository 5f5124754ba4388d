//! Choice of the upstream of a service that gets the next leg.

use std::time::{Duration, Instant};

use cornelwinch_routing::{Fleet, HealthSignal, UpstreamEntry, UpstreamLimits, UpstreamState};
use cornelwinch_types::Name;

const UNLIMITED: UpstreamLimits = UpstreamLimits {
    connections: usize::MAX,
    cold_per_s: None,
};
const TYPICAL: Duration = Duration::from_millis(10);

fn entry(name: &str, zone: &str) -> UpstreamEntry {
    UpstreamEntry {
        name: name.into(),
        born_ms: 1,
        service: "shard".into(),
        addr: "127.0.0.1:9000".parse().unwrap(),
        zone: zone.into(),
        state: UpstreamState::Ready,
        cold_left: Duration::ZERO,
        version: "v1".into(),
        slots: 4,
    }
}

struct Fixture {
    now: Instant,
    fleet: Fleet,
    rng: fastrand::Rng,
    tokens: u64,
}

impl Fixture {
    fn new(entries: Vec<UpstreamEntry>) -> Self {
        let now = Instant::now();
        let mut fleet = Fleet::new();
        for entry in entries {
            fleet.apply(now, entry);
        }
        Self {
            now,
            fleet,
            rng: fastrand::Rng::with_seed(7),
            tokens: 0,
        }
    }

    fn pick(&mut self) -> Option<Name> {
        self.pick_with_limits(UNLIMITED)
    }

    fn pick_with_limits(&mut self, limits: UpstreamLimits) -> Option<Name> {
        let endpoint = self.fleet.pick(
            self.now,
            &"shard".into(),
            &"a".into(),
            &[],
            limits,
            &mut self.rng,
        );
        endpoint.map(|endpoint| endpoint.name)
    }

    fn run_leg(&mut self, name: &str, signal: HealthSignal) {
        let endpoint = (0..1_000)
            .find_map(|_| {
                let endpoint = self.fleet.pick(
                    self.now,
                    &"shard".into(),
                    &"a".into(),
                    &[],
                    UNLIMITED,
                    &mut self.rng,
                )?;
                if &*endpoint.name == name {
                    return Some(endpoint);
                }
                // Adds legs in flight to the others until the named upstream is chosen.
                self.tokens += 1;
                self.fleet
                    .leg_sent(self.now, endpoint.id, self.tokens, TYPICAL);
                None
            })
            .expect("each upstream is chosen once the others are busy");
        self.tokens += 1;
        self.fleet
            .leg_sent(self.now, endpoint.id, self.tokens, TYPICAL);
        self.fleet
            .leg_ended(self.now, endpoint.id, self.tokens, signal);
    }
}

/// Guards against more legs to an address that now belongs to another service, where
/// each of them would count as a repeat.
#[test]
fn misdirected_upstream_gets_nothing_more() {
    let mut fixture = Fixture::new(vec![entry("one", "a")]);
    fixture.run_leg("one", HealthSignal::Misdirected);
    assert_eq!(fixture.pick(), None);
    fixture.fleet.apply(fixture.now, entry("one", "a"));
    assert_eq!(fixture.pick(), None, "the same run registered again");
    let restarted = UpstreamEntry {
        born_ms: 2,
        ..entry("one", "a")
    };
    fixture.fleet.apply(fixture.now, restarted);
    assert_eq!(fixture.pick().as_deref(), Some("one"));
}

/// Guards against needless traffic and latency between zones.
#[test]
fn own_zone_is_preferred() {
    let mut fixture = Fixture::new(vec![entry("far", "b"), entry("near", "a")]);
    assert_eq!(fixture.pick().as_deref(), Some("near"));
}

/// Guards against new legs to an upstream that has not answered earlier ones.
#[test]
fn waiting_leg_moves_the_next_ones_away() {
    let mut fixture = Fixture::new(vec![entry("far", "b"), entry("near", "a")]);
    let endpoint = fixture
        .fleet
        .pick(
            fixture.now,
            &"shard".into(),
            &"a".into(),
            &[],
            UNLIMITED,
            &mut fixture.rng,
        )
        .unwrap();
    fixture
        .fleet
        .leg_sent(fixture.now, endpoint.id, 99, TYPICAL);
    fixture.now += TYPICAL * 5;
    assert_eq!(fixture.pick().as_deref(), Some("far"));
}

/// Guards against choosing a slow upstream repeatedly, and against never trying it
/// again.
#[test]
fn slow_upstream_is_avoided_for_a_while() {
    let mut fixture = Fixture::new(vec![entry("far", "b"), entry("near", "a")]);
    for _ in 0..5 {
        fixture.run_leg("near", HealthSignal::Answered { ratio: 8.0 });
    }
    let mut fixture = Fixture {
        tokens: 1_000,
        ..fixture
    };
    fixture.fleet.apply(fixture.now, entry("other", "b"));
    assert_ne!(fixture.pick().as_deref(), Some("near"));
    fixture.now += Duration::from_secs(30);
    fixture.fleet.remove(&"far".into());
    fixture.fleet.remove(&"other".into());
    assert_eq!(fixture.pick().as_deref(), Some("near"));
}

/// Guards against requests to leaving upstreams and evacuated zones.
#[test]
fn draining_and_evacuated_upstreams_get_nothing() {
    let draining = UpstreamEntry {
        state: UpstreamState::Draining,
        ..entry("leaving", "a")
    };
    let mut fixture = Fixture::new(vec![draining, entry("far", "b")]);
    assert_eq!(fixture.pick().as_deref(), Some("far"));
    fixture.fleet.set_evacuated_zones(vec!["b".into()]);
    assert_eq!(fixture.pick(), None);
    fixture.fleet.set_evacuated_zones(vec![]);
    assert_eq!(fixture.pick().as_deref(), Some("far"));
}

/// Guards against removing live upstreams during an outage of the store, and against
/// keeping upstreams that are gone.
#[test]
fn lapsed_entries_stay_for_the_grace_time_only() {
    let mut fixture = Fixture::new(vec![entry("one", "a"), entry("two", "a")]);
    let grace = Duration::from_secs(2);
    fixture
        .fleet
        .apply_list(fixture.now, vec![entry("one", "a")], Some(grace));
    assert_eq!(fixture.fleet.len(), 2);
    fixture.now += grace;
    let removed = fixture.fleet.remove_expired(fixture.now);
    assert_eq!((removed.len(), fixture.fleet.len()), (1, 1));
    fixture.fleet.apply_list(fixture.now, vec![], None);
    assert!(fixture.fleet.is_empty());
}

/// Guards against more requests to a cold upstream than this host's share.
#[test]
fn cold_upstream_gets_its_share_in_any_second() {
    let cold = UpstreamEntry {
        cold_left: Duration::from_secs(10),
        ..entry("cold", "a")
    };
    let mut fixture = Fixture::new(vec![cold]);
    let limits = UpstreamLimits {
        cold_per_s: Some(4),
        ..UNLIMITED
    };
    let mut sent = Vec::new();
    for _ in 0..500 {
        fixture.now += Duration::from_millis(fixture.rng.u64(0..30));
        if fixture.pick_with_limits(limits).is_some() {
            sent.push(fixture.now);
        }
    }
    for (i, at) in sent.iter().enumerate() {
        let in_second = sent[i..]
            .iter()
            .take_while(|other| **other - *at <= Duration::from_secs(1))
            .count();
        assert!(in_second <= 4, "{in_second} requests in a second");
    }
    assert!(sent.len() >= 16, "only {} requests in 7 s", sent.len());
}

/// Guards against requests to an unreachable upstream while others are reachable.
#[test]
fn unreachable_upstreams_come_last() {
    let mut fixture = Fixture::new(vec![entry("far", "b"), entry("near", "a")]);
    fixture.run_leg("near", HealthSignal::Unreachable);
    assert_eq!(fixture.pick().as_deref(), Some("far"));
    assert!(
        fixture
            .fleet
            .has_available_upstream(fixture.now, &"shard".into())
    );
    fixture.run_leg("far", HealthSignal::Unreachable);
    assert!(
        !fixture
            .fleet
            .has_available_upstream(fixture.now, &"shard".into())
    );
    assert!(
        fixture.pick().is_some(),
        "a lost upstream is tried if there is no other"
    );
}
