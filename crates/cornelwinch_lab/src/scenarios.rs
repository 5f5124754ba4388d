//! Faults at each step of a non-idempotent request. Each scenario gives one
//! line for each request: the answers to its copies, and the number of runs.

use std::thread::JoinHandle;
use std::time::Duration;

use cornelwinch_standins::platform::{OutageMode, PlatformFault};
use cornelwinch_standins::upstream::UpstreamFault;

use crate::{FaultLab, Reply, RunRequest, wait_until};

/// Deadline of requests that are to start, and then to pass it.
const MEDIUM: Duration = Duration::from_secs(2);

/// Upstream that requests go to first, and the host that owns it.
const UPSTREAM: &str = "stock-001-0";
const OWNER: usize = 1;
/// Host that has the requests, and one that forwards to it.
const HOME: usize = 0;
const OTHER: usize = 2;
const BOTH: [usize; 2] = [HOME, OTHER];

/// Keys tried until one falls into a bucket that the host has read before.
const KEYS_TRIED: u32 = 200;

type Sent = JoinHandle<Result<Reply, String>>;

impl FaultLab {
    fn medium_order(&mut self) -> RunRequest {
        RunRequest {
            deadline: MEDIUM,
            ..self.order(HOME)
        }
    }

    fn field(&self, host: usize, name: &str) -> u64 {
        let status = self.deployment.hosts[host].status();
        status
            .and_then(|status| status[name].as_u64())
            .unwrap_or_default()
    }

    /// Sends a copy to a host and waits until it counts `runs` requests.
    fn start_copy(&self, host: usize, req: &RunRequest, runs: u64) -> Sent {
        let sent = self.caller(host).start(req);
        wait_until("the copy has arrived", || self.field(host, "runs") == runs);
        sent
    }

    /// Sends a request to an upstream that is frozen, so that it waits there.
    fn start_waiting(&self, req: &RunRequest) -> Sent {
        let upstream = self.deployment.upstream(UPSTREAM);
        let before = upstream.held_legs();
        let sent = self.caller(HOME).start(req);
        wait_until("the leg has arrived", || upstream.held_legs() == before + 1);
        sent
    }

    fn wait_run(&self, req: &RunRequest) {
        wait_until("the held request runs", || self.runs(req) == 1);
    }

    /// Cuts the caller's connection before the request is whole, while it runs
    /// and before its answer is read, at its home and at another host.
    pub fn cut_callers(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        for via in BOTH {
            let caller = self.caller(via);
            let before = self.order(HOME);
            drop(caller.send_bytes(&before, 200));
            lines.push(self.resend(&before, &BOTH));

            let during = self.order(HOME);
            self.apply(&UpstreamFault::Hold);
            let conn = caller.send_bytes(&during, usize::MAX);
            self.wait_run(&during);
            drop(conn);
            self.apply(&UpstreamFault::Release);
            lines.push(self.resend(&during, &BOTH));

            let after = self.order(HOME);
            let conn = caller.send_bytes(&after, usize::MAX);
            self.wait_run(&after);
            self.settle();
            drop(conn);
            lines.push(self.resend(&after, &BOTH));
        }
        lines
    }

    /// Sends a copy to each host while the request runs, and then one with
    /// another body.
    ///
    /// # Panics
    ///
    /// Panics if the thread of a caller has panicked.
    pub fn join_copies(&mut self) -> Vec<String> {
        self.settle();
        let req = self.order(HOME);
        self.apply(&UpstreamFault::Hold);
        let first = self.start_running(HOME, &req);
        let copy = self.start_copy(OTHER, &req, 1);
        self.apply(&UpstreamFault::Release);
        let copy = copy.join().expect("the caller's thread ends");
        let copies = format!(
            "{}, {}",
            self.describe(&req, copy),
            self.finish(&req, first, &BOTH)
        );
        let changed = RunRequest {
            body: format!("{} changed", req.body),
            ..req
        };
        vec![copies, self.resend(&changed, &BOTH)]
    }

    /// Kills the home while one request has been answered, one runs and one
    /// waits, then starts it again. The lines give the first copies at another
    /// host, then copies while the home is away and once it is back.
    ///
    /// # Panics
    ///
    /// Panics if the home cannot be started again.
    pub fn kill_home(&mut self) -> Vec<String> {
        self.settle();
        let answered = self.order(HOME);
        let first = self.resend(&answered, &[HOME, OTHER]);
        let (running, waiting) = (self.order(HOME), self.order(HOME));
        self.apply(&UpstreamFault::Hold);
        let own_running = self.start_running(HOME, &running);
        let copy_running = self.start_copy(OTHER, &running, 1);
        self.apply(&UpstreamFault::Freeze);
        let own_waiting = self.start_waiting(&waiting);
        let copy_waiting = self.start_copy(OTHER, &waiting, 2);
        self.deployment.hosts[HOME].kill();
        for sent in [own_running, own_waiting] {
            let reply = sent.join().expect("the caller's thread ends");
            assert!(reply.is_err(), "answered by a killed host: {reply:?}");
        }
        self.apply(&UpstreamFault::Resume);
        self.wait_run(&waiting);
        self.apply(&UpstreamFault::Release);
        let away = [OWNER, OTHER];
        let mut lines = vec![
            format!("{first}; {}", self.resend(&answered, &away)),
            self.finish(&running, copy_running, &away),
            self.finish(&waiting, copy_waiting, &away),
        ];
        let started = self.deployment.hosts[HOME].start();
        started.expect("the program starts again");
        self.settle();
        for (line, req) in lines.iter_mut().zip([&answered, &running, &waiting]) {
            *line += &format!("; {}", self.resend(req, &BOTH));
        }
        lines
    }

    /// Kills the home after the result of a request was recorded, while another
    /// host knows the claim without its result and still counts the home as
    /// alive. The line gives the copies before the kill, one at the other host
    /// right after it, and one once the home is back.
    ///
    /// # Panics
    ///
    /// Panics if the thread of a caller has panicked or the home cannot be
    /// started again.
    pub fn kill_recorded_home(&mut self) -> String {
        self.settle();
        let req = self.order(HOME);
        self.apply(&UpstreamFault::Hold);
        let own = self.start_running(HOME, &req);
        let copy = self.start_copy(OTHER, &req, 1);
        self.apply(&UpstreamFault::Release);
        let copy = copy.join().expect("the caller's thread ends");
        let first = format!(
            "{}, {}",
            self.describe(&req, copy),
            self.finish(&req, own, &[])
        );
        wait_until("the result is recorded", || self.field(HOME, "claims") == 0);
        self.deployment.hosts[HOME].kill();
        let away = self.resend(&req, &[OTHER]);
        let started = self.deployment.hosts[HOME].start();
        started.expect("the program starts again");
        self.settle();
        format!("{first}; {away}; {}", self.resend(&req, &[HOME]))
    }

    /// Freezes the home past the deadline while one request has been
    /// answered, one runs and one is on its way to it.
    ///
    /// # Panics
    ///
    /// Panics if the thread of a caller has panicked.
    pub fn freeze_home(&mut self) -> Vec<String> {
        self.settle();
        let answered = self.order(HOME);
        let first = self.resend(&answered, &BOTH);
        let (running, waiting) = (self.medium_order(), self.short_order(HOME));
        let later = self.order(HOME);
        self.apply(&UpstreamFault::Hold);
        let own = self.start_running(HOME, &running);
        let copy = self.start_copy(OTHER, &running, 1);
        self.deployment.hosts[HOME].freeze();
        let conn = self.caller(HOME).send_bytes(&waiting, usize::MAX);
        let late = self.caller(OTHER).run(&waiting);
        let late = self.describe(&waiting, late);
        let copy = copy.join().expect("the caller's thread ends");
        self.deployment.hosts[HOME].resume();
        let running_line = format!(
            "{}, {}",
            self.describe(&running, copy),
            self.finish(&running, own, &BOTH)
        );
        self.apply(&UpstreamFault::Release);
        // Messages between two hosts keep their order: an answer to this one
        // shows that the home has taken the one that waited.
        self.resend(&later, &[OTHER]);
        let lines = vec![
            format!("{first}; {}", self.resend(&answered, &BOTH)),
            running_line,
            format!("{late}, {}", self.resend(&waiting, &BOTH)),
        ];
        drop(conn);
        lines
    }

    /// Restarts the upstream while a request runs, freezes it past the
    /// deadline while one runs and while one waits, and stops it before one.
    pub fn lose_upstream(&mut self) -> Vec<String> {
        self.settle();
        let restarted = self.order(HOME);
        self.apply(&UpstreamFault::Hold);
        let sent = self.start_running(HOME, &restarted);
        self.deployment
            .upstream(UPSTREAM)
            .apply(UpstreamFault::Restart);
        let mut lines = vec![self.finish(&restarted, sent, &BOTH)];

        let running = self.medium_order();
        let sent = self.start_running(HOME, &running);
        self.apply(&UpstreamFault::Freeze);
        let waiting = self.medium_order();
        let waiting_sent = self.start_waiting(&waiting);
        lines.push(self.finish(&running, sent, &BOTH));
        let waiting_line = self.finish(&waiting, waiting_sent, &[]);
        self.apply(&UpstreamFault::Resume);
        self.wait_run(&waiting);
        self.apply(&UpstreamFault::Release);
        lines.push(format!("{waiting_line}; {}", self.resend(&waiting, &BOTH)));

        let stopped = self.order(HOME);
        let upstream = self.deployment.upstream(UPSTREAM).clone();
        upstream.apply(UpstreamFault::Stop);
        lines.push(self.resend(&stopped, &BOTH));
        upstream.apply(UpstreamFault::Start);
        lines
    }

    /// Freezes the owner of the upstream past the deadline while one request
    /// runs and one is on its way to it.
    pub fn freeze_owner(&mut self) -> Vec<String> {
        self.settle();
        let (running, waiting) = (self.medium_order(), self.short_order(HOME));
        let later = self.order(HOME);
        self.apply(&UpstreamFault::Hold);
        let sent = self.start_running(HOME, &running);
        self.deployment.hosts[OWNER].freeze();
        let late = self.caller(HOME).start(&waiting);
        let mut lines = vec![
            self.finish(&running, sent, &BOTH),
            self.finish(&waiting, late, &[]),
        ];
        self.deployment.hosts[OWNER].resume();
        self.apply(&UpstreamFault::Release);
        self.resend(&later, &[HOME]);
        lines[1] += &format!("; {}", self.resend(&waiting, &BOTH));
        lines
    }

    /// Kills the owner of the upstream while one request runs and one waits.
    pub fn kill_owner(&mut self) -> Vec<String> {
        self.settle();
        let (running, waiting) = (self.order(HOME), self.order(HOME));
        self.apply(&UpstreamFault::Hold);
        let running_sent = self.start_running(HOME, &running);
        self.apply(&UpstreamFault::Freeze);
        let waiting_sent = self.start_waiting(&waiting);
        self.deployment.hosts[OWNER].kill();
        let mut lines = vec![self.finish(&running, running_sent, &BOTH)];
        let line = self.finish(&waiting, waiting_sent, &[]);
        self.apply(&UpstreamFault::Resume);
        self.wait_run(&waiting);
        self.apply(&UpstreamFault::Release);
        lines.push(format!("{line}; {}", self.resend(&waiting, &BOTH)));
        lines
    }

    /// Sends one request while the platform is away in each way, then again
    /// until it is taken.
    pub fn lose_platform(&mut self) -> Vec<String> {
        let modes = [
            OutageMode::Unavailable,
            OutageMode::Reset,
            OutageMode::Silent,
        ];
        let mut lines = Vec::new();
        for mode in modes {
            let known = self.order(HOME);
            self.resend(&known, &[HOME]);
            self.settle();
            let apply_writes = false;
            let outage = PlatformFault::Outage { mode, apply_writes };
            let req = self.order(HOME);
            self.deployment.platform.apply(outage);
            let away = self.resend(&req, &BOTH);
            let known = self.resend(&known, &[HOME]);
            self.deployment.platform.apply(PlatformFault::Recover);
            lines.push(format!("{away}; {}; known {known}", self.retry(&req, HOME)));
        }
        lines
    }

    /// Runs a request while the platform gives no answers.
    pub fn run_in_outage(&mut self) -> String {
        self.deployment.platform.apply(PlatformFault::Outage {
            mode: OutageMode::Silent,
            apply_writes: false,
        });
        let req = self.order(HOME);
        let line = self.resend(&req, &BOTH);
        self.deployment.platform.apply(PlatformFault::Recover);
        line
    }

    /// Failed invariant checks of the hosts that run.
    pub fn violations(&self) -> u64 {
        let hosts = 0..self.deployment.hosts.len();
        hosts.map(|host| self.field(host, "violations")).sum()
    }

    /// Loses the answers to the writes of a claim and of its result.
    pub fn lose_write_answers(&mut self) -> Vec<String> {
        let modes = [
            OutageMode::Unavailable,
            OutageMode::Reset,
            OutageMode::Silent,
        ];
        let mut lines = Vec::new();
        for mode in modes {
            let req = self.order(HOME);
            let lost = self.deployment.platform.counters().answers_lost + 2;
            let fault = PlatformFault::LoseWriteAnswers { writes: 2, mode };
            self.deployment.platform.apply(fault);
            let line = self.resend(&req, &BOTH);
            wait_until("both answers are lost", || {
                self.deployment.platform.counters().answers_lost == lost
            });
            lines.push(line);
        }
        lines
    }

    /// Applies the write of a claim in an outage, so that its host cannot know
    /// of it, and sends the request to another host once the outage is over.
    ///
    /// # Panics
    ///
    /// Panics if no key falls into a bucket that the host has read.
    pub fn apply_unseen_claim(&mut self) -> String {
        self.settle();
        let platform = self.deployment.platform.clone();
        platform.apply(PlatformFault::Outage {
            mode: OutageMode::Reset,
            apply_writes: true,
        });
        let before = platform.counters().writes_applied;
        for _ in 0..KEYS_TRIED {
            let req = self.order(HOME);
            let first = self.resend(&req, &[HOME]);
            if platform.counters().writes_applied > before {
                platform.apply(PlatformFault::Recover);
                return format!("{first}; {}", self.retry(&req, OTHER));
            }
        }
        panic!("no key of a bucket that host {HOME} has read");
    }

    /// Sends a request to a host until it is taken, then until the other one
    /// has found the platform again too.
    fn retry(&self, req: &RunRequest, first: usize) -> String {
        for host in [first, HOME, OTHER] {
            wait_until("the platform is back", || {
                !self
                    .resend(req, &[host])
                    .starts_with("not_run unclaimed_platform_away")
            });
        }
        self.resend(req, &BOTH)
    }
}
