use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::dialect::{ObjectKind, ObjectPage, ObjectProblem, StoreObject};
use crate::shared::Shared;
use crate::store::{StoreClient, StoreError};
use crate::store_health::RetryTurn;
use crate::stored_marks::follow_marks;

/// Pause after a watch that returned changes. Each call to the store has a cost, so upstreams that
/// start or leave together should arrive in one answer.
const WATCH_BATCH_PAUSE: Duration = Duration::from_millis(250);

/// Timeout of calls to the store other than watches.
pub(crate) const STORE_CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval at which tasks that wait for the store to recover check its health.
const STORE_HEALTH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two lists of the registered hosts.
const HOST_LIST_INTERVAL: Duration = Duration::from_secs(4);

/// Largest number of pages that are read for one list.
const MAX_LIST_PAGES: usize = 10_000;

/// Tasks that follow the store. They are aborted when this is dropped.
#[derive(Debug)]
pub(crate) struct StoreFollower(Vec<JoinHandle<()>>);

impl StoreFollower {
    /// Starts one task for each object kind.
    pub(crate) fn spawn(shared: &Rc<Shared>) -> Self {
        log::info!("event=store_followed");
        let mut tasks: Vec<_> = [
            ObjectKind::DesiredState,
            ObjectKind::Upstreams,
            ObjectKind::Evacuations,
            ObjectKind::Rollouts,
        ]
        .into_iter()
        .filter(|kind| shared.follows(*kind))
        .map(|kind| tokio::task::spawn_local(follow_kind(shared.clone(), kind)))
        .collect();
        tasks.push(tokio::task::spawn_local(follow_hosts(shared.clone())));
        tasks.push(tokio::task::spawn_local(probe_store(shared.clone())));
        tasks.push(tokio::task::spawn_local(follow_marks(shared.clone())));
        Self(tasks)
    }
}

impl Drop for StoreFollower {
    fn drop(&mut self) {
        log::info!("event=store_follow_stopped");
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Keeps one object kind up to date with a list followed by watches.
async fn follow_kind(shared: Rc<Shared>, kind: ObjectKind) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let mut revision = None;
    let mut turn: Option<RetryTurn<'_>> = None;
    // An earlier follower may have been aborted.
    shared.store_health.record_listed(kind);
    loop {
        if revision.is_none() {
            shared.store_health.record_unlisted(kind, Instant::now());
        }
        let step = match revision {
            None => list(&shared, &mut client, kind, false)
                .await
                .map(|page| ingest_page(&shared, kind, page, Shared::ingest_list)),
            Some(revision) => match watch(&shared, &mut client, kind, revision).await {
                Ok(page) => {
                    let is_unchanged = page.items.is_empty();
                    let next = ingest_page(&shared, kind, page, Shared::ingest_changes);
                    if !is_unchanged {
                        sleep(WATCH_BATCH_PAUSE).await;
                    }
                    Ok(next)
                }
                Err(error) => Err(error),
            },
        };
        match step {
            Ok(next) => {
                revision = Some(next);
                shared.store_health.record_listed(kind);
                if let Some(turn) = turn.take() {
                    turn.succeed();
                }
            }
            Err(StoreError::Status {
                status: StatusCode::GONE,
            }) => {
                log::info!("event=store_history_gone kind={kind:?}");
                revision = None;
                turn = None;
            }
            Err(error) => {
                log::info!("event=store_failed kind={kind:?} revision={revision:?} {error}");
                // A watch from an old revision may return nothing while the store drops its
                // history, so the current state is listed instead.
                revision = None;
                shared.store_health.record_failure(Instant::now());
                let jitter = {
                    let mut core = shared.core.borrow_mut();
                    core.metrics.store_failures += 1;
                    core.rng.f64() * 0.5 + 0.75
                };
                // The next turn may be another kind's.
                drop(turn.take());
                turn = shared.store_health.retry_turn(jitter).await;
            }
        }
    }
}

/// Lists the hosts periodically while the store is healthy.
async fn follow_hosts(shared: Rc<Shared>) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    loop {
        if !shared.store_health.is_failing() {
            list_hosts(&shared, &mut client, true).await;
        }
        sleep(HOST_LIST_INTERVAL).await;
    }
}

/// Reads from the store when it has not answered for a while, if the bounds require that a loss is
/// detected before a watch fails. While the store fails, the other calls find out when it recovers.
async fn probe_store(shared: Rc<Shared>) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    while let Some(probe) = shared.sync_timing().probe {
        let age = shared.store_health.time_since_answer(Instant::now());
        if age.is_none() || shared.store_health.is_failing() {
            sleep(STORE_HEALTH_POLL_INTERVAL).await;
            continue;
        }
        let due_in = probe.after.saturating_sub(age.unwrap_or_default());
        if !due_in.is_zero() {
            sleep(due_in).await;
            continue;
        }
        shared.core.borrow_mut().metrics.store_calls += 1;
        let path = (shared.dialect.store.list_path)(ObjectKind::Evacuations, None, true);
        let sent_at = Instant::now();
        match client.get(&path, probe.timeout).await {
            // The answer proves only that the store could be reached when it was asked.
            Ok(_) => shared.store_health.record_success(sent_at),
            Err(error) => {
                log::info!("event=store_probe_failed {error}");
                shared.store_health.record_loss(Instant::now());
            }
        }
    }
}

/// Lists the hosts once. On failure the previous list stays in use.
pub(crate) async fn list_hosts(shared: &Rc<Shared>, client: &mut StoreClient, stale: bool) {
    let asked_at = Instant::now();
    match list(shared, client, ObjectKind::Hosts, stale).await {
        Ok(page) => {
            shared.confirm_hosts(asked_at);
            ingest_page(shared, ObjectKind::Hosts, page, Shared::ingest_list);
        }
        Err(error) => log::info!("event=host_list_failed {error}"),
    }
}

/// Lists the rollout orders once. On failure the previous list stays in use.
pub(crate) async fn list_rollouts(shared: &Rc<Shared>, client: &mut StoreClient) {
    match list(shared, client, ObjectKind::Rollouts, false).await {
        Ok(page) => {
            ingest_page(shared, ObjectKind::Rollouts, page, Shared::ingest_list);
        }
        Err(error) => log::info!("event=rollout_list_failed {error}"),
    }
}

/// Ingests an answer of the store, as a complete list or as changes, and returns its revision.
fn ingest_page(
    shared: &Shared,
    kind: ObjectKind,
    page: ObjectPage,
    ingest: fn(&Shared, ObjectKind, u64, Vec<StoreObject>, Option<Duration>),
) -> u64 {
    let now = Instant::now();
    log_problems(shared, kind, page.problems);
    shared.store_health.record_success(now);
    let removal_grace = shared.store_health.removal_grace(now);
    ingest(shared, kind, page.revision, page.items, removal_grace);
    page.revision
}

/// Logs what could not be decoded, once for each revision of an object. A list repeats objects of
/// earlier revisions.
fn log_problems(shared: &Shared, kind: ObjectKind, problems: Vec<ObjectProblem>) {
    let mut mirror = shared.mirror.borrow_mut();
    for problem in mirror.take_new_problems(kind, problems) {
        log::warn!(
            "event=object_unreadable kind={kind:?} object={:?} revision={:?} reason={:?}",
            problem.object,
            problem.revision,
            problem.reason
        );
    }
}

/// Reads all pages of a kind.
pub(crate) async fn list(
    shared: &Shared,
    client: &mut StoreClient,
    kind: ObjectKind,
    stale: bool,
) -> Result<ObjectPage, StoreError> {
    let mut all: Option<ObjectPage> = None;
    let mut after: Option<String> = None;
    for _ in 0..MAX_LIST_PAGES {
        shared.core.borrow_mut().metrics.store_calls += 1;
        let path = (shared.dialect.store.list_path)(kind, after.as_deref(), stale);
        let body = client.get(&path, STORE_CALL_TIMEOUT).await?;
        // A long list must not count as an outage until its last page.
        shared.store_health.record_success(Instant::now());
        let page = (shared.dialect.store.decode_page)(kind, &body)
            .map_err(|reason| StoreError::Decode { reason })?;
        if page.next.is_some() && page.next <= after {
            return Err(StoreError::Decode {
                reason: "the next page does not follow the last one".to_owned(),
            });
        }
        after.clone_from(&page.next);
        match &mut all {
            // A watch from the revision of the first page returns changes made while listing.
            Some(all) => {
                all.items.extend(page.items);
                all.problems.extend(page.problems);
            }
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
    kind: ObjectKind,
    revision: u64,
) -> Result<ObjectPage, StoreError> {
    shared.core.borrow_mut().metrics.store_calls += 1;
    let timing = shared.sync_timing();
    let path = (shared.dialect.store.watch_path)(kind, revision, timing.watch_wait);
    let body = tokio::select! {
        result = client.get(&path, timing.watch_wait + timing.watch_margin) => result?,
        () = shared.store_health.lost() => return Err(StoreError::Timeout),
    };
    (shared.dialect.store.decode_events)(kind, &body)
        .map_err(|reason| StoreError::Decode { reason })
}
