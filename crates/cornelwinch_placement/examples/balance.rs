//! Compares plain and bounded rendezvous hashing, with and without groups, for
//! one availability zone of the design scale.

use std::time::Instant;

use cornelwinch_placement::{Placement, SHARE_BOUND_PERCENT, UpstreamSite};
use cornelwinch_types::{Incarnation, Member, MemberState, Name};

const HOSTS: usize = 376;
const UPSTREAMS: usize = 3_620;
const LEGS: usize = 65;
const ZONES: usize = 21;
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

fn sites(zone: &str, group: usize) -> Vec<UpstreamSite> {
    let site = |i: usize| UpstreamSite {
        name: Name::from(format!("{zone}-leaf-{i:05}")),
        zone: Name::from(zone),
        group: Name::from(format!("{zone}-group-{:05}", i / group)),
    };
    (0..UPSTREAMS).map(site).collect()
}

fn moved(a: &Placement, b: &Placement) -> usize {
    a.owners()
        .zip(b.owners())
        .filter(|(a, b)| a.1 != b.1)
        .count()
}

fn row(label: &str, bound: Option<u32>, group: usize) {
    let members: Vec<Member> = (0..HOSTS).map(|i| host("a", i)).collect();
    let sites = sites("a", group);
    let started = Instant::now();
    for _ in 0..ROUNDS {
        std::hint::black_box(Placement::compute_with(bound, &sites, &members));
    }
    let full = started.elapsed() / ROUNDS;
    let placement = Placement::compute_with(bound, &sites, &members);

    let mut owners: Vec<&Name> = placement.owners().filter_map(|(_, owner)| owner).collect();
    let mut spread = Vec::new();
    for legs in owners.chunks_exact(LEGS) {
        let mut legs = legs.to_vec();
        legs.sort_unstable();
        legs.dedup();
        spread.push(legs.len());
    }
    owners.sort_unstable();
    let shares: Vec<usize> = owners.chunk_by(|a, b| a == b).map(<[_]>::len).collect();

    let mut work = placement.clone();
    let mut moves = Vec::new();
    let started = Instant::now();
    for i in 0..HOSTS {
        let rest: Vec<Member> = members
            .iter()
            .enumerate()
            .filter(|(j, _)| *j != i)
            .map(|(_, m)| m.clone())
            .collect();
        work.set_members(&rest);
        moves.push(moved(&placement, &work));
        work.set_members(&members);
    }
    let change = started.elapsed() / (2 * HOSTS as u32);
    println!(
        "{label:<28} {:>6.2} {:>5} {:>5} {:>8.1} {:>6} {:>8.1} {:>10.2} {:>10.2}",
        UPSTREAMS as f64 / HOSTS as f64,
        shares.iter().max().unwrap_or(&0),
        HOSTS - shares.len(),
        moves.iter().sum::<usize>() as f64 / moves.len() as f64,
        moves.iter().max().unwrap_or(&0),
        spread.iter().sum::<usize>() as f64 / spread.len() as f64,
        full.as_secs_f64() * 1e3,
        change.as_secs_f64() * 1e3,
    );
}

fn region(group: usize) {
    let zones: Vec<String> = (0..ZONES).map(|i| format!("z{i:02}")).collect();
    let mut all: Vec<Member> = zones
        .iter()
        .flat_map(|zone| (0..HOSTS).map(|i| host(zone, i)))
        .collect();
    let mut sites: Vec<UpstreamSite> = zones
        .iter()
        .flat_map(|zone| self::sites(zone, group))
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
    println!("{ZONES} zones, groups of {group}:");
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
            row(&format!("{bound_label}, groups of {group}"), bound, group);
        }
    }
    region(1);
    region(5);
}
