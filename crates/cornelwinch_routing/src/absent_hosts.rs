use std::time::{Duration, Instant};

use cornelwinch_types::Name;

use crate::{HostEntry, source_count, source_order};

/// Number of hosts that a source asks in addition to those that it is responsible for, to tell
/// their absence from its own isolation.
const WITNESSES: usize = 3;

/// Finds hosts that do not answer a source for a long time, so that it removes their entries.
///
/// Each source is responsible for an equal part of the hosts, so its work does not grow with their
/// number.
///
/// ```
/// use std::time::{Duration, Instant};
/// use cornelwinch_routing::AbsentHosts;
///
/// let start = Instant::now();
/// let mut absent = AbsentHosts::default();
/// let answers = [("a-1".into(), false), ("a-2".into(), true)];
/// absent.record_round(start, &answers);
/// assert_eq!(absent.gone(start, Duration::from_mins(30)), None);
/// let later = start + Duration::from_mins(30);
/// absent.record_round(later, &answers);
/// assert_eq!(absent.gone(later, Duration::from_mins(30)), Some(&"a-1".into()));
/// ```
#[derive(Debug, Default)]
pub struct AbsentHosts {
    /// Hosts that have not answered since a time.
    absent: Vec<(Name, Instant)>,
}

impl AbsentHosts {
    /// Returns the hosts that a host has to ask. They are none unless it is a preferred source.
    pub fn hosts_to_ask(hosts: &[HostEntry], this_host: &Name) -> Vec<HostEntry> {
        let order = source_order(hosts);
        let sources = source_count(hosts.len());
        let Some(rank) = order.iter().position(|host| host.name == *this_host) else {
            return Vec::new();
        };
        if rank >= sources {
            return Vec::new();
        }
        let mut witnesses = WITNESSES;
        let mut is_asked = |(index, host): &(usize, HostEntry)| {
            let is_assigned = (index + 1) % sources == rank;
            let is_witness = !is_assigned && host.name != *this_host && witnesses > 0;
            witnesses -= usize::from(is_witness);
            (is_assigned && host.name != *this_host) || is_witness
        };
        let asked = order.into_iter().enumerate().filter(|host| is_asked(host));
        asked.map(|(_, host)| host).collect()
    }

    /// Records which of the asked hosts answered. If fewer than half did, this host may be the one
    /// that is cut off, and what was known about absent hosts is discarded.
    pub fn record_round(&mut self, now: Instant, answers: &[(Name, bool)]) {
        let answered = answers.iter().filter(|(_, answered)| *answered).count();
        if answered * 2 < answers.len() {
            self.absent.clear();
            return;
        }
        let since = |name: &Name| self.absent.iter().find(|(absent, _)| absent == name);
        let absent = answers.iter().filter(|(_, answered)| !answered);
        self.absent = absent
            .map(|(name, _)| (name.clone(), since(name).map_or(now, |(_, since)| *since)))
            .collect();
    }

    /// Returns a host that has not answered for a time.
    pub fn gone(&self, now: Instant, time: Duration) -> Option<&Name> {
        let is_gone = |(_, since): &&(Name, Instant)| now.saturating_duration_since(*since) >= time;
        self.absent.iter().find(is_gone).map(|(name, _)| name)
    }
}
