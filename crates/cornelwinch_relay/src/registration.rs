use std::rc::Rc;
use std::time::Duration;

use cornelwinch_routing::HostEntry;
use hyper::StatusCode;
use tokio::time::sleep;

use crate::apply::apply_hosts;
use crate::follow::{STORE_CALL_TIMEOUT, list_hosts};
use crate::shared::Shared;
use crate::store::{StoreClient, StoreError};

/// Pause before the first repeated registration; it doubles with each further one.
const MIN_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Longest pause between two registrations. A host that the store turns away costs it at most one
/// call in this time.
const MAX_RETRY_INTERVAL: Duration = Duration::from_secs(4);

/// Interval between two checks that this host is still listed. It makes no call to the store.
const LISTED_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a late registration before the host list is used. In this time hosts that failed
/// together have repeated their registration, and the others have listed this host and reduced
/// their shares.
const SETTLING_TIME: Duration = Duration::from_millis(6_500);

/// Creates or replaces the entry of this host. Returns true if it was not registered before.
pub(crate) async fn register(
    shared: &Shared,
    client: &mut StoreClient,
    this_host: &HostEntry,
) -> Result<bool, StoreError> {
    let calls = shared.dialect.store;
    let created = client
        .write((calls.register_host)(this_host), STORE_CALL_TIMEOUT)
        .await;
    let result = match created {
        Ok(_) => Ok(true),
        Err(StoreError::Status {
            status: StatusCode::CONFLICT,
        }) => {
            // The host may have had another address before a restart.
            client
                .write((calls.replace_host)(this_host), STORE_CALL_TIMEOUT)
                .await
                .map(|_| false)
        }
        Err(error) => Err(error),
    };
    if let Err(error) = &result {
        log::warn!("event=register_failed {error}");
    }
    result
}

/// Registers this host whenever it is not in the host list. The list decides, not the answer of a
/// write, so that lost answers cause no endless repetition and a removed entry is restored.
pub(crate) async fn keep_registered(shared: Rc<Shared>) {
    let this_host = shared.own_entry();
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let mut retry_interval = MIN_RETRY_INTERVAL;
    let is_listed = || shared.hosts.borrow().contains(&this_host);
    loop {
        if is_listed() {
            if shared.core.borrow().is_settling {
                sleep(SETTLING_TIME).await;
                shared.core.borrow_mut().is_settling = false;
                list_hosts(&shared, &mut client, false).await;
                apply_hosts(&shared);
            }
            retry_interval = MIN_RETRY_INTERVAL;
            sleep(LISTED_CHECK_INTERVAL).await;
            continue;
        }
        let jitter = shared.core.borrow_mut().rng.f64() * 0.5 + 0.75;
        sleep(retry_interval.mul_f64(jitter)).await;
        retry_interval = (retry_interval * 2).min(MAX_RETRY_INTERVAL);
        if !is_listed() && register(&shared, &mut client, &this_host).await.is_ok() {
            list_hosts(&shared, &mut client, false).await;
        }
    }
}
