//! The scripts.

use std::collections::VecDeque;
use std::path::Path;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{Conn, call, message};
use crate::leaf::{Act, Behaviour, Leaf};
use crate::record::Record;
use crate::relay::{Relay, SIGTERM, STABLE_WINDOW};
use crate::store::Store;

const HOST: &str = "caller.example";

/// Requests a second that a cold leaf tolerates, in the case `cold`.
const COLD_PER_S: f64 = 5.0;

/// Time for which a leaf is cold after its start, in the case `cold`.
const COLD_TIME: Duration = Duration::from_secs(5);

/// Bound of FAILBACK: `cold_per_s` x `cold_overshoot` + `cold_slack`.
const COLD_BOUND: f64 = COLD_PER_S * 1.5 + 5.0;

pub fn play(case: &str, trouble: bool, dir: &Path, record: &Arc<Record>) -> Verdict {
    let cold_per_s = if case == "cold" { COLD_PER_S } else { 0.0 };
    let stage = Stage {
        dir,
        record,
        store: Store::start(),
        cold_per_s,
    };
    match case {
        "goal" => stage.goal(trouble),
        "refused" => stage.refused(trouble),
        "stop" => stage.stop(trouble),
        "cold" => stage.cold(trouble),
        "crashing" => stage.crashing(trouble, false),
        "crashing-late" => stage.crashing(false, trouble),
        _ => Verdict::CannotRun(format!("no case {case}")),
    }
}

/// One route of the desired state.
struct RouteSpec {
    prefix: &'static str,
    kind: &'static str,
    timeout_ms: u32,
    goal_ms: f64,
    service: &'static str,
}

struct Stage<'a> {
    dir: &'a Path,
    record: &'a Arc<Record>,
    store: Arc<Store>,
    cold_per_s: f64,
}

impl Stage<'_> {
    /// Writes a version of the desired state, as the operator does.
    fn configure(&self, version: u32, routes: &[RouteSpec]) {
        let encoded: Vec<String> = routes
            .iter()
            .enumerate()
            .map(|(n, route)| {
                format!(
                    r#"{{"name":"r-{n}","host":"{HOST}","path_prefix":"{}","route_kind":"{}","timeout_ms":{},"latency_goal_ms":{},"priority":1,"service":"{}","attempts":2}}"#,
                    route.prefix, route.kind, route.timeout_ms, route.goal_ms, route.service
                )
            })
            .collect();
        let mut services: Vec<&str> = routes.iter().map(|route| route.service).collect();
        services.sort_unstable();
        services.dedup();
        let services: Vec<String> = services
            .iter()
            .map(|name| {
                format!(
                    r#"{{"name":"{name}","health_path":"/health","max_conns":43,"protocol":"h1","tls":false,"cold_s":3.0,"cold_per_s":{}}}"#,
                    self.cold_per_s
                )
            })
            .collect();
        let spec = format!(
            r#"{{"version":{version},"routes":[{}],"services":[{}],"limits":{{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
            encoded.join(","),
            services.join(",")
        );
        self.store.put("config", "main", &spec);
        self.record
            .line(&format!("config version={version} confirmed"));
    }

    fn leafs(&self, service: &str, zones: &[&str], behaviour: &Arc<Behaviour>) {
        for zone in zones {
            let warm = Duration::ZERO;
            Leaf::start(
                &self.store,
                self.record,
                service,
                zone,
                warm,
                behaviour.clone(),
            );
        }
    }

    fn relays(&self, zones: &[&str]) -> Result<Vec<Relay>, Verdict> {
        let relays: Vec<Relay> = zones
            .iter()
            .enumerate()
            .map(|(n, zone)| {
                Relay::start(
                    self.dir,
                    self.record,
                    &format!("front-{}", n + 1),
                    zone,
                    self.store.addr,
                )
            })
            .collect();
        for relay in &relays {
            if !relay.wait_ready() {
                return Err(Verdict::CannotRun(format!("{} was not ready", relay.name)));
            }
        }
        Ok(relays)
    }

    /// Sends a request on a new connection; `None` if the connection ended without an answer.
    fn send(&self, relay: &Relay, method: &str, path: &str, id: &str, body: &[u8]) -> Option<u16> {
        self.record.line(&format!(
            "send id={id} relay={} {method} {path}",
            relay.name
        ));
        let start = format!("{method} {path} HTTP/1.1");
        let headers = [("Host", HOST), ("Request-Id", id), ("Deadline-Ms", "6000")];
        let answer = call(
            relay.front,
            &message(&start, &headers, body),
            Duration::from_secs(8),
        );
        match answer {
            Ok(answer) => {
                let stamp = answer.head.get("server-stamp").unwrap_or("-");
                self.record.line(&format!(
                    "answer id={id} status={} stamp={stamp}",
                    answer.status
                ));
                Some(answer.status)
            }
            Err(error) => {
                self.record.line(&format!("answer id={id} none: {error}"));
                None
            }
        }
    }

    fn has_run(&self, id: &str) -> bool {
        let runs = self.record.lines_with("run ");
        runs.iter()
            .any(|(_, text)| text.contains(&format!(" id={id} ")))
    }

    /// A version adds a route whose `latency_goal_ms` is 0.
    fn goal(&self, trouble: bool) -> Verdict {
        let old = || RouteSpec {
            prefix: "/status/",
            kind: "idempotent",
            timeout_ms: 6_000,
            goal_ms: 400.0,
            service: "jobs",
        };
        let new = RouteSpec {
            prefix: "/batch/",
            kind: "idempotent",
            timeout_ms: 6_000,
            goal_ms: if trouble { 0.0 } else { 400.0 },
            service: "jobs",
        };
        let sound: Arc<Behaviour> =
            Arc::new(|_, _| Act::Answer(200, b"the server's bytes".to_vec()));
        self.configure(1, &[old()]);
        self.leafs("jobs", &["a", "b"], &sound);
        let mut relays = match self.relays(&["a", "b"]) {
            Ok(relays) => relays,
            Err(verdict) => return verdict,
        };
        for (n, relay) in relays.iter().enumerate() {
            if self.send(relay, "GET", "/status/1", &format!("old-{n}"), b"") != Some(200) {
                return Verdict::CannotRun("no answer before the change".to_owned());
            }
        }
        self.configure(2, &[old(), new]);
        std::thread::sleep(Duration::from_millis(3_000));
        for round in 0..4 {
            for (n, relay) in relays.iter_mut().enumerate() {
                self.send(relay, "GET", "/batch/1", &format!("new-{round}-{n}"), b"");
                self.send(relay, "GET", "/status/1", &format!("old-{round}-{n}"), b"");
                std::thread::sleep(Duration::from_millis(300));
                if relay.has_ended() {
                    std::thread::sleep(Duration::from_millis(500));
                    relay.start_again();
                }
            }
            for relay in &relays {
                relay.wait_ready();
            }
        }
        let machines = relays.iter().filter(|relay| relay.own_ends >= 3).count();
        let ends: Vec<usize> = relays.iter().map(|relay| relay.own_ends).collect();
        self.record
            .line(&format!("ends of their own by machine: {ends:?}"));
        if machines >= 2 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// Four of five leafs fail three of five requests that may run once, after having run them.
    fn refused(&self, trouble: bool) -> Verdict {
        let status = if trouble { 503 } else { 500 };
        let sound: Arc<Behaviour> = Arc::new(|_, _| Act::Answer(200, b"booked".to_vec()));
        // Three of each five, spread so that no leaf is ever beyond that share.
        let grey = || -> Arc<Behaviour> {
            let count = AtomicUsize::new(0);
            Arc::new(
                move |_, _| match count.fetch_add(1, Ordering::Relaxed) % 5 {
                    1 | 3 | 4 => Act::Answer(status, b"failed midway".to_vec()),
                    _ => Act::Answer(200, b"booked".to_vec()),
                },
            )
        };
        self.configure(
            1,
            &[RouteSpec {
                prefix: "/jobs/",
                kind: "non_idempotent",
                timeout_ms: 6_000,
                goal_ms: 400.0,
                service: "jobs",
            }],
        );
        for zone in ["a", "b", "c", "a"] {
            self.leafs("jobs", &[zone], &grey());
        }
        self.leafs("jobs", &["b"], &sound);
        let relays = match self.relays(&["a", "b"]) {
            Ok(relays) => relays,
            Err(verdict) => return verdict,
        };
        let mut broken = 0;
        for n in 0..40 {
            // A requester repeats after a promise, once, at another machine.
            for attempt in 0..2 {
                let id = format!("job-{n}-{attempt}");
                let relay = &relays[(n + attempt) % relays.len()];
                let job = format!("job {n}");
                let answer = self.send(relay, "POST", "/jobs/book", &id, job.as_bytes());
                let promised = matches!(answer, Some(408 | 421 | 429 | 503));
                if promised && self.has_run(&id) {
                    broken += 1;
                    self.record.line(&format!(
                        "REFUSED id={id}: promised not to have run, and has run"
                    ));
                }
                if !promised {
                    break;
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        self.record
            .line(&format!("promises that were broken: {broken}"));
        if broken > 0 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// A planned stop while a caller still reads an answer.
    fn stop(&self, trouble: bool) -> Verdict {
        const ANSWER: usize = 12 << 20;
        const RATE: f64 = 4.5e6;
        let sound: Arc<Behaviour> = Arc::new(|_, _| Act::Answer(200, vec![b'x'; ANSWER]));
        self.configure(
            1,
            &[RouteSpec {
                prefix: "/reports/",
                kind: "idempotent",
                timeout_ms: 20_000,
                goal_ms: 400.0,
                service: "jobs",
            }],
        );
        self.leafs("jobs", &["a", "b"], &sound);
        let mut relays = match self.relays(&["a", "b"]) {
            Ok(relays) => relays,
            Err(verdict) => return verdict,
        };
        std::thread::sleep(STABLE_WINDOW);
        let Ok(mut conn) = Conn::connect(relays[0].front) else {
            return Verdict::CannotRun("no connection".to_owned());
        };
        let started = self.record.now();
        if trouble {
            relays[0].signal(SIGTERM);
        }
        std::thread::sleep(Duration::from_millis(2_500));
        let headers = [
            ("Host", HOST),
            ("Request-Id", "report-1"),
            ("Deadline-Ms", "20000"),
        ];
        self.record
            .line("send id=report-1 relay=front-1 GET /reports/1");
        let head = conn
            .send(&message("GET /reports/1 HTTP/1.1", &headers, b""))
            .and_then(|()| conn.read_head());
        let Ok(Some(head)) = head else {
            return Verdict::CannotRun("no answer began".to_owned());
        };
        let length = head
            .get("content-length")
            .and_then(|v| v.parse().ok())
            .unwrap_or(0);
        self.record.line(&format!(
            "answer id=report-1 status={} length={length}",
            head.status()
        ));
        if head.status() != 200 || length != ANSWER {
            return Verdict::CannotRun("the answer is not the leaf's".to_owned());
        }
        let count = std::thread::scope(|scope| {
            let reader = scope.spawn(|| conn.read_slowly(length, RATE));
            let mut has_ended = false;
            while !reader.is_finished() {
                has_ended = has_ended || relays[0].has_ended();
                std::thread::sleep(Duration::from_millis(10));
            }
            reader.join().unwrap_or(0)
        });
        let elapsed = self.record.now() - started;
        self.record.line(&format!(
            "read id=report-1 bytes={count} of={length}, {elapsed:.2} s after the signal"
        ));
        if count < length {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// A request that crashes leafs comes again. With `restarts`, the machines are restarted one
    /// after the other; with `mid_answer`, the leafs have begun their answer when they crash.
    fn crashing(&self, restarts: bool, mid_answer: bool) -> Verdict {
        let behaviour: Arc<Behaviour> = Arc::new(move |head, _| {
            match head.word(1) {
                "/jobs/crash" if mid_answer => return Act::CrashMidAnswer,
                "/jobs/crash" => return Act::Crash,
                _ => {}
            }
            std::thread::sleep(Duration::from_millis(300));
            Act::Answer(200, b"the server's bytes".to_vec())
        });
        let route = |prefix, kind| RouteSpec {
            prefix,
            kind,
            timeout_ms: 6_000,
            goal_ms: 400.0,
            service: "jobs",
        };
        self.configure(
            1,
            &[
                route("/jobs/", "idempotent"),
                route("/book/", "non_idempotent"),
            ],
        );
        self.leafs(
            "jobs",
            &["a", "b", "c", "a", "b", "c", "a", "b", "c", "a", "b"],
            &behaviour,
        );
        let mut relays = match self.relays(&["a", "a", "b", "c"]) {
            Ok(relays) => relays,
            Err(verdict) => return verdict,
        };
        let mut last = 0;
        let mut send = |relay: &Relay, path: &str| {
            last += 1;
            self.send(relay, "GET", path, &format!("id-{last}"), b"");
        };
        // The request comes until it has crashed three leafs and all machines refuse it.
        for relay in &relays {
            send(relay, "/jobs/crash");
            std::thread::sleep(Duration::from_millis(500));
        }
        std::thread::sleep(Duration::from_secs(2));
        let crashes = self.record.lines_with("crash ");
        let Some((third, _)) = crashes.get(2) else {
            return Verdict::CannotRun("fewer than three crashes".to_owned());
        };
        let counted_from = third + STABLE_WINDOW.as_secs_f64();
        for n in 0..relays.len() {
            if restarts {
                relays[n].stop_and_start_again();
                if !relays[n].wait_ready() {
                    return Verdict::CannotRun("not ready after a restart".to_owned());
                }
            }
            // After this time, all machines are in touch.
            std::thread::sleep(STABLE_WINDOW + Duration::from_millis(1_000));
            for round in 0..3 {
                // Others' work is on the leafs, through machines that nobody has disturbed.
                let relay = &relays[n];
                let other = &relays[(n + 2) % relays.len()];
                std::thread::scope(|scope| {
                    for job in 0..8 {
                        let id = format!("book-{n}-{round}-{job}");
                        scope.spawn(move || self.send(other, "POST", "/book/1", &id, b"a job"));
                    }
                    std::thread::sleep(Duration::from_millis(100));
                    send(relay, "/jobs/crash");
                });
                std::thread::sleep(Duration::from_millis(1_200));
            }
        }
        let lost = self.record.lines_with("answer id=book-");
        let lost = lost
            .iter()
            .filter(|(_, text)| !text.contains("status=200"))
            .count();
        self.record.line(&format!(
            "other requests without their leaf's answer: {lost}"
        ));
        let mut retries: Vec<String> = self
            .record
            .lines_with("run ")
            .into_iter()
            .filter(|(at, text)| *at > counted_from && text.ends_with(" /jobs/crash"))
            .filter_map(|(_, text)| {
                text.split(' ')
                    .find(|word| word.starts_with("id="))
                    .map(str::to_owned)
            })
            .collect();
        retries.dedup();
        self.record.line(&format!(
            "retries that reached leafs later: {} {retries:?}",
            retries.len()
        ));
        if retries.len() > 3 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }

    /// The store is down while the machines start for the first time; later a cold leaf joins.
    fn cold(&self, trouble: bool) -> Verdict {
        let sound: Arc<Behaviour> = Arc::new(|_, _| {
            std::thread::sleep(Duration::from_millis(90));
            Act::Answer(200, b"the server's bytes".to_vec())
        });
        let recent: Mutex<VecDeque<Instant>> = Mutex::default();
        let while_cold: Arc<Behaviour> = Arc::new(move |_, age| {
            let now = Instant::now();
            let mut recent = recent.lock().unwrap();
            recent.push_back(now);
            recent.retain(|at| now - *at < Duration::from_secs(1));
            // A rate well above the bound crashes it.
            if age < COLD_TIME && recent.len() as f64 > 2.0 * COLD_BOUND {
                recent.clear();
                return Act::Crash;
            }
            drop(recent);
            std::thread::sleep(Duration::from_millis(90));
            Act::Answer(200, b"the server's bytes".to_vec())
        });
        let route = |prefix, kind| RouteSpec {
            prefix,
            kind,
            timeout_ms: 6_000,
            goal_ms: 400.0,
            service: "jobs",
        };
        self.configure(
            1,
            &[
                route("/status/", "idempotent"),
                route("/book/", "non_idempotent"),
            ],
        );
        self.leafs("jobs", &["a", "b", "c", "a"], &sound);
        if trouble {
            self.store.set_busy(true);
            self.record.line("store down");
            let store = self.store.clone();
            let record = self.record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_secs(3));
                store.set_busy(false);
                record.line("store up");
            });
        }
        let relays = match self.relays(&["a", "a", "b", "c"]) {
            Ok(relays) => relays,
            Err(verdict) => return verdict,
        };
        // Long after the outage, when all machines are in touch.
        std::thread::sleep(Duration::from_secs(12));
        let end = self.record.now() + 12.0;
        std::thread::scope(|scope| {
            for (n, relay) in relays.iter().enumerate() {
                for caller in 0..4 {
                    scope.spawn(move || {
                        let mut last = 0;
                        while self.record.now() < end {
                            last += 1;
                            let id = format!("id-{n}-{caller}-{last}");
                            // One caller of a machine books jobs, the others ask.
                            if caller == 0 {
                                self.send(relay, "POST", "/book/1", &id, id.as_bytes());
                            } else {
                                self.send(relay, "GET", &format!("/status/{last}"), &id, b"");
                            }
                        }
                    });
                }
            }
            std::thread::sleep(Duration::from_secs(3));
            let cold = COLD_TIME;
            Leaf::start(
                &self.store,
                self.record,
                "jobs",
                "b",
                cold,
                while_cold.clone(),
            );
        });
        let registered = self.record.lines_with("register ");
        let Some((from, text)) = registered
            .iter()
            .find(|(_, text)| text.ends_with("cold_ms=5000"))
        else {
            return Verdict::CannotRun("no cold leaf".to_owned());
        };
        let id = text.split(' ').nth(1).unwrap_or_default().to_owned();
        let arrivals: Vec<f64> = self
            .record
            .lines_with(&format!("run {id} "))
            .into_iter()
            .map(|(at, _)| at)
            .filter(|at| *at < from + COLD_TIME.as_secs_f64())
            .collect();
        let in_second = |from: f64| {
            arrivals
                .iter()
                .filter(|at| **at >= from && **at < from + 1.0)
                .count()
        };
        let most = arrivals.iter().map(|at| in_second(*at)).max().unwrap_or(0);
        let answers = self.record.lines_with("answer ");
        let lost = answers
            .iter()
            .filter(|(_, text)| !text.contains("status=200"))
            .count();
        let crashes = self.record.lines_with("crash ").len();
        self.record.line(&format!(
            "crashes of cold leafs: {crashes}, requests without their answer: {lost}"
        ));
        self.record.line(&format!(
            "arrivals at the cold leaf: {} in all, at most {most} in one second, bound {COLD_BOUND}",
            arrivals.len()
        ));
        if most as f64 > COLD_BOUND {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }
}
