//! Division of connections where hosts outnumber what an upstream accepts.

use cornelwinch_types::Name;

use super::Fleet;
use crate::UpstreamId;

impl Fleet {
    /// Reports whether this host may keep idle connections to an upstream. `total` gives how many all
    /// hosts together may keep to an upstream of a service. Where there are more hosts than that,
    /// the others open a connection for each leg, so that an upstream always accepts some more.
    pub fn may_keep_idle(&mut self, id: UpstreamId, total: impl Fn(&Name) -> usize) -> bool {
        let (Some(hosts), Some(upstream)) = (&self.hosts, self.upstreams.get_mut(&id)) else {
            return true;
        };
        let total = total(&upstream.entry.service);
        match upstream.idle_permit {
            Some((last_total, is_kept)) if last_total == total => is_kept,
            _ => {
                let entry = &upstream.entry;
                let is_kept = hosts.permits_for(total, &entry.name, &entry.zone) > 0;
                upstream.idle_permit = Some((total, is_kept));
                is_kept
            }
        }
    }
}
