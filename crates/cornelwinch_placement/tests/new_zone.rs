//! Guards against upstreams that have no owner after an availability zone was
//! added to the configuration while the members stayed the same.

use cornelwinch_placement::{Placement, UpstreamSite};
use cornelwinch_types::{Incarnation, Member, MemberState, Name};

fn host(name: &str, zone: &str) -> Member {
    Member {
        name: name.into(),
        zone: zone.into(),
        incarnation: Incarnation(1),
        peer: "127.0.0.1:7000".parse().unwrap(),
        gossip: "127.0.0.1:7001".parse().unwrap(),
        state: MemberState::Alive,
    }
}

fn site(name: &str, zone: &str) -> UpstreamSite {
    UpstreamSite {
        name: name.into(),
        zone: zone.into(),
        group: name.into(),
    }
}

#[test]
fn new_zone_has_owners() {
    let members = [host("a-1", "a"), host("b-1", "b")];
    let sites = [site("u-1", "a"), site("u-2", "b"), site("u-3", "c")];
    let mut placement = Placement::compute(&[], &members);
    placement.set_upstreams(&sites);
    let owners: Vec<Option<&Name>> = placement.owners().map(|(_, owner)| owner).collect();
    let computed = Placement::compute(&sites, &members);
    let expected: Vec<Option<&Name>> = computed.owners().map(|(_, owner)| owner).collect();
    assert_eq!(owners, expected);
    assert!(owners.iter().all(Option::is_some), "owners={owners:?}");
}
