use std::time::Instant;

use super::{Fleet, Upstream};
use crate::PlacementMode;

impl Fleet {
    /// Returns one line per upstream with its name, service, zone, state and health, and lines
    /// about the learned costs if legs may be placed by expected time.
    pub fn describe(&self, now: Instant) -> Vec<String> {
        let line = |u: &Upstream| {
            let mut text = format!(
                "upstream={} service={} zone={} state={:?} score={:.2} in_flight={} lost={} cold={} leaving={} rest_ms={} faulty={}",
                u.entry.name,
                u.entry.service,
                u.entry.zone,
                u.entry.state,
                u.health.score(now),
                u.health.in_flight(),
                u.health.is_lost(),
                u.is_cold(now),
                u.withdrawal.is_leaving,
                u.withdrawal
                    .rest
                    .end(now)
                    .map_or(0, |end| (end - now).as_millis()),
                u.withdrawal.faults.is_held(now),
            );
            if self.placement.mode != PlacementMode::Latency {
                text.push(' ');
                text += &u.work.describe(now, u.entry.slots);
            }
            text
        };
        let mut lines: Vec<String> = self.upstreams.values().map(line).collect();
        lines.extend(self.describe_placement());
        lines
    }
}
