use std::cell::RefCell;
use std::thread::JoinHandle;
use std::time::Duration;

use cornelwinch_standins::documents;
use cornelwinch_standins::upstream::{ColdStart, UpstreamFault};
use cornelwinch_types::{KeyRange, SnapshotId, SortedMap};
use serde_json::json;

use crate::{
    Caller, Deployment, DeploymentShape, HostProcess, HostProgram, LabError, Reply, RunKey,
    RunRequest, SearchShape, poll_until,
};

const SEARCH: &str = "stock";
const SHARDS: u32 = 2;
const SHARD_KEYS: u64 = 100;

/// Legs that an upstream runs at once; enough for all requests that a case
/// holds back.
const SLOTS: u32 = 16;

/// Deadline of requests that are to be answered. A new host is ready only after
/// the longest deadline, so that a higher one makes every start slower.
const LONG: Duration = Duration::from_secs(5);

/// Deadline of requests that are to pass it.
const SHORT: Duration = Duration::from_millis(400);

/// Longest wait for an event; it only bounds a run that has failed.
const EVENT_LIMIT: Duration = Duration::from_secs(30);

/// Waits for an event.
///
/// # Panics
///
/// Panics if it does not happen in time.
pub fn wait_until(event: &str, happened: impl FnMut() -> bool) {
    assert!(poll_until(EVENT_LIMIT, happened), "no event: {event}");
}

/// What identifies the requests of a case.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdKind {
    /// A ticket of the request's home.
    Ticket,
    /// A key of the caller; its first copy goes to the request's home.
    Own,
}

/// A small deployment for fault cases of non-idempotent requests: three hosts
/// in two availability zones, one search of two shards.
///
/// Requests go to the second shard, whose first upstream is owned by host 1,
/// the only one of its zone. Their home is host 0 unless a case says otherwise.
#[derive(Debug)]
pub struct FaultLab {
    /// The deployment.
    pub deployment: Deployment,
    kind: IdKind,
    orders: u32,
    /// Answers by description.
    answers: RefCell<SortedMap<String, u32>>,
}

type Sent = JoinHandle<Result<Reply, String>>;

impl FaultLab {
    /// Starts the deployment.
    ///
    /// # Errors
    ///
    /// Fails as [`Deployment::spawn`] does.
    pub fn spawn(kind: IdKind, program: &HostProgram) -> Result<Self, LabError> {
        let mut search = SearchShape::new(SEARCH, SHARDS);
        search.slots = SLOTS;
        search.connections = SLOTS * 4;
        search.connection_delay = Duration::ZERO;
        search.cold = ColdStart {
            limit: SLOTS,
            legs: 1,
            factor: 1.0,
            ..ColdStart::default()
        };
        search.policy.deadline_ms = LONG.as_millis() as u64;
        search.policy.hedge_quantile = None;
        let shape = DeploymentShape::new("test", 2, 3).with_search(search);
        let lab = Self {
            deployment: Deployment::spawn(shape, program)?,
            kind,
            orders: 0,
            answers: RefCell::default(),
        };
        lab.settle();
        Ok(lab)
    }

    /// A caller of a host.
    pub fn caller(&self, host: usize) -> Caller {
        let addr = self.deployment.hosts[host].caller();
        Caller::new(addr, SEARCH, Deployment::token(SEARCH))
    }

    /// A request whose home is host `home`.
    ///
    /// # Panics
    ///
    /// Panics if the host issues no ticket.
    pub fn order(&mut self, home: usize) -> RunRequest {
        self.orders += 1;
        let body = format!("3 order-{:03}", self.orders);
        let id = match self.kind {
            IdKind::Ticket => {
                let issued = self.caller(home).issue(1);
                RunKey::Ticket(issued.expect("the home answers").remove(0))
            }
            IdKind::Own => RunKey::Own(format!("key-{}", self.orders)),
        };
        RunRequest {
            id,
            key: SHARD_KEYS + 5,
            body,
            deadline: LONG,
        }
    }

    /// The same with a deadline that is to pass.
    pub fn short_order(&mut self, home: usize) -> RunRequest {
        RunRequest {
            deadline: SHORT,
            ..self.order(home)
        }
    }

    /// Times that the upstreams together started a request.
    pub fn runs(&self, req: &RunRequest) -> u32 {
        let upstreams = self.deployment.upstreams.iter();
        upstreams.map(|upstream| upstream.runs(&req.body)).sum()
    }

    /// Applies a fault to all upstreams.
    pub fn apply(&self, fault: &UpstreamFault) {
        for upstream in &self.deployment.upstreams {
            upstream.apply(fault.clone());
        }
    }

    /// Waits until every host is ready, has no request in progress nor a
    /// backlog, and the hosts agree on the owners.
    pub fn settle(&self) {
        wait_until("all hosts are ready and idle", || {
            let hosts = &self.deployment.hosts;
            let status: Vec<_> = hosts.iter().filter_map(HostProcess::status).collect();
            let idle = status.iter().all(|s| {
                let alive = s["members"].as_array().into_iter().flatten();
                let alive = alive.filter(|m| m["state"] == "Alive").count();
                s["ready"] == json!(true)
                    && s["confirmed"] == json!(true)
                    && s["runs"] == json!(0)
                    && s["legs"] == json!(0)
                    && s["backlog_ms"] == json!(0)
                    && alive == hosts.len()
            });
            let owned = |s: &serde_json::Value| s["owned"].as_array().map_or(0, Vec::len);
            let owned: usize = status.iter().map(owned).sum();
            idle && status.len() == hosts.len() && owned == self.deployment.upstreams.len()
        });
        // A request through each pair of hosts shows that their connections
        // work again after a fault.
        for host in 0..self.deployment.hosts.len() {
            wait_until("a host answers queries", || {
                let reply = self.caller(host).query("1 probe", LONG);
                reply.is_ok_and(|reply| reply.outcome() == "done")
            });
        }
    }

    /// Sends a request to a host and waits until it runs.
    pub fn start_running(&self, host: usize, req: &RunRequest) -> Sent {
        let sent = self.caller(host).start(req);
        wait_until("the request runs", || self.runs(req) == 1);
        sent
    }

    /// Describes the answer to a copy: `done` only with the rows it must have.
    pub fn describe(&self, req: &RunRequest, reply: Result<Reply, String>) -> String {
        let text = Self::description(req, reply);
        let mut answers = self.answers.borrow_mut();
        *answers.get_or_insert_with(text.clone(), || 0) += 1;
        text
    }

    /// Number of answers by description, for the output of a test.
    pub fn tally(&self) -> String {
        let answers = self.answers.borrow();
        let counts = answers.iter().map(|(text, n)| format!("{n} {text}"));
        counts.collect::<Vec<_>>().join(", ")
    }

    fn description(req: &RunRequest, reply: Result<Reply, String>) -> String {
        let Ok(reply) = reply else {
            return "cut".into();
        };
        let start = req.key / SHARD_KEYS * SHARD_KEYS;
        let range = KeyRange {
            start,
            end: start + SHARD_KEYS,
        };
        let rows = documents(SEARCH, SnapshotId(1), range, &req.body);
        match (reply.outcome(), reply.error()) {
            ("done", "") if *reply.hits() == json!(rows) => "done".into(),
            ("done", _) => "done with other rows".into(),
            // Several causes are seen at about the same time.
            ("unknown", _) => "unknown".into(),
            (outcome, error) => format!("{outcome} {error}"),
        }
    }

    /// Sends a copy to each of the hosts in turn. Gives the descriptions of
    /// the answers and the number of runs.
    pub fn resend(&self, req: &RunRequest, hosts: &[usize]) -> String {
        let req = RunRequest {
            deadline: LONG,
            ..req.clone()
        };
        let mut text = String::new();
        for host in hosts {
            let reply = self.caller(*host).run(&req);
            text += &format!("{}, ", self.describe(&req, reply));
        }
        text + &format!("runs {}", self.runs(&req))
    }

    /// As [`FaultLab::resend`], with the answer to the first copy in front.
    ///
    /// # Panics
    ///
    /// Panics if the thread of the first copy has panicked.
    pub fn finish(&self, req: &RunRequest, first: Sent, hosts: &[usize]) -> String {
        let first = first.join().expect("the caller's thread ends");
        format!("{}, {}", self.describe(req, first), self.resend(req, hosts))
    }
}
