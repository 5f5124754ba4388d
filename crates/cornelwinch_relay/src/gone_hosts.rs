use std::rc::Rc;
use std::time::Instant;

use cornelwinch_routing::{AbsentHosts, HostEntry};
use cornelwinch_types::Name;
use hyper::StatusCode;
use tokio::time::sleep;

use crate::follow::{STORE_CALL_TIMEOUT, list_hosts};
use crate::shared::Shared;
use crate::store::{StoreClient, StoreError};
use crate::subscribe::ask_name;

/// Number of rounds in which a host must be silent before its entry is removed.
const ROUNDS: u32 = 10;

/// Removes the entries of hosts that are gone for good. Only a source that reaches the store does
/// so, one entry in a round. A host that is alive after all registers again.
pub(crate) async fn remove_gone_hosts(shared: Rc<Shared>) {
    let this_host = shared.own_entry().name;
    let mut absent = AbsentHosts::default();
    loop {
        let gone_time = shared.settings.borrow().host_gone_time();
        let jitter = shared.core.borrow_mut().rng.f64() * 0.5 + 0.75;
        sleep((gone_time / ROUNDS).mul_f64(jitter)).await;
        if !shared.is_source() || shared.store_health.is_failing() {
            absent = AbsentHosts::default();
            continue;
        }
        let hosts = AbsentHosts::hosts_to_ask(&shared.hosts.borrow(), &this_host);
        let mut answers = Vec::with_capacity(hosts.len());
        for host in &hosts {
            // Another host may have taken over the address.
            let is_present = ask_name(host.peer).await.as_ref() == Ok(&host.name);
            answers.push((host.name.clone(), is_present));
        }
        let now = Instant::now();
        absent.record_round(now, &answers);
        let gone = absent.gone(now, gone_time);
        if let Some(host) = hosts.iter().find(|host| Some(&host.name) == gone) {
            remove_entry(&shared, host, gone_time.as_secs()).await;
        }
    }
}

/// Removes an entry under its revision, unless it has changed since it was listed.
async fn remove_entry(shared: &Rc<Shared>, host: &HostEntry, silent_s: u64) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let name: &Name = &host.name;
    match try_remove(shared, &mut client, host).await {
        Ok(true) => log::warn!("event=gone_host_removed host={name} silent_s={silent_s}"),
        Ok(false) => log::info!("event=gone_host_kept host={name}"),
        Err(error) => log::warn!("event=gone_host_not_removed host={name} {error}"),
    }
    list_hosts(shared, &mut client, false).await;
}

async fn try_remove(
    shared: &Shared,
    client: &mut StoreClient,
    host: &HostEntry,
) -> Result<bool, StoreError> {
    let calls = shared.dialect.store;
    let path = (calls.host_path)(&host.name);
    let body = client.get(&path, STORE_CALL_TIMEOUT).await?;
    let stored = (calls.decode_host)(&body).map_err(|reason| StoreError::Decode { reason })?;
    if stored.entry != *host {
        return Ok(false);
    }
    let remove = (calls.remove_host)(&host.name, stored.revision);
    match client.write(remove, STORE_CALL_TIMEOUT).await {
        Ok(_) => Ok(true),
        Err(StoreError::Status {
            status: StatusCode::CONFLICT | StatusCode::NOT_FOUND,
        }) => Ok(false),
        Err(error) => Err(error),
    }
}
