use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{RequestFingerprint, UpstreamEndpoint};
use cornelwinch_types::{Fingerprint, Name};
use hyper::header::HeaderValue;
use tokio::time::sleep;

use crate::shared::Shared;

/// Time after the end of a connection at which its upstream is checked. A crashed upstream refuses
/// connections by then and is back after some seconds.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of checks in progress. While links fail, nearly all legs are cut; further ones
/// count as cut only.
const MAX_CRASH_CHECKS: usize = 64;

/// A request whose leg ended before the end of the answer.
#[derive(Debug)]
pub(crate) struct CutRequest {
    pub(crate) fingerprint: RequestFingerprint,
    pub(crate) attempt: Fingerprint,
    pub(crate) id: HeaderValue,
    pub(crate) route: Name,
}

/// Records a leg that was cut, then finds out in the background whether its upstream crashed: only
/// a crashed one refuses connections. Broken links and faulty upstreams also cut legs.
pub(crate) fn record_cut(shared: &Rc<Shared>, cut: CutRequest, upstream: UpstreamEndpoint) {
    let name = Fingerprint::of_bytes(b"upstream", upstream.name.as_bytes());
    let mut core = shared.core.borrow_mut();
    let tracker = &mut core.crash_tracker;
    let is_marked = tracker.record_cut(Instant::now(), cut.fingerprint, cut.attempt, name);
    let is_suspect = tracker.is_suspect(cut.fingerprint);
    drop(core);
    if is_marked {
        log_mark(&cut);
    }
    if !is_suspect || shared.crash_checks.get() >= MAX_CRASH_CHECKS {
        return;
    }
    shared.crash_checks.set(shared.crash_checks.get() + 1);
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        sleep(CRASH_CHECK_DELAY).await;
        let result = shared.pool.try_connect(&upstream).await;
        shared.crash_checks.set(shared.crash_checks.get() - 1);
        if !result.is_err_and(|error| error.kind() == ErrorKind::ConnectionRefused) {
            return;
        }
        let mut core = shared.core.borrow_mut();
        let tracker = &mut core.crash_tracker;
        if tracker.record_disconnect(Instant::now(), cut.fingerprint, cut.attempt, name) {
            log_mark(&cut);
        }
    });
}

fn log_mark(cut: &CutRequest) {
    log::warn!(
        "event=request_marked id={:?} route={} reason=crashes_upstreams",
        cut.id,
        cut.route
    );
}
