use std::time::Instant;

use cornelwinch_types::{AttemptId, LegRequest, LegResult, Name, Refusal};

use crate::owners::OwnerOutput;
use crate::{Action, Host, LegDone, LegRef, PeerMessage};

impl Host {
    pub(crate) fn on_peer(
        &mut self,
        now: Instant,
        from: &Name,
        msg: PeerMessage,
        out: &mut Vec<Action>,
    ) {
        self.router.on_heard(now, from);
        match msg {
            PeerMessage::Legs(batch) => {
                let mut owner_out = OwnerOutput::default();
                for mut leg in batch.into_legs() {
                    leg.budget = self.fresh_budget(from, leg.budget);
                    if self.owners.owns(&leg.upstream) {
                        self.owners.submit(now, leg, from.clone(), &mut owner_out);
                    } else {
                        self.refuse_not_owner(from, &leg);
                    }
                }
                self.on_owner_output(now, owner_out, out);
            }
            PeerMessage::LegsDone(done) => {
                for done in done {
                    self.on_leg_result(now, from, done.attempt, done.result, out);
                }
            }
            PeerMessage::CancelLegs(legs) => {
                let mut owner_out = OwnerOutput::default();
                for LegRef { attempt, upstream } in legs {
                    self.owners.cancel(now, &upstream, attempt, &mut owner_out);
                }
                self.on_owner_output(now, owner_out, out);
            }
            PeerMessage::Handover { upstream, state } => {
                let mut owner_out = OwnerOutput::default();
                self.owners
                    .on_handover(now, &upstream, state, &mut owner_out);
                self.on_owner_output(now, owner_out, out);
            }
            PeerMessage::HandoverReleased { upstream, finished } => {
                let mut owner_out = OwnerOutput::default();
                self.owners
                    .on_released(now, &upstream, finished, &mut owner_out);
                self.on_owner_output(now, owner_out, out);
            }
            PeerMessage::Fence { number } => {
                self.router.push(from, PeerMessage::FenceAck { number });
            }
            PeerMessage::FenceAck { number } => self.fence.on_ack(from, number),
            PeerMessage::UpstreamsLeaving { upstreams, relay } => {
                self.pass_on(&relay, from, |relay| PeerMessage::UpstreamsLeaving {
                    upstreams: upstreams.clone(),
                    relay,
                });
                self.on_upstreams_leaving(now, upstreams, out);
            }
            PeerMessage::PullConfig { after } => {
                let msg = self.sync.on_pull(after);
                self.router.push(from, msg);
            }
            PeerMessage::Config(update) => self.on_config_update(now, from, update, out),
            PeerMessage::Run(req) => self.on_run(now, from, req, out),
            PeerMessage::RunDone { request, result } => {
                self.on_run_done(now, from, request, result, out);
            }
            PeerMessage::Admission(msg) => {
                let mut actions = Vec::new();
                self.admission.on_message(now, from, &msg, &mut actions);
                self.on_admission(actions);
            }
            PeerMessage::Quarantine { marks, relay } => {
                self.pass_on(&relay, from, |relay| PeerMessage::Quarantine {
                    marks: marks.clone(),
                    relay,
                });
                for mark in marks {
                    self.stats
                        .quarantine_mut()
                        .add(now, mark.fingerprint, mark.ttl);
                }
            }
        }
    }

    pub(crate) fn reply_leg(&mut self, to: &Name, attempt: AttemptId, result: LegResult) {
        let done = LegDone { attempt, result };
        self.router.push(to, PeerMessage::LegsDone(vec![done]));
    }

    fn refuse_not_owner(&mut self, from: &Name, leg: &LegRequest) {
        let owner = self
            .placement
            .owner(&leg.upstream)
            .filter(|owner| **owner != self.cfg.me.name)
            .cloned();
        let done = LegDone {
            attempt: leg.attempt,
            result: LegResult::Refused(Refusal::NotOwner { owner }),
        };
        self.router.push(from, PeerMessage::LegsDone(vec![done]));
    }

    pub(crate) fn on_peer_down(
        &mut self,
        now: Instant,
        peer: &Name,
        unsent: &[PeerMessage],
        out: &mut Vec<Action>,
    ) {
        let lost = self.router.on_owner_down(peer, unsent);
        self.deliveries.extend(lost);
        self.sync.on_peer_down(peer);
        self.on_run_host_down(now, peer, out);
    }
}
