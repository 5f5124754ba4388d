use std::time::{Duration, Instant};

use cornelwinch_http::{HttpRequest, Responder};
use serde_json::{Value, json};

use super::config::{HostRow, OutageMode, PlatformConfig, PlatformCounters, PlatformFault};
use super::store::{Object, Store};

/// Objects in an answer when the caller names no limit.
const DEFAULT_LIMIT: usize = 1000;
/// Longest time that a watch waits.
const LONGEST_WATCH: Duration = Duration::from_secs(300);

/// A refillable allowance of calls; it holds at most one second's worth.
#[derive(Debug)]
struct Rate {
    per_s: f64,
    left: f64,
    filled: Instant,
}

impl Rate {
    fn new(now: Instant, per_s: f64) -> Self {
        Self {
            per_s,
            left: per_s.max(1.0),
            filled: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let gained = (now - self.filled).as_secs_f64() * self.per_s;
        self.left = (self.left + gained).min(self.per_s.max(1.0));
        self.filled = now;
        let enough = self.left >= 1.0;
        if enough {
            self.left -= 1.0;
        }
        enough
    }
}

/// A watch that waits for a change.
struct Watch {
    serial: u64,
    after: u64,
    kinds: Vec<String>,
    responder: Responder,
}

/// What the caller of [`PlatformState`] has to do.
pub(super) enum Effect {
    Reply(Responder, u16, Value),
    /// Reset the caller's connection.
    Reset(Responder),
    /// Call `end_watch` with the serial number at that time.
    EndWatch(Instant, u64),
}

pub(super) struct PlatformState {
    pub(super) store: Store,
    pub(super) counters: PlatformCounters,
    pub(super) latency: Duration,
    reads: Rate,
    writes: Rate,
    watches: Vec<Watch>,
    next_watch: u64,
    host_lag: Duration,
    /// Host lists by the time at which they became true.
    hosts: Vec<(Instant, Vec<HostRow>)>,
    outage: Option<(OutageMode, bool)>,
    lose: (u32, OutageMode),
    /// Callers that get no answer.
    silent: Vec<Responder>,
}

impl PlatformState {
    pub(super) fn new(now: Instant, cfg: &PlatformConfig) -> Self {
        Self {
            store: Store::default(),
            counters: PlatformCounters::default(),
            latency: cfg.latency,
            reads: Rate::new(now, cfg.reads_per_s),
            writes: Rate::new(now, cfg.writes_per_s),
            watches: Vec::new(),
            next_watch: 0,
            host_lag: cfg.host_lag,
            hosts: Vec::new(),
            outage: None,
            lose: (0, OutageMode::Reset),
            silent: Vec::new(),
        }
    }

    pub(super) fn counters(&self) -> PlatformCounters {
        PlatformCounters {
            revision: self.store.revision(),
            watches: u32::try_from(self.watches.len()).unwrap_or(u32::MAX),
            ..self.counters.clone()
        }
    }

    /// Serves one call.
    pub(super) fn serve(&mut self, now: Instant, req: HttpRequest, out: &mut Vec<Effect>) {
        let is_write = matches!(req.method.as_str(), "PUT" | "DELETE");
        if is_write {
            self.counters.writes += 1;
        } else {
            self.counters.reads += 1;
        }
        if let Some((mode, apply_writes)) = self.outage {
            self.counters.failed += 1;
            if is_write && apply_writes {
                let _ = self.write(&req, out);
            }
            self.fail(mode, req.responder, out);
            return;
        }
        let rate = if is_write {
            &mut self.writes
        } else {
            &mut self.reads
        };
        if !rate.take(now) {
            self.counters.over_rate += 1;
            let body = json!({"error": "over the rate"});
            out.push(Effect::Reply(req.responder, 429, body));
            return;
        }
        if is_write {
            let (status, body) = self.write(&req, out);
            if status == 200 && self.lose.0 > 0 {
                self.lose.0 -= 1;
                self.counters.answers_lost += 1;
                self.fail(self.lose.1, req.responder, out);
            } else {
                out.push(Effect::Reply(req.responder, status, body));
            }
        } else {
            self.read(now, req, out);
        }
    }

    fn fail(&mut self, mode: OutageMode, responder: Responder, out: &mut Vec<Effect>) {
        match mode {
            OutageMode::Unavailable => {
                let body = json!({"error": "unavailable"});
                out.push(Effect::Reply(responder, 503, body));
            }
            OutageMode::Silent => self.silent.push(responder),
            OutageMode::Reset => out.push(Effect::Reset(responder)),
        }
    }

    fn read(&mut self, now: Instant, req: HttpRequest, out: &mut Vec<Effect>) {
        let (status, body) = match (req.method.as_str(), req.path()) {
            ("GET", "/v1/hosts") => {
                self.counters.host_reads += 1;
                (200, json!({"hosts": self.hosts_at(now)}))
            }
            ("GET", "/v1/objects") => match (number(&req, "after", 0), limit(&req)) {
                (Some(after), Some(limit)) => {
                    let kinds = kinds(&req);
                    (200, self.store.list(after, limit, &kinds).to_json())
                }
                _ => bad("after and limit are numbers"),
            },
            ("GET", "/v1/watch") => {
                self.watch(now, req, out);
                return;
            }
            ("GET", path) => match object_name(path) {
                Some((kind, name)) => match self.store.get(kind, name) {
                    Some(object) => (200, object.to_json()),
                    None => (404, json!({"error": "no such object"})),
                },
                None => (404, json!({"error": "no such call"})),
            },
            _ => (404, json!({"error": "no such call"})),
        };
        out.push(Effect::Reply(req.responder, status, body));
    }

    fn watch(&mut self, now: Instant, req: HttpRequest, out: &mut Vec<Effect>) {
        let (Some(after), Some(wait)) = (number(&req, "after", 0), number(&req, "wait_ms", 0))
        else {
            let (status, body) = bad("after and wait_ms are numbers");
            out.push(Effect::Reply(req.responder, status, body));
            return;
        };
        let kinds = kinds(&req);
        let list = self.store.list(after, DEFAULT_LIMIT, &kinds);
        if !list.objects.is_empty() || wait == 0 {
            out.push(Effect::Reply(req.responder, 200, list.to_json()));
            return;
        }
        let kinds = kinds.into_iter().map(str::to_owned).collect();
        let serial = self.next_watch;
        self.next_watch += 1;
        self.watches.push(Watch {
            serial,
            after,
            kinds,
            responder: req.responder,
        });
        let waiting = u32::try_from(self.watches.len()).unwrap_or(u32::MAX);
        self.counters.highest_watches = self.counters.highest_watches.max(waiting);
        let wait = Duration::from_millis(wait).min(LONGEST_WATCH);
        out.push(Effect::EndWatch(now + wait, serial));
    }

    /// Answers a watch whose time is over.
    pub(super) fn end_watch(&mut self, serial: u64, out: &mut Vec<Effect>) {
        if let Ok(i) = self
            .watches
            .binary_search_by_key(&serial, |watch| watch.serial)
        {
            let watch = self.watches.remove(i);
            self.answer_watch(watch, out);
        }
    }

    /// Forgets a watch whose caller has gone.
    pub(super) fn drop_gone(&mut self) {
        self.watches
            .retain(|watch| !watch.responder.is_caller_gone());
        self.silent.retain(|caller| !caller.is_caller_gone());
    }

    fn answer_watch(&self, watch: Watch, out: &mut Vec<Effect>) {
        let kinds: Vec<&str> = watch.kinds.iter().map(String::as_str).collect();
        let list = self.store.list(watch.after, DEFAULT_LIMIT, &kinds);
        out.push(Effect::Reply(watch.responder, 200, list.to_json()));
    }

    fn write(&mut self, req: &HttpRequest, out: &mut Vec<Effect>) -> (u16, Value) {
        let Some((kind, name)) = object_name(req.path()) else {
            return (404, json!({"error": "no such call"}));
        };
        let Some(version) = req.query("version").and_then(|text| text.parse().ok()) else {
            return bad("version is a number");
        };
        let value = if req.method == "PUT" {
            match serde_json::from_str(&req.body) {
                Ok(value) => Some(value),
                Err(_) => return bad("the body is not a JSON value"),
            }
        } else {
            None
        };
        self.update(kind, name, version, value, out)
    }

    /// Updates an object and answers the watches that wait for it.
    pub(super) fn update(
        &mut self,
        kind: &str,
        name: &str,
        version: u64,
        value: Option<Value>,
        out: &mut Vec<Effect>,
    ) -> (u16, Value) {
        let body = match self.store.update(kind, name, version, value) {
            Ok(object) => object.to_json(),
            Err(present) => {
                let body = present.map_or(Value::Null, Object::to_json);
                self.counters.conflicts += 1;
                return (409, body);
            }
        };
        self.counters.writes_applied += 1;
        if self.outage.is_none() {
            let woken = |watch: &mut Watch| {
                watch.kinds.is_empty() || watch.kinds.iter().any(|wanted| wanted == kind)
            };
            let ready: Vec<Watch> = self.watches.extract_if(.., woken).collect();
            for watch in ready {
                self.answer_watch(watch, out);
            }
        }
        (200, body)
    }

    /// Host list as it was one lag ago.
    fn hosts_at(&mut self, now: Instant) -> &[HostRow] {
        let lag = self.host_lag;
        let past = |row: &(Instant, Vec<HostRow>)| row.0 + lag <= now;
        let old = self.hosts.partition_point(past);
        // Lists before the newest one that is old enough are kept, as the lag
        // can be raised.
        match old.checked_sub(1).and_then(|i| self.hosts.get(i)) {
            Some((_, hosts)) => hosts,
            // The first list is taken to have been true for ever.
            None => self.hosts.first().map_or(&[], |(_, hosts)| hosts),
        }
    }

    fn change_hosts(&mut self, change: impl FnOnce(&mut Vec<HostRow>)) {
        let mut hosts = self
            .hosts
            .last()
            .map(|(_, hosts)| hosts.clone())
            .unwrap_or_default();
        change(&mut hosts);
        self.hosts.push((Instant::now(), hosts));
    }

    pub(super) fn apply(&mut self, fault: PlatformFault, out: &mut Vec<Effect>) {
        match fault {
            PlatformFault::Outage { mode, apply_writes } => {
                self.outage = Some((mode, apply_writes));
                for watch in std::mem::take(&mut self.watches) {
                    self.counters.failed += 1;
                    self.fail(mode, watch.responder, out);
                }
            }
            PlatformFault::Recover => {
                self.outage = None;
                out.extend(self.silent.drain(..).map(Effect::Reset));
            }
            PlatformFault::LoseWriteAnswers { writes, mode } => self.lose = (writes, mode),
            PlatformFault::Latency { ms } => self.latency = Duration::from_millis(ms),
            PlatformFault::Rates {
                reads_per_s,
                writes_per_s,
            } => {
                let now = Instant::now();
                self.reads = Rate::new(now, reads_per_s);
                self.writes = Rate::new(now, writes_per_s);
            }
            PlatformFault::HostLag { ms } => self.host_lag = Duration::from_millis(ms),
            PlatformFault::Hosts { hosts } => self.change_hosts(|old| *old = hosts),
            PlatformFault::SetHost { host } => self.change_hosts(|hosts| {
                hosts.retain(|old| old.name != host.name);
                hosts.push(host);
            }),
            PlatformFault::RemoveHost { name } => {
                self.change_hosts(|hosts| hosts.retain(|old| old.name != name));
            }
        }
    }
}

fn bad(error: &str) -> (u16, Value) {
    (400, json!({"error": error}))
}

fn number(req: &HttpRequest, name: &str, default: u64) -> Option<u64> {
    req.query(name)
        .map_or(Some(default), |text| text.parse().ok())
}

fn limit(req: &HttpRequest) -> Option<usize> {
    let limit = number(req, "limit", DEFAULT_LIMIT as u64)?;
    usize::try_from(limit).ok().filter(|limit| *limit > 0)
}

fn kinds(req: &HttpRequest) -> Vec<&str> {
    let text = req.query("kinds").unwrap_or_default();
    text.split(',').filter(|kind| !kind.is_empty()).collect()
}

/// Splits `/v1/objects/{kind}/{name}`.
fn object_name(path: &str) -> Option<(&str, &str)> {
    let (kind, name) = path.strip_prefix("/v1/objects/")?.split_once('/')?;
    let is_valid = |text: &str| {
        let allowed = |b: u8| b.is_ascii_alphanumeric() || b"._~-".contains(&b);
        !text.is_empty() && text.bytes().all(allowed)
    };
    (is_valid(kind) && is_valid(name)).then_some((kind, name))
}
