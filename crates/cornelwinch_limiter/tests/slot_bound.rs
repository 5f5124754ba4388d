//! Guards against overload of an upstream and against lost or repeated replies
//! during restarts, sheds, disconnects, cancellations, pauses and changes of owner.

mod fake;

use std::time::Duration;

use cornelwinch_limiter::LimiterConfig;
use cornelwinch_types::AttemptId;
use fake::{MAX_BUDGET_MS, MS, Simulation, for_seeds, leg};

fn run(seed: u64, slots: usize) -> Simulation {
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
    let mut sim = Simulation::new(seed, cfg);
    for attempt in 1..400 {
        let budget = Duration::from_millis(rng.u64(1..=MAX_BUDGET_MS));
        let body = format!("title {}", rng.u8(..12));
        let mut req = leg(attempt, &body, rng.u8(..3), budget);
        req.idempotent = rng.u8(..8) > 0;
        sim.submit(req);
        match rng.u32(..600) {
            0..4 => sim.restart(),
            4..8 => sim.hand_over(),
            8..10 => sim.take_over(),
            10..14 => sim.pause(rng.u32(1..120) * MS),
            14..18 => sim.shed_chance = rng.f64() * 0.6,
            18..40 => sim.shed_chance = 0.0,
            40..43 => sim.down_until = sim.now + rng.u32(1..80) * MS,
            43..100 => {
                let cancelled = AttemptId(attempt.saturating_sub(rng.u64(..8)));
                sim.call(sim.current(), |l, now, out| l.cancel(now, cancelled, out));
            }
            _ => {}
        }
        sim.advance(Duration::from_micros(rng.u64(..2500)));
    }
    sim.advance(Duration::from_secs(10));
    for (attempt, (_, _, replies, _)) in &sim.legs {
        assert_eq!(*replies, 1, "replies to {attempt}");
    }
    for owner in &sim.owners {
        assert_eq!(owner.limiter.violations(), 0);
    }
    sim
}

#[test]
fn concurrency_stays_within_slots() {
    for slots in 2..=4 {
        let sims = for_seeds(|seed| run(seed, slots));
        let max_running = sims.iter().map(|sim| sim.max_running).max();
        let answered: usize = sims.iter().map(|sim| sim.answered).sum();
        let legs: usize = sims.iter().map(|sim| sim.legs.len()).sum();
        println!("slots={slots} most={max_running:?} answered={answered} of {legs}");
        // The bound is tested only if the simulations reach it.
        assert_eq!(max_running, Some(slots));
        assert!(
            answered * 3 > legs,
            "only {answered} of {legs} legs answered"
        );
    }
}
