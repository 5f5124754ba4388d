//! Guards against new work for a zone or an upstream that leaves, requests that
//! fail meanwhile, and upstreams overloaded when their zone returns. Times are
//! those of the upstreams' own counters.

use std::thread;
use std::time::Duration;

use cornelwinch_config::ServiceState;
use cornelwinch_lab::{Deployment, DeploymentShape, HostProgram, Load, SearchShape, wait_until};
use cornelwinch_standins::platform::HostState;
use cornelwinch_standins::upstream::{Upstream, UpstreamFault};

/// Time after which a leaving upstream gets no new work.
const LEAVE_MS: u64 = 3_000;
/// Time for which the load goes on to show late work.
const WATCHED: Duration = Duration::from_millis(LEAVE_MS + 1_500);
const LIMIT: Duration = Duration::from_secs(20);

fn mark(upstreams: &[&Upstream]) {
    for upstream in upstreams {
        upstream.apply(UpstreamFault::Mark);
    }
}

/// Lets the load run on and reports the last arrival at any of the upstreams.
fn check_left(case: &str, upstreams: &[&Upstream]) {
    thread::sleep(WATCHED);
    for upstream in upstreams {
        let counters = upstream.counters();
        let last = counters.last_arrival_after_mark_ms;
        let arrived = counters.arrived_after_mark;
        println!(
            "{case}: {} got {arrived} legs, the last after {last} ms",
            upstream.name()
        );
        assert!(last <= LEAVE_MS, "{case}: {counters:?}");
    }
}

/// Waits until the upstreams get work again and the load has gone on.
fn check_returned(case: &str, upstreams: &[&Upstream], load: &Load) {
    mark(upstreams);
    for upstream in upstreams {
        let works = || upstream.counters().arrived_after_mark > 0;
        assert!(
            wait_until(LIMIT, works),
            "{case}: {:?}",
            upstream.counters()
        );
    }
    assert!(load.wait_answered(300, LIMIT), "{case}");
}

fn leave_zone(deployment: &Deployment, load: &Load) {
    let zone = deployment.shape().zones[1].clone();
    let upstreams = deployment.upstreams_in(&zone);
    assert!(!upstreams.is_empty());
    mark(&upstreams);
    let revision = deployment.set_zone(&zone, ServiceState::Out).unwrap();
    assert!(deployment.wait_revision(revision, LIMIT));
    check_left("zone", &upstreams);
    // The zone returns cold.
    for upstream in &upstreams {
        upstream.apply(UpstreamFault::Restart);
    }
    let shed: Vec<u64> = upstreams.iter().map(|up| up.counters().shed).collect();
    deployment.set_zone(&zone, ServiceState::In).unwrap();
    check_returned("zone", &upstreams, load);
    let warm = || upstreams.iter().all(|up| !up.counters().cold);
    assert!(
        wait_until(LIMIT, warm),
        "{:?} {:?}",
        upstreams.iter().map(|up| up.counters()).collect::<Vec<_>>(),
        deployment.hosts[1].status()
    );
    for (upstream, shed) in upstreams.iter().zip(shed) {
        let counters = upstream.counters();
        assert_eq!(counters.shed, shed, "{counters:?}");
        assert_eq!(counters.fell_over, 0, "{counters:?}");
    }
}

/// One upstream drains by itself, another is marked in the platform's list. The
/// time of the second starts when the platform shows the mark, 10 s after it
/// was made.
fn leave_upstreams(deployment: &Deployment, load: &Load) {
    let (name, zone) = ("portal-001-1", &deployment.shape().zones[0]);
    let listed = deployment.upstream(name);
    deployment.list_upstream(name, zone, HostState::Leaving);

    let drained = deployment.upstream("portal-000-0");
    mark(&[drained]);
    drained.apply(UpstreamFault::Drain);
    check_left("drain", &[drained]);
    drained.apply(UpstreamFault::Undrain);

    assert!(wait_until(LIMIT, || deployment.is_listed_leaving(name)));
    mark(&[listed]);
    check_left("list", &[listed]);
    check_returned("drain", &[drained], load);
}

#[test]
fn leaving_gets_no_work() {
    let mut search = SearchShape::new("portal", 4);
    search.policy.deadline_ms = 5_000;
    let shape = DeploymentShape::new("test", 2, 4).with_search(search);
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let deployment = Deployment::spawn(shape, &program).unwrap();
    let token = Deployment::token("portal");
    let load = Load::spawn(&deployment.targets(), "portal", &token, 4);
    assert!(load.wait_answered(100, LIMIT));
    leave_zone(&deployment, &load);
    leave_upstreams(&deployment, &load);
    let report = load.stop();
    println!("{} answered", report.answered);
    assert_eq!(report.failed, 0, "{:?}", report.failures);
}
