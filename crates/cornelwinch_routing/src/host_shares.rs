use std::time::{Duration, Instant};

use crate::HostEntry;

/// Time without a confirmed host list after which this host gives up its share. Store outages are
/// shorter; a host that was removed from the list without learning of it stops using its share.
const CONFIRMATION_TIME: Duration = Duration::from_mins(30);

/// Time for which a host that was removed from the list still counts. It exceeds [`CONFIRMATION_TIME`] by the age
/// of a list when it confirms a share (some seconds for stale reads, the list interval and the feed)
/// and by the drift of clocks.
const GROWTH_DELAY: Duration = Duration::from_mins(33);

/// Hosts among which this host divides shared limits, so that the shares in use never exceed a limit
/// together because of a host that is removed from the list.
///
/// A share shrinks as soon as a new host is known. It grows only [`GROWTH_DELAY`] after a host was
/// removed: by then that host has learned of it, or has had no confirmed list for
/// [`CONFIRMATION_TIME`]. Both are measured on the host's own clock.
///
/// ```
/// use std::time::Instant;
/// use cornelwinch_routing::{HostEntry, HostShares};
///
/// let host = |name: &str| HostEntry {
///     name: name.into(), zone: "a".into(), peer: "10.0.0.1:9000".parse().unwrap(),
/// };
/// let now = Instant::now();
/// let mut shares = HostShares::default();
/// shares.confirm(now);
/// assert_eq!(shares.count(now), None);
/// shares.record_list(now, &[host("a-1"), host("a-2")]);
/// shares.record_list(now, &[host("a-1"), host("a-3")]);
/// assert_eq!(shares.count(now), Some(3));
/// ```
#[derive(Debug, Default)]
pub struct HostShares {
    /// The newest list that contained this host.
    listed: Vec<HostEntry>,
    /// Hosts that were removed, with the time at which this host learned of it.
    removed: Vec<(Instant, HostEntry)>,
    /// True if the newest list contains this host.
    is_listed: bool,
    confirmed_at: Option<Instant>,
}

impl HostShares {
    /// Records a list that contains this host.
    pub fn record_list(&mut self, now: Instant, hosts: &[HostEntry]) {
        let is_missing = |host: &HostEntry| hosts.iter().all(|listed| listed.name != host.name);
        let before = std::mem::replace(&mut self.listed, hosts.to_vec());
        self.removed
            .retain(|(at, host)| counts(now, *at) && is_missing(host));
        let missing = before.into_iter().filter(is_missing);
        self.removed.extend(missing.map(|host| (now, host)));
        self.is_listed = true;
    }

    /// Records a list without this host: the others may use its share. Returns true if the list
    /// before contained it.
    pub fn record_removal(&mut self) -> bool {
        std::mem::replace(&mut self.is_listed, false)
    }

    /// Records that the newest list was confirmed by the store at a time.
    pub fn confirm(&mut self, at: Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    /// Returns the number of hosts, or `None` if this host may not use a share.
    pub fn count(&self, now: Instant) -> Option<usize> {
        let unconfirmed = now.saturating_duration_since(self.confirmed_at?);
        if !self.is_listed || unconfirmed >= CONFIRMATION_TIME {
            return None;
        }
        let removed = self.removed.iter().filter(|(at, _)| counts(now, *at));
        Some(self.listed.len() + removed.count())
    }

    /// Returns the hosts that are counted.
    pub fn hosts(&self, now: Instant) -> Vec<HostEntry> {
        let removed = self.removed.iter().filter(|(at, _)| counts(now, *at));
        let removed = removed.map(|(_, host)| host.clone());
        self.listed.iter().cloned().chain(removed).collect()
    }
}

/// Returns true if a host that was removed at a time still counts.
fn counts(now: Instant, removed_at: Instant) -> bool {
    now.saturating_duration_since(removed_at) < GROWTH_DELAY
}
