use std::time::{Duration, Instant};

use cornelwinch_routing::{AdmissionOrder, Caller, GatherLimit, GatherOutcome, ReturnSchedule};
use cornelwinch_types::{Name, SortedMap};

/// Limits on concurrent gathered requests while upstreams lack capacity, by the sorted names of
/// their shards. Routes with the same shards share upstreams and hence a limit.
#[derive(Debug, Default)]
pub(crate) struct GatherLimits {
    limits: SortedMap<Vec<Name>, ShardSetLimit>,
}

#[derive(Debug, Default)]
struct ShardSetLimit {
    limit: GatherLimit,
    order: AdmissionOrder,
    returns: ReturnSchedule,
}

impl GatherLimits {
    /// Starts a request to the shards if their limit allows it; returns false otherwise. `hosts`
    /// is the number of hosts that gather from them. Requests are ordered by `caller` if there is one.
    pub(crate) fn start(
        &mut self,
        shards: &[Name],
        hosts: usize,
        now: Instant,
        caller: Option<(&Caller, f64)>,
    ) -> bool {
        if !self.limits.contains_key(shards) {
            self.limits
                .insert(shards.to_vec(), ShardSetLimit::default());
        }
        let set = self.limits.get_mut(shards).expect("just inserted");
        set.limit.set_hosts(hosts);
        update_and_log(shards, set, |limit, order| match caller {
            Some((caller, draw)) => limit.try_start_in_order(now, order, caller, draw),
            None => limit.try_start(now),
        })
    }

    /// Records the end of a request that was in progress for `time`.
    pub(crate) fn end(
        &mut self,
        shards: &[Name],
        now: Instant,
        time: Duration,
        end: GatherOutcome,
    ) {
        if let Some(set) = self.limits.get_mut(shards) {
            if end == GatherOutcome::Served {
                set.returns.record_answer(now);
            }
            set.order.record_end(time);
            update_and_log(shards, set, |limit, _| limit.finish(now, end));
        }
    }

    /// Returns the time after which a refused caller returns, at most `longest`.
    pub(crate) fn next_return(
        &mut self,
        shards: &[Name],
        now: Instant,
        longest: Duration,
    ) -> Duration {
        self.limits
            .get_or_insert_with(shards.to_vec(), ShardSetLimit::default)
            .returns
            .next_return(now, longest)
    }

    /// Removes limits that are idle.
    pub(crate) fn prune(&mut self, now: Instant) {
        self.limits.retain(|shards, set| {
            update_and_log(shards, set, |limit, _| limit.expire(now));
            set.order.forget_idle(now);
            !set.limit.is_idle() || !set.order.is_empty()
        });
    }

    /// Returns one line of key=value pairs for each set of shards in use.
    pub(crate) fn describe(&self) -> impl Iterator<Item = String> {
        self.limits.iter().map(|(shards, set)| {
            let mut line = format!(
                "gathers={} first={:?} in_progress={} limit={:.1?}",
                shards.len(),
                shards.first(),
                set.limit.in_progress(),
                set.limit.limit(),
            );
            let demand = set.order.demand();
            if !demand.is_empty() {
                line += &format!(" demand_by_priority={demand:.1?}");
            }
            line
        })
    }
}

/// Updates a limit, and logs if it comes into force or is lifted.
fn update_and_log<T>(
    shards: &[Name],
    set: &mut ShardSetLimit,
    update: impl FnOnce(&mut GatherLimit, &mut AdmissionOrder) -> T,
) -> T {
    let before = set.limit.limit();
    let result = update(&mut set.limit, &mut set.order);
    let (count, first) = (shards.len(), shards.first());
    match (before, set.limit.limit()) {
        (None, Some(limit)) => {
            log::warn!("event=gathers_limited shards={count} first={first:?} limit={limit:.1}");
        }
        (Some(_), None) => {
            log::info!("event=gathers_unlimited shards={count} first={first:?}");
        }
        _ => {}
    }
    result
}
