use std::time::Instant;

use cornelwinch_placement::top_hosts;
use cornelwinch_types::{Member, MemberState, Name};
use xxhash_rust::xxh3::xxh3_64;

/// Parts of a zone's table that are compared one by one.
pub(crate) const BUCKETS: usize = 32;

/// Hosts of a zone that exchange updates with other zones.
pub(crate) const DELEGATES: usize = 3;

/// Reachability of another zone, in order of precedence at equal version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Reach {
    Reachable,
    /// Probes by a delegate failed; another host may still refute that.
    Suspect,
    Unreachable,
}

impl Reach {
    pub(crate) fn from_code(code: u8) -> Option<Self> {
        [Self::Reachable, Self::Suspect, Self::Unreachable]
            .get(usize::from(code))
            .copied()
    }
}

/// An availability zone and its hosts.
#[derive(Debug)]
pub(crate) struct Zone {
    pub(crate) name: Name,
    /// Hash of the name, which stands for it in datagrams.
    pub(crate) id: u32,
    /// Names of all hosts, dead ones included.
    pub(crate) all: Vec<Name>,
    /// Names of the hosts that are not dead.
    pub(crate) hosts: Vec<Name>,
    /// Names of the hosts that may own upstreams.
    owners: Vec<Name>,
    delegates: Option<Vec<Name>>,
    buckets: [u32; BUCKETS],
    /// Last change of the digest.
    pub(crate) changed_at: Instant,
    pub(crate) reach: Reach,
    pub(crate) version: u32,
    pub(crate) reach_changed_at: Option<Instant>,
    /// Time until which datagrams name the zone although it is reachable.
    pub(crate) named_until: Option<Instant>,
    /// Time at which a suspect zone is marked unreachable.
    pub(crate) deadline: Option<Instant>,
    /// Last datagram from a host of the zone.
    pub(crate) heard_at: Option<Instant>,
    /// Failed probes in a row by this host.
    pub(crate) misses: u32,
}

impl Zone {
    pub(crate) fn new(now: Instant, name: Name) -> Self {
        Self {
            id: zone_id(&name),
            name,
            all: Vec::new(),
            hosts: Vec::new(),
            owners: Vec::new(),
            delegates: None,
            buckets: [0; BUCKETS],
            changed_at: now,
            reach: Reach::Reachable,
            version: 0,
            reach_changed_at: None,
            named_until: None,
            deadline: None,
            heard_at: None,
            misses: 0,
        }
    }

    pub(crate) fn digest(&self) -> u32 {
        self.buckets
            .iter()
            .fold(0, |digest, bucket| digest ^ bucket)
    }

    pub(crate) fn buckets(&self) -> &[u32; BUCKETS] {
        &self.buckets
    }

    /// Hosts that exchange updates with other zones: those of highest
    /// rendezvous rank that may own, or of any living ones if none may.
    pub(crate) fn delegates(&mut self) -> &[Name] {
        let hosts = if self.owners.is_empty() {
            &self.hosts
        } else {
            &self.owners
        };
        let name = &self.name;
        self.delegates.get_or_insert_with(|| {
            top_hosts(name, hosts, DELEGATES)
                .into_iter()
                .cloned()
                .collect()
        })
    }

    /// Adds a member to the lists and the digest.
    pub(crate) fn add(&mut self, member: &Member) {
        insert(&mut self.all, &member.name);
        if member.state != MemberState::Dead {
            insert(&mut self.hosts, &member.name);
        }
        if member.can_own() {
            insert(&mut self.owners, &member.name);
        }
        self.toggle(member);
    }

    /// Takes a member, in the state in which it was added, out of the lists and
    /// the digest.
    pub(crate) fn remove(&mut self, member: &Member) {
        remove(&mut self.all, &member.name);
        remove(&mut self.hosts, &member.name);
        remove(&mut self.owners, &member.name);
        self.toggle(member);
    }

    fn toggle(&mut self, member: &Member) {
        self.buckets[bucket(&member.name)] ^= contribution(member);
        self.delegates = None;
    }
}

/// Hash that stands for a zone in datagrams; 0 stands for the whole table.
pub(crate) fn zone_id(name: &str) -> u32 {
    (xxh3_64(name.as_bytes()) as u32).max(1)
}

/// Bucket of a host's name.
pub(crate) fn bucket(name: &str) -> usize {
    (xxh3_64(name.as_bytes()) >> 32) as usize % BUCKETS
}

/// Part of a member in its zone's digest: 0 for a dead one, and equal for alive
/// and suspect ones, because suspicion ends by itself.
pub(crate) fn contribution(member: &Member) -> u32 {
    if member.state == MemberState::Dead {
        return 0;
    }
    let mut buf = Vec::with_capacity(member.name.len() + 9);
    buf.extend_from_slice(member.name.as_bytes());
    buf.extend_from_slice(&member.incarnation.0.to_le_bytes());
    buf.push(u8::from(member.state == MemberState::Leaving));
    xxh3_64(&buf) as u32
}

fn insert(names: &mut Vec<Name>, name: &Name) {
    if let Err(at) = names.binary_search(name) {
        names.insert(at, name.clone());
    }
}

fn remove(names: &mut Vec<Name>, name: &Name) {
    if let Ok(at) = names.binary_search(name) {
        names.remove(at);
    }
}
