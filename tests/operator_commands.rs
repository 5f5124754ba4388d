//! Guards against commands that do not fit the daemon: a change reported in
//! force that is not, a status or an answer that cannot be read.

use std::ffi::OsString;
use std::fs;
use std::path::Path;

use cornelwinch::cli;
use cornelwinch_lab::{Deployment, DeploymentShape, HostProgram, SearchShape};
use serde_json::Value;

fn run(args: &[&str]) -> (u8, String, String) {
    let args: Vec<OsString> = args.iter().map(Into::into).collect();
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let code = cli::run(&args, &mut out, &mut err);
    let text = |buf| String::from_utf8(buf).unwrap();
    (code, text(out), text(err))
}

fn file(name: &str, text: &str) -> String {
    let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn commands_fit_daemon() {
    let shape = DeploymentShape::new("test", 2, 3).with_search(SearchShape::new("portal", 4));
    let program = HostProgram::new(env!("CARGO_BIN_EXE_cornelwinchd"));
    let deployment = Deployment::spawn(shape, &program).unwrap();
    let platform = deployment.platform.address().to_string();
    let operator_token = file("operator-token", Deployment::operator_token());
    let caller_token = file("caller-token", &Deployment::token("portal"));
    let mut operators = vec!["--operator-token-file", &operator_token];
    let addresses: Vec<String> = deployment
        .hosts
        .iter()
        .map(|host| host.operator().to_string())
        .collect();
    for address in &addresses {
        operators.extend(["--operator", address]);
    }
    let with = |command: &[&str], rest: &[&str]| run(&[command, &operators, rest].concat());

    let (code, out, err) = with(&["status"], &[]);
    assert_eq!((code, out.lines().count()), (0, 4), "{out}{err}");

    let zone = deployment.shape().zones[0].to_string();
    let marks = ["zone", "--platform", &platform, "--wait", "--json"];
    for mark in ["out", "in"] {
        let (code, out, err) = with(&marks, &[mark, &zone]);
        assert_eq!(code, 0, "{out}{err}");
        let report: Value = serde_json::from_str(&out).unwrap();
        assert_eq!(report["changes"][0]["action"], "updated", "{out}");
        println!(
            "zone {mark}: in force after {} ms",
            report["progress"]["waited_ms"]
        );
    }

    // The host's own status has to agree with what the wait reported.
    let document = file(
        "extra.jsonc",
        r#"{ "zone": { "extra": { "region": "test" } } }"#,
    );
    let (code, out, err) = with(
        &["apply", "--platform", &platform, "--wait", "--json"],
        &[&document],
    );
    assert_eq!(code, 0, "{out}{err}");
    let report: Value = serde_json::from_str(&out).unwrap();
    for host in &deployment.hosts {
        let revision = host.status().unwrap()["revision"].as_u64();
        assert!(revision >= report["progress"]["revision"].as_u64(), "{out}");
    }

    let caller = deployment.hosts[0].caller().to_string();
    let target = [
        "--host",
        &caller,
        "--token-file",
        &caller_token,
        "--search",
        "portal",
    ];
    let (code, out, err) = run(&[&["query"], &target[..], &["5 diary"]].concat());
    assert_eq!(code, 0, "{out}{err}");
    assert!(
        out.contains("outcome: done") && out.contains("coverage: 1\n"),
        "{out}"
    );

    let load = [
        "--class",
        "portal",
        "--mix",
        "portal:portal:2",
        "--rate",
        "20",
        "--duration",
        "1",
        "--json",
        "5 diary",
    ];
    let (code, out, err) = run(&[&["bench"], &target[..], &load].concat());
    assert_eq!(code, 0, "{out}{err}");
    let report: Value = serde_json::from_str(&out).unwrap();
    assert_eq!(report["wrong"], 0, "{out}");
    assert!(
        report["total"]["outcomes"]["done"].as_u64() > Some(0),
        "{out}"
    );
}
