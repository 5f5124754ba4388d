use std::time::{Duration, Instant};

use cornelwinch_tickets::{TicketAction, TicketId, TicketResult, TicketRun, TicketRunSpec};
use cornelwinch_types::{
    AttemptId, Fingerprint, KeyRange, LegRequest, LegResult, Name, QueryId, SnapshotId, SortedMap,
};
use serde::{Deserialize, Serialize};

use crate::queries::AdmittedRequest;
use crate::router::LegOrigin;
use crate::{Action, CallerAnswer, Host, PeerMessage, QueryRequest, RequestLabel, RunRequest};

/// What makes a non-idempotent request run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RunId {
    /// A ticket.
    Ticket(TicketId),
    /// A key of the caller; here it starts with its organisation.
    Claim(Name),
}

/// A non-idempotent request, from a caller or a forwarding host.
#[derive(Debug)]
pub(crate) struct Work {
    pub(crate) id: RunId,
    pub(crate) organisation: Name,
    pub(crate) search: Name,
    pub(crate) class: Name,
    pub(crate) key: u64,
    pub(crate) body: Name,
    pub(crate) priority: u8,
    pub(crate) deadline: Instant,
}

impl Work {
    /// Hash of everything that a resend must repeat.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        Fingerprint::of(&self.search, &format!("{}\0{}", self.key, self.body))
    }

    fn to_request(&self, now: Instant, request: u64) -> RunRequest {
        RunRequest {
            request,
            id: self.id.clone(),
            organisation: self.organisation.clone(),
            search: self.search.clone(),
            class: self.class.clone(),
            key: self.key,
            body: self.body.clone(),
            priority: self.priority,
            budget: self.deadline.saturating_duration_since(now),
        }
    }
}

/// Who waits for the result of a request.
#[derive(Debug)]
pub(crate) enum Waiter {
    Caller { caller: u64, label: RequestLabel },
    Forwarder { host: Name, request: u64 },
}

/// A request that another host runs.
#[derive(Debug)]
struct Forwarded {
    waiter: Waiter,
    work: Work,
    host: Name,
}

/// A request that this host runs.
#[derive(Debug)]
struct Running {
    run: TicketRun,
    id: RunId,
}

/// Non-idempotent requests that run here or on another host.
#[derive(Debug)]
pub(crate) struct Runs {
    running: SortedMap<u64, Running>,
    waiters: SortedMap<u64, Waiter>,
    forwarded: SortedMap<u64, Forwarded>,
    next: u64,
    next_attempt: u64,
}

impl Runs {
    /// Starts without requests; `first_attempt` is random, so that attempts of
    /// different processes differ.
    pub(crate) fn open(first_attempt: u64) -> Self {
        Self {
            running: SortedMap::new(),
            waiters: SortedMap::new(),
            forwarded: SortedMap::new(),
            next: 0,
            next_attempt: first_attempt,
        }
    }

    /// Requests that run here or are awaited from another host.
    pub(crate) fn len(&self) -> usize {
        self.running.len() + self.forwarded.len()
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let runs = self.running.values();
        let runs = runs.filter_map(|running| running.run.next_wake());
        let forwarded = self.forwarded.values().map(|f| f.work.deadline);
        runs.chain(forwarded).min()
    }

    /// A number for a waiter, a run or a forwarded request.
    pub(crate) fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    pub(crate) fn add_waiter(&mut self, number: u64, waiter: Waiter) {
        self.waiters.insert(number, waiter);
    }

    pub(crate) fn take_waiter(&mut self, number: u64) -> Option<Waiter> {
        self.waiters.remove(&number)
    }

    /// Removes the forwarded requests that match.
    fn take_forwarded(&mut self, matches: impl Fn(&Forwarded) -> bool) -> Vec<Forwarded> {
        let numbers: Vec<u64> = self
            .forwarded
            .iter()
            .filter(|(_, forwarded)| matches(forwarded))
            .map(|(number, _)| *number)
            .collect();
        numbers
            .iter()
            .filter_map(|number| self.forwarded.remove(number))
            .collect()
    }
}

impl Host {
    /// Runs a request that may start; `number` is that of its first waiter.
    pub(crate) fn run_work(
        &mut self,
        now: Instant,
        number: u64,
        work: Work,
        out: &mut Vec<Action>,
    ) {
        let place = self.shard_of(&work.search, work.key);
        let (snapshot, range, replicas) = place.unwrap_or_else(|| {
            let range = KeyRange {
                start: work.key,
                end: work.key,
            };
            (SnapshotId(0), range, Vec::new())
        });
        let template = LegRequest {
            attempt: AttemptId(0),
            query: QueryId(number),
            fingerprint: Fingerprint::of(&work.search, &work.body),
            search: work.search,
            class: work.class,
            organisation: work.organisation,
            snapshot,
            range,
            upstream: "".into(),
            body: work.body,
            idempotent: false,
            priority: work.priority,
            budget: Duration::ZERO,
        };
        let spec = TicketRunSpec {
            template,
            replicas,
            deadline: work.deadline,
        };
        let mut actions = Vec::new();
        let next_attempt = &mut self.runs.next_attempt;
        let run = TicketRun::start(now, spec, || attempt_after(next_attempt), &mut actions);
        let running = Running { run, id: work.id };
        self.runs.running.insert(number, running);
        self.on_run_actions(now, number, actions, out);
    }

    /// Newest snapshot of a search, and the shard that holds the key.
    fn shard_of(&self, search: &str, key: u64) -> Option<(SnapshotId, KeyRange, Vec<Name>)> {
        let snapshot = self.sync.state.snapshots(search).first()?;
        let shard = snapshot
            .shards
            .iter()
            .find(|shard| shard.range.contains(key))?;
        let replicas = shard
            .replicas
            .iter()
            .filter(|name| !self.is_upstream_leaving(name))
            .cloned()
            .collect();
        Some((snapshot.id, shard.range, replicas))
    }

    pub(crate) fn deliver_to_run(
        &mut self,
        now: Instant,
        number: u64,
        attempt: AttemptId,
        result: LegResult,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.runs.running.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        running.run.on_leg(now, attempt, result, &mut actions);
        self.on_run_actions(now, number, actions, out);
    }

    pub(crate) fn wake_runs(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due: Vec<u64> = self
            .runs
            .running
            .iter()
            .filter(|(_, running)| running.run.next_wake().is_some_and(|at| at <= now))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(running) = self.runs.running.get_mut(&number) else {
                continue;
            };
            let mut actions = Vec::new();
            running.run.on_wake(now, &mut actions);
            self.on_run_actions(now, number, actions, out);
        }
        for f in self.runs.take_forwarded(|f| f.work.deadline <= now) {
            let late = TicketResult::unknown("deadline_passed");
            self.answer_waiter(now, f.waiter, &f.work.id, late, out);
        }
    }

    fn on_run_actions(
        &mut self,
        now: Instant,
        number: u64,
        actions: Vec<TicketAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                TicketAction::Send(leg) => {
                    self.route_leg(now, leg, LegOrigin::Run(number), out);
                }
                TicketAction::Finish(result) => {
                    let Some(Running { id, .. }) = self.runs.running.remove(&number) else {
                        continue;
                    };
                    let waiters = match &id {
                        RunId::Ticket(id) => self.ticketing.tickets.finish(now, id, result.clone()),
                        RunId::Claim(key) => self.finish_claim(now, key, result.clone(), out),
                    };
                    for waiter in waiters {
                        if let Some(waiter) = self.runs.take_waiter(waiter) {
                            self.answer_waiter(now, waiter, &id, result.clone(), out);
                        }
                    }
                }
            }
        }
    }

    pub(crate) fn answer_waiter(
        &mut self,
        now: Instant,
        waiter: Waiter,
        id: &RunId,
        result: TicketResult,
        out: &mut Vec<Action>,
    ) {
        match waiter {
            Waiter::Caller { caller, label } => {
                self.release_admitted(now, &label.organisation);
                out.push(Action::Reply {
                    caller,
                    label,
                    answer: CallerAnswer::Run {
                        id: id.clone(),
                        result,
                    },
                });
            }
            Waiter::Forwarder { host, request } => {
                let msg = PeerMessage::RunDone { request, result };
                self.router.push(&host, msg);
            }
        }
    }

    /// Makes the work of an admitted request of a caller.
    pub(crate) fn admitted_work(
        &self,
        now: Instant,
        id: RunId,
        key: u64,
        query: QueryRequest,
        admitted: AdmittedRequest,
    ) -> Work {
        Work {
            id,
            organisation: admitted.label.organisation,
            search: query.search,
            class: admitted.label.class,
            key,
            body: query.body,
            priority: admitted.priority,
            deadline: now + self.backlog.left(now, admitted.deadline - now),
        }
    }

    /// Sends a request to the host that may run it and waits for the result.
    pub(crate) fn forward_run(&mut self, now: Instant, waiter: Waiter, work: Work, host: &Name) {
        let request = self.runs.next_number();
        let msg = PeerMessage::Run(work.to_request(now, request));
        self.router.push(host, msg);
        let forwarded = Forwarded {
            waiter,
            work,
            host: host.clone(),
        };
        self.runs.forwarded.insert(request, forwarded);
    }

    /// Runs a request for another host, which has admitted it.
    pub(crate) fn on_run(
        &mut self,
        now: Instant,
        from: &Name,
        req: RunRequest,
        out: &mut Vec<Action>,
    ) {
        let waiter = Waiter::Forwarder {
            host: from.clone(),
            request: req.request,
        };
        let work = Work {
            id: req.id,
            organisation: req.organisation,
            search: req.search,
            class: req.class,
            key: req.key,
            body: req.body,
            priority: req.priority,
            deadline: now + self.fresh_budget(from, req.budget),
        };
        match work.id {
            RunId::Ticket(_) => self.begin_ticket(now, work, waiter, out),
            RunId::Claim(_) => self.claim(now, work, waiter, out),
        }
    }

    pub(crate) fn on_run_done(
        &mut self,
        now: Instant,
        from: &Name,
        request: u64,
        result: TicketResult,
        out: &mut Vec<Action>,
    ) {
        let forwarded = self.runs.forwarded.get(&request);
        if forwarded.is_some_and(|forwarded| forwarded.host == *from)
            && let Some(f) = self.runs.forwarded.remove(&request)
        {
            self.answer_waiter(now, f.waiter, &f.work.id, result, out);
        }
    }

    /// Ends the requests forwarded to a host whose connection failed. Even if
    /// a request did not leave here, it may have run there for a caller of
    /// another host, so that only that host could say it did not run.
    /// For a claim, the result may be recorded in the platform's store.
    pub(crate) fn on_run_host_down(&mut self, now: Instant, host: &Name, out: &mut Vec<Action>) {
        for Forwarded { waiter, work, .. } in self.runs.take_forwarded(|f| f.host == *host) {
            match work.id.clone() {
                RunId::Claim(claim) => self.reclaim(now, claim, work, waiter, host, out),
                RunId::Ticket(_) => self.answer_waiter(now, waiter, &work.id, host_gone(), out),
            }
        }
    }
}

fn attempt_after(last: &mut u64) -> AttemptId {
    *last = last.wrapping_add(1);
    AttemptId(*last)
}

/// The process that could tell what became of the request is gone.
pub(crate) fn host_gone() -> TicketResult {
    TicketResult::unknown("host_gone")
}
