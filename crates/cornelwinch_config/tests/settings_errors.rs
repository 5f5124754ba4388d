//! Errors in a settings file name its line, the key and the expected value.

use cornelwinch_config::Settings;

const GOOD: &str = r#"{
  "deployment": "tunis",
  "host": "tunis-a-1", "zone": "tunis-a", "region": "tunis",
  "secret_file": "secret", // beside this file
  "caller": "0.0.0.0:8080",
  "peer": "10.0.0.1:8081",
  "gossip": "10.0.0.1:8082",
  "operator": "[::1]:0",
  "platform": "10.0.0.100:7000",
  "seeds": ["10.0.0.1:8082", "10.0.0.2:8082"],
  "operator_token_hash": "af1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262",
  "drain_limit_ms": 45000,
  "log": { "level": "debug", "file": "/var/log/cornelwinch.log" },
  "limits": { "body_bytes": 4096 },
}"#;

/// Guards against a default in place of a value in the file.
#[test]
fn values_are_read() {
    let settings = Settings::parse("/etc/cornelwinch/host.jsonc", GOOD).expect("valid settings");
    assert_eq!(
        settings.secret_file.to_str(),
        Some("/etc/cornelwinch/secret")
    );
    assert_eq!(settings.seeds.len(), 2);
    assert_eq!(settings.drain_limit.as_millis(), 45_000);
    assert_eq!(settings.balancer_delay.as_millis(), 5_000);
    assert_eq!(settings.log.level, log::LevelFilter::Debug);
    assert_eq!(
        (
            settings.limits.body_bytes,
            settings.limits.caller_connections
        ),
        (4_096, 1_024)
    );
    assert_eq!(settings.metrics, None);
}

/// Guards against an error that does not tell an operator what to change. Each
/// case replaces one part of a valid file.
#[test]
fn errors_name_key() {
    let cases = [
        ("\"zone\": \"tunis-a\"", "\"zone\": \"tunis a\""),
        ("\"zone\": \"tunis-a\",", ""),
        ("\"zone\"", "\"sone\""),
        ("10.0.0.1:8081", "10.0.0.1:88081"),
        ("10.0.0.1:8081", "0.0.0.0:8081"),
        ("10.0.0.100:7000", "platform.example:7000"),
        ("10.0.0.100:7000", "10.0.0.100:0"),
        ("10.0.0.2:8082", "10.0.0.2"),
        ("af1349", "zz1349"),
        ("45000", "\"45 s\""),
        ("45000", "-1"),
        ("4096", "0"),
        ("body_bytes", "body_size"),
        ("\"debug\"", "\"loud\""),
        ("{ \"body_bytes\": 4096 }", "[]"),
        ("\"host\"", "\"deployment\""),
        ("\"tunis-a-1\",", "\"tunis-a-1\""),
        (GOOD, ""),
        (GOOD, "[]"),
    ];
    let mut texts = Vec::new();
    for (old, new) in cases {
        let text = GOOD.replacen(old, new, 1);
        let error = Settings::parse("host.jsonc", &text)
            .expect_err(new)
            .to_string();
        assert_eq!(error.lines().count(), 1, "{error}");
        texts.push(error);
    }
    let missing = Settings::open("/nonexistent/host.jsonc").expect_err("no such file");
    texts.push(missing.to_string());
    insta::assert_snapshot!(texts.join("\n"), @r#"
    host.jsonc:3: key "zone": expected a name of letters, digits or any of "._~-", found "tunis a"
    host.jsonc:1: key "zone": expected a name of letters, digits or any of "._~-", found no such key
    host.jsonc:3: key "sone": expected one of deployment, host, zone, region, secret_file, caller, peer, gossip, operator, platform, seeds, operator_token_hash, drain_limit_ms, balancer_delay_ms, log, metrics, limits, routing, found an unknown key
    host.jsonc:6: key "peer": expected an IP address that peers can reach and a port from 0 to 65535, found "10.0.0.1:88081"
    host.jsonc:6: key "peer": expected an IP address that peers can reach and a port from 0 to 65535, found "0.0.0.0:8081"
    host.jsonc:9: key "platform": expected an IP address and a port from 1 to 65535, found "platform.example:7000"
    host.jsonc:9: key "platform": expected an IP address and a port from 1 to 65535, found "10.0.0.100:0"
    host.jsonc:10: key "seeds": expected an IP address and a port from 1 to 65535, found "10.0.0.2"
    host.jsonc:11: key "operator_token_hash": expected a BLAKE3 hash of 64 hexadecimal digits, found "zz1349b9f5f9a1a6a0404dea36dcc9499bcb25c9adc112b7cc9a93cae41f3262"
    host.jsonc:12: key "drain_limit_ms": expected an integer from 0 to 3600000, found "45 s"
    host.jsonc:12: key "drain_limit_ms": expected an integer from 0 to 3600000, found -1
    host.jsonc:14: key "limits.body_bytes": expected an integer from 1 to 1073741824, found 0
    host.jsonc:14: key "limits.body_size": expected one of caller_connections, body_bytes, idle_ms, queue_per_upstream, found an unknown key
    host.jsonc:13: key "log.level": expected off, error, warn, info, debug or trace, found "loud"
    host.jsonc:14: key "limits": expected an object, found a list
    host.jsonc:3: key "deployment": expected one value, found the key twice
    host.jsonc:3: expected JSON with comments, found invalid syntax (Expected comma)
    host.jsonc:1: expected a JSON object, found an empty file
    host.jsonc:1: expected a JSON object, found a list
    /nonexistent/host.jsonc: cannot read the settings: No such file or directory (os error 2)
    "#);
}
