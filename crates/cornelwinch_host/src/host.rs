use std::time::{Duration, Instant};

use cornelwinch_admission::{Admission, AdmissionAction, AdmissionConfig, Overload};
use cornelwinch_config::ConfigState;
use cornelwinch_gather::{GatherConfig, GatherStats};
use cornelwinch_membership::{Membership, MembershipAction, MembershipConfig};
use cornelwinch_placement::Placement;
use cornelwinch_types::{Member, MemberState, Name};

use crate::claiming::Claiming;
use crate::fence::Fence;
use crate::owners::{OwnerLimits, OwnerOutput, Owners};
use crate::pause::{Backlog, PAUSE_GAP};
use crate::queries::Queries;
use crate::router::{Delivery, LegOrigin, LegRouter};
use crate::running::Runs;
use crate::shutdown::Draining;
use crate::sync::ConfigSync;
use crate::ticketing::Ticketing;
use crate::{Action, Input, PeerMessage};

/// Longest time between two turns.
const TURN_PERIOD: Duration = Duration::from_millis(100);

/// How legs reach an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Routing {
    /// Through the one host that owns the upstream.
    #[default]
    Owner,
    /// From every host with an equal share of the slots, at least one. It is
    /// the baseline for measurements: the shares add up to more than the slots.
    Direct,
}

/// Settings of a [`Host`].
#[derive(Debug, Clone)]
pub struct HostConfig {
    /// This host as it announces itself.
    pub me: Member,
    /// Time since the Unix epoch at the start, for the age of claims.
    pub unix_time: Duration,
    /// Settings of the membership protocol.
    pub membership: MembershipConfig,
    /// How legs reach an upstream.
    pub routing: Routing,
    /// A gap between turns longer than this makes ownerships unconfirmed.
    pub suspicion: Duration,
    /// Time for which a new owner stays at the cold limit after a crash of the
    /// previous one.
    pub guard: Duration,
    /// Time for which a new owner sends nothing after a crash of the previous
    /// one, so that the legs of that owner have ended.
    pub settle: Duration,
    /// Legs that wait for one upstream.
    pub queue_per_upstream: usize,
    /// Queries in progress; more are refused.
    pub queries: usize,
    /// Time for which the host accepts requests after readiness is off.
    pub balancer_delay: Duration,
    /// Time after which a shutdown stops waiting for work in flight.
    pub drain_limit: Duration,
}

/// One entry host without its sockets.
#[derive(Debug)]
pub struct Host {
    pub(crate) cfg: HostConfig,
    pub(crate) membership: Membership,
    pub(crate) placement: Placement,
    pub(crate) sync: ConfigSync,
    pub(crate) admission: Admission,
    pub(crate) overload: Overload,
    pub(crate) stats: GatherStats,
    pub(crate) queries: Queries,
    pub(crate) ticketing: Ticketing,
    pub(crate) claiming: Claiming,
    pub(crate) runs: Runs,
    pub(crate) owners: Owners,
    pub(crate) router: LegRouter,
    pub(crate) leaving_upstreams: Vec<Name>,
    pub(crate) watching: bool,
    pub(crate) next_watch: Option<Instant>,
    pub(crate) next_hosts: Option<Instant>,
    /// Time from which the list of leaving upstreams is sent without a change.
    pub(crate) next_leaving: Instant,
    pub(crate) draining: Option<Draining>,
    pub(crate) fence: Fence,
    pub(crate) last_turn: Instant,
    pub(crate) backlog: Backlog,
    /// The other hosts know this one, so that it has a share of each rate.
    has_shares: bool,
    /// Results of legs that are to be delivered in this turn.
    pub(crate) deliveries: Vec<Delivery>,
}

impl Host {
    /// Starts a host. It is ready once it has a configuration.
    pub fn open(
        now: Instant,
        cfg: HostConfig,
        mut rng: fastrand::Rng,
        out: &mut Vec<Action>,
    ) -> Self {
        let me = cfg.me.clone();
        let mut membership_out = Vec::new();
        let membership = Membership::open(
            now,
            cfg.membership.clone(),
            me.clone(),
            rng.fork(),
            &mut membership_out,
        );
        let limits = OwnerLimits {
            guard: cfg.guard,
            settle: cfg.settle,
            queue: cfg.queue_per_upstream,
        };
        let mut host = Self {
            placement: Placement::compute(&[], membership.members()),
            membership,
            sync: ConfigSync::new(),
            admission: Admission::open(
                now,
                me.name.clone(),
                AdmissionConfig::default(),
                rng.fork(),
            ),
            overload: Overload::default(),
            stats: GatherStats::new(GatherConfig::new(me.zone.clone()), rng.fork()),
            queries: Queries::new(cfg.queries),
            ticketing: Ticketing::open(now, &me),
            claiming: Claiming::open(now, cfg.unix_time, &me),
            runs: Runs::open(rng.u64(..)),
            owners: Owners::new(limits),
            router: LegRouter::default(),
            leaving_upstreams: Vec::new(),
            watching: false,
            next_watch: Some(now),
            next_hosts: Some(now),
            next_leaving: now,
            draining: None,
            fence: Fence::default(),
            last_turn: now,
            backlog: Backlog::default(),
            has_shares: false,
            deliveries: Vec::new(),
            cfg,
        };
        host.on_membership(now, membership_out, out);
        host.refresh_hosts(now);
        host.claiming.set_members(host.membership.members());
        host.call_platform(now, out);
        host.finish_turn(now, out);
        host
    }

    /// Name of this host.
    pub fn name(&self) -> &Name {
        &self.cfg.me.name
    }

    /// Configuration in force on this host.
    pub fn config(&self) -> &ConfigState {
        &self.sync.state
    }

    /// Reports whether a load balancer may route requests to this host.
    pub fn is_ready(&self) -> bool {
        self.draining.is_none() && self.sync.is_ready() && self.has_shares && !self.is_host_out()
    }

    /// Reports whether the host is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.is_some()
    }

    /// Takes one input.
    pub fn handle(&mut self, now: Instant, input: Input, out: &mut Vec<Action>) {
        self.start_turn(now, out);
        match input {
            Input::Caller { caller, request } => self.on_caller(now, caller, request, out),
            Input::CallerGone { caller } => self.on_caller_gone(now, caller, out),
            Input::Peer { from, msg } => self.on_peer(now, &from, msg, out),
            Input::PeerDown { peer, unsent } => self.on_peer_down(now, &peer, &unsent, out),
            Input::Upstream {
                upstream,
                attempt,
                result,
                signs,
            } => {
                let mut owner_out = OwnerOutput::default();
                self.owners
                    .finish(now, &upstream, attempt, result, signs, &mut owner_out);
                self.on_owner_output(now, owner_out, out);
            }
            Input::UpstreamHealth { upstream, leaving } => {
                self.on_upstream_health(now, &upstream, leaving);
            }
            Input::Platform(event) => self.on_platform(now, event, out),
            Input::Datagram { from, buf } => {
                let mut actions = Vec::new();
                self.membership.on_datagram(now, from, &buf, &mut actions);
                self.on_membership(now, actions, out);
            }
            Input::Shutdown => self.on_shutdown(now),
        }
        self.finish_turn(now, out);
    }

    /// Runs the timers that are due.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.start_turn(now, out);
        let mut actions = Vec::new();
        self.membership.on_wake(now, &mut actions);
        self.on_membership(now, actions, out);
        let mut owner_out = OwnerOutput::default();
        self.owners.on_wake(now, &mut owner_out);
        self.on_owner_output(now, owner_out, out);
        if let Some((number, peers)) = self.fence.on_wake(now) {
            for peer in peers {
                self.router.push(peer, PeerMessage::Fence { number });
            }
        }
        let lost = self.router.on_wake(now);
        self.deliveries.extend(lost);
        self.wake_queries(now, out);
        self.ticketing.tickets.on_wake(now);
        self.wake_runs(now, out);
        self.wake_claiming(now, out);
        let mut actions = Vec::new();
        self.admission.on_wake(now, &mut actions);
        self.on_admission(actions);
        if let Some((to, msg)) = self.sync.on_wake(now) {
            self.router.push(&to, msg);
        }
        self.call_platform(now, out);
        self.advance_shutdown(now, out);
        self.finish_turn(now, out);
    }

    /// Time of the next call of [`Host::on_wake`].
    pub fn next_wake(&self) -> Instant {
        let timers = [
            self.membership.next_wake(),
            self.owners.next_wake(),
            self.router.next_wake(),
            self.fence.next_wake(),
            self.queries.next_wake(),
            self.ticketing.tickets.next_wake(),
            self.runs.next_wake(),
            self.claiming.next_wake(),
            self.admission.next_wake(),
            self.sync.next_wake(),
            self.next_watch.filter(|_| !self.watching),
            self.next_hosts,
        ];
        let turn = self.last_turn + TURN_PERIOD;
        timers.into_iter().flatten().fold(turn, Instant::min)
    }

    /// Notes a pause of the process: what this host owned may have another
    /// owner now, until a member confirms the opposite.
    fn start_turn(&mut self, now: Instant, out: &mut Vec<Action>) {
        let gap = now.saturating_duration_since(self.last_turn);
        self.last_turn = now;
        self.backlog.on_turn(now, gap);
        self.has_shares = self.has_shares || self.admission.is_settled(now);
        if gap > PAUSE_GAP {
            self.fence.raise(now, self.other_members());
        }
        if gap > self.cfg.suspicion {
            log::warn!("event=process_paused gap_ms={}", gap.as_millis());
            let mut owner_out = OwnerOutput::default();
            self.owners.set_confirmed(now, false, &mut owner_out);
            self.on_owner_output(now, owner_out, out);
            // The membership protocol notices the gap in its own turn, and only
            // then stops to call this host confirmed.
            let mut actions = Vec::new();
            self.membership.on_wake(now, &mut actions);
            self.on_membership(now, actions, out);
        }
    }

    /// Delivers results until none are left, then sends the messages.
    fn finish_turn(&mut self, now: Instant, out: &mut Vec<Action>) {
        while let Some(delivery) = self.deliveries.pop() {
            match delivery.origin {
                LegOrigin::Query(query) => {
                    self.deliver_to_query(now, query, delivery.attempt, delivery.result, out);
                }
                LegOrigin::Run(run) => {
                    self.deliver_to_run(now, run, delivery.attempt, delivery.result, out);
                }
            }
        }
        self.share_quarantine();
        for (to, msg) in self.router.take_outbox() {
            match self.peer_addr(&to) {
                Some(addr) => out.push(Action::SendPeer { to, addr, msg }),
                None => self.on_unroutable(now, &to, msg, out),
            }
        }
        if !self.deliveries.is_empty() {
            self.finish_turn(now, out);
        }
    }

    /// A message for a host that is not in the member table never leaves.
    fn on_unroutable(&mut self, now: Instant, to: &Name, msg: PeerMessage, out: &mut Vec<Action>) {
        self.on_peer_down(now, to, &[msg], out);
    }

    fn peer_addr(&self, name: &Name) -> Option<std::net::SocketAddr> {
        let members = self.membership.members();
        let i = members
            .binary_search_by(|member| member.name.cmp(name))
            .ok()?;
        Some(members[i].peer)
    }

    pub(crate) fn on_membership(
        &mut self,
        now: Instant,
        actions: Vec<MembershipAction>,
        out: &mut Vec<Action>,
    ) {
        let mut changed = false;
        for action in actions {
            match action {
                MembershipAction::Send { to, buf } => out.push(Action::SendDatagram { to, buf }),
                MembershipAction::Changed(member) => {
                    changed = true;
                    self.on_member_changed(now, &member, out);
                }
                MembershipAction::ZoneReachable { zone, reachable } => {
                    log::warn!("event=zone_reachable zone={zone} reachable={reachable}");
                    changed = true;
                }
                MembershipAction::PeerRevision { from, revision } => {
                    if let Some((to, msg)) = self.sync.on_peer_revision(now, &from, revision) {
                        self.router.push(&to, msg);
                    }
                }
            }
        }
        if self.membership.is_confirmed() {
            let mut owner_out = OwnerOutput::default();
            self.owners.set_confirmed(now, true, &mut owner_out);
            self.on_owner_output(now, owner_out, out);
        }
        if changed {
            self.placement.set_members(&self.eligible_members());
            self.refresh_owners(now, out);
            self.refresh_hosts(now);
            self.claiming.set_members(self.membership.members());
        }
    }

    /// Members that may own upstreams. Those of a zone that cannot be reached
    /// are left out, so that its upstreams get an owner that can be.
    fn eligible_members(&self) -> Vec<Member> {
        self.membership
            .members()
            .iter()
            .filter(|member| {
                member.zone == self.cfg.me.zone || self.membership.is_zone_reachable(&member.zone)
            })
            .cloned()
            .collect()
    }

    fn on_member_changed(&mut self, now: Instant, member: &Member, out: &mut Vec<Action>) {
        log::info!(
            "event=member_changed member={} zone={} state={:?} incarnation={}",
            member.name,
            member.zone,
            member.state,
            member.incarnation
        );
        if member.state == MemberState::Dead && member.name != self.cfg.me.name {
            out.push(Action::DisconnectPeer {
                peer: member.name.clone(),
            });
            self.on_peer_down(now, &member.name, &[], out);
            self.fence.forget(&member.name);
        }
    }

    /// Members other than this host that may send legs, by name.
    fn other_members(&self) -> Vec<Name> {
        self.membership
            .members()
            .iter()
            .filter(|member| member.state != MemberState::Dead && member.name != self.cfg.me.name)
            .map(|member| member.name.clone())
            .collect()
    }

    /// Time left for a peer's request: none if it may have waited during a pause
    /// of this process, so that it is not started.
    pub(crate) fn fresh_budget(&self, peer: &Name, budget: Duration) -> Duration {
        if self.fence.is_stale(peer) {
            Duration::ZERO
        } else {
            budget
        }
    }

    pub(crate) fn on_admission(&mut self, actions: Vec<AdmissionAction>) {
        for AdmissionAction::Send { to, msg } in actions {
            self.router.push(&to, PeerMessage::Admission(msg));
        }
    }

    fn share_quarantine(&mut self) {
        let marks: Vec<crate::QuarantineMark> = self
            .stats
            .quarantine_mut()
            .take_new()
            .into_iter()
            .map(|(fingerprint, ttl)| crate::QuarantineMark { fingerprint, ttl })
            .collect();
        if marks.is_empty() {
            return;
        }
        log::warn!("event=request_quarantined count={}", marks.len());
        self.spread_everywhere(|relay| PeerMessage::Quarantine {
            marks: marks.clone(),
            relay,
        });
    }
}
