//! Guards against full load from two owners of one upstream while its zone is cut
//! off from the others and both sides can reach it.

mod fake;

use std::time::Duration;

use fake::World;

const SLOTS: usize = 2;
const COLD_LIMIT: usize = 1;

/// More than the answers that end a cold start.
const QUERIES: usize = 150;

fn offer(world: &mut World, nodes: [usize; 2]) {
    for i in 0..QUERIES {
        world.query(nodes[i % 2], "portal", "token");
        world.run(Duration::from_millis(20));
    }
}

#[test]
fn cut_zone_keeps_cold_limit() {
    let mut world = World::new(3);
    world.answers = true;
    world.configure_search(&["u-a"]);
    world.run(Duration::from_secs(12));
    offer(&mut world, [0, 2]);
    let owner = world.owner("u-a");
    assert_eq!(world.owners("u-a"), [(owner, SLOTS)]);

    // Hosts of zone b lose zone a, whose upstream still answers them.
    world.set_cut(true);
    world.run(Duration::from_secs(20));
    offer(&mut world, [1, 3]);
    offer(&mut world, [0, 2]);
    let owners = world.owners("u-a");
    let limit = |zone: usize| {
        let in_zone = owners.iter().filter(|(node, _)| node % 2 == zone);
        in_zone.map(|(_, limit)| *limit).collect::<Vec<_>>()
    };
    assert_eq!((limit(0), limit(1)), (vec![SLOTS], vec![COLD_LIMIT]));

    world.set_cut(false);
    world.run(Duration::from_secs(20));
    assert_eq!(world.owner("u-a") % 2, 0);
}
