//! Guards against overload of an upstream, lost and repeated replies under
//! restarts, sheds, disconnects, cancellations, pauses and changes of owner.

mod fake;

use std::time::Duration;

use cornelwinch_limiter::LimiterConfig;
use cornelwinch_types::AttemptId;
use fake::{MAX_BUDGET_MS, MS, World, for_seeds, leg};

fn run(seed: u64, slots: usize) -> World {
    let mut rng = fastrand::Rng::with_seed(seed);
    let cfg = LimiterConfig {
        slots,
        cold_limit: rng.usize(1..slots),
        guard_interval: (MAX_BUDGET_MS + 10) as u32 * MS,
        queue_limit: rng.usize(1..20),
        takeover_delay: rng.u32(0..3) * 5 * MS,
        warm_after_successes: rng.usize(1..20),
        share_identical: rng.bool(),
    };
    let mut world = World::open(seed, cfg);
    for attempt in 1..400 {
        let budget = Duration::from_millis(rng.u64(1..=MAX_BUDGET_MS));
        let body = format!("title {}", rng.u8(..12));
        let mut req = leg(attempt, &body, rng.u8(..3), budget);
        req.idempotent = rng.u8(..8) > 0;
        world.submit(req);
        match rng.u32(..600) {
            0..4 => world.restart(),
            4..8 => world.hand_over(),
            8..10 => world.take_over(),
            10..14 => world.pause(rng.u32(1..120) * MS),
            14..18 => world.shed_chance = rng.f64() * 0.6,
            18..40 => world.shed_chance = 0.0,
            40..43 => world.down_until = world.now + rng.u32(1..80) * MS,
            43..100 => {
                let gone = AttemptId(attempt.saturating_sub(rng.u64(..8)));
                world.call(world.current(), |l, now, out| l.cancel(now, gone, out));
            }
            _ => {}
        }
        world.advance(Duration::from_micros(rng.u64(..2500)));
    }
    world.advance(Duration::from_secs(10));
    for (attempt, (_, _, replies, _)) in &world.legs {
        assert_eq!(*replies, 1, "replies to {attempt}");
    }
    for owner in &world.owners {
        assert_eq!(owner.limiter.violations(), 0);
    }
    world
}

#[test]
fn concurrency_stays_within_slots() {
    for slots in 2..=4 {
        let worlds = for_seeds(|seed| run(seed, slots));
        let most = worlds.iter().map(|w| w.most).max();
        let answered: usize = worlds.iter().map(|w| w.answered).sum();
        let legs: usize = worlds.iter().map(|w| w.legs.len()).sum();
        println!("slots={slots} most={most:?} answered={answered} of {legs}");
        // A bound that is never reached would not be tested.
        assert_eq!(most, Some(slots));
        assert!(
            answered * 3 > legs,
            "only {answered} of {legs} legs answered"
        );
    }
}
