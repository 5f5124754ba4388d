use std::time::{Duration, Instant};

use cornelwinch_types::Name;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Sets of known hosts: the present one, and those replaced so recently that
/// loans made under them may still run.
///
/// A share is the smallest one over these sets. A host that appears shrinks
/// the others' shares at once; one that is gone lets them grow only after
/// its loans have ended.
#[derive(Debug, Clone)]
pub(crate) struct Views {
    me: Name,
    /// Sorted.
    present: Vec<Name>,
    past: Vec<(Vec<Name>, Instant)>,
    /// Sorted.
    unreachable: Vec<Name>,
    opened: Instant,
    joined: bool,
    /// Changes whenever a share may have changed.
    epoch: u64,
}

impl Views {
    pub(crate) fn open(now: Instant, me: Name) -> Self {
        let present = vec![me.clone()];
        Self {
            me,
            present,
            past: Vec::new(),
            unreachable: Vec::new(),
            opened: now,
            joined: false,
            epoch: 0,
        }
    }

    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    fn touch(&mut self) {
        self.epoch += 1;
    }

    pub(crate) fn is_joined(&self) -> bool {
        self.joined
    }

    /// Hosts of the present set.
    pub(crate) fn hosts(&self) -> &[Name] {
        &self.present
    }

    pub(crate) fn is_reachable(&self, host: &Name) -> bool {
        self.unreachable.binary_search(host).is_err()
    }

    pub(crate) fn set_hosts(&mut self, now: Instant, hosts: &[Name]) {
        let mut hosts = hosts.to_vec();
        hosts.push(self.me.clone());
        hosts.sort();
        hosts.dedup();
        if hosts != self.present {
            let old = std::mem::replace(&mut self.present, hosts);
            self.past.push((old, now));
            self.touch();
        }
    }

    pub(crate) fn set_unreachable(&mut self, hosts: &[Name]) {
        let mut hosts = hosts.to_vec();
        hosts.sort();
        if hosts != self.unreachable {
            self.unreachable = hosts;
            self.touch();
        }
    }

    /// Forgets past sets after the settling time, and lets this host have a
    /// share once the others had that time to learn of it.
    pub(crate) fn settle(&mut self, now: Instant, settling: Duration) {
        let before = self.past.len();
        self.past.retain(|(_, replaced)| *replaced + settling > now);
        let joins = !self.joined && self.opened + settling <= now;
        if joins {
            self.joined = true;
        }
        if joins || before != self.past.len() {
            self.touch();
        }
    }

    /// This host's part of a divisible amount.
    pub(crate) fn share(&self, amount: f64) -> f64 {
        if !self.joined {
            return 0.0;
        }
        amount / self.sets().map(Vec::len).max().unwrap_or(1) as f64
    }

    /// This host's part of a number of slots. What does not divide goes to the
    /// hosts that rank first for the organisation.
    pub(crate) fn whole_share(&self, organisation: &str, amount: u32) -> u32 {
        if !self.joined {
            return 0;
        }
        let seed = xxh3_64(organisation.as_bytes());
        let share = |hosts: &Vec<Name>| {
            let count = u32::try_from(hosts.len()).unwrap_or(u32::MAX);
            let rest = amount % count;
            let mine = score(seed, &self.me);
            let ahead = |host: &&Name| **host != self.me && score(seed, host) > mine;
            let extra = rest > 0 && hosts.iter().filter(ahead).count() < rest as usize;
            amount / count + u32::from(extra)
        };
        self.sets().map(share).min().unwrap_or(0)
    }

    /// The organisation's home host: the reachable one that ranks first.
    pub(crate) fn home(&self, organisation: &str) -> &Name {
        let seed = xxh3_64(organisation.as_bytes());
        let hosts = self.present.iter().filter(|host| self.is_reachable(host));
        hosts
            .max_by_key(|host| score(seed, host))
            .unwrap_or(&self.me)
    }

    fn sets(&self) -> impl Iterator<Item = &Vec<Name>> {
        std::iter::once(&self.present).chain(self.past.iter().map(|(hosts, _)| hosts))
    }
}

/// Orders hosts for an organisation. The hash of the host alone breaks a tie in the
/// same way on every host.
fn score(seed: u64, host: &str) -> (u64, u64) {
    (
        xxh3_64_with_seed(host.as_bytes(), seed),
        xxh3_64(host.as_bytes()),
    )
}
