use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// Time between two looks at an expected state.
const POLL: Duration = Duration::from_millis(20);

/// Failures kept as text; all are counted.
const KEPT: usize = 5;

/// Waits until a state is reached; false if it is not within `limit`.
pub fn wait_until(limit: Duration, mut reached: impl FnMut() -> bool) -> bool {
    let start = Instant::now();
    while !reached() {
        if start.elapsed() > limit {
            return false;
        }
        thread::sleep(POLL);
    }
    true
}

/// Sends a query to a host and returns the status and the answer.
///
/// # Errors
///
/// Returns the failure of the exchange as text.
pub fn query(host: SocketAddr, token: &str, request: &Value) -> Result<(u16, Value), String> {
    post(&agent(), host, token, request)
}

fn agent() -> ureq::Agent {
    ureq::Agent::new_with_config(
        ureq::Agent::config_builder()
            .http_status_as_error(false)
            .proxy(None)
            .build(),
    )
}

fn post(
    agent: &ureq::Agent,
    host: SocketAddr,
    token: &str,
    request: &Value,
) -> Result<(u16, Value), String> {
    let mut resp = agent
        .post(format!("http://{host}/v1/query"))
        .header("Authorization", format!("Bearer {token}"))
        .send_json(request)
        .map_err(|error| error.to_string())?;
    let status = resp.status().as_u16();
    let answer = resp.body_mut().read_json();
    Ok((status, answer.map_err(|error| error.to_string())?))
}

/// Queries sent one after another by each of some threads until stopped.
#[derive(Debug)]
pub struct Load {
    ended: Arc<AtomicBool>,
    answered: Arc<AtomicU64>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

/// What became of a [`Load`].
#[derive(Debug)]
pub struct LoadReport {
    /// Requests answered with full coverage.
    pub answered: u64,
    /// Requests that failed or were not covered in full.
    pub failed: usize,
    /// Texts of the first failures of each thread.
    pub failures: Vec<String>,
}

impl Load {
    /// Starts `threads` callers; each uses the targets in turn.
    pub fn spawn(targets: &[SocketAddr], search: &str, token: &str, threads: usize) -> Self {
        let ended = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicU64::new(0));
        let threads = (0..threads)
            .map(|first| {
                let (ended, answered) = (ended.clone(), answered.clone());
                let (targets, search, token) =
                    (targets.to_vec(), search.to_owned(), token.to_owned());
                thread::spawn(move || {
                    let agent = agent();
                    let mut failures = Vec::new();
                    for i in first.. {
                        if ended.load(Ordering::Relaxed) {
                            break;
                        }
                        let request = json!({ "search": search, "body": format!("5 diary {i}") });
                        match post(&agent, targets[i % targets.len()], &token, &request) {
                            Ok((200, answer)) if answer["coverage"] == 1.0 => {
                                answered.fetch_add(1, Ordering::Relaxed);
                            }
                            other => failures.push(format!("{other:?}")),
                        }
                    }
                    failures
                })
            })
            .collect();
        Self {
            ended,
            answered,
            threads,
        }
    }

    /// Waits until `count` more requests are answered; false if they are not
    /// within `limit`.
    pub fn wait_answered(&self, count: u64, limit: Duration) -> bool {
        let end = self.answered.load(Ordering::Relaxed) + count;
        wait_until(limit, || self.answered.load(Ordering::Relaxed) >= end)
    }

    /// Ends the load.
    ///
    /// # Panics
    ///
    /// Panics if a caller's thread has panicked.
    pub fn stop(self) -> LoadReport {
        self.ended.store(true, Ordering::Relaxed);
        let mut report = LoadReport {
            answered: 0,
            failed: 0,
            failures: Vec::new(),
        };
        for thread in self.threads {
            let failures = thread.join().expect("a caller's thread panicked");
            report.failed += failures.len();
            report.failures.extend(failures.into_iter().take(KEPT));
        }
        report.answered = self.answered.load(Ordering::Relaxed);
        report
    }
}
