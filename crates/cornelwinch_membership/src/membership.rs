use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Instant;

use cornelwinch_types::{Member, MemberState, Name, Revision};
use fastrand::Rng;

use crate::codec::Record;
use crate::probe::{Probe, Relay};
use crate::queue::UpdateQueue;
use crate::suspicion::Suspicion;
use crate::sync::{EAGER_SYNC, PendingPull};
use crate::table::Table;
use crate::zone::Reach;
use crate::{Counters, MembershipAction, MembershipConfig};

/// Member table of one host and the protocol that keeps it current.
///
/// ```
/// use std::time::Instant;
///
/// use cornelwinch_membership::{DatagramKey, Membership, MembershipAction, MembershipConfig};
/// use cornelwinch_types::{Incarnation, Member, MemberState, Name};
///
/// let host = |name: &str, port: u16| Member {
///     name: Name::from(name),
///     zone: Name::from("a"),
///     incarnation: Incarnation(1),
///     peer: ([127, 0, 0, 1], port).into(),
///     gossip: ([127, 0, 0, 1], port + 1).into(),
///     state: MemberState::Alive,
/// };
/// let (now, rng) = (Instant::now(), fastrand::Rng::with_seed(1));
/// let key = DatagramKey::derive("tunis", b"secret");
/// let (one, two) = (host("a-1", 7000), host("a-2", 7010));
/// let mut out = Vec::new();
/// let cfg = MembershipConfig::new(key, Vec::new());
/// let mut first = Membership::open(now, cfg, one.clone(), rng.clone(), &mut out);
/// let cfg = MembershipConfig::new(key, vec![one.gossip]);
/// let _second = Membership::open(now, cfg, two.clone(), rng, &mut out);
/// for action in std::mem::take(&mut out) {
///     if let MembershipAction::Send { buf, .. } = action {
///         first.on_datagram(now, two.gossip, &buf, &mut out);
///     }
/// }
/// assert_eq!(first.members(), [one, two]);
/// ```
#[derive(Debug)]
pub struct Membership {
    pub(crate) cfg: MembershipConfig,
    pub(crate) rng: Rng,
    pub(crate) table: Table,
    pub(crate) me: Member,
    pub(crate) version: u32,
    pub(crate) revision: Revision,
    pub(crate) seq: u64,
    /// Number of the next probe.
    pub(crate) number: u64,
    /// Hosts of the own zone to probe before any is probed again.
    pub(crate) targets: Vec<Name>,
    pub(crate) probes: Vec<Probe>,
    pub(crate) relays: VecDeque<Relay>,
    /// Suspect hosts of the own zone.
    pub(crate) suspects: Vec<Suspicion>,
    /// Dead hosts and when they are forgotten, the earliest first.
    pub(crate) dead: VecDeque<(Instant, Name)>,
    /// Updates for the own zone.
    pub(crate) local: UpdateQueue,
    /// Updates for other zones; filled on delegates only.
    pub(crate) remote: UpdateQueue,
    pub(crate) pulls: Vec<PendingPull>,
    pub(crate) eager_until: Instant,
    pub(crate) joining_until: Instant,
    /// Addresses from settings and the platform's list, without the own one.
    pub(crate) candidates: Vec<SocketAddr>,
    /// The platform's last list: name and leaving mark, by name.
    pub(crate) listed: Vec<(Name, bool)>,
    pub(crate) zone_cursor: usize,
    pub(crate) periods: u64,
    pub(crate) next_period: Instant,
    pub(crate) next_gossip: Instant,
    last_turn: Instant,
    pub(crate) left: bool,
    pub(crate) leaving_since: Option<Instant>,
    pub(crate) superseded: bool,
    pub(crate) confirmed: bool,
    /// Number of the first probe whose answer confirms the membership.
    pub(crate) confirm_from: u64,
    pub(crate) counters: Counters,
}

impl Membership {
    /// Starts with the own host as the only member and contacts the seeds.
    ///
    /// # Panics
    ///
    /// Panics if the times of `cfg` are not ascending: `probe_timeout`,
    /// `period`, `suspicion`, `forget`.
    pub fn open(
        now: Instant,
        cfg: MembershipConfig,
        me: Member,
        mut rng: Rng,
        out: &mut Vec<MembershipAction>,
    ) -> Self {
        let ascending = cfg.probe_timeout < cfg.period
            && cfg.period <= cfg.suspicion
            && cfg.suspicion < cfg.forget;
        assert!(ascending, "membership times are not ascending: {cfg:?}");
        let me = Member {
            state: MemberState::Alive,
            ..me
        };
        let mut table = Table::default();
        table.apply(
            now,
            &Record {
                member: me.clone(),
                version: 0,
            },
        );
        let number = u64::from(rng.u32(..));
        let mut membership = Self {
            next_period: now + cfg.period.mul_f64(rng.f64()),
            next_gossip: now,
            candidates: Vec::new(),
            table,
            version: 0,
            revision: Revision(0),
            seq: 0,
            number,
            targets: Vec::new(),
            probes: Vec::new(),
            relays: VecDeque::new(),
            suspects: Vec::new(),
            dead: VecDeque::new(),
            local: UpdateQueue::default(),
            remote: UpdateQueue::default(),
            pulls: Vec::new(),
            eager_until: now + EAGER_SYNC,
            joining_until: now + EAGER_SYNC,
            listed: Vec::new(),
            zone_cursor: rng.usize(..1 << 16),
            periods: 0,
            last_turn: now,
            left: false,
            leaving_since: None,
            superseded: false,
            confirmed: false,
            confirm_from: number,
            counters: Counters::default(),
            cfg,
            rng,
            me,
        };
        membership.set_candidates(&[]);
        membership.ping_candidates(now, out);
        membership
    }

    /// Members of all zones by name: the own host, living and leaving ones, and
    /// dead ones until they are forgotten.
    pub fn members(&self) -> &[Member] {
        self.table.members()
    }

    /// Reports whether a host of the own zone has heard from a zone lately;
    /// true for the own and for unknown zones.
    pub fn is_zone_reachable(&self, zone: &str) -> bool {
        self.table
            .zone(zone)
            .is_none_or(|zone| zone.reach != Reach::Unreachable)
    }

    /// Reports whether another member has answered since the start or the last
    /// pause longer than the suspicion time.
    ///
    /// Always true for a host without any known peer or seed, always false once
    /// a newer process has taken the host's name.
    pub fn is_confirmed(&self) -> bool {
        let alone = self.members().len() == 1 && self.candidates.is_empty();
        !self.superseded && (self.confirmed || alone)
    }

    /// Totals since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Sets the configuration revision that datagrams report.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Time at which [`Membership::on_wake`] has to be called.
    pub fn next_wake(&self) -> Option<Instant> {
        let mut next = self.next_period;
        let mut consider = |at: Option<Instant>| next = at.map_or(next, |at| next.min(at));
        consider(self.probes.iter().map(|probe| probe.due).min());
        consider(self.suspects.iter().map(|suspicion| suspicion.due).min());
        consider(
            self.table
                .zones()
                .iter()
                .filter_map(|zone| zone.deadline)
                .min(),
        );
        consider(self.dead.front().map(|(due, _)| *due));
        consider(
            self.has_updates(self.next_gossip)
                .then_some(self.next_gossip),
        );
        Some(next)
    }

    /// Handles everything that is due.
    ///
    /// # Panics
    ///
    /// Panics if the state breaks an invariant.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        self.turn(now, out);
        if self.superseded {
            // Its datagrams are ignored, so that all others would seem dead.
            self.next_period = now + self.cfg.period;
            self.probes.clear();
            self.suspects.clear();
            self.local.clear();
            self.remote.clear();
            return;
        }
        self.expire_probes(now, out);
        self.expire_suspicions(now, out);
        self.expire_zones(now, out);
        while self.dead.front().is_some_and(|(due, _)| *due <= now) {
            if let Some((_, name)) = self.dead.pop_front() {
                self.table.forget(&name);
                self.local.remove(&name);
                self.remote.remove(&name);
            }
        }
        if now >= self.next_period {
            self.next_period += self.cfg.period;
            if self.next_period <= now {
                self.next_period = now + self.cfg.period;
            }
            self.periods += 1;
            self.check_state();
            self.probe_period(now, out);
        }
        if now >= self.next_gossip {
            // Without news the time moves on as well: news that ended during a
            // pause would leave it, and with it the next wake, in the past.
            self.next_gossip = now;
            if self.has_updates(now) {
                self.gossip(now, out);
            }
        }
    }

    /// Starts a turn. A late turn is no evidence against other hosts, so open
    /// probes are abandoned and suspicions extended. After a gap longer than
    /// the suspicion time others may have declared this host dead.
    pub(crate) fn turn(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let due = self.next_wake().unwrap_or(now);
        let late = now.saturating_duration_since(due);
        let gap = now.saturating_duration_since(self.last_turn);
        self.last_turn = self.last_turn.max(now);
        if late > self.cfg.probe_timeout {
            self.probes.clear();
            self.relays.clear();
            self.suspects
                .iter_mut()
                .for_each(|suspicion| suspicion.due += late);
            let zones = self.table.zones_mut().iter_mut();
            zones
                .filter_map(|zone| zone.deadline.as_mut())
                .for_each(|due| *due += late);
        }
        if gap > self.cfg.suspicion && !self.superseded {
            self.confirmed = false;
            self.confirm_from = self.number;
            self.eager_until = now + EAGER_SYNC;
            self.ping_members(now, out);
        }
    }

    /// Takes over a record received from another host; returns whether it was
    /// newer.
    pub(crate) fn apply_record(
        &mut self,
        now: Instant,
        record: &Record,
        spread: bool,
        out: &mut Vec<MembershipAction>,
    ) -> bool {
        if record.member.name == self.me.name {
            self.on_own_record(now, record, out);
            return false;
        }
        if record.member.state == MemberState::Suspect && record.member.zone != self.me.zone {
            // Only hosts of the suspect's zone follow up a suspicion.
            let member = Member {
                state: MemberState::Alive,
                ..record.member.clone()
            };
            return self.commit(
                now,
                &Record {
                    member,
                    version: record.version,
                },
                spread,
                out,
            );
        }
        self.commit(now, record, spread, out)
    }

    /// Takes what others say about this host: refutes suspicion and death,
    /// accepts a leaving mark.
    fn on_own_record(&mut self, now: Instant, record: &Record, out: &mut Vec<MembershipAction>) {
        let member = &record.member;
        if member.incarnation > self.me.incarnation {
            self.superseded = true;
        }
        if member.incarnation != self.me.incarnation || record.version < self.version {
            return;
        }
        match member.state {
            MemberState::Suspect | MemberState::Dead => {
                self.counters.refutations += 1;
                self.set_own(now, self.me.state, record.version + 1, out);
            }
            MemberState::Leaving if self.me.state == MemberState::Alive => {
                self.set_own(now, MemberState::Leaving, record.version, out);
            }
            _ if record.version > self.version => {
                self.set_own(now, self.me.state, record.version + 1, out);
            }
            _ => {}
        }
    }

    pub(crate) fn set_own(
        &mut self,
        now: Instant,
        state: MemberState,
        version: u32,
        out: &mut Vec<MembershipAction>,
    ) {
        let member = Member {
            state,
            ..self.me.clone()
        };
        let newer = self.commit(now, &Record { member, version }, true, out);
        assert!(
            newer,
            "own record went back: state={state:?} version={version} held={:?}",
            self.me
        );
        assert!(
            matches!(state, MemberState::Alive | MemberState::Leaving),
            "own state={state:?}"
        );
        self.me.state = state;
        self.version = version;
        self.leaving_since = (state == MemberState::Leaving).then_some(now);
    }

    /// Writes a record to the table with its timers, queues and action; returns
    /// whether it was newer.
    pub(crate) fn commit(
        &mut self,
        now: Instant,
        record: &Record,
        spread: bool,
        out: &mut Vec<MembershipAction>,
    ) -> bool {
        let Some(change) = self.table.apply(now, record) else {
            return false;
        };
        let member = &record.member;
        self.suspects
            .retain(|suspicion| suspicion.name != member.name);
        self.dead.retain(|(_, name)| *name != member.name);
        match member.state {
            MemberState::Suspect => self.start_suspicion(now, &member.name),
            MemberState::Dead => self
                .dead
                .push_back((now + self.cfg.forget, member.name.clone())),
            MemberState::Alive | MemberState::Leaving => {}
        }
        if spread {
            self.next_gossip = self.next_gossip.max(now);
            self.local.push(&member.name);
            if change.digest && self.is_delegate() {
                self.remote.push(&member.name);
            }
        }
        if change.visible {
            out.push(MembershipAction::Changed(member.clone()));
        }
        if change.digest {
            self.add_target(member);
        }
        let is_local = member.zone == self.me.zone;
        assert!(
            is_local || member.state != MemberState::Suspect,
            "suspect of another zone: {member:?}"
        );
        true
    }

    /// Checks what has to hold between two turns. Its cost depends on the
    /// numbers of suspects and open probes only.
    ///
    /// # Panics
    ///
    /// Panics if the own record or a suspicion disagrees with the table.
    pub(crate) fn check_state(&self) {
        assert_eq!(
            self.table.record(&self.me.name),
            Some(self.own_record()),
            "own record differs from the table"
        );
        for suspicion in &self.suspects {
            let state = self.table.get(&suspicion.name).map(|member| member.state);
            assert_eq!(state, Some(MemberState::Suspect), "suspicion={suspicion:?}");
        }
        let mut suspects: Vec<&Name> = self
            .suspects
            .iter()
            .map(|suspicion| &suspicion.name)
            .collect();
        suspects.sort_unstable();
        suspects.dedup();
        assert_eq!(
            suspects.len(),
            self.suspects.len(),
            "suspicions={:?}",
            self.suspects
        );
        let ends = (self.dead.front(), self.dead.back());
        assert!(
            ends.0.map(|host| host.0) <= ends.1.map(|host| host.0),
            "dead hosts out of order: {ends:?}"
        );
        let open = self.probes.iter().all(|probe| probe.number < self.number);
        assert!(
            open,
            "probe of the future, next={} {:?}",
            self.number, self.probes
        );
    }
}
