//! Guards against configuration changes that are lost, applied twice or
//! reported wrongly when operators race, answers are lost or the platform is
//! away, and against hosts that cannot start without the platform.

use std::ffi::OsString;
use std::fs;
use std::path::Path;
use std::sync::Barrier;
use std::thread;
use std::time::Duration;

use cornelwinch::cli;
use cornelwinch_lab::{Deployment, DeploymentShape, HostProgram, SearchShape, query};
use cornelwinch_standins::platform::{OutageMode, PlatformFault};
use serde_json::{Value, json};

const LIMIT: Duration = Duration::from_secs(20);

fn apply(deployment: &Deployment, region: &str) -> (u8, Value) {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{region}.jsonc"));
    let text = format!(r#"{{ "zone": {{ "extra": {{ "region": "{region}" }} }} }}"#);
    fs::write(&path, text).unwrap();
    let platform = deployment.platform.address().to_string();
    let args = ["apply", "--platform", &platform, "--json"].map(OsString::from);
    let args = [&args[..], &[path.into_os_string()]].concat();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = cli::run(&args, &mut out, &mut err);
    let report: Value = serde_json::from_slice(&out)
        .unwrap_or_else(|error| panic!("{error}: {}", String::from_utf8_lossy(&err)));
    (code, report["changes"][0].clone())
}

fn region(deployment: &Deployment) -> Value {
    deployment.platform.value("zone", "extra").unwrap()["spec"]["region"].clone()
}

fn check_in_force(deployment: &Deployment) {
    let revision = deployment.platform.counters().revision;
    assert!(deployment.wait_revision(revision, LIMIT), "{revision}");
}

/// Both operators read the entry before either writes: a call takes effect
/// only after half of the latency.
fn race_operators(deployment: &Deployment) {
    deployment
        .platform
        .apply(PlatformFault::Latency { ms: 400 });
    let start = Barrier::new(2);
    let run = |region| {
        start.wait();
        apply(deployment, region)
    };
    let (first, second) = thread::scope(|scope| {
        let first = scope.spawn(|| run("first"));
        let second = scope.spawn(|| run("second"));
        (first.join().unwrap(), second.join().unwrap())
    });
    deployment.platform.apply(PlatformFault::Latency { ms: 1 });
    let text = format!("{first:?} {second:?}");
    let (winner, name, loser) = match first.0 {
        0 => (&first, "first", &second),
        _ => (&second, "second", &first),
    };
    assert_eq!(
        (winner.0, &winner.1["action"]),
        (0, &json!("created")),
        "{text}"
    );
    assert_eq!(loser.1["action"], "conflict", "{text}");
    assert_ne!(loser.0, 0, "{text}");
    assert!(loser.1["differences"].to_string().contains(name), "{text}");
    assert_eq!(region(deployment), name, "{text}");
    check_in_force(deployment);
}

fn lose_answer(deployment: &Deployment) {
    for mode in [OutageMode::Reset, OutageMode::Silent] {
        let before = deployment.platform.counters();
        let fault = PlatformFault::LoseWriteAnswers { writes: 1, mode };
        deployment.platform.apply(fault);
        let name = format!("lost-{mode:?}");
        let (code, change) = apply(deployment, &name);
        assert_eq!(
            (code, &change["action"]),
            (0, &json!("updated")),
            "{change}"
        );
        let after = deployment.platform.counters();
        assert_eq!(after.answers_lost, before.answers_lost + 1);
        assert_eq!(after.writes_applied, before.writes_applied + 1);
        assert_eq!(region(deployment), name);
        check_in_force(deployment);
    }
}

fn check_answers(deployment: &Deployment) {
    let request = json!({ "search": "portal", "body": "5 diary" });
    for host in deployment.targets() {
        let (status, answer) = query(host, &Deployment::token("portal"), &request).unwrap();
        assert_eq!(status, 200, "{answer}");
        assert_eq!(answer["coverage"], 1.0, "{answer}");
    }
}

fn restart_in_outage(deployment: &mut Deployment) {
    // In the first outage every host restarts, one after the other, so that
    // none holds what it read from the platform itself.
    let hosts = deployment.hosts.len();
    for (mode, hosts) in [(OutageMode::Unavailable, hosts), (OutageMode::Silent, 1)] {
        let fault = PlatformFault::Outage {
            mode,
            apply_writes: false,
        };
        deployment.platform.apply(fault);
        for host in deployment.hosts.iter_mut().take(hosts) {
            host.kill();
            host.start().unwrap();
            host.wait_ready(LIMIT).unwrap();
        }
        let revision = deployment.platform.counters().revision;
        assert!(
            deployment.wait_revision(revision, Duration::ZERO),
            "{mode:?}"
        );
        check_answers(deployment);
        deployment.platform.apply(PlatformFault::Recover);
        let (code, change) = apply(deployment, &format!("after-{mode:?}"));
        assert_eq!(code, 0, "{change}");
        check_in_force(deployment);
    }
}

#[test]
fn config_changes_survive_faults() {
    let shape = DeploymentShape::new("test", 2, 3).with_search(SearchShape::new("portal", 4));
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let mut deployment = Deployment::spawn(shape, &program).unwrap();
    check_answers(&deployment);
    race_operators(&deployment);
    lose_answer(&deployment);
    restart_in_outage(&mut deployment);
}
