use std::time::Instant;

use cornelwinch_routing::{GatherLimit, GatherOutcome};
use cornelwinch_types::{Name, SortedMap};

/// Bounds on gathered requests while upstreams are short, by the shards in order of
/// their names: routes with the same shards share upstreams, others need not.
#[derive(Debug, Default)]
pub(crate) struct Gathers {
    limits: SortedMap<Vec<Name>, GatherLimit>,
}

impl Gathers {
    /// Counts a request to the shards and returns true if it may start.
    pub(crate) fn start(&mut self, shards: &[Name], now: Instant) -> bool {
        match self.limits.get_mut(shards) {
            Some(limit) => change(shards, limit, |limit| limit.try_start(now)),
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
            change(shards, limit, |limit| limit.finish(now, end));
        }
    }

    /// Drops what is not in use.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.limits.retain(|shards, limit| {
            change(shards, limit, |limit| limit.expire(now));
            !limit.is_idle()
        });
    }

    /// Writes one line for each set of shards in use.
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

/// Changes a bound and logs if it comes into force or ends.
fn change<T>(
    shards: &[Name],
    limit: &mut GatherLimit,
    change: impl FnOnce(&mut GatherLimit) -> T,
) -> T {
    let before = limit.limit();
    let result = change(limit);
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
