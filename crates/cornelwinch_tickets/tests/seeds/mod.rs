#![allow(unreachable_pub)]

use std::panic::{AssertUnwindSafe, catch_unwind};

/// Runs a test for each seed and names the seed of a failure.
pub fn for_seeds<T>(run: impl Fn(u64) -> T) -> Vec<T> {
    let count =
        std::env::var("CORNELWINCH_ITERATIONS").map_or(200, |s| s.parse().expect("a number"));
    let run = |seed| {
        catch_unwind(AssertUnwindSafe(|| run(seed))).unwrap_or_else(|e| {
            let text = e.downcast_ref::<String>().map(String::as_str);
            panic!(
                "seed {seed}: {}",
                text.or(e.downcast_ref().copied()).unwrap_or("no text")
            )
        })
    };
    (0..count).map(run).collect()
}
