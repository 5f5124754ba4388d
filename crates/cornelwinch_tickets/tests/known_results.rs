//! Guards against a resend that is refused as not run, because the platform is
//! away, although its host knows that the key has run, and against one whose
//! recorded result is not read after its holder was lost.

use std::time::{Duration, Instant};

use cornelwinch_tickets::{
    BucketReply, ClaimAction, ClaimBegin, ClaimBucket, ClaimConfig, ClaimCopy, ClaimRecord, Claims,
    TicketResult,
};
use cornelwinch_types::{Fingerprint, Incarnation, Member, MemberState};

#[test]
fn result_is_known_while_away() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let cfg = ClaimConfig {
        buckets: 1,
        retention: Duration::from_secs(3600),
    };
    let mut claims = Claims::open(now, cfg.retention, "host-1".into(), Incarnation(1), cfg);
    let body = Fingerprint::of("stock", "two pallets");
    let mut out = Vec::new();
    claims.claim(now, "key", body, 1, deadline, &mut out);
    let empty = BucketReply::Present {
        version: 0,
        value: ClaimBucket::default(),
    };
    claims.on_reply(now, 0, empty, &mut out);
    claims.on_reply(now, 0, BucketReply::Written { version: 1 }, &mut out);
    let result = TicketResult::unknown("disconnected");
    assert_eq!(claims.finish(now, "key", result.clone(), &mut out), [1]);
    claims.on_reply(now, 0, BucketReply::Written { version: 2 }, &mut out);
    assert_eq!(claims.unsaved(), 0);

    claims.claim(now, "other", body, 2, deadline, &mut out);
    claims.on_reply(now, 0, BucketReply::Unavailable, &mut out);
    out.clear();
    claims.claim(now, "key", body, 3, deadline, &mut out);
    claims.claim(now, "third", body, 4, deadline, &mut out);
    let begin = |waiter, key: &str, begin| ClaimAction::Begin {
        waiter,
        key: key.into(),
        begin,
    };
    let known = begin(3, "key", ClaimBegin::Finished(result));
    let refused = begin(4, "third", ClaimBegin::NotRun("platform_away"));
    assert_eq!(out, [known.clone(), refused]);
    // Nor does a copy whose time is over hide the result.
    out.clear();
    claims.claim(now, "key", body, 3, now, &mut out);
    assert_eq!(out, [known]);
}

#[test]
fn lost_holder_is_unknown_while_away() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let cfg = ClaimConfig {
        buckets: 1,
        retention: Duration::from_secs(3600),
    };
    let mut claims = Claims::open(now, cfg.retention, "host-1".into(), Incarnation(1), cfg);
    let body = Fingerprint::of("stock", "two pallets");
    let record = ClaimRecord {
        key: "key".into(),
        fingerprint: body,
        host: "host-2".into(),
        incarnation: Incarnation(1),
        claimed_s: 3600,
        result: None,
    };
    let value = ClaimBucket {
        claims: vec![record],
    };
    let mut out = Vec::new();
    claims.claim(now, "other", body, 1, deadline, &mut out);
    claims.on_reply(now, 0, BucketReply::Present { version: 1, value }, &mut out);
    claims.on_reply(now, 0, BucketReply::Unavailable, &mut out);
    let later = now + Duration::from_secs(1);
    // The third copy arrives when its time is over.
    for (waiter, now, deadline) in [(2, now, deadline), (3, later, deadline), (4, later, later)] {
        out.clear();
        claims.claim(now, "key", body, waiter, deadline, &mut out);
        claims.on_reply(now, 0, BucketReply::Unavailable, &mut out);
        let begin = |a: &ClaimAction| {
            matches!(
                a,
                ClaimAction::Begin {
                    begin: ClaimBegin::Unknown,
                    ..
                }
            )
        };
        assert!(out.last().is_some_and(begin), "waiter {waiter}: {out:?}");
    }
}

/// A copy that was forwarded to a holder which still counts as alive is decided by
/// the next view of the bucket, and is never started.
#[test]
fn lost_holder_is_read_again() {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(5);
    let cfg = ClaimConfig {
        buckets: 1,
        retention: Duration::from_secs(3600),
    };
    let body = Fingerprint::of("stock", "two pallets");
    let result = TicketResult::unknown("disconnected");
    let record = |result| ClaimRecord {
        key: "key".into(),
        fingerprint: body,
        host: "host-2".into(),
        incarnation: Incarnation(1),
        claimed_s: 3600,
        result,
    };
    let view = |version, claims| BucketReply::Present {
        version,
        value: ClaimBucket { claims },
    };
    let cases = [
        (
            view(2, vec![record(Some(result.clone()))]),
            ClaimBegin::Finished(result.clone()),
        ),
        (view(1, vec![record(None)]), ClaimBegin::Unknown),
        (view(2, vec![]), ClaimBegin::Unknown),
        (BucketReply::Unavailable, ClaimBegin::Unknown),
    ];
    for (reply, expected) in cases {
        let mut claims = Claims::open(now, cfg.retention, "host-1".into(), Incarnation(1), cfg);
        let addr = "127.0.0.1:1".parse().unwrap();
        claims.set_members(&[Member {
            name: "host-2".into(),
            zone: "a".into(),
            incarnation: Incarnation(1),
            state: MemberState::Alive,
            peer: addr,
            gossip: addr,
        }]);
        let mut out = Vec::new();
        claims.claim(now, "key", body, 1, deadline, &mut out);
        claims.on_reply(now, 0, view(1, vec![record(None)]), &mut out);
        let begin = ClaimBegin::Elsewhere("host-2".into());
        let forwarded = ClaimAction::Begin {
            waiter: 1,
            key: "key".into(),
            begin,
        };
        assert_eq!(out.last(), Some(&forwarded));
        out.clear();
        let copy = ClaimCopy {
            key: "key".into(),
            fingerprint: body,
            waiter: 1,
            deadline,
        };
        claims.reclaim(now, copy, "host-2".into(), &mut out);
        assert_eq!(out, [ClaimAction::Read { bucket: 0 }]);
        out.clear();
        claims.on_reply(now, 0, reply.clone(), &mut out);
        let decided = ClaimAction::Begin {
            waiter: 1,
            key: "key".into(),
            begin: expected,
        };
        assert_eq!(out, [decided], "{reply:?}");
    }
}
