//! The log of a relay process, which leads from the id of a failed request to the cause.

#[path = "../platform/tests/lab/mod.rs"]
mod lab;

use std::process::{Child, Command, Stdio};

use lab::http::call;
use lab::store::Store;
use lab::upstream::{Reply, Upstream};
use lab::{
    desired_state, free_addr, get_request, post_request, run_test, upstream_entry, wait_until,
};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use tokio::net::TcpStream;

struct Relay(Child);

impl Relay {
    /// Sends SIGTERM and waits until the process ends.
    fn stop(&mut self) {
        let pid = i32::try_from(self.0.id()).unwrap();
        kill(Pid::from_raw(pid), Signal::SIGTERM).unwrap();
        assert!(self.0.wait().unwrap().success());
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against failed requests whose id does not lead to the cause in the log
/// because the lines lack the leg, the upstream or the reason. Guards against losing the
/// last lines when the process ends.
#[test]
fn request_id_leads_to_the_cause() {
    run_test(async || {
        let store = Store::start().await;
        let upstream = Upstream::start(|_| Reply::SendAndClose(Vec::new())).await;
        store.put("config", "main", desired_state(1, &["a"]));
        store.put("servers", "i-s", upstream_entry("sheets", &upstream, "z1"));
        let folder = std::env::temp_dir().join(format!("cornelwinch-log-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let (caller, readiness) = (free_addr(), free_addr());
        let settings = format!(
            r#"{{"host": "h1", "zone": "z1", "caller": "{caller}", "readiness": "{readiness}",
            "metrics": "{}", "peer": "{}", "store": "{}",
            "bounds": {{"stable_ms": 4000, "grace_s": 1, "repeat_ratio": 0.2,
                "repeat_window_s": 10, "repeat_slack": 56,
                "cold_overshoot": 1.5, "cold_slack": 5}}}}"#,
            free_addr(),
            free_addr(),
            store.addr
        );
        let (file, log) = (folder.join("h1.jsonc"), folder.join("log"));
        std::fs::write(&file, settings).unwrap();
        let relay = Command::new(env!("CARGO_BIN_EXE_cornelwinchd"))
            .arg("--relay")
            .arg("--settings")
            .arg(&file)
            .stdout(Stdio::from(std::fs::File::create(&log).unwrap()))
            .spawn()
            .unwrap();
        let mut relay = Relay(relay);
        wait_until("ready", async || {
            if TcpStream::connect(readiness).await.is_err() {
                return false;
            }
            let request = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n";
            call(readiness, request).await.status == 200
        })
        .await;
        let lost = call(
            caller,
            post_request("/order/x", "id-lost", "two").as_bytes(),
        )
        .await;
        assert_eq!(lost.status, 502);
        let unserved = call(caller, get_request("/list/x", "id-unserved").as_bytes()).await;
        assert_eq!(unserved.status, 503);
        let unknown = call(caller, get_request("/nowhere/x", "id-unknown").as_bytes()).await;
        assert_eq!(unknown.status, 404);
        relay.stop();
        let text = std::fs::read_to_string(&log).unwrap();
        let has = |id: &str, words: &[&str]| {
            let holds_all =
                |line: &str| line.contains(id) && words.iter().all(|word| line.contains(word));
            assert!(text.lines().any(holds_all), "{id} {words:?} in {text}");
        };
        has(
            "id-lost",
            &["event=request", "outcome=unknown", "version=1"],
        );
        has(
            "id-lost",
            &["event=leg_failed", "upstream=i-s", "reason=disconnected"],
        );
        has(
            "id-unserved",
            &["outcome=not_run", "reason=shards_unserved"],
        );
        has("id-unknown", &["outcome=rejected", "reason=no_route"]);
        has("host=h1", &["event=started"]);
        has("host=h1", &["event=stopping"]);
        has("host=h1", &["event=stopped", "cut=0"]);
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
