use std::rc::Rc;
use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Cap, CapDecision, CapGrant, CapPool, CapReport, CapRule, CapStock, CapToken,
    OrganisationProfile, Route,
};
use cornelwinch_types::{Name, SortedMap};
use tokio::time::timeout_at;

use crate::CapBounds;
use crate::core::Core;
use crate::keys::Sender;
use crate::outcome::Outcome;
use crate::shared::Shared;

/// Longest wait of a request for a token. Between zones a round trip takes up to 8 ms, and the
/// threads of both hosts may be busy.
const MAX_TOKEN_WAIT: Duration = Duration::from_millis(25);

/// Share of the route's goal for which a request waits for a token at most.
const TOKEN_WAIT_GOAL_RATIO: f64 = 0.25;

/// Time after which the caller of a request that waited in vain may return.
const UNANSWERED_WAIT: Duration = Duration::from_millis(100);

/// Largest number of organisations on the state page.
const MAX_STATE_LINES: usize = 256;

/// Time without a refusal after which an organisation is no longer limited.
const LIMITED_TIME: Duration = Duration::from_secs(5);

/// Time for which a closed pool stays closed. Reports that were sent before hosts learned of it
/// delegate nothing, and a source that gets an answer of the store only now and then, each 5 s, does
/// not move the role to and fro.
const POOL_CLOSED_TIME: Duration = Duration::from_secs(15);

/// Time without an answer of the store for which a host keeps the role of the coordinator. Caps need
/// no store, and a move to another coordinator costs refusals until all hosts have delegated to it.
const KEPT_ROLE_TIME: Duration = Duration::from_secs(30);

/// Caps of organisations on this host.
#[derive(Debug)]
pub(crate) struct Caps {
    pub(crate) stock: CapStock,
    /// Buckets of the coordinator; in use while this host has this role.
    pool: CapPool,
    pool_closed_at: Option<Instant>,
    /// Organisations of which requests were refused, and the time of the last refusal.
    limited: SortedMap<Name, Instant>,
}

impl Caps {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            stock: CapStock::new(now, rule(None)),
            pool: CapPool::new(now),
            pool_closed_at: None,
            limited: SortedMap::new(),
        }
    }

    fn record_refusal(&mut self, now: Instant, organisation: &Name) {
        if self.limited.insert(organisation.clone(), now).is_none() {
            log::info!("event=organisation_limited organisation={organisation:?}");
        }
    }

    /// Logs the organisations that are no longer limited.
    pub(crate) fn prune(&mut self, now: Instant) {
        let is_over = |at: Instant| now.saturating_duration_since(at) > LIMITED_TIME;
        let limited = self.limited.iter().filter(|(_, at)| is_over(**at));
        let over: Vec<Name> = limited.map(|(name, _)| name.clone()).collect();
        for name in over {
            self.limited.remove(&name);
            log::info!("event=organisation_not_limited organisation={name:?}");
        }
    }

    /// Ends all delegations, because this host no longer takes the role of the coordinator. Returns
    /// true if there were any.
    fn close_pool(&mut self, now: Instant) -> bool {
        if self.pool.is_closed() || self.pool.delegation_count(now) == 0 {
            return false;
        }
        self.pool.close(now);
        self.pool_closed_at = Some(now);
        true
    }

    /// Returns true if the pool accepts delegations or may do so again.
    fn can_open_pool(&self, now: Instant) -> bool {
        let is_due = |at: Instant| now.saturating_duration_since(at) > POOL_CLOSED_TIME;
        self.pool_closed_at.is_none_or(is_due)
    }
}

fn rule(bounds: Option<CapBounds>) -> CapRule {
    let bounds = bounds.unwrap_or(CapBounds {
        window_s: 0.0,
        overshoot: 0.0,
        slack: 0.0,
    });
    CapRule {
        window: Duration::try_from_secs_f64(bounds.window_s).unwrap_or(Duration::ZERO),
        overshoot: bounds.overshoot,
        slack: bounds.slack,
    }
}

impl Core {
    /// Applies the caps of the version in force, the bounds and the number of hosts.
    fn set_caps(&mut self, bounds: Option<CapBounds>) {
        let now = Instant::now();
        let hosts = self.host_count();
        let organisations = self.organisations.clone();
        let list = organisations
            .iter()
            .flat_map(|table| table.organisations().iter())
            .filter(|_| bounds.is_some());
        let caps: Vec<(&Name, &Cap)> = list
            .filter_map(|organisation| Some((&organisation.name, organisation.cap.as_ref()?)))
            .collect();
        let rule = rule(bounds);
        self.caps
            .stock
            .set_caps(now, rule, hosts, caps.iter().copied());
        self.caps.pool.set_caps(now, &rule, caps.into_iter());
    }

    /// Returns a line for each organisation on the state page.
    pub(crate) fn describe_organisations(&mut self, now: Instant) -> Vec<String> {
        let Some(table) = self.organisations.clone() else {
            return Vec::new();
        };
        let mut lines = vec![format!(
            "keys={} organisations={} shared_keys={} omitted={} delegations={}",
            table.key_count(),
            table.organisations().len(),
            table.shared_key_count(),
            table.omitted_count(),
            self.caps.pool.delegation_count(now),
        )];
        for organisation in table.organisations().iter().take(MAX_STATE_LINES) {
            let OrganisationProfile {
                name,
                priority,
                cap,
            } = &**organisation;
            let usage = self.caps.stock.usage(now, name);
            let (stock, demand) = usage.unwrap_or_default();
            lines.push(format!(
                "organisation={name:?} priority={priority:?} cap={cap:?} stock={stock:.1} demand_per_s={demand:.1} limited={}",
                self.caps.limited.contains_key(name)
            ));
        }
        lines
    }
}

/// A token that a request took. It is given back if the request did not run.
#[derive(Debug)]
pub(crate) struct Admission {
    organisation: Name,
    token: CapToken,
}

/// Ends the wait of a request for a token, even if the request's future is dropped.
struct WaitGuard<'a> {
    shared: &'a Shared,
    organisation: &'a Name,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let mut core = self.shared.core.borrow_mut();
        core.caps.stock.end_wait(self.organisation);
    }
}

impl Shared {
    /// Applies the caps of the version in force, the bounds and the number of hosts.
    pub(crate) fn update_caps(&self) {
        let bounds = self.settings.borrow().bounds.cap;
        self.core.borrow_mut().set_caps(bounds);
        self.coordination.changed.notify_one();
    }

    /// Admits a request under the cap of its organisation. Returns the time after which the caller
    /// may return if the request is refused. `is_timely` tells whether an answer could still
    /// meet the goal of the route.
    pub(crate) async fn admit(
        &self,
        sender: &Sender,
        route: &Route,
        is_timely: bool,
    ) -> Result<Option<Admission>, Duration> {
        let Sender::Organisation(organisation) = sender else {
            return Ok(None);
        };
        let name = &organisation.name;
        if organisation.cap.is_none() || self.core.borrow().caps.stock.cap(name).is_none() {
            return Ok(None);
        }
        let now = Instant::now();
        let decision = {
            let stock = &mut self.core.borrow_mut().caps.stock;
            stock.try_admit(now, name, is_timely)
        };
        let result = match decision {
            CapDecision::Admitted(token) => Ok(token),
            CapDecision::Refused(wait) => Err(wait),
            CapDecision::Ask => self.wait_for_token(name, route.goal).await,
        };
        match result {
            Ok(token) => Ok(Some(Admission {
                organisation: name.clone(),
                token,
            })),
            Err(wait) => {
                let mut core = self.core.borrow_mut();
                core.caps.record_refusal(Instant::now(), name);
                if is_timely {
                    core.caps.stock.record_refusal(Instant::now(), name);
                }
                Err(wait)
            }
        }
    }

    async fn wait_for_token(&self, name: &Name, goal: Duration) -> Result<CapToken, Duration> {
        let wait = MAX_TOKEN_WAIT.min(goal.mul_f64(TOKEN_WAIT_GOAL_RATIO));
        let deadline = Instant::now() + wait;
        self.core.borrow_mut().caps.stock.start_wait(name);
        let _guard = WaitGuard {
            shared: self,
            organisation: name,
        };
        if self.coordination.is_local.get() {
            self.report_to_itself();
        } else {
            self.coordination.wanted.notify_one();
        }
        loop {
            let granted = self.coordination.granted.notified();
            let now = Instant::now();
            let end = self.core.borrow_mut().caps.stock.poll_wait(now, name);
            if let Some(end) = end {
                return end;
            }
            if timeout_at(deadline.into(), granted).await.is_err() {
                return Err(UNANSWERED_WAIT);
            }
        }
    }

    /// Reports whether an answer to a request could still meet the goal of its route, which is
    /// estimated only where shortages are shared among organisations. `left` is the time that the
    /// caller still waits.
    pub(crate) fn is_timely(&self, route: &Route, left: Option<Duration>) -> bool {
        let has_cap_bounds = self.settings.borrow().bounds.cap.is_some();
        let core = &mut *self.core.borrow_mut();
        let (true, Some(left)) = (has_cap_bounds || core.organisations.is_some(), left) else {
            return true;
        };
        let typical = core.median_leg_time(route);
        core.time_budgets
            .can_meet_goal(Instant::now(), route, left, typical)
    }

    /// Gives back the token of a request that did not run.
    pub(crate) fn end_admission(&self, admission: Option<Admission>, outcome: Outcome) {
        if let Some(Admission {
            organisation,
            token,
        }) = admission
            && matches!(outcome, Outcome::NotRun | Outcome::Rejected)
        {
            let mut core = self.core.borrow_mut();
            core.caps
                .stock
                .give_back(Instant::now(), &organisation, token);
        }
    }

    /// Returns true if this host takes the role of the coordinator when other hosts ask for it. It
    /// follows the store, or has the role and lost the store a short time ago.
    pub(crate) fn can_coordinate(&self) -> bool {
        let now = Instant::now();
        let age = self.store_health.time_since_answer(now);
        let may_keep = age.is_some_and(|age| age < KEPT_ROLE_TIME);
        let caps = &mut self.core.borrow_mut().caps;
        !self.is_stopping()
            && caps.can_open_pool(now)
            && (self.is_source() || may_keep && caps.pool.delegation_count(now) > 0)
    }

    /// Answers the report of a host as coordinator.
    pub(crate) fn answer_cap_report(&self, host: &Name, report: &CapReport) -> CapGrant {
        let now = Instant::now();
        if !self.can_coordinate() {
            return self.last_grant(now, report.sequence);
        }
        let mut core = self.core.borrow_mut();
        core.caps.pool.reopen();
        let hosts = core.host_count();
        core.caps.pool.answer(now, host, hosts, report)
    }

    /// Ends all delegations and returns the answer that tells a host so. It grants nothing: a report
    /// may have been sent before the host learned that this one coordinates no longer.
    pub(crate) fn last_grant(&self, now: Instant, answered: u64) -> CapGrant {
        if self.core.borrow_mut().caps.close_pool(now) {
            self.coordination.ended.notify_waiters();
        }
        CapGrant {
            answered,
            stamp: 0,
            is_last: true,
            tokens: Vec::new(),
            wait_ms: Vec::new(),
        }
    }

    /// Applies an answer of the coordinator.
    pub(crate) fn record_cap_grant(&self, grant: &CapGrant) {
        let mut core = self.core.borrow_mut();
        core.caps.stock.record_grant(Instant::now(), grant);
        drop(core);
        self.coordination.granted.notify_waiters();
    }

    /// Exchanges a report and its answer within this host, which is the coordinator.
    pub(crate) fn report_to_itself(&self) {
        let host = self.settings.borrow().host.clone();
        let report = self.core.borrow_mut().caps.stock.report(Instant::now());
        let grant = self.answer_cap_report(&host, &report);
        self.record_cap_grant(&grant);
    }
}

/// Ends the delegations of other hosts once this host no longer coordinates.
pub(crate) fn prune_caps(shared: &Rc<Shared>) {
    let now = Instant::now();
    shared.core.borrow_mut().caps.prune(now);
    if !shared.can_coordinate() {
        shared.last_grant(now, 0);
    }
}
