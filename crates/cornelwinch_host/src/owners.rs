use std::time::{Duration, Instant};

use cornelwinch_config::UpstreamSpec;
use cornelwinch_limiter::{HandoverState, Limiter, LimiterAction, LimiterConfig, OwnershipStart};
use cornelwinch_types::{
    AttemptId, LegRequest, LegResult, Name, Refusal, SortedMap, UpstreamObservation,
};

use crate::{Action, PeerMessage};

/// Time for which a handover waits for this host to see itself as the owner.
const HANDOVER_WAIT: Duration = Duration::from_secs(5);

/// Time between health probes of a leaving upstream.
const LEAVING_PROBE_PERIOD: Duration = Duration::from_secs(5);

/// Limits that apply to every owned upstream.
#[derive(Debug, Clone)]
pub(crate) struct OwnerLimits {
    pub(crate) guard: Duration,
    pub(crate) settle: Duration,
    pub(crate) queue: usize,
}

#[derive(Debug)]
struct Owned {
    limiter: Limiter,
    spec: UpstreamSpec,
    /// New owner, while legs of this host are still in flight.
    successor: Option<Name>,
    /// In-flight count that the successor was told last.
    reported: usize,
    next_probe: Option<Instant>,
    /// The upstream's own zone cannot be reached, and its hosts may own it too.
    held: bool,
}

/// Whether and how this host may use an upstream that it owns.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OwnerTerms {
    /// The upstream takes no new work.
    pub(crate) leaving: bool,
    /// The upstream's own zone cannot be reached, and its hosts may own it too.
    pub(crate) held: bool,
}

/// Result of a leg for the host that submitted it.
#[derive(Debug)]
pub(crate) struct OwnerReply {
    pub(crate) to: Name,
    pub(crate) attempt: AttemptId,
    pub(crate) result: LegResult,
}

/// What the owned upstreams ask for.
#[derive(Debug, Default)]
pub(crate) struct OwnerOutput {
    pub(crate) replies: Vec<OwnerReply>,
    pub(crate) messages: Vec<(Name, PeerMessage)>,
    pub(crate) actions: Vec<Action>,
}

/// Upstreams that this host owns, or that it still has legs at.
#[derive(Debug)]
pub(crate) struct Owners {
    limits: OwnerLimits,
    longest_leg: Duration,
    owned: SortedMap<Name, Owned>,
    arrived: SortedMap<Name, (HandoverState, Instant)>,
    confirmed: bool,
    scratch: Vec<LimiterAction>,
}

/// One line of the operators' status.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize)]
pub struct OwnedStatus {
    /// Name of the upstream.
    pub upstream: Name,
    /// Legs allowed in flight.
    pub limit: usize,
    /// Legs in flight.
    pub in_flight: usize,
    /// Legs waiting.
    pub queued: usize,
    /// Whether the upstream is in a cold start.
    pub cold: bool,
    /// Whether the upstream takes no new work.
    pub leaving: bool,
}

impl Owners {
    pub(crate) fn new(limits: OwnerLimits) -> Self {
        Self {
            limits,
            longest_leg: Duration::ZERO,
            owned: SortedMap::new(),
            arrived: SortedMap::new(),
            confirmed: true,
            scratch: Vec::new(),
        }
    }

    /// Sets the longest deadline of a leg; the guard of later takeovers is not
    /// shorter, because legs of the previous owner may run until then.
    pub(crate) fn set_longest_leg(&mut self, longest: Duration) {
        self.longest_leg = longest;
    }

    /// Names of the upstreams that this host owns.
    pub(crate) fn names(&self) -> impl Iterator<Item = &Name> {
        self.owned
            .iter()
            .filter(|(_, owned)| owned.successor.is_none())
            .map(|(name, _)| name)
    }

    /// Reports whether this host owns the upstream.
    pub(crate) fn owns(&self, upstream: &str) -> bool {
        self.owned
            .get(upstream)
            .is_some_and(|owned| owned.successor.is_none())
    }

    /// Legs waiting or in flight at all upstreams.
    pub(crate) fn pending(&self) -> usize {
        self.owned
            .values()
            .map(|owned| owned.limiter.in_flight() + owned.limiter.queued())
            .sum()
    }

    /// Invariant violations counted by the limiters.
    pub(crate) fn violations(&self) -> u64 {
        self.owned
            .values()
            .map(|owned| owned.limiter.violations())
            .sum()
    }

    /// Status lines by upstream name.
    pub(crate) fn status(&self) -> Vec<OwnedStatus> {
        self.owned
            .iter()
            .filter(|(_, owned)| owned.successor.is_none())
            .map(|(name, owned)| OwnedStatus {
                upstream: name.clone(),
                limit: owned.limiter.limit(),
                in_flight: owned.limiter.in_flight(),
                queued: owned.limiter.queued(),
                cold: owned.limiter.is_cold(),
                leaving: owned.limiter.is_leaving(),
            })
            .collect()
    }

    /// Starts to own an upstream, or takes its changed settings.
    pub(crate) fn acquire(
        &mut self,
        now: Instant,
        upstream: &Name,
        spec: &UpstreamSpec,
        terms: OwnerTerms,
        out: &mut OwnerOutput,
    ) {
        let start = match self.arrived.remove(upstream) {
            Some((state, _)) => OwnershipStart::Handover(state),
            None => OwnershipStart::Takeover,
        };
        let cfg = self.config(spec);
        let confirmed = self.confirmed && !terms.held;
        let opened = match self.owned.get_mut(upstream) {
            Some(owned) => {
                let same_limits = owned.spec.slots == spec.slots
                    && owned.spec.cold_limit == spec.cold_limit
                    && owned.spec.address == spec.address;
                let returned = owned.successor.take().is_some();
                owned.spec = spec.clone();
                owned.held = terms.held;
                let start = if returned {
                    start
                } else {
                    OwnershipStart::Handover(owned.limiter.resume_state())
                };
                if returned || !same_limits {
                    self.with(upstream, now, out, |limiter, actions| {
                        limiter.resume(now, cfg, start, actions);
                    });
                }
                !same_limits
            }
            None => {
                let owned = Owned {
                    limiter: Limiter::new(now, cfg, start),
                    spec: spec.clone(),
                    successor: None,
                    reported: 0,
                    next_probe: None,
                    held: terms.held,
                };
                self.owned.insert(upstream.clone(), owned);
                true
            }
        };
        if opened {
            out.actions.push(Action::OpenUpstream {
                upstream: upstream.clone(),
                spec: spec.clone(),
            });
        }
        self.with(upstream, now, out, |limiter, actions| {
            limiter.set_confirmed(now, confirmed, actions);
            limiter.set_leaving(now, terms.leaving, actions);
        });
    }

    fn config(&self, spec: &UpstreamSpec) -> LimiterConfig {
        LimiterConfig {
            slots: spec.slots as usize,
            cold_limit: spec.cold_limit as usize,
            guard_interval: self.limits.guard.max(self.longest_leg),
            queue_limit: self.limits.queue,
            takeover_delay: self.limits.settle,
            ..LimiterConfig::default()
        }
    }

    /// Stops owning an upstream and tells the new owner its state.
    pub(crate) fn release(
        &mut self,
        now: Instant,
        upstream: &Name,
        successor: Option<&Name>,
        out: &mut OwnerOutput,
    ) {
        if !self.owns(upstream) {
            return;
        }
        let mut state = None;
        self.with(upstream, now, out, |limiter, actions| {
            state = Some(limiter.drain(now, actions));
        });
        if let (Some(successor), Some(state)) = (successor, state) {
            let msg = PeerMessage::Handover {
                upstream: upstream.clone(),
                state,
            };
            out.messages.push((successor.clone(), msg));
        }
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.reported = owned.limiter.in_flight();
            owned.successor = Some(successor.cloned().unwrap_or_else(|| "".into()));
        }
        self.settle_released(upstream, out);
    }

    /// Reports finished legs of a released upstream and forgets it at the end.
    fn settle_released(&mut self, upstream: &Name, out: &mut OwnerOutput) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let Some(successor) = owned.successor.clone() else {
            return;
        };
        let left = owned.limiter.in_flight();
        let finished = owned.reported.saturating_sub(left);
        if finished > 0 && !successor.is_empty() {
            let msg = PeerMessage::HandoverReleased {
                upstream: upstream.clone(),
                finished: u32::try_from(finished).unwrap_or(u32::MAX),
            };
            out.messages.push((successor, msg));
        }
        owned.reported = left;
        if left == 0 {
            self.owned.remove(upstream);
            out.actions.push(Action::CloseUpstream {
                upstream: upstream.clone(),
            });
        }
    }

    /// Takes the state that the previous owner sends.
    pub(crate) fn on_handover(
        &mut self,
        now: Instant,
        upstream: &Name,
        state: HandoverState,
        out: &mut OwnerOutput,
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            self.arrived
                .insert(upstream.clone(), (state, now + HANDOVER_WAIT));
            return;
        };
        if owned.successor.is_some() {
            self.arrived
                .insert(upstream.clone(), (state, now + HANDOVER_WAIT));
            return;
        }
        self.with(upstream, now, out, |limiter, actions| {
            limiter.on_handover(now, state, actions);
        });
    }

    /// Counts legs of the previous owner that have finished.
    pub(crate) fn on_released(
        &mut self,
        now: Instant,
        upstream: &Name,
        finished: u32,
        out: &mut OwnerOutput,
    ) {
        if let Some((state, _)) = self.arrived.get_mut(upstream) {
            state.in_flight = state.in_flight.saturating_sub(finished as usize);
        }
        if self.owns(upstream) {
            self.with(upstream, now, out, |limiter, actions| {
                limiter.on_handover_released(now, finished as usize, actions);
            });
        }
    }

    /// Submits a leg of this or another host.
    pub(crate) fn submit(
        &mut self,
        now: Instant,
        leg: LegRequest,
        from: Name,
        out: &mut OwnerOutput,
    ) {
        let upstream = leg.upstream.clone();
        if !self.owns(&upstream) {
            out.replies.push(OwnerReply {
                to: from,
                attempt: leg.attempt,
                result: LegResult::Refused(Refusal::NotOwner { owner: None }),
            });
            return;
        }
        self.with(&upstream, now, out, |limiter, actions| {
            limiter.submit(now, leg, from, actions);
        });
    }

    /// Takes the end of an attempt at an upstream.
    pub(crate) fn finish(
        &mut self,
        now: Instant,
        upstream: &Name,
        attempt: AttemptId,
        result: LegResult,
        signs: UpstreamObservation,
        out: &mut OwnerOutput,
    ) {
        self.with(upstream, now, out, |limiter, actions| {
            limiter.finish(now, attempt, result, signs, actions);
        });
        self.settle_released(upstream, out);
    }

    /// Cancels a leg.
    pub(crate) fn cancel(
        &mut self,
        now: Instant,
        upstream: &Name,
        attempt: AttemptId,
        out: &mut OwnerOutput,
    ) {
        self.with(upstream, now, out, |limiter, actions| {
            limiter.cancel(now, attempt, actions);
        });
    }

    /// Marks an upstream as leaving or as back in service.
    pub(crate) fn set_leaving(
        &mut self,
        now: Instant,
        upstream: &Name,
        leaving: bool,
        out: &mut OwnerOutput,
    ) {
        self.with(upstream, now, out, |limiter, actions| {
            limiter.set_leaving(now, leaving, actions);
        });
    }

    /// Takes a report that the upstream serves.
    pub(crate) fn on_serving_report(&mut self, now: Instant, upstream: &Name) {
        if let Some(owned) = self.owned.get_mut(upstream) {
            owned.limiter.on_serving_report(now);
        }
    }

    /// Holds all upstreams to the cold limit while ownership is unconfirmed.
    pub(crate) fn set_confirmed(&mut self, now: Instant, confirmed: bool, out: &mut OwnerOutput) {
        if self.confirmed == confirmed {
            return;
        }
        self.confirmed = confirmed;
        let names: Vec<Name> = self
            .owned
            .iter()
            .filter(|(_, owned)| !owned.held)
            .map(|(name, _)| name.clone())
            .collect();
        for name in names {
            self.with(&name, now, out, |limiter, actions| {
                limiter.set_confirmed(now, confirmed, actions);
            });
        }
    }

    /// Earliest timer of all upstreams.
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let limiters = self
            .owned
            .values()
            .filter_map(|owned| owned.limiter.next_wake());
        let probes = self.owned.values().filter_map(|owned| owned.next_probe);
        limiters.chain(probes).min()
    }

    /// Runs the timers that are due.
    pub(crate) fn on_wake(&mut self, now: Instant, out: &mut OwnerOutput) {
        self.arrived.retain(|_, (_, until)| *until > now);
        let due: Vec<Name> = self
            .owned
            .iter()
            .filter(|(_, owned)| owned.limiter.next_wake().is_some_and(|at| at <= now))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.with(&name, now, out, |limiter, actions| {
                limiter.on_wake(now, actions);
            });
            self.settle_released(&name, out);
        }
        self.probe_leaving(now, out);
    }

    fn probe_leaving(&mut self, now: Instant, out: &mut OwnerOutput) {
        for (name, owned) in self.owned.iter_mut() {
            if !owned.limiter.is_leaving() {
                owned.next_probe = None;
                continue;
            }
            let at = *owned.next_probe.get_or_insert(now + LEAVING_PROBE_PERIOD);
            if at <= now {
                owned.next_probe = Some(now + LEAVING_PROBE_PERIOD);
                out.actions.push(Action::ProbeUpstream {
                    upstream: name.clone(),
                });
            }
        }
    }

    /// Runs a step of one limiter and passes its actions on.
    fn with(
        &mut self,
        upstream: &Name,
        now: Instant,
        out: &mut OwnerOutput,
        step: impl FnOnce(&mut Limiter, &mut Vec<LimiterAction>),
    ) {
        let Some(owned) = self.owned.get_mut(upstream) else {
            return;
        };
        let mut actions = std::mem::take(&mut self.scratch);
        step(&mut owned.limiter, &mut actions);
        if owned.limiter.is_leaving() && owned.next_probe.is_none() {
            owned.next_probe = Some(now + LEAVING_PROBE_PERIOD);
        }
        for action in actions.drain(..) {
            match action {
                LimiterAction::Send(leg) => out.actions.push(Action::SendUpstream(leg)),
                LimiterAction::Reply {
                    attempt,
                    from,
                    result,
                } => out.replies.push(OwnerReply {
                    to: from,
                    attempt,
                    result,
                }),
                LimiterAction::Cancel { attempt } => out.actions.push(Action::CancelUpstream {
                    upstream: upstream.clone(),
                    attempt,
                }),
            }
        }
        self.scratch = actions;
    }
}
