use std::time::Duration;

use cornelwinch_host::{
    Action, CallerAnswer, CallerRequest, ConfigUpdate, Host, Input, PeerMessage, QueryRequest,
    Rejection,
};
use cornelwinch_types::{Name, Revision};

use super::{World, name};

/// Time for which a peer must have been reachable, and have held a revision,
/// before a starting host is expected to know of it.
const KNOWN_AFTER: Duration = Duration::from_secs(3);

fn request(search: &str, token: &str) -> Input {
    let request = CallerRequest::Query(QueryRequest {
        token: token.into(),
        search: search.into(),
        class: None,
        deadline: None,
        body: "x".into(),
    });
    Input::Caller { caller: 1, request }
}

impl World {
    /// Sends a query to a host.
    pub(crate) fn query(&mut self, node: usize, search: &str, token: &str) {
        self.handle(node, request(search, token));
    }

    /// Sends a request to a host; reports whether it was looked at.
    pub(crate) fn serves(&mut self, node: usize) -> bool {
        if self.nodes[node].paused {
            return false;
        }
        let Some(host) = self.nodes[node].host.as_mut() else {
            return false;
        };
        let mut out = Vec::new();
        host.handle(self.now, request("none", "none"), &mut out);
        let refused = out.iter().any(|action| {
            let Action::Reply { answer, .. } = action else {
                return false;
            };
            matches!(answer, CallerAnswer::Rejected(Rejection::NotReady))
        });
        self.act(node, out);
        !refused
    }

    /// A host that serves has a configuration; one that came up without the
    /// platform has the newest that steady reachable peers hold.
    pub(super) fn probe(&mut self, node: usize) {
        let serves = self.serves(node);
        let (seed, now) = (self.seed, self.now);
        let ready = self.nodes[node].host.as_ref().is_some_and(Host::is_ready);
        assert!(serves || !ready || self.nodes[node].paused, "seed={seed}");
        if !serves || std::mem::replace(&mut self.nodes[node].served, true) {
            return;
        }
        let host = self.nodes[node].host.as_ref().expect("a host that serves");
        let revision = host.config().revision();
        assert!(revision > Revision(0), "seed={seed} host={}", name(node));
        if self.nodes[node].from_platform {
            return;
        }
        for peer in 0..self.nodes.len() {
            let held = &self.nodes[peer];
            let linked =
                peer % 2 == node % 2 || (!self.cut && self.cut_changed + KNOWN_AFTER <= now);
            if held.host.is_none() || held.paused || !linked || held.up_since + KNOWN_AFTER > now {
                continue;
            }
            let known = held
                .revisions
                .iter()
                .rev()
                .find(|(at, _)| *at + KNOWN_AFTER <= now);
            let known = known.map_or(Revision(0), |(_, revision)| *revision);
            assert!(
                revision >= known,
                "seed={seed} host={} serves at revision {revision}, {} holds {known}",
                name(node),
                name(peer)
            );
        }
    }

    /// Nothing reverts, and a host at a revision holds every change up to it.
    pub(super) fn check(&mut self, node: usize) {
        let (seed, now) = (self.seed, self.now);
        let held = &mut self.nodes[node];
        let Some(host) = &held.host else { return };
        let config = host.config();
        let last = held.revisions.last().map_or(Revision(0), |last| last.1);
        let revision = config.revision();
        assert!(revision >= last, "seed={seed} {last} to {revision}");
        for entry in config.entries() {
            let key = (entry.kind(), entry.name.clone());
            let before = held.entries.insert(key, entry.revision);
            let reverted = before.is_some_and(|before| before > entry.revision);
            assert!(!reverted, "seed={seed} {entry:?} after {before:?}");
        }
        assert_eq!(held.entries.len(), config.entries().len(), "seed={seed}");
        if revision == last {
            return;
        }
        held.revisions.push((now, revision));
        for change in &self.history[..revision.0 as usize] {
            let entry = config.entry(change.kind(), &change.name);
            assert!(
                entry.is_some_and(|entry| entry.revision >= change.revision),
                "seed={seed} host={} at revision {revision} lacks {change:?}",
                name(node)
            );
        }
    }

    pub(crate) fn check_spread(&self) {
        let newest = Revision(self.history.len() as u64);
        for (node, held) in self.nodes.iter().enumerate() {
            let host = held.host.as_ref().expect("all hosts run");
            let revision = host.config().revision();
            let seed = self.seed;
            assert_eq!(revision, newest, "seed={seed} host={}", name(node));
        }
    }

    /// Names of the other hosts in the zone of a host.
    pub(crate) fn zone_names(&self, node: usize) -> Vec<Name> {
        (0..self.nodes.len())
            .filter(|other| other % 2 == node % 2 && *other != node)
            .map(name)
            .collect()
    }

    /// Gives a host an update from a peer of its zone.
    pub(crate) fn deliver_update(&mut self, node: usize, update: ConfigUpdate) {
        let from = name((node + 2) % self.nodes.len());
        let msg = PeerMessage::Config(update);
        self.handle(node, Input::Peer { from, msg });
    }
}
