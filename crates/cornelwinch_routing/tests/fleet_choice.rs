//! Which upstream of a service gets the next leg.

use std::time::{Duration, Instant};

use cornelwinch_routing::{Fleet, HealthSignal, UpstreamEntry, UpstreamLimits, UpstreamState};
use cornelwinch_types::Name;

const OPEN: UpstreamLimits = UpstreamLimits {
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
    }
}

struct Lab {
    now: Instant,
    fleet: Fleet,
    rng: fastrand::Rng,
    tokens: u64,
}

impl Lab {
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
        self.pick_share(OPEN)
    }

    fn pick_share(&mut self, share: UpstreamLimits) -> Option<Name> {
        let view = self.fleet.pick(
            self.now,
            &"shard".into(),
            &"a".into(),
            &[],
            share,
            &mut self.rng,
        );
        view.map(|view| view.name)
    }

    fn leg(&mut self, name: &str, sign: HealthSignal) {
        let view = (0..1_000)
            .find_map(|_| {
                let view = self.fleet.pick(
                    self.now,
                    &"shard".into(),
                    &"a".into(),
                    &[],
                    OPEN,
                    &mut self.rng,
                )?;
                if &*view.name == name {
                    return Some(view);
                }
                // Keeps the others busy until the wanted one is chosen.
                self.tokens += 1;
                self.fleet.leg_sent(self.now, view.id, self.tokens, TYPICAL);
                None
            })
            .expect("each upstream is chosen once the others are busy");
        self.tokens += 1;
        self.fleet.leg_sent(self.now, view.id, self.tokens, TYPICAL);
        self.fleet.leg_ended(self.now, view.id, self.tokens, sign);
    }
}

/// Guards against legs that keep going to an address that another service has
/// got, where each counts as a repeat.
#[test]
fn misdirected_upstream_gets_nothing_more() {
    let mut lab = Lab::new(vec![entry("one", "a")]);
    lab.leg("one", HealthSignal::Misdirected);
    assert_eq!(lab.pick(), None);
    lab.fleet.apply(lab.now, entry("one", "a"));
    assert_eq!(lab.pick(), None, "the same start registered again");
    let restarted = UpstreamEntry {
        born_ms: 2,
        ..entry("one", "a")
    };
    lab.fleet.apply(lab.now, restarted);
    assert_eq!(lab.pick().as_deref(), Some("one"));
}

/// Guards against bytes and time spent on other zones without need.
#[test]
fn own_zone_is_preferred() {
    let mut lab = Lab::new(vec![entry("far", "b"), entry("near", "a")]);
    assert_eq!(lab.pick().as_deref(), Some("near"));
}

/// Guards against new legs to an upstream that does not answer the earlier ones.
#[test]
fn waiting_leg_moves_the_next_ones_away() {
    let mut lab = Lab::new(vec![entry("far", "b"), entry("near", "a")]);
    let view = lab
        .fleet
        .pick(
            lab.now,
            &"shard".into(),
            &"a".into(),
            &[],
            OPEN,
            &mut lab.rng,
        )
        .unwrap();
    lab.fleet.leg_sent(lab.now, view.id, 99, TYPICAL);
    lab.now += TYPICAL * 5;
    assert_eq!(lab.pick().as_deref(), Some("far"));
}

/// Guards against a slow upstream that is chosen again and again, and against
/// one that is never tried again.
#[test]
fn slow_upstream_is_avoided_for_a_while() {
    let mut lab = Lab::new(vec![entry("far", "b"), entry("near", "a")]);
    for _ in 0..5 {
        lab.leg("near", HealthSignal::Answered { ratio: 8.0 });
    }
    let mut lab = Lab {
        tokens: 1_000,
        ..lab
    };
    lab.fleet.apply(lab.now, entry("other", "b"));
    assert_ne!(lab.pick().as_deref(), Some("near"));
    lab.now += Duration::from_secs(30);
    lab.fleet.remove(&"far".into());
    lab.fleet.remove(&"other".into());
    assert_eq!(lab.pick().as_deref(), Some("near"));
}

/// Guards against requests to leaving upstreams and evacuated zones.
#[test]
fn draining_and_evacuated_upstreams_get_nothing() {
    let draining = UpstreamEntry {
        state: UpstreamState::Draining,
        ..entry("leaving", "a")
    };
    let mut lab = Lab::new(vec![draining, entry("far", "b")]);
    assert_eq!(lab.pick().as_deref(), Some("far"));
    lab.fleet.set_evacuated_zones(vec!["b".into()]);
    assert_eq!(lab.pick(), None);
    lab.fleet.set_evacuated_zones(vec![]);
    assert_eq!(lab.pick().as_deref(), Some("far"));
}

/// Guards against an outage of the store that takes away upstreams which are
/// alive, and against ones that stay although they are gone.
#[test]
fn lapsed_entries_stay_for_the_grace_time_only() {
    let mut lab = Lab::new(vec![entry("one", "a"), entry("two", "a")]);
    let grace = Duration::from_secs(2);
    lab.fleet
        .apply_list(lab.now, vec![entry("one", "a")], Some(grace));
    assert_eq!(lab.fleet.len(), 2);
    lab.now += grace;
    let removed = lab.fleet.remove_expired(lab.now);
    assert_eq!((removed.len(), lab.fleet.len()), (1, 1));
    lab.fleet.apply_list(lab.now, vec![], None);
    assert!(lab.fleet.is_empty());
}

/// Guards against more requests to a cold upstream than this host's share.
#[test]
fn cold_upstream_gets_its_share_in_any_second() {
    let cold = UpstreamEntry {
        cold_left: Duration::from_secs(10),
        ..entry("cold", "a")
    };
    let mut lab = Lab::new(vec![cold]);
    let share = UpstreamLimits {
        cold_per_s: Some(4),
        ..OPEN
    };
    let mut sent = Vec::new();
    for _ in 0..500 {
        lab.now += Duration::from_millis(lab.rng.u64(0..30));
        if lab.pick_share(share).is_some() {
            sent.push(lab.now);
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

/// Guards against requests to an upstream that does not answer connects, where
/// others do.
#[test]
fn unreachable_upstreams_come_last() {
    let mut lab = Lab::new(vec![entry("far", "b"), entry("near", "a")]);
    lab.leg("near", HealthSignal::Unreachable);
    assert_eq!(lab.pick().as_deref(), Some("far"));
    assert!(lab.fleet.has_available_upstream(lab.now, &"shard".into()));
    lab.leg("far", HealthSignal::Unreachable);
    assert!(!lab.fleet.has_available_upstream(lab.now, &"shard".into()));
    assert!(lab.pick().is_some(), "one is tried for lack of a better");
}
