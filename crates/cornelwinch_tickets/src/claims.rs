use std::mem;
use std::time::{Duration, Instant};

use cornelwinch_types::{Fingerprint, Incarnation, Member, MemberState, Name};
use xxhash_rust::xxh3::xxh3_64;

use crate::bucket::{Bucket, BucketReply, ClaimBucket, ClaimRecord, ClaimWaiter, PendingClaim};
use crate::claim::{ClaimAction, ClaimBegin, ClaimConfig, ClaimCopy};
use crate::result::TicketResult;

/// Pause after the platform was found away.
const AWAY_PAUSE: Duration = Duration::from_millis(250);
/// Largest value of a bucket; the platform takes at most 1 MB.
const MAX_BUCKET_BYTES: usize = 900_000;

/// A claim that this incarnation holds and whose result is not durable.
#[derive(Debug)]
struct Held {
    key: Name,
    fingerprint: Fingerprint,
    waiters: Vec<u64>,
    result: Option<TicketResult>,
}

/// Claims for callers' own keys in platform bucket objects.
///
/// A request starts only after a conditional update has made its claim
/// durable. Claims and results that arrive while a write of their bucket is in
/// flight join the next write.
///
/// ```
/// use std::time::{Duration, Instant};
///
/// use cornelwinch_tickets::{
///     BucketReply, ClaimAction, ClaimBegin, ClaimBucket, ClaimConfig, Claims,
/// };
/// use cornelwinch_types::{Fingerprint, Incarnation};
///
/// let now = Instant::now();
/// let deadline = now + Duration::from_secs(1);
/// let cfg = ClaimConfig { buckets: 1, retention: Duration::from_secs(86_400) };
/// let unix_time = Duration::from_secs(1_800_000_000);
/// let mut claims = Claims::open(now, unix_time, "host-1".into(), Incarnation(17), cfg);
/// let body = Fingerprint::of("stock", "two pallets");
/// let mut out = Vec::new();
/// claims.claim(now, "school/order-5", body, 1, deadline, &mut out);
/// assert_eq!(out, [ClaimAction::Read { bucket: 0 }]);
/// out.clear();
/// let empty = BucketReply::Present { version: 0, value: ClaimBucket::default() };
/// claims.on_reply(now, 0, empty, &mut out);
/// assert!(matches!(out[..], [ClaimAction::Write { version: 0, .. }]));
/// out.clear();
/// claims.on_reply(now, 0, BucketReply::Written { version: 1 }, &mut out);
/// assert!(matches!(out[..], [ClaimAction::Begin { waiter: 1, begin: ClaimBegin::Start, .. }]));
/// ```
#[derive(Debug)]
pub struct Claims {
    me: Name,
    incarnation: Incarnation,
    cfg: ClaimConfig,
    opened: Instant,
    /// Time since the Unix epoch at `opened`.
    unix_time: Duration,
    /// Hosts that are not dead, by name.
    live: Vec<(Name, Incarnation)>,
    buckets: Vec<Bucket>,
    /// By key.
    held: Vec<Held>,
    violations: u64,
}

impl Claims {
    /// Starts without claims. `unix_time` is the time since the Unix epoch.
    pub fn open(
        now: Instant,
        unix_time: Duration,
        me: Name,
        incarnation: Incarnation,
        cfg: ClaimConfig,
    ) -> Self {
        Self {
            me,
            incarnation,
            cfg,
            opened: now,
            unix_time,
            live: Vec::new(),
            buckets: (0..cfg.buckets.max(1)).map(|_| Bucket::default()).collect(),
            held: Vec::new(),
            violations: 0,
        }
    }

    /// Sets the hosts to which claims may be forwarded.
    pub fn set_members(&mut self, members: &[Member]) {
        let live = members.iter().filter(|m| m.state != MemberState::Dead);
        self.live = live.map(|m| (m.name.clone(), m.incarnation)).collect();
        self.live.sort_unstable();
    }

    /// Asks for a decision about a copy of a request; it comes as one
    /// [`ClaimAction::Begin`], now or later. `key` must include the organisation.
    pub fn claim(
        &mut self,
        now: Instant,
        key: &str,
        fingerprint: Fingerprint,
        waiter: u64,
        deadline: Instant,
        out: &mut Vec<ClaimAction>,
    ) {
        let copy = ClaimCopy {
            key: key.into(),
            fingerprint,
            waiter,
            deadline,
        };
        self.decide_copy(now, copy, None, out);
    }

    /// Decides again about a copy that was forwarded to `holder`, whose connection failed without
    /// a result. The holder may have recorded its result since this host read the bucket, so the
    /// bucket is read again. The copy is neither started nor forwarded to `holder`.
    pub fn reclaim(
        &mut self,
        now: Instant,
        copy: ClaimCopy,
        holder: Name,
        out: &mut Vec<ClaimAction>,
    ) {
        self.decide_copy(now, copy, Some(holder), out);
    }

    fn decide_copy(
        &mut self,
        now: Instant,
        copy: ClaimCopy,
        lost_holder: Option<Name>,
        out: &mut Vec<ClaimAction>,
    ) {
        let ClaimCopy {
            key,
            fingerprint,
            waiter,
            deadline,
        } = copy;
        if let Ok(i) = self.find_held(&key) {
            let begin = join(&mut self.held[i], fingerprint, waiter);
            return out.push(ClaimAction::Begin { waiter, key, begin });
        }
        let i = (xxh3_64(key.as_bytes()) % self.buckets.len() as u64) as usize;
        if deadline <= now {
            let begin = match self.late(i, &key, fingerprint) {
                ClaimBegin::NotRun(_) if lost_holder.is_some() => ClaimBegin::Unknown,
                begin => begin,
            };
            return out.push(ClaimAction::Begin { waiter, key, begin });
        }
        let bucket = &mut self.buckets[i];
        let copy = ClaimWaiter { waiter, deadline };
        match bucket.pending.iter_mut().find(|p| p.key == key) {
            Some(pending) if pending.fingerprint != fingerprint => {
                let begin = ClaimBegin::Conflict;
                out.push(ClaimAction::Begin { waiter, key, begin });
            }
            Some(pending) => {
                pending.waiters.push(copy);
                if lost_holder.is_some() {
                    pending.lost_holder = lost_holder;
                    pending.after = bucket.started;
                }
            }
            None => bucket.pending.push(PendingClaim {
                key,
                fingerprint,
                waiters: vec![copy],
                after: bucket.started,
                lost_holder,
            }),
        }
        self.drive(now, i, out);
        // What is known of the bucket has decided what it can.
        let bucket = &mut self.buckets[i];
        if bucket.away_until.is_some_and(|t| now < t) {
            self.refuse_away(i, out);
        }
    }

    /// Records the result of a started request; returns the waiters that get
    /// it. The result is written with the next write of its bucket.
    pub fn finish(
        &mut self,
        now: Instant,
        key: &str,
        result: TicketResult,
        out: &mut Vec<ClaimAction>,
    ) -> Vec<u64> {
        let Ok(i) = self.find_held(key) else {
            return Vec::new();
        };
        let held = &mut self.held[i];
        if held.result.is_some() {
            return Vec::new();
        }
        held.result = Some(result.clone());
        let waiters = mem::take(&mut held.waiters);
        let key = held.key.clone();
        let i = (xxh3_64(key.as_bytes()) % self.buckets.len() as u64) as usize;
        self.buckets[i].results.push((key, result));
        self.drive(now, i, out);
        waiters
    }

    /// Takes the outcome of a read or write.
    pub fn on_reply(
        &mut self,
        now: Instant,
        bucket: u32,
        reply: BucketReply,
        out: &mut Vec<ClaimAction>,
    ) {
        let i = bucket as usize;
        let Some(bucket) = self.buckets.get_mut(i).filter(|b| b.busy) else {
            return;
        };
        bucket.busy = false;
        let writing = bucket.writing.take();
        match (reply, writing) {
            (BucketReply::Present { version, value }, _) => self.see(i, version, value),
            (BucketReply::Written { version }, Some(value)) => {
                self.see(i, version, value);
            }
            (BucketReply::Unavailable, _) => {
                bucket.away_until = Some(now + AWAY_PAUSE);
                self.refuse_away(i, out);
            }
            // The claims may be durable: they start only if a read, or the
            // conflict of a later write, shows them.
            (BucketReply::Lost | BucketReply::Written { .. }, _) => bucket.version = None,
        }
        self.drive(now, i, out);
    }

    /// Ends the pending claims of a bucket that cannot be read.
    fn refuse_away(&mut self, i: usize, out: &mut Vec<ClaimAction>) {
        for pending in mem::take(&mut self.buckets[i].pending) {
            let begin = match pending.lost_holder {
                Some(_) => ClaimBegin::Unknown,
                None => self.refusal(i, &pending.key, "platform_away"),
            };
            answer(pending, &begin, out);
        }
    }

    /// Decides about a copy whose deadline has passed.
    fn late(&self, i: usize, key: &str, fingerprint: Fingerprint) -> ClaimBegin {
        let content = &self.buckets[i].content;
        match content.find(key).map(|at| &content.claims[at]) {
            Ok(record) if record.fingerprint != fingerprint => ClaimBegin::Conflict,
            Ok(ClaimRecord {
                result: Some(result),
                ..
            }) => ClaimBegin::Finished(result.clone()),
            _ => self.refusal(i, key, "deadline_passed"),
        }
    }

    /// Refusal of a copy that is not decided. A key that another incarnation
    /// is known to have claimed may have run.
    fn refusal(&self, i: usize, key: &str, code: &'static str) -> ClaimBegin {
        let content = &self.buckets[i].content;
        let record = content.find(key).map(|at| &content.claims[at]);
        if record.is_ok_and(|r| (&r.host, r.incarnation) != (&self.me, self.incarnation)) {
            ClaimBegin::Unknown
        } else {
            ClaimBegin::NotRun(code)
        }
    }

    /// Time of the next call of [`on_wake`](Self::on_wake).
    pub fn next_wake(&self) -> Option<Instant> {
        let wakes = self.buckets.iter().flat_map(|b| {
            let deadlines = b
                .pending
                .iter()
                .flat_map(|p| p.waiters.iter().map(|w| w.deadline));
            let retry = b.away_until.filter(|_| !b.busy && !b.results.is_empty());
            deadlines.chain(retry)
        });
        wakes.min()
    }

    /// Refuses copies whose deadline has passed, and tries the platform again.
    pub fn on_wake(&mut self, now: Instant, out: &mut Vec<ClaimAction>) {
        for i in 0..self.buckets.len() {
            self.expire(now, i, out);
            self.drive(now, i, out);
        }
    }

    /// Number of claims started here whose results are not known to be durable.
    pub fn unsaved(&self) -> usize {
        self.held.len()
    }

    /// Number of failed invariant checks, for a metric.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    fn expire(&mut self, now: Instant, i: usize, out: &mut Vec<ClaimAction>) {
        let mut all = mem::take(&mut self.buckets[i].pending);
        for pending in &mut all {
            for late in pending.waiters.extract_if(.., |w| w.deadline <= now) {
                let (waiter, key) = (late.waiter, pending.key.clone());
                let begin = match pending.lost_holder {
                    Some(_) => ClaimBegin::Unknown,
                    None => self.refusal(i, &key, "deadline_passed"),
                };
                out.push(ClaimAction::Begin { waiter, key, begin });
            }
        }
        all.retain(|p| !p.waiters.is_empty());
        self.buckets[i].pending = all;
    }

    /// Takes the present content of a bucket.
    fn see(&mut self, i: usize, version: u64, content: ClaimBucket) {
        let bucket = &mut self.buckets[i];
        bucket.version = Some(version);
        bucket.content = content;
        bucket.seen = bucket.started;
        bucket.away_until = None;
        let content = &bucket.content;
        let durable = |key: &str| {
            content
                .find(key)
                .is_ok_and(|i| content.claims[i].result.is_some())
        };
        bucket.results.retain(|(key, _)| !durable(key));
        self.held.retain(|held| !durable(&held.key));
    }

    /// Decides what can be decided and starts the next exchange.
    fn drive(&mut self, now: Instant, i: usize, out: &mut Vec<ClaimAction>) {
        if self.buckets[i].version.is_some() {
            self.decide(now, i, out);
        }
        let bucket = &mut self.buckets[i];
        let idle = bucket.pending.is_empty() && bucket.results.is_empty();
        if bucket.busy || idle || bucket.away_until.is_some_and(|t| now < t) {
            return;
        }
        // A claim of a host that is gone, or of this one, needs a fresh view.
        let content = &bucket.content;
        let is_stale = |p: &PendingClaim| p.lost_holder.is_some() || content.find(&p.key).is_ok();
        let stale = bucket.pending.iter().any(is_stale);
        let number = i as u32;
        bucket.busy = true;
        bucket.started += 1;
        bucket.away_until = None;
        let Some(version) = bucket.version.filter(|_| !stale) else {
            return out.push(ClaimAction::Read { bucket: number });
        };
        let value = self.next_value(now, i, out);
        let bucket = &mut self.buckets[i];
        if value == bucket.content {
            // Every claim was refused because the bucket is full.
            bucket.busy = false;
            return;
        }
        bucket.writing = Some(value.clone());
        out.push(ClaimAction::Write {
            bucket: number,
            version,
            value,
        });
    }

    /// Content of the next write: results and new claims, without old records.
    fn next_value(&mut self, now: Instant, i: usize, out: &mut Vec<ClaimAction>) -> ClaimBucket {
        let now_s = (self.unix_time + (now - self.opened)).as_secs();
        let oldest_s = now_s.saturating_sub(self.cfg.retention.as_secs());
        let (held, bucket) = (&self.held, &self.buckets[i]);
        let mut value = bucket.content.clone();
        let is_held = |key: &Name| held.binary_search_by(|h| h.key.cmp(key)).is_ok();
        value
            .claims
            .retain(|r| r.claimed_s >= oldest_s || is_held(&r.key));
        for (key, result) in &bucket.results {
            match (value.find(key), held.binary_search_by(|h| h.key.cmp(key))) {
                (Ok(i), _) => value.claims[i].result = Some(result.clone()),
                // The object was deleted; without the record the key could run
                // again.
                (Err(at), Ok(i)) => {
                    let mut record = self.record(&held[i].key, held[i].fingerprint, now_s);
                    record.result = Some(result.clone());
                    value.claims.insert(at, record);
                }
                (Err(_), Err(_)) => {}
            }
        }
        let mut bytes = value.bytes();
        for pending in mem::take(&mut self.buckets[i].pending) {
            let record = self.record(&pending.key, pending.fingerprint, now_s);
            bytes += record.bytes();
            if bytes > MAX_BUCKET_BYTES {
                refuse(pending, "claims_full", out);
                continue;
            }
            if let Err(at) = value.find(&pending.key) {
                value.claims.insert(at, record);
            }
            self.buckets[i].pending.push(pending);
        }
        value
    }

    fn record(&self, key: &Name, fingerprint: Fingerprint, claimed_s: u64) -> ClaimRecord {
        ClaimRecord {
            key: key.clone(),
            fingerprint,
            host: self.me.clone(),
            incarnation: self.incarnation,
            claimed_s,
            result: None,
        }
    }

    /// Decides the pending claims that the known content answers.
    fn decide(&mut self, now: Instant, i: usize, out: &mut Vec<ClaimAction>) {
        for pending in mem::take(&mut self.buckets[i].pending) {
            let bucket = &mut self.buckets[i];
            let fresh = bucket.seen > pending.after;
            let Ok(at) = bucket.content.find(&pending.key) else {
                if fresh && pending.lost_holder.is_some() {
                    answer(pending, &ClaimBegin::Unknown, out);
                } else {
                    bucket.pending.push(pending);
                }
                continue;
            };
            let record = &bucket.content.claims[at];
            let holder = (record.host.clone(), record.incarnation);
            let begin = if record.fingerprint != pending.fingerprint {
                ClaimBegin::Conflict
            } else if let Some(result) = &record.result {
                ClaimBegin::Finished(result.clone())
            } else if fresh && holder == (self.me.clone(), self.incarnation) {
                // Claims that ran here are held until their result is durable,
                // so this one has not started. An older view will not do: the
                // record may have been dropped since and claimed by another.
                self.start(now, pending, out);
                continue;
            } else if holder.0 != self.me
                && pending.lost_holder.as_ref() != Some(&holder.0)
                && self.live.binary_search(&holder).is_ok()
            {
                ClaimBegin::Elsewhere(holder.0)
            } else if fresh {
                ClaimBegin::Unknown
            } else {
                bucket.pending.push(pending);
                continue;
            };
            answer(pending, &begin, out);
        }
    }

    /// Starts a durable claim for its first copy in time; the others join it.
    fn start(&mut self, now: Instant, pending: PendingClaim, out: &mut Vec<ClaimAction>) {
        let Some(first) = pending.waiters.iter().position(|w| w.deadline > now) else {
            return refuse(pending, "deadline_passed", out);
        };
        let at = match self.find_held(&pending.key) {
            Err(at) => at,
            Ok(at) => return self.report_second_start(at, pending, out),
        };
        for (i, w) in pending.waiters.iter().enumerate() {
            let begin = if i == first {
                ClaimBegin::Start
            } else {
                ClaimBegin::Joined
            };
            let (waiter, key) = (w.waiter, pending.key.clone());
            out.push(ClaimAction::Begin { waiter, key, begin });
        }
        let held = Held {
            key: pending.key,
            fingerprint: pending.fingerprint,
            waiters: pending.waiters.iter().map(|w| w.waiter).collect(),
            result: None,
        };
        self.held.insert(at, held);
    }

    fn report_second_start(
        &mut self,
        at: usize,
        pending: PendingClaim,
        out: &mut Vec<ClaimAction>,
    ) {
        self.violations += 1;
        log::error!(
            "event=invariant_failed step=claim_start key={}",
            pending.key
        );
        if cfg!(debug_assertions) {
            panic!("claim {} starts twice", pending.key);
        }
        for w in pending.waiters {
            let begin = join(&mut self.held[at], pending.fingerprint, w.waiter);
            let (waiter, key) = (w.waiter, pending.key.clone());
            out.push(ClaimAction::Begin { waiter, key, begin });
        }
    }

    fn find_held(&self, key: &str) -> Result<usize, usize> {
        self.held.binary_search_by(|h| (*h.key).cmp(key))
    }
}

fn join(held: &mut Held, fingerprint: Fingerprint, waiter: u64) -> ClaimBegin {
    if held.fingerprint != fingerprint {
        ClaimBegin::Conflict
    } else if let Some(result) = &held.result {
        ClaimBegin::Finished(result.clone())
    } else {
        held.waiters.push(waiter);
        ClaimBegin::Joined
    }
}

fn refuse(pending: PendingClaim, code: &'static str, out: &mut Vec<ClaimAction>) {
    answer(pending, &ClaimBegin::NotRun(code), out);
}

fn answer(pending: PendingClaim, begin: &ClaimBegin, out: &mut Vec<ClaimAction>) {
    for w in pending.waiters {
        out.push(ClaimAction::Begin {
            waiter: w.waiter,
            key: pending.key.clone(),
            begin: begin.clone(),
        });
    }
}
