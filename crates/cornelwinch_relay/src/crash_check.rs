use std::io::{self, ErrorKind};
use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{Route, UpstreamEndpoint};
use cornelwinch_types::{Fingerprint, Name};
use tokio::time::sleep;

use crate::leg::OutgoingRequest;
use crate::shared::Shared;

/// Time after the end of a connection at which its upstream is checked. A crashed upstream refuses
/// connections by then and is back after some seconds.
const CRASH_CHECK_DELAY: Duration = Duration::from_millis(50);

/// Maximum number of checks in progress. While links fail, nearly all legs are cut; further ones
/// count as cut only.
const MAX_CRASH_CHECKS: usize = 64;

/// Maximum number of silent legs whose upstreams are checked at the same time. Each check opens a
/// connection, and an overloaded upstream leaves many legs unanswered.
const MAX_SILENCE_CHECKS: usize = 4;

/// Time for which a check of a silent leg counts as in progress, at least.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// How a leg ended during which its upstream may have crashed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum LegEnd {
    /// The connection ended before the end of the answer.
    Cut,
    /// The leg was dropped without an answer.
    Silent,
}

/// A leg during which its upstream may have crashed.
#[derive(Debug)]
struct EndedLeg {
    end: LegEnd,
    out: Rc<OutgoingRequest>,
    route: Name,
    upstream: UpstreamEndpoint,
}

impl EndedLeg {
    fn new(
        end: LegEnd,
        out: &Rc<OutgoingRequest>,
        route: &Route,
        upstream: &UpstreamEndpoint,
    ) -> Self {
        Self {
            end,
            out: out.clone(),
            route: route.name.clone(),
            upstream: upstream.clone(),
        }
    }

    fn upstream_fingerprint(&self) -> Fingerprint {
        Fingerprint::of_bytes(b"upstream", self.upstream.name.as_bytes())
    }
}

/// Records a leg whose connection ended before the end of the answer, then finds out in the
/// background whether its upstream crashed: only a crashed one refuses connections. Broken links
/// and faulty upstreams also cut legs.
pub(crate) fn record_cut(
    shared: &Rc<Shared>,
    out: &Rc<OutgoingRequest>,
    route: &Route,
    upstream: &UpstreamEndpoint,
) {
    let leg = EndedLeg::new(LegEnd::Cut, out, route, upstream);
    let mut core = shared.core.borrow_mut();
    let tracker = &mut core.crash_tracker;
    let is_marked = tracker.record_cut(
        Instant::now(),
        out.fingerprint,
        out.attempt,
        leg.upstream_fingerprint(),
    );
    let is_suspect = tracker.is_suspect(out.fingerprint);
    drop(core);
    if is_marked {
        log_mark(shared, &leg);
    }
    if !is_suspect {
        return;
    }
    if shared.crash_checks.get() >= MAX_CRASH_CHECKS {
        log_check(shared, &leg, "skipped");
        return;
    }
    shared.crash_checks.set(shared.crash_checks.get() + 1);
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        sleep(CRASH_CHECK_DELAY).await;
        check(&shared, &leg).await;
        shared.crash_checks.set(shared.crash_checks.get() - 1);
    });
}

/// Finds out in the background whether the upstream of a leg that ended without an answer has
/// crashed. A host that loses power ends no connection, so its legs are silent until they are
/// dropped. Silence alone is no sign, since slow upstreams and cut links cause it too; these do not
/// refuse connections.
pub(crate) fn check_silent_leg(
    shared: &Rc<Shared>,
    out: &Rc<OutgoingRequest>,
    route: &Route,
    upstream: &UpstreamEndpoint,
) {
    let is_answered = || {
        let core = shared.core.borrow();
        let tracker = &core.crash_tracker;
        tracker.was_answered(Instant::now(), out.fingerprint)
    };
    // A process that ends drops all of its legs.
    if shared.is_stopping() || shared.silence_checks.get() >= MAX_SILENCE_CHECKS || is_answered() {
        return;
    }
    shared.silence_checks.set(shared.silence_checks.get() + 1);
    let leg = EndedLeg::new(LegEnd::Silent, out, route, upstream);
    let shared = shared.clone();
    tokio::task::spawn_local(async move {
        check(&shared, &leg).await;
        sleep(SILENCE_CHECK_INTERVAL).await;
        shared.silence_checks.set(shared.silence_checks.get() - 1);
    });
}

/// Connects to the upstream of a leg and records a crash if it refuses the connection.
async fn check(shared: &Shared, leg: &EndedLeg) {
    let result = shared.pool.try_connect(&leg.upstream).await;
    let is_crash = is_refused(&result);
    let result = match &result {
        Ok(()) => "accepted".to_owned(),
        Err(error) => format!("{:?}", error.kind()),
    };
    let is_marked = is_crash
        && shared.core.borrow_mut().crash_tracker.record_disconnect(
            Instant::now(),
            leg.out.fingerprint,
            leg.out.attempt,
            leg.upstream_fingerprint(),
        );
    // A silent leg of an upstream that accepts connections is an ordinary slow one.
    if is_crash || leg.end == LegEnd::Cut {
        log_check(shared, leg, &result);
    }
    if is_marked {
        log_mark(shared, leg);
    }
}

fn is_refused(result: &io::Result<()>) -> bool {
    matches!(result, Err(error) if error.kind() == ErrorKind::ConnectionRefused)
}

/// Logs a check with what is known of the request, subject to the rate limit on lines about legs.
fn log_check(shared: &Shared, leg: &EndedLeg, result: &str) {
    let mut core = shared.core.borrow_mut();
    if core.leg_log_limit.take(Instant::now()) {
        log::info!(
            "event=crash_check id={:?} print={} upstream={} leg={:?} result={result} {}",
            leg.out.request_id,
            leg.out.fingerprint,
            leg.upstream.name,
            leg.end,
            core.crash_tracker.describe(leg.out.fingerprint)
        );
    }
}

fn log_mark(shared: &Shared, leg: &EndedLeg) {
    log::warn!(
        "event=request_marked id={:?} print={} route={} reason=crashes_upstreams {}",
        leg.out.request_id,
        leg.out.fingerprint,
        leg.route,
        shared
            .core
            .borrow()
            .crash_tracker
            .describe(leg.out.fingerprint)
    );
}
