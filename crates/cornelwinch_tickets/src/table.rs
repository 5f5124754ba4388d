use std::collections::VecDeque;
use std::mem;
use std::time::{Duration, Instant};

use cornelwinch_types::{Fingerprint, Incarnation, Name};

use crate::id::TicketId;
use crate::result::TicketResult;

/// Size and age limits of the ticket table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TicketConfig {
    /// Tickets that are held at most.
    pub capacity: usize,
    /// Time for which an unused ticket is valid and a result is kept.
    pub retention: Duration,
}

/// What to do with a request that names a ticket.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Begin {
    /// Run it; no other copy runs or has run.
    Start,
    /// Another copy is running; the waiter gets its result.
    Joined,
    /// It has finished before with this result.
    Finished(TicketResult),
    /// The ticket belongs to this other host.
    Elsewhere(Name),
    /// The ticket belongs to another incarnation of this host, or is no longer
    /// held; it may have run.
    Unknown,
    /// The ticket was used for another body; this body was not run.
    Conflict,
    /// The deadline or the ticket's validity passed; it did not run and will
    /// not run.
    Expired,
}

#[derive(Debug)]
enum TicketState {
    Unused,
    Running(Fingerprint, Vec<u64>),
    Finished(Fingerprint, TicketResult),
}

#[derive(Debug)]
struct Ticket {
    sequence: u64,
    /// When the ticket expires; `None` while it runs.
    expires: Option<Instant>,
    state: TicketState,
}

/// Tickets that one host incarnation issued, and their results.
///
/// A ticket that is not in the table is never started: it was issued by
/// another incarnation, or it may have run before it was dropped.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use cornelwinch_tickets::{Begin, TicketConfig, TicketResult, Tickets};
/// use cornelwinch_types::{Fingerprint, Incarnation};
///
/// let now = Instant::now();
/// let deadline = now + Duration::from_secs(1);
/// let cfg = TicketConfig { capacity: 100, retention: Duration::from_secs(60) };
/// let mut tickets = Tickets::open(now, "host-1".into(), Incarnation(17), cfg);
/// let id = tickets.issue(now, 1).remove(0);
/// let body = Fingerprint::of("stock", "two pallets");
/// assert_eq!(tickets.begin(now, &id, body, 1, deadline), Begin::Start);
/// assert_eq!(tickets.begin(now, &id, body, 2, deadline), Begin::Joined);
/// let result = TicketResult::not_run("shed");
/// assert_eq!(tickets.finish(now, &id, result.clone()), [1, 2]);
/// assert_eq!(tickets.begin(now, &id, body, 3, deadline), Begin::Finished(result));
/// ```
#[derive(Debug)]
pub struct Tickets {
    me: Name,
    incarnation: Incarnation,
    cfg: TicketConfig,
    next: u64,
    /// By sequence.
    tickets: VecDeque<Ticket>,
    /// Expiry of unused tickets, in order; used ones are skipped.
    unused: VecDeque<(Instant, u64)>,
    /// Expiry of results, in order.
    finished: VecDeque<(Instant, u64)>,
    violations: u64,
}

impl Tickets {
    /// Starts without tickets. `incarnation` must differ from those of all
    /// earlier processes of this host.
    pub fn open(_now: Instant, me: Name, incarnation: Incarnation, cfg: TicketConfig) -> Self {
        Self {
            me,
            incarnation,
            cfg,
            next: 1,
            tickets: VecDeque::new(),
            unused: VecDeque::new(),
            finished: VecDeque::new(),
            violations: 0,
        }
    }

    /// Issues tickets. A full table drops its oldest results for them, but no
    /// unused and no running ticket; there may be fewer tickets than asked for.
    pub fn issue(&mut self, now: Instant, count: usize) -> Vec<TicketId> {
        self.on_wake(now);
        let mut ids = Vec::new();
        for _ in 0..count.min(self.cfg.capacity) {
            if self.tickets.len() >= self.cfg.capacity {
                let Some((_, sequence)) = self.finished.pop_front() else {
                    break;
                };
                self.drop_ticket(sequence);
            }
            let sequence = self.next;
            self.next += 1;
            let expires = now + self.cfg.retention;
            self.unused.push_back((expires, sequence));
            self.tickets.push_back(Ticket {
                sequence,
                expires: Some(expires),
                state: TicketState::Unused,
            });
            ids.push(TicketId {
                host: self.me.clone(),
                incarnation: self.incarnation,
                sequence,
            });
        }
        ids
    }

    /// Decides about a request that names a ticket. The caller runs it only on
    /// [`Begin::Start`] and then calls [`finish`](Self::finish) exactly once.
    pub fn begin(
        &mut self,
        now: Instant,
        id: &TicketId,
        fingerprint: Fingerprint,
        waiter: u64,
        deadline: Instant,
    ) -> Begin {
        if id.host != self.me {
            return Begin::Elsewhere(id.host.clone());
        }
        let Some(i) = self.find(id) else {
            return Begin::Unknown;
        };
        let ticket = &mut self.tickets[i];
        match &mut ticket.state {
            TicketState::Running(own, _) | TicketState::Finished(own, _) if *own != fingerprint => {
                Begin::Conflict
            }
            TicketState::Running(_, waiters) => {
                waiters.push(waiter);
                Begin::Joined
            }
            TicketState::Finished(_, result) => Begin::Finished(result.clone()),
            TicketState::Unused => {
                if deadline <= now || ticket.expires.is_some_and(|t| t <= now) {
                    // Kept as finished, so that a later copy does not run
                    // after this one was reported as not run.
                    let result = TicketResult::not_run("deadline_passed");
                    self.set_finished(now, i, fingerprint, result);
                    return Begin::Expired;
                }
                ticket.expires = None;
                ticket.state = TicketState::Running(fingerprint, vec![waiter]);
                Begin::Start
            }
        }
    }

    /// Records the result of a started ticket; returns the waiters that get it.
    /// Only the first result counts.
    pub fn finish(&mut self, now: Instant, id: &TicketId, result: TicketResult) -> Vec<u64> {
        let running = self
            .find(id)
            .filter(|i| matches!(self.tickets[*i].state, TicketState::Running(..)));
        let Some(i) = running else {
            self.report_violation(id);
            return Vec::new();
        };
        let state = mem::replace(&mut self.tickets[i].state, TicketState::Unused);
        let TicketState::Running(fingerprint, waiters) = state else {
            return Vec::new();
        };
        self.set_finished(now, i, fingerprint, result);
        waiters
    }

    /// Time of the next call of [`on_wake`](Self::on_wake).
    pub fn next_wake(&self) -> Option<Instant> {
        let fronts = [self.unused.front(), self.finished.front()];
        fronts.into_iter().flatten().map(|(t, _)| *t).min()
    }

    /// Drops unused tickets and results whose time has passed.
    pub fn on_wake(&mut self, now: Instant) {
        while let Some((_, sequence)) = self.unused.pop_front_if(|(t, _)| *t <= now) {
            let unused = |t: &Ticket| matches!(t.state, TicketState::Unused);
            if self
                .position(sequence)
                .is_some_and(|i| unused(&self.tickets[i]))
            {
                self.drop_ticket(sequence);
            }
        }
        while let Some((_, sequence)) = self.finished.pop_front_if(|(t, _)| *t <= now) {
            self.drop_ticket(sequence);
        }
    }

    /// Number of tickets held.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Reports whether no ticket is held.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Number of failed invariant checks, for a metric.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn report_violation(&mut self, id: &TicketId) {
        self.violations += 1;
        log::error!("event=invariant_failed step=ticket_finish ticket={id} reason=not_running");
        if cfg!(debug_assertions) {
            panic!("ticket {id} finished without running");
        }
    }

    fn find(&self, id: &TicketId) -> Option<usize> {
        let own = id.host == self.me && id.incarnation == self.incarnation;
        self.position(id.sequence).filter(|_| own)
    }

    fn position(&self, sequence: u64) -> Option<usize> {
        self.tickets
            .binary_search_by_key(&sequence, |t| t.sequence)
            .ok()
    }

    fn set_finished(
        &mut self,
        now: Instant,
        i: usize,
        fingerprint: Fingerprint,
        result: TicketResult,
    ) {
        let expires = now + self.cfg.retention;
        let ticket = &mut self.tickets[i];
        ticket.state = TicketState::Finished(fingerprint, result);
        ticket.expires = Some(expires);
        self.finished.push_back((expires, ticket.sequence));
    }

    fn drop_ticket(&mut self, sequence: u64) {
        if let Some(i) = self.position(sequence) {
            self.tickets.remove(i);
        }
    }
}
