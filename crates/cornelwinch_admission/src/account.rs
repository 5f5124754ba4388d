use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::bucket::{Bucket, BucketSize};
use crate::demand::Demand;
use crate::exchange::Exchange;
use crate::ledger::Ledger;
use crate::views::Views;
use crate::{AdmissionConfig, Resource};

/// Part of its own share that a host does not lend, so that an organisation that
/// moves to it is not refused at once.
const RESERVE: f64 = 0.01;
/// Tokens below which a host that is running out asks for more.
const LOW_TOKENS: f64 = 1.0;
/// Tokens that a host with traffic tries to have: enough for requests that
/// arrive close together, and few, because other hosts could use them.
const TARGET_TOKENS: f64 = 2.0;
/// Time in which a host tries to reach the target.
const CORRECTION: Duration = Duration::from_millis(250);
/// Largest wanted rate over the estimated one.
const HEADROOM: f64 = 1.3;
/// Estimated rate below which a host is idle; the estimate never reaches zero.
const IDLE_RATE: f64 = 1e-3;

/// A plan's limits, as an account uses them.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Limits {
    pub(crate) size: BucketSize,
    pub(crate) concurrency: u32,
    /// Longest deadline of the classes that the plan may use.
    pub(crate) longest: Duration,
}

/// State of one organisation on this host.
#[derive(Debug, Clone)]
pub(crate) struct Account {
    pub(crate) organisation: Name,
    pub(crate) home: Name,
    pub(crate) limits: Limits,
    pub(crate) bucket: Bucket,
    pub(crate) demand: Demand,
    pub(crate) rate: Exchange,
    pub(crate) slots: Exchange,
    epoch: u64,
}

impl Account {
    /// An account of an organisation that this host has not seen before. Its bucket
    /// holds what the share has collected since `since`.
    pub(crate) fn open(
        now: Instant,
        since: Instant,
        organisation: Name,
        limits: Limits,
        views: &Views,
    ) -> Self {
        let mut account = Self {
            home: views.home(&organisation).clone(),
            organisation,
            limits,
            bucket: Bucket::open(since),
            demand: Demand::open(now),
            rate: Exchange::default(),
            slots: Exchange::default(),
            epoch: views.epoch(),
        };
        account.set_shares(views);
        account.bucket.fill(now, &account.rate.ledger, limits.size);
        account
    }

    /// Brings the shares up to the present hosts and plan.
    pub(crate) fn refresh(&mut self, now: Instant, limits: Limits, views: &Views) {
        if self.epoch != views.epoch() || self.limits != limits {
            let old = self.rate.ledger.own();
            let size = self.limits.size;
            self.epoch = views.epoch();
            self.limits = limits;
            self.set_shares(views);
            self.home = views.home(&self.organisation).clone();
            // The share changed at some time since the last call, so the lower
            // one counts for the whole time.
            let new = self.rate.ledger.own();
            self.rate.ledger.set_own(new.min(old));
            self.bucket.fill(now, &self.rate.ledger, size);
            self.rate.ledger.set_own(new);
        }
        self.fill(now);
        self.rate.ledger.expire(now);
        self.slots.ledger.expire(now);
    }

    pub(crate) fn fill(&mut self, now: Instant) {
        self.bucket.fill(now, &self.rate.ledger, self.limits.size);
    }

    /// Drops tokens that the rate held now may not accumulate.
    pub(crate) fn clip(&mut self, now: Instant) {
        self.bucket.clip(now, &self.rate.ledger, self.limits.size);
    }

    pub(crate) fn exchange(&self, resource: Resource) -> &Exchange {
        match resource {
            Resource::Rate => &self.rate,
            Resource::Slots => &self.slots,
        }
    }

    pub(crate) fn exchange_mut(&mut self, resource: Resource) -> &mut Exchange {
        match resource {
            Resource::Rate => &mut self.rate,
            Resource::Slots => &mut self.slots,
        }
    }

    pub(crate) fn ledger(&self, resource: Resource) -> &Ledger {
        &self.exchange(resource).ledger
    }

    /// What this host itself wants to use.
    pub(crate) fn wanted(&mut self, now: Instant, resource: Resource) -> f64 {
        match resource {
            Resource::Rate => {
                let rate = self.demand.rate(now);
                let target = TARGET_TOKENS.min(self.limits.size.burst / 2.0);
                let correction = (target - self.bucket.tokens()) / CORRECTION.as_secs_f64();
                let wanted = (rate + correction).clamp(0.0, HEADROOM * rate);
                if rate < IDLE_RATE {
                    0.0
                } else {
                    wanted.min(self.limits.size.rate)
                }
            }
            Resource::Slots => self
                .demand
                .wanted_slots(now)
                .min(f64::from(self.limits.concurrency)),
        }
    }

    /// What this host does not lend.
    pub(crate) fn kept(&mut self, now: Instant, resource: Resource) -> f64 {
        let reserve = whole(resource, self.ledger(resource).own() * RESERVE);
        let needed = match resource {
            Resource::Rate => self.demand.steady_rate(now),
            Resource::Slots => self.used(resource),
        };
        self.wanted(now, resource).max(reserve).max(needed)
    }

    /// What is in use and cannot be taken back.
    pub(crate) fn used(&self, resource: Resource) -> f64 {
        match resource {
            Resource::Rate => 0.0,
            Resource::Slots => f64::from(self.demand.in_use()),
        }
    }

    /// What the host wants beyond its own share; zero while it gets along.
    pub(crate) fn missing(
        &mut self,
        now: Instant,
        cfg: &AdmissionConfig,
        resource: Resource,
    ) -> f64 {
        let wanted = self.wanted(now, resource);
        let ledger = self.ledger(resource);
        let missing = wanted - ledger.free(now);
        let gets_along = resource == Resource::Rate && ledger.borrowed(now) == 0.0 && {
            let gain = ledger.held(now) - self.demand.rate(now);
            self.bucket.tokens() + gain * cfg.interval.as_secs_f64() >= LOW_TOKENS
        };
        if gets_along { 0.0 } else { missing.max(0.0) }
    }

    /// Time for which this host lends or borrows. A request that uses a
    /// borrowed slot must end before the loan does.
    pub(crate) fn duration(&self, resource: Resource, base: Duration) -> Duration {
        match resource {
            Resource::Rate => base,
            Resource::Slots => base + self.limits.longest,
        }
    }

    /// Splits off the tokens that go with a loan that is about to be made.
    pub(crate) fn split_tokens(
        &mut self,
        now: Instant,
        resource: Resource,
        to: &str,
        id: u64,
        amount: f64,
    ) -> f64 {
        let held = self.rate.ledger.held(now);
        let added = amount - self.rate.ledger.lent_to(to, id, now);
        if resource == Resource::Slots || held <= 0.0 || added <= 0.0 {
            return 0.0;
        }
        self.bucket.split(added / held)
    }

    /// Time at which the next request for a share is due.
    pub(crate) fn next_round(&self) -> Option<Instant> {
        let due = [self.rate.next_round, self.slots.next_round];
        due.into_iter().flatten().min()
    }

    fn set_shares(&mut self, views: &Views) {
        let rate = views.share(self.limits.size.rate);
        let slots = views.whole_share(&self.organisation, self.limits.concurrency);
        self.rate.ledger.set_own(rate);
        self.slots.ledger.set_own(f64::from(slots));
    }
}

/// Rounds an amount of slots down; a rate is divisible.
pub(crate) fn whole(resource: Resource, amount: f64) -> f64 {
    match resource {
        Resource::Rate => amount.max(0.0),
        Resource::Slots => amount.max(0.0).floor(),
    }
}
