use cornelwinch_types::{Name, SortedMap};

use crate::dialect::{Item, Kind, Value};

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
    objects: SortedMap<Name, Value>,
}

impl Mirror {
    /// Revision up to which a kind is complete; `None` before its first list.
    pub(crate) fn revision(&self, kind: Kind) -> Option<u64> {
        self.kinds.get(&kind).map(|copied| copied.revision)
    }

    /// Objects of a kind.
    pub(crate) fn items(&self, kind: Kind) -> Vec<Item> {
        let Some(copied) = self.kinds.get(&kind) else {
            return Vec::new();
        };
        let objects = copied.objects.iter();
        objects
            .map(|(name, value)| Item {
                name: name.clone(),
                value: Some(value.clone()),
            })
            .collect()
    }

    /// Takes over a whole list and returns what it changes; `None` if it is older
    /// than the copy.
    pub(crate) fn apply_list(
        &mut self,
        kind: Kind,
        revision: u64,
        items: Vec<Item>,
    ) -> Option<Vec<Item>> {
        let copied = self.kinds.get_or_insert_with(kind, Copied::default);
        if revision < copied.revision {
            return None;
        }
        copied.revision = revision;
        let mut objects = SortedMap::new();
        for item in items {
            if let Some(value) = item.value {
                objects.insert(item.name, value);
            }
        }
        let old = std::mem::replace(&mut copied.objects, objects);
        let removed = old
            .keys()
            .filter(|name| !copied.objects.contains_key(*name))
            .map(|name| Item {
                name: name.clone(),
                value: None,
            });
        let changed = copied
            .objects
            .iter()
            .filter(|(name, value)| old.get(*name) != Some(*value))
            .map(|(name, value)| Item {
                name: name.clone(),
                value: Some(value.clone()),
            });
        Some(removed.chain(changed).collect())
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
                Some(value) => {
                    copied.objects.insert(item.name.clone(), value.clone());
                }
                None => {
                    copied.objects.remove(&item.name);
                }
            }
        }
        Some(items)
    }
}
