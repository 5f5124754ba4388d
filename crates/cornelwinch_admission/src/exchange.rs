use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::account::{Account, whole};
use crate::ledger::Ledger;
use crate::views::Views;
use crate::{AdmissionAction, AdmissionConfig, AdmissionMsg, Portion, Resource};

/// A lender waits this much longer for the end of a loan, in thousandths, to
/// allow for clocks of different speed.
const DRIFT_PER_MILLE: u32 = 10;

/// Loans of one resource of a customer and the requests for them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Exchange {
    pub(crate) ledger: Ledger,
    /// Requests of this host that may still be answered, oldest first.
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

    /// Time at which an answered request was sent, and the duration it named.
    fn sent(&self, from: &Name, id: u64) -> Option<(Instant, Duration)> {
        let mut asked = self.asked.iter();
        let asked = asked.find(|asked| asked.id == id && asked.of == *from)?;
        Some((asked.sent, asked.duration))
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
        let oldest = cx.cfg.grant.max(3 * cx.cfg.interval);
        exchange.claims.retain(|claim| claim.seen + oldest > now);
        let claimed: f64 = exchange.claims.iter().map(|claim| claim.amount).sum();
        if missing + claimed > 0.0 {
            exchange.schedule(now, cx.cfg.interval);
        }
        let is_home = self.home == *cx.me;
        if is_home || claimed > 0.0 {
            self.pull(resource, claimed, cx);
        }
        if !is_home && missing > 0.0 {
            let portion = self.portion(resource, missing, cx.cfg.grant, cx);
            let home = self.home.clone();
            self.ask(resource, &home, AdmissionMsg::AskGrant(portion), cx);
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
                held * needed / borrowed
            };
            // Slots are lent whole, so a part of one is asked for as one.
            let amount = match resource {
                Resource::Rate => amount,
                Resource::Slots => amount.ceil(),
            };
            if amount > 0.0 {
                let portion = self.portion(resource, amount, cx.cfg.loan, cx);
                self.ask(resource, &lender, AdmissionMsg::PullShare(portion), cx);
            }
        }
    }

    fn portion(
        &self,
        resource: Resource,
        amount: f64,
        base: Duration,
        cx: &mut Context<'_>,
    ) -> Portion {
        Portion {
            customer: self.customer.clone(),
            resource,
            id: cx.next_id(),
            amount,
            tokens: 0.0,
            duration: self.duration(resource, base),
        }
    }

    fn ask(&mut self, resource: Resource, of: &Name, msg: AdmissionMsg, cx: &mut Context<'_>) {
        let Portion { id, duration, .. } = *msg.portion();
        let asked = Asked {
            id,
            of: of.clone(),
            sent: cx.now,
            duration,
        };
        self.exchange_mut(resource).asked.push(asked);
        cx.send(of, msg);
    }

    /// Answers the home host with the idle part of this host's own share.
    pub(crate) fn on_pull(&mut self, from: &Name, asked: &Portion, cx: &mut Context<'_>) {
        let (now, resource) = (cx.now, asked.resource);
        let kept = self.kept(now, resource);
        let ledger = self.ledger(resource);
        let others = ledger.lent(now) - ledger.lent_to(from, now);
        let idle = ledger.own() - others - kept;
        let amount = whole(resource, asked.amount.min(idle));
        if amount > 0.0 {
            let duration = asked.duration.min(self.duration(resource, cx.cfg.loan));
            let portion = self.lend(from, asked, amount, duration, cx);
            cx.send(from, AdmissionMsg::LendShare(portion));
        }
    }

    /// Answers a host that asks for more than its share.
    pub(crate) fn on_ask(&mut self, from: &Name, asked: &Portion, cx: &mut Context<'_>) {
        let exchange = self.exchange_mut(asked.resource);
        let claim = Claim {
            host: from.clone(),
            id: asked.id,
            amount: asked.amount,
            seen: cx.now,
        };
        match exchange.claims.binary_search_by(|held| held.host.cmp(from)) {
            Ok(i) => exchange.claims[i] = claim,
            Err(i) => exchange.claims.insert(i, claim),
        }
        exchange.schedule(cx.now, cx.cfg.interval);
        self.grant(from, asked, cx);
    }

    fn grant(&mut self, to: &Name, asked: &Portion, cx: &mut Context<'_>) {
        let (now, resource) = (cx.now, asked.resource);
        let duration = asked.duration.min(self.duration(resource, cx.cfg.grant));
        let horizon = cx.lent_until(duration);
        let wanted = self.wanted(now, resource);
        let used = self.used(resource);
        let exchange = self.exchange(resource);
        let pool = exchange.ledger.own() + exchange.ledger.borrowed(horizon);
        let mut wants = vec![wanted];
        wants.extend(exchange.claims.iter().map(|claim| claim.amount));
        let allotted = divide(resource, pool, &wants);
        let place = exchange.claims.iter().position(|claim| claim.host == *to);
        let allotment = place.map_or(0.0, |i| allotted[i + 1]);
        let others = exchange.ledger.lent(now) - exchange.ledger.lent_to(to, now);
        let left = pool - others - allotted[0].max(used);
        let amount = whole(resource, allotment.min(left));
        if amount > 0.0 {
            let portion = self.lend(to, asked, amount, duration, cx);
            cx.send(to, AdmissionMsg::Grant(portion));
        }
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
        let tokens = self.split_tokens(cx.now, resource, to, amount);
        let until = cx.lent_until(duration);
        self.exchange_mut(resource).ledger.lend(to, amount, until);
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
        let resource = lent.resource;
        let exchange = self.exchange_mut(resource);
        let Some((sent, longest)) = exchange.sent(from, lent.id) else {
            return;
        };
        let until = sent + lent.duration.min(longest);
        if until <= cx.now || !exchange.ledger.borrow(from, lent.id, lent.amount, until) {
            return;
        }
        if resource == Resource::Rate {
            self.bucket.add(lent.tokens);
            self.clip(cx.now);
        }
        self.serve_claims(resource, cx);
    }

    /// Passes newly borrowed portions on to the hosts that still lack them.
    fn serve_claims(&mut self, resource: Resource, cx: &mut Context<'_>) {
        let claims = self.exchange(resource).claims.clone();
        for claim in claims {
            let lent = self.ledger(resource).lent_to(&claim.host, cx.now);
            if lent < claim.amount && claim.seen + cx.cfg.grant > cx.now {
                let asked = Portion {
                    customer: self.customer.clone(),
                    resource,
                    id: claim.id,
                    amount: claim.amount,
                    tokens: 0.0,
                    duration: self.duration(resource, cx.cfg.grant),
                };
                self.grant(&claim.host, &asked, cx);
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
