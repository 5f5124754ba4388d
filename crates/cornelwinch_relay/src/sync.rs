use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{RouteTable, UpstreamEntry};
use cornelwinch_types::Name;
use hyper::StatusCode;
use tokio::time::sleep;

use crate::core::Shared;
use crate::dialect::{Item, Kind, Page, Value};
use crate::store::{StoreClient, StoreError};

/// Longest time that a watch waits. A connection that went silent is noticed
/// after this time and the margin, which together stay below the 4 s for which
/// the platform allows a host to recover from it.
const WATCH_WAIT: Duration = Duration::from_millis(2_800);

/// Time beyond the wait after which a watch counts as lost.
const WATCH_MARGIN: Duration = Duration::from_millis(400);

/// Longest wait for a list.
const LIST_WAIT: Duration = Duration::from_millis(1_500);

const BACKOFF_FIRST: Duration = Duration::from_millis(50);
const BACKOFF_LONGEST: Duration = Duration::from_millis(500);

/// Time after an outage of the store within which upstreams register again.
const REGISTER_AGAIN: Duration = Duration::from_millis(2_300);

/// Length of a disturbance of the store from which entries may have expired.
const OUTAGE: Duration = Duration::from_millis(700);

/// Time between two looks at the registered hosts.
const HOSTS_EVERY: Duration = Duration::from_secs(4);

/// Time within which hosts that start together have registered, and stale reads
/// show it.
const HOSTS_SETTLE: Duration = Duration::from_secs(2);

/// Most pages of one list.
const PAGE_LIMIT: usize = 10_000;

/// What the watches know together of the store's condition.
#[derive(Debug, Default)]
pub(crate) struct StoreCondition {
    failing_since: Cell<Option<Instant>>,
    recovered: Cell<Option<Instant>>,
}

impl StoreCondition {
    fn record_failure(&self, now: Instant) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    fn record_success(&self, now: Instant) {
        if let Some(since) = self.failing_since.take()
            && now.saturating_duration_since(since) >= OUTAGE
        {
            self.recovered.set(Some(now));
            log::info!(
                "event=store_regained outage_ms={}",
                now.saturating_duration_since(since).as_millis()
            );
        }
    }

    /// How much longer entries that disappeared may only have expired.
    fn grace(&self, now: Instant) -> Option<Duration> {
        let end = self.recovered.get()? + REGISTER_AGAIN;
        (end > now).then(|| end - now)
    }
}

/// Keeps one kind of objects up to date until the process ends.
pub(crate) async fn follow(shared: Rc<Shared>, condition: Rc<StoreCondition>, kind: Kind) {
    let addr = shared.settings.borrow().store;
    let mut client = StoreClient::new(addr);
    let mut backoff = BACKOFF_FIRST;
    let mut revision = None;
    loop {
        let step = match revision {
            None => list(&shared, &mut client, kind, false).await.map(|page| {
                condition.record_success(Instant::now());
                apply_list(&shared, &condition, kind, page.items);
                page.revision
            }),
            Some(revision) => watch(&shared, &mut client, kind, revision)
                .await
                .map(|page| {
                    condition.record_success(Instant::now());
                    for item in page.items {
                        apply_item(&shared, &condition, kind, item);
                    }
                    page.revision
                }),
        };
        match step {
            Ok(next) => {
                revision = Some(next);
                backoff = BACKOFF_FIRST;
            }
            Err(StoreError::Status {
                status: StatusCode::GONE,
            }) => {
                log::info!("event=store_history_gone kind={kind:?}");
                revision = None;
            }
            Err(error) => {
                let mut core = shared.core.borrow_mut();
                core.metrics.store_failures += 1;
                let jitter = core.rng.f64() * 0.5 + 0.75;
                drop(core);
                condition.record_failure(Instant::now());
                log::info!("event=store_failed kind={kind:?} revision={revision:?} {error}");
                sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(BACKOFF_LONGEST);
                if matches!(error, StoreError::Decode { .. }) {
                    revision = None;
                }
            }
        }
    }
}

/// Registers this host and keeps the number of hosts until the process ends.
pub(crate) async fn follow_hosts(shared: Rc<Shared>) {
    let (addr, call) = {
        let settings = shared.settings.borrow();
        let call = (shared.dialect.store.register_host)(&settings.host, &settings.zone);
        (settings.store, call)
    };
    let mut client = StoreClient::new(addr);
    let mut is_registered = false;
    // The first look takes place at once and sees the hosts of an earlier start;
    // the second one those that started at the same time.
    let mut waits = [HOSTS_SETTLE].into_iter();
    let mut stale = false;
    loop {
        if !is_registered {
            is_registered = match client.write(call.clone(), LIST_WAIT).await {
                Ok(_) => true,
                // It is there since an earlier start.
                Err(StoreError::Status {
                    status: StatusCode::CONFLICT,
                }) => true,
                Err(error) => {
                    log::info!("event=register_failed {error}");
                    false
                }
            };
        }
        match list(&shared, &mut client, Kind::Hosts, stale).await {
            Ok(page) => {
                let mut core = shared.core.borrow_mut();
                let hosts = page.items.len().max(core.hosts.unwrap_or(1));
                if core.hosts != Some(hosts) {
                    log::info!("event=hosts_changed count={hosts}");
                    core.hosts = Some(hosts);
                }
            }
            Err(error) => log::info!("event=hosts_unknown {error}"),
        }
        stale = true;
        sleep(waits.next().unwrap_or(HOSTS_EVERY)).await;
    }
}

async fn list(
    shared: &Shared,
    client: &mut StoreClient,
    kind: Kind,
    stale: bool,
) -> Result<Page, StoreError> {
    let mut all: Option<Page> = None;
    let mut after: Option<String> = None;
    for _ in 0..PAGE_LIMIT {
        shared.core.borrow_mut().metrics.store_calls += 1;
        let path = (shared.dialect.store.list_path)(kind, after.as_deref(), stale);
        let body = client.get(&path, LIST_WAIT).await?;
        let page = (shared.dialect.store.decode_page)(kind, &body)
            .map_err(|reason| StoreError::Decode { reason })?;
        after.clone_from(&page.next);
        match &mut all {
            // Changes between two pages are seen by a watch from the first one.
            Some(all) => all.items.extend(page.items),
            None => all = Some(page),
        }
        if after.is_none() {
            break;
        }
    }
    all.ok_or(StoreError::Decode {
        reason: "no page".to_owned(),
    })
}

async fn watch(
    shared: &Shared,
    client: &mut StoreClient,
    kind: Kind,
    revision: u64,
) -> Result<Page, StoreError> {
    shared.core.borrow_mut().metrics.store_calls += 1;
    let path = (shared.dialect.store.watch_path)(kind, revision, WATCH_WAIT);
    let body = client.get(&path, WATCH_WAIT + WATCH_MARGIN).await?;
    (shared.dialect.store.decode_events)(kind, &body)
        .map_err(|reason| StoreError::Decode { reason })
}

fn apply_list(shared: &Shared, condition: &StoreCondition, kind: Kind, items: Vec<Item>) {
    match kind {
        Kind::DesiredState | Kind::Hosts => {
            for item in items {
                apply_item(shared, condition, kind, item);
            }
        }
        Kind::Evacuations => {
            let zones = items
                .into_iter()
                .filter(|item| item.value.is_some())
                .map(|item| item.name)
                .collect();
            set_evacuated(shared, zones);
        }
        Kind::Upstreams => {
            let entries: Vec<UpstreamEntry> = items.into_iter().filter_map(upstream_of).collect();
            let now = Instant::now();
            let count = entries.len();
            let removed = {
                let mut core = shared.core.borrow_mut();
                core.fleet.apply_list(now, entries, condition.grace(now))
            };
            log::info!(
                "event=upstreams_listed count={count} removed={}",
                removed.len()
            );
            for id in removed {
                shared.pool.close(id);
            }
        }
    }
}

fn apply_item(shared: &Shared, condition: &StoreCondition, kind: Kind, item: Item) {
    match kind {
        Kind::DesiredState => apply_desired(shared, item),
        Kind::Evacuations => {
            let mut zones: Vec<Name> = shared.core.borrow().fleet.evacuated().to_vec();
            zones.retain(|zone| *zone != item.name);
            if item.value.is_some() {
                zones.push(item.name);
            }
            set_evacuated(shared, zones);
        }
        Kind::Upstreams => apply_upstream(shared, condition, item),
        Kind::Hosts => {}
    }
}

fn apply_desired(shared: &Shared, item: Item) {
    let state = match item.value {
        Some(Value::DesiredState(state)) => *state,
        Some(Value::Unreadable(reason)) => {
            log::warn!("event=configuration_unreadable reason={reason:?}");
            return;
        }
        Some(Value::Upstream(_) | Value::Present) | None => {
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

fn apply_upstream(shared: &Shared, condition: &StoreCondition, item: Item) {
    let now = Instant::now();
    let name = item.name.clone();
    let removed = if item.value.is_some() {
        match upstream_of(item) {
            Some(entry) => {
                log::info!(
                    "event=upstream_changed upstream={name} service={} zone={} state={:?} cold_ms={}",
                    entry.service,
                    entry.zone,
                    entry.state,
                    entry.cold_left.as_millis()
                );
                shared.core.borrow_mut().fleet.apply(now, entry)
            }
            None => shared.core.borrow_mut().fleet.remove(&name),
        }
    } else if let Some(keep) = condition.grace(now) {
        log::info!(
            "event=upstream_missing upstream={name} keep_ms={}",
            keep.as_millis()
        );
        shared
            .core
            .borrow_mut()
            .fleet
            .mark_missing(now, &name, keep);
        None
    } else {
        log::info!("event=upstream_removed upstream={name}");
        shared.core.borrow_mut().fleet.remove(&name)
    };
    if let Some(id) = removed {
        shared.pool.close(id);
    }
}

fn upstream_of(item: Item) -> Option<UpstreamEntry> {
    match item.value {
        Some(Value::Upstream(entry)) => Some(entry),
        Some(Value::Unreadable(reason)) => {
            log::warn!(
                "event=upstream_unreadable upstream={} reason={reason:?}",
                item.name
            );
            None
        }
        _ => None,
    }
}

fn set_evacuated(shared: &Shared, zones: Vec<Name>) {
    let mut core = shared.core.borrow_mut();
    if core.fleet.evacuated().len() != zones.len() {
        log::info!("event=evacuations_changed zones={zones:?}");
    }
    core.fleet.set_evacuated(zones);
}
