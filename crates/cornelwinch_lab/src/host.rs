use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use cornelwinch_types::Name;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use snafu::ResultExt;

use crate::LabError;
use crate::error::StartSnafu;

/// Time between two looks at a host that is starting or stopping.
const POLL: Duration = Duration::from_millis(20);

/// Time between two looks at a process that is being paused, and the longest time for it.
const FREEZE_POLL: Duration = Duration::from_millis(1);
const FREEZE_TIMEOUT: Duration = Duration::from_secs(5);

const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Program that runs a host; `--settings FILE` is added to its arguments.
#[derive(Debug, Clone)]
pub struct HostProgram {
    /// The executable.
    pub path: PathBuf,
    /// Arguments before `--settings`.
    pub args: Vec<OsString>,
}

impl HostProgram {
    /// A program without arguments of its own, such as `cornelwinchd`.
    pub fn new(path: impl Into<PathBuf>) -> Self {
        Self {
            path: path.into(),
            args: Vec::new(),
        }
    }
}

/// Addresses of one host.
#[derive(Debug, Clone, Copy)]
pub(crate) struct HostAddrs {
    pub(crate) caller: SocketAddr,
    pub(crate) peer: SocketAddr,
    pub(crate) gossip: SocketAddr,
    pub(crate) operator: SocketAddr,
}

/// A host as a process of its own; it is killed on drop.
#[derive(Debug)]
pub struct HostProcess {
    name: Name,
    zone: Name,
    addrs: HostAddrs,
    program: HostProgram,
    settings: PathBuf,
    token: String,
    child: Option<Child>,
}

impl HostProcess {
    pub(crate) fn spawn(
        name: Name,
        zone: Name,
        addrs: HostAddrs,
        program: &HostProgram,
        settings: &Path,
        token: &str,
    ) -> Result<Self, LabError> {
        let mut host = Self {
            name,
            zone,
            addrs,
            program: program.clone(),
            settings: settings.to_owned(),
            token: token.to_owned(),
            child: None,
        };
        host.start()?;
        Ok(host)
    }

    /// Starts the process again after it has ended.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be started.
    pub fn start(&mut self) -> Result<(), LabError> {
        let child = Command::new(&self.program.path)
            .args(&self.program.args)
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .spawn()
            .context(StartSnafu {
                host: self.name.to_string(),
            })?;
        self.child = Some(child);
        Ok(())
    }

    /// Name of the host.
    pub fn name(&self) -> &Name {
        &self.name
    }

    /// Availability zone of the host.
    pub fn zone(&self) -> &Name {
        &self.zone
    }

    /// Address for callers.
    pub fn caller(&self) -> SocketAddr {
        self.addrs.caller
    }

    /// Address for operators.
    pub fn operator(&self) -> SocketAddr {
        self.addrs.operator
    }

    /// Process id while the process runs.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    /// Reports whether the host may get requests.
    pub fn is_ready(&self) -> bool {
        let url = format!("http://{}/v1/ready", self.addrs.caller);
        agent().get(url).call().is_ok()
    }

    /// The host's status, if it answers.
    pub fn status(&self) -> Option<Value> {
        self.ask_operator("status")
    }

    /// Bytes that the host has exchanged with others, if it answers.
    pub fn traffic(&self) -> Option<Value> {
        self.ask_operator("traffic")
    }

    fn ask_operator(&self, call: &str) -> Option<Value> {
        let url = format!("http://{}/v1/{call}", self.addrs.operator);
        let mut resp = agent()
            .get(url)
            .header("Authorization", format!("Bearer {}", self.token))
            .call()
            .ok()?;
        resp.body_mut().read_json().ok()
    }

    /// Waits until the host may get requests.
    ///
    /// # Errors
    ///
    /// Fails if it is not ready within `limit`.
    pub fn wait_ready(&self, limit: Duration) -> Result<(), LabError> {
        let start = Instant::now();
        while !self.is_ready() {
            if start.elapsed() > limit {
                return Err(LabError::NotReady {
                    host: self.name.to_string(),
                    waited_ms: start.elapsed().as_millis(),
                });
            }
            thread::sleep(POLL);
        }
        Ok(())
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid().and_then(|pid| i32::try_from(pid).ok()) {
            // The process may have ended on its own.
            let _ = kill(Pid::from_raw(pid), signal);
        }
    }

    /// Kills the process at once.
    pub fn kill(&mut self) {
        self.signal(Signal::SIGKILL);
        // A stopped process is reaped like any other once it is killed.
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
        }
    }

    /// Pauses the process, and waits until all its threads have stopped. On a busy machine a thread
    /// may otherwise still handle what arrives after the signal.
    ///
    /// # Panics
    ///
    /// Panics if a thread does not stop within 5 s.
    pub fn freeze(&self) {
        self.signal(Signal::SIGSTOP);
        let start = Instant::now();
        while !self.is_stopped() {
            assert!(
                start.elapsed() < FREEZE_TIMEOUT,
                "the process does not stop"
            );
            thread::sleep(FREEZE_POLL);
        }
    }

    fn is_stopped(&self) -> bool {
        let Some(child) = &self.child else {
            return true;
        };
        let Ok(tasks) = std::fs::read_dir(format!("/proc/{}/task", child.id())) else {
            return true;
        };
        tasks.flatten().all(|task| {
            // The state follows the name in parentheses. A thread that has ended has no file.
            let stat = std::fs::read_to_string(task.path().join("stat")).unwrap_or_default();
            let state = stat.rsplit_once(") ").map(|(_, rest)| rest.as_bytes()[0]);
            state.is_none_or(|state| state == b'T')
        })
    }

    /// Resumes the process after [`HostProcess::freeze`].
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Asks the process to stop gracefully.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Waits for the end of the process; `None` if it still runs after `limit`.
    pub fn wait_exit(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        let child = self.child.as_mut()?;
        loop {
            match child.try_wait() {
                Ok(Some(status)) => {
                    self.child = None;
                    return Some(status);
                }
                Ok(None) if start.elapsed() < limit => thread::sleep(POLL),
                _ => return None,
            }
        }
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .timeout_global(Some(CALL_TIMEOUT))
            .proxy(None)
            .build(),
    )
}
