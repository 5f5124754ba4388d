use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use cornelwinch_types::{
    AttemptId, Hit, KeyRange, LegAnswer, LegFailure, LegRequest, LegResult, Name, Refusal,
    SnapshotId, UpstreamSigns,
};
use crossbeam_channel::{Receiver, Sender, bounded, unbounded};
use serde::{Deserialize, Serialize};
use ureq::Agent;

/// Time after which an idle worker thread ends.
const WORKER_IDLE: Duration = Duration::from_secs(30);

/// Longest time for a new connection; the brief names 6 ms for a slow one.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time that an upstream may answer after the deadline, so that a refusal or
/// an answer on the edge still arrives.
const ANSWER_GRACE: Duration = Duration::from_millis(20);

/// Longest time for a cancellation or a health probe.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer of one leg that is read.
const ANSWER_LIMIT_BYTES: u64 = 16 << 20;

/// What an upstream's client reports.
#[derive(Debug)]
pub enum UpstreamEvent {
    /// An attempt has ended.
    Finished {
        /// Name of the upstream.
        upstream: Name,
        /// The attempt.
        attempt: AttemptId,
        /// What became of it.
        result: LegResult,
        /// What the exchange showed about the upstream.
        signs: UpstreamSigns,
    },
    /// A health probe was answered.
    Health {
        /// Name of the upstream.
        upstream: Name,
        /// The upstream says that it is leaving.
        leaving: bool,
    },
}

type Handler = Arc<dyn Fn(UpstreamEvent) + Send + Sync>;

struct Job {
    leg: LegRequest,
    deadline: Instant,
}

enum Control {
    Cancel(AttemptId),
    Health,
}

/// Client of one upstream: as many worker threads as the upstream has slots,
/// each with one connection, started when needed.
pub struct UpstreamClient {
    name: Name,
    addr: SocketAddr,
    slots: usize,
    handler: Handler,
    jobs: (Sender<Job>, Receiver<Job>),
    workers: Arc<()>,
    control: Sender<Control>,
}

impl fmt::Debug for UpstreamClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamClient")
            .field("name", &self.name)
            .field("addr", &self.addr)
            .finish_non_exhaustive()
    }
}

impl UpstreamClient {
    /// Opens a client; connections are made when the first legs are sent.
    pub fn open(
        name: Name,
        addr: SocketAddr,
        slots: u32,
        connections: u32,
        handler: impl Fn(UpstreamEvent) + Send + Sync + 'static,
    ) -> Self {
        let slots = slots.min(connections).max(1) as usize;
        let handler: Handler = Arc::new(handler);
        let (control, control_rx) = unbounded();
        let client = Self {
            name,
            addr,
            slots,
            handler,
            jobs: bounded(slots * 2),
            workers: Arc::new(()),
            control,
        };
        client.spawn_control(control_rx);
        client
    }

    /// Address of the upstream.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sends a leg. The owner's limiter keeps the number in flight within the
    /// slots, so the queue is nearly always empty.
    pub fn send(&self, leg: LegRequest) {
        let deadline = Instant::now() + leg.budget;
        let attempt = leg.attempt;
        if Arc::strong_count(&self.workers) <= self.slots {
            self.spawn_worker();
        }
        if self.jobs.0.try_send(Job { leg, deadline }).is_err() {
            (self.handler)(UpstreamEvent::Finished {
                upstream: self.name.clone(),
                attempt,
                result: LegResult::Refused(Refusal::Overloaded),
                signs: UpstreamSigns::default(),
            });
        }
    }

    /// Asks the upstream to stop an attempt.
    pub fn cancel(&self, attempt: AttemptId) {
        let _ = self.control.send(Control::Cancel(attempt));
    }

    /// Asks the upstream whether it is still leaving.
    pub fn probe_health(&self) {
        let _ = self.control.send(Control::Health);
    }

    fn spawn_worker(&self) {
        let token = self.workers.clone();
        let rx = self.jobs.1.clone();
        let mut exchange = Exchange {
            url: format!("http://{}/v1/leg", self.addr),
            name: self.name.clone(),
            agent: single_connection_agent(),
            handler: self.handler.clone(),
        };
        let spawned = thread::Builder::new()
            .name(format!("leg-{}", self.name))
            .stack_size(256 << 10)
            .spawn(move || {
                while let Ok(job) = rx.recv_timeout(WORKER_IDLE) {
                    exchange.run(&job);
                }
                drop(token);
            });
        if let Err(error) = spawned {
            log::error!(
                "event=worker_start_failed upstream={} error=\"{error}\"",
                self.name
            );
        }
    }

    fn spawn_control(&self, rx: Receiver<Control>) {
        let name = self.name.clone();
        let addr = self.addr;
        let handler = self.handler.clone();
        // Cancellations use a connection of their own; otherwise a busy
        // upstream would receive them after the answers they are meant to stop.
        let agent = Agent::new_with_config(
            Agent::config_builder()
                .http_status_as_error(false)
                .timeout_global(Some(CONTROL_TIMEOUT))
                .proxy(None)
                .build(),
        );
        let spawned = thread::Builder::new()
            .name(format!("ctl-{name}"))
            .stack_size(256 << 10)
            .spawn(move || {
                for control in rx {
                    match control {
                        Control::Cancel(attempt) => {
                            let _ = agent
                                .delete(format!("http://{addr}/v1/leg/{attempt}"))
                                .call();
                        }
                        Control::Health => {
                            if let Some(leaving) = fetch_leaving(&agent, addr) {
                                handler(UpstreamEvent::Health {
                                    upstream: name.clone(),
                                    leaving,
                                });
                            }
                        }
                    }
                }
            });
        if let Err(error) = spawned {
            log::error!(
                "event=control_start_failed upstream={} error=\"{error}\"",
                self.name
            );
        }
    }
}

#[derive(Debug, Deserialize)]
struct Health {
    state: String,
}

fn fetch_leaving(agent: &Agent, addr: SocketAddr) -> Option<bool> {
    let mut resp = agent.get(format!("http://{addr}/v1/health")).call().ok()?;
    let health: Health = resp.body_mut().read_json().ok()?;
    Some(health.state == "draining")
}

#[derive(Debug, Serialize)]
struct LegBody<'a> {
    attempt: AttemptId,
    search: &'a str,
    snapshot: SnapshotId,
    range: KeyRange,
    body: &'a str,
    deadline_ms: u64,
    idempotent: bool,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    attempt: Option<AttemptId>,
    restart: Option<u64>,
    error: Option<String>,
    #[serde(default)]
    held: Vec<SnapshotId>,
    started: Option<bool>,
}

#[derive(Debug, Deserialize)]
struct AnswerBody {
    attempt: AttemptId,
    restart: Option<u64>,
    snapshot: SnapshotId,
    range: KeyRange,
    documents: u64,
    hits: Vec<Hit>,
}

/// An agent that keeps one connection. `ureq` does not resend a POST whose
/// connection was lost.
fn single_connection_agent() -> Agent {
    Agent::new_with_config(
        Agent::config_builder()
            .http_status_as_error(false)
            .max_idle_connections(1)
            .max_idle_connections_per_host(1)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .no_delay(true)
            .proxy(None)
            .build(),
    )
}

/// One worker's exchanges with its upstream.
struct Exchange {
    url: String,
    name: Name,
    agent: Agent,
    handler: Handler,
}

impl Exchange {
    fn run(&mut self, job: &Job) {
        let start = Instant::now();
        let mut signs = UpstreamSigns::default();
        let result = match job.deadline.checked_duration_since(start) {
            // A resumed process must not start work that has expired.
            None => LegResult::Refused(Refusal::DeadlinePassed),
            Some(left) => self.call(&job.leg, left, &mut signs),
        };
        signs.latency = start.elapsed();
        if result == LegResult::Failed(LegFailure::Mismatched) {
            // Another answer may follow on this connection; drop it.
            self.agent = single_connection_agent();
        }
        (self.handler)(UpstreamEvent::Finished {
            upstream: self.name.clone(),
            attempt: job.leg.attempt,
            result,
            signs,
        });
    }

    fn call(&self, leg: &LegRequest, left: Duration, signs: &mut UpstreamSigns) -> LegResult {
        let body = LegBody {
            attempt: leg.attempt,
            search: &leg.search,
            snapshot: leg.snapshot,
            range: leg.range,
            body: &leg.body,
            deadline_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX).max(1),
            idempotent: leg.idempotent,
        };
        let sent = self
            .agent
            .post(&self.url)
            .config()
            .timeout_global(Some(left + ANSWER_GRACE))
            .build()
            .send_json(&body);
        let mut resp = match sent {
            Ok(resp) => resp,
            Err(error) => return failure(&error),
        };
        let status = resp.status().as_u16();
        let text = resp
            .body_mut()
            .with_config()
            .limit(ANSWER_LIMIT_BYTES)
            .read_to_vec();
        match text {
            Ok(text) if status == 200 => read_answer(leg, &text, signs),
            Ok(text) => read_error(leg, status, &text, signs),
            Err(error) => failure(&error),
        }
    }
}

/// Maps a transport error; only a connection that was never made proves that
/// the leg did not run.
fn failure(error: &ureq::Error) -> LegResult {
    match error {
        ureq::Error::ConnectionFailed | ureq::Error::HostNotFound => {
            LegResult::Refused(Refusal::Unreachable)
        }
        ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => {
            LegResult::Refused(Refusal::Unreachable)
        }
        ureq::Error::Io(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            LegResult::Refused(Refusal::Unreachable)
        }
        ureq::Error::Timeout(_) => LegResult::Failed(LegFailure::TimedOut),
        _ => LegResult::Failed(LegFailure::Disconnected),
    }
}

fn read_answer(leg: &LegRequest, text: &[u8], signs: &mut UpstreamSigns) -> LegResult {
    let Ok(body) = serde_json::from_slice::<AnswerBody>(text) else {
        return LegResult::Failed(LegFailure::Upstream);
    };
    signs.restart_id = body.restart;
    let answer = LegAnswer {
        attempt: body.attempt,
        snapshot: body.snapshot,
        range: body.range,
        documents: body.documents,
        hits: body.hits,
    };
    let matches = answer.attempt == leg.attempt
        && answer.snapshot == leg.snapshot
        && answer.range == leg.range
        && answer.hits.iter().all(|hit| leg.range.contains(hit.key));
    if matches {
        LegResult::Answer(answer)
    } else {
        LegResult::Failed(LegFailure::Mismatched)
    }
}

fn read_error(leg: &LegRequest, status: u16, text: &[u8], signs: &mut UpstreamSigns) -> LegResult {
    let Ok(body) = serde_json::from_slice::<ErrorBody>(text) else {
        return LegResult::Failed(LegFailure::Upstream);
    };
    signs.restart_id = body.restart;
    if body.attempt != Some(leg.attempt) {
        return LegResult::Failed(LegFailure::Mismatched);
    }
    match (status, body.error.as_deref()) {
        (409, Some("snapshot_missing")) => {
            LegResult::Refused(Refusal::SnapshotMissing { held: body.held })
        }
        (429, Some("shed")) => LegResult::Refused(Refusal::Shed),
        (503, Some("draining")) => {
            signs.leaving = true;
            LegResult::Refused(Refusal::Leaving)
        }
        (504, _) if body.started == Some(false) => LegResult::Refused(Refusal::DeadlinePassed),
        (504, _) => LegResult::Failed(LegFailure::TimedOut),
        _ => LegResult::Failed(LegFailure::Upstream),
    }
}
