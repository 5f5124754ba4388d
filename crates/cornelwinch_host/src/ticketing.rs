use std::time::{Duration, Instant};

use cornelwinch_tickets::{Begin, TicketConfig, TicketResult, Tickets};
use cornelwinch_types::{Member, MemberState};

use crate::running::{RunId, Waiter, Work, host_gone};
use crate::{Action, CallerAnswer, Host, Rejection, RequestLabel, TicketRequest};

/// Tickets held by one host process.
const TICKET_CAPACITY: usize = 200_000;

/// Time for which an unused ticket and the result of a used one are kept.
const TICKET_RETENTION: Duration = Duration::from_secs(15 * 60);

/// Tickets that this host has issued.
#[derive(Debug)]
pub(crate) struct Ticketing {
    pub(crate) tickets: Tickets,
}

impl Ticketing {
    pub(crate) fn open(now: Instant, me: &Member) -> Self {
        let cfg = TicketConfig {
            capacity: TICKET_CAPACITY,
            retention: TICKET_RETENTION,
        };
        Self {
            tickets: Tickets::open(now, me.name.clone(), me.incarnation, cfg),
        }
    }
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
        let Some((organisation, _)) = self.sync.state.organisation_by_token_hash(&token) else {
            return Err((RequestLabel::none(), Rejection::UnknownOrganisation));
        };
        let organisation = organisation.clone();
        let label = RequestLabel {
            class: "".into(),
            organisation,
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
        let local = req.ticket.host == self.cfg.me.name;
        let label = admitted.label.clone();
        let work = self.admitted_work(now, RunId::Ticket(req.ticket), req.key, req.query, admitted);
        let waiter = Waiter::Caller { caller, label };
        if local {
            self.begin_ticket(now, work, waiter, out);
        } else {
            self.forward_ticket(now, work, waiter, out);
        }
        Ok(())
    }

    /// Sends the request to the host that issued the ticket. If that process
    /// is gone, nobody can tell what it ran.
    fn forward_ticket(&mut self, now: Instant, work: Work, waiter: Waiter, out: &mut Vec<Action>) {
        let RunId::Ticket(ticket) = &work.id else {
            return;
        };
        let reachable = self.membership.members().iter().any(|member| {
            member.name == ticket.host
                && member.incarnation == ticket.incarnation
                && member.state != MemberState::Dead
        });
        if !reachable {
            self.answer_waiter(now, waiter, &work.id, host_gone(), out);
            return;
        }
        let host = ticket.host.clone();
        self.forward_run(now, waiter, work, &host);
    }

    pub(crate) fn begin_ticket(
        &mut self,
        now: Instant,
        work: Work,
        waiter: Waiter,
        out: &mut Vec<Action>,
    ) {
        let RunId::Ticket(ticket) = &work.id else {
            return;
        };
        let number = self.runs.next_number();
        let (fingerprint, deadline) = (work.fingerprint(), work.deadline);
        let tickets = &mut self.ticketing.tickets;
        let result = match tickets.begin(now, ticket, fingerprint, number, deadline) {
            Begin::Start => {
                self.runs.add_waiter(number, waiter);
                self.run_work(now, number, work, out);
                return;
            }
            Begin::Joined => {
                self.runs.add_waiter(number, waiter);
                return;
            }
            Begin::Finished(result) => result,
            Begin::Elsewhere(_) | Begin::Unknown => host_gone(),
            Begin::Conflict => TicketResult::not_run("other_request"),
            Begin::Expired => TicketResult::not_run("expired"),
        };
        self.answer_waiter(now, waiter, &work.id, result, out);
    }
}
