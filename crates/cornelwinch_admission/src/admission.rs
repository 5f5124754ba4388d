use std::time::{Duration, Instant};

use cornelwinch_config::{ClassPolicy, ConfigState, Kind, PlanSpec};
use cornelwinch_types::{Name, Revision};

use crate::account::{Account, Limits};
use crate::bucket::BucketSize;
use crate::exchange::Context;
use crate::ledger::first_id;
use crate::views::Views;
use crate::{AdmissionAction, AdmissionMsg, Resource};

/// Lower bound of the wait proposed to a refused caller.
const SHORTEST_RETRY: Duration = Duration::from_millis(10);

/// Time limits of the exchange of shares.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdmissionConfig {
    /// Time within which every host learns of a new one. A new host has no
    /// share for this time and the longest loan after it.
    pub join_delay: Duration,
    /// Duration of a loan to the home host.
    pub loan: Duration,
    /// Duration of a grant by the home host; shorter than a loan.
    pub grant: Duration,
    /// Least time between two requests for the same organisation and resource.
    pub interval: Duration,
    /// Hosts that the home host asks at once.
    pub width: usize,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self {
            join_delay: Duration::from_secs(3),
            loan: Duration::from_secs(1),
            grant: Duration::from_millis(500),
            interval: Duration::from_millis(200),
            width: 8,
        }
    }
}

impl AdmissionConfig {
    /// Time for which a request waits for its answer before it is repeated.
    pub(crate) fn patience(&self) -> Duration {
        self.interval + self.interval / 2
    }

    /// Age at which a host's last request to the home host no longer counts.
    pub(crate) fn claim_age(&self) -> Duration {
        self.grant.max(3 * self.interval)
    }
}

/// How a caller is identified.
#[derive(Debug, Clone, Copy)]
pub enum Credential<'a> {
    /// Bearer token of a request.
    Token(&'a str),
    /// Name of an organisation that was identified before.
    Organisation(&'a str),
}

/// A request that may run; [`Admission::release`] ends it.
#[derive(Debug, Clone, PartialEq)]
pub struct Admitted {
    /// Organisation on whose behalf the request runs.
    pub organisation: Name,
    /// Class of the request, the search's default if it named none.
    pub class: Name,
    /// Policy of the class.
    pub policy: ClassPolicy,
    /// The higher number of the plan's and the class's priority.
    pub priority: u8,
}

/// Reason why a request is refused; it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejection {
    /// No organisation with a plan has the token or name.
    UnknownOrganisation,
    /// The organisation's plan does not include the search, or there is none.
    SearchNotAllowed,
    /// The search does not have the class.
    UnknownClass,
    /// The organisation's rate is used up on this host.
    RateExceeded {
        /// Time after which a repetition may succeed.
        retry_after: Duration,
    },
    /// The organisation has too many requests in progress.
    ConcurrencyExceeded,
}

/// Admits organisations' requests within their plans.
///
/// A plan's rate R, burst B and concurrency K hold over all hosts. Each of N
/// hosts has an equal share of both. The organisation's home host, the first by
/// rendezvous hash, borrows idle shares for a short time and grants them to
/// hosts that ask. A lender does not use what it lent until the loan ends.
///
/// In any time T the hosts together admit requests of a total cost of at most
/// R T + B + N, and never have more than K in progress, if each host with a
/// share is in the view of all others: N tokens because a share too small for
/// one token may collect one. A host that the others have not learned of
/// within `join_delay` adds its share of R/N. Groups of hosts that never knew
/// each other admit R each. A lowered plan holds once the loans made before
/// the change have ended. A request that overruns its class's deadline may
/// keep a borrowed slot longer than the loan.
///
/// A host that is cut off keeps its own share and nothing else. A started host
/// has no share until the others have had time to learn of it and loans made
/// before have ended; until then it asks the home hosts for grants.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_admission::{Admission, AdmissionConfig, Credential, Rejection};
/// use cornelwinch_config::ConfigState;
///
/// let now = Instant::now();
/// let rng = fastrand::Rng::with_seed(1);
/// let mut admission = Admission::open(now, "host-1".into(), AdmissionConfig::default(), rng);
/// admission.set_config(&ConfigState::default());
/// admission.set_hosts(now, &["host-1".into(), "host-2".into()]);
/// let result = admission.admit(now, Credential::Token("secret"), "portal", None, 1.0);
/// assert_eq!(result, Err(Rejection::UnknownOrganisation));
/// ```
#[derive(Debug, Clone)]
pub struct Admission {
    me: Name,
    cfg: AdmissionConfig,
    rng: fastrand::Rng,
    last_id: u64,
    views: Views,
    /// Only classes, searches, plans and organisations.
    config: ConfigState,
    /// Time after a change of hosts at which no loan made before it runs.
    settling: Duration,
    /// By organisation.
    accounts: Vec<Account>,
    /// No request is due before this time. It may be too early, but saves
    /// going through all accounts on every turn of the event loop.
    wake: Option<Instant>,
    opened: Instant,
}

impl Admission {
    /// Opens the admission of a host, without a configuration.
    pub fn open(now: Instant, me: Name, cfg: AdmissionConfig, mut rng: fastrand::Rng) -> Self {
        let last_id = first_id(&mut rng);
        let settling = cfg.join_delay + cfg.loan * 2;
        let views = Views::open(now, me.clone());
        Self {
            me,
            cfg,
            rng,
            last_id,
            views,
            config: ConfigState::default(),
            settling,
            accounts: Vec::new(),
            wake: None,
            opened: now,
        }
    }

    /// Takes over the organisations, plans, searches and classes in force.
    pub fn set_config(&mut self, config: &ConfigState) {
        let mut changed = Vec::new();
        for kind in [Kind::Class, Kind::Search, Kind::Plan, Kind::Organisation] {
            for entry in config.entries_of(kind) {
                let held = self
                    .config
                    .entry(kind, &entry.name)
                    .map_or(Revision(0), |e| e.revision);
                if held < entry.revision {
                    changed.push(entry.clone());
                }
            }
        }
        self.config.apply(changed, config.revision());
        let classes = self.config.entries_of(Kind::Class);
        let longest = classes
            .iter()
            .filter_map(|entry| self.config.class(&entry.name));
        let longest = longest.map(deadline).max().unwrap_or_default();
        self.settling = self.cfg.join_delay + 2 * self.cfg.loan + longest;
        let config = &self.config;
        self.accounts.retain(|account| {
            account.demand.in_use() > 0 || config.organisation(&account.organisation).is_some()
        });
    }

    /// Takes over the known hosts: all that are not confirmed to be gone,
    /// whether they can be reached or not. This host is always included.
    pub fn set_hosts(&mut self, now: Instant, hosts: &[Name]) {
        self.views.set_hosts(now, hosts);
    }

    /// Marks known hosts that cannot be reached now. They keep their share,
    /// and another host stands in for one that is an organisation's home.
    pub fn set_unreachable(&mut self, hosts: &[Name]) {
        self.views.set_unreachable(hosts);
    }

    /// Reports whether this host has a share of its own: it has been known to
    /// the others for long enough.
    pub fn is_settled(&mut self, now: Instant) -> bool {
        self.views.settle(now, self.settling);
        self.views.is_joined()
    }

    /// The home host of an organisation.
    pub fn home(&self, organisation: &str) -> &Name {
        self.views.home(organisation)
    }

    /// Requests of an organisation in progress on this host.
    pub fn in_use(&self, organisation: &str) -> u32 {
        let place = self
            .accounts
            .binary_search_by(|account| (*account.organisation).cmp(organisation));
        place.map_or(0, |i| self.accounts[i].demand.in_use())
    }

    /// Decides whether a request may run. `cost` is 1 for an ordinary request.
    ///
    /// # Errors
    ///
    /// Returns the reason of the refusal.
    pub fn admit(
        &mut self,
        now: Instant,
        credential: Credential<'_>,
        search: &str,
        class: Option<&str>,
        cost: f64,
    ) -> Result<Admitted, Rejection> {
        let admitted = self.authorise(credential, search, class)?;
        let cfg = self.cfg;
        let Some(account) = self.account(now, &admitted.organisation) else {
            return Err(Rejection::UnknownOrganisation);
        };
        account.demand.offer(now, cost);
        let end = now + deadline(&admitted.policy);
        let slots = account.slots.ledger.held_through(now, end);
        let size = account.limits.size;
        let held = account.rate.ledger.held(now);
        let result = if f64::from(account.demand.in_use() + 1) > slots {
            account.demand.refuse_slot(now);
            Err(Rejection::ConcurrencyExceeded)
        } else if account.bucket.take(cost, held, size) {
            account.demand.start(now);
            Ok(admitted)
        } else {
            Err(Rejection::RateExceeded {
                retry_after: retry_after(account, cost, held, &cfg),
            })
        };
        for resource in [Resource::Rate, Resource::Slots] {
            if account.missing(now, &cfg, resource) > 0.0 {
                account.exchange_mut(resource).schedule(now, cfg.interval);
            }
        }
        let due = account.next_round();
        self.wake_at(due);
        result
    }

    /// Ends a request that was admitted.
    pub fn release(&mut self, now: Instant, organisation: &str) {
        let place = self
            .accounts
            .binary_search_by(|account| (*account.organisation).cmp(organisation));
        if let Ok(i) = place {
            self.accounts[i].demand.finish(now);
        }
    }

    /// Handles a message of another host. One about an organisation or with an
    /// amount that cannot be is ignored.
    pub fn on_message(
        &mut self,
        now: Instant,
        from: &Name,
        msg: &AdmissionMsg,
        out: &mut Vec<AdmissionAction>,
    ) {
        let portion = msg.portion();
        let is_amount = |amount: f64| amount.is_finite() && amount >= 0.0;
        if ![portion.amount, portion.held, portion.tokens]
            .into_iter()
            .all(is_amount)
        {
            return;
        }
        self.with_account(now, &portion.organisation, out, |account, cx| match msg {
            AdmissionMsg::PullShare(portion) => account.on_pull(from, portion, cx),
            AdmissionMsg::AskGrant(portion) => account.on_ask(from, portion, cx),
            AdmissionMsg::LendShare(portion) | AdmissionMsg::Grant(portion) => {
                account.on_lent(from, portion, cx);
            }
        });
    }

    /// Sends the requests that are due.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<AdmissionAction>) {
        let is_due = |account: &&Account| account.next_round().is_some_and(|due| due <= now);
        let due: Vec<Name> = self
            .accounts
            .iter()
            .filter(is_due)
            .map(|account| account.organisation.clone())
            .collect();
        for organisation in due {
            self.with_account(now, &organisation, out, |account, cx| {
                account.round(Resource::Rate, cx);
                account.round(Resource::Slots, cx);
            });
        }
        self.wake = self.accounts.iter().filter_map(Account::next_round).min();
    }

    /// Time of the next wake; it may be earlier than the next request.
    pub fn next_wake(&self) -> Option<Instant> {
        self.wake
    }

    fn wake_at(&mut self, due: Option<Instant>) {
        self.wake = self.wake.into_iter().chain(due).min();
    }

    fn authorise(
        &self,
        credential: Credential<'_>,
        search: &str,
        class: Option<&str>,
    ) -> Result<Admitted, Rejection> {
        let config = &self.config;
        let found = match credential {
            Credential::Token(token) => {
                config.organisation_by_token_hash(&blake3::hash(token.as_bytes()))
            }
            Credential::Organisation(name) => config
                .entry(Kind::Organisation, name)
                .and_then(|entry| Some((&entry.name, config.organisation(&entry.name)?))),
        };
        let (organisation, spec) = found.ok_or(Rejection::UnknownOrganisation)?;
        let plan = config
            .plan(&spec.plan)
            .ok_or(Rejection::UnknownOrganisation)?;
        if !plan.searches.iter().any(|name| **name == *search) {
            return Err(Rejection::SearchNotAllowed);
        }
        let classes = &config
            .search(search)
            .ok_or(Rejection::SearchNotAllowed)?
            .classes;
        let class = match class {
            Some(class) => classes.iter().find(|name| ***name == *class),
            None => classes.first(),
        };
        let class = class.ok_or(Rejection::UnknownClass)?;
        let policy = config.class(class).ok_or(Rejection::UnknownClass)?.clone();
        let priority = plan.priority.max(policy.priority);
        Ok(Admitted {
            organisation: organisation.clone(),
            class: class.clone(),
            policy,
            priority,
        })
    }

    fn limits(&self, plan: &PlanSpec) -> Limits {
        let searches = plan
            .searches
            .iter()
            .filter_map(|name| self.config.search(name));
        let classes = searches.flat_map(|search| &search.classes);
        let policies = classes.filter_map(|name| self.config.class(name));
        Limits {
            size: BucketSize {
                rate: plan.rate_per_s,
                burst: f64::from(plan.burst),
            },
            concurrency: plan.concurrency,
            longest: policies.map(deadline).max().unwrap_or_default(),
        }
    }

    /// The up-to-date account of an organisation with a plan.
    fn account(&mut self, now: Instant, organisation: &Name) -> Option<&mut Account> {
        self.views.settle(now, self.settling);
        let limits = self.limits(
            self.config
                .plan(&self.config.organisation(organisation)?.plan)?,
        );
        let i = match self
            .accounts
            .binary_search_by(|account| account.organisation.cmp(organisation))
        {
            Ok(i) => i,
            Err(i) => {
                let since = (self.opened + self.settling).min(now);
                let account = Account::open(now, since, organisation.clone(), limits, &self.views);
                self.accounts.insert(i, account);
                i
            }
        };
        let account = &mut self.accounts[i];
        account.refresh(now, limits, &self.views);
        Some(account)
    }

    fn with_account(
        &mut self,
        now: Instant,
        organisation: &Name,
        out: &mut Vec<AdmissionAction>,
        f: impl FnOnce(&mut Account, &mut Context<'_>),
    ) {
        if self.account(now, organisation).is_none() {
            return;
        }
        let place = self
            .accounts
            .binary_search_by(|account| account.organisation.cmp(organisation));
        let Ok(i) = place else { return };
        let mut cx = Context {
            now,
            me: &self.me,
            cfg: &self.cfg,
            views: &self.views,
            rng: &mut self.rng,
            last_id: &mut self.last_id,
            out,
        };
        f(&mut self.accounts[i], &mut cx);
        let due = self.accounts[i].next_round();
        self.wake_at(due);
    }
}

fn deadline(policy: &ClassPolicy) -> Duration {
    Duration::from_millis(policy.deadline_ms)
}

/// Time until the bucket has enough tokens, or until a grant that was asked
/// for has arrived or not.
fn retry_after(account: &Account, cost: f64, held: f64, cfg: &AdmissionConfig) -> Duration {
    let seconds = (cost - account.bucket.tokens()) / held;
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(cfg.loan);
    wait.clamp(SHORTEST_RETRY, cfg.loan.max(SHORTEST_RETRY))
}
