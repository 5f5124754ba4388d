use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelwinch_types::{Incarnation, Member, MemberState, Name};

use crate::codec::{Body, Encoder, Frame, MAX_DATAGRAM, Record, decode};
use crate::suspicion::Suspicion;
use crate::sync::TABLE_ID;
use crate::zone::DELEGATES;
use crate::{Membership, MembershipAction};

/// Random receivers of updates in the own zone at a time.
const LOCAL_FANOUT: usize = 2;

/// Parts of a period after which waiting updates are sent again.
const GOSSIP_PER_PERIOD: u32 = 5;

/// Time for which a change of a zone's reachability is sent ahead of probes.
const ZONE_GOSSIP: Duration = Duration::from_secs(2);

impl Membership {
    /// Takes a datagram from the socket.
    pub fn on_datagram(
        &mut self,
        now: Instant,
        from: SocketAddr,
        buf: &[u8],
        out: &mut Vec<MembershipAction>,
    ) {
        self.turn(now, out);
        self.counters.received += 1;
        let Ok(frame) = decode(&self.cfg.key, buf) else {
            self.counters.rejected += 1;
            return;
        };
        if frame.from == self.me.name {
            self.superseded |= frame.incarnation > self.me.incarnation;
            return;
        }
        if !self.admit(now, from, &frame, out) {
            return;
        }
        self.take_header(now, &frame, out);
        let version = self.version;
        let spread = !matches!(frame.body, Body::Page(_));
        let mut newer = 0;
        for record in &frame.records {
            newer += usize::from(self.apply_record(now, record, spread, out));
        }
        let sender = Some(&frame.from);
        match &frame.body {
            Body::Ping(number) => {
                let introduced = frame
                    .records
                    .iter()
                    .any(|record| record.member.name == frame.from);
                let own = introduced.then(|| self.own_record());
                self.send(now, from, sender, Body::Ack(*number), own.as_slice(), out);
            }
            Body::Ack(number) => {
                let fresh = (self.confirm_from..self.number).contains(number);
                self.confirmed |= fresh && version == self.version;
                self.on_ack(now, &frame.from, *number, out);
            }
            Body::PingReq(number, target, addr) => {
                self.on_ping_req(now, from, &frame.from, *number, target, *addr, out);
            }
            Body::IndirectAck(number) => self.on_indirect_ack(*number),
            Body::Gossip if version != self.version => {
                self.send(now, from, sender, Body::Gossip, &[], out);
            }
            Body::Gossip => {}
            Body::Identify => {
                let own = self.own_record();
                self.send(now, from, sender, Body::Gossip, &[own], out);
            }
            Body::Pull(zone, buckets) => self.on_pull(now, from, &frame.from, *zone, buckets, out),
            Body::Page(zone) => self.on_page(now, from, &frame.from, *zone, newer > 0, out),
        }
        self.on_digests(now, from, &frame.from, &frame.digests, out);
    }

    /// Accepts a datagram of a known sender once. A sender that is unknown in
    /// its incarnation has to include its record, else it is asked for it.
    fn admit(
        &mut self,
        now: Instant,
        from: SocketAddr,
        frame: &Frame,
        out: &mut Vec<MembershipAction>,
    ) -> bool {
        let known = self
            .table
            .get(&frame.from)
            .map_or(Incarnation(0), |member| member.incarnation);
        let missing = self.table.get(&frame.from).is_none();
        if missing || known < frame.incarnation {
            let is_own = |record: &&Record| {
                record.member.name == frame.from && record.member.incarnation == frame.incarnation
            };
            let Some(record) = frame.records.iter().find(is_own) else {
                // Two hosts that do not know each other would ask in turn
                // without end, so the question includes the own record and is
                // never answered with another one.
                if frame.body != Body::Identify {
                    let own = self.own_record();
                    self.send(now, from, None, Body::Identify, &[own], out);
                }
                return false;
            };
            self.apply_record(now, record, true, out);
        } else if known > frame.incarnation {
            // An old process of the name learns that it was replaced.
            self.counters.replayed += 1;
            let newer = self.table.record(&frame.from);
            self.send(now, from, None, Body::Gossip, newer.as_slice(), out);
            return false;
        }
        let fresh = self
            .table
            .entry_mut(&frame.from)
            .is_some_and(|entry| entry.window.accept(frame.seq));
        self.counters.replayed += u64::from(!fresh);
        fresh
    }

    /// Takes what the header says about the sender and about other zones.
    fn take_header(&mut self, now: Instant, frame: &Frame, out: &mut Vec<MembershipAction>) {
        let Some(held) = self.table.record(&frame.from) else {
            return;
        };
        if matches!(frame.state, MemberState::Alive | MemberState::Leaving) {
            let member = Member {
                state: frame.state,
                ..held.member
            };
            self.commit(
                now,
                &Record {
                    member,
                    version: frame.version,
                },
                true,
                out,
            );
        }
        if let Some(entry) = self.table.entry_mut(&frame.from) {
            let changed = std::mem::replace(&mut entry.revision, frame.revision) != frame.revision;
            if changed || frame.revision > self.revision {
                out.push(MembershipAction::PeerRevision {
                    from: frame.from.clone(),
                    revision: frame.revision,
                });
            }
        }
        let zone = self
            .table
            .get(&frame.from)
            .map(|member| member.zone.clone());
        if zone.as_ref() == Some(&self.me.zone) {
            self.on_zone_records(now, &frame.zones, out);
        } else if let Some(zone) = zone {
            self.on_zone_datagram(now, &zone, out);
        }
    }

    pub(crate) fn own_record(&self) -> Record {
        Record {
            member: self.me.clone(),
            version: self.version,
        }
    }

    /// Sends a datagram with the given records first, then the receiver's own
    /// if it has to refute, then waiting updates as far as they fit.
    pub(crate) fn send(
        &mut self,
        now: Instant,
        to: SocketAddr,
        peer: Option<&Name>,
        body: Body,
        records: &[Record],
        out: &mut Vec<MembershipAction>,
    ) {
        let known = peer.and_then(|peer| self.table.record(peer));
        let is_local = known
            .as_ref()
            .is_some_and(|record| record.member.zone == self.me.zone);
        let is_member = known.is_some();
        let is_page = matches!(body, Body::Page(_));
        let digests = match body {
            Body::Ping(_) | Body::Ack(_) => self.digests(!records.is_empty()),
            Body::Page(TABLE_ID) => self.digests(true),
            _ => Vec::new(),
        };
        let zones = if is_local {
            self.zone_records(now)
        } else {
            Vec::new()
        };
        self.seq += 1;
        let frame = Frame {
            from: self.me.name.clone(),
            incarnation: self.me.incarnation,
            version: self.version,
            state: self.me.state,
            seq: self.seq,
            revision: self.revision,
            body,
            zones,
            digests,
            records: Vec::new(),
        };
        let mut encoder = Encoder::new(&frame);
        let suspected = known.filter(|record| {
            matches!(
                record.member.state,
                MemberState::Suspect | MemberState::Dead
            )
        });
        let mut fits = records
            .iter()
            .chain(&suspected)
            .all(|record| encoder.push(record));
        let remote_receivers = self.table.zones().len() * DELEGATES;
        let receivers = self
            .table
            .zone(&self.me.zone)
            .map_or(0, |zone| zone.hosts.len());
        let table = &self.table;
        let mut push = |name: &Name| {
            fits = fits
                && table
                    .record(name)
                    .is_some_and(|record| encoder.push(&record));
            fits
        };
        if is_local && !is_page {
            self.local.drain(receivers, &mut push);
        } else if is_member && !is_page {
            self.remote.drain(remote_receivers, &mut push);
        }
        let buf = encoder.finish(&self.cfg.key);
        assert!(
            buf.len() <= MAX_DATAGRAM,
            "datagram of {} bytes to={to}",
            buf.len()
        );
        self.counters.sent += 1;
        out.push(MembershipAction::Send { to, buf });
    }

    /// Reports whether something should be sent ahead of the next probe.
    pub(crate) fn has_updates(&self, now: Instant) -> bool {
        let is_new = |at: Instant| now < at + ZONE_GOSSIP;
        !self.local.is_empty()
            || self.suspects.iter().any(Suspicion::is_probing)
            || !self.remote.is_empty()
            || self
                .table
                .zones()
                .iter()
                .filter_map(|zone| zone.reach_changed_at)
                .any(is_new)
    }

    /// Sends waiting updates to random hosts of the own zone, and from a
    /// delegate to a delegate of another zone.
    pub(crate) fn gossip(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        self.next_gossip = now + self.cfg.period / GOSSIP_PER_PERIOD;
        self.ping_suspects(now, out);
        let peers = self.random_peers(LOCAL_FANOUT, None);
        if peers.is_empty() {
            self.local.clear();
        }
        for peer in peers {
            self.send_to(now, &peer, Body::Gossip, out);
        }
        if self.remote.is_empty() {
            return;
        }
        match self.random_delegate() {
            Some(peer) if self.is_delegate() => self.send_to(now, &peer, Body::Gossip, out),
            _ => self.remote.clear(),
        }
    }

    /// Sends a datagram to a member.
    pub(crate) fn send_to(
        &mut self,
        now: Instant,
        peer: &Name,
        body: Body,
        out: &mut Vec<MembershipAction>,
    ) {
        if let Some(addr) = self.table.get(peer).map(|member| member.gossip) {
            self.send(now, addr, Some(peer), body, &[], out);
        }
    }
}
