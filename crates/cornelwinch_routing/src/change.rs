use cornelwinch_types::{Name, SortedMap};
use serde::{Deserialize, Serialize};

use crate::{CallerLimits, DesiredState, Organisation, Route, Service};

/// Difference between two versions of the desired state. Sending it instead of the
/// whole state saves bytes when few of many routes change.
///
/// ```
/// use cornelwinch_routing::{CallerLimits, DesiredState, DesiredStateDelta};
///
/// let state = |version| DesiredState {
///     version, routes: vec![], services: vec![], limits: CallerLimits::default(),
///     organisations: None,
/// };
/// let delta = DesiredStateDelta::between(&state(3), &state(7)).unwrap();
/// assert_eq!(delta.apply(&state(3)), Some(state(7)));
/// assert_eq!(delta.apply(&state(4)), None);
/// ```
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DesiredStateDelta {
    /// Version to which the delta applies.
    base: u64,
    /// Version that [`apply`](Self::apply) produces.
    version: u64,
    limits: CallerLimits,
    routes: EntriesDelta<Route>,
    services: EntriesDelta<Service>,
    /// `None` if the new version has no organisations.
    #[serde(default)]
    organisations: Option<EntriesDelta<Organisation>>,
}

/// Entries of one kind that differ between two versions.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct EntriesDelta<T> {
    /// Entries that were added or modified.
    put: Vec<T>,
    removed: Vec<Name>,
}

impl DesiredStateDelta {
    /// Compares two versions. Returns `None` if one of them uses a name twice.
    pub fn between(old: &DesiredState, new: &DesiredState) -> Option<Self> {
        Some(Self {
            base: old.version,
            version: new.version,
            limits: new.limits,
            routes: EntriesDelta::between(&old.routes, &new.routes, |route| &route.name)?,
            services: EntriesDelta::between(&old.services, &new.services, |service| &service.name)?,
            organisations: match &new.organisations {
                Some(new) => Some(EntriesDelta::between(organisations(old), new, |o| &o.name)?),
                None => None,
            },
        })
    }

    /// Builds the new version with its entries sorted by name. Returns `None` if
    /// `old` is not the base version.
    pub fn apply(&self, old: &DesiredState) -> Option<DesiredState> {
        (old.version == self.base).then(|| DesiredState {
            version: self.version,
            limits: self.limits,
            routes: self.routes.apply(&old.routes, |route| &route.name),
            services: self.services.apply(&old.services, |service| &service.name),
            organisations: self
                .organisations
                .as_ref()
                .map(|delta| delta.apply(organisations(old), |o| &o.name)),
        })
    }

    /// Returns the version that [`apply`](Self::apply) produces.
    pub fn version(&self) -> u64 {
        self.version
    }
}

impl<T: Clone + PartialEq> EntriesDelta<T> {
    fn between(old: &[T], new: &[T], name: fn(&T) -> &Name) -> Option<Self> {
        let (before, after) = (by_name(old, name), by_name(new, name));
        if before.len() != old.len() || after.len() != new.len() {
            return None;
        }
        let is_changed = |(key, value): &(&Name, &&T)| before.get(*key) != Some(*value);
        let put = after.iter().filter(is_changed);
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        Some(Self {
            put: put.map(|(_, value)| T::clone(value)).collect(),
            removed: removed.cloned().collect(),
        })
    }

    fn apply(&self, old: &[T], name: fn(&T) -> &Name) -> Vec<T> {
        let mut all = by_name(old, name);
        for key in &self.removed {
            all.remove(key);
        }
        for value in &self.put {
            all.insert(name(value).clone(), value);
        }
        all.values().map(|value| T::clone(value)).collect()
    }
}

fn organisations(state: &DesiredState) -> &[Organisation] {
    state.organisations.as_deref().unwrap_or_default()
}

fn by_name<T>(values: &[T], name: fn(&T) -> &Name) -> SortedMap<Name, &T> {
    let mut map = SortedMap::new();
    for value in values {
        map.insert(name(value).clone(), value);
    }
    map
}
