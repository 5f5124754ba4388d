use std::cmp::Reverse;
use std::time::Instant;

use cornelwinch_types::{Name, Snapshot};

use crate::leg::Leg;
use crate::stats::GatherStats;
use crate::upstream::Service;

/// A replica for the next attempt, or why there is none.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Pick {
    /// Send the leg to this replica.
    Replica(Name),
    /// Every replica in service was tried in this round.
    Tried,
    /// No replica in service holds the snapshot.
    Lacking,
    /// No replica is in service.
    NoService,
}

/// Returns the position of the newest snapshot of which every shard has a good
/// replica; if there is none, of the one of which the largest share has.
pub(crate) fn choose_snapshot(
    now: Instant,
    snapshots: &[Snapshot],
    stats: &GatherStats,
    usable: impl Fn(&Snapshot) -> bool,
) -> Option<usize> {
    let best = |snapshot: &Snapshot, shard: &[Name]| {
        let service = |name| stats.service(now, name, &snapshot.search, snapshot.id);
        shard.iter().map(service).max().unwrap_or(Service::None)
    };
    let mut chosen: Option<(usize, [f64; 2])> = None;
    // The snapshots are sorted by descending id, so the first of equals wins.
    for (i, snapshot) in snapshots.iter().enumerate().filter(|(_, s)| usable(s)) {
        let (mut good, mut possible, mut total) = (0, 0, 0);
        for shard in &snapshot.shards {
            // A shard without documents still counts.
            let weight = shard.documents.max(1);
            let service = best(snapshot, &shard.replicas);
            total += weight;
            good += if service >= Service::Probe { weight } else { 0 };
            possible += if service >= Service::Doubtful {
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

/// Reports whether some replica of every shard may hold the snapshot and is in
/// service.
pub(crate) fn is_servable(now: Instant, snapshot: &Snapshot, stats: &GatherStats) -> bool {
    snapshot.shards.iter().all(|shard| {
        let service = |name| stats.service(now, name, &snapshot.search, snapshot.id);
        shard
            .replicas
            .iter()
            .any(|name| service(name) >= Service::Doubtful)
    })
}

/// Chooses the replica for the next attempt at a leg: of two random replicas
/// of the best service level, the one with the lower cost. A replica of the
/// host's own availability zone is always one of the two. Replicas in the
/// zone `avoid` are used only if there is no other.
pub(crate) fn pick_replica(
    now: Instant,
    snapshot: &Snapshot,
    shard: usize,
    leg: &Leg,
    avoid: Option<&Name>,
    stats: &mut GatherStats,
) -> Pick {
    let replicas = &snapshot.shards[shard].replicas;
    let service = |name: &Name| stats.service(now, name, &snapshot.search, snapshot.id);
    let best = replicas.iter().map(service).max().unwrap_or(Service::None);
    match best {
        Service::None => return Pick::NoService,
        Service::Lacks => return Pick::Lacking,
        _ => {}
    }
    let open = replicas.iter().filter(|name| !leg.used(name));
    let mut open: Vec<(Service, &Name)> = open.map(|name| (service(name), name)).collect();
    // A due probe goes first: it is rare, and without it the upstream would
    // never be used again.
    if let Some((_, name)) = open.iter().find(|(service, _)| *service == Service::Probe) {
        return Pick::Replica((*name).clone());
    }
    let level = open
        .iter()
        .map(|(service, _)| *service)
        .max()
        .unwrap_or(Service::None);
    if level < Service::Doubtful {
        // The replica that may hold the snapshot fails, the others lack it.
        let lacking = replicas.iter().any(|name| service(name) == Service::Lacks);
        let failing = best == Service::Doubtful;
        return if lacking && failing {
            Pick::Lacking
        } else {
            Pick::Tried
        };
    }
    open.retain(|(service, _)| *service == level);
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
    Pick::Replica(
        if cost(second) < cost(first) {
            second
        } else {
            first
        }
        .clone(),
    )
}

/// Chooses the replica for a hedge: the least loaded of the good ones that the
/// leg does not use.
pub(crate) fn pick_hedge(
    now: Instant,
    snapshot: &Snapshot,
    shard: usize,
    leg: &Leg,
    stats: &mut GatherStats,
) -> Option<Name> {
    let replicas = &snapshot.shards[shard].replicas;
    let good = |name: &Name| {
        stats.service(now, name, &snapshot.search, snapshot.id) == Service::Good && !leg.used(name)
    };
    let mut open: Vec<&Name> = replicas.iter().filter(|name| good(name)).collect();
    stats.rng.shuffle(&mut open);
    open.into_iter()
        .min_by_key(|name| stats.cost(now, name))
        .cloned()
}
