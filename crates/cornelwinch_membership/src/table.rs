use std::net::SocketAddr;
use std::time::Instant;

use cornelwinch_types::{Member, MemberState, Revision};

use crate::codec::Record;
use crate::replay::ReplayWindow;
use crate::zone::{Zone, contribution};

/// What is kept about a member besides its [`Member`].
#[derive(Debug, Clone, Default)]
pub(crate) struct Entry {
    pub(crate) version: u32,
    pub(crate) window: ReplayWindow,
    /// Configuration revision last reported by the host.
    pub(crate) revision: Revision,
}

/// Effect of a record on the table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Change {
    /// The member differs in more than its version.
    pub(crate) visible: bool,
    /// The digest of the zone changed, so other zones have to learn it.
    pub(crate) digest: bool,
}

/// Members of all zones by name, with an index by zone.
#[derive(Debug, Default)]
pub(crate) struct Table {
    members: Vec<Member>,
    entries: Vec<Entry>,
    zones: Vec<Zone>,
    /// Gossip addresses of members that are not dead.
    addresses: Vec<SocketAddr>,
}

impl Table {
    pub(crate) fn members(&self) -> &[Member] {
        &self.members
    }

    pub(crate) fn zones(&self) -> &[Zone] {
        &self.zones
    }

    pub(crate) fn zones_mut(&mut self) -> &mut [Zone] {
        &mut self.zones
    }

    pub(crate) fn zone_at(&self, name: &str) -> Option<usize> {
        self.zones
            .binary_search_by(|zone| zone.name.as_ref().cmp(name))
            .ok()
    }

    pub(crate) fn zone(&self, name: &str) -> Option<&Zone> {
        self.zone_at(name).map(|at| &self.zones[at])
    }

    pub(crate) fn zone_by_id(&self, id: u32) -> Option<usize> {
        self.zones.iter().position(|zone| zone.id == id)
    }

    pub(crate) fn get(&self, name: &str) -> Option<&Member> {
        self.find(name).ok().map(|at| &self.members[at])
    }

    pub(crate) fn entry_mut(&mut self, name: &str) -> Option<&mut Entry> {
        self.find(name).ok().map(|at| &mut self.entries[at])
    }

    pub(crate) fn record(&self, name: &str) -> Option<Record> {
        let at = self.find(name).ok()?;
        Some(Record {
            member: self.members[at].clone(),
            version: self.entries[at].version,
        })
    }

    /// Digest of all zones.
    pub(crate) fn digest(&self) -> u32 {
        self.zones
            .iter()
            .fold(0, |digest, zone| digest ^ zone.digest())
    }

    /// Last change of the digest.
    pub(crate) fn changed_at(&self) -> Option<Instant> {
        self.zones.iter().map(|zone| zone.changed_at).max()
    }

    pub(crate) fn has_address(&self, addr: SocketAddr) -> bool {
        self.addresses.binary_search(&addr).is_ok()
    }

    /// Takes over a record that is newer than the entry; returns `None` if it
    /// is not.
    ///
    /// # Panics
    ///
    /// Panics if the table loses its order.
    pub(crate) fn apply(&mut self, now: Instant, record: &Record) -> Option<Change> {
        let member = &record.member;
        let (at, before) = match self.find(&member.name) {
            Err(_) if member.state == MemberState::Dead => return None,
            Err(at) => {
                self.members.insert(at, member.clone());
                self.entries.insert(
                    at,
                    Entry {
                        version: record.version,
                        ..Entry::default()
                    },
                );
                self.check_order(at);
                (at, None)
            }
            Ok(at) => {
                let (old, entry) = (&mut self.members[at], &mut self.entries[at]);
                let held = (old.incarnation, entry.version, old.state);
                if (member.incarnation, record.version, member.state) <= held {
                    return None;
                }
                if member.incarnation > old.incarnation {
                    *entry = Entry::default();
                }
                entry.version = record.version;
                if old == member {
                    return Some(Change {
                        visible: false,
                        digest: false,
                    });
                }
                (at, Some(std::mem::replace(old, member.clone())))
            }
        };
        let after = &self.members[at];
        let digest = before.as_ref().map_or(0, contribution) != contribution(after)
            || before
                .as_ref()
                .is_some_and(|before| before.zone != after.zone);
        if let Some(before) = before {
            self.unlink(&before);
        }
        self.link(now, at, digest);
        Some(Change {
            visible: true,
            digest,
        })
    }

    /// Removes a dead member.
    pub(crate) fn forget(&mut self, name: &str) {
        let Ok(at) = self.find(name) else { return };
        if self.members[at].state == MemberState::Dead {
            let member = self.members.remove(at);
            self.entries.remove(at);
            self.unlink(&member);
            self.zones.retain(|zone| !zone.all.is_empty());
        }
    }

    fn link(&mut self, now: Instant, at: usize, digest: bool) {
        let member = &self.members[at];
        let zone = match self
            .zones
            .binary_search_by(|zone| zone.name.cmp(&member.zone))
        {
            Ok(zone) => zone,
            Err(zone) => {
                self.zones.insert(zone, Zone::new(now, member.zone.clone()));
                zone
            }
        };
        let zone = &mut self.zones[zone];
        zone.add(member);
        if digest {
            zone.changed_at = now;
        }
        if member.state != MemberState::Dead {
            let place = self.addresses.partition_point(|held| *held < member.gossip);
            self.addresses.insert(place, member.gossip);
        }
    }

    fn unlink(&mut self, member: &Member) {
        if let Some(zone) = self.zone_at(&member.zone) {
            self.zones[zone].remove(member);
        }
        if member.state != MemberState::Dead
            && let Ok(at) = self.addresses.binary_search(&member.gossip)
        {
            self.addresses.remove(at);
        }
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| member.name.as_ref().cmp(name))
    }

    fn check_order(&self, at: usize) {
        let around = &self.members[at.saturating_sub(1)..self.members.len().min(at + 2)];
        assert!(
            around.windows(2).all(|pair| pair[0].name < pair[1].name),
            "members out of order at={at} {around:?}"
        );
        assert_eq!(
            self.members.len(),
            self.entries.len(),
            "members and entries differ"
        );
    }
}
