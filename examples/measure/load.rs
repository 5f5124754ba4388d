use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;

use cornelwinch::bench::{BenchAnswer, BenchConfig, MixItem, Report, SentRequest, run_verified};
use cornelwinch_lab::Deployment;
use cornelwinch_standins::documents;
use cornelwinch_types::{Outcome, SnapshotId};

/// Offers queries of one search to all hosts and checks every answer.
pub(crate) fn offer(
    deployment: &Deployment,
    search: &str,
    rate_per_s: f64,
    seconds: u64,
    seed: u64,
) -> Result<Report, Box<dyn Error>> {
    offer_targets(deployment.targets(), search, rate_per_s, seconds, seed)
}

/// As [`offer`], to some hosts only.
pub(crate) fn offer_targets(
    targets: Vec<SocketAddr>,
    search: &str,
    rate_per_s: f64,
    seconds: u64,
    seed: u64,
) -> Result<Report, Box<dyn Error>> {
    offer_mix(targets, vec![item(search, 340)], rate_per_s, seconds, seed)
}

/// One search with its only class.
pub(crate) fn item(search: &str, deadline_ms: u64) -> MixItem {
    MixItem {
        search: search.to_owned(),
        class: search.to_owned(),
        organisation: search.to_owned(),
        token: Deployment::token(search),
        weight: 1.0,
        deadline_ms,
        tickets: false,
    }
}

pub(crate) fn offer_mix(
    targets: Vec<SocketAddr>,
    mix: Vec<MixItem>,
    rate_per_s: f64,
    seconds: u64,
    seed: u64,
) -> Result<Report, Box<dyn Error>> {
    let cfg = BenchConfig {
        targets,
        rate_per_s,
        duration: Duration::from_secs(seconds),
        mix,
        seed,
        connections: 128,
        bodies: (0..64).map(|i| format!("8 title {i}")).collect(),
        ..BenchConfig::default()
    };
    Ok(run_verified(&cfg, verify)?)
}

/// Compares the rows with those that the covered ranges hold.
fn verify(sent: &SentRequest<'_>, answer: &BenchAnswer) -> Result<(), String> {
    if answer.outcome != Some(Outcome::Done) || sent.ticket.is_some() {
        return Ok(());
    }
    let Some(snapshot) = answer.snapshot else {
        return Err("an answer without a snapshot".into());
    };
    let expected: Vec<_> = answer
        .covered
        .iter()
        .flat_map(|range| documents(&sent.item.search, SnapshotId(snapshot), *range, &sent.body))
        .collect();
    if answer.hits != expected {
        return Err(format!(
            "{} rows instead of {} of the covered ranges",
            answer.hits.len(),
            expected.len()
        ));
    }
    Ok(())
}

/// Milliseconds from microseconds.
pub(crate) fn ms(us: u64) -> f64 {
    us as f64 / 1_000.0
}
