use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cornelwinch_config::{Entry, EntryValue, Kind, ServiceState, ZoneSpec};
use cornelwinch_host::{Input, PlatformCall, PlatformEvent};
use cornelwinch_membership::ListedHost;
use cornelwinch_types::{Name, Revision};

use super::{Event, LATENCY, World, address, name, zone};

/// Time after which a call without an answer fails, as in the daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The same for a watch whose wait is over.
const WATCH_TIMEOUT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Outage {
    None,
    Fails,
    Silent,
}

pub(super) struct Watch {
    /// Its connection broke without a sign to the host.
    lost: bool,
    node: usize,
    generation: u64,
    after: Revision,
    until: Instant,
}

impl World {
    pub(crate) fn set_outage(&mut self, outage: Outage) {
        if self.outage != outage {
            self.outage_since = self.now;
        }
        self.outage = outage;
        for watch in &mut self.watches {
            watch.lost |= outage == Outage::Silent;
        }
        if outage == Outage::Fails {
            // After a silent outage nobody answers the watches from before it.
            for watch in std::mem::take(&mut self.watches) {
                self.answer(watch.node, watch.generation, PlatformEvent::ChangesFailed);
            }
        }
    }

    /// Changes a random entry at the platform.
    pub(crate) fn write(&mut self) {
        self.write_unseen(1);
        if self.outage == Outage::None {
            for watch in std::mem::take(&mut self.watches) {
                if watch.lost {
                    self.watches.push(watch);
                } else if self.platform_reachable(watch.node) {
                    let event = self.changes(watch.after);
                    self.answer(watch.node, watch.generation, event);
                } else {
                    self.watches.push(watch);
                }
            }
        }
    }

    /// Changes entries without telling any watch.
    pub(crate) fn write_unseen(&mut self, count: usize) -> Vec<Entry> {
        for _ in 0..count {
            let spec = ZoneSpec {
                region: "test".into(),
                state: ServiceState::In,
            };
            let value = (self.rng.u32(..5) > 0).then_some(spec);
            let name = format!("z{}", self.rng.u32(..6));
            self.put(&name, EntryValue::Zone(value));
        }
        self.history[self.history.len() - count..].to_vec()
    }

    pub(crate) fn put(&mut self, name: &str, value: EntryValue) {
        let revision = Revision(self.history.len() as u64 + 1);
        self.history.push(Entry {
            name: name.into(),
            revision,
            change: format!("c{revision}").into(),
            value,
        });
    }

    /// The latest change of each entry after a revision.
    fn changes(&self, after: Revision) -> PlatformEvent {
        let mut latest: BTreeMap<(Kind, Name), Entry> = BTreeMap::new();
        for entry in &self.history {
            latest.insert((entry.kind(), entry.name.clone()), entry.clone());
        }
        let mut entries: Vec<Entry> = latest.into_values().collect();
        entries.retain(|entry| entry.revision > after);
        entries.sort_by_key(|entry| entry.revision);
        PlatformEvent::Changes {
            entries,
            through: Revision(self.history.len() as u64),
        }
    }

    fn platform_reachable(&self, node: usize) -> bool {
        !(self.cut && node % 2 == 1)
    }

    pub(super) fn answer(&mut self, node: usize, generation: u64, event: PlatformEvent) {
        self.push(
            LATENCY,
            Event::Input(node, generation, Input::Platform(event)),
        );
    }

    pub(super) fn call(&mut self, node: usize, generation: u64, call: &PlatformCall) {
        let silent = self.outage == Outage::Silent || !self.platform_reachable(node);
        let failed = match call {
            PlatformCall::Hosts => PlatformEvent::HostsFailed,
            _ => PlatformEvent::ChangesFailed,
        };
        if silent {
            let input = Input::Platform(failed);
            return self.push(CALL_TIMEOUT, Event::Input(node, generation, input));
        }
        if self.outage == Outage::Fails {
            return self.answer(node, generation, failed);
        }
        match call {
            // The tests make no non-idempotent requests.
            PlatformCall::ReadClaims { .. } | PlatformCall::WriteClaims { .. } => {}
            &PlatformCall::Watch { after, wait } if after.0 >= self.history.len() as u64 => {
                self.watches.push(Watch {
                    lost: false,
                    node,
                    generation,
                    after,
                    until: self.now + wait,
                });
            }
            &PlatformCall::List { after } | &PlatformCall::Watch { after, .. } => {
                let event = self.changes(after);
                self.answer(node, generation, event);
            }
            PlatformCall::Hosts => {
                let hosts = (0..self.nodes.len())
                    .map(|node| ListedHost {
                        name: name(node),
                        zone: zone(node),
                        peer: address(node, 1),
                        gossip: address(node, 2),
                        leaving: false,
                    })
                    .collect();
                let leaving_upstreams = self.leaving.clone();
                let event = PlatformEvent::Hosts {
                    hosts,
                    leaving_upstreams,
                };
                self.answer(node, generation, event);
            }
        }
    }

    pub(super) fn expire_watches(&mut self) {
        let now = self.now;
        for watch in std::mem::take(&mut self.watches) {
            let answered = !watch.lost && self.platform_reachable(watch.node);
            if answered && watch.until <= now {
                let event = self.changes(watch.after);
                self.answer(watch.node, watch.generation, event);
            } else if watch.until + WATCH_TIMEOUT <= now {
                self.answer(watch.node, watch.generation, PlatformEvent::ChangesFailed);
            } else {
                self.watches.push(watch);
            }
        }
    }
}
