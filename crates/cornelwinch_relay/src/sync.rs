use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, source_count, source_order};
use hyper::StatusCode;
use tokio::time::{sleep, timeout};

use crate::core::Shared;
use crate::follow::{Following, LIST_WAIT, list_hosts};
use crate::store::{StoreClient, StoreError};
use crate::subscribe::Subscription;

/// Time within which hosts that start together have registered.
const HOSTS_SETTLE: Duration = Duration::from_millis(1_500);

/// Pause between two searches for a source while this host follows the store.
const SEARCH_EVERY: Duration = Duration::from_secs(3);

/// Hosts beyond the usual sources that are asked in one search.
const SEARCH_FURTHER: usize = 3;

/// Time for which a usual source that the store does not answer is fed by another
/// host before it asks the store again.
const SOURCE_RETURN: Duration = Duration::from_secs(5);

/// Time between two looks whether the store still answers.
const CONDITION_POLL: Duration = Duration::from_millis(200);

/// Keeps this host up to date: from a source if there is one, from the store
/// otherwise or where this host is itself a source.
pub(crate) async fn keep_in_sync(shared: Rc<Shared>) {
    let me = shared.own_entry();
    let store = shared.settings.borrow().store;
    let mut client = StoreClient::new(store);
    let mut following: Option<Following> = None;
    if register(&shared, &mut client, &me).await {
        sleep(HOSTS_SETTLE).await;
    } else {
        // Callers may be waiting for a host that starts again.
        following = Some(follow_store(&shared));
    }
    list_hosts(&shared, &mut client, false).await;
    drop(client);
    loop {
        let is_cut_off = following.is_some() && shared.condition.is_failing();
        let (sources, is_usual) = candidates(&shared.hosts.borrow(), &me, is_cut_off);
        for source in sources {
            let mut subscription = match Subscription::open(&shared, source.peer).await {
                Ok(subscription) => subscription,
                Err(end) => {
                    log::info!("event=source_refused peer={} reason={end:?}", source.name);
                    continue;
                }
            };
            if let Err(end) = subscription.settle(&shared).await {
                log::info!("event=source_refused peer={} reason={end:?}", source.name);
                continue;
            }
            log::info!("event=source_found peer={}", source.name);
            following = None;
            shared.set_source(false);
            let run = subscription.run(&shared);
            if is_usual {
                let end = timeout(SOURCE_RETURN, run).await;
                log::info!("event=source_left peer={} end={end:?}", source.name);
                break;
            }
            let end = run.await;
            log::info!("event=source_lost peer={} reason={end:?}", source.name);
        }
        if following.is_none() {
            following = Some(follow_store(&shared));
            // The store's condition is known after its first answer.
            sleep(LIST_WAIT).await;
        }
        wait_for_search(&shared, is_usual).await;
    }
}

/// Waits for the next search, which is sooner for a usual source that the store
/// does not answer. All other hosts search at the same pace in an outage, since
/// they ask the same few.
async fn wait_for_search(shared: &Shared, is_usual: bool) {
    let jitter = shared.core.borrow_mut().rng.f64() * 0.5 + 0.75;
    let next = Instant::now() + SEARCH_EVERY.mul_f64(jitter);
    while Instant::now() < next {
        sleep(CONDITION_POLL).await;
        if is_usual && shared.condition.is_failing() {
            // A single call may fail.
            sleep(CONDITION_POLL).await;
            return;
        }
    }
}

fn follow_store(shared: &Rc<Shared>) -> Following {
    shared.set_source(true);
    Following::spawn(shared)
}

/// Registers this host. Returns true if it was not registered before.
async fn register(shared: &Shared, client: &mut StoreClient, me: &HostEntry) -> bool {
    let calls = shared.dialect.store;
    match client.write((calls.register_host)(me), LIST_WAIT).await {
        Ok(_) => true,
        Err(StoreError::Status {
            status: StatusCode::CONFLICT,
        }) => {
            // An earlier start may have had another address.
            if let Err(error) = client.write((calls.replace_host)(me), LIST_WAIT).await {
                log::warn!("event=register_failed {error}");
            }
            false
        }
        Err(error) => {
            log::warn!("event=register_failed {error}");
            false
        }
    }
}

/// Hosts that this one may be fed by, the preferred first, and whether it is a
/// usual source, which follows the store itself unless it is cut off from it. Of
/// the others only hosts before this one in the common order count, so that the
/// first one that lives follows the store.
fn candidates(hosts: &[HostEntry], me: &HostEntry, is_cut_off: bool) -> (Vec<HostEntry>, bool) {
    let mut order = source_order(hosts);
    let sources = source_count(hosts.len());
    let Some(rank) = order.iter().position(|host| host.name == me.name) else {
        return (order, false);
    };
    if rank < sources {
        order.remove(rank);
        order.truncate(if is_cut_off {
            sources + SEARCH_FURTHER
        } else {
            0
        });
        return (order, true);
    }
    let mut before: Vec<HostEntry> = order[..rank.min(sources + SEARCH_FURTHER)].to_vec();
    let further = before.split_off(sources);
    // Sources of the own zone cost no bytes between zones; the others are shared
    // out by the position of this host.
    let start = rank % before.len();
    before.rotate_left(start);
    before.sort_by_key(|host| host.zone != me.zone);
    before.extend(further);
    (before, false)
}
