//! Guards against a key that runs twice, on one host or on two, while platform
//! writes conflict, are lost or are applied late, and hosts pause and restart.

mod seeds;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use cornelwinch_tickets::{
    BucketReply, ClaimAction, ClaimBegin, ClaimBucket, ClaimConfig, Claims, TicketResult,
};
use cornelwinch_types::{Fingerprint, Incarnation, Member, MemberState, Name};
use seeds::for_seeds;

use ClaimAction::{Begin, Read, Write};
use ClaimBegin::{Elsewhere, Finished, NotRun, Start};

type Out = Vec<ClaimAction>;

const MS: Duration = Duration::from_millis(1);
const HOSTS: usize = 3;

enum Event {
    /// An exchange of an incarnation of a host reaches the platform.
    Exchange(usize, u64, ClaimAction, bool),
    Reply(usize, u64, u32, BucketReply),
    Finish(usize, u64, Name, TicketResult),
    Forwarded(usize, Name, u64, Instant),
}

struct World {
    now: Instant,
    rng: fastrand::Rng,
    cfg: ClaimConfig,
    hosts: Vec<Claims>,
    incarnations: Vec<u64>,
    objects: BTreeMap<u32, (u64, ClaimBucket)>,
    away_until: Instant,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    /// Starts and the result by key, and the key and decisions by waiter.
    keys: BTreeMap<Name, (u32, Option<TicketResult>)>,
    waiters: BTreeMap<u64, (u32, Instant)>,
    in_flight: BTreeMap<(usize, u64, u32), u32>,
    writes: u64,
}

fn body(key: &str) -> Fingerprint {
    Fingerprint::of("stock", key)
}

impl World {
    fn at(&mut self, max_ms: u32, event: Event) {
        self.sequence += 1;
        let at = self.now + self.rng.u32(1..=max_ms) * MS;
        self.events.insert((at, self.sequence), event);
    }

    fn call(&mut self, host: usize, f: impl FnOnce(&mut Claims, Instant, &mut Out)) {
        let mut out = Vec::new();
        f(&mut self.hosts[host], self.now, &mut out);
        for action in out {
            match action {
                Begin { waiter, key, begin } => {
                    self.on_begin(host, waiter, &key, begin);
                }
                Read { bucket } | Write { bucket, .. } => {
                    let incarnation = self.incarnations[host];
                    let id = (host, incarnation, bucket);
                    let open = self.in_flight.insert(id, 1);
                    assert_eq!(open, None, "exchanges in flight on one bucket");
                    self.writes += u64::from(matches!(action, Write { .. }));
                    self.at(8, Event::Exchange(host, incarnation, action, true));
                }
            }
        }
    }

    fn on_begin(&mut self, host: usize, waiter: u64, key: &Name, begin: ClaimBegin) {
        let (decisions, deadline) = self.waiters.get_mut(&waiter).expect("a waiter");
        let facts = self.keys.entry(key.clone()).or_default();
        *decisions += 1;
        match begin {
            Start => {
                facts.0 += 1;
                assert_eq!(facts.0, 1, "{key} started again");
                assert!(*deadline > self.now, "started late");
                let result = match self.rng.u8(..2) {
                    0 => TicketResult::not_run("shed"),
                    _ => TicketResult::unknown("disconnected"),
                };
                facts.1 = Some(result.clone());
                let finish = Event::Finish(host, self.incarnations[host], key.clone(), result);
                self.at(30, finish);
            }
            Finished(result) => {
                assert_eq!(facts.1.as_ref(), Some(&result), "result of {key}");
            }
            Elsewhere(name) => {
                *decisions -= 1;
                let deadline = *deadline;
                let to = name[5..].parse::<usize>().expect("a host");
                assert_ne!(to, host, "forwarded to itself");
                self.at(3, Event::Forwarded(to, key.clone(), waiter, deadline));
            }
            ClaimBegin::Conflict => panic!("conflict on {key}"),
            ClaimBegin::Joined | ClaimBegin::Unknown | NotRun(_) => {}
        }
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::Exchange(host, incarnation, action, replies) => {
                self.on_exchange(host, incarnation, action, replies);
            }
            Event::Reply(host, incarnation, bucket, reply) => {
                self.in_flight.remove(&(host, incarnation, bucket));
                if incarnation == self.incarnations[host] {
                    self.call(host, |c, now, out| c.on_reply(now, bucket, reply, out));
                }
            }
            Event::Finish(host, incarnation, key, result) => {
                if incarnation == self.incarnations[host] {
                    self.call(host, |c, now, out| {
                        c.finish(now, &key, result, out);
                    });
                }
            }
            Event::Forwarded(host, key, waiter, deadline) => {
                self.call(host, |c, now, out| {
                    c.claim(now, &key, body(&key), waiter, deadline, out);
                });
            }
        }
    }

    fn on_exchange(&mut self, host: usize, incarnation: u64, action: ClaimAction, replies: bool) {
        let away = self.now < self.away_until;
        let faulty = self.rng.u8(..10);
        let (bucket, reply) = match action {
            Read { bucket } => {
                let (version, value) = self.objects.get(&bucket).cloned().unwrap_or_default();
                let present = BucketReply::Present { version, value };
                let reply = if away {
                    BucketReply::Unavailable
                } else {
                    present
                };
                (bucket, reply)
            }
            Write {
                bucket,
                version,
                value,
            } => {
                let own = self.objects.get(&bucket).cloned().unwrap_or_default();
                let reply = if away && faulty < 5 {
                    BucketReply::Unavailable
                } else if replies && (away || faulty == 0) {
                    // Lost; it may be applied later, or never.
                    if self.rng.bool() {
                        let late = Write {
                            bucket,
                            version,
                            value,
                        };
                        self.at(40, Event::Exchange(host, incarnation, late, false));
                    }
                    BucketReply::Lost
                } else if own.0 == version {
                    self.objects.insert(bucket, (version + 1, value));
                    let version = version + 1;
                    if faulty == 1 {
                        BucketReply::Lost
                    } else {
                        BucketReply::Written { version }
                    }
                } else {
                    let (version, value) = own;
                    BucketReply::Present { version, value }
                };
                (bucket, reply)
            }
            Begin { .. } => return,
        };
        if replies {
            self.at(8, Event::Reply(host, incarnation, bucket, reply));
        }
    }

    fn advance(&mut self, by: Duration) {
        let end = self.now + by;
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= end) {
            self.now = self.now.max(entry.key().0);
            let event = entry.remove();
            self.on_event(event);
        }
        self.now = end;
        for host in 0..HOSTS {
            self.call(host, Claims::on_wake);
            let next = self.hosts[host].next_wake();
            assert!(next.is_none_or(|t| t > self.now), "wake without effect");
        }
    }

    /// Starts a host's process; the others learn of it.
    fn restart(&mut self, host: usize) {
        self.incarnations[host] += 1;
        let name = |i: usize| Name::from(format!("host-{i}"));
        let incarnation = Incarnation(self.incarnations[host]);
        let time = Duration::from_secs(1_000_000);
        self.hosts[host] = Claims::open(self.now, time, name(host), incarnation, self.cfg);
        let address = ([127, 0, 0, 1], 1).into();
        let members = self.incarnations.iter().enumerate().map(|(i, n)| Member {
            name: name(i),
            zone: "a".into(),
            incarnation: Incarnation(*n),
            peer: address,
            gossip: address,
            state: MemberState::Alive,
        });
        let members = members.collect::<Vec<_>>();
        for claims in &mut self.hosts {
            claims.set_members(&members);
        }
        // Copies that waited at the old process are lost with it.
        for (decisions, _) in self.waiters.values_mut() {
            *decisions = (*decisions).max(1);
        }
    }
}

fn run(seed: u64) -> (usize, usize, u64) {
    let now = Instant::now();
    let mut rng = fastrand::Rng::with_seed(seed);
    let cfg = ClaimConfig {
        buckets: rng.u32(1..4),
        retention: Duration::from_secs(3600),
    };
    let open = |i: usize| Claims::open(now, MS, format!("host-{i}").into(), Incarnation(0), cfg);
    let mut world = World {
        now,
        rng,
        cfg,
        hosts: (0..HOSTS).map(open).collect(),
        incarnations: vec![0; HOSTS],
        objects: BTreeMap::new(),
        away_until: now,
        events: BTreeMap::new(),
        sequence: 0,
        keys: BTreeMap::new(),
        waiters: BTreeMap::new(),
        in_flight: BTreeMap::new(),
        writes: 0,
    };
    (0..HOSTS).for_each(|host| world.restart(host));
    let restarts = world.rng.bool();
    for waiter in 0..300 {
        let key = Name::from(format!("school/{}", waiter / 6 + world.rng.u64(..4)));
        let host = world.rng.usize(..HOSTS);
        let deadline = world.now + world.rng.u32(5..150) * MS;
        world.waiters.insert(waiter, (0, deadline));
        world.call(host, |c, now, out| {
            c.claim(now, &key, body(&key), waiter, deadline, out);
        });
        match world.rng.u8(..100) {
            0 => world.away_until = world.now + world.rng.u32(1..300) * MS,
            1 if restarts => world.restart(host),
            // A pause: nothing is handled for a while.
            2 => world.now += world.rng.u32(1..200) * MS,
            _ => {}
        }
        let time = world.rng.u32(..5) * MS;
        world.advance(time);
    }
    for _ in 0..100 {
        world.advance(20 * MS);
    }
    for (waiter, (decisions, _)) in &world.waiters {
        assert!(*decisions >= 1, "no decision for {waiter}");
        assert!(restarts || *decisions == 1, "{decisions} for {waiter}");
    }
    assert!(world.hosts.iter().all(|c| c.violations() == 0));
    let records = world.objects.values().flat_map(|(_, value)| &value.claims);
    let durable = records.filter(|r| r.result.is_some()).count();
    let results = world.keys.values().filter(|k| k.1.is_some()).count();
    assert!(restarts || durable == results, "results lost");
    let started = world.keys.values().filter(|k| k.0 == 1).count();
    (world.keys.len(), started, world.writes)
}

#[test]
fn keys_run_at_most_once() {
    let counts = for_seeds(run).into_iter();
    let totals = counts.fold((0, 0, 0), |a, b| (a.0 + b.0, a.1 + b.1, a.2 + b.2));
    println!("keys, started, writes: {totals:?}");
    assert!(totals.1 * 2 > totals.0, "few keys started: {totals:?}");
}

#[test]
fn claims_share_writes() {
    let now = Instant::now();
    let cfg = ClaimConfig {
        buckets: 1,
        retention: Duration::from_secs(3600),
    };
    let mut claims = Claims::open(now, MS, "host-1".into(), Incarnation(1), cfg);
    let mut out = Vec::new();
    let claim = |c: &mut Claims, n: u64, now, ms: u32, out: &mut Vec<ClaimAction>| {
        c.claim(now, &n.to_string(), body("same"), n, now + ms * MS, out);
    };
    claim(&mut claims, 0, now, 10, &mut out);
    assert_eq!(out.pop(), Some(Read { bucket: 0 }));
    claims.on_reply(now, 0, BucketReply::Unavailable, &mut out);
    claim(&mut claims, 0, now, 10, &mut out);
    let refused = |a: &ClaimAction| {
        matches!(
            a,
            Begin {
                begin: NotRun("platform_away"),
                ..
            }
        )
    };
    assert!(out.len() == 2 && out.iter().all(refused), "{out:?}");

    // The platform is back; 100 claims arrive while the first write is out.
    let now = now + 300 * MS;
    out.clear();
    claim(&mut claims, 0, now, 10, &mut out);
    let empty = BucketReply::Present {
        version: 0,
        value: ClaimBucket::default(),
    };
    claims.on_reply(now, 0, empty, &mut out);
    for n in 1..=100 {
        claim(&mut claims, n, now, 500, &mut out);
    }
    let is_write = |a: &&ClaimAction| matches!(a, Write { .. });
    let is_start = |a: &&ClaimAction| matches!(a, Begin { begin: Start, .. });
    assert_eq!(out.iter().filter(is_write).count(), 1);
    // The first copy is out of time when its claim becomes durable.
    let now = now + 20 * MS;
    out.clear();
    claims.on_reply(now, 0, BucketReply::Written { version: 1 }, &mut out);
    // The value passes through programs that hold numbers as 64 bits.
    let Some(Write { value, .. }) = out.last() else {
        panic!("no write: {out:?}");
    };
    let json = serde_json::to_value(value).expect("JSON");
    let read: ClaimBucket = serde_json::from_value(json).expect("a bucket");
    assert_eq!(read, *value);
    assert_eq!(out.iter().filter(is_write).count(), 1);
    assert_eq!(out.iter().filter(is_start).count(), 0, "late start");
    claims.on_reply(now, 0, BucketReply::Written { version: 2 }, &mut out);
    assert_eq!(out.iter().filter(is_start).count(), 100);
    out.clear();
    claims.claim(now, "7", body("other"), 7, now + MS, &mut out);
    let conflict = |a: &ClaimAction| {
        matches!(
            a,
            Begin {
                begin: ClaimBegin::Conflict,
                ..
            }
        )
    };
    assert!(out.len() == 1 && conflict(&out[0]), "{out:?}");
    // A resend of the first copy starts only after a read: its record may have been dropped.
    out.clear();
    claim(&mut claims, 0, now, 500, &mut out);
    assert_eq!(out, [Read { bucket: 0 }]);
}
