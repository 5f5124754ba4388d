//! Upstreams that leave legs unanswered, and zones that cannot be reached.

use std::time::Instant;

use cornelwinch_types::Name;

use super::Fleet;
use crate::{UpstreamEndpoint, UpstreamId};

impl Fleet {
    /// Returns the lost upstreams whose probe is due, and schedules their next one.
    pub fn take_due_probes(&mut self, now: Instant) -> Vec<UpstreamEndpoint> {
        let evacuated = &self.evacuated;
        let due = self.upstreams.iter_mut().filter_map(|(id, upstream)| {
            let is_due =
                upstream.takes_requests(now, evacuated) && upstream.health.take_due_probe(now);
            is_due.then(|| UpstreamEndpoint {
                id: *id,
                name: upstream.entry.name.clone(),
                addr: upstream.entry.addr,
            })
        });
        due.collect()
    }

    /// Records that a lost upstream accepts connections.
    pub fn mark_reachable(&mut self, id: UpstreamId) {
        if let Some(upstream) = self.upstreams.get_mut(&id) {
            upstream.health.mark_reachable();
        }
    }

    /// Reports whether this host's zone is cut off: at least one upstream of another zone is
    /// lost, and so are all of them that were used recently.
    pub fn is_isolated(&self, now: Instant, zone: &Name) -> bool {
        let mut used = self
            .upstreams
            .values()
            .filter(|u| {
                u.entry.zone != *zone && (u.health.is_lost() || u.health.was_used_recently(now))
            })
            .peekable();
        used.peek().is_some() && used.all(|u| u.health.is_lost())
    }
}
