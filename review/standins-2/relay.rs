//! Starts the project's program as the deploy file does: `target/release/cornelwinchd --relay`.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::http::call;

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

unsafe extern "C" {
    fn prctl(option: i32, argument: u64, ...) -> i32;
}

const PROGRAM: &str = "target/release/cornelwinchd";

/// Times of the site `qalam-search`, and of `rafeed-search`.
pub const SMALL_SITE: (u32, [u32; 3]) = (4_000, [3_000, 3_000, 5_000]);

/// Times of the site `wts-amman-grown`.
pub const TENANTS_SITE: (u32, [u32; 3]) = (5_000, [5_000, 5_000, 5_000]);

static NEXT_PORT: Mutex<u16> = Mutex::new(0);

/// Binds a free loopback port outside the range from which outgoing connections are given theirs.
pub fn bind() -> TcpListener {
    let mut next = NEXT_PORT.lock().expect("not poisoned");
    if *next == 0 {
        *next = 12_000 + (std::process::id() % 180) as u16 * 100;
    }
    loop {
        *next = if *next >= 30_000 { 12_000 } else { *next + 1 };
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", *next)) {
            return listener;
        }
    }
}

fn free_addr() -> SocketAddr {
    bind().local_addr().expect("bound")
}

/// Fields of the settings that differ between cases.
pub struct Settings<'a> {
    pub name: &'a str,
    pub zone: &'a str,
    pub store: SocketAddr,
    /// Further lines of `bounds`, as the template writes them for the contracts of a deployment.
    pub more_bounds: &'a str,
    /// `stable_window_ms`, and `drain_ms`, `config_apply_ms` and `evacuation_ms`.
    pub times_ms: (u32, [u32; 3]),
}

/// One machine of the system with its process.
pub struct Relay {
    pub name: String,
    pub caller: SocketAddr,
    ready: SocketAddr,
    file: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Relay {
    /// Writes the settings that the platform would make from `platform/settings.jsonc`, and starts
    /// the process.
    pub fn start(folder: &Path, settings: &Settings<'_>) -> Self {
        let (caller, ready) = (free_addr(), free_addr());
        let (metrics, peer) = (free_addr(), free_addr());
        let (stable, [drain, apply, evacuation]) = settings.times_ms;
        let text = format!(
            r#"{{
    "host": "{}", "zone": "{}",
    "caller": "{caller}", "readiness": "{ready}", "metrics": "{metrics}", "peer": "{peer}",
    "store": "{}", "memory_mb": 390, "placement": "learned",
    "bounds": {{
        "stable_ms": {stable},  "grace_s": 6,
        "repeat_ratio": 0.2, "repeat_window_s": 10, "repeat_slack": 56,
        "cold_overshoot": 1.5, "cold_slack": 5, {}
        "drain_ms": {drain}, "config_apply_ms": {apply}, "evacuation_ms": {evacuation}
    }}
}}
"#,
            settings.name, settings.zone, settings.store, settings.more_bounds
        );
        let file = folder.join(format!("{}.jsonc", settings.name));
        fs::write(&file, text).expect("the temporary folder is writable");
        let mut relay = Self {
            name: settings.name.to_owned(),
            caller,
            ready,
            log: folder.join(format!("{}.log", settings.name)),
            file,
            child: None,
        };
        relay.start_process();
        relay
    }

    /// Starts the process, also after it has ended.
    pub fn start_process(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let log = log.expect("the temporary folder is writable");
        let mut command = Command::new(PROGRAM);
        // The process ends with the case, also if the case is killed.
        unsafe {
            command.pre_exec(|| {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                Ok(())
            })
        };
        let child = command
            .arg("--relay")
            .env("CORNELWINCH_CONFIG", &self.file)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("a descriptor"))
            .stderr(log)
            .spawn();
        self.child = Some(child.expect("the build command of the deploy file has run"));
    }

    /// Kills the process with SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    pub fn is_ready(&self) -> bool {
        let wait = Duration::from_millis(300);
        call(
            self.ready,
            "GET",
            "/v1/ready",
            &[("Host", "ready")],
            &[],
            wait,
        )
        .is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the machine is ready; false if it isn't in time.
    pub fn wait_ready(&self, wait: Duration) -> bool {
        let end = Instant::now() + wait;
        while !self.is_ready() {
            if Instant::now() > end {
                return false;
            }
            thread::sleep(Duration::from_millis(20));
        }
        true
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.kill();
    }
}
