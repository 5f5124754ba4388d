//! Texts and exit codes that operators and their scripts rely on.

#[allow(dead_code)]
mod commands;
#[allow(dead_code)]
#[path = "../../cornelwinch_platform/tests/fake/mod.rs"]
mod fake;

use std::time::Duration;

use commands::{file, run, spawn_host, spawn_relay};
use serde_json::json;

/// Guards against an argument error that does not say what is expected, or
/// that exits as if the command had run.
#[test]
fn argument_errors() {
    let platform = ["--platform", "127.0.0.1:1"];
    let cases: [&[&str]; 9] = [
        &[],
        &["launch"],
        &["apply"],
        &["apply", "--platform", "platform.example", "file"],
        &["get", platform[0], platform[1], "plans"],
        &["zone", platform[0], platform[1], "off", "tunis-a"],
        &["host", platform[0], platform[1], "drain", "tunis/a"],
        &["status"],
        &["check", "/nonexistent/file"],
    ];
    let mut texts = Vec::new();
    for args in cases {
        let (code, out, err) = run(args);
        assert_eq!((code, out.as_str()), (2, ""), "{args:?}");
        texts.push(format!("{}: {}", args.join(" "), err.trim_end()));
    }
    insta::assert_snapshot!(texts.join("\n"), @r#"
    : expected `COMMAND ...`, pass `--help` for usage information
    launch: no such command or positional: `launch`, did you mean `bench`?
    apply: expected `--platform=ADDR`, pass `--help` for usage information
    apply --platform platform.example file: couldn't parse `platform.example`: invalid socket address syntax
    get --platform 127.0.0.1:1 plans: couldn't parse `plans`: expected class, search, plan, customer, zone, upstream, snapshot or host,
    found "plans"
    zone --platform 127.0.0.1:1 off tunis-a: couldn't parse `off`: expected out or in
    host --platform 127.0.0.1:1 drain tunis/a: get host/tunis/a: expected a kind and a name of letters, digits or any of "._~-"
    status: no hosts to ask: give --operator or --platform with --operator-port
    check /nonexistent/file: /nonexistent/file: cannot read the file: No such file or directory (os error 2)
    "#);
    assert_eq!(run(&["--help"]).0, 0);
}

/// Guards against an outage that looks like an empty configuration.
#[test]
fn outage_is_an_error() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    drop(platform);
    let (code, out, err) = run(&["host", "--platform", &address, "drain", "a-1"]);
    assert_eq!((code, out.as_str()), (1, ""));
    insta::assert_snapshot!(err.replace(&address, "ADDRESS"), @r#"
    GET /v1/objects/host/a-1: cannot connect to the platform at ADDRESS: io: Connection refused (os error 111)
    "#);
}

/// Guards against a host that is missing from the table, and a refused token
/// that looks like a host in good order.
#[test]
fn status_lists_hosts() {
    let hosts = [spawn_host("a-1", "tunis-a"), spawn_host("b-1", "tunis-b")];
    let gone = spawn_host("c-1", "tunis-c").addr;
    let mut addresses: Vec<String> = hosts.iter().map(|host| host.addr.to_string()).collect();
    addresses.push(gone.to_string());
    let names = ["ADDR-A", "ADDR-B", "ADDR-C"];
    let hide = |text: &str| {
        let pairs = addresses.iter().zip(names);
        let text = pairs.fold(text.to_owned(), |text, (addr, name)| {
            text.replace(addr, name)
        });
        // Ports differ in length, and so do the columns.
        let lines = text
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "));
        lines.collect::<Vec<_>>().join("\n")
    };
    let token = file("operator-token", "secret\n");
    let mut args = vec!["status", "--operator-token-file", &token];
    for address in &addresses[..2] {
        args.extend(["--operator", address]);
    }
    let (code, out, _) = run(&args);
    assert_eq!(code, 0);
    insta::assert_snapshot!(hide(&out), @r#"
    ZONE HOST ADDRESS REVISION READY ALIVE OWNED COLD IN FLIGHT QUEUED
    tunis-a a-1 ADDR-A 0 yes 1/2 1 1 1 4
    tunis-b b-1 ADDR-B 0 yes 1/2 1 1 1 4
    "#);
    args.extend(["--operator", &addresses[2]]);
    let (code, out, _) = run(&args);
    assert_eq!(code, 1);
    assert!(hide(&out).contains("ADDR-C: no answer: "), "{out}");
    let (code, out, _) = run(&["status", "--json", "--operator", &addresses[0]]);
    assert_eq!(code, 1);
    let value: serde_json::Value = serde_json::from_str(&out).expect("JSON");
    assert_eq!(
        value[0]["error"],
        json!("the host refused the operators' token")
    );
}

/// Guards against a mark on a host that is written twice or lost.
#[test]
fn host_mark_is_idempotent() {
    let platform = fake::spawn(Duration::ZERO);
    let address = platform.addr.to_string();
    let mark = |mark: &str| {
        let (code, out, err) = run(&["host", "--platform", &address, mark, "a-1"]);
        assert_eq!((code, err.as_str()), (0, ""));
        out.lines().nth(1).expect("a row").to_owned()
    };
    let rows: Vec<String> = ["return", "drain", "drain", "return"].map(mark).to_vec();
    insta::assert_snapshot!(rows.join("\n"), @r#"
    host  a-1   unchanged
    host  a-1   created  1
    host  a-1   unchanged  1
    host  a-1   updated  2
    "#);
}

/// Guards against a relay that does not answer and is passed over, and against
/// lines that the search leaves out or adds.
#[test]
fn relay_pages() {
    let (relay, gone) = (spawn_relay(), spawn_relay().addr.to_string());
    let address = relay.addr.to_string();
    let (code, out, _) = run(&["relay", "--relay", &address, "state"]);
    assert_eq!(code, 0);
    insta::assert_snapshot!(out.replace(&address, "ADDRESS"), @r#"
    relay=ADDRESS
      path=/state
      upstream=i-1 lost=false
      upstream=i-2 lost=true
    "#);
    let request = [
        "--request-host",
        "a.example",
        "--path",
        "/x?y=1&z",
        "explain",
    ];
    let (code, out, _) = run(&[&["relay", "--relay", &address], &request[..]].concat());
    assert_eq!(code, 0);
    assert!(
        out.contains("path=/explain?host=a.example&path=/x%3Fy%3D1%26z"),
        "{out}"
    );
    let find = ["--find", "upstream=", "--find", "lost=true"];
    let args = [
        &["relay", "--relay", &gone, "--relay", &address],
        &find[..],
        &["metrics"],
    ]
    .concat();
    let (code, out, _) = run(&args);
    assert_eq!(code, 1);
    let out = out.replace(&address, "ADDRESS").replace(&gone, "GONE");
    insta::assert_snapshot!(out, @r#"
    relay=GONE
      no answer: io: Connection refused (os error 111)
    relay=ADDRESS
      upstream=i-2 lost=true
    "#);
    assert_eq!(run(&["relay", "state"]).0, 2);
}
