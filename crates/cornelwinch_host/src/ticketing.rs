use std::time::{Duration, Instant};

use cornelwinch_tickets::{
    Begin, TicketAction, TicketConfig, TicketId, TicketResult, TicketRun, TicketRunSpec, Tickets,
};
use cornelwinch_types::{
    AttemptId, Fingerprint, KeyRange, LegRequest, LegResult, Member, MemberState, Name, QueryId,
    SnapshotId, SortedMap,
};

use crate::queries::AdmittedRequest;
use crate::router::LegOrigin;
use crate::{
    Action, CallerAnswer, Host, PeerMessage, Rejection, RequestLabel, RunTicket, TicketRequest,
};

/// Tickets held by one host process.
const TICKET_CAPACITY: usize = 200_000;

/// Time for which an unused ticket and the result of a used one are kept.
const TICKET_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Who waits for the result of a ticket.
#[derive(Debug)]
enum Waiter {
    Caller { caller: u64, label: RequestLabel },
    Forwarder { host: Name, request: u64 },
}

/// A ticket's request that another host runs.
#[derive(Debug)]
struct Forwarded {
    caller: u64,
    label: RequestLabel,
    ticket: TicketId,
    deadline: Instant,
}

/// A ticket's request that this host runs.
#[derive(Debug)]
struct Running {
    run: TicketRun,
    ticket: TicketId,
}

/// Non-idempotent requests of this host and those it forwards.
#[derive(Debug)]
pub(crate) struct Ticketing {
    tickets: Tickets,
    running: SortedMap<u64, Running>,
    waiters: SortedMap<u64, Waiter>,
    forwarded: SortedMap<u64, Forwarded>,
    next: u64,
    next_attempt: u64,
}

impl Ticketing {
    /// Starts without tickets; `first_attempt` is random, so that attempts of
    /// different processes differ.
    pub(crate) fn open(now: Instant, me: &Member, first_attempt: u64) -> Self {
        let cfg = TicketConfig {
            capacity: TICKET_CAPACITY,
            retention: TICKET_RETENTION,
        };
        Self {
            tickets: Tickets::open(now, me.name.clone(), me.incarnation, cfg),
            running: SortedMap::new(),
            waiters: SortedMap::new(),
            forwarded: SortedMap::new(),
            next: 0,
            next_attempt: first_attempt,
        }
    }

    /// Requests that run here or are awaited from another host.
    pub(crate) fn running(&self) -> usize {
        self.running.len() + self.forwarded.len()
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let runs = self
            .running
            .values()
            .filter_map(|running| running.run.next_wake());
        let forwarded = self.forwarded.values().map(|forwarded| forwarded.deadline);
        runs.chain(forwarded).chain(self.tickets.next_wake()).min()
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }
}

/// A ticket's request, from a caller or a forwarding host.
struct TicketWork {
    ticket: TicketId,
    customer: Name,
    search: Name,
    class: Name,
    key: u64,
    body: Name,
    priority: u8,
    deadline: Instant,
}

impl Host {
    pub(crate) fn issue_tickets(
        &mut self,
        now: Instant,
        caller: u64,
        token: &str,
        count: u32,
        out: &mut Vec<Action>,
    ) -> Result<(), (RequestLabel, Rejection)> {
        let token = blake3::hash(token.as_bytes());
        let Some((customer, _)) = self.sync.state.customer_by_token_hash(&token) else {
            return Err((RequestLabel::none(), Rejection::UnknownCustomer));
        };
        let customer = customer.clone();
        let label = RequestLabel {
            class: "".into(),
            customer,
        };
        let tickets = self.ticketing.tickets.issue(now, count as usize);
        if tickets.is_empty() {
            return Err((label, Rejection::Overloaded));
        }
        out.push(Action::Reply {
            caller,
            label,
            answer: CallerAnswer::Tickets(tickets),
        });
        Ok(())
    }

    pub(crate) fn accept_ticket(
        &mut self,
        now: Instant,
        caller: u64,
        req: TicketRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), (RequestLabel, Rejection)> {
        let admitted = self.admit(now, &req.query)?;
        let AdmittedRequest {
            label,
            priority,
            deadline,
            ..
        } = admitted;
        let work = TicketWork {
            ticket: req.ticket,
            customer: label.customer.clone(),
            search: req.query.search,
            class: label.class.clone(),
            key: req.key,
            body: req.query.body,
            priority,
            deadline,
        };
        if work.ticket.host == self.cfg.me.name {
            self.begin_ticket(now, work, Waiter::Caller { caller, label }, out);
        } else {
            self.forward_ticket(now, caller, label, &work, out);
        }
        Ok(())
    }

    /// Sends the request to the host that issued the ticket. If that process
    /// is gone, nobody can tell what it ran.
    fn forward_ticket(
        &mut self,
        now: Instant,
        caller: u64,
        label: RequestLabel,
        work: &TicketWork,
        out: &mut Vec<Action>,
    ) {
        let host = work.ticket.host.clone();
        let reachable = self.membership.members().iter().any(|member| {
            member.name == host
                && member.incarnation == work.ticket.incarnation
                && member.state != MemberState::Dead
        });
        let request = self.ticketing.next_number();
        let forwarded = Forwarded {
            caller,
            label,
            ticket: work.ticket.clone(),
            deadline: work.deadline,
        };
        if !reachable {
            self.answer_forwarded(now, forwarded, host_gone(), out);
            return;
        }
        self.ticketing.forwarded.insert(request, forwarded);
        let msg = PeerMessage::RunTicket(RunTicket {
            request,
            ticket: work.ticket.clone(),
            customer: work.customer.clone(),
            search: work.search.clone(),
            class: work.class.clone(),
            key: work.key,
            body: work.body.clone(),
            priority: work.priority,
            budget: work.deadline.saturating_duration_since(now),
        });
        self.router.push(&host, msg);
    }

    /// Runs a ticket for another host, which has admitted the request.
    pub(crate) fn on_run_ticket(
        &mut self,
        now: Instant,
        from: &Name,
        req: RunTicket,
        out: &mut Vec<Action>,
    ) {
        let waiter = Waiter::Forwarder {
            host: from.clone(),
            request: req.request,
        };
        let work = TicketWork {
            ticket: req.ticket,
            customer: req.customer,
            search: req.search,
            class: req.class,
            key: req.key,
            body: req.body,
            priority: req.priority,
            // Work that may have waited during a pause of this process is not
            // started; its ticket then never runs.
            deadline: if self.is_stale(from) {
                now
            } else {
                now + req.budget
            },
        };
        self.begin_ticket(now, work, waiter, out);
    }

    fn begin_ticket(
        &mut self,
        now: Instant,
        work: TicketWork,
        waiter: Waiter,
        out: &mut Vec<Action>,
    ) {
        let number = self.ticketing.next_number();
        let fingerprint = ticket_fingerprint(&work);
        let begun =
            self.ticketing
                .tickets
                .begin(now, &work.ticket, fingerprint, number, work.deadline);
        let result = match begun {
            Begin::Start => {
                self.ticketing.waiters.insert(number, waiter);
                self.run_ticket(now, number, work, out);
                return;
            }
            Begin::Joined => {
                self.ticketing.waiters.insert(number, waiter);
                return;
            }
            Begin::Finished(result) => result,
            Begin::Elsewhere(_) | Begin::Unknown => host_gone(),
            Begin::Conflict => TicketResult::not_run("other_request"),
            Begin::Expired => TicketResult::not_run("expired"),
        };
        self.answer_waiter(now, waiter, &work.ticket, result, out);
    }

    fn run_ticket(&mut self, now: Instant, number: u64, work: TicketWork, out: &mut Vec<Action>) {
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
            customer: work.customer,
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
        let next_attempt = &mut self.ticketing.next_attempt;
        let run = TicketRun::start(now, spec, || attempt_after(next_attempt), &mut actions);
        let running = Running {
            run,
            ticket: work.ticket,
        };
        self.ticketing.running.insert(number, running);
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

    pub(crate) fn deliver_to_ticket(
        &mut self,
        now: Instant,
        number: u64,
        attempt: AttemptId,
        result: LegResult,
        out: &mut Vec<Action>,
    ) {
        let Some(running) = self.ticketing.running.get_mut(&number) else {
            return;
        };
        let mut actions = Vec::new();
        running.run.on_leg(now, attempt, result, &mut actions);
        self.on_run_actions(now, number, actions, out);
    }

    pub(crate) fn wake_ticketing(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.ticketing.tickets.on_wake(now);
        let due: Vec<u64> = self
            .ticketing
            .running
            .iter()
            .filter(|(_, running)| running.run.next_wake().is_some_and(|at| at <= now))
            .map(|(number, _)| *number)
            .collect();
        for number in due {
            let Some(running) = self.ticketing.running.get_mut(&number) else {
                continue;
            };
            let mut actions = Vec::new();
            running.run.on_wake(now, &mut actions);
            self.on_run_actions(now, number, actions, out);
        }
        let late: Vec<u64> = self
            .ticketing
            .forwarded
            .iter()
            .filter(|(_, forwarded)| forwarded.deadline <= now)
            .map(|(request, _)| *request)
            .collect();
        for request in late {
            if let Some(forwarded) = self.ticketing.forwarded.remove(&request) {
                self.answer_forwarded(
                    now,
                    forwarded,
                    TicketResult::unknown("deadline_passed"),
                    out,
                );
            }
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
                    self.route_leg(now, leg, LegOrigin::Ticket(number), out);
                }
                TicketAction::Finish(result) => {
                    let Some(running) = self.ticketing.running.remove(&number) else {
                        continue;
                    };
                    let waiters =
                        self.ticketing
                            .tickets
                            .finish(now, &running.ticket, result.clone());
                    for waiter in waiters {
                        if let Some(waiter) = self.ticketing.waiters.remove(&waiter) {
                            self.answer_waiter(now, waiter, &running.ticket, result.clone(), out);
                        }
                    }
                }
            }
        }
    }

    fn answer_waiter(
        &mut self,
        now: Instant,
        waiter: Waiter,
        ticket: &TicketId,
        result: TicketResult,
        out: &mut Vec<Action>,
    ) {
        match waiter {
            Waiter::Caller { caller, label } => {
                self.release_admitted(now, &label.customer);
                out.push(Action::Reply {
                    caller,
                    label,
                    answer: CallerAnswer::Ticket {
                        ticket: ticket.clone(),
                        result,
                    },
                });
            }
            Waiter::Forwarder { host, request } => {
                let msg = PeerMessage::TicketDone { request, result };
                self.router.push(&host, msg);
            }
        }
    }

    fn answer_forwarded(
        &mut self,
        now: Instant,
        forwarded: Forwarded,
        result: TicketResult,
        out: &mut Vec<Action>,
    ) {
        let Forwarded {
            caller,
            label,
            ticket,
            ..
        } = forwarded;
        self.answer_waiter(now, Waiter::Caller { caller, label }, &ticket, result, out);
    }

    pub(crate) fn on_ticket_done(
        &mut self,
        now: Instant,
        from: &Name,
        request: u64,
        result: TicketResult,
        out: &mut Vec<Action>,
    ) {
        let expected = self
            .ticketing
            .forwarded
            .get(&request)
            .is_some_and(|forwarded| forwarded.ticket.host == *from);
        if expected && let Some(forwarded) = self.ticketing.forwarded.remove(&request) {
            self.answer_forwarded(now, forwarded, result, out);
        }
    }

    /// Ends the requests forwarded to a host whose connection failed. Even if
    /// a request did not leave here, the ticket may have run for a caller of
    /// another host, so that only the ticket host could say it did not run.
    pub(crate) fn on_ticket_host_down(&mut self, now: Instant, host: &Name, out: &mut Vec<Action>) {
        let lost: Vec<u64> = self
            .ticketing
            .forwarded
            .iter()
            .filter(|(_, forwarded)| forwarded.ticket.host == *host)
            .map(|(request, _)| *request)
            .collect();
        for request in lost {
            if let Some(forwarded) = self.ticketing.forwarded.remove(&request) {
                self.answer_forwarded(now, forwarded, host_gone(), out);
            }
        }
    }
}

/// Hash of everything that a resend must repeat.
fn ticket_fingerprint(work: &TicketWork) -> Fingerprint {
    Fingerprint::of(&work.search, &format!("{}\0{}", work.key, work.body))
}

fn attempt_after(last: &mut u64) -> AttemptId {
    *last = last.wrapping_add(1);
    AttemptId(*last)
}

fn host_gone() -> TicketResult {
    TicketResult::unknown("ticket_host_gone")
}
