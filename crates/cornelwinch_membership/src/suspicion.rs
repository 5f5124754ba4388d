use std::time::Instant;

use cornelwinch_types::{MemberState, Name};

use crate::codec::Body;
use crate::{Membership, MembershipAction};

/// A suspect host of the own zone.
#[derive(Debug)]
pub(crate) struct Suspicion {
    pub(crate) name: Name,
    pub(crate) due: Instant,
    /// This host probes the suspect itself and declares it dead when due.
    ///
    /// Others learn the outcome from that host. If they heard of the suspicion
    /// but not of its end, they probe the suspect before they declare it dead:
    /// at 10 % loss, hosts that missed a refutation declared 11 live hosts dead
    /// in 50 node hours.
    probing: bool,
}

impl Suspicion {
    pub(crate) fn is_probing(&self) -> bool {
        self.probing
    }
}

impl Membership {
    pub(crate) fn start_suspicion(&mut self, now: Instant, name: &Name) {
        let due = now + self.cfg.suspicion + self.cfg.period;
        self.suspects.push(Suspicion {
            name: name.clone(),
            due,
            probing: false,
        });
    }

    /// Makes this host responsible for the outcome of a suspicion.
    fn follow_up(&mut self, name: &Name) {
        let period = self.cfg.period;
        if let Some(suspicion) = self
            .suspects
            .iter_mut()
            .find(|suspicion| suspicion.name == *name)
        {
            suspicion.probing = true;
            suspicion.due -= period;
        }
    }

    /// Pings the suspects this host is responsible for, so that they learn of
    /// the suspicion and their refutation arrives even if datagrams are lost.
    pub(crate) fn ping_suspects(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let probing = self.suspects.iter().filter(|suspicion| suspicion.probing);
        let targets: Vec<Name> = probing.map(|suspicion| suspicion.name.clone()).collect();
        for target in targets {
            let number = self.take_number();
            self.send_to(now, &target, Body::Ping(number), out);
        }
    }

    /// Ends suspicions that are due.
    pub(crate) fn expire_suspicions(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        while let Some(at) = self
            .suspects
            .iter()
            .position(|suspicion| suspicion.due <= now)
        {
            let suspicion = &mut self.suspects[at];
            let name = suspicion.name.clone();
            if suspicion.probing {
                self.suspects.swap_remove(at);
                self.declare_dead(now, &name, out);
            } else {
                suspicion.probing = true;
                suspicion.due = now + 2 * self.cfg.period;
                self.start_probe(now, name, None, out);
            }
        }
    }

    pub(crate) fn on_miss(&mut self, now: Instant, target: &Name, out: &mut Vec<MembershipAction>) {
        let Some(mut record) = self.table.record(target) else {
            return;
        };
        match record.member.state {
            MemberState::Alive => {
                self.counters.suspicions += 1;
                record.member.state = MemberState::Suspect;
                self.commit(now, &record, true, out);
                self.follow_up(target);
                // The suspect hears of it first, so that it can refute in time.
                self.send_to(now, target, Body::Gossip, out);
            }
            MemberState::Leaving => self.declare_dead(now, target, out),
            MemberState::Suspect | MemberState::Dead => {}
        }
    }

    fn declare_dead(&mut self, now: Instant, name: &Name, out: &mut Vec<MembershipAction>) {
        let Some(mut record) = self.table.record(name) else {
            return;
        };
        assert_eq!(
            record.member.zone, self.me.zone,
            "name={name} of another zone declared dead"
        );
        assert_ne!(record.member.name, self.me.name, "own host declared dead");
        record.member.state = MemberState::Dead;
        if self.commit(now, &record, true, out) {
            self.counters.deaths += 1;
        }
    }
}
