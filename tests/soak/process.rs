//! A host as a process of its own.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::lab::free_addr;

/// Repeats beyond the ratio that the settings allow at first.
const REPEAT_SLACK: u32 = 56;

/// A running host; it is killed when it is dropped.
pub(crate) struct Process {
    child: Child,
    n: usize,
    file: PathBuf,
    store: SocketAddr,
    peer: SocketAddr,
    pub(crate) caller: SocketAddr,
    pub(crate) readiness: SocketAddr,
    pub(crate) metrics: SocketAddr,
}

impl Process {
    /// Starts the host with this number; its settings lie in the folder.
    pub(crate) fn start(folder: &Path, n: usize, store: SocketAddr) -> Self {
        let file = folder.join(format!("h{n}.jsonc"));
        let (caller, readiness) = (free_addr(), free_addr());
        let (metrics, peer) = (free_addr(), free_addr());
        let addresses = Addresses {
            caller,
            readiness,
            metrics,
            peer,
            store,
        };
        std::fs::write(&file, addresses.settings(n, REPEAT_SLACK)).unwrap();
        Self {
            child: spawn(&file),
            n,
            file,
            store,
            peer,
            caller,
            readiness,
            metrics,
        }
    }

    /// Sends a signal.
    pub(crate) fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).unwrap();
        kill(Pid::from_raw(pid), signal).unwrap();
    }

    /// Kills the host and starts it again.
    pub(crate) fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        self.child.wait().unwrap();
        self.child = spawn(&self.file);
    }

    /// Starts the host again if it has ended.
    pub(crate) fn revive(&mut self) {
        if self.child.try_wait().unwrap().is_some() {
            self.child = spawn(&self.file);
        }
    }

    /// Changes the settings file and says so to the host.
    pub(crate) fn change_settings(&self, repeat_slack: u32) {
        let addresses = Addresses {
            caller: self.caller,
            readiness: self.readiness,
            metrics: self.metrics,
            peer: self.peer,
            store: self.store,
        };
        std::fs::write(&self.file, addresses.settings(self.n, repeat_slack)).unwrap();
        self.signal(Signal::SIGHUP);
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // It may have ended by itself.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn spawn(file: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_cornelwinchd"))
        .arg("--relay")
        .arg("--settings")
        .arg(file)
        .stdout(Stdio::null())
        .spawn()
        .unwrap()
}

struct Addresses {
    caller: SocketAddr,
    readiness: SocketAddr,
    metrics: SocketAddr,
    peer: SocketAddr,
    store: SocketAddr,
}

impl Addresses {
    fn settings(&self, n: usize, repeat_slack: u32) -> String {
        let Self {
            caller,
            readiness,
            metrics,
            peer,
            store,
        } = self;
        format!(
            r#"{{"host": "h{n}", "zone": "z{n}", "caller": "{caller}", "readiness": "{readiness}",
            "metrics": "{metrics}", "peer": "{peer}", "store": "{store}", "log": "warn",
            "bounds": {{"stable_ms": 4000, "grace_s": 1, "repeat_ratio": 0.2,
                "repeat_window_s": 10, "repeat_slack": {repeat_slack},
                "cold_overshoot": 1.5, "cold_slack": 5}}}}"#
        )
    }
}
