use std::time::{Duration, Instant};

use cornelwinch_admission::Credential;
use cornelwinch_gather::{Answer, Gather, GatherAction, QuerySpec};
use cornelwinch_types::{AttemptId, Fingerprint, LegResult, Name, QueryId, Refusal, SortedMap};

use crate::router::LegOrigin;
use crate::{Action, CallerAnswer, CallerRequest, Host, QueryRequest, Rejection, RequestLabel};

/// Cost of one request against its organisation's rate.
const REQUEST_COST: f64 = 1.0;

#[derive(Debug)]
struct ActiveQuery {
    gather: Gather,
    caller: u64,
    label: RequestLabel,
    wake: Option<Instant>,
    /// Legs were refused because of load.
    met_load: bool,
}

/// Queries of this host that are in progress.
#[derive(Debug)]
pub(crate) struct Queries {
    active: SortedMap<QueryId, ActiveQuery>,
    next: u64,
    limit: usize,
}

impl Queries {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            active: SortedMap::new(),
            next: 0,
            limit,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.active.len()
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.active.values().filter_map(|query| query.wake).min()
    }
}

/// A request that admission let through.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    pub(crate) label: RequestLabel,
    pub(crate) priority: u8,
    pub(crate) policy: cornelwinch_config::ClassPolicy,
    pub(crate) deadline: Instant,
}

impl Host {
    pub(crate) fn on_caller(
        &mut self,
        now: Instant,
        caller: u64,
        request: CallerRequest,
        out: &mut Vec<Action>,
    ) {
        let rejection = match request {
            CallerRequest::Query(query) => self.start_query(now, caller, query, out).err(),
            CallerRequest::IssueTickets { token, count } => {
                self.issue_tickets(now, caller, &token, count, out).err()
            }
            CallerRequest::RunTicket(run) => self.accept_ticket(now, caller, run, out).err(),
            CallerRequest::RunClaim(run) => self.accept_claim(now, caller, run, out).err(),
            CallerRequest::Status => {
                let label = RequestLabel::none();
                let answer = CallerAnswer::Status(self.status().to_json());
                out.push(Action::Reply {
                    caller,
                    label,
                    answer,
                });
                None
            }
        };
        if let Some((label, rejection)) = rejection {
            out.push(Action::Reply {
                caller,
                label,
                answer: CallerAnswer::Rejected(rejection),
            });
        }
    }

    /// Admits a request of an organisation. A request that is admitted must be
    /// released by [`Host::release_admitted`].
    pub(crate) fn admit(
        &mut self,
        now: Instant,
        query: &QueryRequest,
    ) -> Result<AdmittedRequest, (RequestLabel, Rejection)> {
        let none = RequestLabel::none();
        if !self.sync.is_ready() {
            return Err((none, Rejection::NotReady));
        }
        if self.sync.state.search(&query.search).is_none() {
            return Err((none, Rejection::UnknownSearch));
        }
        if query.deadline == Some(Duration::ZERO) {
            return Err((none, Rejection::DeadlinePassed));
        }
        let credential = Credential::Token(&query.token);
        let class = query.class.as_deref();
        let admitted = self
            .admission
            .admit(now, credential, &query.search, class, REQUEST_COST)
            .map_err(|rejection| (none, rejection.into()))?;
        let longest = Duration::from_millis(admitted.policy.deadline_ms);
        let allowed = query.deadline.map_or(longest, |asked| asked.min(longest));
        Ok(AdmittedRequest {
            label: RequestLabel {
                class: admitted.class,
                organisation: admitted.organisation,
            },
            priority: admitted.priority,
            policy: admitted.policy,
            deadline: now + allowed,
        })
    }

    /// Ends the admission of a request.
    pub(crate) fn release_admitted(&mut self, now: Instant, organisation: &Name) {
        self.admission.release(now, organisation);
    }

    fn start_query(
        &mut self,
        now: Instant,
        caller: u64,
        query: QueryRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), (RequestLabel, Rejection)> {
        if self.queries.len() >= self.queries.limit {
            return Err((RequestLabel::none(), Rejection::Overloaded));
        }
        let admitted = self.admit(now, &query)?;
        if !self.overload.admit(now, admitted.priority) {
            self.release_admitted(now, &admitted.label.organisation);
            return Err((admitted.label, Rejection::Overloaded));
        }
        let id = QueryId(self.queries.next);
        self.queries.next += 1;
        let spec = QuerySpec {
            query: id,
            search: query.search.clone(),
            class: admitted.label.class.clone(),
            organisation: admitted.label.organisation.clone(),
            fingerprint: Fingerprint::of(&query.search, &query.body),
            body: query.body,
            deadline: admitted.deadline,
            policy: admitted.policy,
            priority: admitted.priority,
        };
        let snapshots = self.sync.state.snapshots(&spec.search);
        let mut actions = Vec::new();
        let gather = Gather::start(now, spec, snapshots, &mut self.stats, &mut actions);
        let active = ActiveQuery {
            wake: gather.next_wake(),
            gather,
            caller,
            label: admitted.label,
            met_load: false,
        };
        self.queries.active.insert(id, active);
        self.on_gather_actions(now, id, actions, out);
        Ok(())
    }

    pub(crate) fn deliver_to_query(
        &mut self,
        now: Instant,
        id: QueryId,
        attempt: AttemptId,
        result: LegResult,
        out: &mut Vec<Action>,
    ) {
        let Some(query) = self.queries.active.get_mut(&id) else {
            self.stats.on_late_result(now, attempt, &result);
            return;
        };
        if !matches!(result, LegResult::Answer(_)) {
            log::debug!("event=leg_not_answered query={id} attempt={attempt} result={result:?}");
        }
        query.met_load |= is_load_refusal(&result);
        let mut actions = Vec::new();
        query
            .gather
            .on_leg(now, attempt, result, &mut self.stats, &mut actions);
        query.wake = query.gather.next_wake();
        self.on_gather_actions(now, id, actions, out);
    }

    pub(crate) fn wake_queries(&mut self, now: Instant, out: &mut Vec<Action>) {
        let due: Vec<QueryId> = self
            .queries
            .active
            .iter()
            .filter(|(_, query)| query.wake.is_some_and(|at| at <= now))
            .map(|(id, _)| *id)
            .collect();
        for id in due {
            let Some(query) = self.queries.active.get_mut(&id) else {
                continue;
            };
            let mut actions = Vec::new();
            query.gather.on_wake(now, &mut self.stats, &mut actions);
            query.wake = query.gather.next_wake();
            self.on_gather_actions(now, id, actions, out);
        }
    }

    /// Stops the work of a caller that has disconnected. A non-idempotent
    /// request goes on, because its caller may ask for the result again.
    pub(crate) fn on_caller_gone(&mut self, now: Instant, caller: u64, out: &mut Vec<Action>) {
        let found = self
            .queries
            .active
            .iter()
            .find(|(_, query)| query.caller == caller)
            .map(|(id, _)| *id);
        let Some(mut query) = found.and_then(|id| self.queries.active.remove(&id)) else {
            return;
        };
        let mut actions = Vec::new();
        query.gather.cancel(now, &mut self.stats, &mut actions);
        self.release_admitted(now, &query.label.organisation);
        for action in actions {
            if let GatherAction::Cancel { attempt, .. } = action {
                self.cancel_leg(now, attempt, out);
            }
        }
    }

    fn on_gather_actions(
        &mut self,
        now: Instant,
        id: QueryId,
        actions: Vec<GatherAction>,
        out: &mut Vec<Action>,
    ) {
        for action in actions {
            match action {
                GatherAction::Send(leg) => self.route_leg(now, leg, LegOrigin::Query(id), out),
                GatherAction::Cancel { attempt, .. } => self.cancel_leg(now, attempt, out),
                GatherAction::Finish(answer) => self.finish_query(now, id, answer, out),
            }
        }
    }

    fn finish_query(&mut self, now: Instant, id: QueryId, answer: Answer, out: &mut Vec<Action>) {
        let Some(query) = self.queries.active.remove(&id) else {
            return;
        };
        self.release_admitted(now, &query.label.organisation);
        if answer.missing.is_empty() {
            self.overload.on_served(now);
        } else if query.met_load {
            self.overload.on_overloaded(now);
        }
        out.push(Action::Reply {
            caller: query.caller,
            label: query.label,
            answer: CallerAnswer::Query(answer),
        });
    }
}

/// Reports whether a leg did not run because its owner or upstream had too much
/// to do.
fn is_load_refusal(result: &LegResult) -> bool {
    matches!(
        result,
        LegResult::Refused(Refusal::Overloaded | Refusal::Shed | Refusal::DeadlinePassed)
    )
}
