use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, source_count, source_order};
use hyper::StatusCode;
use tokio::time::sleep;

use crate::core::Shared;
use crate::follow::{Following, LIST_WAIT, list_hosts};
use crate::store::{StoreClient, StoreError};
use crate::subscribe::{FeedEnd, Subscription};

/// Time within which hosts that start together have registered.
const HOSTS_SETTLE: Duration = Duration::from_millis(1_500);

/// Pause between two searches for a source while this host follows the store.
const SEARCH_EVERY: Duration = Duration::from_secs(3);

/// Hosts beyond the usual sources that are asked in one search.
const SEARCH_FURTHER: usize = 3;

/// Time from which a feed counts as having worked, so that the search starts
/// with the preferred source again.
const FEED_WORKED: Duration = Duration::from_secs(1);

/// Keeps this host up to date: from a source if there is one, from the store
/// otherwise or where this host is itself a source.
pub(crate) async fn keep_in_sync(shared: Rc<Shared>) {
    let me = shared.own_entry();
    let mut client = StoreClient::new(me_store(&shared));
    if register(&shared, &mut client, &me).await {
        sleep(HOSTS_SETTLE).await;
    }
    list_hosts(&shared, &mut client, false).await;
    drop(client);
    let mut following: Option<Following> = None;
    loop {
        let sources = candidates(&shared.hosts.borrow(), &me);
        for source in sources {
            let subscription = match Subscription::open(source.peer).await {
                Ok(subscription) => subscription,
                Err(end) => {
                    log::info!("event=source_refused peer={} reason={end:?}", source.name);
                    continue;
                }
            };
            log::info!("event=source_found peer={}", source.name);
            following = None;
            shared.set_source(false);
            let start = Instant::now();
            let end = subscription.run(&shared).await;
            log::info!("event=source_lost peer={} reason={end:?}", source.name);
            if end == FeedEnd::Lost && start.elapsed() >= FEED_WORKED {
                continue;
            }
        }
        if following.is_none() {
            following = Some(Following::spawn(&shared));
            shared.set_source(true);
        }
        let jitter = shared.core.borrow_mut().rng.f64() * 0.5 + 0.75;
        sleep(SEARCH_EVERY.mul_f64(jitter)).await;
    }
}

fn me_store(shared: &Shared) -> std::net::SocketAddr {
    shared.settings.borrow().store
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

/// Hosts that this one may be fed by, the preferred first; none if it is to
/// follow the store itself. Only hosts before this one in the common order count,
/// so that the first one that lives follows the store.
fn candidates(hosts: &[HostEntry], me: &HostEntry) -> Vec<HostEntry> {
    let order = source_order(hosts);
    let sources = source_count(hosts.len());
    let Some(rank) = order.iter().position(|host| host.name == me.name) else {
        return order;
    };
    if rank < sources {
        return Vec::new();
    }
    let mut before: Vec<HostEntry> = order[..rank.min(sources + SEARCH_FURTHER)].to_vec();
    let further = before.split_off(sources);
    // Sources of the own zone cost no bytes between zones; the others are shared
    // out by the position of this host.
    let start = rank % before.len();
    before.rotate_left(start);
    before.sort_by_key(|host| host.zone != me.zone);
    before.extend(further);
    before
}
