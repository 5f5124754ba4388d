use cornelwinch_routing::DesiredState;
use cornelwinch_types::{Name, SortedMap};

use crate::dialect::{ObjectKind, ObjectProblem, ObjectValue, StoreObject};

/// Largest number of tombstones stored for a kind. When it is reached, they are discarded, and
/// hosts with an older revision get a complete list.
const MAX_TOMBSTONES: usize = 4_096;

/// Largest number of logged problems that are remembered for a kind. When it is reached, they are
/// discarded, and those that still exist are logged once more.
const MAX_LOGGED_PROBLEMS: usize = 256;

/// Copy of the store's objects, with the revision up to which each kind is complete. Updates with
/// an older revision are ignored, so that a source that lags cannot undo updates from another one.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    kinds: SortedMap<ObjectKind, KindMirror>,
    /// Problems that were returned by [`Mirror::take_new_problems`].
    logged_problems: SortedMap<ObjectKind, Vec<ObjectProblem>>,
}

#[derive(Debug, Default)]
struct KindMirror {
    revision: u64,
    objects: SortedMap<Name, MirroredObject>,
    /// Removed objects, with the revision at which the removal was observed.
    tombstones: SortedMap<Name, u64>,
    /// Revision after which `tombstones` is complete.
    tombstones_since: u64,
}

#[derive(Debug)]
struct MirroredObject {
    value: ObjectValue,
    /// Revision of the update that contained the value: that of the change, or a later one.
    changed_at: u64,
}

impl KindMirror {
    fn put(&mut self, revision: u64, name: Name, value: ObjectValue) {
        self.tombstones.remove(&name);
        let changed_at = revision;
        self.objects
            .insert(name, MirroredObject { value, changed_at });
    }

    fn remove(&mut self, revision: u64, name: Name) {
        self.objects.remove(&name);
        if self.tombstones.len() >= MAX_TOMBSTONES {
            self.tombstones = SortedMap::new();
            self.tombstones_since = revision;
        }
        self.tombstones.insert(name, revision);
    }
}

impl Mirror {
    /// Returns the revision up to which a kind is complete, or `None` before its first list.
    pub(crate) fn revision(&self, kind: ObjectKind) -> Option<u64> {
        self.kinds
            .get(&kind)
            .map(|kind_mirror| kind_mirror.revision)
    }

    /// Returns the revisions of all kinds that have been listed.
    pub(crate) fn revisions(&self) -> Vec<(ObjectKind, u64)> {
        let kinds = self.kinds.iter();
        kinds
            .map(|(kind, kind_mirror)| (*kind, kind_mirror.revision))
            .collect()
    }

    /// Returns the problems that have not been returned before.
    pub(crate) fn take_new_problems(
        &mut self,
        kind: ObjectKind,
        problems: Vec<ObjectProblem>,
    ) -> Vec<ObjectProblem> {
        if problems.is_empty() {
            return problems;
        }
        let logged = self
            .logged_problems
            .get_or_insert_with(kind, Vec::<ObjectProblem>::new);
        let is_new = |problem: &ObjectProblem| !logged.contains(problem);
        let new: Vec<ObjectProblem> = problems.into_iter().filter(is_new).collect();
        if logged.len() + new.len() > MAX_LOGGED_PROBLEMS {
            logged.clear();
        }
        logged.extend(new.iter().take(MAX_LOGGED_PROBLEMS).cloned());
        new
    }

    /// Returns all objects of a kind.
    pub(crate) fn items(&self, kind: ObjectKind) -> Vec<StoreObject> {
        let Some(kind_mirror) = self.kinds.get(&kind) else {
            return Vec::new();
        };
        let objects = kind_mirror.objects.iter();
        objects
            .map(|(name, object)| StoreObject {
                name: name.clone(),
                value: Some(object.value.clone()),
            })
            .collect()
    }

    /// Returns the changes of a kind after a revision, or `None` if tombstones since then are
    /// missing.
    pub(crate) fn changes_since(
        &self,
        kind: ObjectKind,
        revision: u64,
    ) -> Option<Vec<StoreObject>> {
        let kind_mirror = self.kinds.get(&kind)?;
        if revision < kind_mirror.tombstones_since {
            return None;
        }
        let removed = kind_mirror
            .tombstones
            .iter()
            .filter(|(_, at)| **at > revision);
        let removed = removed.map(|(name, _)| StoreObject {
            name: name.clone(),
            value: None,
        });
        let changed = kind_mirror
            .objects
            .iter()
            .filter(|(_, o)| o.changed_at > revision);
        let changed = changed.map(|(name, object)| StoreObject {
            name: name.clone(),
            value: Some(object.value.clone()),
        });
        Some(removed.chain(changed).collect())
    }

    /// Returns the desired state that is stored under a name.
    pub(crate) fn desired(&self, name: &Name) -> Option<&DesiredState> {
        let kind_mirror = self.kinds.get(&ObjectKind::DesiredState)?;
        match &kind_mirror.objects.get(name)?.value {
            ObjectValue::DesiredState(state) => Some(state),
            _ => None,
        }
    }

    /// Replaces a kind with a complete list and returns the objects that differ. Returns `None` if
    /// the list is older than the mirror.
    pub(crate) fn apply_list(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        items: Vec<StoreObject>,
    ) -> Option<Vec<StoreObject>> {
        let is_first = !self.kinds.contains_key(&kind);
        let kind_mirror = self.kinds.get_or_insert_with(kind, KindMirror::default);
        if revision < kind_mirror.revision {
            return None;
        }
        kind_mirror.revision = revision;
        if is_first {
            kind_mirror.tombstones_since = revision;
        }
        let mut listed: Vec<Name> = items.iter().map(|item| item.name.clone()).collect();
        listed.sort();
        let missing: Vec<Name> = kind_mirror
            .objects
            .keys()
            .filter(|name| listed.binary_search(name).is_err())
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for name in missing {
            kind_mirror.remove(revision, name.clone());
            changes.push(StoreObject { name, value: None });
        }
        for item in items {
            let known = kind_mirror
                .objects
                .get(&item.name)
                .map(|object| &object.value);
            if let Some(value) = &item.value
                && known != Some(value)
            {
                kind_mirror.put(revision, item.name.clone(), value.clone());
                changes.push(item);
            }
        }
        Some(changes)
    }

    /// Applies changes to a kind and returns them. Returns `None` if they are older than the mirror
    /// or the kind has not been listed.
    pub(crate) fn apply_changes(
        &mut self,
        kind: ObjectKind,
        revision: u64,
        items: Vec<StoreObject>,
    ) -> Option<Vec<StoreObject>> {
        let kind_mirror = self.kinds.get_mut(&kind)?;
        if revision < kind_mirror.revision {
            return None;
        }
        kind_mirror.revision = revision;
        for item in &items {
            match &item.value {
                Some(value) => kind_mirror.put(revision, item.name.clone(), value.clone()),
                None => kind_mirror.remove(revision, item.name.clone()),
            }
        }
        Some(items)
    }
}
