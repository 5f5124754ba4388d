use std::rc::Rc;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::core::Shared;
use crate::dialect::{Item, Kind, Page};
use crate::store::{StoreClient, StoreError};

/// Time beyond the wait after which a watch counts as lost.
pub(crate) const WATCH_MARGIN: Duration = Duration::from_millis(400);

/// Pause after a watch that brought changes. Upstreams that start or leave
/// together then come in one answer, and each call has a price.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Longest wait for a list.
pub(crate) const LIST_WAIT: Duration = Duration::from_millis(1_500);

const BACKOFF_FIRST: Duration = Duration::from_millis(50);
const BACKOFF_LONGEST: Duration = Duration::from_millis(700);

/// Time between two looks at the store's condition by kinds that wait for it.
const CONDITION_POLL: Duration = Duration::from_millis(50);

/// Time between two lists of the registered hosts.
const HOSTS_EVERY: Duration = Duration::from_secs(4);

/// Most pages of one list.
const PAGE_LIMIT: usize = 10_000;

/// Tasks that follow the store; they end when it is dropped.
#[derive(Debug)]
pub(crate) struct Following(Vec<JoinHandle<()>>);

impl Following {
    /// Starts to follow all kinds.
    pub(crate) fn spawn(shared: &Rc<Shared>) -> Self {
        log::info!("event=store_followed");
        let mut tasks: Vec<_> = [Kind::DesiredState, Kind::Upstreams, Kind::Evacuations]
            .into_iter()
            .map(|kind| tokio::task::spawn_local(follow(shared.clone(), kind)))
            .collect();
        tasks.push(tokio::task::spawn_local(follow_hosts(shared.clone())));
        Self(tasks)
    }
}

impl Drop for Following {
    fn drop(&mut self) {
        log::info!("event=store_left");
        for task in &self.0 {
            task.abort();
        }
    }
}

/// Keeps one kind of objects up to date.
async fn follow(shared: Rc<Shared>, kind: Kind) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    let mut backoff = BACKOFF_FIRST;
    let mut revision = None;
    loop {
        let step = match revision {
            None => list(&shared, &mut client, kind, false)
                .await
                .map(|page| take(&shared, kind, page, Shared::take_list)),
            Some(revision) => match watch(&shared, &mut client, kind, revision).await {
                Ok(page) => {
                    let is_quiet = page.items.is_empty();
                    let next = take(&shared, kind, page, Shared::take_changes);
                    if !is_quiet {
                        sleep(WATCH_PAUSE).await;
                    }
                    Ok(next)
                }
                Err(error) => Err(error),
            },
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
                log::info!("event=store_failed kind={kind:?} revision={revision:?} {error}");
                // A watch from an old revision may hear nothing while the store
                // drops its history, so the present state is listed.
                revision = None;
                shared.condition.record_failure(Instant::now());
                let jitter = {
                    let mut core = shared.core.borrow_mut();
                    core.metrics.store_failures += 1;
                    core.rng.f64() * 0.5 + 0.75
                };
                sleep(backoff.mul_f64(jitter)).await;
                backoff = (backoff * 2).min(BACKOFF_LONGEST);
                // One kind tries for all, since each call has a price.
                while kind != Kind::DesiredState && shared.condition.is_failing() {
                    sleep(CONDITION_POLL).await;
                }
            }
        }
    }
}

/// Keeps the list of hosts up to date.
async fn follow_hosts(shared: Rc<Shared>) {
    let mut client = StoreClient::new(shared.settings.borrow().store);
    loop {
        if !shared.condition.is_failing() {
            list_hosts(&shared, &mut client, true).await;
        }
        sleep(HOSTS_EVERY).await;
    }
}

/// Lists the hosts once; a failure leaves those that are known.
pub(crate) async fn list_hosts(shared: &Rc<Shared>, client: &mut StoreClient, stale: bool) {
    match list(shared, client, Kind::Hosts, stale).await {
        Ok(page) => {
            take(shared, Kind::Hosts, page, Shared::take_list);
        }
        Err(error) => log::info!("event=hosts_unknown {error}"),
    }
}

/// Takes over what the store answered, as a whole list or as changes, and returns
/// its revision.
fn take(
    shared: &Shared,
    kind: Kind,
    page: Page,
    take_items: fn(&Shared, Kind, u64, Vec<Item>, Option<Duration>),
) -> u64 {
    let now = Instant::now();
    shared.condition.record_success(now);
    let grace = shared.condition.grace(now);
    take_items(shared, kind, page.revision, page.items, grace);
    page.revision
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
    let wait = shared.settings.borrow().bounds.watch_wait();
    let path = (shared.dialect.store.watch_path)(kind, revision, wait);
    let body = client.get(&path, wait + WATCH_MARGIN).await?;
    (shared.dialect.store.decode_events)(kind, &body)
        .map_err(|reason| StoreError::Decode { reason })
}
