//! Processes of the project, started with the command of `deploy/system.toml`.

use std::net::{SocketAddr, TcpListener};
use std::os::unix::process::{CommandExt, ExitStatusExt};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use crate::http;
use crate::record::Record;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// Option of `prctl`: the signal that a process gets when its parent ends.
const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

pub const SIGTERM: i32 = 15;

/// Bounds of the site, as `DEPLOY.md` gives them to a process.
pub const STABLE_WINDOW: Duration = Duration::from_millis(4_000);
pub const GRACE: Duration = Duration::from_secs(6);

pub struct Relay {
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    child: Child,
    record: Arc<Record>,
    /// Number of ends that no signal asked for.
    pub own_ends: usize,
    asked_to_stop: bool,
}

/// Returns an address with a free port below those that the system gives to outgoing connections,
/// so that it is still free when a process starts again.
fn free_address() -> SocketAddr {
    static TRIED: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = std::process::id() * 64 + TRIED.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(10_000 + n % 20_000).expect("below 30,000");
        let addr = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(addr).is_ok() {
            return addr;
        }
    }
}

impl Relay {
    /// Starts a relay with the settings that `platform/settings.jsonc` gives on a small site.
    pub fn start(
        dir: &std::path::Path,
        record: &Arc<Record>,
        name: &str,
        zone: &str,
        store: SocketAddr,
    ) -> Self {
        let [front, ready, metrics, peer] = std::array::from_fn(|_| free_address());
        let text = format!(
            r#"{{
    "host": "{name}", "zone": "{zone}", "caller": "{front}", "readiness": "{ready}",
    "metrics": "{metrics}", "peer": "{peer}", "store": "{store}", "memory_mb": 390,
    "bounds": {{
        "stable_ms": 4000, "grace_s": 6, "repeat_ratio": 0.2, "repeat_window_s": 10,
        "repeat_slack": 54, "cold_overshoot": 1.5, "cold_slack": 5
    }}
}}"#
        );
        let settings = dir.join(format!("{name}.jsonc"));
        std::fs::write(&settings, text).expect("the temporary folder can be written");
        let child = spawn(&settings);
        record.line(&format!("start relay={name} zone={zone}"));
        Self {
            name: name.to_owned(),
            front,
            ready,
            settings,
            child,
            record: record.clone(),
            own_ends: 0,
            asked_to_stop: false,
        }
    }

    pub fn is_ready(&self) -> bool {
        let request = http::message("GET /v1/ready HTTP/1.1", &[("Host", "ready")], b"");
        http::call(self.ready, &request, Duration::from_millis(500))
            .is_ok_and(|answer| answer.status == 200)
    }

    /// Waits until the relay is ready; false if it is not within ten seconds.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                self.record.line(&format!("ready relay={}", self.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&mut self, signal: i32) {
        self.record
            .line(&format!("signal relay={} number={signal}", self.name));
        self.asked_to_stop |= signal == SIGTERM;
        // SAFETY: the call takes numbers only, and the process is a child that was not waited for.
        unsafe { kill(i32::try_from(self.child.id()).unwrap_or(0), signal) };
    }

    /// Returns true if the process has ended, and counts it if nothing asked it to.
    pub fn has_ended(&mut self) -> bool {
        let Ok(Some(status)) = self.child.try_wait() else {
            return false;
        };
        self.record.line(&format!(
            "end relay={} code={:?} signal={:?} asked={}",
            self.name,
            status.code(),
            status.signal(),
            self.asked_to_stop
        ));
        self.own_ends += usize::from(!self.asked_to_stop);
        true
    }

    /// Starts the process again, as the platform does after a short delay.
    pub fn start_again(&mut self) {
        self.asked_to_stop = false;
        self.child = spawn(&self.settings);
        self.record
            .line(&format!("start relay={} again", self.name));
    }

    /// Stops the process as the platform does: SIGTERM, then SIGKILL after the grace time.
    pub fn stop_and_start_again(&mut self) {
        self.signal(SIGTERM);
        let end = Instant::now() + GRACE;
        while !self.has_ended() {
            if Instant::now() >= end {
                let _ = self.child.kill();
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        self.start_again();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(settings: &std::path::Path) -> Child {
    let log = settings.with_extension("log");
    let log = std::fs::OpenOptions::new()
        .create(true)
        .append(true)
        .open(log)
        .expect("a log file");
    let mut command = Command::new("target/release/cornelwinchd");
    // SAFETY: `prctl` may be called between fork and exec. No process outlives the script.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        });
    }
    command
        .arg("--relay")
        .env("CORNELWINCH_CONFIG", settings)
        .stdout(log.try_clone().expect("a log file"))
        .stderr(log)
        .stdin(Stdio::null())
        .spawn()
        .expect("the program is built")
}
