//! Simulation of hosts that place legs by one of the modes, in microseconds.

mod scenario;
mod tally;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use cornelwinch_routing::{
    Fleet, HealthSignal, LegRequest, PlacementMode, UpstreamEntry, UpstreamId, UpstreamLimits,
    UpstreamState,
};
use cornelwinch_types::Name;

pub(crate) use scenario::{Load, PEEK, SWEEP, Scenario};
pub(crate) use tally::Tally;

const ZONES: usize = 3;
const SLOTS: usize = 4;
const QUEUE: usize = 24;
const MS: f64 = 1_000.0;
/// Repeats for each leg, and at once, that a host may send to a shard.
const REPEAT_RATIO: f64 = 0.2;
const MAX_REPEATS: f64 = 3.0;
const NOISE_PERIOD_US: u64 = 600_000;
const PAUSE_PERIOD_US: u64 = 2_400_000;
const PAUSE_US: u64 = 100_000;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Request,
    Arrive(usize),
    Done(usize),
    Reply(usize, bool),
    Hedge(usize, usize),
    Partial(usize),
}

#[derive(Debug, Clone, Copy)]
struct Leg {
    request: usize,
    shard: usize,
    upstream: usize,
    id: UpstreamId,
    sent: u64,
    typical: f64,
    work: u64,
}

#[derive(Debug, Clone, Default)]
struct Part {
    tried: Vec<UpstreamId>,
    in_flight: usize,
    is_done: bool,
}

#[derive(Debug)]
struct Request {
    host: usize,
    load: usize,
    start: u64,
    parts: Vec<Part>,
    done: usize,
    failed: usize,
    is_open: bool,
    accepts_partial: bool,
}

#[derive(Debug, Default)]
struct Server {
    speed: f64,
    gets_slow: bool,
    noisy_in: (u64, bool),
    phase: u64,
    running: usize,
    queue: VecDeque<usize>,
}

#[derive(Debug)]
struct Host {
    fleet: Fleet,
    rng: fastrand::Rng,
    zone: Name,
    typical: Vec<f64>,
    repeats: Vec<f64>,
}

struct World {
    scenario: Scenario,
    mode: PlacementMode,
    rng: fastrand::Rng,
    start: Instant,
    now: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    hosts: Vec<Host>,
    servers: Vec<Server>,
    entries: Vec<UpstreamEntry>,
    requests: Vec<Request>,
    legs: Vec<Leg>,
    tally: Tally,
}

/// Runs a scenario in one mode.
pub(crate) fn play(mode: PlacementMode, scenario: &Scenario) -> Tally {
    World::new(mode, scenario.clone()).run()
}

impl World {
    fn new(mode: PlacementMode, scenario: Scenario) -> Self {
        let mut rng = fastrand::Rng::with_seed(scenario.seed);
        let (mut entries, mut servers) = (Vec::new(), Vec::new());
        for shard in 0..scenario.shards {
            let speeds = scenario.speeds.iter().cycle().take(scenario.replicas);
            let mut speeds: Vec<f64> = speeds.copied().collect();
            rng.shuffle(&mut speeds);
            for (replica, speed) in speeds.into_iter().enumerate() {
                entries.push(UpstreamEntry {
                    name: format!("s{shard:02}-{replica}").into(),
                    born_ms: 1,
                    service: format!("s{shard:02}").into(),
                    addr: "127.0.0.1:9000".parse().unwrap(),
                    zone: format!("z{}", replica % ZONES).into(),
                    state: UpstreamState::Ready,
                    cold_left: Duration::ZERO,
                    version: "v1".into(),
                    slots: SLOTS as u32,
                });
                servers.push(Server {
                    speed,
                    gets_slow: rng.f64() < scenario.gets_slow,
                    phase: rng.u64(..PAUSE_PERIOD_US),
                    ..Server::default()
                });
            }
        }
        let mut world = Self {
            mode,
            rng,
            start: Instant::now(),
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            hosts: Vec::new(),
            tally: Tally {
                legs: vec![0; servers.len()],
                ..Tally::default()
            },
            servers,
            entries,
            requests: Vec::new(),
            legs: Vec::new(),
            scenario,
        };
        world.start_hosts();
        world
    }

    fn start_hosts(&mut self) {
        let now = self.time();
        let scenario = &self.scenario;
        let host = |n: usize| {
            let zone: Name = format!("z{}", n % ZONES).into();
            let mut fleet = Fleet::new();
            fleet.set_placement(self.mode, zone.clone());
            for entry in &self.entries {
                fleet.apply(now, entry.clone());
            }
            Host {
                fleet,
                rng: fastrand::Rng::with_seed(n as u64),
                zone,
                typical: scenario
                    .loads
                    .iter()
                    .map(|load| load.goal * 0.15 * MS)
                    .collect(),
                repeats: vec![MAX_REPEATS; scenario.shards],
            }
        };
        self.hosts = (0..scenario.hosts).map(host).collect();
    }

    fn time(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn push(&mut self, after: f64, event: Event) {
        self.sequence += 1;
        let at = self.now + after as u64;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn is_second_half(&self) -> bool {
        self.now >= self.scenario.seconds * 500_000
    }

    fn run(mut self) -> Tally {
        let end = self.scenario.seconds * 1_000_000;
        let (mut next_check, mut is_restart_due) = (0, self.scenario.restarts);
        self.push(0.0, Event::Request);
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now = at;
            if at >= next_check {
                next_check = at + 500_000;
                let now = self.time();
                for host in &mut self.hosts {
                    host.fleet.remove_expired(now);
                }
            }
            if is_restart_due && self.is_second_half() {
                is_restart_due = false;
                self.start_hosts();
            }
            match event {
                Event::Request if at < end => self.request(),
                Event::Request => {}
                Event::Arrive(leg) => self.arrive(leg),
                Event::Done(leg) => self.done(leg),
                Event::Reply(leg, is_answer) => self.reply(leg, is_answer),
                Event::Hedge(request, shard) => {
                    let part = &self.requests[request].parts[shard];
                    if self.requests[request].is_open && !part.is_done && part.in_flight < 2 {
                        self.send(request, shard);
                    }
                }
                Event::Partial(request) => {
                    self.requests[request].accepts_partial = true;
                    self.finish_if_decided(request);
                }
            }
        }
        self.tally
    }

    fn request(&mut self) {
        let total: f64 = self.scenario.loads.iter().map(|load| load.rate).sum();
        let wait = -(1.0 - self.rng.f64()).ln() / total * 1_000_000.0;
        self.push(wait, Event::Request);
        let mut choice = self.rng.f64() * total;
        let is_chosen = |load: &Load| {
            choice -= load.rate;
            choice < 0.0
        };
        let load = self.scenario.loads.iter().position(is_chosen).unwrap_or(0);
        let host = self.rng.usize(..self.scenario.hosts);
        let request = self.requests.len();
        self.requests.push(Request {
            host,
            load,
            start: self.now,
            parts: vec![Part::default(); self.scenario.shards],
            done: 0,
            failed: 0,
            is_open: true,
            accepts_partial: false,
        });
        let goal = self.scenario.loads[load].goal * MS;
        let hedge = (goal * 0.3).max(self.hosts[host].typical[load] * 2.0);
        for shard in 0..self.scenario.shards {
            let repeats = &mut self.hosts[host].repeats[shard];
            *repeats = (*repeats + REPEAT_RATIO).min(MAX_REPEATS);
            self.send(request, shard);
            self.push(hedge, Event::Hedge(request, shard));
        }
        self.push(goal * 0.8, Event::Partial(request));
    }

    fn hop(&mut self, host: usize, upstream: usize) -> f64 {
        let jitter = 1.0 + 0.3 * (self.rng.f64() + self.rng.f64() - 1.0);
        let is_near = self.hosts[host].zone == self.entries[upstream].zone;
        let hop = if is_near { 0.3 } else { self.scenario.hop };
        hop * MS * jitter
    }

    fn send(&mut self, request: usize, shard: usize) -> bool {
        let now = self.time();
        let Request { host, load, .. } = self.requests[request];
        let load = &self.scenario.loads[load];
        let (route, work): (Name, _) = (load.name.into(), load.work * MS);
        let part = &mut self.requests[request].parts[shard];
        let place = &mut self.hosts[host];
        let is_repeat = !part.tried.is_empty();
        if is_repeat && (place.repeats[shard] < 1.0 || part.tried.len() >= 3) {
            return false;
        }
        let service: Name = format!("s{shard:02}").into();
        let leg = LegRequest {
            service: &service,
            zone: &place.zone,
            route: Some(&route),
            tried: &part.tried,
        };
        let limits = UpstreamLimits {
            connections: 32,
            cold_per_s: None,
        };
        let Some(endpoint) = place.fleet.pick_for(now, leg, limits, &mut place.rng) else {
            return false;
        };
        place.repeats[shard] -= f64::from(u8::from(is_repeat));
        part.tried.push(endpoint.id);
        part.in_flight += 1;
        let token = self.legs.len();
        let typical = place.typical[self.requests[request].load];
        let time = Duration::from_micros(typical as u64);
        place
            .fleet
            .leg_of_route_sent(now, endpoint.id, token as u64, time, &route);
        let is_named = |entry: &UpstreamEntry| entry.name == endpoint.name;
        let upstream = self.entries.iter().position(is_named).unwrap();
        self.tally.legs[upstream] += 1;
        let change = if self.is_second_half() {
            self.scenario.change
        } else {
            1.0
        };
        let work = work * change * (0.7 + 0.6 * self.rng.f64());
        self.legs.push(Leg {
            request,
            shard,
            upstream,
            id: endpoint.id,
            sent: self.now,
            typical,
            work: work as u64,
        });
        let hop = self.hop(host, upstream);
        self.push(hop, Event::Arrive(token));
        true
    }

    fn arrive(&mut self, leg: usize) {
        let Leg {
            upstream, request, ..
        } = self.legs[leg];
        let is_refused = self.is_second_half() && self.rng.f64() < self.scenario.refuses;
        if is_refused || self.servers[upstream].queue.len() >= QUEUE {
            let hop = self.hop(self.requests[request].host, upstream);
            self.push(hop, Event::Reply(leg, false));
            return;
        }
        self.servers[upstream].queue.push_back(leg);
        self.run_queue(upstream);
    }

    fn run_queue(&mut self, upstream: usize) {
        let is_second_half = self.is_second_half();
        let period = self.now / NOISE_PERIOD_US;
        while self.servers[upstream].running < SLOTS {
            let server = &mut self.servers[upstream];
            let Some(leg) = server.queue.pop_front() else {
                return;
            };
            server.running += 1;
            if server.noisy_in.0 != period {
                server.noisy_in = (period, self.rng.f64() < self.scenario.noise);
            }
            let mut time = self.legs[leg].work as f64 * server.speed;
            if server.noisy_in.1 {
                time *= 2.5;
            }
            if server.gets_slow && is_second_half {
                time *= 4.0;
            }
            self.tally.work += time;
            self.legs[leg].work = time as u64;
            if self.scenario.has_pauses {
                // A pause stops the legs that run; those that overlap it end later by its rest.
                let position = (self.now + server.phase) % PAUSE_PERIOD_US;
                if position < PAUSE_US {
                    time += (PAUSE_US - position) as f64;
                } else if position as f64 + time > PAUSE_PERIOD_US as f64 {
                    time += PAUSE_US as f64;
                }
            }
            self.push(time, Event::Done(leg));
        }
    }

    fn done(&mut self, leg: usize) {
        let Leg {
            upstream, request, ..
        } = self.legs[leg];
        self.servers[upstream].running -= 1;
        let hop = self.hop(self.requests[request].host, upstream);
        self.push(hop, Event::Reply(leg, true));
        self.run_queue(upstream);
    }

    fn reply(&mut self, token: usize, is_answer: bool) {
        let now = self.time();
        let leg = self.legs[token];
        let request = &mut self.requests[leg.request];
        let host = &mut self.hosts[request.host];
        let time = (self.now - leg.sent) as f64;
        let signal = if is_answer {
            let ratio = time / leg.typical;
            HealthSignal::Answered { ratio }
        } else {
            HealthSignal::Refused
        };
        host.fleet.leg_ended(now, leg.id, token as u64, signal);
        if is_answer {
            let typical = &mut host.typical[request.load];
            *typical *= if time > *typical { 1.03 } else { 0.97 };
        }
        let part = &mut request.parts[leg.shard];
        part.in_flight -= 1;
        if !request.is_open || part.is_done {
            return;
        }
        if is_answer {
            part.is_done = true;
            request.done += 1;
            self.tally.used += leg.work as f64;
        } else if part.in_flight == 0 && !self.send(leg.request, leg.shard) {
            let request = &mut self.requests[leg.request];
            request.parts[leg.shard].is_done = true;
            request.failed += 1;
        }
        self.finish_if_decided(leg.request);
    }

    fn finish_if_decided(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if !request.is_open {
            return;
        }
        let shards = self.scenario.shards;
        let needed = (shards as f64 * 0.85).ceil() as usize;
        let pending = shards - request.done - request.failed;
        let is_served = request.done >= needed && (pending == 0 || request.accepts_partial);
        if !is_served && request.done + pending >= needed {
            return;
        }
        request.is_open = false;
        if request.start < self.scenario.seconds * 250_000 {
            return;
        }
        self.tally.offered += 1;
        if !is_served {
            self.tally.refused += 1;
            return;
        }
        let time = self.now - request.start;
        let is_timely = time as f64 <= self.scenario.loads[request.load].goal * MS;
        self.tally.value += if is_timely { 1.0 } else { 0.1 };
        self.tally.times.push(time);
    }
}
