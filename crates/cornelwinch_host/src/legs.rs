use std::time::Instant;

use cornelwinch_types::{AttemptId, LegRequest, LegResult, Name, Refusal};

use crate::owners::OwnerOutput;
use crate::router::{Delivery, LegOrigin, ResultRoute};
use crate::{Action, Host, PeerMessage, Routing};

impl Host {
    /// Host that sends the legs of an upstream.
    pub(crate) fn owner_of(&self, upstream: &str) -> Option<Name> {
        match self.cfg.routing {
            Routing::Owner => self.placement.owner(upstream).cloned(),
            Routing::Direct => Some(self.cfg.me.name.clone()),
        }
    }

    /// Sends a leg to the owner of its upstream.
    pub(crate) fn route_leg(
        &mut self,
        now: Instant,
        leg: LegRequest,
        origin: LegOrigin,
        out: &mut Vec<Action>,
    ) {
        match self.owner_of(&leg.upstream) {
            Some(owner) => self.send_leg(now, leg, origin, &owner, false, out),
            None => self.deliveries.push(Delivery {
                origin,
                attempt: leg.attempt,
                result: LegResult::Refused(Refusal::Unreachable),
            }),
        }
    }

    pub(crate) fn send_leg(
        &mut self,
        now: Instant,
        leg: LegRequest,
        origin: LegOrigin,
        owner: &Name,
        redirected: bool,
        out: &mut Vec<Action>,
    ) {
        if let Err(refusal) = self.router.record(now, &leg, origin, owner, redirected) {
            self.deliveries.push(Delivery {
                origin,
                attempt: leg.attempt,
                result: LegResult::Refused(refusal),
            });
        } else if *owner == self.cfg.me.name {
            let mut owner_out = OwnerOutput::default();
            self.owners.submit(now, leg, owner.clone(), &mut owner_out);
            self.on_owner_output(now, owner_out, out);
        } else {
            self.router.push_leg(owner, leg);
        }
    }

    /// Cancels a leg that this host sent.
    pub(crate) fn cancel_leg(&mut self, now: Instant, attempt: AttemptId, out: &mut Vec<Action>) {
        let Some((owner, leg)) = self.router.cancel(attempt) else {
            return;
        };
        if owner == self.cfg.me.name {
            let mut owner_out = OwnerOutput::default();
            self.owners
                .cancel(now, &leg.upstream, attempt, &mut owner_out);
            self.on_owner_output(now, owner_out, out);
        } else {
            self.router.push(&owner, PeerMessage::CancelLegs(vec![leg]));
        }
    }

    /// Passes on what the owned upstreams ask for.
    pub(crate) fn on_owner_output(
        &mut self,
        now: Instant,
        owner_out: OwnerOutput,
        out: &mut Vec<Action>,
    ) {
        out.extend(owner_out.actions);
        for (to, msg) in owner_out.messages {
            self.router.push(&to, msg);
        }
        for reply in owner_out.replies {
            if reply.to == self.cfg.me.name {
                let me = reply.to;
                self.on_leg_result(now, &me, reply.attempt, reply.result, out);
            } else {
                self.reply_leg(&reply.to, reply.attempt, reply.result);
            }
        }
    }

    pub(crate) fn on_leg_result(
        &mut self,
        now: Instant,
        from: &Name,
        attempt: AttemptId,
        result: LegResult,
        out: &mut Vec<Action>,
    ) {
        match self.router.on_result(now, from, attempt, result) {
            ResultRoute::Drop(result) => self.stats.on_late_result(now, attempt, &result),
            ResultRoute::Deliver(delivery) => self.deliveries.push(delivery),
            ResultRoute::Redirect { leg, origin, owner } => {
                self.send_leg(now, leg, origin, &owner, true, out);
            }
        }
    }
}
