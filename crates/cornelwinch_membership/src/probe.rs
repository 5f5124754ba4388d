use std::net::SocketAddr;
use std::time::Instant;

use cornelwinch_types::{Member, MemberState, Name};

use crate::codec::Body;
use crate::{Membership, MembershipAction};

/// Hosts asked to probe a host that did not answer.
const RELAYS: usize = 3;

/// Probes that a host runs for others at a time; older ones are dropped.
const RELAY_LIMIT: usize = 64;

/// Seeds or members contacted at a time by a host that is not confirmed.
const CONTACTS: usize = 3;

/// Periods between two attempts to reach a dead host or an absent seed, which
/// joins the two sides of a healed partition.
const REJOIN_PERIODS: u64 = 10;

/// An own probe without answer yet.
#[derive(Debug)]
pub(crate) struct Probe {
    pub(crate) number: u64,
    target: Name,
    /// Zone of the target, if the probe is for the zone: any of its hosts may
    /// answer.
    pub(crate) zone: Option<Name>,
    /// Further probes were sent after the first got no answer.
    retried: bool,
    pub(crate) due: Instant,
}

/// A probe run for another host.
#[derive(Debug)]
pub(crate) struct Relay {
    number: u64,
    target: Name,
    origin: Name,
    origin_addr: SocketAddr,
    origin_number: u64,
}

impl Membership {
    /// Runs the work of one period.
    pub(crate) fn probe_period(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        if let Some(target) = self.next_target() {
            self.start_probe(now, target, None, out);
        }
        if self.is_delegate() {
            self.probe_zones(now, out);
        }
        if !self.confirmed {
            self.ping_candidates(now, out);
        }
        if self.periods.is_multiple_of(REJOIN_PERIODS) {
            self.rejoin(now, out);
        }
    }

    /// Next host of the own zone to probe: all in random order, then again in
    /// another. Independent choices left a dead host of a small zone unprobed
    /// for up to 6 s.
    fn next_target(&mut self) -> Option<Name> {
        let zone = self.table.zone(&self.me.zone)?;
        if self.targets.is_empty() {
            self.targets.extend(
                zone.hosts
                    .iter()
                    .filter(|name| **name != self.me.name)
                    .cloned(),
            );
            self.rng.shuffle(&mut self.targets);
        }
        while let Some(target) = self.targets.pop() {
            if zone.hosts.binary_search(&target).is_ok() {
                return Some(target);
            }
        }
        None
    }

    /// Adds a host that joined to the present round. If it waited for the next
    /// one, hardly any host of a large zone would probe it in its first minute.
    pub(crate) fn add_target(&mut self, member: &Member) {
        let is_peer = member.zone == self.me.zone && member.name != self.me.name;
        if is_peer && member.state != MemberState::Dead && !self.targets.contains(&member.name) {
            let at = self.rng.usize(..=self.targets.len());
            self.targets.insert(at, member.name.clone());
        }
    }

    pub(crate) fn start_probe(
        &mut self,
        now: Instant,
        target: Name,
        zone: Option<Name>,
        out: &mut Vec<MembershipAction>,
    ) {
        let number = self.take_number();
        self.send_to(now, &target, Body::Ping(number), out);
        self.probes.push(Probe {
            number,
            target,
            zone,
            retried: false,
            due: now + self.cfg.probe_timeout,
        });
    }

    pub(crate) fn take_number(&mut self) -> u64 {
        self.number += 1;
        self.number - 1
    }

    /// Retries probes without answer, then counts them as failed.
    pub(crate) fn expire_probes(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        while let Some(at) = self.probes.iter().position(|probe| probe.due <= now) {
            let mut probe = self.probes.swap_remove(at);
            match &probe.zone {
                Some(zone) if probe.retried => self.on_zone_miss(now, zone, out),
                None if probe.retried => self.on_miss(now, &probe.target, out),
                Some(zone) => {
                    if let Some(other) = self.random_host(zone) {
                        self.send_to(now, &other, Body::Ping(probe.number), out);
                    }
                }
                None => self.probe_indirectly(now, &probe, out),
            }
            if !probe.retried {
                probe.retried = true;
                probe.due = now + (self.cfg.period - self.cfg.probe_timeout);
                self.probes.push(probe);
            }
        }
    }

    fn probe_indirectly(&mut self, now: Instant, probe: &Probe, out: &mut Vec<MembershipAction>) {
        let Some(addr) = self.table.get(&probe.target).map(|member| member.gossip) else {
            return;
        };
        self.send(
            now,
            addr,
            Some(&probe.target),
            Body::Ping(probe.number),
            &[],
            out,
        );
        let mut relays = self.random_peers(RELAYS, Some(&probe.target));
        // A small zone has too few hosts; those of other zones can tell a broken
        // path from a dead host.
        for _ in relays.len()..RELAYS {
            relays.extend(self.random_delegate());
        }
        relays.sort_unstable();
        relays.dedup();
        for relay in relays {
            self.send_to(
                now,
                &relay,
                Body::PingReq(probe.number, probe.target.clone(), addr),
                out,
            );
        }
    }

    pub(crate) fn on_ack(
        &mut self,
        now: Instant,
        from: &Name,
        number: u64,
        out: &mut Vec<MembershipAction>,
    ) {
        let zone = self.table.get(from).map(|member| &member.zone);
        let answers = |probe: &Probe| match &probe.zone {
            Some(probed) => zone == Some(probed),
            None => probe.target == *from,
        };
        self.probes
            .retain(|probe| probe.number != number || !answers(probe));
        let relay = self
            .relays
            .iter()
            .position(|relay| relay.number == number && relay.target == *from);
        if let Some(relay) = relay.and_then(|at| self.relays.remove(at)) {
            let body = Body::IndirectAck(relay.origin_number);
            self.send(now, relay.origin_addr, Some(&relay.origin), body, &[], out);
        }
    }

    pub(crate) fn on_indirect_ack(&mut self, number: u64) {
        self.probes
            .retain(|probe| probe.number != number || probe.zone.is_some() || !probe.retried);
    }

    #[expect(
        clippy::too_many_arguments,
        reason = "the fields of one message and its sender"
    )]
    pub(crate) fn on_ping_req(
        &mut self,
        now: Instant,
        from: SocketAddr,
        origin: &Name,
        origin_number: u64,
        target: &Name,
        addr: SocketAddr,
        out: &mut Vec<MembershipAction>,
    ) {
        let number = self.take_number();
        if self.relays.len() == RELAY_LIMIT {
            self.relays.pop_front();
        }
        let (target, origin) = (target.clone(), origin.clone());
        self.send(now, addr, Some(&target), Body::Ping(number), &[], out);
        self.relays.push_back(Relay {
            number,
            target,
            origin,
            origin_addr: from,
            origin_number,
        });
    }

    /// Contacts random seeds and listed hosts and introduces this host.
    pub(crate) fn ping_candidates(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let candidates = self
            .rng
            .choose_multiple(self.candidates.iter().copied(), CONTACTS);
        for addr in candidates {
            self.introduce(now, addr, out);
        }
    }

    /// Probes random members after a pause, to learn whether they still count
    /// this host in.
    pub(crate) fn ping_members(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let mut peers = self.random_peers(CONTACTS, None);
        peers.extend(self.random_delegate());
        for peer in peers {
            let number = self.take_number();
            self.send_to(now, &peer, Body::Ping(number), out);
        }
    }

    /// Contacts a dead host of the own zone, and as a delegate an address from
    /// settings or list that no living member has.
    fn rejoin(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        if !self.dead.is_empty() {
            let name = self.dead[self.rng.usize(..self.dead.len())].1.clone();
            if let Some(dead) = self
                .table
                .get(&name)
                .filter(|dead| dead.zone == self.me.zone)
            {
                let addr = dead.gossip;
                self.introduce(now, addr, out);
            }
        }
        if !self.candidates.is_empty() && self.is_delegate() {
            let addr = self.candidates[self.rng.usize(..self.candidates.len())];
            if !self.table.has_address(addr) {
                self.introduce(now, addr, out);
            }
        }
    }

    fn introduce(&mut self, now: Instant, addr: SocketAddr, out: &mut Vec<MembershipAction>) {
        let number = self.take_number();
        let own = self.own_record();
        self.send(now, addr, None, Body::Ping(number), &[own], out);
    }

    /// Up to `k` random living hosts of the own zone, without this host and
    /// `except`.
    pub(crate) fn random_peers(&mut self, k: usize, except: Option<&Name>) -> Vec<Name> {
        let Some(zone) = self.table.zone(&self.me.zone) else {
            return Vec::new();
        };
        let excluded = |name: &Name| *name == self.me.name || Some(name) == except;
        if zone.hosts.len() <= k + 2 {
            let mut peers: Vec<Name> = zone
                .hosts
                .iter()
                .filter(|name| !excluded(name))
                .cloned()
                .collect();
            self.rng.shuffle(&mut peers);
            peers.truncate(k);
            return peers;
        }
        let mut peers = Vec::with_capacity(k);
        while peers.len() < k {
            let name = &zone.hosts[self.rng.usize(..zone.hosts.len())];
            if !excluded(name) && !peers.contains(name) {
                peers.push(name.clone());
            }
        }
        peers
    }
}
