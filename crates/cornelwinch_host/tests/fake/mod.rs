//! Hosts on virtual time with a network and a platform in memory, as far as the
//! spread of the configuration needs them.

#![allow(dead_code, reason = "each test uses a part of the module")]

mod checks;
mod platform;
mod search;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelwinch_config::{Entry, Kind};
use cornelwinch_host::{
    Action, CallerAnswer, Host, HostConfig, Input, PeerMessage, PlatformCall, PlatformEvent,
    Routing,
};
use cornelwinch_membership::{DatagramKey, MembershipConfig};
use cornelwinch_types::{
    Incarnation, LegFailure, LegResult, Member, MemberState, Name, Revision, UpstreamObservation,
};

pub(crate) use platform::Outage;
use platform::Watch;

const HOSTS: usize = 12;
const LATENCY: Duration = Duration::from_millis(1);
/// Turns at one moment after which a host has timers that never end.
const TURNS: u32 = 10_000;
const PROBE_PERIOD: Duration = Duration::from_millis(50);

pub(crate) struct Node {
    host: Option<Host>,
    generation: u64,
    up_since: Instant,
    paused: bool,
    held: Vec<Input>,
    /// Times at which the revision rose.
    revisions: Vec<(Instant, Revision)>,
    entries: BTreeMap<(Kind, Name), Revision>,
    served: bool,
    from_platform: bool,
}

enum Event {
    Input(usize, u64, Input),
    Platform(usize, u64, PlatformCall),
    Probe,
}

pub(crate) struct World {
    pub(crate) rng: fastrand::Rng,
    pub(crate) nodes: Vec<Node>,
    pub(crate) loss: f64,
    /// Upstreams that the platform lists as leaving.
    pub(crate) leaving: Vec<Name>,
    /// Legs sent to upstreams; each crashes its upstream unless `answers`.
    pub(crate) legs: usize,
    pub(crate) answers: bool,
    /// Queries answered with full coverage.
    pub(crate) complete: usize,
    /// Messages counted in the two fields that follow, for each host.
    pub(crate) counted: fn(&PeerMessage) -> bool,
    pub(crate) marks_sent: Vec<usize>,
    pub(crate) marks_received: Vec<usize>,
    /// Every write: revision is the position plus 1.
    pub(crate) history: Vec<Entry>,
    seed: u64,
    now: Instant,
    serial: u64,
    events: BTreeMap<(Instant, u64), Event>,
    outage: Outage,
    outage_since: Instant,
    /// Zone b cannot reach zone a or the platform.
    cut: bool,
    cut_changed: Instant,
    deaf: bool,
    watches: Vec<Watch>,
}

fn address(node: usize, port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, node as u8 + 1], port))
}

fn zone(node: usize) -> Name {
    ["a", "b"][node % 2].into()
}

fn name(node: usize) -> Name {
    format!("{}-{:02}", zone(node), node / 2).into()
}

fn node_of(addr: SocketAddr) -> usize {
    let SocketAddr::V4(addr) = addr else {
        panic!("an IPv6 address");
    };
    usize::from(addr.ip().octets()[3]) - 1
}

impl World {
    pub(crate) fn new(seed: u64) -> Self {
        Self::with_hosts(seed, HOSTS)
    }

    pub(crate) fn with_hosts(seed: u64, hosts: usize) -> Self {
        let now = Instant::now();
        let node = || Node {
            host: None,
            generation: 0,
            up_since: now,
            paused: false,
            held: Vec::new(),
            revisions: Vec::new(),
            entries: BTreeMap::new(),
            served: false,
            from_platform: false,
        };
        let mut world = Self {
            rng: fastrand::Rng::with_seed(seed),
            nodes: (0..hosts).map(|_| node()).collect(),
            loss: 0.0,
            leaving: Vec::new(),
            legs: 0,
            answers: false,
            complete: 0,
            counted: |_| false,
            marks_sent: vec![0; hosts],
            marks_received: vec![0; hosts],
            history: Vec::new(),
            seed,
            now,
            serial: 0,
            events: BTreeMap::new(),
            outage: Outage::None,
            outage_since: now,
            cut: false,
            cut_changed: now,
            deaf: false,
            watches: Vec::new(),
        };
        world.push(Duration::ZERO, Event::Probe);
        (0..hosts).for_each(|node| world.start(node));
        world
    }

    fn push(&mut self, delay: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((self.now + delay, self.serial), event);
    }

    pub(crate) fn start(&mut self, node: usize) {
        if self.nodes[node].host.is_some() {
            return;
        }
        let me = Member {
            name: name(node),
            zone: zone(node),
            incarnation: Incarnation(self.serial + 1),
            peer: address(node, 1),
            gossip: address(node, 2),
            state: MemberState::Alive,
        };
        let key = DatagramKey::derive("test", b"secret");
        let seeds = (0..4).map(|node| address(node, 2)).collect();
        let membership = MembershipConfig::new(key, seeds);
        let cfg = HostConfig {
            me,
            unix_time: Duration::from_secs(1_800_000_000),
            routing: Routing::Owner,
            suspicion: membership.suspicion,
            membership,
            guard: Duration::from_secs(2),
            settle: Duration::ZERO,
            queue_per_upstream: 16,
            queries: 16,
            balancer_delay: Duration::from_millis(500),
            drain_limit: Duration::from_secs(5),
        };
        let mut out = Vec::new();
        let host = Host::open(self.now, cfg, self.rng.fork(), &mut out);
        let now = self.now;
        let held = &mut self.nodes[node];
        held.host = Some(host);
        held.generation += 1;
        held.up_since = now;
        held.paused = false;
        held.held.clear();
        held.revisions = Vec::new();
        held.entries.clear();
        held.served = false;
        held.from_platform = false;
        self.act(node, out);
    }

    pub(crate) fn stop(&mut self, node: usize) {
        let held = &mut self.nodes[node];
        held.host = None;
        held.generation += 1;
        held.paused = false;
    }

    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].paused = self.nodes[node].host.is_some();
    }

    /// Hosts that own an upstream, with the legs that each allows in flight.
    pub(crate) fn owners(&self, upstream: &str) -> Vec<(usize, usize)> {
        let limit = |node: &Node| {
            let status = node.host.as_ref()?.status();
            let owned = status.owned.iter().find(|o| &*o.upstream == upstream)?;
            Some(owned.limit)
        };
        self.nodes
            .iter()
            .enumerate()
            .filter_map(|(i, node)| Some((i, limit(node)?)))
            .collect()
    }

    /// The only host that owns an upstream.
    pub(crate) fn owner(&self, upstream: &str) -> usize {
        let owners = self.owners(upstream);
        assert_eq!(owners.len(), 1, "owners of {upstream}: {owners:?}");
        owners[0].0
    }

    pub(crate) fn resume(&mut self, node: usize) {
        if std::mem::take(&mut self.nodes[node].paused) {
            self.nodes[node].up_since = self.now;
            for input in std::mem::take(&mut self.nodes[node].held) {
                self.handle(node, input);
            }
        }
    }

    pub(crate) fn set_cut(&mut self, cut: bool) {
        if self.cut != cut {
            self.cut_changed = self.now;
        }
        self.cut = cut;
    }

    /// While deaf, hosts get datagrams but no messages.
    pub(crate) fn set_deaf(&mut self, deaf: bool) {
        self.deaf = deaf;
    }

    pub(crate) fn end_faults(&mut self) {
        self.set_outage(Outage::None);
        self.set_cut(false);
        self.loss = 0.0;
        for node in 0..self.nodes.len() {
            self.start(node);
            self.resume(node);
        }
    }

    fn connected(&self, a: usize, b: usize) -> bool {
        !(self.cut && a % 2 != b % 2)
    }

    fn act(&mut self, node: usize, actions: Vec<Action>) {
        let generation = self.nodes[node].generation;
        for action in actions {
            match action {
                Action::SendDatagram { to, buf } => {
                    let to = node_of(to);
                    let lost = self.rng.f64() < self.loss;
                    if !lost && self.connected(node, to) {
                        let from = address(node, 2);
                        let delay = LATENCY.mul_f64(1.0 + 10.0 * self.rng.f64());
                        let input = Input::Datagram { from, buf };
                        self.push(delay, Event::Input(to, self.nodes[to].generation, input));
                    }
                }
                Action::SendPeer { to, addr, msg } => {
                    let target = node_of(addr);
                    if (self.counted)(&msg) {
                        self.marks_sent[node] += 1;
                        self.marks_received[target] += 1;
                    }
                    let up = self.nodes[target].host.is_some();
                    let lost = self.deaf || self.rng.f64() < self.loss;
                    if up && !lost && self.connected(node, target) {
                        let from = name(node);
                        let input = Input::Peer { from, msg };
                        let target_generation = self.nodes[target].generation;
                        self.push(LATENCY, Event::Input(target, target_generation, input));
                    } else if !self.deaf {
                        let unsent = if up { Vec::new() } else { vec![msg] };
                        let input = Input::PeerDown { peer: to, unsent };
                        let delay = if up { Duration::from_secs(1) } else { LATENCY };
                        self.push(delay, Event::Input(node, generation, input));
                    }
                }
                Action::SendUpstream(leg) => {
                    self.legs += 1;
                    let result = if self.answers {
                        search::answer(&leg)
                    } else {
                        LegResult::Failed(LegFailure::Disconnected)
                    };
                    let input = Input::Upstream {
                        upstream: leg.upstream,
                        attempt: leg.attempt,
                        result,
                        signs: UpstreamObservation::default(),
                    };
                    self.push(LATENCY, Event::Input(node, generation, input));
                }
                Action::Platform(call) => {
                    self.push(LATENCY, Event::Platform(node, generation, call));
                }
                Action::Reply {
                    answer: CallerAnswer::Query(answer),
                    ..
                } if answer.coverage == 1.0 => self.complete += 1,
                _ => {}
            }
        }
    }

    fn handle(&mut self, node: usize, input: Input) {
        let Some(mut host) = self.nodes[node].host.take() else {
            return;
        };
        if let Input::Platform(PlatformEvent::Changes { .. }) = &input {
            self.nodes[node].from_platform = true;
        }
        let mut out = Vec::new();
        host.handle(self.now, input, &mut out);
        self.nodes[node].host = Some(host);
        self.check(node);
        self.act(node, out);
    }

    /// Runs the world for a time.
    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let mut turns = 0;
        loop {
            let wake = (0..self.nodes.len())
                .filter(|&node| !self.nodes[node].paused)
                .filter_map(|node| Some((self.nodes[node].host.as_ref()?.next_wake(), node)))
                .min();
            let event = self.events.first_key_value().map(|(key, _)| *key);
            let next = wake
                .map(|wake| wake.0)
                .into_iter()
                .chain(event.map(|e| e.0));
            let at = next.min().unwrap_or(end).max(self.now);
            if at > end {
                self.now = end;
                return;
            }
            turns = if at == self.now { turns + 1 } else { 0 };
            let seed = self.seed;
            assert!(
                turns < TURNS,
                "seed={seed} time stands still: {wake:?} {event:?}"
            );
            self.now = at;
            self.expire_watches();
            if let Some(key) = event.filter(|key| key.0 <= at) {
                let event = self.events.remove(&key);
                event.into_iter().for_each(|event| self.take(event));
            } else if let Some((_, node)) = wake
                && let Some(mut host) = self.nodes[node].host.take()
            {
                let mut out = Vec::new();
                host.on_wake(self.now, &mut out);
                self.nodes[node].host = Some(host);
                self.check(node);
                self.act(node, out);
            }
        }
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Input(node, generation, input) => {
                let target = &mut self.nodes[node];
                if target.generation != generation {
                } else if target.paused {
                    target.held.push(input);
                } else {
                    self.handle(node, input);
                }
            }
            Event::Platform(node, generation, call) => self.call(node, generation, &call),
            Event::Probe => {
                for node in 0..self.nodes.len() {
                    self.probe(node);
                }
                self.push(PROBE_PERIOD, Event::Probe);
            }
        }
    }
}
