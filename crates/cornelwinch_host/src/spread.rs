use cornelwinch_placement::top_hosts;
use cornelwinch_types::{MemberState, Name};

use crate::{Host, PeerMessage, Relay, RelaySpan};

/// Members that each member passes a message on to. With 8, a message reaches
/// 376 members of a zone in 3 steps.
const FANOUT: usize = 8;

/// Hosts of each zone that pass a message on inside it. Their trees differ, so
/// that a member is left out only if a host above it fails in both.
const RELAYS_PER_ZONE: usize = 2;

/// Divides members into spans and returns the first member of each span with
/// the rest of it.
pub(crate) fn divide(members: &[Name]) -> impl Iterator<Item = (Name, Option<RelaySpan>)> + '_ {
    let size = members.len().div_ceil(FANOUT).max(1);
    members.chunks(size).map(|span| {
        let rest = (span.len() > 1).then(|| RelaySpan {
            first: span[1].clone(),
            last: span[span.len() - 1].clone(),
        });
        (span[0].clone(), rest)
    })
}

/// Members of a span in its order: from `first` on, and again from the lowest
/// name if `last` comes before `first`. `members` are sorted by name.
pub(crate) fn members_of(span: &RelaySpan, members: &[Name], me: &Name) -> Vec<Name> {
    let wraps = span.last < span.first;
    let start = members.partition_point(|name| *name < span.first);
    let (low, high) = members.split_at(start);
    let inside = |name: &&Name| wraps || **name <= span.last;
    let after = high.iter().filter(inside);
    let before = low.iter().filter(|name| wraps && **name <= span.last);
    after
        .chain(before)
        .filter(|name| *name != me)
        .cloned()
        .collect()
}

impl Host {
    /// Sends a message to the other hosts of this zone.
    pub(crate) fn spread_in_zone(&mut self, make: impl Fn(Relay) -> PeerMessage) {
        let me = self.cfg.me.name.clone();
        let zone = self.cfg.me.zone.clone();
        self.send_to_relays(&zone, &make);
        self.pass_on(&Relay::Zone, &me, make);
    }

    /// Sends a message to all other hosts of the deployment.
    pub(crate) fn spread_everywhere(&mut self, make: impl Fn(Relay) -> PeerMessage) {
        let mut zones: Vec<Name> = self
            .membership
            .members()
            .iter()
            .map(|member| member.zone.clone())
            .filter(|zone| *zone != self.cfg.me.zone)
            .collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            self.send_to_relays(&zone, &make);
        }
        self.spread_in_zone(make);
    }

    /// Asks hosts of a zone to pass a message on inside it. In the own zone this
    /// host is one of the relays itself.
    fn send_to_relays(&mut self, zone: &Name, make: impl Fn(Relay) -> PeerMessage) {
        let me = &self.cfg.me.name;
        let own = *zone == self.cfg.me.zone;
        let members = self
            .membership
            .members()
            .iter()
            .filter(|member| member.zone == *zone && member.state == MemberState::Alive)
            .map(|member| &member.name)
            .filter(|name| *name != me);
        // The rank depends on this host, so that the hosts of a zone share the
        // work of relaying.
        let count = RELAYS_PER_ZONE - usize::from(own);
        let relays: Vec<Name> = top_hosts(me, members, count).into_iter().cloned().collect();
        for name in relays {
            self.router.push(&name, make(Relay::Zone));
        }
    }

    /// Passes a message on as its sender asked.
    pub(crate) fn pass_on(
        &mut self,
        relay: &Relay,
        from: &Name,
        make: impl Fn(Relay) -> PeerMessage,
    ) {
        let zone = self.zone_members();
        let me = self.cfg.me.name.clone();
        let members = match relay {
            Relay::None => return,
            Relay::Span(span) => members_of(span, &zone, &me),
            // A tree that starts at each relay's own name differs from those
            // of the others.
            Relay::Zone => {
                let start = zone.partition_point(|name| *name <= me);
                let members = zone[start..].iter().chain(&zone[..start]);
                let others = members.filter(|name| **name != me && *name != from);
                others.cloned().collect()
            }
        };
        for (name, rest) in divide(&members) {
            let relay = rest.map_or(Relay::None, Relay::Span);
            self.router.push(&name, make(relay));
        }
    }
}
