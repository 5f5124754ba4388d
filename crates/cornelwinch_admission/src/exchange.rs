use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::account::{Account, whole};
use crate::ledger::{Ledger, process};
use crate::views::Views;
use crate::{AdmissionAction, AdmissionConfig, AdmissionMsg, Portion, Resource};

/// A lender waits this much longer for the end of a loan, in thousandths, to
/// allow for clocks of different speed.
const DRIFT_PER_MILLE: u32 = 10;
/// Smallest part of a loan that is asked for again while less is needed, so
/// that a short dip of the demand does not scatter the borrowed shares.
const SLOW_RETURN: f64 = 0.8;
/// Increase of a grant that is sent before the host asks again.
const WORTH_SENDING: f64 = 1.1;

/// Loans of one resource of an organisation and the requests for them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Exchange {
    pub(crate) ledger: Ledger,
    /// The last request to each host.
    asked: Vec<Asked>,
    /// What other hosts ask of this one, by host.
    claims: Vec<Claim>,
    pub(crate) next_round: Option<Instant>,
    last_round: Option<Instant>,
}

#[derive(Debug, Clone)]
struct Asked {
    id: u64,
    of: Name,
    sent: Instant,
    duration: Duration,
    answered: bool,
}

#[derive(Debug, Clone)]
struct Claim {
    host: Name,
    id: u64,
    amount: f64,
    seen: Instant,
}

/// What an exchange needs from its surroundings.
pub(crate) struct Context<'a> {
    pub(crate) now: Instant,
    pub(crate) me: &'a Name,
    pub(crate) cfg: &'a AdmissionConfig,
    pub(crate) views: &'a Views,
    pub(crate) rng: &'a mut fastrand::Rng,
    pub(crate) last_id: &'a mut u64,
    pub(crate) out: &'a mut Vec<AdmissionAction>,
}

impl Context<'_> {
    fn next_id(&mut self) -> u64 {
        *self.last_id += 1;
        *self.last_id
    }

    fn send(&mut self, to: &Name, msg: AdmissionMsg) {
        self.out.push(AdmissionAction::Send {
            to: to.clone(),
            msg,
        });
    }

    fn lent_until(&self, duration: Duration) -> Instant {
        self.now + duration + duration * DRIFT_PER_MILLE / 1000
    }
}

impl Exchange {
    /// Lets the next wake ask for what is missing, at most once an interval.
    pub(crate) fn schedule(&mut self, now: Instant, interval: Duration) {
        let due = self.last_round.map_or(now, |last| now.max(last + interval));
        self.next_round = Some(self.next_round.map_or(due, |next| next.min(due)));
    }

    /// The request that a message answers, if it is the last one to the host:
    /// an answer to an earlier one would break the promise in the last one.
    fn answered(&mut self, from: &Name, id: u64) -> Option<&Asked> {
        let asked = self
            .asked
            .iter_mut()
            .find(|asked| asked.of == *from && asked.id == id)?;
        asked.answered = true;
        Some(asked)
    }

    /// Reports whether a request to a host waits for its answer.
    fn is_waiting(&self, host: &Name, now: Instant, patience: Duration) -> bool {
        let asked = self.asked.iter().find(|asked| asked.of == *host);
        asked.is_some_and(|asked| !asked.answered && asked.sent + patience > now)
    }
}

impl Account {
    /// Asks for what is missing, if it is time: the home host pulls from the
    /// others, another host asks the home host.
    pub(crate) fn round(&mut self, resource: Resource, cx: &mut Context<'_>) {
        let now = cx.now;
        if self
            .exchange(resource)
            .next_round
            .is_none_or(|due| due > now)
        {
            return;
        }
        let missing = self.missing(now, cx.cfg, resource);
        let loan = self.duration(resource, cx.cfg.loan);
        let exchange = self.exchange_mut(resource);
        exchange.next_round = None;
        exchange.last_round = Some(now);
        exchange.asked.retain(|asked| asked.sent + loan > now);
        exchange
            .claims
            .retain(|claim| claim.seen + cx.cfg.claim_age() > now);
        let claimed: f64 = exchange.claims.iter().map(|claim| claim.amount).sum();
        if missing + claimed > 0.0 {
            exchange.schedule(now, cx.cfg.interval);
        }
        let is_home = self.home == *cx.me;
        if is_home || claimed > 0.0 {
            self.pull(resource, claimed, cx);
        }
        if !is_home {
            self.ask_home(resource, missing, cx);
        }
    }

    /// Asks the home host for what is missing, and gives back what is not.
    fn ask_home(&mut self, resource: Resource, missing: f64, cx: &mut Context<'_>) {
        let home = self.home.clone();
        let borrowed = self.ledger(resource).borrowed_from(&home, cx.now);
        if missing + borrowed > 0.0 {
            self.exchange_mut(resource)
                .schedule(cx.now, cx.cfg.interval);
            self.ask(resource, &home, missing, cx);
        }
    }

    /// Asks other hosts for the part of the demand that this host lacks.
    fn pull(&mut self, resource: Resource, claimed: f64, cx: &mut Context<'_>) {
        let now = cx.now;
        let needed = self.wanted(now, resource) + claimed - self.ledger(resource).own();
        if needed <= 0.0 {
            return;
        }
        let ledger = self.ledger(resource);
        let borrowed = ledger.borrowed(now);
        let mut lenders: Vec<(f64, Name)> = Vec::new();
        for host in cx.views.hosts() {
            if host != cx.me && cx.views.is_reachable(host) {
                lenders.push((ledger.borrowed_from(host, now), host.clone()));
            }
        }
        // Loans are renewed first; the rest of the places goes to hosts chosen
        // at random, so that every idle share is found in time.
        cx.rng.shuffle(&mut lenders);
        lenders.sort_by(|a, b| b.0.total_cmp(&a.0));
        lenders.truncate(cx.cfg.width);
        for (held, lender) in lenders {
            let amount = if borrowed < needed {
                held + needed - borrowed
            } else {
                held * (needed / borrowed).max(SLOW_RETURN)
            };
            // Slots are lent whole, so a part of one is asked for as one.
            let amount = match resource {
                Resource::Rate => amount,
                Resource::Slots => amount.ceil(),
            };
            if amount > 0.0 {
                self.ask(resource, &lender, amount, cx);
            }
        }
    }

    /// Asks a host for an amount that replaces what it lent before, unless an
    /// earlier request to it is still waiting for its answer.
    fn ask(&mut self, resource: Resource, of: &Name, amount: f64, cx: &mut Context<'_>) {
        let (now, used) = (cx.now, self.used(resource));
        let is_home = self.home == *of;
        let base = if is_home { cx.cfg.grant } else { cx.cfg.loan };
        let duration = self.duration(resource, base);
        let horizon = match resource {
            Resource::Rate => now,
            Resource::Slots => now + self.limits.longest,
        };
        let exchange = self.exchange_mut(resource);
        if exchange.is_waiting(of, now, cx.cfg.patience()) {
            return;
        }
        let id = cx.next_id();
        let held = exchange.ledger.give_back(now, horizon, of, amount, used);
        let asked = Asked {
            id,
            of: of.clone(),
            sent: now,
            duration,
            answered: false,
        };
        exchange.asked.retain(|asked| asked.of != *of);
        exchange.asked.push(asked);
        let organisation = self.organisation.clone();
        let portion = Portion {
            organisation,
            resource,
            id,
            amount,
            held,
            tokens: 0.0,
            duration,
        };
        self.clip(now);
        match is_home {
            true => cx.send(of, AdmissionMsg::AskGrant(portion)),
            false => cx.send(of, AdmissionMsg::PullShare(portion)),
        }
    }

    /// Answers the home host with the idle part of this host's own share.
    pub(crate) fn on_pull(&mut self, from: &Name, asked: &Portion, cx: &mut Context<'_>) {
        let (now, resource) = (cx.now, asked.resource);
        self.exchange_mut(resource)
            .ledger
            .reclaim(from, asked.id, asked.held);
        let kept = self.kept(now, resource);
        let ledger = self.ledger(resource);
        let others = ledger.lent(now) - ledger.lent_to(from, asked.id, now);
        let idle = ledger.own() - others - kept;
        let amount = whole(resource, asked.amount.min(idle));
        let duration = asked.duration.min(self.duration(resource, cx.cfg.loan));
        let portion = self.lend(from, asked, amount, duration, cx);
        cx.send(from, AdmissionMsg::LendShare(portion));
    }

    /// Answers a host that asks for more than its share, and passes on what it
    /// gave back.
    pub(crate) fn on_ask(&mut self, from: &Name, asked: &Portion, cx: &mut Context<'_>) {
        let exchange = self.exchange_mut(asked.resource);
        let claim = Claim {
            host: from.clone(),
            id: asked.id,
            amount: asked.amount,
            seen: cx.now,
        };
        match exchange.claims.binary_search_by(|held| held.host.cmp(from)) {
            Ok(i) => {
                let held = &exchange.claims[i];
                if held.id >= asked.id && process(held.id) == process(asked.id) {
                    return;
                }
                exchange.claims[i] = claim;
            }
            Err(i) => exchange.claims.insert(i, claim),
        }
        exchange.ledger.reclaim(from, asked.id, asked.held);
        exchange.schedule(cx.now, cx.cfg.interval);
        let portion = self.grant(from, asked, cx);
        cx.send(from, AdmissionMsg::Grant(portion));
        self.serve_claims(asked.resource, cx);
    }

    fn grant(&mut self, to: &Name, asked: &Portion, cx: &Context<'_>) -> Portion {
        let amount = self.grantable(to, asked, cx);
        let duration = asked
            .duration
            .min(self.duration(asked.resource, cx.cfg.grant));
        self.lend(to, asked, amount, duration, cx)
    }

    /// What a host may get now, out of what this host keeps until the grant
    /// ends.
    fn grantable(&mut self, to: &Name, asked: &Portion, cx: &Context<'_>) -> f64 {
        let (now, resource) = (cx.now, asked.resource);
        let horizon = cx.lent_until(asked.duration.min(self.duration(resource, cx.cfg.grant)));
        let wanted = self.wanted(now, resource);
        let used = self.used(resource);
        let exchange = self.exchange(resource);
        let pool = exchange.ledger.own() + exchange.ledger.borrowed(horizon);
        let mut wants = vec![wanted];
        wants.extend(exchange.claims.iter().map(|claim| claim.amount));
        let allotted = divide(resource, pool, &wants);
        let place = exchange.claims.iter().position(|claim| claim.host == *to);
        let allotment = place.map_or(0.0, |i| allotted[i + 1]);
        let others = exchange.ledger.lent(now) - exchange.ledger.lent_to(to, asked.id, now);
        let left = pool - others - allotted[0].max(used);
        whole(resource, allotment.min(left))
    }

    fn lend(
        &mut self,
        to: &Name,
        asked: &Portion,
        amount: f64,
        duration: Duration,
        cx: &Context<'_>,
    ) -> Portion {
        let resource = asked.resource;
        let tokens = self.split_tokens(cx.now, resource, to, asked.id, amount);
        let until = cx.lent_until(duration);
        self.exchange_mut(resource)
            .ledger
            .lend(to, asked.id, amount, until);
        self.clip(cx.now);
        Portion {
            amount,
            tokens,
            duration,
            ..asked.clone()
        }
    }

    /// Takes a portion that another host lent.
    pub(crate) fn on_lent(&mut self, from: &Name, lent: &Portion, cx: &mut Context<'_>) {
        let exchange = self.exchange_mut(lent.resource);
        let Some(asked) = exchange.answered(from, lent.id) else {
            return;
        };
        let until = asked.sent + asked.duration.min(lent.duration);
        if until <= cx.now || !exchange.ledger.borrow(from, lent.id, lent.amount, until) {
            return;
        }
        if lent.resource == Resource::Rate {
            self.bucket.add(lent.tokens);
            self.clip(cx.now);
        }
        self.serve_claims(lent.resource, cx);
    }

    /// Passes what this host has come to hold on to the hosts that lack it.
    fn serve_claims(&mut self, resource: Resource, cx: &mut Context<'_>) {
        for claim in self.exchange(resource).claims.clone() {
            let lent = self.ledger(resource).lent_to(&claim.host, claim.id, cx.now);
            let asked = Portion {
                organisation: self.organisation.clone(),
                resource,
                id: claim.id,
                amount: claim.amount,
                held: 0.0,
                tokens: 0.0,
                duration: self.duration(resource, cx.cfg.grant),
            };
            let is_fresh = claim.seen + cx.cfg.grant > cx.now;
            let offered = self.grantable(&claim.host, &asked, cx);
            if is_fresh && offered > lent * WORTH_SENDING && offered > 0.0 {
                let portion = self.grant(&claim.host, &asked, cx);
                cx.send(&claim.host, AdmissionMsg::Grant(portion));
            }
        }
    }
}

/// Divides an amount so that nobody gets more than wanted and nobody who is
/// left wanting gets less than another. What is left of whole slots goes to
/// the first who want one.
fn divide(resource: Resource, amount: f64, wants: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..wants.len()).collect();
    order.sort_by(|a, b| wants[*a].total_cmp(&wants[*b]));
    let mut left = amount;
    let mut parts = vec![0.0; wants.len()];
    for (place, i) in order.into_iter().enumerate() {
        let even = left / (wants.len() - place) as f64;
        parts[i] = whole(resource, wants[i].min(even));
        left -= parts[i];
    }
    if resource == Resource::Slots {
        for (part, want) in parts.iter_mut().zip(wants) {
            if left >= 1.0 && *part + 1.0 <= *want {
                *part += 1.0;
                left -= 1.0;
            }
        }
    }
    parts
}
