use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{HostEntry, source_count, source_order};
use tokio::time::{sleep, timeout, timeout_at};

use crate::follow::{STORE_CALL_TIMEOUT, StoreFollower, list_hosts};
use crate::registration::{keep_registered, register};
use crate::shared::Shared;
use crate::store::StoreClient;
use crate::subscribe::{FeedEnd, Subscription};

/// Time within which hosts that start together register.
const HOST_REGISTRATION_TIME: Duration = Duration::from_millis(1_500);

/// Mean interval between two searches for a source while this host follows the store.
const SOURCE_SEARCH_INTERVAL: Duration = Duration::from_secs(3);

/// Number of hosts beyond the preferred sources that are tried in one search.
const FALLBACK_SOURCES: usize = 3;

/// Time for which a preferred source that cannot reach the store is fed by another host before it
/// tries the store again.
const STORE_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between two checks of the store's health.
const STORE_HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Keeps this host up to date. It is fed by a source if there is one, and otherwise follows the
/// store; a preferred source follows the store as long as it answers.
pub(crate) async fn keep_in_sync(shared: Rc<Shared>) {
    let this_host = shared.own_entry();
    let store = shared.settings.borrow().store;
    let mut client = StoreClient::new(store);
    let mut follower: Option<StoreFollower> = None;
    let registered = register(&shared, &mut client, &this_host).await;
    shared.core.borrow_mut().is_settling = registered.is_err();
    if let Ok(true) = registered {
        sleep(HOST_REGISTRATION_TIME).await;
    } else {
        // A restarted host follows the store at once, since callers may be waiting for it.
        follower = Some(follow_store(&shared));
    }
    list_hosts(&shared, &mut client, false).await;
    drop(client);
    tokio::task::spawn_local(keep_registered(shared.clone()));
    let mut lost_source_at: Option<Instant> = None;
    loop {
        let is_store_failing = follower.is_some() && shared.store_health.is_failing();
        let (sources, is_preferred_source) =
            source_candidates(&shared.hosts.borrow(), &this_host, is_store_failing);
        for source in sources {
            let search_end = lost_source_at.zip(shared.sync_timing().search_time);
            let found = match search_end {
                Some((lost_at, time)) => {
                    let end = tokio::time::Instant::from_std(lost_at + time);
                    timeout_at(end, find_source(&shared, source.peer)).await
                }
                None => Ok(find_source(&shared, source.peer).await),
            };
            let subscription = match found {
                Ok(Ok(subscription)) => subscription,
                Ok(Err(end)) => {
                    log::info!("event=source_refused peer={} reason={end:?}", source.name);
                    continue;
                }
                Err(_) => {
                    log::info!("event=source_search_ended peer={}", source.name);
                    break;
                }
            };
            log::info!("event=source_found peer={}", source.name);
            follower = None;
            shared.set_source(false);
            let run = subscription.run(&shared);
            if is_preferred_source {
                let end = timeout(STORE_RETRY_INTERVAL, run).await;
                log::info!("event=source_left peer={} end={end:?}", source.name);
                break;
            }
            let end = run.await;
            log::info!("event=source_lost peer={} reason={end:?}", source.name);
            lost_source_at = Some(Instant::now());
        }
        lost_source_at = None;
        if follower.is_none() {
            follower = Some(follow_store(&shared));
            // The store's health is unknown until its first answer or a timeout.
            sleep(STORE_CALL_TIMEOUT).await;
        }
        wait_for_search(&shared, is_preferred_source).await;
    }
}

/// Connects to a source and catches up with it.
async fn find_source(shared: &Shared, peer: SocketAddr) -> Result<Subscription, FeedEnd> {
    let mut subscription = Subscription::open(shared, peer).await?;
    subscription.catch_up(shared).await?;
    Ok(subscription)
}

/// Waits until the next search for a source. A preferred source that cannot reach the store
/// searches at once. The other hosts keep their interval during an outage, since they all ask the
/// same few hosts.
async fn wait_for_search(shared: &Shared, is_preferred_source: bool) {
    let jitter = shared.core.borrow_mut().rng.f64() * 0.5 + 0.75;
    let next = Instant::now() + SOURCE_SEARCH_INTERVAL.mul_f64(jitter);
    while Instant::now() < next {
        sleep(STORE_HEALTH_POLL_INTERVAL).await;
        if is_preferred_source && shared.store_health.is_failing() {
            // Gives the store a moment to recover from a single failed call.
            sleep(STORE_HEALTH_POLL_INTERVAL).await;
            return;
        }
    }
}

fn follow_store(shared: &Rc<Shared>) -> StoreFollower {
    shared.set_source(true);
    StoreFollower::spawn(shared)
}

/// Returns the hosts that may feed this one in order of preference, and whether this host is a
/// preferred source. A preferred source has candidates only while it cannot reach the store. Any
/// other host considers only hosts that precede it in the order shared by all hosts, so that the
/// first live host follows the store.
fn source_candidates(
    hosts: &[HostEntry],
    this_host: &HostEntry,
    is_store_failing: bool,
) -> (Vec<HostEntry>, bool) {
    let mut order = source_order(hosts);
    let sources = source_count(hosts.len());
    let Some(rank) = order.iter().position(|host| host.name == this_host.name) else {
        return (order, false);
    };
    if rank < sources {
        order.remove(rank);
        order.truncate(if is_store_failing {
            sources + FALLBACK_SOURCES
        } else {
            0
        });
        return (order, true);
    }
    let mut preceding: Vec<HostEntry> = order[..rank.min(sources + FALLBACK_SOURCES)].to_vec();
    let fallbacks = preceding.split_off(sources);
    // Sources in this host's zone cause no traffic between zones. The rank of this host spreads the
    // load over the sources.
    let start = rank % preceding.len();
    preceding.rotate_left(start);
    preceding.sort_by_key(|host| host.zone != this_host.zone);
    preceding.extend(fallbacks);
    (preceding, false)
}
