use std::time::Instant;

use cornelwinch_routing::{GatherLimit, GatherOutcome};
use cornelwinch_types::{Name, SortedMap};

/// Limits on concurrent gathered requests while upstreams lack capacity, by the sorted names of
/// their shards. Routes with the same shards share upstreams and hence a limit.
#[derive(Debug, Default)]
pub(crate) struct GatherLimits {
    limits: SortedMap<Vec<Name>, GatherLimit>,
}

impl GatherLimits {
    /// Starts a request to the shards if their limit allows it; returns false otherwise.
    pub(crate) fn start(&mut self, shards: &[Name], now: Instant) -> bool {
        match self.limits.get_mut(shards) {
            Some(limit) => update_and_log(shards, limit, |limit| limit.try_start(now)),
            None => {
                let mut limit = GatherLimit::default();
                let may_start = limit.try_start(now);
                self.limits.insert(shards.to_vec(), limit);
                may_start
            }
        }
    }

    /// Records the end of a request that was started.
    pub(crate) fn end(&mut self, shards: &[Name], now: Instant, end: GatherOutcome) {
        if let Some(limit) = self.limits.get_mut(shards) {
            update_and_log(shards, limit, |limit| limit.finish(now, end));
        }
    }

    /// Removes limits that are idle.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.limits.retain(|shards, limit| {
            update_and_log(shards, limit, |limit| limit.expire(now));
            !limit.is_idle()
        });
    }

    /// Returns one line of key=value pairs for each set of shards in use.
    pub(crate) fn describe(&self) -> impl Iterator<Item = String> {
        self.limits.iter().map(|(shards, limit)| {
            format!(
                "gathers={} first={:?} in_progress={} limit={:?}",
                shards.len(),
                shards.first(),
                limit.in_progress(),
                limit.limit(),
            )
        })
    }
}

/// Updates a limit, and logs if it comes into force or is lifted.
fn update_and_log<T>(
    shards: &[Name],
    limit: &mut GatherLimit,
    update: impl FnOnce(&mut GatherLimit) -> T,
) -> T {
    let before = limit.limit();
    let result = update(limit);
    let (count, first) = (shards.len(), shards.first());
    match (before, limit.limit()) {
        (None, Some(limit)) => {
            log::warn!("event=gathers_limited shards={count} first={first:?} limit={limit}");
        }
        (Some(_), None) => {
            log::info!("event=gathers_unlimited shards={count} first={first:?}");
        }
        _ => {}
    }
    result
}
