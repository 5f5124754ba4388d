//! In-memory network on virtual time, with loss, cuts and pauses.

#![allow(
    dead_code,
    unreachable_pub,
    reason = "each test uses a part of the module"
)]

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use cornelwinch_membership::{
    DatagramKey, MAX_DATAGRAM, Membership, MembershipAction, MembershipConfig,
};
use cornelwinch_types::{Incarnation, Member, MemberState, Name};
use fastrand::Rng;

pub fn iterations() -> u64 {
    std::env::var("CORNELWINCH_ITERATIONS")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(200)
}

/// Iterations for tests that simulate minutes of many hosts.
pub fn slow_iterations() -> u64 {
    iterations().div_ceil(10)
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Wake(usize),
    Datagram {
        to: usize,
        from: usize,
        buf: Vec<u8>,
    },
}

pub struct Node {
    pub member: Member,
    /// `None` while the process is down.
    pub membership: Option<Membership>,
    pub log: Vec<(Instant, MembershipAction)>,
    pub bytes: u64,
    pub datagrams: u64,
    /// Nodes with different numbers cannot exchange datagrams.
    pub side: u8,
    paused: bool,
    inbox: Vec<(usize, Vec<u8>)>,
    wake: Instant,
}

pub struct Net {
    pub now: Instant,
    pub nodes: Vec<Node>,
    pub rng: Rng,
    pub loss: f64,
    /// Pairs of nodes without a direct path.
    pub broken: Vec<(usize, usize)>,
    pub cfg: MembershipConfig,
    events: BinaryHeap<Reverse<(Instant, u64, Event)>>,
    count: u64,
}

pub fn addr(i: usize) -> SocketAddr {
    ([10, (i >> 16) as u8, (i >> 8) as u8, i as u8], 7_001).into()
}

fn index(addr: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(v4) = addr else {
        return None;
    };
    let [_, a, b, c] = v4.ip().octets();
    Some(usize::from(a) << 16 | usize::from(b) << 8 | usize::from(c))
}

impl Net {
    /// A network of one host for each entry of `zones`, not started yet; the
    /// first host is everyone's seed.
    pub fn new(seed: u64, zones: &[&str]) -> Self {
        let now = Instant::now();
        let node = |(i, zone): (usize, &&str)| Node {
            member: Member {
                name: Name::from(format!("{zone}-{i}")),
                zone: Name::from(*zone),
                incarnation: Incarnation(1_700_000_000_000),
                peer: addr(i),
                gossip: addr(i),
                state: MemberState::Alive,
            },
            membership: None,
            log: Vec::new(),
            bytes: 0,
            datagrams: 0,
            side: 0,
            paused: false,
            inbox: Vec::new(),
            wake: now,
        };
        let cfg = MembershipConfig::new(DatagramKey::derive("test", b"secret"), vec![addr(0)]);
        Self {
            now,
            nodes: zones.iter().enumerate().map(node).collect(),
            rng: Rng::with_seed(seed),
            loss: 0.0,
            broken: Vec::new(),
            cfg,
            events: BinaryHeap::new(),
            count: 0,
        }
    }

    /// A network whose hosts have all started and know each other.
    pub fn settled(seed: u64, zones: &[&str]) -> Self {
        let mut net = Self::new(seed, zones);
        (0..zones.len()).for_each(|i| net.start(i));
        net.run(Duration::from_secs(20));
        net.check_complete(&format!("seed={seed}"));
        net
    }

    /// Starts a process, or replaces one with a higher incarnation.
    pub fn start(&mut self, i: usize) {
        let mut out = Vec::new();
        let node = &mut self.nodes[i];
        node.member.incarnation.0 += 1;
        let (member, rng) = (node.member.clone(), self.rng.fork());
        node.membership = Some(Membership::open(
            self.now,
            self.cfg.clone(),
            member,
            rng,
            &mut out,
        ));
        self.act(i, out);
    }

    pub fn stop(&mut self, i: usize) {
        self.nodes[i].membership = None;
    }

    pub fn pause(&mut self, i: usize) {
        self.nodes[i].paused = true;
    }

    /// Continues a process; the datagrams of the pause arrive at once.
    pub fn resume(&mut self, i: usize) {
        self.nodes[i].paused = false;
        if self.rng.bool() {
            self.turn(i, Membership::on_wake);
        }
        for (from, buf) in std::mem::take(&mut self.nodes[i].inbox) {
            self.deliver(i, from, &buf);
        }
        self.turn(i, Membership::on_wake);
    }

    /// Calls a running process and carries out its actions.
    pub fn turn(
        &mut self,
        i: usize,
        f: impl FnOnce(&mut Membership, Instant, &mut Vec<MembershipAction>),
    ) {
        let mut out = Vec::new();
        if let Some(membership) = &mut self.nodes[i].membership {
            f(membership, self.now, &mut out);
        }
        self.act(i, out);
    }

    pub fn deliver(&mut self, to: usize, from: usize, buf: &[u8]) {
        self.turn(to, |membership, now, out| {
            membership.on_datagram(now, addr(from), buf, out);
        });
    }

    fn push(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn act(&mut self, i: usize, out: Vec<MembershipAction>) {
        for action in out {
            let MembershipAction::Send { to, buf } = action else {
                self.nodes[i].log.push((self.now, action));
                continue;
            };
            assert!(buf.len() <= MAX_DATAGRAM, "datagram of {} bytes", buf.len());
            self.nodes[i].bytes += buf.len() as u64;
            self.nodes[i].datagrams += 1;
            let Some(to) = index(to).filter(|to| *to < self.nodes.len()) else {
                continue;
            };
            let broken = self.broken.contains(&(i, to)) || self.broken.contains(&(to, i));
            if broken || self.nodes[i].side != self.nodes[to].side || self.rng.f64() < self.loss {
                continue;
            }
            let delay = Duration::from_micros(self.rng.u64(200..1_000));
            self.push(self.now + delay, Event::Datagram { to, from: i, buf });
        }
        let wake = self.nodes[i]
            .membership
            .as_ref()
            .and_then(Membership::next_wake);
        if let Some(wake) = wake.filter(|wake| *wake != self.nodes[i].wake) {
            self.nodes[i].wake = wake;
            self.push(wake, Event::Wake(i));
        }
    }

    /// Lets virtual time pass.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self
            .events
            .peek()
            .is_some_and(|Reverse((at, ..))| *at <= end)
        {
            let Some(Reverse((at, _, event))) = self.events.pop() else {
                break;
            };
            self.now = self.now.max(at);
            match event {
                Event::Wake(i) if !self.nodes[i].paused && self.nodes[i].wake == at => {
                    self.turn(i, Membership::on_wake);
                }
                Event::Wake(_) => {}
                Event::Datagram { to, from, buf } if self.nodes[to].paused => {
                    self.nodes[to].inbox.push((from, buf));
                }
                Event::Datagram { to, from, buf } => self.deliver(to, from, &buf),
            }
        }
        self.now = end;
    }

    /// State of host `of` in the view of host `by`.
    pub fn state(&self, by: usize, of: usize) -> Option<MemberState> {
        let membership = self.nodes[by].membership.as_ref().expect("process runs");
        let (members, name) = (membership.members(), &self.nodes[of].member.name);
        let at = members
            .binary_search_by(|member| member.name.cmp(name))
            .ok()?;
        Some(members[at].state)
    }

    /// Asserts that every running host sees exactly the running hosts as alive.
    pub fn check_complete(&self, context: &str) {
        for by in (0..self.nodes.len()).filter(|by| self.nodes[*by].membership.is_some()) {
            for (of, node) in self.nodes.iter().enumerate() {
                let alive = matches!(
                    self.state(by, of),
                    Some(MemberState::Alive | MemberState::Suspect)
                );
                assert_eq!(
                    alive,
                    node.membership.is_some(),
                    "{context} by={by} of={of} state={:?}",
                    self.state(by, of)
                );
            }
        }
    }

    /// Actions of a kind that hosts other than `but` logged after a time.
    pub fn logged(
        &self,
        since: Instant,
        but: usize,
        f: impl Fn(&MembershipAction) -> bool,
    ) -> Vec<(usize, Instant)> {
        let mut found = Vec::new();
        for (i, node) in self.nodes.iter().enumerate().filter(|(i, _)| *i != but) {
            let entries = node
                .log
                .iter()
                .filter(|(at, action)| *at >= since && f(action));
            found.extend(entries.map(|(at, _)| (i, *at)));
        }
        found
    }
}

/// Reports whether an action sets a member to a state.
pub fn is_change(action: &MembershipAction, name: &str, state: MemberState) -> bool {
    matches!(action, MembershipAction::Changed(member) if &*member.name == name && member.state == state)
}
