use cornelwinch_routing::DesiredState;
use cornelwinch_types::{Name, SortedMap};

use crate::dialect::{Item, Kind, Value};

/// Removed objects that a copy remembers. Beyond it they are forgotten, and a
/// host that knows less than the copy gets whole lists.
const REMOVED_LIMIT: usize = 4_096;

/// Copy of the objects of each kind, with the revision up to which it is
/// complete. What is older than the copy is not taken over, so that a source
/// that lags does not take back what another one brought.
#[derive(Debug, Default)]
pub(crate) struct Mirror {
    kinds: SortedMap<Kind, Copied>,
}

#[derive(Debug, Default)]
struct Copied {
    revision: u64,
    objects: SortedMap<Name, Object>,
    /// Removed objects with the revision at which they were missing.
    removed: SortedMap<Name, u64>,
    /// Revision from which on all removals are known.
    removed_since: u64,
}

#[derive(Debug)]
struct Object {
    value: Value,
    /// Revision with which the value came, its change or a later one.
    changed: u64,
}

impl Copied {
    fn put(&mut self, revision: u64, name: Name, value: Value) {
        self.removed.remove(&name);
        let changed = revision;
        self.objects.insert(name, Object { value, changed });
    }

    fn remove(&mut self, revision: u64, name: Name) {
        self.objects.remove(&name);
        if self.removed.len() >= REMOVED_LIMIT {
            self.removed = SortedMap::new();
            self.removed_since = revision;
        }
        self.removed.insert(name, revision);
    }
}

impl Mirror {
    /// Revision up to which a kind is complete; `None` before its first list.
    pub(crate) fn revision(&self, kind: Kind) -> Option<u64> {
        self.kinds.get(&kind).map(|copied| copied.revision)
    }

    /// Revisions of all kinds that have been listed.
    pub(crate) fn revisions(&self) -> Vec<(Kind, u64)> {
        let kinds = self.kinds.iter();
        kinds
            .map(|(kind, copied)| (*kind, copied.revision))
            .collect()
    }

    /// Objects of a kind.
    pub(crate) fn items(&self, kind: Kind) -> Vec<Item> {
        let Some(copied) = self.kinds.get(&kind) else {
            return Vec::new();
        };
        let objects = copied.objects.iter();
        objects
            .map(|(name, object)| Item {
                name: name.clone(),
                value: Some(object.value.clone()),
            })
            .collect()
    }

    /// What has changed in a kind after a revision; `None` if that is not known.
    pub(crate) fn changes_since(&self, kind: Kind, revision: u64) -> Option<Vec<Item>> {
        let copied = self.kinds.get(&kind)?;
        if revision < copied.removed_since {
            return None;
        }
        let removed = copied.removed.iter().filter(|(_, at)| **at > revision);
        let removed = removed.map(|(name, _)| Item {
            name: name.clone(),
            value: None,
        });
        let changed = copied.objects.iter().filter(|(_, o)| o.changed > revision);
        let changed = changed.map(|(name, object)| Item {
            name: name.clone(),
            value: Some(object.value.clone()),
        });
        Some(removed.chain(changed).collect())
    }

    /// The desired state under a name.
    pub(crate) fn desired(&self, name: &Name) -> Option<&DesiredState> {
        let copied = self.kinds.get(&Kind::DesiredState)?;
        match &copied.objects.get(name)?.value {
            Value::DesiredState(state) => Some(state),
            _ => None,
        }
    }

    /// Takes over a whole list and returns what it changes; `None` if it is older
    /// than the copy.
    pub(crate) fn apply_list(
        &mut self,
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
    ) -> Option<Vec<Item>> {
        let is_first = !self.kinds.contains_key(&kind);
        let copied = self.kinds.get_or_insert_with(kind, Copied::default);
        if revision < copied.revision {
            return None;
        }
        copied.revision = revision;
        if is_first {
            copied.removed_since = revision;
        }
        let mut listed: Vec<Name> = items.iter().map(|item| item.name.clone()).collect();
        listed.sort();
        let missing: Vec<Name> = copied
            .objects
            .keys()
            .filter(|name| listed.binary_search(name).is_err())
            .cloned()
            .collect();
        let mut changes = Vec::new();
        for name in missing {
            copied.remove(revision, name.clone());
            changes.push(Item { name, value: None });
        }
        for item in items {
            let known = copied.objects.get(&item.name).map(|object| &object.value);
            if let Some(value) = &item.value
                && known != Some(value)
            {
                copied.put(revision, item.name.clone(), value.clone());
                changes.push(item);
            }
        }
        Some(changes)
    }

    /// Takes over changes and returns them; `None` if they are older than the
    /// copy.
    pub(crate) fn apply_changes(
        &mut self,
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
    ) -> Option<Vec<Item>> {
        let copied = self.kinds.get_mut(&kind)?;
        if revision < copied.revision {
            return None;
        }
        copied.revision = revision;
        for item in &items {
            match &item.value {
                Some(value) => copied.put(revision, item.name.clone(), value.clone()),
                None => copied.remove(revision, item.name.clone()),
            }
        }
        Some(items)
    }
}
