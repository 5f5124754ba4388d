use std::cmp::Reverse;
use std::time::Instant;

use cornelwinch_types::{Name, Snapshot};

use crate::leg::Leg;
use crate::stats::GatherStats;
use crate::upstream::Availability;

/// The replica for the next attempt, or the reason why there is none.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum ReplicaChoice {
    /// Send the leg to this replica.
    Replica(Name),
    /// Every replica in service was tried in this round.
    AllTried,
    /// No replica in service holds the snapshot.
    SnapshotMissing,
    /// No replica is in service.
    OutOfService,
}

/// Returns the index of the newest snapshot whose shards all have a healthy replica or one that is
/// due for a probe. If there is none, returns the index of the snapshot with the largest share of
/// documents in such shards.
pub(crate) fn choose_snapshot(
    now: Instant,
    snapshots: &[Snapshot],
    stats: &GatherStats,
    usable: impl Fn(&Snapshot) -> bool,
) -> Option<usize> {
    let best = |snapshot: &Snapshot, shard: &[Name]| {
        let availability = |name| stats.availability(now, name, &snapshot.search, snapshot.id);
        shard
            .iter()
            .map(availability)
            .max()
            .unwrap_or(Availability::None)
    };
    let mut chosen: Option<(usize, [f64; 2])> = None;
    // Snapshots are sorted by descending id, so the newest wins among equal scores.
    for (i, snapshot) in snapshots.iter().enumerate().filter(|(_, s)| usable(s)) {
        let (mut good, mut possible, mut total) = (0, 0, 0);
        for shard in &snapshot.shards {
            // A shard without documents still has weight.
            let weight = shard.documents.max(1);
            let availability = best(snapshot, &shard.replicas);
            total += weight;
            good += if availability >= Availability::ProbeDue {
                weight
            } else {
                0
            };
            possible += if availability >= Availability::Failing {
                weight
            } else {
                0
            };
        }
        let score = [good as f64 / total as f64, possible as f64 / total as f64];
        if chosen.is_none_or(|(_, best)| score > best) {
            chosen = Some((i, score));
        }
    }
    chosen.map(|(i, _)| i)
}

/// Reports whether every shard has a replica that is in service and may hold the snapshot.
pub(crate) fn is_servable(now: Instant, snapshot: &Snapshot, stats: &GatherStats) -> bool {
    snapshot.shards.iter().all(|shard| {
        let availability = |name| stats.availability(now, name, &snapshot.search, snapshot.id);
        shard
            .replicas
            .iter()
            .any(|name| availability(name) >= Availability::Failing)
    })
}

/// Chooses the replica for the next attempt at a leg: of two random replicas
/// with the best availability, the one with the lower cost. A replica of the
/// host's own availability zone is always one of the two. Replicas in the
/// zone `avoid` are used only if there is no other.
pub(crate) fn choose_replica(
    now: Instant,
    snapshot: &Snapshot,
    shard: usize,
    leg: &Leg,
    avoid: Option<&Name>,
    stats: &mut GatherStats,
) -> ReplicaChoice {
    let replicas = &snapshot.shards[shard].replicas;
    let availability = |name: &Name| stats.availability(now, name, &snapshot.search, snapshot.id);
    let best = replicas
        .iter()
        .map(availability)
        .max()
        .unwrap_or(Availability::None);
    match best {
        Availability::None => return ReplicaChoice::OutOfService,
        Availability::SnapshotMissing => return ReplicaChoice::SnapshotMissing,
        _ => {}
    }
    let open = replicas.iter().filter(|name| !leg.has_tried(name));
    let mut open: Vec<(Availability, &Name)> =
        open.map(|name| (availability(name), name)).collect();
    // A replica that is due for a probe goes first: probes are rare, and without them the upstream
    // would never be used again.
    if let Some((_, name)) = open
        .iter()
        .find(|(availability, _)| *availability == Availability::ProbeDue)
    {
        return ReplicaChoice::Replica((*name).clone());
    }
    let level = open
        .iter()
        .map(|(availability, _)| *availability)
        .max()
        .unwrap_or(Availability::None);
    if level < Availability::Failing {
        // The replicas that may hold the snapshot are failing, the others lack it.
        let lacking = replicas
            .iter()
            .any(|name| availability(name) == Availability::SnapshotMissing);
        let failing = best == Availability::Failing;
        return if lacking && failing {
            ReplicaChoice::SnapshotMissing
        } else {
            ReplicaChoice::AllTried
        };
    }
    open.retain(|(availability, _)| *availability == level);
    let elsewhere = |name: &Name| avoid.is_some() && stats.zone(name) != avoid;
    if open.iter().any(|(_, name)| elsewhere(name)) {
        open.retain(|(_, name)| elsewhere(name));
    }
    stats.rng.shuffle(&mut open);
    let cost = |name: &Name| stats.cost(now, name);
    let local = |name: &Name| stats.is_local(name);
    open.sort_by_key(|(_, name)| Reverse(local(name)));
    let first = open[0].1;
    let second = open.get(1).map_or(first, |(_, name)| *name);
    ReplicaChoice::Replica(
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
        .clone(),
    )
}

/// Chooses the replica for a hedge: the least loaded of the healthy ones that the leg has not
/// tried in this round.
pub(crate) fn choose_hedge_replica(
    now: Instant,
    snapshot: &Snapshot,
    shard: usize,
    leg: &Leg,
    stats: &mut GatherStats,
) -> Option<Name> {
    let replicas = &snapshot.shards[shard].replicas;
    let good = |name: &Name| {
        stats.availability(now, name, &snapshot.search, snapshot.id) == Availability::Healthy
            && !leg.has_tried(name)
    };
    let mut open: Vec<&Name> = replicas.iter().filter(|name| good(name)).collect();
    stats.rng.shuffle(&mut open);
    open.into_iter()
        .min_by_key(|name| stats.cost(now, name))
        .cloned()
}
