use std::cmp::Reverse;

use cornelwinch_types::{Name, Revision, Snapshot, SnapshotId};
use log::error;

use crate::validate::check_spec;
use crate::{
    ClassPolicy, Entry, EntryValue, HostSpec, Kind, OrganisationSpec, PlanSpec, SearchSpec,
    ServiceState, UpstreamSpec, ValidationError, ZoneSpec,
};

/// The configuration in force on a host.
///
/// Entries are held by kind and name, deleted ones as tombstones. An entry is
/// replaced only by one with a higher revision, so a configuration in force
/// never reverts, in whatever order entries arrive.
///
/// ```
/// use cornelwinch_config::{ConfigState, Entry, EntryValue, ServiceState, ZoneSpec};
/// use cornelwinch_types::Revision;
///
/// let mut state = ConfigState::default();
/// let zone = |revision, state| Entry {
///     name: "tunis-a".into(),
///     revision: Revision(revision),
///     change: "c1".into(),
///     value: EntryValue::Zone(Some(ZoneSpec { region: "tunis".into(), state })),
/// };
/// assert_eq!(state.apply(vec![zone(7, ServiceState::Out)], Revision(7)).len(), 1);
/// assert_eq!(state.apply(vec![zone(5, ServiceState::In)], Revision(5)).len(), 0);
/// assert_eq!(state.revision(), Revision(7));
/// assert_eq!(state.zone("tunis-a").map(|zone| zone.state), Some(ServiceState::Out));
/// ```
#[derive(Debug, Clone, Default)]
pub struct ConfigState {
    /// By kind and name.
    entries: Vec<Entry>,
    /// Hash prefix of the token and name of each organisation, ascending.
    tokens: Vec<(u64, Name)>,
    /// By search and descending number.
    snapshots: Vec<Snapshot>,
    rejected: Vec<RejectedEntry>,
    revision: Revision,
    violations: u64,
}

/// An entry that was not put in force because its contents break a rule.
#[derive(Debug, Clone, PartialEq)]
pub struct RejectedEntry {
    /// Kind of the entry.
    pub kind: Kind,
    /// Name of the entry.
    pub name: Name,
    /// Revision of the rejected change.
    pub revision: Revision,
    /// The broken rule.
    pub error: ValidationError,
}

impl ConfigState {
    /// Puts entries in force and returns those that are newly in force.
    ///
    /// `through` is the revision up to which the held entries are complete once
    /// these are added; a list that leaves a gap must pass a revision before
    /// the gap. An entry whose revision is not higher than the held one is
    /// ignored, and so is a lower `through`. An entry whose contents break a
    /// rule leaves the last good value in force and is listed by
    /// [`rejected`](Self::rejected).
    pub fn apply(&mut self, entries: Vec<Entry>, through: Revision) -> Vec<Entry> {
        let before = self.revision;
        let mut applied = Vec::new();
        let mut replaced = Vec::new();
        // New names are appended and sorted once: inserting each at its place
        // moves half the table for each of 76,000 upstreams of a first list.
        let mut added = Vec::new();
        for entry in entries {
            match self.position(entry.kind(), &entry.name) {
                Ok(i) => {
                    if entry.revision > self.entries[i].revision && self.accept(&entry) {
                        applied.push(entry.clone());
                        replaced.push(std::mem::replace(&mut self.entries[i], entry));
                    }
                }
                Err(_) => {
                    if self.accept(&entry) {
                        added.push(entry);
                    }
                }
            }
        }
        added.sort_by(|a, b| {
            (a.kind(), &a.name, Reverse(a.revision)).cmp(&(b.kind(), &b.name, Reverse(b.revision)))
        });
        added.dedup_by(|a, b| a.kind() == b.kind() && a.name == b.name);
        if !added.is_empty() {
            applied.extend(added.iter().cloned());
            self.entries.extend(added);
            self.entries
                .sort_by(|a, b| (a.kind(), &a.name).cmp(&(b.kind(), &b.name)));
        }
        self.rebuild(&applied);
        self.revision = before.max(through);
        self.check_not_reverted(before, &replaced);
        applied.sort_by_key(|entry| entry.revision);
        applied
    }

    /// Entries with a higher revision, tombstones included, by ascending
    /// revision.
    pub fn entries_after(&self, revision: Revision) -> Vec<Entry> {
        let mut entries: Vec<Entry> = self
            .entries
            .iter()
            .filter(|entry| entry.revision > revision)
            .cloned()
            .collect();
        entries.sort_by_key(|entry| entry.revision);
        entries
    }

    /// Revision up to which the configuration is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Reports whether the state holds a configuration.
    pub fn is_ready(&self) -> bool {
        self.revision > Revision(0)
    }

    /// Entries whose last change was rejected, by kind and name.
    pub fn rejected(&self) -> &[RejectedEntry] {
        &self.rejected
    }

    /// Number of failed assertions on this state; a correct program has none.
    pub fn violations(&self) -> u64 {
        self.violations
    }

    /// All entries by kind and name, tombstones included.
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Entries of a kind by name, tombstones included.
    pub fn entries_of(&self, kind: Kind) -> &[Entry] {
        let start = self.entries.partition_point(|entry| entry.kind() < kind);
        let end = self.entries.partition_point(|entry| entry.kind() <= kind);
        &self.entries[start..end]
    }

    /// The entry of a kind and name; it may be a tombstone.
    pub fn entry(&self, kind: Kind, name: &str) -> Option<&Entry> {
        self.position(kind, name).ok().map(|i| &self.entries[i])
    }

    /// Reports whether an entry exists and is not deleted.
    pub fn contains(&self, kind: Kind, name: &str) -> bool {
        self.entry(kind, name)
            .is_some_and(|entry| !entry.is_deleted())
    }

    /// The plan of a name.
    pub fn plan(&self, name: &str) -> Option<&PlanSpec> {
        match &self.entry(Kind::Plan, name)?.value {
            EntryValue::Plan(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// The organisation of a name.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationSpec> {
        match &self.entry(Kind::Organisation, name)?.value {
            EntryValue::Organisation(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// The organisation whose token has the hash.
    ///
    /// Candidates are found by a prefix of the hash and compared in constant
    /// time, so the time of a lookup tells a caller nothing about the rest of a
    /// stored hash.
    pub fn organisation_by_token_hash(
        &self,
        hash: &blake3::Hash,
    ) -> Option<(&Name, &OrganisationSpec)> {
        let prefix = hash_prefix(hash);
        let start = self.tokens.partition_point(|(held, _)| *held < prefix);
        self.tokens[start..]
            .iter()
            .take_while(|(held, _)| *held == prefix)
            .find_map(|(_, name)| {
                let spec = self.organisation(name)?;
                let held = blake3::Hash::from_hex(spec.token_hash.as_bytes()).ok()?;
                (held == *hash).then_some((name, spec))
            })
    }

    /// The search of a name.
    pub fn search(&self, name: &str) -> Option<&SearchSpec> {
        match &self.entry(Kind::Search, name)?.value {
            EntryValue::Search(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// The traffic class of a name.
    pub fn class(&self, name: &str) -> Option<&ClassPolicy> {
        match &self.entry(Kind::Class, name)?.value {
            EntryValue::Class(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// The upstream of a name.
    pub fn upstream(&self, name: &str) -> Option<&UpstreamSpec> {
        match &self.entry(Kind::Upstream, name)?.value {
            EntryValue::Upstream(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// The availability zone of a name.
    pub fn zone(&self, name: &str) -> Option<&ZoneSpec> {
        match &self.entry(Kind::Zone, name)?.value {
            EntryValue::Zone(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// Operators' mark on the host of a name.
    pub fn host(&self, name: &str) -> Option<&HostSpec> {
        match &self.entry(Kind::Host, name)?.value {
            EntryValue::Host(spec) => spec.as_ref(),
            _ => None,
        }
    }

    /// Snapshots of a search, newest first.
    pub fn snapshots(&self, search: &str) -> &[Snapshot] {
        let start = self
            .snapshots
            .partition_point(|snapshot| &*snapshot.search < search);
        let end = self
            .snapshots
            .partition_point(|snapshot| &*snapshot.search <= search);
        &self.snapshots[start..end]
    }

    /// The snapshot of a search with a number.
    pub fn snapshot(&self, search: &str, id: SnapshotId) -> Option<&Snapshot> {
        self.snapshots(search)
            .iter()
            .find(|snapshot| snapshot.id == id)
    }

    /// Upstreams by name.
    pub fn upstreams(&self) -> impl Iterator<Item = (&Name, &UpstreamSpec)> {
        self.entries_of(Kind::Upstream)
            .iter()
            .filter_map(|entry| match &entry.value {
                EntryValue::Upstream(Some(spec)) => Some((&entry.name, spec)),
                _ => None,
            })
    }

    /// Reports whether operators took the upstream or its availability zone
    /// out of service. An unknown upstream is out: nothing may be sent to it.
    pub fn is_upstream_out(&self, name: &str) -> bool {
        let Some(upstream) = self.upstream(name) else {
            return true;
        };
        upstream.state == ServiceState::Out
            || self
                .zone(&upstream.zone)
                .is_some_and(|zone| zone.state == ServiceState::Out)
    }

    fn position(&self, kind: Kind, name: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| (entry.kind(), &*entry.name).cmp(&(kind, name)))
    }

    /// Checks an entry that is newer than the held one; keeps the list of
    /// rejected entries up to date.
    fn accept(&mut self, entry: &Entry) -> bool {
        let key = (entry.kind(), &*entry.name);
        let place = self
            .rejected
            .binary_search_by(|held| (held.kind, &*held.name).cmp(&key));
        let newest = place.is_ok_and(|i| self.rejected[i].revision > entry.revision);
        match (check_spec(entry), place) {
            (Ok(()), Ok(i)) => {
                if !newest {
                    self.rejected.remove(i);
                }
                true
            }
            (Ok(()), Err(_)) => true,
            (Err(error), place) => {
                let rejected = RejectedEntry {
                    kind: entry.kind(),
                    name: entry.name.clone(),
                    revision: entry.revision,
                    error,
                };
                match place {
                    Ok(i) if !newest => self.rejected[i] = rejected,
                    Ok(_) => {}
                    Err(i) => self.rejected.insert(i, rejected),
                }
                false
            }
        }
    }

    fn rebuild(&mut self, applied: &[Entry]) {
        if applied
            .iter()
            .any(|entry| entry.kind() == Kind::Organisation)
        {
            let mut tokens = Vec::new();
            for entry in self.entries_of(Kind::Organisation) {
                if let EntryValue::Organisation(Some(spec)) = &entry.value
                    && let Ok(hash) = blake3::Hash::from_hex(spec.token_hash.as_bytes())
                {
                    tokens.push((hash_prefix(&hash), entry.name.clone()));
                }
            }
            tokens.sort();
            self.tokens = tokens;
        }
        if applied.iter().any(|entry| entry.kind() == Kind::Snapshot) {
            let mut snapshots = Vec::new();
            for entry in self.entries_of(Kind::Snapshot) {
                if let EntryValue::Snapshot(Some(snapshot)) = &entry.value {
                    snapshots.push(snapshot.clone());
                }
            }
            snapshots.sort_by(|a, b| (&a.search, Reverse(a.id)).cmp(&(&b.search, Reverse(b.id))));
            snapshots.dedup_by(|a, b| a.search == b.search && a.id == b.id);
            self.snapshots = snapshots;
        }
    }

    /// Asserts that nothing in force reverts: logs and counts a failure, and
    /// aborts in debug builds.
    fn check_not_reverted(&mut self, revision: Revision, replaced: &[Entry]) {
        let mut failure = None;
        if self.revision < revision {
            failure = Some(format!("revision from {revision} to {}", self.revision));
        }
        for old in replaced {
            let held = self
                .entry(old.kind(), &old.name)
                .map(|entry| entry.revision);
            if held.is_none_or(|held| held <= old.revision) {
                let (kind, name) = (old.kind(), &old.name);
                failure = Some(format!("{kind} {name} from {} to {held:?}", old.revision));
            }
        }
        if let Some(text) = failure {
            self.violations += 1;
            error!("event=invariant_failed invariant=config_never_reverts detail=\"{text}\"");
            debug_assert!(false, "configuration reverted: {text}");
        }
    }
}

fn hash_prefix(hash: &blake3::Hash) -> u64 {
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_be_bytes(prefix)
}
