//! Simulation of many hosts that gather from the same upstreams during a burst of requests while
//! upstreams are down or slow. Time passes in steps of one millisecond.

pub(crate) mod admission;
pub(crate) mod mix;
pub(crate) mod tally;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Fleet, HealthSignal, UpstreamEntry, UpstreamId, UpstreamLimits, UpstreamState,
};
use cornelwinch_types::Name;

use self::admission::{Admission, Failure, Version};
use self::mix::Mix;
use self::tally::Tally;

const REPLICAS: usize = 3;
const SLOTS: usize = 6;
const QUEUE: usize = 12;
const GOAL_MS: u64 = 200;
/// Deadline of the legs.
const LEG_DEADLINE_MS: u64 = 184;
/// Time for which a caller waits, with its repeats.
const BUDGET_MS: u64 = 3_000;
/// Time after which an answer without all parts is returned.
const PARTIAL_MS: u64 = 160;
/// Time of a message between two processes.
const HOP_MS: u64 = 1;
const WORK_MS: u64 = 28;
const HEDGE_MS: u64 = 60;
/// Repeats that a host may send to a shard for each request, and at once.
const REPEAT_RATIO: f64 = 0.2;
const MAX_REPEATS: f64 = 6.0;
const BURST_START_MS: u64 = 500;
const BURST_END_MS: u64 = 3_500;
/// End of the time after the burst in which requests are counted.
const AFTER_END_MS: u64 = 5_500;

/// A load pattern.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Pattern {
    pub(crate) hosts: usize,
    pub(crate) shards: usize,
    /// Requests per second of all callers.
    pub(crate) rate: f64,
    /// Factor of the rate during the burst.
    pub(crate) burst: f64,
    /// Share of the upstreams that are down during the burst. One of each shard is spared.
    pub(crate) down: f64,
    /// Share of the upstreams that take four times as long.
    pub(crate) slow: f64,
    /// Times that a caller repeats a failed request.
    pub(crate) repeats: u32,
    pub(crate) mix: Mix,
    pub(crate) seed: u64,
}

#[derive(Debug, Clone, Copy)]
struct Leg {
    request: usize,
    shard: usize,
    host: usize,
    id: UpstreamId,
    token: u64,
    sent: u64,
    deadline: u64,
}

#[derive(Debug, Default)]
struct Replica {
    is_down: bool,
    is_slow: bool,
    /// Legs that run, with the time of their end.
    running: Vec<(u64, Leg)>,
    queue: VecDeque<Leg>,
}

#[derive(Debug)]
struct Request {
    host: usize,
    class: usize,
    /// Time of the caller's first attempt.
    first: u64,
    start: u64,
    repeats_left: u32,
    parts: usize,
    failed: usize,
    failure: Failure,
    is_open: bool,
    shards: Vec<ShardState>,
}

/// Legs of a request to one shard.
#[derive(Debug, Default, Clone)]
struct ShardState {
    tried: Vec<UpstreamId>,
    in_flight: usize,
    is_done: bool,
}

/// The hosts, their upstreams and the messages between them.
struct World {
    pattern: Pattern,
    rng: fastrand::Rng,
    start: Instant,
    ms: u64,
    fleets: Vec<Fleet>,
    admissions: Vec<Admission>,
    names: Vec<Name>,
    /// Replicas by shard.
    replicas: Vec<[Replica; REPLICAS]>,
    /// Messages to upstreams and outcomes to hosts, by time of arrival.
    to_upstreams: VecDeque<(u64, usize, Leg)>,
    to_hosts: VecDeque<(u64, Leg, HealthSignal)>,
    requests: Vec<Request>,
    /// Time, first attempt, class and repeats left of callers that come back.
    returns: Vec<(u64, u64, usize, u32)>,
    token: u64,
    /// Repeats left by host and shard.
    tokens: Vec<Vec<f64>>,
    tally: Tally,
}

impl World {
    fn new(version: Version, pattern: Pattern) -> Self {
        let start = Instant::now();
        let names: Vec<Name> = (0..pattern.shards)
            .map(|n| format!("s{n:03}").into())
            .collect();
        let mut fleet_entries = Vec::new();
        for (shard, name) in names.iter().enumerate() {
            for replica in 0..REPLICAS {
                fleet_entries.push(UpstreamEntry {
                    name: format!("{name}-{replica}").into(),
                    born_ms: 1,
                    service: name.clone(),
                    addr: "127.0.0.1:9000".parse().unwrap(),
                    zone: format!("z{}", (shard + replica) % 4).into(),
                    state: UpstreamState::Ready,
                    cold_left: Duration::ZERO,
                    version: "v1".into(),
                    slots: 4,
                });
            }
        }
        let fleets = (0..pattern.hosts)
            .map(|_| {
                let mut fleet = Fleet::new();
                for entry in &fleet_entries {
                    fleet.apply(start, entry.clone());
                }
                fleet
            })
            .collect();
        Self {
            pattern,
            rng: fastrand::Rng::with_seed(pattern.seed),
            start,
            ms: 0,
            fleets,
            admissions: (0..pattern.hosts)
                .map(|_| Admission::new(version, pattern.hosts))
                .collect(),
            replicas: (0..pattern.shards).map(|_| Default::default()).collect(),
            names,
            to_upstreams: VecDeque::new(),
            to_hosts: VecDeque::new(),
            requests: Vec::new(),
            returns: Vec::new(),
            token: 0,
            tokens: vec![vec![MAX_REPEATS; pattern.shards]; pattern.hosts],
            tally: Tally::default(),
        }
    }

    fn now(&self) -> Instant {
        self.start + Duration::from_millis(self.ms)
    }

    fn min_parts(&self) -> usize {
        (self.pattern.shards as f64 * 0.95).ceil() as usize
    }

    fn run(mut self) -> Tally {
        while self.ms < AFTER_END_MS + 1_000 {
            self.change_upstreams();
            self.arrive();
            self.serve_upstreams();
            self.receive();
            self.expire();
            self.ms += 1;
        }
        self.tally
    }

    fn change_upstreams(&mut self) {
        if self.ms != BURST_START_MS && self.ms != BURST_END_MS {
            return;
        }
        let starts = self.ms == BURST_START_MS;
        for shard in &mut self.replicas {
            let spared = self.rng.usize(..REPLICAS);
            for (n, replica) in shard.iter_mut().enumerate() {
                replica.is_down = starts && n != spared && self.rng.f64() < self.pattern.down;
                replica.is_slow = starts && self.rng.f64() < self.pattern.slow;
                if replica.is_down {
                    let cut: Vec<Leg> = replica
                        .queue
                        .drain(..)
                        .chain(replica.running.drain(..).map(|(_, leg)| leg))
                        .collect();
                    for leg in cut {
                        self.to_hosts
                            .push_back((self.ms + HOP_MS, leg, HealthSignal::Failed));
                    }
                }
            }
        }
    }

    fn arrive(&mut self) {
        let is_burst = (BURST_START_MS..BURST_END_MS).contains(&self.ms);
        let Pattern { burst, mix, .. } = self.pattern;
        let factor = if is_burst {
            burst * mix.burst_factor()
        } else {
            1.0
        };
        let per_ms = self.pattern.rate * factor / 1_000.0;
        let count = per_ms as usize + usize::from(self.rng.f64() < per_ms.fract());
        for _ in 0..count {
            let class = mix.draw(is_burst, &mut self.rng);
            let counts = &mut self.tally.classes[class];
            counts.offered += usize::from(is_burst);
            counts.offered_after += usize::from((BURST_END_MS..AFTER_END_MS).contains(&self.ms));
            self.call(self.ms, class, self.pattern.repeats);
        }
        let due: Vec<_> = self
            .returns
            .extract_if(.., |(at, ..)| *at <= self.ms)
            .collect();
        for (_, first, class, repeats) in due {
            self.call(first, class, repeats);
        }
    }

    fn call(&mut self, first: u64, class: usize, repeats_left: u32) {
        let host = self.rng.usize(..self.pattern.hosts);
        let now = self.now();
        let can_meet_goal = self.ms - first + WORK_MS <= GOAL_MS;
        let caller = self.pattern.mix.caller(class, can_meet_goal);
        if !self.admissions[host].try_start(now, &caller) {
            let left = BUDGET_MS.saturating_sub(self.ms - first);
            let longest = Duration::from_millis(left / 3);
            let after = self.admissions[host].return_time(now, longest);
            self.come_back(first, class, repeats_left, after.as_millis() as u64);
            return;
        }
        let request = self.requests.len();
        self.requests.push(Request {
            host,
            class,
            first,
            start: self.ms,
            repeats_left,
            parts: 0,
            failed: 0,
            failure: Failure::Other,
            is_open: true,
            shards: vec![ShardState::default(); self.pattern.shards],
        });
        for shard in 0..self.pattern.shards {
            let tokens = &mut self.tokens[host][shard];
            *tokens = (*tokens + REPEAT_RATIO).min(MAX_REPEATS);
            self.send(request, shard);
        }
    }

    fn come_back(&mut self, first: u64, class: usize, repeats_left: u32, after: u64) {
        if repeats_left > 0 {
            self.returns
                .push((self.ms + after + 6, first, class, repeats_left - 1));
        }
    }

    /// Sends a leg; returns false if no upstream takes it.
    fn send(&mut self, request: usize, shard: usize) -> bool {
        let now = self.now();
        let (host, start) = (self.requests[request].host, self.requests[request].start);
        let zone: Name = format!("z{}", host % 4).into();
        let limits = UpstreamLimits {
            connections: 8,
            cold_per_s: None,
        };
        let name = self.names[shard].clone();
        let fleet = &mut self.fleets[host];
        let state = &mut self.requests[request].shards[shard];
        let tokens = &mut self.tokens[host][shard];
        if !state.tried.is_empty() && (*tokens < 1.0 || state.tried.len() >= 2) {
            return false;
        }
        let Some(endpoint) = fleet.pick(now, &name, &zone, &state.tried, limits, &mut self.rng)
        else {
            return false;
        };
        if !state.tried.is_empty() {
            *tokens -= 1.0;
        }
        state.tried.push(endpoint.id);
        state.in_flight += 1;
        self.token += 1;
        fleet.leg_sent(now, endpoint.id, self.token, Duration::from_millis(WORK_MS));
        let leg = Leg {
            request,
            shard,
            host,
            id: endpoint.id,
            token: self.token,
            sent: self.ms,
            deadline: start + LEG_DEADLINE_MS,
        };
        let replica: usize = endpoint.name[endpoint.name.len() - 1..].parse().unwrap();
        self.to_upstreams
            .push_back((self.ms + HOP_MS, replica, leg));
        true
    }

    fn serve_upstreams(&mut self) {
        while let Some((at, replica, leg)) = self.to_upstreams.front().copied() {
            if at > self.ms {
                break;
            }
            self.to_upstreams.pop_front();
            let upstream = &mut self.replicas[leg.shard][replica];
            let reply = self.ms + HOP_MS;
            if upstream.is_down {
                self.to_hosts
                    .push_back((reply, leg, HealthSignal::Unreachable));
            } else if upstream.queue.len() >= QUEUE {
                self.to_hosts.push_back((reply, leg, HealthSignal::Refused));
            } else {
                upstream.queue.push_back(leg);
            }
        }
        for shard in &mut self.replicas {
            for upstream in shard.iter_mut() {
                let requests = &self.requests;
                upstream.queue.retain(|leg| requests[leg.request].is_open);
                upstream.running.retain(|(end, leg)| {
                    let is_late = leg.deadline <= self.ms;
                    if *end > self.ms && !is_late {
                        return requests[leg.request].is_open;
                    }
                    let signal = if is_late {
                        HealthSignal::Failed
                    } else {
                        HealthSignal::Answered {
                            ratio: (self.ms - leg.sent) as f64 / WORK_MS as f64,
                        }
                    };
                    self.to_hosts.push_back((self.ms + HOP_MS, *leg, signal));
                    false
                });
                while upstream.running.len() < SLOTS {
                    let Some(leg) = upstream.queue.pop_front() else {
                        break;
                    };
                    if leg.deadline <= self.ms {
                        self.to_hosts
                            .push_back((self.ms + HOP_MS, leg, HealthSignal::Refused));
                        continue;
                    }
                    let factor = if upstream.is_slow { 4 } else { 1 };
                    let work = (WORK_MS / 2 + self.rng.u64(..WORK_MS)) * factor;
                    upstream.running.push((self.ms + work, leg));
                }
            }
        }
    }

    fn receive(&mut self) {
        while let Some((at, leg, signal)) = self.to_hosts.front().copied() {
            if at > self.ms {
                break;
            }
            self.to_hosts.pop_front();
            let now = self.now();
            self.fleets[leg.host].leg_ended(now, leg.id, leg.token, signal);
            let request = &mut self.requests[leg.request];
            let state = &mut request.shards[leg.shard];
            state.in_flight -= 1;
            if !request.is_open || state.is_done {
                continue;
            }
            if let HealthSignal::Answered { .. } = signal {
                state.is_done = true;
                request.parts += 1;
            } else {
                let has_time = self.ms < leg.deadline;
                if state.in_flight > 0 || (has_time && self.send(leg.request, leg.shard)) {
                    continue;
                }
                let request = &mut self.requests[leg.request];
                request.shards[leg.shard].is_done = true;
                request.failed += 1;
                request.failure = request.failure.max(match signal {
                    HealthSignal::Refused => Failure::Refused,
                    _ if !has_time => Failure::Late,
                    _ => Failure::Other,
                });
            }
            self.finish_if_decided(leg.request);
        }
    }

    /// Ends the requests whose time for a partial answer or whose deadline has passed.
    fn expire(&mut self) {
        for request in 0..self.requests.len() {
            if !self.requests[request].is_open {
                continue;
            }
            if self.ms == self.requests[request].start + HEDGE_MS {
                for shard in 0..self.pattern.shards {
                    if !self.requests[request].shards[shard].is_done {
                        self.send(request, shard);
                    }
                }
            }
            self.finish_if_decided(request);
        }
    }

    fn finish_if_decided(&mut self, index: usize) {
        let (now, min_parts) = (self.now(), self.min_parts());
        let request = &mut self.requests[index];
        let pending = self.pattern.shards - request.parts - request.failed;
        let age = self.ms - request.start;
        let is_served = request.parts >= min_parts && (pending == 0 || age >= PARTIAL_MS);
        let is_failed = request.parts + pending < min_parts;
        if !is_served && !is_failed {
            return;
        }
        request.is_open = false;
        let (first, repeats, host) = (request.first, request.repeats_left, request.host);
        let class = request.class;
        let failure = (!is_served).then_some(request.failure);
        self.admissions[host].finish(now, Duration::from_millis(age), failure);
        if is_served {
            let is_burst = (BURST_START_MS..BURST_END_MS).contains(&first);
            let is_timely = self.ms + 2 - first <= GOAL_MS;
            let is_after = (BURST_END_MS..AFTER_END_MS).contains(&first);
            let counts = &mut self.tally.classes[class];
            counts.in_goal_after += usize::from(is_after && is_timely);
            let is_returned = self.ms + 2 - self.requests[index].start <= GOAL_MS;
            if is_burst {
                match (is_timely, is_returned) {
                    (true, _) => counts.in_goal += 1,
                    (false, true) => counts.returned += 1,
                    (false, false) => counts.late += 1,
                }
            }
        } else {
            self.come_back(first, class, repeats, 0);
        }
    }
}

/// Plays a pattern with one version of the decisions.
pub(crate) fn play(version: Version, pattern: Pattern) -> Tally {
    World::new(version, pattern).run()
}
