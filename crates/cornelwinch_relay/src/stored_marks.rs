use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{CrashReport, MarkChange, StoredMarks, source_count, source_order};
use hyper::StatusCode;
use tokio::time::{MissedTickBehavior, interval};

use crate::dialect::{ObjectKind, ObjectValue};
use crate::feed_message::FeedMessage;
use crate::follow::{STORE_CALL_TIMEOUT, list};
use crate::shared::Shared;
use crate::store::{StoreClient, StoreError};

/// Interval between two checks for marks that have to be written or removed.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of such checks between two lists of the stored marks. Hosts have to know of a mark within
/// their recovery time, 4 s or more. Lists may be seconds old, which costs a tenth of a call.
const CHECKS_PER_LIST: u32 = 6;

/// Number of such checks between two lists while they fail.
const CHECKS_PER_FAILED_LIST: u32 = 4;

/// Maximum number of marks that are written or removed in one check.
const MAX_CHANGES: usize = 8;

/// Keeps the marks of requests that crash upstreams in the store, and reads those that other hosts,
/// or the processes before a restart, have written. It runs on hosts that follow the store; they
/// tell the hosts that they feed.
pub(crate) async fn follow_marks(shared: Rc<Shared>) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let mut stored = StoredMarks::default();
    let mut is_listed = false;
    let mut checks_to_list: u32 = 0;
    let mut ticks = interval(WRITE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if shared.store_health.is_failing() {
            continue;
        }
        if checks_to_list == 0 {
            // The first list must hold what was written just before all processes were killed.
            let is_stale = is_listed;
            checks_to_list = match read_marks(&shared, &mut client, &mut stored, is_stale).await {
                Ok(()) => {
                    is_listed = true;
                    CHECKS_PER_LIST
                }
                Err(error) => {
                    log::info!("event=mark_list_failed {error}");
                    CHECKS_PER_FAILED_LIST
                }
            };
        }
        checks_to_list -= 1;
        // Until the first list, it is not known which marks are stored.
        if is_listed {
            write_marks(&shared, &mut client, &mut stored).await;
        }
    }
}

/// Takes over marks from the store that this host has not seen there yet. They count as seen now:
/// clocks of hosts differ, and not each sight of a request is written.
async fn read_marks(
    shared: &Shared,
    client: &mut StoreClient,
    stored: &mut StoredMarks,
    is_stale: bool,
) -> Result<(), StoreError> {
    let page = list(shared, client, ObjectKind::Marks, is_stale).await?;
    let marks = page.items.into_iter().filter_map(|item| match item.value {
        Some(ObjectValue::Mark(mark)) => Some(mark),
        _ => None,
    });
    let new: Vec<CrashReport> = marks.filter(|mark| stored.record_stored(mark)).collect();
    shared.has_marks.set(true);
    if !new.is_empty() {
        log::info!("event=marks_read count={}", new.len());
        shared.record_crash_reports(&new);
        shared.publish(&FeedMessage::Crashes { reports: new });
    }
    Ok(())
}

/// Writes and removes marks, so that the store holds those of the requests that are quarantined now.
async fn write_marks(shared: &Shared, client: &mut StoreClient, stored: &mut StoredMarks) {
    let now = Instant::now();
    let quarantined = shared.core.borrow().crash_tracker.quarantined(now);
    if quarantined.is_empty() && stored.is_empty() {
        return;
    }
    let changes = stored.take_due_changes(now, &quarantined, writer_place(shared));
    for change in changes.into_iter().take(MAX_CHANGES) {
        if let Err(error) = apply(shared, client, stored, &change).await {
            log::info!("event=mark_write_failed {error}");
            return;
        }
    }
}

/// Returns the place of this host in the order in which hosts write marks. A host that is no
/// preferred source follows the store only because it cannot reach one, and may be the only one that
/// knows a mark.
fn writer_place(shared: &Shared) -> usize {
    let this_host = shared.settings.borrow().host.clone();
    let hosts = shared.hosts.borrow();
    let order = source_order(&hosts);
    let rank = order.iter().position(|host| host.name == this_host);
    rank.filter(|rank| *rank < source_count(hosts.len()))
        .unwrap_or(StoredMarks::LATE_PLACE)
}

/// Makes one change in the store.
async fn apply(
    shared: &Shared,
    client: &mut StoreClient,
    stored: &mut StoredMarks,
    change: &MarkChange,
) -> Result<(), StoreError> {
    let calls = shared.dialect.store;
    shared.core.borrow_mut().metrics.store_calls += 1;
    match change {
        MarkChange::Write(mark) => {
            let created = client.write((calls.create_mark)(mark), STORE_CALL_TIMEOUT);
            match created.await {
                Ok(_) => {}
                // Another host has written it; only a longer quarantine has to replace it.
                Err(error) if error.is_conflict() => {
                    if mark.releases > 0 {
                        let replace = (calls.replace_mark)(mark);
                        client.write(replace, STORE_CALL_TIMEOUT).await?;
                    }
                }
                Err(error) => return Err(error),
            }
            stored.record_stored(mark);
            log::info!("event=mark_stored print={}", mark.fingerprint);
        }
        MarkChange::Remove(fingerprint) => {
            let remove = (calls.remove_mark)(*fingerprint);
            match client.write(remove, STORE_CALL_TIMEOUT).await {
                Ok(_)
                | Err(StoreError::Status {
                    status: StatusCode::NOT_FOUND,
                }) => {}
                Err(error) => return Err(error),
            }
            stored.record_removed(*fingerprint);
            log::info!("event=mark_removed print={fingerprint}");
        }
    }
    Ok(())
}
