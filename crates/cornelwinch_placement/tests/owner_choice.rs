//! Tests that owners are eligible hosts in the availability zone of the upstream,
//! that no host exceeds the share bound, and that the result does not depend on
//! earlier changes.

use std::collections::BTreeMap;

use cornelwinch_placement::{Placement, SHARE_BOUND_PERCENT, UpstreamSite, top_hosts};
use cornelwinch_types::{Incarnation, Member, MemberState, Name};
use fastrand::Rng;

fn iterations() -> u64 {
    std::env::var("CORNELWINCH_ITERATIONS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(200)
}

fn member(zone: &str, i: usize, state: MemberState) -> Member {
    let addr = ([127, 0, 0, 1], 7_000).into();
    let name = Name::from(format!("{zone}-{i}"));
    Member {
        name,
        zone: Name::from(zone),
        incarnation: Incarnation(1),
        peer: addr,
        gossip: addr,
        state,
    }
}

fn site(zone: &str, i: usize, group: usize) -> UpstreamSite {
    UpstreamSite {
        name: Name::from(format!("{zone}-u{i:04}")),
        zone: Name::from(zone),
        group: Name::from(format!("{zone}-g{}", i / group)),
    }
}

fn random_members(rng: &mut Rng) -> Vec<Member> {
    let states = [
        MemberState::Alive,
        MemberState::Suspect,
        MemberState::Leaving,
        MemberState::Dead,
    ];
    let mut members = Vec::new();
    for zone in ["a", "b", "c"] {
        let dead = rng.u8(..5) == 0;
        for i in 0..rng.usize(1..30) {
            let state = if dead {
                MemberState::Dead
            } else {
                states[rng.usize(..8).saturating_sub(4)]
            };
            members.push(member(zone, i, state));
        }
    }
    members
}

/// Guards against owners that depend on earlier changes: hosts with
/// the same upstreams and members would compute different owners.
#[test]
fn updates_equal_a_fresh_computation() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let group = rng.usize(1..8);
        let sites: Vec<UpstreamSite> = ["a", "b", "c", "d"]
            .iter()
            .flat_map(|zone| (0..40).map(move |i| site(zone, i, group)))
            .collect();
        let mut placement = Placement::compute(&sites, &[]);
        for step in 0..6 {
            let mut members = random_members(&mut rng);
            let used: Vec<UpstreamSite> =
                sites.iter().filter(|_| rng.u8(..4) > 0).cloned().collect();
            placement.set_upstreams(&used);
            placement.set_members(&members);
            rng.shuffle(&mut members);
            let fresh = Placement::compute(&used, &members);
            assert!(
                placement.owners().eq(fresh.owners()),
                "seed={seed} step={step}"
            );
        }
    }
}

/// Guards against upstreams that have no owner while some host is eligible, owners
/// in another zone while the upstream's zone has an eligible host, and owners that
/// are leaving or dead.
#[test]
fn owner_is_eligible_and_near() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let sites: Vec<UpstreamSite> = (0..30).map(|i| site("a", i, 3)).collect();
        let members = random_members(&mut rng);
        let placement = Placement::compute(&sites, &members);
        let any = members.iter().any(Member::can_own);
        let zone_has_eligible = members
            .iter()
            .any(|member| member.can_own() && &*member.zone == "a");
        for (upstream, owner) in placement.owners() {
            assert_eq!(owner.is_some(), any, "seed={seed} upstream={upstream}");
            let Some(owner) = owner else { continue };
            let owner = members
                .iter()
                .find(|member| member.name == *owner)
                .expect("owner is a member");
            assert!(
                owner.can_own(),
                "seed={seed} upstream={upstream} owner={owner:?}"
            );
            assert_eq!(
                &*owner.zone == "a",
                zone_has_eligible,
                "seed={seed} upstream={upstream} owner={owner:?}"
            );
        }
        assert_eq!(placement.owner("a-missing"), None, "seed={seed}");
    }
}

/// Guards against a host that owns more upstreams than the bound allows, and
/// against groups whose upstreams have different owners.
#[test]
fn shares_stay_within_the_bound() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let (hosts, upstreams, group) = (rng.usize(1..60), rng.usize(1..400), rng.usize(1..8));
        let members: Vec<Member> = (0..hosts)
            .map(|i| member("a", i, MemberState::Alive))
            .collect();
        let sites: Vec<UpstreamSite> = (0..upstreams).map(|i| site("a", i, group)).collect();
        let placement = Placement::compute(&sites, &members);
        let mut shares: BTreeMap<&Name, usize> = BTreeMap::new();
        for (_, owner) in placement.owners() {
            *shares.entry(owner.expect("a host is alive")).or_default() += 1;
        }
        let share = (upstreams * SHARE_BOUND_PERCENT as usize).div_ceil(100 * hosts);
        let highest = shares.values().max().expect("an upstream has an owner");
        assert!(
            *highest <= share + group,
            "seed={seed} highest={highest} share={share} group={group}"
        );
        for pair in sites
            .windows(2)
            .filter(|pair| pair[0].group == pair[1].group)
        {
            assert_eq!(
                placement.owner(&pair[0].name),
                placement.owner(&pair[1].name),
                "seed={seed} {pair:?}"
            );
        }
    }
}

/// Guards against a leaving host that causes many upstreams of other hosts to
/// change their owner: most of the upstreams that move have to be its own.
#[test]
fn few_upstreams_move() {
    let members: Vec<Member> = (0..100)
        .map(|i| member("a", i, MemberState::Alive))
        .collect();
    let sites: Vec<UpstreamSite> = (0..1_000).map(|i| site("a", i, 5)).collect();
    let before = Placement::compute(&sites, &members);
    let mut moved = 0;
    for i in 0..members.len() {
        let mut rest = members.clone();
        rest.remove(i);
        let after = Placement::compute(&sites, &rest);
        moved += before
            .owners()
            .zip(after.owners())
            .filter(|(a, b)| a.1 != b.1)
            .count();
    }
    assert!(
        moved >= 1_000,
        "every upstream of a removed host has to move: moved={moved}"
    );
    assert!(
        moved < 2_000,
        "too many upstreams moved: moved={moved}, of which 1000 are necessary"
    );
}

/// Guards against a relative order of hosts that changes when another host leaves.
#[test]
fn top_hosts_keep_their_rank() {
    let hosts: Vec<Name> = (0..50).map(|i| Name::from(format!("h{i}"))).collect();
    let top = top_hosts("zone", &hosts, 5);
    let without: Vec<Name> = hosts
        .iter()
        .filter(|host| *host != top[1])
        .cloned()
        .collect();
    let next = top_hosts("zone", &without, 4);
    assert_eq!(next, [top[0], top[2], top[3], top[4]]);
    assert_eq!(top_hosts("zone", &hosts[..2], 5).len(), 2);
}
