use std::time::{Duration, Instant};

use cornelwinch_tickets::{
    BucketReply, ClaimAction, ClaimBegin, ClaimConfig, ClaimCopy, Claims, TicketResult,
};
use cornelwinch_types::{Member, Name, SortedMap};

use crate::running::{RunId, Waiter, Work, host_gone};
use crate::{Action, ClaimRequest, Host, PlatformCall, Rejection, RequestLabel};

/// Bucket objects of a deployment. A host may hold all of them, at up to
/// 900 kB each, within the 256 MB that a node has for control.
const CLAIM_BUCKETS: u32 = 64;

/// Time for which a key is remembered. At 500 bytes a record the buckets hold
/// 115,000 keys, so they fill up above 80 new keys a minute.
const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 60 * 60);

/// Requests that name a key of their caller.
#[derive(Debug)]
pub(crate) struct Claiming {
    claims: Claims,
    /// Requests that wait for a decision, by number of their waiter.
    undecided: SortedMap<u64, Work>,
}

impl Claiming {
    /// Starts without claims; `unix_time` is the time since the Unix epoch.
    pub(crate) fn open(now: Instant, unix_time: Duration, me: &Member) -> Self {
        let cfg = ClaimConfig {
            buckets: CLAIM_BUCKETS,
            retention: CLAIM_RETENTION,
        };
        Self {
            claims: Claims::open(now, unix_time, me.name.clone(), me.incarnation, cfg),
            undecided: SortedMap::new(),
        }
    }

    /// Requests that wait for a decision, and results that are not durable.
    pub(crate) fn pending(&self) -> usize {
        self.undecided.len() + self.claims.unsaved()
    }

    pub(crate) fn next_wake(&self) -> Option<Instant> {
        self.claims.next_wake()
    }

    pub(crate) fn set_members(&mut self, members: &[Member]) {
        self.claims.set_members(members);
    }

    pub(crate) fn violations(&self) -> u64 {
        self.claims.violations()
    }
}

impl Host {
    pub(crate) fn accept_claim(
        &mut self,
        now: Instant,
        caller: u64,
        req: ClaimRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), (RequestLabel, Rejection)> {
        let admitted = self.admit(now, &req.query)?;
        let label = admitted.label.clone();
        // The length makes the pair unambiguous: names may hold any character.
        let organisation = &label.organisation;
        let claim = format!(
            "{}:{organisation}/{}",
            organisation.len(),
            req.idempotency_key
        );
        let id = RunId::Claim(claim.into());
        let work = self.admitted_work(now, id, req.key, req.query, admitted);
        self.claim(now, work, Waiter::Caller { caller, label }, out);
        Ok(())
    }

    pub(crate) fn claim(
        &mut self,
        now: Instant,
        work: Work,
        waiter: Waiter,
        out: &mut Vec<Action>,
    ) {
        let RunId::Claim(claim) = work.id.clone() else {
            return;
        };
        let number = self.runs.next_number();
        let (fingerprint, deadline) = (work.fingerprint(), work.deadline);
        self.runs.add_waiter(number, waiter);
        self.claiming.undecided.insert(number, work);
        let mut actions = Vec::new();
        let claims = &mut self.claiming.claims;
        claims.claim(now, &claim, fingerprint, number, deadline, &mut actions);
        self.on_claim_actions(now, actions, out);
    }

    /// Decides again about a copy that was forwarded to a host whose connection failed.
    pub(crate) fn reclaim(
        &mut self,
        now: Instant,
        claim: Name,
        work: Work,
        waiter: Waiter,
        holder: &Name,
        out: &mut Vec<Action>,
    ) {
        let number = self.runs.next_number();
        let copy = ClaimCopy {
            key: claim,
            fingerprint: work.fingerprint(),
            waiter: number,
            deadline: work.deadline,
        };
        self.runs.add_waiter(number, waiter);
        self.claiming.undecided.insert(number, work);
        let mut actions = Vec::new();
        let claims = &mut self.claiming.claims;
        claims.reclaim(now, copy, holder.clone(), &mut actions);
        self.on_claim_actions(now, actions, out);
    }

    /// Records the result of a key; returns the waiters that get it.
    pub(crate) fn finish_claim(
        &mut self,
        now: Instant,
        claim: &Name,
        result: TicketResult,
        out: &mut Vec<Action>,
    ) -> Vec<u64> {
        let mut actions = Vec::new();
        let claims = &mut self.claiming.claims;
        let waiters = claims.finish(now, claim, result, &mut actions);
        self.on_claim_actions(now, actions, out);
        waiters
    }

    pub(crate) fn on_claim_bucket(
        &mut self,
        now: Instant,
        bucket: u32,
        reply: BucketReply,
        out: &mut Vec<Action>,
    ) {
        let mut actions = Vec::new();
        let claims = &mut self.claiming.claims;
        claims.on_reply(now, bucket, reply, &mut actions);
        self.on_claim_actions(now, actions, out);
    }

    pub(crate) fn wake_claiming(&mut self, now: Instant, out: &mut Vec<Action>) {
        let mut actions = Vec::new();
        self.claiming.claims.on_wake(now, &mut actions);
        self.on_claim_actions(now, actions, out);
    }

    fn on_claim_actions(&mut self, now: Instant, actions: Vec<ClaimAction>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                ClaimAction::Read { bucket } => {
                    out.push(Action::Platform(PlatformCall::ReadClaims { bucket }));
                }
                ClaimAction::Write {
                    bucket,
                    version,
                    value,
                } => out.push(Action::Platform(PlatformCall::WriteClaims {
                    bucket,
                    version,
                    value,
                })),
                ClaimAction::Begin { waiter, begin, .. } => {
                    self.on_claim_begin(now, waiter, begin, out);
                }
            }
        }
    }

    fn on_claim_begin(
        &mut self,
        now: Instant,
        number: u64,
        begin: ClaimBegin,
        out: &mut Vec<Action>,
    ) {
        let Some(work) = self.claiming.undecided.remove(&number) else {
            return;
        };
        let result = match begin {
            ClaimBegin::Start => return self.run_work(now, number, work, out),
            ClaimBegin::Joined => return,
            ClaimBegin::Finished(result) => result,
            ClaimBegin::Elsewhere(host) => {
                return self.forward_claim(now, number, work, &host, out);
            }
            ClaimBegin::Unknown => host_gone(),
            ClaimBegin::Conflict => TicketResult::not_run("other_request"),
            // The prefix tells a refusal of this copy, which leaves the key as
            // it was, from the recorded result of a key.
            ClaimBegin::NotRun(code) => TicketResult::not_run(&format!("unclaimed_{code}")),
        };
        if let Some(waiter) = self.runs.take_waiter(number) {
            self.answer_waiter(now, waiter, &work.id, result, out);
        }
    }

    fn forward_claim(
        &mut self,
        now: Instant,
        number: u64,
        work: Work,
        host: &Name,
        out: &mut Vec<Action>,
    ) {
        let Some(waiter) = self.runs.take_waiter(number) else {
            return;
        };
        if let Waiter::Forwarder { .. } = waiter {
            // The forwarder saw this host's claim, which has since been
            // replaced by another host's. Forwarding is limited to one hop.
            return self.answer_waiter(now, waiter, &work.id, host_gone(), out);
        }
        self.forward_run(now, waiter, work, host);
    }
}
