//! A process that was stopped does not trust its old view.

mod common;

use std::time::Duration;

use common::{Net, iterations};
use cornelwinch_membership::{Membership, MembershipAction};
use cornelwinch_types::MemberState;

const ZONES: [&str; 5] = ["a", "a", "a", "b", "c"];

fn is_confirmed(net: &Net, i: usize) -> bool {
    net.nodes[i]
        .membership
        .as_ref()
        .is_some_and(Membership::is_confirmed)
}

fn is_death(action: &MembershipAction) -> bool {
    matches!(action, MembershipAction::Changed(member) if member.state == MemberState::Dead)
}

/// Pauses a host just after its periodic probe, whose answer arrives during the
/// pause.
fn pause(net: &mut Net, i: usize, time: Duration) {
    let wake = net.nodes[i]
        .membership
        .as_ref()
        .and_then(Membership::next_wake)
        .expect("process runs");
    net.run(wake - net.now);
    net.pause(i);
    net.run(time);
}

/// Guards against a paused owner that resumes with full limits while another
/// host has taken over, also if old answers wait in its socket, against one that
/// stays unconfirmed, and against one that declares
/// others dead because of its own pause.
#[test]
fn long_pause_needs_confirmation() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &ZONES);
        let i = net.rng.usize(..ZONES.len());
        assert!(is_confirmed(&net, i), "seed={seed} i={i}");
        let pause = Duration::from_millis(net.rng.u64(3_001..30_000));
        self::pause(&mut net, i, pause);
        let since = net.now;
        net.nodes[i].side = 1;
        net.resume(i);
        assert!(!is_confirmed(&net, i), "seed={seed} i={i} pause={pause:?}");
        net.run(Duration::from_millis(500));
        assert!(
            !is_confirmed(&net, i),
            "confirmed by nobody, seed={seed} i={i} pause={pause:?}"
        );
        net.nodes[i].side = 0;
        net.run(Duration::from_secs(12));
        assert!(is_confirmed(&net, i), "seed={seed} i={i} pause={pause:?}");
        net.check_complete(&format!("seed={seed} i={i} pause={pause:?}"));
        let log = net.nodes[i].log.iter().filter(|(at, _)| *at >= since);
        let deaths: Vec<_> = log.filter(|(_, action)| is_death(action)).collect();
        assert!(
            deaths.is_empty(),
            "seed={seed} i={i} pause={pause:?} {deaths:?}"
        );
    }
}

/// Guards against cold limits after a pause too short for a takeover, and
/// against suspicion of hosts whose answers waited during the pause.
#[test]
fn short_pause_changes_nothing() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &ZONES);
        let i = net.rng.usize(..ZONES.len());
        let pause = Duration::from_millis(net.rng.u64(..2_900));
        self::pause(&mut net, i, pause);
        net.resume(i);
        assert!(is_confirmed(&net, i), "seed={seed} i={i} pause={pause:?}");
        net.run(Duration::from_secs(5));
        net.check_complete(&format!("seed={seed} i={i} pause={pause:?}"));
        let suspicions = net.nodes[i]
            .membership
            .as_ref()
            .map(|membership| membership.counters().suspicions);
        assert_eq!(suspicions, Some(0), "seed={seed} i={i} pause={pause:?}");
    }
}

/// Guards against a suspicion that runs out during a pause, before the host has
/// read the refutation that waits in its socket.
#[test]
fn suspicion_survives_pause() {
    for seed in 0..iterations() {
        let mut net = Net::settled(seed, &["a", "a"]);
        net.nodes[1].side = 1;
        while net.state(0, 1) == Some(MemberState::Alive) {
            net.run(Duration::from_millis(10));
        }
        net.nodes[1].side = 0;
        let since = net.now;
        self::pause(&mut net, 0, Duration::from_millis(2_900));
        net.resume(0);
        net.run(Duration::from_secs(5));
        let deaths = net.nodes[0]
            .log
            .iter()
            .filter(|(at, _)| *at >= since)
            .find(|(_, action)| is_death(action));
        assert_eq!(deaths, None, "seed={seed}");
    }
}

/// Guards against a lone host that waits for confirmation forever, and against
/// one with unreachable seeds that takes itself for confirmed.
#[test]
fn first_host_depends_on_seeds() {
    let mut net = Net::new(1, &["a", "a"]);
    net.start(0);
    assert!(is_confirmed(&net, 0));
    net.start(1);
    assert!(!is_confirmed(&net, 1));
    net.run(Duration::from_secs(2));
    assert!(is_confirmed(&net, 1));
}

/// Guards against an old process that acts beside the one that replaced it.
#[test]
fn replaced_process_is_never_confirmed() {
    let mut net = Net::settled(1, &["a", "a", "a"]);
    net.pause(1);
    let old = net.nodes[1].membership.take();
    net.nodes[1].membership = None;
    net.start(1);
    net.run(Duration::from_secs(5));
    let new = std::mem::replace(&mut net.nodes[1].membership, old);
    let since = net.now;
    net.resume(1);
    net.run(Duration::from_secs(15));
    assert!(!is_confirmed(&net, 1));
    let deaths = net.nodes[1]
        .log
        .iter()
        .filter(|(at, _)| *at >= since)
        .find(|(_, action)| is_death(action));
    assert_eq!(deaths, None, "the old process declares the others dead");
    let held = net.nodes[0]
        .membership
        .as_ref()
        .and_then(|m| m.members().iter().find(|m| &*m.name == "a-1").cloned());
    let newest = new.and_then(|new| new.members().iter().find(|m| &*m.name == "a-1").cloned());
    assert_eq!(held.map(|m| m.incarnation), newest.map(|m| m.incarnation));
}

/// Guards against a timer that stays in the past: after a pause that outlasted
/// the news of a zone, a host turned without end and extended its suspicions
/// with each turn.
#[test]
fn no_timer_stays_due() {
    let mut net = Net::settled(1, &["a", "a", "b"]);
    net.nodes[2].side = 1;
    let lost = |(_, action): &(_, _)| {
        matches!(
            action,
            MembershipAction::ZoneReachable {
                reachable: false,
                ..
            }
        )
    };
    while !net.nodes[0].log.iter().any(lost) {
        net.run(Duration::from_millis(100));
    }
    net.pause(0);
    net.run(Duration::from_millis(2_500));
    let now = net.now;
    let membership = net.nodes[0].membership.as_mut().expect("the host runs");
    let mut out = Vec::new();
    membership.on_wake(now, &mut out);
    assert!(membership.next_wake().is_some_and(|at| at > now));
}
