//! Guards against queries that wait for a frozen owner until membership declares
//! it dead, although another replica could answer.

mod fake;

use std::time::Duration;

use fake::World;

/// Fewer than the queries that a host of the fake world takes at once.
const QUERIES: usize = 12;

/// The time of a query at the planned size.
const QUERY_TIME: Duration = Duration::from_millis(340);

#[test]
fn silent_owner_loses_legs() {
    let mut world = World::new(1);
    world.answers = true;
    world.configure_search(&["u-a", "u-b"]);
    world.run(Duration::from_secs(12));
    world.check_spread();
    let frozen = world.owner("u-a");
    let other = world.owner("u-b");
    // A host that owns neither upstream, of the zone of the frozen owner.
    let caller = (0..12)
        .find(|node| node % 2 == frozen % 2 && ![frozen, other].contains(node))
        .unwrap();

    world.query(caller, "portal", "token");
    world.run(QUERY_TIME);
    assert_eq!(world.complete, 1, "the query is answered before the freeze");

    world.pause(frozen);
    world.complete = 0;
    for _ in 0..QUERIES {
        world.query(caller, "portal", "token");
    }
    world.run(QUERY_TIME);
    assert_eq!(world.complete, QUERIES);
}
