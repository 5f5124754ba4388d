use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{CrashReport, MarkChange, StoredMarks};
use hyper::StatusCode;
use tokio::time::{MissedTickBehavior, interval};

use crate::dialect::{ObjectKind, ObjectValue};
use crate::feed_message::FeedMessage;
use crate::follow::{STORE_CALL_TIMEOUT, list};
use crate::shared::Shared;
use crate::store::{StoreClient, StoreError};

/// Interval between two checks for marks that have to be written or removed.
const WRITE_INTERVAL: Duration = Duration::from_millis(500);

/// Number of such checks between two lists of the stored marks. Lists may be seconds old, which
/// costs a tenth of a call.
const CHECKS_PER_LIST: u32 = 8;

/// Maximum number of marks that are written or removed in one check.
const MAX_CHANGES: usize = 8;

/// Keeps the marks of requests that crash upstreams in the store, and reads those that other hosts,
/// or the processes before a restart, have written. It runs on hosts that follow the store; they
/// tell the hosts that they feed.
pub(crate) async fn follow_marks(shared: Rc<Shared>) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let mut stored = StoredMarks::default();
    let mut is_listed = false;
    let mut checks = 0;
    let mut ticks = interval(WRITE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if shared.store_health.is_failing() {
            continue;
        }
        if !is_listed || checks >= CHECKS_PER_LIST {
            // The first list must hold what was written just before all processes were killed.
            match list(&shared, &mut client, ObjectKind::Marks, is_listed).await {
                Ok(page) => {
                    let values = page.items.into_iter().filter_map(|item| item.value);
                    let marks = values.filter_map(|value| match value {
                        ObjectValue::Mark(mark) => Some(mark),
                        _ => None,
                    });
                    read_marks(&shared, &mut stored, marks.collect());
                    shared.has_marks.set(true);
                    is_listed = true;
                    checks = 0;
                }
                Err(error) => {
                    log::info!("event=mark_list_failed {error}");
                    continue;
                }
            }
        }
        checks += 1;
        let now = Instant::now();
        let quarantined = shared.core.borrow().crash_tracker.quarantined(now);
        let changes = stored.changes(&quarantined);
        for change in changes.into_iter().take(MAX_CHANGES) {
            if let Err(error) = apply(&shared, &mut client, &mut stored, &change).await {
                log::info!("event=mark_write_failed {error}");
                break;
            }
        }
    }
}

/// Takes over marks from the store that this host has not seen there yet. They count as seen now:
/// clocks of hosts differ, and not each sight of a request is written.
fn read_marks(shared: &Shared, stored: &mut StoredMarks, marks: Vec<CrashReport>) {
    let new: Vec<CrashReport> = marks
        .into_iter()
        .filter(|mark| stored.record_stored(mark))
        .collect();
    if new.is_empty() {
        return;
    }
    log::info!("event=marks_read count={}", new.len());
    shared.record_crash_reports(&new);
    shared.publish(&FeedMessage::Crashes { reports: new });
}

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
