//! Hosts on an in-memory network in virtual time, with a meter over all.

use std::time::{Duration, Instant};

use cornelwinch_admission::{
    Admission, AdmissionAction, AdmissionConfig, AdmissionMsg, Credential, Rejection,
};
use cornelwinch_config::{ConfigState, Entry, EntryValue, Kind};
use cornelwinch_types::{Name, Revision};
use serde_json::{Value, json};

/// Length of one step of virtual time.
pub(crate) const STEP: Duration = Duration::from_millis(2);

pub(crate) fn config(rate: f64, burst: u32, concurrency: u32, deadline_ms: u64) -> ConfigState {
    let token = blake3::hash(b"school-token").to_hex().to_string();
    let specs: [(Kind, &str, Value); 6] = [
        (
            Kind::Class,
            "fast",
            json!({"deadline_ms": deadline_ms, "min_coverage": 1.0,
            "partial_after_ms": null, "priority": 2, "hedge_quantile": null}),
        ),
        (
            Kind::Class,
            "batch",
            json!({"deadline_ms": deadline_ms, "min_coverage": 1.0,
            "partial_after_ms": null, "priority": 7, "hedge_quantile": null}),
        ),
        (
            Kind::Search,
            "portal",
            json!({"classes": ["fast", "batch"]}),
        ),
        (Kind::Search, "stock", json!({"classes": ["fast"]})),
        (
            Kind::Plan,
            "gold",
            json!({"rate_per_s": rate, "burst": burst,
            "concurrency": concurrency, "priority": 3, "searches": ["portal"]}),
        ),
        (
            Kind::Organisation,
            "school",
            json!({"plan": "gold", "token_hash": token}),
        ),
    ];
    let entries = specs.into_iter().map(|(kind, name, spec)| Entry {
        name: name.into(),
        revision: Revision(1),
        change: "c".into(),
        value: EntryValue::from_spec(kind, spec).expect("a readable spec"),
    });
    let mut state = ConfigState::default();
    state.apply(entries.collect(), Revision(1));
    assert!(state.rejected().is_empty());
    state
}

#[derive(Debug)]
struct Letter {
    due: Instant,
    from: usize,
    to: usize,
    msg: AdmissionMsg,
}

/// Entry hosts and the load of one organisation.
pub(crate) struct Network {
    pub(crate) now: Instant,
    pub(crate) names: Vec<Name>,
    pub(crate) hosts: Vec<Admission>,
    /// Hosts with different numbers cannot reach each other.
    pub(crate) side: Vec<u8>,
    /// Requests offered per second to each host.
    pub(crate) load: Vec<f64>,
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) most_in_progress: usize,
    /// Sum of the requests in progress over all steps since the warm-up.
    pub(crate) busy: u64,
    /// Highest level of a leaky bucket that drains at the plan's rate.
    pub(crate) highest: f64,
    level: f64,
    rate: f64,
    /// Longest time that a message takes.
    pub(crate) delay: Duration,
    /// Part of the messages that are lost.
    pub(crate) loss: f64,
    /// Longest time that a request takes.
    pub(crate) service: Duration,
    config: ConfigState,
    letters: Vec<Letter>,
    running: Vec<(Instant, usize)>,
    rng: fastrand::Rng,
}

impl Network {
    pub(crate) fn open(seed: u64, count: usize, config: ConfigState) -> Self {
        let plan = config.plan("gold").expect("the plan");
        let (rate, class) = (plan.rate_per_s, config.class("fast").expect("the class"));
        let service = Duration::from_millis(class.deadline_ms);
        let names = (0..count).map(|i| format!("host-{i}").into()).collect();
        let mut network = Self {
            now: Instant::now(),
            names,
            hosts: Vec::new(),
            side: vec![0; count],
            load: vec![0.0; count],
            admitted: 0,
            refused: 0,
            most_in_progress: 0,
            busy: 0,
            highest: 0.0,
            level: 0.0,
            rate,
            delay: Duration::from_millis(4),
            loss: 0.0,
            service,
            config,
            letters: Vec::new(),
            running: Vec::new(),
            rng: fastrand::Rng::with_seed(seed),
        };
        for i in 0..count {
            let host = network.start(i);
            network.hosts.push(host);
        }
        network
    }

    fn start(&mut self, i: usize) -> Admission {
        let cfg = AdmissionConfig::default();
        let rng = fastrand::Rng::with_seed(self.rng.u64(..));
        let mut host = Admission::open(self.now, self.names[i].clone(), cfg, rng);
        host.set_config(&self.config);
        host.set_hosts(self.now, &self.names);
        host
    }

    /// Adds a host that knows all others, while they do not know it.
    pub(crate) fn add_unknown(&mut self) {
        let i = self.names.len();
        self.names.push(format!("host-{i}").into());
        self.side.push(0);
        self.load.push(0.0);
        let host = self.start(i);
        self.hosts.push(host);
    }

    /// Replaces a host's process; its requests end with it.
    pub(crate) fn restart(&mut self, i: usize) {
        self.hosts[i] = self.start(i);
        self.running.retain(|(_, host)| *host != i);
    }

    /// Lets every host see who it can reach.
    pub(crate) fn detect(&mut self) {
        for i in 0..self.hosts.len() {
            let apart = |j: &usize| self.side[*j] != self.side[i];
            let cut: Vec<Name> = (0..self.names.len())
                .filter(apart)
                .map(|j| self.names[j].clone())
                .collect();
            self.hosts[i].set_unreachable(&cut);
        }
    }

    pub(crate) fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs without counting, then starts the counters from zero.
    pub(crate) fn warm_up(&mut self, time: Duration) {
        self.run(time);
        (self.admitted, self.refused, self.busy) = (0, 0, 0);
    }

    fn step(&mut self) {
        self.now += STEP;
        self.level = (self.level - self.rate * STEP.as_secs_f64()).max(0.0);
        let now = self.now;
        self.running.retain(|(end, i)| {
            if *end <= now {
                self.hosts[*i].release(now, "school");
            }
            *end > now
        });
        let (due, later) = self.letters.drain(..).partition(|letter| letter.due <= now);
        self.letters = later;
        for letter in due {
            if self.side[letter.from] == self.side[letter.to] {
                let mut out = Vec::new();
                let from = self.names[letter.from].clone();
                self.hosts[letter.to].on_message(now, &from, &letter.msg, &mut out);
                self.post(letter.to, out);
            }
        }
        self.busy += self.running.len() as u64;
        for i in 0..self.hosts.len() {
            let mut expected = self.load[i] * STEP.as_secs_f64();
            while expected > 0.0 && self.rng.f64() < expected {
                expected -= 1.0;
                self.offer(i);
            }
            if self.hosts[i].next_wake().is_some_and(|due| due <= now) {
                let mut out = Vec::new();
                self.hosts[i].on_wake(now, &mut out);
                self.post(i, out);
            }
        }
    }

    fn offer(&mut self, i: usize) {
        let credential = Credential::Token("school-token");
        match self.hosts[i].admit(self.now, credential, "portal", None, 1.0) {
            Ok(_) => {
                let took = self.service.mul_f64(self.rng.f64().max(0.1));
                self.running.push((self.now + took, i));
                self.admitted += 1;
                self.level += 1.0;
                self.highest = self.highest.max(self.level);
                self.most_in_progress = self.most_in_progress.max(self.running.len());
            }
            Err(Rejection::RateExceeded { .. } | Rejection::ConcurrencyExceeded) => {
                self.refused += 1;
            }
            Err(other) => panic!("{other:?}"),
        }
    }

    /// Sends messages; each takes its own time, so they may overtake another.
    fn post(&mut self, from: usize, out: Vec<AdmissionAction>) {
        for AdmissionAction::Send { to, msg } in out {
            let to = self
                .names
                .iter()
                .position(|name| *name == to)
                .expect("a known host");
            let due = self.now + self.delay.mul_f64(self.rng.f64().max(0.1));
            if self.rng.f64() >= self.loss {
                self.letters.push(Letter { due, from, to, msg });
            }
        }
    }
}
