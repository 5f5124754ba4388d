use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use cornelwinch_standins::upstream::UpstreamFault;
use serde_json::Value;

use crate::{Caller, FaultLab, Reply, RunKey, RunRequest, wait_until};

/// Callers of each kind at each host.
const CALLERS: usize = 2;

/// Requests that each kind of caller has answered before the shutdown, and
/// again after it at the hosts that stay.
const ENOUGH: u32 = 40;

/// Deadline of the load's requests.
const DEADLINE: Duration = Duration::from_secs(5);

/// Time for which requests are held after the ownerships are handed over. It is
/// longer than the second for which a host without work stays, so that a host
/// that does not wait for its work has left.
const HOLD: Duration = Duration::from_millis(1_500);

/// Longest time for a host to exit once nothing is in progress.
const EXIT_LIMIT: Duration = Duration::from_secs(20);

/// What a shutdown under load did.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Answers to the load's requests that are not `done`, by text.
    pub failed: Vec<String>,
    /// Answers to requests held over the whole shutdown.
    pub held: Vec<String>,
    /// The host answered a query that it got after its readiness was off.
    pub late: String,
    /// Whether the host was still running after the second signal, with its
    /// ownerships handed over.
    pub waited: bool,
    /// Exit code.
    pub code: Option<i32>,
    /// Copy of a finished key at a host that stays, after the exit.
    pub resent: String,
}

/// Load on all hosts.
struct Load {
    stop: Arc<AtomicBool>,
    /// Requests done by host, queries and tickets.
    done: Vec<[Arc<AtomicU32>; 2]>,
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl FaultLab {
    /// Shuts a host down while queries and tickets run through all hosts.
    ///
    /// # Panics
    ///
    /// Panics if a step of the shutdown does not happen in time.
    pub fn drain_under_load(&mut self, host: usize) -> DrainReport {
        let other = (host + 1) % self.deployment.hosts.len();
        let mut load = self.start_load();
        load.wait(&[0, 1, 2], ENOUGH);

        self.apply(&UpstreamFault::Hold);
        let own = self.order(host);
        let forwarded_in = self.order(host);
        let forwarded_out = self.order(other);
        let claim = RunRequest {
            id: RunKey::Own("drained".into()),
            ..self.order(host)
        };
        let runs: Vec<_> = [
            (host, own),
            (other, forwarded_in),
            (host, forwarded_out),
            (host, claim.clone()),
        ]
        .into_iter()
        .map(|(via, req)| (self.start_running(via, &req), req))
        .collect();
        let queries = [host, other].map(|via| self.start_query(via));
        wait_until("the queries run", || {
            [host, other].iter().all(|via| self.queries(*via) > 0)
        });

        self.deployment.hosts[host].terminate();
        wait_until("readiness is off", || {
            !self.deployment.hosts[host].is_ready()
        });
        let late = self.start_query(host);
        wait_until("ownership is handed over", || {
            let owned: Vec<usize> = (0..3).map(|host| self.owned(host)).collect();
            owned[host] == 0 && owned.iter().sum::<usize>() == self.deployment.upstreams.len()
        });
        self.deployment.hosts[host].terminate();
        thread::sleep(HOLD);
        let waited = self.deployment.hosts[host]
            .wait_exit(Duration::ZERO)
            .is_none();
        self.apply(&UpstreamFault::Release);

        let mut report = DrainReport {
            waited,
            ..DrainReport::default()
        };
        for (sent, req) in runs {
            let reply = sent.join().expect("the caller's thread ends");
            report.held.push(self.describe(&req, reply));
        }
        for query in queries {
            report.held.push(joined(query));
        }
        report.late = joined(late);
        let exit = self.deployment.hosts[host].wait_exit(EXIT_LIMIT);
        report.code = exit.and_then(|status| status.code());
        report.resent = self.resend(&claim, &[other]);
        load.reset();
        load.wait(&[other, (host + 2) % 3], ENOUGH);
        report.failed = load.end();
        report
    }

    fn start_query(&self, via: usize) -> JoinHandle<Result<Reply, String>> {
        let caller = self.caller(via);
        thread::spawn(move || caller.query("3 held", DEADLINE))
    }

    fn status_of(&self, host: usize) -> Value {
        self.deployment.hosts[host].status().unwrap_or_default()
    }

    fn queries(&self, host: usize) -> u64 {
        self.status_of(host)["queries"].as_u64().unwrap_or_default()
    }

    fn owned(&self, host: usize) -> usize {
        self.status_of(host)["owned"].as_array().map_or(0, Vec::len)
    }

    fn start_load(&mut self) -> Load {
        let mut load = Load {
            stop: Arc::default(),
            done: Vec::new(),
            threads: Vec::new(),
        };
        let hosts = self.deployment.hosts.len();
        for host in 0..hosts {
            let done: [Arc<AtomicU32>; 2] = Default::default();
            for i in 0..CALLERS {
                let callers = [host, (host + 1 + i) % hosts];
                for (tickets, done) in [(false, &done[0]), (true, &done[1])] {
                    let (done, stop) = (done.clone(), load.stop.clone());
                    let callers = callers.map(|host| self.caller(host).keep_alive());
                    let name = format!("{host}.{i}");
                    load.threads.push(thread::spawn(move || {
                        run_load(&callers, &name, tickets, &done, &stop)
                    }));
                }
            }
            load.done.push(done);
        }
        load
    }
}

impl Load {
    fn wait(&self, hosts: &[usize], enough: u32) {
        wait_until("the load runs through the hosts", || {
            let counts = hosts.iter().flat_map(|host| &self.done[*host]);
            counts
                .into_iter()
                .all(|done| done.load(Ordering::Relaxed) >= enough)
        });
    }

    fn reset(&mut self) {
        for done in self.done.iter().flatten() {
            done.store(0, Ordering::Relaxed);
        }
    }

    /// Stops the callers; gives the answers that are not `done`.
    fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::Relaxed);
        let threads = self.threads.into_iter();
        let failed = threads.map(|thread| thread.join().expect("a caller's thread ends"));
        failed.flatten().collect()
    }
}

/// Sends requests as a load balancer does: none to a host that is not ready.
/// The first caller is at the host of the load, the second runs its tickets.
fn run_load(
    callers: &[Caller; 2],
    name: &str,
    tickets: bool,
    done: &AtomicU32,
    stop: &AtomicBool,
) -> Vec<String> {
    let mut failed = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) || !callers[0].is_ready() {
            break;
        }
        let reply = if tickets {
            let runner = &callers[usize::from(callers[1].is_ready())];
            callers[0].issue(1).and_then(|issued| {
                runner.run(&RunRequest {
                    id: RunKey::Ticket(issued[0].clone()),
                    key: 5,
                    body: format!("2 load-{name}-{number}"),
                    deadline: DEADLINE,
                })
            })
        } else {
            callers[0].query("2 load", DEADLINE)
        };
        match outcome(reply) {
            text if text == "done" => {
                done.fetch_add(1, Ordering::Relaxed);
            }
            text => failed.push(format!("{name} tickets={tickets}: {text}")),
        }
    }
    failed
}

fn joined(query: JoinHandle<Result<Reply, String>>) -> String {
    outcome(query.join().expect("a caller's thread ends"))
}

/// `done` for a whole answer, else its outcome or the transport error.
fn outcome(reply: Result<Reply, String>) -> String {
    match reply {
        Ok(reply) if reply.outcome() == "done" && reply.error().is_empty() => "done".into(),
        Ok(reply) => format!("{} {}", reply.outcome(), reply.error()),
        Err(error) => error,
    }
}
