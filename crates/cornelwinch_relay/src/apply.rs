use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, HostPermits, RolloutOrder, RouteTable, UpstreamEntry};
use cornelwinch_types::Name;

use crate::dialect::{ObjectKind, ObjectValue, StoreObject};
use crate::shared::Shared;

/// Longest time for which an upstream without an entry stays in use. Another host states the time.
const MAX_KEEP_TIME: Duration = Duration::from_secs(60);

/// Applies changes of one kind to routing. If `keep_missing` is set, entries may have expired
/// during a store outage, and upstreams whose entries were removed stay in use for that time.
pub(crate) fn apply_changes(
    shared: &Shared,
    kind: ObjectKind,
    items: Vec<StoreObject>,
    keep_missing: Option<Duration>,
) {
    for item in items {
        match kind {
            ObjectKind::DesiredState => apply_desired(shared, item),
            ObjectKind::Upstreams => apply_upstream(shared, item, keep_missing),
            ObjectKind::Evacuations
            | ObjectKind::Hosts
            | ObjectKind::Rollouts
            | ObjectKind::Marks => {}
        }
    }
    match kind {
        ObjectKind::Evacuations => apply_evacuations(shared),
        ObjectKind::Hosts => apply_hosts(shared),
        ObjectKind::Rollouts => apply_rollouts(shared),
        ObjectKind::DesiredState | ObjectKind::Upstreams | ObjectKind::Marks => {}
    }
}

fn apply_desired(shared: &Shared, item: StoreObject) {
    let state = match item.value {
        Some(ObjectValue::DesiredState(state)) => *state,
        Some(ObjectValue::Unreadable(reason)) => {
            log::warn!("event=configuration_unreadable reason={reason:?}");
            return;
        }
        Some(_) | None => {
            log::warn!("event=configuration_missing name={}", item.name);
            return;
        }
    };
    let mut core = shared.core.borrow_mut();
    let known = core.table.as_ref().map(|table| table.version());
    if known.is_some_and(|known| known >= state.version) {
        return;
    }
    log::info!(
        "event=configuration_in_force version={} before={known:?} routes={} services={}",
        state.version,
        state.routes.len(),
        state.services.len()
    );
    core.set_organisations(&state);
    core.table = Some(Rc::new(RouteTable::new(state)));
    drop(core);
    shared.update_caps();
}

fn apply_upstream(shared: &Shared, item: StoreObject, keep_missing: Option<Duration>) {
    let now = Instant::now();
    let name = item.name;
    let fleet = &mut shared.core.borrow_mut().fleet;
    let removed = match (item.value, keep_missing) {
        (Some(ObjectValue::Upstream(entry)), _) => {
            log_upstream(&entry);
            fleet.apply(now, entry)
        }
        (Some(value), _) => {
            log::warn!("event=upstream_unreadable upstream={name} value={value:?}");
            fleet.remove(&name)
        }
        (None, Some(keep)) => {
            log::info!(
                "event=upstream_missing upstream={name} keep_ms={}",
                keep.as_millis()
            );
            fleet.mark_missing(now, &name, keep.min(MAX_KEEP_TIME));
            None
        }
        (None, None) => {
            log::info!("event=upstream_removed upstream={name}");
            fleet.remove(&name)
        }
    };
    if let Some(id) = removed {
        shared.pool.close(id);
    }
}

fn log_upstream(entry: &UpstreamEntry) {
    log::info!(
        "event=upstream_changed upstream={} service={} zone={} state={:?} cold_ms={}",
        entry.name,
        entry.service,
        entry.zone,
        entry.state,
        entry.cold_left.as_millis()
    );
}

fn apply_evacuations(shared: &Shared) {
    let items = shared.mirror.borrow().items(ObjectKind::Evacuations);
    let zones: Vec<Name> = items.into_iter().map(|item| item.name).collect();
    let mut core = shared.core.borrow_mut();
    if core.fleet.evacuated_zones() != zones {
        log::info!("event=evacuations_changed zones={zones:?}");
        core.fleet.set_evacuated_zones(zones);
    }
}

/// Applies the mirrored host list. It counts only if this host is in it: a list without it may lack
/// others too, and those that are listed divide the whole limit among themselves.
pub(crate) fn apply_hosts(shared: &Shared) {
    let items = shared.mirror.borrow().items(ObjectKind::Hosts);
    let hosts: Vec<HostEntry> = items
        .into_iter()
        .filter_map(|item| match item.value {
            Some(ObjectValue::Host(host)) => Some(host),
            other => {
                log::warn!("event=host_unreadable host={} value={other:?}", item.name);
                None
            }
        })
        .collect();
    log::info!("event=hosts_changed count={}", hosts.len());
    let this_host = shared.settings.borrow().host.clone();
    let place = hosts.iter().filter(|host| host.name < this_host).count();
    let host_count = hosts.len();
    let is_listed = hosts.iter().any(|host| host.name == this_host);
    *shared.hosts.borrow_mut() = hosts;
    let mut core = shared.core.borrow_mut();
    core.crash_tracker.set_place(place, host_count);
    if is_listed {
        core.host_shares
            .record_list(Instant::now(), &shared.hosts.borrow());
    } else if core.host_shares.record_removal() {
        log::warn!("event=host_removed");
        core.is_settling = true;
    }
    drop(core);
    divide_limits(shared);
}

/// Divides the limits of upstreams among the hosts by the current number of shares.
pub(crate) fn divide_limits(shared: &Shared) {
    let mut core = shared.core.borrow_mut();
    let now = Instant::now();
    core.update_host_count(now);
    // Without named hosts this host gets none of the permits that remain after an equal division.
    let named = if core.has_share() {
        core.host_shares.hosts(now)
    } else {
        Vec::new()
    };
    let this_host = shared.settings.borrow().host.clone();
    let permits = HostPermits::new(this_host, named, core.host_count());
    core.fleet.set_hosts(permits);
    drop(core);
    shared.update_caps();
}

/// Applies all orders. One that became unreadable stays in force as it was, since without it the
/// target version would get any share of the requests.
fn apply_rollouts(shared: &Shared) {
    let items = shared.mirror.borrow().items(ObjectKind::Rollouts);
    let fleet = &mut shared.core.borrow_mut().fleet;
    let orders: Vec<RolloutOrder> = items
        .into_iter()
        .filter_map(|item| match item.value {
            Some(ObjectValue::Rollout(order)) => Some(order),
            other => {
                log::warn!(
                    "event=rollout_unreadable rollout={} value={other:?}",
                    item.name
                );
                let known = fleet.rollouts().get(&item.name);
                known.map(|rollout| rollout.order().clone())
            }
        })
        .collect();
    for order in &orders {
        log::info!(
            "event=rollout_changed service={} target={} state={:?} revision={}",
            order.service,
            order.target_version,
            order.state(),
            order.revision
        );
    }
    fleet.set_rollouts(Instant::now(), orders);
    shared.coordination.changed.notify_one();
}
