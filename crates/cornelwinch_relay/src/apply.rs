use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, HostPermits, RouteTable, UpstreamEntry};
use cornelwinch_types::Name;

use crate::core::Shared;
use crate::dialect::{Item, Kind, Value};

/// Puts changes of one kind in force. Upstreams whose entries were removed stay
/// in use for `keep_missing`, where the entries may only have expired.
pub(crate) fn apply_changes(
    shared: &Shared,
    kind: Kind,
    items: Vec<Item>,
    keep_missing: Option<Duration>,
) {
    for item in items {
        match kind {
            Kind::DesiredState => apply_desired(shared, item),
            Kind::Upstreams => apply_upstream(shared, item, keep_missing),
            Kind::Evacuations | Kind::Hosts => {}
        }
    }
    match kind {
        Kind::Evacuations => apply_evacuations(shared),
        Kind::Hosts => apply_hosts(shared),
        Kind::DesiredState | Kind::Upstreams => {}
    }
}

fn apply_desired(shared: &Shared, item: Item) {
    let state = match item.value {
        Some(Value::DesiredState(state)) => *state,
        Some(Value::Unreadable(reason)) => {
            log::warn!("event=configuration_unreadable reason={reason:?}");
            return;
        }
        Some(Value::Upstream(_) | Value::Host(_) | Value::Present) | None => {
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
    core.table = Some(Rc::new(RouteTable::new(state)));
}

fn apply_upstream(shared: &Shared, item: Item, keep_missing: Option<Duration>) {
    let now = Instant::now();
    let name = item.name;
    let fleet = &mut shared.core.borrow_mut().fleet;
    let removed = match (item.value, keep_missing) {
        (Some(Value::Upstream(entry)), _) => {
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
            fleet.mark_missing(now, &name, keep);
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
    let items = shared.mirror.borrow().items(Kind::Evacuations);
    let zones: Vec<Name> = items.into_iter().map(|item| item.name).collect();
    let mut core = shared.core.borrow_mut();
    if core.fleet.evacuated_zones() != zones {
        log::info!("event=evacuations_changed zones={zones:?}");
        core.fleet.set_evacuated_zones(zones);
    }
}

fn apply_hosts(shared: &Shared) {
    let items = shared.mirror.borrow().items(Kind::Hosts);
    let hosts: Vec<HostEntry> = items
        .into_iter()
        .filter_map(|item| match item.value {
            Some(Value::Host(host)) => Some(host),
            other => {
                log::warn!("event=host_unreadable host={} value={other:?}", item.name);
                None
            }
        })
        .collect();
    log::info!("event=hosts_changed count={}", hosts.len());
    let mut core = shared.core.borrow_mut();
    core.most_hosts = core.most_hosts.max(Some(hosts.len()));
    let count = core.host_count();
    let me = shared.settings.borrow().host.clone();
    core.fleet
        .set_hosts(HostPermits::new(me, hosts.clone(), count));
    drop(core);
    *shared.hosts.borrow_mut() = hosts;
}
