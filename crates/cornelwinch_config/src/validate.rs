use cornelwinch_types::Name;
use snafu::Snafu;

use crate::{ConfigState, Entry, EntryValue, Kind};

/// A configuration entry that breaks a rule.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display("{kind} \"{name}\": key \"{key}\": {problem}"))]
pub struct ValidationError {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: Name,
    /// Key of the contents that breaks the rule.
    pub key: &'static str,
    /// The expected value, and what was found.
    pub problem: String,
}

/// Checks an entry against the rules of its kind and against the entries that
/// it would join: references must exist, and a deleted entry must not be
/// referred to.
///
/// # Errors
///
/// Returns the first broken rule.
pub fn validate(entry: &Entry, state: &ConfigState) -> Result<(), ValidationError> {
    check_spec(entry)?;
    if entry.is_deleted() {
        return check_unreferenced(entry, state);
    }
    check_references(entry, state)
}

/// Checks an entry against the rules of its kind alone. A daemon applies an
/// entry that passes: references may arrive in any order.
///
/// # Errors
///
/// Returns the first broken rule.
pub fn check_spec(entry: &Entry) -> Result<(), ValidationError> {
    let require = |holds: bool, key: &'static str, expected: &str, found: &dyn ToString| {
        if holds {
            return Ok(());
        }
        Err(broken(
            entry,
            key,
            format!("expected {expected}, found {}", found.to_string()),
        ))
    };
    let name_ok = !entry.name.is_empty()
        && entry
            .name
            .bytes()
            .all(|b| b.is_ascii_alphanumeric() || b"._~-".contains(&b));
    require(
        name_ok,
        "name",
        "letters, digits or any of \"._~-\"",
        &entry.name,
    )?;
    match &entry.value {
        EntryValue::Plan(Some(plan)) => {
            let rate = plan.rate_per_s;
            let rate_ok = rate.is_finite() && rate > 0.0;
            require(rate_ok, "rate_per_s", "a number above 0", &rate)?;
            require(plan.burst > 0, "burst", "an integer above 0", &plan.burst)?;
            require(
                plan.concurrency > 0,
                "concurrency",
                "an integer above 0",
                &plan.concurrency,
            )
        }
        EntryValue::Organisation(Some(organisation)) => {
            let hash = &organisation.token_hash;
            let hash_ok = blake3::Hash::from_hex(hash.as_bytes()).is_ok();
            require(hash_ok, "token_hash", "64 hexadecimal digits", hash)
        }
        EntryValue::Search(Some(search)) => require(
            !search.classes.is_empty(),
            "classes",
            "at least one class",
            &"none",
        ),
        EntryValue::Class(Some(class)) => {
            let coverage = class.min_coverage;
            let coverage_ok = (0.0..=1.0).contains(&coverage);
            require(
                class.deadline_ms > 0,
                "deadline_ms",
                "an integer above 0",
                &class.deadline_ms,
            )?;
            require(
                coverage_ok,
                "min_coverage",
                "a number from 0 to 1",
                &coverage,
            )?;
            if let Some(after) = class.partial_after_ms {
                let expected = "at most deadline_ms";
                require(
                    after <= class.deadline_ms,
                    "partial_after_ms",
                    expected,
                    &after,
                )?;
            }
            if let Some(quantile) = class.hedge_quantile {
                let quantile_ok = quantile > 0.0 && quantile < 1.0;
                let expected = "a number above 0 and below 1";
                require(quantile_ok, "hedge_quantile", expected, &quantile)?;
            }
            Ok(())
        }
        EntryValue::Upstream(Some(up)) => {
            require(up.slots > 0, "slots", "an integer above 0", &up.slots)?;
            require(
                up.connections > 0,
                "connections",
                "an integer above 0",
                &up.connections,
            )?;
            let cold_ok = up.cold_limit > 0 && up.cold_limit <= up.slots;
            require(
                cold_ok,
                "cold_limit",
                "an integer from 1 to slots",
                &up.cold_limit,
            )?;
            require(
                up.address.port() != 0,
                "address",
                "a port from 1 to 65535",
                &up.address,
            )
        }
        EntryValue::Snapshot(Some(snapshot)) => {
            require(
                !snapshot.shards.is_empty(),
                "shards",
                "at least one shard",
                &"none",
            )?;
            let total = snapshot
                .shards
                .iter()
                .try_fold(0_u64, |n, s| n.checked_add(s.documents));
            require(
                total.is_some(),
                "shards",
                "fewer than 2^64 documents",
                &"more",
            )?;
            snapshot
                .validate()
                .map_err(|error| broken(entry, "shards", error.to_string()))
        }
        EntryValue::Zone(_)
        | EntryValue::Host(_)
        | EntryValue::Plan(None)
        | EntryValue::Organisation(None)
        | EntryValue::Search(None)
        | EntryValue::Class(None)
        | EntryValue::Upstream(None)
        | EntryValue::Snapshot(None) => Ok(()),
    }
}

fn check_references(entry: &Entry, state: &ConfigState) -> Result<(), ValidationError> {
    let mut result = Ok(());
    references(entry, |key, kind, name| {
        if result.is_ok() && !state.contains(kind, name) {
            result = Err(broken(
                entry,
                key,
                format!("{kind} \"{name}\" does not exist"),
            ));
        }
    });
    result?;
    match &entry.value {
        EntryValue::Organisation(Some(organisation)) => {
            let hash = blake3::Hash::from_hex(organisation.token_hash.as_bytes());
            let other = hash
                .ok()
                .and_then(|hash| state.organisation_by_token_hash(&hash));
            match other {
                Some((name, _)) if *name != entry.name => {
                    let text = format!("customer \"{name}\" has the same token");
                    Err(broken(entry, "token_hash", text))
                }
                _ => Ok(()),
            }
        }
        EntryValue::Snapshot(Some(snapshot)) => {
            let other = state.entries_of(Kind::Snapshot).iter().find(|other| {
                matches!(&other.value, EntryValue::Snapshot(Some(held))
                    if held.search == snapshot.search && held.id == snapshot.id)
                    && other.name != entry.name
            });
            match other {
                Some(other) => {
                    let text = format!(
                        "snapshot \"{}\" already is number {} of search \"{}\"",
                        other.name, snapshot.id, snapshot.search
                    );
                    Err(broken(entry, "id", text))
                }
                None => Ok(()),
            }
        }
        _ => Ok(()),
    }
}

fn check_unreferenced(entry: &Entry, state: &ConfigState) -> Result<(), ValidationError> {
    for other in state.entries() {
        let mut referring = None;
        references(other, |key, kind, name| {
            if kind == entry.kind() && *name == entry.name {
                referring = Some(key);
            }
        });
        if let Some(key) = referring {
            let (kind, name) = (other.kind(), &other.name);
            let text = format!("{kind} \"{name}\" refers to it by its key \"{key}\"");
            return Err(broken(entry, "deleted", text));
        }
    }
    Ok(())
}

/// Calls `f` with key, kind and name of each entry that this one refers to.
fn references(entry: &Entry, mut f: impl FnMut(&'static str, Kind, &Name)) {
    match &entry.value {
        EntryValue::Plan(Some(plan)) => {
            plan.searches
                .iter()
                .for_each(|name| f("searches", Kind::Search, name));
        }
        EntryValue::Organisation(Some(organisation)) => f("plan", Kind::Plan, &organisation.plan),
        EntryValue::Search(Some(search)) => {
            search
                .classes
                .iter()
                .for_each(|name| f("classes", Kind::Class, name));
        }
        EntryValue::Upstream(Some(upstream)) => f("zone", Kind::Zone, &upstream.zone),
        EntryValue::Snapshot(Some(snapshot)) => {
            f("search", Kind::Search, &snapshot.search);
            for shard in &snapshot.shards {
                shard
                    .replicas
                    .iter()
                    .for_each(|name| f("shards", Kind::Upstream, name));
            }
        }
        _ => {}
    }
}

fn broken(entry: &Entry, key: &'static str, problem: String) -> ValidationError {
    ValidationError {
        kind: entry.kind(),
        name: entry.name.clone(),
        key,
        problem,
    }
}
