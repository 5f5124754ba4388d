use std::time::{Duration, Instant};

use cornelwinch_types::{MemberState, Name};

use crate::{ListedHost, Membership, MembershipAction};

/// Time for which a host stays marked as leaving after its own list stopped
/// saying so. It exceeds the lag of the platform's list, 10 s, because other
/// hosts may have read a newer one.
const LIST_LAG: Duration = Duration::from_secs(15);

impl Membership {
    /// Announces that this host is leaving. It goes on to answer probes.
    pub fn leave(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        self.turn(now, out);
        self.left = true;
        if self.me.state == MemberState::Alive {
            self.set_own(now, MemberState::Leaving, self.version, out);
            self.gossip(now, out);
        }
    }

    /// Takes the platform's list of hosts: contacts unknown ones and marks
    /// those as leaving that the previous list did not mark.
    ///
    /// A mark that stays in the list is not applied again, because the list may
    /// lag behind a host that has returned. An empty list changes nothing.
    pub fn on_list(&mut self, now: Instant, hosts: &[ListedHost], out: &mut Vec<MembershipAction>) {
        self.turn(now, out);
        if hosts.is_empty() {
            return;
        }
        self.set_candidates(hosts);
        let mut listed: Vec<(Name, bool)> = hosts
            .iter()
            .map(|host| {
                (
                    host.name.clone(),
                    host.leaving && self.table.get(&host.name).is_some(),
                )
            })
            .collect();
        listed.sort_unstable();
        let before = std::mem::replace(&mut self.listed, listed);
        for host in hosts.iter().filter(|host| host.leaving) {
            let marked = before
                .binary_search_by(|(name, _)| name.cmp(&host.name))
                .is_ok_and(|at| before[at].1);
            let Some(mut record) = self.table.record(&host.name) else {
                continue;
            };
            if marked || !record.member.can_own() {
                continue;
            }
            if host.name == self.me.name {
                self.set_own(now, MemberState::Leaving, self.version, out);
            } else {
                record.member.state = MemberState::Leaving;
                self.commit(now, &record, true, out);
            }
        }
        self.withdraw_mark(now, out);
    }

    /// Returns to service if only others marked this host as leaving and its
    /// own list has not said so for [`LIST_LAG`].
    fn withdraw_mark(&mut self, now: Instant, out: &mut Vec<MembershipAction>) {
        let listed = &self.listed;
        let marked = listed
            .binary_search_by(|(name, _)| name.cmp(&self.me.name))
            .is_ok_and(|at| listed[at].1);
        match self.leaving_since {
            Some(_) if marked => self.leaving_since = Some(now),
            Some(since) if !self.left && now >= since + LIST_LAG => {
                self.set_own(now, MemberState::Alive, self.version + 1, out);
            }
            _ => {}
        }
    }

    pub(crate) fn set_candidates(&mut self, hosts: &[ListedHost]) {
        self.candidates = self.cfg.seeds.clone();
        self.candidates.extend(hosts.iter().map(|host| host.gossip));
        self.candidates.retain(|addr| *addr != self.me.gossip);
        self.candidates.sort_unstable();
        self.candidates.dedup();
    }
}
