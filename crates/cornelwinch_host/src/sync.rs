use std::time::{Duration, Instant};

use cornelwinch_config::{ConfigState, Entry};
use cornelwinch_types::{Name, Revision};

use crate::spread::{divide, members_of};
use crate::{ConfigUpdate, PeerMessage};

/// Time after which a pull without an answer may be sent to another peer.
const PULL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that a starting host waits for peers after the platform has failed.
const PEER_WAIT: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct Pull {
    until: Instant,
}

/// The configuration in force on this host, and how it stays current.
#[derive(Debug)]
pub(crate) struct ConfigSync {
    pub(crate) state: ConfigState,
    pull: Option<Pull>,
    /// Highest revision that a reachable peer has announced, and that peer.
    highest: Option<(Revision, Name)>,
    /// Set when the start is complete; a starting host is not ready.
    caught_up: bool,
    peers_until: Option<Instant>,
}

/// Entries that came into force, and the messages that pass them on.
#[derive(Debug, Default)]
pub(crate) struct Applied {
    pub(crate) entries: Vec<Entry>,
    pub(crate) messages: Vec<(Name, PeerMessage)>,
}

impl ConfigSync {
    pub(crate) fn new() -> Self {
        Self {
            state: ConfigState::default(),
            pull: None,
            highest: None,
            caught_up: false,
            peers_until: None,
        }
    }

    /// Reports whether requests may be served: the host has a configuration
    /// and knows of no reachable peer with a newer one from before its start.
    pub(crate) fn is_ready(&self) -> bool {
        self.caught_up && self.state.is_ready()
    }

    /// Takes the platform's changes; `zone` lists the live members of the zone
    /// by name, `me` included.
    pub(crate) fn on_platform(
        &mut self,
        entries: Vec<Entry>,
        through: Revision,
        me: &Name,
        zone: &[Name],
    ) -> Applied {
        let after = self.state.revision();
        let entries = self.state.apply(entries, through);
        // A store that was reset by mistake lists lower revisions; what is in
        // force stays in force.
        self.caught_up |= through >= after && self.state.is_ready();
        let messages = if entries.is_empty() || after == Revision(0) {
            Vec::new()
        } else {
            self.relay(after, me, zone)
        };
        Applied { entries, messages }
    }

    /// Notes that the platform could not be read.
    pub(crate) fn on_platform_failed(&mut self, now: Instant) {
        if !self.caught_up && self.peers_until.is_none() {
            self.peers_until = Some(now + PEER_WAIT);
        }
    }

    /// Takes a revision that a peer announced; returns a pull if it is higher.
    pub(crate) fn on_peer_revision(
        &mut self,
        now: Instant,
        from: &Name,
        revision: Revision,
    ) -> Option<(Name, PeerMessage)> {
        if revision <= self.state.revision() {
            return None;
        }
        if self
            .highest
            .as_ref()
            .is_none_or(|(held, _)| revision >= *held)
        {
            self.highest = Some((revision, from.clone()));
        }
        self.next_pull(now)
    }

    fn next_pull(&mut self, now: Instant) -> Option<(Name, PeerMessage)> {
        if self.pull.as_ref().is_some_and(|pull| pull.until > now) {
            return None;
        }
        let (revision, from) = self.highest.clone()?;
        if revision <= self.state.revision() {
            self.highest = None;
            self.pull = None;
            return None;
        }
        self.pull = Some(Pull {
            until: now + PULL_TIMEOUT,
        });
        let after = self.state.revision();
        Some((from, PeerMessage::PullConfig { after }))
    }

    /// Answers a pull.
    pub(crate) fn on_pull(&self, after: Revision) -> PeerMessage {
        PeerMessage::Config(ConfigUpdate {
            after,
            through: self.state.revision(),
            entries: self.state.entries_after(after),
            relay: None,
        })
    }

    /// Takes an update from a peer, pulled or relayed.
    pub(crate) fn on_update(
        &mut self,
        now: Instant,
        from: &Name,
        update: ConfigUpdate,
        me: &Name,
        zone: &[Name],
    ) -> Applied {
        let mut applied = Applied::default();
        let held = self.state.revision();
        // A peer that restarted in an outage may lack what it announced before;
        // it announces its revision again with each datagram.
        if update.relay.is_none()
            && self
                .highest
                .as_ref()
                .is_some_and(|(revision, name)| name == from && *revision > update.through)
        {
            self.highest = None;
            self.pull = None;
        }
        if update.through <= held {
            return applied;
        }
        let complete = update.after <= held;
        let through = if complete { update.through } else { held };
        applied.entries = self.state.apply(update.entries, through);
        if !complete {
            applied
                .messages
                .extend(self.on_peer_revision(now, from, update.through));
        } else {
            self.pull = None;
        }
        if let Some(span) = update.relay
            && complete
        {
            let members = members_of(&span, zone, me);
            let relayed = self.relay(update.after, me, &members);
            applied.messages.extend(relayed);
        }
        applied
    }

    /// Divides the members into spans and sends the entries after a revision to
    /// the first of each. An entry that this host had out of order is not newly
    /// applied, but the receivers need it as well.
    fn relay(&self, after: Revision, me: &Name, members: &[Name]) -> Vec<(Name, PeerMessage)> {
        let entries = self.state.entries_after(after);
        let others: Vec<Name> = members.iter().filter(|name| *name != me).cloned().collect();
        divide(&others)
            .map(|(to, relay)| {
                let update = ConfigUpdate {
                    after,
                    through: self.state.revision(),
                    entries: entries.clone(),
                    relay,
                };
                (to, PeerMessage::Config(update))
            })
            .collect()
    }

    /// Time of the next call of [`ConfigSync::on_wake`].
    pub(crate) fn next_wake(&self) -> Option<Instant> {
        let pull = self.pull.as_ref().map(|pull| pull.until);
        let peers = self.peers_until.filter(|_| !self.caught_up);
        pull.into_iter().chain(peers).min()
    }

    /// Repeats a pull without an answer, and ends the start if the platform is
    /// away and no reachable peer has a newer configuration.
    pub(crate) fn on_wake(&mut self, now: Instant) -> Option<(Name, PeerMessage)> {
        if self.pull.as_ref().is_some_and(|pull| pull.until <= now) {
            self.pull = None;
        }
        let pull = self.next_pull(now);
        if self.peers_until.is_some_and(|until| until <= now) {
            let behind = self
                .highest
                .as_ref()
                .is_some_and(|(revision, _)| *revision > self.state.revision());
            self.caught_up |= self.state.is_ready() && !behind;
            self.peers_until = Some(now + PEER_WAIT);
        }
        pull
    }

    /// Forgets a peer that can no longer be asked.
    pub(crate) fn on_peer_down(&mut self, peer: &Name) {
        if self.highest.as_ref().is_some_and(|(_, name)| name == peer) {
            self.highest = None;
            self.pull = None;
        }
    }
}
