use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::codec::{Body, Record};
use crate::zone::{BUCKETS, bucket};
use crate::{Membership, MembershipAction};

/// Time after the start, a pause or the return of a zone in which differing
/// digests are acted on at once.
pub(crate) const EAGER_SYNC: Duration = Duration::from_secs(10);

/// Time without change in a zone after which a differing digest is taken for
/// a lost update and not for one that is still spreading.
const QUIET: Duration = Duration::from_secs(3);

/// Time after which a request for records counts as lost.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Stands for the whole table in place of a zone's hash.
pub(crate) const TABLE_ID: u32 = 0;

/// Most digests in one datagram.
const DIGEST_LIMIT: usize = 60;

/// A request for records without answer yet.
#[derive(Debug)]
pub(crate) struct PendingPull {
    zone: u32,
    until: Instant,
}

impl Membership {
    /// Digests for a datagram: of every zone if asked for, else of the own zone,
    /// of the zone that changed last, and of the whole table.
    pub(crate) fn digests(&self, every: bool) -> Vec<(u32, u32)> {
        let zones = self.table.zones();
        if every {
            return zones
                .iter()
                .take(DIGEST_LIMIT)
                .map(|zone| (zone.id, zone.digest()))
                .collect();
        }
        let own = zones.iter().position(|zone| zone.name == self.me.zone);
        let latest = (0..zones.len()).max_by_key(|at| zones[*at].changed_at);
        let mut picks: Vec<usize> = own.into_iter().chain(latest).collect();
        picks.dedup();
        let named = picks
            .into_iter()
            .map(|at| (zones[at].id, zones[at].digest()));
        named.chain([(TABLE_ID, self.table.digest())]).collect()
    }

    /// Asks for the records of zones whose digest differs, or for the digests
    /// of all zones if that of the table does.
    pub(crate) fn on_digests(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: &Name,
        digests: &[(u32, u32)],
        out: &mut Vec<MembershipAction>,
    ) {
        for &(id, digest) in digests {
            let zone = self.table.zone_by_id(id).map(|at| &self.table.zones()[at]);
            let (held, changed_at) = match zone {
                Some(zone) => (zone.digest(), Some(zone.changed_at)),
                None if id == TABLE_ID => (self.table.digest(), self.table.changed_at()),
                None => (0, None),
            };
            let quiet = changed_at.is_none_or(|at| now >= at + QUIET);
            let differs = digest != held;
            if differs && (quiet || now < self.eager_until) {
                self.pull(now, from, sender, id, out);
            }
        }
    }

    fn pull(
        &mut self,
        now: Instant,
        to: SocketAddr,
        peer: &Name,
        id: u32,
        out: &mut Vec<MembershipAction>,
    ) {
        self.pulls.retain(|pull| pull.until > now);
        if self.pulls.iter().any(|pull| pull.zone == id) {
            return;
        }
        self.pulls.push(PendingPull {
            zone: id,
            until: now + PULL_TIMEOUT,
        });
        self.counters.pulls += 1;
        let zone = self.table.zone_by_id(id).map(|at| &self.table.zones()[at]);
        let buckets = zone.map_or(Vec::new(), |zone| zone.buckets().to_vec());
        self.send(now, to, Some(peer), Body::Pull(id, buckets), &[], out);
    }

    /// Sends as many records as fit of the buckets that differ. They start at a
    /// random bucket, so that a bucket larger than a datagram hides no other.
    pub(crate) fn on_pull(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: &Name,
        id: u32,
        theirs: &[u32],
        out: &mut Vec<MembershipAction>,
    ) {
        let first = self.rng.usize(..BUCKETS);
        let mut records: Vec<(usize, Record)> = Vec::new();
        if let Some(at) = self.table.zone_by_id(id) {
            let zone = &self.table.zones()[at];
            let differs =
                |bucket: usize| theirs.get(bucket).copied().unwrap_or(0) != zone.buckets()[bucket];
            let names = zone
                .all
                .iter()
                .map(|name| (bucket(name), name))
                .filter(|(bucket, _)| differs(*bucket));
            let place = |bucket: usize| (bucket + BUCKETS - first) % BUCKETS;
            records.extend(
                names.filter_map(|(bucket, name)| Some((place(bucket), self.table.record(name)?))),
            );
        }
        // Random order within a bucket, for buckets larger than a datagram.
        self.rng.shuffle(&mut records);
        records.sort_by_key(|(place, _)| *place);
        let records: Vec<Record> = records.into_iter().map(|(_, record)| record).collect();
        self.send(now, from, Some(sender), Body::Page(id), &records, out);
    }

    /// Goes on with the next records while answers change the table.
    pub(crate) fn on_page(
        &mut self,
        now: Instant,
        from: SocketAddr,
        sender: &Name,
        id: u32,
        changed: bool,
        out: &mut Vec<MembershipAction>,
    ) {
        self.pulls.retain(|pull| pull.zone != id);
        if !changed {
            return;
        }
        // A host that joins asks other hosts in turn, because many hosts join
        // by way of the same few seeds.
        let other = if now < self.joining_until {
            self.random_peers(1, None).pop()
        } else {
            None
        };
        match other.and_then(|other| Some((self.table.get(&other)?.gossip, other))) {
            Some((addr, other)) => self.pull(now, addr, &other, id, out),
            None => self.pull(now, from, sender, id, out),
        }
    }
}
