//! Compares rendezvous hashing with and without a bound, for several group sizes,
//! in one availability zone of the design scale, and measures the time of updates
//! in a region of such zones.
//!
//! Columns of the table: mean and highest number of upstreams per host, hosts
//! without upstreams, mean and highest number of upstreams that move when a host
//! leaves, mean number of owners per query, and the time of a full computation and
//! of a change of one host.

use std::time::Instant;

use cornelwinch_placement::{Placement, SHARE_BOUND_PERCENT, UpstreamSite};
use cornelwinch_types::{Incarnation, Member, MemberState, Name};

/// Hosts per zone.
const HOSTS: usize = 376;
/// Upstreams per zone.
const UPSTREAMS: usize = 3_620;
/// Legs per query.
const LEGS: usize = 65;
const ZONES: usize = 21;
/// Full computations per measurement.
const ROUNDS: u32 = 20;

fn host(zone: &str, i: usize) -> Member {
    let addr = ([127, 0, 0, 1], 7_000).into();
    let name = Name::from(format!("{zone}-host-{i:04}"));
    let zone = Name::from(zone);
    Member {
        name,
        zone,
        incarnation: Incarnation(1),
        peer: addr,
        gossip: addr,
        state: MemberState::Alive,
    }
}

fn sites(zone: &str, group_size: usize) -> Vec<UpstreamSite> {
    let site = |i: usize| UpstreamSite {
        name: Name::from(format!("{zone}-leaf-{i:05}")),
        zone: Name::from(zone),
        group: Name::from(format!("{zone}-group-{:05}", i / group_size)),
    };
    (0..UPSTREAMS).map(site).collect()
}

/// Returns the number of upstreams whose owner differs between two placements.
fn count_moved(a: &Placement, b: &Placement) -> usize {
    a.owners()
        .zip(b.owners())
        .filter(|(a, b)| a.1 != b.1)
        .count()
}

/// Measures one combination of bound and group size, and prints its table row.
fn print_row(label: &str, bound: Option<u32>, group_size: usize) {
    let members: Vec<Member> = (0..HOSTS).map(|i| host("a", i)).collect();
    let sites = sites("a", group_size);
    let started = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(Placement::compute_with(bound, &sites, &members));
    }
    let full = started.elapsed() / ROUNDS;
    let placement = Placement::compute_with(bound, &sites, &members);

    let mut owners: Vec<&Name> = placement.owners().filter_map(|(_, owner)| owner).collect();
    let mut owners_per_query = Vec::new();
    for legs in owners.chunks_exact(LEGS) {
        let mut legs = legs.to_vec();
        legs.sort_unstable();
        legs.dedup();
        owners_per_query.push(legs.len());
    }
    owners.sort_unstable();
    let shares: Vec<usize> = owners.chunk_by(|a, b| a == b).map(<[_]>::len).collect();

    let mut updated = placement.clone();
    let mut moves = Vec::new();
    let started = Instant::now();
    for i in 0..HOSTS {
        let rest: Vec<Member> = members
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(_, m)| m.clone())
            .collect();
        updated.set_members(&rest);
        moves.push(count_moved(&placement, &updated));
        updated.set_members(&members);
    }
    let change = started.elapsed() / (2 * HOSTS as u32);
    println!(
        "{label:<28} {:>6.2} {:>5} {:>5} {:>8.1} {:>6} {:>8.1} {:>10.2} {:>10.2}",
        UPSTREAMS as f64 / HOSTS as f64,
        shares.iter().max().unwrap_or(&0),
        HOSTS - shares.len(),
        moves.iter().sum::<usize>() as f64 / moves.len() as f64,
        moves.iter().max().unwrap_or(&0),
        owners_per_query.iter().sum::<usize>() as f64 / owners_per_query.len() as f64,
        full.as_secs_f64() * 1e3,
        change.as_secs_f64() * 1e3,
    );
}

/// Prints the time of membership changes in a region of [`ZONES`] zones.
fn time_region(group_size: usize) {
    let zones: Vec<String> = (0..ZONES).map(|i| format!("z{i:02}")).collect();
    let mut all: Vec<Member> = zones
        .iter()
        .flat_map(|zone| (0..HOSTS).map(|i| host(zone, i)))
        .collect();
    let mut sites: Vec<UpstreamSite> = zones
        .iter()
        .flat_map(|zone| self::sites(zone, group_size))
        .collect();
    sites.sort_unstable();
    let time = |label: &str, f: &mut dyn FnMut()| {
        let started = Instant::now();
        f();
        println!(
            "  {label:<44} {:>8.2} ms",
            started.elapsed().as_secs_f64() * 1e3
        );
    };
    println!("{ZONES} zones, groups of {group_size}:");
    let mut placement = Placement::compute(&sites, &[]);
    time("first computation", &mut || placement.set_members(&all));
    all[HOSTS + 3].state = MemberState::Dead;
    time("one host leaves", &mut || placement.set_members(&all));
    all[HOSTS + 3].state = MemberState::Alive;
    time("one host joins", &mut || placement.set_members(&all));
    time("no change", &mut || placement.set_members(&all));
    all[..HOSTS]
        .iter_mut()
        .for_each(|member| member.state = MemberState::Dead);
    time("a whole zone leaves", &mut || placement.set_members(&all));
    all[HOSTS + 3].state = MemberState::Dead;
    time("one host of another zone leaves after that", &mut || {
        placement.set_members(&all);
    });
    all[HOSTS + 3].state = MemberState::Alive;
    time("one host of another zone joins after that", &mut || {
        placement.set_members(&all);
    });
    all[..HOSTS]
        .iter_mut()
        .for_each(|member| member.state = MemberState::Alive);
    time("the zone returns", &mut || placement.set_members(&all));
}

fn main() {
    println!(
        "{HOSTS} hosts, {UPSTREAMS} upstreams, queries of {LEGS} legs over neighbouring upstreams"
    );
    println!(
        "{:<28} {:>6} {:>5} {:>5} {:>8} {:>6} {:>8} {:>10} {:>10}",
        "placement", "mean", "high", "idle", "moved", "most", "owners", "full ms", "change ms"
    );
    for group in [1, 5, 10] {
        for bound in [None, Some(150), Some(SHARE_BOUND_PERCENT), Some(110)] {
            let bound_label =
                bound.map_or("plain".to_owned(), |percent| format!("bound {percent} %"));
            print_row(&format!("{bound_label}, groups of {group}"), bound, group);
        }
    }
    time_region(1);
    time_region(5);
}
