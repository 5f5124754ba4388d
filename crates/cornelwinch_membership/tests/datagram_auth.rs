//! Datagrams without the secret, and repeated ones, have no effect.

mod common;

use std::time::Instant;

use common::{Net, addr, iterations};
use cornelwinch_membership::{DatagramKey, Membership, MembershipAction, MembershipConfig};
use cornelwinch_types::{Incarnation, Member, Name};
use fastrand::Rng;

fn open(now: Instant, i: usize, incarnation: u64, secret: &[u8]) -> (Membership, Vec<Vec<u8>>) {
    let member = Member {
        name: Name::from(format!("host-{i}")),
        incarnation: Incarnation(incarnation),
        gossip: addr(i),
        ..Net::new(0, &["a"]).nodes[0].member.clone()
    };
    let cfg = MembershipConfig::new(DatagramKey::derive("tunis", secret), vec![addr(1), addr(2)]);
    let mut out = Vec::new();
    let membership = Membership::open(now, cfg, member, Rng::with_seed(i as u64), &mut out);
    (membership, sent(out))
}

fn sent(out: Vec<MembershipAction>) -> Vec<Vec<u8>> {
    out.into_iter()
        .filter_map(|action| {
            if let MembershipAction::Send { buf, .. } = action {
                Some(buf)
            } else {
                None
            }
        })
        .collect()
}

fn deliver(now: Instant, to: &mut Membership, from: usize, buf: &[u8]) -> Vec<Vec<u8>> {
    let mut out = Vec::new();
    to.on_datagram(now, addr(from), buf, &mut out);
    sent(out)
}

/// Guards against forged members: a datagram that was altered, cut, extended
/// or made with another secret has to leave the table and the sender without
/// any effect.
#[test]
fn forged_datagram_is_rejected() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let now = Instant::now();
        let (mut receiver, _) = open(now, 1, 1, b"secret");
        let secret: &[u8] = if rng.bool() { b"secret" } else { b"other" };
        let (_, datagrams) = open(now, 2, 1, secret);
        let mut buf = datagrams[0].clone();
        if secret == b"secret" {
            match rng.u8(..3) {
                0 => buf.truncate(rng.usize(..buf.len())),
                1 => buf.push(rng.u8(..)),
                _ => {
                    let at = rng.usize(..buf.len());
                    buf[at] ^= 1 << rng.u8(..8);
                }
            }
        }
        assert!(
            deliver(now, &mut receiver, 2, &buf).is_empty(),
            "seed={seed}"
        );
        assert_eq!(receiver.members().len(), 1, "seed={seed}");
        assert_eq!(receiver.counters().rejected, 1, "seed={seed}");
    }
}

/// Guards against recorded datagrams that are sent again, in the same or after
/// a new incarnation of their sender.
#[test]
fn replayed_datagram_is_dropped() {
    let now = Instant::now();
    let (mut receiver, _) = open(now, 1, 1, b"secret");
    let (_, old) = open(now, 2, 5, b"secret");
    assert!(
        !deliver(now, &mut receiver, 2, &old[0]).is_empty(),
        "not answered"
    );
    assert!(
        deliver(now, &mut receiver, 2, &old[0]).is_empty(),
        "answered twice"
    );
    assert_eq!(receiver.counters().replayed, 1);

    let (_, new) = open(now, 2, 6, b"secret");
    deliver(now, &mut receiver, 2, &new[0]);
    deliver(now, &mut receiver, 2, &old[0]);
    assert_eq!(receiver.counters().replayed, 2);
    let member = receiver
        .members()
        .iter()
        .find(|member| &*member.name == "host-2");
    assert_eq!(
        member.map(|member| member.incarnation),
        Some(Incarnation(6))
    );
}

/// Guards against a window that accepts a number twice or rejects reordered
/// datagrams.
#[test]
fn reordered_datagrams_count_once() {
    for seed in 0..iterations() {
        let mut rng = Rng::with_seed(seed);
        let now = Instant::now();
        let (mut receiver, _) = open(now, 1, 1, b"secret");
        let (mut sender, first) = open(now, 2, 1, b"secret");
        let answers = deliver(now, &mut receiver, 2, &first[0]);
        deliver(now, &mut sender, 1, &answers[0]);
        let mut datagrams = Vec::new();
        let mut at = now;
        for _ in 0..1_000 {
            at = sender.next_wake().unwrap_or(at);
            let mut out = Vec::new();
            sender.on_wake(at, &mut out);
            datagrams.extend(sent(out));
        }
        datagrams.truncate(40);
        rng.shuffle(&mut datagrams);
        let before = receiver.counters().replayed;
        datagrams
            .iter()
            .for_each(|buf| drop(deliver(at, &mut receiver, 2, buf)));
        assert_eq!(
            receiver.counters().replayed,
            before,
            "seed={seed}: reordered datagrams were dropped"
        );
        datagrams
            .iter()
            .for_each(|buf| drop(deliver(at, &mut receiver, 2, buf)));
        assert_eq!(
            receiver.counters().replayed,
            before + 40,
            "seed={seed}: repeated datagrams were accepted"
        );
    }
}
